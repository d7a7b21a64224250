"""How many runs of one step an executor holds, which a step's spread limit bounds."""

from __future__ import annotations

from .fleet import ExecutorState
from .model import TaskKey
from .step_state import StepState

StepKey = tuple[str, int, int]
"""A job's id, the number of a step and that of an occurrence."""


def step_key(task: TaskKey) -> StepKey:
    """Return the part of a task's key that identifies its step and occurrence."""
    return task.job, task.step, task.occurrence


def count_runs(job: str, step: StepState, state: ExecutorState) -> int:
    """Return how many runs of a step an executor holds or may hold, orphaned ones included."""
    key = (job, step.number, step.occurrence)
    orphans = sum(1 for task, _ in state.orphans if step_key(task) == key)
    return orphans + sum(1 for attempt in step.attempts() if attempt.executor == state.id)
