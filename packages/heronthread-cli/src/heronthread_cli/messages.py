"""Reading the JSON lines that hosts log, and putting those of several hosts in order."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

Message = dict[str, Any]


def read_messages(log: Iterable[str]) -> Iterator[Message]:
    """Yield the JSON lines of a log, whatever stands before each; others are passed over."""
    for line in log:
        start = line.find('{"')
        if start < 0:
            continue
        try:
            message = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(message, dict) and "message_type" in message:
            yield message


def merge_logs(logs: Iterable[Iterable[str]]) -> list[Message]:
    """Return the lines of all logs by time; `timestamp` counts from the first one, in seconds."""
    messages = [message for log in logs for message in read_messages(log)]
    messages.sort(key=lambda message: float(message.get("timestamp", 0.0)))
    first = float(messages[0].get("timestamp", 0.0)) if messages else 0.0
    for message in messages:
        message["timestamp"] = round(float(message.get("timestamp", first)) - first, 3)
    return messages
