"""Watching the keys under a prefix: list all, then watch, and list again if history is lost."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import trio
from heronthread_coordination import Unavailable

from .keystore import HistoryCompacted, Item, KeyRemoved, KeyStore, Listing

WATCH_S = 2.5
RETRY_PAUSE_S = 0.15


@dataclass(slots=True)
class PrefixWatcher:
    """Calls `on_listing` with all items under a prefix and `on_change` with each later change.

    `at` is the revision up to which changes are known; None before the first listing.
    `gather_s` is a pause after each watch that returned changes, which batches frequent changes
    into fewer calls.
    """

    store: KeyStore
    prefix: str
    on_listing: Callable[[Listing], None]
    on_change: Callable[[Item | KeyRemoved], None]
    wait_s: float = WATCH_S
    gather_s: float = 0.0
    at: int | None = None

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            if self.at is None and not await self.read_all():
                await trio.sleep(RETRY_PAUSE_S)
                continue
            await self._watch_once()

    async def read_all(self) -> bool:
        """List all items once; False if the store did not answer."""
        listing = await self.store.list(self.prefix)
        if isinstance(listing, Unavailable):
            return False
        self.begin(listing)
        return True

    def begin(self, listing: Listing) -> None:
        """Start from an existing listing of the prefix."""
        self.at = listing.at
        self.on_listing(listing)

    async def _watch_once(self) -> None:
        assert self.at is not None
        outcome = await self.store.watch(self.prefix, self.at, self.wait_s)
        if isinstance(outcome, HistoryCompacted):
            self.at = None
        elif isinstance(outcome, Unavailable):
            await trio.sleep(RETRY_PAUSE_S)
        else:
            self.at = max(self.at, outcome.at)
            for event in outcome.events:
                self.on_change(event)
            if outcome.events and self.gather_s:
                await trio.sleep(self.gather_s)
