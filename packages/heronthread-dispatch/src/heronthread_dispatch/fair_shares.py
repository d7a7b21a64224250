"""Use of contended capacity by customer, so that a large backlog does not delay the others.

A customer's use is its dominant share: the largest of its shares of a pool's processor, memory and
accelerators. Use decays with a half-life of `HALF_LIFE_S`.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from .model import Resources

HALF_LIFE_S = 60.0
AVERAGING_S = HALF_LIFE_S / math.log(2)
"""The decayed use of a customer that holds a whole pool for ever, in seconds of the pool."""
MAX_CUSTOMERS = 790
"""Customers kept for each pool: the design size. The smallest use is dropped beyond it."""
MAX_REPORTED = 8
"""Customers of a pool in the load digest, which must stay under 0.5 kB."""
MIN_EVIDENCE_S = 3.0
"""Use of a pool, in seconds of the whole pool, below which shares mean nothing yet."""
ABOVE_MARGIN = 0.5
STILL_ABOVE_MARGIN = 0.1
"""A customer comes to be above its share at the first margin and stays so down to the second."""
BELOW_MARGIN = 0.25
STILL_BELOW_MARGIN = 0.0
"""A customer comes to be below its share at the first margin and stays so up to the second."""
RANK_VALID_S = 5.0
"""Ranks are found anew for each plan, at least twice a second; older ones no longer hold."""


@dataclass(frozen=True, slots=True)
class ShareStanding:
    """How a customer's share of a pool's recent use compares with its fair share.

    `use` is the part of the pool that it has held on average, `share` its part of the use of all
    customers with work now, and `fair` its part by weight. A customer above its share has rank 1
    only while another one, below its own, waits.
    """

    use: float
    share: float
    fair: float
    is_above: bool = False
    rank: int = 0


@dataclass(frozen=True, slots=True)
class Demand:
    """The customers of a pool with tasks that wait or run, with their weights.

    `waiting` are those with tasks that wait.
    """

    weights: Mapping[str, float]
    waiting: frozenset[str]


@dataclass(slots=True)
class _Use:
    """A customer's decayed use in seconds of the whole pool, by resource; as of `at`.

    `inherited_s` is the use that an earlier owner reported, which counts for each resource.
    """

    at: float
    cpu_s: float = 0.0
    memory_s: float = 0.0
    accelerators_s: float = 0.0
    inherited_s: float = 0.0

    def decay(self, now: float) -> None:
        """Advance to `now`; times before the last one change nothing."""
        if now <= self.at:
            return
        factor = 0.5 ** ((now - self.at) / HALF_LIFE_S)
        self.cpu_s *= factor
        self.memory_s *= factor
        self.accelerators_s *= factor
        self.inherited_s *= factor
        self.at = now

    def find_dominant_s(self, now: float) -> float:
        """Return the use of the resource that is used most, as of `now`."""
        most = max(self.cpu_s, self.memory_s, self.accelerators_s) + self.inherited_s
        return most * 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)


@dataclass(slots=True)
class _PoolShares:
    used: dict[str, _Use] = field(default_factory=dict)
    demand: Demand = field(default_factory=lambda: Demand({}, frozenset()))
    above: set[str] = field(default_factory=set)
    below: set[str] = field(default_factory=set)
    assessed_at: float = float("-inf")
    is_compared: bool = False
    is_restored: bool = False

    def find_use(self, tenant: str, now: float) -> _Use:
        """Return a customer's use, creating it in place of the smallest one if need be."""
        use = self.used.get(tenant)
        if use is None:
            if len(self.used) >= MAX_CUSTOMERS:
                del self.used[min(self.used, key=lambda name: self.find_dominant_s(name, now))]
            use = self.used[tenant] = _Use(now)
        return use

    def find_dominant_s(self, tenant: str, now: float) -> float:
        """Return a customer's decayed use in seconds of the whole pool."""
        use = self.used.get(tenant)
        return 0.0 if use is None else use.find_dominant_s(now)

    def list_shares(self, now: float) -> dict[str, tuple[float, float]]:
        """Return the share and the fair share of each customer with work; empty without evidence.

        Idle customers count for neither: what they leave is shared among the others.
        """
        uses = {name: self.find_dominant_s(name, now) for name in self.demand.weights}
        total, weights = sum(uses.values()), sum(self.demand.weights.values())
        if total < MIN_EVIDENCE_S or len(uses) < 2:
            return {}
        return {
            name: (uses[name] / total, weight / weights)
            for name, weight in self.demand.weights.items()
        }


def _find_bound(fair: float, margin: float) -> float:
    """Return a share by `margin` away from the fair one.

    The margin is relative to what lies on either side, so that a customer with a fair share of
    0.75 can be above it as well as one with 0.01.
    """
    return fair + margin * min(fair, 1.0 - fair)


@dataclass(slots=True)
class FairShares:
    """The recent use of each pool by each customer, and who is above its fair share."""

    _pools: dict[str, _PoolShares] = field(default_factory=dict)

    def charge(
        self,
        pool: str,
        tenant: str,
        used: Resources,
        capacity: Resources,
        seconds: float,
        now: float,
    ) -> None:
        """Add what a customer has held of a pool of a capacity for some seconds until `now`."""
        if seconds <= 0.0 or not any(used):
            return
        use = self._pools.setdefault(pool, _PoolShares()).find_use(tenant, now)
        use.decay(now)
        use.cpu_s += seconds * used.cpu / max(1, capacity.cpu)
        use.memory_s += seconds * used.memory_mb / max(1, capacity.memory_mb)
        use.accelerators_s += seconds * used.accelerators / max(1, capacity.accelerators)

    def assess(self, pool: str, demand: Demand, now: float) -> dict[str, ShareStanding]:
        """Find who is above its share; return the customers for which that has changed."""
        shares = self._pools.setdefault(pool, _PoolShares())
        shares.demand, shares.assessed_at = demand, now
        before, found = shares.above, shares.list_shares(now)
        shares.is_compared = bool(found)
        if not found:
            # Who was above or below stays so until it can be compared with others again.
            return {}
        shares.above = {
            name
            for name, (share, fair) in found.items()
            if share > _find_bound(fair, STILL_ABOVE_MARGIN if name in before else ABOVE_MARGIN)
        }
        shares.below = {
            name
            for name, (share, fair) in found.items()
            if share
            < _find_bound(fair, -(STILL_BELOW_MARGIN if name in shares.below else BELOW_MARGIN))
        }
        changed = before ^ shares.above
        return {name: self.find_standing(pool, name, now) for name in sorted(changed)}

    def retain(self, pools: Iterable[str]) -> None:
        """Forget all pools but some."""
        kept = set(pools)
        self._pools = {name: shares for name, shares in self._pools.items() if name in kept}

    def rank(self, pool: str, tenant: str, now: float) -> int:
        """Return 1 for a customer above its share of a pool while one below its own waits, else 0.

        Ranks are those of the last `assess`, and 0 once it is `RANK_VALID_S` old.
        """
        shares = self._pools.get(pool)
        if shares is None or not shares.is_compared or tenant not in shares.above:
            return 0
        if now > shares.assessed_at + RANK_VALID_S:
            return 0
        return int(not shares.below.isdisjoint(shares.demand.waiting))

    def find_standing(self, pool: str, tenant: str, now: float) -> ShareStanding:
        """Return a customer's use and shares; both shares are 0 for one that has no work."""
        shares = self._pools.get(pool, _PoolShares())
        share, fair = shares.list_shares(now).get(tenant, (0.0, 0.0))
        use = shares.find_dominant_s(tenant, now) / AVERAGING_S
        is_above = tenant in shares.above
        return ShareStanding(use, share, fair, is_above, self.rank(pool, tenant, now))

    def list_largest(self, pool: str, now: float) -> dict[str, float]:
        """Return the use of the largest customers of a pool, for the next owner.

        In seconds of the whole pool, at most `MAX_REPORTED` customers.
        """
        shares = self._pools.get(pool, _PoolShares())
        uses = {name: shares.find_dominant_s(name, now) for name in shares.used}
        largest = heapq.nlargest(MAX_REPORTED, uses, key=lambda name: uses[name])
        return {name: round(uses[name], 2) for name in largest if uses[name] >= 0.01}

    def restore(self, pool: str, used: Mapping[str, float], now: float) -> None:
        """Start from the use that an earlier owner reported for a time `now`, once for each pool.

        Use that no pool can have had is limited, so that a wrong report decays soon.
        """
        shares = self._pools.setdefault(pool, _PoolShares())
        if shares.is_restored:
            return
        shares.is_restored = True
        largest = heapq.nlargest(MAX_REPORTED, used, key=lambda name: used[name])
        for name in largest:
            if math.isfinite(used[name]) and used[name] > 0.0:
                use = shares.find_use(name, now)
                elapsed_s = max(0.0, use.at - now)
                decayed_s = used[name] * 0.5 ** (elapsed_s / HALF_LIFE_S)
                use.inherited_s += min(decayed_s, AVERAGING_S)

    def describe(self, now: float) -> list[dict[str, Any]]:
        """Return one row for each customer with work or recent use, for operators."""
        rows = []
        for pool, shares in sorted(self._pools.items()):
            found = shares.list_shares(now)
            names = sorted({*shares.used, *shares.demand.weights})
            rows += [self._describe(pool, name, found.get(name, (0.0, 0.0)), now) for name in names]
        return rows

    def _describe(
        self, pool: str, tenant: str, found: tuple[float, float], now: float
    ) -> dict[str, Any]:
        shares = self._pools[pool]
        return {
            "pool": pool,
            "tenant": tenant,
            "use": round(shares.find_dominant_s(tenant, now) / AVERAGING_S, 4),
            "weight": shares.demand.weights.get(tenant, 0),
            "share": round(found[0], 4),
            "fair share": round(found[1], 4),
            "waits": tenant in shares.demand.waiting,
            "rank": self.rank(pool, tenant, now),
        }

    def count_above(self, now: float) -> int:
        """Return the number of customers whose work now comes after others', in all pools."""
        return sum(
            self.rank(pool, name, now)
            for pool, shares in self._pools.items()
            for name in shares.above
        )

    def find_largest_share(self, now: float) -> float:
        """Return the largest share that a customer has of any pool's recent use, 0 without use."""
        found = (shares.list_shares(now) for shares in self._pools.values())
        return max((share for pool in found for share, _ in pool.values()), default=0.0)
