from dataclasses import replace
from typing import Any

import pytest
import trio
from heronthread_dispatch.approval import Approvals, NoApprover
from heronthread_dispatch.fleet import ExecutorState, WorkRefusal
from heronthread_dispatch.keystore import CommitOutcome, Transaction
from heronthread_dispatch.log_writer import WHOLE_BYTES, LogWriter
from heronthread_dispatch.model import ApprovalTerms, JobSpec, Queue, Resources, StepSpec, TaskKey
from heronthread_dispatch.orders import Orders
from heronthread_dispatch.owner import Owner
from heronthread_dispatch.peer_messages import Operation, PeerReply
from heronthread_dispatch.planner import Planner
from heronthread_dispatch.progress import JobState, make_job
from heronthread_dispatch.record import MALFORMED
from heronthread_dispatch.recorder import PROGRESS_PREFIX
from heronthread_dispatch.stalls import JobStall
from heronthread_dispatch.step_state import Attempt, Phase
from heronthread_dispatch.wait_causes import WaitCause
from heronthread_emulator import EmulatedSite, captured_events
from heronthread_emulator.store import StoreView

from benchmarks.planning import DESIRED, NOW, QUEUES, RACK, make_executors

Clock = trio.testing.MockClock
URGENT_QUEUE, GANGS_QUEUE, BATCH_QUEUE = QUEUES


async def test_stalled_job_reports_its_cause(autojump_clock: Clock) -> None:
    """The job's run may continue on an executor partitioned as the owner is killed."""
    async with EmulatedSite.open(hosts=3) as site:
        owner = await site.wait_for_owner()
        other = next(host for name, host in site.hosts.items() if name != owner)
        await other.requests.accept(site.make_job("a", work_s=30.0), 2.0)
        await trio.sleep(1.0)
        silent = site.executors.starts()[0].executor
        with captured_events() as events:
            site.executors.by_id[silent].is_cut = True
            site.kill_host(owner)
            await trio.sleep(6.0)
        reports = [event for event in events if event["message_type"] == "job.stands"]
        assert reports, "three of four executors are free"
        assert reports[0]["cause"] == "an earlier owner's run may be at a silent executor"
        assert reports[0]["silent"] == [silent]
        assert reports[0]["refusals"] == {WorkRefusal.NOT_HEARD.value: 1}
        assert reports[0]["fits"] >= 1


async def test_refusing_executors_are_counted_by_reason(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1) as site:
        host = site.hosts[await site.wait_for_owner()]
        await trio.sleep(0.5)
        for name in ("e0", "e1"):
            site.drain_executor(name, 30.0)
        for name in ("e2", "e3"):
            site.store.put(f"executors/{name}", b"{}")
        await trio.sleep(0.5)
        with captured_events() as events:
            await host.requests.accept(site.make_job("a"), 2.0)
            await trio.sleep(2.0)
        report = next(event for event in events if event["message_type"] == "job.stands")
        assert report["cause"] == "executors with room take no work"
        assert report["refusals"] == {
            WorkRefusal.LEAVING.value: 2,
            WorkRefusal.SET_ASIDE.value: 2,
        }
        assert "heronthread_jobs_standing 1" in host.render_statistics()


async def test_job_in_a_full_pool_is_not_stalled(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        host = site.hosts[await site.wait_for_owner()]
        with captured_events() as events:
            await host.requests.accept(site.make_job("a", accelerators=8, work_s=9.0), 2.0)
            await host.requests.accept(site.make_job("b", accelerators=8), 2.0)
            await trio.sleep(5.0)
        assert not [event for event in events if event["message_type"] == "job.stands"]


async def test_job_without_recorded_executors_reports_the_store_outage(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=1) as site:
        host = site.hosts[await site.wait_for_owner()]
        await trio.sleep(1.0)
        assert host.owner is not None
        site.store.is_down = True
        host.owner.apply_job(site.make_job("a"))
        with captured_events() as events:
            await trio.sleep(4.0)
        reports = [event for event in events if event["message_type"] == "job.stands"]
        assert reports[-1]["cause"] == "the store is away and names no executor with room"


def _make_job(name: str, queue: Queue = BATCH_QUEUE, count: int = 1, **more: Any) -> JobState:
    """Return a job whose tasks need a whole executor each."""
    step = StepSpec(count, Resources(1_000, 1_000, 8), 2.0, **more)
    job = make_job(JobSpec(name, queue, "t", "", (step,), NOW - 1.0), NOW)
    job.steps[0].ready_at = NOW - 1.0
    return job


def _run(job: JobState, states: list[ExecutorState]) -> JobState:
    """Run a job's tasks, one on each executor."""
    step = job.steps[0]
    for task, state in zip(step.tasks, states, strict=True):
        attempt = Attempt(
            job.key_of(step, task), 1, state.instance, step.spec.need, NOW, Phase.RUNNING
        )
        task.attempt = attempt
        state.occupy(attempt)
    return job


def _find_cause(
    states: list[ExecutorState], *jobs: JobState, **more: Any
) -> tuple[WaitCause, list[str]]:
    """Return why the last job waits after a plan, and the jobs that the plan starts."""
    key = TaskKey(jobs[-1].spec.id, 0, 0)
    planner = Planner(jobs, states, DESIRED, NOW, NOW, **more)
    planner.steps_to_explain = (key,)
    plan = planner.make()
    return planner.causes[key], [group[0].job.spec.id for group in plan.groups]


def test_planned_start_is_due() -> None:
    assert _find_cause(make_executors(2), _make_job("a")) == (WaitCause.DUE, ["a"])


def test_capacity_reserved_for_a_gang() -> None:
    """Five of eight executors are busy, and a gang that needs six reserves the rest."""
    states = make_executors(8)
    busy = _run(_make_job("busy", count=5), states[:5])
    gang = _make_job("gang", GANGS_QUEUE, count=6, gang=True)
    cause, started = _find_cause(states, busy, gang, _make_job("small"))
    assert (cause, started) == (WaitCause.RESERVED, [])


def test_capacity_kept_as_headroom() -> None:
    cause, started = _find_cause(make_executors(2), _make_job("a"), urgent_peaks={"pool": 100})
    assert (cause, started) == (WaitCause.DUE, ["a"]), "headroom is limited to a part of the pool"
    states = make_executors(3)
    busy = _run(_make_job("busy", count=2), states[:2])
    cause, started = _find_cause(states, busy, _make_job("a"), urgent_peaks={"pool": 100})
    assert (cause, started) == (WaitCause.HEADROOM, [])


def test_capacity_allocated_to_others() -> None:
    urgent = _make_job("urgent", URGENT_QUEUE)
    cause, started = _find_cause(make_executors(1), urgent, _make_job("a"))
    assert (cause, started) == (WaitCause.ALLOCATED_TO_OTHERS, ["urgent"])


def test_gang_that_fits_no_rack() -> None:
    states = make_executors(2 * RACK)
    busy = _run(_make_job("busy", count=2), [states[0], states[RACK]])
    gang = _make_job("gang", GANGS_QUEUE, count=RACK, gang=True, same_rack=True)
    assert _find_cause(states, busy, gang) == (WaitCause.RACK, [])


def test_task_that_waits_for_its_data_rack() -> None:
    states = make_executors(RACK + 1)
    busy = _run(_make_job("busy", count=RACK), states[:RACK])
    near = _make_job("near", data_rack="r0")
    assert _find_cause(states, busy, near) == (WaitCause.RACK, [])


@pytest.mark.parametrize("gang", [False, True])
def test_task_that_failed_on_all_free_executors(gang: bool) -> None:
    states = make_executors(2)
    job = _make_job("a", GANGS_QUEUE, count=2, gang=gang)
    for task in job.steps[0].tasks:
        task.avoid = {state.id: NOW + 1.0 for state in states}
    assert _find_cause(states, job) == (WaitCause.AVOIDED, [])


@pytest.mark.parametrize("gang", [False, True])
def test_spread_limit_reached(gang: bool) -> None:
    """An orphaned run of the step is still on the only executor."""
    states = make_executors(1)
    job = _make_job("a", GANGS_QUEUE, gang=gang, spread_limit=1)
    small = Resources(1_000, 1_000, 0)
    job.steps[0].spec = replace(job.steps[0].spec, need=small, count=1)
    key = TaskKey("a", 0, 0)
    states[0].occupy_orphan(Attempt(key, 1, states[0].instance, small, NOW, Phase.STOPPING))
    assert _find_cause(states, job) == (WaitCause.SPREAD, [])


def test_no_executor_is_approved() -> None:
    queue = replace(BATCH_QUEUE, name="approved", approval=ApprovalTerms(0.2, 0.01, 5.0))
    approvals = Approvals(NoApprover(), lambda: None)
    found = _find_cause(make_executors(1), _make_job("a", queue), approvals=approvals)
    assert found == (WaitCause.APPROVAL, [])


def test_best_effort_task_beside_serving_tasks() -> None:
    states = make_executors(1)
    serving = _make_job("serving", lasting=True, target_s=0.1)
    filling = _make_job("filling", lasting=True, fills=True)
    for job in (serving, filling):
        job.steps[0].spec = replace(job.steps[0].spec, need=Resources(1_000, 1_000, 0))
    _run(serving, states)
    assert _find_cause(states, serving, filling) == (WaitCause.COLOCATION, [])


def test_no_recorded_executor_has_capacity() -> None:
    found = _find_cause(make_executors(1), _make_job("a"), can_write_store=False)
    assert found == (WaitCause.NO_RECORDED_EXECUTOR, [])


def test_only_requested_steps_are_explained() -> None:
    jobs = [_make_job("a", URGENT_QUEUE), _make_job("b"), _make_job("c")]
    planner = Planner(jobs, make_executors(1), DESIRED, NOW, NOW)
    planner.steps_to_explain = (TaskKey("c", 0, 0),)
    planner.make()
    assert planner.causes == {TaskKey("c", 0, 0): WaitCause.ALLOCATED_TO_OTHERS}


async def _collect_reports(
    site: EmulatedSite, seconds: float, job: str = "a"
) -> list[dict[str, Any]]:
    """Submit a job and return the stall reports logged for it within some seconds."""
    host = site.hosts["h0"]
    with captured_events() as events:
        await host.requests.accept(site.make_job(job), 2.0)
        await trio.sleep(seconds)
    reports = [e for e in events if e["message_type"] == "job.stands" and e["job"] == job]
    assert reports, "capacity is free, so the job is stalled"
    return reports


async def test_plan_that_does_not_reach_the_step(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with EmulatedSite.open(hosts=1) as site:
        await site.wait_for_owner()

        async def plan_for_long(owner: Owner) -> float:
            await trio.sleep(30.0)
            return 0.5

        monkeypatch.setattr(Owner, "_plan", plan_for_long)
        await trio.sleep(1.0)
        reports = await _collect_reports(site, 3.0)
        assert {line["cause"] for line in reports} == {"no plan has got to it of late"}


async def test_due_start_that_is_not_sent(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with EmulatedSite.open(hosts=1) as site:
        await site.wait_for_owner()
        await trio.sleep(1.0)
        monkeypatch.setattr(Orders, "start_group", lambda orders, group: None)
        reports = await _collect_reports(site, 3.0)
        assert {line["cause"] for line in reports} == {"its start is due"}


def test_withheld_job_is_not_planned() -> None:
    planner = Planner(
        [_make_job("a")], make_executors(1), DESIRED, NOW, NOW, may_run=lambda _: True
    )
    planner.steps_to_explain = (TaskKey("a", 0, 0),)
    assert planner.make().groups == []
    assert planner.causes == {}


async def test_start_that_waits_for_its_record(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The store takes 1.8 s to record the executors of jobs."""
    async with EmulatedSite.open(hosts=1) as site:
        await site.wait_for_owner()
        await trio.sleep(1.0)
        commit = StoreView.commit

        async def commit_slowly(view: StoreView, transaction: Transaction) -> CommitOutcome:
            if any(put.key.startswith(PROGRESS_PREFIX) for put in transaction.puts):
                await trio.sleep(1.8)
            return await commit(view, transaction)

        monkeypatch.setattr(StoreView, "commit", commit_slowly)
        reports = await _collect_reports(site, 2.0)
        assert (
            reports[0]["cause"]
            == "its start waits for its executors to be looked at and named in the store"
        )
        assert reports[0]["runs"][0][2:4] == ["starting", ""]


async def test_reserved_capacity_is_reported_as_the_cause(autojump_clock: Clock) -> None:
    """A gang that needs all four executors reserves the three that are free."""
    async with EmulatedSite.open(hosts=1, racks=1) as site:
        await site.wait_for_owner()
        accept = site.hosts["h0"].requests.accept
        await accept(site.make_job("long", count=3, accelerators=8, work_s=30.0), 2.0)
        await trio.sleep(1.0)
        gang = site.make_job("gang", count=4, accelerators=8, gang=True)
        await accept(gang, 2.0)
        reports = await _collect_reports(site, 2.5)
        assert {line["cause"] for line in reports} == {"room is kept for a gang that waits"}


async def _stall_job(site: EmulatedSite, job: str = "a") -> str:
    """Stall a job on an unresponsive executor after a takeover; return a host but the owner."""
    first = await site.wait_for_owner()
    other = next(host for name, host in site.hosts.items() if name != first)
    await other.requests.accept(site.make_job(job, work_s=60.0), 2.0)
    await trio.sleep(1.0)
    silent = site.executors.starts(TaskKey(job, 0, 0))[0].executor
    site.executors.by_id[silent].is_cut = True
    site.kill_host(first)
    owner = await site.wait_for_owner()
    await trio.sleep(1.7)
    return next(name for name in site.hosts if name != owner)


async def test_any_queried_host_reports_why_a_job_is_stalled(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        name = await _stall_job(site)
        owner = site.owner_name()
        with captured_events() as events:
            for _ in range(30):
                await site.hosts[name].requests.find_job("a")
                await trio.sleep(0.1)
        reports = [e for e in events if e["message_type"] == "job.stands" and "told_by" in e]
        assert len(reports) == 2, "one report per 2 s"
        assert {(line["job"], line["told_by"]) for line in reports} == {("a", owner)}
        assert reports[0]["cause"] == "an earlier owner's run may be at a silent executor"
        assert 1.0 <= reports[0]["for_s"] <= reports[0]["term_age_s"] < reports[1]["for_s"]


async def test_host_limits_reports_per_interval(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1) as site:
        await site.wait_for_owner()
        stalls = site.hosts["h0"].stalls
        stall = JobStall("cause", 1.0, 1, 1.0)
        with captured_events() as events:
            for number in range(1_000):
                stalls.report(f"j{number}", stall, "h1")
        assert len([e for e in events if e["message_type"] == "job.stands"]) == 16


async def test_stall_duration_spans_owners(autojump_clock: Clock) -> None:
    """The second owner knows the duration reported by the first one."""
    async with EmulatedSite.open(hosts=3) as site:
        name = await _stall_job(site)
        await site.hosts[name].requests.find_job("a")
        owner = site.owner_name()
        assert owner is not None
        with captured_events() as events:
            site.kill_host(owner)
            await trio.sleep(0.1)
            assert await site.wait_for_owner() == name, "the only remaining host"
            await trio.sleep(2.0)
        report = next(e for e in events if e["message_type"] == "job.stands")
        assert report["for_s"] < 2.0 < report["known_for_s"]
        assert report["known_for_s"] < report["accepted_ago_s"]
        assert report["term_age_s"] < 2.5
        assert report["silences"][0]["executor"] == report["silent"][0]
        assert 0.0 < report["silences"][0]["holds_for_s"] < 7.5


async def test_host_reports_that_no_owner_can_be_queried(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        first = await site.wait_for_owner()
        other = next(host for name, host in site.hosts.items() if name != first)
        await other.requests.accept(site.make_job("a", work_s=60.0), 2.0)
        await trio.sleep(1.0)
        site.kill_host(first)
        with captured_events() as events:
            await other.requests.find_job("a")
            await other.requests.find_job("unknown")
        reports = [e for e in events if e["message_type"] == "job.unowned"]
        assert [(e["job"], e["owner"], e["stored"]) for e in reports] == [("a", first, "running")]
        assert "refused" in reports[0]["reason"]


ENCODED_STALL = JobStall("cause", 1.0, 2, 3.0).encode()


@pytest.mark.parametrize(
    "stall",
    [
        7,
        [],
        "text",
        {},
        *(ENCODED_STALL | change for change in ({"cause": 1}, {"for_s": -1.0}, {"for_s": "1"})),
        *(ENCODED_STALL | change for change in ({"term": 10**30}, {"term_age_s": float("nan")})),
    ],
)
def test_malformed_stall_is_rejected(stall: Any) -> None:
    assert JobStall.decode(ENCODED_STALL) == JobStall("cause", 1.0, 2, 3.0)
    with pytest.raises(MALFORMED):
        JobStall.decode(stall)


async def test_stall_log_line_fits_into_an_atomic_pipe_write(autojump_clock: Clock) -> None:
    """All ids have 36 characters."""
    job, lines = "j" * 36, LogWriter()
    async with EmulatedSite.open(hosts=1, executors=0) as site:
        for number in range(20):
            site.add_executor(f"{number:036}", "r0")
        host = site.hosts[await site.wait_for_owner()]
        await trio.sleep(1.0)
        record = site.make_job(job, count=20, accelerators=8, work_s=60.0)
        await host.requests.accept(record, 2.0)
        await trio.sleep(1.0)
        for number in range(20):
            site.executors.by_id[f"{number:036}"].is_cut = True
        site.add_executor("free", "r0")
        with captured_events() as events:
            await trio.sleep(5.0)
        reports = [e for e in events if e["message_type"] == "job.stands"]
        assert len(reports[-1]["runs"]) == len(reports[-1]["silences"]) == 8
        lines(reports[-1])
        assert b'"cut"' not in lines.waiting[-1]
        assert len(lines.waiting[-1]) < WHOLE_BYTES


async def test_owner_reports_the_executors_it_waits_for(autojump_clock: Clock) -> None:
    """A partitioned executor with a run loses its entry before a takeover."""
    async with EmulatedSite.open(hosts=2) as site:
        first = await site.wait_for_owner()
        other = next(host for name, host in site.hosts.items() if name != first)
        await other.requests.accept(site.make_job("a", work_s=60.0), 2.0)
        await trio.sleep(1.0)
        silent = site.executors.starts(TaskKey("a", 0, 0))[0].executor
        site.executors.by_id[silent].is_cut = True
        site.store.remove(f"executors/{silent}")
        await trio.sleep(0.5)
        with captured_events() as events:
            site.kill_host(first)
            await trio.sleep(0.1)
            await site.wait_for_owner()
            await trio.sleep(9.0)
        lines = {e["message_type"]: e for e in events if e["message_type"].startswith("owner.")}
        loaded, ready = lines["owner.loaded"], lines["owner.ready"]
        assert [row["executor"] for row in loaded["unlisted"]] == [silent]
        assert loaded["term_age_s"] < 1.0 < 7.0 < ready["term_age_s"]
        reports = [e for e in events if e["message_type"] == "owner.waits"]
        assert 3 <= len(reports) <= 4, "one report per 2 s of 7.5 s, after the first 2 s"
        assert {line["silent"] for line in reports} == {1}
        row = reports[1]["silences"][0]
        assert (row["executor"], row["listed"]) == (silent, False)
        assert row["silent_s"] < reports[1]["waited_s"] <= reports[1]["term_age_s"]
        assert row["holds_for_s"] < reports[0]["silences"][0]["holds_for_s"] < 7.5


async def test_owner_that_reaches_all_executors_reports_no_wait(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        first = await site.wait_for_owner()
        await trio.sleep(1.0)
        with captured_events() as events:
            site.kill_host(first)
            await trio.sleep(0.1)
            await site.wait_for_owner()
            await trio.sleep(5.0)
        kinds = {event["message_type"] for event in events}
        assert "owner.ready" in kinds
        assert "owner.waits" not in kinds


async def test_job_withheld_from_the_last_plan_is_reported(autojump_clock: Clock) -> None:
    """No plan has been made since the job ceased to be withheld."""
    async with EmulatedSite.open(hosts=3) as site:
        await _stall_job(site)
        host = site.hosts[await site.wait_for_owner()]
        await trio.sleep(1.0)
        assert host.owner is not None
        silent = host.owner.cell.silent()
        assert len(silent) == 1
        silent[0].dead = True
        host.owner.stall_monitor.check(trio.current_time())
        stall = host.owner.stall_monitor.find_stall("a")
        assert stall is not None
        assert stall.cause == "it was withheld as the last plan was made"


async def test_job_story_and_gauges_show_a_stalled_job(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        name = await _stall_job(site)
        owner = await site.wait_for_owner()
        reply = await site.hosts[name].ask_peer(owner, Operation.JOB_STORY, {"job": "a"})
        assert isinstance(reply, PeerReply)
        assert reply.body["why"].startswith("nothing of it has run for 1.")
        assert reply.body["why"].endswith("an earlier owner's run may be at a silent executor")
        figures = dict(
            line.split() for line in site.hosts[owner].render_statistics().splitlines() if line
        )
        assert figures["heronthread_jobs_standing"] == "1"
        stood_s = float(figures["heronthread_longest_stand_s"])
        assert 1.0 < stood_s < float(figures["heronthread_term_age_s"]) < 2.5


async def test_unresponsive_executors_of_the_job_are_listed_first(autojump_clock: Clock) -> None:
    """Of thirteen unresponsive executors the last one by name holds the job."""
    async with EmulatedSite.open(hosts=2, executors=12) as site:
        first = await site.wait_for_owner()
        other = next(host for name, host in site.hosts.items() if name != first)
        await trio.sleep(1.0)
        for number in range(12):
            site.drain_executor(f"e{number}", 60.0)
        site.add_executor("x", "r0")
        site.add_executor("y", "r0")
        await trio.sleep(0.5)
        await other.requests.accept(site.make_job("a", count=8, work_s=60.0), 2.0)
        await trio.sleep(1.0)
        (at,) = {start.executor for start in site.executors.starts()}
        for name in site.executors.by_id.keys() - {"x", "y"} | {at}:
            site.executors.by_id[name].is_cut = True
        with captured_events() as events:
            site.kill_host(first)
            await trio.sleep(0.1)
            await site.wait_for_owner()
            await trio.sleep(3.0)
        reports = [event for event in events if event["message_type"] == "job.stands"]
        assert len(reports[0]["silences"]) == 8
        assert reports[0]["silences"][0]["executor"] == at
        assert reports[0]["silences"][1]["executor"] == "e0"
