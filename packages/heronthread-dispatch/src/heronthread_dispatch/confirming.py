"""That a run is not at its executor, once a stop of it was obeyed.

No report has named the run, as its start was not answered and may never have come. A report that is
asked for after the stop and does not name it settles that; a hold that waits for an end has none to
wait for.
"""

from __future__ import annotations

import trio

from .executor_link import HoldOrder, HoldOutcome, Report, Unanswered
from .fleet import ExecutorState
from .owned import OwnedCell
from .progress import UNSETTLED, Attempt, Phase

LOOK_AGAIN_S = 0.4
MOST_LOOKS = 4
"""Beside each other: as many answers are seldom lost in a row."""


def is_to_be_confirmed(attempt: Attempt, asked_at: float) -> bool:
    """Whether a run that no report named was stopped, or called old, since one was asked for."""
    is_settled = asked_at < attempt.settled_at < UNSETTLED
    return is_settled and not attempt.seen and attempt.phase is not Phase.RUNNING


async def give_hold(cell: OwnedCell, state: ExecutorState, order: HoldOrder) -> HoldOutcome:
    """Give a hold; while it waits for an end, see to the stops that are answered meanwhile."""
    link = cell.parts.link
    state.stop_settled = trio.Event()
    if not order.wait_s:
        return await link.hold(state.executor, order)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_confirm_stops, cell, state)
        outcome = await link.hold(state.executor, order)
        nursery.cancel_scope.cancel()
    return outcome


async def look_again(cell: OwnedCell, state: ExecutorState) -> tuple[HoldOutcome, float]:
    """Look at an executor that has not answered, and again beside a look without an answer yet.

    Return the first answer, and when its look was sent. One answer may be lost, or seconds late,
    while the next comes at once, and work that only this executor can vouch for waits for it.
    """
    order = HoldOrder(cell.term.number, 0, None, 0.0)
    sender, receiver = trio.open_memory_channel[tuple[HoldOutcome, float]](MOST_LOOKS)

    async def look() -> None:
        sent = trio.current_time()
        await sender.send((await cell.parts.link.hold(state.executor, order), sent))

    asked = answered = 0
    async with trio.open_nursery() as nursery:
        while True:
            if asked < MOST_LOOKS:
                nursery.start_soon(look)
                asked += 1
            found: tuple[HoldOutcome, float] | None = None
            with trio.move_on_after(LOOK_AGAIN_S if asked < MOST_LOOKS else float("inf")):
                found = await receiver.receive()
            if found is None:
                continue
            answered += 1
            if not _is_lost(found[0]) or answered == MOST_LOOKS:
                break
        nursery.cancel_scope.cancel()
    return found


def _is_lost(outcome: HoldOutcome) -> bool:
    """Whether a call may have been done, or be done later, without an answer."""
    return isinstance(outcome, Unanswered) and not outcome.unsent


async def _confirm_stops(cell: OwnedCell, state: ExecutorState) -> None:
    """Ask at once what became of a run that is stopped, each time that one is.

    Nothing else is taken from the report: the hold beside this one may be the older one and be
    answered later.
    """
    while True:
        await state.stop_settled.wait()
        state.stop_settled = trio.Event()
        sent = trio.current_time()
        order = HoldOrder(cell.term.number, 0, None, 0.0)
        outcome = await cell.parts.link.hold(state.executor, order)
        if isinstance(outcome, Report) and outcome.born in (0, state.life.born):
            _close_unnamed(cell, state, outcome, sent)


def _close_unnamed(cell: OwnedCell, state: ExecutorState, report: Report, sent: float) -> None:
    """Close the stopped runs of which a report says neither that they run nor that they ended.

    One that it does name is left to the reports that are taken in whole.
    """
    if not report.is_complete:
        return
    named = {(run.task, run.run) for run in report.running}
    named |= {(end.task, end.run) for end in report.ended}
    for attempt in state.list_held():
        is_stopped = attempt.phase is Phase.STOPPING and attempt.settled_at <= sent
        if is_stopped and not attempt.seen and (attempt.task, attempt.run) not in named:
            cell.close(attempt, "not there")
