import json

from heronthread_dispatch.model import ExecutorInstance, TaskKey
from heronthread_dispatch.record import JobStatus
from heronthread_emulator.soak_history import SOAK_LOG, read_history
from heronthread_emulator.soak_plan import plan_jobs

JOBS = plan_jobs(1, 2, 10.0)
JOB = JOBS[0].id


def write(path, *lines):
    path.write_text("".join(json.dumps(line) + "\n" for line in lines))


def line(kind, at, **fields):
    return {"timestamp": at, "message_type": kind, "host": "x", **fields}


def make_call(kind, status, **more):
    fields = {"job": JOB, "call": kind, "to": "h0", "sent": 5.0, "took_s": 0.5, "status": status}
    return line("caller.call", 5.5, **fields, **{"state": None, "unsent": False, **more})


def read(folder, *calls, others=(), soak=()):
    write(folder / "soak_callers.log", *calls)
    write(folder / "executor_server.log", *others)
    write(folder / SOAK_LOG, *soak)
    return read_history(folder, JOBS, 100.0)


def test_callers_are_told(tmp_path):
    told = read(tmp_path, make_call("POST", 503)).told[JOB]
    assert (told.taken, told.refused, told.unsettled) == (False, True, False)
    told = read(tmp_path, make_call("POST", None), make_call("POST", 200)).told[JOB]
    assert (told.taken, told.refused, told.unsettled) == (True, False, True)
    told = read(tmp_path, make_call("POST", None, unsent=True)).told[JOB]
    assert (told.taken, told.refused, told.unsettled) == (False, False, False)


def test_state_is_the_one_shown_last(tmp_path):
    calls = [make_call("GET", 200, state="running"), make_call("GET", 200, state="succeeded")]
    told = read(tmp_path, *calls).told[JOB]
    assert (told.shown, told.succeeded_at) == (JobStatus.SUCCEEDED, 5.5)
    assert read(tmp_path, calls[0]).told[JOB].succeeded_at is None


def test_doubt_about_a_cancelling_excuses_a_job(tmp_path):
    history = read(tmp_path, make_call("DELETE", None))
    assert history.told[JOB].cancelled
    assert history.find_cancelled_at(JOB) is None
    history = read(tmp_path, make_call("DELETE", 200))
    assert history.find_cancelled_at(JOB) == 5.5
    assert not read(tmp_path, make_call("DELETE", 503)).told[JOB].cancelled


def test_executors_lines_become_events(tmp_path):
    fields = {"job": JOB, "step": 0, "index": 2, "occurrence": 1, "run": 7, "executor": "e0"}
    started = line("executor.start", 6.0, **fields, token=3, number=0, late=True)
    others = [started, line("executor.noted", 7.0, executor="e0", number=1)]
    others += [line("executor.lapse", 8.0, executor="e0"), line("loop.late", 9.0, worst_s=0.2)]
    history = read(tmp_path, others=others)
    task = TaskKey(JOB, 0, 2, 1)
    (event,) = history.events
    assert (event.at, event.what, event.task, event.run, event.token) == (6.0, "start", task, 7, 3)
    assert history.late == {("e0", task, 7)}
    assert history.taken_note == {(ExecutorInstance("e0"), 1)}
    assert history.lapses == [(ExecutorInstance("e0"), 8.0)]
    assert history.late_s == 0.2


def test_calm_is_where_no_disruption_is_near(tmp_path):
    soak = [
        line("fault.began", 10.0, fault="kill_owner", number=1),
        line("fault.ended", 12.0, fault="kill_owner", number=1),
        line("fault.began", 50.0, fault="stop_any", number=2),
        line("fault.began", 80.0, fault="store_silent", number=3),
    ]
    history = read(tmp_path, soak=soak)
    assert history.is_calm(1.0, 9.9)
    assert not history.is_calm(1.0, 10.0)
    assert not history.is_calm(14.9, 20.0)
    assert history.is_calm(15.1, 79.0)
    assert not history.is_calm(200.0, 201.0)


def test_crashes_and_rooms_become_history(tmp_path):
    fields = {"job": JOB, "step": 0, "index": 0, "occurrence": 0, "run": 7, "executor": "e0"}
    others = [
        line("executor.crashing", 5.0, executor="", job=JOB, after_s=0.1),
        line("executor.gone", 6.0, **fields, token=3, number=0, late=False),
        line("executor.resized", 7.0, executor="e1", capacity=[1, 1, 1]),
        line("executor.overfull", 8.0, executor="e1"),
    ]
    history = read(tmp_path, others=others)
    assert history.crashing == {TaskKey(JOB, 0, 0): 0.1}
    assert (history.resized, history.overfull) == ([("e1", 7.0)], [("e1", 8.0)])
    assert not history.is_calm(6.5, 7.0)
    assert history.is_calm(20.0, 21.0)


def test_lines_of_places_are_kept_for_the_check_of_standing_jobs(tmp_path):
    noted = line("executor.noted", 7.0, executor="e0", born=3, number=1)
    others = [line("executor.over", 6.0, executor="e0", born=3, is_down=True), noted]
    history = read(tmp_path, make_call("POST", 200), make_call("DELETE", None), others=others)
    assert [place["message_type"] for place in history.places] == ["executor.over"]
    assert history.noted_at == {(ExecutorInstance("e0", 3), 1): 7.0}
    assert (history.find_taken_at(JOB), history.find_first(JOB, "DELETE")) == (5.5, 5.0)
    assert history.events == []
