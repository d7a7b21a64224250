"""Pairs of emulated days: the same seed twice, with one mechanism off the second time."""

import pytest
from heronthread_dispatch.policy import DEFAULT_POLICY
from heronthread_emulator import Pair, compare_policies, experiment, sum_up, switch_off
from heronthread_emulator.experiment import DayValue


@pytest.fixture(autouse=True)
def _small_days(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(experiment, "JOBS", 10)
    monkeypatch.setattr(experiment, "ARRIVALS_S", 6.0)
    monkeypatch.setattr(experiment, "LAST_S", 25.0)


def test_a_pair_is_played_alike_but_for_the_mechanism() -> None:
    first = compare_policies(switch_off("look_early"), [3])
    again = compare_policies(switch_off("look_early"), [3])
    assert first == again
    (same,) = compare_policies(DEFAULT_POLICY, [3])
    assert same.with_it == same.without
    assert 0 < same.with_it.urgent <= 1


def test_differences_count_days_and_less_lost_work_is_better() -> None:
    pairs = [
        Pair(0, DayValue(0.9, 0.5, 10.0), DayValue(0.7, 0.5, 30.0)),
        Pair(1, DayValue(0.6, 0.6, 20.0), DayValue(0.7, 0.5, 10.0)),
    ]
    rows = {row.figure: row for row in sum_up(pairs)}
    assert (rows["urgent"].better, rows["urgent"].worse) == (1, 1)
    assert (rows["ordinary"].better, rows["ordinary"].worse) == (1, 0)
    assert (rows["lost_unit_s"].better, rows["lost_unit_s"].worse) == (1, 1)
    assert rows["urgent"].mean == pytest.approx(0.05)
    assert rows["urgent"].spread == pytest.approx(0.15)


def test_a_mechanism_that_there_is_not_is_named_with_those_there_are() -> None:
    with pytest.raises(ValueError, match="headroom"):
        switch_off("magic")
