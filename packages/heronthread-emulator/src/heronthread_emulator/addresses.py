"""The loopback addresses of one soak: a network of its own for each, claimed while it runs."""

from __future__ import annotations

import re
import socket
from dataclasses import dataclass

FRONT_PORT = 8521
READINESS_PORT = 8523
STORE_PORT = 8524
SEED_PORT = 8526
PEER_PORT = 7000
EXECUTOR_PORT = 9000
CONTROL_PORT = 8000
CLAIM_PORT = 8500
NETWORKS = range(20, 250)
EXECUTORS_FACE = 200
"""The store's face for executors and the operator, beside one for each host."""
HOSTS, EXECUTORS, LINKS = 1, 4, 100
"""Third parts of addresses; that of a host's links to others is `LINKS` and its number."""
PEERS = 130
"""Fourth part of a link to the first host."""
MOST_HOSTS = 60
MOST_EXECUTORS = 120


@dataclass(frozen=True, slots=True)
class Network:
    """The addresses of 127.N.0.0/16; hosts and executors are counted from 0."""

    number: int

    def _at(self, third: int, fourth: int, port: int) -> str:
        return f"127.{self.number}.{third}.{fourth}:{port}"

    def host_ip(self, host: int) -> str:
        """Return the IP of a host."""
        return f"127.{self.number}.{HOSTS}.{host + 1}"

    def host(self, host: int, port: int) -> str:
        """Return an address of a host."""
        return f"{self.host_ip(host)}:{port}"

    def store(self, face: int) -> str:
        """Return the store's address for one host, or `EXECUTORS_FACE`."""
        return self._at(2, face + 1, STORE_PORT)

    def store_link(self, face: int) -> str:
        """Return the proxy's address before a face of the store."""
        return self._at(3, face + 1, STORE_PORT)

    def executor(self, executor: int) -> str:
        """Return the address of an executor."""
        return self._at(EXECUTORS, executor + 1, EXECUTOR_PORT)

    def executor_link(self, host: int, executor: int) -> str:
        """Return the proxy's address between a host and an executor."""
        return self._at(LINKS + host, executor + 1, EXECUTOR_PORT)

    def peer_link(self, host: int, peer: int) -> str:
        """Return the proxy's address between two hosts."""
        return self._at(LINKS + host, PEERS + peer, PEER_PORT)

    def seed(self, host: int, peer: int) -> str:
        """Return the same as a seed for the settings."""
        return self._at(LINKS + host, PEERS + peer, SEED_PORT)

    def caller_link(self, host: int, port: int) -> str:
        """Return the proxy's address between callers and a host."""
        return self._at(6, host + 1, port)

    def control(self, standin: int) -> str:
        """Return where the soak steers a stand-in."""
        return self._at(7, standin + 1, CONTROL_PORT)

    def rewrite(self, value: bytes, host: int) -> bytes:
        """Return a value of the store with the addresses by which one host reaches others.

        A host writes down the addresses that it knows, by its own links: read by another host as
        they are, they would differ from an executor's entry, which would count as another place.
        """

        def replace(match: re.Match[bytes]) -> bytes:
            third, fourth, port = (int(part) for part in match.groups())
            if port == EXECUTOR_PORT and (third == EXECUTORS or third >= LINKS):
                return f'"{self.executor_link(host, fourth - 1)}"'.encode()
            if port == PEER_PORT and (third == HOSTS or third >= LINKS):
                other = fourth - (1 if third == HOSTS else PEERS)
                own = self.host(host, PEER_PORT)
                return f'"{own if other == host else self.peer_link(host, other)}"'.encode()
            return match[0]

        pattern = rb'"127\.%d\.(\d+)\.(\d+):(%d|%d)"' % (self.number, PEER_PORT, EXECUTOR_PORT)
        return re.sub(pattern, replace, value)


@dataclass(slots=True)
class Claim:
    """Holds a network as long as it is open: a datagram socket that receives nothing."""

    network: Network
    _socket: socket.socket

    def __enter__(self) -> Network:
        return self.network

    def __exit__(self, *_: object) -> None:
        self._socket.close()


def claim_network() -> Claim:
    """Claim a network that no other soak on this machine uses."""
    for number in NETWORKS:
        claim = socket.socket(type=socket.SOCK_DGRAM)
        try:
            claim.bind((f"127.{number}.0.1", CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        return Claim(Network(number), claim)
    raise OSError("every loopback network is in use by a soak")
