"""Which task held the event loop, and for how long."""

from __future__ import annotations

from types import TracebackType

import trio

from .events import RepeatedEvents
from .host_lease import LEASE_S

HELD_S = LEASE_S / 16
"""A turn that takes longer is logged; a few in a row delay a renewal of the lease."""
WINDOW_S = 30.0


class TurnMonitor(trio.abc.Instrument):
    """Times each turn of each task while it is entered, and logs those that take long."""

    def __init__(self) -> None:
        self._began = 0.0
        self._window_began = 0.0
        self._longest_s = 0.0
        self._longest_before_s = 0.0
        self._events = RepeatedEvents()

    def __enter__(self) -> TurnMonitor:
        self._began = self._window_began = trio.current_time()
        trio.lowlevel.add_instrument(self)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        trio.lowlevel.remove_instrument(self)

    @property
    def longest_s(self) -> float:
        """The longest turn (s) of the last 30 s to 60 s."""
        return max(self._longest_s, self._longest_before_s)

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Note when a turn begins."""
        self._began = trio.current_time()

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """Note how long a turn has taken."""
        now = trio.current_time()
        if now - self._window_began >= WINDOW_S:
            self._window_began = now
            self._longest_before_s, self._longest_s = self._longest_s, 0.0
        took_s = now - self._began
        if took_s > self._longest_s:
            self._longest_s = took_s
        if took_s >= HELD_S:
            self._events.log("loop.held", (task.name,), task=task.name, took_s=round(took_s, 3))
