"""Helpers that count how many tasks fit on executors."""

from __future__ import annotations

from heronthread_dispatch.model import Resources, StepSpec
from heronthread_dispatch.offers import Offer


def group_by_rack(offers: list[Offer]) -> dict[str, list[Offer]]:
    """Return the offers of each rack."""
    racks: dict[str, list[Offer]] = {}
    for offer in offers:
        racks.setdefault(offer.state.executor.rack, []).append(offer)
    return racks


def fits_when_empty(offers: list[Offer], spec: StepSpec, count: int) -> bool:
    """Whether `count` tasks would fit if nothing else ran on the executors."""
    need = spec.need
    total = 0
    for offer in offers:
        fits = count_fits(need, offer.state.executor.capacity)
        total += min(fits, spec.spread_limit) if spec.spread_limit else fits
    return total >= count


def count_fits(need: Resources, available: Resources) -> int:
    """Return how many times `need` fits in `available`."""
    counts = [have // want for want, have in zip(need, available, strict=True) if want > 0]
    return min(counts, default=1_000_000)


def count_free_now(scope: list[Offer], need: Resources) -> int:
    """Return how many tasks fit now."""
    return sum(max(0, count_fits(need, offer.free)) for offer in scope)
