"""Capacity kept free for urgent work, so that it need not preempt other work first."""

from __future__ import annotations

from collections.abc import Collection

from .fleet import ExecutorState
from .offers import Offer, group_by_rack, weigh_millicores

HEADROOM_SHARE = 0.4
BUSY_SHARE = 0.6


class Headroom:
    """Selects executors with the accelerators that urgent work recently needed beyond its current
    use.

    `peaks` is the highest recent demand of urgent work, by pool. `states` are all executors, as
    those that take no work now are part of a pool as well.
    """

    def __init__(
        self,
        offers: dict[str, list[Offer]],
        peaks: dict[str, int],
        states: Collection[ExecutorState] = (),
    ) -> None:
        self._offers = offers
        self._peaks = peaks
        self._states = states
        self._weights: dict[str, tuple[int, int]] = {}

    def choose(self, used: dict[str, int]) -> frozenset[str]:
        """Return the executors to keep free, given the accelerators urgent work holds by pool."""
        chosen: list[str] = []
        for pool, offers in self._offers.items():
            chosen += self._choose_in_pool(offers, self._peaks.get(pool, 0) - used.get(pool, 0))
        return frozenset(chosen)

    def _choose_in_pool(self, offers: list[Offer], missing: int) -> list[str]:
        """Select the emptiest executors, rack by rack, as urgent gangs should fit in one rack."""
        total = sum(offer.state.executor.capacity.accelerators for offer in offers)
        wanted = min(missing, int(total * HEADROOM_SHARE))
        chosen = []
        for offer in _list_emptiest(offers):
            if wanted <= 0:
                break
            chosen.append(offer.state.id)
            wanted -= max(0, offer.projected.accelerators)
        return chosen

    def is_mostly_idle(self, pool: str, busy_share: float = BUSY_SHARE) -> bool:
        """Whether less than a share of a pool is in use."""
        offers = self._offers.get(pool, [])
        if not offers:
            return False
        if pool not in self._weights:
            states = [state for state in self._states if state.executor.pool == pool]
            total = sum(weigh_millicores(state.executor.capacity) for state in states)
            free = sum(weigh_millicores(state.free) for state in states)
            self._weights[pool] = (total, total - free)
        total, used = self._weights[pool]
        pool_changes = offers[0].changes.parent
        assert pool_changes is not None, "a rack is part of its pool"
        return used + pool_changes.millicores_allocated < busy_share * total


def _list_emptiest(offers: list[Offer]) -> list[Offer]:
    racks = group_by_rack(offers).values()
    by_free_accelerators = sorted(racks, key=_free_accelerators, reverse=True)
    return [
        offer
        for rack in by_free_accelerators
        for offer in sorted(rack, key=_projected_accelerators, reverse=True)
    ]


def _projected_accelerators(offer: Offer) -> int:
    return offer.projected.accelerators


def _free_accelerators(offers: list[Offer]) -> int:
    return sum(max(0, _projected_accelerators(offer)) for offer in offers)
