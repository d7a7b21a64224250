"""The launch of a scheduled gang: open an attempt, record its claim and start it."""

from __future__ import annotations

import trio
from heronthread_coordination import Deposed, LeaseState, Measure
from heronthread_scheduling import Gang

from . import outcome
from .attempt import Attempt, StopReason, assign_members
from .gang_start import START_WINDOW_S, NotStarted, PartlyStarted, start_gang
from .job_record import Claim, JobState, OwnedJob
from .owned_cell import OwnedCell


def open_attempt(owner: OwnedCell, gang: Gang) -> Attempt | None:
    """Register an attempt before its start, so that a later event can stop it."""
    owned = owner.jobs[gang.job.id]
    if owned.is_final:
        owner.scheduler.finish(gang.job.id)
        return None
    owned.attempts += 1
    names = owner.scheduler.units_by_worker(gang)
    attempt_id = f"{gang.job.id}#{owner.epoch}.{owned.attempts}"
    attempt = Attempt(attempt_id, gang, assign_members(gang, names))
    owner.attempts[attempt.id] = attempt
    owner.answers.open(attempt.id, attempt.size)
    owned.set_state(JobState.STARTING)
    return attempt


async def start_attempt(owner: OwnedCell, attempt: Attempt) -> None:
    """Record a claim if the job must not run twice, then start the gang on its workers."""
    owned = owner.jobs[attempt.gang.job.id]
    decided_at = owner.parts.clock()
    if not owned.job.repeatable and not await record_claim(owner, owned, attempt):
        _abandon_start(owner, attempt, "the claim could not be recorded in time")
        return
    async with owner.starts:
        started = await start_gang(
            attempt, owned, owner.links, lambda: may_go(owner, owned, attempt)
        )
    if isinstance(started, NotStarted | PartlyStarted):
        owner.log(
            "gang.start_failed", attempt=attempt.id, worker=started.worker, why=started.reason
        )
        if attempt.stop_reason is None:
            broken = isinstance(started, PartlyStarted)
            outcome.end_attempt(
                owner, attempt, StopReason.MEMBER_FAILED if broken else StopReason.NOT_STARTED
            )
        return
    _record_start(owner, owned, attempt, decided_at)


async def record_claim(owner: OwnedCell, owned: OwnedJob, attempt: Attempt) -> bool:
    """Record the claim and return whether the ledger confirmed it in time."""
    workers = {name: owner.links[name].incarnation for name in attempt.members_on}
    start_by = owner.parts.clock() + START_WINDOW_S
    owned.claim = Claim(attempt.id, owner.epoch, workers, start_by)
    with trio.move_on_after(START_WINDOW_S):
        claimed = await owner.parts.ledger.append(owned.to_record(owner.parts.clock()))
        owned.durable = not isinstance(claimed, Deposed)
        return owned.durable and attempt.stop_reason is None
    return False


def may_go(owner: OwnedCell, owned: OwnedJob, attempt: Attempt) -> bool:
    """Check, just before GO, the workers, the lease and the expiry of the claim."""
    if not owner.leaving.isdisjoint(attempt.members_on):
        return False
    lease_state = owner.parts.lease.state
    if owned.job.repeatable:
        return lease_state is not LeaseState.NOT_OWNER
    assert owned.claim is not None
    return lease_state is not LeaseState.NOT_OWNER and owner.parts.clock() < owned.claim.start_by


def _abandon_start(owner: OwnedCell, attempt: Attempt, reason: str) -> None:
    owner.log("gang.start_failed", attempt=attempt.id, worker="", why=reason)
    if not attempt.is_concluded:
        attempt.stop_reason = attempt.stop_reason or StopReason.NOT_STARTED
        outcome.conclude_attempt(owner, attempt)


def _record_start(owner: OwnedCell, owned: OwnedJob, attempt: Attempt, decided_at: float) -> None:
    if owned.is_final or attempt.stop_reason is not None or attempt.is_concluded:
        return
    now = owner.parts.clock()
    if not owned.started_at:
        owned.started_at = now
        owner.measure(owned, Measure.WAITING, now - owned.accepted_at)
    owner.measure(owned, Measure.START, now - decided_at)
    owned.set_state(JobState.RUNNING)
    owner.log_state(owned, attempt=attempt.id)
