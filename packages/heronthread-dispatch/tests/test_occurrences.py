"""Jobs of many occurrences and of wide steps cost what is under way, not what is declared."""

import gc
import json
from dataclasses import replace

import pytest
import trio
from heronthread_dispatch import planner as planner_module
from heronthread_dispatch.candidates import MAX_TASKS_PER_PLAN, CandidateFinder
from heronthread_dispatch.executor_link import EndedRun, EndKind, RunningRun
from heronthread_dispatch.executor_watch import ExecutorWatch
from heronthread_dispatch.model import JobSpec, Resources, Schedule, StepSpec, TaskKey
from heronthread_dispatch.occurrences import Occurrences
from heronthread_dispatch.overview import MAX_TASK_ROWS, describe_job
from heronthread_dispatch.planner import WORK_PER_CHECK, Planner
from heronthread_dispatch.progress import MAX_WHOLE_RECORD_OCCURRENCES, JobState, make_job
from heronthread_dispatch.record import JobStatus, ProgressRecord, decode_progress
from heronthread_dispatch.recorder import progress_key
from heronthread_dispatch.step_state import MAX_TASKS_PLANNED, Attempt
from heronthread_dispatch.turns import TURN_S, Turns
from heronthread_emulator import EmulatedSite, Told, check_promises

from benchmarks.planning import DESIRED, NOW, QUEUES, make_executors

Clock = trio.testing.MockClock
WEEK = Schedule(10_080, NOW + 3600.0, 60.0)
BACKLOG = replace(WEEK, first_at=NOW - 3600.0, interval_s=0.0)
STEP = StepSpec(4, Resources(500, 256, 0), 1.0)
STATES = ("StepState", "TaskState")


def _make_spec(schedule: Schedule | None, *steps: StepSpec, name: str = "a") -> JobSpec:
    return JobSpec(name, QUEUES[2], "t0", "", steps or (STEP,), NOW - 5.0, schedule)


def _count_states() -> int:
    gc.collect()
    return sum(type(found).__name__ in STATES for found in gc.get_objects())


def _list_open(job: JobState) -> list[int]:
    return sorted({step.occurrence for step in job.steps})


def _start(job: JobState, key: TaskKey) -> None:
    task = job.task(key)
    assert task is not None
    instance = make_executors(1)[0].instance
    task.attempt = Attempt(key, 1, instance, STEP.need, NOW)


def _finish(job: JobState, occurrence: int) -> None:
    """End all tasks of a one-step occurrence as done."""
    for index in range(job.spec.steps[0].count):
        task = job.task(TaskKey(job.spec.id, 0, index, occurrence))
        assert task is not None
        task.attempt, task.done = None, True


def test_a_job_holds_no_states_for_occurrences_that_are_not_due() -> None:
    """Guards against hosts exceeding their memory by jobs of many later occurrences."""
    before = _count_states()
    job = make_job(_make_spec(WEEK), NOW)
    planner = Planner([job], make_executors(4), DESIRED, NOW, NOW)
    assert not planner.make().groups
    assert len(job.to_record().encode()) < 500
    assert _count_states() - before < 10


def test_states_of_done_occurrences_are_dropped() -> None:
    job = make_job(_make_spec(replace(WEEK, count=500, first_at=NOW, interval_s=0.0)), NOW)
    executors = make_executors(4)
    for _ in range(500):
        Planner([job], executors, DESIRED, NOW, NOW).make()
        held = _list_open(job)
        assert len(held) * STEP.count <= MAX_TASKS_PLANNED
        if not held:
            break
        _finish(job, held[0])
    assert job.is_done and not job.steps
    assert len(job.to_record().encode()) < 500


@pytest.mark.parametrize(
    "spec",
    [
        _make_spec(BACKLOG),
        _make_spec(None, replace(STEP, count=40_000)),
        _make_spec(BACKLOG, STEP, replace(STEP, after=(0,))),
    ],
    ids=["occurrences", "wide", "chain"],
)
def test_work_that_is_due_at_once_is_planned_in_parts(spec: JobSpec) -> None:
    """Guards against the event loop being held, and memory exceeded, by a large backlog."""
    job, executors = make_job(spec, NOW), make_executors(200)
    before, started = _count_states(), set[TaskKey]()
    for number in range(3):
        plan = Planner([job], executors, DESIRED, NOW, NOW).make()
        starts = [start for group in plan.groups for start in group]
        assert MAX_TASKS_PLANNED // 2 <= len(starts) <= MAX_TASKS_PLANNED
        assert plan.replan_in_s == 0.0
        for start in starts:
            key = job.key_of(start.step, start.task)
            assert key not in started
            started.add(key)
            start.task.attempt = Attempt(key, 1, start.executor.instance, STEP.need, NOW)
            start.executor.occupy(start.task.attempt)
        assert _count_states() - before <= 6 * MAX_TASKS_PLANNED * (number + 1)
    assert {key.occurrence for key in started} == set(range(len({k.occurrence for k in started})))


def test_many_backlogs_share_what_a_plan_starts() -> None:
    """Guards against memory that grows by a whole part of each of many large jobs."""
    jobs = [make_job(_make_spec(BACKLOG, name=f"{n:016x}"), NOW) for n in range(512)]
    planner = Planner(jobs, make_executors(4), DESIRED, NOW, NOW)
    planner.make()
    assert sum(step.spec.count for job in jobs for step in job.steps) <= MAX_TASKS_PER_PLAN
    assert all(job.steps for job in jobs)


def test_withheld_tasks_do_not_keep_later_ones_from_starting() -> None:
    """Guards against a job standing because its first tasks may run at a lost executor."""
    job = make_job(_make_spec(None, replace(STEP, count=10_000)), NOW)
    planner = Planner(
        [job],
        make_executors(4),
        DESIRED,
        NOW,
        NOW,
        may_run=lambda key: key.member < 2 * MAX_TASKS_PLANNED,
    )
    started = [start.task.index for group in planner.make().groups for start in group]
    assert started and min(started) == 2 * MAX_TASKS_PLANNED


def test_jobs_are_collected_in_turns(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the lease not being renewed while a plan looks at thousands of jobs."""
    specs = [_make_spec(None, name=f"{number:016x}") for number in range(300)]
    jobs = [make_job(spec, NOW) for spec in specs]
    visited: list[int] = []
    clock = [0.0]

    def visit(self: CandidateFinder, job: JobState) -> list[object]:
        clock[0] += TURN_S / 4
        visited[-1] += 1
        return original(self, job)

    original = CandidateFinder.list_candidates
    monkeypatch.setattr(CandidateFinder, "list_candidates", visit)
    monkeypatch.setattr(planner_module.trio, "current_time", lambda: clock[0])
    planner = Planner(jobs, make_executors(4), DESIRED, NOW, NOW)
    started = []
    while not planner.is_complete:
        visited.append(0)
        plan = planner.make(TURN_S)
        started += [start.job.spec.id for group in plan.groups for start in group]
    assert max(visited) <= WORK_PER_CHECK and sum(visited) == len(jobs)
    assert started


async def test_long_computations_take_turns(autojump_clock: Clock) -> None:
    with trio.CancelScope() as scope:
        turns = Turns()
        await turns.take()
        scope.cancel()
        await turns.take()
        await trio.sleep(0)
    assert scope.cancelled_caught


def test_late_reports_of_closed_occurrences_are_understood() -> None:
    job = make_job(_make_spec(replace(WEEK, first_at=NOW)), NOW)
    assert job.occurrences.open_next_due(NOW)
    key = TaskKey("a", 0, 1, 0)
    _start(job, key)
    _finish(job, 0)
    assert not job.steps
    task = job.task(key)
    assert task is not None and task.done and not task.is_open
    assert job.mask_of(key) == 0b10
    task.last_run = 7
    assert not job.steps and not job.is_done


def test_a_report_of_an_occurrence_that_is_not_due_opens_it() -> None:
    """Guards against forgetting a run that an owner with a faster clock has started."""
    job = make_job(_make_spec(WEEK), NOW)
    _start(job, TaskKey("a", 0, 2, 77))
    assert _list_open(job) == [77] and job.has_attempts
    assert job.occurrences.open_next_due(WEEK.due_at(0))[0].occurrence == 0
    _finish(job, 77)
    assert _list_open(job) == [0]
    assert job.to_record().done_occurrences == 1 << 77


def test_an_occurrence_stays_open_until_its_last_attempt_has_ended() -> None:
    job = make_job(_make_spec(replace(WEEK, first_at=NOW)), NOW)
    key = TaskKey("a", 0, 0, 0)
    _start(job, key)
    for index in range(STEP.count):
        task = job.task(key._replace(member=index))
        assert task is not None
        task.done = True
    assert _list_open(job) == [0] and job.attempts()
    _finish(job, 0)
    assert not job.steps


def _make_progress(spec: JobSpec) -> JobState:
    """Return a job of which two occurrences are done, and a third one in part."""
    job = make_job(spec, NOW)
    for number in (0, 2):
        _finish(job, number)
    for index in (0, 3):
        task = job.task(TaskKey("a", 0, index, 5))
        assert task is not None
        task.done = index == 3
        task.failed_runs, task.checkpoint = {4}, "c"
    return job


@pytest.mark.parametrize("is_sparse", [True, False])
def test_progress_is_restored_from_either_form(is_sparse: bool) -> None:
    job = _make_progress(_make_spec(WEEK))
    data = job.to_record(is_sparse=is_sparse).encode()
    assert (len(data) < 500) is is_sparse
    record = decode_progress(data)
    assert isinstance(record, ProgressRecord)
    restored = make_job(job.spec, NOW)
    assert restored.fits(record)
    restored.restore(record, 9)
    assert _list_open(restored) == [5]
    assert restored.to_record() == job.to_record()
    tasks = [restored.task(TaskKey("a", 0, index, 5)) for index in range(STEP.count)]
    assert [task.done for task in tasks if task] == [False, False, False, True]
    assert tasks[0] is not None and (tasks[0].failed_runs, tasks[0].checkpoint) == ({4}, "c")
    for number, is_done in ((0, True), (1, False), (2, True), (5, False)):
        assert record.is_done(TaskKey("a", 0, 0, number), 1) is is_done


def test_few_occurrences_are_recorded_as_earlier_versions_read_them() -> None:
    schedule = replace(WEEK, count=MAX_WHOLE_RECORD_OCCURRENCES)
    value = json.loads(_make_progress(_make_spec(schedule)).to_record().encode())
    assert len(value["steps"]) == MAX_WHOLE_RECORD_OCCURRENCES and "occurrences" not in value


@pytest.mark.parametrize(
    "change",
    [
        {"occurrences": [5, 5]},
        {"occurrences": [10_080]},
        {"occurrences": [-1]},
        {"occurrences": [5, 6]},
        {"done_occurrences": f"{1 << 10_080:x}"},
        {"steps": [["1f", {}, {}]]},
    ],
)
def test_a_sparse_record_of_another_job_does_not_fit(change: dict[str, object]) -> None:
    job = _make_progress(_make_spec(WEEK))
    value = json.loads(job.to_record().encode())
    record = decode_progress(json.dumps({**value, **change}).encode())
    assert not isinstance(record, ProgressRecord) or not make_job(job.spec, NOW).fits(record)


def test_a_description_of_a_job_is_bounded() -> None:
    job = make_job(_make_spec(BACKLOG, replace(STEP, count=4)), NOW)
    Planner([job], make_executors(4), DESIRED, NOW, NOW).make()
    described = describe_job(job)
    assert 0 < len(described["tasks"]) <= MAX_TASK_ROWS
    assert described["unlisted tasks"] + len(described["tasks"]) == job.count_tasks()


def test_occurrences_are_counted_without_being_held() -> None:
    occurrences = Occurrences(_make_spec(BACKLOG))
    assert occurrences.count_tasks() == 40_320
    assert not occurrences.steps and not occurrences.is_done


async def test_each_of_many_due_occurrences_runs_once_over_takeovers(
    autojump_clock: Clock,
) -> None:
    """Guards against running an occurrence twice or never, as states are opened and dropped."""
    async with EmulatedSite.open(hosts=3) as site:
        await site.wait_for_owner()
        due = trio.current_time() - 60.0
        record = site.make_job("a", work_s=0.3, schedule=Schedule(600, due, 0.05))
        small = site.make_job("b", queue="urgent", work_s=0.3)
        await site.hosts["h1"].requests.accept(record, 2.0)
        for number in range(3):
            await trio.sleep(2.0)
            owner = await site.wait_for_owner()
            states = site.hosts[owner].owner.cell.jobs["a"].steps  # type: ignore[union-attr]
            assert len(states) < 600
            site.kill_host(owner)
            site.start_host(owner)
            if number == 1:
                await site.wait_for_owner()
                await site.hosts[owner].requests.accept(small, 2.0)
        await trio.sleep(90.0)
        told = {
            name: Told(job, taken=True, shown=await site.find_status(name))
            for name, job in (("a", record), ("b", small))
        }
        assert {each.shown for each in told.values()} == {JobStatus.SUCCEEDED}
        assert {start.task.occurrence for start in site.executors.starts()} == set(range(600))
        assert check_promises(site.executors, told) == []
        progress = decode_progress(site.store.items[progress_key("a")].value)
        assert isinstance(progress, ProgressRecord)
        assert progress.done_occurrences == (1 << 600) - 1 and not progress.steps


async def test_a_cancelled_job_of_many_occurrences_ends(autojump_clock: Clock) -> None:
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        schedule = Schedule(10_080, trio.current_time(), 0.2)
        await site.hosts["h0"].requests.accept(site.make_job("a", schedule=schedule), 2.0)
        await trio.sleep(3.0)
        await site.hosts["h1"].requests.cancel("a", "first", 2.0)
        await trio.sleep(3.0)
        started = len(list(site.executors.starts()))
        assert await site.find_status("a") is JobStatus.CANCELLED
        await trio.sleep(10.0)
        assert started and len(list(site.executors.starts())) == started


async def test_records_are_whole_while_a_host_of_an_earlier_version_is_a_member(
    autojump_clock: Clock,
) -> None:
    """Guards against an owner of an earlier version setting the job aside during an upgrade."""
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        site.store.put("cell/0/host/old", b'{"host": "old", "address": "old:1"}')
        await trio.sleep(3.0)
        schedule = Schedule(40, trio.current_time(), 0.5)
        await site.hosts["h0"].requests.accept(site.make_job("a", schedule=schedule), 2.0)
        await trio.sleep(3.0)
        value = json.loads(site.store.items[progress_key("a")].value)
        assert len(value["steps"]) == 40 and "occurrences" not in value
        site.store.remove("cell/0/host/old")
        await trio.sleep(4.0)
        value = json.loads(site.store.items[progress_key("a")].value)
        assert "occurrences" in value


def test_ends_of_closed_occurrences_change_nothing() -> None:
    job = make_job(_make_spec(replace(WEEK, first_at=NOW)), NOW)
    _finish(job, 0)
    end = EndedRun(1, TaskKey("a", 0, 0, 0), 1, EndKind.FAILED, "")
    task = job.task(end.task)
    assert task is not None
    task.failed_runs.add(end.run)
    assert job.to_record().steps == []


async def test_a_late_run_of_a_closed_occurrence_is_stopped_once(autojump_clock: Clock) -> None:
    """Guards against adopting such a run again with each report, as no state is held for it."""
    async with EmulatedSite.open() as site:
        owner = site.hosts[await site.wait_for_owner()].owner
        assert owner is not None
        schedule = Schedule(20, trio.current_time(), 60.0)
        await site.hosts["h0"].requests.accept(site.make_job("a", schedule=schedule), 2.0)
        await trio.sleep(8.0)
        cell = owner.cell
        assert cell.jobs["a"].occurrences.is_closed(0)
        state = next(iter(cell.executors.values()))
        free = state.free
        key = TaskKey("a", 0, 0, 0)
        watch = ExecutorWatch(cell, state, owner.depose)
        for _ in range(3):
            watch._update_running(RunningRun(key, 9_999, "", 10.0), trio.current_time())
        assert list(state.orphans) == [(key, 9_999)] and key not in state.attempts
        assert state.free == free.minus(cell.jobs["a"].spec.steps[0].need)
        assert not cell.jobs["a"].attempts()
