"""Executors that start again under the same id.

End numbers, acknowledgements and runs belong to one instance. Carried over to the next one, they
would hide its ends, so that finished tasks are started again.
"""

from dataclasses import replace

import pytest
import trio
from heronthread_dispatch.executor_link import (
    EndKind,
    HoldOrder,
    HoldOutcome,
    NoAnswer,
    Report,
)
from heronthread_dispatch.executor_watch import ExecutorWatch
from heronthread_dispatch.executors_in_use import UsedExecutor, decode_used
from heronthread_dispatch.late_starts import MAX_ORDER_DELAY_S
from heronthread_dispatch.model import Executor, Resources, TaskKey
from heronthread_dispatch.record import JobStatus
from heronthread_emulator import EmulatedSite, Told, check_promises
from heronthread_emulator.checker import check_capacity
from heronthread_emulator.executors import WorkSpec
from heronthread_emulator.site import CAPACITY
from heronthread_emulator.spans import Span

Clock = trio.testing.MockClock
CRASH_S = 0.01


async def _submit(site: EmulatedSite, told: dict[str, Told], job: str, **more: object) -> None:
    record = site.make_job(job, **more)  # type: ignore[arg-type]
    told[job] = Told(record, taken=True)
    host = next(iter(site.hosts.values()))
    await host.requests.accept(record, 2.0)


async def _check(site: EmulatedSite, told: dict[str, Told], failed: set[str]) -> None:
    """Check the promises, and that exactly the jobs in `failed` have failed."""
    for job, known in told.items():
        known.shown = await site.find_status(job)
    assert check_promises(site.executors, told) == []
    assert {job for job, known in told.items() if known.shown is JobStatus.FAILED} == failed


async def _report_ends_then_restart(site: EmulatedSite, told: dict[str, Told]) -> None:
    """Let each executor report some ends, which are acknowledged, and start again."""
    await site.wait_for_owner()
    await _submit(site, told, "before", count=16, work_s=0.5)
    await trio.sleep(4.0)
    for name in sorted(site.executors.by_id):
        site.restart_executor(name, 2.0)
    await trio.sleep(5.0)


async def test_done_work_is_not_repeated_after_a_restart(autojump_clock: Clock) -> None:
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=2, executors=2) as site:
        await _report_ends_then_restart(site, told)
        await _submit(site, told, "after", count=6, work_s=1.0)
        await trio.sleep(20.0)
        await _check(site, told, set())
        assert len([e for e in site.executors.starts() if e.task.job == "after"]) == 6


async def test_failed_runs_are_counted_after_a_restart(autojump_clock: Clock) -> None:
    """Four attempts are allowed, so a gang that always fails is started four times."""
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=2, executors=2) as site:
        await _report_ends_then_restart(site, told)
        record = site.make_job("bad", count=2, work_s=0.5, gang=True)
        need = record.spec.steps[0].need
        site.executors.specs["bad"] = {0: WorkSpec(need, 0.5, 2, EndKind.FAILED)}
        told["bad"] = Told(record, taken=True)
        await next(iter(site.hosts.values())).requests.accept(record, 2.0)
        await trio.sleep(40.0)
        await _check(site, told, {"bad"})
        assert len(site.executors.starts(TaskKey("bad", 0, 0))) == 4


async def test_crashes_are_counted_by_instance(autojump_clock: Clock) -> None:
    """Three tasks crash every executor that starts them; executors return after 1 s.

    A report of the new instance must not withdraw the crash of the previous one.
    """
    told: dict[str, Told] = {}
    bad = ["bad0", "bad1", "bad2"]
    async with EmulatedSite.open(hosts=2, executors=8) as site:
        site.keeps_ids, site.back_after_s = True, 1.0
        await site.wait_for_owner()
        for number in range(24):
            await _submit(site, told, f"good{number}", count=2, work_s=4.0)
            if number % 8 == 4:
                job = bad[number // 8]
                site.executors.crashing[TaskKey(job, 0, 0)] = CRASH_S
                await _submit(site, told, job, queue="urgent", work_s=4.0)
        await trio.sleep(100.0)
        await _check(site, told, set(bad))
        for task in site.executors.crashing:
            assert len(site.executors.starts(task)) <= 4


async def test_late_start_does_not_run_at_a_new_instance(autojump_clock: Clock) -> None:
    """An unanswered start is carried out 5 s later, by the instance that began meanwhile.

    The order names only the id, its deadline is far ahead on the new clock, and the new instance
    knows neither the acknowledged stop nor the highest run of the previous one.
    """
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=2, executors=3) as site:
        await site.wait_for_owner()
        for place in site.executors.by_id.values():
            place.lose_starts, place.late_s = 1, 5.0
        await _submit(site, told, "a", work_s=20.0)
        await trio.sleep(2.5)
        for name in sorted(site.executors.by_id):
            site.restart_executor(name, 0.4)
        await trio.sleep(40.0)
        await _check(site, told, set())
        assert len({event.run for event in site.executors.starts()}) >= 1


async def test_stop_of_a_late_start_is_repeated_at_a_new_instance(
    autojump_clock: Clock,
) -> None:
    """The start is in flight when it is stopped, and unanswered when its instance has ended.

    The stop must be sent to the new instance, although that has no lease yet.
    """
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=2, executors=2) as site:
        await site.wait_for_owner()
        place = site.executors.by_id["e0"]
        place.lose_starts, place.late_s = 1, 6.0
        site.executors.by_id["e1"].shed = 1
        await _submit(site, told, "a", count=2, accelerators=8, gang=True, work_s=20.0)
        await trio.sleep(0.2)
        ((task, run),) = place.floor.items()
        site.restart_executor("e0", 1.0)
        await trio.sleep(2.0)
        assert site.executors.by_id["e0"].floor.get(task, 0) >= run
        await trio.sleep(60.0)
        await _check(site, told, set())


async def test_end_is_acknowledged_once_no_start_of_its_task_can_be_late(
    autojump_clock: Clock,
) -> None:
    """The second send of a start ran to its end; the first one reaches the next instance.

    The end may be acknowledged only once no send can be late any more, while it is recorded and
    reported to callers at once.
    """
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=2, executors=1) as site:
        await site.wait_for_owner()
        place = site.executors.by_id["e0"]
        place.lose_starts, place.late_s = 1, 6.0
        await _submit(site, told, "a", work_s=1.0)
        while place.lose_starts:
            await trio.sleep(0.005)
        await trio.sleep(4.0)
        assert await site.find_status("a") is JobStatus.SUCCEEDED
        await trio.sleep(1.0)
        site.restart_executor("e0", 1.0)
        await trio.sleep(30.0)
        await _check(site, told, set())


async def test_every_end_is_acknowledged_in_time(autojump_clock: Clock) -> None:
    """Includes ends with a deferred acknowledgement, and those listed after them."""
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=2, executors=1) as site:
        await site.wait_for_owner()
        place = site.executors.by_id["e0"]
        place.lose_starts, place.late_s = 1, 6.0
        for job in ("a", "b", "c"):
            await _submit(site, told, job, work_s=1.0)
        await trio.sleep(MAX_ORDER_DELAY_S + 2.0)
        await _check(site, told, set())
        ends = {(e.instance, e.number) for e in site.executors.events if e.what == "done"}
        assert len(ends) == 3
        assert ends <= site.executors.taken_note


async def test_task_at_an_unresponsive_executor_waits_for_its_late_start(
    autojump_clock: Clock,
) -> None:
    """The executor is down for 8 s, beyond its lease, and the start is carried out after 10 s."""
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=2, executors=1) as site:
        await site.wait_for_owner()
        site.add_executor("e1", "r1")
        place = site.executors.by_id["e0"]
        site.executors.by_id["e1"].is_sick = True
        place.lose_starts, place.late_s = 1, 10.0
        await _submit(site, told, "a", work_s=20.0)
        await trio.sleep(0.2)
        site.executors.by_id["e1"].is_sick = False
        site.restart_executor("e0", 8.0)
        await trio.sleep(60.0)
        await _check(site, told, set())


async def test_an_executor_is_used_only_as_the_instance_of_its_entry(
    autojump_clock: Clock,
) -> None:
    """It reports before its entry is written; then its entry reverts to the previous instance."""
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await site.wait_for_owner()
        await _submit(site, told, "a", work_s=30.0)
        await trio.sleep(1.0)
        before = site.store.items["executors/e0"].value
        site.said_after_s = 4.0
        site.restart_executor("e0", 1.0)
        await trio.sleep(4.5)
        assert len(site.executors.starts()) == 1, "its entry is still that of the previous instance"
        await trio.sleep(2.0)
        assert len(site.executors.starts()) == 2
        site.store.put("executors/e0", before)
        await _submit(site, told, "b", work_s=1.0)
        await trio.sleep(3.0)
        assert not site.executors.starts(TaskKey("b", 0, 0)), "its entry is of an earlier instance"
        site.store.put("executors/e0", before.replace(b'"born"', b'"other"'))
        await trio.sleep(3.0)
        assert not site.executors.starts(TaskKey("b", 0, 0)), "its entry names no instance"
        site.say("e0")
        await trio.sleep(40.0)
        await _check(site, told, set())


async def test_entry_of_another_instance_is_trusted_only_once_that_instance_answers(
    autojump_clock: Clock,
) -> None:
    """A forged entry with a later start time ends no runs."""
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        await site.wait_for_owner()
        await _submit(site, told, "a", count=4, work_s=8.0)
        await trio.sleep(1.0)
        for name in ("e0", "e1"):
            said = site.store.items[f"executors/{name}"].value
            born = str(site.executors.by_id[name].executor.born).encode()
            site.store.put(f"executors/{name}", said.replace(born, str(10**13).encode()))
        await trio.sleep(10.0)
        await _check(site, told, set())
        assert len(site.executors.starts()) == 4
        assert told["a"].shown is JobStatus.SUCCEEDED


async def test_new_owner_distinguishes_instances(autojump_clock: Clock) -> None:
    """Executors start again at a takeover, before or after the new owner reads the state."""
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=3, executors=6) as site:
        owner = await site.wait_for_owner()
        await _submit(site, told, "a", count=24, work_s=3.0)
        await trio.sleep(3.5)
        site.kill_host(owner)
        for number in range(6):
            site.restart_executor(f"e{number}", 0.3 + 0.7 * number)
        await trio.sleep(40.0)
        await _check(site, told, set())
        assert told["a"].shown is JobStatus.SUCCEEDED


async def test_crash_is_counted_over_a_takeover_if_the_id_is_reused(autojump_clock: Clock) -> None:
    """Each owner is killed 0.3 s after a crash; the executor is back under its id 0.7 s later."""
    told: dict[str, Told] = {}
    task = TaskKey("bad", 0, 0)
    async with EmulatedSite.open(hosts=4, executors=8) as site:
        site.keeps_ids, site.back_after_s = True, 1.0
        await site.wait_for_owner()
        site.executors.crashing[task] = CRASH_S
        await _submit(site, told, "bad")
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


async def test_instance_at_another_address_is_probed_there(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its entry names the address, and nothing answers at the old one."""
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await site.wait_for_owner()
        await _submit(site, told, "a", work_s=10.0)
        await trio.sleep(1.0)
        hold = site.executors.hold

        async def hold_elsewhere(executor: Executor, order: HoldOrder) -> HoldOutcome:
            if executor.address == "e0":
                await trio.sleep(0.01)
                return NoAnswer("refused", unsent=True)
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


async def test_ticket_of_one_instance_is_not_used_for_another(autojump_clock: Clock) -> None:
    """Tickets are valid for 5 s; the executor is back under its id after 1 s."""
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        site.executors.approver = site.approver
        site.approver.healthy = {"e0"}
        await site.wait_for_owner()
        await _submit(site, told, "a", queue="approved", work_s=4.0)
        await trio.sleep(1.0)
        site.restart_executor("e0", 1.0)
        await trio.sleep(10.0)
        await _check(site, told, set())
        assert len(site.executors.starts()) == 2
        assert (
            len(
                {approval_request.instances for approval_request in site.approver.approval_requests}
            )
            == 2
        )


async def test_an_instance_is_recorded_before_anything_starts_there(
    autojump_clock: Clock,
) -> None:
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await _report_ends_then_restart(site, told)
        await _submit(site, told, "after", work_s=5.0)
        await trio.sleep(1.0)
        used = decode_used(site.store.items["used/0"].value)
        assert isinstance(used, dict)
        assert used["e0"].born == site.executors.by_id["e0"].executor.born
        assert site.executors.starts()[-1].instance == site.executors.by_id["e0"].executor.instance


def test_executors_in_use_of_an_earlier_version_have_no_start_time() -> None:
    assert decode_used(b'{"e0":["a:1","pool",null]}') == {"e0": UsedExecutor("a:1", "pool")}


@pytest.mark.parametrize("keeps_ids", [False, True])
async def test_crashing_jobs_and_a_killed_owner(keeps_ids: bool, autojump_clock: Clock) -> None:
    """One job in ten crashes its executors; the owner is killed 7 s after the first crash."""
    told: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=3, executors=12, racks=3) as site:
        site.keeps_ids = keeps_ids
        await site.wait_for_owner()
        bad = {"j3", "j13"}
        site.executors.crashing = {TaskKey(job, 0, 0): CRASH_S for job in bad}
        for number in range(20):
            await _submit(site, told, f"j{number}", count=2, work_s=3.0)
            await trio.sleep(0.5)
            if number == 17:
                site.kill_host(site.owner_name() or "")
        await trio.sleep(90.0)
        await _check(site, told, bad)
        assert all(len(site.executors.starts(task)) <= 4 for task in site.executors.crashing)


async def test_capacities_that_shrink_under_a_burst(autojump_clock: Clock) -> None:
    """A quarter of the executors shrink to 0.55 of their capacity, which they do not check."""
    told: dict[str, Told] = {}
    smaller = Resources(*(int(amount * 0.55) for amount in CAPACITY))
    async with EmulatedSite.open(hosts=2, executors=8) as site:
        await site.wait_for_owner()
        spans = []
        for place in site.executors.by_id.values():
            place.guards = False
        for number in range(24):
            await _submit(site, told, f"j{number}", count=4, accelerators=2, work_s=2.0)
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


async def test_acknowledgements_are_not_carried_over_to_a_new_instance(
    autojump_clock: Clock,
) -> None:
    """The hold with the acknowledgement is answered by a new instance, which has other ends."""
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await site.wait_for_owner()
        await trio.sleep(1.0)
        owner = site.hosts["h0"].owner
        assert owner is not None
        watch = ExecutorWatch(owner.cell, owner.cell.executors["e0"], owner.depose)
        watch.state.processed_end = watch.state.recorded_end = 5
        report = Report(100, (), (), born=watch.state.instance.born + 1)
        await watch._handle_report(report, HoldOrder(1, 5, None, 0.0), trio.current_time())
        assert owner.cell.executors["e0"] is watch.state
        assert (watch.state.processed_end, watch.state.recorded_end, watch.state.acknowledged) == (
            0,
            0,
            0,
        )


async def test_runs_of_an_instance_without_an_entry_are_not_dropped(autojump_clock: Clock) -> None:
    """A new instance without an entry reports a run of an unknown job.

    Its state must not be dropped at its first report, or its runs would be started elsewhere as
    well.
    """
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await site.wait_for_owner()
        await _submit(site, {}, "a", work_s=30.0)
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
