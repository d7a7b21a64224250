import trio
from heronthread_dispatch.model import TaskKey
from heronthread_dispatch.record import JobStatus
from heronthread_emulator import EmulatedSite


async def test_work_moves_from_slow_to_healthy_executors(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with EmulatedSite.open(executors=3) as site:
        await site.wait_for_owner()
        site.executors.by_id["e0"].slowness = 8.0
        await site.hosts["h0"].requests.accept(site.make_job("a", count=20, work_s=3.0), 2.0)
        await trio.sleep(9)
        view = await site.hosts["h0"].requests.find_job("a")
        assert view.status is JobStatus.SUCCEEDED


async def test_gang_with_a_slow_member_is_restarted(
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


async def test_longer_tasks_are_not_moved(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Two of six tasks take five times as long on healthy executors."""
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


async def test_single_run_moves_from_an_executor_that_becomes_slow(
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


async def test_gang_with_a_low_estimate_is_not_moved(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """All members take five times the estimate."""
    async with EmulatedSite.open(executors=4, racks=1) as site:
        await site.wait_for_owner()
        record = site.make_job("a", count=2, accelerators=8, work_s=1.0, gang=True)
        for member in range(2):
            site.executors.lengths[TaskKey("a", 0, member)] = 5.0
        await site.hosts["h0"].requests.accept(record, 2.0)
        await trio.sleep(7)
        view = await site.hosts["h0"].requests.find_job("a")
        assert view.status is JobStatus.SUCCEEDED
        assert len(site.executors.starts()) == 2


async def test_stuck_gang_member_is_detected_before_its_peers_end(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with EmulatedSite.open(executors=4, racks=1) as site:
        await site.wait_for_owner()
        site.executors.by_id["e0"].stands_still = True
        record = site.make_job("a", count=2, accelerators=8, work_s=2.5, gang=True)
        await site.hosts["h0"].requests.accept(record, 2.0)
        await trio.sleep(2.0)
        runs = {start.run for start in site.executors.starts()}
        assert len(runs) == 2


async def test_stuck_gang_marks_the_executor_of_its_slowest_member(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with EmulatedSite.open(executors=2, racks=1) as site:
        cell = site.hosts[await site.wait_for_owner()].owner.cell
        site.executors.by_id["e1"].stands_still = True
        record = site.make_job("a", count=2, accelerators=8, work_s=2.5, gang=True)
        await site.hosts["h0"].requests.accept(record, 2.0)
        await trio.sleep(4.5)
        states = cell.executors
        assert states["e1"].slow_until > 0
        assert states["e0"].slow_until == 0


async def test_gang_with_most_members_on_a_slow_executor_is_restarted(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Two of three members run eight times slower than the third."""
    async with EmulatedSite.open(executors=4, racks=1) as site:
        await site.wait_for_owner()
        site.executors.by_id["e0"].slowness = 8.0
        record = site.make_job("a", count=3, accelerators=4, work_s=3.0, gang=True)
        await site.hosts["h0"].requests.accept(record, 2.0)
        await trio.sleep(7.0)
        places = [start.executor for start in site.executors.starts()]
        assert places.count("e0") == 2
        view = await site.hosts["h0"].requests.find_job("a")
        assert view.status is JobStatus.SUCCEEDED


async def test_gang_of_one_on_a_slow_executor_is_restarted(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with EmulatedSite.open(executors=2, racks=1) as site:
        await site.wait_for_owner()
        site.executors.by_id["e0"].slowness = 8.0
        record = site.make_job("a", accelerators=8, work_s=3.0, gang=True)
        await site.hosts["h0"].requests.accept(record, 2.0)
        await trio.sleep(9.0)
        places = [start.executor for start in site.executors.starts()]
        assert places == ["e0", "e1"]


async def test_gang_entirely_on_a_slow_executor_is_restarted(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with EmulatedSite.open(executors=2, racks=1) as site:
        await site.wait_for_owner()
        site.executors.by_id["e0"].slowness = 8.0
        record = site.make_job("a", count=2, accelerators=4, work_s=3.0, gang=True)
        await site.hosts["h0"].requests.accept(record, 2.0)
        await trio.sleep(9.0)
        places = [start.executor for start in site.executors.starts()]
        assert places == ["e0", "e0", "e1", "e1"]
