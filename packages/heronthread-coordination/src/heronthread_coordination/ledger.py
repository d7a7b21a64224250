"""Durable job records of a cell, committed in batches."""

from __future__ import annotations

import json
import operator
import uuid
from collections.abc import Iterator
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any

import trio

from .log import Appended, LogEntry, NumberedLog, Taken
from .store import MALFORMED, Malformed, Store, Unavailable

COMMIT_INTERVAL_S = 1.0
MAX_COMMIT_BYTES = 900_000
SNAPSHOT_INTERVAL = 128
RETRY_S = 1.0


@dataclass(frozen=True, slots=True)
class Record:
    """The state of one key; a later record of the key replaces it.

    A `final` record may be dropped once `retention_s` have passed since `at` (seconds since
    the epoch).
    """

    key: str
    at: float
    final: bool
    body: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Committed:
    """The record is stored in log entry `number`."""

    number: int


@dataclass(frozen=True, slots=True)
class Deposed:
    """The writer was closed or fenced by a newer epoch; the record was not written."""

    reason: str


@dataclass(slots=True)
class _Pending:
    record: Record
    size: int
    done: trio.Event = field(default_factory=trio.Event)
    outcome: Committed | Deposed | None = None


class LatestRecords:
    """The latest record of each key; bodies are kept as JSON to save memory."""

    def __init__(self) -> None:
        self._stored: dict[str, tuple[float, bool, bytes]] = {}

    def __contains__(self, key: object) -> bool:
        return key in self._stored

    def __len__(self) -> int:
        return len(self._stored)

    def __iter__(self) -> Iterator[Record]:
        for key, (at, final, body) in self._stored.items():
            yield Record(key, at, final, json.loads(body))

    def put(self, record: Record) -> None:
        """Set the record of a key."""
        body = json.dumps(record.body, separators=(",", ":")).encode()
        self._stored[record.key] = (record.at, record.final, body)

    def expire(self, retention_s: float) -> None:
        """Drop final records older than the newest one by more than `retention_s`."""
        newest = max((at for at, _, _ in self._stored.values()), default=0.0)
        limit = newest - retention_s
        kept = {k: s for k, s in self._stored.items() if not s[1] or s[0] >= limit}
        self._stored = kept


class Ledger:
    """The ledger of one cell, written by the owner of one epoch.

    `open` reads the log and appends an entry of its epoch, which fences older epochs: their
    next append finds its number taken. `run` commits the queued records, at most once each
    `commit_interval_s`, and retries while the store is unavailable.
    """

    def __init__(
        self,
        store: Store,
        cell: str,
        epoch: int,
        *,
        retention_s: float = 7 * 86400.0,
        commit_interval_s: float = COMMIT_INTERVAL_S,
    ) -> None:
        self._log = NumberedLog(store, f"ledger/{cell}")
        self.cell = cell
        self.epoch = epoch
        self.retention_s = retention_s
        self.commit_interval_s = commit_interval_s
        self.records = LatestRecords()
        self.number = 0
        self.commits = 0
        self.bytes_written = 0
        self.is_stalled = False
        self.deposed: Deposed | None = None
        self._queue: list[_Pending] = []
        self._wake = trio.Event()
        self._snapshot_number = 0

    async def __aenter__(self) -> Ledger:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._depose("the ledger was closed")

    async def open(self) -> Committed | Deposed | Unavailable:
        """Read the ledger and fence older epochs."""
        contents = await self._log.read_all()
        if isinstance(contents, Unavailable):
            return contents
        self.records = LatestRecords()
        if contents.snapshot is not None:
            whole = _decode_records(contents.snapshot)
            if isinstance(whole, Malformed):
                return Unavailable(f"the snapshot is malformed: {whole.reason}")
            self._put_records(whole)
        self._snapshot_number = contents.snapshot_number
        self.number = contents.snapshot_number
        for entry in contents.entries:
            if isinstance(malformed := self._replay_entry(entry), Unavailable):
                return malformed
        return await self._append_epoch_entry()

    async def _append_epoch_entry(self) -> Committed | Deposed | Unavailable:
        """Append the first entry of this epoch, after reading all entries of older epochs."""
        while self.deposed is None:
            value = self._encode([])
            outcome = await self._log.append(self.number + 1, value)
            if isinstance(outcome, Appended):
                self.number = outcome.number
                return Committed(outcome.number)
            if isinstance(outcome, Taken):
                if isinstance(malformed := self._replay_entry(outcome.entry), Unavailable):
                    return malformed
                continue
            return Unavailable(outcome.reason)
        return self.deposed

    async def append(self, record: Record) -> Committed | Deposed:
        """Queue a record and wait until it is committed or the epoch is deposed.

        The record may still be committed after the wait was cancelled.
        """
        (outcome,) = await self.append_all([record])
        return outcome

    async def append_all(self, records: list[Record]) -> list[Committed | Deposed]:
        """Queue records and wait for them; they are committed together as far as they fit."""
        pending = [self._enqueue(record) for record in records]
        for item in pending:
            await item.done.wait()
        return [item.outcome or Deposed("closed") for item in pending]

    def post(self, record: Record) -> None:
        """Queue a record without waiting for it."""
        self._enqueue(record)

    @property
    def backlog(self) -> int:
        """Number of records waiting to be committed."""
        return len(self._queue)

    async def flush(self) -> None:
        """Wait until all records queued so far are committed or the epoch is deposed."""
        for item in list(self._queue):
            await item.done.wait()

    async def run(self) -> None:
        """Commit queued records until cancelled or deposed."""
        while self.deposed is None:
            await self._wake.wait()
            if self.deposed is not None:
                return
            batch = self._next_batch()
            if batch:
                await self._commit(batch)
                await self._maybe_snapshot()
                await trio.sleep(self.commit_interval_s)
            elif not self._queue:
                self._wake = trio.Event()

    def _enqueue(self, record: Record) -> _Pending:
        size = len(json.dumps(_to_json(record)))
        item = _Pending(record, size)
        if self.deposed is not None:
            item.outcome = self.deposed
            item.done.set()
            return item
        self._queue.append(item)
        self._wake.set()
        return item

    def _next_batch(self) -> list[_Pending]:
        batch: list[_Pending] = []
        size = 0
        for item in self._queue:
            if batch and size + item.size > MAX_COMMIT_BYTES:
                break
            batch.append(item)
            size += item.size
        return batch

    async def _commit(self, batch: list[_Pending]) -> None:
        value = self._encode([_to_json(item.record) for item in batch])
        while self.deposed is None:
            outcome = await self._log.append(self.number + 1, value)
            if isinstance(outcome, Appended):
                self._finish_commit(batch, outcome.number, len(value))
                return
            if isinstance(outcome, Taken):
                epoch = _decode_epoch(outcome.entry.value)
                known = "another writer" if isinstance(epoch, Malformed) else f"epoch {epoch}"
                self._depose(f"{known} writes the ledger")
                return
            self.is_stalled = True
            await trio.sleep(RETRY_S)

    def _finish_commit(self, batch: list[_Pending], number: int, size: int) -> None:
        self.is_stalled = False
        self.number = number
        self.commits += 1
        self.bytes_written += size
        del self._queue[: len(batch)]
        for item in batch:
            self.records.put(item.record)
            item.outcome = Committed(number)
            item.done.set()

    async def _maybe_snapshot(self) -> None:
        if self.deposed is not None or self.number - self._snapshot_number < SNAPSHOT_INTERVAL:
            return
        self.records.expire(self.retention_s)
        value = json.dumps({"records": [_to_json(r) for r in self.records]}).encode()
        if await self._log.write_snapshot(self.number, value):
            self._snapshot_number = self.number

    def _encode(self, records: list[dict[str, Any]]) -> bytes:
        entry = {"epoch": self.epoch, "id": uuid.uuid4().hex, "records": records}
        return json.dumps(entry, separators=(",", ":")).encode()

    def _replay_entry(self, entry: LogEntry) -> Unavailable | None:
        """Apply an entry; a malformed one makes the ledger unavailable, as records may be lost."""
        epoch, records = _decode_epoch(entry.value), _decode_records(entry.value)
        if isinstance(epoch, Malformed) or isinstance(records, Malformed):
            return Unavailable(f"entry {entry.number} is malformed")
        if epoch > self.epoch:
            self._depose(f"epoch {epoch} writes the ledger")
        self._put_records(records)
        self.number = entry.number
        return None

    def _put_records(self, records: list[Record]) -> None:
        for record in records:
            self.records.put(record)

    def _depose(self, reason: str) -> None:
        if self.deposed is None:
            self.deposed = Deposed(reason)
        for item in self._queue:
            item.outcome = self.deposed
            item.done.set()
        self._queue = []
        self._wake.set()


def _to_json(record: Record) -> dict[str, Any]:
    return {"k": record.key, "t": record.at, "f": int(record.final), "b": record.body}


def _decode_epoch(value: bytes) -> int | Malformed:
    try:
        return operator.index(json.loads(value)["epoch"])
    except MALFORMED as error:
        return Malformed(f"{error!r:.200}")


def _decode_records(value: bytes) -> list[Record] | Malformed:
    """Decode the records of an entry or a snapshot."""
    try:
        return [_decode_record(item) for item in json.loads(value)["records"]]
    except MALFORMED as error:
        return Malformed(f"{error!r:.200}")


def _decode_record(item: dict[str, Any]) -> Record:
    if not isinstance(item["k"], str) or not isinstance(item["t"], int | float):
        raise TypeError("a record has a text as its key and a time")
    return Record(item["k"], item["t"], bool(item["f"]), item["b"])
