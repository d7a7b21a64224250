"""Tells whether an owner started work at executors that were recorded in advance.

Tasks that wait are preassigned to some executors in the store, so that they can start there while
the store is away. A new owner would have to take each preassignment for a possible run. So before
an owner uses any, it announces that to the other hosts, and needs `count_required_acks` of them to
note it. The next owner asks them; a host that says no takes no announcement of that term any more.

Only hosts that were members before the term began, and have been since, count on either side. Both
sides need so many of them that one host would have to answer both. If too few answer, nothing is
known: the owner starts nothing, or the next one counts the preassignments as used.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

import trio

from .model import PreassignmentEpoch
from .peer_messages import News

MAX_TERMS = 8
RETRY_S = 0.5

AskNews = Callable[[str], Awaitable[News | None]]


@dataclass(frozen=True, slots=True)
class Membership:
    """The hosts that were members before a term began, and are since.

    `is_own`: this process is the owner of that term. `is_witness`: it is one of the others.
    `others` holds the revisions of the keys of the rest by address.
    """

    is_own: bool
    is_witness: bool
    others: Mapping[str, int]


FindMembers = Callable[[int], Membership | None]
"""Returns the members before a term that began at a revision, None if they are not known."""


def count_required_acks(hosts: int) -> int:
    """Return how many of the other hosts must note the use of preassignments."""
    return hosts // 2 + 1 if hosts else 0


def count_required_denials(hosts: int) -> int:
    """Return how many of the other hosts must deny it, so that one would have to do both."""
    return hosts - count_required_acks(hosts) + 1


class PreassignmentLog:
    """The uses of preassignments that one host has noted, by the revision at which a term began."""

    def __init__(self) -> None:
        self._used: dict[int, int] = {}
        self.closed = 0

    def note_used(self, revision: int, number: int) -> None:
        """Note the use of preassignments up to a number, unless a later owner has asked."""
        if revision <= self.closed:
            return
        self._used[revision] = max(number, self._used.get(revision, 0))
        for oldest in sorted(self._used)[:-MAX_TERMS]:
            del self._used[oldest]

    def close(self, revision: int) -> None:
        """Take no further uses of the terms up to the one that began at a revision."""
        self.closed = max(self.closed, revision)

    def take(self, news: News) -> None:
        """Take what a peer knows, and close the terms that it asks for."""
        for revision, number in news.used_preassignments.items():
            self.note_used(int(revision), number)
        self.close(news.closed_preassignments)

    def is_used(self, epoch: PreassignmentEpoch) -> bool:
        """Return whether this host knows that preassignments of an epoch are used."""
        return self._used.get(epoch.revision, 0) >= epoch.number

    def encode(self) -> dict[str, int]:
        """Return the highest number used in each term."""
        return {str(revision): number for revision, number in self._used.items()}


class Preassignments:
    """The preassignments of the owner whose term began at `revision`.

    Their number rises after each use, so that later ones count as unused again.
    """

    def __init__(
        self,
        revision: int,
        log: PreassignmentLog,
        find_members: FindMembers,
        ask_news: AskNews,
    ) -> None:
        self._revision = revision
        self._log = log
        self._find_members = find_members
        self._ask_news = ask_news
        self._announced = 0
        self._retry_at = float("-inf")
        self._lock = trio.Lock()

    def make_epoch(self) -> PreassignmentEpoch | None:
        """Return the epoch of preassignments that are written now, None if they count as used."""
        members = self._find_members(self._revision)
        if members is None:
            return None
        return PreassignmentEpoch(self._revision, self._announced + 1, len(members.others))

    async def announce(self, epoch: PreassignmentEpoch) -> bool:
        """Return whether enough hosts have noted that preassignments of an epoch are used."""
        async with self._lock:
            if epoch.revision != self._revision or epoch.number <= self._announced:
                return True
            if trio.current_time() < self._retry_at:
                return False
            if await self._collect_acks(epoch):
                self._announced = epoch.number
                return True
            self._retry_at = trio.current_time() + RETRY_S
            return False

    async def _collect_acks(self, epoch: PreassignmentEpoch) -> bool:
        self._log.note_used(epoch.revision, epoch.number)
        members = self._find_members(epoch.revision)
        if members is None or not self._log.is_used(epoch):
            return False

        def is_ack(news: News) -> bool:
            return _names_use(news, epoch)

        return await self._ask(members.others, is_ack, count_required_acks(epoch.hosts))

    async def is_unused(self, epoch: PreassignmentEpoch) -> bool:
        """Return whether an earlier owner has used none of an epoch, and can use none any more."""
        members = self._find_members(epoch.revision)
        if members is None:
            return False
        self._log.close(epoch.revision)
        if self._log.is_used(epoch):
            return False
        if members.is_own:
            return True

        def denies(news: News) -> bool:
            is_closed = news.closed_preassignments >= epoch.revision
            return is_closed and not _names_use(news, epoch)

        required = count_required_denials(epoch.hosts) - members.is_witness
        return await self._ask(members.others, denies, required)

    async def _ask(
        self, witnesses: Mapping[str, int], agrees: Callable[[News], bool], required: int
    ) -> bool:
        """Return whether as many witnesses as required agree; ends once they do."""
        agreed = 0

        async def ask(address: str, member_revision: int) -> None:
            nonlocal agreed
            news = await self._ask_news(address)
            # Another process at this address has another member key, and knows nothing.
            if news is not None and news.member_revision == member_revision and agrees(news):
                agreed += 1
                if agreed >= required:
                    nursery.cancel_scope.cancel()

        if required > len(witnesses):
            return False
        async with trio.open_nursery() as nursery:
            if required > 0:
                for address, member_revision in witnesses.items():
                    nursery.start_soon(ask, address, member_revision)
        return agreed >= required


def _names_use(news: News, epoch: PreassignmentEpoch) -> bool:
    return news.used_preassignments.get(str(epoch.revision), 0) >= epoch.number
