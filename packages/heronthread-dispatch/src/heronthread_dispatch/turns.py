"""Turns of the event loop in long computations."""

from __future__ import annotations

import trio

TURN_S = 0.02
"""How long a computation may run before other tasks (leases, reports, answers) get a turn."""


class Turns:
    """Gives other tasks a turn whenever a computation has run for `TURN_S`."""

    def __init__(self) -> None:
        self._began = trio.current_time()

    async def take(self) -> None:
        """Let other tasks run if this one has run for long enough."""
        if trio.current_time() - self._began >= TURN_S:
            await trio.lowlevel.checkpoint()
            self._began = trio.current_time()
