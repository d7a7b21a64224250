"""Reasons why a job does not start although capacity is free."""

from __future__ import annotations

from enum import StrEnum


class WaitCause(StrEnum):
    """The reason why a job does not start, as reported in log lines."""

    EARLIER_RUN = "an earlier owner's run may be at a silent executor"
    UNSETTLED_RUN = "its own run is not settled"
    RECORDING_EXECUTORS = "its start waits for its executors to be looked at and named in the store"
    LATE_START = "a start of it without an answer may yet be carried out"
    CRASHES = "executors crashed under it"
    NO_RECORDED_EXECUTOR = "the store is away and names no executor with room"
    REFUSED = "executors with room take no work"
    PLAN_OVERDUE = "no plan has got to it of late"
    UNEXPLAINED = "no plan has said why yet"
    WITHHELD = "it was withheld as the last plan was made"
    DUE = "its start is due"
    RESERVED = "room is kept for a gang that waits"
    HEADROOM = "room is kept for urgent work"
    ALLOCATED_TO_OTHERS = "the plan gives the room to others before it"
    APPROVAL = "no executor with room is approved for it"
    COLOCATION = "executors with room serve or fill"
    RACK = "no rack that it may use has room for all of it"
    SPREAD = "executors with room have as many of its tasks as they may"
    AVOIDED = "its runs failed of late at executors with room"
