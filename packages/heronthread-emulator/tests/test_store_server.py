"""The store's process, spoken to by the product's adapter."""

import io

import pytest
import trio
from heronthread_coordination import Unavailable, Unknown
from heronthread_dispatch.http_client import HttpClient
from heronthread_dispatch.keystore import (
    Committed,
    ConditionFailed,
    Events,
    HistoryCompacted,
    KeyRemoved,
    LeaseExpired,
    LeaseHeld,
    Listing,
    Missing,
    Put,
    Transaction,
)
from heronthread_emulator import spelling
from heronthread_emulator.addresses import EXECUTORS_FACE, claim_network
from heronthread_emulator.sight import Sight
from heronthread_emulator.standin import StandinSettings
from heronthread_emulator.store_server import StoreServer, play
from heronthread_platform.store import PlatformStore


@pytest.fixture
async def site(nursery, monkeypatch):
    servers = []
    original = StoreServer.__init__

    def note(self, *arguments):
        original(self, *arguments)
        servers.append(self)

    monkeypatch.setattr(StoreServer, "__init__", note)
    with claim_network() as network, HttpClient() as client:
        settings = StandinSettings(network, 1, 2, 0, network.control(0))
        await play(settings, Sight("store", io.StringIO()), nursery)
        views = {
            face: PlatformStore(client, network.store(face)) for face in (0, 1, EXECUTORS_FACE)
        }
        yield servers[0], views


PUT = Transaction((("a", 0),), (Put("a", b"\x00value"),))


async def test_keys_are_written_read_listed_and_watched(site):
    _, views = site
    store = views[0]
    assert await store.read("a") == Missing()
    done = await store.commit(PUT)
    assert isinstance(done, Committed)
    item = await store.read("a")
    assert (item.value, item.revision) == (b"\x00value", done.revision)
    listing = await store.list("")
    assert isinstance(listing, Listing)
    assert [found.key for found in listing.items] == ["a"]
    assert isinstance(await store.commit(PUT), ConditionFailed)
    await store.commit(Transaction((), (), ("a",)))
    events = await store.watch("", 0, 0.0)
    assert isinstance(events, Events)
    assert [type(event) for event in events.events] == [type(item), KeyRemoved]


async def test_lease_takes_its_keys_with_it(site):
    _, views = site
    held = await views[0].grant(5.0)
    assert isinstance(held, LeaseHeld)
    await views[0].commit(Transaction((), (Put("b", b"", held.lease),)))
    await views[0].revoke(held.lease)
    assert await views[0].read("b") == Missing()
    assert await views[0].renew(held.lease) == LeaseExpired()
    late = Transaction((), (Put("b", b"", held.lease),))
    assert await views[0].commit(late) == LeaseExpired()


async def test_hosts_may_not_write_what_is_others(site):
    _, views = site
    key = spelling.EXECUTOR_PREFIX + "e1"
    assert isinstance(await views[0].commit(Transaction((), (Put(key, b""),))), Unavailable)
    done = await views[EXECUTORS_FACE].commit(Transaction((), (Put(key, b""),)))
    assert isinstance(done, Committed)


async def test_history_is_forgotten(site):
    server, views = site
    await views[0].commit(PUT)
    await server.forget_history({})
    assert await views[0].watch("", 0, 0.0) == HistoryCompacted()


async def test_store_turns_some_hosts_away(site):
    server, views = site
    await server.set_faults({"away": {"1": "503"}})
    assert isinstance(await views[1].read("a"), Unavailable)
    assert await views[0].read("a") == Missing()
    await server.mend({})
    assert await views[1].read("a") == Missing()


async def test_lost_answers_leave_doubt_and_are_done_late(site):
    server, views = site
    await server.set_faults({"lost_share": 1.0, "late_s": 0.2})
    assert isinstance(await views[0].commit(PUT), Unknown)
    await server.mend({})
    with trio.fail_after(10):
        while await views[0].read("a") == Missing():
            await trio.sleep(0.02)


async def test_store_that_is_down_says_so(site):
    server, views = site
    await server.set_store({"is_down": True, "lapses": False})
    assert isinstance(await views[0].commit(PUT), Unavailable)
    await server.set_store({"is_down": False, "lapses": False})
    assert isinstance(await views[0].commit(PUT), Committed)


async def test_watches_miss_changes_that_a_listing_shows(site):
    server, (store, *_) = site[0], site[1].values()
    await server.set_watches({"fault": "skipped"})
    done = await store.commit(PUT)
    assert await store.watch("", 0, 0.1) == Events((), done.revision)
    assert len((await store.list("")).items) == 1
    await server.set_watches({"fault": "silent"})
    assert isinstance(await store.watch("", 0, 0.1), Unavailable)
    await server.mend({})
    assert len((await store.watch("", 0, 0.1)).events) == 1


async def test_cut_watches_are_reset(site, nursery):
    server, (store, *_) = site[0], site[1].values()

    async def cut():
        await trio.sleep(0.1)
        await server.cut_watches({})

    nursery.start_soon(cut)
    with trio.fail_after(5.0):
        assert isinstance(await store.watch("", 0, 20.0), Unavailable)
