"""A key-value service with transactions, leases and watches, as the product needs it.

Outcomes are values. A call that is `Unavailable` did nothing; after `Unknown` a write may
have taken effect, or may do so later as long as its condition holds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from heronthread_coordination import Unavailable, Unknown


@dataclass(frozen=True, slots=True)
class Item:
    """A key's value, the revision of its last change and that of its creation."""

    key: str
    value: bytes
    revision: int
    created: int = 0
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Gone:
    """A key was removed at a revision."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """The items under a prefix; a watch that starts at `at` misses nothing."""

    items: tuple[Item, ...]
    at: int


@dataclass(frozen=True, slots=True)
class Events:
    """What changed under a prefix; the next watch goes on from `at`."""

    events: tuple[Item | Gone, ...]
    at: int


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer knows what changed: everything must be read again."""


@dataclass(frozen=True, slots=True)
class Put:
    """One key to write; with a lease it goes when the lease goes."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Transaction:
    """All of it is done, or nothing; conditions are (key, revision), 0 for an absent key."""

    conditions: tuple[tuple[str, int], ...] = ()
    puts: tuple[Put, ...] = ()
    removes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect at a revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class Mismatch:
    """Nothing was done: a condition failed; the keys as they are (absent ones left out)."""

    items: dict[str, Item] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LeaseOver:
    """Nothing was done: the lease named has ended."""


@dataclass(frozen=True, slots=True)
class LeaseHeld:
    """A lease and the time (s) that it lasts from the arrival of the call."""

    lease: int
    duration_s: float


@dataclass(frozen=True, slots=True)
class Missing:
    """The key isn't there."""


ReadOutcome = Item | Missing | Unavailable
CommitOutcome = Committed | Mismatch | LeaseOver | Unavailable | Unknown
WatchOutcome = Events | HistoryLost | Unavailable


class KeyStore(Protocol):
    """The calls that the product makes."""

    async def read(self, key: str) -> ReadOutcome:
        """Return the key's item, as of now."""

    async def list(self, prefix: str) -> Listing | Unavailable:
        """Return all items under a prefix."""

    async def watch(self, prefix: str, after: int, wait_s: float) -> WatchOutcome:
        """Wait for changes after a revision, at most `wait_s`."""

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Do a transaction."""

    async def grant(self, duration_s: float) -> LeaseHeld | Unavailable | Unknown:
        """Create a lease."""

    async def renew(self, lease: int) -> LeaseHeld | LeaseOver | Unavailable | Unknown:
        """Renew a lease."""

    async def revoke(self, lease: int) -> None:
        """End a lease and remove its keys."""
