"""The outcomes of attempts and jobs, and their ledger records."""

from __future__ import annotations

import trio
from heronthread_coordination import Deposed, Measure

from .attempt import Attempt, StopReason
from .gang_start import stop_gang
from .job_record import JobState, OwnedJob
from .owned_cell import OwnedCell
from .worker import Command, Verb


def end_attempt(
    owner: OwnedCell, attempt: Attempt, reason: StopReason, *, checkpoint_s: float | None = None
) -> None:
    """Start stopping an attempt on all workers; its outcome is decided once they have stopped."""
    if attempt.is_concluded:
        return
    attempt.stop_reason = attempt.stop_reason or reason
    if not attempt.is_stopping:
        attempt.is_stopping = True
        owner.spawn(_stop_and_conclude, owner, attempt, checkpoint_s)


async def _stop_and_conclude(
    owner: OwnedCell, attempt: Attempt, checkpoint_s: float | None
) -> None:
    await stop_gang(attempt, owner.links, checkpoint_s=checkpoint_s)
    conclude_attempt(owner, attempt)


def conclude_attempt(owner: OwnedCell, attempt: Attempt) -> None:
    """Finish, requeue or mark in doubt a job whose attempt has ended on all workers."""
    if attempt.is_concluded:
        return
    owned = owner.close_attempt(attempt)
    if owned.job.repeatable or not attempt.go_sent:
        owner.spawn(_acknowledge, owner, owned)
    if attempt.stop_reason is StopReason.CANCELLED and not attempt.go_sent:
        text = "cancelled before it started"
        owner.spawn(conclude_not_run, owner, owned, "cancelled", text)
    elif attempt.stop_reason is StopReason.CANCELLED:
        conclude(owner, owned, JobState.FAILED, "cancelled", "stopped on request")
    elif _may_run_again(attempt, owned):
        owner.return_to_queue(owned.job.id)
    else:
        text = "a worker was lost after the job may have started; an operator must settle it"
        conclude(owner, owned, JobState.IN_DOUBT, "worker-lost", text)
    owner.wake()


def _may_run_again(attempt: Attempt, owned: OwnedJob) -> bool:
    if owned.job.repeatable or not attempt.go_sent:
        return True
    return attempt.stop_reason is StopReason.PREEMPTED and bool(owned.checkpoint)


def conclude_done(owner: OwnedCell, attempt: Attempt, answer: str) -> None:
    """Mark a job as done with the complete answer of its gang."""
    owned = owner.close_attempt(attempt)
    owned.answer = answer
    conclude(owner, owned, JobState.DONE, "", "")


def conclude(owner: OwnedCell, owned: OwnedJob, state: JobState, cause: str, reason: str) -> None:
    """Set the final state of a job, wake its waiters and record it."""
    owner.scheduler.finish(owned.job.id)
    owner.scheduler.forget(owned.job.id)
    if state is JobState.DONE:
        elapsed = owner.parts.clock() - owned.accepted_at
        owner.measure(owned, Measure.COMPLETION, elapsed)
    owned.durable = False
    owned.set_state(state, cause=cause, reason=reason)
    owner.log_state(owned)
    owner.spawn(_record_and_acknowledge, owner, owned)
    owner.wake()


async def conclude_not_run(owner: OwnedCell, owned: OwnedJob, cause: str, reason: str) -> None:
    """Record a job as not run, then report it.

    The record comes first, since it prevents a later owner from running the job.
    """
    final = OwnedJob(owned.job, owned.model, owned.digest, owned.accepted_at)
    final.state, final.cause, final.reason = JobState.NOT_RUN, cause, reason
    outcome = await owner.parts.ledger.append(final.to_record(owner.parts.clock()))
    if isinstance(outcome, Deposed):
        return
    owner.scheduler.finish(owned.job.id)
    owner.scheduler.forget(owned.job.id)
    owned.durable = True
    owned.set_state(JobState.NOT_RUN, cause=cause, reason=reason)
    owner.log_state(owned)


async def record(owner: OwnedCell, owned: OwnedJob, wait_s: float) -> None:
    """Record a job's current state in the ledger, waiting at most `wait_s`."""
    state = owned.state
    entry = owned.to_record(owner.parts.clock())
    with trio.move_on_after(wait_s):
        outcome = await owner.parts.ledger.append(entry)
        if not isinstance(outcome, Deposed) and owned.state is state:
            owned.durable = True
            owned.changed.set()
            owned.changed = trio.Event()


async def _record_and_acknowledge(owner: OwnedCell, owned: OwnedJob) -> None:
    """Record a job's outcome, then let the workers discard its attempts."""
    await record(owner, owned, float("inf"))
    if owned.durable:
        await _acknowledge(owner, owned)


async def _acknowledge(owner: OwnedCell, owned: OwnedJob) -> None:
    attempts, owned.unacknowledged = owned.unacknowledged, []
    for attempt_id, workers in attempts:
        for name in workers:
            await owner.links[name].command(Command(Verb.ACKNOWLEDGE, attempt_id))
            owner.links[name].forget(attempt_id)
