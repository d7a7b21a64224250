"""Tracked pool capacity, and the reasons for jobs that a pool can never hold."""

import random

import pytest
from heronthread_dispatch.model import Executor, JobSpec, Queue, Resources, StepSpec
from heronthread_dispatch.pool_contents import (
    SETTLE_WINDOW_S,
    Kind,
    PoolContents,
    decode_kinds,
    encode_kinds,
    find_misfit,
)

SMALL = Resources(8_000, 8_000, 4)
LARGE = Resources(16_000, 64_000, 8)
KINDS = [Kind(SMALL, ("small", "r0"), 3), Kind(LARGE, ("large", "r1"), 2)]
QUEUE = Queue("q", "h", "/q/", "pool", 1, 3, 3.0, 1.0)


def _make_executor(name: str, capacity: Resources = SMALL, pool: str = "pool") -> Executor:
    return Executor(name, name, pool, "z", "r0", ("small", "r0"), capacity)


def _make_job(*steps: StepSpec) -> JobSpec:
    return JobSpec("a", QUEUE, "t", "", steps, 0.0)


def _ask(count: int, accelerators: int, **more: object) -> JobSpec:
    need = Resources(100, 100, accelerators)
    return _make_job(StepSpec(count, need, 1.0, **more))  # type: ignore[arg-type]


def _count_held(sizes: PoolContents, now: float, pool: str = "pool") -> int:
    return sum(kind.count for kind in sizes.list_kinds(pool, now))


def test_capacity_that_shrank_for_a_while_still_counts() -> None:
    sizes = PoolContents()
    sizes.keep(_make_executor("e0", LARGE), 0.0)
    sizes.keep(_make_executor("e0", SMALL), 5.0)
    assert [kind.capacity for kind in sizes.list_kinds("pool", 100.0)] == [LARGE]
    assert _count_held(sizes, 100.0) == 1


@pytest.mark.parametrize(
    ("spec", "fits"),
    [
        (_ask(1, 8), True),
        (_ask(1, 9), False),
        (_ask(1_000, 1), True),  # no gang: one after another
        (_ask(1_000, 1, lasting=True), True),
        (_ask(28, 1, gang=True), True),
        (_ask(29, 1, gang=True), False),
        (_ask(29, 1, gang=True, same_rack=True), False),
        (_ask(16, 1, gang=True, same_rack=True), True),
        (_ask(28, 1, gang=True, same_rack=True, data_rack="r9"), True),  # only slower
        (_ask(5, 1, gang=True, spread_limit=1), True),
        (_ask(6, 1, gang=True, spread_limit=1), False),
        (_ask(6, 1, spread_limit=1), True),
        (_ask(1, 5, label="large"), True),
        (_ask(1, 5, label="small"), False),
        (_ask(1, 1, label="none such"), False),
        (_ask(12, 1, gang=True, label="small"), True),
        (_ask(13, 1, gang=True, label="small"), False),
        (_make_job(StepSpec(3, Resources(), 1.0, gang=True)), True),
        (_make_job(StepSpec(1, Resources(16_001, 0, 0), 1.0)), False),
        (_make_job(StepSpec(1, SMALL, 1.0), StepSpec(1, Resources(0, 64_001, 0), 1.0)), False),
    ],
)
def test_find_misfit_accepts_and_rejects_jobs(spec: JobSpec, fits: bool) -> None:
    reason = find_misfit(KINDS, spec, "pool")
    assert (reason == "") is fits
    assert fits or f"pool seen in the last {SETTLE_WINDOW_S:g} s" in reason


def test_a_pool_is_settled_once_it_stops_growing() -> None:
    sizes = PoolContents()
    assert not sizes.is_settled("pool", 100.0)
    sizes.keep(_make_executor("e0"), 0.0)
    sizes.keep(_make_executor("e1"), 10.0)
    assert not sizes.is_settled("pool", 10.0 + SETTLE_WINDOW_S - 0.1)
    assert sizes.is_settled("pool", 10.0 + SETTLE_WINDOW_S)
    sizes.keep(_make_executor("e1"), 50.0)  # the same again
    sizes.drop("e1", 51.0)
    sizes.keep(_make_executor("e2"), 52.0)  # one in the place of another
    assert sizes.is_settled("pool", 52.0)
    sizes.keep(_make_executor("e3"), 53.0)
    assert not sizes.is_settled("pool", 54.0)
    assert not sizes.is_settled("second", 54.0)


def test_recently_removed_executors_count() -> None:
    sizes = PoolContents()
    for number in range(3):
        sizes.keep(_make_executor(f"e{number}"), 0.0)
    sizes.keep(_make_executor("f0", pool="second"), 0.0)
    sizes.remove_others({"e0", "f0"}, 100.0)
    assert _count_held(sizes, 100.0 + SETTLE_WINDOW_S - 0.1) == 3
    assert _count_held(sizes, 100.0 + SETTLE_WINDOW_S) == 1
    assert _count_held(sizes, 100.0, "second") == 1
    sizes.drop("e0", 200.0)
    sizes.drop("e0", 200.0 + SETTLE_WINDOW_S - 0.1)
    assert _count_held(sizes, 200.0 + SETTLE_WINDOW_S) == 0


def test_an_executor_with_a_changed_entry_counts_once() -> None:
    sizes = PoolContents()
    sizes.keep(_make_executor("e0"), 0.0)
    sizes.keep(_make_executor("e0", LARGE), 1.0)
    assert sizes.list_kinds("pool", 1.0) == [Kind(LARGE, ("small", "r0"), 1)]
    sizes.keep(_make_executor("e0", LARGE, "second"), 2.0)
    assert sizes.list_kinds("pool", 2.0) == []
    assert sizes.list_kinds("second", 2.0) == [Kind(LARGE, ("small", "r0"), 1)]


def test_removed_executors_are_forgotten_without_a_query() -> None:
    sizes = PoolContents()
    for number in range(1_000):
        sizes.keep(_make_executor(f"e{number}"), float(number))
        sizes.drop(f"e{number}", float(number))
    assert len(sizes._tracked) <= SETTLE_WINDOW_S + 1


def test_kinds_round_trip_through_a_body() -> None:
    assert decode_kinds(encode_kinds(KINDS)) == KINDS


def test_malformed_kinds_raise() -> None:
    source = random.Random(3)
    values = (None, 7, "a", [], [1], {}, [[1, 2]], [[[1, 2, 3], [7], 1]], [["a", [], 1]], [[[1]]])
    assert decode_kinds([]) == []
    for value in [v for v in values if v != []]:
        with pytest.raises((TypeError, ValueError)):
            decode_kinds(value)
    for _ in range(50):
        row = [source.choice(values), source.choice(values), source.choice((None, "x", []))]
        with pytest.raises((TypeError, ValueError)):
            decode_kinds([row])
