"""State shared by the tasks of one host: adapters, peer status, cells and their owners."""

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

from .host_list import HostList
from .owner import CellOwner
from .settings import Settings
from .worker import Workers


@dataclass(frozen=True, slots=True)
class HostParts:
    """The adapters of a host and its clock, in seconds since the Unix epoch."""

    store: Store
    workers: Workers
    host_list: HostList
    peers: Peers
    clock: Callable[[], float]
    random: random.Random = field(default_factory=random.Random)


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """The content of a peer's last heartbeat and its arrival time on trio's clock."""

    store_ok: bool
    generation: int
    at: float


class HostState:
    """The adapters of a host, the status of its peers, and the cells with their owners."""

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
        self.view_changed_at: dict[str, float] = {}
        self.leaving_workers: set[str] = set()
        self.peer_status: dict[str, PeerStatus] = {}
        self.heartbeat_due = trio.Event()

    @property
    def name(self) -> str:
        """The host's name."""
        return self.settings.host

    def send_heartbeats_now(self) -> None:
        """Send heartbeats now instead of at the next interval."""
        self.heartbeat_due.set()

    def update_owner(self, cell: str, epoch: int, host: str, address: str) -> None:
        """Record the owner of a cell unless an equal or higher epoch is already known."""
        known = self.views.get(cell)
        if known is None or epoch > known.epoch:
            self.views[cell] = CellView(cell=cell, epoch=epoch, host=host, address=address)
            self.view_changed_at[cell] = trio.current_time()
            lease = self.leases.get(cell)
            if lease is not None and host != self.name and epoch > lease.epoch:
                lease.depose()
            self.send_heartbeats_now()

    def log(self, message_type: str, **fields: object) -> None:
        """Log one message with this host's name and time."""
        log_message(message_type=message_type, host=self.name, at=self.parts.clock(), **fields)
