"""What the executors of each pool hold, as seen over a while, and what none of it can hold."""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Iterable
from dataclasses import dataclass, replace
from typing import Any

from .model import Executor, JobSpec, Resources
from .room import count_fits

SEEN_S = 30.0
"""How long a pool must not have grown before it is judged, and an executor that has gone counts
on: times an entry's lapse (three heartbeats, 4.5 s) and its way back after the store's return
(2.5 s), and longer than a machine takes to come back under a new id."""


@dataclass(frozen=True, slots=True)
class Kind:
    """How many executors of a pool are alike in capacity and labels."""

    capacity: Resources
    labels: tuple[str, ...]
    count: int


@dataclass(slots=True)
class _Seen:
    """An executor; `gone_at` is when its entry went, None while it is there."""

    executor: Executor
    gone_at: float | None = None


class PoolSizes:
    """The executors of one owner's term, those that went of late among them.

    A pool that never had so many executors as now is still growing: it may just be started, or
    come back after an outage, so nothing is said of it until it has been as it is for `SEEN_S`.
    """

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}
        self._listed: Counter[str] = Counter()
        self._most: Counter[str] = Counter()
        self._grown_at: dict[str, float] = {}

    def keep(self, executor: Executor, now: float) -> None:
        """Take in that an executor's entry is there."""
        known = self._seen.get(executor.id)
        if known is not None:
            # Its room may have shrunk for a while: what fits it at its largest waits.
            most = Resources(*map(max, known.executor.capacity, executor.capacity))
            executor = replace(executor, capacity=most)
        self.drop(executor.id, now)
        self._seen[executor.id] = _Seen(executor)
        pool = executor.pool
        self._listed[pool] += 1
        if self._listed[pool] > self._most[pool]:
            self._most[pool] = self._listed[pool]
            self._grown_at[pool] = now

    def drop(self, executor_id: str, now: float) -> None:
        """Take in that an executor's entry is there no more."""
        seen = self._seen.get(executor_id)
        if seen is not None and seen.gone_at is None:
            seen.gone_at = now
            self._listed[seen.executor.pool] -= 1
            self._forget(now)

    def drop_others(self, present: Container[str], now: float) -> None:
        """Take in that no other entries than those `present` are there."""
        for executor_id in [name for name in self._seen if name not in present]:
            self.drop(executor_id, now)

    def _forget(self, now: float) -> None:
        """Forget the executors that went long ago."""
        self._seen = {
            name: seen
            for name, seen in self._seen.items()
            if seen.gone_at is None or now - seen.gone_at < SEEN_S
        }

    def is_settled(self, pool: str, now: float) -> bool:
        """Whether a pool has been seen for long enough to judge what it can hold."""
        return now - self._grown_at.get(pool, now) >= SEEN_S

    def list_kinds(self, pool: str, now: float) -> list[Kind]:
        """Return what a pool holds, or held within `SEEN_S`."""
        self._forget(now)
        executors = (s.executor for s in self._seen.values() if s.executor.pool == pool)
        counts = Counter((e.capacity, e.labels) for e in executors)
        return [Kind(capacity, labels, count) for (capacity, labels), count in counts.items()]


def find_misfit(kinds: Iterable[Kind], spec: JobSpec, pool: str) -> str:
    """Return why executors could not hold a job even if nothing else ran, "" if they could.

    Racks only cost time, so they don't count; labels and a step's limit for each executor do.
    """
    kinds = list(kinds)
    for number, step in enumerate(spec.steps):
        room = 0
        for kind in kinds:
            if step.label and step.label not in kind.labels:
                continue
            fits = count_fits(step.need, kind.capacity)
            room += kind.count * (min(fits, step.spread_limit) if step.spread_limit else fits)
        seen = f"the executors of {pool} seen in the last {SEEN_S:g} s"
        if not room:
            return f"step {number}: none of {seen} can hold one of its tasks"
        if step.gang and room < step.count:
            return (
                f"step {number}: its {step.count} tasks work only together, and"
                f" {seen} can hold {room} of them"
            )
    return ""


def encode_kinds(kinds: Iterable[Kind]) -> list[Any]:
    """Return kinds as a field of a body."""
    return [[list(kind.capacity), list(kind.labels), kind.count] for kind in kinds]


def decode_kinds(rows: object) -> list[Kind]:
    """Read kinds from a field of a body; raises `ValueError` or `TypeError` if they are none."""
    if not isinstance(rows, list):
        raise TypeError("kinds are a list")
    kinds = []
    for capacity, labels, count in rows:
        if not all(isinstance(label, str) for label in labels):
            raise TypeError("labels are texts")
        resources = Resources(*(int(amount) for amount in capacity))
        kinds.append(Kind(resources, tuple(labels), int(count)))
    return kinds
