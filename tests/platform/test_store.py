"""Watches of the metadata store that end without an answer."""

from typing import Any

import orjson
import pytest
import trio
from heronthread_coordination import Unavailable, Unknown
from heronthread_dispatch.http_client import HttpClient, Reply
from heronthread_dispatch.keystore import Events, Transaction
from heronthread_platform.store import PlatformStore

from .scripted_server import ReceivedRequest, run_scripted_server


async def test_a_watch_that_was_cut_is_not_sent_again() -> None:
    """The second watch would miss what the first one had missed."""

    def respond(request: ReceivedRequest) -> tuple[int, Any] | None:
        is_first = len(server.requests) == 1
        return (200, {"events": [], "at": 7}) if is_first else None

    async with run_scripted_server(respond) as server:
        with HttpClient() as client:
            store = PlatformStore(client, server.address)
            assert await store.watch("a/", 1, 0.0) == Events((), 7)
            with trio.fail_after(5.0):
                assert isinstance(await store.watch("a/", 7, 2.5), Unavailable)
    assert len(server.requests) == 2


class _FixedClient(HttpClient):
    """Returns the same reply to every request, and counts the requests."""

    def __init__(self, body: bytes) -> None:
        super().__init__()
        self.reply = Reply(200, body)
        self.count = 0

    async def call(self, *_: Any, **__: Any) -> Reply:
        self.count += 1
        await trio.lowlevel.checkpoint()
        return self.reply


@pytest.mark.parametrize("number", [1e30, 2.0**64, -1, "1" + "0" * 30, "x", [1]])
async def test_number_that_no_write_can_name_is_a_malformed_answer(number: object) -> None:
    def make(body: dict[str, Any]) -> PlatformStore:
        return PlatformStore(_FixedClient(orjson.dumps(body)), "a")

    item = {"tls-key": "k", "value": "", "revision": 3}
    outcomes = [
        await make({"lease": number, "ttl_ms": 1000}).grant(1.0),
        await make({**item, "revision": number}).read("k"),
        await make({"items": [], "at": number}).list("k"),
        await make({"events": [], "at": number}).watch("k", 1, 0.0),
        await make({"revision": number}).commit(Transaction()),
    ]
    for name in ("lease", "made"):
        outcomes.append(await make({**item, name: number}).read("k"))
    assert all(isinstance(outcome, Unavailable | Unknown) for outcome in outcomes)


@pytest.mark.parametrize("ttl_ms", [0, -5, 1e15, "7", None, True, []])
async def test_lease_without_a_duration_is_a_malformed_answer(ttl_ms: object) -> None:
    client = _FixedClient(orjson.dumps({"lease": 7, "ttl_ms": ttl_ms}))
    assert isinstance(await PlatformStore(client, "a").grant(1.0), Unknown)
    assert isinstance(await PlatformStore(client, "a").renew(7), Unknown)


async def test_listing_that_gets_no_further_ends() -> None:
    item = {"tls-key": "k", "value": "", "revision": 3}
    client = _FixedClient(orjson.dumps({"items": [item], "at": 3, "more": True}))
    with trio.fail_after(5.0):
        assert isinstance(await PlatformStore(client, "a").list("k"), Unavailable)
    assert client.count == 2
