"""Queues whose executors must be approved by an external service."""

import trio
from heronthread_dispatch.model import ApprovalTerms, Queue
from heronthread_dispatch.record import JobRecord, JobStatus
from heronthread_emulator import EmulatedSite

Clock = trio.testing.MockClock


async def _set_approved_executors(site: EmulatedSite, healthy: set[str]) -> None:
    await site.wait_for_owner()
    site.approver.healthy = healthy
    site.executors.approver = site.approver


async def _status(site: EmulatedSite, job: str) -> JobStatus | None:
    view = await site.hosts["h0"].requests.find_job(job)
    return getattr(view, "status", None)


async def test_step_runs_only_where_it_is_approved(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(executors=6) as site:
        await _set_approved_executors(site, {"e1", "e4"})
        record = site.make_job("a", queue="approved", count=10, work_s=1.0)
        await site.hosts["h0"].requests.accept(record, 2.0)
        await trio.sleep(3.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED
        assert {start.executor for start in site.executors.starts()} == {"e1", "e4"}


async def test_one_request_covers_all_tasks_of_a_step(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(executors=6) as site:
        await _set_approved_executors(site, {f"e{n}" for n in range(6)})
        record = site.make_job("a", queue="approved", count=40, work_s=1.0)
        await site.hosts["h0"].requests.accept(record, 2.0)
        await trio.sleep(3.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED
        assert len(site.approver.approval_requests) == 1


async def test_expired_ticket_is_requested_again(autojump_clock: Clock) -> None:
    """The second half of the tasks starts after the first tickets have expired."""
    async with EmulatedSite.open(executors=1) as site:
        await _set_approved_executors(site, {"e0"})
        record = site.make_job("a", queue="approved", count=12, work_s=6.0)
        await site.hosts["h0"].requests.accept(record, 2.0)
        await trio.sleep(15.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED
        assert len(site.approver.approval_requests) >= 2
        assert len(site.executors.starts()) == 12


async def test_gang_starts_whole_on_approved_executors(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(executors=6) as site:
        await _set_approved_executors(site, {"e0", "e2", "e4"})
        record = site.make_job(
            "a", queue="approved", count=3, accelerators=8, work_s=1.0, gang=True, same_rack=True
        )
        await site.hosts["h0"].requests.accept(record, 2.0)
        await trio.sleep(3.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED
        assert {start.executor for start in site.executors.starts()} == {"e0", "e2", "e4"}


async def test_lost_answer_is_requested_again(autojump_clock: Clock) -> None:
    async with EmulatedSite.open() as site:
        await _set_approved_executors(site, {"e0"})
        site.approver.fail_next = 2
        await site.hosts["h0"].requests.accept(
            site.make_job("a", queue="approved", work_s=1.0), 2.0
        )
        await trio.sleep(6.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED
        assert len(site.approver.approval_requests) == 3


async def test_denied_step_does_not_block_others(autojump_clock: Clock) -> None:
    async with EmulatedSite.open() as site:
        await _set_approved_executors(site, set())
        requests = site.hosts["h0"].requests
        await requests.accept(site.make_job("denied", queue="approved", work_s=1.0), 2.0)
        await trio.sleep(1.0)
        site.executors.approver = None
        await requests.accept(site.make_job("plain", work_s=1.0), 2.0)
        await trio.sleep(3.0)
        assert await _status(site, "plain") is JobStatus.SUCCEEDED
        assert await _status(site, "denied") is JobStatus.PENDING
        assert len(site.approver.approval_requests) == 1


async def test_terms_are_stored_with_the_job(autojump_clock: Clock) -> None:
    async with EmulatedSite.open() as site:
        record = site.make_job("a", queue="approved")
        assert isinstance(record.spec.queue, Queue)
        assert record.spec.queue.approval == ApprovalTerms(0.2, 0.01, 5.0)
        assert JobRecord.decode(record.encode()) == record
