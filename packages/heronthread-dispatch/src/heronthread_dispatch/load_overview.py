"""The load of a cell for operators: backlog, customers, and what the owner has learned."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import trio

from .guarantee import find_guaranteed
from .model import DesiredState
from .owned_cell import OwnedCell
from .progress import JobState
from .share_accounting import is_waiting
from .step_rank import rank_step
from .step_state import StepState

MAX_ROWS = 16
"""Rows of each section, so that the reply of a peer stays small with 790 customers."""


@dataclass(slots=True)
class _Backlog:
    """Jobs and tasks that wait for capacity, and the longest wait among them (s)."""

    jobs: int = 0
    tasks: int = 0
    accelerators: int = 0
    longest_s: float = 0.0

    def add(self, steps: Iterable[StepState], now: float) -> None:
        """Add the waiting steps of one job."""
        self.jobs += 1
        for step in steps:
            self.tasks += step.waiting_count
            self.accelerators += step.waiting_count * step.spec.need.accelerators
            self.longest_s = max(self.longest_s, now - (step.ready_at or now))

    def describe(self) -> dict[str, Any]:
        """Return the row for operators."""
        return {
            "waiting jobs": self.jobs,
            "waiting tasks": self.tasks,
            "waiting accelerators": self.accelerators,
            "longest wait s": round(self.longest_s, 1),
        }


def describe_load(cell: OwnedCell, desired: DesiredState) -> dict[str, list[dict[str, Any]]]:
    """Return the rows of each section, the largest first."""
    now, learned, sources = trio.current_time(), cell.learned, cell.load_sources
    by_priority: dict[tuple[str, int], _Backlog] = {}
    by_customer: dict[tuple[str, str], _Backlog] = {}
    for job, steps in _list_waiting(cell):
        queue = desired.current_queue(job.spec)
        by_priority.setdefault((queue.pool, queue.priority), _Backlog()).add(steps, now)
        by_customer.setdefault((queue.pool, job.spec.tenant), _Backlog()).add(steps, now)
    backlog = [
        {"pool": pool, "priority": priority, **found.describe()}
        for (pool, priority), found in by_priority.items()
    ]
    waiting = [
        {"pool": pool, "tenant": tenant, **found.describe()}
        for (pool, tenant), found in by_customer.items()
    ]
    return {
        "backlog": _list_largest(backlog, lambda row: row["waiting accelerators"]),
        "customers": _list_largest(learned.shares.describe(now), _weigh_customer),
        "waiting customers": _list_largest(waiting, lambda row: row["longest wait s"]),
        "speeds": learned.speeds.describe(now)[:MAX_ROWS],
        "lengths": learned.lengths.describe(now)[:MAX_ROWS],
        "reserved": sources.reserved(now)[:MAX_ROWS],
        "waits": sources.waits(now)[:MAX_ROWS],
        "rejections": sources.rejections(now)[:MAX_ROWS],
    }


def measure_load(cell: OwnedCell) -> dict[str, float]:
    """Return the gauges of the load that an owner has metrics of."""
    now, total, shares = trio.current_time(), _Backlog(), cell.learned.shares
    for _, steps in _list_waiting(cell):
        total.add(steps, now)
    return {
        "jobs_waiting": total.jobs,
        "tasks_waiting": total.tasks,
        "accelerators_waiting": total.accelerators,
        "longest_wait_s": round(total.longest_s, 3),
        "customers_above_share": shares.count_above(now),
        "largest_customer_share": round(shares.find_largest_share(now), 4),
    }


def explain_order(cell: OwnedCell, job: JobState, desired: DesiredState) -> str:
    """Return why a job's first waiting step has its place in the order; empty if none waits."""
    now, wall_now = trio.current_time(), cell.parts.wall_clock()
    step = next((step for step in job.steps if is_waiting(job, step, wall_now)), None)
    if step is None:
        return ""
    queue, policy = desired.current_queue(job.spec), cell.parts.policy
    is_guaranteed = job.spec.id in find_guaranteed(list(cell.active.values()), desired, wall_now)
    standing = cell.learned.shares.find_standing(queue.pool, job.spec.tenant, now)
    share_rank = standing.rank if policy.fair_shares else 0
    rank = rank_step(
        job, step, queue, is_guaranteed, now, wall_now, policy, cell.learned, share_rank
    )
    if not share_rank or is_guaranteed:
        return rank.describe()
    return (
        f"{rank.describe()}; {job.spec.tenant} is above its fair share of {queue.pool} and comes "
        f"after customers below theirs: {standing.share:.0%} of the use, fair is "
        f"{standing.fair:.0%} ({standing.share / standing.fair:.1f} times)"
    )


def _list_waiting(cell: OwnedCell) -> Iterator[tuple[JobState, list[StepState]]]:
    """Yield the jobs with tasks that wait for capacity, and their steps that do."""
    wall_now = cell.parts.wall_clock()
    for job in cell.active.values():
        steps = [step for step in job.steps if is_waiting(job, step, wall_now)]
        if steps:
            yield job, steps


def _list_largest(
    rows: list[dict[str, Any]], weigh: Callable[[dict[str, Any]], Any]
) -> list[dict[str, Any]]:
    return sorted(rows, key=weigh, reverse=True)[:MAX_ROWS]


def _weigh_customer(row: dict[str, Any]) -> tuple[int, float, float]:
    """Order customers by rank, then share, then use."""
    return row["rank"], row["share"], row["use"]
