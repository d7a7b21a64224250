"""Faults of a soak of real processes that end owners while executors answer nobody.

They are drawn apart by a source of their own, so that a seed's other faults stay what they were.
"""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from .soak_lasting_faults import Fault
from .soak_plan import APART_SHARE
from .soak_site import EXECUTORS, SoakSite

PAUSE_S = (1.0, 5.0)
JUST_BEFORE_S = 0.8
POWER_LOST_S = (1.0, 1.5)
MOST_SILENT = 3
SILENT_ON_S = (3.3, 12.0)
"""Longer than most takeovers, and at times than an executor holds what it runs."""


class PowerFaults:
    """Plays faults that come now and then, in a seed that has them, until its faults end."""

    def __init__(self, site: SoakSite) -> None:
        self.site = site
        self.random = random.Random(f"power {site.settings.seed}")
        self.all: list[Fault] = [self.power_lost_beside_silence, self.owner_killed_beside_silence]

    def draw(self) -> list[Fault]:
        """Return those that the seed has; all that were chosen by name."""
        drawn = [fault for fault in self.all if self.random.random() < APART_SHARE]
        return list(self.all) if self.site.settings.only else drawn

    async def pause(self) -> None:
        """Wait until the next of them is due."""
        await trio.sleep(self.random.uniform(*PAUSE_S))

    async def power_lost_beside_silence(self) -> None:
        """All hosts lose power and are back at their addresses; a few executors answer nobody."""
        async with self._some_silent():
            await self._lose_power(sorted(self.site.hosts))

    async def owner_killed_beside_silence(self) -> None:
        """The owner loses power and is back at its address; a few executors answer nobody."""
        async with self._some_silent():
            owner = await self.site.find_owner()
            await self._lose_power([] if owner is None else [owner])

    async def _lose_power(self, hosts: list[int]) -> None:
        await self.site.lose_power(hosts, self.random.uniform(*POWER_LOST_S))

    @asynccontextmanager
    async def _some_silent(self) -> AsyncIterator[None]:
        """Have one to three executors fall silent, or crash, just before and for seconds after.

        The silence is noted as a fault of executors, beside which no accepted job may stand. Those
        that crash run nothing any more, so only the power counts as a fault that lasts.
        """
        known = sorted(self.site.executors)
        some = self.random.sample(known, min(len(known), self.random.randint(1, MOST_SILENT)))
        silent_s = self.random.uniform(*SILENT_ON_S)
        before_s = self.random.uniform(0.0, JUST_BEFORE_S)
        if self.random.random() < 0.5:
            await self.site.steer(EXECUTORS, "lose", executors=some, after_s=silent_s)
            await trio.sleep(before_s)
            yield
            return
        with self.site.noting("executors_silent"):
            await self.site.steer(EXECUTORS, "faults", executors=some, set={"silent": True})
            await trio.sleep(before_s)
            yield
            await trio.sleep(silent_s)
            left = [number for number in some if number in self.site.executors]
            await self.site.steer(EXECUTORS, "faults", executors=left, set={"silent": False})
