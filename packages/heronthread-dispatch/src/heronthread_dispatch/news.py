"""Gossip between hosts: configuration version, store health, owner and evacuation requests."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import trio

from .clock import boot_time
from .events import RepeatedEvents, log_event
from .host_lease import MAX_EXTENSION_S
from .host_state import HostState
from .load_digest import MAX_PASSED_ON_S, MalformedDigest, decode_digest, encode_digest
from .peer_messages import (
    OK,
    News,
    Operation,
    PeerReply,
    decode_news,
    decode_packed,
    encode_news,
)
from .stall_summary import MAX_AGE_S, MalformedSummary, decode_summary, encode_summary

NEWS_S = 1.0
OUTAGE_NEWS_INTERVAL_S = 0.4
FRESH_S = 1.8
NEWS_EXPIRY_S = 30.0
FAN_OUT = 2
MAX_NOTIFIED = 8
"""Peers that are notified of a change at once; they pass it on, which bounds each host's load."""
WATCH_GRACE_S = 0.25
"""How long the store's watch may take to deliver a new version before it is fetched from a peer."""
FETCH_TRIES = 3
RETURN_SPREAD_S = 1.5
"""By how much hosts may differ in when they see the store's return."""
MAX_DESCRIBED = 12
"""Peers in one log line."""


@dataclass(frozen=True, slots=True)
class HeardNews:
    """A peer's last news and when it arrived (suspend-aware clock)."""

    news: News
    at: float


class NewsExchange:
    """Sends one host's news to its peers and receives theirs."""

    def __init__(self, host: HostState) -> None:
        self._host = host
        self.heard: dict[str, HeardNews] = {}
        self.wanted = trio.Event()
        self._is_fetching = False
        self._malformed_parts = RepeatedEvents()

    def _forget_old(self) -> None:
        since = boot_time() - NEWS_EXPIRY_S
        self.heard = {name: heard for name, heard in self.heard.items() if heard.at >= since}

    def make(self) -> News:
        """Return this host's own news."""
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
            self._host.no_orders_s,
            self._host.describe_seen_owners(),
            self._host.store.revisions.latest,
            self._host.host_lease.member_revision,
            self._host.preassignment_log.encode(),
            self._host.preassignment_log.closed,
            self._encode_load(),
            self._encode_stalls(),
            self._host.store.find_up_s(),
            *self._host.operator_keys.describe_confirmed(),
        )

    def _encode_load(self) -> dict[str, Any]:
        """Return the newest load digest with its age, empty without one."""
        known = self._host.known_load.find(boot_time())
        if known is None or known.age_s > MAX_PASSED_ON_S:
            return {}
        return encode_digest(known.digest, known.age_s)

    def _encode_stalls(self) -> dict[str, Any]:
        """Return the newest summary of stalled jobs with its age, empty without one."""
        known = self._host.find_known_stalls()
        return {} if known is None else encode_summary(known.digest, known.age_s)

    def others(self) -> list[str]:
        """Return the addresses of the known other hosts, or the seeds if there are none."""
        self._forget_old()
        members = self._host.members.items()
        known = {member.address for name, member in members if name != self._host.settings.name}
        known |= {h.news.address for h in self.heard.values()}
        known |= set(self._host.settings.seeds) if not known else set()
        known.discard(self._host.settings.peer_address)
        return sorted(known)

    def find_peer_with_store(self, asked: set[str]) -> str | None:
        """Return a peer, not yet asked, that recently reported reaching the store."""
        return self._find_peer(lambda news: news.store_ok and news.address not in asked)

    def _find_peer(self, matches: Callable[[News], bool]) -> str | None:
        """Return the address of a random peer whose recent news matches."""
        since = boot_time() - 2 * FRESH_S
        heard = [heard.news for heard in self.heard.values() if heard.at >= since]
        found = [news.address for news in heard if matches(news)]
        return random.choice(found) if found else None

    def may_be_outage(self) -> bool:
        """Whether no host may reach the store: this one does not, nor a peer that it hears.

        A partition looks the same, so this alone does not show that there is no other owner.
        """
        since_s = boot_time() - self._host.host_lease.last_renewed
        if self._host.store.is_answering or since_s > MAX_EXTENSION_S:
            return False
        own_term = self._host.owner.cell.term.number if self._host.owner else 0
        fresh = [heard.news for heard in self._list_fresh()]
        return not any(news.store_ok or news.term > own_term for news in fresh)

    def find_outage_end(self) -> float:
        """Return when the last outage of the store ended, by trio's clock.

        Infinite without one, while it goes on, and if it may have been an outage of this host's
        path alone: a peer has reached the store since before, or no peer is heard.
        """
        reached = [heard for heard in self._list_fresh() if heard.news.store_ok]
        if not reached and self.others():
            return float("inf")
        longest_s = self._host.store.find_up_s() + RETURN_SPREAD_S
        now = boot_time()
        if any(heard.news.store_up_s + now - heard.at > longest_s for heard in reached):
            return float("inf")
        return self._host.store.returned_at

    def _list_fresh(self) -> list[HeardNews]:
        """Return the news that are recent enough to act on."""
        now = boot_time()
        return [heard for heard in self.heard.values() if now - heard.at <= FRESH_S]

    def describe_fresh(self) -> list[dict[str, Any]]:
        """Describe the recent news of some peers: whether they reach the store, and their terms."""
        now = boot_time()
        return [
            {
                "host": heard.news.host,
                "store_ok": heard.news.store_ok,
                "term": heard.news.term,
                "age_s": round(now - heard.at, 3),
            }
            for heard in self._list_fresh()[:MAX_DESCRIBED]
        ]

    async def run(self, nursery: trio.Nursery) -> None:
        """Send news to a few peers periodically, and to more peers at once after a change."""
        while True:
            pause = NEWS_S if self._host.store.is_answering else OUTAGE_NEWS_INTERVAL_S
            with trio.move_on_after(pause):
                await self.wanted.wait()
            to_all = self.wanted.is_set() or not self._host.store.is_answering
            self.wanted = trio.Event()
            self._host.known_load.tick(boot_time())
            self._host.known_stalls.tick(boot_time())
            others = self.others()
            for address in self._choose_recipients(others, MAX_NOTIFIED if to_all else FAN_OUT):
                nursery.start_soon(self._send, address)

    def _choose_recipients(self, others: list[str], count: int) -> list[str]:
        """Return up to `count` random peers, those without the store first."""
        without_store = {h.news.address for h in self.heard.values() if not h.news.store_ok}
        shuffled = random.sample(others, len(others))
        return sorted(shuffled, key=lambda address: address not in without_store)[:count]

    async def watch_changes(self) -> None:
        """Notify peers at once of a new configuration or evacuation, or of changed store health."""
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

    async def _send(self, address: str) -> None:
        sent_at = boot_time()
        reply = await self._exchange(address)
        if reply is None:
            return
        news = decode_news(reply.body)
        if news is not None:
            # Only a reply's age is bounded: a request may have been under way for any time.
            self._host.operator_keys.confirm(news.confirmed_digest, sent_at - news.confirmed_s)
        await self.take(news, boot_time() - sent_at)

    async def ask(self, address: str) -> News | None:
        """Return the news of the host at an address, None if it does not answer."""
        reply = await self._exchange(address)
        return None if reply is None else decode_news(reply.body)

    async def _exchange(self, address: str) -> PeerReply | None:
        """Send this host's news to a peer, and return the reply with the peer's."""
        body = encode_news(self.make())
        reply = await self._host.ask_peer(address, Operation.NEWS, body)
        return reply if isinstance(reply, PeerReply) and reply.status == OK else None

    async def take(self, news: News | None, transit_s: float = 0.0) -> None:
        """Record a peer's news, and fetch its configuration if that is newer.

        `transit_s` is how long (s) the news may have been under way.
        """
        if news is None:
            self._host.note_malformed(Operation.NEWS, "", "malformed news")
            return
        self.heard[news.host] = HeardNews(news, boot_time())
        self._host.store.revisions.note(news.store_revision)
        self._host.preassignment_log.take(news)
        self._host.evacuations.merge_encoded(news.evacuations, news.host)
        self._take_load(news, transit_s)
        self._take_stalls(news, transit_s)
        if news.version > self._host.configuration.state.version:
            await self._fetch_configuration()

    def _take_load(self, news: News, transit_s: float) -> None:
        """Keep a peer's load digest if it is newer; drop a malformed one."""
        if not news.load:
            return
        found = decode_digest(news.load)
        if isinstance(found, MalformedDigest):
            self._malformed_parts.log(
                "load.malformed", (news.host,), host=news.host, error=found.reason
            )
            return
        digest, age_s = found
        self._host.known_load.offer(digest, age_s + transit_s, boot_time())

    def _take_stalls(self, news: News, transit_s: float) -> None:
        """Keep and log a peer's summary of stalled jobs if it is newer; drop a malformed one."""
        if not news.stalls:
            return
        found = decode_summary(news.stalls)
        if isinstance(found, MalformedSummary):
            self._malformed_parts.log(
                "stalls.malformed", (news.host,), host=news.host, error=found.reason
            )
            return
        summary, age_s = found[0], found[1] + transit_s
        if age_s <= MAX_AGE_S and self._host.known_stalls.offer(summary, age_s, boot_time()):
            self._host.stalls.report_summary(summary, age_s)

    async def _fetch_configuration(self) -> None:
        """Fetch a peer's newer configuration unless the store's watch delivers it first.

        Only one transfer runs at a time, as many peers announce a new version at once and parallel
        transfers would saturate the link of a small host.
        """
        if self._is_fetching:
            return
        self._is_fetching = True
        try:
            if self._host.store.is_answering:
                await trio.sleep(WATCH_GRACE_S)
            for _ in range(FETCH_TRIES):
                address = self._find_newer_peer()
                if address is None or await self._fetch_from(address):
                    return
        finally:
            self._is_fetching = False

    def _find_newer_peer(self) -> str | None:
        """Return a peer that recently reported a newer version than this host's."""
        version = self._host.configuration.state.version
        return self._find_peer(lambda news: news.version > version)

    async def _fetch_from(self, address: str) -> bool:
        """Fetch a peer's version; return whether a newer version is then in force."""
        before = self._host.configuration.state.version
        reply = await self._host.ask_peer(address, Operation.CONFIGURATION, {})
        if isinstance(reply, PeerReply) and reply.status == OK and "packed" in reply.body:
            packed = decode_packed(reply.body["packed"])
            if packed is None:
                log_event("config.invalid", source=address, error="invalid base64")
            else:
                self._host.configuration.offer_packed(packed, address)
        return self._host.configuration.state.version > before
