"""A start that is sent again to an executor that the store lists for an earlier start of its task.

The store lists starts without run numbers. The recorded time for which the earlier start may be
late must not be taken as that of the new one.
"""

import trio
from heronthread_dispatch.model import TaskKey
from heronthread_dispatch.record import ProgressRecord
from heronthread_dispatch.recorder import progress_key
from heronthread_emulator import EmulatedSite, check_promises

Clock = trio.testing.MockClock
TASK = TaskKey("a", 0, 0)
MAX_ORDER_DELAY_S = 12.0
WRITES_SETTLED_S = 13.0
"""After so long an owner writes nothing any more because of earlier owners."""


def _read(site: EmulatedSite) -> ProgressRecord:
    return ProgressRecord.decode(site.store.items[progress_key("a")].value)


async def _send_again(site: EmulatedSite, fails_s: float, late_s: float) -> float:
    """Let a run fail at e0 while a send of its start is unresolved, and lose the next run's start.

    Return when that was sent.
    """
    owner = await site.wait_for_owner()
    await trio.sleep(WRITES_SETTLED_S)
    place = site.executors.by_id["e0"]
    place.lose_starts, place.late_s = 1, 1.8
    host = site.hosts[next(name for name in site.hosts if name != owner)]
    await host.requests.accept(site.make_job("a", work_s=30.0), 2.0)
    while not site.executors.starts(TASK):
        await trio.sleep(0.01)
    await trio.sleep(fails_s)
    place.lose_starts, place.late_s = 1, late_s
    place.fails_all = True
    while place.lose_starts:
        await trio.sleep(0.005)
    place.fails_all = False
    return trio.current_time()


async def test_store_has_the_full_delay_of_a_start_that_is_sent_again(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=3, executors=1) as site:
        await _send_again(site, 8.0, 7.0)
        await trio.sleep(0.3)
        left_s = _read(site).starts_left_s
        assert left_s is None or left_s >= MAX_ORDER_DELAY_S - 0.5


async def test_late_start_that_was_sent_again_runs_beside_no_other(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=3, executors=1) as site:
        late_s = 9.0
        sent_at = await _send_again(site, 8.0, late_s)
        place = site.executors.by_id["e0"]
        place.is_sick = True
        site.kill_host(await site.wait_for_owner())
        site.add_executor("e1", "r1")
        await trio.sleep_until(sent_at + late_s - 0.5)
        site.restart_executor("e0", sent_at + late_s - 0.01 - trio.current_time())
        await trio.sleep(40.0)
        assert check_promises(site.executors, {}) == []


async def test_start_is_recorded_as_new_where_an_earlier_owners_is_unresolved(
    autojump_clock: Clock,
) -> None:
    """The second owner's first start goes where the first owner's start had no answer."""
    async with EmulatedSite.open(hosts=4, executors=1) as site:
        owner = await site.wait_for_owner()
        await trio.sleep(1.0)
        place = site.executors.by_id["e0"]
        place.lose_starts, place.late_s = 1, 30.0
        host = site.hosts[next(name for name in site.hosts if name != owner)]
        job = site.make_job("a", work_s=30.0)
        site.nursery.start_soon(site.accept, host, job, 2.0)
        while place.lose_starts:
            await trio.sleep(0.005)
        place.is_sick = True
        site.kill_host(owner)
        await site.wait_for_owner()
        await trio.sleep(8.0)
        place.is_sick = False
        place.lose_starts, place.late_s = 1, 9.0
        while place.lose_starts:
            await trio.sleep(0.001)
        sent_at = trio.current_time()
        site.kill_host(await site.wait_for_owner())
        await site.wait_for_owner()
        taken_at = trio.current_time()
        left_s = _read(site).starts_left_s
        assert left_s is None or taken_at + left_s >= sent_at + MAX_ORDER_DELAY_S - 0.5
