"""One JSON line for each decision, through eliot, without ever waiting for the output."""

from __future__ import annotations

import os
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import eliot
import orjson
import trio

from .model import TaskKey

MAX_WAITING_LINES = 5_000
WRITE_BYTES = 65_536
FLUSH_S = 0.05
REPEAT_S = 5.0
MAX_KINDS = 1_000


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


def describe_run(task: TaskKey, run: int, executor: str) -> dict[str, Any]:
    """Return the fields of a log line that name one run of a task."""
    return {
        "job": task.job,
        "step": task.step,
        "index": task.member,
        "occurrence": task.occurrence,
        "run": run,
        "executor": executor,
    }


@dataclass(slots=True)
class RepeatedEvents:
    """Logs the first of equal events, then one in `period_s` with how many came between.

    What many callers do wrong alike would else push the lines of the requests out of a record.
    At most `MAX_KINDS` kinds are told apart at a time.
    """

    period_s: float = REPEAT_S
    _counts: dict[tuple[object, ...], tuple[float, int]] = field(default_factory=dict)

    def log(self, kind: str, key: tuple[object, ...], **fields: Any) -> None:
        """Log an event unless an equal one, by `key`, was logged a moment ago."""
        now = trio.current_time()
        since, skipped = self._counts.get((kind, *key), (float("-inf"), 0))
        if now - since < self.period_s:
            self._counts[(kind, *key)] = (since, skipped + 1)
            return
        if len(self._counts) >= MAX_KINDS:
            self._counts.clear()
        self._counts[(kind, *key)] = (now, 0)
        log_event(kind, skipped=skipped, **fields)
