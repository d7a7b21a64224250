"""Selection of the gangs to reclaim."""

from __future__ import annotations

from collections.abc import Iterable

from .job import Gang, Places


def choose_victims(
    shortage: Places, gangs: Iterable[Gang], now: float, *, prefer_immediate: bool = False
) -> list[Gang] | None:
    """Choose whole gangs that cover `shortage` at a low cost in lost work.

    Greedy by lost work per unit of the shortage; then gangs that turn out not to be needed
    are dropped, the costliest first. Returns None if the given gangs can't cover the
    shortage. `prefer_immediate` prefers repeatable gangs, which need no checkpoint before
    they stop.
    """
    missing = {worker: units for worker, units in shortage.items() if units > 0}
    candidates = [gang for gang in gangs if any(worker in missing for worker in gang.places)]
    chosen: list[Gang] = []
    while missing:
        best = _cheapest(candidates, missing, now, prefer_immediate)
        if best is None:
            return None
        candidates.remove(best)
        chosen.append(best)
        missing = _subtract(missing, best.places)
    return _drop_unneeded(chosen, shortage, now)


def _cheapest(
    candidates: list[Gang], missing: Places, now: float, prefer_immediate: bool
) -> Gang | None:
    def cost(gang: Gang) -> tuple[bool, float, float, str]:
        helps = sum(min(units, gang.places.get(worker, 0)) for worker, units in missing.items())
        slow = prefer_immediate and not gang.job.repeatable
        return (slow, gang.lost_work(now) / helps, -gang.start, gang.job.id)

    useful = [gang for gang in candidates if any(worker in missing for worker in gang.places)]
    return min(useful, key=cost, default=None)


def _subtract(missing: Places, places: Places) -> Places:
    left = {worker: units - places.get(worker, 0) for worker, units in missing.items()}
    return {worker: units for worker, units in left.items() if units > 0}


def _drop_unneeded(chosen: list[Gang], shortage: Places, now: float) -> list[Gang]:
    kept = list(chosen)
    for gang in sorted(chosen, key=lambda g: (-g.lost_work(now), g.job.id)):
        others = [other for other in kept if other is not gang]
        missing = {worker: units for worker, units in shortage.items() if units > 0}
        for other in others:
            missing = _subtract(missing, other.places)
        if not missing:
            kept = others
    return kept
