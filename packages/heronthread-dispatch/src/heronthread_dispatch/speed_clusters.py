"""Clusters of executor speeds: which speeds of a pool are really different."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import combinations, pairwise

MIN_CLUSTER = 3
MIN_SHARE = 0.08
"""Executors in a cluster, as a number and of all; a few may be misjudged for a while."""
MIN_FACTOR = 1.15
"""Speed of a cluster relative to the next slower one."""
MIN_SEPARATION = 4.0
"""Distance of two clusters in standard deviations within them. The halves of a normal
distribution are 2.7 apart and the parts of a uniform one 3.5, so neither is split."""
KEPT_CLUSTER = 2
KEPT_FACTOR = 1.1
KEPT_SEPARATION = 2.5
"""Limits below which existing clusters are given up, so that they don't come and go."""
BIN_WIDTH = 0.02
"""Width of a bin of logarithmic speed; small against the logarithm of `MIN_FACTOR`."""
MAX_BINS = 48
"""Bounds the search for three clusters, whose cost grows with the square of the bins."""


@dataclass(frozen=True, slots=True)
class Cluster:
    """The number of executors, and the mean and variance of their logarithmic speeds."""

    count: int
    mean: float
    variance: float


@dataclass(frozen=True, slots=True)
class _Sums:
    """Sums over the values below a bin."""

    count: int
    total: float
    squares: float

    def add(self, value: float) -> _Sums:
        return _Sums(self.count + 1, self.total + value, self.squares + value * value)

    def until(self, end: _Sums) -> Cluster:
        """Return the cluster of the values from here to `end`."""
        count = end.count - self.count
        if not count:
            return Cluster(0, 0.0, 0.0)
        mean = (end.total - self.total) / count
        return Cluster(count, mean, max(0.0, (end.squares - self.squares) / count - mean * mean))


def find_clusters(values: Sequence[float]) -> list[Cluster]:
    """Return the clusters of logarithmic speeds, slowest first; one if they are all alike."""
    ordered = sorted(values)
    whole = summarize(ordered)
    least = _find_least_count(len(ordered))
    if len(ordered) < 2 * least or _spread(ordered, least) < math.log(MIN_FACTOR):
        return [whole]
    edges = _sum_by_bin(ordered)
    for count in (3, 2):
        found = _partition(edges, count, least)
        if found and _are_distinct(found, MIN_FACTOR, MIN_SEPARATION):
            return found
    return [whole]


def _find_least_count(total: int) -> int:
    """Return how many of `total` executors a cluster must have."""
    return max(MIN_CLUSTER, math.ceil(MIN_SHARE * total))


def summarize(values: Sequence[float]) -> Cluster:
    """Return all values as one cluster."""
    sums = _Sums(0, 0.0, 0.0)
    for value in values:
        sums = sums.add(value)
    return _Sums(0, 0.0, 0.0).until(sums)


def may_be_kept(clusters: Sequence[Cluster]) -> bool:
    """Whether existing clusters are still distinct enough."""
    is_populated = all(cluster.count >= KEPT_CLUSTER for cluster in clusters)
    return is_populated and _are_distinct(clusters, KEPT_FACTOR, KEPT_SEPARATION)


def _are_distinct(clusters: Sequence[Cluster], factor: float, separation: float) -> bool:
    """Whether neighbouring clusters differ by a factor and are apart compared to their spread."""
    for slower, faster in pairwise(clusters):
        distance = faster.mean - slower.mean
        deviation = math.sqrt((slower.variance + faster.variance) / 2)
        if distance < math.log(factor) or distance < separation * deviation:
            return False
    return True


def _spread(ordered: Sequence[float], least: int) -> float:
    """Return the range of the values without the outermost, too few to form a cluster."""
    return ordered[-least] - ordered[least - 1]


def _sum_by_bin(ordered: Sequence[float]) -> list[_Sums]:
    """Return the sums below each occupied bin's start, and those over all values."""
    width = max(BIN_WIDTH, (ordered[-1] - ordered[0]) / MAX_BINS)
    edges: list[_Sums] = []
    sums, last = _Sums(0, 0.0, 0.0), -1
    for value in ordered:
        number = int((value - ordered[0]) / width)
        if number != last:
            edges.append(sums)
            last = number
        sums = sums.add(value)
    return [*edges, sums]


def _partition(edges: list[_Sums], count: int, least: int) -> list[Cluster]:
    """Return the partition into `count` clusters with the least variance within them.

    Each cluster has `least` executors; empty if there is no such partition.
    """
    best: tuple[float, list[Cluster]] = (math.inf, [])
    for cuts in combinations(edges[1:-1], count - 1):
        clusters = [a.until(b) for a, b in pairwise((edges[0], *cuts, edges[-1]))]
        if min(cluster.count for cluster in clusters) < least:
            continue
        within = sum(cluster.count * cluster.variance for cluster in clusters)
        if within < best[0]:
            best = (within, clusters)
    return best[1]
