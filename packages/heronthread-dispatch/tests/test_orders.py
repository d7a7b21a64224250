"""Orders that get no answer, or contradictory ones.

A refused send or a report without the run does not settle the other sends of a start: one without
an answer may be carried out seconds later, beside the task's next run.
"""

from dataclasses import replace

import pytest
import trio
from heronthread_dispatch.executor_link import OrderOutcome, StartOrder, StopOrder
from heronthread_dispatch.model import Executor, Resources, TaskKey
from heronthread_dispatch.record import JobStatus
from heronthread_emulator import EmulatedSite, check_promises

Clock = trio.testing.MockClock
TASK = TaskKey("a", 0, 0)
LATE_S = (1.8, 5.2)
"""Delays of a start: within the lease that it asks for, and beyond it."""


async def _status(site: EmulatedSite, job: str) -> JobStatus | None:
    view = await site.hosts["h0"].requests.find_job(job)
    return getattr(view, "status", None)


async def _start_with_late_sends(
    site: EmulatedSite, *, sends: int, shed: int, late_s: float
) -> None:
    """Submit a job whose executor delays `sends` starts, then refuses `shed` orders."""
    await site.wait_for_owner()
    places = list(site.executors.by_id.values())
    for place in places:
        place.lose_starts, place.shed, place.late_s = sends, shed, late_s
    await site.hosts["h0"].requests.accept(site.make_job("a", work_s=4.0), 2.0)
    await trio.sleep(0.5)
    for place in places:
        if place.lose_starts == sends:
            place.lose_starts = place.shed = 0


@pytest.mark.parametrize("late_s", LATE_S)
async def test_start_carried_out_after_a_refused_send_runs_once(
    autojump_clock: Clock, late_s: float
) -> None:
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        await _start_with_late_sends(site, sends=2, shed=1, late_s=late_s)
        await trio.sleep(30.0)
        assert check_promises(site.executors, {}) == []
        assert await _status(site, "a") is JobStatus.SUCCEEDED


@pytest.mark.parametrize(("late_s", "shed"), [(2.1, 2), (LATE_S[1], 5)])
async def test_start_carried_out_after_a_refusal_that_comes_during_its_stop(
    autojump_clock: Clock, late_s: float, shed: int
) -> None:
    """The job is cancelled while sends are unresolved; the refusal must not end the stop."""
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        for place in site.executors.by_id.values():
            place.shed_s = 0.5
        await _start_with_late_sends(site, sends=1, shed=shed, late_s=late_s)
        await trio.sleep(0.7)
        await site.hosts["h0"].requests.cancel("a", "first", 2.0)
        await trio.sleep(10.0)
        assert [event.what for event in site.executors.events if event.task == TASK] == []


async def test_orphaned_run_is_stopped(autojump_clock: Clock) -> None:
    """An orphaned run beside the task's own is stopped as soon as a report lists it."""
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


async def test_unsent_start_is_retried_at_another_executor_at_once(
    autojump_clock: Clock,
) -> None:
    """Nothing was sent, so no lease has to expire first."""
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


async def test_start_whose_first_send_is_refused_is_retried_soon(
    autojump_clock: Clock,
) -> None:
    """Both executors refuse one start and back off for 0.7 s; no send is unresolved."""
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        await site.wait_for_owner()
        for place in site.executors.by_id.values():
            place.shed = 1
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=1.0), 2.0)
        await trio.sleep(1.5)
        assert len(site.executors.starts(TASK)) == 1


async def test_run_of_an_unknown_job_is_stopped(autojump_clock: Clock) -> None:
    """Otherwise it would run for as long as the executor's lease is renewed for other work."""
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
        assert not state.orphans
        assert state.free.accelerators == 7


async def test_incomplete_report_closes_no_attempt(autojump_clock: Clock) -> None:
    """A run in neither list may be among the ends that did not fit into the report."""
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


@pytest.mark.parametrize(("late_s", "starts"), [(LATE_S[0], 2), (LATE_S[1], 1)])
async def test_executor_that_refuses_every_stop_keeps_its_task_until_its_lease_expires(
    autojump_clock: Clock, late_s: float, starts: int
) -> None:
    """One send is unresolved, and the executor refuses everything but holds.

    A send that arrives after its deadline is refused.
    """
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        await _start_with_late_sends(site, sends=1, shed=10_000, late_s=late_s)
        await trio.sleep(9.5)
        assert check_promises(site.executors, {}) == []
        assert len(site.executors.starts(TASK)) == starts


async def test_late_start_waits_for_the_next_instance_where_every_stop_is_refused(
    autojump_clock: Clock,
) -> None:
    """The lease that the start asked for is over, but its deadline is ahead on the next clock."""
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        await _start_with_late_sends(site, sends=1, shed=10_000, late_s=5.2)
        name = next(name for name, place in site.executors.by_id.items() if place.shed)
        await trio.sleep(4.6)
        site.restart_executor(name, 0.05)
        await trio.sleep(30.0)
        assert check_promises(site.executors, {}) == []


@pytest.mark.parametrize("phase_s", [0.0, 0.2, 0.4, 0.6, 0.8])
async def test_task_whose_stop_was_acknowledged_is_free_at_once(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch, phase_s: float
) -> None:
    """Its starts had no answer, and a long poll in flight must not delay the confirmation."""
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


async def test_next_run_is_sent_only_once_the_earlier_start_is_refused(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against unanswered starts under two numbers, which a new instance would both run.

    The executor stops answering starts again after the stop of the first run.
    """
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await site.wait_for_owner()
        start, stop, place = site.executors.start, site.executors.stop, site.executors.by_id["e0"]
        sent = list[tuple[int, str]]()

        async def note_start(executor: Executor, order: StartOrder) -> OrderOutcome:
            outcome = await start(executor, order)
            place.is_sick |= not sent
            sent.append((order.run, type(outcome).__name__))
            return outcome

        async def lose_next_start(executor: Executor, order: StopOrder) -> OrderOutcome:
            place.lose_starts, place.is_sick = 1, False
            return await stop(executor, order)

        monkeypatch.setattr(site.executors, "start", note_start)
        monkeypatch.setattr(site.executors, "stop", lose_next_start)
        place.lose_starts, place.late_s = 1, 9.0
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=1.0), 2.0)
        await trio.sleep(8.0)
        assert [s for s in sent if s != (1, "Unhealthy")] == [
            (1, "NoAnswer"),
            (1, "NoAnswer"),
            (1, "Refused"),
            (2, "Acknowledged"),
        ]
        assert await _status(site, "a") is JobStatus.SUCCEEDED


async def test_record_names_no_executor_that_a_start_did_not_reach(
    autojump_clock: Clock,
) -> None:
    """Guards against a next owner that waits for a crashed executor at which nothing can run.

    The owner is killed 0.1 s after the executor has refused its connection.
    """
    async with EmulatedSite.open(hosts=2, executors=1) as site:
        site.keeps_addresses = False
        owner = await site.wait_for_owner()
        await trio.sleep(1.0)
        site.crash_executor("e0")
        host = site.hosts[next(name for name in site.hosts if name != owner)]
        await host.requests.accept(site.make_job("a", work_s=1.0), 2.0)
        await trio.sleep(0.1)
        site.kill_host(owner)
        for number in range(1, 4):
            site.add_executor(f"e{number}", "r1")
        await site.wait_for_owner()
        await trio.sleep(1.0)
        assert len(site.executors.starts()) == 1


async def test_unsent_attempt_is_closed_when_its_gang_is_stopped(
    autojump_clock: Clock,
) -> None:
    """An attempt whose executor took no connection needs no acknowledged stop.

    Otherwise the gang waits for that executor, although there is room elsewhere.
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
