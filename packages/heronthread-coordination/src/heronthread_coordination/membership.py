"""Which hosts and targets may be given work, from a list that lags."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

import trio
import xxhash

SUSPICION_S = 5.0


@dataclass(frozen=True, slots=True)
class Member:
    """A host of the host list; `leaving` ones get nothing new."""

    name: str
    address: str
    region: str = ""
    domain: str = ""
    leaving: bool = False


@dataclass(slots=True)
class Membership:
    """What one host knows of the others.

    The platform's list lags, so two things go before it: a refused connection makes a
    member suspect for `suspicion_s`, and a notice that a member is leaving, once heard
    from anyone, stands until the list drops that member.
    """

    suspicion_s: float = SUSPICION_S
    version: int = 0
    members: dict[str, Member] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    wake: trio.Event = field(default_factory=trio.Event)
    _suspect_until: dict[str, float] = field(default_factory=dict)

    def update(self, version: int, members: Iterable[Member]) -> bool:
        """Take over a host list; an older version than the one known is ignored."""
        if version < self.version:
            return False
        self.version = version
        self.members = {member.name: member for member in members}
        listed = {m.name for m in self.members.values() if m.leaving}
        self.note_leaving(listed)
        self.leaving &= set(self.members)
        return True

    def note_leaving(self, names: Iterable[str]) -> bool:
        """Record that members are leaving; True if that is news."""
        new = set(names) - self.leaving
        if not new:
            return False
        self.leaving |= new
        self.wake.set()
        self.wake = trio.Event()
        return True

    def note_refused(self, name: str) -> None:
        """Record a refused connection: nothing goes there for a while."""
        self._suspect_until[name] = trio.current_time() + self.suspicion_s

    def note_alive(self, name: str) -> None:
        """Record that a member answered."""
        self._suspect_until.pop(name, None)

    def is_suspect(self, name: str) -> bool:
        """Tell whether a member refused a connection of late."""
        return trio.current_time() < self._suspect_until.get(name, float("-inf"))

    def is_usable(self, name: str) -> bool:
        """Tell whether a member may get new work; one the list does not name may."""
        return name not in self.leaving and not self.is_suspect(name)

    def usable(self) -> list[Member]:
        """Return the members that may get new work, by name."""
        return [m for name, m in sorted(self.members.items()) if self.is_usable(name)]


def rank(name: str, key: str, names: Iterable[str]) -> int:
    """Return the place of `name` among `names` for `key`, by rendezvous hashing; 0 is first."""
    own = _weight(name, key)
    return sum(1 for other in names if other != name and _weight(other, key) > own)


def is_store_down_for_all(heard: Collection[bool], *, has_peers: bool) -> bool:
    """Tell whether nobody reaches the store, for a host that does not.

    `heard` is what the peers heard of late say of it. A host that hears none of its peers may
    be cut off itself, so it must not count its lease as good any longer; one without peers may.
    """
    return not any(heard) if heard else not has_peers


def _weight(name: str, key: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
