"""The protocol between a cell's owner and its workers, independent of the transport."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


class Verb(StrEnum):
    """The action of a command."""

    RESERVE = "reserve"
    START = "start"
    GO = "go"
    STOP = "stop"
    CHECKPOINT = "checkpoint"
    ACKNOWLEDGE = "acknowledge"


@dataclass(frozen=True, slots=True)
class Command:
    """A command for the members of one attempt on one worker.

    `attempt` is the id of an attempt to run a gang. `members` are counted from 0 and hold
    `units` of `pool` each. A reservation expires after `lease_s`. After GO, the members start
    once `delay_s` has passed, unless STOP arrives first. After STOP, the worker refuses any
    later START of the attempt.
    """

    verb: Verb
    attempt: str
    members: tuple[int, ...] = ()
    units: int = 0
    pool: str = ""
    lease_s: float = 0.0
    job_id: str = ""
    gang_size: int = 0
    payload: str = ""
    expected_s: float = 0.0
    checkpoint: str = ""
    deadline_s: float = 0.0
    delay_s: float = 0.0


class Result(StrEnum):
    """The result of a command on a worker."""

    OK = "ok"
    NO_ROOM = "no-room"
    NOT_RESERVED = "not-reserved"
    CANCELLED = "cancelled"
    LEAVING = "leaving"


class TaskState(StrEnum):
    """The state of one member as reported by its worker."""

    RESERVED = "reserved"
    ARMED = "armed"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class TaskReport:
    """The report of one member; `content` is its answer once it is done."""

    attempt: str
    member: int
    state: TaskState
    job_id: str = ""
    gang_size: int = 0
    units: int = 0
    pool: str = ""
    content: str = ""
    length: int = 0
    digest: str = ""
    checkpoint: str = ""
    ever_ran: bool = False


@dataclass(frozen=True, slots=True)
class Exchange:
    """A call to one worker; every call renews the leases of its tasks.

    With `wait_s` the call is a long poll: the worker replies once its sequence differs from
    `seen` or the time has passed. If its sequence is below `seen`, it has restarted and reports
    all tasks. A worker that has received a higher epoch of the cell refuses the call.
    """

    cell: str
    epoch: int
    commands: tuple[Command, ...] = ()
    task_lease_s: float = 30.0
    seen: int = 0
    wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class WorkerReply:
    """The reply to a call: results in the order of the commands, and changed tasks.

    `tasks` holds those that changed after the sequence `seen`, or all tasks if that is 0.
    `incarnation` changes when the worker restarts, which discards its tasks. `sequence`
    increases whenever a report changes.
    """

    epoch: int
    incarnation: str
    sequence: int
    results: tuple[Result, ...] = ()
    tasks: tuple[TaskReport, ...] = ()
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class StaleEpoch:
    """The worker has received a higher epoch; the call had no effect."""

    epoch: int


@dataclass(frozen=True, slots=True)
class Unreachable:
    """The call failed; with `refused` it had no effect, otherwise it may have had one."""

    reason: str
    refused: bool = False


ExchangeOutcome = WorkerReply | StaleEpoch | Unreachable


class Workers(Protocol):
    """The interface through which a cell's owner calls its workers."""

    async def exchange(self, worker: str, exchange: Exchange) -> ExchangeOutcome:
        """Call a worker once."""


@dataclass(slots=True)
class Traffic:
    """Counts of calls to workers and of bytes sent and received."""

    calls: int = 0
    sent: int = 0
    received: int = 0
