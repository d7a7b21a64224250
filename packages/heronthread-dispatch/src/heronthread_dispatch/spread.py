"""How many runs of one step an executor holds, which a step's spread limit bounds."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable

from .fleet import ExecutorState
from .model import TaskKey
from .offers import UNLIMITED_FITS
from .plan import Candidate

StepKey = tuple[str, int, int]
"""A job's id, the number of a step and that of an occurrence."""


def step_key(task: TaskKey) -> StepKey:
    """Return the part of a task's key that identifies its step and occurrence."""
    return task.job, task.step, task.occurrence


def count_runs(key: StepKey, state: ExecutorState) -> int:
    """Return how many runs of a step an executor holds or may hold, orphaned ones included."""
    tasks = (*state.attempts, *(task for task, _ in state.orphans))
    return sum(1 for task in tasks if step_key(task) == key)


class SpreadAccount:
    """The runs of steps with a spread limit by executor, including those that a plan adds.

    A step may be planned in several parts, so each placement is added at once. Runs count by the
    executor's id: an order may still be carried out by another instance than it was sent to.
    Orphaned runs count until they are stopped. A plan made in several calls promises capacity
    that its stops will free; only these placements outlast a call.
    """

    def __init__(self, executors: Iterable[ExecutorState]) -> None:
        self._executors = executors
        self._orphans: dict[StepKey, Counter[str]] | None = None
        self._counts: dict[StepKey, Counter[str]] = {}
        self._promised: dict[StepKey, Counter[str]] = defaultdict(Counter)

    def reset(self) -> None:
        """Count anew from the current attempts, after a plan was carried out."""
        self._orphans = None
        self._counts.clear()

    def held(self, candidate: Candidate) -> Counter[str]:
        """Return how many tasks of a step each executor holds, or may; empty without a limit.

        The caller must not modify the result.
        """
        if not candidate.step.spec.spread_limit:
            return Counter()
        key = step_key(candidate.key)
        if key not in self._counts:
            attempts = Counter(attempt.executor for attempt in candidate.step.attempts())
            self._counts[key] = attempts + self._find_orphans(key) + self._promised[key]
        return self._counts[key]

    def room(self, candidate: Candidate, executor: str) -> int:
        """Return how many more tasks of a step its spread limit allows at an executor."""
        limit = candidate.step.spec.spread_limit
        if not limit:
            return UNLIMITED_FITS
        return max(0, limit - self.held(candidate)[executor])

    def add(self, candidate: Candidate, executor: str) -> None:
        """Count a task of a step that the plan places at an executor."""
        if candidate.step.spec.spread_limit:
            self.held(candidate)[executor] += 1

    def promise(self, candidate: Candidate, executor: str) -> None:
        """Count a task of a step that will be placed at an executor after the plan's stops."""
        self.add(candidate, executor)
        self._promised[step_key(candidate.key)][executor] += 1

    def remove(self, candidate: Candidate, executor: str) -> None:
        """Take back one `add`."""
        if candidate.step.spec.spread_limit:
            self.held(candidate)[executor] -= 1

    def _find_orphans(self, key: StepKey) -> Counter[str]:
        if self._orphans is None:
            self._orphans = defaultdict(Counter)
            for state in self._executors:
                for task, _ in state.orphans:
                    self._orphans[step_key(task)][state.id] += 1
        return self._orphans.get(key, Counter())
