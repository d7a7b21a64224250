"""Faults of the soak that tasks, rooms and entries bring, beside those that hosts bring.

Executors crash under a task, their capacity changes, and another writer overwrites their entries.

They are drawn apart from a seed's other faults, so that those stay what they were without these.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable

import trio
from heronthread_dispatch.model import Resources, TaskKey

from .site import CAPACITY, EmulatedSite
from .spans import Span

CRASHING_SHARE = 0.4
"""Of the seeds; each has one or two jobs of which a task crashes executors."""
RESIZING_SHARE = 0.4
CRASH_AFTER_S = (0.005, 0.3)
FOREIGN_SHARE = 0.4
FOREIGN_FORMS = (
    b"",
    b"\xff\xfe{",
    b"[]",
    b"{}",
    b'{"pool": "pool", "zone": "z0", "rack": "r0", "capacity": [64000, 262144, 8],'
    b' "leaves_in_s": null, "born": BORN}',
    b'{"state": "paused", "pool": "pool", "zone": "z0", "rack": "r0",'
    b' "capacity": [64000, 262144, 8], "leaves_in_s": null, "born": BORN}',
    b'{"state": "ready", "pool": "nobody", "zone": "z0", "rack": "r0",'
    b' "capacity": [64000, 262144, 8], "leaves_in_s": null, "born": BORN}',
    b'{"state": "ready", "pool": "pool", "zone": "z0", "rack": "r0", "capacity": 8,'
    b' "leaves_in_s": null, "born": BORN}',
)
"""What another writer puts under an executor's id; `BORN` stands for the start of its instance."""
WITHOUT_STATE = FOREIGN_FORMS[4]
WITHOUT_STATE_SHARE = 0.4
"""Drawn so often of itself: it is whole but for one field, so that a lax reader would use it."""
STORM = 1_000
"""Entries of new ids at once, as many as a whole fleet's."""
SAID_AFTER_S = 1.5
"""An executor says what it holds with its next heartbeat."""
RESTARTING_SHARE = 0.4
"""Of the seeds, those whose executors start again under their ids."""
BACK_AFTER_S = (0.05, 5.0)


class ExecutorTroubles:
    """The crashing tasks and the changes of capacity of one seed."""

    def __init__(self, site: EmulatedSite, seed: int, only: Collection[str] = ()) -> None:
        self.site = site
        self.random = random.Random(f"executors {seed}")
        self.resized: list[Span] = []
        self.crashes = self._is_drawn("task_crashes_executors", CRASHING_SHARE, only)
        self.resizes = self._is_drawn("capacity_changes", RESIZING_SHARE, only)

        self.entries = random.Random(f"entries {seed}")
        is_foreign = self.entries.random() < FOREIGN_SHARE
        self.is_foreign = "foreign_entries" in only if only else is_foreign
        self.foreign_count = 0

        self.restarts = random.Random(f"restarts {seed}")
        is_restarting = self.restarts.random() < RESTARTING_SHARE
        self.is_restarting = "executors_restart" in only if only else is_restarting
        self.restart_count = 0
        if self.is_restarting:
            site.keeps_ids = self.restarts.random() < 0.5
            site.said_after_s = self.restarts.choice([0.0, 0.3, SAID_AFTER_S])

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
            name = self.random.choice(await self.site.wait_for_living())
            place = self.site.executors.by_id[name]
            place.guards = False
            share = self.random.choice([0.25, 0.5, 0.75])
            smaller = Resources(*(int(amount * share) for amount in CAPACITY))
            said_after_s = self.random.uniform(0.0, SAID_AFTER_S)
            self.site.resize_executor(name, smaller, said_after_s)
            span = Span(name, trio.current_time() + said_after_s)
            self.resized.append(span)
            await trio.sleep(self.random.uniform(2.0, 7.0))
            span.until = trio.current_time()
            if not place.is_gone:
                self.site.resize_executor(name, CAPACITY)

    async def overwrite_entries(self, until: float) -> None:
        """Let another writer overwrite entries of executors, and write some of its own."""
        while self.is_foreign and trio.current_time() < until:
            await trio.sleep(self.entries.uniform(0.5, 4.0))
            self.foreign_count += 1
            if self.entries.random() < 0.2:
                self.site.nursery.start_soon(self._storm)
                continue
            name = self.entries.choice(await self.site.wait_for_living())
            span = self.site.write_foreign(name, self._choose_form())
            self.site.nursery.start_soon(self._write_back, span, self.entries.uniform(1.5, 9.0))

    async def restart_executors(self, until: float) -> None:
        """Have executors start again under their ids: one, a few, or all of a rack."""
        while self.is_restarting and trio.current_time() < until:
            await trio.sleep(self.restarts.uniform(0.3, 5.0))
            for name in self._choose_restarting(await self.site.wait_for_living()):
                self.restart_count += 1
                self.site.restart_executor(name, self.restarts.uniform(*BACK_AFTER_S))

    def _choose_restarting(self, names: list[str]) -> list[str]:
        places = self.site.executors.by_id
        rack = places[self.restarts.choice(names)].executor.rack
        of_rack = [name for name in names if places[name].executor.rack == rack]
        some = self.restarts.sample(names, self.restarts.randint(1, len(names)))
        return self.restarts.choice([some[:1], some[:1], of_rack, some])

    def _choose_form(self) -> bytes:
        if self.entries.random() < WITHOUT_STATE_SHARE:
            return WITHOUT_STATE
        return self.entries.choice(FOREIGN_FORMS)

    async def _write_back(self, span: Span, after_s: float) -> None:
        await trio.sleep(after_s)
        self.site.write_back(span)

    async def _storm(self) -> None:
        form = self._choose_form()
        spans = [self.site.write_foreign(f"x{number}", form) for number in range(STORM)]
        await trio.sleep(self.entries.uniform(1.0, 5.0))
        for span in spans:
            self.site.write_back(span)
