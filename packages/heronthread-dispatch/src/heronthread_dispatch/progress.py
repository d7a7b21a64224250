"""In-memory state of jobs."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

from .model import JobSpec, Queue, TaskKey, UnresolvedStart
from .occurrences import Occurrences
from .placements import JobPlacements
from .record import JobStatus, ProgressRecord
from .step_state import Attempt, Phase, StepState, TaskState, key_of
from .task_masks import ANY, TaskMasks, distribute, subtract, unite

LATE_FACTOR = 3.0
MAX_NAMED_AHEAD = 256
"""Tasks of a job with executors recorded in advance: more than start in a store outage."""
MAX_WHOLE_RECORD_OCCURRENCES = 16
"""A job with no more occurrences is recorded in the form that every version reads."""


@dataclass(slots=True, eq=False)
class JobState:
    """The state of one job.

    `recorded` is the status in the store. `created` is the store revision at which the job was
    accepted, 0 if unknown. `chain_s` is the critical path of estimated step durations.
    `crash_notes` counts the changes to the crashes of its tasks, and `crash_notes_recorded` those
    that are in the store. `places` tracks where runs may be. `preemptions` counts how often runs of
    it were stopped for urgent work, and `open_preemptions` how often for work outside guarantees,
    both in this term.
    """

    spec: JobSpec
    occurrences: Occurrences
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
    def steps(self) -> list[StepState]:
        """The steps of the occurrences that are under way, in order; not to be modified."""
        return self.occurrences.steps

    @property
    def is_done(self) -> bool:
        """Whether every task of every step is done."""
        return self.occurrences.is_done

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
        return self.occurrences.count_tasks()

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
        return self.occurrences.find(key.occurrence)[key.step]

    def key_of(self, step: StepState, task: TaskState) -> TaskKey:
        """Return the key of a task."""
        return key_of(self.spec.id, step, task.index)

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
        first = self.occurrences.find(step.occurrence)[0]
        return step.due_at is None or first.ready_at is not None or first.done_count > 0

    def _is_unblocked(self, step: StepState) -> bool:
        """Return whether all steps that this one depends on are done."""
        if not step.spec.after:
            return True
        steps = self.occurrences.find(step.occurrence)
        return all(steps[number].is_done for number in step.spec.after)

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

    def to_record(self, *, is_sparse: bool = True) -> ProgressRecord:
        """Return the progress that must outlast the owner.

        Unless `is_sparse`, it lists all occurrences, as hosts of earlier versions need.
        """
        numbers: tuple[int, ...] | None = None
        done_occurrences = 0
        if is_sparse and self.spec.occurrences > MAX_WHOLE_RECORD_OCCURRENCES:
            numbers, steps = self.occurrences.list_progress()
            done_occurrences = self.occurrences.done_mask
        else:
            steps = self.occurrences.list_all_progress()
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
            numbers,
            done_occurrences,
        )

    def fits(self, record: ProgressRecord) -> bool:
        """Return whether a record matches the job's steps and tasks."""
        spec, numbers = self.spec, record.occurrences
        if numbers is None:
            numbers = tuple(range(spec.occurrences))
        elif spec.schedule is None:
            return False
        if len(record.steps) != len(numbers) * len(spec.steps):
            return False
        if record.done_occurrences >> spec.occurrences or len(set(numbers)) < len(numbers):
            return False
        if not all(0 <= number < spec.occurrences for number in numbers):
            return False
        masks = [*(record.places or {}).values(), *record.preassigned.values()]
        counts = [step.count for step in spec.steps] * len(numbers)
        return all(
            saved.done >> count == 0 for count, saved in zip(counts, record.steps, strict=True)
        ) and all(mask == ANY or mask >> self.count_tasks() == 0 for mask in masks)

    def restore(self, record: ProgressRecord, revision: int) -> None:
        """Restore the progress that an earlier owner recorded."""
        self.revision = revision
        self.recorded = record.status
        self.failed = record.status is JobStatus.FAILED
        self.begun = record.status is not JobStatus.PENDING
        self.places.restore(record.places, record.starts, record.preassigned, record.epoch)
        if record.occurrences is None:
            self.occurrences.restore_all(record.steps)
        else:
            self.occurrences.restore_some(record.occurrences, record.steps)
            self.occurrences.restore_done(record.done_occurrences)


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
    return JobState(spec, Occurrences(spec), arrived_at=now, chain_s=critical_path_s(spec))


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
    rest = [other for other in job.occurrences.peek(step.occurrence) if not other.is_done]
    if lengths_s is None:
        left = max((s.spec.estimate_s for s in rest), default=0.0)
    else:
        left = max((lengths_s[s.number] for s in rest), default=0.0)
    return begun + objective - left, begun + LATE_FACTOR * objective - left
