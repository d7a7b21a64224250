"""Detection and logging of event loop lag."""

import pytest
from heronthread_coordination import Measure
from heronthread_dispatch import loop_lag
from heronthread_dispatch.loop_lag import LOG_THRESHOLD_S, OVERLOAD_LAG_S, LoopLagMonitor
from heronthread_dispatch.statistics import Statistics


def _watch(readings: list[float], period_s: float = 0.4) -> LoopLagMonitor:
    watch = LoopLagMonitor(Statistics())
    for number, late_s in enumerate(readings):
        watch.note(number * period_s, late_s)
    return watch


def test_a_process_that_lags_for_a_while_is_overloaded() -> None:
    assert _watch([OVERLOAD_LAG_S * 1.2] * 10).is_overloaded
    assert not _watch([OVERLOAD_LAG_S * 0.8] * 10).is_overloaded


def test_one_late_turn_is_no_overload() -> None:
    assert not _watch([0.0] * 14 + [OVERLOAD_LAG_S * 7]).is_overloaded
    assert not _watch([1.0] * 3).is_overloaded


def test_old_readings_do_not_count() -> None:
    assert not _watch([1.0] * 10 + [0.0] * 8).is_overloaded


def test_lag_is_in_the_metrics() -> None:
    statistics = Statistics()
    LoopLagMonitor(statistics).note(0.0, 0.04)
    assert 'heronthread_lateness_ms{tenant="",queue="",quantile="0.99"} 40' in statistics.render({})
    assert Measure.LATENESS.value == "lateness"


def test_a_late_loop_is_logged_at_a_limited_rate(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[dict[str, object]] = []
    monkeypatch.setattr(loop_lag, "log_event", lambda kind, **fields: lines.append(fields))
    _watch([0.0, LOG_THRESHOLD_S, 2 * LOG_THRESHOLD_S, 0.0, 0.0, 0.0] + [0.0] * 10)
    assert [line["worst_s"] for line in lines] == [LOG_THRESHOLD_S, 2 * LOG_THRESHOLD_S]
