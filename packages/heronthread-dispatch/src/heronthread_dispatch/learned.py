"""What an owner has learned about executors, runs, urgent demand and customers during its term."""

from __future__ import annotations

from dataclasses import dataclass, field

from .executor_speeds import ExecutorSpeeds
from .fair_shares import FairShares
from .run_lengths import RunLengths
from .urgent_forecast import UrgentForecast


@dataclass(slots=True)
class LearnedState:
    """Kept in memory only; a new owner starts without it and schedules as if all were alike."""

    speeds: ExecutorSpeeds = field(default_factory=ExecutorSpeeds)
    lengths: RunLengths = field(default_factory=RunLengths)
    forecast: UrgentForecast = field(default_factory=UrgentForecast)
    shares: FairShares = field(default_factory=FairShares)
