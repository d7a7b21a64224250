"""The arithmetic of the sweep's table in docs/CAPACITY.md."""

from __future__ import annotations

import pytest

from benchmarks.capacity_page import PAGE
from benchmarks.sweep_page import SweepRow, load_sweep, make_sweep_table, replace_sweep_table


def test_page_follows_from_the_sweep() -> None:
    text = PAGE.read_text()
    assert replace_sweep_table(text, make_sweep_table(load_sweep())) == text


def test_a_wrong_figure_would_show() -> None:
    sweep = load_sweep()
    sweep.rows[0].busiest[-1] *= 1.05
    text = PAGE.read_text()
    assert replace_sweep_table(text, make_sweep_table(sweep)) != text


@pytest.mark.parametrize("power", [0.0, 0.5, 1.0])
def test_a_power_is_found_again(power: float) -> None:
    sizes = [10.0, 30.0, 100.0]
    values = [2.0 * size**power for size in sizes]
    row = SweepRow("figure", "1", values, values)
    assert row.fit_power(sizes) == pytest.approx(power)
    assert row.extrapolate(sizes, 1_000.0) == pytest.approx(2.0 * 1_000.0**power)
