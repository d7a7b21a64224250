"""Tracking of a store's availability and recovery."""

import trio
from heronthread_dispatch.observed_store import MAX_PATIENCE_S, MIN_PATIENCE_S, ObservedStore
from heronthread_emulator import EmulatedSite

Clock = trio.testing.MockClock


async def test_a_store_answers_since_its_first_answer_after_an_outage(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=1) as site:
        store = ObservedStore(site.store_view())
        assert store.answering_since == float("inf")
        await store.read("a")
        first = trio.current_time()
        assert store.answering_since == first
        await trio.sleep(3.0)
        await store.read("a")
        assert store.answering_since == first

        site.store.is_down = True
        await trio.sleep(1.0)
        await store.read("a")
        assert not store.is_answering
        assert store.answering_since == float("inf")

        site.store.is_down = False
        await trio.sleep(1.0)
        await store.read("a")
        assert store.answering_since == trio.current_time()


async def test_one_failed_call_beside_recent_answers_is_no_outage(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1) as site:
        store = ObservedStore(site.store_view())
        await store.read("a")
        first = trio.current_time()
        site.store.is_down = True
        await store.read("a")
        site.store.is_down = False
        await store.read("a")
        assert store.answering_since == first


async def test_an_overdue_call_makes_the_store_silent_before_it_fails(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=1) as site, trio.open_nursery() as nursery:
        view = site.store_view()
        store = ObservedStore(view)
        await store.read("a")
        view.is_silent = True
        nursery.start_soon(store.read, "a")
        await trio.sleep(MIN_PATIENCE_S * 0.9)
        assert store.is_answering
        await trio.sleep(MIN_PATIENCE_S * 0.2)
        assert not store.is_answering
        view.is_silent = False
        await store.read("a")
        assert store.is_answering, "another call was answered in between"


async def test_a_store_that_is_slow_is_given_more_time(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1) as site, trio.open_nursery() as nursery:
        view = site.store_view()
        store = ObservedStore(view)
        site.store.latency_s = 0.3
        for _ in range(12):
            await store.read("a")
        assert MIN_PATIENCE_S < store.patience_s <= MAX_PATIENCE_S
        nursery.start_soon(store.read, "a")
        await trio.sleep(MIN_PATIENCE_S * 1.1)
        assert store.is_answering


async def test_returned_at_needs_a_prior_outage(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1) as site:
        store = ObservedStore(site.store_view())
        await store.read("a")
        assert store.returned_at == float("inf")
        site.store.is_down = True
        await trio.sleep(2.0)
        await store.read("a")
        assert store.returned_at == float("inf")
        site.store.is_down = False
        await store.read("a")
        assert store.returned_at == trio.current_time()
