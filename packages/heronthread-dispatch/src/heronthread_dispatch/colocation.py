"""Separation of serving tasks from best-effort tasks.

Best-effort tasks slow serving tasks on the same executor by an unknown amount, so the two kinds
run on different executors.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from .model import StepSpec
from .offers import Offer
from .progress import JobState
from .step_state import Attempt, Phase, StepState


class Colocation:
    """The serving and best-effort tasks on each executor, including those that a plan adds."""

    def __init__(self, jobs: Iterable[JobState]) -> None:
        self._serving: set[str] = set()
        self._best_effort: dict[str, list[Attempt]] = defaultdict(list)
        for job in jobs:
            for step in job.steps:
                if step.spec.lasting:
                    self._add_step(step)

    def _add_step(self, step: StepState) -> None:
        for attempt in step.attempts():
            if step.spec.fills:
                self._best_effort[attempt.executor].append(attempt)
            elif step.spec.serves:
                self._serving.add(attempt.executor)

    def filter_compatible(self, spec: StepSpec, offers: list[Offer]) -> list[Offer]:
        """Return the offers on which a step's tasks neither disturb others nor are disturbed."""
        if spec.fills:
            return [offer for offer in offers if offer.state.id not in self._serving]
        if spec.serves:
            return [offer for offer in offers if not self._best_effort.get(offer.state.id)]
        return offers

    def record_placed(self, spec: StepSpec, offers: Iterable[Offer]) -> None:
        """Record the tasks that a plan starts."""
        if spec.serves:
            self._serving.update(offer.state.id for offer in offers)
        elif spec.fills:
            for offer in offers:
                self._best_effort.setdefault(offer.state.id, [])

    def find_blocking(self, spec: StepSpec, offers: list[Offer], count: int) -> list[Attempt]:
        """Return the best-effort attempts that block a serving task on up to `count` executors."""
        found: list[Attempt] = []
        for offer in offers:
            best_effort = self._best_effort.get(offer.state.id)
            if count and best_effort and spec.need.fits_in(offer.projected):
                found += best_effort
                count -= 1
        return found


def is_within_disruption_budget(step: StepState, victim_ids: set[int]) -> bool:
    """Whether one more task of a lasting step may be stopped within its `may_miss` budget.

    `victim_ids` are the ids of attempts that are stopped as well.
    """
    if not step.spec.lasting or not step.spec.may_miss:
        return True
    available = sum(1 for attempt in step.attempts() if _is_available(attempt, victim_ids))
    return len(step.tasks) - available < step.spec.may_miss


def _is_available(attempt: Attempt, victim_ids: set[int]) -> bool:
    if id(attempt) in victim_ids:
        return False
    return attempt.phase is Phase.RUNNING and attempt.percent >= 100
