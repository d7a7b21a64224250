"""Use of contended capacity by customer, so that a large backlog does not delay the others."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class FairShares:
    """The recent use of each pool by each customer."""

    def charge(self, pool: str, tenant: str, accelerator_s: float, now: float) -> None:
        """Add what a customer has used of a pool."""

    def rank(self, pool: str, tenant: str, now: float) -> int:
        """Return 0 for a customer at or below its fair share of a pool, 1 for one above it."""
        return 0

    def list_largest(self, pool: str, now: float) -> dict[str, float]:
        """Return the use of the largest customers of a pool, for the next owner."""
        return {}

    def restore(self, pool: str, used: Mapping[str, float], now: float) -> None:
        """Start from the use that an earlier owner reported."""

    def describe(self, now: float) -> list[dict[str, Any]]:
        """Return one row for each customer, for operators."""
        return []
