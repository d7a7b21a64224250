"""Frames between hosts over loopback: a fault of one connection does not affect others."""

import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial

import pytest
import trio
from heronthread_dispatch.peer import (
    MAX_FRAME_BYTES,
    MalformedFrame,
    PeerUnreachable,
    TcpPeers,
    decode,
    serve_peers,
    split_address,
)
from heronthread_dispatch.wire.ttypes import Forward, ForwardReply, Frame
from hypothesis import given, settings
from hypothesis import strategies as st


async def _echo(frame: Frame) -> Frame:
    assert frame.forward is not None
    if frame.forward.body == b"slow":
        await trio.sleep_forever()
    return Frame(forward_reply=ForwardReply(200, frame.forward.body))


def _ask(body: bytes) -> Frame:
    return Frame(forward=Forward(1, "0", body, 100))


@asynccontextmanager
async def _served() -> AsyncIterator[tuple[str, TcpPeers]]:
    async with trio.open_nursery() as nursery:
        address = await nursery.start(serve_peers, "127.0.0.1:0", _echo)
        yield address, TcpPeers(nursery)
        nursery.cancel_scope.cancel()


async def _answers(peers: TcpPeers, address: str) -> bool:
    reply = await peers.call(address, _ask(b"hello"), 5.0)
    return isinstance(reply, Frame) and reply.forward_reply.body == b"hello"


@pytest.mark.parametrize("data", [b"\x82!\x01", b"\xff" * 40, b"", b"\x19\xf8\xff\xff\xff\xff"])
async def test_malformed_bytes_close_only_their_connection(data: bytes) -> None:
    async with _served() as (address, peers):
        ip, port = split_address(address)
        stream = await trio.open_tcp_stream(ip, port)
        await stream.send_all(struct.pack(">I", len(data)) + data)
        with trio.move_on_after(0.2):
            await stream.receive_some(1)
        assert await _answers(peers, address)


@pytest.mark.parametrize("address", ["", "a", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:99999"])
async def test_a_malformed_address_is_an_unreachable_peer(address: str) -> None:
    """Peers may report malformed addresses, which must not raise into a host's tasks."""
    async with _served() as (served, peers):
        reply = await peers.call(address, _ask(b"hello"), 1.0)
        assert isinstance(reply, PeerUnreachable)
        assert reply.refused
        assert await _answers(peers, served)


async def test_call_cancelled_while_sending_breaks_no_later_call() -> None:
    """A partially sent frame must not be completed by the next one."""
    accepted: list[trio.SocketStream] = []

    async def accept(stream: trio.SocketStream) -> None:
        accepted.append(stream)
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(partial(trio.serve_tcp, accept, 0, host="127.0.0.1"))
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        peers = TcpPeers(nursery)
        with trio.move_on_after(0.3):
            await peers.call(address, _ask(bytes(MAX_FRAME_BYTES)), 5.0)
        with trio.move_on_after(0.3):
            await peers.call(address, _ask(b"next"), 5.0)
        assert len(accepted) == 2
        nursery.cancel_scope.cancel()


async def test_silent_connection_is_replaced() -> None:
    async with _served() as (address, peers):
        assert await _answers(peers, address)
        first = peers._connections[address]
        outcome = await peers.call(address, _ask(b"slow"), 0.05)
        assert isinstance(outcome, PeerUnreachable)
        assert await _answers(peers, address)
        assert peers._connections[address] is not first


@settings(derandomize=True, max_examples=200)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_decode_or_are_malformed(data: bytes) -> None:
    try:
        frame = decode(data)
    except MalformedFrame:
        return
    assert isinstance(frame, Frame)
