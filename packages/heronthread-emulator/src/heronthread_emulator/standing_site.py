"""The witness of jobs that stand on an emulated site."""

from __future__ import annotations

import trio
from heronthread_dispatch.entries import InvalidEntry
from heronthread_dispatch.model import ExecutorInstance, TaskKey
from heronthread_dispatch.record import ProgressRecord, decode_progress
from heronthread_dispatch.recorder import progress_key

from .checker import Told, Violation
from .executors import MOST_HOLD_S, EmulatedExecutor
from .site import ENTRIES, EmulatedSite, parse_entry
from .standing import LOOK_S, Able, StandClock, Works


class StandingWitness:
    """Looks every `LOOK_S` at which jobs stand beside free room."""

    def __init__(self, site: EmulatedSite, told: dict[str, Told]) -> None:
        self.site = site
        self.told = told
        self.clock = StandClock()
        self._works = Works(self._is_noted, self._is_over, self._is_recorded)
        self._taken = 0
        self._silent_since: dict[str, float] = {}
        self._next_at = trio.current_time()
        site.executors.on_tick = self._tick

    def close(self) -> list[Violation]:
        """Return the broken promises; nothing is looked at any more."""
        self.site.executors.on_tick = None
        return self.clock.close()

    def _tick(self) -> None:
        now = trio.current_time()
        if now >= self._next_at:
            self._next_at += LOOK_S
            self.look(now)

    def look(self, now: float) -> None:
        """Find the jobs that stand now."""
        events = self.site.executors.events
        self._works.moved.clear()
        for event in events[self._taken :]:
            self._works.take(event)
        self._taken = len(events)
        self._note_silent(now)
        ables = self._list_able(now)
        standing = {}
        for job, told in self.told.items():
            why = self._explain(told, now, ables)
            if why is not None:
                standing[job] = why
        self.clock.look(now, standing, self._is_decided())

    def _note_silent(self, now: float) -> None:
        places = self.site.executors.by_id
        silent = [name for name, place in places.items() if place.is_cut or place.is_down]
        self._silent_since = {name: self._silent_since.get(name, now) for name in silent}

    def _is_noted(self, instance: ExecutorInstance, number: int) -> bool:
        return (instance, number) in self.site.executors.taken_note

    def _is_over(self, instance: ExecutorInstance) -> bool:
        place = self.site.executors.by_id[instance.id]
        return place.is_gone or place.executor.born != instance.born

    def _is_recorded(self, task: TaskKey) -> bool:
        """Whether the store has a task as done, wherever its end is."""
        item = self.site.store.items.get(progress_key(task.job))
        record = None if item is None else decode_progress(item.value)
        if not isinstance(record, ProgressRecord):
            return False
        return record.is_done(task, len(self.told[task.job].record.spec.steps))

    def _is_decided(self) -> bool:
        """Whether an owner decides, and the store answers it."""
        if self.site.store.is_down:
            return False
        for name, host in self.site.hosts.items():
            view = self.site.views[name]
            if host.owner is not None and host.owner.is_ready:
                return not view.is_cut and not view.is_silent
        return False

    def _list_able(self, now: float) -> list[Able]:
        places = self.site.executors.by_id.values()
        evacuated = {s.name for s in self.site.evacuated if s.since <= now < s.until}
        return [
            Able(place.executor, place.used())
            for place in places
            if place.executor.zone not in evacuated and self._could_take(place)
        ]

    def _could_take(self, place: EmulatedExecutor) -> bool:
        """Whether an executor is reachable, well, and its entry says that it takes work."""
        is_unwell = place.fails_all or place.is_sick or place.is_unreachable
        if place.is_cut or place.is_down or place.is_gone or is_unwell:
            return False
        item = self.site.store.items.get(ENTRIES + place.executor.id)
        entry = parse_entry(place.executor.id, item.value) if item is not None else None
        if entry is None or isinstance(entry, InvalidEntry) or entry.born != place.executor.born:
            return False
        return entry.pool == place.executor.pool and not entry.is_draining

    def _explain(self, told: Told, now: float, ables: list[Able]) -> str | None:
        """Return what is seen of a job that stands, None if it does not or may have to."""
        spec = told.record.spec
        if not told.taken or told.cancel_asked or (told.shown and told.shown.is_final):
            return None
        if self._works.is_running(spec.id) or spec.id in self._works.moved:
            return None
        if self._works.is_given_up(spec):
            return None
        found = self._works.find_standing(spec, now, ables, self._list_doubtful(spec.id, now))
        if found is None:
            return None
        free = found[1]
        silent = ", ".join(sorted(self._silent_since)) or "none"
        return f"{len(free)} tasks of step {free[0].step} may start; silent: {silent}"

    def _list_doubtful(self, job: str, now: float) -> set[TaskKey]:
        """Return the tasks of a job of which a run may go on where nobody sees it."""
        doubts = self._works.find_doubts(job, self.site.executors.unanswered)
        return {task for instance, task in doubts if self._may_run_at(instance, now)}

    def _may_run_at(self, instance: ExecutorInstance, now: float) -> bool:
        """Whether a run of an instance may go on as far as anybody but its executor can tell."""
        unresponsive_since = self._silent_since.get(instance.id)
        if (
            unresponsive_since is None
            or self.site.executors.by_id[instance.id].executor.born != instance.born
        ):
            return False
        return now < unresponsive_since + MOST_HOLD_S
