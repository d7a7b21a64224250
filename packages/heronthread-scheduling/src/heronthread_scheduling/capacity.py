"""Free units of one pool, indexed by level and by size."""

from __future__ import annotations

from collections.abc import Sequence

from .job import Places, Shape
from .topology import Level, Pool, Topology


class CapacityIndex:
    """Number of gang members of each size that fit in every unit of every level.

    `available[worker]` is the number of units available on a worker.
    `member_counts[level][unit][size]` is the sum of `available // size` over the workers of
    the unit, for sizes from 1 to the largest worker; the worker level has no row, so index
    0 is the rack. Updating a worker costs O(levels x size), checking a fit O(1).
    """

    def __init__(self, topology: Topology, values: list[int], largest: int) -> None:
        self.topology = topology
        self.largest = largest
        self.available = [0] * len(values)
        self.member_counts = [
            [[0] * (largest + 1) for _ in topology.workers_in[level]]
            for level in (Level.RACK, Level.DOMAIN, Level.CELL)
        ]
        for worker, value in enumerate(values):
            self.set(worker, value)

    def set(self, worker: int, value: int) -> None:
        """Record that `worker` has `value` units available."""
        old = self.available[worker]
        if old == value:
            return
        self.available[worker] = value
        rows = [
            self.member_counts[level - 1][self.topology.unit_of[level][worker]]
            for level in (Level.RACK, Level.DOMAIN, Level.CELL)
        ]
        for size in range(1, max(old, value) + 1):
            change = value // size - old // size
            if change:
                for row in rows:
                    row[size] += change

    def members(self, level: Level, unit: int, size: int) -> int:
        """Return how many members of `size` units fit in the unit now."""
        if size > self.largest:
            return 0
        if level is Level.WORKER:
            return self.available[unit] // size
        return self.member_counts[level - 1][unit][size]

    def fits(self, shape: Shape, level: Level, unit: int) -> bool:
        """Return whether a gang of `shape` fits in one unit of `level`."""
        return self.members(level, unit, shape.units) >= shape.members


def count_usable_units(topology: Topology, free: Sequence[int], shape: Shape) -> int:
    """Return how many units gangs of `shape` could occupy, given the free units per worker."""
    usable = 0
    for workers in topology.workers_in[shape.adjacency]:
        members = sum(max(0, free[worker]) // shape.units for worker in workers)
        usable += members // shape.members * shape.total
    return usable


class PoolCapacity:
    """Used, reserved and pinned units of one pool of one cell.

    On each worker, `used` counts the units held by gangs, `reserved` the units of
    guarantee blocks whether used or not, and `pinned` the units held outside of blocks by
    gangs that can't be reclaimed. Keeping `reserved + pinned <= total` on every worker
    ensures that every gang that does not belong in a block can be reclaimed from it.
    """

    def __init__(self, topology: Topology, pool: Pool) -> None:
        self.topology = topology
        self.pool = pool
        self.total = [worker.count(pool) for worker in topology.workers]
        self.lost = [False] * len(self.total)
        self.used = [0] * len(self.total)
        self.reserved = [0] * len(self.total)
        self.pinned = [0] * len(self.total)
        self.excluded: set[int] = set()
        self.largest = max(self.total, default=0)
        self.free = CapacityIndex(topology, self.total, self.largest)
        self.free_unreserved = CapacityIndex(topology, self.total, self.largest)

    def capacity(self, worker: int) -> int:
        """Return the units of a live worker, or 0 for a lost one."""
        return 0 if self.lost[worker] else self.total[worker]

    def free_units(self, worker: int) -> int:
        """Return the unused units of a worker, never below 0."""
        return max(0, self.capacity(worker) - self.used[worker])

    def unreserved(self, worker: int) -> int:
        """Return the units outside of blocks and pinned gangs, whether used or not."""
        return max(0, self.capacity(worker) - self.reserved[worker] - self.pinned[worker])

    def refresh(self, worker: int) -> None:
        """Update both indexes for one worker; an excluded worker has no units in them."""
        free = self.free_units(worker)
        available = min(free, self.unreserved(worker))
        if worker in self.excluded:
            free = available = 0
        self.free.set(worker, free)
        self.free_unreserved.set(worker, available)

    def exclude(self, workers: list[int]) -> None:
        """Exclude exactly `workers` from both indexes, because they are held for a large gang."""
        previous = self.excluded
        self.excluded = set(workers)
        for worker in sorted(previous ^ self.excluded):
            self.refresh(worker)

    def occupy(self, places: Places, *, pinned: bool) -> None:
        """Count the units of `places` as used, and as not reclaimable if `pinned`."""
        self._change(self.used, places, 1)
        if pinned:
            self._change(self.pinned, places, 1)

    def vacate(self, places: Places, *, pinned: bool) -> None:
        """Undo `occupy`."""
        self._change(self.used, places, -1)
        if pinned:
            self._change(self.pinned, places, -1)

    def pin(self, places: Places) -> None:
        """Count units that are already used as not reclaimable."""
        self._change(self.pinned, places, 1)

    def reserve(self, places: Places) -> None:
        """Count the units of `places` as reserved for a guarantee block."""
        self._change(self.reserved, places, 1)

    def unreserve(self, places: Places) -> None:
        """Undo `reserve`."""
        self._change(self.reserved, places, -1)

    def set_lost(self, worker: int, lost: bool) -> None:
        """Mark a worker as lost or live."""
        self.lost[worker] = lost
        self.refresh(worker)

    def _change(self, counts: list[int], places: Places, sign: int) -> None:
        for worker, units in places.items():
            counts[worker] += sign * units
            self.refresh(worker)
