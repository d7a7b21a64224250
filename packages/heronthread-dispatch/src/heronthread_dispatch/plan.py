"""What a plan is made of: steps that have tasks to start, starts, and what is taken back."""

from __future__ import annotations

from dataclasses import dataclass, field

from .approval import Question
from .fleet import ExecutorState
from .model import Queue, TaskKey
from .order import Turn
from .progress import Attempt, JobState, StepState, TaskState


@dataclass(frozen=True, slots=True)
class Start:
    """A run of a task to be started at an executor."""

    job: JobState
    step: StepState
    task: TaskState
    executor: ExecutorState


@dataclass(slots=True)
class Plan:
    """Starts in groups (a gang is one group), attempts to take back, and approvals to ask for."""

    groups: list[list[Start]] = field(default_factory=list)
    stops: list[Attempt] = field(default_factory=list)
    questions: list[Question] = field(default_factory=list)
    recheck_in_s: float | None = None


@dataclass(slots=True, eq=False)
class Candidate:
    """A step that has tasks to start, with its turn.

    `named` are the only executors that may be used, None if all may: those that the store names for
    the job, while it can name no others. `pins` names the only executor for some tasks, by index.
    """

    job: JobState
    step: StepState
    queue: Queue
    tasks: list[TaskState]
    guaranteed: bool
    turn: Turn
    named: frozenset[str] | None = None
    pins: dict[int, str] = field(default_factory=dict)

    @property
    def key(self) -> TaskKey:
        """The key of the step's first task, which names the step."""
        return self.job.key_of(self.step, self.step.tasks[0])

    def waited_s(self, now: float) -> float:
        """Return the time since the step's turn came."""
        return 0.0 if self.step.ready_at is None else now - self.step.ready_at
