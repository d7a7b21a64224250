"""Calls an ASGI application in process, as hypercorn does."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import trio
from heronthread_platform.asgi import Application


@dataclass(slots=True)
class ReceivedResponse:
    """The response that the application sent; its status is 0 if there was none."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def call_app(
    app: Application,
    method: str,
    path: str,
    headers: dict[str, str],
    data: str | bytes | list[bytes] = b"",
    disconnect_after_s: float | None = None,
    is_complete: bool = True,
) -> ReceivedResponse:
    """Send one request; a list is a body in parts, and the client may disconnect early."""
    parts = data if isinstance(data, list) else [data.encode() if isinstance(data, str) else data]
    messages = [
        {
            "type": "http.request",
            "body": part,
            "more_body": not is_complete or index < len(parts) - 1,
        }
        for index, part in enumerate(parts)
    ]
    received = ReceivedResponse()

    async def receive() -> dict[str, Any]:
        if messages:
            return messages.pop(0)
        await (
            trio.sleep_forever() if disconnect_after_s is None else trio.sleep(disconnect_after_s)
        )
        return {"type": "http.disconnect"}

    async def send(message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            received.status = message["status"]
            received.headers = {n.decode(): v.decode() for n, v in message["headers"]}
        else:
            received.body += message["body"]

    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "headers": [(name.lower().encode(), value.encode()) for name, value in headers.items()],
        "server": ("127.0.0.1", 80),
    }
    await app(scope, receive, send)
    return received
