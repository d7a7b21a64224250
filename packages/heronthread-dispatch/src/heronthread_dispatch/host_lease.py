"""Ownership of the cell: a key bound to this process's lease, and a monotonic term number."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field

import orjson
import trio
from heronthread_coordination import Unavailable, Unknown

from .clock import boot_time
from .events import log_event
from .fences import FenceRecord, decode_fences, fences_key, read_counter
from .field_bounds import MAX_NUMBER, read_name, read_number
from .keystore import (
    Committed,
    ConditionFailed,
    Item,
    KeyStore,
    LeaseExpired,
    LeaseHeld,
    Put,
    Transaction,
)
from .record import MALFORMED, Unreadable

LEASE_S = 2.4
RENEWALS_PER_LEASE = 4
EXPIRY_MARGIN_S = 0.3
RETRY_PAUSE_S = 0.15
MAX_EXTENSION_S = 40.0
"""How long after its last renewal an owner may go on while no host reaches the store."""


@dataclass(frozen=True, slots=True, order=True)
class Strength:
    """The resources of a host: cores, scaled by speed, and network bandwidth."""

    cores: float = 1.0
    link_mbps: float = 0.0


@dataclass(frozen=True, slots=True)
class HostRecord:
    """A host's record in the store: its name, address and strength.

    `reads_sparse_progress` is false for hosts of earlier versions, which only read progress records
    that list all occurrences of a job.
    """

    host: str
    address: str
    strength: Strength = Strength()
    reads_sparse_progress: bool = True

    def encode(self) -> bytes:
        """Return the stored form."""
        value = {"host": self.host, "address": self.address, **asdict(self.strength)}
        value["sparse_progress"] = self.reads_sparse_progress
        return json.dumps(value).encode()

    @classmethod
    def decode(cls, data: bytes) -> HostRecord | Unreadable:
        """Read the stored form; records of older hosts lack the strength."""
        try:
            value = orjson.loads(data)
            strength = Strength(
                read_number(value.get("cores", 1), MAX_NUMBER),
                read_number(value.get("link_mbps", 0), MAX_NUMBER),
            )
            reads_sparse = bool(value.get("sparse_progress", False))
            return cls(
                read_name(value["host"]), read_name(value["address"]), strength, reads_sparse
            )
        except MALFORMED as error:
            return Unreadable(repr(error))


@dataclass(frozen=True, slots=True)
class Term:
    """One period of ownership: its fencing token, and the key that guards the owner's writes.

    `previous_revision` is the revision at which the term before began, 0 if there was none.
    `counter_key` holds the last number handed out, and `fence_record` is what the owner before
    recorded of late orders.
    """

    number: int
    guard: tuple[str, int]
    previous_revision: int = 0
    counter_key: str = "term/0"
    fence_record: FenceRecord = field(default_factory=FenceRecord)

    def is_over(self, outcome: ConditionFailed) -> bool:
        """Return whether a write with the guard as a condition failed because the term is over."""
        key, revision = self.guard
        guard = outcome.items.get(key)
        return guard is None or guard.revision != revision


class HostLease:
    """Keeps this process's lease and member key, and takes ownership of the cell.

    The lease counts from before its renewal was sent, on a suspend-aware clock, and is treated as
    expired `EXPIRY_MARGIN_S` early. `member_revision` is the revision of the member key, 0 without
    a lease.
    """

    def __init__(self, store: KeyStore, host_record: HostRecord, cell: str = "0") -> None:
        self._store = store
        self.host_record = host_record
        self.owner_key = f"cell/{cell}/owner"
        self._term_key = f"term/{cell}"
        self._member_key = f"cell/{cell}/host/{host_record.host}"
        self.lease: int | None = None
        self.until = float("-inf")
        self.last_renewed = float("-inf")
        self.duration_s = LEASE_S
        self.member_revision = 0
        self.lost = trio.Event()
        self.is_stopping = False

    @property
    def is_valid(self) -> bool:
        """Whether the lease is certainly still valid."""
        return self.lease is not None and boot_time() < self.until

    @property
    def left_s(self) -> float:
        """For how long (s) the lease is certainly valid, negative once it is not."""
        return self.until - boot_time()

    async def run(self) -> None:
        """Keep a lease, and acquire a new one after each loss, until cancelled."""
        while not self.is_stopping:
            if self.lease is None:
                if not await self._acquire():
                    await trio.sleep(RETRY_PAUSE_S)
                continue
            await trio.sleep(self.duration_s / RENEWALS_PER_LEASE)
            await self._renew()

    async def _acquire(self) -> bool:
        sent = boot_time()
        granted = await self._store.grant(LEASE_S)
        if not isinstance(granted, LeaseHeld):
            return False
        put = Put(self._member_key, self.host_record.encode(), granted.lease)
        outcome = await self._store.commit(Transaction(puts=(put,)))
        if not isinstance(outcome, Committed):
            # A delayed write would bind the member key to this lease instead of the next.
            await self._store.revoke(granted.lease)
            return False
        self.lost = trio.Event()
        self.lease = granted.lease
        self.member_revision = outcome.revision
        self.duration_s = granted.duration_s
        self._extend(sent)
        return True

    def _extend(self, sent: float) -> None:
        self.last_renewed = sent
        self.until = sent + self.duration_s - EXPIRY_MARGIN_S

    async def _renew(self) -> None:
        lease = self.lease
        if lease is None:
            return
        sent = boot_time()
        outcome = await self._store.renew(lease)
        if self.lease != lease:
            return
        if isinstance(outcome, LeaseHeld):
            self._extend(sent)
        elif isinstance(outcome, LeaseExpired):
            log_event("lease.over", host=self.host_record.host, lease=lease)
            self.drop()

    def drop(self) -> None:
        """Discard the lease; `run` acquires a new one."""
        self.lease = None
        self.member_revision = 0
        self.until = float("-inf")
        self.lost.set()

    async def release(self) -> None:
        """Revoke the lease, so that others may take over at once."""
        lease = self.lease
        self.drop()
        if lease is not None:
            await self._store.revoke(lease)

    def is_held_by_this_host(self, held: Item) -> bool:
        """Whether an owner key names this host, in this or an earlier process."""
        found = HostRecord.decode(held.value)
        if isinstance(found, Unreadable):
            return False
        return (found.host, found.address) == (self.host_record.host, self.host_record.address)

    async def try_acquire(self, held: Item | None = None) -> Term | None:
        """Try to take ownership of the cell; None if that failed.

        `held` is the owner key left by an earlier process of this host.
        """
        lease = self.lease
        if lease is None or not self.is_valid or self.is_stopping:
            return None
        if held is not None and held.lease == lease:
            # An earlier write took the cell but its answer was lost, so release it.
            log_event("owner.unclaimed", host=self.host_record.host, revision=held.revision)
            await self.release()
            return None
        # One call, as the key of the fences begins with the key of the counter.
        current = await self._store.list(self._term_key)
        if isinstance(current, Unavailable):
            return None
        items = {item.key: item for item in current.items}
        counter, fences = items.get(self._term_key), items.get(fences_key(self._term_key))
        number, revision = (0, 0) if counter is None else (read_counter(counter), counter.revision)
        transaction = Transaction(
            (
                (self.owner_key, held.revision if held else 0),
                (self._term_key, revision),
                (fences_key(self._term_key), fences.revision if fences else 0),
            ),
            (
                Put(self.owner_key, self.host_record.encode(), lease),
                Put(self._term_key, str(number + 1).encode()),
            ),
        )
        outcome = await self._store.commit(transaction)
        if isinstance(outcome, Committed):
            log_event("owner.taken", host=self.host_record.host, term=number + 1)
            record = decode_fences(fences)
            # The counter was last written when the term before began, or for one of its tokens.
            previous = record.term_revision if record.number == number else revision
            guard = (self.owner_key, outcome.revision)
            return Term(number + 1, guard, previous, self._term_key, record)
        if isinstance(outcome, Unknown):
            await self._release_after_unknown()
        elif not isinstance(outcome, ConditionFailed | Unavailable):
            self.drop()
        return None

    async def _release_after_unknown(self) -> None:
        """Revoke the lease after an unknown outcome, so that the write can't hold the cell."""
        await self.release()
