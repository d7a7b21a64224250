"""Gang placement: all members at once, with reservations for gangs that cannot start yet."""

from __future__ import annotations

from collections.abc import Callable

from .crashes import has_recent_start
from .model import URGENT, Resources
from .offers import Offer, Scope, count_fits, count_free_now, group_by_rack
from .plan import Candidate
from .policy import Policy
from .speed_placement import SpeedPlacement
from .spread import SpreadAccount
from .step_state import StepState, TaskState

SPREAD_WAIT_S = 1.5
IDLE_SPREAD_WAIT_S = 2.0
"""How long other gangs wait for a rack while there is ample room in several. Callers tolerate 3 s
with nothing running, and a plan is made each 0.5 s."""
IDLE_SHARE = 0.5
AMPLE_ROOM_FACTOR = 2
"""Callers tolerate no long wait while less of the pool is in use and a job fits so many times."""
MAX_RESERVATIONS = 2
SPEED_COST = 300.0
SLOW_COST = 1e3
SPREAD_COST = 1e6
"""Added to the free accelerators left in a rack, per rank of speed, per slow executor and for a
gang over several racks; each larger than a rack's accelerators and all lesser costs, so these
criteria dominate."""


class GangPlacer:
    """Places the gangs of one plan.

    `spread` counts the tasks of each step at each executor, and is told of the gangs placed here.
    `is_mostly_idle` returns whether less than a share of a pool is in use.
    """

    def __init__(
        self,
        now: float,
        policy: Policy,
        spread: SpreadAccount,
        speeds: SpeedPlacement | None = None,
        is_mostly_idle: Callable[[str, float], bool] = lambda pool, share: False,
    ) -> None:
        self._now = now
        self._policy = policy
        self._spread = spread
        self._is_mostly_idle = is_mostly_idle
        self._speeds = speeds or SpeedPlacement(None, now)
        self._min_unplaceable: dict[tuple[object, ...], int] = {}
        self._reserved = 0

    def packing_order(self, offer: Offer) -> tuple[bool, int, int, int]:
        """Return a sort key: healthy executors first, and of those the fullest."""
        return (
            offer.state.slow_until > self._now,
            offer.free.accelerators,
            offer.free.cpu,
            offer.number,
        )

    def order_tasks(self, candidate: Candidate, offers: list[Offer]) -> list[Offer]:
        """Return offers in the order in which a step's tasks outside a gang take them."""
        wish = self._speeds.find_wish(candidate)
        return self._speeds.order_tasks(wish, offers, self.packing_order)

    def place(
        self, candidate: Candidate, eligible: Scope, avoids_headroom: bool
    ) -> list[tuple[TaskState, Offer]]:
        """Allocate capacity for all members at once, or for none if they do not all fit.

        With `avoids_headroom`, `eligible` excludes the headroom for urgent work.
        """
        scopes = self.list_scopes(candidate, eligible)
        key = self._key(candidate, eligible, scopes, avoids_headroom)
        count = len(candidate.tasks)
        if count >= self._min_unplaceable.get(key, count + 1):
            return []
        avoided = self.list_avoided(candidate)
        best = None
        if candidate.step.has_suspects:
            recently_started = {
                offer.state.id
                for offer in eligible.offers
                if has_recent_start(offer.state, self._now)
            }
            best = self._best_fit(candidate, scopes, avoided | recently_started)
        best = best or self._best_fit(candidate, scopes, avoided)
        if best is None:
            if not avoided and not self._spread.list_held(candidate):
                self._min_unplaceable[key] = count
            return []
        placed = list(zip(candidate.tasks, best, strict=True))
        for task, offer in placed:
            offer.allocate(candidate.step.spec.need)
            self._spread.add(candidate, offer.state.id, task)
        return placed

    def _key(
        self, candidate: Candidate, eligible: Scope, scopes: list[Scope], avoids_headroom: bool
    ) -> tuple[object, ...]:
        """Return everything but a gang's size that determines where it fits in this plan.

        Free capacity only shrinks while a plan is made, so a gang does not fit if one with the
        same key and no more members did not.
        """
        spec = candidate.step.spec
        return (
            candidate.queue.pool,
            spec.need,
            spec.label,
            spec.same_rack,
            spec.data_rack,
            spec.spread_limit,
            spec.serves,
            spec.fills,
            candidate.queue.priority == URGENT,
            avoids_headroom,
            len(eligible.offers),
            len(scopes),
            candidate.key if candidate.queue.approval else None,
            candidate.allowed_executors,
        )

    def list_scopes(self, candidate: Candidate, eligible: Scope) -> list[Scope]:
        """Return the sets of executors that a gang may use, preferred ones first."""
        spec = candidate.step.spec
        if not spec.same_rack and not spec.data_rack:
            return [eligible]
        scopes, others = eligible.racks, list[Scope]()
        if spec.data_rack:
            near = eligible.find_rack(spec.data_rack)
            scopes = [near] if near is not None else []
            others = [rack_scope for rack_scope in eligible.racks if rack_scope is not near]
        possible = any(s.fits_when_empty(spec, len(candidate.tasks)) for s in scopes)
        if possible and not self._may_spread(candidate, eligible):
            return scopes
        return [*scopes, *others, eligible]

    def _may_spread(self, candidate: Candidate, eligible: Scope) -> bool:
        """Whether a gang may use any racks although one would have room for it when empty.

        A spread gang runs for several times as long, so one that is not urgent waits for a rack
        unless there is ample room.
        """
        waited_s = candidate.waited_s(self._now)
        if candidate.queue.priority == URGENT:
            return waited_s >= SPREAD_WAIT_S
        if waited_s < IDLE_SPREAD_WAIT_S or candidate.job.has_attempts:
            return False
        return self._has_ample_room(candidate, eligible)

    def _has_ample_room(self, candidate: Candidate, eligible: Scope) -> bool:
        """Whether a gang fits twice over in a pool of which less than half is in use."""
        required = AMPLE_ROOM_FACTOR * len(candidate.tasks)
        return (
            self._is_mostly_idle(candidate.queue.pool, IDLE_SHARE)
            and eligible.count(candidate.step.spec.need) >= required
        )

    def _best_fit(
        self, candidate: Candidate, scopes: list[Scope], avoided: set[str]
    ) -> list[Offer] | None:
        """Return offers from the first scope that fits, or from the tightest for `same_rack`."""
        spec, wanted = candidate.step.spec, len(candidate.tasks)
        fitting = [s for s in scopes if s.count(spec.need) >= wanted]
        if not spec.same_rack:
            found = (self._fit_in_scope(candidate, scope, avoided) for scope in fitting)
            return next((chosen for chosen in found if chosen is not None), None)
        wish = self._speeds.find_wish(candidate)
        left = [(float(s.free_accelerators()), index, s) for index, s in enumerate(fitting)]
        best: tuple[float, int, list[Offer]] | None = None
        for least, index, scope in sorted(left, key=lambda entry: entry[:2]):
            if best is not None and (least, index) >= best[:2]:
                break
            chosen = self._fit_in_scope(candidate, scope, avoided)
            if chosen is None:
                continue
            cost = least + SLOW_COST * sum(offer.state.slow_until > self._now for offer in chosen)
            cost += SPEED_COST * self._speeds.judge(wish, chosen)
            if len(scopes) > 1 and len(group_by_rack(chosen)) > 1:
                cost += SPREAD_COST
            if best is None or (cost, index) < best[:2]:
                best = (cost, index, chosen)
        return best[2] if best else None

    def _fit_in_scope(
        self, candidate: Candidate, scope: Scope, avoided: set[str]
    ) -> list[Offer] | None:
        """Return an offer for each member, tightest first, or None; allocates nothing."""
        spec = candidate.step.spec
        wanted = len(candidate.tasks)
        fitting = scope.list_fitting(spec.need)
        if avoided:
            fitting = [offer for offer in fitting if offer.state.id not in avoided]

        def count(offer: Offer) -> int:
            fits = _count_fits_at(offer, spec.need)
            return min(fits, self._spread.room(candidate, offer.state.id))

        wish = self._speeds.find_wish(candidate)
        ordered = self._speeds.order_members(wish, fitting, wanted, self.packing_order, count)
        chosen: list[Offer] = []
        for offer in ordered:
            chosen += [offer] * min(count(offer), wanted - len(chosen))
            if len(chosen) == wanted:
                return chosen
        return None

    def reserve(self, candidate: Candidate, eligible: Scope) -> None:
        """Reserve free capacity in one rack for a gang that cannot start yet."""
        if self._reserved >= MAX_RESERVATIONS or not self._policy.reserve:
            return
        self._reserved += 1
        spec = candidate.step.spec
        scopes = self.list_scopes(candidate, eligible)
        if not scopes:
            return
        scope = self._select_scope(candidate.step, scopes)
        left = len(candidate.tasks)
        for offer in sorted(scope.offers, key=self._spreading_order):
            room = self._spread.room(candidate, offer.state.id)
            while left and room and spec.need.fits_in(offer.state.executor.capacity):
                if not offer.fits(spec.need):
                    break
                offer.reserve(spec.need)
                left -= 1
                room -= 1

    def _spreading_order(self, offer: Offer) -> tuple[bool, int, int, int]:
        """Return a sort key that reverses `packing_order`, but leaves ties in the plan's order."""
        is_slow, accelerators, cpu, number = self.packing_order(offer)
        return (not is_slow, -accelerators, -cpu, number)

    def _select_scope(self, step: StepState, scopes: list[Scope]) -> Scope:
        """Return the scope chosen by an earlier plan, or the one with most free capacity."""
        for scope in scopes:
            if scope.offers and scope.offers[0].state.executor.rack == step.chosen_rack:
                return scope
        best = max(scopes, key=lambda scope: count_free_now(scope.offers, step.spec.need))
        step.chosen_rack = best.offers[0].state.executor.rack if best.offers else None
        return best

    def list_avoided(self, candidate: Candidate) -> set[str]:
        """Return the executors that some task of a candidate avoids for now."""
        return {
            executor
            for task in candidate.tasks
            for executor in task.avoid
            if task.avoids(executor, self._now)
        }


def _count_fits_at(offer: Offer, need: Resources) -> int:
    """Return how many tasks fit on one executor without capacity promised to others."""
    return min(count_fits(need, offer.free), count_fits(need, offer.projected))
