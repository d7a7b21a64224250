"""Watches of the metadata store that end without an answer."""

from typing import Any

import trio
from heronthread_coordination import Unavailable
from heronthread_dispatch.http_client import HttpClient
from heronthread_dispatch.keystore import Events
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
