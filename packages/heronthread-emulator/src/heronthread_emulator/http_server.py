"""A small HTTP/1.1 server on trio for stand-ins, which can also answer nothing."""

from __future__ import annotations

import json
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import h11
import trio

RECEIVE_BYTES = 65_536
BACKLOG = 512
LINGER_NONE = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class Request:
    """One request, read whole."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def read_json(self) -> dict[str, Any]:
        """Return the body; an empty one is an empty table."""
        value = json.loads(self.body or b"{}")
        assert isinstance(value, dict), "stand-ins are sent tables"
        return value


@dataclass(frozen=True, slots=True)
class Response:
    """One answer."""

    status: int
    value: Any = field(default_factory=dict)


class NoResponse(Enum):
    """How a call is left without an answer."""

    RESET = "reset"
    SILENCE = "silence"


Handler = Callable[[Request], Awaitable[Response | NoResponse]]


async def serve_http(
    address: str, handler: Handler, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    """Serve an address until cancelled: one task for each connection."""
    ip, _, port = address.rpartition(":")
    listeners = await trio.open_tcp_listeners(int(port), host=ip, backlog=BACKLOG)
    task_status.started()

    async def serve_one(stream: trio.SocketStream) -> None:
        try:
            await _serve_connection(stream, handler)
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
            pass  # the caller went away
        finally:
            stream.socket.close()

    await trio.serve_listeners(serve_one, listeners)


def reset(stream: trio.SocketStream) -> None:
    """Close a connection so that the other side sees a reset."""
    if stream.socket.fileno() >= 0:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        stream.socket.close()


async def _serve_connection(stream: trio.SocketStream, handler: Handler) -> None:
    connection = h11.Connection(h11.SERVER)
    while True:
        request = await _read_request(stream, connection)
        if request is None:
            return
        response = await handler(request)
        if response is NoResponse.RESET:
            reset(stream)
            return
        if isinstance(response, NoResponse):
            await _read_to_end(stream)
            return
        await stream.send_all(_encode(connection, response))
        if connection.our_state is not h11.DONE or connection.their_state is not h11.DONE:
            return
        connection.start_next_cycle()


async def _read_request(stream: trio.SocketStream, connection: h11.Connection) -> Request | None:
    head: h11.Request | None = None
    body = b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(RECEIVE_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            assert head is not None, "a message begins with its head"
            return _make_request(head, body)
        else:
            return None


def _make_request(head: h11.Request, body: bytes) -> Request:
    target = urlsplit(head.target.decode())
    headers = {name.decode().lower(): value.decode() for name, value in head.headers}
    return Request(head.method.decode(), target.path, dict(parse_qsl(target.query)), headers, body)


def _encode(connection: h11.Connection, response: Response) -> bytes:
    body = json.dumps(response.value).encode()
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    head = h11.Response(status_code=response.status, headers=headers)
    parts = [connection.send(head), connection.send(h11.Data(data=body))]
    parts.append(connection.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)


async def _read_to_end(stream: trio.SocketStream) -> None:
    while await stream.receive_some(RECEIVE_BYTES):
        pass
