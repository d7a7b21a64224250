"""Faults of a soak of real processes in which the store's watches miss changes.

They are no disruptions: reads and listings are answered, so every promise holds beside them. They
are drawn by a source of their own, so that a seed's other faults stay what they were.
"""

from __future__ import annotations

import random

import trio

from .soak_lasting_faults import Fault
from .soak_plan import APART_SHARE
from .soak_site import STORE, SoakSite
from .store import WatchFault

PAUSE_S = (0.5, 4.0)
MOST_CHANGES = 3
BETWEEN_S = (0.1, 2.0)
AFTER_S = (0.2, 5.0)
"""From the last change until watches are cut and the history is compacted."""


class WatchFaults:
    """Plays such faults now and then, in a seed that has them, until its faults end."""

    def __init__(self, site: SoakSite) -> None:
        self.site = site
        self.random = random.Random(f"watches {site.settings.seed}")
        self.all: list[Fault] = [self.watches_miss_changes]

    def draw(self) -> list[Fault]:
        """Return those that the seed has."""
        drawn = [fault for fault in self.all if self.random.random() < APART_SHARE]
        return list(self.all) if self.site.settings.only else drawn

    async def pause(self) -> None:
        """Wait until the next of them is due."""
        await trio.sleep(self.random.uniform(*PAUSE_S))

    async def watches_miss_changes(self) -> None:
        """New versions come while watches are silent or skip them; then all are cut."""
        fault = self.random.choice(list(WatchFault))
        await self.site.steer(STORE, "watches", fault=fault.value)
        for _ in range(self.random.randint(1, MOST_CHANGES)):
            await trio.sleep(self.random.uniform(*BETWEEN_S))
            await self.site.configure_next(self.random.randint(1, 3))
        await trio.sleep(self.random.uniform(*AFTER_S))
        await self.site.steer(STORE, "watches", fault="")
        await self.site.steer(STORE, "history")
        await self.site.steer(STORE, "cut")
