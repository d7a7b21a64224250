"""One attempt to run a gang: the placement and the state of each member."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from heronthread_scheduling import Gang


class StopReason(StrEnum):
    """The reason an attempt is being stopped."""

    PREEMPTED = "taken-back"
    CANCELLED = "cancelled"
    MEMBER_FAILED = "broken"
    NOT_STARTED = "not-started"


@dataclass(slots=True)
class Attempt:
    """The members of a gang by worker, and the state of each member.

    `go_sent` is set once a GO command may have reached a worker, so the job may have run.
    `stopped` holds members that stopped or failed; `lost`, those on lost or restarted workers;
    `reported_running`, those that their workers reported as running.
    """

    id: str
    gang: Gang
    members_on: dict[str, tuple[int, ...]]
    stop_reason: StopReason | None = None
    go_sent: bool = False
    done: set[int] = field(default_factory=set)
    stopped: set[int] = field(default_factory=set)
    lost: set[int] = field(default_factory=set)
    reported_running: set[int] = field(default_factory=set)
    is_stopping: bool = False
    is_concluded: bool = False

    @property
    def size(self) -> int:
        """The number of members of the whole gang."""
        return self.gang.job.shape.members

    @property
    def is_done(self) -> bool:
        """Whether every member has returned its answer."""
        return len(self.done) == self.size

    @property
    def is_stopped(self) -> bool:
        """Whether no member can still be running."""
        known = {member for members in self.members_on.values() for member in members}
        return known <= self.done | self.stopped | self.lost


def assign_members(gang: Gang, names: dict[str, int]) -> dict[str, tuple[int, ...]]:
    """Assign member numbers, counted from 0, to workers in the order of their names."""
    placed: dict[str, tuple[int, ...]] = {}
    next_member = 0
    for name, units in sorted(names.items()):
        count = units // gang.job.shape.units
        placed[name] = tuple(range(next_member, next_member + count))
        next_member += count
    return placed
