"""Scheduled jobs: each occurrence runs once, never early, whichever host owns the cell."""

import trio
from heronthread_dispatch.model import Schedule, TaskKey
from heronthread_dispatch.record import JobRecord, JobStatus
from heronthread_emulator import EmulatedSite, Told, check_promises

Clock = trio.testing.MockClock


async def _status(site: EmulatedSite, job: str) -> JobStatus | None:
    for host in site.hosts.values():
        view = await host.requests.find_job(job)
        return getattr(view, "status", None)
    return None


def _starts(site: EmulatedSite) -> dict[int, list[float]]:
    found: dict[int, list[float]] = {}
    for start in site.executors.starts():
        found.setdefault(start.task.occurrence, []).append(start.at)
    return found


async def test_each_occurrence_runs_when_it_is_due(autojump_clock: Clock) -> None:
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        due = trio.current_time() + 3.0
        record = site.make_job("a", count=2, work_s=1.0, schedule=Schedule(3, due, 2.0))
        await site.hosts["h0"].requests.accept(record, 2.0)
        await trio.sleep(2.5)
        assert await _status(site, "a") is JobStatus.PENDING
        await trio.sleep(12.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED
        starts = _starts(site)
        assert {time: len(at) for time, at in starts.items()} == {0: 2, 1: 2, 2: 2}
        for time, at in starts.items():
            assert due + 2.0 * time <= min(at) <= max(at) <= due + 2.0 * time + 0.2
        told = Told(record, taken=True, shown=JobStatus.SUCCEEDED)
        assert check_promises(site.executors, {"a": told}) == []


async def test_occurrences_may_overlap(autojump_clock: Clock) -> None:
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        due = trio.current_time()
        record = site.make_job("a", work_s=5.0, schedule=Schedule(3, due, 1.0))
        await site.hosts["h0"].requests.accept(record, 2.0)
        await trio.sleep(8.5)
        assert await _status(site, "a") is JobStatus.SUCCEEDED


async def test_next_owner_runs_only_the_remaining_occurrences(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        owner = await site.wait_for_owner()
        due = trio.current_time() + 0.5
        record = site.make_job("a", work_s=0.5, schedule=Schedule(4, due, 2.0))
        await site.hosts[owner].requests.accept(record, 2.0)
        await trio.sleep(3.0)
        site.kill_host(owner)
        await trio.sleep(12.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED
        assert {time: len(at) for time, at in _starts(site).items()} == {0: 1, 1: 1, 2: 1, 3: 1}


async def test_cancelled_job_does_not_begin_its_next_occurrence(autojump_clock: Clock) -> None:
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        due = trio.current_time() + 0.5
        await site.hosts["h0"].requests.accept(
            site.make_job("a", work_s=0.5, schedule=Schedule(4, due, 2.0)), 2.0
        )
        await trio.sleep(1.5)
        await site.hosts["h1"].requests.cancel("a", "first", 2.0)
        await trio.sleep(8.0)
        assert {start.task for start in site.executors.starts()} == {TaskKey("a", 0, 0, 0)}
        assert await _status(site, "a") is JobStatus.CANCELLED


async def test_schedule_is_stored_with_its_job(autojump_clock: Clock) -> None:
    async with EmulatedSite.open() as site:
        record = site.make_job("a", schedule=Schedule(4, 100.0, 2.0))
        assert JobRecord.decode(record.encode()) == record
