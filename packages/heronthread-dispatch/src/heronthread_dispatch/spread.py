"""How many runs of one step an executor holds, which a step's spread limit bounds."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable

from .fleet import ExecutorState
from .model import TaskKey
from .offers import UNLIMITED_FITS
from .plan import Candidate
from .step_state import TaskState

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
    Orphaned runs count until they are stopped. `late_starts` are the tasks of unanswered starts, by
    executor id; such a start counts for the other tasks of its step, as the next instance might
    carry out both. Placements that wait for the plan's stops are kept over its calls.
    """

    def __init__(
        self,
        executors: Iterable[ExecutorState],
        late_starts: Iterable[tuple[str, TaskKey]] = (),
    ) -> None:
        self._executors = executors
        self._orphans: dict[StepKey, Counter[str]] | None = None
        self._counts: dict[StepKey, Counter[str]] = {}
        self._promised: dict[StepKey, Counter[str]] = defaultdict(Counter)
        self._placed: set[tuple[str, TaskKey]] = set()
        self._late: dict[StepKey, dict[str, set[TaskKey]]] = {}
        for executor, task in late_starts:
            by_executor = self._late.setdefault(step_key(task), {})
            by_executor.setdefault(executor, set()).add(task)

    def reset(self) -> None:
        """Count anew from the current attempts, after a call's starts were carried out."""
        self._orphans = None
        self._counts.clear()
        self._placed.clear()

    def list_held(self, candidate: Candidate) -> Counter[str]:
        """Return how many tasks of a step each executor holds, or may; empty without a limit."""
        if not candidate.step.spec.spread_limit:
            return Counter()
        held = Counter(self._count(candidate))
        for executor in self._late.get(step_key(candidate.key), ()):
            held[executor] += self._count_late(candidate, executor, None)
        return held

    def room(self, candidate: Candidate, executor: str, task: TaskState | None = None) -> int:
        """Return how many more tasks of a step its spread limit allows at an executor.

        `task` is the one to be placed, whose own late start does not count.
        """
        limit = candidate.step.spec.spread_limit
        if not limit:
            return UNLIMITED_FITS
        late = self._count_late(candidate, executor, task)
        return max(0, limit - self._count(candidate)[executor] - late)

    def add(self, candidate: Candidate, executor: str, task: TaskState) -> None:
        """Count a task of a step that the plan places at an executor."""
        if candidate.step.spec.spread_limit:
            self._count(candidate)[executor] += 1
            self._placed.add((executor, candidate.job.key_of(candidate.step, task)))

    def promise(self, candidate: Candidate, executor: str) -> None:
        """Count a task of a step that an executor will hold after the plan's stops."""
        if candidate.step.spec.spread_limit:
            self._count(candidate)[executor] += 1
            self._promised[step_key(candidate.key)][executor] += 1

    def remove(self, candidate: Candidate, executor: str, task: TaskState) -> None:
        """Take back one `add`."""
        if candidate.step.spec.spread_limit:
            self._count(candidate)[executor] -= 1
            self._placed.discard((executor, candidate.job.key_of(candidate.step, task)))

    def _count(self, candidate: Candidate) -> Counter[str]:
        key = step_key(candidate.key)
        if key not in self._counts:
            attempts = Counter(attempt.executor for attempt in candidate.step.attempts())
            self._counts[key] = attempts + self._find_orphans(key) + self._promised[key]
        return self._counts[key]

    def _count_late(self, candidate: Candidate, executor: str, task: TaskState | None) -> int:
        """Return how many tasks other than one may start late, and are not counted as runs."""
        late = self._late.get(step_key(candidate.key), {}).get(executor)
        if not late:
            return 0
        own = None if task is None else candidate.job.key_of(candidate.step, task)
        return sum(1 for key in late if key != own and not self._is_at(candidate, key, executor))

    def _is_at(self, candidate: Candidate, key: TaskKey, executor: str) -> bool:
        """Whether the task of a late start counts as a run there already."""
        if (executor, key) in self._placed:
            return True
        attempt = candidate.step.tasks.peek(key.member).attempt
        if attempt is not None and attempt.executor == executor:
            return True
        return any(
            task == key
            for state in self._executors
            if state.id == executor
            for task, _ in state.orphans
        )

    def _find_orphans(self, key: StepKey) -> Counter[str]:
        if self._orphans is None:
            self._orphans = defaultdict(Counter)
            for state in self._executors:
                for task, _ in state.orphans:
                    self._orphans[step_key(task)][state.id] += 1
        return self._orphans.get(key, Counter())
