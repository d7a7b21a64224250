"""Watching the keys under a prefix: list all, then watch, and list again if history is lost."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from heronthread_coordination import Unavailable

from .clock import boot_time
from .events import RepeatedEvents
from .keystore import HistoryCompacted, Item, KeyRemoved, KeyStore, Listing

WATCH_S = 2.5
RETRY_PAUSE_S = 0.15


@dataclass(slots=True)
class PrefixWatcher:
    """Calls `on_listing` with all items under a prefix and `on_change` with each later change.

    `at` is the revision up to which changes are known; None before the first listing.
    `gather_s` is a pause after each watch that returned changes, which batches frequent changes
    into fewer calls. All changes stored before `confirmed_at` (suspend-aware clock) are known, as
    the last listing that the store answered was sent then; `answered_at` is when the store last
    answered a listing or a watch.
    """

    store: KeyStore
    prefix: str
    on_listing: Callable[[Listing], None]
    on_change: Callable[[Item | KeyRemoved], None]
    wait_s: float = WATCH_S
    gather_s: float = 0.0
    at: int | None = None
    confirmed_at: float = float("-inf")
    answered_at: float = float("-inf")
    _failures: RepeatedEvents = field(default_factory=RepeatedEvents)

    def describe(self) -> dict[str, float | None]:
        """Return for how long (s) the keys have not been read and no watch has been answered."""
        return {
            "unconfirmed_s": _find_age_s(self.confirmed_at),
            "unanswered_s": _find_age_s(self.answered_at),
        }

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            if self.at is None and not await self.read_all():
                await trio.sleep(RETRY_PAUSE_S)
                continue
            await self._watch_once()

    async def read_all(self) -> bool:
        """List all items once; False if the store did not answer."""
        sent_at = boot_time()
        listing = await self.store.list(self.prefix)
        if isinstance(listing, Unavailable):
            return False
        self.begin(listing, sent_at)
        return True

    def begin(self, listing: Listing, sent_at: float) -> None:
        """Start from an existing listing of the prefix, which was requested at `sent_at`."""
        self.at = listing.at
        self.confirmed_at = max(sent_at, self.confirmed_at)
        self.answered_at = boot_time()
        self.on_listing(listing)

    async def _watch_once(self) -> None:
        assert self.at is not None
        began = boot_time()
        outcome = await self.store.watch(self.prefix, self.at, self.wait_s)
        if isinstance(outcome, HistoryCompacted):
            self._log_failure("history compacted", began)
            self.at = None
        elif isinstance(outcome, Unavailable):
            self._log_failure(outcome.reason, began)
            await trio.sleep(RETRY_PAUSE_S)
        else:
            self.answered_at = boot_time()
            self.at = max(self.at, outcome.at)
            for event in outcome.events:
                self.on_change(event)
            if outcome.events and self.gather_s:
                await trio.sleep(self.gather_s)

    def _log_failure(self, reason: str, began: float) -> None:
        """Log a watch that ended without an answer, at most a few reasons of a prefix at a time."""
        self._failures.log(
            "watch.failed",
            (),
            detail=reason,
            prefix=self.prefix,
            reason=reason,
            waited_s=round(boot_time() - began, 3),
            after=self.at,
            **self.describe(),
        )


def _find_age_s(at: float) -> float | None:
    """Return how long ago (s) a time by the suspend-aware clock was, None if it never was."""
    return None if at == float("-inf") else round(boot_time() - at, 3)
