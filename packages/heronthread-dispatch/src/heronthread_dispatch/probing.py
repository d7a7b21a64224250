"""Probing of executors before they are sent a start.

A crash or partition goes unnoticed until the next call: for long at an idle executor, which gets
none, and for up to 1.8 s at one with work. A start sent there has an unknown outcome and blocks its
task for seconds, while a probe has no side effects.
"""

from __future__ import annotations

from collections.abc import Iterable

import trio

from .fleet import ExecutorState

PROOF_AGE_S = 0.1
"""Age up to which a report replaces the probe before a start; a few round trips."""
RECENT_S = 2.0
"""Age up to which a report counts where another executor of the rack has not answered.

An executor with work reports within 1.8 s or is unresponsive.
"""
PROBE_TIMEOUT_S = 0.6
"""Timeout of a probe, including a second one that is sent 0.4 s later."""


def needs_probe(state: ExecutorState) -> bool:
    """Whether to probe an executor.

    A start waits for it, another one of its rack is silent, or it has not seen its token yet.
    """
    if state.unresponsive_since is not None:
        return False
    is_start_waiting = state.reported_at < state.report_wanted_since
    return state.needs_fence or state.needs_report or is_start_waiting


async def wait_for_reports(asked: Iterable[ExecutorState], known: Iterable[ExecutorState]) -> bool:
    """Wait until each asked executor has just reported; False if one does not report.

    Those that do not report get no work until they do. The other executors in their racks then need
    a probe before they get work, as a whole rack may have failed.
    """
    since = trio.current_time() - PROOF_AGE_S
    waited_for = [state for state in asked if not _has_reported(state, since)]
    for state in waited_for:
        state.report_wanted_since = since
        state.request_report()
    with trio.move_on_after(PROBE_TIMEOUT_S):
        for state in waited_for:
            await _wait_for_report(state, since)
    unanswered = [state for state in waited_for if not _has_reported(state, since)]
    lost = [state for state in unanswered if not state.dead]
    racks = {_get_rack(state) for state in lost}
    recent = trio.current_time() - RECENT_S
    for state in known if racks else ():
        if state in lost or (_get_rack(state) in racks and state.reported_at < recent):
            state.needs_report = True
            state.request_report()
    return not unanswered


async def _wait_for_report(state: ExecutorState, since: float) -> None:
    """Wait until an executor has reported since a time, or is known to be silent or dead."""
    if state.reported_at < since and not state.dead and state.unresponsive_since is None:
        await state.news.wait()


def _has_reported(state: ExecutorState, since: float) -> bool:
    return state.unresponsive_since is None and state.reported_at >= since


def _get_rack(state: ExecutorState) -> tuple[str, str]:
    return state.executor.zone, state.executor.rack
