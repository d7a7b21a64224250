"""Each way of deciding that was kept, on the load that it answers, against the way that lost.

The plays repeat exactly: the same seeds, the planner's real code, simulated time.
"""

from pathlib import Path

from heronthread_emulator.load import load_pattern
from heronthread_emulator.ways import WayResult, compare_ways, read_way

LOADS = Path(__file__).parents[3] / "benchmarks" / "loads"
SEEDS = range(10)


def _compare(load: str, way: str) -> tuple[WayResult, WayResult]:
    pattern = load_pattern(LOADS / f"{load}.json")
    kept, lost = compare_ways([pattern], {"kept": read_way(""), way: read_way(way)}, SEEDS)
    return kept, lost


def test_urgent_work_that_earns_nothing_any_more_stops_nothing() -> None:
    """More urgent work than there is room: what is long past its use had others stopped for it."""
    kept, lost = _compare("overfull", "hopeless_last=off")
    assert kept.worth > lost.worth
    assert kept.most_taken_back <= lost.most_taken_back
