"""An HTTP server on the loopback interface whose responses a test defines."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import h11
import trio


@dataclass(slots=True)
class ReceivedRequest:
    method: str
    target: str
    headers: dict[str, str]
    body: Any


Responder = Callable[[ReceivedRequest], tuple[int, Any] | None]


@dataclass(slots=True)
class ScriptedServer:
    """Sends the result of `respond`; None closes the connection without a response."""

    respond: Responder
    address: str = ""
    requests: list[ReceivedRequest] = field(default_factory=list)

    async def serve(self, stream: trio.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        body = b""
        request: ReceivedRequest | None = None
        async with stream:
            while True:
                event = connection.next_event()
                if event is h11.NEED_DATA:
                    connection.receive_data(await stream.receive_some(65536))
                elif isinstance(event, h11.Request):
                    headers = {k.decode().lower(): v.decode() for k, v in event.headers}
                    request = ReceivedRequest(
                        event.method.decode(), event.target.decode(), headers, None
                    )
                    body = b""
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    assert request is not None
                    request.body = json.loads(body) if body else None
                    self.requests.append(request)
                    if not await self._send_response(stream, connection, request):
                        return
                else:
                    return

    async def _send_response(
        self, stream: trio.SocketStream, connection: h11.Connection, request: ReceivedRequest
    ) -> bool:
        response = self.respond(request)
        if response is None:
            return False
        status, value = response
        data = json.dumps(value).encode()
        headers = [("Content-Length", str(len(data)))]
        sent = connection.send(h11.Response(status_code=status, headers=headers)) or b""
        sent += connection.send(h11.Data(data=data)) or b""
        sent += connection.send(h11.EndOfMessage()) or b""
        await stream.send_all(sent)
        connection.start_next_cycle()
        return True


@asynccontextmanager
async def run_scripted_server(respond: Responder) -> AsyncIterator[ScriptedServer]:
    server = ScriptedServer(respond)
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        server.address = f"127.0.0.1:{port}"
        nursery.start_soon(trio.serve_listeners, server.serve, listeners)
        yield server
        nursery.cancel_scope.cancel()
