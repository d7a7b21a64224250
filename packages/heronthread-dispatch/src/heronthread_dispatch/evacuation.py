"""Which failure domains are to take no new work: what operators asked, as this host believes it.

An ask is a key in the store: the domain is evacuated while the key is there. The key's revision
orders what the store, its watch and peers say, so that no older news undo newer ones.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import trio

from .events import log_event
from .keystore import Gone, Item, Listing

COMMANDED_PREFIX = "cell/0/evacuate/"
"""Asks made by `heronthread evacuate`; the platform's operators write under a prefix of theirs."""
LONGEST_DOMAIN = 100
"""Characters in the name of a domain."""
MOST_TAKEN_BACK = 32
"""Asks remembered after they were taken back, so that peers without the store hear of it."""

Told = dict[str, list[Any]]
"""What hosts tell each other: for each key its revision, and whether it is there."""


@dataclass(frozen=True, slots=True)
class Ask:
    """One key as it was last seen, and when this host learned of it (trio's clock)."""

    revision: int
    is_there: bool
    known_at: float


def describe_bad_domain(domain: object) -> str | None:
    """Return what is wrong with a domain's name, None if nothing is."""
    if not isinstance(domain, str):
        return "the name of a domain is a text"
    if not domain:
        return "the name of the domain is missing"
    if len(domain) > LONGEST_DOMAIN:
        return f"the name of a domain has {LONGEST_DOMAIN} characters at most"
    if "/" in domain or any(c.isspace() or not c.isprintable() for c in domain):
        return "the name of a domain has no blanks, slashes or control characters"
    return None


@dataclass(slots=True)
class Evacuations:
    """What one host believes; `domains` are those that take no new work.

    `operators_prefix` is where the platform's operators ask; empty where they can't. `read_to`
    is the revision up to which the store itself has told what stands under a prefix.
    """

    operators_prefix: str = ""
    asks: dict[str, Ask] = field(default_factory=dict)
    read_to: dict[str, int] = field(default_factory=dict)
    domains: frozenset[str] = frozenset()
    changed: trio.Event = field(default_factory=trio.Event)

    @property
    def prefixes(self) -> tuple[str, ...]:
        """Where asks stand in the store."""
        found = (self.operators_prefix, COMMANDED_PREFIX)
        return tuple(prefix for prefix in found if prefix)

    def find_prefix(self, key: str) -> str | None:
        """Return the prefix under which a key asks for something, None if it is no such key."""
        for prefix in self.prefixes:
            if key.startswith(prefix):
                return prefix
        return None

    def find_domain(self, key: str) -> str | None:
        """Return the domain that a key asks to evacuate, None if it is no such key."""
        prefix = self.find_prefix(key)
        return None if prefix is None else key.removeprefix(prefix)

    def is_asked(self, key: str) -> bool:
        """Whether a key was there when it was last seen."""
        ask = self.asks.get(key)
        return ask is not None and ask.is_there

    def describe_askers(self, domain: str) -> list[str]:
        """Return who asks to evacuate a domain."""
        askers = {"operator": self.operators_prefix, "command": COMMANDED_PREFIX}
        return [who for who, prefix in askers.items() if prefix and self.is_asked(prefix + domain)]

    def find_age_s(self, domain: str) -> float | None:
        """Return for how long this host has known that a domain is to be evacuated."""
        keys = [prefix + domain for prefix in self.prefixes if self.is_asked(prefix + domain)]
        if not keys:
            return None
        since = min(self.asks[key].known_at for key in keys)
        return round(trio.current_time() - since, 1)

    def take_listing(self, listing: Listing, prefixes: tuple[str, ...]) -> None:
        """Take in everything that stands under some prefixes as of the listing's revision."""
        there = {item.key for item in listing.items}
        for item in listing.items:
            self._take(item.key, item.revision, True, "store")
        for key in list(self.asks):
            if key not in there and self.find_prefix(key) in prefixes:
                self._take(key, listing.at, False, "store")
        for prefix in prefixes:
            self._note_read(prefix, listing.at)
        self._settle("store")

    def take(self, event: Item | Gone) -> None:
        """Take in one change that the store tells of."""
        prefix = self.find_prefix(event.key)
        if prefix is None:
            return
        self._take(event.key, event.revision, isinstance(event, Item), "store")
        self._note_read(prefix, event.revision)
        self._settle("store")

    def note_written(self, key: str, revision: int, is_there: bool) -> None:
        """Take in what this host has written itself."""
        self._take(key, revision, is_there, "command")
        self._settle("command")

    def _note_read(self, prefix: str, revision: int) -> None:
        self.read_to[prefix] = max(revision, self.read_to.get(prefix, 0))

    def tell(self) -> Told:
        """Return what peers are told."""
        return {key: [ask.revision, ask.is_there] for key, ask in self.asks.items()}

    def take_told(self, told: Mapping[str, Any], source: str) -> None:
        """Take in what a peer says; rows that can't be read are passed over.

        So are asks of which the store itself said later that they are not there: a peer that
        was cut off may still believe them long after they were forgotten here.
        """
        for key, row in told.items():
            if not _is_sound(row):
                continue
            revision, is_there = row
            prefix = self.find_prefix(key)
            if prefix is not None and (key in self.asks or revision > self.read_to.get(prefix, 0)):
                self._take(key, revision, is_there, source)
        self._settle(source)

    def _take(self, key: str, revision: int, is_there: bool, source: str) -> None:
        domain = self.find_domain(key)
        if domain is None:
            return
        known = self.asks.get(key)
        if known is not None and known.revision >= revision:
            return
        problem = describe_bad_domain(domain)
        if problem is not None:
            log_event("evacuation.refused", domain=domain[:LONGEST_DOMAIN], reason=problem)
            return
        self.asks[key] = Ask(revision, is_there, trio.current_time())
        if is_there != (known is not None and known.is_there):
            kind = "evacuation.asked" if is_there else "evacuation.taken_back"
            log_event(kind, domain=domain, revision=revision, source=source)

    def _settle(self, source: str) -> None:
        """Draw the domains from the asks, and drop what has long been taken back."""
        self._forget_oldest()
        asked = (self.find_domain(key) for key, ask in self.asks.items() if ask.is_there)
        domains = frozenset(domain for domain in asked if domain is not None)
        if domains == self.domains:
            return
        self.domains = domains
        log_event("evacuation.in_force", domains=sorted(domains), source=source)
        self.changed.set()
        self.changed = trio.Event()

    def _forget_oldest(self) -> None:
        over = [(ask.revision, key) for key, ask in self.asks.items() if not ask.is_there]
        for _, key in sorted(over)[: max(0, len(over) - MOST_TAKEN_BACK)]:
            del self.asks[key]


def list_unknown(domains: Iterable[str], known: Iterable[str]) -> list[str]:
    """Return the domains in which nothing is known to be."""
    return sorted(set(domains) - set(known))


def _is_sound(row: object) -> bool:
    if not isinstance(row, list) or len(row) != 2:
        return False
    revision, is_there = row
    return type(revision) is int and revision > 0 and isinstance(is_there, bool)
