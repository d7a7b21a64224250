"""Accepting and cancelling jobs: a store write decides, and unclear outcomes are explicit."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

import trio
from heronthread_coordination import Unavailable, Unknown

from .keystore import (
    Committed,
    ConditionFailed,
    Item,
    KeyStore,
    LeaseExpired,
    LeaseHeld,
    Missing,
    Put,
    ReadOutcome,
    Transaction,
)
from .owned_cell import job_key
from .record import CancelledBeforeAccept, JobRecord, Unreadable, decode_job

TOMBSTONE_S = 30.0
"""Lifetime of the tombstone for a job cancelled before it was accepted; several times longer than
the store may delay a write."""
ROUTE_PAUSE_S = 0.03
"""Pause between two routes; three immediate rejections still take less than 0.1 s."""
DEFAULT_RETRY_AFTER_S = 1.0
"""Default `Retry-After`; its smallest value, as the store and the owner recover within seconds."""


@dataclass(frozen=True, slots=True)
class Taken:
    """The job or its cancellation is stored as `record`."""

    record: JobRecord


@dataclass(frozen=True, slots=True)
class NotTaken:
    """The request had no effect and never will; retry after `retry_after_s`."""

    reason: str
    retry_after_s: float = DEFAULT_RETRY_AFTER_S


@dataclass(frozen=True, slots=True)
class Unsettled:
    """The request may have taken effect, or may yet; repeating the same call is safe."""

    reason: str


@dataclass(frozen=True, slots=True)
class NoSuchJob:
    """The job does not exist."""


@dataclass(slots=True)
class PendingWrite:
    """Tracks whether a write is in flight: set before a write, cleared by its answer.

    A request that times out while it is not set had no effect and never will.
    """

    is_open: bool = False


IntakeOutcome = Taken | NotTaken | Unsettled | NoSuchJob
IntakeRoute = Callable[[PendingWrite], Awaitable[IntakeOutcome]]


async def accept_job(
    store: KeyStore, record: JobRecord, pending_write: PendingWrite
) -> IntakeOutcome:
    """Store a job unless its id already exists; then it is the same job."""
    put = Put(job_key(record.spec.id), record.encode())
    pending_write.is_open = True
    outcome = await store.commit(Transaction(((put.key, 0),), (put,)))
    pending_write.is_open = False
    if isinstance(outcome, Committed):
        return Taken(record)
    if isinstance(outcome, ConditionFailed):
        item = outcome.items.get(put.key)
        return _read_existing(item) if item else Taken(record)
    return _describe_failure(outcome)


def _read_existing(item: Item) -> Taken | NotTaken | Unsettled:
    """Return the outcome for a job whose key already exists."""
    record = decode_job(item.value)
    if isinstance(record, CancelledBeforeAccept):
        return NotTaken("it was cancelled before it was taken in")
    if isinstance(record, Unreadable):
        return Unsettled(f"the stored job can't be read: {record.reason}")
    return Taken(record)


async def accept_after_read(
    store: KeyStore, record: JobRecord, pending_write: PendingWrite, read_timeout_s: float
) -> IntakeOutcome:
    """Accept a job at a store that may be down, with a read first.

    An unanswered write leaves the outcome unknown; an unanswered read has no effect.
    """
    item = await _read_within(store, job_key(record.spec.id), read_timeout_s)
    if isinstance(item, Unavailable):
        return NotTaken(item.reason)
    if isinstance(item, Item):
        return _read_existing(item)
    return await accept_job(store, record, pending_write)


async def _read_within(store: KeyStore, key: str, read_timeout_s: float) -> ReadOutcome:
    with trio.move_on_after(read_timeout_s):
        return await store.read(key)
    return Unavailable(f"the store did not answer a read in {read_timeout_s:g} s")


async def cancel_job(
    store: KeyStore,
    job_id: str,
    tenant: str,
    pending_write: PendingWrite,
    read_timeout_s: float = float("inf"),
) -> IntakeOutcome:
    """Record the cancellation of a job, after reading the job first."""
    key = job_key(job_id)
    item = await _read_within(store, key, read_timeout_s)
    while True:
        if isinstance(item, Unavailable):
            return NotTaken(item.reason)
        if isinstance(item, Missing):
            tombstoned = await _write_tombstone(store, key, tenant, pending_write)
            if not isinstance(tombstoned, Item):
                return tombstoned
            item = tombstoned
        record = decode_job(item.value)
        if isinstance(record, CancelledBeforeAccept):
            return NoSuchJob()
        if isinstance(record, Unreadable):
            return Unsettled(f"the stored job can't be read: {record.reason}")
        if record.spec.tenant != tenant:
            return NoSuchJob()
        if record.cancelled:
            return Taken(record)
        record = JobRecord(record.spec, cancelled=True)
        transaction = Transaction(((key, item.revision),), (Put(key, record.encode()),))
        pending_write.is_open = True
        outcome = await store.commit(transaction)
        pending_write.is_open = False
        if isinstance(outcome, Committed):
            return Taken(record)
        if not isinstance(outcome, ConditionFailed):
            return _describe_failure(outcome)
        found = outcome.items.get(key)
        item = found if isinstance(found, Item) else Missing()


async def _write_tombstone(
    store: KeyStore, key: str, tenant: str, pending_write: PendingWrite
) -> IntakeOutcome | Item:
    """Write a tombstone for a job that does not exist, or return the job if it exists by now.

    A write that accepts the job may still be in flight and take effect after the cancellation
    was acknowledged.
    """
    granted = await store.grant(TOMBSTONE_S)
    if not isinstance(granted, LeaseHeld):
        return NotTaken(granted.reason)
    put = Put(key, CancelledBeforeAccept(tenant).encode(), granted.lease)
    pending_write.is_open = True
    outcome = await store.commit(Transaction(((key, 0),), (put,)))
    pending_write.is_open = False
    if isinstance(outcome, Committed):
        return NoSuchJob()
    await store.revoke(granted.lease)
    if isinstance(outcome, ConditionFailed) and key in outcome.items:
        return outcome.items[key]
    if isinstance(outcome, ConditionFailed | LeaseExpired):
        return NotTaken("the job's key has changed meanwhile")
    return _describe_failure(outcome)


def _describe_failure(outcome: object) -> NotTaken | Unsettled:
    if isinstance(outcome, Unavailable):
        return NotTaken(outcome.reason)
    assert isinstance(outcome, Unknown), "a job's key has no lease"
    return Unsettled(outcome.reason)


@dataclass(slots=True)
class _RouteAttempts:
    """The routes that were started, and their outcomes so far."""

    settled: Taken | NoSuchJob | None = None
    unsettled: Unsettled | None = None
    rejected: NotTaken = field(default_factory=lambda: NotTaken("nothing was tried"))
    pending_writes: list[PendingWrite] = field(default_factory=list)
    running: int = 0
    ended: trio.Event = field(default_factory=trio.Event)

    async def run(self, route: IntakeRoute) -> None:
        """Run one route and record its outcome."""
        pending_write = PendingWrite()
        self.pending_writes.append(pending_write)
        outcome = await route(pending_write)
        if isinstance(outcome, Taken | NoSuchJob):
            self.settled = outcome
        elif isinstance(outcome, Unsettled):
            self.unsettled = outcome
        else:
            self.rejected = outcome
        self.running -= 1
        self.ended.set()
        self.ended = trio.Event()

    async def wait_for_at_most(self, running: int) -> None:
        """Wait until at most `running` routes are still running, or one is conclusive."""
        while self.running > running and self.settled is None:
            await self.ended.wait()

    def conclude(self, is_late: bool) -> IntakeOutcome:
        """Return the combined outcome: a rejection only if no route had or can have an effect."""
        if self.settled is not None:
            return self.settled
        if self.unsettled is not None:
            return self.unsettled
        if any(pending_write.is_open for pending_write in self.pending_writes):
            return Unsettled("the time for an answer has run out")
        if is_late:
            reason = "the time for an answer has run out before anything was written"
            return NotTaken(reason)
        return self.rejected


async def try_routes(
    routes: Iterable[IntakeRoute],
    budget_s: float,
    hedge_s: Callable[[], float] = lambda: float("inf"),
) -> IntakeOutcome:
    """Try several routes in turn until one is conclusive, for at most `budget_s` seconds.

    The next route starts when one has ended, or has taken `hedge_s()` seconds; then both run, as
    writing a job is idempotent. After an unclear outcome, a later rejection proves nothing.
    """
    attempts = _RouteAttempts()
    with trio.move_on_after(budget_s) as budget:
        async with trio.open_nursery() as nursery:
            has_ended = False
            for route in routes:
                if has_ended:
                    await trio.sleep(ROUTE_PAUSE_S)
                others = attempts.running
                attempts.running += 1
                nursery.start_soon(attempts.run, route)
                with trio.move_on_after(hedge_s()) as hedge:
                    await attempts.wait_for_at_most(others)
                if attempts.settled is not None:
                    break
                has_ended = not hedge.cancelled_caught
            await attempts.wait_for_at_most(0)
            nursery.cancel_scope.cancel()
    return attempts.conclude(budget.cancelled_caught)
