"""What a play was worth to its callers, weighed as the users' pages weigh a day."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import mean

from .load import LoadPattern
from .pool_model import JobOutcome, PlayOutcome

WHOLE, SERVED, CUSTOMERS, SECONDS, KINDS = 0.4, 0.35, 0.2, 0.15, 0.1
"""Weights of the shifted deployment's sheet; they add up to more than 1 and are scaled."""
LATE_FACTOR = 3.0
MOST_RELATIVE = 4.0
LEAST_SHARE = 0.3
WINDOW_S = 2.0
WORST_WINDOWS = 2
WORST_CUSTOMERS = 0.1
NINES = 3.0
"""So many nines of requests served count as all of them."""
LOST_PRICE = 0.93
"""Of the worth, for work thrown away as a share of what the pool could do: 119,000 core-seconds of
1.15 million were charged 0.096 on a day of the shifted deployment."""


@dataclass(frozen=True, slots=True)
class PlayWorth:
    """Shares of what was owed; `worth` sums them up less the price of work thrown away."""

    worth: float
    whole: float
    served: float
    customers: float
    seconds: float
    kinds: float
    lost: float
    stops: float
    most_taken_back: float


def find_objective_s(outcome: JobOutcome) -> float:
    """Return when a job is on time, by what its work takes on a sound executor."""
    kind = outcome.job.kind
    return kind.stretch * max(outcome.job.works_s) + kind.target_s


def _earn(outcome: JobOutcome) -> float:
    """Return the share of its worth that a job has earned."""
    if outcome.done_at is None:
        return 0.0
    took, objective = outcome.done_at - outcome.job.at, find_objective_s(outcome)
    if took <= objective:
        return 1.0
    kind = outcome.job.kind
    return kind.late_worth / kind.worth if took <= LATE_FACTOR * objective else 0.0


def weigh(pattern: LoadPattern, outcome: PlayOutcome) -> PlayWorth:
    """Return what a play was worth; cancelled jobs are owed nothing."""
    owed = [job for job in outcome.jobs if job.job.cancel_after_s is None]
    weights = _weigh_jobs(owed)
    by_customer, by_kind, by_window = defaultdict(list), defaultdict(list), defaultdict(list)
    for job in owed:
        by_customer[job.job.customer].append(job)
        by_kind[job.job.kind.name].append(job)
        by_window[int(job.job.at / WINDOW_S)].append(job)

    def earn(jobs: Iterable[JobOutcome]) -> float:
        jobs = list(jobs)
        total = sum(weights[job.job.id] for job in jobs)
        return sum(_earn(job) * weights[job.job.id] for job in jobs) / total if total else 1.0

    whole = earn(owed)
    served = sum(_earn(job) > 0 for job in owed) / max(1, len(owed))
    nines = min(NINES, -math.log10(max(1e-9, 1 - served))) / NINES
    tenth = max(1, round(WORST_CUSTOMERS * len(by_customer)))
    customers = mean(sorted(map(earn, by_customer.values()))[:tenth])
    seconds = mean(sorted(map(earn, by_window.values()))[:WORST_WINDOWS])
    kinds = min(map(earn, by_kind.values()))
    pool = pattern.capacity.cores * pattern.executors * pattern.seconds
    lost = outcome.lost_core_s / pool
    parts = WHOLE * whole + SERVED * nines + CUSTOMERS * customers
    parts += SECONDS * seconds + KINDS * kinds
    worth = parts / (WHOLE + SERVED + CUSTOMERS + SECONDS + KINDS) - LOST_PRICE * lost
    most = max((job.taken_back for job in outcome.jobs), default=0)
    return PlayWorth(worth, whole, served, customers, seconds, kinds, lost, outcome.stops, most)


def _weigh_jobs(jobs: list[JobOutcome]) -> dict[str, float]:
    """Return each job's worth, which grows with its work relative to its kind's mean."""
    means: dict[str, float] = {}
    by_kind: dict[str, list[float]] = defaultdict(list)
    for job in jobs:
        by_kind[job.job.kind.name].append(job.job.core_s)
    means = {kind: mean(values) for kind, values in by_kind.items()}
    return {
        job.job.id: job.job.kind.worth
        * min(
            MOST_RELATIVE,
            LEAST_SHARE + (1 - LEAST_SHARE) * job.job.core_s / max(1e-9, means[job.job.kind.name]),
        )
        for job in jobs
    }
