"""Rows of the load overview on reserved capacity, expected waits and rejections."""

from __future__ import annotations

from dataclasses import asdict
from functools import partial
from typing import Any

from .admission import REJECTED_JOBS
from .clock import boot_time
from .load_digest import PoolLoad, PriorityLoad
from .load_sources import LoadSources
from .owned_cell import OwnedCell


def make_load_sources(cell: OwnedCell) -> LoadSources:
    """Return the sources of a cell's load overview."""
    return LoadSources(
        partial(_describe_reserved, cell),
        partial(_describe_waits, cell),
        partial(_describe_rejections, cell),
    )


def _describe_reserved(cell: OwnedCell, now: float) -> list[dict[str, Any]]:
    """Return for each pool the accelerators expected for urgent work, reserved, and lent."""
    return [{"pool": pool, **asdict(use)} for pool, use in sorted(cell.urgent_room.items())]


def _describe_waits(cell: OwnedCell, now: float) -> list[dict[str, Any]]:
    """Return the rows of the newest load digest; durations in s, `None` where unknown."""
    known = cell.parts.known_load.find(boot_time())
    if known is None:
        return []
    age_s = round(known.age_s, 1)
    return [_describe_wait(load, row, age_s) for load in known.digest.pools for row in load.rows]


def _describe_wait(load: PoolLoad, row: PriorityLoad, age_s: float) -> dict[str, Any]:
    return {
        "pool": load.pool,
        "priority": row.priority,
        "waiting accelerators": row.waiting,
        "expected wait s": row.wait_s,
        "expected wait once late s": row.late_wait_s,
        "free accelerators": row.room,
        "freed per s": load.drain,
        "digest age s": age_s,
    }


def _describe_rejections(cell: OwnedCell, now: float) -> list[dict[str, Any]]:
    """Return how many jobs the owner's host has rejected, by reason; others have counters too."""
    counts = cell.parts.statistics.counts.items()
    return [
        {"reason": reason, "rejected here": count}
        for (name, reason), count in sorted(counts)
        if name == REJECTED_JOBS
    ]
