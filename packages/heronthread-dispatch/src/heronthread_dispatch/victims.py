"""Choosing what is taken back for urgent work: whole gangs, and as little lost as possible."""

from __future__ import annotations

from .clearing import Terms, find_clearing
from .losses import Losses
from .plan import Candidate
from .progress import Attempt
from .room import Room, Scope

END_PATIENCE_S = 0.8
ENDS_SOON_S = 0.6
"""With `wait_for_ends`, what ends by itself within this is waited for where a stop takes less.

It stays below `END_PATIENCE_S`, after which work is stopped whatever ends. On the modelled pool,
where ends are foreseen exactly, work thrown away fell from 0.091 to 0.053 of what the pool can do;
on four days with hosts and faults it did not (455,000 to 452,000 core-seconds), so it is off.
"""


class Victims:
    """Finds attempts to stop for urgent steps; `losses` tells what each stop loses."""

    def __init__(self, losses: Losses, now: float) -> None:
        self.losses = losses
        self._now = now

    def clear(
        self, candidate: Candidate, count: int, scope: Scope, ceiling: float = float("inf")
    ) -> tuple[float, list[Attempt], list[Room]] | None:
        """Return the cheapest victims (cost, victims, rooms) that make room for `count`.

        Where the tasks are no gang, room for some of them is better than for none. Nothing is
        returned that costs `ceiling` or more.
        """
        spec = candidate.step.spec
        waits = candidate.waited_s(self._now) < END_PATIENCE_S
        terms = Terms(spec.need, candidate.guaranteed, waits, spec.spread_limit)
        clearing = find_clearing(scope, terms, self.losses)
        if spec.gang and clearing.most < count:
            return None
        clearing.extend(count, ceiling)
        found = min(count, len(clearing.chosen))
        if not found or (spec.gang and found < count):
            return None
        cost = clearing.costs[found - 1]
        if cost >= ceiling:
            return None
        victims = clearing.victims[: clearing.victim_counts[found - 1]]
        return cost, victims, clearing.chosen[:found]
