"""Faults of the soak that tasks and rooms bring: crashes under a task, capacity that changes.

They are drawn apart from a seed's other faults, so that those stay what they were without these.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable

import trio
from heronthread_dispatch.model import Resources, TaskKey

from .checker import ResizedSpan
from .site import CAPACITY, EmulatedSite

CRASHING_SHARE = 0.4
"""Of the seeds; each has one or two jobs of which a task crashes executors."""
RESIZING_SHARE = 0.4
CRASH_AFTER_S = (0.005, 0.3)
SAID_AFTER_S = 1.5
"""An executor says what it holds with its next heartbeat."""


class ExecutorTroubles:
    """The crashing tasks and the changes of capacity of one seed."""

    def __init__(self, site: EmulatedSite, seed: int, only: Collection[str] = ()) -> None:
        self.site = site
        self.random = random.Random(f"executors {seed}")
        self.resized: list[ResizedSpan] = []
        self.crashes = self._is_drawn("task_crashes_executors", CRASHING_SHARE, only)
        self.resizes = self._is_drawn("capacity_changes", RESIZING_SHARE, only)

    def _is_drawn(self, name: str, share: float, only: Collection[str]) -> bool:
        is_drawn = self.random.random() < share
        return name in only if only else is_drawn

    def plant_crashing_tasks(self, jobs: Iterable[str]) -> int:
        """Have one or two of the jobs hold a task that crashes what starts it."""
        if not self.crashes:
            return 0
        chosen = self.random.sample(sorted(jobs), self.random.randint(1, 2))
        for job in chosen:
            after_s = self.random.uniform(*CRASH_AFTER_S)
            self.site.executors.crashing[TaskKey(job, 0, 0)] = after_s
        return len(chosen)

    async def change_capacity(self, until: float) -> None:
        """Let rooms shrink and grow again, at executors that do not guard them."""
        while self.resizes and trio.current_time() < until:
            await trio.sleep(self.random.uniform(0.5, 4.0))
            names = [n for n, place in self.site.executors.by_id.items() if not place.is_gone]
            name = self.random.choice(sorted(names))
            place = self.site.executors.by_id[name]
            place.guards = False
            share = self.random.choice([0.25, 0.5, 0.75])
            smaller = Resources(*(int(amount * share) for amount in CAPACITY))
            said_after_s = self.random.uniform(0.0, SAID_AFTER_S)
            self.site.resize_executor(name, smaller, said_after_s)
            span = ResizedSpan(name, trio.current_time() + said_after_s)
            self.resized.append(span)
            await trio.sleep(self.random.uniform(2.0, 7.0))
            span.until = trio.current_time()
            if not place.is_gone:
                self.site.resize_executor(name, CAPACITY)
