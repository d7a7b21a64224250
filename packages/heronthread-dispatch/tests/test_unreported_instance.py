"""A late start at a running instance that no owner reaches.

The delay bounds when its run begins. The run then lasts for up to the longest lease, as the order's
deadline is on the other instance's clock.
"""

import trio
from heronthread_dispatch.model import TaskKey
from heronthread_emulator import EmulatedSite, check_promises

Clock = trio.testing.MockClock
TASK = TaskKey("a", 0, 0)
LATE_S = 8.0


async def _partition_next_instance(site: EmulatedSite) -> None:
    place = site.executors.by_id["e0"]
    while site.executors.by_id["e0"] is place:
        await trio.sleep(0.0005)
    site.executors.by_id["e0"].is_cut = True


async def test_task_is_not_started_beside_a_late_run_of_an_unreported_instance(
    autojump_clock: Clock,
) -> None:
    """Guards against a task at work twice, as the duration of a late run is not counted."""
    async with EmulatedSite.open(hosts=5, executors=1) as site:
        site.said_after_s = 1000.0
        owner = await site.wait_for_owner()
        await trio.sleep(13.0)
        place = site.executors.by_id["e0"]
        place.lose_starts, place.late_s = 1, LATE_S
        host = site.hosts[next(name for name in site.hosts if name != owner)]
        site.nursery.start_soon(site.accept, host, site.make_job("a", work_s=30.0), 2.0)
        while place.lose_starts:
            await trio.sleep(0.002)
        await trio.sleep(0.01)
        site.restart_executor("e0", 0.5)
        site.nursery.start_soon(_partition_next_instance, site)
        site.add_executor("e1", "r1")
        site.kill_host(await site.wait_for_owner())
        await site.wait_for_owner()
        await trio.sleep(40.0)
        assert check_promises(site.executors, {}) == []


async def test_owner_does_not_start_a_task_beside_a_late_run_that_it_cannot_reach(
    autojump_clock: Clock,
) -> None:
    """Guards against the same fault where the owner that sent the start lives on."""
    async with EmulatedSite.open(hosts=2, executors=1) as site:
        site.said_after_s = 1000.0
        owner = await site.wait_for_owner()
        await trio.sleep(13.0)
        place = site.executors.by_id["e0"]
        place.lose_starts, place.late_s = 1, LATE_S
        host = site.hosts[next(name for name in site.hosts if name != owner)]
        site.nursery.start_soon(site.accept, host, site.make_job("a", work_s=30.0), 2.0)
        while place.lose_starts:
            await trio.sleep(0.002)
        await trio.sleep(0.01)
        site.restart_executor("e0", 0.5)
        site.nursery.start_soon(_partition_next_instance, site)
        site.add_executor("e1", "r1")
        await trio.sleep(40.0)
        assert check_promises(site.executors, {}) == []


async def test_task_is_not_started_while_a_late_start_extends_the_lease_of_its_run(
    autojump_clock: Clock,
) -> None:
    """Guards against a lease that an earlier owner's late start extends at a silent executor.

    Its deadline is on the clock of the previous instance, 10 s ahead, and counts although the
    start is refused as old.
    """
    async with EmulatedSite.open(hosts=3, executors=1) as site:
        owner = await site.wait_for_owner()
        host = site.hosts[next(name for name in site.hosts if name != owner)]
        await trio.sleep(10.0)
        place = site.executors.by_id["e0"]
        place.lose_starts, place.late_s = 1, 9.0
        site.nursery.start_soon(site.accept, host, site.make_job("b", work_s=1.0), 2.0)
        while place.lose_starts:
            await trio.sleep(0.002)
        await trio.sleep(0.01)
        site.restart_executor("e0", 0.3)
        await trio.sleep(2.0)
        await host.requests.accept(site.make_job("a", work_s=30.0), 2.0)
        await trio.sleep(1.5)
        site.executors.by_id["e0"].is_cut = True
        site.kill_host(owner)
        site.add_executor("e1", "r1")
        await site.wait_for_owner()
        await trio.sleep(40.0)
        assert check_promises(site.executors, {}) == []


async def test_task_is_not_started_while_a_late_hold_extends_the_lease_of_its_run(
    autojump_clock: Clock,
) -> None:
    """Guards against the same where a renewal of the previous instance's lease comes late."""
    async with EmulatedSite.open(hosts=3, executors=1) as site:
        owner = await site.wait_for_owner()
        host = site.hosts[next(name for name in site.hosts if name != owner)]
        await trio.sleep(1.0)
        await host.requests.accept(site.make_job("b", work_s=20.0), 2.0)
        await trio.sleep(9.0)
        place = site.executors.by_id["e0"]
        place.lose_answers, place.late_s = 2, 9.0
        while place.lose_answers:
            await trio.sleep(0.002)
        await trio.sleep(0.01)
        site.restart_executor("e0", 0.3)
        await trio.sleep(2.0)
        await host.requests.accept(site.make_job("a", work_s=30.0), 2.0)
        await trio.sleep(1.5)
        site.executors.by_id["e0"].is_cut = True
        site.kill_host(owner)
        site.add_executor("e1", "r1")
        await site.wait_for_owner()
        await trio.sleep(40.0)
        assert check_promises(site.executors, {}) == []
