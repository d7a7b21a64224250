"""The interface of a key-value store with transactions, leases and watches.

Outcomes are return values. A call that is `Unavailable` had no effect; after `Unknown` a write may
have taken effect, or may do so later while its conditions hold.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from heronthread_coordination import Unavailable, Unknown


@dataclass(frozen=True, slots=True)
class Item:
    """A key's value, the revisions of its last change and its creation, and its lease."""

    key: str
    value: bytes
    revision: int
    created: int = 0
    lease: int = 0


@dataclass(frozen=True, slots=True)
class KeyRemoved:
    """The removal of a key at a revision."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """The items under a prefix at revision `at`, from which a watch misses no change."""

    items: tuple[Item, ...]
    at: int


@dataclass(frozen=True, slots=True)
class Events:
    """Changes under a prefix; the next watch continues from revision `at`."""

    events: tuple[Item | KeyRemoved, ...]
    at: int


@dataclass(frozen=True, slots=True)
class HistoryCompacted:
    """The requested history was compacted: everything must be read again."""


@dataclass(frozen=True, slots=True)
class Put:
    """One key to write; it is removed when its lease, if any, ends."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Transaction:
    """An atomic write; conditions are (key, revision) pairs, with 0 for an absent key."""

    conditions: tuple[tuple[str, int], ...] = ()
    puts: tuple[Put, ...] = ()
    removes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect at a revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class ConditionFailed:
    """A condition failed and nothing was written; `items` are the current values of its keys."""

    items: dict[str, Item] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LeaseExpired:
    """The lease has expired, and nothing was written."""


@dataclass(frozen=True, slots=True)
class LeaseHeld:
    """A lease and its duration (s) from the arrival of the call."""

    lease: int
    duration_s: float


@dataclass(frozen=True, slots=True)
class Missing:
    """The key does not exist."""


ReadOutcome = Item | Missing | Unavailable
CommitOutcome = Committed | ConditionFailed | LeaseExpired | Unavailable | Unknown
WatchOutcome = Events | HistoryCompacted | Unavailable


class KeyStore(Protocol):
    """Client of a key-value store."""

    async def read(self, key: str) -> ReadOutcome:
        """Return the key's current item."""

    async def list(self, prefix: str) -> Listing | Unavailable:
        """Return all items under a prefix."""

    async def watch(self, prefix: str, after: int, wait_s: float) -> WatchOutcome:
        """Wait for changes after a revision, at most `wait_s`."""

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit a transaction."""

    async def grant(self, duration_s: float) -> LeaseHeld | Unavailable | Unknown:
        """Create a lease."""

    async def renew(self, lease: int) -> LeaseHeld | LeaseExpired | Unavailable | Unknown:
        """Renew a lease."""

    async def revoke(self, lease: int) -> None:
        """End a lease and remove its keys."""
