"""In-memory state of jobs, steps, tasks and attempts."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum

from .gang_ends import GangEnds
from .model import ExecutorInstance, JobSpec, Queue, Resources, StepSpec, TaskKey, UnresolvedStart
from .placements import JobPlacements
from .record import Blame, JobStatus, ProgressRecord, StepProgress
from .task_masks import ANY, TaskMasks, distribute, subtract, unite

UNSETTLED = float("inf")
LATE_FACTOR = 3.0
MAX_BLAMED_CRASHES = 2
"""A task is given up once it alone can have crashed so many executors, as documented for callers.
"""
MAX_CRASHES = 4
"""A task is given up after so many crashes, whoever is to blame: one below the documented limit."""
MAX_NAMED_AHEAD = 256
"""Tasks of a job with executors recorded in advance: more than start in a store outage."""


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

    def __init__(self, index: int) -> None:
        self.index = index
        self.failed_runs: set[int] = set()
        self.crashes: dict[ExecutorInstance, Blame] = {}
        self.checkpoint = ""
        self.checkpoint_run = 0
        self.last_run = 0
        self.avoid: dict[str, float] = {}
        self.moves = 0
        self.works = False
        self._done = False
        self._attempt: Attempt | None = None
        self._step: StepState | None = None

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
            self._step.has_suspects = any(task.crashes for task in self._step.tasks)

    @property
    def is_given_up(self) -> bool:
        """Whether so many executors have crashed under the task that it is not started again."""
        blames = [blame for blame in self.crashes.values() if blame is not Blame.ON_TRIAL]
        return blames.count(Blame.BLAMED) >= MAX_BLAMED_CRASHES or len(blames) >= MAX_CRASHES

    def join(self, step: StepState) -> None:
        """Attach the task to its step."""
        self._step = step

    @property
    def done(self) -> bool:
        """Whether a run of the task ended successfully."""
        return self._done

    @done.setter
    def done(self, done: bool) -> None:
        if done != self._done and self._step is not None:
            self._step.done_count += 1 if done else -1
            if self._attempt is None:
                self._step.waiting_count -= 1 if done else -1
        self._done = done

    @property
    def attempt(self) -> Attempt | None:
        """The current attempt, None if there is none."""
        return self._attempt

    @attempt.setter
    def attempt(self, attempt: Attempt | None) -> None:
        change = (attempt is not None) - (self._attempt is not None)
        if change and self._step is not None:
            self._step.attempt_count += change
            if not self._done:
                self._step.waiting_count -= change
        self._attempt = attempt

    @property
    def is_open(self) -> bool:
        """Whether the task waits to be started."""
        return self._attempt is None and not self._done


@dataclass(slots=True, eq=False)
class StepState:
    """One step of one occurrence of a job.

    `ready_at` is when the step became startable (trio's clock), `due_at` the earliest start of its
    occurrence (Unix time in s), None for at once. `ratios` holds the last ratio of measured to
    estimated duration of each task. `first` is the number of its first task within the job.
    `done_count`, `attempt_count` and `waiting_count` are the numbers of tasks that are done, have
    an attempt, and wait for one. `tenant` and `queue` name the job's customer and queue. `ends` are
    those that were listed of a gang's newest run.
    """

    spec: StepSpec
    tasks: list[TaskState]
    number: int = 0
    occurrence: int = 0
    due_at: float | None = None
    first: int = 0
    ready_at: float | None = None
    chosen_rack: str | None = None
    ratios: dict[int, float] = field(default_factory=dict)
    rescues: int = 0
    has_suspects: bool = False
    partial_since: float | None = None
    done_count: int = 0
    attempt_count: int = 0
    waiting_count: int = 0
    tenant: str = ""
    queue: str = ""
    ends: GangEnds = field(default_factory=GangEnds)

    def __post_init__(self) -> None:
        for task in self.tasks:
            task.join(self)
        self.waiting_count = len(self.tasks)

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return self.done_count == len(self.tasks)

    @property
    def mask(self) -> int:
        """The bit mask of the step's tasks within the job."""
        return ((1 << len(self.tasks)) - 1) << self.first

    def mask_of(self, member: int) -> int:
        """Return the bit of one task, or the whole step's mask for a gang, which starts as one."""
        return self.mask if self.spec.gang else 1 << (self.first + member)

    def list_open_masks(self, most: int) -> list[int]:
        """Return the masks of at most `most` waiting tasks; a gang has one mask."""
        if self.spec.gang:
            return [self.mask]
        return [self.mask_of(task.index) for task in self.open_tasks()[:most]]

    @property
    def is_begun(self) -> bool:
        """Whether any task was started by this owner, or has ended."""
        return any(task.last_run for task in self.tasks)

    def count_failures(self, task: TaskState) -> int:
        """Return the number of failed runs of a task, or of its whole gang."""
        if not self.spec.gang:
            return len(task.failed_runs)
        return len(set().union(*(t.failed_runs for t in self.tasks)))

    def list_possible_failures(self, now: float) -> set[int]:
        """Return the failed runs of a gang, and those of which a failure may yet be listed."""
        listed = set[int]().union(*(task.failed_runs for task in self.tasks))
        return listed.union(unlisted.run for unlisted in self.ends.list_unlisted(now))

    def attempts(self) -> list[Attempt]:
        """Return the current attempts, in task order."""
        if not self.attempt_count:
            return []
        return [task.attempt for task in self.tasks if task.attempt is not None]

    def open_tasks(self) -> list[TaskState]:
        """Return the tasks that wait to be started; the caller must not modify the list."""
        if self.waiting_count == len(self.tasks):
            return self.tasks
        return [task for task in self.tasks if task.is_open]


@dataclass(slots=True, eq=False)
class JobState:
    """The state of one job.

    `recorded` is the status in the store. `steps` holds the steps of the first occurrence, then
    those of the next one, and so on. `created` is the store revision at which the job was accepted,
    0 if unknown. `chain_s` is the critical path of estimated step durations. `crash_notes` counts
    the changes to the crashes of its tasks, and `crash_notes_recorded` those that are in the store.
    `places` tracks where runs may be. `preemptions` counts how often runs of it were stopped for
    urgent work, and `open_preemptions` how often for work outside guarantees, both in this term.
    """

    spec: JobSpec
    steps: list[StepState]
    cancelled: bool = False
    failed: bool = False
    begun: bool = False
    revision: int = 0
    recorded: JobStatus | None = None
    arrived_at: float = 0.0
    created: int = 0
    ended_at: float | None = None
    chain_s: float = 0.0
    crash_notes: int = 0
    crash_notes_recorded: int = 0
    places: JobPlacements = field(default_factory=JobPlacements)
    preemptions: int = 0
    open_preemptions: int = 0

    @property
    def is_done(self) -> bool:
        """Whether every task of every step is done."""
        return all(step.is_done for step in self.steps)

    @property
    def status(self) -> JobStatus:
        """The status in memory, recorded or not."""
        if self.failed:
            return JobStatus.FAILED
        if self.is_done:
            return JobStatus.SUCCEEDED
        if self.cancelled:
            return JobStatus.CANCELLED
        return JobStatus.RUNNING if self.begun else JobStatus.PENDING

    @property
    def shown(self) -> JobStatus:
        """The status for callers, which is final only once it is recorded."""
        if self.recorded is not None and self.recorded.is_final:
            return self.recorded
        if self.cancelled:
            return JobStatus.CANCELLED
        return JobStatus.RUNNING if self.begun else JobStatus.PENDING

    @property
    def is_active(self) -> bool:
        """Whether tasks of the job may be started."""
        return not (self.cancelled or self.failed or self.is_done)

    def count_tasks(self) -> int:
        """Return the number of tasks."""
        return self.steps[-1].first + len(self.steps[-1].tasks)

    def task(self, key: TaskKey) -> TaskState | None:
        """Return a task by its key, None if the job has no such task."""
        if not 0 <= key.step < len(self.spec.steps):
            return None
        if not 0 <= key.occurrence < self.spec.occurrences:
            return None
        tasks = self.step_of(key).tasks
        return tasks[key.member] if 0 <= key.member < len(tasks) else None

    def step_of(self, key: TaskKey) -> StepState:
        """Return the step of a task."""
        return self.steps[key.occurrence * len(self.spec.steps) + key.step]

    def key_of(self, step: StepState, task: TaskState) -> TaskKey:
        """Return the key of a task."""
        return TaskKey(self.spec.id, step.number, task.index, step.occurrence)

    def mask_of(self, task: UnresolvedStart | TaskKey) -> int:
        """Return the mask of a task, of all members for a gang; 0 if there is no such task."""
        key = TaskKey(self.spec.id, task.step, task.member, task.occurrence)
        return self.step_of(key).mask_of(key.member) if self.task(key) is not None else 0

    def locate_attempts(self, attempts: Iterable[Attempt]) -> TaskMasks:
        """Return the executors of some attempts with the masks of their tasks."""
        return unite(*({a.executor: self.mask_of(a.task)} for a in attempts))

    def _preassign_waiting(self, own: Collection[str]) -> TaskMasks:
        """Return executors for the tasks that wait now, or may wait during a store outage.

        Waiting tasks are distributed over the spare executors, so that one unresponsive executor
        withholds few of them. Later steps that have not begun are recorded at every executor in
        `own`, because they cannot start there before the steps they depend on are resolved.
        Occurrences that are not due are left out.
        """
        waiting: list[int] = []
        later, count = 0, 0
        for step in self.steps:
            if not step.waiting_count or count >= MAX_NAMED_AHEAD or not self._has_become_due(step):
                continue
            count += step.waiting_count
            is_next = self._is_unblocked(step)
            if step.spec.after and not (is_next and step.is_begun):
                later |= step.mask
            if is_next:
                waiting += step.list_open_masks(MAX_NAMED_AHEAD)
        shared = distribute(waiting, self.places.spare)
        return unite({name: later for name in own if later}, shared)

    def _has_become_due(self, step: StepState) -> bool:
        """Return whether a step has no due time, or was found to be past it."""
        first = self.steps[step.occurrence * len(self.spec.steps)]
        return step.due_at is None or first.ready_at is not None or first.done_count > 0

    def _is_unblocked(self, step: StepState) -> bool:
        """Return whether all steps that this one depends on are done."""
        first = step.occurrence * len(self.spec.steps)
        return all(self.steps[first + number].is_done for number in step.spec.after)

    def attempts(self) -> list[Attempt]:
        """Return all current attempts."""
        return [attempt for step in self.steps for attempt in step.attempts()]

    def may_start(self, task: TaskState) -> bool:
        """Return whether the crashes under a task allow another start.

        Every crash must be in the store first, or the next owner would not count it.
        """
        if not task.crashes:
            return True
        return not task.is_given_up and self.crash_notes_recorded == self.crash_notes

    @property
    def has_attempts(self) -> bool:
        """Whether the job has any current attempt."""
        return any(step.attempt_count for step in self.steps)

    @property
    def accelerators_held(self) -> int:
        """The number of accelerators that its attempts occupy."""
        return sum(step.attempt_count * step.spec.need.accelerators for step in self.steps)

    def is_ready(self, step: StepState, wall_now: float) -> bool:
        """Return whether a step is due and all steps that it depends on are done."""
        if step.due_at is not None and wall_now < step.due_at:
            return False
        return self._is_unblocked(step)

    def is_due(self, wall_now: float) -> bool:
        """Return whether the first occurrence is due."""
        return self.spec.schedule is None or wall_now >= self.spec.schedule.first_at

    def to_record(self) -> ProgressRecord:
        """Return the progress that must outlast the owner."""
        steps = [
            StepProgress(
                sum(1 << t.index for t in s.tasks if t.done),
                {t.index: sorted(t.failed_runs) for t in s.tasks if t.failed_runs},
                {t.index: t.checkpoint for t in s.tasks if t.checkpoint and not t.done},
                {t.index: dict(t.crashes) for t in s.tasks if t.crashes},
            )
            for s in self.steps
        ]
        now_at, places = self.locate_attempts(self.attempts()), self.places
        ahead = self._preassign_waiting({*now_at, *places.left})
        used = places.list_to_record(now_at)
        named = None if used is None else unite(used, ahead)
        is_marked = used is not None and places.epoch is not None
        preassigned = subtract(ahead, used or {}) if is_marked else {}
        return ProgressRecord(
            self.status,
            steps,
            named,
            places.starts,
            places.starts_left_s,
            places.runs_left_s,
            preassigned,
            places.epoch if preassigned else None,
        )

    def fits(self, record: ProgressRecord) -> bool:
        """Return whether a record matches the job's steps and tasks."""
        if len(record.steps) != len(self.steps):
            return False
        masks = [*(record.places or {}).values(), *record.preassigned.values()]
        return all(
            saved.done >> len(step.tasks) == 0
            for step, saved in zip(self.steps, record.steps, strict=True)
        ) and all(mask == ANY or mask >> self.count_tasks() == 0 for mask in masks)

    def restore(self, record: ProgressRecord, revision: int) -> None:
        """Restore the progress that an earlier owner recorded."""
        self.revision = revision
        self.recorded = record.status
        self.failed = record.status is JobStatus.FAILED
        self.begun = record.status is not JobStatus.PENDING
        self.places.restore(record.places, record.starts, record.preassigned, record.epoch)
        for step, saved in zip(self.steps, record.steps, strict=True):
            for task in step.tasks:
                task.done = bool(saved.done >> task.index & 1)
                task.failed_runs = set(saved.failures.get(task.index, ()))
                task.checkpoint = saved.checkpoints.get(task.index, "")
                for instance, blame in saved.crashes.get(task.index, {}).items():
                    is_open = blame is Blame.ON_TRIAL
                    task.set_blame(instance, Blame.SUSPECTED if is_open else blame)


def list_pending_starts(job: JobState) -> frozenset[UnresolvedStart]:
    """Return the starts of a job without an answer so far, where the executor id may be reused."""
    return frozenset(
        to_open_start(attempt)
        for attempt in job.attempts()
        if attempt.instance.born and attempt.phase is Phase.STARTING
    )


def to_open_start(attempt: Attempt) -> UnresolvedStart:
    """Return an attempt's start in the form recorded in the store."""
    task = attempt.task
    return UnresolvedStart(
        attempt.executor,
        task.step,
        task.member,
        task.occurrence,
        attempt.run,
        attempt.instance.born,
    )


def make_job(spec: JobSpec, now: float) -> JobState:
    """Return the state of a job that has not run."""
    steps: list[StepState] = []
    first = 0
    for occurrence in range(spec.occurrences):
        for number in range(len(spec.steps)):
            step = _make_step(spec, occurrence, number, first)
            steps.append(step)
            first += len(step.tasks)
    return JobState(spec, steps, arrived_at=now, chain_s=critical_path_s(spec))


def _make_step(spec: JobSpec, occurrence: int, number: int, first: int) -> StepState:
    step = spec.steps[number]
    due_at = spec.schedule.due_at(occurrence) if spec.schedule else None
    tasks = [TaskState(i) for i in range(step.count)]
    state = StepState(step, tasks, number, occurrence, due_at, first)
    state.tenant, state.queue = spec.tenant, spec.queue.name
    return state


def critical_path_s(spec: JobSpec, lengths_s: Sequence[float] | None = None) -> float:
    """Return the critical path (s) of step durations, by default the estimated ones."""
    if lengths_s is None:
        lengths_s = [step.estimate_s for step in spec.steps]
    if len(lengths_s) == 1:
        return lengths_s[0]
    ends: list[float] = []
    for step, length_s in zip(spec.steps, lengths_s, strict=True):
        before = max((ends[number] for number in step.after), default=0.0)
        ends.append(before + length_s)
    return max(ends, default=0.0)


def latest_starts(
    job: JobState,
    step: StepState,
    queue: Queue,
    now: float,
    wall_now: float,
    lengths_s: Sequence[float] | None = None,
) -> tuple[float, float]:
    """Return the latest times (trio's clock) to start a step on time, and to start it at all.

    `lengths_s` are the lengths to expect of the steps of its occurrence; None for the estimates.
    """
    chain_s = job.chain_s if lengths_s is None else critical_path_s(job.spec, lengths_s)
    objective = queue.stretch * chain_s + queue.target_s
    asked_at = job.spec.accepted_at if step.due_at is None else step.due_at
    begun = asked_at - wall_now + now
    rest = [s for s in job.steps if s.occurrence == step.occurrence and not s.is_done]
    if lengths_s is None:
        left = max((s.spec.estimate_s for s in rest), default=0.0)
    else:
        left = max((lengths_s[s.number] for s in rest), default=0.0)
    return begun + objective - left, begun + LATE_FACTOR * objective - left
