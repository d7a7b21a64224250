"""Concurrency limits for incoming requests by customer and outgoing calls by target."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import trio

from .budget import CircuitBreaker


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request was admitted."""


@dataclass(frozen=True, slots=True)
class Overloaded:
    """The request was refused without effect; retry after `retry_after_s`."""

    reason: str
    retry_after_s: float


@dataclass(slots=True)
class CustomerLimits:
    """Limits the concurrent requests of each customer and in total."""

    per_customer: int = 256
    total: int = 1024
    retry_after_s: float = 1.0
    in_progress: dict[str, int] = field(default_factory=dict)
    refused: int = 0

    def enter(self, customer: str) -> Admitted | Overloaded:
        """Admit and count a request of a customer, or refuse it."""
        if sum(self.in_progress.values()) >= self.total:
            self.refused += 1
            return Overloaded(f"{self.total} requests are in progress", self.retry_after_s)
        if self.in_progress.get(customer, 0) >= self.per_customer:
            self.refused += 1
            text = f"{self.per_customer} requests of {customer} are in progress"
            return Overloaded(text, self.retry_after_s)
        self.in_progress[customer] = self.in_progress.get(customer, 0) + 1
        return Admitted()

    def leave(self, customer: str) -> None:
        """Record the end of a request."""
        left = self.in_progress[customer] - 1
        if left:
            self.in_progress[customer] = left
        else:
            del self.in_progress[customer]


class TargetLimits:
    """A connection limit and a circuit breaker for each target."""

    def __init__(self, connections: int = 8) -> None:
        self.connections = connections
        self._limiters: dict[str, trio.CapacityLimiter] = {}
        self._breakers: dict[str, CircuitBreaker] = {}

    def breaker(self, target: str) -> CircuitBreaker:
        """Return the circuit breaker of a target."""
        return self._breakers.setdefault(target, CircuitBreaker())

    @asynccontextmanager
    async def connection(self, target: str) -> AsyncIterator[None]:
        """Occupy one of the target's connections, waiting until one is free."""
        limiter = self._limiters.get(target)
        if limiter is None:
            limiter = self._limiters[target] = trio.CapacityLimiter(self.connections)
        async with limiter:
            yield
