"""Which executors hold lasting tasks that serve, and which hold tasks that fill.

What fills disturbs what serves beside it, by amounts that nobody knows beforehand, so the two
are kept on different executors.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from .model import StepSpec
from .progress import Attempt, JobState, Phase, StepState
from .room import Room


class Neighbours:
    """Serving and filling tasks by executor, with those that a plan adds."""

    def __init__(self, jobs: Iterable[JobState]) -> None:
        self._serving: set[str] = set()
        self._filling: dict[str, list[Attempt]] = defaultdict(list)
        for job in jobs:
            for step in job.steps:
                if step.spec.lasting:
                    self._add_step(step)

    def _add_step(self, step: StepState) -> None:
        for task in step.tasks:
            if task.attempt is None:
                continue
            if step.spec.fills:
                self._filling[task.attempt.executor].append(task.attempt)
            elif step.spec.serves:
                self._serving.add(task.attempt.executor)

    def leave_apart(self, spec: StepSpec, rooms: list[Room]) -> list[Room]:
        """Return the rooms in which a step's tasks neither disturb nor are disturbed."""
        if spec.fills:
            return [room for room in rooms if room.state.id not in self._serving]
        if spec.serves:
            return [room for room in rooms if not self._filling.get(room.state.id)]
        return rooms

    def note_placed(self, spec: StepSpec, rooms: Iterable[Room]) -> None:
        """Take in what a plan starts."""
        if spec.serves:
            self._serving.update(room.state.id for room in rooms)
        elif spec.fills:
            for room in rooms:
                self._filling.setdefault(room.state.id, [])

    def find_in_the_way(self, spec: StepSpec, rooms: list[Room], count: int) -> list[Attempt]:
        """Return what fills at `count` executors that would hold a serving task of the step."""
        found: list[Attempt] = []
        for room in rooms:
            filling = self._filling.get(room.state.id)
            if count and filling and spec.need.fits_in(room.soon):
                found += filling
                count -= 1
        return found


def may_be_taken_away(step: StepState, doomed: set[int]) -> bool:
    """Whether one more of a lasting step's tasks may be away by the system's doing.

    `doomed` are the ids of attempts that are to be stopped as well.
    """
    if not step.spec.lasting or not step.spec.may_miss:
        return True
    present = sum(1 for task in step.tasks if _is_at_work(task.attempt, doomed))
    return len(step.tasks) - present < step.spec.may_miss


def _is_at_work(attempt: Attempt | None, doomed: set[int]) -> bool:
    if attempt is None or id(attempt) in doomed:
        return False
    return attempt.phase is Phase.RUNNING and attempt.percent >= 100
