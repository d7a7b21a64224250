import trio
from heronthread_dispatch.model import TaskKey
from heronthread_dispatch.record import JobStatus
from heronthread_emulator import EmulatedSite


async def test_slow_executor_loses_its_work_to_sound_ones(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with EmulatedSite.open(executors=3) as site:
        await site.wait_for_owner()
        site.executors.by_id["e0"].slowness = 8.0
        await site.hosts["h0"].requests.accept(site.make_job("a", count=20, work_s=3.0), 2.0)
        await trio.sleep(9)
        view = await site.hosts["h0"].requests.find_job("a")
        assert view.status is JobStatus.SUCCEEDED


async def test_gang_with_a_slow_member_is_started_anew(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with EmulatedSite.open(executors=4, racks=1) as site:
        await site.wait_for_owner()
        site.executors.by_id["e0"].slowness = 8.0
        record = site.make_job("a", count=2, accelerators=8, work_s=3.0, gang=True)
        await site.hosts["h0"].requests.accept(record, 2.0)
        await trio.sleep(9)
        view = await site.hosts["h0"].requests.find_job("a")
        assert view.status is JobStatus.SUCCEEDED
        runs = {start.run for start in site.executors.starts()}
        assert len(runs) == 2


async def test_tasks_that_are_just_longer_are_left_alone(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Two of six tasks take five times as long, on executors that are sound."""
    async with EmulatedSite.open(executors=3) as site:
        await site.wait_for_owner()
        record = site.make_job("a", count=6, work_s=3.0)
        for member in (0, 3):
            site.executors.lengths[TaskKey("a", 0, member)] = 15.0
        await site.hosts["h0"].requests.accept(record, 2.0)
        await trio.sleep(18)
        view = await site.hosts["h0"].requests.find_job("a")
        assert view.status is JobStatus.SUCCEEDED
        assert len(site.executors.starts()) == 6


async def test_executor_that_becomes_slow_loses_even_a_lone_run(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with EmulatedSite.open(executors=2) as site:
        await site.wait_for_owner()
        record = site.make_job("a", work_s=4.0, accelerators=8)
        await site.hosts["h0"].requests.accept(record, 2.0)
        await trio.sleep(2.0)
        first = site.executors.starts()[0]
        site.executors.by_id[first.executor].slowness = 8.0
        await trio.sleep(9.0)
        view = await site.hosts["h0"].requests.find_job("a")
        assert view.status is JobStatus.SUCCEEDED
        assert len(site.executors.starts()) == 2
