"""The configuration in force at one host: the newest version seen, never an older one."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from .events import log_event
from .model import DesiredState

EMPTY = DesiredState(0)


@dataclass(frozen=True, slots=True)
class ConfigurationFormat:
    """The store's key of the configuration, and how its value is read (None: invalid)."""

    key: str
    parse: Callable[[bytes], DesiredState | None]


@dataclass(slots=True)
class ConfigurationInForce:
    """The newest configuration known; `raw` is its stored form, for peers."""

    format: ConfigurationFormat
    state: DesiredState = EMPTY
    raw: bytes = b""
    changed: trio.Event = field(default_factory=trio.Event)

    @property
    def is_known(self) -> bool:
        """Whether any version is known."""
        return self.state.version > 0

    def offer(self, raw: bytes, source: str) -> bool:
        """Put a version in force if it is newer than the one in force."""
        state = self.format.parse(raw)
        if state is None:
            log_event("config.invalid", source=source, size=len(raw))
            return False
        if state.version <= self.state.version:
            return False
        self.state = state
        self.raw = raw
        log_event("config.in_force", version=state.version, source=source)
        self.changed.set()
        self.changed = trio.Event()
        return True
