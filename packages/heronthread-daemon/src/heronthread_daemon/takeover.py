"""What a new owner does before it decides anything.

The ledger says which jobs were accepted, claimed and ended; the workers say what runs.
What matches is adopted, what does not is stopped, and a claim without an outcome is
settled by what the workers it names vouch for.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import trio
from heronthread_scheduling import Gang

from . import outcome
from .attempt import Attempt, Ending
from .job_record import Claim, JobState, OwnedJob, read_record
from .owned_cell import OwnedCell
from .release import EVENT_PREFIX
from .reports import take_task
from .worker import Command, Result, TaskReport, TaskState, Verb, WorkerReply
from .worker_link import LinkState

RECONCILE_S = 1.5
PRESENT = (TaskState.ARMED, TaskState.RUNNING, TaskState.DONE)


@dataclass(slots=True)
class Found:
    """The members of one attempt that workers report."""

    attempt: str
    job_id: str
    size: int
    tasks: dict[int, tuple[str, TaskReport]] = field(default_factory=dict)

    @property
    def is_whole(self) -> bool:
        """Whether every member is armed, runs or is done."""
        present = [task for _, task in self.tasks.values() if task.state in PRESENT]
        return len(present) == self.size

    @property
    def ever_ran(self) -> bool:
        """Whether any member ran."""
        return any(task.ever_ran for _, task in self.tasks.values())


async def reconcile(owner: OwnedCell) -> None:
    """Load the ledger, ask every worker, adopt what matches and stop the rest."""
    _load_jobs(owner)
    with trio.move_on_after(RECONCILE_S):
        for link in list(owner.links.values()):
            await link.settled.wait()
    found = _collect(owner)
    gangs = []
    unsettled = set()
    for item in found.values():
        owned = owner.jobs.get(item.job_id)
        if owned is None or owned.is_final:
            _stop(owner, item)
        elif _may_adopt(item, owned):
            gangs.append(_adopt(owner, item, owned))
        elif item.ever_ran and not _is_settled(owner):
            unsettled.add(item.job_id)
            owner.spawn(_settle_attempt, owner, item, owned)
        else:
            _stop(owner, item)
    owner.scheduler.adopt_gangs(gangs)
    running = {gang.job.id for gang in gangs}
    _requeue_rest(owner, running | unsettled)
    for item in found.values():
        _replay(owner, item)


def _is_settled(owner: OwnedCell) -> bool:
    return all(link.settled.is_set() for link in owner.links.values())


async def _settle_attempt(owner: OwnedCell, item: Found, owned: OwnedJob) -> None:
    """Wait for the silent workers, which may run the rest of a gang, before judging it."""
    owned.move(JobState.STARTING)
    for link in list(owner.links.values()):
        await link.settled.wait()
    whole = _collect(owner).get(item.attempt, item)
    if not owned.is_final and _may_adopt(whole, owned):
        owner.scheduler.adopt_gangs([_adopt(owner, whole, owned)])
        _replay(owner, whole)
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


def _collect(owner: OwnedCell) -> dict[str, Found]:
    found: dict[str, Found] = {}
    for link in owner.links.values():
        for task in link.tasks.values():
            item = found.get(task.attempt)
            if item is None:
                item = found[task.attempt] = Found(task.attempt, task.job_id, task.gang_size)
            item.tasks[task.member] = (link.name, task)
    return found


def _may_adopt(item: Found, owned: OwnedJob) -> bool:
    """A whole attempt of which a member ran is adopted; other attempts are stopped."""
    claimed = owned.claim is not None and owned.claim.attempt == item.attempt
    return item.is_whole and item.ever_ran and (owned.job.repeatable or claimed)


def _adopt(owner: OwnedCell, item: Found, owned: OwnedJob) -> Gang:
    number = owner.scheduler.topology.number
    members_on: dict[str, tuple[int, ...]] = {}
    places: dict[int, int] = {}
    for member, (worker, task) in sorted(item.tasks.items()):
        members_on[worker] = (*members_on.get(worker, ()), member)
        places[number[worker]] = places.get(number[worker], 0) + task.units
    gang = Gang(owned.job, places, owner.parts.clock())
    attempt = Attempt(item.attempt, gang, members_on, went=True)
    owner.attempts[attempt.id] = attempt
    owner.answers.open(attempt.id, attempt.size)
    owned.attempts = max(owned.attempts, int(item.attempt.rsplit(".", 1)[1]))
    owned.move(JobState.RUNNING)
    owner.log("gang.adopted", job_id=owned.job.id, attempt=attempt.id)
    armed = {w for w, task in item.tasks.values() if task.state is TaskState.ARMED}
    for worker in sorted(armed):
        owner.spawn(_finish_go, owner, attempt, worker)
    return gang


async def _finish_go(owner: OwnedCell, attempt: Attempt, worker: str) -> None:
    """Let go the members that the former owner had armed but not yet told to go."""
    reply = await owner.links[worker].command(Command(Verb.GO, attempt.id))
    if not isinstance(reply, WorkerReply) or reply.results != (Result.OK,):
        outcome.end_attempt(owner, attempt, Ending.BROKEN)


def _stop(owner: OwnedCell, item: Found) -> None:
    """Stop what is left of an attempt that can't be adopted.

    What ran of a job that must not run twice stays on its worker as evidence.
    """
    owned = owner.jobs.get(item.job_id)
    commands = [Command(Verb.STOP, item.attempt)]
    if owned is None or owned.is_final or owned.job.repeatable:
        commands.append(Command(Verb.ACKNOWLEDGE, item.attempt))
    for worker in sorted({worker for worker, _ in item.tasks.values()}):
        owner.spawn(owner.links[worker].command, *commands)


def _requeue_rest(owner: OwnedCell, kept: set[str]) -> None:
    for job_id, owned in owner.jobs.items():
        if not owned.is_final and job_id not in kept:
            _requeue(owner, owned)


def _requeue(owner: OwnedCell, owned: OwnedJob) -> None:
    """Queue a job that does not run, or find out first whether it may have run."""
    if owned.job.repeatable or owned.claim is None:
        owned.move(JobState.WAITING)
        owner.scheduler.queue.add(owned.job, owner.parts.clock(), arrival=owned.accepted_at)
    else:
        owned.move(JobState.STARTING)
        owner.spawn(_settle_claim, owner, owned, owned.claim)


async def _settle_claim(owner: OwnedCell, owned: OwnedJob, claim: Claim) -> None:
    """Find out whether a claimed job ever ran; if nobody can vouch for it, it is in doubt.

    The former owner sends no start after `start_by`, and a worker that has answered this
    epoch takes none from an older one.
    """
    wait_s = claim.start_by - owner.parts.clock()
    if wait_s > 0:
        await trio.sleep(wait_s)
    for worker in sorted(claim.workers):
        link = owner.links.get(worker)
        if link is not None:
            await link.settled.wait()
    if all(_vouches(owner, claim, worker) for worker in claim.workers):
        owned.move(JobState.WAITING)
        owner.scheduler.queue.add(owned.job, owner.parts.clock(), arrival=owned.accepted_at)
        owner.wake()
        return
    text = "claimed by a former owner; its workers can't tell whether it ran"
    outcome.conclude(owner, owned, JobState.IN_DOUBT, "claim-unsettled", text)


def _vouches(owner: OwnedCell, claim: Claim, worker: str) -> bool:
    """Tell whether a worker is sure that it never ran any member of the claimed attempt."""
    link = owner.links.get(worker)
    if link is None or link.state is not LinkState.ALIVE or link.reply is None:
        return False
    if link.reply.incarnation != claim.workers[worker]:
        return False
    return not any(t.ever_ran for t in link.tasks.values() if t.attempt == claim.attempt)


def _replay(owner: OwnedCell, item: Found) -> None:
    """Hand the reports of an adopted attempt to the owner as if they had just come."""
    if item.attempt not in owner.attempts:
        return
    for _, task in item.tasks.values():
        take_task(owner, task)
