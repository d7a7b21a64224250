"""What becomes of orders that get no answer, or several.

The incident behind the first test: tasks ran twice at once, thirteen times on two sites.

- Sequence: two sends of a start got no answer; a third was turned away by its executor, which
  was unhealthy; the next report did not name the run; the task was started on a second executor;
  1.7 s later the first executor carried out the second send after all.
- Cause: the refusal of one send was taken as settling the others, and a report that does not name
  a run as proof that it never will. A call without an answer may be done seconds later; only an
  end that is listed, an answered stop, or the end of the holding time rules that out.
- Settled by: `start.refused` with `may_have_run` true, then `attempt.closed` with why "not there"
  0.07 s later, `start.decided` of the next run, and `run.stale` of the first one 2.4 s after that.
"""

from dataclasses import replace

import pytest
import trio
from heronthread_dispatch.executor_link import OrderOutcome, StopOrder
from heronthread_dispatch.model import Executor, Resources, TaskKey
from heronthread_dispatch.record import JobStatus
from heronthread_emulator import EmulatedSite, check_promises

Clock = trio.testing.MockClock
TASK = TaskKey("a", 0, 0)


async def _status(site: EmulatedSite, job: str) -> JobStatus | None:
    view = await site.hosts["h0"].requests.find_job(job)
    return getattr(view, "status", None)


async def _start_with_late_sends(site: EmulatedSite, *, sends: int, shed: int) -> None:
    """Hand a job in at whose first executor `sends` starts are 5.2 s late and `shed` turned away.

    After those, the starts and stops that come to it are turned away until `shed` is used up.
    """
    await site.wait_for_owner()
    places = list(site.executors.by_id.values())
    for place in places:
        place.lose_starts, place.shed, place.late_s = sends, shed, 5.2
    await site.hosts["h0"].requests.accept(site.make_job("a", work_s=4.0), 2.0)
    await trio.sleep(0.5)
    for place in places:
        if place.lose_starts == sends:
            place.lose_starts = place.shed = 0


async def test_start_carried_out_after_a_refused_send_runs_once(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        await _start_with_late_sends(site, sends=2, shed=1)
        await trio.sleep(30.0)
        assert check_promises(site.executors, {}) == []
        assert await _status(site, "a") is JobStatus.SUCCEEDED


async def test_start_carried_out_after_a_refusal_that_comes_during_its_stop(
    autojump_clock: Clock,
) -> None:
    """The job is cancelled while sends are open; the refusal must not end the stop."""
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        for place in site.executors.by_id.values():
            place.shed_s = 0.5
        await _start_with_late_sends(site, sends=1, shed=5)
        await trio.sleep(0.7)
        await site.hosts["h0"].requests.cancel("a", "first", 2.0)
        await trio.sleep(10.0)
        assert [event.what for event in site.executors.events if event.task == TASK] == []


async def test_run_that_nobody_wants_is_stopped(autojump_clock: Clock) -> None:
    """A run that stands beside the task's own is stopped as soon as a report names it."""
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        await site.wait_for_owner()
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=20.0), 2.0)
        await site.hosts["h0"].requests.accept(
            site.make_job("b", count=2, work_s=20.0, spread_limit=1), 2.0
        )
        await trio.sleep(1.0)
        taken = site.executors.starts(TASK)[0].executor
        other = next(name for name in site.executors.by_id if name != taken)
        site.executors.plant_run(other, TASK, 0)
        await trio.sleep(3.0)
        ends = [e for e in site.executors.events if e.task == TASK and e.what != "start"]
        assert [(end.what, end.executor) for end in ends] == [("stopped", other)]


async def test_start_that_reached_no_executor_is_given_at_another_at_once(
    autojump_clock: Clock,
) -> None:
    """Nothing was sent, so nothing is open: no holding time has to run out first."""
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        await site.wait_for_owner()
        for place in site.executors.by_id.values():
            place.is_unreachable = True
        began = trio.current_time()
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=1.0), 2.0)
        await trio.sleep(0.1)
        for place in site.executors.by_id.values():
            place.is_unreachable = False
        while not site.executors.starts(TASK):
            await trio.sleep(0.1)
        assert trio.current_time() - began < 2.5
        assert check_promises(site.executors, {}) == []


async def test_start_whose_first_send_is_refused_is_given_again_at_once(
    autojump_clock: Clock,
) -> None:
    """Both executors turn one start away and rest for 0.7 s; neither was left in doubt."""
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        await site.wait_for_owner()
        for place in site.executors.by_id.values():
            place.shed = 1
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=1.0), 2.0)
        await trio.sleep(1.5)
        assert len(site.executors.starts(TASK)) == 1


async def test_run_of_a_job_that_is_not_known_is_stopped(autojump_clock: Clock) -> None:
    """An executor that is held would keep it at work for as long as anything else runs there."""
    gone = TaskKey("gone", 0, 0)
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await site.wait_for_owner()
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=20.0), 2.0)
        await trio.sleep(1.0)
        site.executors.plant_run("e0", gone, 1)
        await trio.sleep(3.0)
        ends = [e.what for e in site.executors.events if e.task == gone]
        assert ends == ["start", "stopped"]
        site.executors.plant_run("e0", gone, 2, work_s=0.4)
        await trio.sleep(3.0)
        state = site.hosts["h0"].owner.cell.executors["e0"]
        assert not state.strays
        assert state.free.accelerators == 7


async def test_report_that_may_be_cut_short_closes_nothing(autojump_clock: Clock) -> None:
    """A run that is in neither list may be among the ends that did not fit."""
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await site.wait_for_owner()
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=3.0), 2.0)
        await trio.sleep(0.5)
        site.executors.hides_ends = True
        await trio.sleep(4.0)
        assert len(site.executors.starts(TASK)) == 1
        site.executors.hides_ends = False
        await trio.sleep(2.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED
        assert len(site.executors.starts(TASK)) == 1


async def test_executor_that_turns_every_stop_away_keeps_its_task_for_a_holding_time(
    autojump_clock: Clock,
) -> None:
    """One send is open, all later calls but holds are turned away: nothing settles it sooner."""
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        await _start_with_late_sends(site, sends=1, shed=10_000)
        await trio.sleep(9.5)
        assert check_promises(site.executors, {}) == []
        assert len(site.executors.starts(TASK)) == 2


@pytest.mark.parametrize("phase_s", [0.0, 0.2, 0.4, 0.6, 0.8])
async def test_task_whose_stop_was_obeyed_is_free_at_once(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch, phase_s: float
) -> None:
    """Its starts had no answer. A hold that waits for an end, and a second one, held it for 2 s."""
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        await site.wait_for_owner()
        await site.hosts["h0"].requests.accept(site.make_job("b", count=16, work_s=30.0), 2.0)
        await trio.sleep(3.0 + phase_s)
        stop, obeyed = site.executors.stop, list[float]()

        async def note_stop(executor: Executor, order: StopOrder) -> OrderOutcome:
            outcome = await stop(executor, order)
            obeyed.append(trio.current_time())
            return outcome

        monkeypatch.setattr(site.executors, "stop", note_stop)
        for place in site.executors.by_id.values():
            place.executor = replace(place.executor, capacity=Resources(64_000, 262_144, 16))
            place.lose_starts, place.late_s = 3, 9.0
            site.say(place.executor.id)
        await trio.sleep(0.5)
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=1.0), 2.0)
        with trio.fail_after(10.0):
            while not obeyed:
                await trio.sleep(0.01)
        for place in site.executors.by_id.values():
            place.lose_starts = 0
        with trio.fail_after(10.0):
            while not site.executors.starts(TASK):
                await trio.sleep(0.01)
        assert site.executors.starts(TASK)[0].at - obeyed[0] < 0.2
        await trio.sleep(12.0)
        assert check_promises(site.executors, {}) == []
        assert await _status(site, "a") is JobStatus.SUCCEEDED


async def test_attempt_that_no_send_has_reached_is_over_as_its_gang_is_stopped(
    autojump_clock: Clock,
) -> None:
    """Its executor takes no connection, a mate is turned away, and there is room for both beside.

    In a soak (seed 30) a gang stood for 3.4 s: `order.sent` said "not sent" for all three sends of
    a member's start, whose executor had just ended, and then for twelve stops of it, as a mate had
    been given up meanwhile. What never reached anybody needs no stop.
    """
    async with EmulatedSite.open(hosts=1, executors=4) as site:
        await site.wait_for_owner()
        for name in ("e2", "e3"):
            site.executors.by_id[name].is_sick = True
        job = site.make_job("a", count=2, accelerators=8, gang=True, work_s=4.0)
        site.executors.by_id["e0"].is_down = True
        site.executors.by_id["e1"].shed = 1
        await site.hosts["h0"].requests.accept(job, 2.0)
        for name in ("e2", "e3"):
            site.executors.by_id[name].is_sick = False
        await trio.sleep(3.0)
        assert {event.executor for event in site.executors.starts()} <= {"e1", "e2", "e3"}
        assert len(site.executors.starts()) == 2
