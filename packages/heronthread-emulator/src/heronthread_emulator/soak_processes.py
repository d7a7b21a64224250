"""The processes of a soak: started, signalled and ended by id, and by their owner only."""

from __future__ import annotations

import ctypes
import os
import resource
import signal
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import trio

PARENT_DEATH_SIGNAL = 1
"""`PR_SET_PDEATHSIG` of linux/prctl.h."""
MOST_MEMORY_BYTES = 1_500_000_000
MOST_PROCESSES = 120
LAST_WAIT_S = 5.0
POLL_S = 0.05


class TooManyProcesses(Exception):
    """A soak may not run that many processes."""


def _limit_child(library: ctypes.CDLL) -> None:
    """Bound a child's memory, and end it when this process is gone."""
    library.prctl(PARENT_DEATH_SIGNAL, signal.SIGKILL)
    resource.setrlimit(resource.RLIMIT_AS, (MOST_MEMORY_BYTES, MOST_MEMORY_BYTES))


def _send(process: subprocess.Popen[bytes], number: signal.Signals) -> None:
    if process.poll() is None:
        process.send_signal(number)


@dataclass(slots=True)
class Processes:
    """The children of this process by name; leaving the context ends those that are left."""

    folder: Path
    running: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    _library: ctypes.CDLL = field(default_factory=lambda: ctypes.CDLL(None))

    def __enter__(self) -> Processes:
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.running.values():
            _send(process, signal.SIGKILL)
            process.wait()
        self.running.clear()

    def start(self, name: str, command: Sequence[str], variables: dict[str, str]) -> None:
        """Start a process that writes to a log of its name."""
        if len(self.running) >= MOST_PROCESSES:
            raise TooManyProcesses(f"{MOST_PROCESSES} processes at most")
        library = self._library
        with (self.folder / f"{name}.log").open("ab") as log:
            self.running[name] = subprocess.Popen(
                [sys.executable, *command],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, **variables},
                preexec_fn=lambda: _limit_child(library),
            )

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process if it is there."""
        process = self.running.get(name)
        if process is not None:
            _send(process, number)

    def takes(self, name: str, number: signal.Signals) -> bool:
        """Whether a process handles or ignores a signal by now, rather than being ended by it.

        An interpreter that has just been started has set nothing up yet.
        """
        process = self.running.get(name)
        if process is None or process.poll() is not None:
            return False
        status = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
        masks = dict(line.split(":\t", 1) for line in status.splitlines() if ":\t" in line)
        taken = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
        return bool(taken >> (number - 1) & 1)

    async def end(self) -> None:
        """End all, while other tasks of this process go on."""
        with trio.CancelScope(shield=True):
            self._ask_to_end()
            with trio.move_on_after(LAST_WAIT_S):
                while any(process.poll() is None for process in self.running.values()):
                    await trio.sleep(POLL_S)

    def _ask_to_end(self) -> None:
        for number in (signal.SIGTERM, signal.SIGCONT):
            for process in self.running.values():
                _send(process, number)

    def kill(self, name: str) -> None:
        """Kill a process and forget it."""
        process = self.running.pop(name, None)
        if process is not None:
            _send(process, signal.SIGKILL)
            process.wait()

    def has_ended(self, name: str) -> bool:
        """Whether a process is gone."""
        process = self.running.get(name)
        return process is None or process.poll() is not None
