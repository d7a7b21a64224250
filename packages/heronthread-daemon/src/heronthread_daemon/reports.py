"""Processing of worker reports and of changes in a worker's state."""

from __future__ import annotations

from heronthread_coordination import DropReason, MemberAnswer

from . import outcome
from .attempt import Attempt, StopReason
from .owned_cell import OwnedCell
from .worker import TaskReport, TaskState, WorkerReply
from .worker_link import LinkState, WorkerLink


def process_reply(owner: OwnedCell, link: WorkerLink, reply: WorkerReply) -> None:
    """Process a worker's reply; `link.reply` still holds the previous one."""
    if link.reply is not None and link.reply.incarnation != reply.incarnation:
        _mark_members_lost(owner, link.name)
    if reply.leaving and link.name not in owner.leaving:
        owner.note_leaving({link.name})
    for task in reply.tasks:
        process_report(owner, task)


def process_state_change(owner: OwnedCell, link: WorkerLink) -> None:
    """Process a worker's change to alive, silent or lost."""
    if link.name not in owner.scheduler.topology.number:
        return
    owner.log("worker.state", worker=link.name, state=link.state.value)
    if link.state is LinkState.ALIVE and link.name not in owner.leaving:
        owner.scheduler.restore_worker(link.name)
    elif link.state is LinkState.SILENT:
        _stop_unconfirmed(owner, link.name)
        owner.scheduler.cordon_worker(link.name)
    elif link.state is LinkState.LOST:
        _mark_members_lost(owner, link.name)
        owner.scheduler.cordon_worker(link.name)
    owner.wake()


def process_report(owner: OwnedCell, task: TaskReport) -> None:
    """Process the report of one member; reports of unknown attempts are ignored."""
    attempt = owner.attempts.get(task.attempt)
    if attempt is None or attempt.is_concluded:
        return
    if task.state is TaskState.RUNNING:
        attempt.reported_running.add(task.member)
    elif task.state is TaskState.DONE:
        _process_answer(owner, attempt, task)
    elif task.state is TaskState.STOPPED and task.member not in attempt.stopped:
        attempt.stopped.add(task.member)
        if task.checkpoint and task.member == 0:
            owner.jobs[attempt.gang.job.id].checkpoint = task.checkpoint
        if attempt.stop_reason is None and attempt.go_sent:
            outcome.end_attempt(owner, attempt, StopReason.MEMBER_FAILED)
    elif task.state is TaskState.FAILED:
        attempt.stopped.add(task.member)
        if attempt.stop_reason is None:
            outcome.end_attempt(owner, attempt, StopReason.MEMBER_FAILED)


def _process_answer(owner: OwnedCell, attempt: Attempt, task: TaskReport) -> None:
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
    """Stop gangs that were sent GO but have members unconfirmed on an unresponsive worker."""
    for attempt in list(owner.attempts.values()):
        members = set(attempt.members_on.get(worker, ()))
        unconfirmed = members - attempt.reported_running - attempt.done - attempt.stopped
        if attempt.go_sent and unconfirmed and attempt.stop_reason is None:
            outcome.end_attempt(owner, attempt, StopReason.MEMBER_FAILED)


def _mark_members_lost(owner: OwnedCell, worker: str) -> None:
    """Mark the members on a lost or restarted worker as lost and stop their gangs."""
    for attempt in list(owner.attempts.values()):
        lost = set(attempt.members_on.get(worker, ())) - attempt.done - attempt.stopped
        if not lost or attempt.is_concluded:
            continue
        attempt.lost |= lost
        if attempt.stop_reason is None:
            outcome.end_attempt(owner, attempt, StopReason.MEMBER_FAILED)
