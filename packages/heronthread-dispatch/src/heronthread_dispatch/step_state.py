"""In-memory state of steps, tasks and attempts.

A task has a state of its own only while there is more to know of it than whether it is done, so
that memory and time depend on the tasks that are waiting to be placed, running or failed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import overload

from .gang_ends import GangEnds
from .model import ExecutorInstance, Resources, StepSpec, TaskKey
from .record import Blame, StepProgress
from .task_masks import list_bits

UNSETTLED = float("inf")
MAX_BLAMED_CRASHES = 2
"""A task is given up once it alone can have crashed so many executors, as documented for callers.
"""
MAX_CRASHES = 4
"""A task is given up after so many crashes, whoever is to blame: one below the documented limit."""
MAX_TASKS_PLANNED = 256
"""The tasks of a job that one plan tries to start; the next plan follows at once if they do."""


class Phase(Enum):
    """The phase of an attempt."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class Attempt:
    """One run of a task that is, or may be, at one instance of an executor.

    Times are on trio's clock. `settled_at` is when an answer to a start or stop proved that any
    report requested later is conclusive about this run. `sends` counts the start orders sent,
    `unanswered` those without an answer, which may still be carried out late, and `refused_sends`
    those without effect. `sent_at` is the time of the last send, and `is_in_flight` is set while it
    is in flight. `seen` is set once a report has listed the run. `progressed_at` is when `percent`
    last rose. `rate` is the last measured speed (percent/s) and `best_rate` the highest one;
    `ratio` is the measured over the estimated duration. `is_long` marks an attempt that is slow
    because of its task, as its executor runs others at normal speed. `is_resumed` is set if the run
    began from a checkpoint.
    """

    task: TaskKey
    run: int
    instance: ExecutorInstance
    need: Resources
    ordered_at: float
    phase: Phase = Phase.STARTING
    settled_at: float = UNSETTLED
    sends: int = 0
    unanswered: int = 0
    refused_sends: int = 0
    sent_at: float = 0.0
    is_in_flight: bool = False
    seen: bool = False
    percent: float = 0.0
    progressed_at: float = 0.0
    began_at: float | None = None
    began_percent: float = 0.0
    stop_reason: str = ""
    measured_at: float | None = None
    measured_percent: float = 0.0
    ratio: float | None = None
    rate: float = 0.0
    best_rate: float = 0.0
    is_long: bool = False
    is_resumed: bool = False

    @property
    def executor(self) -> str:
        """The executor's id."""
        return self.instance.id

    @property
    def has_begun(self) -> bool:
        """Whether a report has listed the run, or a start was acknowledged."""
        open_sends = self.unanswered + self.refused_sends + self.is_in_flight
        return self.seen or self.sends > open_sends

    @property
    def may_have_begun(self) -> bool:
        """Whether any send may have had an effect; an adopted run was never sent by this owner."""
        return self.seen or self.sends > self.refused_sends

    @property
    def has_single_unresolved_send(self) -> bool:
        """Whether exactly one send may have started the run."""
        open_sends = self.unanswered + self.is_in_flight
        return open_sends == 1 and self.sends <= open_sends + self.refused_sends


class TaskState:
    """One task, with at most one current attempt.

    `moves` counts the attempts stopped because others of the step were faster. `crashes` holds the
    executor instances that crashed under the task, and `works` is set once a run has survived its
    start. Changes update the step's counters, so that a plan need not iterate over all tasks.
    """

    __slots__ = (
        "_attempt",
        "_done",
        "_step",
        "avoid",
        "checkpoint",
        "checkpoint_run",
        "crashes",
        "failed_runs",
        "index",
        "last_run",
        "moves",
        "works",
    )

    def __init__(self, index: int, step: StepState | None = None, *, done: bool = False) -> None:
        self.index = index
        self.failed_runs: set[int] = set()
        self.crashes: dict[ExecutorInstance, Blame] = {}
        self.checkpoint = ""
        self.checkpoint_run = 0
        self.last_run = 0
        self.avoid: dict[str, float] = {}
        self.moves = 0
        self.works = False
        self._done = done
        self._attempt: Attempt | None = None
        self._step = step

    def avoids(self, executor: str, now: float) -> bool:
        """Return whether the task is not to be started at an executor id for now."""
        until = self.avoid.get(executor)
        return until is not None and until > now

    def set_blame(self, instance: ExecutorInstance, blame: Blame | None) -> None:
        """Set the blame for the crash of an executor instance; None removes it."""
        if blame is None:
            self.crashes.pop(instance, None)
        else:
            self.crashes[instance] = blame
        if self._step is not None:
            self._step.note_crashes(self)

    @property
    def is_given_up(self) -> bool:
        """Whether so many executors have crashed under the task that it is not started again."""
        blames = [blame for blame in self.crashes.values() if blame is not Blame.ON_TRIAL]
        return blames.count(Blame.BLAMED) >= MAX_BLAMED_CRASHES or len(blames) >= MAX_CRASHES

    @property
    def done(self) -> bool:
        """Whether a run of the task ended successfully."""
        return self._done

    @done.setter
    def done(self, done: bool) -> None:
        is_changed = done != self._done
        self._done = done
        if is_changed and self._step is not None:
            self._step.note_done(self)

    @property
    def attempt(self) -> Attempt | None:
        """The current attempt, None if there is none."""
        return self._attempt

    @attempt.setter
    def attempt(self, attempt: Attempt | None) -> None:
        is_changed = (attempt is None) != (self._attempt is None)
        self._attempt = attempt
        if is_changed and self._step is not None:
            self._step.note_attempt(self)

    @property
    def is_open(self) -> bool:
        """Whether the task waits to be started."""
        return self._attempt is None and not self._done


class TaskTable(Sequence[TaskState]):
    """The tasks of a step; the state of each is made when it is first asked for.

    The states of done tasks are dropped again, unless executors have crashed under them.
    """

    __slots__ = ("_all", "_known", "_step")

    def __init__(self, step: StepState) -> None:
        self._step = step
        self._known: dict[int, TaskState] = {}
        self._all: list[TaskState] | None = None

    def __len__(self) -> int:
        return self._step.spec.count

    @overload
    def __getitem__(self, index: int) -> TaskState: ...

    @overload
    def __getitem__(self, index: slice) -> list[TaskState]: ...

    def __getitem__(self, index: int | slice) -> TaskState | list[TaskState]:
        if isinstance(index, slice):
            return [self[number] for number in range(*index.indices(len(self)))]
        task = self._known.get(index)
        if task is None:
            index = range(len(self))[index]
            task = self._known.get(index)
        if task is None:
            is_done = bool(self._step.done_mask >> index & 1)
            task = TaskState(index, self._step, done=is_done)
            if not is_done:
                self._known[index] = task
        return task

    def __iter__(self) -> Iterator[TaskState]:
        return map(self.__getitem__, range(len(self)))

    def list_all(self) -> list[TaskState]:
        """Return all tasks, of which none is done; the caller must not modify the list."""
        if self._all is None:
            self._all = list(self)
        return self._all

    def list_known(self) -> list[TaskState]:
        """Return the tasks that have a state, in order."""
        return [self._known[index] for index in sorted(self._known)]

    @property
    def known_count(self) -> int:
        """The number of tasks that have a state."""
        return len(self._known)

    def peek(self, index: int) -> TaskState:
        """Return a task's state for reading, without keeping it."""
        known = self._known.get(index)
        if known is not None:
            return known
        return TaskState(index, done=bool(self._step.done_mask >> index & 1))

    def keep(self, task: TaskState) -> None:
        """Keep the state of a task that has changed."""
        if self._known.get(task.index) is not task:
            self._known[task.index] = task
            self._all = None

    def drop(self, task: TaskState) -> None:
        """Drop the state of a task."""
        self._known.pop(task.index, None)
        self._all = None


@dataclass(slots=True, eq=False)
class StepState:
    """One step of one occurrence of a job.

    `ready_at` is when the step became startable (trio's clock), `due_at` the earliest start of its
    occurrence (Unix time in s), None for at once. `ratios` holds the last ratio of measured to
    estimated duration of each task. `first` is the number of its first task within the job.
    `done_mask` and `attempt_mask` have a bit for each task that is done, and that has an attempt.
    `done_count`, `attempt_count` and `waiting_count` are the numbers of tasks that are done, have
    an attempt, and wait for one. `tenant` and `queue` name the job's customer and queue. `ends` are
    those that were listed of a gang's newest run. `on_done` is called whenever all tasks are done
    and none has an attempt.
    """

    spec: StepSpec
    number: int = 0
    occurrence: int = 0
    due_at: float | None = None
    first: int = 0
    done_mask: int = 0
    ready_at: float | None = None
    chosen_rack: str | None = None
    ratios: dict[int, float] = field(default_factory=dict)
    rescues: int = 0
    has_suspects: bool = False
    partial_since: float | None = None
    attempt_mask: int = 0
    done_count: int = 0
    attempt_count: int = 0
    waiting_count: int = 0
    tenant: str = ""
    queue: str = ""
    ends: GangEnds = field(default_factory=GangEnds)
    on_done: Callable[[StepState], None] | None = None
    tasks: TaskTable = field(init=False)
    _has_dropped_begun: bool = False

    def __post_init__(self) -> None:
        self.tasks = TaskTable(self)
        self._set_done(self.done_mask)

    def _set_done(self, mask: int) -> None:
        self.done_mask = mask
        self.done_count = mask.bit_count()
        self.waiting_count = self.spec.count - self.done_count

    def restore(self, saved: StepProgress) -> None:
        """Restore the progress that an earlier owner recorded."""
        self._set_done(saved.done)
        for index in {*saved.failures, *saved.checkpoints, *saved.crashes}:
            if not 0 <= index < self.spec.count:
                continue
            task = self.tasks[index]
            task.failed_runs = set(saved.failures.get(index, ()))
            task.checkpoint = saved.checkpoints.get(index, "")
            for instance, blame in saved.crashes.get(index, {}).items():
                is_open = blame is Blame.ON_TRIAL
                task.set_blame(instance, Blame.SUSPECTED if is_open else blame)

    def to_progress(self) -> StepProgress:
        """Return the progress that must outlast the owner."""
        tasks = self.tasks.list_known()
        return StepProgress(
            self.done_mask,
            {t.index: sorted(t.failed_runs) for t in tasks if t.failed_runs},
            {t.index: t.checkpoint for t in tasks if t.checkpoint and not t.done},
            {t.index: dict(t.crashes) for t in tasks if t.crashes},
        )

    def note_done(self, task: TaskState) -> None:
        """Update the counters after a task became done, or is no longer."""
        change = 1 if task.done else -1
        self.done_mask ^= 1 << task.index
        self.done_count += change
        if task.attempt is None:
            self.waiting_count -= change
        self._drop_if_settled(task)

    def note_attempt(self, task: TaskState) -> None:
        """Update the counters after a task got an attempt, or lost it."""
        change = 1 if task.attempt is not None else -1
        self.attempt_mask ^= 1 << task.index
        self.attempt_count += change
        if not task.done:
            self.waiting_count -= change
        self.tasks.keep(task)
        self._drop_if_settled(task)

    def note_crashes(self, task: TaskState) -> None:
        """Update whether executors have crashed under any task, after a change of one."""
        self.tasks.keep(task)
        self.has_suspects = any(known.crashes for known in self.tasks.list_known())

    def _drop_if_settled(self, task: TaskState) -> None:
        if not task.done or task.attempt is not None:
            return
        if not task.crashes:
            self._has_dropped_begun |= bool(task.last_run)
            self.tasks.drop(task)
        if self.on_done is not None and self.is_done and not self.attempt_count:
            self.on_done(self)

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return self.done_count == self.spec.count

    @property
    def mask(self) -> int:
        """The bit mask of the step's tasks within the job."""
        return ((1 << self.spec.count) - 1) << self.first

    def mask_of(self, member: int) -> int:
        """Return the bit of one task, or the whole step's mask for a gang, which starts as one."""
        return self.mask if self.spec.gang else 1 << (self.first + member)

    def list_open_masks(self, most: int) -> list[int]:
        """Return the masks of at most `most` waiting tasks; a gang has one mask."""
        if self.spec.gang:
            return [self.mask]
        return [self.mask_of(index) for index in list_bits(self._open_mask, most)]

    @property
    def is_begun(self) -> bool:
        """Whether any task was started by this owner, or has ended."""
        return self._has_dropped_begun or any(task.last_run for task in self.tasks.list_known())

    def count_failures(self, task: TaskState) -> int:
        """Return the number of failed runs of a task, or of its whole gang."""
        if not self.spec.gang:
            return len(task.failed_runs)
        return len(self._list_failed_runs())

    def _list_failed_runs(self) -> set[int]:
        return set[int]().union(*(task.failed_runs for task in self.tasks.list_known()))

    def list_possible_failures(self, now: float) -> set[int]:
        """Return the failed runs of a gang, and those of which a failure may yet be listed."""
        listed = self._list_failed_runs()
        return listed.union(unlisted.run for unlisted in self.ends.list_unlisted(now))

    def attempts(self) -> list[Attempt]:
        """Return the current attempts, in task order."""
        if not self.attempt_count:
            return []
        attempts = (self.tasks[index].attempt for index in list_bits(self.attempt_mask))
        return [attempt for attempt in attempts if attempt is not None]

    @property
    def _open_mask(self) -> int:
        return ((1 << self.spec.count) - 1) & ~(self.done_mask | self.attempt_mask)

    def open_tasks(
        self, most: int = MAX_TASKS_PLANNED, is_startable: Callable[[int], bool] | None = None
    ) -> list[TaskState]:
        """Return the first tasks that wait to be started, all of a gang's.

        `is_startable` is asked for each task's index, and leaves out those for which it is false.
        The caller must not modify the list.
        """
        limit = self.spec.count if self.spec.gang else most
        if is_startable is None and self.waiting_count == self.spec.count <= limit:
            return self.tasks.list_all()
        if is_startable is None:
            return [self.tasks[index] for index in list_bits(self._open_mask, limit)]
        found = filter(is_startable, list_bits(self._open_mask))
        return [self.tasks[index] for index, _ in zip(found, range(limit), strict=False)]


def key_of(job: str, step: StepState, index: int) -> TaskKey:
    """Return the key of a task of a job."""
    return TaskKey(job, step.number, index, step.occurrence)
