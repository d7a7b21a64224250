"""Gang placement: all members at once, with reservations for gangs that cannot start yet."""

from __future__ import annotations

from collections.abc import Callable

from heronthread_dispatch.model import URGENT
from heronthread_dispatch.plan import Candidate
from heronthread_dispatch.policy import Policy
from heronthread_dispatch.step_state import StepState, TaskState

from .offers import Offer, count_free_now, fits_when_empty, group_by_rack

SPREAD_WAIT_S = 1.5
IDLE_SPREAD_WAIT_S = 2.0
IDLE_SHARE = 0.5
AMPLE_ROOM_FACTOR = 2
MAX_RESERVATIONS = 2


class GangPlacer:
    """Places the gangs of one plan."""

    def __init__(
        self,
        now: float,
        policy: Policy,
        avoids_headroom: Callable[[Candidate], bool],
        is_mostly_idle: Callable[[str, float], bool],
    ) -> None:
        self._now = now
        self._policy = policy
        self._avoids_headroom = avoids_headroom
        self._is_mostly_idle = is_mostly_idle
        self._min_unplaceable: dict[tuple[object, ...], int] = {}
        self._reserved = 0

    def packing_order(self, offer: Offer) -> tuple[bool, int, int]:
        """Return a sort key: healthy executors first, and of those the fullest."""
        return (offer.state.slow_until > self._now, offer.free.accelerators, offer.free.cpu)

    def place(
        self, candidate: Candidate, offers: list[Offer], held: dict[str, int]
    ) -> list[tuple[TaskState, Offer]]:
        """Allocate capacity for all members at once, or for none if they do not all fit."""
        scopes = self.list_scopes(candidate, offers)
        key, count = self._key(candidate, offers, scopes), len(candidate.tasks)
        if count >= self._min_unplaceable.get(key, count + 1):
            return []
        best = self._best_fit(candidate, scopes, held)
        if best is None:
            if not self._list_avoided(candidate) and not held:
                self._min_unplaceable[key] = count
            return []
        for offer in best:
            offer.allocate(candidate.step.spec.need)
        return list(zip(candidate.tasks, best, strict=True))

    def _key(
        self, candidate: Candidate, offers: list[Offer], scopes: list[list[Offer]]
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
            self._avoids_headroom(candidate),
            len(offers),
            len(scopes),
            candidate.key if candidate.queue.approval else None,
            candidate.allowed_executors,
        )

    def list_scopes(self, candidate: Candidate, offers: list[Offer]) -> list[list[Offer]]:
        """Return the sets of executors that a gang may use, preferred ones first."""
        spec = candidate.step.spec
        everywhere = [offers]
        if not spec.same_rack and not spec.data_rack:
            return everywhere
        racks = group_by_rack(offers)
        if spec.data_rack:
            scopes = [racks[spec.data_rack]] if spec.data_rack in racks else []
            others = [r for name, r in racks.items() if name != spec.data_rack]
        else:
            scopes, others = list(racks.values()), []
        possible = any(fits_when_empty(r, spec, len(candidate.tasks)) for r in scopes)
        if not possible or self._may_spread(candidate, offers):
            return [*scopes, *others, offers]
        return scopes

    def _may_spread(self, candidate: Candidate, offers: list[Offer]) -> bool:
        """Whether a gang may use any racks although one would have room for it when empty."""
        waited_s, need = candidate.waited_s(self._now), candidate.step.spec.need
        if candidate.queue.priority == URGENT:
            return waited_s >= SPREAD_WAIT_S
        if waited_s < IDLE_SPREAD_WAIT_S or candidate.job.attempts():
            return False
        room = count_free_now([offer for offer in offers if offer.fits(need)], need)
        is_ample = room >= AMPLE_ROOM_FACTOR * len(candidate.tasks)
        return is_ample and self._is_mostly_idle(candidate.queue.pool, IDLE_SHARE)

    def _best_fit(
        self, candidate: Candidate, scopes: list[list[Offer]], held: dict[str, int]
    ) -> list[Offer] | None:
        spec = candidate.step.spec
        best: tuple[float, list[Offer]] | None = None
        for scope in scopes:
            chosen = self._fit_in_scope(candidate, scope, held)
            if chosen is None:
                continue
            if not spec.same_rack:
                return chosen
            left = float(sum(offer.free.accelerators for offer in scope))
            left += 1e3 * sum(offer.state.slow_until > self._now for offer in chosen)
            if len(scopes) > 1 and len(group_by_rack(chosen)) > 1:
                left += 1e6
            if best is None or left < best[0]:
                best = (left, chosen)
        return best[1] if best else None

    def _fit_in_scope(
        self, candidate: Candidate, scope: list[Offer], held: dict[str, int]
    ) -> list[Offer] | None:
        """Return an offer for each member, tightest first, or None; allocates nothing."""
        spec = candidate.step.spec
        wanted = len(candidate.tasks)
        avoided = self._list_avoided(candidate)
        fitting = [r for r in scope if r.fits(spec.need) and r.state.id not in avoided]
        if count_free_now(fitting, spec.need) < wanted:
            return None
        chosen: list[Offer] = []
        for offer in sorted(fitting, key=self.packing_order):
            now, projected, here = offer.free, offer.projected, held.get(offer.state.id, 0)
            while len(chosen) < wanted and spec.need.fits_in(now) and spec.need.fits_in(projected):
                if spec.spread_limit and here >= spec.spread_limit:
                    break
                chosen.append(offer)
                here += 1
                now, projected = now.minus(spec.need), projected.minus(spec.need)
        return chosen if len(chosen) == wanted else None

    def reserve(self, candidate: Candidate, offers: list[Offer], held: dict[str, int]) -> None:
        """Reserve free capacity in one rack for a gang that cannot start yet."""
        if self._reserved >= MAX_RESERVATIONS or not self._policy.reserve:
            return
        self._reserved += 1
        spec = candidate.step.spec
        scopes = self.list_scopes(candidate, offers)
        if not scopes:
            return
        step = candidate.step
        scope = self._select_scope(step, scopes)
        left = len(candidate.tasks)
        for offer in sorted(scope, key=self.packing_order, reverse=True):
            room = spec.spread_limit - held.get(offer.state.id, 0) if spec.spread_limit else left
            while left and room > 0 and spec.need.fits_in(offer.state.executor.capacity):
                if not offer.fits(spec.need):
                    break
                offer.allocate(spec.need)
                left -= 1
                room -= 1

    def _select_scope(self, step: StepState, scopes: list[list[Offer]]) -> list[Offer]:
        """Return the scope chosen by an earlier plan, or the one with most free capacity."""
        for scope in scopes:
            if scope and scope[0].state.executor.rack == step.chosen_rack:
                return scope
        best = max(scopes, key=lambda scope: count_free_now(scope, step.spec.need))
        step.chosen_rack = best[0].state.executor.rack if best else None
        return best

    def _list_avoided(self, candidate: Candidate) -> set[str]:
        """Return the executors that some task of a candidate avoids for now."""
        return {
            executor
            for task in candidate.tasks
            for executor, until in task.avoid.items()
            if until > self._now
        }
