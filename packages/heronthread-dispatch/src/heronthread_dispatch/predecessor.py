"""Finds out since when no earlier owner has sent orders to executors.

A new owner has to assume that leases were renewed until its term began. The host of the owner
before it knows better: a new process at that address proves that the earlier one is gone, and a
process that was deposed knows when it stopped.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass

import trio

from .host_lease import HostRecord, Term
from .peer_messages import News

AskNews = Callable[[str], Awaitable[News | None]]


@dataclass(frozen=True, slots=True)
class SeenOwner:
    """An owner, the revision at which its term began, and when this host first saw it (trio)."""

    host_record: HostRecord
    revision: int
    seen_at: float


class Predecessor:
    """The owner before a term, among those that this host has `seen`.

    `own_no_orders_s` is for how long (s) this host itself had sent no orders as the term began.
    `peers` are the addresses of hosts that may have seen the predecessor's term begin.
    """

    def __init__(
        self,
        seen: Collection[SeenOwner],
        own: HostRecord,
        own_no_orders_s: float,
        peers: Collection[str],
        ask_news: AskNews,
    ) -> None:
        self._seen = {owner.revision: owner for owner in seen}
        self._own = own
        self._own_no_orders_since = trio.current_time() - own_no_orders_s
        self._peers = peers
        self._ask_news = ask_news

    async def find_end_of_orders(self, term: Term, stale_owner_s: float) -> float | None:
        """Return until when earlier owners may have sent orders (trio's clock), None if unknown.

        The owner before the predecessor may have sent some for `stale_owner_s` after the
        predecessor's term began.
        """
        owner = self._seen.get(term.previous_revision)
        if owner is None:
            return None
        ended_at = await self._ask_when_ended(owner.host_record)
        if ended_at is None:
            return None
        began_at = await self._ask_when_begun(owner)
        return max(ended_at, began_at + stale_owner_s)

    async def _ask_when_ended(self, owner: HostRecord) -> float | None:
        """Return since when no process at the predecessor's address has sent orders."""
        if (owner.host, owner.address) == (self._own.host, self._own.address):
            return self._own_no_orders_since
        news = await self._ask_news(owner.address)
        if news is None or news.host != owner.host or not news.no_orders_s:
            return None
        return trio.current_time() - news.no_orders_s

    async def _ask_when_begun(self, owner: SeenOwner) -> float:
        """Return the earliest time at which any host saw the predecessor's term."""
        seen_at = [owner.seen_at]

        async def ask(address: str) -> None:
            news = await self._ask_news(address)
            if news is not None and str(owner.revision) in news.owners_seen_s:
                seen_at.append(trio.current_time() - news.owners_seen_s[str(owner.revision)])

        async with trio.open_nursery() as nursery:
            for address in self._peers:
                nursery.start_soon(ask, address)
        return min(seen_at)
