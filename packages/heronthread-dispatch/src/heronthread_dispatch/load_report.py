"""The owner's task that makes a load digest each second."""

from __future__ import annotations

import trio

from .clock import boot_time
from .guarantee import find_guaranteed
from .load_digest import MAX_PASSED_ON_S, LoadDigest, fit_digest
from .load_estimate import LoadEstimate, measure_capacity
from .owned_cell import OwnedCell

DIGEST_INTERVAL_S = 1.0
JOBS_PER_TURN = 200
"""Jobs that are looked at before other tasks get a turn; about 2 ms."""


class LoadReport:
    """Publishes the load of a cell to its own host, which passes it on."""

    def __init__(self, cell: OwnedCell) -> None:
        self._cell = cell
        self._sequence = 0

    async def run(self) -> None:
        """Restore the customers' use, then publish digests until cancelled."""
        self.restore_shares()
        while True:
            if self._cell.parts.may_send_orders():
                await self.publish()
            await trio.sleep(DIGEST_INTERVAL_S)

    def restore_shares(self) -> None:
        """Start from the fair-share use in the newest digest that this host knows."""
        known = self._cell.parts.known_load.find(boot_time())
        if known is None or known.age_s > MAX_PASSED_ON_S:
            return
        made_at = trio.current_time() - known.age_s
        for load in known.digest.pools:
            if load.used:
                self._cell.learned.shares.restore(load.pool, load.used, made_at)

    async def publish(self) -> None:
        """Make a digest and publish it; other tasks get turns meanwhile."""
        cell, now = self._cell, trio.current_time()
        made_at, parts = boot_time(), cell.parts
        cell.drain.note_capacity(measure_capacity(cell.executors.values(), now), now)
        jobs, desired, wall_now = list(cell.active.values()), parts.desired(), parts.wall_clock()
        guaranteed = find_guaranteed(jobs, desired, wall_now)
        estimate = LoadEstimate(desired, cell.learned, guaranteed, now, wall_now)
        for first in range(0, len(jobs), JOBS_PER_TURN):
            for job in jobs[first : first + JOBS_PER_TURN]:
                estimate.add_job(job)
            await trio.sleep(0)
        estimate.add_executors(cell.executors.values())
        self._sequence += 1
        digest = LoadDigest(cell.term.number, self._sequence, estimate.describe(cell.drain))
        parts.known_load.publish(fit_digest(digest), made_at)
