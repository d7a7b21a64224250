"""The largest of recent readings."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class RecentPeaks:
    """Readings by name, kept for `window_s` seconds; only those that may still be a peak."""

    window_s: float
    _readings: dict[str, deque[tuple[float, int]]] = field(default_factory=dict)

    def note(self, now: float, values: dict[str, int]) -> None:
        """Add one reading of each name."""
        for name, value in values.items():
            readings = self._readings.setdefault(name, deque())
            while readings and readings[-1][1] <= value:
                readings.pop()
            readings.append((now, value))

    def peaks(self, now: float) -> dict[str, int]:
        """Return the largest reading of each name within the window."""
        found = {}
        for name, readings in self._readings.items():
            while readings and readings[0][0] < now - self.window_s:
                readings.popleft()
            found[name] = readings[0][1] if readings else 0
        return found
