"""Membership of hosts and targets, from an eventually consistent host list."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

import trio
import xxhash

SUSPECT_DURATION_S = 5.0


@dataclass(frozen=True, slots=True)
class Member:
    """A host in the host list; a `leaving` host gets no new work."""

    name: str
    address: str
    region: str = ""
    domain: str = ""
    leaving: bool = False


@dataclass(slots=True)
class Membership:
    """One host's view of the other members.

    As the platform's host list lags, two facts override it: a refused connection makes a
    member suspect for `suspect_duration_s`, and a member reported as leaving by any host is
    leaving until the list no longer contains it.
    """

    suspect_duration_s: float = SUSPECT_DURATION_S
    version: int = 0
    members: dict[str, Member] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    wake: trio.Event = field(default_factory=trio.Event)
    _suspect_until: dict[str, float] = field(default_factory=dict)

    def update(self, version: int, members: Iterable[Member]) -> bool:
        """Replace the host list; return False for a version older than the current one."""
        if version < self.version:
            return False
        self.version = version
        self.members = {member.name: member for member in members}
        listed = {m.name for m in self.members.values() if m.leaving}
        self.note_leaving(listed)
        self.leaving &= set(self.members)
        return True

    def note_leaving(self, names: Iterable[str]) -> bool:
        """Record that members are leaving; return whether any of them was not recorded yet."""
        new = set(names) - self.leaving
        if not new:
            return False
        self.leaving |= new
        self.wake.set()
        self.wake = trio.Event()
        return True

    def note_refused(self, name: str) -> None:
        """Record a refused connection: the member is suspect for `suspect_duration_s`."""
        self._suspect_until[name] = trio.current_time() + self.suspect_duration_s

    def mark_alive(self, name: str) -> None:
        """Record that a member responded; it is no longer suspect."""
        self._suspect_until.pop(name, None)

    def is_suspect(self, name: str) -> bool:
        """Return whether a member recently refused a connection."""
        return trio.current_time() < self._suspect_until.get(name, float("-inf"))

    def is_usable(self, name: str) -> bool:
        """Return whether a member may get new work; it need not be in the host list."""
        return name not in self.leaving and not self.is_suspect(name)

    def usable(self) -> list[Member]:
        """Return the members that may get new work, sorted by name."""
        return [m for name, m in sorted(self.members.items()) if self.is_usable(name)]


def rank(name: str, key: str, names: Iterable[str]) -> int:
    """Return the rank of `name` among `names` for `key` by rendezvous hashing; 0 is first."""
    own = _weight(name, key)
    return sum(1 for other in names if other != name and _weight(other, key) > own)


def is_store_down_for_all(peer_reports: Collection[bool], *, has_peers: bool) -> bool:
    """Return whether no host can reach the store, for a host that can't.

    `peer_reports` says for each peer with a recent message whether it reaches the store. A
    host without reports from its peers may be partitioned from them and must not rely on its
    lease any longer; a host without peers may.
    """
    return not any(peer_reports) if peer_reports else not has_peers


def _weight(name: str, key: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
