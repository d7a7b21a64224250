"""Structured log events through eliot, which `log_writer` writes as JSON."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import eliot
import trio

from .model import ExecutorInstance, TaskKey

DEFAULT_PERIOD_S = 5.0
MAX_KINDS = 1_000
MAX_DETAILS = 8


def log_event(kind: str, **fields: Any) -> None:
    """Log one event."""
    eliot.log_message(kind, **fields)


def describe_run(task: TaskKey, run: int, instance: ExecutorInstance) -> dict[str, Any]:
    """Return the fields of a log line that name one run of a task."""
    return {
        "job": task.job,
        "step": task.step,
        "index": task.member,
        "occurrence": task.occurrence,
        "run": run,
        **describe_instance(instance),
    }


def describe_instance(instance: ExecutorInstance) -> dict[str, Any]:
    """Return the fields of a log line that name one instance of an executor."""
    return {"executor": instance.id, "born": instance.born}


@dataclass(slots=True)
class _LoggedKind:
    """Events of one key since the start of a period: the details logged, and how many skipped."""

    since: float
    details: set[str] = field(default_factory=set)
    skipped: int = 0


@dataclass(slots=True)
class RepeatedEvents:
    """Rate limiter for equal events: logs one in `period_s` seconds with the count of skipped ones.

    It keeps repeated errors of many callers from flooding the log. At most `MAX_KINDS` distinct
    events are tracked at a time.
    """

    period_s: float = DEFAULT_PERIOD_S
    _logged: dict[tuple[object, ...], _LoggedKind] = field(default_factory=dict)

    def log(self, kind: str, key: tuple[object, ...], detail: str = "", **fields: Any) -> None:
        """Log an event unless one with the same key and detail was logged within `period_s`.

        Of each key at most `MAX_DETAILS` details are logged in a period. `skipped` counts the
        events of the key that were not logged since the last one that was.
        """
        now = trio.current_time()
        known = self._logged.get((kind, *key))
        if known is None or now - known.since >= self.period_s:
            if known is None and len(self._logged) >= MAX_KINDS:
                self._logged.clear()
            known = _LoggedKind(now, skipped=known.skipped if known is not None else 0)
            self._logged[(kind, *key)] = known
        if detail in known.details or len(known.details) >= MAX_DETAILS:
            known.skipped += 1
            return
        known.details.add(detail)
        log_event(kind, skipped=known.skipped, **fields)
        known.skipped = 0
