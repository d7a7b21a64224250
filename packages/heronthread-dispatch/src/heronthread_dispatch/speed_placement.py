"""Decides which executors a step takes by their speeds, among those that adjacency allows."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import StrEnum

from .executor_speeds import ExecutorSpeeds, SpeedGroup
from .model import URGENT
from .offers import Offer
from .plan import Candidate

MAX_RANK = 3
"""Rank of the slowest executors where there are three groups and unknown ones."""
SPEEDS_BY_GROUP = (SpeedGroup.FAST, SpeedGroup.TYPICAL, SpeedGroup.SLOW)

PackingOrder = Callable[[Offer], tuple[bool, int, int, int]]
CountFits = Callable[[Offer], int]


class SpeedWish(StrEnum):
    """Which executors a step takes first."""

    ANY = "any"
    """The executors' speeds are alike or unknown."""
    FASTEST = "fastest"
    """The step has little slack."""
    SLOWEST = "slowest"
    """The step has slack; faster executors are left to urgent work."""


CHOICES = {
    SpeedWish.FASTEST: ((0,), (1, 0), (2, 1, 0), (3, 2, 1, 0)),
    SpeedWish.SLOWEST: ((3,), (2,), (1,), (3, 2, 1), (0,), (3, 2, 1, 0)),
}
"""The ranks that a gang uses, in the order of use; the first choice on which it fits is taken."""


class SpeedPlacement:
    """The speeds of executors as one plan uses them; without `speeds` all are alike.

    An executor's rank is 0 in its pool's fastest group and higher in slower ones; an unknown one
    comes after the fastest group. The groups are those at the first use: they may change while a
    plan is made in parts.
    """

    def __init__(self, speeds: ExecutorSpeeds | None, now: float) -> None:
        self._speeds = speeds
        self._now = now
        self._ranks: dict[str, int] = {}
        self._ranks_by_pool: dict[str, dict[SpeedGroup, int]] = {}

    def has_groups(self, pool: str) -> bool:
        """Whether a pool's executors are known to differ in speed."""
        return self._speeds is not None and bool(self._rank_groups(self._speeds, pool))

    def find_wish(self, candidate: Candidate) -> SpeedWish:
        """Return which executors a step takes first."""
        if not self.has_groups(candidate.queue.pool):
            return SpeedWish.ANY
        return SpeedWish.FASTEST if candidate.queue.priority == URGENT else SpeedWish.SLOWEST

    def find_rank(self, offer: Offer) -> int:
        """Return an executor's rank in a pool with groups."""
        known = self._ranks.get(offer.state.id)
        if known is None:
            assert self._speeds is not None, "there are no groups without speeds"
            ranks = self._rank_groups(self._speeds, offer.state.executor.pool)
            group = self._speeds.find_group(offer.state.instance)
            known = self._ranks[offer.state.id] = ranks.get(group, ranks[SpeedGroup.UNKNOWN])
        return known

    def order_tasks(
        self, wish: SpeedWish, offers: list[Offer], packing_order: PackingOrder
    ) -> list[Offer]:
        """Return offers in the order in which tasks outside a gang take them."""
        if wish is SpeedWish.ANY:
            return sorted(offers, key=packing_order)
        ranks = range(MAX_RANK + 1) if wish is SpeedWish.FASTEST else range(MAX_RANK, -1, -1)
        healthy, slow = self._split_by_rank(offers)
        return [
            offer
            for by_rank in (healthy, slow)
            for rank in ranks
            for offer in sorted(by_rank[rank], key=packing_order)
        ]

    def order_members(
        self,
        wish: SpeedWish,
        offers: list[Offer],
        wanted: int,
        packing_order: PackingOrder,
        count_fits: CountFits,
    ) -> list[Offer]:
        """Return offers in the order in which the `wanted` members of a gang take them.

        A gang is as slow as its slowest member, so it takes faster executors only if they are
        needed for its size, or all of its members fit on them.
        """
        if wish is SpeedWish.ANY:
            return sorted(offers, key=packing_order)
        by_rank, _ = self._split_by_rank(offers)
        fits = [_RankFits(members, wanted, count_fits) for members in by_rank]
        for ranks in CHOICES[wish]:
            if sum(fits[rank].count() for rank in ranks) >= wanted:
                return [
                    offer for rank in ranks for offer in sorted(by_rank[rank], key=packing_order)
                ]
        return self.order_tasks(SpeedWish.SLOWEST, offers, packing_order)

    def judge(self, wish: SpeedWish, chosen: Sequence[Offer]) -> int:
        """Return how badly the executors chosen for a gang serve the wish, 0 to `MAX_RANK`.

        For work with little slack it is the rank of the slowest. Other work should take none of
        the fastest group, or be on that group alone.
        """
        if wish is SpeedWish.ANY:
            return 0
        ranks = {self.find_rank(offer) for offer in chosen}
        if wish is SpeedWish.FASTEST:
            return max(ranks)
        if 0 not in ranks:
            return 0
        return 1 if len(ranks) == 1 else 2

    def _split_by_rank(self, offers: list[Offer]) -> tuple[list[list[Offer]], list[list[Offer]]]:
        """Return the offers of each rank, of healthy executors and of those slow for a while."""
        healthy: list[list[Offer]] = [[] for _ in range(MAX_RANK + 1)]
        slow: list[list[Offer]] = [[] for _ in range(MAX_RANK + 1)]
        ranks, now = self._ranks, self._now
        for offer in offers:
            rank = ranks.get(offer.state.executor.id)
            if rank is None:
                rank = self.find_rank(offer)
            (slow if offer.state.slow_until > now else healthy)[rank].append(offer)
        return healthy, slow

    def _rank_groups(self, speeds: ExecutorSpeeds, pool: str) -> dict[SpeedGroup, int]:
        """Return the rank of each group of a pool, fastest first; empty without groups."""
        known = self._ranks_by_pool.get(pool)
        if known is None:
            groups = speeds.list_groups(pool)
            present = [group for group in SPEEDS_BY_GROUP if group in groups]
            order = [present[0], SpeedGroup.UNKNOWN, *present[1:]] if present else []
            known = self._ranks_by_pool[pool] = {group: rank for rank, group in enumerate(order)}
        return known


class _RankFits:
    """How many members of a gang fit on the offers of one rank, up to the number wanted."""

    __slots__ = ("_count", "_count_fits", "_offers", "_wanted")

    def __init__(self, offers: list[Offer], wanted: int, count_fits: CountFits) -> None:
        self._offers, self._wanted, self._count_fits = offers, wanted, count_fits
        self._count: int | None = None

    def count(self) -> int:
        if self._count is None:
            self._count = 0
            for offer in self._offers:
                self._count += self._count_fits(offer)
                if self._count >= self._wanted:
                    break
        return self._count
