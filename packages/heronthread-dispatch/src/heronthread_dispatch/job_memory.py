"""Figures of the memory that jobs take."""

from __future__ import annotations

import resource
from collections.abc import Iterable

from .progress import JobState


def find_peak_memory_mb() -> float:
    """Return the largest resident memory that this process has had, in MB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def count_states(jobs: Iterable[JobState]) -> dict[str, float]:
    """Return how many steps and tasks of some jobs have a state in memory."""
    steps = tasks = 0
    for job in jobs:
        steps += len(job.steps)
        tasks += sum(step.tasks.known_count for step in job.steps)
    return {"step_states": steps, "task_states": tasks}
