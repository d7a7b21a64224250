"""The story of one request, from the logs of all hosts."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

ID_FIELDS = ("job", "task", "request")
RUN_LISTS = ("blamed", "youngest", "held")
"""Fields that list runs, as of an executor that crashed under them or lost its entry."""
HIDDEN_FIELDS = frozenset({"timestamp", "message_type", "host", "job"})


@dataclass(frozen=True, slots=True)
class TraceLine:
    """One log line that concerns the request; `at` is in seconds since the first one."""

    at: float
    host: str
    event: str
    fields: dict[str, Any]


@dataclass(slots=True)
class Trace:
    """All lines of one request in the order of their times, and how many were unreadable."""

    lines: list[TraceLine] = field(default_factory=list)
    unreadable: int = 0


def trace_request(request: str, logs: Iterable[Iterable[str]]) -> Trace:
    """Collect the lines of one request from logs, whatever stands before their JSON."""
    trace = Trace()
    found = []
    for log in logs:
        for message in _read_messages(log, request, trace):
            if _concerns(message, request):
                found.append(message)
    found.sort(key=lambda message: float(message.get("timestamp", 0.0)))
    first = float(found[0].get("timestamp", 0.0)) if found else 0.0
    trace.lines = [_to_line(message, first) for message in found]
    return trace


def _concerns(message: dict[str, Any], request: str) -> bool:
    if any(request in str(message.get(name, "")) for name in ID_FIELDS):
        return True
    rows = [row for name in RUN_LISTS for row in message.get(name) or ()]
    return any(isinstance(row, dict) and request in str(row.get("job", "")) for row in rows)


def _read_messages(log: Iterable[str], request: str, trace: Trace) -> Iterator[dict[str, Any]]:
    for line in log:
        if request not in line:
            continue
        start = line.find("{")
        try:
            message = json.loads(line[start:])
        except ValueError:
            trace.unreadable += 1
            continue
        if isinstance(message, dict):
            yield message


def _to_line(message: dict[str, Any], first: float) -> TraceLine:
    at = float(message.get("timestamp", first)) - first
    fields = {name: value for name, value in message.items() if name not in HIDDEN_FIELDS}
    return TraceLine(
        round(at, 3), str(message.get("host", "")), str(message.get("message_type", "")), fields
    )
