"""A numbered log in the store, used by the ledger and the configuration.

Each entry is a key that is created once and never overwritten. If two writers append the
same number, one of them gets the other's entry, and a writer that is behind must read the
missing entries before it can append; neither needs a clock. A snapshot at number n replaces
all entries up to n, which limits the entries to read.
"""

from __future__ import annotations

import json
import operator
from dataclasses import dataclass

from .store import (
    MALFORMED,
    MAX_VALUE_BYTES,
    Absent,
    Conflict,
    Entry,
    Malformed,
    Store,
    Unavailable,
    Unknown,
    Written,
    write_idempotent,
)

NUMBER_DIGITS = 12
MAX_PARTS = 1000


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of the log."""

    number: int
    value: bytes


@dataclass(frozen=True, slots=True)
class LogContents:
    """A snapshot (None if there is none yet), its number, and the entries after it."""

    snapshot: bytes | None
    snapshot_number: int
    entries: tuple[LogEntry, ...]

    @property
    def last(self) -> int:
        """Number of the last entry; 0 if the log is empty."""
        return self.entries[-1].number if self.entries else self.snapshot_number


@dataclass(frozen=True, slots=True)
class Appended:
    """The entry was appended."""

    number: int


@dataclass(frozen=True, slots=True)
class Taken:
    """The number is taken by another writer's entry."""

    entry: LogEntry


AppendOutcome = Appended | Taken | Unavailable | Unknown


class NumberedLog:
    """A log stored under the keys with `prefix`."""

    def __init__(self, store: Store, prefix: str) -> None:
        self._store = store
        self._prefix = prefix

    async def append(self, number: int, value: bytes) -> AppendOutcome:
        """Append entry `number`; `value` must be unique to this call."""
        key = self.key(number)
        outcome = await write_idempotent(self._store, key, value, expect=0)
        if isinstance(outcome, Written):
            return Appended(number)
        if isinstance(outcome, Conflict):
            assert isinstance(outcome.current, Entry), "conflict on a key that does not exist"
            return Taken(LogEntry(number, outcome.current.value))
        return outcome

    async def read_all(self) -> LogContents | Unavailable:
        """Read the newest snapshot and the entries after it."""
        head = await self._store.read(f"{self._prefix}/head")
        if isinstance(head, Unavailable):
            return head
        snapshot: bytes | None = None
        number = 0
        if isinstance(head, Entry):
            described = _decode_head(head.value)
            if isinstance(described, Malformed):
                return Unavailable(f"the head is malformed: {described.reason}")
            number = described["number"]
            read = await self._read_parts(number, described["parts"])
            if isinstance(read, Unavailable):
                return read
            snapshot = read
        entries = await self.read_after(number)
        if isinstance(entries, Unavailable):
            return entries
        return LogContents(snapshot, number, entries)

    async def read_after(self, number: int) -> tuple[LogEntry, ...] | Unavailable:
        """Return the entries after `number`, or `Unavailable` if one is missing."""
        found = await self._store.read_range(f"{self._prefix}/entry/", after=self.key(number))
        if isinstance(found, Unavailable):
            return found
        entries = []
        for entry in found:
            digits = entry.key.removeprefix(f"{self._prefix}/entry/")
            if not (digits.isascii() and digits.isdigit() and len(digits) == NUMBER_DIGITS):
                continue  # no writer of the log makes such a key
            next_number = int(digits)
            if next_number != number + 1:
                return Unavailable(f"entry {number + 1} is missing")
            number = next_number
            entries.append(LogEntry(number, entry.value))
        return tuple(entries)

    async def wait_for(self, number: int, wait_s: float) -> LogEntry | Absent | Unavailable:
        """Wait at most `wait_s` seconds for entry `number`."""
        found = await self._store.watch(self.key(number), revision=0, wait_s=wait_s)
        if isinstance(found, Entry):
            return LogEntry(number, found.value)
        return found

    async def write_snapshot(self, number: int, value: bytes) -> bool:
        """Store a snapshot of all entries up to `number`, then delete those entries.

        Returns False if the write failed or there is a newer snapshot.
        """
        head_key = f"{self._prefix}/head"
        head = await self._store.read(head_key)
        if isinstance(head, Unavailable):
            return False
        old = _decode_head(head.value) if isinstance(head, Entry) else {"number": 0, "parts": 0}
        if isinstance(old, Malformed) or old["number"] >= number:
            return False
        parts = [value[i : i + MAX_VALUE_BYTES] for i in range(0, len(value), MAX_VALUE_BYTES)]
        for index, part in enumerate(parts or [b""]):
            written = await self._store.write(self._part_key(number, index), part, expect=0)
            if not isinstance(written, Written | Conflict):
                return False
        described = json.dumps({"number": number, "parts": max(1, len(parts))}).encode()
        outcome = await write_idempotent(self._store, head_key, described, expect=head.revision)
        if not isinstance(outcome, Written):
            return False
        await self._drop(old, number)
        return True

    def key(self, number: int) -> str:
        """Return the key of an entry."""
        return f"{self._prefix}/entry/{number:0{NUMBER_DIGITS}d}"

    def _part_key(self, number: int, index: int) -> str:
        return f"{self._prefix}/snapshot/{number:0{NUMBER_DIGITS}d}/{index:03d}"

    async def _read_parts(self, number: int, count: int) -> bytes | Unavailable:
        parts = []
        for index in range(count):
            part = await self._store.read(self._part_key(number, index))
            if not isinstance(part, Entry):
                return Unavailable(f"part {index} of snapshot {number} can't be read")
            parts.append(part.value)
        return b"".join(parts)

    async def _drop(self, old: dict[str, int], number: int) -> None:
        """Delete what a snapshot replaces; failures are ignored, as leftovers only take space."""
        for index in range(old["parts"]):
            await self._store.delete(self._part_key(old["number"], index))
        for past in range(old["number"] + 1, number + 1):
            await self._store.delete(self.key(past))


def _decode_head(value: bytes) -> dict[str, int] | Malformed:
    """Decode the number of a snapshot and of its parts."""
    try:
        described = json.loads(value)
        number, parts = described["number"], described["parts"]
        if not 0 <= number < 10**NUMBER_DIGITS or not 0 <= parts <= MAX_PARTS:
            raise ValueError("numbers out of range")
        return {"number": operator.index(number), "parts": operator.index(parts)}
    except MALFORMED as error:
        return Malformed(f"{error!r:.200}")
