"""What a stand-in process sees, as JSON lines that `heronthread trace` reads too."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TextIO

import trio

LOOK_S = 0.1
LATE_S = 0.05


@dataclass(slots=True)
class Sight:
    """Writes lines at once, so that they outlast the process however it ends."""

    name: str
    output: TextIO = sys.stdout
    late_s: float = 0.0
    """The worst lateness of this process so far."""

    def note(self, kind: str, at: float | None = None, **fields: Any) -> None:
        """Write one line; `at` is in seconds since the epoch."""
        stamp = time.time() if at is None else at
        line = {"timestamp": stamp, "message_type": kind, "host": self.name, **fields}
        self.output.write(json.dumps(line) + "\n")
        self.output.flush()

    async def watch_lateness(self) -> None:
        """Note by how much this process gets its turns late, until cancelled."""
        while True:
            due = trio.current_time() + LOOK_S
            await trio.sleep_until(due)
            late_s = trio.current_time() - due
            self.late_s = max(self.late_s, late_s)
            if late_s > LATE_S:
                self.note("loop.late", worst_s=round(late_s, 3))


def read_lines(path: Path) -> Iterator[dict[str, Any]]:
    """Yield the lines of a log that are whole."""
    if not path.exists():
        return
    with path.open(encoding="utf-8", errors="replace") as lines:
        for line in lines:
            try:
                value = json.loads(line)
            except ValueError:
                continue
            if isinstance(value, dict):
                yield value
