"""Jobs whose start goes to an executor that crashed or was partitioned while it was idle.

An idle executor is not polled, so its loss shows only when its entry expires or at the next start.
An unanswered start blocks its task until the lease has expired, and for 12 s where ids are reused.
"""

import pytest
import trio
from heronthread_dispatch.model import TaskKey
from heronthread_emulator import EmulatedSite, check_promises

Clock = trio.testing.MockClock
MAX_DELAY_S = 3.0
"""How long a ready job with ample room may wait at most."""
IDLE_S = 8.0
"""After a start, until its executor is not polled any more."""
LOST_FOR_S = 3.0
LOSS_KINDS = ("crashed dark", "crashed", "cut off", "refuses new connections")


def _lose_executor(site: EmulatedSite, name: str, way: str) -> None:
    """Make an executor unresponsive in one of several ways."""
    site.keeps_addresses = False
    site.crashes_dark = way == "crashed dark"
    if way == "cut off":
        site.executors.by_id[name].is_cut = True
    elif way == "refuses new connections":
        site.executors.by_id[name].is_down = True
    else:
        site.crash_executor(name)


async def _find_first_places(gang: bool, says_born: bool = True) -> set[str]:
    """Return where a job is started if no executor is lost."""
    async with EmulatedSite.open(hosts=1, executors=8, says_born=says_born) as site:
        await site.wait_for_owner()
        await trio.sleep(IDLE_S + LOST_FOR_S)
        await _submit(site, gang)
        await trio.sleep(MAX_DELAY_S)
        return {start.executor for start in site.executors.starts()}


async def _submit(site: EmulatedSite, gang: bool) -> int:
    count = 3 if gang else 1
    job = site.make_job("a", count=count, accelerators=8, gang=gang, work_s=20.0)
    await site.hosts["h0"].requests.accept(job, 2.0)
    return count


@pytest.mark.parametrize("way", LOSS_KINDS)
@pytest.mark.parametrize("says_born", [True, False], ids=["lives", "ids"])
@pytest.mark.parametrize("gang", [False, True], ids=["task", "gang"])
async def test_start_at_an_executor_lost_while_idle_is_retried_soon(
    autojump_clock: Clock, way: str, says_born: bool, gang: bool
) -> None:
    """A job is submitted 3 s after the loss that would be placed there; there is room elsewhere."""
    name = min(await _find_first_places(gang, says_born))
    async with EmulatedSite.open(hosts=1, executors=8, says_born=says_born) as site:
        await site.wait_for_owner()
        await trio.sleep(IDLE_S)
        _lose_executor(site, name, way)
        await trio.sleep(LOST_FOR_S)
        count = await _submit(site, gang)
        await trio.sleep(MAX_DELAY_S)
        running = {
            run.task for place in site.executors.by_id.values() for run in place.running.values()
        }
        assert running == {TaskKey("a", 0, member) for member in range(count)}
        await trio.sleep(30.0)
        assert check_promises(site.executors, {}) == []


async def test_a_rack_lost_while_idle_is_tried_once(autojump_clock: Clock) -> None:
    """A task prefers the rack of its data for as long as anything there seems free."""
    async with EmulatedSite.open(hosts=1, executors=24) as site:
        await site.wait_for_owner()
        await trio.sleep(IDLE_S)
        for place in site.executors.by_id.values():
            place.is_cut = place.executor.rack == "r0"
        await trio.sleep(LOST_FOR_S)
        job = site.make_job("a", work_s=20.0, data_rack="r0")
        await site.hosts["h0"].requests.accept(job, 2.0)
        await trio.sleep(MAX_DELAY_S)
        assert len(site.executors.starts()) == 1


async def test_other_executors_in_the_rack_of_a_lost_one_take_work(autojump_clock: Clock) -> None:
    """The others in the rack are probed, and a task with data in the rack starts at one of them."""
    name = min(await _find_first_places(gang=False))
    async with EmulatedSite.open(hosts=1, executors=8) as site:
        await site.wait_for_owner()
        await trio.sleep(IDLE_S)
        lost = site.executors.by_id[name]
        lost.is_cut = True
        job = site.make_job("a", work_s=20.0, data_rack=lost.executor.rack)
        await site.hosts["h0"].requests.accept(job, 2.0)
        await trio.sleep(1.0)
        places = [site.executors.by_id[start.executor] for start in site.executors.starts()]
        assert [place.executor.rack for place in places] == [lost.executor.rack]
        states = site.hosts["h0"].owner.cell.executors.values()
        doubted = [s.id for s in states if s.find_refusal(trio.current_time())]
        assert doubted == [name]
        lost.is_cut = False
        await trio.sleep(3.0)
        assert not any(s.find_refusal(trio.current_time()) for s in states)


async def test_a_lost_probe_answer_does_not_move_a_start(autojump_clock: Clock) -> None:
    """The concurrent second probe is answered."""
    name = min(await _find_first_places(gang=False))
    async with EmulatedSite.open(hosts=1, executors=8) as site:
        await site.wait_for_owner()
        await trio.sleep(IDLE_S)
        site.executors.by_id[name].lose_answers = 1
        await _submit(site, gang=False)
        await trio.sleep(1.0)
        assert [start.executor for start in site.executors.starts()] == [name]


async def test_probing_idle_executors_delays_a_start_by_one_round_trip(
    autojump_clock: Clock,
) -> None:
    """The executors of a gang are probed concurrently."""
    async with EmulatedSite.open(hosts=1, executors=8) as site:
        await site.wait_for_owner()
        await trio.sleep(IDLE_S)
        handed_in = trio.current_time()
        await _submit(site, gang=True)
        await trio.sleep(1.0)
        assert max(start.at for start in site.executors.starts()) - handed_in < 0.025
