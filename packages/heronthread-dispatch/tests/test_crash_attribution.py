"""Attribution of a crash from the runs on the executor and from concurrent failures."""

from heronthread_dispatch.crashes import ActiveRun, attribute_crash
from heronthread_dispatch.model import ExecutorInstance, TaskKey
from heronthread_dispatch.record import Blame, JobStatus, ProgressRecord, StepProgress
from heronthread_dispatch.step_state import MAX_CRASHES, TaskState

BAD, GOOD, OTHER = TaskKey("bad", 0, 0), TaskKey("good", 0, 0), TaskKey("other", 0, 0)


def _run(task: TaskKey, age_s: float, *, seen: bool = True, works: bool = False) -> ActiveRun:
    return ActiveRun(task, 1, age_s, seen, works)


def test_only_recent_start_is_blamed() -> None:
    runs = [_run(GOOD, 0.8), _run(BAD, 0.014, seen=False), _run(OTHER, 7.0)]
    assert attribute_crash(runs, is_isolated=True) == {BAD: Blame.BLAMED}


def test_recent_starts_of_two_jobs_are_both_suspected() -> None:
    runs = [_run(GOOD, 0.1), _run(BAD, 0.014)]
    assert attribute_crash(runs, is_isolated=True) == {GOOD: Blame.SUSPECTED, BAD: Blame.SUSPECTED}


def test_recent_start_of_a_proven_task_is_cleared() -> None:
    runs = [_run(GOOD, 0.1, works=True), _run(BAD, 0.014)]
    assert attribute_crash(runs, is_isolated=True) == {BAD: Blame.BLAMED}


def test_proven_task_is_only_suspected() -> None:
    assert attribute_crash([_run(GOOD, 0.1, works=True)], is_isolated=True) == {
        GOOD: Blame.SUSPECTED
    }


def test_members_of_one_job_are_blamed_together() -> None:
    other_member = BAD._replace(member=1)
    assert attribute_crash([_run(BAD, 0.01), _run(other_member, 0.01)], is_isolated=True) == {
        BAD: Blame.BLAMED,
        other_member: Blame.BLAMED,
    }


def test_correlated_failures_leave_no_certain_blame() -> None:
    assert attribute_crash([_run(GOOD, 0.1)], is_isolated=False) == {GOOD: Blame.SUSPECTED}
    assert attribute_crash([_run(GOOD, 3.0)], is_isolated=False) == {}


def test_long_runs_of_several_jobs_are_cleared() -> None:
    assert attribute_crash([_run(GOOD, 3.0), _run(OTHER, 4.0)], is_isolated=True) == {}


def test_only_job_is_suspected_unless_long_running() -> None:
    assert attribute_crash([_run(GOOD, 3.0)], is_isolated=True) == {GOOD: Blame.SUSPECTED}
    assert attribute_crash([_run(GOOD, 30.0)], is_isolated=True) == {}


def test_unreported_run_counts_as_recent_for_a_late_owner() -> None:
    """The owner's own delay makes the run look 2 s old."""
    runs = [_run(GOOD, 9.0), _run(BAD, 2.0, seen=False)]
    assert attribute_crash(runs, is_isolated=True) == {BAD: Blame.BLAMED}


def test_no_runs_blame_no_task() -> None:
    assert attribute_crash([], is_isolated=True) == {}


def test_task_is_given_up_at_its_second_blame_or_fourth_crash() -> None:
    task = TaskState(0)
    task.set_blame("e0", Blame.BLAMED)
    task.set_blame("e0", Blame.BLAMED)
    assert not task.is_given_up
    task.set_blame("e1", Blame.BLAMED)
    assert task.is_given_up
    task.set_blame("e1", None)
    for number in range(1, MAX_CRASHES):
        assert not task.is_given_up
        task.set_blame(f"e{number}", Blame.SUSPECTED)
    assert task.is_given_up


def test_crashes_survive_encoding() -> None:
    steps = [StepProgress(), StepProgress(crashes={3: {ExecutorInstance("e0", 7): Blame.BLAMED}})]
    record = ProgressRecord(JobStatus.RUNNING, steps)
    assert ProgressRecord.decode(record.encode()) == record


def test_a_record_of_an_earlier_version_names_no_crashes() -> None:
    data = b'{"status":"running","steps":[["0",{},{}]]}'
    assert ProgressRecord.decode(data).steps == [StepProgress()]


def test_crashes_noted_by_an_earlier_version_are_of_lives_without_a_start() -> None:
    data = b'{"status":"running","steps":[["0",{},{}]],"crashes":[{"3":{"e0":"suspected"}}]}'
    found = ProgressRecord.decode(data).steps[0].crashes
    assert found == {3: {ExecutorInstance("e0"): Blame.SUSPECTED}}
