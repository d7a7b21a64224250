"""Non-blocking log output: a bounded buffer of lines that are written whole or dropped.

When a slow reader lets the buffer fill up, lines that explain no request are dropped first, and
the next line counts the dropped ones by kind.
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

MAX_BUFFERED_LINES = 5_000
RESERVED_FOR_REQUESTS = 1_000
"""Part of the buffer, in lines, that is reserved for lines that explain a request."""
WHOLE_BYTES = 4_096
"""Largest atomic write to a pipe (PIPE_BUF of Linux)."""
MAX_CONSECUTIVE_WRITES = 64
"""Consecutive writes before other tasks get a turn: 256 KB, four times what a pipe holds."""
FLUSH_S = 0.05
FLUSH_TIMEOUT_S = 0.2
"""Longest wait for a slow reader when the process ends."""
SHORTENED_CHARS = 200
SHORTENED_ITEMS = 20
REQUEST_KINDS = frozenset(
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
"""Kinds of lines that are needed to trace what happened to a request."""


@dataclass(slots=True)
class LogWriter:
    """Eliot destination that writes JSON lines; each names its `host`, so that logs can be merged.

    `dropped` counts the lines of each kind that were never written.
    """

    descriptor: int = 1
    host: str = ""
    waiting: deque[bytes] = field(default_factory=deque)
    dropped: Counter[str] = field(default_factory=Counter)
    _unreported: Counter[str] = field(default_factory=Counter)
    _unwritten_bytes: bytes = b""
    _has_lines: trio.Event = field(default_factory=trio.Event)

    def __call__(self, message: dict[str, Any]) -> None:
        """Buffer one eliot message, or drop it if the buffer is full."""
        kind = str(message.get("message_type", ""))
        limit = MAX_BUFFERED_LINES - (0 if kind in REQUEST_KINDS else RESERVED_FOR_REQUESTS)
        if len(self.waiting) >= limit:
            self.dropped[kind] += 1
            self._unreported[kind] += 1
            return
        if self._unreported:
            self._report_dropped(message.get("timestamp", 0.0))
        self.waiting.append(self._encode(message))
        self._has_lines.set()

    def _report_dropped(self, at: float) -> None:
        kinds, self._unreported = dict(self._unreported), Counter()
        message = {"message_type": "log.dropped", "lines": sum(kinds.values()), "kinds": kinds}
        self.waiting.append(self._encode(message | {"timestamp": at}))

    def _encode(self, message: dict[str, Any]) -> bytes:
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        message.setdefault("host", self.host)
        try:
            line = orjson.dumps(message, default=str) + b"\n"
        except TypeError:
            message = {name: _make_writable(value) for name, value in message.items()}
            line = orjson.dumps(message, default=str) + b"\n"
        if len(line) <= WHOLE_BYTES:
            return line
        return orjson.dumps(_shorten(message), default=str) + b"\n"

    async def run(self) -> None:
        """Write buffered lines as the output accepts them, until cancelled."""
        os.set_blocking(self.descriptor, False)
        while True:
            if not self._unwritten_bytes and not self.waiting:
                self._has_lines = trio.Event()
                await self._has_lines.wait()
            await trio.sleep(FLUSH_S)
            for _ in range(MAX_CONSECUTIVE_WRITES):
                if not self._write():
                    break

    def _write(self) -> bool:
        """Write one batch of lines; False if there is none or the output would block.

        Outputs other than pipes may accept part of a batch, whose rest is then written first.
        """
        data = self._unwritten_bytes or self._next_batch()
        if not data:
            return False
        self._unwritten_bytes = data
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            return False
        except OSError:
            self._drop_batch(data)
            return False
        self._unwritten_bytes = data[written:]
        return not self._unwritten_bytes

    def _next_batch(self) -> bytes:
        """Return the next batch of lines, up to `WHOLE_BYTES`."""
        parts, size = [], 0
        while self.waiting and size + len(self.waiting[0]) <= WHOLE_BYTES:
            parts.append(self.waiting.popleft())
            size += len(parts[-1])
        return b"".join(parts)

    def _drop_batch(self, data: bytes) -> None:
        """Count the lines of a batch that failed with an error."""
        self.dropped["unwritten"] += data.count(b"\n")
        self._unwritten_bytes = b""

    def flush(self) -> None:
        """Write the remaining lines when the process ends, for at most `FLUSH_TIMEOUT_S`."""
        until = time.monotonic() + FLUSH_TIMEOUT_S
        while self._unwritten_bytes or self.waiting:
            if self._write():
                continue
            left = until - time.monotonic()
            if left <= 0 or not (self._unwritten_bytes or self.waiting):
                return
            select.select([], [self.descriptor], [], left)


def _make_writable(value: Any) -> Any:
    """Return a value that JSON can express: itself, or a short text of it in ASCII."""
    try:
        orjson.dumps(value, default=str)
    except TypeError:
        return _describe(value)[:SHORTENED_CHARS].encode("ascii", "backslashreplace").decode()
    return value


def _describe(value: Any) -> str:
    try:
        return str(value)
    except (ValueError, RecursionError):
        return f"{type(value).__name__} that can't be written"


def _shorten(message: dict[str, Any]) -> dict[str, Any]:
    """Return a message shortened to fit one line, with the names of the shortened fields."""
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
