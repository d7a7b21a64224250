"""A wrapper of a key-value store that tracks its availability and counts its calls."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable
from typing import TypeVar

import trio
from heronthread_coordination import Unavailable, Unknown

from .keystore import (
    CommitOutcome,
    Committed,
    Events,
    Item,
    KeyStore,
    LeaseExpired,
    LeaseHeld,
    Listing,
    ReadOutcome,
    Transaction,
    WatchOutcome,
)
from .revision_log import RevisionLog

FAILURE_GRACE_S = 0.9
MIN_PATIENCE_S = 0.35
MAX_PATIENCE_S = 1.2
PATIENCE_FACTOR = 3.0
"""A call is overdue after this multiple of the recent mean latency, within the bounds above.

A slow store answers in 0.3 s, and callers wait 3 s in all.
"""
LATENCY_WEIGHT = 0.2

Outcome = TypeVar("Outcome")


class ObservedStore:
    """Forwards each call to a store and tracks its outcome."""

    def __init__(self, store: KeyStore) -> None:
        self._store = store
        self._last_answer_at = float("-inf")
        self._last_call_failed = False
        self._answering_since = float("inf")
        self._was_unavailable = False
        self._mean_latency_s = 0.0
        self._calls_in_flight: dict[int, float] = {}
        self._next_call = 0
        self.calls: Counter[str] = Counter()
        self.failures: Counter[str] = Counter()
        self.revisions = RevisionLog()

    @property
    def is_answering(self) -> bool:
        """Whether the store answered the last call, or any call in the last `FAILURE_GRACE_S`.

        False once a call is overdue and no call was answered since it was made.
        """
        if self._is_overdue():
            return False
        return (
            not self._last_call_failed
            or trio.current_time() - self._last_answer_at < FAILURE_GRACE_S
        )

    @property
    def patience_s(self) -> float:
        """Time (s) without an answer after which the store counts as silent."""
        return min(MAX_PATIENCE_S, max(MIN_PATIENCE_S, PATIENCE_FACTOR * self._mean_latency_s))

    def _is_overdue(self) -> bool:
        oldest = next(iter(self._calls_in_flight.values()), float("inf"))
        if trio.current_time() - oldest < self.patience_s:
            return False
        return self._last_answer_at <= oldest

    @property
    def answering_since(self) -> float:
        """Start (trio's clock) of the current period of availability; infinite while silent."""
        return self._answering_since if self.is_answering else float("inf")

    @property
    def returned_at(self) -> float:
        """Time (trio's clock) of the last recovery; infinite while silent or if never silent."""
        return self.answering_since if self._was_unavailable else float("inf")

    def find_up_s(self) -> float:
        """Return for how long (s) it has answered, 0.0 while it is silent."""
        return max(0.0, trio.current_time() - self.answering_since)

    async def _observe(self, call: str, outcome: Awaitable[Outcome]) -> Outcome:
        """Await a call that a healthy store answers at once, and track its latency."""
        number, began = self._next_call, trio.current_time()
        self._next_call += 1
        self._calls_in_flight[number] = began
        try:
            found = await outcome
        finally:
            del self._calls_in_flight[number]
        if not isinstance(found, Unavailable | Unknown):
            self._mean_latency_s += LATENCY_WEIGHT * (
                trio.current_time() - began - self._mean_latency_s
            )
        return self._track(call, found)

    def _track(self, call: str, outcome: Outcome) -> Outcome:
        self.calls[call] += 1
        was_answering = self.is_answering
        self._last_call_failed = isinstance(outcome, Unavailable | Unknown)
        if self._last_call_failed:
            self.failures[call] += 1
            self._was_unavailable |= not self.is_answering
            return outcome
        now = trio.current_time()
        if not was_answering or self._answering_since == float("inf"):
            self._answering_since = now
        self._last_answer_at = now
        self.revisions.note(_find_revision(outcome))
        return outcome

    async def read(self, key: str) -> ReadOutcome:
        """Return the key's item."""
        return await self._observe("read", self._store.read(key))

    async def list(self, prefix: str) -> Listing | Unavailable:
        """Return all items under a prefix."""
        return await self._observe("list", self._store.list(prefix))

    async def watch(self, prefix: str, after: int, wait_s: float) -> WatchOutcome:
        """Wait for changes."""
        return self._track("watch", await self._store.watch(prefix, after, wait_s))

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit a transaction."""
        return await self._observe("commit", self._store.commit(transaction))

    async def grant(self, duration_s: float) -> LeaseHeld | Unavailable | Unknown:
        """Create a lease."""
        return await self._observe("grant", self._store.grant(duration_s))

    async def renew(self, lease: int) -> LeaseHeld | LeaseExpired | Unavailable | Unknown:
        """Renew a lease."""
        return await self._observe("renew", self._store.renew(lease))

    async def revoke(self, lease: int) -> None:
        """End a lease."""
        await self._store.revoke(lease)


def _find_revision(outcome: object) -> int:
    """Return a revision that the store has reached by an outcome, 0 if it names none."""
    if isinstance(outcome, Listing | Events):
        return outcome.at
    return outcome.revision if isinstance(outcome, Committed | Item) else 0
