"""Paths of each emulated host to the other hosts and to the executors, cut one by one."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection
from typing import Protocol, TypeVar

import trio
from heronthread_dispatch.executor_link import (
    HoldOrder,
    HoldOutcome,
    NoAnswer,
    OrderOutcome,
    StartOrder,
    StopOrder,
)
from heronthread_dispatch.model import Executor
from heronthread_dispatch.peer import PeerUnreachable
from heronthread_dispatch.wire.ttypes import Frame

from .executors import SILENCE_S, EmulatedExecutors

Outcome = TypeVar("Outcome")


class Transport(Protocol):
    """A way to call any host by its address."""

    async def call(self, address: str, frame: Frame, timeout_s: float) -> Frame | PeerUnreachable:
        """Send one request and return its reply."""


class CutPaths:
    """The pairs of hosts, or of a host and an executor, that don't reach each other."""

    def __init__(self) -> None:
        self._pairs: set[frozenset[str]] = set()

    def cut(self, ones: Collection[str], others: Collection[str]) -> None:
        """Cut the paths between two groups, both ways."""
        self._pairs |= {frozenset((one, other)) for one in ones for other in others}

    def mend(self, ones: Collection[str], others: Collection[str]) -> None:
        """Mend the paths between two groups."""
        self._pairs -= {frozenset((one, other)) for one in ones for other in others}

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether two machines don't reach each other."""
        return frozenset((one, other)) in self._pairs


class PeerPaths:
    """One host's `Peers`: what it sends over a cut path, or hears over one, is lost."""

    def __init__(self, host: str, peers: Transport, paths: CutPaths) -> None:
        self._host = host
        self._peers = peers
        self._paths = paths

    async def call(self, address: str, frame: Frame, timeout_s: float) -> Frame | PeerUnreachable:
        """Send one request and return its reply."""
        began = trio.current_time()
        reply: Frame | PeerUnreachable = PeerUnreachable(f"{address}: silent")
        if not self._paths.is_cut(self._host, address):
            reply = await self._peers.call(address, frame, timeout_s)
        if self._paths.is_cut(self._host, address):
            await trio.sleep_until(began + timeout_s)
            return PeerUnreachable(f"{address}: silent")
        return reply


class ExecutorPaths:
    """One host's `ExecutorLink`: over a cut path an order, or the answer to it, is lost."""

    def __init__(self, host: str, executors: EmulatedExecutors, paths: CutPaths) -> None:
        self._host = host
        self._executors = executors
        self._paths = paths

    async def start(self, executor: Executor, order: StartOrder) -> OrderOutcome:
        """Start a run."""
        return await self._send(executor, lambda: self._executors.start(executor, order))

    async def stop(self, executor: Executor, order: StopOrder) -> OrderOutcome:
        """Stop a run."""
        return await self._send(executor, lambda: self._executors.stop(executor, order))

    async def hold(self, executor: Executor, order: HoldOrder) -> HoldOutcome:
        """Renew the lease of the runs, and return the executor's report."""
        return await self._send(executor, lambda: self._executors.hold(executor, order))

    async def _send(
        self, executor: Executor, call: Callable[[], Awaitable[Outcome]]
    ) -> Outcome | NoAnswer:
        if not self._paths.is_cut(self._host, executor.id):
            outcome = await call()
            if not self._paths.is_cut(self._host, executor.id):
                return outcome
        await trio.sleep(SILENCE_S)
        return NoAnswer("silent")
