"""What hosts tell each other: their version, whether the store answers them, who owns."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import trio
from heronthread_coordination import is_store_down_for_all

from .clock import lasting_time
from .events import log_event
from .host_state import HostState
from .peering import (
    OK,
    News,
    Operation,
    PeerReply,
    decode_news,
    decode_packed,
    encode_news,
)

NEWS_S = 1.0
OUTAGE_NEWS_S = 0.4
FRESH_S = 1.8
FORGET_S = 30.0
FAN_OUT = 2
MOST_TOLD = 8
"""Peers told at once of a change. All of them, told by each of many hosts, would load each with
as many calls as there are hosts; those that are told tell others."""
STORE_FIRST_S = 0.25
"""A watch of the store brings a new version within some tens of milliseconds."""
FETCH_TRIES = 3
OUTAGE_LIMIT_S = 40.0


@dataclass(frozen=True, slots=True)
class HeardNews:
    """A peer's last news and when it came (trio's clock)."""

    news: News
    at: float


class NewsExchange:
    """One host's news to its peers, and theirs to it."""

    def __init__(self, host: HostState) -> None:
        self._host = host
        self.heard: dict[str, HeardNews] = {}
        self.wanted = trio.Event()
        self._is_fetching = False

    def _forget_old(self) -> None:
        since = lasting_time() - FORGET_S
        self.heard = {name: heard for name, heard in self.heard.items() if heard.at >= since}

    def make(self) -> News:
        """Return what this host tells of itself."""
        owner = self._host.known_owner
        term = self._host.owner.cell.term.number if self._host.owner else 0
        return News(
            self._host.settings.name,
            self._host.settings.peer_address,
            self._host.configuration.state.version,
            self._host.store.is_answering,
            term,
            owner.host if owner else "",
            self._host.evacuations.encode(),
        )

    def others(self) -> list[str]:
        """Return the addresses of the other hosts; the seeds while none is known."""
        self._forget_old()
        members = self._host.members.items()
        known = {member.address for name, member in members if name != self._host.settings.name}
        known |= {h.news.address for h in self.heard.values()}
        known |= set(self._host.settings.seeds) if not known else set()
        known.discard(self._host.settings.peer_address)
        return sorted(known)

    def find_store_peer(self, asked: set[str]) -> str | None:
        """Return some peer, not yet asked, that said of late that it reaches the store."""
        return self._find_peer(lambda news: news.store_ok and news.address not in asked)

    def _find_peer(self, is_meant: Callable[[News], bool]) -> str | None:
        """Return the address of some peer whose news of late are meant."""
        since = lasting_time() - 2 * FRESH_S
        heard = [heard.news for heard in self.heard.values() if heard.at >= since]
        found = [news.address for news in heard if is_meant(news)]
        return random.choice(found) if found else None

    def is_outage_agreed(self) -> bool:
        """Whether the lease could not be renewed because nobody reaches the store."""
        now = lasting_time()
        if self._host.tenure.lease is None or self._host.store.is_answering:
            return False
        if now - self._host.tenure.last_renewed > OUTAGE_LIMIT_S:
            return False
        fresh = [heard.news for heard in self.heard.values() if now - heard.at <= FRESH_S]
        own_term = self._host.owner.cell.term.number if self._host.owner else 0
        if any(news.term > own_term for news in fresh):
            return False
        says = [news.store_ok for news in fresh]
        return is_store_down_for_all(says, has_peers=bool(self.others()))

    async def run(self, nursery: trio.Nursery) -> None:
        """Tell some peers now and then, and more of them at once when something changed."""
        while True:
            pause = NEWS_S if self._host.store.is_answering else OUTAGE_NEWS_S
            with trio.move_on_after(pause):
                await self.wanted.wait()
            to_all = self.wanted.is_set() or not self._host.store.is_answering
            self.wanted = trio.Event()
            others = self.others()
            for address in self._choose_told(others, MOST_TOLD if to_all else FAN_OUT):
                nursery.start_soon(self._tell, address)

    def _choose_told(self, others: list[str], count: int) -> list[str]:
        """Return `count` peers; of many, those that lack the store first."""
        without = {h.news.address for h in self.heard.values() if not h.news.store_ok}
        shuffled = random.sample(others, len(others))
        return sorted(shuffled, key=lambda address: address not in without)[:count]

    async def watch_changes(self) -> None:
        """Tell peers at once of a new configuration or evacuation, and of the store's absence."""
        was_ok = True
        version = 0
        domains: frozenset[str] = frozenset()
        while True:
            with trio.move_on_after(0.2):
                await self._host.configuration.changed.wait()
            is_ok = self._host.store.is_answering
            if is_ok != was_ok:
                log_event(
                    "store.regained" if is_ok else "store.lost", host=self._host.settings.name
                )
            is_new = version != self._host.configuration.state.version
            if is_new or is_ok != was_ok or domains != self._host.evacuations.domains:
                self.wanted.set()
            was_ok, version = is_ok, self._host.configuration.state.version
            domains = self._host.evacuations.domains

    async def _tell(self, address: str) -> None:
        body = encode_news(self.make())
        reply = await self._host.ask_peer(address, Operation.NEWS, body)
        if isinstance(reply, PeerReply) and reply.status == OK:
            await self.take(decode_news(reply.body))

    async def take(self, news: News | None) -> None:
        """Take a peer's news in, and fetch its configuration if that is newer."""
        if news is None:
            self._host.note_malformed(Operation.NEWS, "", "it is no news")
            return
        self.heard[news.host] = HeardNews(news, lasting_time())
        self._host.evacuations.merge_encoded(news.evacuations, news.host)
        if news.version > self._host.configuration.state.version:
            await self._fetch_configuration()

    async def _fetch_configuration(self) -> None:
        """Fetch a peer's newer configuration, unless it comes another way.

        One transfer at a time: each host that has a new version says so to many, and a
        transfer from each would fill the link of a small host for seconds. While the store
        answers this host, its watch is given `STORE_FIRST_S` to bring the version.
        """
        if self._is_fetching:
            return
        self._is_fetching = True
        try:
            if self._host.store.is_answering:
                await trio.sleep(STORE_FIRST_S)
            for _ in range(FETCH_TRIES):
                address = self._newer_peer()
                if address is None or await self._fetch_from(address):
                    return
        finally:
            self._is_fetching = False

    def _newer_peer(self) -> str | None:
        """Return some peer that said of late that it has a newer version than this host."""
        version = self._host.configuration.state.version
        return self._find_peer(lambda news: news.version > version)

    async def _fetch_from(self, address: str) -> bool:
        """Fetch a peer's version; whether it, or a newer one, is in force then."""
        before = self._host.configuration.state.version
        reply = await self._host.ask_peer(address, Operation.CONFIGURATION, {})
        if isinstance(reply, PeerReply) and reply.status == OK and "packed" in reply.body:
            packed = decode_packed(reply.body["packed"])
            if packed is None:
                log_event("config.invalid", source=address, error="it is not in base64")
            else:
                self._host.configuration.offer_packed(packed, address)
        return self._host.configuration.state.version > before
