"""Tracks when the store's revision counter was first seen to have reached a value.

A record has existed for at least as long as any host has known its revision. So a new owner can
count the time between two terms, in which no owner wrote, without comparing clocks.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable, Collection
from typing import Any

import trio

from .peer import PeerUnreachable
from .peer_messages import OK, Operation, PeerReply
from .record import MALFORMED

RESOLUTION_S = 0.25
MAX_ENTRIES = 120
"""Covers 30 s, longer than anything of an earlier owner may last."""
LEARN_TIMEOUT_S = 0.15
"""Bounds the delay of a takeover; a peer in the same region answers within milliseconds."""

AskPeer = Callable[[str, int, dict[str, Any], float], Awaitable[PeerReply | PeerUnreachable]]
NoteMalformed = Callable[[int, str, str], None]


class RevisionLog:
    """The revisions that the store was known to have reached, with their times (trio's clock).

    That clock does not count suspensions, so that an age may be too short but never too long.
    """

    def __init__(self) -> None:
        self._reached: deque[tuple[float, int]] = deque(maxlen=MAX_ENTRIES)

    @property
    def latest(self) -> int:
        """The highest revision known, 0 if none is."""
        return self._reached[-1][1] if self._reached else 0

    def note(self, revision: int) -> None:
        """Note that the store has reached a revision by now."""
        if revision <= self.latest:
            return
        now = trio.current_time()
        if self._reached and now // RESOLUTION_S == self._reached[-1][0] // RESOLUTION_S:
            self._reached.pop()
        self._reached.append((now, revision))

    def find_age_s(self, revision: int) -> float:
        """Return for how long (s) the store is known to have had a revision, 0.0 if unknown."""
        at = next((at for at, reached in self._reached if reached >= revision), None)
        return 0.0 if at is None else max(0.0, trio.current_time() - at)

    def encode(self) -> dict[str, Any]:
        """Return a body with the revisions and for how long (s) each has been known."""
        now = trio.current_time()
        return {"reached": [[now - at, revision] for at, revision in self._reached]}

    def merge(self, body: dict[str, Any]) -> None:
        """Merge a peer's revisions; raises one of `MALFORMED` if the body is malformed."""
        now = trio.current_time()
        theirs = [_read_row(row, now) for row in body["reached"]]
        latest = 0
        merged = deque[tuple[float, int]](maxlen=MAX_ENTRIES)
        for at, revision in sorted([*self._reached, *theirs]):
            if revision > latest:
                latest = revision
                merged.append((at, revision))
        self._reached = merged


def _read_row(row: Any, now: float) -> tuple[float, int]:
    age_s, revision = row
    if not isinstance(age_s, float) or not age_s >= 0.0 or not isinstance(revision, int):
        raise ValueError(f"not an age and a revision: {row!r}")
    return now - age_s, revision


async def learn_revisions(
    log: RevisionLog, peers: Collection[str], ask_peer: AskPeer, note_malformed: NoteMalformed
) -> None:
    """Merge the revisions that peers know, as far as they answer within `LEARN_TIMEOUT_S`."""

    async def ask(address: str) -> None:
        reply = await ask_peer(address, Operation.REVISION_AGES, {}, LEARN_TIMEOUT_S)
        if not isinstance(reply, PeerReply) or reply.status != OK:
            return
        try:
            log.merge(reply.body)
        except MALFORMED as error:
            note_malformed(Operation.REVISION_AGES, address, repr(error))

    with trio.move_on_after(LEARN_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            for address in peers:
                nursery.start_soon(ask, address)
