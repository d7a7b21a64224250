"""Whether a store answers a host, and since when."""

import trio
from heronthread_dispatch.observed import ObservedStore
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


async def test_one_failed_call_beside_fresh_answers_is_no_outage(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1) as site:
        store = ObservedStore(site.store_view())
        await store.read("a")
        first = trio.current_time()
        site.store.is_down = True
        await store.read("a")
        site.store.is_down = False
        await store.read("a")
        assert store.answering_since == first
