"""Decisions of the scheduler and their reasons."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .job import Gang, Job


class Cause(StrEnum):
    """Cause of a decision about a job; the values are stable across releases."""

    OWN_GUARANTEE = "own-guarantee"
    FREE_PLACE = "free-place"
    BACKFILL = "backfill"
    TAKEN_BACK = "taken-back"
    URGENT = "urgent"
    COMPACTION = "compaction"
    NO_ROOM = "no-room"
    HELD = "held-for-large-gang"
    GUARANTEED_TO_OTHERS = "guaranteed-to-others"
    QUOTA = "team-quota"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    TOO_LARGE = "too-large"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Reason:
    """A stable cause and a human-readable description."""

    cause: Cause
    text: str


@dataclass(frozen=True, slots=True)
class Start:
    """Start `gang` now; all of its places are free."""

    gang: Gang
    reason: Reason


@dataclass(frozen=True, slots=True)
class Reclaim:
    """Stop `victims` within `stop_within_s`; `claimant` starts once all of them have stopped."""

    victims: tuple[Gang, ...]
    claimant: Job
    reason: Reason
    stop_within_s: float


@dataclass(frozen=True, slots=True)
class NotRun:
    """The job is rejected, or removed from the queue without having run."""

    job: Job
    reason: Reason


@dataclass(frozen=True, slots=True)
class Accepted:
    """The job was added to the queue."""

    job: Job


@dataclass(frozen=True, slots=True)
class Duplicate:
    """A job with the same id is already waiting or running; nothing changed."""

    job: Job


Decision = Start | Reclaim | NotRun
SubmitOutcome = Accepted | Duplicate | NotRun
