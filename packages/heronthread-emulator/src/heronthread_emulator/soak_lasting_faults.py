"""The faults of a soak of real processes that a seed has all the time, beside those drawn in turn.

They are drawn apart, so that a seed's other faults stay what they were without them.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import trio

from .soak_plan import RACKS, draw_apart
from .soak_site import EXECUTORS, SoakSite

Fault = Callable[[], Awaitable[None]]

STORM_SHARE = 0.2
STORM = 1_000


class LastingFaults:
    """Plays faults of executors and hosts for as long as faults begin."""

    def __init__(self, site: SoakSite) -> None:
        self.site = site
        self.random = random.Random(f"executors {site.settings.seed}")
        self.all: list[Fault] = [
            self.task_crashes_executors,
            self.capacity_changes,
            self.host_suspended,
            self.foreign_entries,
            self.executors_restart,
        ]

    def draw(self) -> list[Fault]:
        """Return those that the seed has."""
        drawn = draw_apart(self.site.settings.seed, self.site.settings.only)
        return [fault for fault in self.all if fault.__name__ in drawn]

    async def task_crashes_executors(self) -> None:
        """The first tasks of some jobs crash each executor that starts them."""
        jobs = range(self.site.settings.jobs)
        chosen = self.random.sample(jobs, min(len(jobs), self.random.randint(1, 3)))
        after_s = self.random.choice([0.01, 0.01, 0.1, 0.3])
        names = [f"{number:016x}" for number in chosen]
        await self.site.steer(EXECUTORS, "crashing", jobs=names, after_s=after_s)

    async def capacity_changes(self) -> None:
        """Rooms that are not guarded shrink and grow again."""
        ends_at = trio.current_time() + self.site.settings.faults_s
        while trio.current_time() < ends_at:
            await trio.sleep(self.random.uniform(0.5, 3.0))
            number = self.random.choice(sorted(self.site.executors))
            share = self.random.choice([0.25, 0.5, 0.75])
            await self.site.steer(EXECUTORS, "resize", executor=number, share=share)
            await trio.sleep(self.random.uniform(2.0, 8.0))
            if number in self.site.executors:
                await self.site.steer(EXECUTORS, "resize", executor=number, share=1.0)

    async def foreign_entries(self) -> None:
        """Another writer overwrites entries of executors, and writes a storm of its own."""
        ends_at = trio.current_time() + self.site.settings.faults_s
        while trio.current_time() < ends_at:
            await trio.sleep(self.random.uniform(0.5, 3.0))
            if self.random.random() < STORM_SHARE:
                await self.site.steer(EXECUTORS, "storm", count=STORM)
                continue
            number = self.random.choice(sorted(self.site.executors))
            await self.site.steer(EXECUTORS, "overwrite", executor=number, is_foreign=True)
            await trio.sleep(self.random.uniform(2.0, 8.0))
            if number in self.site.executors:
                await self.site.steer(EXECUTORS, "overwrite", executor=number, is_foreign=False)

    async def executors_restart(self) -> None:
        """Executors start again under their ids: one, a few, or all of a rack."""
        ends_at = trio.current_time() + self.site.settings.faults_s
        while trio.current_time() < ends_at:
            await trio.sleep(self.random.uniform(0.5, 5.0))
            known = sorted(self.site.executors)
            some = self.random.sample(known, self.random.randint(1, len(known)))
            of_rack = [number for number in known if number % RACKS == some[0] % RACKS]
            chosen = self.random.choice([some[:1], some[:1], of_rack, some])
            after_s = self.random.choice([0.1, 0.5, 2.0, 4.0])
            await self.site.steer(EXECUTORS, "restart", executors=chosen, after_s=after_s)

    async def host_suspended(self) -> None:
        """The owner's machine is suspended now and then: its steady clock does not count that."""
        ends_at = trio.current_time() + self.site.settings.faults_s
        while trio.current_time() < ends_at:
            await trio.sleep(self.random.uniform(2.0, 8.0))
            owner = await self.site.find_owner()
            if owner is not None and owner not in self.site.frozen:
                await self.site.suspend_host(owner, self.random.uniform(0.5, 6.0))
