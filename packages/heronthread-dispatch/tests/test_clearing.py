"""A search for room goes on for the next gang, and finds what a new search would."""

import random

from heronthread_dispatch.clearing import Terms, begin_clearing, find_clearing
from heronthread_dispatch.losses import Losses
from heronthread_dispatch.model import Resources
from heronthread_dispatch.room import Scope, make_rooms

from benchmarks.planning import DESIRED, NOW, make_executors, occupy

NEED = Resources(3_700, 11_000, 4)


def _make(seed: int) -> tuple[list[Scope], Scope, Losses]:
    source = random.Random(seed)
    states = make_executors(24)
    jobs = occupy(states, source)
    losses = Losses(jobs, DESIRED, set(), NOW, set(), 0.5)
    scope = Scope(make_rooms(states, NOW)["pool"])
    return scope.parts, scope, losses


def _choose(scope: Scope, losses: Losses, count: int) -> list[tuple[str, float]]:
    clearing = begin_clearing(scope, Terms(NEED, False, False, 0), losses)
    clearing.extend(count, float("inf"))
    return list(zip((r.state.id for r in clearing.chosen), clearing.costs, strict=True))


def test_choices_for_a_smaller_gang_are_the_first_of_those_for_a_larger_one() -> None:
    racks, _, losses = _make(1)
    large = _choose(racks[0], losses, 9)
    for count in range(1, 9):
        assert _choose(racks[0], losses, count) == large[:count]


def test_a_search_that_was_stopped_by_its_ceiling_goes_on() -> None:
    racks, _, losses = _make(2)
    whole = _choose(racks[0], losses, 6)
    clearing = begin_clearing(racks[0], Terms(NEED, False, False, 0), losses)
    clearing.extend(6, whole[1][1])
    assert len(clearing.chosen) == 2
    clearing.extend(6, float("inf"))
    assert clearing.costs == [cost for _, cost in whole]


def test_a_rack_keeps_its_search_until_it_changes() -> None:
    racks, scope, losses = _make(3)
    terms = Terms(NEED, False, False, 0)
    first = find_clearing(racks[0], terms, losses)
    assert find_clearing(racks[0], terms, losses) is first
    assert find_clearing(racks[0], Terms(NEED, True, False, 0), losses) is not first
    racks[1].rooms[0].take(NEED)
    assert find_clearing(racks[0], terms, losses) is first
    racks[0].rooms[0].take(NEED)
    assert find_clearing(racks[0], terms, losses) is not first
    assert find_clearing(scope, terms, losses) is not find_clearing(scope, terms, losses)


def test_the_spread_limit_holds_for_each_executor() -> None:
    racks, _, losses = _make(4)
    clearing = begin_clearing(racks[0], Terms(Resources(100, 100, 1), False, False, 2), losses)
    clearing.extend(30, float("inf"))
    names = [room.state.id for room in clearing.chosen]
    assert max(names.count(name) for name in names) <= 2
    assert len(names) == 2 * len(racks[0].rooms)


def test_no_victim_is_chosen_twice_and_each_makes_room() -> None:
    for seed in range(10):
        _, scope, losses = _make(seed)
        clearing = begin_clearing(scope, Terms(NEED, False, False, 0), losses)
        clearing.extend(20, float("inf"))
        assert len({id(victim) for victim in clearing.victims}) == len(clearing.victims)
        for room in set(clearing.chosen):
            freed = sum(
                v.need.accelerators for v in clearing.victims if v.executor == room.state.id
            )
            tasks = clearing.chosen.count(room)
            assert freed + room.state.free.accelerators >= tasks * NEED.accelerators


def test_what_lies_within_a_guarantee_is_never_taken() -> None:
    states = make_executors(2)
    jobs = occupy(states, random.Random(0))
    losses = Losses(jobs, DESIRED, {job.spec.id for job in jobs}, NOW, set(), 0.5)
    scope = Scope(make_rooms(states, NOW)["pool"])
    clearing = begin_clearing(scope, Terms(NEED, True, False, 0), losses)
    clearing.extend(1, float("inf"))
    assert clearing.chosen == []
