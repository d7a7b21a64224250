"""Strategies to start a waiting job, tried from the cheapest to the most disruptive."""

from __future__ import annotations

from collections.abc import Iterable

from .cell_state import CellState, PoolState
from .decision import Cause, Decision, Reason, Reclaim, Start
from .guarantee import Block, ReclaimOption
from .job import Gang, Job, Places
from .placement import choose_places, place_members
from .queue import QueueEntry
from .reclaim import choose_victims


def failure_key(cell: CellState, job: Job) -> object:
    """Return a key; jobs with equal keys fail for the same reason within a pass."""
    state = cell.pools[job.shape.pool]
    owner = job.customer if job.customer in state.blocks.by_customer else ""
    team = job.team if job.team in cell.quotas else ""
    urgent = job.job_class.urgent
    backfills = _can_backfill(state, job, 0.0, cell) if state.hold else False
    return (job.shape, job.reclaimable, owner, team, urgent, backfills, cell.is_large(job))


def try_start(cell: CellState, entry: QueueEntry, now: float) -> list[Decision] | Reason:
    """Start a job by the first strategy that works, else return why it must wait."""
    job = entry.job
    state = cell.pools[job.shape.pool]
    if _over_quota(cell, job):
        quota = cell.quotas[job.team]
        return Reason(Cause.QUOTA, f"team {job.team} may hold {quota} units at a time")
    found = _start_in_free_place(cell, state, job, now) or _start_in_guarantee(
        cell, state, job, now
    )
    if found is not None:
        return found
    reclaimed = _reclaim_guarantee(cell, state, job, now)
    if reclaimed is None and job.job_class.urgent:
        reclaimed = _reclaim_for_urgent(cell, state, job, now)
    if reclaimed is None and state.hold is not None and state.hold.job_id == job.id:
        reclaimed = _compact(cell, state, job, now)
    return reclaimed if reclaimed is not None else _waiting_reason(state, job)


def start_guaranteed(cell: CellState, job: Job, now: float) -> list[Decision]:
    """Start a job of a guaranteed size in its guarantee, reclaiming it if needed.

    These jobs come first in a pass, so that no gang is placed in a guarantee and reclaimed
    within the same pass.
    """
    state = cell.pools[job.shape.pool]
    if _over_quota(cell, job):
        return []
    found = _start_in_guarantee(cell, state, job, now)
    if found is None:
        found = _reclaim_guarantee(cell, state, job, now)
    return found or []


def _over_quota(cell: CellState, job: Job) -> bool:
    quota = cell.quotas.get(job.team)
    return quota is not None and cell.team_use.get(job.team, 0) + job.shape.total > quota


def occupy(cell: CellState, gang: Gang) -> None:
    """Record the gang and count its units as used."""
    job = gang.job
    state = cell.pools[job.shape.pool]
    cell.gangs[job.id] = gang
    for worker in gang.places:
        cell.gangs_by_worker[worker].add(job.id)
    if gang.block is not None:
        state.blocks.by_id[gang.block].bound[job.id] = gang.places
    state.capacity.occupy(gang.places, pinned=_pins_outside_block(gang))
    cell.customer_use[job.customer] = cell.customer_use.get(job.customer, 0) + job.shape.total
    cell.team_use[job.team] = cell.team_use.get(job.team, 0) + job.shape.total


def release(cell: CellState, gang: Gang) -> None:
    """Undo `occupy`."""
    job = gang.job
    state = cell.pools[job.shape.pool]
    del cell.gangs[job.id]
    for worker in gang.places:
        cell.gangs_by_worker[worker].discard(job.id)
    state.capacity.vacate(gang.places, pinned=_pins_outside_block(gang))
    if gang.block is not None:
        state.blocks.by_id[gang.block].bound.pop(job.id, None)
    if gang.pinned and state.blocks.unbacked():
        state.blocks.needs_placement = True
    cell.customer_use[job.customer] -= job.shape.total
    cell.team_use[job.team] -= job.shape.total


def _pins_outside_block(gang: Gang) -> bool:
    return gang.block is None and not gang.job.reclaimable


def _start(
    cell: CellState, job: Job, places: Places, now: float, block: Block | None, reason: Reason
) -> list[Decision]:
    cell.queue.remove(job.id)
    gang = Gang(job, places, now, block.id if block else None)
    occupy(cell, gang)
    return [Start(gang, reason)]


def _start_in_guarantee(
    cell: CellState, state: PoolState, job: Job, now: float
) -> list[Decision] | None:
    found = state.blocks.find_free_block(job)
    if found is None:
        return None
    block, places, moved = found
    if moved is not None:
        state.blocks.move(block, moved)
    reason = Reason(Cause.OWN_GUARANTEE, f"inside the guarantee {block.id}")
    return _start(cell, job, places, now, block, reason)


def _start_in_free_place(
    cell: CellState, state: PoolState, job: Job, now: float
) -> list[Decision] | None:
    capacity = state.capacity
    if state.hold is not None and state.hold.job_id == job.id:
        capacity.exclude([])
    index = capacity.free if job.reclaimable else capacity.free_unreserved
    places = choose_places(state.placement, job.shape, index, capacity)
    if places is not None:
        return _start(cell, job, places, now, None, Reason(Cause.FREE_PLACE, "a free place"))
    if state.hold is None:
        return None
    if state.hold.job_id == job.id:
        capacity.exclude(cell.topology.workers_in[state.hold.level][state.hold.unit])
        return None
    return _backfill(cell, state, job, now)


def _can_backfill(state: PoolState, job: Job, now: float, cell: CellState) -> bool:
    return state.hold is not None and now + cell.estimate(job) <= state.hold.at


def _backfill(cell: CellState, state: PoolState, job: Job, now: float) -> list[Decision] | None:
    """Start a job on held workers if it ends before the held gang can start."""
    hold = state.hold
    if hold is None or not _can_backfill(state, job, now, cell):
        return None
    capacity = state.capacity

    def usable_units(worker: int) -> int:
        free = capacity.free_units(worker)
        return free if job.reclaimable else min(free, capacity.unreserved(worker))

    held_workers = cell.topology.workers_in[hold.level][hold.unit]
    groups: Iterable[list[int]] = [[worker] for worker in held_workers]
    if job.shape.members > 1:
        if job.shape.adjacency < hold.level:
            return None
        groups = [held_workers]
    for group in groups:
        places = place_members(job.shape, group, usable_units, tight=True)
        if places is not None:
            reason = Reason(Cause.BACKFILL, "ends before the held workers are needed")
            return _start(cell, job, places, now, None, reason)
    return None


def _reclaim_guarantee(
    cell: CellState, state: PoolState, job: Job, now: float
) -> list[Decision] | None:
    """Reclaim the block of the customer that loses the least work."""

    def cost(worker: int) -> float:
        gangs = cell.gangs_on(worker, state.capacity.pool)
        return sum(g.lost_work(now) for g in gangs if _can_reclaim(g, now, spare_urgent=False))

    own = job.customer

    urgent = job.job_class.urgent
    best: tuple[tuple[float, int], ReclaimOption, list[Gang]] | None = None
    for option in state.blocks.reclaim_options(job, cost):
        victims = _find_victims(cell, state, option.places, now, urgent, spare_urgent=False)
        if victims is None or any(victim.job.customer == own for victim in victims):
            continue
        key = (_total_lost_work(victims, now), len(victims))
        if best is None or key < best[0]:
            best = (key, option, victims)
    if best is None:
        return None
    _, option, victims = best
    block = option.block
    if option.moved is not None:
        state.blocks.move(block, option.moved)
    reason = Reason(Cause.TAKEN_BACK, f"reclaims the guarantee {block.id}")
    return _start_after_reclaim(cell, state, job, option.places, victims, now, block, reason)


def _reclaim_for_urgent(
    cell: CellState, state: PoolState, job: Job, now: float
) -> list[Decision] | None:
    """Reclaim gangs outside of guarantees for an urgent job."""
    capacity = state.capacity
    usable = [0] * len(capacity.total)
    for worker in range(len(usable)):
        reclaimable = sum(
            gang.places[worker]
            for gang in cell.gangs_on(worker, capacity.pool)
            if _can_reclaim(gang, now, spare_urgent=True)
        )
        stopping = _stopping_units(cell, state, worker)
        units = max(0, capacity.capacity(worker) - capacity.used[worker] + reclaimable + stopping)
        usable[worker] = units if job.reclaimable else min(units, capacity.unreserved(worker))
    options = []
    for unit, workers in enumerate(cell.topology.workers_in[job.shape.adjacency]):
        places = place_members(job.shape, workers, usable, tight=True)
        if places is None:
            continue
        victims = _find_victims(cell, state, places, now, True, spare_urgent=True)
        if victims is not None:
            options.append((_total_lost_work(victims, now), unit, places, victims))
    if not options:
        return None
    _, _, places, victims = min(options, key=lambda option: option[:2])
    reason = Reason(Cause.URGENT, "urgent job reclaims gangs outside of guarantees")
    return _start_after_reclaim(cell, state, job, places, victims, now, None, reason)


def _compact(cell: CellState, state: PoolState, job: Job, now: float) -> list[Decision] | None:
    """Reclaim small checkpointable gangs if that costs less than waiting for the hold."""
    hold = state.hold
    if hold is None or not cell.policy.compaction or hold.at <= now:
        return None
    capacity = state.capacity
    movable: dict[int, int] = {}
    workers = cell.topology.workers_in[hold.level][hold.unit]
    for worker in workers:
        movable[worker] = sum(
            gang.places[worker]
            for gang in cell.gangs_on(worker, capacity.pool)
            if _is_movable(cell, gang, now)
        )

    def usable_units(worker: int) -> int:
        units = capacity.free_units(worker) + movable[worker]
        return units if job.reclaimable else min(units, capacity.unreserved(worker))

    by_free = sorted(workers, key=lambda worker: (-capacity.free_units(worker), worker))
    places = place_members(job.shape, by_free, usable_units, tight=False)
    if places is None:
        return None
    shortage = _shortage(cell, state, places)
    movers = [gang for gang in _gangs_at(cell, state, places) if _is_movable(cell, gang, now)]
    victims = choose_victims(shortage, movers, now)
    if not victims or not _fit_elsewhere(state, victims):
        return None
    saved = (hold.at - now) * job.shape.total
    spent = _total_lost_work(victims, now) + sum(
        v.job.checkpoint_s * v.job.shape.total for v in victims
    )
    if spent >= saved:
        return None
    reason = Reason(Cause.COMPACTION, f"moving {len(victims)} gangs saves {hold.at - now:.0f} s")
    return _start_after_reclaim(cell, state, job, places, victims, now, None, reason)


def _is_movable(cell: CellState, gang: Gang, now: float) -> bool:
    small = not cell.is_large(gang.job)
    return gang.job.checkpointable and small and _can_reclaim(gang, now, spare_urgent=True)


def _fit_elsewhere(state: PoolState, victims: list[Gang]) -> bool:
    index = state.capacity.free
    needed = sum(victim.job.shape.total for victim in victims)
    cell_unit = 0
    largest = max(victim.job.shape.units for victim in victims)
    members = sum(index.available)
    return members >= needed and index.member_counts[-1][cell_unit][largest] >= len(victims)


def _start_after_reclaim(
    cell: CellState,
    state: PoolState,
    job: Job,
    places: Places,
    victims: list[Gang],
    now: float,
    block: Block | None,
    reason: Reason,
) -> list[Decision]:
    """Assign the places now; the gang starts when the victims have stopped."""
    pending = {victim.job.id for victim in victims}
    pending |= {g.job.id for g in _gangs_at(cell, state, places) if g.is_stopping}
    started = _start(cell, job, places, now, block, reason)
    if not pending:
        return started
    gang = cell.gangs[job.id]
    gang.waiting_for = pending
    for victim in victims:
        victim.is_stopping = True
    urgent = job.job_class.urgent
    stop_within_s = cell.policy.urgent_stop_s if urgent else cell.policy.reclaim_stop_s
    return [Reclaim(tuple(victims), job, reason, stop_within_s)]


def _find_victims(
    cell: CellState,
    state: PoolState,
    places: Places,
    now: float,
    urgent: bool,
    *,
    spare_urgent: bool,
) -> list[Gang] | None:
    gangs = [
        g for g in _gangs_at(cell, state, places) if _can_reclaim(g, now, spare_urgent=spare_urgent)
    ]
    return choose_victims(_shortage(cell, state, places), gangs, now, prefer_immediate=urgent)


def _shortage(cell: CellState, state: PoolState, places: Places) -> Places:
    """Return the units missing on each worker once the stopping gangs have released theirs."""
    capacity = state.capacity
    missing: Places = {}
    for worker, units in places.items():
        free = capacity.capacity(worker) - capacity.used[worker]
        missing[worker] = units - free - _stopping_units(cell, state, worker)
    return missing


def _stopping_units(cell: CellState, state: PoolState, worker: int) -> int:
    gangs = cell.gangs_on(worker, state.capacity.pool)
    return sum(gang.places[worker] for gang in gangs if gang.is_stopping)


def _gangs_at(cell: CellState, state: PoolState, places: Places) -> list[Gang]:
    found: dict[str, Gang] = {}
    for worker in places:
        for gang in cell.gangs_on(worker, state.capacity.pool):
            found[gang.job.id] = gang
    return [found[job_id] for job_id in sorted(found)]


def _can_reclaim(gang: Gang, now: float, *, spare_urgent: bool) -> bool:
    """Return whether a gang may be reclaimed; one that started at `now` may not."""
    if gang.pinned or gang.is_stopping or gang.waiting_for or gang.start >= now:
        return False
    return not (spare_urgent and gang.job.job_class.urgent)


def _total_lost_work(victims: list[Gang], now: float) -> float:
    return sum(victim.lost_work(now) for victim in victims)


def _waiting_reason(state: PoolState, job: Job) -> Reason:
    if not job.reclaimable and any(
        state.capacity.free.fits(job.shape, job.shape.adjacency, unit)
        for unit in range(len(state.capacity.topology.workers_in[job.shape.adjacency]))
    ):
        text = "the free places are guaranteed to others and this job is not reclaimable"
        return Reason(Cause.GUARANTEED_TO_OTHERS, text)
    if state.hold is not None and state.hold.job_id != job.id:
        return Reason(Cause.HELD, f"free workers are held for {state.hold.job_id}")
    return Reason(Cause.NO_ROOM, f"no free place for {job.shape}")
