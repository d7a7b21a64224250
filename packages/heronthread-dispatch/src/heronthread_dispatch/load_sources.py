"""The parts of the load overview that come from reserved capacity and admission control."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

Describe = Callable[[float], list[dict[str, Any]]]
"""Returns rows for operators as of a time on trio's clock."""


def describe_nothing(now: float) -> list[dict[str, Any]]:
    """Return no rows, for a part that is off or has nothing to report."""
    return []


@dataclass(slots=True)
class LoadSources:
    """What the owner knows besides its `LearnedState`, each as a function that returns rows.

    `reserved`: reserved and lent accelerators by pool; `waits`: expected wait and drain rate by
    pool and priority; `rejections`: rejected requests by reason.
    """

    reserved: Describe = describe_nothing
    waits: Describe = describe_nothing
    rejections: Describe = describe_nothing
