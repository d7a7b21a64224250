"""The parts of a plan: candidate steps, starts and attempts to stop."""

from __future__ import annotations

from dataclasses import dataclass, field

from .approval import ApprovalRequest
from .fleet import ExecutorState
from .model import Queue, TaskKey
from .progress import JobState
from .step_rank import StepRank
from .step_state import Attempt, StepState, TaskState
from .urgent_room import LendReason


@dataclass(frozen=True, slots=True)
class SpreadCount:
    """What a plan counted towards a step's spread limit when it placed a task.

    `counted` is how many of the step's tasks the executor holds or may hold, this one included.
    `allowed` is the number of executors that the task may use, None for any. `plan` numbers the
    plans of an owner.
    """

    plan: int
    counted: int
    allowed: int | None


@dataclass(frozen=True, slots=True)
class Start:
    """A run of a task to start on an executor; `spread` is set for steps with a spread limit."""

    job: JobState
    step: StepState
    task: TaskState
    executor: ExecutorState
    spread: SpreadCount | None = None


@dataclass(frozen=True, slots=True)
class Preemption:
    """A job whose runs are stopped for an urgent job; `times` counts its preemptions so far."""

    job: str
    urgent_job: str
    is_for_guarantee: bool
    times: int


@dataclass(slots=True)
class Plan:
    """Starts in groups (a gang is one group), attempts to stop, and approvals to request.

    `preemptions` names the jobs stopped for urgent work, and `loans` why steps start on
    capacity reserved for it, by the keys of their first tasks.
    """

    groups: list[list[Start]] = field(default_factory=list)
    stops: list[Attempt] = field(default_factory=list)
    approval_requests: list[ApprovalRequest] = field(default_factory=list)
    replan_in_s: float | None = None
    preemptions: list[Preemption] = field(default_factory=list)
    loans: dict[TaskKey, LendReason] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Candidate:
    """A step with tasks to start, and its rank.

    `allowed_executors` is set while the store can record no further executors for the job: only
    those already recorded may run it. None allows any executor. `pins` maps task indexes to the
    only executor that may run them.
    """

    job: JobState
    step: StepState
    queue: Queue
    tasks: list[TaskState]
    guaranteed: bool
    rank: StepRank
    allowed_executors: frozenset[str] | None = None
    pins: dict[int, str] = field(default_factory=dict)

    @property
    def key(self) -> TaskKey:
        """The key of the step's first task, which identifies the step."""
        return self.job.key_of(self.step, self.step.tasks[0])

    def waited_s(self, now: float) -> float:
        """Return the time since the step became ready."""
        return 0.0 if self.step.ready_at is None else now - self.step.ready_at
