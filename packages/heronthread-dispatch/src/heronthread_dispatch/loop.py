"""How late this process gets its turns: what its tasks wait for while others compute."""

from __future__ import annotations

from collections import deque

import trio
from heronthread_coordination import Measure

from .events import log_event
from .statistics import Statistics

PERIOD_S = 0.4
WINDOW_S = 3.0
LEAST_READINGS = 5
BEHIND_S = 0.03
"""Mean lateness from which a host is too weak for what it does: orders and their answers wait
for several turns each, so that a start is later by some tenths of a second."""
LOGGED_S = 0.25
LOG_EVERY_S = 2.0


class LoopWatch:
    """Measures the lateness of a timer, and keeps the readings of the last `WINDOW_S`."""

    def __init__(self, statistics: Statistics) -> None:
        self._statistics = statistics
        self._readings: deque[tuple[float, float]] = deque()
        self._logged_at = float("-inf")
        self._worst_unlogged = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            wanted = trio.current_time() + PERIOD_S
            await trio.sleep_until(wanted)
            now = trio.current_time()
            self.note(now, now - wanted)

    def note(self, now: float, late_s: float) -> None:
        """Take in one reading; a line is logged now and then if some were very late."""
        self._readings.append((now, late_s))
        while self._readings[0][0] < now - WINDOW_S:
            self._readings.popleft()
        self._statistics.record("", "", Measure.LATENESS, late_s)
        self._worst_unlogged = max(self._worst_unlogged, late_s)
        if self._worst_unlogged >= LOGGED_S and now - self._logged_at >= LOG_EVERY_S:
            log_event(
                "loop.late",
                worst_s=round(self._worst_unlogged, 3),
                mean_s=round(self.mean_s(), 3),
                readings=len(self._readings),
            )
            self._logged_at, self._worst_unlogged = now, 0.0

    def mean_s(self) -> float:
        """Return the mean lateness of late."""
        return sum(late for _, late in self._readings) / max(1, len(self._readings))

    @property
    def is_behind(self) -> bool:
        """Whether this process has been late for a while."""
        return len(self._readings) >= LEAST_READINGS and self.mean_s() >= BEHIND_S
