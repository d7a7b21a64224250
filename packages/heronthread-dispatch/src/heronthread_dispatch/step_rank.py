"""The order in which waiting steps are planned, and which of them may preempt others.

Matters while demand exceeds capacity, for example when bursts of urgent gangs arrive at a full
pool.
"""

from __future__ import annotations

from dataclasses import dataclass

from .learned import LearnedState
from .model import URGENT, Queue
from .policy import Policy
from .progress import JobState, latest_starts
from .step_lengths import predict_steps
from .step_state import StepState

URGENT_GROUP, ORDINARY_GROUP, FILLING_GROUP = range(3)
"""The first element of sort keys."""
LATENESS = (
    "can still be on time",
    "late, after work that can be on time",
    "too late to be of use, after other work",
)
"""Descriptions of the lateness classes of ordinary work."""


@dataclass(frozen=True, slots=True)
class StepRank:
    """A step's place in the planning order and its latest start to be on time.

    Smaller sort keys come first. With `may_preempt` other jobs' attempts may be stopped for the
    step.
    """

    sort_key: tuple[float, ...]
    latest_start: float
    may_preempt: bool

    def describe(self) -> str:
        """Return what decides the step's place in the order besides its customer's fair share."""
        group, second, third = self.sort_key[:3]
        if group == URGENT_GROUP:
            coverage = "outside" if second else "within"
            return f"urgent, {coverage} its customer's guarantee" + (", late" if third else "")
        if group == FILLING_GROUP:
            return "uses idle processor time, after all other work"
        return f"priority {self.sort_key[3]:.0f}, {LATENESS[int(second)]}"


def rank_step(
    job: JobState,
    step: StepState,
    queue: Queue,
    is_guaranteed: bool,
    now: float,
    wall_now: float,
    policy: Policy,
    learned: LearnedState | None = None,
    share_rank: int = 0,
) -> StepRank:
    """Return a step's rank; times are on trio's clock, `wall_now` in seconds since the epoch.

    Urgent work comes first, and within it work covered by a customer's guarantee. With
    `hopeless_last`, urgent work outside a guarantee loses this priority once it can no longer end
    in time to be useful. With `run_lengths` and `learned`, the objective and the work that is left
    rest on predicted lengths. Among steps of one priority and one lateness class, those of
    customers with `share_rank` 1 (`FairShares.rank`) come last, except for work covered by a
    guarantee.
    """
    lengths_s = None
    if learned is not None and policy.run_lengths:
        lengths_s = predict_steps(job, step.occurrence, now, learned)
    latest_start, last_useful = latest_starts(job, step, queue, now, wall_now, lengths_s)
    guarantee_rank = 0 if is_guaranteed else 1
    share_rank = 0 if is_guaranteed else share_rank
    is_worthless = policy.hopeless_last and last_useful < now and not is_guaranteed
    if queue.priority == URGENT and not is_worthless:
        return StepRank(
            (
                URGENT_GROUP,
                guarantee_rank,
                latest_start < now,
                queue.priority,
                share_rank,
                latest_start,
            ),
            latest_start,
            True,
        )
    if step.spec.fills:
        return StepRank(
            (FILLING_GROUP, queue.priority, share_rank, latest_start), latest_start, False
        )
    lateness = (latest_start < now) + (last_useful < now)
    due = last_useful if lateness else latest_start
    return StepRank(
        (ORDINARY_GROUP, lateness, guarantee_rank, queue.priority, share_rank, due),
        latest_start,
        False,
    )
