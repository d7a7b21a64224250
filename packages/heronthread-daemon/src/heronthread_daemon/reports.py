"""What the owner does with a worker's reports, and when a worker falls silent."""

from __future__ import annotations

from heronthread_coordination import DropReason, MemberAnswer

from . import outcome
from .attempt import Attempt, Ending
from .owned_cell import OwnedCell
from .worker import TaskReport, TaskState, WorkerReply
from .worker_link import LinkState, WorkerLink


def take_reply(owner: OwnedCell, link: WorkerLink, reply: WorkerReply) -> None:
    """Take in a worker's reply, before it replaces the one known."""
    if link.reply is not None and link.reply.incarnation != reply.incarnation:
        _lose_members(owner, link.name)
    if reply.leaving and link.name not in owner.leaving:
        owner.note_leaving({link.name})
    for task in reply.tasks:
        take_task(owner, task)


def take_state(owner: OwnedCell, link: WorkerLink) -> None:
    """React to a worker that answers again, falls silent or is lost."""
    if link.name not in owner.scheduler.topology.number:
        return
    owner.log("worker.state", worker=link.name, state=link.state.value)
    if link.state is LinkState.ALIVE and link.name not in owner.leaving:
        owner.scheduler.restore_worker(link.name)
    elif link.state is LinkState.SILENT:
        _stop_unconfirmed(owner, link.name)
        owner.scheduler.cordon_worker(link.name)
    elif link.state is LinkState.LOST:
        _lose_members(owner, link.name)
        owner.scheduler.cordon_worker(link.name)
    owner.wake()


def take_task(owner: OwnedCell, task: TaskReport) -> None:
    """Take in the report of one member; reports of attempts not open here do nothing."""
    attempt = owner.attempts.get(task.attempt)
    if attempt is None or attempt.is_concluded:
        return
    if task.state is TaskState.RUNNING:
        attempt.seen_running.add(task.member)
    elif task.state is TaskState.DONE:
        _take_answer(owner, attempt, task)
    elif task.state is TaskState.STOPPED and task.member not in attempt.over:
        attempt.over.add(task.member)
        if task.checkpoint and task.member == 0:
            owner.jobs[attempt.gang.job.id].checkpoint = task.checkpoint
        if attempt.ending is None and attempt.went:
            outcome.end_attempt(owner, attempt, Ending.BROKEN)
    elif task.state is TaskState.FAILED:
        attempt.over.add(task.member)
        if attempt.ending is None:
            outcome.end_attempt(owner, attempt, Ending.BROKEN)


def _take_answer(owner: OwnedCell, attempt: Attempt, task: TaskReport) -> None:
    if task.member in attempt.done:
        return
    answer = MemberAnswer(task.attempt, task.member, task.content, task.length, task.digest)
    whole = owner.answers.add(answer)
    if isinstance(whole, DropReason):
        owner.log("answer.dropped", attempt=attempt.id, member=task.member, why=whole.value)
        return
    attempt.done.add(task.member)
    if whole is not None:
        outcome.conclude_done(owner, attempt, whole)


def _stop_unconfirmed(owner: OwnedCell, worker: str) -> None:
    """Stop gangs that were just told to go and of which a silent worker may run no member."""
    for attempt in list(owner.attempts.values()):
        members = set(attempt.members_on.get(worker, ()))
        unconfirmed = members - attempt.seen_running - attempt.done - attempt.over
        if attempt.went and unconfirmed and attempt.ending is None:
            outcome.end_attempt(owner, attempt, Ending.BROKEN)


def _lose_members(owner: OwnedCell, worker: str) -> None:
    """Count the members on a lost or restarted worker as gone; stop the rest at once."""
    for attempt in list(owner.attempts.values()):
        lost = set(attempt.members_on.get(worker, ())) - attempt.done - attempt.over
        if not lost or attempt.is_concluded:
            continue
        attempt.gone |= lost
        if attempt.ending is None:
            outcome.end_attempt(owner, attempt, Ending.BROKEN)
