"""What callers are told when a peer's reply can't be read."""

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

DEEP = b"[" * 100_000
"""Deeper than any reader goes."""


def _spoil(
    site: EmulatedSite, monkeypatch: pytest.MonkeyPatch, operation: int, body: bytes
) -> list[str]:
    """Have every peer do what it is asked, and answer one operation with `body`."""
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


def _pack(record: bytes) -> bytes:
    return b'{"record": "' + base64.b64encode(record) + b'"}'


BAD_RECORDS = [
    b"{}",
    b'{"record": 7}',
    b'{"record": "not base64!"}',
    b'{"record": "abc"}',
    _pack(b"no record"),
    _pack(b"{}"),
    _pack(b"null"),
    _pack(b'{"steps": [[1]]}'),
    _pack(DEEP),
    b"null",
    DEEP,
]


async def _open_cut_host(site: EmulatedSite) -> str:
    """Return a host that lacks the store, and is not the owner."""
    owner = await site.wait_for_owner()
    name = next(name for name in sorted(site.hosts) if name != owner)
    await trio.sleep(2.0)
    site.views[name].is_silent = True
    await trio.sleep(3.0)
    return name


@pytest.mark.parametrize("body", BAD_RECORDS)
async def test_a_job_whose_record_comes_back_unreadable_is_in_doubt(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch, body: bytes
) -> None:
    """The peer has taken it in; the same call again, at any host, settles it."""
    async with EmulatedSite.open(hosts=3) as site:
        host = site.hosts[await _open_cut_host(site)]
        asked = _spoil(site, monkeypatch, Operation.ACCEPT_JOB, body)
        record = site.make_job("a", work_s=0.5)
        outcome: IntakeOutcome = await host.requests.accept(record, 2.0)
        assert asked
        assert isinstance(outcome, Unsettled)
        monkeypatch.undo()
        assert isinstance(await host.requests.accept(record, 2.0), Taken)
        await trio.sleep(3.0)
        assert [start.task.job for start in site.executors.starts()] == ["a"]


@pytest.mark.parametrize("body", BAD_RECORDS)
async def test_a_cancel_whose_record_comes_back_unreadable_is_in_doubt(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch, body: bytes
) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        host = site.hosts[await _open_cut_host(site)]
        await host.requests.accept(site.make_job("a", work_s=60.0), 2.0)
        asked = _spoil(site, monkeypatch, Operation.CANCEL_JOB, body)
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
        DEEP,
    ],
)
async def test_a_state_that_the_owner_tells_unreadably_is_read_from_the_store(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch, body: bytes
) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        owner = await site.wait_for_owner()
        host = next(host for name, host in site.hosts.items() if name != owner)
        await host.requests.accept(site.make_job("a", work_s=0.5), 2.0)
        await trio.sleep(3.0)
        asked = _spoil(site, monkeypatch, Operation.JOB_STATE, body)
        found: JobView | NoSuchJob | Unavailable = await host.requests.find_job("a")
        assert found == JobView(JobStatus.SUCCEEDED, "first", "ordinary")
        assert isinstance(await host.requests.find_job("b"), NoSuchJob)
        assert asked


@pytest.mark.parametrize(
    "body", [b"{}", b'{"count": "a"}', b'{"count": null}', b'{"count": Infinity}', b'{"count": -1}']
)
async def test_a_count_that_the_owner_tells_unreadably_is_not_known(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch, body: bytes
) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        owner = await site.wait_for_owner()
        host = next(host for name, host in site.hosts.items() if name != owner)
        asked = _spoil(site, monkeypatch, Operation.QUEUE_COUNT, body)
        assert await host.requests.count_pending("ordinary") is None
        assert asked


async def test_unreadable_replies_are_logged_once_in_a_while(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        owner = await site.wait_for_owner()
        host = next(host for name, host in site.hosts.items() if name != owner)
        _spoil(site, monkeypatch, Operation.QUEUE_COUNT, b"[1]")
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


async def test_a_refusal_with_an_odd_reason_is_a_refusal(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        host = site.hosts[await _open_cut_host(site)]
        call = site.peers.call

        async def refuse(address: str, frame: Frame, timeout_s: float) -> Frame | PeerUnreachable:
            if frame.forward is not None and frame.forward.operation == Operation.ACCEPT_JOB:
                return Frame(forward_reply=ForwardReply(503, b'{"reason": [7]}'))
            return await call(address, frame, timeout_s)

        monkeypatch.setattr(site.peers, "call", refuse)
        outcome = await host.requests.accept(site.make_job("a"), 2.0)
        assert isinstance(outcome, NotTaken)
        assert isinstance(outcome.reason, str)
