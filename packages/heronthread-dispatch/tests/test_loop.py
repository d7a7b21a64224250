"""How late a process is told to be, and when it says so."""

import pytest
from heronthread_coordination import Measure
from heronthread_dispatch import loop
from heronthread_dispatch.loop import BEHIND_S, LOGGED_S, LoopWatch
from heronthread_dispatch.statistics import Statistics


def _watch(readings: list[float], period_s: float = 0.4) -> LoopWatch:
    watch = LoopWatch(Statistics())
    for number, late_s in enumerate(readings):
        watch.note(number * period_s, late_s)
    return watch


def test_a_process_that_is_late_for_a_while_is_behind() -> None:
    assert _watch([BEHIND_S * 1.2] * 10).is_behind
    assert not _watch([BEHIND_S * 0.8] * 10).is_behind


def test_one_late_turn_is_not_being_behind() -> None:
    assert not _watch([0.0] * 14 + [BEHIND_S * 7]).is_behind
    assert not _watch([1.0] * 3).is_behind


def test_what_was_long_ago_counts_no_more() -> None:
    assert not _watch([1.0] * 10 + [0.0] * 8).is_behind


def test_lateness_is_in_the_figures() -> None:
    statistics = Statistics()
    LoopWatch(statistics).note(0.0, 0.04)
    assert 'heronthread_lateness_ms{tenant="",queue="",quantile="0.99"} 40' in statistics.render({})
    assert Measure.LATENESS.value == "lateness"


def test_a_late_loop_is_logged_now_and_then(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[dict[str, object]] = []
    monkeypatch.setattr(loop, "log_event", lambda kind, **fields: lines.append(fields))
    _watch([0.0, LOGGED_S, 2 * LOGGED_S, 0.0, 0.0, 0.0] + [0.0] * 10)
    assert [line["worst_s"] for line in lines] == [LOGGED_S, 2 * LOGGED_S]
