"""Watching the keys under a prefix: list all, then watch, and list again if history is lost.

A watch may miss changes without a sign. Where a promise depends on them, the keys are also listed
again periodically, so that the age of what is known here is bounded.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from zlib import crc32

import trio
from heronthread_coordination import Unavailable

from .clock import boot_time
from .events import RepeatedEvents, log_event
from .keystore import HistoryCompacted, Item, KeyRemoved, KeyStore, Listing

WATCH_S = 2.5
RETRY_PAUSE_S = 0.15
RELIST_FRACTION = 0.5
"""The part of the staleness bound after which the keys are listed again."""
RELIST_SPREAD = 0.3
"""The part of that time by which hosts differ at random, so that they don't list all at once."""
ATTEMPT_FRACTION = 0.3
"""The part of the bound that a listing without an answer may take, so that a second one fits."""
MAX_ATTEMPT_S = 2.0
DEAF_AFTER_S = 0.25
"""How long a watch may take to tell of a change; far longer than an answer is under way."""
MAX_LOGGED_KEYS = 8


@dataclass(slots=True)
class PrefixWatcher:
    """Calls `on_listing` with all items under a prefix and `on_change` with each later change.

    `at` is the revision up to which changes are known; None before the first listing.
    `gather_s` is a pause after each watch that returned changes, which batches frequent changes
    into fewer calls.

    `max_staleness_s` returns the time (s) within which a stored change has to be known while the
    store answers, also if no watch delivers it; without it only watches are relied on. `jitter`
    spreads the listings of hosts, each of which should have a seed of its own. All changes
    stored before `confirmed_at` (suspend-aware clock) are known, as a listing that showed the keys
    as they are known was requested then. `answered_at` is when the store last answered a listing or
    a watch.
    """

    store: KeyStore
    prefix: str
    on_listing: Callable[[Listing], None]
    on_change: Callable[[Item | KeyRemoved], None]
    wait_s: float = WATCH_S
    gather_s: float = 0.0
    at: int | None = None
    max_staleness_s: Callable[[], float] | None = None
    jitter: random.Random = field(default_factory=lambda: random.Random(0))
    confirmed_at: float = float("-inf")
    answered_at: float = float("-inf")
    _has_failed: bool = False
    _waiting_since: float = float("inf")
    _revisions: dict[str, int] = field(default_factory=dict)
    _watching: trio.CancelScope = field(default_factory=trio.CancelScope)
    _failures: RepeatedEvents = field(default_factory=RepeatedEvents)

    def describe(self) -> dict[str, float | None]:
        """Return for how long (s) the keys have not been confirmed and no call been answered."""
        return {
            "unconfirmed_s": _find_age_s(self.confirmed_at),
            "unanswered_s": _find_age_s(self.answered_at),
        }

    @property
    def digest(self) -> int:
        """Checksum of the known keys and their revisions; 0 while there are none."""
        rows = sorted(self._revisions.items())
        return crc32("".join(f"{key} {revision}\n" for key, revision in rows).encode())

    def describe_confirmed(self) -> tuple[int, float]:
        """Return the digest and how long ago (s) it was confirmed, for peers; zeros if never."""
        if self.confirmed_at == float("-inf"):
            return 0, 0.0
        return self.digest, max(0.0, boot_time() - self.confirmed_at)

    def confirm(self, digest: int, at: float) -> None:
        """Note that a peer listed keys of this digest at a time; other keys confirm nothing."""
        if digest and digest == self.digest:
            self.confirmed_at = max(at, self.confirmed_at)

    async def run(self) -> None:
        """Watch until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            if self.max_staleness_s is not None:
                nursery.start_soon(self._relist, self.max_staleness_s)

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
        self.resume(listing, sent_at)
        self.on_listing(listing)

    def resume(self, listing: Listing, sent_at: float) -> None:
        """Start after a listing that the caller has applied, which was requested at `sent_at`."""
        self.at = listing.at
        if self.max_staleness_s is not None:
            self._revisions = {item.key: item.revision for item in listing.items}
        self._note_confirmed(sent_at)

    def _note_confirmed(self, sent_at: float) -> None:
        self.confirmed_at = max(sent_at, self.confirmed_at)
        self.answered_at = boot_time()

    # Watching

    async def _watch(self) -> None:
        while True:
            if self.at is None and not await self.read_all():
                await trio.sleep(RETRY_PAUSE_S)
                continue
            with trio.CancelScope() as self._watching:
                await self._watch_once()

    async def _watch_once(self) -> None:
        after, began = self.at, boot_time()
        assert after is not None
        # After a failure the history since is asked for at once: it may be gone already.
        wait_s = 0.0 if self._has_failed else self.wait_s
        self._waiting_since = trio.current_time()
        outcome = await self.store.watch(self.prefix, after, wait_s)
        self._waiting_since = float("inf")
        self._has_failed = isinstance(outcome, Unavailable)
        if self.at != after:
            return  # a listing has gone beyond this answer
        if isinstance(outcome, HistoryCompacted):
            self._log_failure("history compacted", began)
            self.at = None
        elif isinstance(outcome, Unavailable):
            self._log_failure(outcome.reason, began)
            await trio.sleep(RETRY_PAUSE_S)
        else:
            self.answered_at = boot_time()
            self.at = max(after, outcome.at)
            for event in outcome.events:
                self._apply(event)
            if outcome.events and self.gather_s:
                await trio.sleep(self.gather_s)

    def _apply(self, event: Item | KeyRemoved) -> None:
        if self.max_staleness_s is not None:
            if isinstance(event, Item):
                self._revisions[event.key] = event.revision
            else:
                self._revisions.pop(event.key, None)
        self.on_change(event)

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

    # Listing again

    async def _relist(self, max_staleness_s: Callable[[], float]) -> None:
        """List the keys whenever they have not been confirmed for a part of the bound."""
        while True:
            await self._wait_until_due(max_staleness_s)
            attempt_s = ATTEMPT_FRACTION * max_staleness_s()
            while not await self._relist_once(attempt_s):
                attempt_s = min(MAX_ATTEMPT_S, 2 * attempt_s)

    async def _wait_until_due(self, max_staleness_s: Callable[[], float]) -> None:
        """Wait while the keys are confirmed, or the watch itself is about to list them."""
        share = RELIST_FRACTION * self.jitter.uniform(1 - RELIST_SPREAD, 1.0)
        while True:
            left_s = self.confirmed_at + share * max_staleness_s() - boot_time()
            if left_s <= 0 and self.at is not None:
                return
            await trio.sleep(left_s if left_s > 0 else RETRY_PAUSE_S)

    async def _relist_once(self, attempt_s: float) -> bool:
        """List the keys; False, `attempt_s` after the call, if the store did not answer it."""
        sent_at, next_at = boot_time(), trio.current_time() + attempt_s
        with trio.move_on_at(next_at):
            listing = await self.store.list(self.prefix)
            if isinstance(listing, Listing):
                self._take_relisting(listing, sent_at)
                return True
        await trio.sleep_until(next_at)
        return False

    def _take_relisting(self, listing: Listing, sent_at: float) -> None:
        """Apply what a listing shows beyond the known keys, and note that it confirms the rest."""
        if self.at is None or listing.at < self.at:
            return  # the watch has gone beyond this listing
        changes = self._find_changes(listing)
        if changes:
            self._restart_deaf_watch(changes, listing.at)
            self.at = listing.at
        for change in changes:
            self._apply(change)
        self._note_confirmed(sent_at)

    def _find_changes(self, listing: Listing) -> list[Item | KeyRemoved]:
        """Return the changes that lead from the known keys to those of a listing."""
        removed = self._revisions.keys() - {item.key for item in listing.items}
        changed = [i for i in listing.items if i.revision != self._revisions.get(i.key)]
        return [*(KeyRemoved(key, listing.at) for key in sorted(removed)), *changed]

    def _restart_deaf_watch(self, changes: list[Item | KeyRemoved], at: int) -> None:
        """End the watch if it has waited for a while without telling of changes listed since.

        A watch that has just begun may still tell of them, as under a prefix that changes often.
        """
        waited_s = trio.current_time() - self._waiting_since
        if waited_s < DEAF_AFTER_S:
            return
        log_event(
            "watch.missed",
            prefix=self.prefix,
            keys=[change.key for change in changes[:MAX_LOGGED_KEYS]],
            count=len(changes),
            at=at,
            after=self.at,
            waited_s=round(waited_s, 3),
            **self.describe(),
        )
        self._watching.cancel()


def _find_age_s(at: float) -> float | None:
    """Return how long ago (s) a time by the suspend-aware clock was, None if it never was."""
    return None if at == float("-inf") else round(boot_time() - at, 3)
