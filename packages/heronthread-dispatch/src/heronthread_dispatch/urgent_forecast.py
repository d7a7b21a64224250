"""Forecast of the capacity that urgent work will need soon, from its recent arrivals."""

from __future__ import annotations

from dataclasses import dataclass

from .model import Resources


@dataclass(frozen=True, slots=True)
class GangShape:
    """The tasks that a step starts at once; a single task is a gang of one."""

    count: int
    need: Resources
    same_rack: bool


@dataclass(frozen=True, slots=True)
class UrgentDemand:
    """The accelerators that urgent work will need, and the largest gang that must fit one rack."""

    accelerators: int
    rack_gang: GangShape | None


@dataclass(slots=True)
class UrgentForecast:
    """Recent arrivals of urgent work, by pool."""

    def note_arrival(self, pool: str, shape: GangShape, length_s: float, now: float) -> None:
        """Add the largest step of an urgent job that has arrived."""

    def predict(self, pool: str, now: float) -> UrgentDemand | None:
        """Return the demand to expect in a pool, None if there is no urgent work."""
        return None
