"""The newest summary of a cell that a host knows, and how old it is."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

MAX_TICK_GAP_S = 2.5
"""A longer gap between two ticks means that the host stood still; ticks come once a second."""
SETTLE_AFTER_GAP_S = 0.8
"""How long news is ignored after such a gap. Requests that were buffered meanwhile are read by
then, and their senders could not know how old they would be."""


class Ordered(Protocol):
    """A summary that an owner makes again and again."""

    @property
    def order(self) -> tuple[int, int]:
        """Its owner's term, and its number in that term."""


Summary = TypeVar("Summary", bound=Ordered)


@dataclass(frozen=True)  # an alias with a type can't make objects with slots
class Aged(Generic[Summary]):
    """A summary and its age (s)."""

    digest: Summary
    age_s: float


class KnownSummary(Generic[Summary]):
    """Keeps the summary with the highest (term, sequence).

    All times are on the clock that counts suspensions (`boot_time`).
    """

    def __init__(self) -> None:
        self._digest: Summary | None = None
        self._made_at = 0.0
        self._ticked_at: float | None = None
        self._ignored_until = float("-inf")

    def tick(self, now: float) -> None:
        """Note that the host runs; called at least once a second."""
        if self._stood_still(now):
            self._ignored_until = now + SETTLE_AFTER_GAP_S
        self._ticked_at = now

    def _stood_still(self, now: float) -> bool:
        return self._ticked_at is not None and now - self._ticked_at > MAX_TICK_GAP_S

    def publish(self, digest: Summary, now: float) -> None:
        """Keep a summary that this host's own owner has just made."""
        self._keep(digest, now)

    def offer(self, digest: Summary, age_s: float, now: float) -> bool:
        """Keep a summary from a peer if it is newer than the known one; return whether it is."""
        if self._stood_still(now) or now < self._ignored_until:
            return False
        return self._keep(digest, now - max(0.0, age_s))

    def _keep(self, digest: Summary, made_at: float) -> bool:
        if self._digest is None or digest.order > self._digest.order:
            self._digest, self._made_at = digest, made_at
            return True
        if digest.order == self._digest.order:
            # The way with the longer delay may have counted too little of it.
            self._made_at = min(self._made_at, made_at)
        return False

    def find(self, now: float) -> Aged[Summary] | None:
        """Return the newest summary with its age, None if none is known."""
        if self._digest is None:
            return None
        return Aged(self._digest, max(0.0, now - self._made_at))
