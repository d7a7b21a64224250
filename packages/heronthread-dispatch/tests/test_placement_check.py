"""Jobs that can never be placed are rejected at once, and all others are accepted."""

import json

import pytest
import trio
from heronthread_dispatch.host import Host
from heronthread_dispatch.intake import IntakeOutcome, NoSuchJob, NotTaken, Taken
from heronthread_dispatch.keystore import Item, Missing
from heronthread_dispatch.owned_cell import job_key
from heronthread_dispatch.peer import PeerUnreachable
from heronthread_dispatch.placement_check import CACHE_S
from heronthread_dispatch.pool_contents import SETTLE_WINDOW_S
from heronthread_dispatch.wire.ttypes import ForwardReply, Frame, Operation
from heronthread_emulator import EmulatedSite, captured_events

Clock = trio.testing.MockClock

POOL_ACCELERATORS = 32
"""Total accelerators of the site's four executors."""


async def _open_hosts(
    site: EmulatedSite, wait_s: float = SETTLE_WINDOW_S + 1.0
) -> tuple[Host, Host]:
    """Return the owner and another host, after the owner has observed its pool for `wait_s`."""
    owner = await site.wait_for_owner()
    await trio.sleep(wait_s)
    other = next(host for name, host in sorted(site.hosts.items()) if name != owner)
    return site.hosts[owner], other


async def _accept(
    site: EmulatedSite, host: Host, job: str, count: int, accelerators: int = 1
) -> IntakeOutcome:
    gang = count > 1
    record = site.make_job(job, count=count, accelerators=accelerators, gang=gang, work_s=0.5)
    return await host.requests.accept(record, 2.0)


async def _is_stored(site: EmulatedSite, job: str) -> bool:
    found = await site.store_view().read(job_key(job))
    assert isinstance(found, Item | Missing)
    return isinstance(found, Item)


def _record_queries(site: EmulatedSite, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    asked: list[str] = []
    call = site.peers.call

    async def observe(address: str, frame: Frame, timeout_s: float) -> Frame | PeerUnreachable:
        if frame.forward is not None and frame.forward.operation == Operation.JOB_FIT:
            asked.append(address)
        return await call(address, frame, timeout_s)

    monkeypatch.setattr(site.peers, "call", observe)
    return asked


@pytest.mark.parametrize(("count", "accelerators"), [(1, 9), (POOL_ACCELERATORS + 1, 1), (5, 8)])
async def test_a_job_that_no_executor_or_pool_can_hold_is_rejected_and_not_stored(
    autojump_clock: Clock, count: int, accelerators: int
) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        for number, host in enumerate(await _open_hosts(site)):
            began = trio.current_time()
            with captured_events() as messages:
                outcome = await _accept(site, host, f"j{number}", count, accelerators)
            assert trio.current_time() - began < 0.1
            assert isinstance(outcome, NotTaken)
            assert "pool seen in the last 30 s" in outcome.reason
            assert outcome.retry_after_s == SETTLE_WINDOW_S
            lines = [m for m in messages if m["message_type"] == "job.accept"]
            assert [line["reason"] for line in lines] == [outcome.reason]
            assert not await _is_stored(site, f"j{number}")
            assert isinstance(await host.requests.find_job(f"j{number}"), NoSuchJob)
        for number in range(20):
            site.add_executor(f"more{number}", "r0")
        await trio.sleep(10.0)
        assert site.executors.starts() == []


@pytest.mark.parametrize(("count", "accelerators"), [(1, 8), (POOL_ACCELERATORS, 1), (4, 8)])
async def test_a_job_that_fills_its_pool_is_accepted(
    autojump_clock: Clock, count: int, accelerators: int
) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        for number, host in enumerate(await _open_hosts(site)):
            outcome = await _accept(site, host, f"j{number}", count, accelerators)
            assert isinstance(outcome, Taken)
        await trio.sleep(10.0)
        assert len(site.executors.starts()) == 2 * count


async def test_a_job_is_accepted_while_its_pool_grows_or_is_new_to_the_owner(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        owner, other = await _open_hosts(site, SETTLE_WINDOW_S - 5.0)
        assert isinstance(await _accept(site, other, "early", POOL_ACCELERATORS + 1), Taken)
        await trio.sleep(10.0)
        assert isinstance(await _accept(site, other, "later", POOL_ACCELERATORS + 9), NotTaken)
        site.add_executor("more", "r0")
        await trio.sleep(3.0)
        assert len(site.executors.starts()) == POOL_ACCELERATORS + 1, (
            "what was taken in waits, and runs"
        )
        assert isinstance(await _accept(site, other, "grows", POOL_ACCELERATORS + 9), Taken)
        await trio.sleep(SETTLE_WINDOW_S)
        assert isinstance(await _accept(site, other, "grown", POOL_ACCELERATORS + 9), NotTaken)
        site.kill_host(owner.settings.name)
        await trio.sleep(8.0)
        await site.wait_for_owner()
        assert isinstance(await _accept(site, other, "taken over", POOL_ACCELERATORS + 9), Taken)


async def test_executors_removed_for_a_moment_count(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        _, other = await _open_hosts(site)
        site.remove_executor("e0")
        site.remove_executor("e1")
        await trio.sleep(SETTLE_WINDOW_S - 5.0)
        assert isinstance(await _accept(site, other, "a", POOL_ACCELERATORS), Taken)
        await trio.sleep(5.0 + CACHE_S)
        assert isinstance(await _accept(site, other, "b", POOL_ACCELERATORS), NotTaken)
        assert isinstance(await _accept(site, other, "c", POOL_ACCELERATORS // 2), Taken)


async def test_an_empty_pool_rejects_no_job(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=3, executors=1) as site:
        owner, other = await _open_hosts(site)
        site.remove_executor("e0")
        await trio.sleep(2 * SETTLE_WINDOW_S)
        assert isinstance(await _accept(site, owner, "a", 1, 8), Taken)
        assert isinstance(await _accept(site, other, "b", 1, 8), Taken)


async def test_an_accepted_job_can_be_submitted_again(autojump_clock: Clock) -> None:
    """The caller may have lost the answer and submit the job again when it no longer fits."""
    async with EmulatedSite.open(hosts=3) as site:
        owner, other = await _open_hosts(site, 1.0)
        record = site.make_job("a", count=POOL_ACCELERATORS + 1, gang=True)
        assert isinstance(await other.requests.accept(record, 2.0), Taken)
        await trio.sleep(SETTLE_WINDOW_S + 1.0)
        assert isinstance(await _accept(site, other, "b", POOL_ACCELERATORS + 1), NotTaken)
        for host in (owner, other):
            assert isinstance(await host.requests.accept(record, 2.0), Taken)


async def test_jobs_that_fit_need_one_query_and_no_store_call(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        owner, other = await _open_hosts(site)
        asked = _record_queries(site, monkeypatch)
        reads, commits = other.store.calls["read"], other.store.calls["commit"]
        for number in range(20):
            assert isinstance(await _accept(site, other, f"j{number}", 1 + number), Taken)
        assert asked == [owner.settings.name]
        assert other.store.calls["read"] == reads
        assert other.store.calls["commit"] == commits + 20


async def test_an_unresponsive_owner_delays_callers_once(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        owner, other = await _open_hosts(site)
        asked = _record_queries(site, monkeypatch)
        site.peers.cut.add(owner.settings.name)
        began = trio.current_time()
        for number in range(5):
            assert isinstance(
                await _accept(site, other, f"j{number}", POOL_ACCELERATORS + 1), Taken
            )
        assert trio.current_time() - began < 0.5
        assert len(asked) == 1


@pytest.mark.parametrize(
    "body",
    [
        {},
        {"reason": "too wide"},
        {"reason": None, "kinds": []},
        {"reason": "too wide", "kinds": [[1]]},
        {"reason": "too wide", "kinds": 7},
    ],
)
async def test_a_malformed_answer_rejects_no_job(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch, body: dict[str, object]
) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        _, other = await _open_hosts(site)
        call = site.peers.call

        async def spoil(address: str, frame: Frame, timeout_s: float) -> Frame | PeerUnreachable:
            if frame.forward is not None and frame.forward.operation == Operation.JOB_FIT:
                return Frame(forward_reply=ForwardReply(200, json.dumps(body).encode()))
            return await call(address, frame, timeout_s)

        monkeypatch.setattr(site.peers, "call", spoil)
        with captured_events() as messages:
            assert isinstance(await _accept(site, other, "a", 1), Taken)
        assert [m for m in messages if m["message_type"] == "peer.malformed"]


async def test_a_host_without_the_store_rejects_no_job_by_size(autojump_clock: Clock) -> None:
    """It can't check whether the job was accepted before, so its peer accepts the job."""
    async with EmulatedSite.open(hosts=3) as site:
        _, other = await _open_hosts(site)
        site.views[other.settings.name].is_silent = True
        await trio.sleep(3.0)
        assert isinstance(await _accept(site, other, "a", POOL_ACCELERATORS + 1), Taken)
