"""What becomes of work at an executor that starts again under the id that it had.

Two tasks were started again though their runs had ended done, and a gang was started once more
after it had failed as often as it may. Their executors had crashed before and were back under
their ids. What the owner had noted of ends stayed with the id, while a new life numbers its ends
from 1: the first of them were passed over as known, and their runs closed as if they had never
been. The number up to which the old life had been told to forget its ends went to the new one too.

What settled it: `attempt.closed` "not there" at 91 percent 0.74 s after the run had ended done, and
`start.decided` of run 2 in the same plan; and here `executor.reports` of a life that began 6.1 s
after the one before it, with `noted` 8, `told_seen` 8 and `ends` 1 to 6, then six times
`attempt.closed` "not there" and six starts of run 2.
"""

from dataclasses import replace

import pytest
import trio
from heronthread_dispatch.executor_link import (
    EndKind,
    HoldOrder,
    HoldOutcome,
    Report,
    Unanswered,
)
from heronthread_dispatch.late_starts import MAX_ORDER_DELAY_S
from heronthread_dispatch.model import Executor, Resources, TaskKey
from heronthread_dispatch.record import JobStatus
from heronthread_dispatch.used import UsedExecutor, decode_used
from heronthread_dispatch.watching import ExecutorWatch
from heronthread_emulator import EmulatedSite, Told, check_promises
from heronthread_emulator.checker import check_capacity
from heronthread_emulator.executors import WorkSpec
from heronthread_emulator.site import CAPACITY
from heronthread_emulator.spans import Span

Clock = trio.testing.MockClock
CRASH_S = 0.01


async def _hand_in(site: EmulatedSite, told: dict[str, Told], job: str, **more: object) -> None:
    record = site.make_job(job, **more)  # type: ignore[arg-type]
    told[job] = Told(record, taken=True)
    host = next(iter(site.hosts.values()))
    await host.requests.accept(record, 2.0)


async def _check(site: EmulatedSite, told: dict[str, Told], failed: set[str]) -> None:
    """Check the promises, and that the jobs in `failed` and no others were given up."""
    for job, known in told.items():
        known.shown = await site.find_status(job)
    assert check_promises(site.executors, told) == []
    assert {job for job, known in told.items() if known.shown is JobStatus.FAILED} == failed


async def _end_many_then_restart(site: EmulatedSite, told: dict[str, Told]) -> None:
    """Have each executor list some ends, which are taken note of, and start again."""
    await site.wait_for_owner()
    await _hand_in(site, told, "before", count=16, work_s=0.5)
    await trio.sleep(4.0)
    for name in sorted(site.executors.by_id):
        site.restart_executor(name, 2.0)
    await trio.sleep(5.0)


async def test_done_work_is_not_run_again_at_another_life(autojump_clock: Clock) -> None:
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=2, executors=2) as site:
        await _end_many_then_restart(site, told)
        await _hand_in(site, told, "after", count=6, work_s=1.0)
        await trio.sleep(20.0)
        await _check(site, told, set())
        assert len([e for e in site.executors.starts() if e.task.job == "after"]) == 6


async def test_failed_runs_are_counted_at_another_life(autojump_clock: Clock) -> None:
    """Four attempts are allowed; a gang that always fails is started four times."""
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=2, executors=2) as site:
        await _end_many_then_restart(site, told)
        record = site.make_job("bad", count=2, work_s=0.5, gang=True)
        need = record.spec.steps[0].need
        site.executors.specs["bad"] = {0: WorkSpec(need, 0.5, 2, EndKind.FAILED)}
        told["bad"] = Told(record, taken=True)
        await next(iter(site.hosts.values())).requests.accept(record, 2.0)
        await trio.sleep(40.0)
        await _check(site, told, {"bad"})
        assert len(site.executors.starts(TaskKey("bad", 0, 0))) == 4


async def test_crashes_are_counted_by_life(autojump_clock: Clock) -> None:
    """Three tasks crash whatever starts them; each executor is back under its id after 1 s.

    The crash noted under an id was withdrawn as that id reported again: each such task was started
    42 times in 100 s, and of 24 innocent jobs 11 were done (3 seeds).
    """
    told: dict[str, Told] = {}
    bad = ["bad0", "bad1", "bad2"]
    async with EmulatedSite.open(hosts=2, executors=8) as site:
        site.keeps_ids, site.back_after_s = True, 1.0
        await site.wait_for_owner()
        for number in range(24):
            await _hand_in(site, told, f"good{number}", count=2, work_s=4.0)
            if number % 8 == 4:
                job = bad[number // 8]
                site.executors.crashing[TaskKey(job, 0, 0)] = CRASH_S
                await _hand_in(site, told, job, queue="urgent", work_s=4.0)
        await trio.sleep(100.0)
        await _check(site, told, set(bad))
        for task in site.executors.crashing:
            assert len(site.executors.starts(task)) <= 4


async def test_start_that_is_late_does_not_run_at_another_life(autojump_clock: Clock) -> None:
    """A start without an answer is carried out 5 s later, by the life that began meanwhile.

    The order names the id alone, its deadline is far ahead on the new life's clock, and neither the
    stop that the life before had answered nor its highest run is known there.
    """
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=2, executors=3) as site:
        await site.wait_for_owner()
        for place in site.executors.by_id.values():
            place.lose_starts, place.late_s = 1, 5.0
        await _hand_in(site, told, "a", work_s=20.0)
        await trio.sleep(2.5)
        for name in sorted(site.executors.by_id):
            site.restart_executor(name, 0.4)
        await trio.sleep(40.0)
        await _check(site, told, set())
        assert len({event.run for event in site.executors.starts()}) >= 1


async def test_next_life_is_told_of_a_late_start_that_the_life_before_had_stopped(
    autojump_clock: Clock,
) -> None:
    """The start was still on its way as it was stopped, and had no answer once the life was over.

    Two days of a soak ran tasks twice: run 1003 came to a life 1.5 s old, whose owner had heard it
    0.75 s before, and run 2001 was carried out 0.8 s after its own life began. `run.stale` named
    the runs as each life first reported, but in the same hundredth of a second `attempt.closed`
    said "the holding time has run out" with age 0.0 and no sends, and `stop.decided` was followed
    by no `order.sent`. The stops were noted for the new life before it had any holding time, so its
    first report closed them as long over, and a stop whose run is closed is not sent.
    """
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=2, executors=2) as site:
        await site.wait_for_owner()
        place = site.executors.by_id["e0"]
        place.lose_starts, place.late_s = 1, 6.0
        site.executors.by_id["e1"].shed = 1
        await _hand_in(site, told, "a", count=2, accelerators=8, gang=True, work_s=20.0)
        await trio.sleep(0.2)
        ((task, run),) = place.floor.items()
        site.restart_executor("e0", 1.0)
        await trio.sleep(2.0)
        assert site.executors.by_id["e0"].floor.get(task, 0) >= run
        await trio.sleep(60.0)
        await _check(site, told, set())


async def test_end_is_taken_note_of_once_no_start_of_its_task_can_be_late(
    autojump_clock: Clock,
) -> None:
    """The second send of a start ran to its end; the first comes to a next life 0.01 s old.

    Days of a soak ran tasks again whose end had been taken note of: run 1 was done 6.26 and noted,
    and its first send, of 4.23, began at the next life 11.63, with nobody there to refuse it. The
    executor had been told to forget the end at once. Told only once no send can be late any more
    (12 s), it still lists the end as long as it lives, and one that starts again had none noted.
    What the store has is told to callers as before, and the late run is stopped as it is reported.
    """
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=2, executors=1) as site:
        await site.wait_for_owner()
        place = site.executors.by_id["e0"]
        place.lose_starts, place.late_s = 1, 6.0
        await _hand_in(site, told, "a", work_s=1.0)
        while place.lose_starts:
            await trio.sleep(0.005)
        await trio.sleep(4.0)
        assert await site.find_status("a") is JobStatus.SUCCEEDED
        await trio.sleep(1.0)
        site.restart_executor("e0", 1.0)
        await trio.sleep(30.0)
        await _check(site, told, set())


async def test_every_end_is_taken_note_of_in_time(autojump_clock: Clock) -> None:
    """Also those that are kept back for a start that may be late, and those listed after them."""
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=2, executors=1) as site:
        await site.wait_for_owner()
        place = site.executors.by_id["e0"]
        place.lose_starts, place.late_s = 1, 6.0
        for job in ("a", "b", "c"):
            await _hand_in(site, told, job, work_s=1.0)
        await trio.sleep(MAX_ORDER_DELAY_S + 2.0)
        await _check(site, told, set())
        ends = {(e.life, e.number) for e in site.executors.events if e.what == "done"}
        assert len(ends) == 3
        assert ends <= site.executors.taken_note


async def test_run_of_a_silent_executor_waits_for_its_late_start(autojump_clock: Clock) -> None:
    """The executor is down for 8 s, beyond its holding time, and the start comes after 10 s."""
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=2, executors=1) as site:
        await site.wait_for_owner()
        site.add_executor("e1", "r1")
        place = site.executors.by_id["e0"]
        site.executors.by_id["e1"].is_sick = True
        place.lose_starts, place.late_s = 1, 10.0
        await _hand_in(site, told, "a", work_s=20.0)
        await trio.sleep(0.2)
        site.executors.by_id["e1"].is_sick = False
        site.restart_executor("e0", 8.0)
        await trio.sleep(60.0)
        await _check(site, told, set())


async def test_an_executor_is_used_only_as_the_life_that_its_entry_is_of(
    autojump_clock: Clock,
) -> None:
    """It reports before its entry is written; then its entry goes back to the life before."""
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await site.wait_for_owner()
        await _hand_in(site, told, "a", work_s=30.0)
        await trio.sleep(1.0)
        before = site.store.items["executors/e0"].value
        site.said_after_s = 4.0
        site.restart_executor("e0", 1.0)
        await trio.sleep(4.5)
        assert len(site.executors.starts()) == 1, "its room and kind are those of the life before"
        await trio.sleep(2.0)
        assert len(site.executors.starts()) == 2
        site.store.put("executors/e0", before)
        await _hand_in(site, told, "b", work_s=1.0)
        await trio.sleep(3.0)
        assert not site.executors.starts(TaskKey("b", 0, 0)), "it is said to be an earlier life"
        site.store.put("executors/e0", before.replace(b'"born"', b'"other"'))
        await trio.sleep(3.0)
        assert not site.executors.starts(TaskKey("b", 0, 0)), "it is not said which life it is"
        site.say("e0")
        await trio.sleep(40.0)
        await _check(site, told, set())


async def test_entry_of_another_life_is_believed_only_once_that_life_answers(
    autojump_clock: Clock,
) -> None:
    """Another writer's entry with a later start ends nothing that runs."""
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        await site.wait_for_owner()
        await _hand_in(site, told, "a", count=4, work_s=8.0)
        await trio.sleep(1.0)
        for name in ("e0", "e1"):
            said = site.store.items[f"executors/{name}"].value
            born = str(site.executors.by_id[name].executor.born).encode()
            site.store.put(f"executors/{name}", said.replace(born, str(10**13).encode()))
        await trio.sleep(10.0)
        await _check(site, told, set())
        assert len(site.executors.starts()) == 4
        assert told["a"].shown is JobStatus.SUCCEEDED


async def test_new_owner_tells_lives_apart(autojump_clock: Clock) -> None:
    """Executors start again as the owner is killed: some before the next one reads, some after."""
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=3, executors=6) as site:
        owner = await site.wait_for_owner()
        await _hand_in(site, told, "a", count=24, work_s=3.0)
        await trio.sleep(3.5)
        site.kill_host(owner)
        for number in range(6):
            site.restart_executor(f"e{number}", 0.3 + 0.7 * number)
        await trio.sleep(40.0)
        await _check(site, told, set())
        assert told["a"].shown is JobStatus.SUCCEEDED


async def test_crash_outlasts_its_owner_where_the_id_is_back(autojump_clock: Clock) -> None:
    """Each owner is killed 0.3 s after a crash; the executor is back under its id 0.7 s later."""
    told: dict[str, Told] = {}
    task = TaskKey("bad", 0, 0)
    async with EmulatedSite.open(hosts=4, executors=8) as site:
        site.keeps_ids, site.back_after_s = True, 1.0
        await site.wait_for_owner()
        site.executors.crashing[task] = CRASH_S
        await _hand_in(site, told, "bad")
        for crashes in (1, 2, 3):
            with trio.move_on_after(20.0):
                while sum(e.what == "gone" for e in site.executors.events) < crashes:
                    await trio.sleep(0.02)
            await trio.sleep(0.3)
            name = site.owner_name()
            if name is not None:
                site.kill_host(name)
                site.start_host(name)
        await trio.sleep(60.0)
        await _check(site, told, {"bad"})
        assert len(site.executors.starts(task)) <= 4


async def test_life_at_another_address_is_asked_there(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its entry names the address; at the old one nobody answers any more."""
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await site.wait_for_owner()
        await _hand_in(site, told, "a", work_s=10.0)
        await trio.sleep(1.0)
        hold = site.executors.hold

        async def hold_elsewhere(executor: Executor, order: HoldOrder) -> HoldOutcome:
            if executor.address == "e0":
                await trio.sleep(0.01)
                return Unanswered("refused", unsent=True)
            return await hold(executor, order)

        monkeypatch.setattr(site.executors, "hold", hold_elsewhere)
        site.said_after_s = 1000.0
        site.restart_executor("e0", 1.0)
        await trio.sleep(2.0)
        owner = site.hosts["h0"].owner
        assert owner is not None
        moved = replace(site.executors.by_id["e0"].executor, address="elsewhere")
        owner.directory._accept(moved)
        await trio.sleep(2.0)
        assert owner.cell.executors["e0"].executor == moved
        assert len(site.executors.starts()) == 2
        await trio.sleep(12.0)
        await _check(site, told, set())


async def test_ticket_of_one_life_is_not_brought_to_another(autojump_clock: Clock) -> None:
    """Tickets hold for 5 s; the executor is back under its id after 1 s."""
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        site.executors.approver = site.approver
        site.approver.healthy = {"e0"}
        await site.wait_for_owner()
        await _hand_in(site, told, "a", queue="approved", work_s=4.0)
        await trio.sleep(1.0)
        site.restart_executor("e0", 1.0)
        await trio.sleep(10.0)
        await _check(site, told, set())
        assert len(site.executors.starts()) == 2
        assert len({question.lives for question in site.approver.questions}) == 2


async def test_the_store_names_the_life_before_anything_starts_there(
    autojump_clock: Clock,
) -> None:
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await _end_many_then_restart(site, told)
        await _hand_in(site, told, "after", work_s=5.0)
        await trio.sleep(1.0)
        used = decode_used(site.store.items["used/0"].value)
        assert isinstance(used, dict)
        assert used["e0"].born == site.executors.by_id["e0"].executor.born
        assert site.executors.starts()[-1].life == site.executors.by_id["e0"].executor.life


def test_executors_in_use_of_an_earlier_version_have_no_start() -> None:
    assert decode_used(b'{"e0":["a:1","pool",null]}') == {"e0": UsedExecutor("a:1", "pool")}


@pytest.mark.parametrize("keeps_ids", [False, True])
async def test_day_of_crashing_jobs_beside_a_killed_owner(
    keeps_ids: bool, autojump_clock: Clock
) -> None:
    """One job in ten crashes what starts it, for 10 s; the owner is killed 7 s after the first."""
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=3, executors=12, racks=3) as site:
        site.keeps_ids = keeps_ids
        await site.wait_for_owner()
        bad = {"j3", "j13"}
        site.executors.crashing = {TaskKey(job, 0, 0): CRASH_S for job in bad}
        for number in range(20):
            await _hand_in(site, told, f"j{number}", count=2, work_s=3.0)
            await trio.sleep(0.5)
            if number == 17:
                site.kill_host(site.owner_name() or "")
        await trio.sleep(90.0)
        await _check(site, told, bad)
        assert all(len(site.executors.starts(task)) <= 4 for task in site.executors.crashing)


async def test_day_of_rooms_that_shrink_under_a_burst(autojump_clock: Clock) -> None:
    """A quarter of the executors, which do not guard their room, have 0.55 of it for 14 s."""
    told: dict[str, Told] = {}
    smaller = Resources(*(int(amount * 0.55) for amount in CAPACITY))
    async with EmulatedSite.open(hosts=2, executors=8) as site:
        await site.wait_for_owner()
        spans = []
        for place in site.executors.by_id.values():
            place.guards = False
        for number in range(24):
            await _hand_in(site, told, f"j{number}", count=4, accelerators=2, work_s=2.0)
            await trio.sleep(0.7)
            if number == 3:
                for name in ("e0", "e1"):
                    site.resize_executor(name, smaller, said_after_s=1.5)
                    spans.append(Span(name, trio.current_time() + 1.5))
        for span in spans:
            span.until = trio.current_time()
            site.resize_executor(span.name, CAPACITY)
        await trio.sleep(60.0)
        await _check(site, told, set())
        assert check_capacity(site.executors, spans, site.trouble) == []


async def test_what_one_life_was_told_to_forget_is_not_told_to_the_next(
    autojump_clock: Clock,
) -> None:
    """The one hold that says so is answered by another life, whose ends are none of those."""
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await site.wait_for_owner()
        await trio.sleep(1.0)
        owner = site.hosts["h0"].owner
        assert owner is not None
        watch = ExecutorWatch(owner.cell, owner.cell.executors["e0"], owner.depose)
        watch.state.noted = watch.state.seen = 5
        report = Report(100, (), (), born=watch.state.life.born + 1)
        await watch._handle_report(report, HoldOrder(1, 5, None, 0.0), trio.current_time())
        assert owner.cell.executors["e0"] is watch.state
        assert (watch.state.noted, watch.state.seen, watch.state.told_seen) == (0, 0, 0)


async def test_runs_of_a_life_without_an_entry_are_not_given_up(autojump_clock: Clock) -> None:
    """It is back after its entry has gone, says nothing yet, and has begun a run for nobody.

    Its first report was taken in and its state given up at once: a run adopted 0.01 s before was
    closed as "the executor is gone" and its task started elsewhere beside it.
    """
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await site.wait_for_owner()
        await _hand_in(site, {}, "a", work_s=30.0)
        await trio.sleep(1.0)
        site.said_after_s = 1000.0
        before = site.executors.by_id["e0"]
        site.restart_executor("e0", 5.0)
        while site.executors.by_id["e0"] is before:
            await trio.sleep(0.01)
        stray = TaskKey("unknown", 0, 0)
        site.executors.plant_run("e0", stray, 7)
        await trio.sleep(3.0)
        ends = [event.what for event in site.executors.events if event.task == stray]
        assert ends == ["start", "stopped"]
