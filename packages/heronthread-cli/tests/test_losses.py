import json

from heronthread_cli.day import describe_day
from heronthread_cli.losses import (
    FAILED,
    LATE,
    REFUSED,
    UNFINISHED,
    Loss,
    count_causes,
    list_losses,
)


def _line(at: float, kind: str, **fields: object) -> str:
    return json.dumps({"message_type": kind, "host": "h", "timestamp": 100 + at, **fields})


def _accept(at: float, job: str, outcome: str = "Taken", **fields: object) -> str:
    return _line(at, "job.accept", job=job, queue="q", outcome=outcome, took_s=0.0, **fields)


def _known(at: float, job: str) -> str:
    return _line(at, "job.known", job=job, priority=0, chain_s=2.0, stretch=1.5, target_s=0.5)


def _start(at: float, job: str, run: int, waited_s: float) -> str:
    return _line(
        at, "start.decided", job=job, step=0, tasks=[0, 1], run=run, executors=["a", "b"],
        waited_s=waited_s, accelerators=1,
    )  # fmt: skip


def _end(at: float, job: str, run: int, why: str, index: int = 0) -> str:
    return _line(at, "attempt.closed", job=job, step=0, index=index, run=run, why=why)


def _losses(*lines: str) -> list[Loss]:
    return describe_day([[_line(0.0, "process.started"), *lines]]).losses


def test_a_request_that_was_never_taken_tells_the_last_answer() -> None:
    (loss,) = _losses(
        _accept(1.0, "a", "NotTaken", store_answers=True),
        _accept(2.0, "a", "NotTaken", store_answers=False),
    )
    assert (loss.at, loss.outcome, loss.took_s) == (1.0, REFUSED, None)
    assert loss.cause == "NotTaken (store silent or refusing)"


def test_a_late_request_is_laid_to_what_took_the_most_time_beside_its_work() -> None:
    (loss,) = _losses(
        _accept(1.0, "a"),
        _known(1.0, "a"),
        _start(1.5, "a", 1, 0.5),
        _line(3.5, "stop.decided", job="a", step=0, index=0, run=1, reason="too slow here"),
        _end(4.0, "a", 1, "stopped"),
        _start(4.2, "a", 2, 3.2),
        _end(6.2, "a", 2, "done"),
        _line(6.3, "job.ended", job="a", status="succeeded"),
    )
    assert (loss.outcome, loss.took_s, loss.objective_s) == (LATE, 5.3, 3.5)
    assert (loss.cause, loss.cause_s) == ("run lost: too slow here", 2.5)


def test_a_request_is_not_late_if_its_work_just_took_longer_than_estimated() -> None:
    assert not _losses(
        _accept(1.0, "a"),
        _known(1.0, "a"),
        _start(1.0, "a", 1, 0.0),
        _end(9.0, "a", 1, "done"),
        _line(9.0, "job.ended", job="a", status="succeeded"),
    )


def test_a_request_that_never_started_is_not_finished() -> None:
    (loss,) = _losses(_accept(1.0, "a"), _known(1.0, "a"), _line(9.0, "process.stopped"))
    assert (loss.outcome, loss.cause, loss.cause_s) == (
        UNFINISHED,
        "waiting for its first start",
        8.0,
    )


def test_cancelled_requests_are_no_losses_and_failed_ones_are() -> None:
    losses = _losses(
        _accept(1.0, "a"),
        _line(2.0, "job.cancel", job="a", outcome="Taken"),
        _accept(1.0, "b"),
        _line(3.0, "job.ended", job="b", status="failed"),
    )
    assert [(loss.request, loss.outcome) for loss in losses] == [("b", FAILED)]
    assert count_causes(losses) == {"failed: its tasks failed too often": 1}


def test_a_run_slower_than_others_of_its_step_is_told() -> None:
    (loss,) = _losses(
        _accept(1.0, "a"),
        _known(1.0, "a"),
        _start(1.0, "a", 1, 0.0),
        _line(3.0, "attempt.closed", job="a", step=0, index=1, run=1, why="done", best_rate=50.0),
        _end(9.0, "a", 1, "done"),
        _line(9.0, "job.ended", job="a", status="succeeded"),
    )
    assert (loss.outcome, loss.objective_s) == (LATE, 3.5)
    assert (loss.cause, loss.cause_s) == ("running slower than its step can", 6.0)


def test_a_request_whose_lines_are_missing_is_not_known() -> None:
    """A busy host's pipe lost lines: jobs that had ended were called unfinished."""
    accepted = {"job": "ab", "queue": "q", "outcome": "Taken", "took_s": 0.0}
    log = [
        {"timestamp": 1.0, "message_type": "job.accept", **accepted},
        {"timestamp": 9.0, "message_type": "job.ended", "job": "other", "status": "succeeded"},
    ]
    (loss,) = list_losses(log)
    assert (loss.outcome, loss.cause) == ("not known", "lines are missing")
    known = {"timestamp": 1.1, "message_type": "job.known", "job": "ab", "priority": 1}
    (loss,) = list_losses([log[0], known, log[1]])
    assert loss.outcome == "not finished"
    dropped = {"timestamp": 5.0, "message_type": "log.dropped", "lines": 3, "kinds": {"x": 3}}
    (loss,) = list_losses([log[0], known, dropped, log[1]])
    assert loss.outcome == "not known"
