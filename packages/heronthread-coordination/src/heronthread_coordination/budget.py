"""Budgets for calls and retries, and breakers for slow targets."""

from __future__ import annotations

import random
from dataclasses import dataclass

import trio


class TokenBucket:
    """Tokens that return at a steady rate (per second), up to `burst` of them."""

    def __init__(self, rate: float, *, burst: float) -> None:
        self.rate = rate
        self.burst = max(1.0, burst)
        self._tokens = self.burst
        self._updated: float | None = None

    async def take(self, count: float = 1.0, *, patience_s: float) -> bool:
        """Take tokens, waiting for them at most `patience_s`; False if that is too short."""
        self._refill()
        self._tokens -= count
        wait_s = -self._tokens / self.rate
        if wait_s > patience_s:
            self._tokens += count
            return False
        if wait_s > 0:
            await trio.sleep(wait_s)
        return True

    def _refill(self) -> None:
        now = trio.current_time()
        if self._updated is not None:
            gained = (now - self._updated) * self.rate
            self._tokens = min(self.burst, self._tokens + gained)
        self._updated = now


class RetryBudget:
    """Allows retries up to a fraction of the calls made, plus a few to begin with."""

    def __init__(self, fraction: float = 0.1, *, reserve: float = 3.0) -> None:
        self.fraction = fraction
        self.reserve = reserve
        self._credit = reserve
        self.calls = 0
        self.retries = 0

    def note_call(self) -> None:
        """Count a first attempt."""
        self.calls += 1
        self._credit = min(self.reserve + 100.0, self._credit + self.fraction)

    def try_retry(self) -> bool:
        """Spend one retry if the budget has it."""
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        self.retries += 1
        return True


@dataclass(frozen=True, slots=True)
class Backoff:
    """Waits that grow with each attempt (seconds), with full jitter."""

    first_s: float = 0.05
    factor: float = 2.0
    largest_s: float = 2.0

    def choose_wait(self, attempt: int, source: random.Random) -> float:
        """Return how long to wait before the given retry, counted from 0."""
        bound = min(self.largest_s, self.first_s * self.factor**attempt)
        return source.uniform(0, bound)


class Breaker:
    """Keeps calls from a target that fails or answers slowly.

    After `failures` bad calls in a row it stays open for `rest_s`; then one call is let
    through as a trial.
    """

    def __init__(self, *, failures: int = 3, rest_s: float = 2.0, slow_s: float = 2.0) -> None:
        self.failures = failures
        self.rest_s = rest_s
        self.slow_s = slow_s
        self._bad = 0
        self._retry_at = 0.0
        self._trial = False

    @property
    def is_open(self) -> bool:
        """Whether calls are being refused."""
        return self._bad >= self.failures

    def try_enter(self) -> bool:
        """Tell whether a call may be made now."""
        if not self.is_open:
            return True
        if trio.current_time() < self._retry_at or self._trial:
            return False
        self._trial = True
        return True

    def note(self, ok: bool, elapsed_s: float = 0.0) -> None:
        """Record how a call ended; a slow success counts as bad."""
        self._trial = False
        if ok and elapsed_s <= self.slow_s:
            self._bad = 0
            return
        self._bad += 1
        self._retry_at = trio.current_time() + self.rest_s
