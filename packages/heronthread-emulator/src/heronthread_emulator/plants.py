"""Defects to plant, each of which the checker must catch."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager, nullcontext
from dataclasses import replace
from typing import Any
from unittest.mock import patch

import trio
from heronthread_dispatch import executor_watch, spares
from heronthread_dispatch.crashes import Crashes
from heronthread_dispatch.directory import Directory
from heronthread_dispatch.entries import EntryFault, InvalidEntry
from heronthread_dispatch.executor_link import EndedRun, EndKind, Report
from heronthread_dispatch.executor_watch import ExecutorWatch
from heronthread_dispatch.fleet import ExecutorState
from heronthread_dispatch.intake import NotTaken, Unsettled
from heronthread_dispatch.keystore import Item
from heronthread_dispatch.late_starts import LateStarts
from heronthread_dispatch.model import Executor, TaskKey
from heronthread_dispatch.orders import Orders
from heronthread_dispatch.owned_cell import OwnedCell
from heronthread_dispatch.owner import ENTRY_RETURN_TIMEOUT_S, Owner
from heronthread_dispatch.placements import JobPlacements
from heronthread_dispatch.plan import Candidate, Start
from heronthread_dispatch.planner import Planner
from heronthread_dispatch.progress import JobState
from heronthread_dispatch.record import MALFORMED, ProgressRecord
from heronthread_dispatch.requests import Requests
from heronthread_dispatch.step_state import Attempt
from heronthread_dispatch.task_masks import TaskMasks, map_to_any_task, unite

from .executors import EmulatedExecutor, EmulatedExecutors

Plant = Callable[[], Any]


def _start_before_the_barrier() -> Any:
    """A new owner starts tasks before every executor was heard."""

    def find_none(self: OwnedCell) -> None:
        return None

    return patch.object(OwnedCell, "make_may_run_check", find_none)


def _forget_ends_unrecorded() -> Any:
    """Ends are taken note of before they are in the store."""

    async def wait_for_nothing(self: ExecutorWatch) -> None:
        self.state.recorded_end = self.state.processed_end

    return patch.object(ExecutorWatch, "_wait_recorded", wait_for_nothing)


def _obey_lower_tokens() -> Any:
    """Executors obey deposed owners, and two owners act at once."""

    def obey(self: EmulatedExecutors, place: EmulatedExecutor, token: int) -> bool:
        return False

    return patch.object(EmulatedExecutors, "_fence", obey)


def _refuse_what_may_run() -> Any:
    """Doubt about an acceptance is called a refusal."""
    original = Requests.accept

    async def accept(self: Requests, record: Any, budget_s: float) -> Any:
        outcome = await original(self, record, budget_s)
        return NotTaken(outcome.reason) if isinstance(outcome, Unsettled) else outcome

    return patch.object(Requests, "accept", accept)


def _forget_silent_executors() -> Any:
    """Runs of a silent executor count as ended at once."""

    def always(self: ExecutorState, now: float, executor_lease_s: float) -> int | None:
        if self.clock is None:
            return None
        sent, _, clock_ms = self.clock
        self.renewed_until = now
        return clock_ms + int((now - sent + executor_lease_s) * 1000)

    return patch.object(ExecutorState, "deadline_ms", always)


def _count_no_failures() -> Any:
    """Failed runs are not counted."""
    original = OwnedCell.process_end

    def note(self: OwnedCell, state: ExecutorState, end: EndedRun) -> None:
        if end.kind is EndKind.FAILED:
            task = self.find_task(end.task)
            if task is not None and task.attempt is not None:
                self.close(task.attempt, "failed")
            return
        original(self, state, end)

    return patch.object(OwnedCell, "process_end", note)


def _show_success_early() -> Any:
    """A job counts as succeeded once any of its tasks is done."""

    def status(self: JobState) -> Any:
        from heronthread_dispatch.record import JobStatus

        if any(task.done for step in self.steps for task in step.tasks):
            return JobStatus.SUCCEEDED
        return original.fget(self)  # type: ignore[misc]

    original: property = JobState.status  # type: ignore[assignment]
    return patch.object(JobState, "status", property(status))


def _settle_by_any_refusal() -> Any:
    """A refused send of a start counts as settling the sends before it."""
    original = Orders._settle_start

    def settle(self: Orders, start: Any, attempt: Attempt, order: Any, outcome: Any) -> None:
        attempt.unanswered = 0
        self.cell.late_starts.settle(attempt)
        original(self, start, attempt, order, outcome)

    return patch.object(Orders, "_settle_start", settle)


def _take_missing_entries_as_gone() -> Any:
    """An earlier owner's executor is given up as its entry is missing, whatever the store did."""

    def drop(self: Owner, started: float) -> None:
        if trio.current_time() < started + ENTRY_RETURN_TIMEOUT_S:
            return
        for state in self.cell.silent():
            state.dead |= not state.listed

    return patch.object(Owner, "_drop_missing_executors", drop)


def _forget_cancelled_runs() -> Any:
    """What runs of a cancelled job is left alone."""

    def end_none(self: OwnedCell, job: JobState, reason: str) -> None:
        return

    return patch.object(OwnedCell, "_end_attempts", end_none)


def _start_in_evacuated_domains() -> Any:
    """Evacuated domains count as any other, in plans and at each start."""

    def never(self: OwnedCell, state: ExecutorState) -> bool:
        return False

    return patch.object(OwnedCell, "is_evacuated", never)


def _count_no_crashes() -> Any:
    """Executors that crash under a task are not counted."""

    def note(self: Crashes, state: ExecutorState, blames: object) -> None:
        return

    return patch.object(Crashes, "_note", note)


def _forget_crashes_at_a_takeover() -> Any:
    """A new owner knows nothing of the crashes that an earlier one noted."""

    def fits(self: JobState, record: ProgressRecord) -> bool:
        for step in record.steps:
            step.crashes = {}
        return True

    return patch.object(JobState, "fits", fits)


def _keep_the_first_capacity() -> Any:
    """An executor's room counts as it was when its entry was first seen."""
    original = Directory._renew

    def renew(self: Directory, state: ExecutorState, executor: Executor, now: float) -> None:
        first = state.executor.capacity if any(state.executor.capacity) else executor.capacity
        original(self, state, replace(executor, capacity=first), now)

    return patch.object(Directory, "_renew", renew)


def _take_a_missing_state_as_ready() -> Any:
    """An entry without a state names an executor that is ready."""
    original = Directory._read

    def read(self: Directory, executor_id: str, item: Item) -> Executor | InvalidEntry:
        found = original(self, executor_id, item)
        if not isinstance(found, InvalidEntry) or found.fault is not EntryFault.MISSING_FIELD:
            return found
        try:
            value = json.dumps(json.loads(item.value) | {"state": "ready"}).encode()
        except MALFORMED:
            return found
        return original(self, executor_id, replace(item, value=value))

    return patch.object(Directory, "_read", read)


def _take_lives_for_one() -> Any:
    """What is noted of an executor goes on as it starts again under its id."""

    def keep(cell: OwnedCell, old: ExecutorState, report: Report, asked_at: float) -> ExecutorState:
        old.executor = replace(old.executor, born=report.born)
        return old

    return patch.object(executor_watch, "replace_instance", keep)


def _forget_late_starts() -> Any:
    """Starts without an answer count as settled by what another instance knows nothing of."""

    def list_none(self: LateStarts, executor: str) -> list[Any]:
        return []

    return patch.multiple(
        LateStarts, list_unresolved=list_none, is_open=lambda self, attempt: False
    )


def _withhold_beside_silent_executors() -> Any:
    """A new owner starts no task of an older job while any executor it inherited is silent."""

    def make_may_run_check(self: OwnedCell) -> Callable[[TaskKey], bool] | None:
        if not self.silent():
            return None

        def may_run(task: TaskKey) -> bool:
            job = self.jobs.get(task.job)
            return job is not None and job.created <= self.term.guard[1]

        return may_run

    return patch.object(OwnedCell, "make_may_run_check", make_may_run_check)


def _start_where_no_record_names() -> Any:
    """A start is sent though the store does not name its executor for the job, then or later."""

    async def name_none(self: Orders, orders: list[tuple[Start, Attempt]]) -> bool:
        return True

    def list_others(self: JobPlacements, now_at: TaskMasks) -> TaskMasks | None:
        return (
            None if self.inherited is None else unite(self.inherited, map_to_any_task(self.spare))
        )

    stack = ExitStack()
    stack.enter_context(patch.object(Orders, "_record_placements", name_none))
    stack.enter_context(patch.object(JobPlacements, "list_to_record", list_others))
    return stack


def _count_parts_of_a_step_apart() -> Any:
    """Parts of a step don't count what the same plan has placed of the others.

    A small site has as many spare executors as a large one, so that parts share some of them.
    """
    original = Planner._plan_step

    def plan_step(self: Planner, candidate: Candidate) -> None:
        self._spread.reset()
        original(self, candidate)

    stack = ExitStack()
    stack.enter_context(patch.object(Planner, "_plan_step", plan_step))
    stack.enter_context(patch.object(spares, "POOL_DIVISOR", 1))
    return stack


PLANTS: dict[str, Plant] = {
    "count-parts-of-a-step-apart": _count_parts_of_a_step_apart,
    "start-before-the-barrier": _start_before_the_barrier,
    "forget-ends-unrecorded": _forget_ends_unrecorded,
    "obey-lower-tokens": _obey_lower_tokens,
    "refuse-what-may-run": _refuse_what_may_run,
    "forget-silent-executors": _forget_silent_executors,
    "count-no-failures": _count_no_failures,
    "show-success-early": _show_success_early,
    "settle-by-any-refusal": _settle_by_any_refusal,
    "take-missing-entries-as-gone": _take_missing_entries_as_gone,
    "forget-cancelled-runs": _forget_cancelled_runs,
    "start-in-evacuated-domains": _start_in_evacuated_domains,
    "count-no-crashes": _count_no_crashes,
    "forget-crashes-at-a-takeover": _forget_crashes_at_a_takeover,
    "keep-the-first-capacity": _keep_the_first_capacity,
    "take-a-missing-state-as-ready": _take_a_missing_state_as_ready,
    "take-lives-for-one": _take_lives_for_one,
    "forget-late-starts": _forget_late_starts,
    "withhold-beside-silent-executors": _withhold_beside_silent_executors,
    "start-where-no-record-names": _start_where_no_record_names,
}


@contextmanager
def planted(name: str) -> Iterator[None]:
    """Plant one defect for as long as the context is open."""
    with PLANTS[name]():
        yield


def planted_if(name: str) -> AbstractContextManager[None]:
    """Plant a defect, or none if the name is empty."""
    return planted(name) if name else nullcontext()


__all__ = ["PLANTS", "planted", "planted_if"]
