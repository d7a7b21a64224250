"""Rate limits, retry budgets, backoff and circuit breakers."""

from __future__ import annotations

import random
from dataclasses import dataclass

import trio


class TokenBucket:
    """A token bucket refilled at `rate` tokens per second, up to `burst` tokens."""

    def __init__(self, rate: float, *, burst: float) -> None:
        self.rate = rate
        self.burst = max(1.0, burst)
        self._tokens = self.burst
        self._updated: float | None = None

    async def take(self, count: float = 1.0, *, max_wait_s: float) -> bool:
        """Take tokens; return False, and take none, if that would wait longer than `max_wait_s`."""
        self._refill()
        self._tokens -= count
        wait_s = -self._tokens / self.rate
        if wait_s > max_wait_s:
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
    """Limits retries to a fraction of the calls made, plus an initial `reserve`."""

    def __init__(self, fraction: float = 0.1, *, reserve: float = 3.0) -> None:
        self.fraction = fraction
        self.reserve = reserve
        self._credit = reserve
        self.calls = 0
        self.retries = 0

    def record_call(self) -> None:
        """Record the first attempt of a call."""
        self.calls += 1
        self._credit = min(self.reserve + 100.0, self._credit + self.fraction)

    def try_retry(self) -> bool:
        """Use one retry; return False if the budget is exhausted."""
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        self.retries += 1
        return True


@dataclass(frozen=True, slots=True)
class Backoff:
    """Exponential backoff with full jitter, in seconds."""

    first_s: float = 0.05
    factor: float = 2.0
    max_s: float = 2.0

    def choose_delay_s(self, attempt: int, source: random.Random) -> float:
        """Return the seconds to wait before retry number `attempt`, counted from 0."""
        bound = min(self.max_s, self.first_s * self.factor**attempt)
        return source.uniform(0, bound)


class CircuitBreaker:
    """Circuit breaker for a target that fails or responds slowly.

    It opens after `failures` consecutive bad calls. After `open_s` it is half open and
    allows one trial call, whose outcome closes or reopens it.
    """

    def __init__(self, *, failures: int = 3, open_s: float = 2.0, slow_s: float = 2.0) -> None:
        self.failures = failures
        self.open_s = open_s
        self.slow_s = slow_s
        self._bad_calls = 0
        self._retry_at = 0.0
        self._has_trial = False

    @property
    def is_open(self) -> bool:
        """Whether the breaker is open or half open."""
        return self._bad_calls >= self.failures

    def allow_call(self) -> bool:
        """Return whether a call may be made now."""
        if not self.is_open:
            return True
        if trio.current_time() < self._retry_at or self._has_trial:
            return False
        self._has_trial = True
        return True

    def note(self, ok: bool, elapsed_s: float = 0.0) -> None:
        """Record the outcome of a call; a success slower than `slow_s` counts as bad."""
        self._has_trial = False
        if ok and elapsed_s <= self.slow_s:
            self._bad_calls = 0
            return
        self._bad_calls += 1
        self._retry_at = trio.current_time() + self.open_s
