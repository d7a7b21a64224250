"""Calls over the application: whole bodies, late and large ones, callers that leave."""

import json

import pytest
import trio
from heronthread_emulator import captured_events
from heronthread_platform.asgi import (
    Answer,
    BodyTooLarge,
    BodyTooLate,
    Call,
    make_application,
)

from .asgi_client import call_app

Clock = trio.testing.MockClock


async def _echo(call: Call) -> Answer:
    try:
        return Answer(200, await call.read_body(10, 3.0), "text/plain", {"Connection": "close"})
    except BodyTooLarge:
        return Answer(413)
    except BodyTooLate:
        return Answer(408)


async def test_a_body_in_parts_is_read_whole(autojump_clock: Clock) -> None:
    received = await call_app(make_application(_echo), "POST", "/", {}, data=[b"ab", b"", b"cd"])
    assert (received.status, received.body) == (200, b"abcd")
    assert received.headers == {
        "content-type": "text/plain",
        "content-length": "4",
        "connection": "close",
    }


@pytest.mark.parametrize(
    ("headers", "data", "is_whole", "status"),
    [
        ({"Content-Length": "11"}, b"", False, 413),
        ({}, [b"123456", b"789012"], False, 413),
        ({}, b"1234567890", True, 200),
        ({}, b"1234", False, 408),
    ],
)
async def test_large_and_late_bodies(
    headers: dict[str, str], data: bytes, is_whole: bool, status: int, autojump_clock: Clock
) -> None:
    app = make_application(_echo)
    received = await call_app(app, "POST", "/", headers, data=data, is_whole=is_whole)
    assert received.status == status


async def test_a_caller_that_leaves_ends_its_call(autojump_clock: Clock) -> None:
    ended: list[float] = []

    async def wait(call: Call) -> Answer:
        try:
            await trio.sleep(60.0)
        finally:
            ended.append(trio.current_time())
        return Answer(200)

    began = trio.current_time()
    received = await call_app(make_application(wait), "GET", "/", {}, leaves_after_s=1.0)
    assert received.status == 0
    assert ended == [pytest.approx(began + 1.0)]


async def test_an_error_costs_its_own_call_and_is_told(autojump_clock: Clock) -> None:
    async def fail(call: Call) -> Answer:
        raise RuntimeError("broken")

    with captured_events() as events:
        received = await call_app(make_application(fail), "GET", "/x", {})
    assert received.status == 500
    assert json.loads(received.body) == {"error": "an internal error"}
    assert [event["error"] for event in events] == ["RuntimeError('broken')"]


async def test_start_and_end_of_the_server_are_answered() -> None:
    told = [{"type": "lifespan.startup"}, {"type": "lifespan.shutdown"}]
    sent = []

    async def receive() -> dict[str, object]:
        return told.pop(0)

    async def send(message: dict[str, object]) -> None:
        sent.append(message["type"])

    await make_application(_echo)({"type": "lifespan"}, receive, send)
    assert sent == ["lifespan.startup.complete", "lifespan.shutdown.complete"]
