"""Log lines about removed and restored directory entries, one for all that change together.

All entries of a site expire at once when the store is unavailable for long enough.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import trio

from .events import describe_run, log_event
from .fleet import ExecutorState
from .step_state import Attempt

GATHER_S = 0.5
MAX_NAMED = 16
MAX_RUNS_NAMED = 8
MAX_REMOVED = 2_000
"""Removed entries whose time of removal is kept; twice the executors of a large deployment."""


class EntryChangeLog:
    """Collects entries that are removed or restored in one owner's term, and logs them."""

    def __init__(self, term: int) -> None:
        self._term = term
        self._removed_at: dict[str, float] = {}
        self._removed: dict[str, list[Attempt]] = {}
        self._restored: dict[str, tuple[float, list[Attempt]]] = {}
        self._changed_at: float | None = None

    def note_removed(self, state: ExecutorState) -> None:
        """Note that an executor's entry was removed."""
        self._removed_at[state.id] = trio.current_time()
        if len(self._removed_at) > MAX_REMOVED:
            del self._removed_at[next(iter(self._removed_at))]
        self._removed[state.id] = state.list_held()
        self._note_change()

    def note_listed(self, executor: str, state: ExecutorState | None) -> None:
        """Note that an executor has an entry; it counts as restored if one was removed before."""
        removed_at = self._removed_at.pop(executor, None)
        if removed_at is None:
            return
        held = state.list_held() if state is not None else []
        self._restored[executor] = (trio.current_time() - removed_at, held)
        self._note_change()

    def _note_change(self) -> None:
        if self._changed_at is None:
            self._changed_at = trio.current_time()

    def tell(self) -> None:
        """Log the collected changes once `GATHER_S` has passed since the first; call it often."""
        if self._changed_at is None or trio.current_time() - self._changed_at < GATHER_S:
            return
        self._changed_at = None
        removed, self._removed = self._removed, {}
        restored, self._restored = self._restored, {}
        if removed:
            self._log("executor.delisted", removed)
        if restored:
            absent_s = [round(seconds, 3) for seconds, _ in restored.values()]
            bounds = [min(absent_s), max(absent_s)]
            self._log(
                "executor.listed", {n: held for n, (_, held) in restored.items()}, absent_s=bounds
            )

    def _log(self, kind: str, executors: dict[str, list[Attempt]], **more: Any) -> None:
        """Log one line that names the executors with most runs first."""
        names = sorted(executors, key=lambda name: (-len(executors[name]), name))
        held = [attempt for name in names for attempt in executors[name]]
        log_event(
            kind,
            executors=names[:MAX_NAMED],
            count=len(names),
            runs=len(held),
            held=_describe(held[:MAX_RUNS_NAMED]),
            term=self._term,
            **more,
        )


def _describe(held: Iterable[Attempt]) -> list[dict[str, Any]]:
    return [describe_run(attempt.task, attempt.run, attempt.instance) for attempt in held]
