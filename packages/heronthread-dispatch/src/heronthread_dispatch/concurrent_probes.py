"""Probes of an executor that go out concurrently, also beside a hold that waits for an end.

- A start goes out only to an executor that has just answered.
- A stopped run that was in no report may never have arrived, as its start was not answered. A
  report that is requested after the stop and does not list it confirms this.

The hold would return for neither.
"""

from __future__ import annotations

import trio

from .executor_link import HoldOrder, HoldOutcome, InstanceEnded, NoAnswer, Report
from .fleet import ExecutorState
from .owned_cell import OwnedCell
from .probing import needs_probe
from .step_state import UNSETTLED, Attempt, Phase

REPROBE_AFTER_S = 0.4
MAX_PROBES = 4
"""Concurrent probes; so many answers are rarely lost at once."""


def needs_confirmation(attempt: Attempt, asked_at: float) -> bool:
    """Return whether an unreported run was stopped, or refused as old, since `asked_at`."""
    is_settled = asked_at < attempt.settled_at < UNSETTLED
    return is_settled and not attempt.seen and attempt.phase is not Phase.RUNNING


async def send_hold(cell: OwnedCell, state: ExecutorState, order: HoldOrder) -> HoldOutcome:
    """Send a hold, and probe on request while it waits for an end."""
    link = cell.parts.link
    if order.until_ms is not None:
        cell.fences.deadlines.note_sent(state.instance)
    state.report_wanted = trio.Event()
    if not order.wait_s:
        return await link.hold(state.executor, order)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_probe_on_request, cell, state)
        outcome = await link.hold(state.executor, order)
        nursery.cancel_scope.cancel()
    return outcome


async def probe_repeatedly(cell: OwnedCell, state: ExecutorState) -> tuple[HoldOutcome, float]:
    """Probe an executor that has not answered, with further probes while there is no answer.

    Return the first answer and the time when its probe was sent. A single answer may be lost or
    late, while work is waiting for this executor.
    """
    order = HoldOrder(cell.fences.tokens.find(state.id), 0, None, 0.0)
    sender, receiver = trio.open_memory_channel[tuple[HoldOutcome, float]](MAX_PROBES)

    async def send_probe() -> None:
        sent = trio.current_time()
        await sender.send((await cell.parts.link.hold(state.executor, order), sent))

    sent_count = answer_count = 0
    async with trio.open_nursery() as nursery:
        while True:
            if sent_count < MAX_PROBES:
                nursery.start_soon(send_probe)
                sent_count += 1
            found: tuple[HoldOutcome, float] | None = None
            with trio.move_on_after(REPROBE_AFTER_S if sent_count < MAX_PROBES else float("inf")):
                found = await receiver.receive()
            if found is None:
                continue
            answer_count += 1
            if not _is_unresolved(found[0]) or answer_count == MAX_PROBES:
                break
        nursery.cancel_scope.cancel()
    return found


def _is_unresolved(outcome: HoldOutcome) -> bool:
    """Return whether a call had no answer and may have been, or may still be, carried out."""
    return isinstance(outcome, NoAnswer) and not outcome.unsent


async def _probe_on_request(cell: OwnedCell, state: ExecutorState) -> None:
    """Probe an executor each time that a start or a stopped run waits for its report."""
    sent = float("-inf")
    while True:
        await state.report_wanted.wait()
        state.report_wanted = trio.Event()
        has_stops = any(needs_confirmation(attempt, sent) for attempt in state.list_held())
        if has_stops or needs_probe(state):
            outcome, sent = await probe_repeatedly(cell, state)
            _take_answer(cell, state, outcome, sent)


def _take_answer(cell: OwnedCell, state: ExecutorState, outcome: HoldOutcome, sent: float) -> None:
    """Process an answer to a probe that was sent beside a hold.

    Only missing runs are taken from its report, and that this instance answers, as the hold may be
    older but be answered later. Another instance is left to the next hold.
    """
    if isinstance(outcome, InstanceEnded):
        state.mark_ended()
    elif isinstance(outcome, Report) and outcome.born in (0, state.instance.born):
        _close_unnamed(cell, state, outcome, sent)
        state.mark_reported(trio.current_time())
    else:
        state.notify_waiters()


def _close_unnamed(cell: OwnedCell, state: ExecutorState, report: Report, sent: float) -> None:
    """Close the stopped runs that a report lists neither as running nor as ended.

    Runs that it lists are left to the regular reports.
    """
    if not report.is_complete:
        return
    named = {(run.task, run.run) for run in report.running}
    named |= {(end.task, end.run) for end in report.ended}
    for attempt in state.list_held():
        is_stopped = attempt.phase is Phase.STOPPING and attempt.settled_at <= sent
        if is_stopped and not attempt.seen and (attempt.task, attempt.run) not in named:
            cell.close(attempt, "not there")
