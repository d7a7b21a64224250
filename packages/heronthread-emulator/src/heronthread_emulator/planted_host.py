"""Starts a host as the platform does, with a planted defect or a clock that can be held.

Its arguments are the defect's name (empty for none), the path of the real program, and the path of
a file that says for how many seconds the machine has been suspended, read anew at each SIGUSR1.
"""

from __future__ import annotations

import runpy
import signal
import sys
from pathlib import Path

if __name__ == "__main__":
    # Until the host's own handlers are there, a signal would end it while it still imports.
    for early in (signal.SIGHUP, signal.SIGUSR1):
        signal.signal(early, signal.SIG_IGN)

from heronthread_dispatch import clock
from trio._core import _run as trio_run

from .plants import planted_if


class HeldClock:
    """Holds this process's steady clock for the time that a file names, as a suspension does."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._total_s = 0.0

    def install(self) -> None:
        """Have the steady clock and the suspended time say what the file does."""
        current_time = trio_run.SystemClock.current_time
        suspended_s = clock.suspended_s

        def hold(self_: trio_run.SystemClock) -> float:
            return current_time(self_) - self._total_s

        trio_run.SystemClock.current_time = hold  # type: ignore[method-assign,assignment]
        clock.suspended_s = lambda: suspended_s() + self._total_s
        signal.signal(signal.SIGUSR1, self._read)

    def _read(self, number: int, frame: object) -> None:
        self._total_s = float(self._path.read_text(encoding="utf-8"))


def main() -> None:
    """Plant the defect, then run the real program."""
    defect, program, *held = sys.argv[1:]
    sys.argv[1:] = []
    sys.path.insert(0, str(Path(program).parent))
    for path in held:
        HeldClock(Path(path)).install()
    with planted_if(defect):
        runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    main()
