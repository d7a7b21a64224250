"""Interface to the platform's key-value service.

A store offers compare-and-swap on revisions and long-poll watches. Outcomes are return
values: an adapter never raises for an outage, a timeout or a lost response.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeVar

import trio

from .budget import TokenBucket

MAX_VALUE_BYTES = 1_000_000
MAX_WRITE_ATTEMPTS = 5
WRITE_RETRY_DELAY_S = 0.2

MALFORMED = (
    KeyError,
    IndexError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""The exceptions that decoding malformed bytes may raise."""

Outcome = TypeVar("Outcome")


@dataclass(frozen=True, slots=True)
class Entry:
    """A key's value and the revision of its last write."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Absent:
    """The key does not exist; its revision is 0."""

    key: str
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The write had no effect: the key has another revision than expected."""

    current: Entry | Absent


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The call had no effect: the store refused it or was unreachable."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The response was lost: a write may have taken effect or may yet do so."""

    reason: str


@dataclass(frozen=True, slots=True)
class Malformed:
    """The stored or received value is not as agreed."""

    reason: str


ReadOutcome = Entry | Absent | Unavailable
WriteOutcome = Written | Conflict | Unavailable | Unknown


class Store(Protocol):
    """Key-value service with compare-and-swap and watches."""

    async def read(self, key: str) -> ReadOutcome:
        """Return the key's entry."""

    async def read_range(self, prefix: str, after: str = "") -> list[Entry] | Unavailable:
        """Return the entries whose key starts with `prefix` and sorts after `after`."""

    async def write(self, key: str, value: bytes, *, expect: int) -> WriteOutcome:
        """Write if the key's revision is `expect`; 0 means that it must not exist."""

    async def delete(self, key: str) -> WriteOutcome:
        """Delete the key at any revision."""

    async def watch(self, key: str, *, revision: int, wait_s: float) -> ReadOutcome:
        """Return the entry once its revision differs from `revision`, or after `wait_s`."""


@dataclass(slots=True)
class CallCounts:
    """Numbers of store calls; a watch counts as one read."""

    reads: int = 0
    writes: int = 0
    refused: int = 0


class BudgetedStore:
    """A store with client-side rate limits for reads and writes.

    A call that would wait longer than `max_wait_s` for its token returns `Unavailable`.
    `is_answering` is whether the last call got a response, `last_answer_at` when it ended.
    """

    def __init__(
        self,
        store: Store,
        *,
        reads_per_s: float = 50.0,
        writes_per_s: float = 10.0,
        max_wait_s: float = 5.0,
    ) -> None:
        self._store = store
        self._max_wait_s = max_wait_s
        self._reads = TokenBucket(reads_per_s, burst=2 * reads_per_s)
        self._writes = TokenBucket(writes_per_s, burst=2 * writes_per_s)
        self.counts = CallCounts()
        self.is_answering = False
        self.last_answer_at = float("-inf")

    async def read(self, key: str) -> ReadOutcome:
        """Return the key's entry."""
        if not await self._spend_read():
            return Unavailable("this host exceeds its rate limit of store reads")
        return self._record_outcome(await self._store.read(key))

    async def read_range(self, prefix: str, after: str = "") -> list[Entry] | Unavailable:
        """Return the entries under a prefix."""
        if not await self._spend_read():
            return Unavailable("this host exceeds its rate limit of store reads")
        return self._record_outcome(await self._store.read_range(prefix, after))

    async def write(self, key: str, value: bytes, *, expect: int) -> WriteOutcome:
        """Write by compare-and-swap."""
        if not await self._spend_write():
            return Unavailable("this host exceeds its rate limit of store writes")
        return self._record_outcome(await self._store.write(key, value, expect=expect))

    async def delete(self, key: str) -> WriteOutcome:
        """Remove a key."""
        if not await self._spend_write():
            return Unavailable("this host exceeds its rate limit of store writes")
        return self._record_outcome(await self._store.delete(key))

    async def watch(self, key: str, *, revision: int, wait_s: float) -> ReadOutcome:
        """Wait for a change of a key."""
        if not await self._spend_read():
            return Unavailable("this host exceeds its rate limit of store reads")
        return self._record_outcome(await self._store.watch(key, revision=revision, wait_s=wait_s))

    def _record_outcome(self, outcome: Outcome) -> Outcome:
        """Record whether the store responded, and return the outcome."""
        self.is_answering = not isinstance(outcome, Unavailable | Unknown)
        self.last_answer_at = trio.current_time()
        return outcome

    async def _spend_read(self) -> bool:
        allowed = await self._reads.take(max_wait_s=self._max_wait_s)
        self.counts.reads += allowed
        self.counts.refused += not allowed
        return allowed

    async def _spend_write(self) -> bool:
        allowed = await self._writes.take(max_wait_s=self._max_wait_s)
        self.counts.writes += allowed
        self.counts.refused += not allowed
        return allowed


async def write_idempotent(store: Store, key: str, value: bytes, *, expect: int) -> WriteOutcome:
    """Write, and retry the same compare-and-swap if the response is lost.

    `value` must be unique to this write, for example by an id in it, so that a conflict with
    an equal value means that the write took effect. Returns `Unknown` only if the responses
    to all `MAX_WRITE_ATTEMPTS` were lost.
    """
    outcome: WriteOutcome = Unavailable("not attempted")
    maybe_written = False
    for attempt in range(MAX_WRITE_ATTEMPTS):
        if attempt:
            await trio.sleep(WRITE_RETRY_DELAY_S * attempt)
        outcome = await store.write(key, value, expect=expect)
        if isinstance(outcome, Conflict):
            current = outcome.current
            if isinstance(current, Entry) and current.value == value:
                return Written(current.revision)
            return outcome
        if isinstance(outcome, Written):
            return outcome
        if isinstance(outcome, Unknown):
            maybe_written = True
        elif not maybe_written:
            return outcome
    return Unknown("the store did not respond") if maybe_written else outcome
