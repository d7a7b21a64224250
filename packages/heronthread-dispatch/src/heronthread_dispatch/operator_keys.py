"""Follows the operators' keys in the store: the configuration and evacuation requests."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from .clock import boot_time
from .configuring import ConfigurationInForce
from .evacuation import Evacuations
from .keystore import Item, KeyRemoved, Listing
from .observed_store import ObservedStore
from .prefix_watcher import PrefixWatcher

OPERATORS_WATCH_S = 10.0
"""Wait of the watch; long, as listings notice what it misses."""


class OperatorKeys:
    """Keeps the configuration in force and the evacuation requests as the store has them.

    `max_staleness_s` returns the time (s) within which a stored change has to be in force. Hosts
    share the listings that bound it: a host whose keys a peer has just confirmed lists none.
    """

    def __init__(
        self,
        store: ObservedStore,
        configuration: ConfigurationInForce,
        evacuations: Evacuations,
        max_staleness_s: Callable[[], float],
        host: str,
    ) -> None:
        self._store = store
        self._configuration = configuration
        self._evacuations = evacuations
        self._watcher = PrefixWatcher(
            store,
            configuration.format.prefix,
            self._apply_listing,
            self._apply_change,
            wait_s=OPERATORS_WATCH_S,
            max_staleness_s=max_staleness_s,
            jitter=random.Random(host),
        )

    async def run(self) -> None:
        """Follow the keys until cancelled."""
        await self._watcher.run()

    def describe_ages(self) -> dict[str, float | None]:
        """Return the ages (s) of what is known, as `PrefixWatcher.describe` does."""
        return self._watcher.describe()

    def describe_configuration(self) -> dict[str, Any]:
        """Return the version in force, how old this host's sight of it is, and its origin."""
        return {
            "version": self._configuration.state.version,
            **self.describe_ages(),
            "source": self._configuration.source,
            "in_force_s": round(boot_time() - self._configuration.since, 3),
            "store_answering": self._store.is_answering,
        }

    def describe_confirmed(self) -> tuple[int, float]:
        """Return a checksum of the known keys and how long ago (s) a listing showed them so."""
        return self._watcher.describe_confirmed()

    def confirm(self, digest: int, at: float) -> None:
        """Note that a peer knew these keys as confirmed at a time (suspend-aware clock)."""
        self._watcher.confirm(digest, at)

    def _apply_listing(self, listing: Listing) -> None:
        operators = self._configuration.format.evacuations
        self._evacuations.take_listing(listing, (operators,) if operators else ())
        for item in listing.items:
            self._apply_configuration(item)

    def _apply_change(self, event: Item | KeyRemoved) -> None:
        self._evacuations.take(event)
        self._apply_configuration(event)

    def _apply_configuration(self, event: Item | KeyRemoved) -> None:
        if isinstance(event, Item) and event.key == self._configuration.format.key:
            self._configuration.offer(
                event.value,
                "store",
                revision=event.revision,
                reached_s=round(self._store.revisions.find_age_s(event.revision), 3),
                **self.describe_ages(),
            )
