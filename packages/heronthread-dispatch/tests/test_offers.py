"""Offers and scopes: cached results are recomputed exactly when an offer of the rack changes."""

from dataclasses import replace

import pytest
from heronthread_dispatch.fleet import ExecutorState
from heronthread_dispatch.headroom import Headroom
from heronthread_dispatch.model import NO_RESOURCES, Executor, Resources, StepSpec
from heronthread_dispatch.offers import Offer, Scope, count_fits, make_offers

NOW = 10.0
CAPACITY = Resources(8_000, 8_000, 8)
ONE = Resources(1_000, 1_000, 1)


def _make_states(racks: dict[str, int]) -> list[ExecutorState]:
    states = []
    for rack, count in racks.items():
        for number in range(count):
            name = f"{rack}-{number}"
            executor = Executor(name, name, "pool", "z", rack, (), CAPACITY)
            state = ExecutorState(executor, free=CAPACITY)
            state.has_reported = state.recorded = True
            states.append(state)
    return states


def _make_scope(racks: dict[str, int]) -> Scope:
    return Scope(make_offers(_make_states(racks), NOW)["pool"])


def test_executors_that_accept_no_work_make_no_offer() -> None:
    states = _make_states({"a": 3})
    states[1].leaves_at = NOW + 1
    offers = make_offers(states, NOW)["pool"]
    assert [(offer.state.id, offer.number) for offer in offers] == [("a-0", 0), ("a-2", 2)]


def test_headroom_and_racks_count_without_evacuated_executors() -> None:
    """Evacuated executors in the emptiest rack are neither kept free nor offered to gangs."""
    states = _make_states({"a": 2, "b": 2})
    for state in states[:2]:
        state.evacuated = True
    for state in states[2:]:
        state.free = CAPACITY.minus(ONE)
    offers = make_offers(states, NOW)
    assert Headroom(offers, {"pool": 8}).choose({}) == {"b-0"}
    scope = Scope(offers["pool"])
    assert [rack_scope.offers[0].state.executor.rack for rack_scope in scope.racks] == ["b"]
    assert scope.count(ONE) == 14
    assert not scope.fits_when_empty(StepSpec(17, ONE, 1.0), 17)


def test_cached_result_is_recomputed_only_after_a_change_in_its_rack() -> None:
    scope = _make_scope({"a": 2, "b": 2})
    calls: list[str] = []

    def compute(offers: list[Offer]) -> int:
        calls.append(offers[0].state.executor.rack)
        return len(calls)

    def query_racks() -> None:
        for rack_scope in scope.racks:
            rack_scope.cached("key", compute)

    query_racks()
    query_racks()
    assert calls == ["a", "b"]
    scope.offers[3].allocate(ONE)
    query_racks()
    assert calls == ["a", "b", "b"]
    scope.offers[0].add_pending_stop(ONE)
    query_racks()
    assert calls == ["a", "b", "b", "a"]


def test_counts_follow_allocations_and_pending_stops() -> None:
    scope = _make_scope({"a": 1, "b": 1})
    assert scope.count(ONE) == 16
    assert scope.free_accelerators() == 16
    offer = scope.offers[0]
    for _ in range(8):
        offer.allocate(ONE)
    assert scope.count(ONE) == 8
    assert [r.state.id for r in scope.list_fitting(ONE)] == ["b-0"]
    offer.add_pending_stop(ONE)
    assert scope.count(ONE) == 8, "what is being stopped is not free yet"
    assert offer.projected.accelerators == 1


def test_scope_finds_racks_and_offers() -> None:
    scope = _make_scope({"a": 2, "b": 1})
    rack_scope = scope.find_rack("b")
    assert rack_scope is not None and rack_scope.is_rack and rack_scope.racks == [rack_scope]
    assert scope.find_rack("c") is None
    assert scope.find_offer("a-1") is scope.offers[1]
    assert scope.find_offer("other") is None


def test_fit_in_an_empty_rack_depends_only_on_capacity() -> None:
    scope = _make_scope({"a": 2})
    step = StepSpec(16, ONE, 1.0, gang=True)
    for offer in scope.offers:
        offer.allocate(CAPACITY)
    assert scope.fits_when_empty(step, 16)
    assert not scope.fits_when_empty(step, 17)
    limited = replace(step, spread_limit=3)
    assert scope.fits_when_empty(limited, 6)
    assert not scope.fits_when_empty(limited, 7)


def test_limit_never_increases_an_offer() -> None:
    offer = _make_scope({"a": 1}).offers[0]
    offer.allocate(ONE)
    offer.limit_to(CAPACITY)
    assert offer.free == CAPACITY.minus(ONE)
    offer.limit_to(Resources(-1, -1, -1))
    assert not offer.fits(NO_RESOURCES)


@pytest.mark.parametrize(
    ("need", "available", "fits"),
    [
        (Resources(1_000, 0, 2), Resources(8_000, 0, 8), 4),
        (Resources(0, 500, 0), Resources(0, 1_700, 0), 3),
        (Resources(0, 0, 1), Resources(0, 0, -1), -1),
    ],
)
def test_count_fits(need: Resources, available: Resources, fits: int) -> None:
    assert count_fits(need, available) == fits


def test_empty_requirement_fits_without_limit() -> None:
    assert count_fits(NO_RESOURCES, NO_RESOURCES) >= 1_000_000
