"""Measurement of run speeds, and detection of slow executors.

A run that becomes much slower than it was shows that its executor has become slow. A run slower
than others of its step may just be longer, as estimates are unreliable and the tasks of a step may
differ. It marks its executor as slow only if no other run there is doing well, and its task is
moved for this reason only once.
"""

from __future__ import annotations

from statistics import median

from .fleet import ExecutorState
from .policy import DEFAULT_POLICY, Policy
from .progress import JobState
from .step_state import Attempt, Phase, StepState, TaskState

MIN_MEASURE_S = 0.6
MAX_MEASURE_S = 3.0
SIGNIFICANT_GAIN_PERCENT = 5.0
SIGNIFICANT_SHORTFALL_PERCENT = 10.0
SLOW_RATIO = 3.2
SLOW_FOR_S = 6.0
HEALTHY_FOR_S = 1.5
MAX_RATIO = 50.0
MIN_ESTIMATE_S = 0.05
MIN_COMPARED_TASKS = 3
MAX_COMPARED_PERCENT = 99.0
"""Reports may be rounded, so a run that shows this may have reached its end."""
MIN_COMPARED_MEMBERS = 2


def measure_speed(
    job: JobState,
    attempt: Attempt,
    state: ExecutorState,
    percent: float,
    now: float,
    far_factor: float,
    policy: Policy = DEFAULT_POLICY,
) -> bool:
    """Update an attempt's speed from `percent` once it differs enough from the last measurement.

    Returns whether `attempt.rate` was measured.
    """
    if attempt.measured_at is None:
        attempt.measured_at, attempt.measured_percent = now, percent
        return False
    elapsed = now - attempt.measured_at
    if attempt.phase is not Phase.RUNNING or elapsed < MIN_MEASURE_S:
        return False
    step = job.step_of(attempt.task)
    gained = percent - attempt.measured_percent
    expected_rate = max(attempt.best_rate, _typical_rate(step, policy) / far_factor)
    if not _is_significant(elapsed, gained, expected_rate):
        return False
    attempt.measured_at, attempt.measured_percent = now, percent
    if step.spec.gang and not is_whole(step, attempt):
        return False
    attempt.rate = gained / elapsed
    attempt.best_rate = max(attempt.best_rate, attempt.rate)
    expected = elapsed / max(MIN_ESTIMATE_S, step.spec.estimate_s) * 100 / far_factor
    attempt.ratio = min(MAX_RATIO, expected / gained) if gained > 0 else MAX_RATIO
    step.ratios[attempt.task.member] = attempt.ratio
    _update_executor_speed(step, state, attempt, compute_typical_ratio(step, policy), now)
    return True


def shows_executor_speed(
    attempt: Attempt, state: ExecutorState, percent: float, now: float
) -> bool:
    """Whether an attempt's last measured rate is its executor's usual one for the task.

    It is not while the executor is slow for a while, and not if the attempt may have waited at its
    end for other members of its gang.
    """
    return (
        percent < MAX_COMPARED_PERCENT
        and attempt.rate > 0
        and state.slow_until <= now
        and not has_slowed(attempt)
    )


def _spans_executors(step: StepState) -> bool:
    """Whether a step's attempts run on several executors, so that their speeds can be compared."""
    return len({attempt.executor for attempt in step.attempts()}) > 1


def _typical_rate(step: StepState, policy: Policy) -> float:
    """Return the typical progress of a gang's members (percent per second), 0 if unknown."""
    typical_ratio = compute_typical_ratio(step, policy, min_members=1)
    if typical_ratio is None or not (step.spec.gang and policy.compare_members):
        return 0.0
    return 100 / (max(MIN_ESTIMATE_S, step.spec.estimate_s) * typical_ratio)


def _is_significant(elapsed: float, gained: float, expected_rate: float) -> bool:
    """Whether enough progress or time has passed for a measurement; `percent` may be rounded."""
    falls_short = elapsed * expected_rate >= SIGNIFICANT_SHORTFALL_PERCENT
    return gained >= SIGNIFICANT_GAIN_PERCENT or falls_short or elapsed >= MAX_MEASURE_S


def _update_executor_speed(
    step: StepState, state: ExecutorState, attempt: Attempt, typical_ratio: float | None, now: float
) -> None:
    if has_slowed(attempt):
        state.slow_until = now + SLOW_FOR_S
    elif typical_ratio is None and step.spec.gang:
        return
    elif not _is_slower_than_typical(attempt, typical_ratio):
        state.healthy_at = now
        state.slow_until = 0.0
    elif now - state.healthy_at <= HEALTHY_FOR_S:
        attempt.is_long = True
    elif not attempt.is_long:
        state.slow_until = now + SLOW_FOR_S


def has_slowed(attempt: Attempt) -> bool:
    """Whether an attempt is several times slower than it was before."""
    return attempt.best_rate > 0 and attempt.rate * SLOW_RATIO <= attempt.best_rate


def compute_typical_ratio(
    step: StepState, policy: Policy = DEFAULT_POLICY, min_members: int = MIN_COMPARED_MEMBERS
) -> float | None:
    """Return the typical duration of a step's tasks relative to the estimate; None if unknown.

    The members of a gang take equally long and progress independently, so the fastest one is
    typical even if most share a slow executor. The estimate, which may be off tenfold, is used
    only if the whole gang is on one executor.
    """
    if step.spec.gang and not (policy.compare_members and _spans_executors(step)):
        return 1.0
    if step.spec.gang:
        ratios = [a.ratio for a in step.attempts() if a.ratio is not None]
        return min(ratios) if len(ratios) >= min_members else None
    if len(step.ratios) < MIN_COMPARED_TASKS:
        return None
    return median(step.ratios.values())


def _is_slower_than_typical(attempt: Attempt, typical_ratio: float | None) -> bool:
    if typical_ratio is None or attempt.ratio is None:
        return False
    return attempt.ratio >= SLOW_RATIO * typical_ratio


def should_move(
    step: StepState,
    task: TaskState,
    attempt: Attempt,
    state: ExecutorState,
    typical_ratio: float | None,
    now: float,
) -> bool:
    """Whether an attempt is slow because of its executor and may be faster elsewhere."""
    if has_slowed(attempt):
        return True
    may_be_long = attempt.is_long or task.moves > 0
    return (
        not may_be_long
        and state.slow_until > now
        and _is_slower_than_typical(attempt, typical_ratio)
    )


def estimate_remaining_s(step: StepState, attempt: Attempt) -> float:
    """Return the remaining time of an attempt at its present speed."""
    if attempt.rate > 0:
        return (100 - attempt.percent) / attempt.rate
    ratio = attempt.ratio if attempt.ratio is not None else 1.0
    return step.spec.estimate_s * ratio * (1 - attempt.percent / 100)


def estimate_restart_s(step: StepState, attempt: Attempt, typical_ratio: float | None) -> float:
    """Return the time the remaining work would take after a restart on a healthy executor."""
    kept_share = attempt.percent / 100 if step.spec.checkpointing else 0.0
    if has_slowed(attempt):
        return 100 / attempt.best_rate * (1 - kept_share)
    return (
        step.spec.estimate_s * (1.0 if typical_ratio is None else typical_ratio) * (1 - kept_share)
    )


def is_whole(step: StepState, attempt: Attempt) -> bool:
    """Whether every member of an attempt's gang run is running."""
    return all(
        t.attempt is not None and t.attempt.phase is Phase.RUNNING and t.attempt.run == attempt.run
        for t in step.tasks
    )
