"""Ownership of a cell by a lease in the store, fenced by an epoch."""

from __future__ import annotations

import json
import uuid
from dataclasses import asdict, dataclass
from enum import Enum
from types import TracebackType

import trio

from .store import (
    MALFORMED,
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

DEFAULT_DURATION_S = 5.0
DEFAULT_SAFETY_MARGIN_S = 0.5
RENEWALS_PER_LEASE = 3
MAX_DURATION_S = 86_400.0


@dataclass(frozen=True, slots=True)
class OwnerRecord:
    """The stored lease of a cell; an empty `host` means that the cell was released.

    `sequence` increases with each renewal, and `duration_s` is the validity of a renewal.
    """

    cell: str
    host: str
    address: str
    epoch: int
    sequence: int
    duration_s: float
    write_id: str

    def encode(self) -> bytes:
        """Return the stored form."""
        return json.dumps(asdict(self)).encode()

    @classmethod
    def decode(cls, value: bytes) -> OwnerRecord | Malformed:
        """Decode the stored form."""
        try:
            record = cls(**json.loads(value))
            _check(record)
        except MALFORMED as error:
            return Malformed(f"{error!r:.200}")
        return record


def _check(record: OwnerRecord) -> None:
    """Raise `TypeError` or `ValueError` unless all fields have their types and bounds."""
    for text in (record.cell, record.host, record.address, record.write_id):
        if not isinstance(text, str):
            raise TypeError("names and ids are texts")
    for number in (record.epoch, record.sequence):
        if not isinstance(number, int) or number < 0:
            raise ValueError("epochs and sequences are numbers from 0")
    if not 0.0 < record.duration_s <= MAX_DURATION_S:
        raise ValueError(f"a duration is above 0 s, up to {MAX_DURATION_S:g} s")


class LeaseState(Enum):
    """Ownership state of a host for a cell.

    A `DEGRADED` owner's lease has expired while no host can reach the store. It keeps running
    jobs and starts jobs that may safely run twice, but no others.
    """

    OWNER = "owner"
    DEGRADED = "degraded"
    NOT_OWNER = "not owner"


class CellLease:
    """One host's lease on one cell, released when the context exits without an error.

    The owner counts the lease duration from before it sends the renewal, on the monotonic
    clock, and stops `safety_margin_s` before the end. A contender takes over once it has
    observed the same record for the whole duration. After a store failure it restarts that
    interval, so an outage alone never deposes an owner. `delay_s` staggers the contenders.
    Set `is_store_down_for_all` while the peers can't reach the store either.
    """

    def __init__(
        self,
        store: Store,
        cell: str,
        host: str,
        address: str,
        *,
        duration_s: float = DEFAULT_DURATION_S,
        safety_margin_s: float = DEFAULT_SAFETY_MARGIN_S,
        delay_s: float = 0.0,
    ) -> None:
        self._store = store
        self.cell = cell
        self.host = host
        self.address = address
        self.duration_s = duration_s
        self.safety_margin_s = safety_margin_s
        self.delay_s = delay_s
        self.epoch = 0
        self.record: OwnerRecord | None = None
        self.is_contender = True
        self.is_store_down_for_all = False
        self._revision = 0
        self._expires_at = float("-inf")
        self._is_owner = False
        self._observed: tuple[int, int] | None = None
        self._observed_since = 0.0
        self._is_holder_unknown = False
        self._store_failed = False
        self.changed = trio.Event()

    async def __aenter__(self) -> CellLease:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if kind is None:
            await self.release_lease()

    @property
    def state(self) -> LeaseState:
        """The current ownership state of this host."""
        if not self._is_owner:
            return LeaseState.NOT_OWNER
        if trio.current_time() < self._expires_at:
            return LeaseState.OWNER
        return LeaseState.DEGRADED if self.is_store_down_for_all else LeaseState.NOT_OWNER

    @property
    def is_held(self) -> bool:
        """Whether this host is the last known owner, even if the lease has expired."""
        return self._is_owner

    async def run(self) -> None:
        """Renew or try to acquire the lease until cancelled."""
        while True:
            if self._is_owner:
                await self._renew()
                await trio.sleep(self.duration_s / RENEWALS_PER_LEASE)
            else:
                await self._contend()
                await trio.sleep(self.duration_s / (2 * RENEWALS_PER_LEASE))

    def depose(self) -> None:
        """Give up ownership without releasing the lease, after a higher epoch was observed."""
        if self._is_owner:
            self._is_owner = False
            self._expires_at = float("-inf")
            self._observed = None
            self._notify()

    async def release_lease(self) -> None:
        """Release the lease, so that another host can acquire it at once, and stop contending."""
        self.is_contender = False
        if not self._is_owner or self.record is None:
            return
        released = self._next_record(self.record.epoch, self.record.sequence + 1, host="")
        revision = self._revision
        self.depose()
        with trio.move_on_after(self.duration_s) as scope:
            scope.shield = True
            await write_idempotent(self._store, self._key, released.encode(), expect=revision)

    @property
    def _key(self) -> str:
        return f"owner/{self.cell}"

    def _next_record(self, epoch: int, sequence: int, host: str) -> OwnerRecord:
        return OwnerRecord(
            self.cell, host, self.address, epoch, sequence, self.duration_s, uuid.uuid4().hex
        )

    async def _renew(self) -> None:
        assert self.record is not None
        record = self._next_record(self.record.epoch, self.record.sequence + 1, self.host)
        sent_at = trio.current_time()
        outcome = await write_idempotent(
            self._store, self._key, record.encode(), expect=self._revision
        )
        self._record_store_outcome(outcome)
        if not self._is_owner and not self.is_contender:
            # The lease was released during the write, which may have overwritten the release.
            if isinstance(outcome, Written):
                free = self._next_record(record.epoch, record.sequence + 1, host="")
                await write_idempotent(
                    self._store, self._key, free.encode(), expect=outcome.revision
                )
        elif isinstance(outcome, Written):
            self._grant(record, outcome.revision, sent_at)
        elif isinstance(outcome, Conflict):
            await self._resolve_conflict(outcome.current)

    async def _resolve_conflict(self, current: Entry | Absent) -> None:
        """Adopt an earlier write of this host whose response was lost; otherwise depose."""
        if isinstance(current, Entry):
            record = OwnerRecord.decode(current.value)
            if isinstance(record, OwnerRecord) and self._is_own(record):
                self._revision = current.revision
                self.record = record
                return
        self.depose()
        self._observe(current)

    def _is_own(self, record: OwnerRecord) -> bool:
        return record.host == self.host and record.epoch == self.epoch

    async def _contend(self) -> None:
        if not self.is_contender:
            self._observed = None
            return
        current = await self._store.read(self._key)
        self._record_store_outcome(current)
        if isinstance(current, Unavailable):
            self._observed = None
            return
        self._observe(current)
        if self.is_contender and self._can_acquire(current):
            await self._acquire(current)

    def _observe(self, current: Entry | Absent) -> None:
        record = self._read(current) if isinstance(current, Entry) else None
        seen = (record.epoch, record.sequence) if record else (0, 0)
        if seen != self._observed:
            self._observed = seen
            self._observed_since = trio.current_time()
        changed = (record and record.host) != (self.record and self.record.host)
        self.record = record
        self._revision = current.revision
        if changed:
            self._notify()

    def _read(self, current: Entry) -> OwnerRecord:
        """Return the stored lease, in place of a malformed one that of an unknown host.

        Each epoch took a write, so none was higher than the revision.
        """
        record = OwnerRecord.decode(current.value)
        self._is_holder_unknown = isinstance(record, Malformed)
        if isinstance(record, Malformed):
            return OwnerRecord(self.cell, "", "", current.revision, 0, self.duration_s, "")
        return record

    def _can_acquire(self, current: Entry | Absent) -> bool:
        waited = trio.current_time() - self._observed_since
        if self._is_holder_unknown and isinstance(current, Entry):
            return waited >= self.duration_s + self.delay_s
        if self.record is None or not self.record.host:
            return waited >= self.delay_s
        return waited >= self.record.duration_s + self.delay_s

    async def _acquire(self, current: Entry | Absent) -> None:
        epoch = (self.record.epoch if self.record else 0) + 1
        record = self._next_record(epoch, 0, self.host)
        sent_at = trio.current_time()
        outcome = await write_idempotent(
            self._store, self._key, record.encode(), expect=current.revision
        )
        if isinstance(outcome, Written):
            self.epoch = epoch
            self._grant(record, outcome.revision, sent_at)
        elif isinstance(outcome, Unknown):
            self._observed = None

    def _grant(self, record: OwnerRecord, revision: int, sent_at: float) -> None:
        was_mine = self._is_owner
        self._is_owner = True
        self.record = record
        self._revision = revision
        self._expires_at = sent_at + self.duration_s - self.safety_margin_s
        if not was_mine:
            self._notify()

    def _record_store_outcome(self, outcome: object) -> None:
        self._store_failed = isinstance(outcome, Unavailable | Unknown)

    @property
    def has_store_failed(self) -> bool:
        """Whether the last store call for the lease failed."""
        return self._store_failed

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()
