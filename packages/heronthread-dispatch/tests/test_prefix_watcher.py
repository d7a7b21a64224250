"""Batching of frequent changes of a watched key, and listings beside a watch."""

import pytest
import trio
from heronthread_dispatch.keystore import Item, KeyRemoved, Listing, WatchOutcome
from heronthread_dispatch.observed_store import ObservedStore
from heronthread_dispatch.prefix_watcher import RETRY_PAUSE_S, PrefixWatcher
from heronthread_emulator import EmulatedSite, captured_events
from heronthread_emulator.store import StoreView, WatchFault

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


class _Follower:
    """Follows a prefix with a staleness bound, and keeps what it was told."""

    def __init__(self, site: EmulatedSite, gather_s: float = 0.0) -> None:
        self.listings: list[Listing] = []
        self.changes: list[Item | KeyRemoved] = []
        self.store = ObservedStore(site.store_view())
        self.watcher = PrefixWatcher(
            self.store,
            "beat/",
            self.listings.append,
            self.changes.append,
            gather_s=gather_s,
            max_staleness_s=lambda: 2.0,
        )
        site.nursery.start_soon(self.watcher.run)


async def test_listings_of_known_keys_are_not_applied_again(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1) as site:
        follower = _Follower(site)
        for number in range(10):
            site.store.put("beat/a", str(number).encode())
            await trio.sleep(1.0)
        assert len(follower.listings) == 1
        assert len(follower.changes) == 9
        assert follower.store.calls["list"] >= 9
        assert follower.watcher.describe()["unconfirmed_s"] < 1.01  # type: ignore[operator]


async def test_a_removal_that_no_watch_delivers_is_noticed(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1) as site:
        site.store.put("beat/a", b"")
        site.store.put("beat/b", b"")
        follower = _Follower(site)
        await trio.sleep(0.5)
        site.store.watch_fault = WatchFault.SILENT
        with captured_events() as messages:
            site.store.remove("beat/a")
            await trio.sleep(2.0)
        assert follower.changes == [KeyRemoved("beat/a", site.store.revision)]
        assert [m["keys"] for m in messages if m["message_type"] == "watch.missed"] == [["beat/a"]]
        site.store.watch_fault = None
        await trio.sleep(1.1)
        site.store.put("beat/c", b"")
        await trio.sleep(0.02)
        assert [change.key for change in follower.changes] == ["beat/a", "beat/c"]


async def test_a_listing_does_not_disturb_a_watch_that_is_told_of_many_changes(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=1) as site:
        follower = _Follower(site, gather_s=0.25)
        with captured_events() as messages:
            for number in range(1_000):
                site.store.put(f"beat/{number % 24}", str(number).encode())
                await trio.sleep(0.02)
            await trio.sleep(0.5)
        assert follower.store.calls["list"] >= 20
        assert [m for m in messages if m["message_type"] == "watch.missed"] == []
        for key in range(24):
            items = [c for c in follower.changes if isinstance(c, Item) and c.key == f"beat/{key}"]
            numbers = [int(item.value) for item in items]
            assert numbers == sorted(set(numbers))
            assert numbers[-1] == max(range(key, 1_000, 24))


async def test_an_answer_older_than_a_listing_is_dropped(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with EmulatedSite.open(hosts=1) as site:
        follower = _Follower(site)
        await trio.sleep(0.5)
        watch = StoreView.watch

        async def answer_late(
            view: StoreView, prefix: str, after: int, wait_s: float
        ) -> WatchOutcome:
            outcome = await watch(view, prefix, after, wait_s)
            if prefix == "beat/":
                with trio.CancelScope(shield=True):
                    await trio.sleep(1.5)
            return outcome

        monkeypatch.setattr(StoreView, "watch", answer_late)
        for number in range(8):
            site.store.put("beat/a", str(number).encode())
            await trio.sleep(0.6)
        await trio.sleep(3.0)
        values = [change.value for change in follower.changes if isinstance(change, Item)]
        assert values == sorted(values)
        assert values[-1] == b"7"


async def test_the_watch_after_a_cut_does_not_wait(autojump_clock: Clock) -> None:
    """Guards against a store that tells of a compaction only as a watch's wait ends."""
    async with EmulatedSite.open(hosts=1) as site:
        changes: list[Item | KeyRemoved] = []
        listings: list[Listing] = []
        watcher = PrefixWatcher(
            ObservedStore(site.store_view()), "beat/", listings.append, changes.append
        )
        site.nursery.start_soon(watcher.run)
        await trio.sleep(0.5)
        site.store.compacts_unnoticed = True
        site.store.watch_fault = WatchFault.SILENT
        site.store.put("beat/a", b"")
        site.store.watch_fault = None
        site.store.forget_history()
        site.store.cut_watches()
        await trio.sleep(RETRY_PAUSE_S + 0.05)
        assert [item.key for item in listings[-1].items] == ["beat/a"]
