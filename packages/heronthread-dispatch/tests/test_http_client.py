"""Retries and connection reuse of the HTTP client, as seen by the server."""

import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest
import trio
from heronthread_dispatch import http_client
from heronthread_dispatch.http_client import HttpClient, NoReply, Reply

ANSWERS, CLOSES, RESETS, ANSWERS_AND_CLOSES = "answers", "closes", "resets", "answers and closes"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Server:
    """Counts calls; `behaviour` maps a call's number to a behaviour other than `ANSWERS`."""

    def __init__(self, behaviour: dict[int, str]) -> None:
        self.behaviour = behaviour
        self.calls = 0
        self.connections = 0
        self.silent_upto = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        number = self.connections
        while await stream.receive_some():
            if number <= self.silent_upto:
                await trio.sleep_forever()
            self.calls += 1
            await trio.sleep(0.01)
            behaviour = self.behaviour.get(self.calls, ANSWERS)
            if behaviour == RESETS:
                linger = struct.pack("ii", 1, 0)
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                return
            if behaviour == CLOSES:
                return
            await stream.send_all(ANSWER)
            if behaviour == ANSWERS_AND_CLOSES:
                return


@asynccontextmanager
async def _served(
    behaviour: dict[int, str],
) -> AsyncIterator[tuple[Server, Callable[..., Awaitable[Reply | NoReply]]]]:
    server = Server(behaviour)
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, server.serve, listeners)
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        with HttpClient() as client:

            async def call(may_repeat: bool = True, timeout_s: float = 5.0) -> Reply | NoReply:
                return await client.call(
                    address, "POST", "/x", body=b"{}", timeout_s=timeout_s, may_repeat=may_repeat
                )

            yield server, call
        nursery.cancel_scope.cancel()


async def test_host_name_is_named_instead_of_the_address() -> None:
    seen = bytearray()

    async def serve(stream: trio.SocketStream) -> None:
        seen.extend(await stream.receive_some())
        await stream.send_all(ANSWER)

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        with HttpClient("queues.example") as client:
            address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
            assert isinstance(await client.call(address, "GET", "/", timeout_s=5.0), Reply)
        nursery.cancel_scope.cancel()
    assert b"Host: queues.example\r\n" in seen


@pytest.mark.parametrize("value", ["caf\u00e9", "a\nb", "a\x00b", " a", "a\ud800"])
async def test_header_that_http_cannot_express_is_a_call_unsent(value: str) -> None:
    with HttpClient() as client:
        headers = (("Expected-Instance", value),)
        outcome = await client.call("127.0.0.1:9", "POST", "/", headers=headers, timeout_s=1.0)
    assert isinstance(outcome, NoReply) and outcome.unsent


@pytest.mark.parametrize(
    "address",
    ["", "nowhere", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:-9"]
    + [
        "127.0.0.1:\u0663",
        "a\x00b:80",
        "caf\u00e9:80",
        f"{'a' * 64}:80",
        "a..b:80",
        f"a:{'9' * 5000}",
    ],
)
async def test_address_that_no_host_can_have_is_a_call_unsent(address: str) -> None:
    with HttpClient() as client:
        outcome = await client.call(address, "GET", "/", timeout_s=1.0)
    assert isinstance(outcome, NoReply) and outcome.unsent
    assert len(outcome.reason) < 200


async def test_endless_answer_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_client, "MAX_BODY_BYTES", 1)
    async with _served({}) as (_, call):
        outcome = await call()
    assert isinstance(outcome, NoReply) and not outcome.unsent


@pytest.mark.parametrize("behaviour", [CLOSES, RESETS])
async def test_call_that_may_not_be_repeated_is_sent_once(behaviour: str) -> None:
    """The connection ends after the call was read, so its outcome is unknown."""
    async with _served({2: behaviour}) as (server, call):
        assert isinstance(await call(False), Reply)
        outcome = await call(False)
        assert isinstance(outcome, NoReply) and not outcome.unsent
        assert server.calls == 2


@pytest.mark.parametrize("behaviour", [CLOSES, RESETS])
async def test_call_that_may_be_repeated_is_sent_again_on_a_new_connection(
    behaviour: str,
) -> None:
    async with _served({2: behaviour}) as (server, call):
        assert isinstance(await call(), Reply)
        assert isinstance(await call(), Reply)
        assert (server.calls, server.connections) == (3, 2)


async def test_closed_idle_connection_is_replaced_before_sending() -> None:
    """A server that closes idle connections must not cause unknown outcomes."""
    async with _served({1: ANSWERS_AND_CLOSES}) as (server, call):
        assert isinstance(await call(False), Reply)
        await trio.sleep(0.05)
        assert isinstance(await call(False), Reply)
        assert (server.calls, server.connections) == (2, 2)


async def test_call_to_a_closed_port_is_unsent() -> None:
    with HttpClient() as client:
        outcome = await client.call("127.0.0.1:1", "POST", "/x", timeout_s=5.0)
    assert isinstance(outcome, NoReply) and outcome.unsent


async def test_hung_idle_connections_cost_one_timeout() -> None:
    async with _served({}) as (server, call):
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(call)
        server.silent_upto = server.connections
        assert isinstance(await call(timeout_s=0.2), NoReply)
        for _ in range(3):
            assert isinstance(await call(), Reply)
        assert server.connections == 4
