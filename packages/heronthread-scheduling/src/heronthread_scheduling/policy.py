"""Scheduling policies: placement, queue order and limits."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import StrEnum


class PlacementName(StrEnum):
    """Placement policies available in a desired-state file."""

    FIRST_FIT = "first-fit"
    BEST_FIT = "best-fit"
    LEAST_LOSS = "least-loss"


class OrderName(StrEnum):
    """Queue orders available in a desired-state file.

    With `ARRIVAL` a job that does not fit blocks all later jobs of its pool; with
    `ARRIVAL_SKIPPING` later jobs that fit start before it.
    """

    ARRIVAL = "arrival"
    ARRIVAL_SKIPPING = "arrival-skipping"
    COMPLETION = "completion"


class EstimateName(StrEnum):
    """Run time estimate that decides whether a job may backfill held workers."""

    MEAN = "mean"
    P95 = "p95"


@dataclass(frozen=True, slots=True)
class QueueLimits:
    """Maximum number of waiting jobs."""

    per_customer: int = 20_000
    per_class: int = 10_000


@dataclass(frozen=True, slots=True)
class Policy:
    """Settings of the scheduler.

    After `starvation_s` of waiting a job is overdue and precedes all jobs that are neither
    urgent nor overdue. A gang is large from `large_fraction` of the largest rack on. A job is
    critical, and starts early, if it runs for at least `critical_fraction` of the time that
    the whole backlog needs. Large gangs start before other jobs if `fragmentation_weight`
    exceeds `completion_weight`, else after them. `urgent_stop_s` and `reclaim_stop_s` limit
    the time for a checkpoint before a reclaimed gang is stopped.
    """

    name: str = "heronthread"
    placement: PlacementName = PlacementName.LEAST_LOSS
    order: OrderName = OrderName.COMPLETION
    estimate: EstimateName = EstimateName.P95
    hold_for_large: bool = True
    compaction: bool = True
    completion_weight: float = 1.0
    fragmentation_weight: float = 1.0
    starvation_s: float = 4 * 3600.0
    large_fraction: float = 0.25
    critical_fraction: float = 0.8
    urgent_stop_s: float = 2.0
    reclaim_stop_s: float = 10.0
    limits: QueueLimits = field(default_factory=QueueLimits)

    @property
    def large_first(self) -> bool:
        """Whether large gangs start before smaller jobs."""
        return self.fragmentation_weight > self.completion_weight


DEFAULT_POLICY = Policy()
FIRST_FIT = Policy(
    name="first-fit",
    placement=PlacementName.FIRST_FIT,
    order=OrderName.ARRIVAL,
    hold_for_large=False,
    compaction=False,
)
FIRST_FIT_SKIPPING = replace(FIRST_FIT, name="first-fit-skipping", order=OrderName.ARRIVAL_SKIPPING)
BEST_FIT = replace(FIRST_FIT_SKIPPING, name="best-fit", placement=PlacementName.BEST_FIT)
MEAN_ESTIMATE = replace(DEFAULT_POLICY, name="mean-only", estimate=EstimateName.MEAN)

NAMED_POLICIES = {
    policy.name: policy
    for policy in (DEFAULT_POLICY, FIRST_FIT, FIRST_FIT_SKIPPING, BEST_FIT, MEAN_ESTIMATE)
}
