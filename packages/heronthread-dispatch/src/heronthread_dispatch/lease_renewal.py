"""Renews an executor's lease to its full length as soon as a start there is known to have arrived.

A start carries a short lease of its own. The hold in flight may wait for an end or get no answer
for longer than that, so the renewal is sent beside it.
"""

from __future__ import annotations

import trio

from .executor_link import HoldOrder, NoAnswer, Report
from .fleet import ExecutorState
from .owned_cell import OwnedCell
from .step_state import Phase

RESEND_AFTER_S = 0.3
MAX_SENDS = 5
RECENT_RENEWAL_S = 2.5
"""Age up to which an answered renewal outlasts a failed hold and the probes after it."""


async def renew_fully(cell: OwnedCell, state: ExecutorState) -> None:
    """Renew an executor's lease with repeated sends, unless a renewal was answered recently.

    All sends share one deadline, as a later one would extend the time until the runs of an
    unresponsive executor have certainly ended.
    """
    now = trio.current_time()
    if state.is_renewing or now - state.renewed_at <= RECENT_RENEWAL_S:
        return
    until = cell.make_deadline(state, cell.parts.timing.executor_lease_s)
    if until is None:
        return
    state.is_renewing = True
    try:
        await _send_until_answered(cell, state, until)
    finally:
        state.is_renewing = False


async def _send_until_answered(cell: OwnedCell, state: ExecutorState, until_ms: int) -> None:
    answered = trio.Event()

    async def send() -> None:
        sent = trio.current_time()
        order = HoldOrder(cell.fences.tokens.find(state.id), 0, until_ms, 0.0)
        cell.fences.deadlines.note_sent(state.instance)
        outcome = await cell.parts.link.hold(state.executor, order)
        if isinstance(outcome, Report) and outcome.born in (0, state.instance.born):
            state.renewed_at = max(state.renewed_at, sent)
        if not isinstance(outcome, NoAnswer):
            answered.set()

    async with trio.open_nursery() as nursery:
        for _ in range(MAX_SENDS):
            if _may_renew(cell, state):
                nursery.start_soon(send)
            with trio.move_on_after(RESEND_AFTER_S):
                await answered.wait()
            if answered.is_set() or state.dead:
                break
        nursery.cancel_scope.cancel()


def _may_renew(cell: OwnedCell, state: ExecutorState) -> bool:
    """Return whether there is a run to renew for, and the store does not say otherwise."""
    if state.dead or state.is_renewal_suspended or not cell.parts.may_send_orders():
        return False
    return any(attempt.phase is Phase.RUNNING for attempt in state.list_held())
