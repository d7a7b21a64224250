"""Evacuation requests of operators: which failure domains take no new work, as this host knows.

A request is a key in the store, and its domain is evacuated while the key exists. The key's
revision orders what the store, its watch and peers report, so that stale reports are ignored.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import trio

from .events import log_event
from .keystore import Item, KeyRemoved, Listing

COMMAND_PREFIX = "cell/0/evacuate/"
"""Prefix of requests made by `heronthread evacuate`; the platform's operators have their own."""
MAX_DOMAIN_CHARS = 100
"""Largest length of a domain's name, in characters."""
MAX_WITHDRAWN = 32
"""Withdrawn requests that are kept, so that peers without the store learn of the withdrawal."""

EncodedRequests = dict[str, list[Any]]
"""Requests as sent to peers: the revision of each key, and whether it exists."""


@dataclass(frozen=True, slots=True)
class EvacuationRequest:
    """The last known state of one key, and when this host learned of it (trio's clock)."""

    revision: int
    exists: bool
    learned_at: float


def describe_invalid_domain(domain: object) -> str | None:
    """Return what is wrong with a domain's name, None if nothing is."""
    if not isinstance(domain, str):
        return "the name of a domain is a text"
    if not domain:
        return "the name of the domain is missing"
    if len(domain) > MAX_DOMAIN_CHARS:
        return f"the name of a domain has {MAX_DOMAIN_CHARS} characters at most"
    if "/" in domain or any(c.isspace() or not c.isprintable() for c in domain):
        return "the name of a domain has no blanks, slashes or control characters"
    return None


@dataclass(slots=True)
class Evacuations:
    """Tracks evacuation requests on one host; `domains` are those that take no new work.

    `operators_prefix` holds the requests of the platform's operators; empty if they can't make any.
    `read_revisions` holds the revision up to which this host has read each prefix.
    """

    operators_prefix: str = ""
    requests: dict[str, EvacuationRequest] = field(default_factory=dict)
    read_revisions: dict[str, int] = field(default_factory=dict)
    domains: frozenset[str] = frozenset()
    changed: trio.Event = field(default_factory=trio.Event)

    @property
    def prefixes(self) -> tuple[str, ...]:
        """The prefixes of requests in the store."""
        found = (self.operators_prefix, COMMAND_PREFIX)
        return tuple(prefix for prefix in found if prefix)

    def find_prefix(self, key: str) -> str | None:
        """Return the request prefix of a key, None if it has none."""
        for prefix in self.prefixes:
            if key.startswith(prefix):
                return prefix
        return None

    def find_domain(self, key: str) -> str | None:
        """Return the domain that a key requests to evacuate, None if it is no request."""
        prefix = self.find_prefix(key)
        return None if prefix is None else key.removeprefix(prefix)

    def is_requested(self, key: str) -> bool:
        """Whether a key existed as of its last known state."""
        request = self.requests.get(key)
        return request is not None and request.exists

    def list_requesters(self, domain: str) -> list[str]:
        """Return who requests the evacuation of a domain."""
        askers = {"operator": self.operators_prefix, "command": COMMAND_PREFIX}
        return [
            who for who, prefix in askers.items() if prefix and self.is_requested(prefix + domain)
        ]

    def find_age_s(self, domain: str) -> float | None:
        """Return how long (s) this host has known a domain's request, None without one."""
        keys = [prefix + domain for prefix in self.prefixes if self.is_requested(prefix + domain)]
        if not keys:
            return None
        since = min(self.requests[key].learned_at for key in keys)
        return round(trio.current_time() - since, 1)

    def take_listing(self, listing: Listing, prefixes: tuple[str, ...]) -> None:
        """Apply a complete listing of some prefixes."""
        there = {item.key for item in listing.items}
        for item in listing.items:
            self._apply(item.key, item.revision, True, "store")
        for key in list(self.requests):
            if key not in there and self.find_prefix(key) in prefixes:
                self._apply(key, listing.at, False, "store")
        for prefix in prefixes:
            self._note_read_revision(prefix, listing.at)
        self._update_domains("store")

    def take(self, event: Item | KeyRemoved) -> None:
        """Apply one change from the store's watch."""
        prefix = self.find_prefix(event.key)
        if prefix is None:
            return
        self._apply(event.key, event.revision, isinstance(event, Item), "store")
        self._note_read_revision(prefix, event.revision)
        self._update_domains("store")

    def note_written(self, key: str, revision: int, exists: bool) -> None:
        """Apply a write made by this host."""
        self._apply(key, revision, exists, "command")
        self._update_domains("command")

    def _note_read_revision(self, prefix: str, revision: int) -> None:
        self.read_revisions[prefix] = max(revision, self.read_revisions.get(prefix, 0))

    def encode(self) -> EncodedRequests:
        """Return the requests as sent to peers."""
        return {key: [request.revision, request.exists] for key, request in self.requests.items()}

    def merge_encoded(self, encoded: Mapping[str, Any], source: str) -> None:
        """Merge the requests sent by a peer; malformed rows are ignored.

        Unknown keys at revisions that this host has already read from the store are ignored too:
        a peer that was cut off may still send requests that were withdrawn and forgotten here.
        """
        for key, row in encoded.items():
            if not _is_valid_row(row):
                continue
            revision, exists = row
            prefix = self.find_prefix(key)
            if prefix is not None and (
                key in self.requests or revision > self.read_revisions.get(prefix, 0)
            ):
                self._apply(key, revision, exists, source)
        self._update_domains(source)

    def _apply(self, key: str, revision: int, exists: bool, source: str) -> None:
        domain = self.find_domain(key)
        if domain is None:
            return
        known = self.requests.get(key)
        if known is not None and known.revision >= revision:
            return
        problem = describe_invalid_domain(domain)
        if problem is not None:
            log_event("evacuation.refused", domain=domain[:MAX_DOMAIN_CHARS], reason=problem)
            return
        self.requests[key] = EvacuationRequest(revision, exists, trio.current_time())
        if exists != (known is not None and known.exists):
            kind = "evacuation.asked" if exists else "evacuation.taken_back"
            log_event(kind, domain=domain, revision=revision, source=source)

    def _update_domains(self, source: str) -> None:
        """Update the evacuated domains, and drop the oldest withdrawn requests."""
        self._forget_oldest()
        requested = (
            self.find_domain(key) for key, request in self.requests.items() if request.exists
        )
        domains = frozenset(domain for domain in requested if domain is not None)
        if domains == self.domains:
            return
        self.domains = domains
        log_event("evacuation.in_force", domains=sorted(domains), source=source)
        self.changed.set()
        self.changed = trio.Event()

    def _forget_oldest(self) -> None:
        withdrawn = [
            (request.revision, key) for key, request in self.requests.items() if not request.exists
        ]
        for _, key in sorted(withdrawn)[: max(0, len(withdrawn) - MAX_WITHDRAWN)]:
            del self.requests[key]


def list_unknown_domains(domains: Iterable[str], known: Iterable[str]) -> list[str]:
    """Return the domains that are not among the known ones."""
    return sorted(set(domains) - set(known))


def _is_valid_row(row: object) -> bool:
    if not isinstance(row, list) or len(row) != 2:
        return False
    revision, exists = row
    return type(revision) is int and revision > 0 and isinstance(exists, bool)
