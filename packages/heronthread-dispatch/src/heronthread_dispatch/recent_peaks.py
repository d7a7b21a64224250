"""Recent maxima of measured values."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class RecentPeaks:
    """Keeps values by name for `window_s` seconds, as far as they may still become the maximum."""

    window_s: float
    _readings: dict[str, deque[tuple[float, int]]] = field(default_factory=dict)

    def note(self, now: float, values: dict[str, int]) -> None:
        """Add one value for each name."""
        for name, value in values.items():
            readings = self._readings.setdefault(name, deque())
            while readings and readings[-1][1] <= value:
                readings.pop()
            readings.append((now, value))

    def peaks(self, now: float) -> dict[str, int]:
        """Return the maximum of each name within the window."""
        found = {}
        for name, readings in self._readings.items():
            while readings and readings[0][0] < now - self.window_s:
                readings.popleft()
            found[name] = readings[0][1] if readings else 0
        return found
