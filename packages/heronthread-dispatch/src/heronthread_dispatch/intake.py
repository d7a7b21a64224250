"""Taking jobs in and cancelling them: the store decides, and doubt is said so."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

import trio
from heronthread_coordination import Unavailable, Unknown

from .keystore import (
    Committed,
    Item,
    KeyStore,
    LeaseHeld,
    LeaseOver,
    Mismatch,
    Missing,
    Put,
    ReadOutcome,
    Transaction,
)
from .owned import job_key
from .record import CancelledUntaken, JobRecord, Unreadable, decode_job

FORBID_S = 30.0
"""For how long a job that was cancelled before it came is kept from being taken in: some times
the seconds by which the users' store may carry a write out late."""
RETRY_S = 0.03
"""Between two ways; a refusal at once, by three ways, still comes within a tenth of a second."""
COME_BACK_S = 1.0
"""Hosts look for a lost store every 0.15 s, and an owner is replaced within 3 s: it pays to ask
again after a second, the least that `Retry-After` can say."""


@dataclass(frozen=True, slots=True)
class Taken:
    """The store keeps the job (or its cancelling); `record` is what it keeps."""

    record: JobRecord


@dataclass(frozen=True, slots=True)
class NotTaken:
    """Nothing was done, and nothing will be; come back after `retry_after_s`."""

    reason: str
    retry_after_s: float = COME_BACK_S


@dataclass(frozen=True, slots=True)
class Unsettled:
    """It may have been done, or may be later; the same call again settles it."""

    reason: str


@dataclass(frozen=True, slots=True)
class NoSuchJob:
    """There is no such job."""


@dataclass(slots=True)
class Doubt:
    """Whether a call is under way that may do something: set before it, cleared by its answer.

    If time runs out while it is not set, nothing was done and nothing will be.
    """

    is_open: bool = False


IntakeOutcome = Taken | NotTaken | Unsettled | NoSuchJob
Way = Callable[[Doubt], Awaitable[IntakeOutcome]]


async def accept_job(store: KeyStore, record: JobRecord, doubt: Doubt) -> IntakeOutcome:
    """Keep a job unless its id is there already; then it is the same job."""
    put = Put(job_key(record.spec.id), record.encode())
    doubt.is_open = True
    outcome = await store.commit(Transaction(((put.key, 0),), (put,)))
    doubt.is_open = False
    if isinstance(outcome, Committed):
        return Taken(record)
    if isinstance(outcome, Mismatch):
        item = outcome.items.get(put.key)
        return _read_taken(item) if item else Taken(record)
    return _describe(outcome)


def _read_taken(item: Item) -> Taken | NotTaken | Unsettled:
    """Return what stands in a job's place already."""
    record = decode_job(item.value)
    if isinstance(record, CancelledUntaken):
        return NotTaken("it was cancelled before it was taken in")
    if isinstance(record, Unreadable):
        return Unsettled(f"what stands in its place can't be read: {record.reason}")
    return Taken(record)


async def accept_after_look(
    store: KeyStore, record: JobRecord, doubt: Doubt, look_s: float
) -> IntakeOutcome:
    """Take a job in at a store that may be down: look first, since a look does nothing.

    A write that gets no answer leaves doubt; a look that gets none in `look_s` leaves none.
    """
    item = await _look(store, job_key(record.spec.id), look_s)
    if isinstance(item, Unavailable):
        return NotTaken(item.reason)
    if isinstance(item, Item):
        return _read_taken(item)
    return await accept_job(store, record, doubt)


async def _look(store: KeyStore, key: str, look_s: float) -> ReadOutcome:
    with trio.move_on_after(look_s):
        return await store.read(key)
    return Unavailable(f"the store did not answer a look in {look_s:g} s")


async def cancel_job(
    store: KeyStore, job_id: str, tenant: str, doubt: Doubt, look_s: float = float("inf")
) -> IntakeOutcome:
    """Keep that a job is to be cancelled; it is looked up first, for `look_s` at most."""
    key = job_key(job_id)
    item = await _look(store, key, look_s)
    while True:
        if isinstance(item, Unavailable):
            return NotTaken(item.reason)
        if isinstance(item, Missing):
            forbidden = await _forbid(store, key, tenant, doubt)
            if not isinstance(forbidden, Item):
                return forbidden
            item = forbidden
        record = decode_job(item.value)
        if isinstance(record, CancelledUntaken):
            return NoSuchJob()
        if isinstance(record, Unreadable):
            return Unsettled(f"what stands in its place can't be read: {record.reason}")
        if record.spec.tenant != tenant:
            return NoSuchJob()
        if record.cancelled:
            return Taken(record)
        record = JobRecord(record.spec, cancelled=True)
        transaction = Transaction(((key, item.revision),), (Put(key, record.encode()),))
        doubt.is_open = True
        outcome = await store.commit(transaction)
        doubt.is_open = False
        if isinstance(outcome, Committed):
            return Taken(record)
        if not isinstance(outcome, Mismatch):
            return _describe(outcome)
        found = outcome.items.get(key)
        item = found if isinstance(found, Item) else Missing()


async def _forbid(store: KeyStore, key: str, tenant: str, doubt: Doubt) -> IntakeOutcome | Item:
    """Keep a job that is not there from being taken in, or return it if it is there by now.

    A write that takes it in may be open still, and be done seconds after its cancelling was
    acknowledged.
    """
    granted = await store.grant(FORBID_S)
    if not isinstance(granted, LeaseHeld):
        return NotTaken(granted.reason)
    put = Put(key, CancelledUntaken(tenant).encode(), granted.lease)
    doubt.is_open = True
    outcome = await store.commit(Transaction(((key, 0),), (put,)))
    doubt.is_open = False
    if isinstance(outcome, Committed):
        return NoSuchJob()
    await store.revoke(granted.lease)
    if isinstance(outcome, Mismatch) and key in outcome.items:
        return outcome.items[key]
    if isinstance(outcome, Mismatch | LeaseOver):
        return NotTaken("the job's place has changed meanwhile")
    return _describe(outcome)


def _describe(outcome: object) -> NotTaken | Unsettled:
    if isinstance(outcome, Unavailable):
        return NotTaken(outcome.reason)
    assert isinstance(outcome, Unknown), "a job's key has no lease"
    return Unsettled(outcome.reason)


@dataclass(slots=True)
class _Tries:
    """The ways that were begun, and what came of them so far."""

    settled: Taken | NoSuchJob | None = None
    unsettled: Unsettled | None = None
    refused: NotTaken = field(default_factory=lambda: NotTaken("nothing was tried"))
    doubts: list[Doubt] = field(default_factory=list)
    running: int = 0
    ended: trio.Event = field(default_factory=trio.Event)

    async def run(self, way: Way) -> None:
        """Go one way to its end."""
        doubt = Doubt()
        self.doubts.append(doubt)
        outcome = await way(doubt)
        if isinstance(outcome, Taken | NoSuchJob):
            self.settled = outcome
        elif isinstance(outcome, Unsettled):
            self.unsettled = outcome
        else:
            self.refused = outcome
        self.running -= 1
        self.ended.set()
        self.ended = trio.Event()

    async def wait_ended(self, running: int) -> None:
        """Wait until no more than `running` ways go on, or one has settled it."""
        while self.running > running and self.settled is None:
            await self.ended.wait()

    def conclude(self, is_late: bool) -> IntakeOutcome:
        """Return what may be told: a refusal only if no way did anything, nor will."""
        if self.settled is not None:
            return self.settled
        if self.unsettled is not None:
            return self.unsettled
        if any(doubt.is_open for doubt in self.doubts):
            return Unsettled("the time for an answer has run out")
        if is_late:
            reason = "the time for an answer has run out before anything was written"
            return NotTaken(reason)
        return self.refused


async def insist(
    ways: Iterable[Way], budget_s: float, hedge_s: Callable[[], float] = lambda: float("inf")
) -> IntakeOutcome:
    """Go several ways in turn until one settles it, at most `budget_s` seconds.

    The next way begins when one has ended, or has taken `hedge_s()`; both go on then, since a
    second write of a job is the same job. Once one way left it unsettled, a later refusal does
    not make it undone.
    """
    tries = _Tries()
    with trio.move_on_after(budget_s) as budget:
        async with trio.open_nursery() as nursery:
            has_ended = False
            for way in ways:
                if has_ended:
                    await trio.sleep(RETRY_S)
                others = tries.running
                tries.running += 1
                nursery.start_soon(tries.run, way)
                with trio.move_on_after(hedge_s()) as hedge:
                    await tries.wait_ended(others)
                if tries.settled is not None:
                    break
                has_ended = not hedge.cancelled_caught
            await tries.wait_ended(0)
            nursery.cancel_scope.cancel()
    return tries.conclude(budget.cancelled_caught)
