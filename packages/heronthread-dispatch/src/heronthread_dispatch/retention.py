"""Removal of jobs from the store and from memory after their retention time."""

from __future__ import annotations

import trio

from .events import log_event
from .keystore import Committed, Transaction
from .owned_cell import OwnedCell, job_key
from .progress import JobState
from .recorder import progress_key

PERIOD_S = 20.0
JOBS_PER_TRANSACTION = 15


async def remove_expired_jobs(cell: OwnedCell) -> None:
    """Remove expired jobs periodically until cancelled."""
    while True:
        await trio.sleep(PERIOD_S)
        old = _find_expired(cell)
        for start in range(0, len(old), JOBS_PER_TRANSACTION):
            await _remove(cell, old[start : start + JOBS_PER_TRANSACTION])


def _find_expired(cell: OwnedCell) -> list[JobState]:
    """Return the jobs whose recorded status is final and whose retention time is over.

    The time counts from when this owner first saw the job as final.
    """
    now = trio.current_time()
    found = []
    for job in cell.jobs.values():
        if job.recorded is None or not job.recorded.is_final or job.attempts():
            continue
        if job.ended_at is None:
            job.ended_at = now
        elif now - job.ended_at > cell.parts.timing.retention_s:
            found.append(job)
    return found


async def _remove(cell: OwnedCell, jobs: list[JobState]) -> None:
    ids = [job.spec.id for job in jobs]
    removes = [key for job_id in ids for key in (job_key(job_id), progress_key(job_id))]
    outcome = await cell.parts.store.commit(
        Transaction(conditions=(cell.term.guard,), removes=tuple(removes))
    )
    if not isinstance(outcome, Committed):
        return
    for job_id in ids:
        cell.jobs.pop(job_id, None)
    log_event("jobs.removed", count=len(ids), term=cell.term.number)
