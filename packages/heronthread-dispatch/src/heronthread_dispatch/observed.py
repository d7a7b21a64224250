"""A key-value service that remembers whether it answers, and how often it was called."""

from __future__ import annotations

from collections import Counter
from typing import TypeVar

import trio
from heronthread_coordination import Unavailable, Unknown

from .keystore import (
    CommitOutcome,
    KeyStore,
    LeaseHeld,
    LeaseOver,
    Listing,
    ReadOutcome,
    Transaction,
    WatchOutcome,
)

DOUBT_S = 0.9

Outcome = TypeVar("Outcome")


class ObservedStore:
    """Passes each call on, and notes its outcome."""

    def __init__(self, store: KeyStore) -> None:
        self._store = store
        self._answered_at = float("-inf")
        self._failed_last = False
        self._answering_since = float("inf")
        self.calls: Counter[str] = Counter()
        self.failures: Counter[str] = Counter()

    @property
    def is_answering(self) -> bool:
        """Whether the store answered the last call, or any call in the last `DOUBT_S`."""
        return not self._failed_last or trio.current_time() - self._answered_at < DOUBT_S

    @property
    def answering_since(self) -> float:
        """Since when (trio's clock) it has answered all the time; infinite while it does not."""
        return self._answering_since if self.is_answering else float("inf")

    def _noted(self, call: str, outcome: Outcome) -> Outcome:
        self.calls[call] += 1
        was_answering = self.is_answering
        self._failed_last = isinstance(outcome, Unavailable | Unknown)
        if self._failed_last:
            self.failures[call] += 1
            return outcome
        now = trio.current_time()
        if not was_answering or self._answering_since == float("inf"):
            self._answering_since = now
        self._answered_at = now
        return outcome

    async def read(self, key: str) -> ReadOutcome:
        """Return the key's item."""
        return self._noted("read", await self._store.read(key))

    async def list(self, prefix: str) -> Listing | Unavailable:
        """Return all items under a prefix."""
        return self._noted("list", await self._store.list(prefix))

    async def watch(self, prefix: str, after: int, wait_s: float) -> WatchOutcome:
        """Wait for changes."""
        return self._noted("watch", await self._store.watch(prefix, after, wait_s))

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Do a transaction."""
        return self._noted("commit", await self._store.commit(transaction))

    async def grant(self, duration_s: float) -> LeaseHeld | Unavailable | Unknown:
        """Create a lease."""
        return self._noted("grant", await self._store.grant(duration_s))

    async def renew(self, lease: int) -> LeaseHeld | LeaseOver | Unavailable | Unknown:
        """Renew a lease."""
        return self._noted("renew", await self._store.renew(lease))

    async def revoke(self, lease: int) -> None:
        """End a lease."""
        await self._store.revoke(lease)
