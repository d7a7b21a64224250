"""Structured log events through eliot, which `log_writer` writes as JSON."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import eliot
import trio

from .model import ExecutorInstance, TaskKey

DEFAULT_PERIOD_S = 5.0
MAX_KINDS = 1_000


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
class RepeatedEvents:
    """Rate limiter for equal events: logs one in `period_s` seconds with the count of skipped ones.

    It keeps repeated errors of many callers from flooding the log. At most `MAX_KINDS` distinct
    events are tracked at a time.
    """

    period_s: float = DEFAULT_PERIOD_S
    _counts: dict[tuple[object, ...], tuple[float, int]] = field(default_factory=dict)

    def log(self, kind: str, key: tuple[object, ...], **fields: Any) -> None:
        """Log an event unless one with the same key was logged within `period_s`."""
        now = trio.current_time()
        since, skipped = self._counts.get((kind, *key), (float("-inf"), 0))
        if now - since < self.period_s:
            self._counts[(kind, *key)] = (since, skipped + 1)
            return
        if len(self._counts) >= MAX_KINDS:
            self._counts.clear()
        self._counts[(kind, *key)] = (now, 0)
        log_event(kind, skipped=skipped, **fields)
