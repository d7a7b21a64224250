"""Value types for jobs, executors and configuration."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

ACCELERATOR_IN_CORES = 8
URGENT = 0


class Resources(NamedTuple):
    """CPU in thousandths of a core, memory in MB, and whole accelerators."""

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits_in(self, available: Resources) -> bool:
        """Whether `available` has at least this much of each resource."""
        return self[0] <= available[0] and self[1] <= available[1] and self[2] <= available[2]

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
"""Bypasses the named tuple's constructor, which takes twice as long; a plan creates up to 70,000
tuples."""

NO_RESOURCES = Resources()


class TaskKey(NamedTuple):
    """Identifies one task of one job across all of its attempts.

    `occurrence` counts the occurrences of a scheduled job, from 0.
    """

    job: str
    step: int
    member: int
    occurrence: int = 0


class PreassignmentEpoch(NamedTuple):
    """Identifies preassignments that an owner wrote before it used any of them.

    `revision` is that at which its term began, `number` rises with each use, and `hosts` is the
    number of other hosts that were members before the term began.
    """

    revision: int
    number: int
    hosts: int


class UnresolvedStart(NamedTuple):
    """A start of a job's task that may be unanswered, with the executor's id.

    `run` is 0 if an earlier version recorded the start. `born` is the start time of the instance to
    which it was sent, 0 if unknown.
    """

    executor: str
    step: int
    member: int
    occurrence: int
    run: int = 0
    born: int = 0


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A step of `count` equal tasks, ready once all steps in `after` are done.

    The tasks of a `gang` only make progress while all of them run. Violating `same_rack` or
    `data_rack` only costs speed, while `label` and `spread_limit` (tasks per executor, 0 for no
    limit) are hard constraints. `estimate_s` is the caller's estimate of a task's duration.

    `lasting` tasks run until the job is cancelled. Among them, serving tasks have a `target_s` for
    the latency of their responses. Best-effort tasks, marked by `fills`, use idle CPU: theirs is
    not counted as used, and they slow serving tasks on the same executor. `may_miss` limits how
    many tasks of the step the scheduler may stop at once; 0 for no limit.
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
        """Whether its tasks serve requests and must not share executors with best-effort tasks."""
        return self.target_s > 0


@dataclass(frozen=True, slots=True)
class ApprovalTerms:
    """The terms of the service that approves executors for steps.

    It takes `decision_s`, plus `each_s` per executor named; a ticket is valid for `validity_s`.
    """

    decision_s: float
    each_s: float
    validity_s: float


@dataclass(frozen=True, slots=True)
class Queue:
    """An entry point for jobs of one kind, with their scheduling parameters.

    A job is on time within `stretch` times its longest chain of steps plus `target_s`. Priority 0
    is urgent and may preempt the others. With `approval`, only approved executors may run a step,
    and each start carries a ticket.
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
    """Runs a job's steps `count` times; the first is due at `first_at` (s since the epoch)."""

    count: int
    first_at: float
    interval_s: float

    def due_at(self, occurrence: int) -> float:
        """Return when an occurrence is due, in seconds since the epoch."""
        return self.first_at + occurrence * self.interval_s


@dataclass(frozen=True, slots=True)
class JobSpec:
    """An accepted job; `accepted_at` is in seconds since the epoch.

    `queue` is a copy of the queue at acceptance, used if the current configuration has no queue of
    that name. Without a `schedule` the steps run once, immediately.
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
        """The number of times the steps run."""
        return self.schedule.count if self.schedule else 1


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer: its API keys, and the accelerators guaranteed to its urgent jobs."""

    name: str
    keys: tuple[str, ...]
    guaranteed: int = 0


@dataclass(frozen=True, slots=True)
class DesiredState:
    """A complete configuration; versions only increase.

    `pools` also includes pools to which no queue sends work.
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
        """Return a job's queue as currently configured, or as it was when the job was accepted."""
        return self.by_name.get(job.queue.name, job.queue)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path.

        Takes one lookup for each distinct prefix length of the host.
        """
        prefixes = self._by_prefix.get(host, {})
        for length in self._lengths.get(host, ()):
            queue = prefixes.get(path[:length])
            if queue is not None and len(path) >= length:
                return queue
        return None


class ExecutorInstance(NamedTuple):
    """Identifies one run of an executor process: its id and its start time (Unix ms).

    A restarted executor may reuse its id. `born` is 0 where it is unknown, such as in records of
    earlier versions.
    """

    id: str
    born: int = 0


@dataclass(frozen=True, slots=True)
class Executor:
    """One instance of an executor; a later instance may have the same id.

    `leaves_in_s` is the least time until it leaves, None if it is not draining; `born` is its
    start time in Unix ms, 0 if unknown.
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
    def instance(self) -> ExecutorInstance:
        """The identifier of this instance among all instances of the same id."""
        return ExecutorInstance(self.id, self.born)

    @property
    def is_draining(self) -> bool:
        """Whether it accepts no new work."""
        return self.leaves_in_s is not None
