"""Whole entry hosts in one trio run, on the stand-ins, with faults between all of them."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import trio
from eliot import log_message
from heronthread_coordination import Member, Store, Unavailable, Unknown
from heronthread_coordination.memory import MemoryStore
from heronthread_coordination.store import Entry, ReadOutcome, WriteOutcome
from heronthread_daemon import Host, HostParts, Settings
from heronthread_daemon.api import make_app
from heronthread_daemon.host_list import StandinHostList
from heronthread_daemon.settings import TimesModel
from heronthread_daemon.standin import make_standin_workers
from heronthread_daemon.worker import Exchange, ExchangeOutcome, Unreachable, WorkerReply
from heronthread_dispatch.peer import LENGTH_BYTES, PeerUnreachable, decode, encode
from heronthread_dispatch.wire.ttypes import Frame
from heronthread_scheduling import DesiredState

EPOCH = 1_900_000_000.0
PEER_DELAY_S = 0.0005
WORKER_DELAY_S = 0.001


def mock_clock() -> float:
    """Return seconds since the epoch on trio's clock, equal on all hosts."""
    return EPOCH + trio.current_time()


@dataclass(slots=True)
class Network:
    """What is wrong between hosts, workers and the store at present."""

    source: random.Random
    paused_until: dict[str, float] = field(default_factory=dict)
    cut: set[tuple[str, str]] = field(default_factory=set)
    store_cut: set[str] = field(default_factory=set)
    jitter_s: float = 0.0
    duplicate: float = 0.0
    lose_replies: float = 0.0

    async def pause_of(self, host: str) -> None:
        """Hold back a call of a paused host until it wakes: its checks are then stale."""
        until = self.paused_until.get(host, 0.0)
        if trio.current_time() < until:
            await trio.sleep_until(until)

    async def delay(self, base_s: float) -> None:
        """Sleep for the base delay and, with jitter, for more."""
        await trio.sleep(base_s + self.source.random() * self.jitter_s)


class HostStore:
    """The store as one host reaches it."""

    def __init__(self, store: MemoryStore, network: Network, host: str) -> None:
        self._store: Store = store
        self._network = network
        self._host = host

    async def read(self, key: str) -> ReadOutcome:
        """Return the key's entry."""
        if await self._fails():
            return Unavailable("cut off from the store")
        return await self._store.read(key)

    async def read_range(self, prefix: str, after: str = "") -> list[Entry] | Unavailable:
        """Return the entries under a prefix."""
        if await self._fails():
            return Unavailable("cut off from the store")
        return await self._store.read_range(prefix, after)

    async def write(self, key: str, value: bytes, *, expect: int) -> WriteOutcome:
        """Write by compare-and-swap; the answer may be lost to a cut that begins meanwhile."""
        if await self._fails():
            return Unavailable("cut off from the store")
        outcome = await self._store.write(key, value, expect=expect)
        if self._host in self._network.store_cut:
            return Unknown("cut off while the write was under way")
        return outcome

    async def delete(self, key: str) -> WriteOutcome:
        """Remove a key."""
        if await self._fails():
            return Unavailable("cut off from the store")
        return await self._store.delete(key)

    async def watch(self, key: str, *, revision: int, wait_s: float) -> ReadOutcome:
        """Wait for a change of a key."""
        if await self._fails():
            return Unavailable("cut off from the store")
        return await self._store.watch(key, revision=revision, wait_s=wait_s)

    async def _fails(self) -> bool:
        await self._network.pause_of(self._host)
        return self._host in self._network.store_cut


class HostWorkers:
    """The workers as one host reaches them: late, lost, duplicated and reordered calls."""

    def __init__(self, cluster: Cluster, host: str) -> None:
        self._cluster = cluster
        self._host = host

    async def exchange(self, worker: str, exchange: Exchange) -> ExchangeOutcome:
        """Make one call to a worker."""
        network = self._cluster.network
        await network.pause_of(self._host)
        await network.delay(WORKER_DELAY_S)
        if network.duplicate and network.source.random() < network.duplicate:
            repeated = Exchange(exchange.cell, exchange.epoch, exchange.commands)
            self._cluster.nursery.start_soon(self._deliver_late, worker, repeated)
        outcome = await self._cluster.workers.exchange(worker, exchange)
        await network.delay(WORKER_DELAY_S)
        await network.pause_of(self._host)
        lost = network.lose_replies and network.source.random() < network.lose_replies
        if lost and isinstance(outcome, WorkerReply):
            await trio.sleep(3.0)
            return Unreachable("the reply was lost")
        return outcome

    async def _deliver_late(self, worker: str, exchange: Exchange) -> None:
        await trio.sleep(self._cluster.network.source.random() * 2.0)
        await self._cluster.workers.exchange(worker, exchange)


class HostPeers:
    """The other hosts as one host reaches them."""

    def __init__(self, cluster: Cluster, host: str) -> None:
        self._cluster = cluster
        self._host = host

    async def call(self, address: str, frame: Frame, timeout_s: float) -> Frame | PeerUnreachable:
        """Send one request, through the same encoding as over TCP."""
        network = self._cluster.network
        name = address
        self._count(encode(frame))
        await network.pause_of(self._host)
        target = self._cluster.hosts.get(name)
        if target is None:
            return PeerUnreachable(f"{name} refuses connections", refused=True)
        with trio.move_on_after(timeout_s):
            if (self._host, name) in network.cut:
                await trio.sleep_forever()
            await network.delay(PEER_DELAY_S)
            await network.pause_of(name)
            reply = await self._handle(target, decode(encode(frame)))
            if (name, self._host) in network.cut:
                await trio.sleep_forever()
            if reply is None:
                return PeerUnreachable(f"{name}: the connection broke")
            await network.delay(PEER_DELAY_S)
            self._count(encode(reply))
            return decode(encode(reply))
        return PeerUnreachable(f"{name}: no answer in {timeout_s:g} s")

    def _count(self, data: bytes) -> None:
        """Count bytes sent and received for the calling host, with each frame's header."""
        counts = self._cluster.peer_bytes
        counts[self._host] = counts.get(self._host, 0) + len(data) + LENGTH_BYTES

    @staticmethod
    async def _handle(target: RunningHost, frame: Frame) -> Frame | None:
        """Let the target answer; what it was doing ends when the target ends."""
        reply: Frame | None = None
        async with trio.open_nursery() as nursery:

            async def end_with_target() -> None:
                await target.stopped.wait()
                nursery.cancel_scope.cancel()

            nursery.start_soon(end_with_target)
            reply = await target.host.handle(frame)
            nursery.cancel_scope.cancel()
        return reply


@dataclass(slots=True)
class RunningHost:
    """A host of the cluster with its application and the scope that kills it."""

    host: Host
    app: object
    scope: trio.CancelScope
    stopped: trio.Event = field(default_factory=trio.Event)


class Cluster:
    """Hosts, stand-ins and the network between them."""

    def __init__(
        self, state: DesiredState, nursery: trio.Nursery, seed: int, names: list[str]
    ) -> None:
        self.state = state
        self.nursery = nursery
        self.source = random.Random(seed)
        self.network = Network(random.Random(seed + 1))
        self.store = MemoryStore()
        self.workers = make_standin_workers(state)
        self.host_list = StandinHostList()
        self.names = names
        self.hosts: dict[str, RunningHost] = {}
        self.peer_bytes: dict[str, int] = {}
        self.update_list()

    def update_list(self, leaving: tuple[str, ...] = ()) -> None:
        """Publish the hosts; a killed one stays listed, as the platform's list lags."""
        members = tuple(Member(n, n, "r", "d", leaving=n in leaving) for n in self.names)
        self.host_list.set_hosts(members)

    def start(self, name: str) -> None:
        """Start a host with nothing in memory."""
        settings = Settings(
            host=name,
            region="r",
            domain="d",
            http_address="127.0.0.1:1",
            peer_address="127.0.0.1:1",
            store_url="none",
            platform_url="none",
            times=TimesModel(task_lease_s=15.0, worker_poll_s=3.0, drain_deadline_s=30.0),
        )
        settings = settings.model_copy(update={"peer_address": name})
        parts = HostParts(
            HostStore(self.store, self.network, name),
            HostWorkers(self, name),
            self.host_list,
            HostPeers(self, name),
            mock_clock,
            random.Random(f"{name}{self.source.random()}"),
        )
        host = Host(settings, parts)
        running = RunningHost(host, make_app(host), trio.CancelScope())
        self.hosts[name] = running
        self.nursery.start_soon(self._run, name, running)

    async def _run(self, name: str, running: RunningHost) -> None:
        log_message(message_type="host.started", host=name, at=mock_clock())
        with running.scope:
            await running.host.run()
        if self.hosts.get(name) is running:
            del self.hosts[name]
        running.stopped.set()
        log_message(message_type="host.ended", host=name, at=mock_clock())

    def kill(self, name: str) -> None:
        """Kill a host: nothing of it runs any more, and it cleans nothing up."""
        running = self.hosts.pop(name, None)
        if running is not None:
            log_message(message_type="fault.host_killed", host=name, at=mock_clock())
            running.scope.cancel()

    def owner(self, cell: str) -> str | None:
        """Return the host that owns a cell at present."""
        for name, running in sorted(self.hosts.items()):
            if cell in running.host.owners:
                return name
        return None

    def start_later(self, name: str, delay_s: float) -> None:
        """Start a host again after a while."""
        self.nursery.start_soon(self._start_after, name, delay_s)

    async def _start_after(self, name: str, delay_s: float) -> None:
        await trio.sleep(delay_s)
        if name not in self.hosts:
            self.start(name)
