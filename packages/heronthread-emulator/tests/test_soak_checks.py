"""Each promise of a soak, kept and broken in histories made by hand."""

import pytest
from heronthread_dispatch.model import ExecutorInstance, Resources, TaskKey
from heronthread_dispatch.record import JobStatus
from heronthread_emulator.checker import Told
from heronthread_emulator.executors import Event, WorkSpec
from heronthread_emulator.soak_checks import check_soak
from heronthread_emulator.soak_history import Disruption, SoakHistory
from heronthread_emulator.soak_plan import PlannedJob

JOB = "00000000000000aa"
TASK = TaskKey(JOB, 0, 0)
WORK = WorkSpec(Resources(1, 1, 0), 1.0)


def make_history(*events, **more):
    job = PlannedJob(JOB, 0.0, "ordinary", "first", 1, WORK, False, 1, None, None)
    told = Told(job.to_record(0.0), taken=True, shown=JobStatus.SUCCEEDED)
    history = SoakHistory(list(events), told={JOB: told}, mended_at=90.0, ended_at=100.0)
    for name, value in more.items():
        setattr(history, name, value)
    return history


def start(at, run=1, executor="e0", token=1):
    return Event(at, "start", TASK, run, executor, token)


def end(at, what="done", run=1, executor="e0", number=1):
    return Event(at, what, TASK, run, executor, 0, number)


def call(kind, sent, status, took_s=0.1, **more):
    line = {"job": JOB, "call": kind, "to": "h0", "sent": sent, "took_s": took_s}
    line |= {"timestamp": sent + took_s, "status": status, "state": None, "unsent": False}
    return {**line, "reason": "", **more}


def find_broken(history):
    return sorted({violation.promise for violation in check_soak(history)})


def make_cancelled(*events, **more):
    history = make_history(*events, calls=[call("DELETE", 9.9, 200)], **more)
    history.told[JOB].cancelled = True
    history.told[JOB].shown = JobStatus.CANCELLED
    return history


def test_good_run_breaks_nothing():
    assert find_broken(make_history(start(1.0), end(2.0))) == []


def test_two_runs_at_once():
    late = make_history(start(1.0), start(2.0, 2, "e1"), end(3.0), end(4.0, "done", 2, "e1"))
    late.late.add(("e0", TASK, 1))
    assert find_broken(late) == ["runs at most once at a time"]


def test_done_work_that_runs_again():
    events = [start(1.0), end(2.0), start(3.0, 2, "e1"), end(4.0, "done", 2, "e1")]
    assert find_broken(make_history(*events, taken_note={(ExecutorInstance("e0"), 1)})) == [
        "done work is not run again"
    ]


@pytest.mark.parametrize(
    ("lapsed_at", "is_broken"),
    [(None, True), (2.2, False), (2.8, True)],
    ids=["no lapse", "lapse before it was noted", "lapse after it was noted"],
)
def test_done_work_runs_again_only_if_its_executor_lapsed_before_the_end_was_noted(
    lapsed_at, is_broken
):
    events = [start(1.0), end(2.0), start(3.0, 2, "e1"), end(4.0, "done", 2, "e1")]
    noted = (ExecutorInstance("e0"), 1)
    lapses = [] if lapsed_at is None else [(ExecutorInstance("e0"), lapsed_at)]
    history = make_history(*events, taken_note={noted}, noted_at={noted: 2.5}, lapses=lapses)
    assert find_broken(history) == (["done work is not run again"] if is_broken else [])


@pytest.mark.parametrize(
    ("lapsed_at", "is_broken"),
    [(None, True), (2.2, False), (2.8, True)],
    ids=["no lapse", "lapse before it was noted", "lapse after it was noted"],
)
def test_failed_run_counts_unless_its_executor_lapsed_before_the_end_was_noted(
    lapsed_at, is_broken
):
    limit = make_history().told[JOB].record.spec.queue.max_attempts
    events, noted_at = [], {}
    for run in range(1, limit + 1):
        at, executor = 2.0 * run, f"e{run}"
        events += [start(at - 1.0, run, executor), end(at, "failed", run, executor)]
        noted_at[ExecutorInstance(executor), 1] = at + 0.5
    events += [start(2.0 * limit + 1.0, limit + 1, "e0"), end(2.0 * limit + 1.2, run=limit + 1)]
    lapses = [] if lapsed_at is None else [(ExecutorInstance("e1"), lapsed_at)]
    history = make_history(*events, taken_note=set(noted_at), noted_at=noted_at, lapses=lapses)
    assert find_broken(history) == (["attempts are bounded"] if is_broken else [])


def test_deposed_owner_is_obeyed():
    events = [start(1.0, token=2), end(2.0, "stopped"), start(3.0, 2, token=1), end(4.0, run=2)]
    assert find_broken(make_history(*events)) == ["a deposed owner starts nothing"]


def test_refused_work_that_runs():
    history = make_history(start(1.0), end(2.0))
    history.told[JOB].taken, history.told[JOB].refused = False, True
    assert find_broken(history) == ["not taken means never run"]


def test_taken_work_that_is_lost():
    history = make_history()
    history.told[JOB].shown = JobStatus.PENDING
    assert find_broken(history) == ["taken work is done"]


def test_cancelled_work_that_runs_on():
    assert find_broken(make_cancelled(start(9.0), end(13.0, "stopped"))) == []
    assert find_broken(make_cancelled(start(9.0), end(15.0, "stopped"))) == ["cancelled work ends"]


def test_cancelled_work_that_runs_on_beside_a_disruption():
    fault = Disruption("fault", 11.0, 12.0)
    history = make_cancelled(start(9.0), end(16.0, "stopped"), disruptions=[fault])
    assert find_broken(history) == []
    history = make_cancelled(start(9.0), end(20.0, "stopped"), disruptions=[fault])
    assert find_broken(history) == ["cancelled work ends"]


def test_cancelled_work_that_is_started():
    events = [start(14.0), end(15.0, "stopped")]
    assert find_broken(make_cancelled(*events)) == ["cancelled work is not started"]
    late = make_cancelled(*events)
    late.late.add(("e0", TASK, 1))
    assert find_broken(late) == []
    late.events[1] = end(19.0, "stopped")
    assert find_broken(late) == ["cancelled work ends"]


def test_work_for_a_leaving_executor():
    assert find_broken(make_history(start(12.0), end(13.0), draining={"e0": 10.0})) == []
    history = make_history(start(13.0), end(14.0), draining={"e0": 10.0})
    assert find_broken(history) == ["leaving executors get no work"]


def test_gang_in_part():
    events = [start(1.0), end(4.0, "alone"), start(5.0, 2), end(6.0, run=2, number=2)]
    assert find_broken(make_history(*events)) == ["gangs run whole"]
    fault = Disruption("fault", 2.0, 3.0)
    assert find_broken(make_history(*events, disruptions=[fault])) == []


def probe(sent, version, status=200, to="h0"):
    return {"to": to, "version": version, "status": status, "sent": sent, "timestamp": sent + 0.1}


@pytest.mark.parametrize("found", [probe(13.0, 1), probe(13.0, 2, 404)])
def test_old_configuration_in_use(found):
    history = make_history(start(1.0), end(2.0), versions={1: 0.0, 2: 10.0}, probes=[found])
    assert find_broken(history) == ["the newest configuration is in use"]
    history.disruptions = [Disruption("fault", 9.0, 10.0)]
    assert find_broken(history) == []


def test_configuration_may_take_a_while():
    probes = [probe(11.0, 1), probe(11.0, 2, 404), probe(20.0, 2), probe(20.0, 1, 404)]
    history = make_history(start(1.0), end(2.0), versions={1: 0.0, 2: 10.0}, probes=probes)
    assert find_broken(history) == []


def test_configuration_that_reverts():
    probes = [probe(10.5, 2), probe(11.0, 1)]
    history = make_history(start(1.0), end(2.0), versions={1: 0.0, 2: 10.0}, probes=probes)
    assert find_broken(history) == ["a configuration does not revert"]
    history.host_starts = {"h0": [1.0, 10.8]}
    assert find_broken(history) == []


def test_foreign_answers():
    history = make_history(start(1.0), end(2.0), foreign=[{"status": 200, "timestamp": 91.0}])
    assert find_broken(history) == ["answers belong to their callers"]
    calls = [call("GET", 91.0, 200)]
    assert find_broken(make_history(start(1.0), end(2.0), calls=calls)) == [
        "answers belong to their callers"
    ]


def test_taken_work_that_is_not_known():
    calls = [call("POST", 5.0, 200), call("GET", 9.0, 410)]
    assert find_broken(make_history(start(1.0), end(2.0), calls=calls)) == [
        "taken work stays known"
    ]


def test_requests_that_a_planned_stop_interrupts():
    calls = [call("POST", 10.5, None, 0.9, reason="closed")]
    history = make_history(start(1.0), end(2.0), calls=calls, stops=[("h0", 10.0)])
    assert find_broken(history) == ["planned stops interrupt nothing"]
    history.stops = [("h1", 10.0)]
    assert find_broken(history) == []


def test_recovery_that_takes_too_long():
    calls = [call("POST", 110.0, 200)]
    history = make_history(start(1.0), end(2.0), calls=calls, ended_at=120.0)
    assert find_broken(history) == ["recovery is bounded"]
    assert find_broken(make_history(start(1.0), end(2.0), ended_at=120.0)) == [
        "recovery is bounded"
    ]


def test_lateness_of_the_soak_itself_widens_bounds():
    history = make_cancelled(start(9.0), end(15.0, "stopped"), late_s=1.0)
    assert find_broken(history) == []


def test_task_that_crashes_executors_is_started_twice_after_three_crashes():
    def crash(at, run):
        return [start(at, run, f"e{run}"), end(at + 0.1, "gone", run, f"e{run}")]

    five = [event for run in range(1, 6) for event in crash(5.0 * run, run)]
    history = make_history(*five, crashing={TASK: 0.1})
    history.told[JOB].shown = JobStatus.FAILED
    assert find_broken(history) == []
    history = make_history(*five, *crash(30.0, 6), crashing={TASK: 0.1})
    history.told[JOB].shown = JobStatus.FAILED
    assert find_broken(history) == ["crashes are bounded"]


def test_job_is_not_given_up_for_one_crash():
    history = make_history(start(1.0), end(2.0, "gone"))
    history.told[JOB].shown = JobStatus.FAILED
    assert find_broken(history) == ["failed only for cause"]


def test_start_over_a_room_that_shrank_long_ago():
    events = [start(1.0), end(2.0)]
    early = make_history(*events, resized=[("e0", 10.0)], overfull=[("e0", 12.0)])
    assert find_broken(early) == []
    late = make_history(*events, resized=[("e0", 10.0)], overfull=[("e0", 20.0)])
    assert find_broken(late) == ["no start goes over a room"]
    late.disruptions.append(Disruption("store_silent 1", 14.0, 19.0))
    assert find_broken(late) == []
