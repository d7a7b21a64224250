"""Ownership of a cell: a lease in the store with an epoch."""

from __future__ import annotations

import json
import uuid
from dataclasses import asdict, dataclass
from enum import Enum
from types import TracebackType

import trio

from .store import Absent, Conflict, Entry, Store, Unavailable, Unknown, Written, write_settled

DEFAULT_DURATION_S = 5.0
DEFAULT_MARGIN_S = 0.5
RENEWALS_PER_LEASE = 3


@dataclass(frozen=True, slots=True)
class OwnerRecord:
    """The value of an owner key; an empty `host` means that the cell was handed over.

    `sequence` grows with each renewal. `duration_s` is how long the owner may rely on one.
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
    def decode(cls, value: bytes) -> OwnerRecord:
        """Read the stored form."""
        return cls(**json.loads(value))


class Standing(Enum):
    """What a host may do for a cell.

    `DEGRADED` is an owner whose lease ran out while nobody can reach the store: it keeps
    what runs and starts work that may run twice safely, but claims nothing new.
    """

    OWNER = "owner"
    DEGRADED = "degraded"
    NOT_OWNER = "not owner"


class CellLease:
    """One host's lease on one cell, renewed for as long as the context is open.

    The holder counts its lease from before it sent the renewal, on the monotonic clock,
    and gives up `margin_s` early. A contender takes over once it has itself seen the same
    record for the whole duration; after a store failure it begins to count anew, so that
    an outage alone never deposes an owner. `delay_s` puts contenders in an order.
    `is_store_down_for_all` tells whether the peers can't reach the store either.
    """

    def __init__(
        self,
        store: Store,
        cell: str,
        host: str,
        address: str,
        *,
        duration_s: float = DEFAULT_DURATION_S,
        margin_s: float = DEFAULT_MARGIN_S,
        delay_s: float = 0.0,
    ) -> None:
        self._store = store
        self.cell = cell
        self.host = host
        self.address = address
        self.duration_s = duration_s
        self.margin_s = margin_s
        self.delay_s = delay_s
        self.epoch = 0
        self.record: OwnerRecord | None = None
        self.is_contender = True
        self.is_store_down_for_all = False
        self._revision = 0
        self._until = float("-inf")
        self._mine = False
        self._seen: tuple[int, int] | None = None
        self._seen_since = 0.0
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
            await self.hand_over()

    @property
    def standing(self) -> Standing:
        """What this host may do for the cell at this moment."""
        if not self._mine:
            return Standing.NOT_OWNER
        if trio.current_time() < self._until:
            return Standing.OWNER
        return Standing.DEGRADED if self.is_store_down_for_all else Standing.NOT_OWNER

    @property
    def is_held(self) -> bool:
        """Whether no other owner is known, though the lease may have run out."""
        return self._mine

    async def run(self) -> None:
        """Renew the lease, or try to get it, until cancelled."""
        while True:
            if self._mine:
                await self._renew()
                await trio.sleep(self.duration_s / RENEWALS_PER_LEASE)
            else:
                await self._contend()
                await trio.sleep(self.duration_s / (2 * RENEWALS_PER_LEASE))

    def depose(self) -> None:
        """Stop owning the cell, because a higher epoch was seen."""
        if self._mine:
            self._mine = False
            self._until = float("-inf")
            self._seen = None
            self._notify()

    async def hand_over(self) -> None:
        """Release the cell so that another host may take it at once; contend no more."""
        self.is_contender = False
        if not self._mine or self.record is None:
            return
        released = self._next_record(self.record.epoch, self.record.sequence + 1, host="")
        revision = self._revision
        self.depose()
        with trio.move_on_after(self.duration_s) as scope:
            scope.shield = True
            await write_settled(self._store, self._key, released.encode(), expect=revision)

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
        sent = trio.current_time()
        outcome = await write_settled(
            self._store, self._key, record.encode(), expect=self._revision
        )
        self._note_store(outcome)
        if not self._mine and not self.is_contender:
            # Handed over meanwhile: it undid the release, and would hold the cell for ever.
            if isinstance(outcome, Written):
                free = self._next_record(record.epoch, record.sequence + 1, host="")
                await write_settled(self._store, self._key, free.encode(), expect=outcome.revision)
        elif isinstance(outcome, Written):
            self._grant(record, outcome.revision, sent)
        elif isinstance(outcome, Conflict):
            await self._settle_conflict(outcome.current)

    async def _settle_conflict(self, current: Entry | Absent) -> None:
        """Tell an earlier write of our own, whose answer was lost, from a new owner's."""
        if isinstance(current, Entry):
            record = OwnerRecord.decode(current.value)
            if record.host == self.host and record.epoch == self.epoch:
                self._revision = current.revision
                self.record = record
                return
        self.depose()
        self._observe(current)

    async def _contend(self) -> None:
        if not self.is_contender:
            self._seen = None
            return
        current = await self._store.read(self._key)
        self._note_store(current)
        if isinstance(current, Unavailable):
            self._seen = None
            return
        self._observe(current)
        if self.is_contender and self._may_take(current):
            await self._take(current)

    def _observe(self, current: Entry | Absent) -> None:
        record = OwnerRecord.decode(current.value) if isinstance(current, Entry) else None
        seen = (record.epoch, record.sequence) if record else (0, 0)
        if seen != self._seen:
            self._seen = seen
            self._seen_since = trio.current_time()
        changed = (record and record.host) != (self.record and self.record.host)
        self.record = record
        self._revision = current.revision
        if changed:
            self._notify()

    def _may_take(self, current: Entry | Absent) -> bool:
        waited = trio.current_time() - self._seen_since
        if self.record is None or not self.record.host:
            return waited >= self.delay_s
        return waited >= self.record.duration_s + self.delay_s

    async def _take(self, current: Entry | Absent) -> None:
        epoch = (self.record.epoch if self.record else 0) + 1
        record = self._next_record(epoch, 0, self.host)
        sent = trio.current_time()
        outcome = await write_settled(
            self._store, self._key, record.encode(), expect=current.revision
        )
        if isinstance(outcome, Written):
            self.epoch = epoch
            self._grant(record, outcome.revision, sent)
        elif isinstance(outcome, Unknown):
            self._seen = None

    def _grant(self, record: OwnerRecord, revision: int, sent: float) -> None:
        was_mine = self._mine
        self._mine = True
        self.record = record
        self._revision = revision
        self._until = sent + self.duration_s - self.margin_s
        if not was_mine:
            self._notify()

    def _note_store(self, outcome: object) -> None:
        self._store_failed = isinstance(outcome, Unavailable | Unknown)

    @property
    def store_failed(self) -> bool:
        """Whether this host's last call for the lease failed."""
        return self._store_failed

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()
