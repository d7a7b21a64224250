"""The entry balancer's choice: each new connection goes to a host that calls itself ready."""

from __future__ import annotations

import random

import trio
from heronthread_dispatch.http_client import HttpClient, Reply

from . import spelling
from .addresses import FRONT_PORT, READINESS_PORT, Network

PROBE_S = 1.0
MISSES = 2


class Balancer:
    """Asks every host once a second; one that misses twice gets no new connections."""

    def __init__(self, network: Network, seed: int) -> None:
        self._network = network
        self._random = random.Random(f"balancer {seed}")
        self._misses: dict[int, int] = {}
        self._client = HttpClient()

    def set_hosts(self, hosts: list[int]) -> None:
        """Take in which hosts there are; a new one is out until it answers."""
        self._misses = {host: self._misses.get(host, MISSES) for host in hosts}

    def list_hosts(self) -> list[int]:
        """Return all hosts, ready or not."""
        return sorted(self._misses)

    def choose(self) -> int | None:
        """Return the host for a new connection; any one while none is ready."""
        ready = [host for host, misses in sorted(self._misses.items()) if misses < MISSES]
        hosts = ready or self.list_hosts()
        return self._random.choice(hosts) if hosts else None

    def find_address(self, host: int) -> str:
        """Return where callers reach a host."""
        return self._network.caller_link(host, FRONT_PORT)

    async def run(self) -> None:
        """Probe until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for host in self._misses:
                    nursery.start_soon(self._probe, host)
                await trio.sleep(PROBE_S)

    async def _probe(self, host: int) -> None:
        address = self._network.caller_link(host, READINESS_PORT)
        reply = await self._client.call(address, "GET", spelling.READY_PATH, timeout_s=PROBE_S)
        is_ready = isinstance(reply, Reply) and reply.status == 200
        if host in self._misses:
            self._misses[host] = 0 if is_ready else self._misses[host] + 1
