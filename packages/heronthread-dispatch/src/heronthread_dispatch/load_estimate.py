"""How an owner derives the load of its pools: what waits, what frees, and the expected waits."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from statistics import median

from .fleet import ExecutorState, WorkRefusal
from .guarantee import find_guaranteed
from .learned import LearnedState
from .load_digest import MAX_CUSTOMERS, MAX_S, PoolLoad, PriorityLoad
from .model import URGENT, DesiredState, Queue
from .progress import JobState, latest_starts
from .step_state import StepState

DRAIN_WINDOW_S = 10.0
"""How far back ends count for the drain rate. Several waves of work end within it, and demand of
customers changes over 11 s to 15 s."""
MIN_ENDS = 5
"""Ends within the window below which the drain rate is unknown."""
PASSED_OVER_S = 2.0
"""Once ready work has waited so long, the plan has found no room for it; longer than the 1.5 s for
which a plan keeps room for urgent work."""
DUE_BEFORE_SHARE = 0.75
"""Part of the waiting work of a priority that must be due before a new job to count for it."""
MAX_LENGTHS = 100
"""Runs of a pool and priority whose lengths are kept; enough for a median."""
MIN_LENGTH_S = 0.1
"""Least length of a task, so that an estimate of nearly zero gives no infinite rate."""


@dataclass(frozen=True, slots=True)
class RunEnd:
    """A run that ended and freed accelerators; `length_s` is None if it was not done."""

    at: float
    pool: str
    priority: int
    accelerators: int
    length_s: float | None


@dataclass(slots=True)
class _Freed:
    """What a pool freed within the window: (time, accelerators) of each end, and their sum."""

    ends: deque[tuple[float, int]] = field(default_factory=deque)
    accelerators: int = 0

    def add(self, at: float, accelerators: int) -> None:
        self.ends.append((at, accelerators))
        self.accelerators += accelerators

    def forget(self, since: float) -> None:
        while self.ends and self.ends[0][0] < since:
            self.accelerators -= self.ends.popleft()[1]


@dataclass(slots=True)
class Drain:
    """The ends of runs within the last `DRAIN_WINDOW_S`, and the capacity of the pools then.

    `since` is when the term began (trio's clock).
    """

    since: float
    _freed: dict[str, _Freed] = field(default_factory=dict)
    _lengths: dict[tuple[str, int], deque[tuple[float, float]]] = field(default_factory=dict)
    _capacities: deque[tuple[float, dict[str, int]]] = field(default_factory=deque)

    def note_end(self, end: RunEnd) -> None:
        """Add an end; preempted runs, which wait again, are not to be added."""
        freed = self._freed.setdefault(end.pool, _Freed())
        freed.add(end.at, end.accelerators)
        freed.forget(end.at - DRAIN_WINDOW_S)
        if end.length_s is not None:
            key = (end.pool, end.priority)
            lengths = self._lengths.setdefault(key, deque(maxlen=MAX_LENGTHS))
            lengths.append((end.at, end.length_s))

    def note_capacity(self, capacity: dict[str, int], now: float) -> None:
        """Add the accelerators of each pool."""
        self._capacities.append((now, capacity))
        while self._capacities[0][0] < now - DRAIN_WINDOW_S:
            self._capacities.popleft()

    def find_rate(self, pool: str, now: float) -> float | None:
        """Return the accelerators that a pool freed per second, None if it is not known.

        It is not known early in a term, after few ends, or while the pool is empty or growing.
        """
        freed = self._freed.get(pool)
        if freed is None or now - self.since < DRAIN_WINDOW_S or self._is_growing(pool):
            return None
        freed.forget(now - DRAIN_WINDOW_S)
        return freed.accelerators / DRAIN_WINDOW_S if len(freed.ends) >= MIN_ENDS else None

    def _is_growing(self, pool: str) -> bool:
        """Return whether a pool is empty, or has more accelerators than earlier in the window."""
        sizes = [capacity.get(pool, 0) for _, capacity in self._capacities]
        return not sizes or not sizes[-1] or sizes[-1] > min(sizes)

    def find_length_s(self, pool: str, priority: int, now: float) -> float:
        """Return the median length (s) of the runs done lately, 0.0 if there were few."""
        known = self._lengths.get((pool, priority), ())
        lengths = [length_s for at, length_s in known if at >= now - DRAIN_WINDOW_S]
        return median(lengths) if len(lengths) >= MIN_ENDS else 0.0


@dataclass(frozen=True, slots=True)
class _WaitingStep:
    """Ready work: its accelerators, those it needs to begin, its slack (s) and how it ranks."""

    priority: int
    accelerators: int
    to_begin: int
    slack_s: float
    is_guaranteed: bool
    lateness: int
    is_passed_over: bool


@dataclass(slots=True)
class _PoolState:
    """What is known of one pool; `running` is the rate (accelerators/s) at which its runs end."""

    waiting: list[_WaitingStep] = field(default_factory=list)
    free: int = 0
    capacity: int = 0
    preemptible: int = 0
    running: float = 0.0


def measure_capacity(executors: Iterable[ExecutorState], now: float) -> dict[str, int]:
    """Return the accelerators of the executors in use of each pool, resting ones included."""
    found: dict[str, int] = defaultdict(int)
    for state in executors:
        if state.find_refusal(now) in (None, WorkRefusal.RESTING, WorkRefusal.APART):
            found[state.executor.pool] += state.executor.capacity.accelerators
    return dict(found)


class LoadEstimate:
    """One estimate of the load of all pools; jobs are added one by one, as there may be thousands.

    `now` is on trio's clock, `wall_now` in seconds since the epoch. `guaranteed` are the ids of the
    urgent jobs that their customers' guarantees cover.
    """

    def __init__(
        self,
        desired: DesiredState,
        learned: LearnedState,
        guaranteed: Collection[str],
        now: float,
        wall_now: float,
    ) -> None:
        self._desired = desired
        self._learned = learned
        self._guaranteed = guaranteed
        self._now = now
        self._wall_now = wall_now
        self._pools: defaultdict[str, _PoolState] = defaultdict(_PoolState)

    def add_job(self, job: JobState) -> None:
        """Add what a job runs, and what of it waits."""
        queue = self._desired.current_queue(job.spec)
        pool = self._pools[queue.pool]
        for step in job.steps:
            if step.attempt_count and not step.spec.lasting:
                self._add_running(pool, job, step, queue)
            if step.waiting_count and job.is_active and not step.spec.fills:
                self._add_waiting(pool, job, step, queue)

    def _add_running(self, pool: _PoolState, job: JobState, step: StepState, queue: Queue) -> None:
        accelerators = step.attempt_count * step.spec.need.accelerators
        length = self._learned.lengths.predict(
            job.spec.tenant, job.spec.queue.name, step.spec.estimate_s, self._now
        )
        pool.running += accelerators / max(MIN_LENGTH_S, length.typical_s)
        pool.preemptible += accelerators if queue.priority != URGENT else 0

    def _add_waiting(self, pool: _PoolState, job: JobState, step: StepState, queue: Queue) -> None:
        if not job.is_ready(step, self._wall_now):
            return
        now = self._now
        latest_start, last_useful = latest_starts(job, step, queue, now, self._wall_now)
        lateness = (latest_start < now) + (last_useful < now)
        is_guaranteed = job.spec.id in self._guaranteed
        slack_s = latest_start - now
        pool.waiting.append(_describe_waiting(step, queue, slack_s, is_guaranteed, lateness, now))

    def add_executors(self, executors: Iterable[ExecutorState]) -> None:
        """Add the capacity of the executors that accept work."""
        for state in executors:
            if state.accepts_work(self._now):
                pool = self._pools[state.executor.pool]
                pool.free += max(0, state.free.accelerators)
                pool.capacity += state.executor.capacity.accelerators

    def describe(self, drain: Drain) -> tuple[PoolLoad, ...]:
        """Return the load of each pool that has a queue or waiting work."""
        priorities = {(queue.pool, queue.priority) for queue in self._desired.queues}
        for name, known in self._pools.items():
            priorities |= {(name, waiting.priority) for waiting in known.waiting}
        return tuple(
            _describe_pool(
                name,
                self._pools[name],
                {priority for pool, priority in priorities if pool == name},
                drain,
                self._learned,
                self._now,
            )
            for name in sorted({pool for pool, _ in priorities})
        )


def estimate_load(
    jobs: Iterable[JobState],
    executors: Iterable[ExecutorState],
    desired: DesiredState,
    drain: Drain,
    learned: LearnedState,
    now: float,
    wall_now: float,
) -> tuple[PoolLoad, ...]:
    """Return the load of each pool, estimated in one go."""
    jobs = list(jobs)
    guaranteed = find_guaranteed(jobs, desired, wall_now)
    estimate = LoadEstimate(desired, learned, guaranteed, now, wall_now)
    for job in jobs:
        estimate.add_job(job)
    estimate.add_executors(executors)
    return estimate.describe(drain)


def _describe_waiting(
    step: StepState, queue: Queue, slack_s: float, is_guaranteed: bool, lateness: int, now: float
) -> _WaitingStep:
    accelerators = step.waiting_count * step.spec.need.accelerators
    to_begin = accelerators if step.spec.gang else step.spec.need.accelerators
    waited_s = 0.0 if step.ready_at is None else now - step.ready_at
    is_passed_over = waited_s >= PASSED_OVER_S and _needs_only_capacity(step, queue)
    return _WaitingStep(
        queue.priority, accelerators, to_begin, slack_s, is_guaranteed, lateness, is_passed_over
    )


def _needs_only_capacity(step: StepState, queue: Queue) -> bool:
    """Return whether only capacity can keep a step from starting."""
    spec = step.spec
    is_limited = spec.label or spec.spread_limit or queue.approval or step.has_suspects
    return not is_limited and spec.need.accelerators > 0


def _describe_pool(
    name: str,
    pool: _PoolState,
    priorities: set[int],
    drain: Drain,
    learned: LearnedState,
    now: float,
) -> PoolLoad:
    """Return the load of a pool; the faster of the rates seen and expected is its drain."""
    rate = drain.find_rate(name, now)
    if rate is not None:
        rate = max(rate, pool.running)
    rows = tuple(
        _describe_priority(priority, pool, rate, drain.find_length_s(name, priority, now))
        for priority in sorted(priorities)
    )
    largest = learned.shares.list_largest(name, now)
    used = sorted(largest.items(), key=lambda item: -item[1])[:MAX_CUSTOMERS]
    return PoolLoad(name, rate, rows, dict(used))


def _describe_priority(
    priority: int, pool: _PoolState, rate: float | None, length_s: float
) -> PriorityLoad:
    own = [waiting for waiting in pool.waiting if waiting.priority == priority]
    able = [waiting for waiting in pool.waiting if waiting.to_begin <= pool.capacity]
    before = sum(w.accelerators for w in able if _precedes_on_time(w, priority))
    before_late = sum(w.accelerators for w in able if _precedes_late(w, priority))
    room = _find_room(pool, priority)
    return PriorityLoad(
        priority,
        sum(waiting.accelerators for waiting in own),
        _find_wait_s(before - room, rate),
        _find_wait_s(before_late - room, rate),
        room,
        min(MAX_S, length_s),
        _find_slack_s([waiting for waiting in own if _precedes_on_time(waiting, priority)]),
    )


def _find_wait_s(accelerators: int, rate: float | None) -> float | None:
    """Return how long (s) a pool takes to free so many accelerators, None if unknown."""
    return None if not rate else min(MAX_S, max(0, accelerators) / rate)


def _precedes_on_time(waiting: _WaitingStep, priority: int) -> bool:
    """Return whether the plan places work before a new, on-time job of a priority.

    Late work comes after on-time work of any priority, but all urgent work precedes the rest.
    """
    if waiting.priority == URGENT != priority:
        return True
    return waiting.priority <= priority and (waiting.is_guaranteed or not waiting.lateness)


def _precedes_late(waiting: _WaitingStep, priority: int) -> bool:
    """Return whether the plan places work before a job of a priority that has become late.

    Work too late to be useful comes last, except that urgent work keeps its place.
    """
    if URGENT in (waiting.priority, priority):
        return waiting.priority == URGENT
    is_better = waiting.lateness == 1 and waiting.priority <= priority
    return is_better or not waiting.lateness


def _find_room(pool: _PoolState, priority: int) -> int:
    """Return how many tasks of one accelerator could start now for work of a priority.

    Urgent work also gets what it may preempt. Free capacity in which waiting work of a priority as
    good has found no place, because of other resources or of room kept for urgent work, is smaller
    than that work.
    """
    room = pool.free + (pool.preemptible if priority == URGENT else 0)
    passed_over = [
        waiting.to_begin
        for waiting in pool.waiting
        if waiting.is_passed_over and waiting.priority <= priority
    ]
    return min([room, *(need - 1 for need in passed_over)])


def _find_slack_s(waiting: list[_WaitingStep]) -> float:
    """Return the slack (s) within which most of some waiting work is due, 0.0 without any."""
    total, seen = sum(step.accelerators for step in waiting), 0
    for step in sorted(waiting, key=lambda step: step.slack_s):
        seen += step.accelerators
        if seen >= DUE_BEFORE_SHARE * total:
            return min(MAX_S, max(0.0, step.slack_s))
    return 0.0
