"""ASGI middleware that counts requests in progress and refuses new ones while draining."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from heronthread_coordination import Drain, Draining

from .problem_details import CONTENT_TYPE, describe_problem

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[Message, Receive, Send], Awaitable[None]]

ALWAYS_SERVED = ("/health/", "/v1/status")
RETRY_AFTER_S = b"1"


class DrainMiddleware:
    """ASGI middleware around the whole application.

    A request counts as in progress until its last byte is sent.
    """

    def __init__(self, application: Application, drain: Drain) -> None:
        self._application = application
        self._drain = drain

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve a request, or reply with status 503 if this host is draining."""
        if scope["type"] != "http" or scope["path"].startswith(ALWAYS_SERVED):
            await self._application(scope, receive, send)
            return
        try:
            with self._drain.request():
                await self._application(scope, receive, send)
        except Draining as error:
            await _refuse(send, str(error))


async def _refuse(send: Send, detail: str) -> None:
    body = json.dumps(describe_problem(503, "draining", detail)).encode()
    headers = [
        (b"content-type", CONTENT_TYPE.encode()),
        (b"retry-after", RETRY_AFTER_S),
        (b"connection", b"close"),
    ]
    await send({"type": "http.response.start", "status": 503, "headers": headers})
    await send({"type": "http.response.body", "body": body})
