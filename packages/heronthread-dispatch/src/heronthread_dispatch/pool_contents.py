"""The capacity of each pool's executors over a time window, and jobs that exceed it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Iterable
from dataclasses import dataclass, replace
from typing import Any

from .model import Executor, JobSpec, Resources
from .offers import count_fits

SETTLE_WINDOW_S = 30.0
"""How long a pool must not have grown before jobs are rejected, and how long a removed executor
still counts; longer than an entry's expiry (three heartbeats, 4.5 s), its return after a store
outage (2.5 s) and a machine's restart under a new id."""


@dataclass(frozen=True, slots=True)
class Kind:
    """Executors of a pool with the same capacity and labels, and their count."""

    capacity: Resources
    labels: tuple[str, ...]
    count: int


@dataclass(slots=True)
class _TrackedExecutor:
    """An executor and the time its entry was removed, None while it is listed."""

    executor: Executor
    removed_at: float | None = None


class PoolContents:
    """Tracks the executors of one owner's term, including recently removed ones.

    A pool that reaches a new maximum of executors is still growing, so it is not judged until it
    has not grown for `SETTLE_WINDOW_S`.
    """

    def __init__(self) -> None:
        self._tracked: dict[str, _TrackedExecutor] = {}
        self._listed_counts: Counter[str] = Counter()
        self._max_counts: Counter[str] = Counter()
        self._grew_at: dict[str, float] = {}

    def keep(self, executor: Executor, now: float) -> None:
        """Record that an executor is listed."""
        known = self._tracked.get(executor.id)
        if known is not None:
            # Its capacity may have shrunk only for a while, so the largest one counts.
            most = Resources(*map(max, known.executor.capacity, executor.capacity))
            executor = replace(executor, capacity=most)
        self.drop(executor.id, now)
        self._tracked[executor.id] = _TrackedExecutor(executor)
        pool = executor.pool
        self._listed_counts[pool] += 1
        if self._listed_counts[pool] > self._max_counts[pool]:
            self._max_counts[pool] = self._listed_counts[pool]
            self._grew_at[pool] = now

    def drop(self, executor_id: str, now: float) -> None:
        """Record that an executor's entry was removed."""
        tracked = self._tracked.get(executor_id)
        if tracked is not None and tracked.removed_at is None:
            tracked.removed_at = now
            self._listed_counts[tracked.executor.pool] -= 1
            self._forget(now)

    def remove_others(self, present: Container[str], now: float) -> None:
        """Record the removal of all executors that are not in `present`."""
        for executor_id in [name for name in self._tracked if name not in present]:
            self.drop(executor_id, now)

    def _forget(self, now: float) -> None:
        """Forget executors that were removed more than `SETTLE_WINDOW_S` ago."""
        self._tracked = {
            name: tracked
            for name, tracked in self._tracked.items()
            if tracked.removed_at is None or now - tracked.removed_at < SETTLE_WINDOW_S
        }

    def is_settled(self, pool: str, now: float) -> bool:
        """Whether a pool has not grown for long enough to judge what it can hold."""
        return now - self._grew_at.get(pool, now) >= SETTLE_WINDOW_S

    def list_kinds(self, pool: str, now: float) -> list[Kind]:
        """Return the executors that a pool holds, or held within `SETTLE_WINDOW_S`, by kind."""
        self._forget(now)
        executors = (s.executor for s in self._tracked.values() if s.executor.pool == pool)
        counts = Counter((e.capacity, e.labels) for e in executors)
        return [Kind(capacity, labels, count) for (capacity, labels), count in counts.items()]


def find_misfit(kinds: Iterable[Kind], spec: JobSpec, pool: str) -> str:
    """Return why idle executors could not hold a job, "" if they could.

    Labels and a step's spread limit count; racks don't, as they only affect speed.
    """
    kinds = list(kinds)
    for number, step in enumerate(spec.steps):
        room = 0
        for kind in kinds:
            if step.label and step.label not in kind.labels:
                continue
            fits = count_fits(step.need, kind.capacity)
            room += kind.count * (min(fits, step.spread_limit) if step.spread_limit else fits)
        pool_executors = f"the executors of {pool} seen in the last {SETTLE_WINDOW_S:g} s"
        if not room:
            return f"step {number}: none of {pool_executors} can hold one of its tasks"
        if step.gang and room < step.count:
            return (
                f"step {number}: its {step.count} tasks work only together, and"
                f" {pool_executors} can hold {room} of them"
            )
    return ""


def encode_kinds(kinds: Iterable[Kind]) -> list[Any]:
    """Return kinds as a field of a body."""
    return [[list(kind.capacity), list(kind.labels), kind.count] for kind in kinds]


def decode_kinds(rows: object) -> list[Kind]:
    """Read kinds from a field of a body; raises `ValueError` or `TypeError` if malformed."""
    if not isinstance(rows, list):
        raise TypeError("kinds are a list")
    kinds = []
    for capacity, labels, count in rows:
        if not all(isinstance(label, str) for label in labels):
            raise TypeError("labels are strings")
        resources = Resources(*(int(amount) for amount in capacity))
        kinds.append(Kind(resources, tuple(labels), int(count)))
    return kinds
