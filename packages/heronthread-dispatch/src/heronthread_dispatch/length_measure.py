"""Measurement of how long an ended run worked, on a typical executor near its data."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .fleet import ExecutorState
from .learned import LearnedState
from .step_state import Attempt, StepState

MAX_END_DELAY_S = 1.5
"""A report is due each second, so that a run without progress for longer ended unobserved."""
MAX_END_DELAY_SHARE = 0.1
"""An end that is known to this share of the run's length is precise enough."""


def find_far_factor(
    step: StepState, racks: Iterable[str], executor_rack: str, far_factor: float
) -> float:
    """Return the slowdown of a run by its distance from data or gang members.

    `racks` are those of its whole gang, `executor_rack` is its own one.
    """
    if step.spec.data_rack and executor_rack != step.spec.data_rack:
        return far_factor
    if not (step.spec.gang and step.spec.same_rack):
        return 1.0
    return far_factor if len(set(racks)) > 1 else 1.0


def measure_length(
    step: StepState,
    attempts: list[Attempt],
    executors: Mapping[str, ExecutorState],
    learned: LearnedState,
    far_factor: float,
    now: float,
) -> float | None:
    """Return the work time (s) of a run that has just ended as done, None if it is uncertain.

    `attempts` holds the whole gang, or the only member. A gang works from the start of its last
    member, at the speed of its slowest one. Runs that were adopted, resumed from a checkpoint, or
    may have been started by another send did not begin at a known time with no work done.
    """
    if not attempts or not all(map(_has_known_start, attempts)):
        return None
    if step.spec.gang and len(attempts) < len(step.tasks):
        return None
    length = now - max(attempt.sent_at for attempt in attempts)
    last_seen = max(attempt.progressed_at for attempt in attempts)
    if length <= 0 or now - last_seen > max(MAX_END_DELAY_S, length * MAX_END_DELAY_SHARE):
        return None
    states = [executors[a.executor] for a in attempts if a.executor in executors]
    if len(states) < len(attempts):
        return None
    racks = [state.executor.rack for state in states]
    far = max(find_far_factor(step, racks, rack, far_factor) for rack in racks)
    speed = min(learned.speeds.find(attempt.instance) or 1.0 for attempt in attempts)
    return length * speed / far


def _has_known_start(attempt: Attempt) -> bool:
    is_sent_once = attempt.sends == 1 and not attempt.unanswered and not attempt.refused_sends
    return is_sent_once and not attempt.is_resumed
