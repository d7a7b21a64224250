import json

import pytest
from heronthread_cli.commands import Heronthread
from heronthread_cli.day import DEPOSED, FIRST, KILLED, PLANNED, describe_day
from heronthread_cli.exits import BadInput


def _line(at: float, host: str, kind: str, **fields: object) -> str:
    return json.dumps({"message_type": kind, "host": host, "timestamp": 100 + at, **fields})


def _start(at: float, term: int, executor: str = "e0", **fields: object) -> str:
    more = {"job": "a", "step": 0, "tasks": [0], "run": term, "executors": [executor]}
    return _line(at, "h", "start.decided", **(more | {"accelerators": 4, "term": term} | fields))


def test_takeovers_are_told_apart_by_the_last_words_of_the_owner_before() -> None:
    log = [
        _line(0.0, "h1", "owner.taken", term=1),
        _line(0.1, "h1", "owner.ready", term=1),
        _line(5.0, "h1", "attempt.closed"),
        _line(7.5, "h2", "owner.taken", term=2),
        _line(7.6, "h2", "owner.ready", term=2),
        _start(8.0, 2),
        _line(9.0, "h2", "process.stopping"),
        _line(9.2, "h3", "owner.taken", term=3),
        _line(9.5, "h2", "process.stopped"),
        _line(12.0, "h3", "owner.deposed"),
        _line(13.0, "h1", "owner.taken", term=4),
    ]
    found = describe_day([log]).takeovers
    assert [takeover.loss for takeover in found] == [FIRST, KILLED, PLANNED, DEPOSED]
    assert [takeover.taken_s for takeover in found] == [0.0, 2.5, 0.2, 1.0]
    assert [takeover.ready_s for takeover in found] == [0.1, 2.6, None, None]
    assert [takeover.start_s for takeover in found] == [None, 3.0, None, None]


def test_outages_end_or_are_still_there() -> None:
    log = [
        _line(0.0, "h1", "store.lost"),
        _line(1.0, "h2", "store.lost"),
        _line(4.0, "h1", "store.regained"),
    ]
    found = describe_day([log]).outages
    assert [(outage.host, outage.seconds) for outage in found] == [("h1", 4.0), ("h2", None)]


def test_use_of_racks_is_a_mean_over_time() -> None:
    log = [
        _line(0.0, "h", "executor.found", executor="e0", rack="r0", accelerators=8),
        _line(0.0, "h", "executor.found", executor="e1", rack="r1", accelerators=8),
        _start(0.0, 1),
        _line(5.0, "h", "attempt.closed", job="a", step=0, index=0, run=1, executor="e0"),
        _start(5.0, 2, "e1", accelerators=8),
        _line(10.0, "h", "attempt.closed", job="a", step=0, index=0, run=2, executor="e1"),
    ]
    racks = describe_day([log]).racks
    assert [(r.rack, r.accelerators, r.mean_used, r.mean_split) for r in racks] == [
        ("r0", 8, 2.0, 2.0),
        ("r1", 8, 4.0, 0.0),
    ]


def test_run_whose_end_nobody_told_ends_with_the_next_start_of_its_task() -> None:
    log = [
        _line(0.0, "h", "executor.found", executor="e0", rack="r0", accelerators=8),
        _line(0.0, "h", "executor.found", executor="e1", rack="r1", accelerators=8),
        _start(0.0, 1),
        _start(5.0, 2, "e1"),
        _line(10.0, "h", "attempt.closed", job="a", step=0, index=0, run=2, executor="e1"),
    ]
    racks = describe_day([log]).racks
    assert [(r.rack, r.mean_used) for r in racks] == [("r0", 2.0), ("r1", 2.0)]


def test_waiting_is_summed_up_by_queue() -> None:
    log = [_line(0.0, "h", "job.accept", job="a", queue="q", outcome="Taken")]
    log += [_start(1.0 + n, 1, waited_s=float(n)) for n in range(3)]
    day = describe_day([log])
    assert [(row.queue, row.starts, row.worst_s) for row in day.waiting] == [("q", 3, 2.0)]
    assert day.answers == {"job.accept: Taken": 1}


def test_command_prints_tables_and_json(
    tmp_path: object, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "log"  # type: ignore[operator]
    path.write_text("12.5 h1 " + _line(0.0, "h1", "owner.taken", term=1) + "\nnot a line\n")
    Heronthread().day(str(path))
    assert "first owner" in capsys.readouterr().out
    Heronthread().day(str(path), json=True)
    assert json.loads(capsys.readouterr().out)["takeovers"][0]["term"] == 1
    path.write_text("nothing\n")
    with pytest.raises(BadInput):
        Heronthread().day(str(path))
