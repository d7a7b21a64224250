"""The owner's writes of job progress: batched transactions, fenced by the owner's key.

The transactions of one round run concurrently, as callers and executors learn of a run's end only
after it is recorded.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass, field

import trio
from heronthread_coordination import Unavailable, Unknown

from .events import log_event
from .keystore import CommitOutcome, Committed, ConditionFailed, Item, KeyStore, Put, Transaction
from .model import UnresolvedStart
from .progress import JobState
from .relay import StoreRelay
from .task_masks import TaskMasks

PROGRESS_PREFIX = "progress/"
JOBS_PER_TRANSACTION = 15
RETRY_PAUSE_S = 0.15
ROUND_S = 0.05
"""After this time the next round starts beside writes without an answer, as starts wait for their
executors to be recorded. The store answers in 4 ms; a call that loses its answer takes 0.9 s."""
RESEND_FACTOR = 4.0
"""A write is resent after this multiple of the recent mean latency, if longer than `ROUND_S`."""
LATENCY_WEIGHT = 0.2
MAX_RESEND_DELAY_S = 0.3
"""Upper bound of the delay before a write is resent; urgent work must start about that fast."""


class Deposed(Exception):
    """The owner's key has another revision, so another host owns the cell."""


def progress_key(job_id: str) -> str:
    """Return the key of a job's progress."""
    return f"{PROGRESS_PREFIX}{job_id}"


def _do_nothing(jobs: Collection[JobState]) -> None:
    pass


@dataclass(slots=True)
class Recorder:
    """Writes marked jobs in batches until each is in the store.

    `guard` is the owner's key and its revision, which fences off delayed writes of past owners.
    Each job's own revision keeps a delayed write from undoing a newer one. `update_places` updates
    the executors that jobs name before they are written. `relay` reaches the store through a peer.
    `can_write_sparse` returns whether all hosts read records that do not list all occurrences.
    `_unwritten` holds, for each job, the number of its first mark that is not yet stored.
    """

    store: KeyStore
    guard: tuple[str, int]
    update_places: Callable[[Collection[JobState]], None] = _do_nothing
    relay: StoreRelay | None = None
    can_write_sparse: Callable[[], bool] = lambda: True
    dirty: dict[str, JobState] = field(default_factory=dict)
    marked: int = 0
    _unwritten: dict[str, int] = field(default_factory=dict)
    _in_flight: set[str] = field(default_factory=set)
    _mean_latency_s: float = 0.0
    _paused_until: float = 0.0
    _work: trio.Event = field(default_factory=trio.Event)
    _written: trio.Event = field(default_factory=trio.Event)

    def mark(self, job: JobState) -> None:
        """Schedule a job to be written."""
        self.marked += 1
        self.dirty[job.spec.id] = job
        self._unwritten.setdefault(job.spec.id, self.marked)
        self._work.set()

    async def wait_recorded(self) -> None:
        """Wait until everything marked before this call is in the store."""
        wanted = self.marked
        while min(self._unwritten.values(), default=wanted + 1) <= wanted:
            await self._written.wait()

    async def wait_named(
        self, job: JobState, wanted: TaskMasks, starts: Collection[UnresolvedStart] = ()
    ) -> None:
        """Wait until the store has the executors of a job's tasks, and the given starts.

        The job must have been marked before.
        """
        while not job.places.has_recorded(wanted, starts):
            await self._written.wait()

    async def run(self) -> None:
        """Write until cancelled; raises `Deposed` once another host owns the cell."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._work.wait()
                await trio.sleep_until(self._paused_until)
                self._work = trio.Event()
                await self._write_round(nursery)

    async def _write_round(self, nursery: trio.Nursery) -> None:
        """Start writing the marked jobs, and wait for the writes for at most `ROUND_S`."""
        ready = [job for name, job in self.dirty.items() if name not in self._in_flight]
        self.dirty = {name: self.dirty[name] for name in self._in_flight & self.dirty.keys()}
        parts = [
            ready[first : first + JOBS_PER_TRANSACTION]
            for first in range(0, len(ready), JOBS_PER_TRANSACTION)
        ]
        done = [trio.Event() for _ in parts]
        for jobs, event in zip(parts, done, strict=True):
            self._in_flight.update(job.spec.id for job in jobs)
            nursery.start_soon(self._write, jobs, event)
        with trio.move_on_after(ROUND_S):
            for event in done:
                await event.wait()

    async def _write(self, jobs: list[JobState], done: trio.Event) -> None:
        """Write some jobs; mark them again if the write failed."""
        is_written = await self._write_once(jobs)
        for job in jobs:
            self._in_flight.discard(job.spec.id)
            if not is_written:
                self.dirty.setdefault(job.spec.id, job)
        done.set()
        if self.dirty:
            self._work.set()

    async def _write_once(self, jobs: list[JobState]) -> bool:
        marked = self.marked
        self.update_places(jobs)
        for job in jobs:
            self.dirty.pop(job.spec.id, None)
        is_sparse = self.can_write_sparse()
        records = [job.to_record(is_sparse=is_sparse) for job in jobs]
        crash_notes = [job.crash_notes for job in jobs]
        conditions = [(progress_key(job.spec.id), job.revision) for job in jobs]
        puts = [
            Put(progress_key(job.spec.id), record.encode())
            for job, record in zip(jobs, records, strict=True)
        ]
        for job, record in zip(jobs, records, strict=True):
            job.places.begin_write(record.places, record.preassigned, record.epoch)
        outcome = await self._commit(Transaction((self.guard, *conditions), tuple(puts)))
        if isinstance(outcome, Committed):
            for job, record, notes in zip(jobs, records, crash_notes, strict=True):
                job.revision = outcome.revision
                job.recorded = record.status
                job.crash_notes_recorded = notes
                job.places.end_write(
                    record.places, record.starts, record.starts_left_s, record.preassigned
                )
                self._note_written(job, marked)
            self._written.set()
            self._written = trio.Event()
            return True
        if isinstance(outcome, ConditionFailed):
            self._adopt_revisions(jobs, outcome.items)
            return False
        assert isinstance(outcome, Unavailable | Unknown), "progress has no lease"
        log_event("record.delayed", jobs=len(jobs), reason=outcome.reason)
        self._paused_until = trio.current_time() + RETRY_PAUSE_S
        return False

    async def _commit(self, transaction: Transaction) -> CommitOutcome:
        """Send a write, and resend it once if it is slow or fails.

        The second copy goes through the relay if that is open; only one copy takes effect.
        """
        sender, receiver = trio.open_memory_channel[CommitOutcome](2)
        outcome: CommitOutcome = Unknown("not sent")

        async def send(commit: Callable[[Transaction], Awaitable[CommitOutcome]]) -> None:
            began = trio.current_time()
            answer = await commit(transaction)
            if isinstance(answer, Committed):
                # Measure this copy alone, as including the resend delay would make it grow.
                self._mean_latency_s += LATENCY_WEIGHT * (
                    trio.current_time() - began - self._mean_latency_s
                )
            await sender.send(answer)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, self.store.commit)
            open_sends = 1
            with trio.move_on_after(
                min(MAX_RESEND_DELAY_S, max(ROUND_S, RESEND_FACTOR * self._mean_latency_s))
            ):
                outcome = await receiver.receive()
                open_sends = 0
            other = self.relay if self.relay is not None and self.relay.is_open else None
            if open_sends or (other is not None and isinstance(outcome, Unavailable | Unknown)):
                nursery.start_soon(send, self.store.commit if other is None else other.commit)
                open_sends += 1
            for _ in range(open_sends):
                outcome = await receiver.receive()
                if not isinstance(outcome, Unavailable | Unknown):
                    break
            nursery.cancel_scope.cancel()
        return outcome

    def _note_written(self, job: JobState, marked: int) -> None:
        """Note that all marks of a job up to `marked` are in the store."""
        if job.spec.id in self.dirty:
            self._unwritten[job.spec.id] = marked + 1
        else:
            self._unwritten.pop(job.spec.id, None)

    def _adopt_revisions(self, jobs: list[JobState], items: dict[str, Item]) -> None:
        """Adopt the stored revisions, which an earlier unanswered write may have changed."""
        key, revision = self.guard
        found = items.get(key)
        if found is None or found.revision != revision:
            raise Deposed
        for job in jobs:
            item = items.get(progress_key(job.spec.id))
            job.revision = item.revision if item else 0
