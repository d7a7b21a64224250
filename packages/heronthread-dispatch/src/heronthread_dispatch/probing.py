"""Probing of idle executors before they are sent a start.

An idle executor gets no calls, so a crash or partition goes unnoticed. A start sent there has an
unknown outcome and blocks its task for seconds, while a probe has no side effects.
"""

from __future__ import annotations

from collections.abc import Iterable

import trio

from .fleet import ExecutorState
from .progress import Phase

RECENT_S = 2.0
"""Age up to which a report counts as recent and replaces a probe.

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
    if state.needs_fence:
        return True
    waits = any(a.phase is Phase.STARTING and not a.sends for a in state.attempts.values())
    return state.needs_report or (waits and not _has_recent_report(state))


async def wait_for_reports(asked: Iterable[ExecutorState], known: Iterable[ExecutorState]) -> bool:
    """Wait for a recent report of each asked executor; False if one does not report.

    The other executors in its rack then need a probe before they get work, as the whole rack may
    have failed.
    """
    asked = list(asked)
    with trio.move_on_after(PROBE_TIMEOUT_S):
        for state in asked:
            await _wait_for_report(state)
    unanswered = [state for state in asked if not _has_recent_report(state)]
    racks = {_get_rack(state) for state in unanswered if not state.dead}
    for state in known if racks else ():
        if _get_rack(state) in racks and not _has_recent_report(state):
            state.needs_report = True
            state.wake.set()
    return not unanswered


async def _wait_for_report(state: ExecutorState) -> None:
    """Wait until an executor has a recent report, or is known to be silent or dead."""
    if _has_recent_report(state) or state.dead or state.unresponsive_since is not None:
        return
    state.wake.set()
    await state.news.wait()


def _has_recent_report(state: ExecutorState) -> bool:
    return trio.current_time() - state.reported_at <= RECENT_S


def _get_rack(state: ExecutorState) -> tuple[str, str]:
    return state.executor.zone, state.executor.rack
