"""A key-value service with transactions, leases, watches and faults."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeVar

import trio
from heronthread_coordination import Unavailable, Unknown
from heronthread_dispatch.keystore import (
    CommitOutcome,
    Committed,
    ConditionFailed,
    Events,
    HistoryCompacted,
    Item,
    KeyRemoved,
    LeaseExpired,
    LeaseHeld,
    Listing,
    Missing,
    ReadOutcome,
    Transaction,
    WatchOutcome,
)

LATENCY_S = 0.004
SILENCE_S = 0.9
WATCH_TIMEOUT_MARGIN_S = 0.8
"""How much longer than a watch its client waits for the answer."""

Refusal = TypeVar("Refusal")


class WatchFault(Enum):
    """How watches miss changes, while reads and listings are answered with them."""

    SILENT = "silent"
    """A watch is not answered before its client gives up."""
    SKIPPED = "skipped"
    """A watch ends in time without the changes, and the next one begins behind them."""


@dataclass(slots=True)
class _Lease:
    duration_s: float
    ends_at: float
    keys: set[str] = field(default_factory=set)


class EmulatedStore:
    """The one store; hosts call it through views of their own.

    `is_down` refuses every host; with `lapses` leases run out meanwhile, else they wait.
    `watch_fault` keeps changes from all watches. With `compacts_unnoticed` a watch from before the
    history that is kept is told so only at the end of its wait.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.history: list[Item | KeyRemoved] = []
        self.forgotten = 0
        self.revision = 0
        self.is_down = False
        self.lapses = False
        self.latency_s = LATENCY_S
        self.watch_fault: WatchFault | None = None
        self.compacts_unnoticed = False
        self._cuts = 0
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1
        self._changed = trio.Event()

    async def run(self) -> None:
        """End leases in time, until cancelled."""
        while True:
            await trio.sleep(0.05)
            if self.is_down and not self.lapses:
                for lease in self._leases.values():
                    lease.ends_at += 0.05
                continue
            now = trio.current_time()
            for number in [n for n, lease in self._leases.items() if lease.ends_at < now]:
                self.end_lease(number)

    def end_lease(self, number: int) -> None:
        """End a lease and remove its keys."""
        lease = self._leases.pop(number, None)
        self.revision += 1
        for key in sorted(lease.keys) if lease else ():
            if key in self.items and self.items[key].lease == number:
                self._remove(key)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key, as the operator or an executor does."""
        self.revision += 1
        return self._put(key, value, lease)

    def _put(self, key: str, value: bytes, lease: int) -> int:
        created = self.items[key].created if key in self.items else self.revision
        item = Item(key, value, self.revision, created, lease)
        self.items[key] = item
        if lease:
            self._leases[lease].keys.add(key)
        self._note(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key if it is there."""
        if key in self.items:
            self.revision += 1
            self._remove(key)

    def _remove(self, key: str) -> None:
        del self.items[key]
        self._note(KeyRemoved(key, self.revision))

    def _note(self, event: Item | KeyRemoved) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = trio.Event()

    def forget_history(self) -> None:
        """Drop what changed up to now."""
        self.forgotten = self.revision
        self.history.clear()
        self._changed.set()
        self._changed = trio.Event()

    def commit(self, transaction: Transaction) -> CommitOutcome:
        """Do a transaction at once."""
        entries = len(transaction.conditions) + len(transaction.puts) + len(transaction.removes)
        assert entries <= 32, "a transaction has too many entries"
        for key, revision in transaction.conditions:
            item = self.items.get(key)
            if (item.revision if item else 0) != revision:
                keys = [k for k, _ in transaction.conditions]
                return ConditionFailed({k: self.items[k] for k in keys if k in self.items})
        if any(put.lease and put.lease not in self._leases for put in transaction.puts):
            return LeaseExpired()
        self.revision += 1
        for put in transaction.puts:
            self._put(put.key, put.value, put.lease)
        for key in transaction.removes:
            if key in self.items:
                self._remove(key)
        return Committed(self.revision)

    def grant(self, duration_s: float) -> LeaseHeld:
        """Create a lease."""
        number = self._next_lease
        self._next_lease += 1
        self._leases[number] = _Lease(duration_s, trio.current_time() + duration_s)
        return LeaseHeld(number, duration_s)

    def renew(self, number: int) -> LeaseHeld | LeaseExpired:
        """Renew a lease."""
        lease = self._leases.get(number)
        if lease is None:
            return LeaseExpired()
        lease.ends_at = trio.current_time() + lease.duration_s
        return LeaseHeld(number, lease.duration_s)

    def changes(self, prefix: str, after: int) -> list[Item | KeyRemoved]:
        """Return what changed under a prefix after a revision."""
        return [e for e in self.history if e.revision > after and e.key.startswith(prefix)]

    def cut_watches(self) -> None:
        """End all waiting watches without an answer."""
        self._cuts += 1
        self._changed.set()
        self._changed = trio.Event()

    async def watch(
        self, prefix: str, after: int, wait_s: float, refuse: Callable[[], Refusal | None]
    ) -> WatchOutcome | Refusal:
        """Wait for changes under a prefix; `refuse` is asked after each change what ends it."""
        ends_at, cuts = trio.current_time() + wait_s, self._cuts
        while self._cuts == cuts:
            left = ends_at - trio.current_time()
            if after < self.forgotten and (left <= 0 or not self.compacts_unnoticed):
                return HistoryCompacted()
            events = self.changes(prefix, after) if self.watch_fault is None else []
            if left <= 0 and self.watch_fault is WatchFault.SILENT:
                await trio.sleep(WATCH_TIMEOUT_MARGIN_S)
                return Unavailable("no answer")
            if events or left <= 0:
                return Events(tuple(events), max(after, self.revision))
            with trio.move_on_after(left):
                await self._changed.wait()
            refusal = refuse()
            if refusal is not None:
                return refusal
        return Unavailable("cut")


@dataclass(slots=True)
class StoreView:
    """One host's way to the store, with faults of its own.

    `lose_answers`: so many writes are done and not answered; `late_s`: those are done that
    much later. `repeat`: so many writes are done twice, as when a connection breaks and the
    client sends again; only the second answer comes. `is_silent`: calls get no answer and
    do nothing.
    """

    store: EmulatedStore
    nursery: trio.Nursery
    is_cut: bool = False
    is_silent: bool = False
    lose_answers: int = 0
    late_s: float = 0.0
    repeat: int = 0

    async def _reach(self) -> Unavailable | None:
        if self.is_silent:
            await trio.sleep(SILENCE_S)
            return Unavailable("no answer")
        await trio.sleep(self.store.latency_s)
        if self.is_cut or self.store.is_down:
            return Unavailable("refused")
        return None

    async def read(self, key: str) -> ReadOutcome:
        """Return the key's item."""
        failure = await self._reach()
        if failure is not None:
            return failure
        return self.store.items.get(key, Missing())

    async def list(self, prefix: str) -> Listing | Unavailable:
        """Return all items under a prefix."""
        failure = await self._reach()
        if failure is not None:
            return failure
        items = tuple(i for k, i in sorted(self.store.items.items()) if k.startswith(prefix))
        return Listing(items, self.store.revision)

    async def watch(self, prefix: str, after: int, wait_s: float) -> WatchOutcome:
        """Wait for changes under a prefix."""
        failure = await self._reach()
        if failure is not None:
            return failure
        return await self.store.watch(prefix, after, wait_s, self._refuse_watch)

    def _refuse_watch(self) -> Unavailable | None:
        is_away = self.is_cut or self.is_silent or self.store.is_down
        return Unavailable("cut") if is_away else None

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Do a transaction."""
        failure = await self._reach()
        if failure is not None:
            return Unknown(failure.reason) if self.is_silent else failure
        if self.lose_answers > 0:
            self.lose_answers -= 1
            if self.late_s:
                self.nursery.start_soon(self._commit_late, transaction, self.late_s)
            else:
                self.store.commit(transaction)
            await trio.sleep(SILENCE_S)
            return Unknown("the answer was lost")
        if self.repeat > 0:
            self.repeat -= 1
            self.store.commit(transaction)
        return self.store.commit(transaction)

    async def _commit_late(self, transaction: Transaction, late_s: float) -> None:
        await trio.sleep(late_s)
        self.store.commit(transaction)

    async def grant(self, duration_s: float) -> LeaseHeld | Unavailable | Unknown:
        """Create a lease."""
        failure = await self._reach()
        return failure if failure is not None else self.store.grant(duration_s)

    async def renew(self, lease: int) -> LeaseHeld | LeaseExpired | Unavailable | Unknown:
        """Renew a lease."""
        failure = await self._reach()
        return failure if failure is not None else self.store.renew(lease)

    async def revoke(self, lease: int) -> None:
        """End a lease."""
        if await self._reach() is None:
            self.store.end_lease(lease)
