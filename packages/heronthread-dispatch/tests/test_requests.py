"""Callers' requests when a peer's reply is malformed."""

import base64

import pytest
import trio
from heronthread_coordination import Unavailable
from heronthread_dispatch.intake import IntakeOutcome, NoSuchJob, NotTaken, Taken, Unsettled
from heronthread_dispatch.owner import JobView
from heronthread_dispatch.peer import PeerUnreachable
from heronthread_dispatch.record import JobStatus
from heronthread_dispatch.wire.ttypes import ForwardReply, Frame, Operation
from heronthread_emulator import EmulatedSite, captured_events

Clock = trio.testing.MockClock

DEEPLY_NESTED = b"[" * 100_000
"""JSON nested beyond the parser's recursion limit."""


def _replace_replies(
    site: EmulatedSite, monkeypatch: pytest.MonkeyPatch, operation: int, body: bytes
) -> list[str]:
    """Replace the replies to one operation with `body`; peers still execute the calls."""
    asked: list[str] = []
    call = site.peers.call

    async def answer(address: str, frame: Frame, timeout_s: float) -> Frame | PeerUnreachable:
        reply = await call(address, frame, timeout_s)
        if frame.forward is None or frame.forward.operation != operation:
            return reply
        asked.append(address)
        return Frame(forward_reply=ForwardReply(200, body))

    monkeypatch.setattr(site.peers, "call", answer)
    return asked


def _wrap_record(record: bytes) -> bytes:
    return b'{"record": "' + base64.b64encode(record) + b'"}'


MALFORMED_REPLIES = [
    b"{}",
    b'{"record": 7}',
    b'{"record": "not base64!"}',
    b'{"record": "abc"}',
    _wrap_record(b"no record"),
    _wrap_record(b"{}"),
    _wrap_record(b"null"),
    _wrap_record(b'{"steps": [[1]]}'),
    _wrap_record(DEEPLY_NESTED),
    b"null",
    DEEPLY_NESTED,
]


async def _cut_off_a_follower(site: EmulatedSite) -> str:
    """Return a host that is not the owner and is cut off from the store."""
    owner = await site.wait_for_owner()
    name = next(name for name in sorted(site.hosts) if name != owner)
    await trio.sleep(2.0)
    site.views[name].is_silent = True
    await trio.sleep(3.0)
    return name


@pytest.mark.parametrize("body", MALFORMED_REPLIES)
async def test_accepting_with_a_malformed_reply_is_unsettled(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch, body: bytes
) -> None:
    """The peer has accepted the job; repeating the call is conclusive."""
    async with EmulatedSite.open(hosts=3) as site:
        host = site.hosts[await _cut_off_a_follower(site)]
        asked = _replace_replies(site, monkeypatch, Operation.ACCEPT_JOB, body)
        record = site.make_job("a", work_s=0.5)
        outcome: IntakeOutcome = await host.requests.accept(record, 2.0)
        assert asked
        assert isinstance(outcome, Unsettled)
        monkeypatch.undo()
        assert isinstance(await host.requests.accept(record, 2.0), Taken)
        await trio.sleep(3.0)
        assert [start.task.job for start in site.executors.starts()] == ["a"]


@pytest.mark.parametrize("body", MALFORMED_REPLIES)
async def test_cancelling_with_a_malformed_reply_is_unsettled(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch, body: bytes
) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        host = site.hosts[await _cut_off_a_follower(site)]
        await host.requests.accept(site.make_job("a", work_s=60.0), 2.0)
        asked = _replace_replies(site, monkeypatch, Operation.CANCEL_JOB, body)
        assert isinstance(await host.requests.cancel("a", "first", 2.0), Unsettled)
        assert asked
        monkeypatch.undo()
        assert isinstance(await host.requests.cancel("a", "first", 2.0), Taken)


@pytest.mark.parametrize(
    "body",
    [
        b"{}",
        b'{"status": "nearly", "tenant": "first", "queue": "ordinary"}',
        b'{"status": [], "tenant": "first", "queue": "ordinary"}',
        b'{"status": "running", "tenant": 1, "queue": "ordinary"}',
        b'{"status": "running", "tenant": "first"}',
        DEEPLY_NESTED,
    ],
)
async def test_status_is_read_from_the_store_after_a_malformed_reply(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch, body: bytes
) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        owner = await site.wait_for_owner()
        host = next(host for name, host in site.hosts.items() if name != owner)
        await host.requests.accept(site.make_job("a", work_s=0.5), 2.0)
        await trio.sleep(3.0)
        asked = _replace_replies(site, monkeypatch, Operation.JOB_STATE, body)
        found: JobView | NoSuchJob | Unavailable = await host.requests.find_job("a")
        assert found == JobView(JobStatus.SUCCEEDED, "first", "ordinary")
        assert isinstance(await host.requests.find_job("b"), NoSuchJob)
        assert asked


@pytest.mark.parametrize(
    "body", [b"{}", b'{"count": "a"}', b'{"count": null}', b'{"count": Infinity}', b'{"count": -1}']
)
async def test_a_malformed_count_is_unknown(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch, body: bytes
) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        owner = await site.wait_for_owner()
        host = next(host for name, host in site.hosts.items() if name != owner)
        asked = _replace_replies(site, monkeypatch, Operation.QUEUE_COUNT, body)
        assert await host.requests.count_pending("ordinary") is None
        assert asked


async def test_malformed_replies_are_logged_at_a_limited_rate(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        owner = await site.wait_for_owner()
        host = next(host for name, host in site.hosts.items() if name != owner)
        _replace_replies(site, monkeypatch, Operation.QUEUE_COUNT, b"[1]")
        with captured_events() as messages:
            for _ in range(20):
                await host.requests.count_pending("ordinary")
            await trio.sleep(6.0)
            await host.requests.count_pending("ordinary")
        lines = [m for m in messages if m["message_type"] == "peer.malformed"]
        assert [(line["address"], line["operation"]) for line in lines] == [
            (owner, Operation.QUEUE_COUNT)
        ] * 2
        assert [line["skipped"] for line in lines] == [0, 19]


async def test_a_rejection_with_a_malformed_reason_is_a_rejection(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        host = site.hosts[await _cut_off_a_follower(site)]
        call = site.peers.call

        async def refuse(address: str, frame: Frame, timeout_s: float) -> Frame | PeerUnreachable:
            if frame.forward is not None and frame.forward.operation == Operation.ACCEPT_JOB:
                return Frame(forward_reply=ForwardReply(503, b'{"reason": [7]}'))
            return await call(address, frame, timeout_s)

        monkeypatch.setattr(site.peers, "call", refuse)
        outcome = await host.requests.accept(site.make_job("a"), 2.0)
        assert isinstance(outcome, NotTaken)
        assert isinstance(outcome.reason, str)
