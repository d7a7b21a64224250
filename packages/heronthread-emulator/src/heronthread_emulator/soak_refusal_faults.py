"""Faults of a soak of real processes in which addresses of executors refuse new connections.

Each is drawn apart by a source of its own, so that a seed's other faults stay what they were.
"""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from .soak_lasting_faults import Fault
from .soak_plan import APART_SHARE
from .soak_site import EXECUTORS, LARGE_EXECUTORS, SoakSite

PAUSE_S = (1.0, 5.0)
ROUNDS = (3, 5)
BETWEEN_S = (4.0, 9.0)
"""From one takeover to the next: shorter than an executor may hold what it runs."""
JUST_BEFORE_S = 0.5
POWER_LOST_S = (1.0, 1.5)
OWNER_ALONE_SHARE = 0.7
"""Of the rounds, those that end the owner alone; the others end all hosts."""
CRASH_SHARE = 0.6
"""Of the rounds, those whose executors crash; those of the others are cut off."""
MOST_DOWN = 3
DOWN_PART = 4
"""Fewer executors than one in so many are down for a round: two rounds may overlap."""
NEXT_AFTER_S = 3.3
"""After a crash for good, until another executor joins, with an id and address of its own."""
ENTRY_LEFT_S = 1.2
"""From then on until the entry of who crashed is gone."""
CUT_S = (2.0, 6.0)
REFUSED_S = (2.0, 8.0)
MOST_REFUSED = 3
TAKEOVER_SHARE = 0.5
"""Of the cuts by refusals, those beside a change of owner: the next one has no open connection."""


class RefusalFaults:
    """Plays faults that come now and then, in a seed that has them, until its faults end."""

    def __init__(self, site: SoakSite) -> None:
        self.site = site
        seed = site.settings.seed
        self.plan = random.Random(f"refusals {seed}")
        self.rounds = random.Random(f"rounds {seed}")
        self.cuts = random.Random(f"cuts by refusals {seed}")
        self.all: list[Fault] = [self.owners_killed_in_rounds, self.executor_cut_by_refusals]

    def draw(self) -> list[Fault]:
        """Return those that the seed has and the site is large enough for."""
        drawn = [fault for fault in self.all if self.plan.random() < APART_SHARE]
        chosen = list(self.all) if self.site.settings.only else drawn
        if self.site.settings.executors < LARGE_EXECUTORS:
            chosen = [fault for fault in chosen if fault != self.owners_killed_in_rounds]
        return chosen

    def check_size(self, wanted: list[str]) -> None:
        """Raise if a fault is asked for by name that the site is too small for."""
        name = self.owners_killed_in_rounds.__name__
        if name in wanted and self.site.settings.executors < LARGE_EXECUTORS:
            raise ValueError(f"{name}: needs at least {LARGE_EXECUTORS} executors")

    async def pause(self) -> None:
        """Wait until the next of them is due."""
        await trio.sleep(self.plan.uniform(*PAUSE_S))

    async def owners_killed_in_rounds(self) -> None:
        """Owners are killed one after the other, beside executors that crash or are cut off.

        Each part of it is noted as a fault of its own, as promises hold in the time between.
        """
        async with trio.open_nursery() as nursery:
            for _ in range(self.rounds.randint(*ROUNDS)):
                await self._play_round(nursery)
                await trio.sleep(self.rounds.uniform(*BETWEEN_S))

    async def _play_round(self, nursery: trio.Nursery) -> None:
        crashes = self.rounds.random() < CRASH_SHARE
        cut_s = self.rounds.uniform(*CUT_S)
        before_s = self.rounds.uniform(0.0, JUST_BEFORE_S)
        is_owner_alone = self.rounds.random() < OWNER_ALONE_SHARE
        away_s = self.rounds.uniform(*POWER_LOST_S)
        some = await self._choose_busy()
        if crashes and self.site.spare_executors >= len(some):
            self.site.executors.difference_update(some)
            nursery.start_soon(self._crash_for_good, some)
        else:
            nursery.start_soon(self._cut_off, some, cut_s)
        await trio.sleep(before_s)
        owner = await self.site.find_owner()
        alone = [] if owner is None else [owner]
        hosts = alone if is_owner_alone else sorted(self.site.hosts)
        nursery.start_soon(self.site.lose_power, hosts, away_s)

    async def _choose_busy(self) -> list[int]:
        """Return a few of the executors that run most, which cost most jobs if they go."""
        known = sorted(self.site.executors)
        busiest = await self.site.steer(EXECUTORS, "busiest", executors=known)
        most = min(MOST_DOWN, (len(known) - 1) // DOWN_PART)
        count = min(self.rounds.randint(1, max(1, most)), len(busiest))
        return self.rounds.sample(busiest[: 2 * MOST_DOWN], count)

    async def _crash_for_good(self, numbers: list[int]) -> None:
        with self.site.noting("executors_crash_for_good"):
            await self.site.steer(EXECUTORS, "crash_for_good", executors=numbers)
            await trio.sleep(NEXT_AFTER_S)
            for _ in numbers:
                await self.site.add_executor()
            await trio.sleep(ENTRY_LEFT_S)

    async def _cut_off(self, numbers: list[int], for_s: float) -> None:
        with self.site.noting("executors_cut_off"):
            await self._set_faults(numbers, silent=True)
            await trio.sleep(for_s)
            await self._set_faults(numbers, silent=False)

    async def executor_cut_by_refusals(self) -> None:
        """A cut refuses new connections to executors, while open ones and their runs go on."""
        known = sorted(self.site.executors)
        count = min(len(known), self.cuts.randint(1, MOST_REFUSED))
        some = self.cuts.sample(known, count)
        refused_s = self.cuts.uniform(*REFUSED_S)
        is_takeover = self.cuts.random() < TAKEOVER_SHARE
        away_s = self.cuts.uniform(*POWER_LOST_S)
        async with self._some_refuse(some, refused_s):
            owner = await self.site.find_owner()
            if is_takeover and owner is not None:
                await self.site.lose_power([owner], away_s)

    @asynccontextmanager
    async def _some_refuse(self, numbers: list[int], for_s: float) -> AsyncIterator[None]:
        ends_at = trio.current_time() + for_s
        await self._set_faults(numbers, refuses=True)
        yield
        await trio.sleep_until(ends_at)
        await self._set_faults(numbers, refuses=False)

    async def _set_faults(self, numbers: list[int], **values: bool) -> None:
        left = [number for number in numbers if number in self.site.executors]
        await self.site.steer(EXECUTORS, "faults", executors=left, set=values)
