"""A small HTTP server over loopback that answers with what a test queued."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import h11
import trio


@dataclass(slots=True)
class Call:
    method: str
    target: str
    headers: dict[str, str]
    body: Any


Answer = Callable[[Call], tuple[int, Any] | None]


@dataclass(slots=True)
class ScriptedServer:
    """Answers each call with `answer`; None closes the connection without an answer."""

    answer: Answer
    address: str = ""
    calls: list[Call] = field(default_factory=list)

    async def serve(self, stream: trio.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        body = b""
        call: Call | None = None
        async with stream:
            while True:
                event = connection.next_event()
                if event is h11.NEED_DATA:
                    connection.receive_data(await stream.receive_some(65536))
                elif isinstance(event, h11.Request):
                    headers = {k.decode().lower(): v.decode() for k, v in event.headers}
                    call = Call(event.method.decode(), event.target.decode(), headers, None)
                    body = b""
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    assert call is not None
                    call.body = json.loads(body) if body else None
                    self.calls.append(call)
                    if not await self._reply(stream, connection, call):
                        return
                else:
                    return

    async def _reply(
        self, stream: trio.SocketStream, connection: h11.Connection, call: Call
    ) -> bool:
        answer = self.answer(call)
        if answer is None:
            return False
        status, value = answer
        data = json.dumps(value).encode()
        headers = [("Content-Length", str(len(data)))]
        sent = connection.send(h11.Response(status_code=status, headers=headers)) or b""
        sent += connection.send(h11.Data(data=data)) or b""
        sent += connection.send(h11.EndOfMessage()) or b""
        await stream.send_all(sent)
        connection.start_next_cycle()
        return True


@asynccontextmanager
async def scripted(answer: Answer) -> AsyncIterator[ScriptedServer]:
    server = ScriptedServer(answer)
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        server.address = f"127.0.0.1:{port}"
        nursery.start_soon(trio.serve_listeners, server.serve, listeners)
        yield server
        nursery.cancel_scope.cancel()
