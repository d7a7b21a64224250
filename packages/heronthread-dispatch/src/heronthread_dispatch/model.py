"""What callers ask for and what executors offer, as plain values."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

ACCELERATOR_IN_CORES = 8
URGENT = 0


class Resources(NamedTuple):
    """Processors in thousandths of a core, memory in MB, whole accelerators."""

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits_in(self, room: Resources) -> bool:
        """Whether `room` has at least this much of everything."""
        return self[0] <= room[0] and self[1] <= room[1] and self[2] <= room[2]

    def plus(self, other: Resources) -> Resources:
        """Return the sum."""
        return _make(Resources, (self[0] + other[0], self[1] + other[1], self[2] + other[2]))

    def minus(self, other: Resources) -> Resources:
        """Return the difference, which may be negative."""
        return _make(Resources, (self[0] - other[0], self[1] - other[1], self[2] - other[2]))

    @property
    def cores(self) -> float:
        """Weight in cores; an accelerator counts as `ACCELERATOR_IN_CORES`."""
        return self.cpu / 1000 + self.accelerators * ACCELERATOR_IN_CORES


_make = tuple.__new__
"""Makes a tuple of three in half the time of the named tuple's own way; a plan makes 70,000."""

NOTHING = Resources()


class TaskKey(NamedTuple):
    """One task of one job; it keeps its name over all of its attempts.

    `occurrence` counts the times of a scheduled job, from 0.
    """

    job: str
    step: int
    member: int
    occurrence: int = 0


class OpenStart(NamedTuple):
    """A start of one of a job's tasks that may have had no answer, by the executor's id."""

    executor: str
    step: int
    member: int
    occurrence: int


@dataclass(frozen=True, slots=True)
class StepSpec:
    """`count` equal tasks that become ready once all steps in `after` are done.

    A `gang` works only while all of its tasks are there. `same_rack` and `data_rack` cost
    speed when not met; `label` and `spread_limit` (tasks for each executor, 0 for any
    number) must be met. `estimate_s` is the caller's guess of one task's time.

    `lasting` tasks run until the job is cancelled. Those that serve users of their own have a
    `target_s` for their answers; those that `fill` use what others leave unused, so their
    processors take no room, and disturb the ones that serve. `may_miss` bounds how many tasks
    of the step the system may take away at once; 0 for any number.
    """

    count: int
    need: Resources
    estimate_s: float
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    spread_limit: int = 0
    checkpointing: bool = False
    lasting: bool = False
    target_s: float = 0.0
    fills: bool = False
    may_miss: int = 0

    @property
    def serves(self) -> bool:
        """Whether its tasks answer users of their own, and want no disturbance."""
        return self.target_s > 0


@dataclass(frozen=True, slots=True)
class ApprovalTerms:
    """A service says which executors may run a step.

    It takes `decision_s`, and `each_s` for each executor named; a ticket holds `validity_s`.
    """

    decision_s: float
    each_s: float
    validity_s: float


@dataclass(frozen=True, slots=True)
class Queue:
    """Where jobs of one kind enter, and how they are to be treated.

    A job is on time within `stretch` times its longest chain plus `target_s`.
    Priority 0 comes first and may take capacity back from the others. With `approval` only
    some executors may run a step, and each start brings a ticket.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int
    max_attempts: int
    stretch: float
    target_s: float
    public: bool = False
    approval: ApprovalTerms | None = None


@dataclass(frozen=True, slots=True)
class Schedule:
    """A job's steps run `count` times; the first is due at `first_at` (s since the epoch)."""

    count: int
    first_at: float
    interval_s: float

    def due_at(self, occurrence: int) -> float:
        """Return when one of the times is due, in seconds since the epoch."""
        return self.first_at + occurrence * self.interval_s


@dataclass(frozen=True, slots=True)
class JobSpec:
    """One accepted job; `accepted_at` is in seconds since the epoch.

    `queue` is the queue as it was then; it counts when no newer configuration has it.
    Without a `schedule` the steps run once, from now on.
    """

    id: str
    queue: Queue
    tenant: str
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_at: float
    schedule: Schedule | None = None

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return self.schedule.count if self.schedule else 1


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer: its keys, and the accelerators that are its own for urgent jobs."""

    name: str
    keys: tuple[str, ...]
    guaranteed: int = 0


@dataclass(frozen=True, slots=True)
class DesiredState:
    """One whole configuration; versions only rise.

    `pools` are those that it names, whether or not a queue sends work there.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    max_body_bytes: int = 262_144
    by_key: dict[str, Tenant] = field(default_factory=dict)
    by_name: dict[str, Queue] = field(default_factory=dict)
    pools: frozenset[str] = frozenset()
    _by_prefix: dict[str, dict[str, Queue]] = field(default_factory=dict)
    _lengths: dict[str, tuple[int, ...]] = field(default_factory=dict)

    @classmethod
    def build(
        cls,
        version: int,
        queues: list[Queue],
        tenants: list[Tenant],
        max_body_bytes: int,
        pools: Iterable[str] = (),
    ) -> DesiredState:
        """Return a configuration with its indexes; the queues' pools need not be given."""
        by_key = {key: tenant for tenant in tenants for key in tenant.keys}
        by_name = {queue.name: queue for queue in queues}
        by_prefix: dict[str, dict[str, Queue]] = {}
        for queue in queues:
            by_prefix.setdefault(queue.host, {}).setdefault(queue.prefix, queue)
        lengths = {
            host: tuple(sorted({len(prefix) for prefix in prefixes}, reverse=True))
            for host, prefixes in by_prefix.items()
        }
        return cls(
            version,
            tuple(queues),
            tuple(tenants),
            max_body_bytes,
            by_key,
            by_name,
            frozenset(pools) | {queue.pool for queue in queues},
            by_prefix,
            lengths,
        )

    def current_queue(self, job: JobSpec) -> Queue:
        """Return a job's queue as it is now, or as it was when the job was accepted."""
        return self.by_name.get(job.queue.name, job.queue)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of the longest prefix that begins a path.

        One look-up for each length that a prefix of the host has, however many queues it has.
        """
        prefixes = self._by_prefix.get(host, {})
        for length in self._lengths.get(host, ()):
            queue = prefixes.get(path[:length])
            if queue is not None and len(path) >= length:
                return queue
        return None


class Life(NamedTuple):
    """One life of an executor: its id, under which it may start again, and its start (Unix ms).

    `born` is 0 where it is not known: in records of earlier versions, or where nobody says it.
    """

    id: str
    born: int = 0


@dataclass(frozen=True, slots=True)
class Executor:
    """One life of an executor; a new life may have the same id.

    `leaves_in_s` is the least time until it leaves, None while it is not draining; `born` is its
    start in Unix ms, 0 where that is not known.
    """

    id: str
    address: str
    pool: str
    zone: str
    rack: str
    labels: tuple[str, ...]
    capacity: Resources
    leaves_in_s: float | None = None
    born: int = 0

    @property
    def life(self) -> Life:
        """What names this life among all that the id has had."""
        return Life(self.id, self.born)

    @property
    def is_draining(self) -> bool:
        """Whether it takes no new work."""
        return self.leaves_in_s is not None
