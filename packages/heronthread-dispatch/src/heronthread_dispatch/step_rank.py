"""The order in which waiting steps are planned, and which of them may preempt others.

Matters while demand exceeds capacity, for example when bursts of urgent gangs arrive at a full
pool.
"""

from __future__ import annotations

from dataclasses import dataclass

from .learned import LearnedState
from .model import URGENT, Queue
from .policy import Policy
from .progress import JobState, StepState, latest_starts
from .step_lengths import predict_steps


@dataclass(frozen=True, slots=True)
class StepRank:
    """A step's place in the planning order and its latest start to be on time.

    Smaller sort keys come first. With `may_preempt` other jobs' attempts may be stopped for the
    step.
    """

    sort_key: tuple[float, ...]
    latest_start: float
    may_preempt: bool


def rank_step(
    job: JobState,
    step: StepState,
    queue: Queue,
    is_guaranteed: bool,
    now: float,
    wall_now: float,
    policy: Policy,
    learned: LearnedState | None = None,
) -> StepRank:
    """Return a step's rank; times are on trio's clock, `wall_now` in seconds since the epoch.

    Urgent work comes first, and within it work covered by a customer's guarantee. With
    `hopeless_last`, urgent work outside a guarantee loses this priority once it can no longer end
    in time to be useful. With `run_lengths` and `learned`, the objective and the work that is left
    rest on predicted lengths.
    """
    lengths_s = None
    if learned is not None and policy.run_lengths:
        lengths_s = predict_steps(job, step.occurrence, now, learned)
    latest_start, last_useful = latest_starts(job, step, queue, now, wall_now, lengths_s)
    guarantee_rank = 0 if is_guaranteed else 1
    is_worthless = policy.hopeless_last and last_useful < now and not is_guaranteed
    if queue.priority == URGENT and not is_worthless:
        return StepRank(
            (0, guarantee_rank, latest_start < now, queue.priority, latest_start),
            latest_start,
            True,
        )
    if step.spec.fills:
        return StepRank((2, queue.priority, latest_start), latest_start, False)
    lateness = (latest_start < now) + (last_useful < now)
    due = last_useful if lateness else latest_start
    return StepRank((1, lateness, guarantee_rank, queue.priority, due), latest_start, False)
