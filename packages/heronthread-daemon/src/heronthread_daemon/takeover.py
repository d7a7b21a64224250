"""Takeover of a cell: reconciles the ledger with the workers before scheduling starts.

The ledger lists the jobs that were accepted, claimed and finished; the workers report the
attempts they hold. Complete attempts of open jobs are adopted and others stopped. A claimed
job without an outcome is requeued only if all workers of the claim confirm that it never ran.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import trio
from heronthread_scheduling import Gang

from . import outcome
from .attempt import Attempt, StopReason
from .job_record import Claim, JobState, OwnedJob, read_record
from .owned_cell import OwnedCell
from .release import EVENT_PREFIX
from .reports import process_report
from .worker import Command, Result, TaskReport, TaskState, Verb, WorkerReply
from .worker_link import LinkState

RECONCILE_TIMEOUT_S = 1.5
ADOPTABLE_STATES = (TaskState.ARMED, TaskState.RUNNING, TaskState.DONE)


@dataclass(slots=True)
class ReportedAttempt:
    """An attempt as reported by the workers that hold its members."""

    attempt: str
    job_id: str
    size: int
    tasks: dict[int, tuple[str, TaskReport]] = field(default_factory=dict)

    @property
    def is_complete(self) -> bool:
        """Whether every member is armed, running or done."""
        present = [task for _, task in self.tasks.values() if task.state in ADOPTABLE_STATES]
        return len(present) == self.size

    @property
    def ever_ran(self) -> bool:
        """Whether any member ran."""
        return any(task.ever_ran for _, task in self.tasks.values())


async def reconcile(owner: OwnedCell) -> None:
    """Load the ledger, query the workers, adopt matching attempts and stop the others."""
    _load_jobs(owner)
    with trio.move_on_after(RECONCILE_TIMEOUT_S):
        for link in list(owner.links.values()):
            await link.state_known.wait()
    found = _collect(owner)
    gangs = []
    unresolved = set()
    for item in found.values():
        owned = owner.jobs.get(item.job_id)
        if owned is None or owned.is_final:
            _stop(owner, item)
        elif _may_adopt(item, owned):
            gangs.append(_adopt(owner, item, owned))
        elif item.ever_ran and not _are_all_states_known(owner):
            unresolved.add(item.job_id)
            owner.spawn(_resolve_attempt, owner, item, owned)
        else:
            _stop(owner, item)
    owner.scheduler.adopt_gangs(gangs)
    running = {gang.job.id for gang in gangs}
    _requeue_others(owner, running | unresolved)
    for item in found.values():
        _apply_reports(owner, item)


def _are_all_states_known(owner: OwnedCell) -> bool:
    return all(link.state_known.is_set() for link in owner.links.values())


async def _resolve_attempt(owner: OwnedCell, item: ReportedAttempt, owned: OwnedJob) -> None:
    """Adopt or stop an incomplete attempt once the state of every worker is known.

    A worker that has not answered yet may hold the other members.
    """
    owned.set_state(JobState.STARTING)
    for link in list(owner.links.values()):
        await link.state_known.wait()
    whole = _collect(owner).get(item.attempt, item)
    if not owned.is_final and _may_adopt(whole, owned):
        owner.scheduler.adopt_gangs([_adopt(owner, whole, owned)])
        _apply_reports(owner, whole)
        return
    _stop(owner, whole)
    if not owned.is_final:
        _requeue(owner, owned)
    owner.wake()


def _load_jobs(owner: OwnedCell) -> None:
    for record in owner.parts.ledger.records:
        if record.key.startswith(EVENT_PREFIX):
            continue
        owner.jobs[record.key] = read_record(record, owner.state)


def _collect(owner: OwnedCell) -> dict[str, ReportedAttempt]:
    found: dict[str, ReportedAttempt] = {}
    for link in owner.links.values():
        for task in link.tasks.values():
            item = found.get(task.attempt)
            if item is None:
                item = found[task.attempt] = ReportedAttempt(
                    task.attempt, task.job_id, task.gang_size
                )
            item.tasks[task.member] = (link.name, task)
    return found


def _may_adopt(item: ReportedAttempt, owned: OwnedJob) -> bool:
    """Return whether an attempt can be adopted: complete, started and, if needed, claimed."""
    claimed = owned.claim is not None and owned.claim.attempt == item.attempt
    return item.is_complete and item.ever_ran and (owned.job.repeatable or claimed)


def _adopt(owner: OwnedCell, item: ReportedAttempt, owned: OwnedJob) -> Gang:
    number = owner.scheduler.topology.number
    members_on: dict[str, tuple[int, ...]] = {}
    places: dict[int, int] = {}
    for member, (worker, task) in sorted(item.tasks.items()):
        members_on[worker] = (*members_on.get(worker, ()), member)
        places[number[worker]] = places.get(number[worker], 0) + task.units
    gang = Gang(owned.job, places, owner.parts.clock())
    attempt = Attempt(item.attempt, gang, members_on, go_sent=True)
    owner.attempts[attempt.id] = attempt
    owner.answers.open(attempt.id, attempt.size)
    owned.attempts = max(owned.attempts, int(item.attempt.rsplit(".", 1)[1]))
    owned.set_state(JobState.RUNNING)
    owner.log("gang.adopted", job_id=owned.job.id, attempt=attempt.id)
    armed = {w for w, task in item.tasks.values() if task.state is TaskState.ARMED}
    for worker in sorted(armed):
        owner.spawn(_send_pending_go, owner, attempt, worker)
    return gang


async def _send_pending_go(owner: OwnedCell, attempt: Attempt, worker: str) -> None:
    """Send GO for members that the previous owner armed but did not start."""
    reply = await owner.links[worker].command(Command(Verb.GO, attempt.id))
    if not isinstance(reply, WorkerReply) or reply.results != (Result.OK,):
        outcome.end_attempt(owner, attempt, StopReason.MEMBER_FAILED)


def _stop(owner: OwnedCell, item: ReportedAttempt) -> None:
    """Stop the members of an attempt that can't be adopted.

    The workers keep their reports if the job must not run twice: they show whether it ran.
    """
    owned = owner.jobs.get(item.job_id)
    commands = [Command(Verb.STOP, item.attempt)]
    if owned is None or owned.is_final or owned.job.repeatable:
        commands.append(Command(Verb.ACKNOWLEDGE, item.attempt))
    for worker in sorted({worker for worker, _ in item.tasks.values()}):
        owner.spawn(owner.links[worker].command, *commands)


def _requeue_others(owner: OwnedCell, kept: set[str]) -> None:
    for job_id, owned in owner.jobs.items():
        if not owned.is_final and job_id not in kept:
            _requeue(owner, owned)


def _requeue(owner: OwnedCell, owned: OwnedJob) -> None:
    """Requeue a job that is not running; a claimed one only after its claim is resolved."""
    if owned.job.repeatable or owned.claim is None:
        owned.set_state(JobState.WAITING)
        owner.scheduler.queue.add(owned.job, owner.parts.clock(), arrival=owned.accepted_at)
    else:
        owned.set_state(JobState.STARTING)
        owner.spawn(_resolve_claim, owner, owned, owned.claim)


async def _resolve_claim(owner: OwnedCell, owned: OwnedJob, claim: Claim) -> None:
    """Requeue a claimed job if it never ran; mark it in doubt if that can't be confirmed.

    The previous owner sends no start after `start_by`, and a worker that has answered a call
    of this epoch refuses calls of older ones.
    """
    wait_s = claim.start_by - owner.parts.clock()
    if wait_s > 0:
        await trio.sleep(wait_s)
    for worker in sorted(claim.workers):
        link = owner.links.get(worker)
        if link is not None:
            await link.state_known.wait()
    if all(_confirms_never_ran(owner, claim, worker) for worker in claim.workers):
        owned.set_state(JobState.WAITING)
        owner.scheduler.queue.add(owned.job, owner.parts.clock(), arrival=owned.accepted_at)
        owner.wake()
        return
    text = "claimed by a previous owner; its workers can't confirm that it never ran"
    outcome.conclude(owner, owned, JobState.IN_DOUBT, "claim-unsettled", text)


def _confirms_never_ran(owner: OwnedCell, claim: Claim, worker: str) -> bool:
    """Return whether a worker confirms that it never ran a member of the claimed attempt."""
    link = owner.links.get(worker)
    if link is None or link.state is not LinkState.ALIVE or link.reply is None:
        return False
    if link.reply.incarnation != claim.workers[worker]:
        return False
    return not any(t.ever_ran for t in link.tasks.values() if t.attempt == claim.attempt)


def _apply_reports(owner: OwnedCell, item: ReportedAttempt) -> None:
    """Process the reports of an attempt that was just adopted."""
    if item.attempt not in owner.attempts:
        return
    for _, task in item.tasks.values():
        process_report(owner, task)
