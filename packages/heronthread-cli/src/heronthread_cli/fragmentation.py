"""Fragmentation over time, from what ran where."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from heronthread_scheduling import Pool, Shape, Topology
from heronthread_scheduling.capacity import count_usable_units

from .history import AttemptRun


@dataclass(frozen=True, slots=True)
class Sample:
    """At `at` seconds: accelerators in use, and those free but of no use to the shape."""

    at: float
    used: int
    unusable: int


def sample_fragmentation(
    topology: Topology, attempts: Iterable[AttemptRun], reference: Shape
) -> list[Sample]:
    """Return one sample for each moment at which something started or ended."""
    changes: list[tuple[float, int, int]] = []
    for attempt in attempts:
        for member in attempt.members.values():
            if member.pool != Pool.ACCELERATORS or member.end is None:
                continue
            worker = topology.number[member.worker]
            changes.append((member.start, worker, -member.units))
            changes.append((member.end, worker, member.units))
    changes.sort()
    free = [worker.accelerators for worker in topology.workers]
    total = sum(free)
    samples = []
    for at, worker, units in changes:
        free[worker] += units
        unusable = sum(free) - count_usable_units(topology, free, reference)
        samples.append(Sample(at, total - sum(free), unusable))
    return samples


def mean_fragmentation(samples: list[Sample], total: int) -> float:
    """Return the time average of unusable accelerators over all accelerators."""
    if len(samples) < 2 or total == 0:
        return 0.0
    area = sum(
        sample.unusable * (after.at - sample.at)
        for sample, after in zip(samples, samples[1:], strict=False)
    )
    return area / total / (samples[-1].at - samples[0].at)
