"""Event loop lag: how late timers of this process fire while other tasks compute."""

from __future__ import annotations

from collections import deque

import trio
from heronthread_coordination import Measure

from .events import log_event
from .statistics import Statistics

PERIOD_S = 0.4
WINDOW_S = 3.0
MIN_READINGS = 5
OVERLOAD_LAG_S = 0.03
"""Mean lag from which a host is overloaded; orders wait for several turns of the loop, so that
starts are delayed by some tenths of a second."""
LOG_THRESHOLD_S = 0.25
LOG_INTERVAL_S = 2.0


class LoopLagMonitor:
    """Measures the lag of a timer, and keeps the readings of the last `WINDOW_S`."""

    def __init__(self, statistics: Statistics) -> None:
        self._statistics = statistics
        self._readings: deque[tuple[float, float]] = deque()
        self._logged_at = float("-inf")
        self._worst_unlogged_s = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            wanted = trio.current_time() + PERIOD_S
            await trio.sleep_until(wanted)
            now = trio.current_time()
            self.note(now, now - wanted)

    def note(self, now: float, late_s: float) -> None:
        """Record one reading; large lags are logged at a limited rate."""
        self._readings.append((now, late_s))
        while self._readings[0][0] < now - WINDOW_S:
            self._readings.popleft()
        self._statistics.record("", "", Measure.LATENESS, late_s)
        self._worst_unlogged_s = max(self._worst_unlogged_s, late_s)
        if self._worst_unlogged_s >= LOG_THRESHOLD_S and now - self._logged_at >= LOG_INTERVAL_S:
            log_event(
                "loop.late",
                worst_s=round(self._worst_unlogged_s, 3),
                mean_s=round(self.mean_s(), 3),
                readings=len(self._readings),
            )
            self._logged_at, self._worst_unlogged_s = now, 0.0

    def mean_s(self) -> float:
        """Return the mean lag (s) over the last `WINDOW_S`."""
        return sum(late for _, late in self._readings) / max(1, len(self._readings))

    @property
    def is_overloaded(self) -> bool:
        """Whether the mean lag shows that this process is overloaded."""
        return len(self._readings) >= MIN_READINGS and self.mean_s() >= OVERLOAD_LAG_S
