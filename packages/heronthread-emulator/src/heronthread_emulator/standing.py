"""Jobs that stand: work that was taken has nothing running beside free room for it.

The promise: for `STANDS_S` on end an accepted, uncancelled, unfinished job whose turn has come has
nothing running anywhere, at executors that are cut off neither, while executors that could take it
have room for what is left of its next ready step twice over, and under half of their accelerators
are in use. Time counts only while an owner decides and the store answers it.

Nothing else may keep a job standing but what is known to nobody or would do harm again:

- The last run of a task may go on at an executor that answers nobody, for as long as an executor
  may hold it at most: it was started there, or its start was sent there and not answered (five of a
  gang were ordered, three to an executor that had just been cut off; the next owner can't tell
  those three from runs), and no end of it was taken note of.
- An executor crashed under a task that is left within `RECENT_START_S` of its start: such a task is
  tried apart, and given up in the end (one had crashed three executors 0.03 s to 0.23 s after its
  start, and waited for a report on the third before it was failed).
- Its next time is not due.

Each of them excuses that task, and of a gang its whole step; a job stands for any other task whose
turn has come.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass, field

from heronthread_dispatch.crashes import RECENT_START_S
from heronthread_dispatch.model import (
    Executor,
    ExecutorInstance,
    JobSpec,
    Resources,
    StepSpec,
    TaskKey,
)
from heronthread_dispatch.offers import count_fits

from .checker import Violation
from .executors import Event

LOOK_S = 0.2
STANDS_S = 3.0
"""What callers bear of a job that has nothing running beside free room."""
ROOM_FACTOR = 2
BUSY_SHARE = 0.5
PROMISE = "no accepted job stands beside free room"


@dataclass(frozen=True, slots=True)
class Able:
    """An executor that could take work, and what its runs take."""

    executor: Executor
    used: Resources


@dataclass(frozen=True, slots=True)
class Stand:
    """A job stood from `since` on, `counted_s` of it while an owner could decide."""

    job: str
    since: float
    counted_s: float
    why: str

    def to_violation(self) -> Violation:
        """Return the broken promise."""
        what = f"{self.job} from {self.since:.2f} for {self.counted_s:.1f} s: {self.why}"
        return Violation(PROMISE, what)


@dataclass(slots=True)
class Works:
    """What of each job runs, is done, or may be somewhere, by what executors saw.

    `is_noted` tells of an end, by its instance and number, whether it was taken note of, `is_over`
    whether an instance is over, and `is_recorded` whether the store has a task as done. `moved`
    are the jobs of which anything began or ended since it was emptied, so that a run between two
    looks is seen.
    """

    is_noted: Callable[[ExecutorInstance, int], bool]
    is_over: Callable[[ExecutorInstance], bool]
    is_recorded: Callable[[TaskKey], bool] = lambda task: False
    moved: set[str] = field(default_factory=set)
    _running: dict[str, set[tuple[ExecutorInstance, TaskKey, int]]] = field(
        default_factory=lambda: defaultdict(set)
    )
    _done: dict[TaskKey, list[Event]] = field(default_factory=lambda: defaultdict(list))
    _failed: dict[TaskKey, set[int]] = field(default_factory=lambda: defaultdict(set))
    _began_at: dict[tuple[ExecutorInstance, TaskKey, int], float] = field(default_factory=dict)
    _last_run: dict[TaskKey, int] = field(default_factory=dict)
    _suspects: set[TaskKey] = field(default_factory=set)
    _open: dict[str, dict[tuple[ExecutorInstance, TaskKey, int], int]] = field(
        default_factory=lambda: defaultdict(dict)
    )

    def take(self, event: Event) -> None:
        """Take in a start or an end."""
        job, run = event.task.job, (event.instance, event.task, event.run)
        self.moved.add(job)
        if event.what == "start":
            self._running[job].add(run)
            self._last_run[event.task] = max(event.run, self._last_run.get(event.task, 0))
            self._open[job][run] = 0
            self._began_at[run] = event.at
            return
        self._running[job].discard(run)
        if event.what == "gone":
            if event.at <= self._began_at.get(run, event.at) + RECENT_START_S:
                self._suspects.add(event.task)
            return
        self._open[job][run] = event.number
        if event.what == "done":
            self._done[event.task].append(event)
        elif event.what == "failed":
            self._failed[event.task].add(event.run)

    def is_running(self, job: str) -> bool:
        """Whether anything of a job runs anywhere."""
        return bool(self._running.get(job))

    def find_doubts(
        self, job: str, unanswered: Collection[tuple[ExecutorInstance, TaskKey, int]]
    ) -> set[tuple[ExecutorInstance, TaskKey]]:
        """Return where the last run of each task of a job may be.

        It was started there, or its start was sent there and not answered, and no end of it was
        taken note of.
        """
        known = self._open.get(job, {})
        for run, number in list(known.items()):
            if number and self.is_noted(run[0], number):
                del known[run]
        return {
            (instance, task)
            for instance, task, run in (*known, *unanswered)
            if task.job == job and run >= self._last_run.get(task, 0)
        }

    def is_outdated(self, task: TaskKey, run: int) -> bool:
        """Whether a later run of a task has begun."""
        return run < self._last_run.get(task, 0)

    def is_given_up(self, spec: JobSpec) -> bool:
        """Whether runs of a job have failed as often as they may."""
        limit = spec.queue.max_attempts
        for _, step, tasks in list_steps(spec):
            failed = [self._failed[task] for task in tasks if task in self._failed]
            runs = [set().union(*failed)] if step.gang else failed
            if any(len(numbers) >= limit for numbers in runs):
                return True
        return False

    def find_standing(
        self, spec: JobSpec, now: float, ables: Collection[Able], doubtful: Collection[TaskKey]
    ) -> tuple[StepSpec, list[TaskKey]] | None:
        """Return the first step with room for what is left of it, and the tasks that may start.

        Those are not `doubtful`, and no executor has crashed under them soon after their runs
        began. None if there is no such step.
        """
        excused = self._suspects.union(doubtful)
        for step, left in self.list_ready(spec, now):
            free = list_unexcused(step, left, excused)
            if free and has_room(ables, spec.queue.pool, step, len(left)):
                return step, free
        return None

    def list_ready(self, spec: JobSpec, now: float) -> list[tuple[StepSpec, list[TaskKey]]]:
        """Return the steps whose turn has come and what is left of each."""
        ready = []
        done: dict[tuple[int, int], bool] = {}
        for occurrence, step, tasks in list_steps(spec):
            left = self._list_left(step, tasks)
            done[occurrence, tasks[0].step] = not left
            is_due = spec.schedule is None or spec.schedule.due_at(occurrence) <= now
            if left and is_due and all(done[occurrence, number] for number in step.after):
                ready.append((step, left))
        return ready

    def _list_left(self, step: StepSpec, tasks: list[TaskKey]) -> list[TaskKey]:
        left = [task for task in tasks if not self._is_done(task)]
        return [] if step.gang and len(left) < len(tasks) else left

    def _is_done(self, task: TaskKey) -> bool:
        """Whether a run ended done, and that is known or can still be."""
        ends = self._done.get(task, ())
        if any(self.is_noted(e.instance, e.number) or not self.is_over(e.instance) for e in ends):
            return True
        return bool(ends) and self.is_recorded(task)


def list_steps(spec: JobSpec) -> Iterator[tuple[int, StepSpec, list[TaskKey]]]:
    """Yield each step of each time of a job with its tasks."""
    for occurrence in range(spec.occurrences):
        for number, step in enumerate(spec.steps):
            tasks = [TaskKey(spec.id, number, i, occurrence) for i in range(step.count)]
            yield occurrence, step, tasks


def list_unexcused(
    step: StepSpec, left: Collection[TaskKey], excused: Collection[TaskKey]
) -> list[TaskKey]:
    """Return what is left of a step and is not excused; of a gang that is all or nothing."""
    free = [task for task in left if task not in excused]
    return [] if step.gang and len(free) < len(left) else free


def has_room(ables: Iterable[Able], pool: str, step: StepSpec, left: int) -> bool:
    """Whether there is room for so many tasks of a step twice over, and under half is in use."""
    fits = used = total = 0
    for able in ables:
        executor = able.executor
        if executor.pool != pool:
            continue
        total += executor.capacity.accelerators
        used += able.used.accelerators
        if not step.label or step.label in executor.labels:
            free = max(0, count_fits(step.need, executor.capacity.minus(able.used)))
            fits += min(free, step.spread_limit or free)
    return fits >= ROOM_FACTOR * left and used < BUSY_SHARE * total


@dataclass(slots=True)
class StandClock:
    """Counts for how long each job stands, look by look."""

    bound_s: float = STANDS_S
    stands: list[Stand] = field(default_factory=list)
    longest_s: float = 0.0
    _counting: dict[str, Stand] = field(default_factory=dict)
    _looked_at: float | None = None

    def look(self, now: float, standing: dict[str, str], is_counted: bool) -> None:
        """Take in which jobs stand now, and why as far as that is seen."""
        passed_s = now - self._looked_at if self._looked_at is not None else 0.0
        self._looked_at = now
        for job in [job for job in self._counting if job not in standing]:
            self._end(job)
        for job, why in standing.items():
            before = self._counting.get(job)
            if before is None:
                self._counting[job] = Stand(job, now, 0.0, why)
            elif is_counted:
                counted_s = before.counted_s + passed_s
                self._counting[job] = Stand(job, before.since, counted_s, why)

    def _end(self, job: str) -> None:
        stand = self._counting.pop(job)
        self.longest_s = max(self.longest_s, stand.counted_s)
        if stand.counted_s >= self.bound_s - LOOK_S / 2:
            self.stands.append(stand)

    def close(self) -> list[Violation]:
        """Return the stands that were too long, also those that still go on."""
        for job in list(self._counting):
            self._end(job)
        return [stand.to_violation() for stand in self.stands]
