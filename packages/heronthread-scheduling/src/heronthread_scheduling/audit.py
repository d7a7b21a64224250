"""Independent check of the capacity invariants.

The check shares no state with the scheduler: it places every guarantee from scratch,
given only the list of running gangs.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .guarantee import Guarantee
from .job import Places, Shape
from .topology import Level, Pool, Topology

MAX_SEARCH_STEPS = 20_000

UnitSignature = tuple[tuple[int, ...], ...]


@dataclass(frozen=True, slots=True)
class RunningGang:
    """A running gang, as input to the audit.

    `block_id` names the guarantee block it runs in, and `block_places` that block's units;
    both are None outside any block.
    """

    job_id: str
    customer: str
    shape: Shape
    places: Places
    reclaimable: bool
    block_id: str | None = None
    block_places: Places | None = None


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated invariant: a stable code and a description."""

    code: str
    text: str


def find_violations(
    topology: Topology,
    pool: Pool,
    lost: Sequence[bool],
    guarantees: Iterable[Guarantee],
    gangs: Iterable[RunningGang],
) -> list[Violation]:
    """Return the violations of gangs, capacity and guarantees in one pool."""
    listed = [gang for gang in gangs if gang.shape.pool is pool]
    found = [v for gang in listed for v in _check_gang(topology, gang)]
    found += _check_double_use(topology, pool, listed)
    found += _check_guarantees(topology, pool, lost, list(guarantees), listed)
    return found


def _check_gang(topology: Topology, gang: RunningGang) -> list[Violation]:
    found = []
    shape = gang.shape
    members = sum(units // shape.units for units in gang.places.values())
    whole = members == shape.members and all(u % shape.units == 0 for u in gang.places.values())
    if not whole:
        found.append(Violation("partial-gang", f"{gang.job_id} has {members} of {shape.members}"))
    unit_of = topology.unit_of[shape.adjacency]
    if len({unit_of[worker] for worker in gang.places}) > 1:
        found.append(Violation("adjacency", f"{gang.job_id} is spread over several units"))
    return found


def _check_double_use(topology: Topology, pool: Pool, gangs: list[RunningGang]) -> list[Violation]:
    used = [0] * len(topology)
    for gang in gangs:
        for worker, units in gang.places.items():
            used[worker] += units
    return [
        Violation("double-use", f"{worker.name} has {worker.count(pool)} units, {used[i]} in use")
        for i, worker in enumerate(topology.workers)
        if used[i] > worker.count(pool)
    ]


def _check_guarantees(
    topology: Topology,
    pool: Pool,
    lost: Sequence[bool],
    guarantees: list[Guarantee],
    gangs: list[RunningGang],
) -> list[Violation]:
    free = [0 if lost[i] else w.count(pool) for i, w in enumerate(topology.workers)]
    in_use: dict[str, Places] = {}
    for gang in gangs:
        if gang.block_id is not None:
            in_use[gang.block_id] = gang.block_places or gang.places
        elif not gang.reclaimable:
            _subtract_units(free, gang.places)
    for places in in_use.values():
        _subtract_units(free, places)
    unused: list[tuple[str, Shape]] = []
    for guarantee in guarantees:
        if guarantee.shape.pool is not pool:
            continue
        prefix = f"{guarantee.customer}/{guarantee.shape}#"
        busy = sum(1 for block_id in in_use if block_id.startswith(prefix))
        unused += [(guarantee.customer, guarantee.shape)] * (guarantee.count - busy)
    if any(units < 0 for units in free) or not _can_place(topology, free, unused):
        names = ", ".join(sorted({customer for customer, _ in unused}))
        return [Violation("guarantee", f"the unused guarantees of {names} can't all be placed")]
    return []


def _subtract_units(free: list[int], places: Places) -> None:
    for worker, units in places.items():
        free[worker] -= units


def _can_place(topology: Topology, free: list[int], unused: list[tuple[str, Shape]]) -> bool:
    """Search for disjoint places for all shapes, strictest adjacency and largest size first."""
    shapes = sorted((s for _, s in unused), key=lambda s: (s.adjacency, -s.units, -s.total))
    budget = [MAX_SEARCH_STEPS]
    return _place_remaining(topology, list(free), shapes, 0, budget)


def _place_remaining(
    topology: Topology, free: list[int], shapes: list[Shape], index: int, budget: list[int]
) -> bool:
    if index == len(shapes):
        return True
    if budget[0] <= 0:
        return False
    shape = shapes[index]
    units = sorted(topology.workers_in[shape.adjacency], key=lambda ws: sum(free[w] for w in ws))
    tried: set[UnitSignature] = set()
    for workers in units:
        signature = _unit_signature(topology, free, workers[0], shape.adjacency)
        if signature in tried:
            continue
        tried.add(signature)
        for order in _member_orders(free, workers, shape.units):
            budget[0] -= 1
            places = _place_members(free, order, shape)
            if places is None:
                break
            _subtract_units(free, places)
            if _place_remaining(topology, free, shapes, index + 1, budget):
                return True
            _subtract_units(free, {worker: -count for worker, count in places.items()})
    return False


def _unit_signature(
    topology: Topology, free: list[int], worker: int, level: Level
) -> UnitSignature:
    """Describe a unit by the free units in it and in each larger unit that contains it.

    Units with equal signatures are interchangeable, so only one of them is tried.
    """
    around = [lv for lv in Level if lv >= level]
    units = [topology.workers_in[lv][topology.unit_of[lv][worker]] for lv in around]
    return tuple(tuple(sorted(free[w] for w in workers)) for workers in units)


def _member_orders(free: list[int], workers: list[int], size: int) -> list[list[int]]:
    tight = sorted(workers, key=lambda w: (free[w] % size, free[w], w))
    full = sorted(workers, key=lambda w: (free[w], w))
    empty = sorted(workers, key=lambda w: (-free[w], w))
    return [tight, full, empty]


def _place_members(free: list[int], workers: list[int], shape: Shape) -> Places | None:
    places: Places = {}
    missing = shape.members
    for worker in workers:
        count = min(missing, max(0, free[worker]) // shape.units)
        if count:
            places[worker] = count * shape.units
            missing -= count
        if missing == 0:
            return places
    return None
