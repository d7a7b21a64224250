"""The promises, judged by what executors saw and what callers were told."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from heronthread_dispatch.model import ExecutorInstance, JobSpec, StepSpec, TaskKey
from heronthread_dispatch.record import JobRecord, JobStatus

from .executors import EmulatedExecutors, Event
from .spans import Span, Use, find_known

LATEST_ORDER_S = 12.0
"""By how much a fault carries an order out late at most."""
CANCEL_S = 3.0
"""Within which a cancel that was acknowledged is in force."""
BOUNDED_AFTER_CRASHES, STARTS_AFTER_CRASHES = 3, 2
"""A task under which three executors have crashed may be started twice more, no third time."""
GIVEN_UP_AFTER_CRASHES = 2
"""A task under which so many executors have crashed may be given up."""


class Witness(Protocol):
    """What executors saw: events, ends that were taken note of and when, and lapses, by instance.

    `crashing` are the tasks that crash each executor that starts them.
    """

    events: list[Event]
    taken_note: set[tuple[ExecutorInstance, int]]
    noted_at: dict[tuple[ExecutorInstance, int], float]
    lapses: list[tuple[ExecutorInstance, float]]
    crashing: dict[TaskKey, float]


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken promise."""

    promise: str
    what: str


@dataclass(slots=True)
class Told:
    """What callers were told of one job, and whether they have asked to cancel it.

    `succeeded_at` is when a caller was first told that it has succeeded, in seconds on the clock of
    the events.
    """

    record: JobRecord
    taken: bool = False
    refused: bool = False
    unsettled: bool = False
    cancelled: bool = False
    cancelled_at: float | None = None
    cancel_asked: bool = False
    shown: JobStatus | None = None
    succeeded_at: float | None = None

    def show(self, status: JobStatus, at: float) -> None:
        """Take in which status a caller was shown, and when (s)."""
        self.shown = status
        if status is JobStatus.SUCCEEDED and self.succeeded_at is None:
            self.succeeded_at = at


EVACUATE_S = 5.0
"""From an ask, or the end of trouble with the store, to the last start, as users' pages allow."""
RESIZED_S = 3.0
"""From what an executor says of its room, or the end of trouble, to the last start over it."""
FOREIGN_S = 3.0
"""From when an entry turns bad, or the end of trouble with the store, to the last start there."""


def check_evacuations(
    executors: EmulatedExecutors, spans: list[Span], trouble: list[float]
) -> list[Violation]:
    """Return the starts in evacuated domains; `trouble` are times of trouble with the store."""
    starts = [
        Use(executors.by_id[event.executor].executor.zone, event.sent_at, str(event))
        for event in executors.starts()
    ]
    found = find_known(starts, spans, EVACUATE_S, trouble)
    return [Violation("nothing starts in an evacuated domain", what) for what in found]


def check_capacity(
    executors: EmulatedExecutors, spans: list[Span], trouble: list[float]
) -> list[Violation]:
    """Return the starts that were ordered over a room known to have shrunk."""
    starts = [
        Use(name, sent_at, f"{name} at {sent_at:.2f}") for sent_at, name in executors.overfull
    ]
    found = find_known(starts, spans, RESIZED_S, trouble)
    return [Violation("no start goes over a room", what) for what in found]


def check_foreign(
    executors: EmulatedExecutors, spans: list[Span], trouble: list[float]
) -> list[Violation]:
    """Return the starts at executors whose entries named none to use."""
    starts = [Use(event.executor, event.sent_at, str(event)) for event in executors.starts()]
    found = find_known(starts, spans, FOREIGN_S, trouble)
    return [Violation("nothing starts where no entry says so", what) for what in found]


def check_promises(executors: Witness, told: dict[str, Told]) -> list[Violation]:
    """Return every promise that is broken."""
    by_task: dict[TaskKey, list[Event]] = defaultdict(list)
    for event in executors.events:
        by_task[event.task].append(event)
    found: list[Violation] = []
    for task, events in by_task.items():
        found += _check_one_at_a_time(task, events)
        found += _check_done_for_good(task, events, executors)
        found += _check_budget(task, events, told, executors)
        if task in executors.crashing:
            found += _check_crashes(task, events)
        found += _check_due(task, events, told)
        found += _check_cancelled(task, events, told)
    found += _check_spread(executors.events, told)
    found += _check_order(by_task, told)
    found += _check_tokens(executors.events)
    found += _check_told(by_task, told)
    return found


def _check_one_at_a_time(task: TaskKey, events: list[Event]) -> list[Violation]:
    found = []
    alive: set[tuple[ExecutorInstance, int]] = set()
    for event in events:
        place = (event.instance, event.run)
        if event.what != "start":
            alive.discard(place)
            continue
        if alive:
            found.append(Violation("runs at most once at a time", f"{task} {event} {alive}"))
        alive.add(place)
    return found


def _check_done_for_good(task: TaskKey, events: list[Event], executors: Witness) -> list[Violation]:
    found = []
    done: list[Event] = []
    for event in events:
        if event.what == "done":
            done.append(event)
        if event.what != "start":
            continue
        for end in done:
            if _is_noted(end, executors):
                found.append(Violation("done work is not run again", f"{task} {event}"))
    return found


def _is_noted(end: Event, executors: Witness) -> bool:
    """Whether an end was taken note of, for good, with no lapse of its executor in between."""
    place = (end.instance, end.number)
    noted_at = executors.noted_at.get(place, float("inf"))
    lapsed = any(
        instance == end.instance and end.at < at <= noted_at for instance, at in executors.lapses
    )
    return place in executors.taken_note and not lapsed


def _check_budget(
    task: TaskKey, events: list[Event], told: dict[str, Told], executors: Witness
) -> list[Violation]:
    """Return the starts beyond the attempts that a task may use up.

    A failed run counts if its end was taken note of, then or later: one that its executor listed
    and lost by a crash, before anybody had read it, is known to nobody. Nor does one of an executor
    that lapsed in between, as no owner could know of it while it gave the task out again.
    """
    known = told.get(task.job)
    if known is None:
        return []
    limit = known.record.spec.queue.max_attempts
    failed = 0
    found = []
    for event in events:
        if event.what == "failed":
            failed += _is_noted(event, executors)
        elif event.what == "start" and failed >= limit:
            found.append(Violation("attempts are bounded", f"{task} {event}"))
    return found


def _check_crashes(task: TaskKey, events: list[Event]) -> list[Violation]:
    """Return the starts of a task that crashes executors, from the third after three crashes."""
    crashes = [event.at for event in events if event.what == "gone"]
    if len(crashes) < BOUNDED_AFTER_CRASHES:
        return []
    third = crashes[BOUNDED_AFTER_CRASHES - 1]
    after = [event for event in events if event.what == "start" and event.at > third]
    return [
        Violation("crashes are bounded", f"{task} {event}")
        for event in after[STARTS_AFTER_CRASHES:]
    ]


def _check_due(task: TaskKey, events: list[Event], told: dict[str, Told]) -> list[Violation]:
    known = told.get(task.job)
    schedule = known.record.spec.schedule if known else None
    if schedule is None:
        return []
    due_at = schedule.due_at(task.occurrence)
    early = [event for event in events if event.what == "start" and event.at < due_at]
    return [Violation("nothing starts before its time", f"{task} {event}") for event in early]


def _check_cancelled(task: TaskKey, events: list[Event], told: dict[str, Told]) -> list[Violation]:
    """Nothing of a cancelled job starts once no order can be late any more, or is left."""
    known = told.get(task.job)
    if known is None or known.cancelled_at is None:
        return []
    latest = known.cancelled_at + LATEST_ORDER_S + CANCEL_S
    found = [
        Violation("cancelled work is not started", f"{task} {event}")
        for event in events
        if event.what == "start" and event.at > latest
    ]
    found += [
        Violation("cancelled work ends", f"{task} {event}")
        for event in events
        if event.what == "done" and event.at > latest
    ]
    ends = sum(event.what != "start" for event in events)
    if len(events) - ends > ends:
        found.append(Violation("cancelled work ends", f"{task} {events[-1]}"))
    return found


def _check_spread(events: list[Event], told: dict[str, Told]) -> list[Violation]:
    """Return the starts beyond a step's spread limit; whatever is at an executor counts."""
    alive: dict[tuple[ExecutorInstance, str, int, int], set[tuple[int, int]]] = defaultdict(set)
    found = []
    for event in events:
        step = _find_step(event.task, told)
        if step is None or not step.spread_limit:
            continue
        task = event.task
        runs = alive[event.instance, task.job, task.step, task.occurrence]
        if event.what != "start":
            runs.discard((task.member, event.run))
            continue
        runs.add((task.member, event.run))
        if len(runs) > step.spread_limit:
            found.append(Violation("steps keep to their spread limits", f"{event} {sorted(runs)}"))
    return found


def _check_order(by_task: dict[TaskKey, list[Event]], told: dict[str, Told]) -> list[Violation]:
    """Return the starts before every task of the steps that a step comes after has ended done."""
    found = []
    for task, events in by_task.items():
        step = _find_step(task, told)
        if step is None or not step.after:
            continue
        ready_at = max(_find_done_at(task, number, told, by_task) for number in step.after)
        found += [
            Violation("steps keep their order", str(event))
            for event in events
            if event.what == "start" and event.at < ready_at
        ]
    return found


def _find_done_at(
    task: TaskKey, number: int, told: dict[str, Told], by_task: dict[TaskKey, list[Event]]
) -> float:
    """Return when a step of a task's occurrence was done, infinite if it never was."""
    spec = told[task.job].record.spec.steps[number]
    ends = [
        min((e.at for e in by_task.get(key, ()) if e.what == "done"), default=float("inf"))
        for key in (TaskKey(task.job, number, n, task.occurrence) for n in range(spec.count))
    ]
    return min(ends) if spec.gang else max(ends)


def _find_step(task: TaskKey, told: dict[str, Told]) -> StepSpec | None:
    """Return the step of a task, None if callers know no such step."""
    known = told.get(task.job)
    steps = known.record.spec.steps if known is not None else ()
    return steps[task.step] if task.step < len(steps) else None


def check_places(executors: EmulatedExecutors, told: dict[str, Told]) -> list[Violation]:
    """Return the starts at executors of another pool than the job's, or without a step's label."""
    found = []
    for event in executors.starts():
        step, place = _find_step(event.task, told), executors.by_id.get(event.executor)
        if step is None or place is None:
            continue
        pool = told[event.task.job].record.spec.queue.pool
        executor = place.executor
        if executor.pool != pool or (step.label and step.label not in executor.labels):
            found.append(Violation("nothing starts where it may not run", str(event)))
    return found


def _check_tokens(events: list[Event]) -> list[Violation]:
    highest: dict[ExecutorInstance, int] = {}
    found = []
    for event in events:
        if event.what != "start":
            continue
        if event.token < highest.get(event.instance, 0):
            found.append(Violation("a deposed owner starts nothing", str(event)))
        highest[event.instance] = max(event.token, highest.get(event.instance, 0))
    return found


def _check_told(by_task: dict[TaskKey, list[Event]], told: dict[str, Told]) -> list[Violation]:
    found = []
    started = {
        task.job for task, events in by_task.items() if any(e.what == "start" for e in events)
    }
    for job, known in told.items():
        only_refused = known.refused and not (known.taken or known.unsettled)
        if only_refused and job in started:
            found.append(Violation("not taken means never run", job))
        if known.shown is JobStatus.SUCCEEDED or known.succeeded_at is not None:
            found += _check_all_done(job, known, by_task)
        is_given_up = _failed_often(job, known, by_task) or _crashed_often(known, by_task)
        if known.shown is JobStatus.FAILED and not is_given_up:
            found.append(Violation("failed only for cause", job))
        if (
            known.taken
            and not known.cancelled
            and (known.shown is None or not known.shown.is_final)
        ):
            found.append(Violation("taken work is done", f"{job} is {known.shown}"))
    return found


def _check_all_done(job: str, known: Told, by_task: dict[TaskKey, list[Event]]) -> list[Violation]:
    """Every task, or one of each gang, was done by the time a caller was told of the success."""
    told_at = float("inf") if known.succeeded_at is None else known.succeeded_at
    found = []
    for step, tasks in _list_steps(known.record.spec):
        done = [
            any(e.what == "done" and e.at <= told_at for e in by_task.get(task, ()))
            for task in tasks
        ]
        if not all(done) and not (step.gang and any(done)):
            found.append(Violation("succeeded means all is done", job))
    return found


def _list_steps(spec: JobSpec) -> Iterator[tuple[StepSpec, list[TaskKey]]]:
    """Yield each step of each time with its tasks."""
    for occurrence in range(spec.occurrences):
        for number, step in enumerate(spec.steps):
            yield step, [TaskKey(spec.id, number, i, occurrence) for i in range(step.count)]


def _failed_often(job: str, known: Told, by_task: dict[TaskKey, list[Event]]) -> bool:
    limit = known.record.spec.queue.max_attempts
    for step, tasks in _list_steps(known.record.spec):
        runs: dict[int, set[int]] = defaultdict(set)
        for task in tasks:
            for event in by_task.get(task, ()):
                if event.what == "failed":
                    runs[0 if step.gang else task.member].add(event.run)
        if any(len(numbers) >= limit for numbers in runs.values()):
            return True
    return False


def _crashed_often(known: Told, by_task: dict[TaskKey, list[Event]]) -> bool:
    """Whether executors crashed under a task so often that it may be given up."""
    for _, tasks in _list_steps(known.record.spec):
        for task in tasks:
            crashed = {e.instance for e in by_task.get(task, ()) if e.what == "gone"}
            if len(crashed) >= GIVEN_UP_AFTER_CRASHES:
                return True
    return False
