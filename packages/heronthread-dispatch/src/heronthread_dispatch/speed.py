"""How fast runs get on, and which executors are slow for now.

A caller's estimate may be far off, so the tasks of a step are compared with each other;
a gang, whose members get on together, is compared with its estimate.
"""

from __future__ import annotations

from .fleet import ExecutorState
from .progress import Attempt, JobState, Phase, StepState

MEASURE_S = 0.6
SLOW_RATIO = 3.2
SLOW_FOR_S = 6.0
HEALTHY_S = 1.5
LONGEST_RATIO = 50.0


def measure_speed(
    job: JobState,
    attempt: Attempt,
    state: ExecutorState,
    percent: float,
    now: float,
    far_factor: float,
) -> None:
    """Take in a reading of `percent`; the attempt's `ratio` is its time over that expected."""
    if attempt.measured_at is None:
        attempt.measured_at, attempt.measured_percent = now, percent
        return
    elapsed = now - attempt.measured_at
    if elapsed < MEASURE_S or attempt.phase is not Phase.RUNNING:
        return
    gained = percent - attempt.measured_percent
    attempt.measured_at, attempt.measured_percent = now, percent
    step = job.step_of(attempt.task)
    if step.spec.gang and not is_whole(step, attempt):
        return
    expected = elapsed / max(0.05, step.spec.estimate_s) * 100 / far_factor
    ratio = min(LONGEST_RATIO, expected / gained) if gained > 0 else LONGEST_RATIO
    attempt.ratio = ratio
    _judge(step, state, ratio, now)


def _judge(step: StepState, state: ExecutorState, ratio: float, now: float) -> None:
    if step.spec.gang:
        relative = ratio
    else:
        step.best_ratio = min(step.best_ratio, ratio)
        relative = ratio / step.best_ratio
    if relative < SLOW_RATIO:
        state.healthy_at = now
        state.slow_until = 0.0
    elif not step.spec.gang or now - state.healthy_at > HEALTHY_S:
        state.slow_until = now + SLOW_FOR_S


def is_slow(step: StepState, attempt: Attempt) -> bool:
    """Whether an attempt takes several times as long as others of its step, or as expected."""
    if attempt.ratio is None:
        return False
    if step.spec.gang:
        return attempt.ratio >= SLOW_RATIO
    return attempt.ratio >= SLOW_RATIO * step.best_ratio


def remaining_s(step: StepState, attempt: Attempt) -> float:
    """Return the time that an attempt still takes at its present speed."""
    ratio = attempt.ratio if attempt.ratio is not None else 1.0
    return step.spec.estimate_s * ratio * (1 - attempt.percent / 100)


def restarted_s(step: StepState, attempt: Attempt) -> float:
    """Return the time that the rest would take on a sound executor."""
    usual = 1.0 if step.spec.gang else min(step.best_ratio, LONGEST_RATIO)
    kept = attempt.percent / 100 if step.spec.checkpointing else 0.0
    return step.spec.estimate_s * usual * (1 - kept)


def is_whole(step: StepState, attempt: Attempt) -> bool:
    """Whether every member of an attempt's gang run is running."""
    return all(
        t.attempt is not None and t.attempt.phase is Phase.RUNNING and t.attempt.run == attempt.run
        for t in step.tasks
    )
