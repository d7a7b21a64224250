"""Host.handle() with valid, malformed and random peer requests."""

import json
import random

import trio
from heronthread_dispatch.wire.ttypes import Forward, Frame, Operation
from heronthread_emulator import EmulatedSite, captured_events

Clock = trio.testing.MockClock

OPERATIONS = sorted(Operation._VALUES_TO_NAMES)
FIELDS = (
    "job",
    "queue",
    "record",
    "tenant",
    "host",
    "version",
    "address",
    "term",
    "passed",
    "store_ok",
)
VALUES = (None, 0, -1, "", "a", "AA==", "e30=", [], {}, [1], {"a": 1}, 1.5, True)


def _make_bodies(count: int) -> list[bytes]:
    source = random.Random(7)
    bodies = [b"", b"{", b"null", b"[]", b'"a"', b"1", b"\xff", b"[" * 100_000]
    for _ in range(count):
        chosen = source.sample(FIELDS, source.randint(0, len(FIELDS)))
        bodies.append(json.dumps({name: source.choice(VALUES) for name in chosen}).encode())
    return bodies


async def test_every_peer_request_is_answered(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        for host in site.hosts.values():
            for operation in [*OPERATIONS, 999]:
                for body in _make_bodies(40):
                    reply = await host.handle(Frame(forward=Forward(operation, "0", body, 100)))
                    assert reply.forward_reply.status in (200, 400, 410, 421, 503, 504)
        await site.hosts["h0"].requests.accept(site.make_job("b", work_s=0.5), 2.0)
        await trio.sleep(3.0)
        assert [start.task.job for start in site.executors.starts()] == ["b"]


async def test_malformed_requests_are_logged_at_a_limited_rate(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1) as site:
        await site.wait_for_owner()
        with captured_events() as messages:
            for _ in range(20):
                frame = Frame(forward=Forward(Operation.NOTE_JOB, "0", b"{}", 100))
                assert (await site.hosts["h0"].handle(frame)).forward_reply.status == 400
        lines = [m for m in messages if m["message_type"] == "peer.malformed"]
        assert [line["operation"] for line in lines] == [Operation.NOTE_JOB]


async def test_malformed_news_is_logged_and_ignored(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1) as site:
        await site.wait_for_owner()
        host = site.hosts["h0"]
        with captured_events() as messages:
            for body in (b"{}", b"[]", b'{"host": 7}'):
                reply = await host.handle(Frame(forward=Forward(Operation.NEWS, "0", body, 100)))
                assert reply.forward_reply.status == 200
                await trio.sleep(0.1)
        lines = [m for m in messages if m["message_type"] == "peer.malformed"]
        assert [line["operation"] for line in lines] == [Operation.NEWS]
        assert host.news.heard == {}
