"""Tests of rate limits, circuit breakers, limits, membership, drain, answers and histograms."""

from __future__ import annotations

import pytest
import trio
from heronthread_coordination import (
    Admitted,
    AnswerCollector,
    BudgetedStore,
    CircuitBreaker,
    CustomerLimits,
    Drain,
    Draining,
    DropReason,
    Histograms,
    Key,
    Measure,
    Member,
    MemberAnswer,
    Membership,
    MemoryStore,
    Overloaded,
    RetryBudget,
    Unavailable,
    is_store_down_for_all,
    make_answer,
    rank,
)


async def test_store_calls_keep_to_the_rate_limit(autojump_clock):
    store = BudgetedStore(MemoryStore(), reads_per_s=10, writes_per_s=1, max_wait_s=1)
    outcomes = [await store.write(f"k{n}", b"", expect=0) for n in range(3)]
    started = trio.current_time()
    for _ in range(100):
        await store.read("k0")
    assert trio.current_time() - started >= 7.9
    assert not any(isinstance(outcome, Unavailable) for outcome in outcomes)


async def test_calls_that_would_wait_too_long_are_refused(autojump_clock):
    store = BudgetedStore(MemoryStore(), writes_per_s=0.1, max_wait_s=1)
    outcomes = [await store.write(f"k{n}", b"", expect=0) for n in range(4)]
    assert isinstance(outcomes[-1], Unavailable)
    assert store.counts.refused


def test_retries_stay_within_the_budget():
    budget = RetryBudget()
    for _ in range(1000):
        budget.record_call()
        budget.try_retry()
    assert budget.retries <= 0.1 * budget.calls + budget.reserve


async def test_half_open_breaker_allows_one_trial_call(autojump_clock):
    breaker = CircuitBreaker(failures=2, open_s=5)
    breaker.note(False)
    breaker.note(True, elapsed_s=10)
    assert not breaker.allow_call()
    await trio.sleep(6)
    assert breaker.allow_call()
    assert not breaker.allow_call()
    breaker.note(True)
    assert breaker.allow_call()


def test_one_customer_can_not_crowd_out_another():
    limits = CustomerLimits(per_customer=2, total=10)
    assert isinstance(limits.enter("a"), Admitted)
    assert isinstance(limits.enter("a"), Admitted)
    assert isinstance(limits.enter("a"), Overloaded)
    assert isinstance(limits.enter("b"), Admitted)
    limits.leave("a")
    assert isinstance(limits.enter("a"), Admitted)


async def test_refused_connection_overrides_the_host_list(autojump_clock):
    membership = Membership()
    membership.update(1, [Member("a", "1"), Member("b", "2")])
    membership.note_refused("a")
    assert [m.name for m in membership.usable()] == ["b"]
    await trio.sleep(6)
    assert membership.is_usable("a")


async def test_member_is_leaving_until_the_host_list_drops_it(autojump_clock):
    membership = Membership()
    membership.update(2, [Member("a", "1"), Member("b", "2")])
    assert membership.note_leaving({"a"})
    assert not membership.note_leaving({"a"})
    assert not membership.update(1, [])
    membership.update(3, [Member("a", "1"), Member("b", "2")])
    assert not membership.is_usable("a")
    membership.update(4, [Member("b", "2")])
    assert membership.leaving == set()


def test_rank_is_a_permutation_that_differs_by_key():
    names = [f"h{n}" for n in range(9)]
    orders = {tuple(sorted(names, key=lambda n: rank(n, key, names))) for key in "abcdef"}
    assert len(orders) > 1
    assert sorted(rank(n, "a", names) for n in names) == list(range(9))


async def test_drain_waits_for_requests_and_refuses_new_ones(autojump_clock):
    drain = Drain()
    done = []

    async def work():
        with drain.request():
            await trio.sleep(3)
            done.append(True)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(work)
        await trio.sleep(1)
        drain.start()
        with pytest.raises(Draining), drain.request():
            pass
        await drain.wait_idle()
    assert done == [True]


def test_answers_are_joined_in_order_and_invalid_ones_dropped():
    collector = AnswerCollector()
    collector.open("x", 2)
    assert collector.add(make_answer("y", 0, "other")) is DropReason.FOREIGN
    assert collector.add(make_answer("x", 1, "b")) is None
    assert collector.add(make_answer("x", 1, "b")) is DropReason.DUPLICATE
    assert collector.add(MemberAnswer("x", 0, "a", 5, "bad")) is DropReason.PARTIAL
    assert collector.add(make_answer("x", 0, "a")) == "ab"
    collector.close("x")
    assert collector.add(make_answer("x", 0, "a")) is DropReason.LATE


def test_histograms_merge():
    one, two = Histograms(), Histograms()
    one.record("a", "c", Measure.WAITING, 1.0)
    two.record("a", "c", Measure.WAITING, 3.0)
    one.merge(two.encode())
    summary = one.summarise(Key("a", "c", Measure.WAITING))
    assert summary.count == 2
    assert 2900 <= summary.largest <= 3100


@pytest.mark.parametrize(
    ("peer_reports", "has_peers", "is_down"),
    [
        ([False, False], True, True),
        ([False, True], True, False),
        ([True], True, False),
        ([], True, False),
        ([], False, True),
    ],
)
def test_store_is_down_for_all_only_if_every_peer_reports_so(peer_reports, has_peers, is_down):
    assert is_store_down_for_all(peer_reports, has_peers=has_peers) is is_down
