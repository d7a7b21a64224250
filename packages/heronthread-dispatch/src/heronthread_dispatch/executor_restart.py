"""Replaces the state of an executor that has started again under the same id.

The new instance shares nothing with the previous one: runs, end numbers, stopped runs, the highest
token and the clock are its own. Orders for the previous instance may still reach it, because an
order names only the id.
"""

from __future__ import annotations

from dataclasses import replace

import trio

from .executor_link import Report
from .fleet import ExecutorState, make_executor_state
from .late_starts import MAX_ORDER_DELAY_S
from .owned_cell import OwnedCell
from .step_state import UNSETTLED, Attempt, Phase


def replace_instance(
    cell: OwnedCell, old: ExecutorState, report: Report, asked_at: float
) -> ExecutorState:
    """Replace an executor's state by that of the new instance that reported, and return it.

    Attempts that may be at the new instance are moved to it: those that its report lists, those
    whose start was acknowledged after the report was requested, and those with an unanswered start.
    The latter are stopped there, so that a late start is refused. All others ended with the
    previous instance.
    """
    now = trio.current_time()
    new = _make_state(cell, old, report.born, now)
    named = {(run.task, run.run) for run in report.running}
    named |= {(end.task, end.run) for end in report.ended}
    carried_over = [
        a for a in old.list_held() if (a.task, a.run) in named or _was_started_after(a, asked_at)
    ]
    for attempt in carried_over:
        _move(cell, attempt, old, new)
    cell.executors[new.id] = new
    cell.notify_use_changed()
    # Before the move: an attempt with an unanswered start may have crashed the previous instance.
    old.mark_ended()
    if old.has_reported:
        cell.handle_instance_end(old)
    for attempt in old.list_held():
        if cell.late_starts.is_open(attempt):
            _move(cell, attempt, old, new)
            # The sends count for the previous instance only; none has started a run here.
            attempt.refused_sends, attempt.seen = attempt.sends, False
            _request_stop_again(cell, attempt)
    for attempt in old.list_held():
        cell.close(attempt, "its executor has started again")
        cell.stop_gang(attempt, "a member's executor has started again")
    cell.stop_late_starts(new)
    if new.list_held():
        # Set after the stops are queued: with no lease they would count as expired in the first
        # report and never be sent, so a late start would run beside its task's next run.
        new.renewed_until = now + _find_max_lease_s(cell, new)
    return new


def _find_max_lease_s(cell: OwnedCell, new: ExecutorState) -> float:
    """Return for how long (s) orders for the previous instance can keep runs at the new one.

    Their deadlines are on the other clock, so the new instance may grant its longest lease. It
    refuses the orders of earlier owners.
    """
    own_starts = (s for s in cell.late_starts.list_unresolved(new.id) if not s.is_inherited)
    late_s = MAX_ORDER_DELAY_S if any(own_starts) else 0.0
    return late_s + cell.parts.timing.longest_run_s


def _make_state(cell: OwnedCell, old: ExecutorState, born: int, now: float) -> ExecutorState:
    """Return the state of a new instance, from its own entry if that was read."""
    has_own_entry = old.announced_instance is not None and old.announced_instance.born == born
    executor = replace(old.executor, born=born, leaves_in_s=None)
    if has_own_entry and old.announced_instance is not None:
        executor = old.announced_instance
    new = make_executor_state(executor, now)
    new.has_own_entry = has_own_entry
    new.has_unusable_entry = old.has_unusable_entry
    new.listed = old.listed
    new.was_listed = old.was_listed
    new.is_listed_by_jobs = old.is_listed_by_jobs
    new.is_renewal_suspended = old.is_renewal_suspended
    new.evacuated = cell.is_evacuated(new)
    return new


def _was_started_after(attempt: Attempt, asked_at: float) -> bool:
    """Return whether a start is in flight, or was acknowledged after the report was requested."""
    is_answered = asked_at < attempt.settled_at < UNSETTLED
    return attempt.is_in_flight or (is_answered and attempt.phase is Phase.RUNNING)


def _move(cell: OwnedCell, attempt: Attempt, old: ExecutorState, new: ExecutorState) -> None:
    is_orphan = old.orphans.get((attempt.task, attempt.run)) is attempt
    job = cell.jobs.get(attempt.task.job)
    if job is not None and job.task(attempt.task) is not None:
        # It may have ended with the previous instance, before the one that the new one lists.
        job.step_of(attempt.task).ends.void(attempt.run)
    old.release(attempt)
    attempt.instance = new.instance
    # A rate measured across both instances would count as the new one's speed.
    attempt.measured_at = None
    task = cell.find_task(attempt.task)
    if is_orphan:
        new.occupy_orphan(attempt)
        return
    new.occupy(attempt)
    if task is not None and task.crashes:
        cell.crashes.begin_trial(attempt.task, new.instance)


def _request_stop_again(cell: OwnedCell, attempt: Attempt) -> None:
    """Stop an attempt at the new instance, even if the previous one had acknowledged a stop."""
    if attempt.phase is Phase.STOPPING and attempt.settled_at == UNSETTLED:
        return
    attempt.phase = Phase.RUNNING
    cell.request_stop(attempt, "its start may be carried out by another life")
