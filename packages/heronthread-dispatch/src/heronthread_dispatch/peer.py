"""Messages between daemons: thrift frames over TCP, many requests on one connection."""

from __future__ import annotations

import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

import trio
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.transport.TTransport import TMemoryBuffer

from .wire.ttypes import Frame

MAX_FRAME_BYTES = 8_000_000
LENGTH_BYTES = 4
CALL_TIMEOUT_S = 2.0

Handler = Callable[[Frame], Awaitable[Frame]]


@dataclass(frozen=True, slots=True)
class PeerUnreachable:
    """A call without a reply; with `refused` the peer certainly did not receive the request."""

    reason: str
    refused: bool = False


class Peers(Protocol):
    """A transport that calls other hosts by their address."""

    async def call(self, address: str, frame: Frame, timeout_s: float) -> Frame | PeerUnreachable:
        """Send one request and return its reply."""


def encode(frame: Frame) -> bytes:
    """Return a frame in the compact protocol."""
    buffer = TMemoryBuffer()
    frame.write(TCompactProtocol(buffer))
    value: bytes = buffer.getvalue()
    return value


class MalformedFrame(Exception):
    """The bytes are not a frame, and the rest of their connection can't be parsed either."""


CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError, MalformedFrame)


def decode(data: bytes) -> Frame:
    """Read a frame in the compact protocol; raises `MalformedFrame`."""
    frame = Frame()
    try:
        frame.read(TCompactProtocol(TMemoryBuffer(data)))
    except Exception as error:  # thrift raises arbitrary exceptions on malformed input
        raise MalformedFrame(repr(error)) from error
    return frame


async def _send(stream: trio.SocketStream, lock: trio.Lock, frame: Frame) -> None:
    data = encode(frame)
    async with lock:
        try:
            await stream.send_all(struct.pack(">I", len(data)) + data)
        except trio.Cancelled:
            # After a partial send, the peer would parse the next frame as the rest of this one.
            stream.socket.close()
            raise


async def _receive_exactly(stream: trio.SocketStream, count: int) -> bytes | None:
    parts: list[bytes] = []
    while count:
        part = await stream.receive_some(min(count, 65536))
        if not part:
            return None
        parts.append(bytes(part))
        count -= len(part)
    return b"".join(parts)


async def _receive(stream: trio.SocketStream) -> Frame | None:
    header = await _receive_exactly(stream, LENGTH_BYTES)
    if header is None:
        return None
    (length,) = struct.unpack(">I", header)
    if length > MAX_FRAME_BYTES:
        return None
    data = await _receive_exactly(stream, length)
    return None if data is None else decode(data)


async def serve_peers(
    address: str, handler: Handler, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
) -> None:
    """Serve peers on an address until cancelled: one task per connection and per request.

    It starts with the address in use, which differs for port 0.
    """
    ip, port = split_address(address)

    async def serve_one(stream: trio.SocketStream) -> None:
        lock = trio.Lock()

        async def answer(frame: Frame) -> None:
            reply = await handler(frame)
            reply.id = frame.id
            await _send(stream, lock, reply)

        try:
            async with trio.open_nursery() as nursery:
                while (frame := await _receive(stream)) is not None:
                    nursery.start_soon(answer, frame)
                nursery.cancel_scope.cancel()
        except* CONNECTION_ERRORS:
            pass  # the peer disconnected, and its requests were cancelled

    listeners = await trio.open_tcp_listeners(port, host=ip)
    task_status.started(f"{ip}:{listeners[0].socket.getsockname()[1]}")
    await trio.serve_listeners(serve_one, listeners)


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and port of an address."""
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)


@dataclass(slots=True)
class _Connection:
    stream: trio.SocketStream
    lock: trio.Lock = field(default_factory=trio.Lock)
    waiting: dict[int, tuple[trio.Event, list[Frame]]] = field(default_factory=dict)
    is_open: bool = True
    next_id: int = 1
    last_reply_at: float = float("-inf")

    @property
    def is_usable(self) -> bool:
        """Whether frames may be sent; a cancelled send closes the socket."""
        return self.is_open and self.stream.socket.fileno() >= 0


class TcpPeers:
    """Connections to peers, opened when first needed; one reader task for each."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._connections: dict[str, _Connection] = {}
        self._connecting: dict[str, trio.Lock] = {}

    async def call(
        self, address: str, frame: Frame, timeout_s: float = CALL_TIMEOUT_S
    ) -> Frame | PeerUnreachable:
        """Send one request and return its reply."""
        connection: _Connection | None = None
        asked_at = trio.current_time()
        with trio.move_on_after(timeout_s):
            try:
                connection = await self._connect(address)
            except OSError as error:
                return PeerUnreachable(f"{address}: {error.strerror or error}", refused=True)
            except (ValueError, OverflowError) as error:
                return PeerUnreachable(f"{address}: no address: {error}", refused=True)
            return await self._exchange(address, connection, frame)
        if connection is not None and connection.last_reply_at < asked_at:
            # After a network partition, reconnecting is faster than waiting for TCP to retransmit.
            self._close(address, connection)
        return PeerUnreachable(f"{address}: no answer in {timeout_s:g} s")

    async def _exchange(
        self, address: str, connection: _Connection, frame: Frame
    ) -> Frame | PeerUnreachable:
        request_id = connection.next_id
        connection.next_id += 1
        frame.id = request_id
        arrived, box = trio.Event(), list[Frame]()
        connection.waiting[request_id] = (arrived, box)
        try:
            await _send(connection.stream, connection.lock, frame)
            await arrived.wait()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._close(address, connection)
        finally:
            connection.waiting.pop(request_id, None)
        return box[0] if box else PeerUnreachable(f"{address}: the connection broke")

    async def _connect(self, address: str) -> _Connection:
        async with self._connecting.setdefault(address, trio.Lock()):
            known = self._connections.get(address)
            if known is not None and known.is_usable:
                return known
            ip, port = split_address(address)
            stream = await trio.open_tcp_stream(ip, port)
            connection = self._connections[address] = _Connection(stream)
            self._nursery.start_soon(self._read, address, connection)
            return connection

    async def _read(self, address: str, connection: _Connection) -> None:
        try:
            while (frame := await _receive(connection.stream)) is not None:
                connection.last_reply_at = trio.current_time()
                waiting = connection.waiting.pop(frame.id, None)
                if waiting is not None:
                    waiting[1].append(frame)
                    waiting[0].set()
        except CONNECTION_ERRORS:
            pass
        finally:
            self._close(address, connection)

    def _close(self, address: str, connection: _Connection) -> None:
        connection.is_open = False
        if self._connections.get(address) is connection:
            del self._connections[address]
        for arrived, _ in connection.waiting.values():
            arrived.set()
        connection.waiting.clear()
        connection.stream.socket.close()
