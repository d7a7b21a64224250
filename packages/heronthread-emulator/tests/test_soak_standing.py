"""Jobs that stand beside free room, in histories of real processes made by hand."""

import pytest
from heronthread_dispatch.model import ExecutorInstance, Resources, Schedule, TaskKey
from heronthread_emulator.checker import Told
from heronthread_emulator.executors import Event, WorkSpec
from heronthread_emulator.soak_history import Disruption, SoakHistory
from heronthread_emulator.soak_plan import PlannedJob
from heronthread_emulator.soak_standing import check_standing
from heronthread_emulator.standing import PROMISE

JOB = "00000000000000aa"
TASK = TaskKey(JOB, 0, 0)
WORK = WorkSpec(Resources(1, 1, 1), 1.0)
SLACK_S = 0.5
LONG_S = 5.0
"""Longer than the bound and its slack by two looks."""


def line(kind, at, executor, **fields):
    return {"timestamp": at, "message_type": f"executor.{kind}", "executor": executor, **fields}


def begin(executor, place, at=0.0):
    more = {"born": 0, "place": place, "rack": "r0", "capacity": [64_000, 262_144, 8]}
    return [line("begun", at, executor, **more), line("written", at + 0.1, executor)]


def start(at, run=1, executor="e0-1"):
    return Event(at, "start", TASK, run, executor, 1)


def end(at, what="done", run=1, executor="e0-1", number=1):
    return Event(at, what, TASK, run, executor, 0, number)


def call(kind, sent, status=200, **more):
    fields = {"job": JOB, "call": kind, "sent": sent, "took_s": 0.1, "status": status}
    return {**fields, "state": None, **more}


def make_history(*events, taken_at=10.0, ended_at=10.0 + LONG_S, schedule=None, count=1, **more):
    """Two executors that could take work, and a job that is acknowledged."""
    job = PlannedJob(JOB, 0.0, "ordinary", "first", count, WORK, False, 1, None, schedule)
    told = Told(job.to_record(0.0), taken=True)
    history = SoakHistory(list(events), told={JOB: told}, ended_at=ended_at)
    history.places = [*begin("e0-1", 0), *begin("e1-1", 1)]
    history.calls = [call("POST", taken_at - 0.1)]
    for name, value in more.items():
        setattr(history, name, value)
    return history


def find_broken(history):
    return [violation.promise for violation in check_standing(history, SLACK_S)]


def test_job_that_nothing_starts_stands():
    assert find_broken(make_history()) == [PROMISE]


def test_bound_has_the_slack_of_all_bounds():
    assert find_broken(make_history(ended_at=13.3)) == []
    assert len(check_standing(make_history(), 2.0)) == 0


def test_job_that_runs_or_is_done_or_cancelled():
    assert find_broken(make_history(start(11.0))) == []
    assert find_broken(make_history(start(11.0), end(12.0))) == []
    cancelled = make_history()
    cancelled.calls.append(call("DELETE", 12.0, None))
    assert find_broken(cancelled) == []
    shown = make_history()
    shown.calls.append(call("GET", 12.0, state="failed"))
    assert find_broken(shown) == []


def test_run_that_went_with_its_executor_is_to_be_started_again():
    events = [start(9.0), end(10.5, "gone", number=0)]
    over = line("over", 10.5, "e0-1", born=0, is_down=False)
    history = make_history(*events, ended_at=17.0)
    history.places.append(over)
    assert find_broken(history) == [PROMISE]


def test_own_run_at_an_executor_that_answers_nobody():
    """It may go on for a holding time at most, and nowhere once its address answers again."""
    events = [start(9.0), end(10.5, "gone", number=0)]
    over = line("over", 10.5, "e0-1", born=0, is_down=True)
    history = make_history(*events, ended_at=20.0)
    history.places.append(over)
    assert find_broken(history) == []
    history.ended_at = 26.0
    assert find_broken(history) == [PROMISE]
    history.ended_at = 20.0
    history.places += begin("e0-2", 0, 13.0)
    assert find_broken(history) == [PROMISE]


def test_end_that_nobody_has_read_at_a_silent_executor():
    silence = line("silence", 10.0, "e0-1", place=0, is_silent=True)
    lapsed = [start(9.0), end(10.5, "lapsed")]
    history = make_history(*lapsed, ended_at=17.0)
    history.places.append(silence)
    assert find_broken(history) == []
    history.noted_at[ExecutorInstance("e0-1"), 1] = 10.6
    assert find_broken(history) == [PROMISE]


def test_start_that_a_silent_executor_did_not_answer():
    run = {"job": JOB, "step": 0, "index": 0, "occurrence": 0, "run": 1}
    history = make_history(ended_at=17.0)
    history.places.append(line("silence", 10.0, "e0-1", place=0, is_silent=True))
    assert find_broken(history) == [PROMISE]
    history.places.append(line("unanswered", 10.2, "e0-1", **run))
    assert find_broken(history) == []


def test_start_that_was_not_answered_until_a_stop_of_it_is():
    """The executor answers otherwise; the start may be carried out late as long as no stop is."""
    run = {"job": JOB, "step": 0, "index": 0, "occurrence": 0, "run": 1}
    history = make_history(ended_at=17.0)
    history.places.append(line("unanswered", 10.2, "e0-1", **run))
    assert find_broken(history) == []
    history.places.append(line("stop_answered", 10.5, "e0-1", **run))
    assert find_broken(history) == [PROMISE]


def test_start_that_was_not_answered_is_late_for_so_long_at_most():
    run = {"job": JOB, "step": 0, "index": 0, "occurrence": 0, "run": 1}
    history = make_history(ended_at=27.0)
    history.places.append(line("unanswered", 10.2, "e0-1", **run))
    assert find_broken(history) == [PROMISE]


def test_doubtful_task_excuses_itself_alone():
    """One of two has a start that was not answered; then so has the other."""
    run = {"job": JOB, "step": 0, "occurrence": 0, "run": 1}
    history = make_history(ended_at=17.0, count=2)
    history.places.append(line("unanswered", 10.2, "e0-1", **run, index=0))
    assert find_broken(history) == [PROMISE]
    history.places.append(line("unanswered", 10.3, "e1-1", **run, index=1))
    assert find_broken(history) == []


@pytest.mark.parametrize(("age_s", "broken"), [(0.3, []), (2.0, [PROMISE])])
def test_task_under_which_an_executor_crashed(age_s, broken):
    history = make_history(start(10.0), end(10.0 + age_s, "gone", number=0), ended_at=18.0)
    history.places.append(line("over", 10.0 + age_s, "e0-1", born=0, is_down=False))
    assert find_broken(history) == broken


def test_times_that_are_not_due():
    assert find_broken(make_history(schedule=Schedule(1, 13.0, 1.0))) == []
    assert find_broken(make_history(schedule=Schedule(1, 1.0, 1.0))) == [PROMISE]


@pytest.mark.parametrize(
    "away",
    [
        line("over", 9.0, "e1-1", born=0, is_down=False),
        line("silence", 9.0, "e1-1", place=1, is_silent=True),
        line("health", 9.0, "e1-1", fails_all=True),
        line("draining", 9.0, "e1-1"),
        line("vanished", 9.0, "e1-1"),
        line("overwritten", 9.0, "e1-1"),
        line("resized", 9.0, "e1-1", capacity=[64_000, 262_144, 7]),
    ],
)
def test_executors_that_could_not_take_it_are_no_room(away):
    """Eight tasks of one accelerator want sixteen: both executors whole."""
    history = make_history(count=8)
    assert find_broken(history) == [PROMISE]
    history.places.append(away)
    assert find_broken(history) == []


@pytest.mark.parametrize("fault", ["kill_owner 1", "store_slow 2", "executor_cut_over_takeover 3"])
def test_time_counts_only_while_an_owner_decides(fault):
    """Until what users' pages allow after a fault is over; other faults leave the owner alone."""
    history = make_history(disruptions=[Disruption(fault, 9.0, 11.0)])
    assert find_broken(history) == []
    history.ended_at = 20.0
    assert find_broken(history) == [PROMISE]


def test_faults_of_executors_leave_the_owner_alone():
    crash = Disruption("e0-1 crashed under job", 9.0, 30.0)
    faults = [Disruption("executor_cut_off 1", 9.0, 30.0), crash]
    assert find_broken(make_history(disruptions=faults)) == [PROMISE]
