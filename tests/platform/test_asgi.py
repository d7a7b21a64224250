"""The ASGI application: request bodies, size and time limits, client disconnects."""

import json

import pytest
import trio
from heronthread_emulator import captured_events
from heronthread_platform.asgi import (
    BodyTimeout,
    BodyTooLarge,
    Request,
    Response,
    make_application,
)

from .asgi_client import call_app

Clock = trio.testing.MockClock


async def _echo_body(request: Request) -> Response:
    try:
        return Response(
            200, await request.read_body(10, 3.0), "text/plain", {"Connection": "close"}
        )
    except BodyTooLarge:
        return Response(413)
    except BodyTimeout:
        return Response(408)


async def test_body_sent_in_parts_is_joined(autojump_clock: Clock) -> None:
    received = await call_app(
        make_application(_echo_body), "POST", "/", {}, data=[b"ab", b"", b"cd"]
    )
    assert (received.status, received.body) == (200, b"abcd")
    assert received.headers == {
        "content-type": "text/plain",
        "content-length": "4",
        "connection": "close",
    }


@pytest.mark.parametrize(
    ("headers", "data", "is_complete", "status"),
    [
        ({"Content-Length": "11"}, b"", False, 413),
        ({}, [b"123456", b"789012"], False, 413),
        ({}, b"1234567890", True, 200),
        ({}, b"1234", False, 408),
    ],
)
async def test_oversized_and_late_bodies_are_rejected(
    headers: dict[str, str], data: bytes, is_complete: bool, status: int, autojump_clock: Clock
) -> None:
    app = make_application(_echo_body)
    received = await call_app(app, "POST", "/", headers, data=data, is_complete=is_complete)
    assert received.status == status


async def test_disconnect_cancels_the_request(autojump_clock: Clock) -> None:
    ended: list[float] = []

    async def wait(request: Request) -> Response:
        try:
            await trio.sleep(60.0)
        finally:
            ended.append(trio.current_time())
        return Response(200)

    started_at = trio.current_time()
    received = await call_app(make_application(wait), "GET", "/", {}, disconnect_after_s=1.0)
    assert received.status == 0
    assert ended == [pytest.approx(started_at + 1.0)]


async def test_exception_returns_500_and_is_logged(autojump_clock: Clock) -> None:
    async def fail(request: Request) -> Response:
        raise RuntimeError("broken")

    with captured_events() as events:
        received = await call_app(make_application(fail), "GET", "/x", {})
    assert received.status == 500
    assert json.loads(received.body) == {"error": "an internal error"}
    assert [event["error"] for event in events] == ["RuntimeError('broken')"]


async def test_lifespan_messages_are_acknowledged() -> None:
    messages = [{"type": "lifespan.startup"}, {"type": "lifespan.shutdown"}]
    sent = []

    async def receive() -> dict[str, object]:
        return messages.pop(0)

    async def send(message: dict[str, object]) -> None:
        sent.append(message["type"])

    await make_application(_echo_body)({"type": "lifespan"}, receive, send)
    assert sent == ["lifespan.startup.complete", "lifespan.shutdown.complete"]
