"""Expected lengths of steps and remaining times of runs.

A run's own progress counts most, then what was measured of other tasks of its step, which are
alike, then the prediction for its customer and queue.
"""

from __future__ import annotations

import math
from functools import cache
from statistics import NormalDist, median

from .learned import LearnedState
from .progress import JobState
from .run_lengths import Evidence, LengthPrediction
from .step_state import Attempt, Phase, StepState

TASK_SPREAD = 0.2
"""The spread of the lengths of one step's tasks (log): callers' tasks vary by 0.15 to 0.3."""
MIN_MEASURED_TASKS = 3
"""With fewer measured tasks of a step a long one may be taken as typical."""


def predict_step(step: StepState, now: float, learned: LearnedState) -> LengthPrediction:
    """Return the predicted length of a step's tasks, from those that were measured if it can be.

    The estimate stands while it is the only evidence for the step's queue.
    """
    found = learned.lengths.predict(step.tenant, step.queue, step.spec.estimate_s, now)
    if found.evidence is Evidence.ESTIMATE or not step.ratios:
        return found
    own_s = _find_own_length_s(step)
    if own_s is None:
        return found
    return LengthPrediction(own_s, max(own_s, _find_longest_s(step)), Evidence.LEARNED)


def predict_steps(
    job: JobState, occurrence: int, now: float, learned: LearnedState
) -> list[float] | None:
    """Return the expected longest task (s) of each step of an occurrence, None without evidence.

    A job is done, and its objective is judged, by the longest task of its steps.
    """
    if not learned.lengths.has_evidence(job.spec.queue.name, now):
        return None
    steps = job.occurrences.peek(occurrence)
    return [_expect_longest_s(step, now, learned) for step in steps]


def _expect_longest_s(step: StepState, now: float, learned: LearnedState) -> float:
    """Return how long the longest task of a step is expected to take; a gang is learned whole."""
    typical_s = predict_step(step, now, learned).typical_s
    return typical_s if step.spec.gang else typical_s * _find_longest_factor(len(step.tasks))


@cache
def _find_longest_factor(tasks: int) -> float:
    """Return the expected longest of some lengths, relative to their median."""
    return math.exp(TASK_SPREAD * NormalDist().inv_cdf((tasks - 0.375) / (tasks + 0.25)))


def _find_own_length_s(step: StepState) -> float | None:
    """Return the typical length of a step's measured tasks, None with too few of them."""
    if len(step.ratios) < min(MIN_MEASURED_TASKS, len(step.tasks)):
        return None
    return step.spec.estimate_s * median(step.ratios.values())


def _find_longest_s(step: StepState) -> float:
    return step.spec.estimate_s * max(step.ratios.values())


def extrapolate_end_s(attempt: Attempt, now: float) -> float | None:
    """Return the time (s) until an attempt ends at its average speed so far, None if unknown.

    Negative if it should have ended, but has made no progress of late.
    """
    gained = attempt.percent - attempt.began_percent
    if gained <= 0 or attempt.began_at is None:
        return None
    worked = attempt.progressed_at - attempt.began_at
    return worked * (100 - attempt.percent) / gained - (now - attempt.progressed_at)


def find_remaining_s(attempt: Attempt, step: StepState, now: float, learned: LearnedState) -> float:
    """Return the remaining time (s) of a run; infinite if it outlasts all that is predicted.

    Rests on its own progress if it has any, else on its step's other tasks, else on the prediction.
    """
    own_s = extrapolate_end_s(attempt, now)
    if own_s is not None:
        return max(0.0, own_s)
    typical_s = _find_own_length_s(step)
    if typical_s is not None:
        high_s = _find_longest_s(step)
    else:
        found = learned.lengths.predict(step.tenant, step.queue, step.spec.estimate_s, now)
        typical_s, high_s = found.typical_s, found.high_s
    speed = learned.speeds.find(attempt.instance) or 1.0
    elapsed_s = 0.0 if attempt.phase is Phase.STARTING else now - attempt.ordered_at
    for length_s in (typical_s, high_s):
        if length_s / speed > elapsed_s:
            return length_s / speed - elapsed_s
    return math.inf
