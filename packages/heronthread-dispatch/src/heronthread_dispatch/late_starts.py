"""Starts without an answer, for as long as they may be carried out.

A stop that a life of an executor has answered, or the end of its holding time, rules a late start
out at that life only: another one that has the same id knows of neither. Where nobody says when a
life began, another one has another id, which calls for this one do not reach.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection
from dataclasses import dataclass

import trio

from .model import TaskKey
from .progress import Attempt

LATE_ORDER_S = 12.0
"""An order without an answer may be carried out so much later (s): 2 s to 12 s were seen."""


@dataclass(frozen=True, slots=True)
class LateStart:
    """A run whose start may be carried out at any life of an executor's id."""

    task: TaskKey
    run: int


class LateStarts:
    """The starts of one owner that had no answer, by executor id; times are on trio's clock."""

    def __init__(self) -> None:
        self._until: dict[str, dict[LateStart, float]] = defaultdict(dict)

    def note(self, attempt: Attempt) -> None:
        """Take in that a send of an attempt's start has no answer."""
        if not attempt.life.born:
            # No other life can carry it out; waiting for one kept tasks from free room for 14 s.
            return
        self.list_open(attempt.executor)
        start = LateStart(attempt.task, attempt.run)
        self._until[attempt.executor][start] = attempt.sent_at + LATE_ORDER_S

    def is_open(self, attempt: Attempt) -> bool:
        """Whether a start of an attempt may still be carried out by another life."""
        start = LateStart(attempt.task, attempt.run)
        until = self._until.get(attempt.executor, {}).get(start, 0.0)
        return trio.current_time() < until

    def list_executors(self, job: str) -> frozenset[str]:
        """Return the executors at which a start of a job may still be carried out."""
        now = trio.current_time()
        return frozenset(
            executor
            for executor, starts in self._until.items()
            if any(start.task.job == job and until > now for start, until in starts.items())
        )

    def list_tasks(self, executors: Collection[str]) -> frozenset[TaskKey]:
        """Return the tasks of which a start may still be carried out at some executors."""
        return frozenset(start.task for name in executors for start in self.list_open(name))

    def list_open(self, executor: str) -> list[LateStart]:
        """Return the starts that may still be carried out by another life of an executor.

        The others are forgotten.
        """
        now = trio.current_time()
        known = {s: until for s, until in self._until.pop(executor, {}).items() if until > now}
        if known:
            self._until[executor] = known
        return list(known)
