"""Customers of a soak without any start while others of the same rank start."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from heronthread_dispatch.model import URGENT
from heronthread_dispatch.progress import JobState, latest_starts, make_job

from .checker import Violation
from .soak_history import IN_TOUCH_S, NOT_ENDED, SoakHistory

PROMISE = "no customer starves"
STARVED_S = 15.0
"""A customer without starts for so long, three times the longest ordinary task of a soak."""
OTHERS_STARTS = 3
"""So many starts of others show that there was capacity for the customer meanwhile."""
CLOCK_S = 0.01


@dataclass(slots=True)
class _Job:
    """A job that was taken, and when each of its runs started."""

    state: JobState
    taken_at: float
    ended_at: float
    starts: list[float]

    @property
    def tenant(self) -> str:
        return self.state.spec.tenant

    @property
    def priority(self) -> int:
        return self.state.spec.queue.priority

    def find_lateness(self, at: float) -> int:
        """Return the lateness class at a time: 0 on time, 1 late, 2 too late to be of use."""
        step, queue = self.state.occurrences.peek(0)[0], self.state.spec.queue
        latest, last_useful = latest_starts(self.state, step, queue, at, at)
        return (latest < at) + (last_useful < at)

    def waits_until(self, ended_at: float) -> float:
        """Return until when nothing of it has started."""
        return min([*self.starts, self.ended_at, ended_at])

    def is_comparable(self, other: _Job) -> bool:
        """Return whether any place that takes a task of another job takes one of this one."""
        need = self.state.spec.steps[0].need
        return need.fits_in(other.state.spec.steps[0].need)


def check_starving(history: SoakHistory, slack_s: float) -> list[Violation]:
    """Return the customers that starved in a calm stretch.

    Urgent work goes by guarantees, gangs by the room for all members, and scheduled jobs by their
    times, so none of these counts as starving.
    """
    jobs, found = list(_list_jobs(history)), []
    bound_s = STARVED_S + slack_s
    for job in jobs:
        spec = job.state.spec
        if spec.schedule is not None or spec.steps[0].gang or job.priority == URGENT:
            continue
        for since in _list_calm_since(history, job):
            if job.waits_until(history.ended_at) < since + bound_s:
                continue
            if not history.is_calm(since, since + bound_s):
                continue
            if _is_starved(job, jobs, since, since + bound_s):
                what = f"{job.tenant} at priority {job.priority} from {since:.2f}: {spec.id}"
                found.append(Violation(PROMISE, what))
                break
    return found


def _list_jobs(history: SoakHistory) -> Iterator[_Job]:
    starts: dict[str, list[float]] = {}
    for event in history.events:
        if event.what == "start":
            starts.setdefault(event.task.job, []).append(event.at)
    for name, told in history.told.items():
        taken_at = history.find_taken_at(name)
        if taken_at is None:
            continue
        asked = history.find_first(name, "DELETE")
        state = make_job(told.record.spec, taken_at)
        ended_at = NOT_ENDED if asked is None else asked
        yield _Job(state, taken_at, ended_at, sorted(starts.get(name, [])))


def _list_calm_since(history: SoakHistory, job: _Job) -> list[float]:
    """Return the times from which a calm stretch may begin while a job waits."""
    ends = [d.ended + IN_TOUCH_S for d in history.disruptions if d.ended != NOT_ENDED]
    return [job.taken_at, *(end + CLOCK_S for end in ends if end > job.taken_at)]


def _is_starved(job: _Job, jobs: list[_Job], since: float, until: float) -> bool:
    """Return whether a job's customer has no start in a span in which others have several.

    Only starts of later jobs count, with a lateness class that comes no earlier.
    """
    others = 0
    for other in jobs:
        if other.priority != job.priority:
            continue
        for at in other.starts:
            if not since < at <= until:
                continue
            if other.tenant == job.tenant:
                return False
            is_later = other.taken_at > job.taken_at and job.is_comparable(other)
            others += is_later and other.find_lateness(at) >= job.find_lateness(at)
    return others >= OTHERS_STARTS
