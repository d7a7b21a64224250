"""One JSON line for each decision, through eliot, without ever waiting for the output."""

from __future__ import annotations

import os
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import eliot
import orjson
import trio

MAX_WAITING_LINES = 5_000
WRITE_BYTES = 65_536
FLUSH_S = 0.05


@dataclass(slots=True)
class LineWriter:
    """Lines wait in a bounded queue; what does not fit is counted and dropped.

    Each line names the `host` that wrote it, so that the logs of many can be merged.
    """

    descriptor: int = 1
    host: str = ""
    waiting: deque[bytes] = field(default_factory=deque)
    dropped: int = 0
    _news: trio.Event = field(default_factory=trio.Event)

    def __call__(self, message: dict[str, Any]) -> None:
        """Take one message of eliot's."""
        if len(self.waiting) >= MAX_WAITING_LINES:
            self.dropped += 1
            return
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        message.setdefault("host", self.host)
        self.waiting.append(orjson.dumps(message, default=str) + b"\n")
        self._news.set()

    async def run(self) -> None:
        """Write lines as the output takes them, until cancelled."""
        os.set_blocking(self.descriptor, False)
        rest = b""
        while True:
            if not rest and not self.waiting:
                self._news = trio.Event()
                await self._news.wait()
            await trio.sleep(FLUSH_S)
            rest = self._write(rest)

    def _write(self, rest: bytes) -> bytes:
        parts, size = [rest], len(rest)
        while self.waiting and size < WRITE_BYTES:
            line = self.waiting.popleft()
            parts.append(line)
            size += len(line)
        data = b"".join(parts)
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            return data
        except OSError:
            return b""
        return data[written:]

    def flush(self) -> None:
        """Write what the output takes now; for the end of the process."""
        rest = self._write(b"")
        while rest or self.waiting:
            left = self._write(rest)
            if left == rest:
                return
            rest = left


def log_event(kind: str, **fields: Any) -> None:
    """Log one decision or change of belief."""
    eliot.log_message(kind, **fields)
