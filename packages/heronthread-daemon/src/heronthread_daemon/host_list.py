"""The platform's list of hosts and leaving workers, and the adapters that fetch it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

import httpx
from heronthread_coordination import Member, Unavailable
from pydantic import TypeAdapter, ValidationError


@dataclass(frozen=True, slots=True)
class HostListing:
    """One version of the list: the entry hosts and the workers that are leaving."""

    version: int
    hosts: tuple[Member, ...] = ()
    leaving_workers: tuple[str, ...] = ()


class HostList(Protocol):
    """The interface through which a host discovers its peers."""

    async def fetch(self) -> HostListing | Unavailable:
        """Return the platform's current list, which may be stale."""


_LISTING: TypeAdapter[HostListing] = TypeAdapter(HostListing)


class HttpHostList:
    """A host list fetched over HTTP with `GET {url}/hosts`."""

    def __init__(self, url: str, client: httpx.AsyncClient) -> None:
        self._url = url
        self._client = client

    async def fetch(self) -> HostListing | Unavailable:
        """Return the list."""
        try:
            response = await self._client.get(f"{self._url}/hosts")
            response.raise_for_status()
            return _LISTING.validate_json(response.content)
        except (httpx.HTTPError, ValidationError) as error:
            return Unavailable(f"host list: {type(error).__name__}")


@dataclass(slots=True)
class StandinHostList:
    """An in-memory host list for tests, also served over HTTP by `standin`."""

    listing: HostListing = field(default_factory=lambda: HostListing(1))
    down: bool = False

    async def fetch(self) -> HostListing | Unavailable:
        """Return the list."""
        return Unavailable("the host list is down") if self.down else self.listing

    def set_hosts(self, hosts: tuple[Member, ...]) -> None:
        """Replace the hosts."""
        old = self.listing
        self.listing = HostListing(old.version + 1, hosts, old.leaving_workers)

    def set_leaving_workers(self, names: tuple[str, ...]) -> None:
        """Replace the workers that are leaving."""
        old = self.listing
        self.listing = HostListing(old.version + 1, old.hosts, names)
