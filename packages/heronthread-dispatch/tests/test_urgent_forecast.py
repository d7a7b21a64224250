"""Forecast of urgent demand: level, variation, bursts, gang shapes, and what is forgotten."""

import pytest
from heronthread_dispatch.model import Resources
from heronthread_dispatch.urgent_forecast import (
    BURST_WINDOW_S,
    MAX_ARRIVALS,
    VARIATION_FACTOR,
    WINDOW_S,
    GangShape,
    UrgentForecast,
)

NEED = Resources(1_000, 1_000, 2)
SINGLE = GangShape(1, NEED, False)


def _make_even(per_s: float, shape: GangShape = SINGLE, length_s: float = 2.0) -> UrgentForecast:
    forecast = UrgentForecast()
    for number in range(int(WINDOW_S * per_s)):
        forecast.note_arrival("pool", shape, length_s, (number + 1) / per_s)
    return forecast


def test_without_arrivals_nothing_is_expected() -> None:
    """Guards against a reservation in pools that get no urgent work."""
    assert UrgentForecast().predict("pool", 100.0) is None
    assert _make_even(4.0).predict("other", WINDOW_S) is None


def test_demand_is_rate_times_length_and_a_margin_for_its_variation() -> None:
    """Guards against a forecast of the mean alone, which half of the time is too low."""
    demand = _make_even(4.0).predict("pool", WINDOW_S)
    assert demand is not None
    mean, deviation = 4.0 * 2.0 * 2, (4.0 * 2.0 * 2**2) ** 0.5
    expected = mean + VARIATION_FACTOR * deviation
    assert demand.accelerators == pytest.approx(expected, rel=0.05)
    assert demand.length_s == 2.0


def test_wide_gangs_need_a_larger_margin_than_single_tasks_of_the_same_mean() -> None:
    """Guards against a margin that ignores that the members of a gang come at once."""
    singles = _make_even(8.0).predict("pool", WINDOW_S)
    gangs = _make_even(1.0, GangShape(8, NEED, True)).predict("pool", WINDOW_S)
    assert singles is not None and gangs is not None
    assert gangs.accelerators > 1.5 * singles.accelerators


def test_a_burst_counts_at_once() -> None:
    """Guards against a burst that is averaged over the whole window."""
    forecast = _make_even(2.0)
    calm = forecast.predict("pool", WINDOW_S)
    for number in range(20):
        forecast.note_arrival("pool", SINGLE, 2.0, WINDOW_S + 0.05 * number)
    burst = forecast.predict("pool", WINDOW_S + 1.0)
    assert calm is not None and burst is not None
    assert burst.accelerators >= calm.accelerators + 20 * 2 * 2.0 / BURST_WINDOW_S / 2


def test_the_largest_tenth_of_rack_gangs_is_not_reserved_for() -> None:
    """Guards against one huge gang that has a whole rack reserved for it."""
    forecast = UrgentForecast()
    for number in range(19):
        forecast.note_arrival("pool", GangShape(2 + number % 3, NEED, True), 1.0, 0.1 * number)
    forecast.note_arrival("pool", GangShape(32, NEED, True), 1.0, 2.0)
    forecast.note_arrival("pool", GangShape(64, NEED, False), 1.0, 2.1)
    demand = forecast.predict("pool", 3.0)
    assert demand is not None and demand.rack_gang == GangShape(4, NEED, True)


def test_arrivals_are_forgotten_after_the_window() -> None:
    """Guards against capacity reserved for demand that has ended, and against growing memory."""
    forecast = _make_even(4.0)
    assert forecast.predict("pool", 2 * WINDOW_S + 0.1) is None
    for number in range(2 * MAX_ARRIVALS):
        forecast.note_arrival("pool", SINGLE, 1.0, 100.0 + 0.001 * number)
    assert len(forecast._arrivals["pool"]) == MAX_ARRIVALS


def test_arrivals_may_be_noted_out_of_order() -> None:
    """Guards against a takeover, which reads jobs from the store in the order of their names."""
    arrivals = [(SINGLE, 1.0, 3.0), (GangShape(4, NEED, True), 2.0, 1.0), (SINGLE, 3.0, 2.0)]
    found = []
    for order in (arrivals, arrivals[::-1]):
        forecast = UrgentForecast()
        for shape, length_s, at in order:
            forecast.note_arrival("pool", shape, length_s, at)
        found.append(forecast.predict("pool", 4.0))
    assert found[0] is not None and found[0] == found[1]
