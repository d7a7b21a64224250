"""Executors whose capacity changes while they run."""

import trio
from heronthread_dispatch.intake import Taken
from heronthread_dispatch.model import Resources, TaskKey
from heronthread_dispatch.record import JobStatus
from heronthread_emulator import EmulatedSite, check_promises

Clock = trio.testing.MockClock
WHOLE = Resources(64_000, 262_144, 8)
HALF = Resources(32_000, 131_072, 4)
HEARTBEAT_S = 1.5


async def _submit(site: EmulatedSite, job: str, **more: object) -> object:
    host = next(iter(site.hosts.values()))
    record = site.make_job(job, **more)  # type: ignore[arg-type]
    return await host.requests.accept(record, 2.0)


async def test_starts_stay_within_a_reduced_capacity_that_is_not_enforced(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=2, executors=2) as site:
        await site.wait_for_owner()
        for executor in site.executors.by_id.values():
            executor.guards = False
        await _submit(site, "a", count=12, work_s=3.0)
        await trio.sleep(1.0)
        for name in list(site.executors.by_id):
            site.resize_executor(name, HALF, HEARTBEAT_S)
        shrunk_at = trio.current_time()
        await trio.sleep(0.5)
        await _submit(site, "b", count=40, work_s=3.0)
        await trio.sleep(60.0)
        late = [at for at, _ in site.executors.overfull if at > shrunk_at + HEARTBEAT_S + 0.5]
        assert late == []
        assert await site.find_status("b") is JobStatus.SUCCEEDED
        assert check_promises(site.executors, {}) == []


async def test_new_owner_stays_within_a_reduced_capacity(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=2, executors=1) as site:
        name = await site.wait_for_owner()
        site.executors.by_id["e0"].guards = False
        await _submit(site, "a", count=6, work_s=20.0)
        await trio.sleep(1.0)
        site.resize_executor("e0", HALF)
        site.kill_host(name)
        await trio.sleep(0.1)
        await _submit(site, "b", count=4, work_s=2.0)
        await trio.sleep(15.0)
        assert site.executors.overfull == []
        assert not site.executors.starts(TaskKey("b", 0, 0))


async def test_restored_capacity_is_used_at_once(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2, executors=1) as site:
        await site.wait_for_owner()
        site.resize_executor("e0", HALF)
        await trio.sleep(1.0)
        await _submit(site, "a", count=8, work_s=20.0)
        await trio.sleep(1.0)
        assert len(site.executors.starts()) == 4
        site.resize_executor("e0", WHOLE)
        await trio.sleep(1.0)
        assert len(site.executors.starts()) == 8


async def test_job_waits_while_it_temporarily_fits_nowhere(autojump_clock: Clock) -> None:
    """As the pool has had the capacity, the job is neither refused as impossible nor failed."""
    async with EmulatedSite.open(hosts=2, executors=2) as site:
        await site.wait_for_owner()
        await trio.sleep(90.0)
        for name in list(site.executors.by_id):
            site.resize_executor(name, HALF)
        await trio.sleep(90.0)
        outcome = await _submit(site, "wide", accelerators=8, work_s=2.0)
        assert isinstance(outcome, Taken)
        await trio.sleep(5.0)
        assert not site.executors.starts()
        site.resize_executor("e0", WHOLE)
        await trio.sleep(4.0)
        assert await site.find_status("wide") is JobStatus.SUCCEEDED
