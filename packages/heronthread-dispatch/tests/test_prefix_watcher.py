"""Batching of frequent changes of a watched key."""

import trio
from heronthread_dispatch.keystore import Item, KeyRemoved
from heronthread_dispatch.observed_store import ObservedStore
from heronthread_dispatch.prefix_watcher import PrefixWatcher
from heronthread_emulator import EmulatedSite

Clock = trio.testing.MockClock


async def _follow(site: EmulatedSite, gather_s: float) -> tuple[int, list[Item | KeyRemoved]]:
    store = ObservedStore(site.store_view())
    changes: list[Item | KeyRemoved] = []
    follower = PrefixWatcher(
        store, "beat/", lambda listing: None, changes.append, gather_s=gather_s
    )
    with trio.move_on_after(5.0):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            for number in range(200):
                await trio.sleep(0.02)
                site.store.put(f"beat/{number % 9}", str(number).encode())
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
    return store.calls["watch"], changes


async def test_changes_are_batched_and_none_is_missed(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1) as site:
        at_once, every = await _follow(site, 0.0)
        seldom, gathered = await _follow(site, 0.25)
        assert at_once >= 150
        assert seldom <= 20
        last = {change.key: change.value for change in every if isinstance(change, Item)}
        kept = {change.key: change.value for change in gathered if isinstance(change, Item)}
        assert kept == last
