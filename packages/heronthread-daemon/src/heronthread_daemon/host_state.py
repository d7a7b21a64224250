"""What the tasks of one host share: its adapters, its peers, and the cells and who owns them."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from eliot import log_message
from heronthread_coordination import (
    BudgetedStore,
    CellLease,
    Drain,
    Histograms,
    Membership,
    Store,
)
from heronthread_dispatch.peer import Peers
from heronthread_dispatch.wire.ttypes import CellView
from heronthread_scheduling import CellSpec, DesiredState

from .hostlist import HostList
from .owner import CellOwner
from .settings import Settings
from .worker import Workers


@dataclass(frozen=True, slots=True)
class HostParts:
    """What a host is given: its adapters and its clock (seconds since the epoch)."""

    store: Store
    workers: Workers
    host_list: HostList
    peers: Peers
    clock: Callable[[], float]
    random: random.Random = field(default_factory=random.Random)


@dataclass(frozen=True, slots=True)
class PeerNews:
    """What a peer last said of the store and its generation, and when (trio's clock)."""

    store_ok: bool
    generation: int
    at: float


class HostState:
    """One host's adapters, its news of the others, and the cells with their owners."""

    def __init__(self, settings: Settings, parts: HostParts) -> None:
        self.settings = settings
        self.parts = parts
        limits = settings.limits
        self.store = BudgetedStore(
            parts.store,
            reads_per_s=limits.store_reads_per_s,
            writes_per_s=limits.store_writes_per_s,
        )
        self.state: DesiredState | None = None
        self.cells: dict[str, CellSpec] = {}
        self.membership = Membership()
        self.drain = Drain()
        self.histograms = Histograms()
        self.leases: dict[str, CellLease] = {}
        self.owners: dict[str, CellOwner] = {}
        self.views: dict[str, CellView] = {}
        self.viewed_at: dict[str, float] = {}
        self.leaving_workers: set[str] = set()
        self.news: dict[str, PeerNews] = {}
        self.urgent_news = trio.Event()

    @property
    def name(self) -> str:
        """The host's name."""
        return self.settings.host

    def tell_peers(self) -> None:
        """Send heartbeats at once instead of at the next period."""
        self.urgent_news.set()

    def note_owner(self, cell: str, epoch: int, host: str, address: str) -> None:
        """Take in who owns a cell, unless a higher epoch is known."""
        known = self.views.get(cell)
        if known is None or epoch > known.epoch:
            self.views[cell] = CellView(cell=cell, epoch=epoch, host=host, address=address)
            self.viewed_at[cell] = trio.current_time()
            lease = self.leases.get(cell)
            if lease is not None and host != self.name and epoch > lease.epoch:
                lease.depose()
            self.tell_peers()

    def log(self, message_type: str, **fields: object) -> None:
        """Log one message with this host's name and time."""
        log_message(message_type=message_type, host=self.name, at=self.parts.clock(), **fields)
