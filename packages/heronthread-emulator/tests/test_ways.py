"""Ways of deciding on modelled loads: the same plays for each, and what a switch changes there."""

from pathlib import Path

from heronthread_emulator.load import load_pattern
from heronthread_emulator.ways import WayResult, compare_ways, read_way

LOADS = Path(__file__).parents[3] / "benchmarks" / "loads"
SEEDS = range(10)


def _compare(load: str, way: str) -> tuple[WayResult, WayResult]:
    pattern = load_pattern(LOADS / f"{load}.json")
    stood, other = compare_ways([pattern], {"default": read_way(""), way: read_way(way)}, SEEDS)
    return stood, other


def test_the_default_is_held_against_itself_without_a_difference() -> None:
    pattern = load_pattern(LOADS / "small-pool.json")
    (only,) = compare_ways([pattern], {"default": read_way("")}, range(2))
    assert (only.difference, only.spread, only.better, only.worse) == (0.0, 0.0, 0, 0)


def test_urgent_work_that_earns_nothing_stops_nothing_with_its_switch() -> None:
    """More urgent work than there is room: what is long past its use has others stopped for it."""
    stood, other = _compare("overfull", "hopeless_last=on")
    assert other.worth > stood.worth
    assert other.most_taken_back <= stood.most_taken_back


def test_waiting_for_what_ends_soon_stops_less_with_its_switch() -> None:
    stood, other = _compare("small-pool", "wait_for_ends=on")
    assert other.stops < stood.stops
    assert other.lost < stood.lost
