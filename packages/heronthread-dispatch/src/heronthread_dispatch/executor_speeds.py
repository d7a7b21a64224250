"""Relative speeds of executors, learned from the progress of runs of the same step."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from .model import ExecutorInstance, TaskKey


class SpeedGroup(StrEnum):
    """How an executor's speed compares with the others of its pool."""

    FAST = "fast"
    TYPICAL = "typical"
    SLOW = "slow"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class ExecutorSpeeds:
    """The speeds of the executors of one cell, by instance."""

    def note(
        self, pool: str, step: TaskKey, instance: ExecutorInstance, rate: float, now: float
    ) -> None:
        """Add the rate (percent/s) of a run; `step` is the key of its step's first task."""

    def find(self, instance: ExecutorInstance) -> float | None:
        """Return an executor's speed relative to its pool's typical speed, None if unknown."""
        return None

    def find_group(self, instance: ExecutorInstance) -> SpeedGroup:
        """Return the speed group of an executor."""
        return SpeedGroup.TYPICAL

    def forget(self, instance: ExecutorInstance) -> None:
        """Remove what is known of an instance that has ended."""

    def describe(self, now: float) -> list[dict[str, Any]]:
        """Return one row for each speed group of each pool, for operators."""
        return []
