"""What becomes of jobs when their attempts end, and what is recorded of it."""

from __future__ import annotations

import trio
from heronthread_coordination import Deposed, Measure

from .attempt import Attempt, Ending
from .gang_start import stop_gang
from .job_record import JobState, OwnedJob
from .owned_cell import OwnedCell
from .worker import Command, Verb


def end_attempt(
    owner: OwnedCell, attempt: Attempt, ending: Ending, *, checkpoint_s: float | None = None
) -> None:
    """Begin to stop an attempt everywhere; its job goes on when that is certain."""
    if attempt.is_concluded:
        return
    attempt.ending = attempt.ending or ending
    if not attempt.is_stopping:
        attempt.is_stopping = True
        owner.spawn(_stop_and_conclude, owner, attempt, checkpoint_s)


async def _stop_and_conclude(
    owner: OwnedCell, attempt: Attempt, checkpoint_s: float | None
) -> None:
    await stop_gang(attempt, owner.links, checkpoint_s=checkpoint_s)
    conclude_attempt(owner, attempt)


def conclude_attempt(owner: OwnedCell, attempt: Attempt) -> None:
    """Decide what becomes of a job whose attempt has ended on every worker."""
    if attempt.is_concluded:
        return
    owned = owner.close_attempt(attempt)
    if owned.job.repeatable or not attempt.went:
        owner.spawn(_acknowledge, owner, owned)
    if attempt.ending is Ending.CANCELLED and not attempt.went:
        text = "cancelled before it started"
        owner.spawn(conclude_not_run, owner, owned, "cancelled", text)
    elif attempt.ending is Ending.CANCELLED:
        conclude(owner, owned, JobState.FAILED, "cancelled", "stopped on request")
    elif _may_run_again(attempt, owned):
        owner.return_to_queue(owned.job.id)
    else:
        text = "a worker was lost while it may have run; an operator must settle it"
        conclude(owner, owned, JobState.IN_DOUBT, "worker-lost", text)
    owner.wake()


def _may_run_again(attempt: Attempt, owned: OwnedJob) -> bool:
    if owned.job.repeatable or not attempt.went:
        return True
    return attempt.ending is Ending.TAKEN_BACK and bool(owned.checkpoint)


def conclude_done(owner: OwnedCell, attempt: Attempt, answer: str) -> None:
    """Take the whole answer of a gang as its job's outcome."""
    owned = owner.close_attempt(attempt)
    owned.answer = answer
    conclude(owner, owned, JobState.DONE, "", "")


def conclude(owner: OwnedCell, owned: OwnedJob, state: JobState, cause: str, reason: str) -> None:
    """Give a job its final state, tell those who wait, and record it."""
    owner.scheduler.finish(owned.job.id)
    owner.scheduler.forget(owned.job.id)
    if state is JobState.DONE:
        elapsed = owner.parts.clock() - owned.accepted_at
        owner.measure(owned, Measure.COMPLETION, elapsed)
    owned.durable = False
    owned.move(state, cause=cause, reason=reason)
    owner.log_state(owned)
    owner.spawn(_record_and_acknowledge, owner, owned)
    owner.wake()


async def conclude_not_run(owner: OwnedCell, owned: OwnedJob, cause: str, reason: str) -> None:
    """Say "not run" only once the ledger keeps every later owner from running it."""
    final = OwnedJob(owned.job, owned.model, owned.digest, owned.accepted_at)
    final.state, final.cause, final.reason = JobState.NOT_RUN, cause, reason
    outcome = await owner.parts.ledger.append(final.to_record(owner.parts.clock()))
    if isinstance(outcome, Deposed):
        return
    owner.scheduler.finish(owned.job.id)
    owner.scheduler.forget(owned.job.id)
    owned.durable = True
    owned.move(JobState.NOT_RUN, cause=cause, reason=reason)
    owner.log_state(owned)


async def record(owner: OwnedCell, owned: OwnedJob, wait_s: float) -> None:
    """Commit a job's present state, waiting at most `wait_s` for it."""
    state = owned.state
    entry = owned.to_record(owner.parts.clock())
    with trio.move_on_after(wait_s):
        outcome = await owner.parts.ledger.append(entry)
        if not isinstance(outcome, Deposed) and owned.state is state:
            owned.durable = True
            owned.changed.set()
            owned.changed = trio.Event()


async def _record_and_acknowledge(owner: OwnedCell, owned: OwnedJob) -> None:
    """Let the workers forget a job's attempts only once the ledger has its outcome."""
    await record(owner, owned, float("inf"))
    if owned.durable:
        await _acknowledge(owner, owned)


async def _acknowledge(owner: OwnedCell, owned: OwnedJob) -> None:
    attempts, owned.unacknowledged = owned.unacknowledged, []
    for attempt_id, workers in attempts:
        for name in workers:
            await owner.links[name].command(Command(Verb.ACKNOWLEDGE, attempt_id))
            owner.links[name].forget(attempt_id)
