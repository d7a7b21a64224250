"""Descriptions of the runs and late starts that a stalled job waits for."""

from __future__ import annotations

import math
from typing import Any

from .model import TaskKey
from .owned_cell import OwnedCell
from .progress import JobState
from .step_state import Attempt
from .wait_causes import WaitCause

MAX_WAITS = 4
"""Keeps a line below the size that a pipe writes atomically."""


def describe_waits(
    cell: OwnedCell, job: JobState, cause: WaitCause, now: float
) -> list[dict[str, Any]]:
    """Describe the runs or starts that keep a job from being started, the longest waits first.

    `left_s` is for how long (s) each keeps it at most, if nothing more is heard of it.
    """
    if cause is WaitCause.UNSETTLED_RUN:
        found = _describe_attempts(cell, job, now)
    elif cause is WaitCause.LATE_START:
        found = _describe_late_starts(cell, job, now)
    else:
        return []
    return sorted(found, key=lambda row: -row["left_s"])[:MAX_WAITS]


def _describe_attempts(cell: OwnedCell, job: JobState, now: float) -> list[dict[str, Any]]:
    late_until: dict[TaskKey, float] = {}
    for (_, start), until in cell.late_starts.list_ends(job.spec.id).items():
        late_until[start.task] = max(until, late_until.get(start.task, now))
    found = []
    for attempt in job.attempts():
        state = cell.executors.get(attempt.executor)
        lease_ends_by = now if state is None else state.lease_ends_by
        until = max(lease_ends_by, late_until.get(attempt.task, now))
        started = _describe_start(attempt)
        found.append(_describe(cell, attempt.executor, attempt.run, started, until, now))
    return found


def _describe_start(attempt: Attempt) -> str:
    """Return whether the start was ever answered, or the run reported."""
    if attempt.has_begun:
        return "answered"
    if attempt.may_have_begun:
        return "no answer"
    return "refused" if attempt.sends else "not sent"


def _describe_late_starts(cell: OwnedCell, job: JobState, now: float) -> list[dict[str, Any]]:
    found = []
    for (executor, start), until in cell.late_starts.list_ends(job.spec.id).items():
        started = "of an earlier owner" if start.is_inherited else "no answer"
        found.append(_describe(cell, executor, start.run, started, until, now))
    return found


def _describe(
    cell: OwnedCell, executor: str, run: int, start: str, until: float, now: float
) -> dict[str, Any]:
    state = cell.executors.get(executor)
    reported_at = -math.inf if state is None else state.reported_at
    silent_since = None if state is None else state.unresponsive_since
    return {
        "executor": executor,
        "run": run,
        "start": start,
        "reported_ago_s": round(now - reported_at, 2) if math.isfinite(reported_at) else None,
        "silent_s": None if silent_since is None else round(now - silent_since, 2),
        "listed": state is not None and state.listed,
        "left_s": round(max(0.0, until - now), 2),
    }
