"""The fault that all hosts lose power beside executors that answer nobody.

It is drawn apart from a seed's other faults, so that those stay what they were without it.
"""

from __future__ import annotations

import random
from collections.abc import Collection

import trio

from .executors import EmulatedExecutor
from .site import EmulatedSite

LOSING_SHARE = 0.4
"""Of the seeds, those that have such losses."""
AWAY_S = (0.8, 1.4)
SILENT_S = (1.0, 9.0)
MOST_LOSSES = 2
MOST_EXECUTORS = 3


class PowerLosses:
    """The losses of power of one seed."""

    def __init__(self, site: EmulatedSite, seed: int, only: Collection[str] = ()) -> None:
        self.site = site
        self.random = random.Random(f"power {seed}")
        is_drawn = self.random.random() < LOSING_SHARE
        self.is_drawn = "power_lost" in only if only else is_drawn
        self.count = 0

    async def play(self, until: float) -> None:
        """Have the hosts lose power once or twice, and start again about a second later."""
        for _ in range(self.random.randint(1, MOST_LOSSES)):
            await trio.sleep(self.random.uniform(2.0, 14.0))
            if trio.current_time() >= until:
                return
            self.count += 1
            await self._lose()

    async def _lose(self) -> None:
        names = await self.site.wait_for_living()
        count = self.random.randint(1, min(MOST_EXECUTORS, len(names)))
        for name in self.random.sample(names, count):
            if self.random.random() < 0.5:
                self.site.crash_executor(name)
            else:
                self.site.nursery.start_soon(self._cut, self.site.executors.by_id[name])
        hosts = list(self.site.hosts)
        for host in hosts:
            self.site.kill_host(host)
        await trio.sleep(self.random.uniform(*AWAY_S))
        for host in hosts:
            self.site.start_host(host)

    async def _cut(self, place: EmulatedExecutor) -> None:
        place.is_cut = True
        await trio.sleep(self.random.uniform(*SILENT_S))
        if not place.is_gone:
            place.is_cut = False
