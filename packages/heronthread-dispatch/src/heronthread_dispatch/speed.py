"""How fast runs get on, and which executors are slow for now.

A run that gets much slower than it was itself shows that its executor has become slow. A run
that is slower than others of its step may just be longer: the callers' estimates may be far
off, and the tasks of a step may differ. Such a run speaks against its executor only if no
other run there does well, and its task is moved for it once.
"""

from __future__ import annotations

from statistics import median

from .fleet import ExecutorState
from .policy import DEFAULT_POLICY, Policy
from .progress import Attempt, JobState, Phase, StepState, TaskState

MEASURE_S = 0.6
LONGEST_MEASURE_S = 3.0
CLEAR_GAIN = 5.0
CLEAR_LOSS = 10.0
SLOW_RATIO = 3.2
SLOW_FOR_S = 6.0
HEALTHY_S = 1.5
LONGEST_RATIO = 50.0
LEAST_ESTIMATE_S = 0.05
LEAST_COMPARED = 3
LEAST_MEMBERS = 2


def measure_speed(
    job: JobState,
    attempt: Attempt,
    state: ExecutorState,
    percent: float,
    now: float,
    far_factor: float,
    policy: Policy = DEFAULT_POLICY,
) -> None:
    """Take in a reading of `percent` once it tells the speed since the last one."""
    if attempt.measured_at is None:
        attempt.measured_at, attempt.measured_percent = now, percent
        return
    elapsed = now - attempt.measured_at
    if attempt.phase is not Phase.RUNNING or elapsed < MEASURE_S:
        return
    step = job.step_of(attempt.task)
    gained = percent - attempt.measured_percent
    expected_rate = max(attempt.best_rate, _usual_rate(step, policy) / far_factor)
    if not _is_telling(elapsed, gained, expected_rate):
        return
    attempt.measured_at, attempt.measured_percent = now, percent
    if step.spec.gang and not is_whole(step, attempt):
        return
    attempt.rate = gained / elapsed
    attempt.best_rate = max(attempt.best_rate, attempt.rate)
    expected = elapsed / max(LEAST_ESTIMATE_S, step.spec.estimate_s) * 100 / far_factor
    attempt.ratio = min(LONGEST_RATIO, expected / gained) if gained > 0 else LONGEST_RATIO
    step.ratios[attempt.task.member] = attempt.ratio
    _judge(step, state, attempt, usual_ratio(step, policy), now)


def _is_spread(step: StepState) -> bool:
    """Whether a step's attempts are at several executors, which can be told apart by them."""
    return len({attempt.executor for attempt in step.attempts()}) > 1


def _usual_rate(step: StepState, policy: Policy) -> float:
    """Return how fast the members of a gang get on (percent a second), 0 if not known."""
    usual = usual_ratio(step, policy, least_members=1)
    if usual is None or not (step.spec.gang and policy.compare_members):
        return 0.0
    return 100 / (max(LEAST_ESTIMATE_S, step.spec.estimate_s) * usual)


def _is_telling(elapsed: float, gained: float, expected_rate: float) -> bool:
    """Whether a reading is far enough from the last one; `percent` may come in whole numbers."""
    would_show = elapsed * expected_rate >= CLEAR_LOSS
    return gained >= CLEAR_GAIN or would_show or elapsed >= LONGEST_MEASURE_S


def _judge(
    step: StepState, state: ExecutorState, attempt: Attempt, usual: float | None, now: float
) -> None:
    if has_slowed(attempt):
        state.slow_until = now + SLOW_FOR_S
    elif usual is None and step.spec.gang:
        return
    elif not _is_behind(attempt, usual):
        state.healthy_at = now
        state.slow_until = 0.0
    elif now - state.healthy_at <= HEALTHY_S:
        attempt.is_long = True
    elif not attempt.is_long:
        state.slow_until = now + SLOW_FOR_S


def has_slowed(attempt: Attempt) -> bool:
    """Whether an attempt is several times slower than it was before."""
    return attempt.best_rate > 0 and attempt.rate * SLOW_RATIO <= attempt.best_rate


def usual_ratio(
    step: StepState, policy: Policy = DEFAULT_POLICY, least_members: int = LEAST_MEMBERS
) -> float | None:
    """Return what the tasks of a step take over their estimate; None if that isn't known.

    The members of a gang take equally long, and each gets on by itself until the last one is
    done, so the fastest tells what is usual, also where most of them share a slow executor.
    The estimate doesn't, as it may be off tenfold; it is all there is where the whole gang is
    at one executor.
    """
    if step.spec.gang and not (policy.compare_members and _is_spread(step)):
        return 1.0
    if step.spec.gang:
        ratios = [a.ratio for a in step.attempts() if a.ratio is not None]
        return min(ratios) if len(ratios) >= least_members else None
    if len(step.ratios) < LEAST_COMPARED:
        return None
    return median(step.ratios.values())


def _is_behind(attempt: Attempt, usual: float | None) -> bool:
    if usual is None or attempt.ratio is None:
        return False
    return attempt.ratio >= SLOW_RATIO * usual


def should_move(
    step: StepState,
    task: TaskState,
    attempt: Attempt,
    state: ExecutorState,
    usual: float | None,
    now: float,
) -> bool:
    """Whether an attempt is so slow, for its executor's sake, that it may do better elsewhere."""
    if has_slowed(attempt):
        return True
    may_be_long = attempt.is_long or task.moves > 0
    return not may_be_long and state.slow_until > now and _is_behind(attempt, usual)


def remaining_s(step: StepState, attempt: Attempt) -> float:
    """Return the time that an attempt still takes at its present speed."""
    if attempt.rate > 0:
        return (100 - attempt.percent) / attempt.rate
    ratio = attempt.ratio if attempt.ratio is not None else 1.0
    return step.spec.estimate_s * ratio * (1 - attempt.percent / 100)


def restarted_s(step: StepState, attempt: Attempt, usual: float | None) -> float:
    """Return the time that the rest would take on a sound executor."""
    kept = attempt.percent / 100 if step.spec.checkpointing else 0.0
    if has_slowed(attempt):
        return 100 / attempt.best_rate * (1 - kept)
    return step.spec.estimate_s * (1.0 if usual is None else usual) * (1 - kept)


def is_whole(step: StepState, attempt: Attempt) -> bool:
    """Whether every member of an attempt's gang run is running."""
    return all(
        t.attempt is not None and t.attempt.phase is Phase.RUNNING and t.attempt.run == attempt.run
        for t in step.tasks
    )
