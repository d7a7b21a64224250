"""Orders to executors, their outcomes, and the reports of executors."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from .model import Executor, TaskKey


class EndKind(StrEnum):
    """How a run ended.

    `BROKEN`: another member of its gang ended; `ALONE`: the other members did not start in time;
    `LAPSED`: the executor's lease expired.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class Refusal(StrEnum):
    """Why an executor did not start a run."""

    FENCED = "fenced"
    OLD_RUN = "old run"
    LATE = "late"
    NO_ROOM = "no room"
    NOT_APPROVED = "not approved"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class StartOrder:
    """An order to start a run; `until_ms` is a time on the executor's clock.

    `ticket` proves the approval if the task's queue requires one.
    """

    task: TaskKey
    run: int
    payload: str
    checkpoint: str
    token: int
    until_ms: int
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """An order to stop a run, or to refuse it if its start arrives later."""

    task: TaskKey
    run: int
    token: int


@dataclass(frozen=True, slots=True)
class HoldOrder:
    """An order to renew the lease of the runs until `until_ms`.

    It acknowledges ended runs up to number `seen`, and waits up to `wait_s` for changes.
    """

    token: int
    seen: int
    until_ms: int | None
    wait_s: float


@dataclass(frozen=True, slots=True)
class RunningRun:
    """A run in progress; `percent` of its work is done."""

    task: TaskKey
    run: int
    checkpoint: str
    percent: float


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that ended; `number` increases over an executor's instance."""

    number: int
    task: TaskKey
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Report:
    """The running and ended runs of an executor at `clock_ms` on its own clock.

    Unless `is_complete`, there are more ended runs than listed. `born` identifies the instance.
    """

    clock_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    is_complete: bool = True
    born: int = 0


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The order took effect, now or before."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The executor refused the order, which had no effect."""

    reason: Refusal


@dataclass(frozen=True, slots=True)
class Unhealthy:
    """The executor is unhealthy, and the order had no effect."""


@dataclass(frozen=True, slots=True)
class InstanceEnded:
    """The addressed instance of the executor has ended, and none of its runs remain."""


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The order may have taken effect or may yet, unless `unsent`."""

    reason: str
    unsent: bool = False


OrderOutcome = Acknowledged | Refused | Unhealthy | InstanceEnded | NoAnswer
HoldOutcome = Report | Refused | Unhealthy | InstanceEnded | NoAnswer


class ExecutorLink(Protocol):
    """Client by which the owner sends orders to executors."""

    async def start(self, executor: Executor, order: StartOrder) -> OrderOutcome:
        """Start a run."""

    async def stop(self, executor: Executor, order: StopOrder) -> OrderOutcome:
        """Stop a run."""

    async def hold(self, executor: Executor, order: HoldOrder) -> HoldOutcome:
        """Renew the lease of the runs, and return the executor's report."""
