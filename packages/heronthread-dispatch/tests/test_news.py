"""News between hosts: configurations that the store's watch doesn't deliver, and the load."""

import json
from dataclasses import replace

import pytest
import trio
from heronthread_dispatch.admission import MAX_DIGEST_AGE_S
from heronthread_dispatch.clock import boot_time
from heronthread_dispatch.fair_shares import FairShares
from heronthread_dispatch.keystore import WatchOutcome
from heronthread_dispatch.owner import Owner
from heronthread_dispatch.peer import PeerUnreachable
from heronthread_dispatch.peer_messages import (
    NEWS_FIELD_TYPES,
    OK,
    decode_news,
    encode_news,
    make_reply,
)
from heronthread_dispatch.wire.ttypes import Frame, Operation
from heronthread_emulator import EmulatedSite, captured_events
from heronthread_emulator.site import POOL
from heronthread_emulator.store import StoreView

Clock = trio.testing.MockClock


def _count_fetches(site: EmulatedSite, monkeypatch: pytest.MonkeyPatch, took_s: float) -> list[str]:
    """Record each transfer of a configuration, delayed by `took_s` as over a slow link."""
    fetched: list[str] = []
    call = site.peers.call

    async def observe(address: str, frame: Frame, timeout_s: float) -> Frame | PeerUnreachable:
        if frame.forward is not None and frame.forward.operation == Operation.CONFIGURATION:
            fetched.append(address)
            await trio.sleep(took_s)
        return await call(address, frame, timeout_s)

    monkeypatch.setattr(site.peers, "call", observe)
    return fetched


def _slow_watches(first: StoreView, monkeypatch: pytest.MonkeyPatch) -> None:
    """Delay configurations for all hosts but `first`, as over slow links."""
    watch = StoreView.watch

    async def watch_slowly(view: StoreView, prefix: str, after: int, wait_s: float) -> WatchOutcome:
        outcome = await watch(view, prefix, after, wait_s)
        await trio.sleep(0.08 if prefix == "configuration" and view is not first else 0.0)
        return outcome

    monkeypatch.setattr(StoreView, "watch", watch_slowly)


async def test_a_version_delivered_by_the_store_is_not_fetched_from_peers(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with EmulatedSite.open(hosts=9) as site:
        await site.wait_for_owner()
        fetched = _count_fetches(site, monkeypatch, 0.4)
        _slow_watches(site.views["h0"], monkeypatch)
        await trio.sleep(4.0)  # until all pending watches have ended
        site.configure(2)
        await trio.sleep(2.0)
        assert {host.configuration.state.version for host in site.hosts.values()} == {2}
        assert fetched == []


async def test_a_host_without_the_store_fetches_a_version_once(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with EmulatedSite.open(hosts=9) as site:
        await site.wait_for_owner()
        site.views["h8"].is_silent = True
        await trio.sleep(3.0)
        fetched = _count_fetches(site, monkeypatch, 0.4)
        site.configure(2)
        await trio.sleep(1.0)
        assert site.hosts["h8"].configuration.state.version == 2
        assert len(fetched) == 1


async def test_malformed_compressed_configuration_is_ignored(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        configuration = site.hosts["h0"].configuration
        assert not configuration.offer_packed(b"not compressed", "h1")
        assert configuration.state.version == 1


@pytest.mark.parametrize("packed", ["not base64!", 7, None, "bm90IGNvbXByZXNzZWQ="])
async def test_a_malformed_configuration_from_a_peer_crashes_no_host(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch, packed: object
) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        await site.wait_for_owner()
        call = site.peers.call

        async def spoil(address: str, frame: Frame, timeout_s: float) -> Frame | PeerUnreachable:
            if frame.forward is not None and frame.forward.operation == Operation.CONFIGURATION:
                return make_reply(OK, {"packed": packed})
            return await call(address, frame, timeout_s)

        monkeypatch.setattr(site.peers, "call", spoil)
        site.views["h2"].is_silent = True
        await trio.sleep(3.0)
        site.configure(2)
        await trio.sleep(3.0)
        assert site.hosts["h2"].configuration.state.version == 1
        site.views["h2"].is_silent = False
        await trio.sleep(5.0)
        assert site.hosts["h2"].configuration.state.version == 2


def _find_owner(site: EmulatedSite) -> Owner:
    owner = next(host.owner for host in site.hosts.values() if host.owner is not None)
    assert owner is not None
    return owner


async def test_every_host_learns_the_load_and_its_age(autojump_clock: Clock) -> None:
    """Guards against hosts that decide by a digest older than the owner's last ones."""
    async with EmulatedSite.open(hosts=5) as site:
        await site.wait_for_owner()
        await trio.sleep(10.0)
        for host in site.hosts.values():
            known = host.known_load.find(boot_time())
            assert known is not None
            assert known.digest.term == _find_owner(site).cell.term.number
            assert [load.pool for load in known.digest.pools] == [POOL]
            newest = site.hosts[site.owner_name() or ""].known_load.find(boot_time())
            assert newest is not None
            behind = newest.digest.sequence - known.digest.sequence
            assert known.age_s == pytest.approx(behind + newest.age_s, abs=0.1)
            assert known.age_s < MAX_DIGEST_AGE_S


@pytest.mark.parametrize("load", [7, [], "x", {"v": 2}, {"v": 1, "a": 0.1, "d": "not base64!"}])
async def test_malformed_digest_is_dropped_and_not_the_news(
    autojump_clock: Clock, load: object
) -> None:
    """Guards against losing a peer's store health or owner with a digest that can't be read."""
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        await trio.sleep(2.0)
        host = site.hosts["h0"]
        before = host.known_load.find(boot_time())
        assert before is not None
        news = decode_news({**encode_news(site.hosts["h1"].news.make()), "load": load})
        assert news is not None
        with captured_events() as messages:
            for _ in range(3):
                await host.news.take(replace(news, host="h9"))
        assert "h9" in host.news.heard
        known = host.known_load.find(boot_time())
        assert known is not None
        assert known.digest == before.digest
        lines = [m for m in messages if m["message_type"] == "load.malformed"]
        assert len(lines) == (1 if load else 0)


async def test_news_of_earlier_versions_and_for_them_can_be_read(autojump_clock: Clock) -> None:
    """Guards against hosts of two versions that don't understand each other's news."""
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        await trio.sleep(2.0)
        body = json.loads(json.dumps(encode_news(site.hosts["h0"].news.make())))
        assert body["load"]
        for name in NEWS_FIELD_TYPES:
            assert isinstance(body[name], NEWS_FIELD_TYPES[name])
        del body["load"]
        earlier = decode_news(body)
        assert earlier is not None
        await site.hosts["h1"].news.take(earlier)
        assert site.hosts["h1"].news.heard["h0"].news == earlier


async def test_late_and_lost_news_keep_the_newest_digest(autojump_clock: Clock) -> None:
    """Guards against an earlier digest that replaces a later one, or a lost one that stays new."""
    async with EmulatedSite.open(hosts=2) as site:
        owner = await site.wait_for_owner()
        await trio.sleep(2.0)
        late = site.hosts[owner].news.make()
        await trio.sleep(3.0)
        host = next(host for name, host in site.hosts.items() if name != owner)
        newest = host.known_load.find(boot_time())
        assert newest is not None
        await host.news.take(late)
        kept = host.known_load.find(boot_time())
        assert kept is not None
        assert kept.digest == newest.digest
        assert kept.age_s == pytest.approx(newest.age_s, abs=0.001)
        site.peers.cut = set(site.hosts)
        await trio.sleep(4.0)
        known = host.known_load.find(boot_time())
        assert known is not None
        assert known.age_s > MAX_DIGEST_AGE_S


async def test_next_owner_starts_from_the_use_in_the_digest(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a takeover that favours the customers with the largest use."""
    restored: list[tuple[str, dict[str, float]]] = []

    def restore(shares: FairShares, pool: str, used: dict[str, float], now: float) -> None:
        restored.append((pool, dict(used)))

    monkeypatch.setattr(FairShares, "restore", restore)
    monkeypatch.setattr(FairShares, "list_largest", lambda shares, pool, now: {"first": 640.0})
    async with EmulatedSite.open(hosts=3) as site:
        owner = await site.wait_for_owner()
        await trio.sleep(5.0)
        assert restored == []
        site.kill_host(owner)
        while site.owner_name() is None:
            await trio.sleep(0.05)
        await trio.sleep(0.1)
        assert restored == [(POOL, {"first": 640.0})]


async def test_outage_of_the_store_ends_for_all_hosts_at_about_the_same_time(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        await site.wait_for_owner()
        await trio.sleep(3.0)
        site.store.is_down = True
        await trio.sleep(2.5)
        site.store.is_down = False
        back_at = trio.current_time()
        await trio.sleep(3.0)
        for host in site.hosts.values():
            assert back_at <= host.news.find_outage_end() <= back_at + 1.5


@pytest.mark.parametrize("is_alone", [False, True])
async def test_path_that_one_host_lost_is_no_outage_of_the_store(
    is_alone: bool, autojump_clock: Clock
) -> None:
    """The host hears the others, or none of them."""
    async with EmulatedSite.open(hosts=3) as site:
        await site.wait_for_owner()
        await trio.sleep(3.0)
        site.views["h1"].is_cut = True
        await trio.sleep(2.5)
        site.views["h1"].is_cut = False
        if is_alone:
            site.paths.cut(["h1"], ["h0", "h2"])
        await trio.sleep(3.0)
        assert site.hosts["h1"].news.find_outage_end() == float("inf")


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("used_preassignments", {"9" * 5000: 1}),
        ("used_preassignments", {"7": True}),
        ("used_preassignments", {"7": -1}),
        ("used_preassignments", {"\u0663": 1}),
        ("used_preassignments", {"7": 2**70}),
        ("closed_preassignments", 2**70),
        ("store_revision", 2**70),
        ("store_revision", -1),
        ("member_revision", -1),
        ("term", 2**70),
        ("version", 2**70),
        ("confirmed_digest", -1),
        ("host", "h" * 1000),
        ("host", "h\ud800"),
        ("address", "a" * 1000),
        ("address", "a\ud800"),
        ("owner", "h" * 1000),
        ("no_orders_s", float("inf")),
        ("confirmed_s", float("inf")),
        ("owners_seen_s", {"1": float("inf")}),
    ],
)
async def test_news_out_of_bounds_are_malformed_and_end_no_host(
    name: str, value: object, autojump_clock: Clock
) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        host = site.hosts["h0"]
        body = json.loads(json.dumps({**encode_news(host.news.make()), name: value}))
        assert decode_news(body) is None
        await host.news.take(decode_news(body))


@pytest.mark.parametrize("body", [[], ["host"], "host", 7, None, {}])
def test_news_that_are_no_object_are_malformed(body: object) -> None:
    assert decode_news(body) is None  # type: ignore[arg-type]
