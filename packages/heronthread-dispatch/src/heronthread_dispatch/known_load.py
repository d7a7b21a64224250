"""The newest load digest that a host knows, and how old it is."""

from __future__ import annotations

from dataclasses import dataclass

from .load_digest import LoadDigest

MAX_TICK_GAP_S = 2.5
"""A longer gap between two ticks means that the host stood still; ticks come once a second."""
SETTLE_AFTER_GAP_S = 0.8
"""How long news is ignored after such a gap. Requests that were buffered meanwhile are read by
then, and their senders could not know how old they would be."""


@dataclass(frozen=True, slots=True)
class AgedDigest:
    """A digest and its age (s)."""

    digest: LoadDigest
    age_s: float


class KnownLoad:
    """Keeps the digest with the highest (term, sequence).

    All times are on the clock that counts suspensions (`boot_time`).
    """

    def __init__(self) -> None:
        self._digest: LoadDigest | None = None
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

    def publish(self, digest: LoadDigest, now: float) -> None:
        """Keep a digest that this host's own owner has just made."""
        self._keep(digest, now)

    def offer(self, digest: LoadDigest, age_s: float, now: float) -> None:
        """Keep a digest from a peer if it is newer than the known one."""
        if not self._stood_still(now) and now >= self._ignored_until:
            self._keep(digest, now - max(0.0, age_s))

    def _keep(self, digest: LoadDigest, made_at: float) -> None:
        if self._digest is None or digest.order > self._digest.order:
            self._digest, self._made_at = digest, made_at
        elif digest.order == self._digest.order:
            # The way with the longer delay may have counted too little of it.
            self._made_at = min(self._made_at, made_at)

    def find(self, now: float) -> AgedDigest | None:
        """Return the newest digest with its age, None if none is known."""
        if self._digest is None:
            return None
        return AgedDigest(self._digest, max(0.0, now - self._made_at))
