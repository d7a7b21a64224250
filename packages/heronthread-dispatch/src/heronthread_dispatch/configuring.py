"""The configuration in force at one host: the newest version seen, never an older one."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from os.path import commonprefix
from typing import Any

import trio

from .clock import boot_time
from .events import log_event
from .model import DesiredState

PACK_LEVEL = 1
"""zlib's fastest level; shrinks 1,300 queues to a 17th in 0.8 ms (`make bench-configuration`)."""
MAX_UNPACKED_BYTES = 16 * 1024 * 1024
"""Limit of a decompressed configuration; far above the store's limit for a value."""

EMPTY = DesiredState(0)


@dataclass(frozen=True, slots=True)
class ConfigurationFormat:
    """The store's key of the configuration, and the parser of its value (None: invalid).

    Each key under the prefix `evacuations` requests the evacuation of a failure domain.
    """

    key: str
    parse: Callable[[bytes], DesiredState | None]
    evacuations: str = ""

    @property
    def prefix(self) -> str:
        """The common prefix of all keys, so that one watch covers them."""
        return commonprefix([self.key, self.evacuations]) if self.evacuations else self.key


@dataclass(slots=True)
class ConfigurationInForce:
    """The newest configuration known; `raw` is its stored form, for peers.

    `source` is who delivered it: `store`, or a peer's address; `since` when (suspend-aware clock).
    """

    format: ConfigurationFormat
    state: DesiredState = EMPTY
    raw: bytes = b""
    packed: bytes = b""
    source: str = ""
    since: float = 0.0
    changed: trio.Event = field(default_factory=trio.Event)

    @property
    def is_known(self) -> bool:
        """Whether any version is known."""
        return self.state.version > 0

    def pack(self) -> bytes:
        """Return the compressed stored form for peers; cached for each version."""
        if not self.packed:
            self.packed = zlib.compress(self.raw, PACK_LEVEL)
        return self.packed

    def offer_packed(self, packed: bytes, source: str) -> bool:
        """Apply a compressed version from a peer if it is newer than the one in force."""
        unpacker = zlib.decompressobj()
        try:
            raw = unpacker.decompress(packed, MAX_UNPACKED_BYTES)
        except zlib.error as error:
            log_event("config.invalid", source=source, size=len(packed), error=str(error))
            return False
        if unpacker.unconsumed_tail:
            log_event("config.invalid", source=source, size=len(packed), error="too large")
            return False
        return self.offer(raw, source)

    def offer(self, raw: bytes, source: str, **inputs: Any) -> bool:
        """Apply a version if it is newer than the one in force; `inputs` are logged with it."""
        state = self.format.parse(raw)
        if state is None:
            log_event("config.invalid", source=source, size=len(raw))
            return False
        if state.version <= self.state.version:
            return False
        log_event(
            "config.in_force",
            version=state.version,
            source=source,
            previous=self.state.version,
            previous_s=round(boot_time() - self.since, 3) if self.is_known else None,
            queues=len(state.queues),
            **inputs,
        )
        self.state, self.source, self.since = state, source, boot_time()
        self.raw = raw
        self.packed = b""
        self.changed.set()
        self.changed = trio.Event()
        return True
