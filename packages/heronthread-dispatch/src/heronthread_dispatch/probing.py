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
POOL_PROBE_TIMEOUT_S = 0.1
"""Timeout of the probes of a whole pool; one that answers later can be used from then on."""


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

    Those that do not report get no work until they do.
    """
    since = trio.current_time() - PROOF_AGE_S
    waited_for = [state for state in asked if not _has_reported(state, since)]
    _request_reports(waited_for, since)
    with trio.move_on_after(PROBE_TIMEOUT_S):
        for state in waited_for:
            await _wait_for_report(state, since)
    unanswered = [state for state in waited_for if not _has_reported(state, since)]
    lost = [state for state in unanswered if not state.dead]
    if lost:
        await _check_others(lost, known)
    return not unanswered


async def _check_others(lost: list[ExecutorState], known: Iterable[ExecutorState]) -> None:
    """Check the executors that may have been lost with those that have not answered.

    The others in their racks need a probe before they get work, as a whole rack may have failed. If
    they are in several racks, the whole pool is probed.
    """
    racks = {state.rack for state in lost}
    recent = trio.current_time() - RECENT_S
    for state in known:
        if state in lost or (state.rack in racks and state.reported_at < recent):
            state.needs_report = True
            state.request_report()
    if len(racks) > 1:
        pools = {state.executor.pool for state in lost}
        await _probe_all([state for state in known if state.executor.pool in pools])


async def _probe_all(states: list[ExecutorState]) -> None:
    """Probe executors; those that do not answer soon get no work until they report.

    They are not blocked meanwhile, as work that is sent there waits for the same probe.
    """
    since = trio.current_time() - PROOF_AGE_S
    probed = [state for state in states if not _has_reported(state, since)]
    _request_reports(probed, since)
    await trio.sleep(POOL_PROBE_TIMEOUT_S)
    for state in probed:
        state.needs_report |= not _has_reported(state, since)


def _request_reports(states: Iterable[ExecutorState], since: float) -> None:
    for state in states:
        state.report_wanted_since = since
        state.request_report()


async def _wait_for_report(state: ExecutorState, since: float) -> None:
    """Wait until an executor has reported since a time, or is known to be silent or dead."""
    if state.reported_at < since and not state.dead and state.unresponsive_since is None:
        await state.news.wait()


def _has_reported(state: ExecutorState, since: float) -> bool:
    return state.unresponsive_since is None and state.reported_at >= since
