"""Taking jobs in and cancelling them: the store decides, and doubt is said so."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio
from heronthread_coordination import Unavailable, Unknown

from .keystore import Committed, Item, KeyStore, Mismatch, Missing, Put, Transaction
from .owned import job_key
from .record import JobRecord

RETRY_S = 0.1
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
Attempt = Callable[[Doubt], Awaitable[IntakeOutcome]]


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
        return Taken(JobRecord.decode(item.value) if item else record)
    return _describe(outcome)


async def accept_after_look(store: KeyStore, record: JobRecord, doubt: Doubt) -> IntakeOutcome:
    """Take a job in at a store that may be down: look first, since a look does nothing.

    A write that gets no answer leaves doubt; a refused look leaves none.
    """
    item = await store.read(job_key(record.spec.id))
    if isinstance(item, Unavailable):
        return NotTaken(item.reason)
    if isinstance(item, Item):
        return Taken(JobRecord.decode(item.value))
    return await accept_job(store, record, doubt)


async def cancel_job(store: KeyStore, job_id: str, tenant: str, doubt: Doubt) -> IntakeOutcome:
    """Keep that a job is to be cancelled."""
    key = job_key(job_id)
    item = await store.read(key)
    while True:
        if isinstance(item, Unavailable):
            return NotTaken(item.reason)
        if isinstance(item, Missing):
            return NoSuchJob()
        record = JobRecord.decode(item.value)
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


def _describe(outcome: object) -> NotTaken | Unsettled:
    if isinstance(outcome, Unavailable):
        return NotTaken(outcome.reason)
    assert isinstance(outcome, Unknown), "a job's key has no lease"
    return Unsettled(outcome.reason)


async def insist(attempts: list[Attempt], budget_s: float) -> IntakeOutcome:
    """Try several ways in turn until one settles it, at most `budget_s` seconds.

    Once one way left it unsettled, a later refusal does not make it undone.
    """
    unsettled: Unsettled | None = None
    outcome: IntakeOutcome = NotTaken("nothing was tried")
    doubt = Doubt()
    with trio.move_on_after(budget_s):
        for number, attempt in enumerate(attempts):
            if number:
                await trio.sleep(RETRY_S)
            outcome = await attempt(doubt)
            if isinstance(outcome, Taken | NoSuchJob):
                return outcome
            if isinstance(outcome, Unsettled):
                unsettled = outcome
        return unsettled or outcome
    if unsettled is None and not doubt.is_open:
        return NotTaken("the time for an answer has run out before anything was written")
    return unsettled or Unsettled("the time for an answer has run out")
