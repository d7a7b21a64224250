"""Log lines on their way to the output: whole or not at all, bounded, without ever waiting for it.

What reads the output may be slow. Lines then wait in memory; when too many do, those that explain
no request are dropped first, and the next line tells how many of which kinds were.
"""

from __future__ import annotations

import os
import select
import time
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

import orjson
import trio

MAX_WAITING_LINES = 5_000
KEPT_FOR_REQUESTS = 1_000
"""Places that only lines which explain a request may take."""
WHOLE_BYTES = 4_096
"""A pipe takes so much whole or not at all (PIPE_BUF of Linux); more may be taken in part."""
MOST_WRITES = 64
"""Writes in a row before other tasks get a turn: 256 KB, four times what a pipe holds."""
FLUSH_S = 0.05
END_S = 0.2
"""How long the end of a process waits for a slow reader, of the seconds that a stop may take."""
SHORTENED_CHARS = 200
SHORTENED_ITEMS = 20
EXPLAINING = frozenset(
    {
        "job.accept",
        "job.known",
        "job.cancel",
        "job.cancelled",
        "job.failed",
        "job.ended",
        "call.refused",
        "start.decided",
        "stop.decided",
        "attempt.closed",
        "attempt.ended",
    }
)
"""Kinds of lines without which it can't be told what became of a request."""


@dataclass(slots=True)
class LineWriter:
    """Takes eliot's messages; each line names the `host` that wrote it, so that logs can be merged.

    `dropped` counts the lines of each kind that were never written.
    """

    descriptor: int = 1
    host: str = ""
    waiting: deque[bytes] = field(default_factory=deque)
    dropped: Counter[str] = field(default_factory=Counter)
    _untold: Counter[str] = field(default_factory=Counter)
    _rest: bytes = b""
    _news: trio.Event = field(default_factory=trio.Event)

    def __call__(self, message: dict[str, Any]) -> None:
        """Take one message of eliot's."""
        kind = str(message.get("message_type", ""))
        limit = MAX_WAITING_LINES - (0 if kind in EXPLAINING else KEPT_FOR_REQUESTS)
        if len(self.waiting) >= limit:
            self.dropped[kind] += 1
            self._untold[kind] += 1
            return
        if self._untold:
            self._tell_dropped(message.get("timestamp", 0.0))
        self.waiting.append(self._encode(message))
        self._news.set()

    def _tell_dropped(self, at: float) -> None:
        kinds, self._untold = dict(self._untold), Counter()
        message = {"message_type": "log.dropped", "lines": sum(kinds.values()), "kinds": kinds}
        self.waiting.append(self._encode(message | {"timestamp": at}))

    def _encode(self, message: dict[str, Any]) -> bytes:
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        message.setdefault("host", self.host)
        line = orjson.dumps(message, default=str) + b"\n"
        if len(line) <= WHOLE_BYTES:
            return line
        return orjson.dumps(_shorten(message), default=str) + b"\n"

    async def run(self) -> None:
        """Write lines as the output takes them, until cancelled."""
        os.set_blocking(self.descriptor, False)
        while True:
            if not self._rest and not self.waiting:
                self._news = trio.Event()
                await self._news.wait()
            await trio.sleep(FLUSH_S)
            for _ in range(MOST_WRITES):
                if not self._write():
                    break

    def _write(self) -> bool:
        """Write what the output takes whole; False if there is nothing, or it takes nothing now.

        A pipe takes a part of what it is given only beyond `WHOLE_BYTES`; other outputs may at any
        time, and get the rest first.
        """
        data = self._rest or self._join()
        if not data:
            return False
        self._rest = data
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            return False
        except OSError:
            self._drop_joined(data)
            return False
        self._rest = data[written:]
        return not self._rest

    def _join(self) -> bytes:
        """Return as many whole lines as are written at once."""
        parts, size = [], 0
        while self.waiting and size + len(self.waiting[0]) <= WHOLE_BYTES:
            parts.append(self.waiting.popleft())
            size += len(parts[-1])
        return b"".join(parts)

    def _drop_joined(self, data: bytes) -> None:
        """Count lines that no output takes any more."""
        self.dropped["unwritten"] += data.count(b"\n")
        self._rest = b""

    def flush(self) -> None:
        """Write what is left, waiting for a slow reader for `END_S`; for the end of the process."""
        until = time.monotonic() + END_S
        while self._rest or self.waiting:
            if self._write():
                continue
            left = until - time.monotonic()
            if left <= 0 or not (self._rest or self.waiting):
                return
            select.select([], [self.descriptor], [], left)


def _shorten(message: dict[str, Any]) -> dict[str, Any]:
    """Return a message that fits a line, with the names of the fields that were cut."""
    found = dict(message)
    cut = []
    for name, value in message.items():
        if isinstance(value, str) and len(value) > SHORTENED_CHARS:
            found[name] = value[:SHORTENED_CHARS]
        elif isinstance(value, list | tuple) and len(value) > SHORTENED_ITEMS:
            found[name] = value[:SHORTENED_ITEMS]
        elif len(orjson.dumps(value, default=str)) > WHOLE_BYTES // 4:
            found[name] = str(value)[:SHORTENED_CHARS]
        else:
            continue
        cut.append(name)
    found["cut"] = cut
    if len(orjson.dumps(found, default=str)) < WHOLE_BYTES:
        return found
    named = ("message_type", "timestamp", "host", "job", "request", "executor")
    return {name: str(found[name])[:SHORTENED_CHARS] for name in named if name in found} | {
        "cut": ["all others"]
    }
