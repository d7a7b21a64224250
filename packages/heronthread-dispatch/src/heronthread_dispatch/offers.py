"""The capacity that executors still offer while a plan is made, by rack and by pool.

Many waiting steps have the same requirements, so results computed for a rack are cached until one
of its offers changes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TypeVar, cast

from .fleet import ExecutorState
from .model import ACCELERATOR_IN_CORES, NO_RESOURCES, Resources, StepSpec

Computed = TypeVar("Computed")

UNLIMITED_FITS = 1_000_000
"""Number of tasks without any requirement that fit; more than a job may have."""


@dataclass(slots=True, eq=False)
class ChangeCounter:
    """Counts changes to the offers of a rack or pool; `parent` counts those of the enclosing pool.

    `millicores_allocated` is what the plan has allocated there, with accelerators weighted as in
    `Resources.cores`.
    """

    parent: ChangeCounter | None = None
    count: int = 0
    millicores_allocated: int = 0

    def record(self, allocated: int = 0) -> None:
        """Count one change, here and in the parent."""
        self.count += 1
        self.millicores_allocated += allocated
        if self.parent is not None:
            self.parent.record(allocated)


@dataclass(slots=True, eq=False)
class Offer:
    """The resources that one executor still offers while a plan is made.

    `free` is unallocated now; `projected` is what will be free once pending stops complete, less
    what is promised to others. `number` is the executor's position in the plan's order, `stops`
    counts the attempts there that the plan stops, and `reserved` is held for waiting gangs.
    """

    state: ExecutorState
    free: Resources
    projected: Resources
    number: int = 0
    changes: ChangeCounter = field(default_factory=ChangeCounter)
    stops: int = 0
    reserved: Resources = NO_RESOURCES

    def allocate(self, need: Resources) -> None:
        """Allocate resources for one task."""
        self.free = self.free.minus(need)
        self.projected = self.projected.minus(need)
        self.changes.record(weigh_millicores(need))

    def reserve(self, need: Resources) -> None:
        """Reserve resources for one task of a waiting gang."""
        self.allocate(need)
        self.reserved = self.reserved.plus(need)

    def release(self, need: Resources) -> None:
        """Release the resources allocated for one task."""
        self.free = self.free.plus(need)
        self.projected = self.projected.plus(need)
        self.changes.record(-weigh_millicores(need))

    def add_pending_stop(self, need: Resources) -> None:
        """Add the resources of an attempt that the plan stops to those projected."""
        self.projected = self.projected.plus(need)
        self.stops += 1
        self.changes.record()

    def limit_to(self, limit: Resources) -> None:
        """Reduce the free resources to at most `limit`."""
        if not self.free.fits_in(limit):
            self.free = Resources(*map(min, self.free, limit))
            self.changes.record()

    def fits(self, need: Resources) -> bool:
        """Whether one more task fits now, apart from resources promised to others."""
        return need.fits_in(self.free) and need.fits_in(self.projected)


class Scope:
    """Executors that a step may use, in one rack or in several, in the plan's order.

    A rack's scope caches results until one of its offers changes.
    """

    def __init__(self, offers: list[Offer], changes: ChangeCounter | None = None) -> None:
        self.offers = offers
        self._changes = changes
        self._cache: dict[object, tuple[int, object]] = {}
        self._fits_when_empty: dict[tuple[Resources, int], int] = {}
        self._racks: list[Scope] | None = None
        self._by_id: dict[str, Offer] = {}

    @property
    def is_rack(self) -> bool:
        """Whether all offers are known to be in one rack."""
        return self._changes is not None

    @property
    def racks(self) -> list[Scope]:
        """The scope split by rack; the scope of one rack holds only itself."""
        if self.is_rack:
            return [self]
        if self._racks is None:
            racks = group_by_rack(self.offers).values()
            self._racks = [Scope(offers, offers[0].changes) for offers in racks]
        return self._racks

    def find_rack(self, rack: str) -> Scope | None:
        """Return the scope of one rack, None if no offer is in it."""
        for rack_scope in self.racks:
            if rack_scope.offers[0].state.executor.rack == rack:
                return rack_scope
        return None

    def find_offer(self, executor: str) -> Offer | None:
        """Return the offer of an executor, None if it is not in the scope."""
        if not self._by_id:
            self._by_id = {offer.state.id: offer for offer in self.offers}
        return self._by_id.get(executor)

    def cached(self, key: object, compute: Callable[[list[Offer]], Computed]) -> Computed:
        """Return a result for a rack's offers, recomputed only after one of them has changed."""
        assert self._changes is not None, "results are cached for single racks only"
        known = self._cache.get(key)
        if known is not None and known[0] == self._changes.count:
            return cast(Computed, known[1])
        found = compute(self.offers)
        self._cache[key] = (self._changes.count, found)
        return found

    def count(self, need: Resources) -> int:
        """Return how many tasks fit now, apart from resources promised to others."""
        if not self.is_rack:
            return sum(rack_scope.count(need) for rack_scope in self.racks)
        return self.cached(need, lambda offers: count_free(offers, need))

    def free_accelerators(self) -> int:
        """Return how many accelerators are free now."""
        if not self.is_rack:
            return sum(rack_scope.free_accelerators() for rack_scope in self.racks)
        return self.cached("free", lambda offers: sum(offer.free.accelerators for offer in offers))

    def list_fitting(self, need: Resources) -> list[Offer]:
        """Return the offers on which a task fits now, in the plan's order."""
        if self.is_rack:
            return [offer for offer in self.offers if offer.fits(need)]
        found = [
            offer
            for rack_scope in self.racks
            if rack_scope.count(need)
            for offer in rack_scope.list_fitting(need)
        ]
        found.sort(key=lambda offer: offer.number)
        return found

    def fits_when_empty(self, spec: StepSpec, count: int) -> bool:
        """Whether `count` tasks would fit if nothing else ran on the executors."""
        key = (spec.need, spec.spread_limit)
        if key not in self._fits_when_empty:
            capacities = (offer.state.executor.capacity for offer in self.offers)
            limit = spec.spread_limit or UNLIMITED_FITS
            self._fits_when_empty[key] = sum(
                min(count_fits(spec.need, c), limit) for c in capacities
            )
        return self._fits_when_empty[key] >= count


def make_offers(states: Iterable[ExecutorState], now: float) -> dict[str, list[Offer]]:
    """Return the offers of the executors that accept work, by pool."""
    pools: dict[str, tuple[ChangeCounter, dict[str, ChangeCounter], list[Offer]]] = {}
    for number, state in enumerate(states):
        if not state.accepts_work(now):
            continue
        executor = state.executor
        pool = pools.get(executor.pool)
        if pool is None:
            pool = pools[executor.pool] = (ChangeCounter(), {}, [])
        pool_changes, racks, offers = pool
        rack = racks.get(executor.rack)
        if rack is None:
            rack = racks[executor.rack] = ChangeCounter(pool_changes)
        offers.append(Offer(state, state.free, state.projected_free(), number, rack))
    return {name: offers for name, (_, _, offers) in pools.items()}


def group_by_rack(offers: Iterable[Offer]) -> dict[str, list[Offer]]:
    """Return the offers of each rack."""
    racks: dict[str, list[Offer]] = {}
    for offer in offers:
        racks.setdefault(offer.state.executor.rack, []).append(offer)
    return racks


def weigh_millicores(resources: Resources) -> int:
    """Return the weight in thousandths of a core."""
    return resources.cpu + 1000 * ACCELERATOR_IN_CORES * resources.accelerators


def count_fits(need: Resources, available: Resources) -> int:
    """Return how many times `need` fits in `available`, which may be negative."""
    fits = UNLIMITED_FITS
    for want, have in zip(need, available, strict=True):
        if want > 0:
            fits = min(fits, have // want)
    return fits


def count_free(offers: Iterable[Offer], need: Resources) -> int:
    """Return how many tasks fit now, apart from resources promised to others."""
    return sum(count_fits(need, offer.free) for offer in offers if offer.fits(need))


def count_with_reserved(offers: Iterable[Offer], need: Resources) -> int:
    """Return how many tasks would fit now without reservations for gangs."""
    return sum(max(0, count_fits(need, offer.free.plus(offer.reserved))) for offer in offers)


def count_free_now(offers: Iterable[Offer], need: Resources) -> int:
    """Return how many tasks fit now, including resources promised to others."""
    return sum(max(0, count_fits(need, offer.free)) for offer in offers)
