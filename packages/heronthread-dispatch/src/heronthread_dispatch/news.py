"""What hosts tell each other: their version, whether the store answers them, who owns."""

from __future__ import annotations

import base64
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from .events import log_event
from .peering import OK, News, Operation, PeerReply, call_peer, decode_news, encode_news

if TYPE_CHECKING:
    from .host import Host

NEWS_S = 1.0
OUTAGE_NEWS_S = 0.4
FRESH_S = 1.8
FORGET_S = 30.0
FAN_OUT = 2
OUTAGE_LIMIT_S = 40.0


@dataclass(frozen=True, slots=True)
class HeardNews:
    """A peer's last news and when it came (trio's clock)."""

    news: News
    at: float


class NewsExchange:
    """One host's news to its peers, and theirs to it."""

    def __init__(self, host: Host) -> None:
        self._host = host
        self.heard: dict[str, HeardNews] = {}
        self.wanted = trio.Event()

    def _forget_old(self) -> None:
        since = trio.current_time() - FORGET_S
        self.heard = {name: heard for name, heard in self.heard.items() if heard.at >= since}

    def make(self) -> News:
        """Return what this host tells of itself."""
        owner = self._host.owner_presence
        term = self._host.owner.cell.term.number if self._host.owner else 0
        return News(
            self._host.settings.name,
            self._host.settings.peer_address,
            self._host.configuration.state.version,
            self._host.store.is_answering,
            term,
            owner.host if owner else "",
        )

    def others(self) -> list[str]:
        """Return the addresses of the other hosts; the seeds while none is known."""
        self._forget_old()
        known = {a for n, a in self._host.members.items() if n != self._host.settings.name}
        known |= {h.news.address for h in self.heard.values()}
        known |= set(self._host.settings.seeds) if not known else set()
        known.discard(self._host.settings.peer_address)
        return sorted(known)

    def store_peers(self) -> list[str]:
        """Return up to two peers that said of late that they reach the store."""
        now = trio.current_time()
        good = [
            heard.news.address
            for heard in self.heard.values()
            if heard.news.store_ok and now - heard.at <= 2 * FRESH_S
        ]
        return random.sample(good, min(FAN_OUT, len(good)))

    def is_outage_agreed(self) -> bool:
        """Whether the lease could not be renewed because nobody reaches the store."""
        now = trio.current_time()
        if self._host.tenure.lease is None or self._host.store.is_answering:
            return False
        if now - self._host.tenure.last_renewed > OUTAGE_LIMIT_S:
            return False
        fresh = [heard.news for heard in self.heard.values() if now - heard.at <= FRESH_S]
        if not fresh:
            return not self.others()
        return not any(news.store_ok for news in fresh)

    async def run(self, nursery: trio.Nursery) -> None:
        """Tell some peers now and then, and all of them at once when something changed."""
        while True:
            pause = NEWS_S if self._host.store.is_answering else OUTAGE_NEWS_S
            with trio.move_on_after(pause):
                await self.wanted.wait()
            to_all = self.wanted.is_set() or not self._host.store.is_answering
            self.wanted = trio.Event()
            others = self.others()
            chosen = others if to_all else random.sample(others, min(FAN_OUT, len(others)))
            for address in chosen:
                nursery.start_soon(self._tell, address)

    async def watch_changes(self) -> None:
        """Tell all peers at once of a new configuration, and when the store comes or goes."""
        was_ok = True
        version = 0
        while True:
            with trio.move_on_after(0.2):
                await self._host.configuration.changed.wait()
            is_ok = self._host.store.is_answering
            if is_ok != was_ok:
                log_event(
                    "store.regained" if is_ok else "store.lost", host=self._host.settings.name
                )
            if is_ok != was_ok or version != self._host.configuration.state.version:
                self.wanted.set()
            was_ok, version = is_ok, self._host.configuration.state.version

    async def _tell(self, address: str) -> None:
        body = encode_news(self.make())
        reply = await call_peer(self._host.parts.peers, address, Operation.NEWS, body)
        if isinstance(reply, PeerReply) and reply.status == OK:
            await self.take(decode_news(reply.body))

    async def take(self, news: News | None) -> None:
        """Take a peer's news in, and fetch its configuration if that is newer."""
        if news is None:
            return
        self.heard[news.host] = HeardNews(news, trio.current_time())
        if news.version > self._host.configuration.state.version:
            reply = await call_peer(
                self._host.parts.peers, news.address, Operation.CONFIGURATION, {}
            )
            if isinstance(reply, PeerReply) and reply.status == OK:
                self._host.configuration.offer(base64.b64decode(reply.body["raw"]), news.host)
