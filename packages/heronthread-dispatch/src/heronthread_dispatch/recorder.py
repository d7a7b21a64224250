"""The owner's writes of progress: many jobs in one transaction, under the owner's key.

The transactions of one round go out side by side: an end is told to callers and to its executor
only once it is recorded, and two hundred jobs fill fourteen transactions.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import trio
from heronthread_coordination import Unavailable, Unknown

from .events import log_event
from .keystore import Committed, Item, KeyStore, Mismatch, Put, Transaction
from .progress import JobState

PROGRESS_PREFIX = "progress/"
JOBS_EACH = 15
PAUSE_S = 0.15


class Deposed(Exception):
    """The owner's key has another revision: someone else owns the cell."""


def progress_key(job_id: str) -> str:
    """Return the key of a job's progress."""
    return f"{PROGRESS_PREFIX}{job_id}"


@dataclass(slots=True)
class Recorder:
    """Writes jobs that were marked, in batches, until each is in the store.

    `guard` is the owner's key and its revision: a write of a past owner never takes effect,
    however late it arrives. Each job's own revision keeps our late writes from undoing
    newer ones.
    """

    store: KeyStore
    guard: tuple[str, int]
    dirty: dict[str, JobState] = field(default_factory=dict)
    marked: int = 0
    recorded: int = 0
    _work: trio.Event = field(default_factory=trio.Event)
    _progressed: trio.Event = field(default_factory=trio.Event)

    def mark(self, job: JobState) -> None:
        """Have a job written soon."""
        self.dirty[job.spec.id] = job
        self.marked += 1
        self._work.set()

    async def wait_recorded(self) -> None:
        """Wait until everything that is marked by now is in the store."""
        wanted = self.marked
        while self.recorded < wanted:
            await self._progressed.wait()

    async def run(self) -> None:
        """Write until cancelled; raises `Deposed` when another owner is there."""
        while True:
            await self._work.wait()
            self._work = trio.Event()
            upto = self.marked
            batch, self.dirty = self.dirty, {}
            jobs = list(batch.values())
            async with trio.open_nursery() as nursery:
                for start in range(0, len(jobs), JOBS_EACH):
                    nursery.start_soon(self._write, jobs[start : start + JOBS_EACH])
            self.recorded = upto
            self._progressed.set()
            self._progressed = trio.Event()

    async def _write(self, jobs: list[JobState]) -> None:
        while True:
            records = [job.to_record() for job in jobs]
            crash_notes = [job.crash_notes for job in jobs]
            conditions = [(progress_key(job.spec.id), job.revision) for job in jobs]
            puts = [
                Put(progress_key(job.spec.id), record.encode())
                for job, record in zip(jobs, records, strict=True)
            ]
            transaction = Transaction((self.guard, *conditions), tuple(puts))
            outcome = await self.store.commit(transaction)
            if isinstance(outcome, Committed):
                for job, record, notes in zip(jobs, records, crash_notes, strict=True):
                    job.revision = outcome.revision
                    job.recorded = record.status
                    job.crash_notes_recorded = notes
                return
            if isinstance(outcome, Mismatch):
                self._take_revisions(jobs, outcome.items)
                continue
            assert isinstance(outcome, Unavailable | Unknown), "progress has no lease"
            log_event("record.delayed", jobs=len(jobs), reason=outcome.reason)
            await trio.sleep(PAUSE_S)

    def _take_revisions(self, jobs: list[JobState], items: dict[str, Item]) -> None:
        """Learn what an earlier write of ours, whose answer was lost, has done."""
        key, revision = self.guard
        found = items.get(key)
        if found is None or found.revision != revision:
            raise Deposed
        for job in jobs:
            item = items.get(progress_key(job.spec.id))
            job.revision = item.revision if item else 0
