"""Workers held for a large gang, so that small jobs do not starve it.

In the literature on backfill scheduling a hold is called a reservation.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .capacity import PoolCapacity
from .job import Gang, Job
from .topology import Level


@dataclass(frozen=True, slots=True)
class Hold:
    """A unit held for `job_id`, which is expected to fit there at time `at` (seconds)."""

    job_id: str
    level: Level
    unit: int
    at: float


def find_hold(
    job: Job,
    capacity: PoolCapacity,
    gangs_on: Callable[[int], Iterable[Gang]],
    now: float,
    *,
    use_p95: bool,
) -> Hold | None:
    """Return a hold on the unit where `job` can start earliest if nothing new is placed there.

    Choose again at each pass, as gangs may end earlier than expected. Returns None if the
    job fits in no unit.
    """
    level = job.shape.adjacency
    topology = capacity.topology
    best: Hold | None = None
    for unit in range(len(topology.workers_in[level])):
        at = _earliest(job, capacity, topology.workers_in[level][unit], gangs_on, now, use_p95)
        if at is not None and (best is None or at < best.at):
            best = Hold(job.id, level, unit, at)
    return best


def _earliest(
    job: Job,
    capacity: PoolCapacity,
    workers: list[int],
    gangs_on: Callable[[int], Iterable[Gang]],
    now: float,
    use_p95: bool,
) -> float | None:
    """Return when the job fits on `workers`, given the expected ends of the gangs there."""
    size = job.shape.units
    free = {worker: _available(job, capacity, worker) for worker in workers}
    members = sum(units // size for units in free.values())
    if members >= job.shape.members:
        return now
    ends = [
        (max(now, gang.end(use_p95=use_p95)), gang.job.id, worker, gang.places[worker])
        for worker in workers
        for gang in gangs_on(worker)
    ]
    heapq.heapify(ends)
    while ends:
        at, _, worker, units = heapq.heappop(ends)
        if worker not in free:
            continue
        before = max(0, free[worker]) // size
        free[worker] += units
        members += max(0, free[worker]) // size - before
        if members >= job.shape.members:
            return at
    return None


def _available(job: Job, capacity: PoolCapacity, worker: int) -> int:
    free = capacity.free_units(worker)
    return free if job.reclaimable else min(free, capacity.unreserved(worker))
