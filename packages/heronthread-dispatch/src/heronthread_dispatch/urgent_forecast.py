"""Forecast of the capacity that urgent work will need soon, from its recent arrivals."""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil, sqrt
from statistics import median

from .model import Resources

WINDOW_S = 15.0
"""Arrivals count for so long: one wave of demand, so that its height is seen whole."""
BURST_WINDOW_S = 4.0
"""The rate of so short a time counts if it is higher, as bursts last 3 s to 4 s."""
VARIATION_FACTOR = 4.0
"""Standard deviations reserved above the mean. Jobs that come in waves and bursts vary more than
the independent arrivals that the deviation is computed for: with 1.3 and 2.5 the reserved capacity
ran out in the modelled pool, and more runs were stopped."""
SHAPE_SHARE = 0.9
"""Share of the recent gangs for one rack that must fit the one reserved for."""
MAX_ARRIVALS = 1024
"""Arrivals kept for each pool; several times what a pool of 176 executors gets in `WINDOW_S`."""


@dataclass(frozen=True, slots=True)
class GangShape:
    """The tasks that a step starts at once; a single task is a gang of one."""

    count: int
    need: Resources
    same_rack: bool

    @property
    def accelerators(self) -> int:
        """The accelerators that all its tasks need."""
        return self.count * self.need.accelerators


@dataclass(frozen=True, slots=True)
class UrgentDemand:
    """The accelerators that urgent work will need, and the largest gang that must fit one rack.

    `length_s` is the median length of the recent arrivals.
    """

    accelerators: int
    rack_gang: GangShape | None
    length_s: float = 0.0


@dataclass(frozen=True, slots=True, order=True)
class _Arrival:
    at: float
    length_s: float = field(compare=False)
    shape: GangShape = field(compare=False)


@dataclass(slots=True)
class UrgentForecast:
    """Recent arrivals of urgent work, by pool."""

    _arrivals: dict[str, list[_Arrival]] = field(default_factory=dict)
    _since: dict[str, float] = field(default_factory=dict)

    def note_arrival(self, pool: str, shape: GangShape, length_s: float, now: float) -> None:
        """Add the largest step of an urgent job that arrived at `now`, which may be in the past."""
        arrivals = self._arrivals.setdefault(pool, [])
        insort(arrivals, _Arrival(now, length_s, shape))
        self._since[pool] = min(now, self._since.get(pool, now))
        del arrivals[:-MAX_ARRIVALS]

    def predict(self, pool: str, now: float) -> UrgentDemand | None:
        """Return the demand to expect in a pool, None if there is no urgent work.

        Jobs that arrive independently at a rate and hold capacity for their length occupy, in the
        mean, the rate times the mean of accelerators times length; the variance is the rate times
        the mean of squared accelerators times length.
        """
        arrivals = self._arrivals.get(pool)
        if not arrivals:
            return None
        _drop_before(arrivals, now - WINDOW_S)
        if not arrivals:
            self._since.pop(pool, None)
            return None
        span_s = min(WINDOW_S, max(BURST_WINDOW_S, now - self._since[pool]))
        recent = [arrival for arrival in arrivals if arrival.at > now - BURST_WINDOW_S]
        mean = max(_sum_work(arrivals) / span_s, _sum_work(recent) / BURST_WINDOW_S)
        variance = sum(a.shape.accelerators**2 * a.length_s for a in arrivals) / span_s
        return UrgentDemand(
            ceil(mean + VARIATION_FACTOR * sqrt(variance)),
            _find_rack_gang(arrivals),
            median(arrival.length_s for arrival in arrivals),
        )


def _drop_before(arrivals: list[_Arrival], before: float) -> None:
    """Remove the arrivals before a time."""
    first = next((n for n, arrival in enumerate(arrivals) if arrival.at > before), len(arrivals))
    del arrivals[:first]


def _sum_work(arrivals: Iterable[_Arrival]) -> float:
    """Return the accelerator-seconds of some arrivals."""
    return sum(arrival.shape.accelerators * arrival.length_s for arrival in arrivals)


def _find_rack_gang(arrivals: Iterable[_Arrival]) -> GangShape | None:
    """Return the gang that `SHAPE_SHARE` of the gangs for one rack do not exceed."""
    shapes = [a.shape for a in arrivals if a.shape.same_rack and a.shape.count > 1]
    if not shapes:
        return None
    shapes.sort(key=lambda shape: shape.accelerators)
    return shapes[min(len(shapes) - 1, int(SHAPE_SHARE * len(shapes)))]
