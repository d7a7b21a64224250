"""Placement policies: first fit, best fit, and least loss of usable capacity."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from functools import singledispatch

from .capacity import CapacityIndex, PoolCapacity
from .job import Places, Shape
from .topology import Level, Topology

MAX_CANDIDATES_PER_LEVEL = 12
OVERLAP_COST = 0.02


@dataclass(frozen=True, slots=True)
class FirstFit:
    """Take the first unit, in topology order, that fits."""


@dataclass(frozen=True, slots=True)
class BestFit:
    """Take the unit left with the fewest free units."""


@dataclass(frozen=True, slots=True)
class LeastLoss:
    """Take the place that leaves the most usable capacity for the reference shapes.

    `reference_shapes` pairs shapes with weights. The cost of a place is the weighted number
    of units that gangs of those shapes can no longer occupy (compare fragmentation gradient
    descent, USENIX ATC 2023), plus a small cost for each unit that is reserved or pinned.
    """

    reference_shapes: tuple[tuple[Shape, float], ...] = ()


PlacementPolicy = FirstFit | BestFit | LeastLoss


def place_members(
    shape: Shape,
    workers: Iterable[int],
    units_on: Callable[[int], int] | Sequence[int],
    *,
    tight: bool,
) -> Places | None:
    """Distribute the members of `shape` over `workers`; return None if they do not fit.

    `units_on` gives the usable units of each worker. With `tight`, workers with the smallest
    remainder and then those with the fewest units come first, so that empty workers stay
    empty; otherwise the given order is kept.
    """
    get_units = units_on if callable(units_on) else units_on.__getitem__
    size = shape.units
    candidates = [(worker, get_units(worker)) for worker in workers]
    candidates = [(worker, units) for worker, units in candidates if units >= size]
    if tight:
        candidates.sort(key=lambda item: (item[1] % size, item[1], item[0]))
    places: Places = {}
    missing = shape.members
    for worker, units in candidates:
        count = min(missing, units // size)
        places[worker] = count * size
        missing -= count
        if missing == 0:
            return places
    return None


def _levels(shape: Shape) -> Iterable[Level]:
    """Return the levels to search, from the strictest."""
    if shape.members == 1:
        return (Level.WORKER,)
    return [level for level in Level if level <= shape.adjacency]


def _fitting_units(index: CapacityIndex, shape: Shape, level: Level) -> Iterable[int]:
    """Return the units of `level` where `shape` fits."""
    topology = index.topology
    if level is not Level.WORKER:
        return [u for u in range(len(topology.workers_in[level])) if index.fits(shape, level, u)]
    racks = range(len(topology.workers_in[Level.RACK]))
    possible = [r for r in racks if index.members(Level.RACK, r, shape.total) > 0]
    available = index.available
    needed = shape.members
    return [
        worker
        for rack in possible
        for worker in topology.workers_in[Level.RACK][rack]
        if available[worker] // shape.units >= needed
    ]


@singledispatch
def choose_places(
    policy: object, shape: Shape, index: CapacityIndex, capacity: PoolCapacity
) -> Places | None:
    """Return the places that `policy` chooses for a gang of `shape`, or None if it fits nowhere."""
    raise NotImplementedError(f"unsupported placement policy {type(policy).__name__}")


@choose_places.register
def _(
    policy: FirstFit, shape: Shape, index: CapacityIndex, capacity: PoolCapacity
) -> Places | None:
    level = Level.WORKER if shape.members == 1 else shape.adjacency
    for unit in _fitting_units(index, shape, level):
        return place_members(
            shape, index.topology.workers_in[level][unit], index.available, tight=False
        )
    return None


@choose_places.register
def _(policy: BestFit, shape: Shape, index: CapacityIndex, capacity: PoolCapacity) -> Places | None:
    level = Level.WORKER if shape.members == 1 else shape.adjacency
    units = list(_fitting_units(index, shape, level))
    if not units:
        return None
    topology = index.topology
    best = min(units, key=lambda unit: (index.members(level, unit, 1), unit))
    workers = sorted(topology.workers_in[level][best], key=lambda w: (index.available[w], w))
    return place_members(shape, workers, index.available, tight=False)


@choose_places.register
def _(
    policy: LeastLoss, shape: Shape, index: CapacityIndex, capacity: PoolCapacity
) -> Places | None:
    best: Places | None = None
    best_cost: tuple[float, int] | None = None
    for level in _levels(shape):
        for places in _candidates(shape, index, level):
            cost = (_capacity_loss(policy, places, capacity), int(level))
            if best_cost is None or cost < best_cost:
                best, best_cost = places, cost
    return best


def _candidates(shape: Shape, index: CapacityIndex, level: Level) -> Iterable[Places]:
    """Return at most `MAX_CANDIDATES_PER_LEVEL` places on one level, in the fullest units."""
    if level is Level.WORKER:
        return _worker_candidates(shape, index)
    units = list(_fitting_units(index, shape, level))
    units.sort(key=lambda unit: (index.members(level, unit, 1), unit))
    found = []
    for unit in units[:MAX_CANDIDATES_PER_LEVEL]:
        places = place_members(
            shape, index.topology.workers_in[level][unit], index.available, tight=True
        )
        if places is not None:
            found.append(places)
    return found


def _worker_candidates(shape: Shape, index: CapacityIndex) -> Iterable[Places]:
    """Return one worker for each rack and number of available units, the fullest first."""
    topology = index.topology
    chosen: dict[tuple[int, int], int] = {}
    for worker in _fitting_units(index, shape, Level.WORKER):
        chosen.setdefault((topology.unit_of[Level.RACK][worker], index.available[worker]), worker)
    order = sorted(chosen, key=lambda key: (key[1], index.members(Level.RACK, key[0], 1), key[0]))
    return [{chosen[key]: shape.total} for key in order[:MAX_CANDIDATES_PER_LEVEL]]


def _capacity_loss(policy: LeastLoss, places: Places, capacity: PoolCapacity) -> float:
    loss = 0.0
    for shape, weight in policy.reference_shapes:
        loss += weight * _usable_lost(shape, places, capacity)
    for worker, units in places.items():
        overlap = units - capacity.free_unreserved.available[worker]
        if overlap > 0:
            loss += OVERLAP_COST * overlap
    return loss


def _usable_lost(shape: Shape, places: Places, capacity: PoolCapacity) -> int:
    """Return how many units gangs of `shape` can no longer occupy once `places` is taken."""
    index = capacity.free
    size = shape.total if shape.adjacency is Level.WORKER else shape.units
    available = index.available
    if shape.adjacency is Level.WORKER:
        return size * sum(
            available[w] // size - (available[w] - n) // size for w, n in places.items()
        )
    unit_of = index.topology.unit_of[shape.adjacency]
    drops: dict[int, int] = {}
    for worker, units in places.items():
        drop = available[worker] // size - (available[worker] - units) // size
        drops[unit_of[worker]] = drops.get(unit_of[worker], 0) + drop
    lost = 0
    for unit, drop in drops.items():
        before = index.members(shape.adjacency, unit, size)
        lost += before // shape.members - (before - drop) // shape.members
    return lost * shape.total


def find_block_places(
    shape: Shape, topology: Topology, units_on: Callable[[int], int]
) -> Places | None:
    """Return the places for a guarantee block in the fullest unit, given the units per worker."""
    level = shape.adjacency
    best: tuple[tuple[int, int], Places] | None = None
    for unit, workers in enumerate(topology.workers_in[level]):
        places = place_members(shape, workers, units_on, tight=True)
        if places is None:
            continue
        left = sum(units_on(worker) for worker in workers)
        if best is None or (left, unit) < best[0]:
            best = ((left, unit), places)
    return best[1] if best else None
