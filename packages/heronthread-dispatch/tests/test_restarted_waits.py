"""Waits that each owner restarts, or that continue without effect beside free room."""

import pytest
import trio
from heronthread_dispatch.model import TaskKey
from heronthread_emulator import EmulatedSite, check_promises

Clock = trio.testing.MockClock
TASK = TaskKey("a", 0, 0)
WAIT_S = 7.5
RECORD_INTERVAL_S = 1.0
MAX_DELAY_S = 3.0


async def _take_over_beside_a_partitioned_run(site: EmulatedSite) -> None:
    """Partition the executor of a run, kill the owner, and wait for the next one."""
    owner = await site.wait_for_owner()
    host = next(name for name in site.hosts if name != owner)
    await site.hosts[host].requests.accept(site.make_job("a", work_s=30.0), 2.0)
    await trio.sleep(1.0)
    site.executors.by_id[site.executors.starts(TASK)[0].executor].is_cut = True
    site.kill_host(await site.wait_for_owner())
    await site.wait_for_owner()


@pytest.mark.parametrize("says_born", [True, False])
async def test_an_owner_waits_only_for_the_remaining_lease_of_an_executor(
    autojump_clock: Clock, says_born: bool
) -> None:
    """Without recorded starts, the wait depends on the executor's recorded lease."""
    async with EmulatedSite.open(hosts=3, executors=6, says_born=says_born) as site:
        await _take_over_beside_a_partitioned_run(site)
        await trio.sleep(5.0)
        site.kill_host(await site.wait_for_owner())
        await site.wait_for_owner()
        await trio.sleep(WAIT_S - 5.0 + RECORD_INTERVAL_S)
        assert len(site.executors.starts(TASK)) == 2
        assert check_promises(site.executors, {}) == []


async def test_a_recorded_wait_goes_on_while_the_store_and_its_owner_are_gone(
    autojump_clock: Clock,
) -> None:
    """Guards against a remaining lease that stands still between two owners.

    The lease of the executor's run is over during the outage, 9 s after its last renewal.
    """
    async with EmulatedSite.open(hosts=4, executors=6) as site:
        await _take_over_beside_a_partitioned_run(site)
        await trio.sleep(3.0)
        site.store.is_down = True
        site.kill_host(await site.wait_for_owner())
        await trio.sleep(6.0)
        site.store.is_down = False
        await site.wait_for_owner()
        await trio.sleep(RECORD_INTERVAL_S)
        assert len(site.executors.starts(TASK)) == 2
        await trio.sleep(40.0)
        assert check_promises(site.executors, {}) == []


async def test_an_unanswered_start_does_not_pin_its_task_to_an_executor_without_an_entry(
    autojump_clock: Clock,
) -> None:
    """It answers and refuses the start but takes no work, so the task would wait for up to 12 s."""
    async with EmulatedSite.open(hosts=3, executors=1) as site:
        owner = await site.wait_for_owner()
        await trio.sleep(1.0)
        place = site.executors.by_id["e0"]
        place.lose_starts, place.late_s = 1, 30.0
        host = site.hosts[next(name for name in site.hosts if name != owner)]
        site.nursery.start_soon(site.accept, host, site.make_job("a", work_s=4.0), 2.0)
        while place.lose_starts:
            await trio.sleep(0.005)
        site.kill_host(owner)
        site.store.remove("executors/e0")
        for number in range(1, 6):
            site.add_executor(f"e{number}", "r1")
        await site.wait_for_owner()
        await trio.sleep(MAX_DELAY_S)
        assert len(site.executors.starts(TASK)) == 1


async def test_an_owner_that_ends_before_it_is_ready_has_removed_resolved_placements(
    autojump_clock: Clock,
) -> None:
    """A gang's runs at two executors are over, but the store still lists them.

    If the second owner does not update the record before it is ready, an executor lost together
    with it withholds the gang again.
    """
    async with EmulatedSite.open(hosts=3, executors=12) as site:
        owner = await site.wait_for_owner()
        host = site.hosts[next(name for name in site.hosts if name != owner)]
        gang = site.make_job("a", count=3, accelerators=8, work_s=30.0, gang=True)
        await host.requests.accept(gang, 2.0)
        await trio.sleep(1.0)
        first, second, _ = sorted(start.executor for start in site.executors.starts())
        site.executors.by_id[first].is_cut = True
        site.kill_host(owner)
        owner = await site.wait_for_owner()
        await trio.sleep(5.0)
        assert not site.executors.by_id[second].running
        site.executors.by_id[second].is_cut = True
        site.kill_host(owner)
        await site.wait_for_owner()
        await trio.sleep(WAIT_S - 5.0 + RECORD_INTERVAL_S)
        assert len(site.executors.starts()) == 6
