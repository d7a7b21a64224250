"""The owner's task that makes a load digest each second."""

from __future__ import annotations

import trio

from .clock import boot_time
from .load_digest import MAX_PASSED_ON_S, LoadDigest, fit_digest
from .load_estimate import estimate_load, measure_capacity
from .owned_cell import OwnedCell

DIGEST_INTERVAL_S = 1.0


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
                self.publish()
            await trio.sleep(DIGEST_INTERVAL_S)

    def restore_shares(self) -> None:
        """Start from the fair-share use in the newest digest that this host knows."""
        known = self._cell.parts.known_load.find(boot_time())
        if known is None or known.age_s > MAX_PASSED_ON_S:
            return
        for load in known.digest.pools:
            if load.used:
                self._cell.learned.shares.restore(load.pool, load.used, trio.current_time())

    def publish(self) -> None:
        """Make a digest and publish it."""
        cell, now = self._cell, trio.current_time()
        cell.drain.note_capacity(measure_capacity(cell.executors.values(), now), now)
        self._sequence += 1
        pools = estimate_load(
            cell.active.values(),
            cell.executors.values(),
            cell.parts.desired(),
            cell.drain,
            cell.learned,
            now,
            cell.parts.wall_clock(),
        )
        digest = fit_digest(LoadDigest(cell.term.number, self._sequence, pools))
        cell.parts.known_load.publish(digest, boot_time())
