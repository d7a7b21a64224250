"""Jobs that stand, judged by what the stand-ins of a soak of real processes saw."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from heronthread_dispatch.model import Executor, ExecutorInstance, JobSpec, Resources, TaskKey

from .checker import LATEST_ORDER_S, Violation
from .executors import MOST_HOLD_S, Event
from .soak_history import IN_TOUCH_S, SoakHistory
from .standing import LOOK_S, STANDS_S, Able, StandClock, Works

EXECUTOR_FAULTS = (
    "executor_",
    "executors_",
    "orders_",
    "task_crashes_executors",
    "capacity_changes",
    "foreign_entries",
    "change_configuration",
)
"""Beside these an owner decides and the store answers it, unless they bring about a takeover."""
TAKEOVERS = ("_over_takeover",)


@dataclass(slots=True)
class _Place:
    """One instance of an executor, as its lines and its runs tell of it."""

    executor: Executor
    place: int
    well_since: float
    used: Resources = Resources()
    is_over: bool = False
    is_down: bool = False
    is_silent: bool = False
    is_written: bool = False
    is_leaving: bool = False
    fails_all: bool = False

    def could_take(self, now: float) -> bool:
        """Whether it is reachable, well, and has said for long enough that it takes work."""
        is_away = self.is_over or self.is_down or self.is_silent or self.is_leaving
        return self.is_written and not (is_away or self.fails_all) and now >= self.well_since


@dataclass(slots=True)
class _Sight:
    """What is known at one moment of the history."""

    history: SoakHistory
    now: float = 0.0
    places: dict[str, _Place] = field(default_factory=dict)
    over: set[ExecutorInstance] = field(default_factory=set)
    unresponsive_since: dict[str, float] = field(default_factory=dict)
    unanswered: set[tuple[ExecutorInstance, TaskKey, int]] = field(default_factory=set)
    open_starts: dict[tuple[ExecutorInstance, TaskKey, int], float] = field(default_factory=dict)
    silent_places: set[int] = field(default_factory=set)

    def is_noted(self, instance: ExecutorInstance, number: int) -> bool:
        """Whether an end was taken note of by now."""
        return self.history.noted_at.get((instance, number), float("inf")) <= self.now

    def is_over(self, instance: ExecutorInstance) -> bool:
        """Whether an instance is over by now."""
        return instance in self.over

    def take_line(self, line: dict[str, Any]) -> None:
        """Take in a line of the executors."""
        kind = line["message_type"].removeprefix("executor.")
        if kind == "begun":
            self._begin(line)
        place = self.places.get(line["executor"])
        if place is not None:
            self._change(place, kind, line)
            self._note_silent(place)

    def _begin(self, line: dict[str, Any]) -> None:
        name, rack = line["executor"], line["rack"]
        capacity = Resources(*line["capacity"])
        executor = Executor(
            name, name, "pool", "", rack, ("kind", rack), capacity, born=line["born"]
        )
        for before in self.places.values():
            if before.place == line["place"]:
                # The address answers again, and says that the earlier instance is over.
                before.is_down = False
                self._note_silent(before)
        self.places[name] = _Place(executor, line["place"], line["timestamp"])
        self.places[name].is_silent = line["place"] in self.silent_places

    def _change(self, place: _Place, kind: str, line: dict[str, Any]) -> None:
        at = line["timestamp"]
        if kind == "over" and line["born"] == place.executor.born:
            place.is_over, place.is_down = True, line["is_down"]
            self.over.add(place.executor.instance)
        elif kind == "silence":
            self._set_silence(place, line["is_silent"], at)
        elif kind == "health":
            place.fails_all = line["fails_all"]
        elif kind in ("draining", "vanished"):
            place.is_leaving = True
        elif kind in ("written", "overwritten"):
            place.is_written = kind == "written"
        elif kind == "resized":
            capacity = Resources(*line["capacity"])
            place.executor = replace(place.executor, capacity=capacity)
        elif kind == "unanswered":
            task = TaskKey(line["job"], line["step"], line["index"], line["occurrence"])
            self.unanswered.add((place.executor.instance, task, line["run"]))
            self.open_starts[place.executor.instance, task, line["run"]] = at
        elif kind == "stop_answered":
            task = TaskKey(line["job"], line["step"], line["index"], line["occurrence"])
            self._close_starts(place.executor.instance, task, line["run"])
        if kind not in ("unanswered", "stop_answered", "silence"):
            place.well_since = max(place.well_since, at)

    def _close_starts(self, instance: ExecutorInstance, task: TaskKey, run: int) -> None:
        """Take in that no start of a run, or of one before it, is carried out there any more."""
        for start in list(self.open_starts):
            if start[:2] == (instance, task) and start[2] <= run:
                del self.open_starts[start]

    def list_doubtful(self, job: str, works: Works) -> set[TaskKey]:
        """Return the tasks of a job that may run, or may yet begin, where nobody sees it."""
        doubts = works.find_doubts(job, self.unanswered)
        running = {task for instance, task in doubts if self.may_run_at(instance)}
        return running | self._list_late(job, works)

    def _list_late(self, job: str, works: Works) -> set[TaskKey]:
        """Return the tasks of a job of which a start may yet be carried out late.

        It had no answer, nor had a stop of it, and no run of its task came after: of a gang of two
        one start and five stops in 4.8 s went unanswered, and the start was carried out 4.1 s late.
        """
        return {
            task
            for (instance, task, run), sent_at in self.open_starts.items()
            if task.job == job
            and instance not in self.over
            and self.now < sent_at + LATEST_ORDER_S
            and not works.is_outdated(task, run)
        }

    def _set_silence(self, place: _Place, is_silent: bool, at: float) -> None:
        if place.is_silent and not is_silent:
            # Its entry may have lapsed meanwhile, and is written again with a next heartbeat.
            place.well_since = at + IN_TOUCH_S
        place.is_silent = is_silent
        if is_silent:
            self.silent_places.add(place.place)
        else:
            self.silent_places.discard(place.place)

    def _note_silent(self, place: _Place) -> None:
        name = place.executor.id
        if place.is_silent or place.is_down:
            self.unresponsive_since.setdefault(name, self.now)
        else:
            self.unresponsive_since.pop(name, None)

    def take_event(self, event: Event) -> None:
        """Take in a start or an end: what its executor's runs take."""
        place = self.places.get(event.executor)
        told = self.history.told.get(event.task.job)
        if place is None or told is None or place.executor.born != event.born:
            return
        need = told.record.spec.steps[event.task.step].need
        is_start = event.what == "start"
        place.used = place.used.plus(need) if is_start else place.used.minus(need)

    def may_run_at(self, instance: ExecutorInstance) -> bool:
        """Whether a run of an instance may go on as far as anybody but its executor can tell."""
        place, since = self.places.get(instance.id), self.unresponsive_since.get(instance.id)
        if place is None or since is None or place.executor.born != instance.born:
            return False
        return self.now < since + MOST_HOLD_S


def check_standing(history: SoakHistory, slack_s: float) -> list[Violation]:
    """Return the jobs that stood beside free room for longer than the bound."""
    sight = _Sight(history)
    works = Works(sight.is_noted, sight.is_over)
    clock = StandClock(STANDS_S + slack_s)
    owed = _Owed(history)
    moments = list(_merge(history))
    at = moments[0][0] if moments else 0.0
    index = 0
    while at <= history.ended_at and moments:
        works.moved.clear()
        while index < len(moments) and moments[index][0] <= at:
            sight.now = moments[index][0]
            moments[index][1](sight, works)
            index += 1
        sight.now = at
        clock.look(at, _list_standing(sight, works, owed), _is_decided(history, at))
        at += LOOK_S
    return clock.close()


Step = Callable[[_Sight, Works], None]


def _merge(history: SoakHistory) -> Iterator[tuple[float, Step]]:
    """Yield the lines and events with their times, in order."""

    def take_line(line: dict[str, Any]) -> Step:
        return lambda sight, works: sight.take_line(line)

    def take_event(event: Event) -> Step:
        def take(sight: _Sight, works: Works) -> None:
            sight.take_event(event)
            works.take(event)

        return take

    steps = [(line["timestamp"], take_line(line)) for line in history.places]
    steps += [(event.at, take_event(event)) for event in history.events]
    yield from sorted(steps, key=lambda step: step[0])


class _Owed:
    """From when until when each job was owed: from its acknowledgement to its cancel or end."""

    def __init__(self, history: SoakHistory) -> None:
        self.history = history
        self.specs: dict[str, JobSpec] = {}
        self.spans: dict[str, tuple[float, float]] = {}
        ends: dict[str, float] = defaultdict(lambda: float("inf"))
        for call in history.calls:
            if call["call"] == "GET" and call["state"] in ("succeeded", "failed", "cancelled"):
                ends[call["job"]] = min(ends[call["job"]], call["sent"])
        for job, told in history.told.items():
            since, asked = history.find_taken_at(job), history.find_first(job, "DELETE")
            if since is not None:
                self.specs[job] = told.record.spec
                self.spans[job] = (since, min(ends[job], asked or float("inf")))

    def list_owed(self, now: float) -> list[JobSpec]:
        """Return the jobs that are owed now."""
        return [self.specs[job] for job, (a, b) in self.spans.items() if a <= now < b]


def _list_standing(sight: _Sight, works: Works, owed: _Owed) -> dict[str, str]:
    ables = [
        Able(place.executor, place.used)
        for place in sight.places.values()
        if place.could_take(sight.now)
    ]
    standing = {}
    for spec in owed.list_owed(sight.now):
        if works.is_running(spec.id) or spec.id in works.moved:
            continue
        if works.is_given_up(spec):
            continue
        found = works.find_standing(spec, sight.now, ables, sight.list_doubtful(spec.id, works))
        if found is not None:
            silent = ", ".join(sorted(sight.unresponsive_since)) or "none"
            standing[spec.id] = f"{len(found[1])} tasks may start; silent: {silent}"
    return standing


def _is_decided(history: SoakHistory, at: float) -> bool:
    """Whether nothing is amiss that may leave the cell without an owner or a store."""
    return not any(
        d.began <= at <= d.ended + IN_TOUCH_S for d in history.disruptions if _takes_owner(d.name)
    )


def _takes_owner(name: str) -> bool:
    fault = name.partition(" ")[0]
    if name.partition(" ")[2].startswith("crashed under"):
        return False
    return fault.endswith(TAKEOVERS) or not fault.startswith(EXECUTOR_FAULTS)
