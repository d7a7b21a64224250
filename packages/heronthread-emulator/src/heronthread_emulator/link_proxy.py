"""A loopback proxy of raw connections with faults by link, as a process.

A link is named `FROM>TO`: `h0>store`, `h0>e3`, `h0>h1`, `callers>h0`, `executors>store`.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from fnmatch import fnmatchcase
from typing import Any

import trio

from .addresses import EXECUTORS_FACE, FRONT_PORT, PEER_PORT, READINESS_PORT, Network
from .http_server import BACKLOG, reset
from .sight import Sight
from .standin import StandinSettings, run_standin, serve_commands

RECEIVE_BYTES = 65_536
SLOW_PIECE_BYTES = 1_024
LOOK_S = 0.05


@dataclass(frozen=True, slots=True)
class LinkFaults:
    """What a link does to bytes and to new connections.

    `cut` names the ways whose bytes are held up until the cut is over, as TCP does that sends
    again: `out` (as FROM sends), `back`, or both. `bytes_per_s` of 0 is no limit.
    """

    delay_s: float = 0.0
    bytes_per_s: float = 0.0
    cut: tuple[str, ...] = ()


@dataclass(slots=True, eq=False)
class _Connection:
    near: trio.SocketStream
    far: trio.SocketStream | None = None
    is_silent: bool = False


@dataclass(slots=True, eq=False)
class Link:
    """One way from one process to another, and its open connections."""

    name: str
    listen: str
    target: str
    faults: LinkFaults = LinkFaults()
    is_refused: bool = False
    """Whether nothing listens there, so that new connections are refused; open ones go on."""
    connections: set[_Connection] = field(default_factory=set)
    listening: trio.CancelScope = field(default_factory=trio.CancelScope)
    is_listening: bool = False


class LinkProxy:
    """All links of a site."""

    def __init__(self, links: Iterator[Link], seed: int) -> None:
        self.links = list(links)
        self.random = random.Random(f"links {seed}")

    async def serve(
        self, link: Link, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve one link until cancelled."""
        is_started = False
        async with trio.open_nursery() as carrying:
            while True:
                listeners = await _listen(link)
                link.is_listening = True
                if not is_started:
                    task_status.started()
                is_started = True
                with trio.CancelScope() as link.listening:
                    await self._accept(link, listeners, carrying)
                link.is_listening = False
                while link.is_refused:
                    await trio.sleep(LOOK_S)

    async def _accept(
        self, link: Link, listeners: list[trio.SocketListener], carrying: trio.Nursery
    ) -> None:
        """Accept connections until nothing is to listen any more; those that are open go on."""

        async def serve_one(near: trio.SocketStream) -> None:
            await self._carry(link, near)

        await trio.serve_listeners(serve_one, listeners, handler_nursery=carrying)

    async def _carry(self, link: Link, near: trio.SocketStream) -> None:
        connection = _Connection(near)
        link.connections.add(connection)
        try:
            while link.faults.cut:
                await trio.sleep(LOOK_S)  # as an opening packet that is sent again
            ip, _, port = link.target.rpartition(":")
            far = connection.far = await trio.open_tcp_stream(ip, int(port))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, link, connection, near, far, "out")
                nursery.start_soon(self._pump, link, connection, far, near, "back")
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # either side ended; the other one is reset
        finally:
            link.connections.discard(connection)
            reset(near)
            if connection.far is not None:
                reset(connection.far)

    async def _pump(
        self,
        link: Link,
        connection: _Connection,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        way: str,
    ) -> None:
        while True:
            data = await source.receive_some(RECEIVE_BYTES)
            while way in link.faults.cut and not connection.is_silent:
                await trio.sleep(LOOK_S)
            if connection.is_silent:
                await trio.sleep_forever()  # neither what came nor its end is passed on
            if not data:
                await sink.send_eof()
                return
            await self._send(link, sink, data)

    async def _send(self, link: Link, sink: trio.SocketStream, data: bytes) -> None:
        faults = link.faults
        if faults.delay_s:
            await trio.sleep(faults.delay_s * self.random.uniform(0.5, 1.0))
        if not faults.bytes_per_s:
            await sink.send_all(data)
            return
        for start in range(0, len(data), SLOW_PIECE_BYTES):
            piece = data[start : start + SLOW_PIECE_BYTES]
            await trio.sleep(len(piece) / faults.bytes_per_s)
            await sink.send_all(piece)

    # Steering

    def _match(self, patterns: list[str]) -> Iterator[Link]:
        for link in self.links:
            if any(fnmatchcase(link.name, pattern) for pattern in patterns):
                yield link

    async def set_faults(self, values: dict[str, Any]) -> None:
        """Set faults of the links that match any pattern."""
        changes = dict(values["set"])
        if "cut" in changes:
            changes["cut"] = tuple(changes["cut"])
        for link in self._match(values["links"]):
            link.faults = replace(link.faults, **changes)

    async def silence(self, values: dict[str, Any]) -> int:
        """Let the connections that are open now say nothing more, for good; new ones work."""
        count = 0
        for link in self._match(values["links"]):
            for connection in link.connections:
                connection.is_silent = True
                count += 1
        return count

    async def reset(self, values: dict[str, Any]) -> int:
        """Reset the connections that are open now."""
        count = 0
        for link in self._match(values["links"]):
            for connection in list(link.connections):
                reset(connection.near)
                if connection.far is not None:
                    reset(connection.far)
                count += 1
        return count

    async def refuse(self, values: dict[str, Any]) -> None:
        """Refuse new connections, or take them again, as where a process is gone or a cut says no.

        Ending every fault of links leaves that as it is.
        """
        links = list(self._match(values["links"]))
        for link in links:
            link.is_refused = values["refuses"]
            if link.is_refused:
                link.listening.cancel()
        while any(link.is_listening == link.is_refused for link in links):
            await trio.sleep(LOOK_S)

    async def mend(self, values: dict[str, Any]) -> None:
        """End every fault of links; connections that went silent stay so."""
        for link in self.links:
            link.faults = LinkFaults()


async def _listen(link: Link) -> list[trio.SocketListener]:
    ip, _, port = link.listen.rpartition(":")
    return await trio.open_tcp_listeners(int(port), host=ip, backlog=BACKLOG)


def list_links(network: Network, hosts: int, executors: int) -> Iterator[Link]:
    """Yield every link of a site."""
    for host in range(hosts):
        yield Link(f"h{host}>store", network.store_link(host), network.store(host))
        for executor in range(executors):
            listen = network.executor_link(host, executor)
            yield Link(f"h{host}>e{executor}", listen, network.executor(executor))
        for peer in range(hosts):
            if peer != host:
                listen = network.peer_link(host, peer)
                yield Link(f"h{host}>h{peer}", listen, network.host(peer, PEER_PORT))
        for port in (FRONT_PORT, READINESS_PORT):
            listen = network.caller_link(host, port)
            yield Link(f"callers>h{host}", listen, network.host(host, port))
    face = EXECUTORS_FACE
    yield Link("executors>store", network.store_link(face), network.store(face))


async def play(settings: StandinSettings, sight: Sight, nursery: trio.Nursery) -> None:
    """Serve all links, then the steering."""
    most = settings.more["most_executors"]
    proxy = LinkProxy(list_links(settings.network, settings.hosts, most), settings.seed)
    for link in proxy.links:
        await nursery.start(proxy.serve, link)
    commands = {
        "faults": proxy.set_faults,
        "silence": proxy.silence,
        "reset": proxy.reset,
        "refuse": proxy.refuse,
        "mend": proxy.mend,
    }
    await nursery.start(serve_commands, settings.control, commands)


if __name__ == "__main__":
    run_standin("links", play)
