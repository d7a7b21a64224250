"""Finds the steps of jobs that wait to be started, and what each of them may use."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from .late_starts import NOWHERE
from .learned import LearnedState
from .model import DesiredState, Queue, TaskKey
from .plan import Candidate
from .policy import Policy
from .progress import JobState
from .step_rank import rank_step
from .step_state import MAX_TASKS_PLANNED, StepState, TaskState, key_of
from .task_masks import find_executors

MIN_TASKS_PLANNED = 16
MAX_TASKS_PER_PLAN = 16_384
"""Tasks of all jobs that one plan tries to start, unless each has few; bounds its memory."""
MAX_WAITING_STEPS = 1_024
"""The waiting steps of a job beyond which no further occurrences of it are opened."""


@dataclass(frozen=True, slots=True)
class StartConstraints:
    """What keeps tasks from starting, or from starting anywhere; see `Planner`."""

    may_run: Callable[[TaskKey], bool] | None
    can_write_store: bool
    pins: Mapping[TaskKey, str]


class CandidateFinder:
    """Finds the waiting steps of the jobs of one plan.

    `guaranteed` are the jobs within their customers' guarantees, `jobs_count` is the number of
    jobs that share a plan, and `request_replan` asks for another plan in some seconds. `cut_short`
    gets the jobs with more to start than was returned.
    """

    def __init__(
        self,
        desired: DesiredState,
        guaranteed: set[str],
        now: float,
        wall_now: float,
        policy: Policy,
        learned: LearnedState,
        constraints: StartConstraints,
        jobs_count: int,
        request_replan: Callable[[float], None],
    ) -> None:
        self._desired = desired
        self._guaranteed = guaranteed
        self._now = now
        self._wall_now = wall_now
        self._policy = policy
        self._learned = learned
        self._constraints = constraints
        self._request_replan = request_replan
        self._most_tasks = max(
            MIN_TASKS_PLANNED, min(MAX_TASKS_PLANNED, MAX_TASKS_PER_PLAN // max(1, jobs_count))
        )
        self.cut_short: set[str] = set()

    def list_candidates(self, job: JobState) -> list[Candidate]:
        """Return the steps of a job with tasks to start, and open occurrences that are due.

        No more are opened, nor tasks of equal steps returned, than a plan is likely to start. The
        rest is left to the next plan, so that its cost is bounded whatever is due at once.
        """
        if not job.is_active:
            return []
        found: list[Candidate] = []
        queue, left = (
            self._desired.current_queue(job.spec),
            [self._most_tasks] * len(job.spec.steps),
        )
        self._add_candidates(found, job, job.steps, queue, left)
        if job.spec.schedule is not None:
            self._open_due(found, job, queue, left)
        if min(left, default=1) <= 0:
            self.cut_short.add(job.spec.id)
        return found

    def _add_candidates(
        self,
        found: list[Candidate],
        job: JobState,
        steps: list[StepState],
        queue: Queue,
        left: list[int],
    ) -> None:
        """Add the steps with tasks to start; `left` are the tasks that may be added, by step."""
        for step in steps:
            if step.is_done or (step.ready_at is not None and not step.waiting_count):
                continue
            tasks = self._find_startable(job, step, queue, left[step.number])
            if not tasks:
                continue
            left[step.number] -= len(tasks)
            for allowed, part in self._split_by_allowed_executors(job, step, tasks):
                found.append(self._rank(job, step, queue, part, allowed))

    def _open_due(
        self, found: list[Candidate], job: JobState, queue: Queue, left: list[int]
    ) -> None:
        """Open occurrences that are due, until a plan has as many of their tasks as it may."""
        first_steps = [number for number, step in enumerate(job.spec.steps) if not step.after]
        waiting = sum(1 for step in job.steps if step.waiting_count)
        while any(left[number] > 0 for number in first_steps):
            if waiting >= MAX_WAITING_STEPS:
                self.cut_short.add(job.spec.id)
                return
            steps = job.occurrences.open_next_due(self._wall_now)
            if not steps:
                self._replan_when_due(job.occurrences.find_next_due_at())
                return
            waiting += len(steps)
            self._add_candidates(found, job, steps, queue, left)

    def _find_startable(
        self, job: JobState, step: StepState, queue: Queue, most: int
    ) -> list[TaskState]:
        """Return at most `most` tasks of a step that may start now; all of a gang's, or none."""
        if not job.is_ready(step, self._wall_now):
            self._replan_when_due(step.due_at)
            return []
        if step.ready_at is None:
            step.ready_at = self._now
        is_under_way = step.spec.gang and step.attempt_count
        if not step.waiting_count or is_under_way or self._awaits_failure(step, queue):
            return []
        if most <= 0:
            return []
        tasks = step.open_tasks(most, self._make_start_check(job, step))
        return [] if step.spec.gang and len(tasks) < len(step.tasks) else tasks

    def _make_start_check(self, job: JobState, step: StepState) -> Callable[[int], bool] | None:
        """Return a check by index whether a task may start; None if all of the step may.

        A task may not start if an unobservable run may be executing it now or later, or while
        crashes under it forbid another start.
        """
        pins, may_run = self._constraints.pins, self._constraints.may_run
        if not pins and may_run is None and not step.has_suspects:
            return None

        def may_start(index: int) -> bool:
            key = key_of(job.spec.id, step, index)
            if pins and pins.get(key) == NOWHERE:
                return False
            if may_run is not None and may_run(key):
                return False
            return not step.has_suspects or job.may_start(step.tasks.peek(index))

        return may_start

    def _awaits_failure(self, step: StepState, queue: Queue) -> bool:
        """Whether failures that executors may yet list would use up a gang's attempts."""
        if not step.ends.unlisted or step.spec.lasting:
            return False
        return len(step.list_possible_failures(self._now)) >= queue.max_attempts

    def _replan_when_due(self, due_at: float | None) -> None:
        """Request another plan for the time at which a step becomes due (Unix time in s)."""
        if due_at is not None and due_at > self._wall_now:
            self._request_replan(due_at - self._wall_now)

    def _split_by_allowed_executors(
        self, job: JobState, step: StepState, tasks: list[TaskState]
    ) -> Iterable[tuple[frozenset[str] | None, list[TaskState]]]:
        """Yield groups of tasks with the only executors they may use, None for any executor."""
        if self._constraints.can_write_store:
            return [(None, tasks)]
        covered = job.places.list_covered()
        parts: dict[frozenset[str], list[TaskState]] = {}
        for task in tasks:
            allowed_executors = find_executors(covered, step.mask_of(task.index))
            parts.setdefault(allowed_executors, []).append(task)
        return parts.items()

    def _rank(
        self,
        job: JobState,
        step: StepState,
        queue: Queue,
        tasks: list[TaskState],
        allowed_executors: frozenset[str] | None,
    ) -> Candidate:
        guaranteed = job.spec.id in self._guaranteed
        share_rank = (
            self._learned.shares.rank(queue.pool, job.spec.tenant, self._now)
            if self._policy.fair_shares
            else 0
        )
        rank = rank_step(
            job,
            step,
            queue,
            guaranteed,
            self._now,
            self._wall_now,
            self._policy,
            self._learned,
            share_rank,
        )
        return Candidate(
            job,
            step,
            queue,
            tasks,
            guaranteed,
            rank,
            allowed_executors,
            self._list_pins(job, step, tasks),
        )

    def _list_pins(self, job: JobState, step: StepState, tasks: list[TaskState]) -> dict[int, str]:
        """Return the executors that tasks are pinned to, by task index."""
        if not self._constraints.pins:
            return {}
        pins = ((task.index, self._constraints.pins.get(job.key_of(step, task))) for task in tasks)
        return {index: name for index, name in pins if name is not None}
