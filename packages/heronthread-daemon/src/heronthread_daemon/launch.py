"""From a decision to a running gang: the attempt, its claim in the ledger, its start."""

from __future__ import annotations

import trio
from heronthread_coordination import Deposed, LeaseState, Measure
from heronthread_scheduling import Gang

from . import outcome
from .attempt import Attempt, Ending, place_members
from .gang_start import START_BY_S, Broken, NotStarted, start_gang
from .job_record import Claim, JobState, OwnedJob
from .owned_cell import OwnedCell


def open_attempt(owner: OwnedCell, gang: Gang) -> Attempt | None:
    """Open an attempt at once, so that whatever comes next finds it to stop it."""
    owned = owner.jobs[gang.job.id]
    if owned.is_final:
        owner.scheduler.finish(gang.job.id)
        return None
    owned.attempts += 1
    names = owner.scheduler.units_by_worker(gang)
    attempt_id = f"{gang.job.id}#{owner.epoch}.{owned.attempts}"
    attempt = Attempt(attempt_id, gang, place_members(gang, names))
    owner.attempts[attempt.id] = attempt
    owner.answers.open(attempt.id, attempt.size)
    owned.move(JobState.STARTING)
    return attempt


async def start_attempt(owner: OwnedCell, attempt: Attempt) -> None:
    """Claim the job if it must not run twice, then start the gang on its workers."""
    owned = owner.jobs[attempt.gang.job.id]
    decided = owner.parts.clock()
    if not owned.job.repeatable and not await record_claim(owner, owned, attempt):
        _give_up(owner, attempt, "the claim could not be recorded in time")
        return
    async with owner.starts:
        started = await start_gang(
            attempt, owned, owner.links, lambda: may_go(owner, owned, attempt)
        )
    if isinstance(started, NotStarted | Broken):
        owner.log("gang.start_failed", attempt=attempt.id, worker=started.worker, why=started.why)
        if attempt.ending is None:
            broken = isinstance(started, Broken)
            outcome.end_attempt(owner, attempt, Ending.BROKEN if broken else Ending.NOT_STARTED)
        return
    _note_started(owner, owned, attempt, decided)


async def record_claim(owner: OwnedCell, owned: OwnedJob, attempt: Attempt) -> bool:
    """Record the claim; False if it is not certain to stand in the ledger in time."""
    workers = {name: owner.links[name].incarnation for name in attempt.members_on}
    start_by = owner.parts.clock() + START_BY_S
    owned.claim = Claim(attempt.id, owner.epoch, workers, start_by)
    with trio.move_on_after(START_BY_S):
        claimed = await owner.parts.ledger.append(owned.to_record(owner.parts.clock()))
        owned.durable = not isinstance(claimed, Deposed)
        return owned.durable and attempt.ending is None
    return False


def may_go(owner: OwnedCell, owned: OwnedJob, attempt: Attempt) -> bool:
    """Ask the clock and the lease just before the first command that runs anything."""
    if not owner.leaving.isdisjoint(attempt.members_on):
        return False
    lease_state = owner.parts.lease.state
    if owned.job.repeatable:
        return lease_state is not LeaseState.NOT_OWNER
    assert owned.claim is not None
    return lease_state is not LeaseState.NOT_OWNER and owner.parts.clock() < owned.claim.start_by


def _give_up(owner: OwnedCell, attempt: Attempt, why: str) -> None:
    owner.log("gang.start_failed", attempt=attempt.id, worker="", why=why)
    if not attempt.is_concluded:
        attempt.ending = attempt.ending or Ending.NOT_STARTED
        outcome.conclude_attempt(owner, attempt)


def _note_started(owner: OwnedCell, owned: OwnedJob, attempt: Attempt, decided: float) -> None:
    if owned.is_final or attempt.ending is not None or attempt.is_concluded:
        return
    now = owner.parts.clock()
    if not owned.started_at:
        owned.started_at = now
        owner.measure(owned, Measure.WAITING, now - owned.accepted_at)
    owner.measure(owned, Measure.START, now - decided)
    owned.move(JobState.RUNNING)
    owner.log_state(owned, attempt=attempt.id)
