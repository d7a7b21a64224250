"""Measurements and histories; see docs/measurements.md."""
