"""Predictions of how long tasks run, learned from the lengths of runs that ended."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class Evidence(StrEnum):
    """What a prediction is based on."""

    ESTIMATE = "the caller's estimate"
    LEARNED = "earlier runs"


@dataclass(frozen=True, slots=True)
class LengthPrediction:
    """The predicted length of a task's run in seconds: its median and its 90th percentile."""

    typical_s: float
    high_s: float
    evidence: Evidence


@dataclass(slots=True)
class RunLengths:
    """The lengths of runs seen so far, by customer and queue."""

    def note_end(
        self, tenant: str, queue: str, estimate_s: float, length_s: float, now: float
    ) -> None:
        """Add a run that ended as done, on a typical executor near its data."""

    def predict(self, tenant: str, queue: str, estimate_s: float, now: float) -> LengthPrediction:
        """Return the predicted length of a task with the caller's estimate."""
        return LengthPrediction(estimate_s, estimate_s, Evidence.ESTIMATE)

    def describe(self, now: float) -> list[dict[str, Any]]:
        """Return one row for each queue, for operators."""
        return []
