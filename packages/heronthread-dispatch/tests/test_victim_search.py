"""A resumed victim search selects the same as a new one."""

import random

from heronthread_dispatch.losses import Losses
from heronthread_dispatch.model import Resources
from heronthread_dispatch.offers import Scope, make_offers
from heronthread_dispatch.victim_search import SearchCriteria, begin_search, find_search

from benchmarks.planning import DESIRED, NOW, make_executors, occupy

NEED = Resources(3_700, 11_000, 4)


def _make(seed: int) -> tuple[list[Scope], Scope, Losses]:
    source = random.Random(seed)
    states = make_executors(24)
    jobs = occupy(states, source)
    losses = Losses(jobs, DESIRED, set(), NOW, set(), 0.5)
    scope = Scope(make_offers(states, NOW)["pool"])
    return scope.racks, scope, losses


def _choose(scope: Scope, losses: Losses, count: int) -> list[tuple[str, float]]:
    search = begin_search(scope, SearchCriteria(NEED, False, False, 0), losses)
    search.extend(count, float("inf"))
    return list(zip((r.state.id for r in search.chosen), search.costs, strict=True))


def test_selection_for_a_smaller_gang_is_a_prefix() -> None:
    racks, _, losses = _make(1)
    large = _choose(racks[0], losses, 9)
    for count in range(1, 9):
        assert _choose(racks[0], losses, count) == large[:count]


def test_search_resumes_after_reaching_its_cost_limit() -> None:
    racks, _, losses = _make(2)
    whole = _choose(racks[0], losses, 6)
    search = begin_search(racks[0], SearchCriteria(NEED, False, False, 0), losses)
    search.extend(6, whole[1][1])
    assert len(search.chosen) == 2
    search.extend(6, float("inf"))
    assert search.costs == [cost for _, cost in whole]


def test_search_is_cached_until_its_rack_changes() -> None:
    racks, scope, losses = _make(3)
    criteria = SearchCriteria(NEED, False, False, 0)
    first = find_search(racks[0], criteria, losses)
    assert find_search(racks[0], criteria, losses) is first
    assert find_search(racks[0], SearchCriteria(NEED, True, False, 0), losses) is not first
    racks[1].offers[0].allocate(NEED)
    assert find_search(racks[0], criteria, losses) is first
    racks[0].offers[0].allocate(NEED)
    assert find_search(racks[0], criteria, losses) is not first
    assert find_search(scope, criteria, losses) is not find_search(scope, criteria, losses)


def test_search_obeys_the_spread_limit() -> None:
    racks, _, losses = _make(4)
    search = begin_search(racks[0], SearchCriteria(Resources(100, 100, 1), False, False, 2), losses)
    search.extend(30, float("inf"))
    names = [offer.state.id for offer in search.chosen]
    assert max(names.count(name) for name in names) <= 2
    assert len(names) == 2 * len(racks[0].offers)


def test_each_victim_is_selected_once_and_frees_capacity() -> None:
    for seed in range(10):
        _, scope, losses = _make(seed)
        search = begin_search(scope, SearchCriteria(NEED, False, False, 0), losses)
        search.extend(20, float("inf"))
        assert len({id(victim) for victim in search.victims}) == len(search.victims)
        for offer in set(search.chosen):
            freed = sum(v.need.accelerators for v in search.victims if v.executor == offer.state.id)
            tasks = search.chosen.count(offer)
            assert freed + offer.state.free.accelerators >= tasks * NEED.accelerators


def test_guaranteed_work_is_never_stopped() -> None:
    states = make_executors(2)
    jobs = occupy(states, random.Random(0))
    losses = Losses(jobs, DESIRED, {job.spec.id for job in jobs}, NOW, set(), 0.5)
    scope = Scope(make_offers(states, NOW)["pool"])
    search = begin_search(scope, SearchCriteria(NEED, True, False, 0), losses)
    search.extend(1, float("inf"))
    assert search.chosen == []
