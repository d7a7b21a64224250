"""Graceful shutdown: new requests are refused, those in progress complete."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import trio


class Draining(Exception):
    """Raised for a request that arrives after the drain has started; it had no effect."""


class Drain:
    """Counts requests in progress, so that a shutdown can wait for them.

    After `start` the host is not ready and refuses new requests; `wait_idle` returns when
    the requests in progress have ended.
    """

    def __init__(self) -> None:
        self.is_draining = False
        self.in_progress = 0
        self.started = trio.Event()
        self._idle = trio.Event()

    def start(self) -> None:
        """Start to refuse new requests."""
        self.is_draining = True
        self.started.set()
        if self.in_progress == 0:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        await self._idle.wait()

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count one request; raise `Draining` if the drain has started."""
        if self.is_draining:
            raise Draining("this host is draining; retry on another host")
        self.in_progress += 1
        try:
            yield
        finally:
            self.in_progress -= 1
            if self.is_draining and self.in_progress == 0:
                self._idle.set()
