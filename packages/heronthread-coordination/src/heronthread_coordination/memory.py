"""In-memory store with fault injection, for tests, examples and the demo."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from .store import (
    MAX_VALUE_BYTES,
    Absent,
    Conflict,
    Entry,
    ReadOutcome,
    Unavailable,
    Unknown,
    WriteOutcome,
    Written,
)


@dataclass(slots=True)
class StoreFaults:
    """Injected faults: an outage, a delay, or the loss of the next `lose_answers` responses."""

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0


@dataclass(slots=True)
class MemoryStore:
    """In-memory store; `faults` apply to all callers."""

    faults: StoreFaults = field(default_factory=StoreFaults)
    entries: dict[str, Entry] = field(default_factory=dict)
    reads: int = 0
    writes: int = 0
    _revision: int = 0
    _wake: trio.Event = field(default_factory=trio.Event)

    async def read(self, key: str) -> ReadOutcome:
        """Return the key's entry."""
        self.reads += 1
        if await self._simulate_call():
            return Unavailable("the store is down")
        return self._get(key)

    async def read_range(self, prefix: str, after: str = "") -> list[Entry] | Unavailable:
        """Return the entries under a prefix, sorted by key."""
        self.reads += 1
        if await self._simulate_call():
            return Unavailable("the store is down")
        keys = sorted(k for k in self.entries if k.startswith(prefix) and k > after)
        return [self.entries[key] for key in keys]

    async def write(self, key: str, value: bytes, *, expect: int) -> WriteOutcome:
        """Write by compare-and-swap."""
        self.writes += 1
        if len(value) > MAX_VALUE_BYTES:
            return Unavailable(f"a value may have {MAX_VALUE_BYTES} bytes")
        if await self._simulate_call():
            return Unavailable("the store is down")
        current = self._get(key)
        outcome: WriteOutcome = Conflict(current)
        if current.revision == expect:
            outcome = Written(self._put(key, value))
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return Unknown("the response was lost")
        return outcome

    async def delete(self, key: str) -> WriteOutcome:
        """Remove a key."""
        self.writes += 1
        if await self._simulate_call():
            return Unavailable("the store is down")
        self.entries.pop(key, None)
        self._notify()
        return Written(self._revision)

    async def watch(self, key: str, *, revision: int, wait_s: float) -> ReadOutcome:
        """Wait for a change of a key."""
        self.reads += 1
        if await self._simulate_call():
            return Unavailable("the store is down")
        with trio.move_on_after(wait_s):
            while self._get(key).revision == revision:
                await self._wake.wait()
                if self.faults.down:
                    return Unavailable("the store went down")
        return self._get(key)

    def set_down(self, down: bool) -> None:
        """Start or end an outage; pending watches fail at once."""
        self.faults.down = down
        self._notify()

    def _get(self, key: str) -> Entry | Absent:
        return self.entries.get(key) or Absent(key)

    def _put(self, key: str, value: bytes) -> int:
        self._revision += 1
        self.entries[key] = Entry(key, value, self._revision)
        self._notify()
        return self._revision

    def _notify(self) -> None:
        self._wake.set()
        self._wake = trio.Event()

    async def _simulate_call(self) -> bool:
        if self.faults.delay_s:
            await trio.sleep(self.faults.delay_s)
        else:
            await trio.lowlevel.checkpoint()
        return self.faults.down
