"""A key-value service that remembers whether it answers, and how often it was called."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable
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
LEAST_PATIENCE_S = 0.35
MOST_PATIENCE_S = 1.2
PATIENCE_FACTOR = 3.0
"""A call is overdue after three times what calls took of late, within these bounds: a store that
is slow answers in 0.3 s, and callers have 3 s in all."""
USUAL_WEIGHT = 0.2

Outcome = TypeVar("Outcome")


class ObservedStore:
    """Passes each call on, and notes its outcome."""

    def __init__(self, store: KeyStore) -> None:
        self._store = store
        self._answered_at = float("-inf")
        self._failed_last = False
        self._answering_since = float("inf")
        self._was_away = False
        self._usual_s = 0.0
        self._open: dict[int, float] = {}
        self._next_call = 0
        self.calls: Counter[str] = Counter()
        self.failures: Counter[str] = Counter()

    @property
    def is_answering(self) -> bool:
        """Whether the store answered the last call, or any call in the last `DOUBT_S`.

        Once a call is overdue and nothing was answered since it was made, it does not answer.
        """
        if self._is_overdue():
            return False
        return not self._failed_last or trio.current_time() - self._answered_at < DOUBT_S

    @property
    def patience_s(self) -> float:
        """How long a call may go unanswered before the store counts as silent."""
        return min(MOST_PATIENCE_S, max(LEAST_PATIENCE_S, PATIENCE_FACTOR * self._usual_s))

    def _is_overdue(self) -> bool:
        oldest = next(iter(self._open.values()), float("inf"))
        if trio.current_time() - oldest < self.patience_s:
            return False
        return self._answered_at <= oldest

    @property
    def answering_since(self) -> float:
        """Since when (trio's clock) it has answered all the time; infinite while it does not."""
        return self._answering_since if self.is_answering else float("inf")

    @property
    def returned_at(self) -> float:
        """When (trio's clock) it answered again after an absence; infinite while it is away.

        Infinite also where this process has not seen it away.
        """
        return self.answering_since if self._was_away else float("inf")

    async def _observe(self, call: str, outcome: Awaitable[Outcome]) -> Outcome:
        """Await a call that is answered at once where the store is well."""
        number, began = self._next_call, trio.current_time()
        self._next_call += 1
        self._open[number] = began
        try:
            found = await outcome
        finally:
            del self._open[number]
        if not isinstance(found, Unavailable | Unknown):
            self._usual_s += USUAL_WEIGHT * (trio.current_time() - began - self._usual_s)
        return self._noted(call, found)

    def _noted(self, call: str, outcome: Outcome) -> Outcome:
        self.calls[call] += 1
        was_answering = self.is_answering
        self._failed_last = isinstance(outcome, Unavailable | Unknown)
        if self._failed_last:
            self.failures[call] += 1
            self._was_away |= not self.is_answering
            return outcome
        now = trio.current_time()
        if not was_answering or self._answering_since == float("inf"):
            self._answering_since = now
        self._answered_at = now
        return outcome

    async def read(self, key: str) -> ReadOutcome:
        """Return the key's item."""
        return await self._observe("read", self._store.read(key))

    async def list(self, prefix: str) -> Listing | Unavailable:
        """Return all items under a prefix."""
        return await self._observe("list", self._store.list(prefix))

    async def watch(self, prefix: str, after: int, wait_s: float) -> WatchOutcome:
        """Wait for changes."""
        return self._noted("watch", await self._store.watch(prefix, after, wait_s))

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Do a transaction."""
        return await self._observe("commit", self._store.commit(transaction))

    async def grant(self, duration_s: float) -> LeaseHeld | Unavailable | Unknown:
        """Create a lease."""
        return await self._observe("grant", self._store.grant(duration_s))

    async def renew(self, lease: int) -> LeaseHeld | LeaseOver | Unavailable | Unknown:
        """Renew a lease."""
        return await self._observe("renew", self._store.renew(lease))

    async def revoke(self, lease: int) -> None:
        """End a lease."""
        await self._store.revoke(lease)
