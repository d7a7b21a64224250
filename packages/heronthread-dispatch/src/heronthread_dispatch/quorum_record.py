"""The recorded quorum of an owner: the executors that show whether it is the only owner."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass

import orjson

from .field_bounds import MAX_REVISION, read_int
from .fleet import ExecutorState
from .model import ExecutorInstance
from .record import MALFORMED, Unreadable, decode_instance

QUORUM_KEY = "quorum/0"
MAX_MEMBERS = 15
"""Bounds the probes of an outage; a majority of so many executors is rarely lost at once."""


@dataclass(frozen=True, slots=True)
class QuorumRecord:
    """The quorum of the owner whose term began at revision `term_revision`."""

    term_revision: int
    members: frozenset[ExecutorInstance]

    def encode(self) -> bytes:
        """Return the stored form."""
        rows = [[member.id, member.born] for member in sorted(self.members)]
        return json.dumps({"term_revision": self.term_revision, "members": rows}).encode()

    @classmethod
    def decode(cls, data: bytes) -> QuorumRecord | Unreadable:
        """Read the stored form."""
        try:
            value = orjson.loads(data)
            members = frozenset(decode_instance(name, born) for name, born in value["members"])
            return cls(read_int(value["term_revision"], MAX_REVISION), members)
        except MALFORMED as error:
            return Unreadable(repr(error))


def count_majority(members: int) -> int:
    """Return how many members are a majority, which an owner needs to go on without a lease."""
    return members // 2 + 1


def count_blocking(members: int) -> int:
    """Return how many members have to refuse an owner, so that the rest is no majority."""
    return members - count_majority(members) + 1


def choose_members(
    states: Collection[ExecutorState], current: Collection[ExecutorInstance]
) -> frozenset[ExecutorInstance]:
    """Return up to `MAX_MEMBERS` of the executors, spread over failure domains and racks.

    `current` members that are among them stay.
    """
    candidates = {state.instance: state for state in states}
    chosen = {member for member in current if member in candidates}
    if len(chosen) >= MAX_MEMBERS:
        return frozenset(chosen)
    domains = Counter(candidates[member].executor.zone for member in chosen)
    racks = Counter(candidates[member].rack for member in chosen)
    rest = [candidates[member] for member in sorted(candidates.keys() - chosen)]
    while rest and len(chosen) < MAX_MEMBERS:
        state = min(rest, key=lambda state: (domains[state.executor.zone], racks[state.rack]))
        rest.remove(state)
        chosen.add(state.instance)
        domains[state.executor.zone] += 1
        racks[state.rack] += 1
    return frozenset(chosen)
