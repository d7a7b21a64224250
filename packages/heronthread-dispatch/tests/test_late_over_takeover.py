"""Starts without an answer that are carried out after their owner is gone, by another life.

The owner that sent them was killed, so nobody tells that life to refuse them until the next owner
has reached it. In one soak the next owner had heard an executor, 0.11 s later it answered nobody,
and 0.9 s after that a task was started elsewhere; 1.4 s later the executor's next life, 0.06 s old,
carried the earlier owner's start of the same task out.
"""

from dataclasses import replace

import pytest
import trio
from heronthread_dispatch.model import TaskKey
from heronthread_emulator import EmulatedSite, captured_events, check_promises
from heronthread_emulator.executors import EmulatedExecutor

Clock = trio.testing.MockClock
TASK = TaskKey("a", 0, 0)
TAKEN_S = 1.95
"""From an owner's death to the next one's term."""
HOLDING_S = 7.5
"""From a term's beginning until a silent executor holds nothing any more."""
MAX_ORDER_DELAY_S = 12.0
"""By how much a start without an answer is late at most."""
NOTED_EACH_S = 1.5
"""How old what an owner has left in the store of that time may be."""
PLAN_S = 0.5
"""Between plans that nothing asks for."""


async def _lose_start(site: EmulatedSite, late_s: float) -> EmulatedExecutor:
    """Have the start of a job at e0 lost, to be carried out late, and kill its owner."""
    owner = await site.wait_for_owner()
    await trio.sleep(1.0)
    place = site.executors.by_id["e0"]
    place.lose_starts, place.late_s = 1, late_s
    host = next(name for name in site.hosts if name != owner)
    job = site.make_job("a", work_s=8.0)
    site.nursery.start_soon(site.accept, site.hosts[host], job, 2.0)
    while place.lose_starts:
        await trio.sleep(0.005)
    site.kill_host(owner)
    site.add_executor("e1", "r1")
    return place


@pytest.mark.parametrize("late_s", [2.0, 3.0, 6.0, 11.0])
@pytest.mark.parametrize("back_s", [0.05, 0.4, 3.0])
@pytest.mark.parametrize("dies_s", [0.0, 1.9])
async def test_late_start_runs_beside_no_other(
    dies_s: float, back_s: float, late_s: float, autojump_clock: Clock
) -> None:
    """The executor dies before the next owner's term, and is back before or after it begins."""
    async with EmulatedSite.open(hosts=3, executors=1) as site:
        await _lose_start(site, late_s)
        site.said_after_s = 1.5
        await trio.sleep(dies_s)
        site.restart_executor("e0", back_s)
        await trio.sleep(40.0)
        assert check_promises(site.executors, {}) == []
        assert [event.what for event in site.executors.events].count("done") == 1


async def _wait_heard(site: EmulatedSite, name: str) -> None:
    """Wait until the next owner has heard an executor."""
    with captured_events() as events, trio.fail_after(10.0):
        while not any(
            e["message_type"] == "executor.heard" and e["executor"] == name for e in events
        ):
            await trio.sleep(0.01)


@pytest.mark.parametrize("back_s", [0.5, 1.5, 3.0, 5.0])
async def test_late_start_at_an_executor_that_falls_silent_once_it_was_heard(
    back_s: float, autojump_clock: Clock
) -> None:
    """Its job finds room elsewhere only while the executor is silent; the start comes after it."""
    async with EmulatedSite.open(hosts=3, executors=1) as site:
        late_s = TAKEN_S + 0.4 + back_s
        place = await _lose_start(site, late_s)
        place.is_sick = site.executors.by_id["e1"].is_sick = True
        await _wait_heard(site, "e0")
        await trio.sleep(0.2)
        site.said_after_s = 1.5
        site.restart_executor("e0", back_s)
        await trio.sleep(0.1)
        site.executors.by_id["e1"].is_sick = False
        await trio.sleep(40.0)
        assert check_promises(site.executors, {}) == []
        assert [event.what for event in site.executors.events].count("done") == 1


@pytest.mark.parametrize("dies_s", [-0.5, 0.5, 1.9, 2.2, 4.0])
async def test_executor_that_crashed_for_good_withholds_its_jobs_no_longer_than_its_holding_time(
    dies_s: float, autojump_clock: Clock
) -> None:
    """Counted from its end or the term's beginning; a job that is not named there never waits."""
    async with EmulatedSite.open(hosts=3, executors=6) as site:
        owner = await site.wait_for_owner()
        host = site.hosts[next(name for name in site.hosts if name != owner)]
        for number in range(12):
            await host.requests.accept(site.make_job(f"j{number}", work_s=30.0), 2.0)
        await trio.sleep(3.0)
        jobs_there = {task.job for task, _ in site.executors.by_id["e0"].running}
        assert 0 < len(jobs_there) < 12
        killed_at = trio.current_time()
        if dies_s < 0:
            site.restart_executor("e0", 1000.0)
            await trio.sleep(-dies_s)
        site.kill_host(owner)
        if dies_s > 0:
            await trio.sleep(dies_s)
            site.restart_executor("e0", 1000.0)
        over_at = max(trio.current_time(), killed_at - min(dies_s, 0.0) + TAKEN_S)
        await host.requests.accept(site.make_job("other", work_s=1.0), 2.0)
        await trio.sleep(20.0)
        again = [e for e in site.executors.starts() if e.task.job in jobs_there and e.run > 1]
        assert {event.task.job for event in again} == jobs_there
        assert max(event.at for event in again) <= over_at + HOLDING_S + PLAN_S
        assert site.executors.starts(TaskKey("other", 0, 0))[0].at <= over_at + 1.0
        assert check_promises(site.executors, {}) == []


async def test_crash_for_good_after_it_was_heard_withholds_what_is_named_there_as_long(
    autojump_clock: Clock,
) -> None:
    """Nothing of the job is there, and nobody can tell that no start of it will come."""
    async with EmulatedSite.open(hosts=3, executors=1) as site:
        place = await _lose_start(site, 1.0)
        place.is_sick = site.executors.by_id["e1"].is_sick = True
        await _wait_heard(site, "e0")
        await trio.sleep(0.2)
        site.restart_executor("e0", 1000.0)
        over_at = trio.current_time()
        await trio.sleep(0.1)
        site.executors.by_id["e1"].is_sick = False
        await trio.sleep(20.0)
        started = site.executors.starts(TASK)
        assert [event.executor for event in started] == ["e1"]
        assert started[0].at <= over_at + HOLDING_S + PLAN_S


async def test_late_start_comes_to_a_life_that_no_owner_has_reached(autojump_clock: Clock) -> None:
    """The life before had answered a stop of it, so the task's next run began elsewhere.

    Then the owner is killed, the executor starts again, and its next life carries the start out
    while nobody owns the cell.
    """
    async with EmulatedSite.open(hosts=3, executors=1) as site:
        owner = await site.wait_for_owner()
        await trio.sleep(1.0)
        place = site.executors.by_id["e0"]
        place.lose_starts, place.late_s = 1, 4.0
        host = next(name for name in site.hosts if name != owner)
        job = site.make_job("a", work_s=8.0)
        site.nursery.start_soon(site.accept, site.hosts[host], job, 2.0)
        while place.lose_starts:
            await trio.sleep(0.005)
        place.is_sick = True
        site.add_executor("e1", "r1")
        while not site.executors.starts(TASK):
            await trio.sleep(0.01)
        assert site.executors.starts(TASK)[0].executor == "e1"
        await trio.sleep(2.0)
        site.kill_host(owner)
        site.restart_executor("e0", 0.1)
        await trio.sleep(30.0)
        assert check_promises(site.executors, {}) == []


async def test_start_at_a_life_that_no_other_can_follow_withholds_its_task_for_its_holding_time(
    autojump_clock: Clock,
) -> None:
    """Where executors say no start of their life, another life has another id.

    A start without an answer, at an executor that then crashed for good, kept its job from free
    room for 12.0 s and more: `attempt.closed` "the holding time has run out" came 14.2 s after the
    order. The owner went on waiting for a next life that might carry the start out, though each
    call names the id that is meant and a next life has another one. The holding time alone, from
    the last send, rules it out.
    """
    async with EmulatedSite.open(hosts=2, executors=2) as site:
        for name, place in site.executors.by_id.items():
            place.executor = replace(place.executor, born=0)
            site.say(name)
        await site.wait_for_owner()
        await trio.sleep(1.0)
        site.executors.by_id["e1"].is_sick = True
        place = site.executors.by_id["e0"]
        place.lose_starts, place.late_s = 1, 20.0
        host = next(iter(site.hosts.values()))
        await host.requests.accept(site.make_job("a", work_s=2.0), 2.0)
        while place.lose_starts:
            await trio.sleep(0.005)
        site.remove_executor("e0")
        lost_at = trio.current_time()
        site.executors.by_id["e1"].is_sick = False
        await trio.sleep(30.0)
        started = site.executors.starts(TASK)
        assert [event.executor for event in started] == ["e1"]
        assert started[0].at <= lost_at + HOLDING_S + PLAN_S
        assert check_promises(site.executors, {}) == []


async def test_start_of_an_earlier_owner_comes_to_a_life_born_after_the_next_run_began(
    autojump_clock: Clock,
) -> None:
    """The next owner has heard the life before, which had nothing of it, and starts it elsewhere.

    In a soak (seed 349) `start.decided` named run 1001 of a task at e5 at 10.31, 0.6 s after the
    owner of the second term had heard e3; e3 ended, and its next life, born 11.53, carried the
    first owner's run 1, sent 7.29, out at 12.40. The store named e3 for the job, not which tasks
    had a start there without an answer, so that a life that was heard counted as proof of none.
    """
    async with EmulatedSite.open(hosts=3, executors=1) as site:
        place = await _lose_start(site, 7.0)
        lost_at = trio.current_time()
        place.is_sick = True
        await trio.sleep(6.5)
        site.restart_executor("e0", lost_at + 7.0 - 0.01 - trio.current_time())
        await trio.sleep(40.0)
        assert check_promises(site.executors, {}) == []
        assert [event.what for event in site.executors.events].count("done") == 1


async def test_a_late_start_keeps_its_task_back_for_no_longer_over_owners(
    autojump_clock: Clock,
) -> None:
    """Each owner counted the time in which a start may be late from its own beginning.

    A start had no answer, its executor crashed for good, and the owner was killed. The next one
    kept the task back for the start, but was gone before it gave it up, and so was the one after
    that; each began anew. Where owners last for less than 7.5 s, the job stands for ever.

    What settled it: `owner.taken` at 3.06, 10.31 and 17.56, and `job.stands` "a start of it without
    an answer may yet be carried out" with `for_s` 3.0 at 6.56, 13.81 and 21.06.
    """
    async with EmulatedSite.open(hosts=4, executors=1) as site:
        place = await _lose_start(site, MAX_ORDER_DELAY_S)
        site.executors.crash("e0")
        place.is_down = True
        await site.wait_for_owner()
        late_orders_until = trio.current_time() + MAX_ORDER_DELAY_S
        for _ in range(2):
            await trio.sleep(5.0)
            site.kill_host(await site.wait_for_owner())
            await site.wait_for_owner()
        # What passes between two owners, nobody can count.
        late_orders_until += 2 * (TAKEN_S + NOTED_EACH_S)
        await trio.sleep_until(late_orders_until + PLAN_S)
        assert len(site.executors.starts(TASK)) == 1
