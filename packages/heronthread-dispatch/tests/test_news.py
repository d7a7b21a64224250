"""Distribution of new configurations to hosts that the store's watch doesn't reach."""

import pytest
import trio
from heronthread_dispatch.keystore import WatchOutcome
from heronthread_dispatch.peer import PeerUnreachable
from heronthread_dispatch.peer_messages import OK, make_reply
from heronthread_dispatch.wire.ttypes import Frame, Operation
from heronthread_emulator import EmulatedSite
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
