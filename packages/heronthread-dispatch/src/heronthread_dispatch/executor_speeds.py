"""Relative speeds of executors, learned from the progress of runs of the same step.

The tasks of a step are about equally long, the members of a gang exactly, so the ratio of their
rates is the ratio of their executors' speeds. A speed belongs to an instance and doesn't change:
the median of many comparisons ignores tasks of unusual length and executors that are slow for a
while.
"""

from __future__ import annotations

import math
from array import array
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import pairwise
from statistics import median
from typing import Any

from .model import ExecutorInstance, TaskKey
from .speed_clusters import Cluster, find_clusters, may_be_kept, summarize

COMPARE_S = 1.0
"""Rates of a step noted within this time are compared; executors report about once a second."""
REST_S = 3.0
"""Time until a step is compared again: a task of unusual length stays so, and must not count at
each report."""
MAX_RATES = 4_000
"""Rates kept for comparison in all, and `MAX_MEMBERS` for one step; bounds memory and time."""
MAX_MEMBERS = 16
SAMPLES = 15
SAMPLE_S = 0.9
"""Comparisons within this time make one sample. The samples thus cover 13 s at least, so those of
an executor that is slow for 6 s are in the minority."""
MIN_SAMPLES = 2
REGROUP_S = 1.0
HYSTERESIS = 0.15
"""Share of the distance of two groups by which an executor must pass their midpoint to change its
group."""


class SpeedGroup(StrEnum):
    """How an executor's speed compares with the others of its pool."""

    FAST = "fast"
    TYPICAL = "typical"
    SLOW = "slow"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class GroupChange:
    """The groups that a pool's executors now form, slowest first, with counts and speeds."""

    pool: str
    groups: tuple[tuple[SpeedGroup, int, float], ...]


@dataclass(slots=True)
class _Speed:
    """One instance's samples of logarithmic speed, newest last, and their median.

    `is_anchored` is set once a sample came from a comparison with executors of known speed; the
    first ones assume that most executors of a step are typical. `level` is the number of its group
    in `_Pool.groups`.
    """

    pool: str
    samples: array[float] = field(default_factory=lambda: array("f"))
    sampled_at: float = float("-inf")
    merged: int = 0
    is_anchored: bool = False
    median: float = 0.0
    level: int | None = None

    @property
    def is_known(self) -> bool:
        return len(self.samples) >= MIN_SAMPLES

    def add(self, value: float, is_anchored: bool, now: float) -> None:
        """Add the result of one comparison."""
        if is_anchored and not self.is_anchored:
            self.is_anchored = True
            self.samples = array("f", [self.median] if self.samples else [])
            self.sampled_at = float("-inf")
        if now - self.sampled_at < SAMPLE_S:
            self.merged += 1
            self.samples[-1] += (value - self.samples[-1]) / self.merged
        else:
            self.sampled_at, self.merged = now, 1
            if len(self.samples) >= SAMPLES:
                del self.samples[0]
            self.samples.append(value)
        self.median = median(self.samples)


@dataclass(slots=True)
class _Pool:
    """The groups of one pool, slowest first; `centers` are their mean logarithmic speeds."""

    typical: float = 0.0
    groups: tuple[SpeedGroup, ...] = ()
    centers: list[float] = field(default_factory=list)
    regrouped_at: float = float("-inf")

    def choose_level(self, value: float, level: int | None) -> int:
        """Return the group of a logarithmic speed, preferring the present one near a border."""
        chosen = 0
        for index, (slower, faster) in enumerate(pairwise(self.centers)):
            border = (slower + faster) / 2
            if level is not None:
                margin = HYSTERESIS * (faster - slower)
                border += -margin if level > index else margin
            if value > border:
                chosen = index + 1
        return chosen


@dataclass(slots=True)
class _Comparison:
    """The logarithmic rates of one step's runs, by instance."""

    pool: str
    began_at: float
    rates: dict[ExecutorInstance, float] = field(default_factory=dict)


@dataclass(slots=True)
class ExecutorSpeeds:
    """The speeds of the executors of one cell, by instance."""

    _speeds: dict[ExecutorInstance, _Speed] = field(default_factory=dict)
    _pools: dict[str, _Pool] = field(default_factory=dict)
    _open: dict[TaskKey, _Comparison] = field(default_factory=dict)
    _resting: dict[TaskKey, float] = field(default_factory=dict)
    _rates: int = 0
    _changes: list[GroupChange] = field(default_factory=list)

    def note(
        self, pool: str, step: TaskKey, instance: ExecutorInstance, rate: float, now: float
    ) -> None:
        """Add the rate (percent/s) of a run; `step` is the key of its step's first task."""
        self._close_comparisons(now)
        if rate <= 0 or step in self._resting:
            return
        comparison = self._open.get(step)
        if comparison is None:
            if self._rates >= MAX_RATES:
                return
            comparison = self._open[step] = _Comparison(pool, now)
        rates = comparison.rates
        if instance not in rates:
            if len(rates) >= MAX_MEMBERS or self._rates >= MAX_RATES:
                return
            self._rates += 1
        rates[instance] = math.log(rate)

    def find(self, instance: ExecutorInstance) -> float | None:
        """Return an executor's speed relative to its pool's typical speed, None if unknown."""
        speed = self._speeds.get(instance)
        if speed is None or not speed.is_known:
            return None
        return math.exp(speed.median - self._pools[speed.pool].typical)

    def find_group(self, instance: ExecutorInstance) -> SpeedGroup:
        """Return the speed group of an executor; `TYPICAL` where speeds don't differ."""
        speed = self._speeds.get(instance)
        if speed is None:
            has_groups = any(pool.groups for pool in self._pools.values())
            return SpeedGroup.UNKNOWN if has_groups else SpeedGroup.TYPICAL
        groups = self._pools[speed.pool].groups
        if not groups:
            return SpeedGroup.TYPICAL
        return SpeedGroup.UNKNOWN if speed.level is None else groups[speed.level]

    def has_groups(self, pool: str) -> bool:
        """Whether the executors of a pool are known to differ in speed."""
        return bool(self.list_groups(pool))

    def list_groups(self, pool: str) -> tuple[SpeedGroup, ...]:
        """Return the groups of a pool's executors, slowest first; empty if speeds are alike."""
        return self._pools[pool].groups if pool in self._pools else ()

    def count_groups(self, pool: str, instances: Iterable[ExecutorInstance]) -> dict[str, int]:
        """Return how many of some executors are in each group; empty where speeds are alike."""
        if not self.has_groups(pool):
            return {}
        return dict(Counter(self.find_group(instance).value for instance in instances))

    def forget(self, instance: ExecutorInstance) -> None:
        """Remove what is known of an instance that has ended."""
        self._speeds.pop(instance, None)
        for comparison in self._open.values():
            if comparison.rates.pop(instance, None) is not None:
                self._rates -= 1

    def take_changes(self) -> list[GroupChange]:
        """Return the changes of groups since the last call, for the log."""
        changes, self._changes = self._changes, []
        return changes

    def describe(self, now: float) -> list[dict[str, Any]]:
        """Return one row for each speed group of each pool, for operators."""
        rows: dict[tuple[str, SpeedGroup], list[_Speed]] = {}
        for instance, speed in self._speeds.items():
            rows.setdefault((speed.pool, self.find_group(instance)), []).append(speed)
        return [
            {
                "pool": pool,
                "group": group.value,
                "executors": len(speeds),
                "speed": self._find_typical_speed(pool, speeds),
                "last compared s": round(max(0.0, now - max(s.sampled_at for s in speeds)), 1),
            }
            for (pool, group), speeds in sorted(rows.items())
        ]

    def _find_typical_speed(self, pool: str, speeds: list[_Speed]) -> float | None:
        """Return the median speed of the known executors relative to the pool's typical one."""
        known = [speed.median for speed in speeds if speed.is_known]
        return round(math.exp(median(known) - self._pools[pool].typical), 2) if known else None

    # Comparisons

    def _close_comparisons(self, now: float) -> None:
        """Evaluate the comparisons whose time is over; both dicts are in the order of time."""
        while self._resting:
            step, until = next(iter(self._resting.items()))
            if until > now:
                break
            del self._resting[step]
        while self._open:
            step, comparison = next(iter(self._open.items()))
            if comparison.began_at + COMPARE_S > now:
                return
            del self._open[step]
            self._rates -= len(comparison.rates)
            if len(comparison.rates) > 1:
                self._resting[step] = now + REST_S
                self._evaluate(comparison, now)

    def _evaluate(self, comparison: _Comparison, now: float) -> None:
        """Add a sample for each executor, relative to those of known speed."""
        # What a rate would be on an executor of logarithmic speed 0, by the executors known.
        levels: dict[ExecutorInstance, float] = {}
        for instance, rate in comparison.rates.items():
            speed = self._speeds.get(instance)
            if speed is not None and speed.is_known:
                levels[instance] = rate - speed.median
        if not levels:
            level = median(comparison.rates.values())
            for instance, rate in comparison.rates.items():
                self._add_sample(comparison.pool, instance, rate - level, False, now)
        else:
            found = {
                instance: rate - median(others)
                for instance, rate in comparison.rates.items()
                if (others := [level for i, level in levels.items() if i != instance])
            }
            for instance, value in found.items():
                self._add_sample(comparison.pool, instance, value, True, now)
        pool = self._pools.setdefault(comparison.pool, _Pool())
        if now - pool.regrouped_at >= REGROUP_S:
            pool.regrouped_at = now
            self._regroup(comparison.pool, pool)

    def _add_sample(
        self, pool: str, instance: ExecutorInstance, value: float, is_anchored: bool, now: float
    ) -> None:
        speed = self._speeds.get(instance)
        if speed is None:
            speed = self._speeds[instance] = _Speed(pool)
        speed.add(value, is_anchored, now)

    # Groups

    def _regroup(self, name: str, pool: _Pool) -> None:
        """Update a pool's typical speed, its groups, and the group of each executor."""
        known = [s for s in self._speeds.values() if s.pool == name and s.is_known]
        if not known:
            return
        values = [speed.median for speed in known]
        pool.typical = median(values)
        before = pool.groups
        clusters = self._choose_clusters(pool, known, find_clusters(values))
        if len(clusters) != len(pool.centers):
            for speed in known:
                speed.level = None
        pool.groups = _name_groups(clusters)
        pool.centers = [cluster.mean for cluster in clusters] if pool.groups else []
        for speed in known:
            speed.level = pool.choose_level(speed.median, speed.level) if pool.groups else None
        if pool.groups != before:
            self._changes.append(_describe_change(name, pool, clusters))

    def _choose_clusters(
        self, pool: _Pool, known: list[_Speed], found: list[Cluster]
    ) -> list[Cluster]:
        """Return the clusters found, or the present ones while they are still distinct."""
        if len(found) >= len(pool.centers):
            return found
        members: list[list[float]] = [[] for _ in pool.centers]
        for speed in known:
            members[pool.choose_level(speed.median, speed.level)].append(speed.median)
        present = [summarize(values) for values in members]
        return present if may_be_kept(present) else found


def _name_groups(clusters: list[Cluster]) -> tuple[SpeedGroup, ...]:
    """Return the groups' names, slowest first; the larger one of two is typical."""
    if len(clusters) < 2:
        return ()
    if len(clusters) > 2:
        return SpeedGroup.SLOW, SpeedGroup.TYPICAL, SpeedGroup.FAST
    if clusters[0].count >= clusters[1].count:
        return SpeedGroup.TYPICAL, SpeedGroup.FAST
    return SpeedGroup.SLOW, SpeedGroup.TYPICAL


def _describe_change(name: str, pool: _Pool, clusters: list[Cluster]) -> GroupChange:
    return GroupChange(
        name,
        tuple(
            (group, cluster.count, round(math.exp(cluster.mean - pool.typical), 3))
            for group, cluster in zip(pool.groups, clusters, strict=bool(pool.groups))
        ),
    )
