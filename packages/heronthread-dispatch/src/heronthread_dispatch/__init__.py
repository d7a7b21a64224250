"""Scheduling of multi-step jobs on leased executors: placement, ownership and recovery."""
