"""Incremental search for the cheapest attempts to stop so that tasks of urgent steps fit."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

from .losses import Loss, Losses
from .model import Resources
from .offers import UNLIMITED_FITS, Offer, Scope, count_fits
from .step_state import Attempt


@dataclass(frozen=True, slots=True)
class SearchCriteria:
    """The inputs of a search beside the executors; equal criteria give equal results.

    `guaranteed` marks a job within its customer's guarantee. With `waits_for_ends`, resources of
    attempts that end by themselves within `wait_s` count as free; 0 stands for the plan's default.
    `held` is how many of the step's tasks each executor holds already, if it has a spread limit.
    """

    need: Resources
    guaranteed: bool
    waits_for_ends: bool
    spread_limit: int
    wait_s: float = 0.0
    held: tuple[tuple[str, int], ...] = ()

    def find_room(self, executor: str) -> int:
        """Return how many more tasks the spread limit allows at an executor."""
        if not self.spread_limit:
            return UNLIMITED_FITS
        return self.spread_limit - sum(count for name, count in self.held if name == executor)


@dataclass(frozen=True, slots=True)
class EvictionOption:
    """The attempts to stop on one executor so that one more task fits."""

    cost: float
    losses: list[Loss]


class ExecutorOptions:
    """The options of one executor for successive tasks, if independent of other executors."""

    __slots__ = ("_criteria", "_losses", "_options", "_projected", "_victim_ids", "offer")

    def __init__(
        self, offer: Offer, criteria: SearchCriteria, losses: Losses, first: EvictionOption
    ) -> None:
        self.offer = offer
        self._criteria = criteria
        self._losses = losses
        self._options: list[EvictionOption | None] = [first]
        self._projected = offer.projected
        self._victim_ids: set[int] = set()

    def option_at(self, index: int) -> EvictionOption | None:
        """Return the option for the task at an index, None if there is none."""
        if index >= self._criteria.find_room(self.offer.state.id):
            return None
        while len(self._options) <= index:
            last = self._options[-1]
            if last is None:
                return None
            self._apply(last)
            projected, victim_ids = self._projected, self._victim_ids
            option = find_option(self.offer, self._criteria, self._losses, projected, victim_ids)
            self._options.append(option)
        return self._options[index]

    def _apply(self, option: EvictionOption) -> None:
        for loss in option.losses:
            for member in loss.members:
                self._victim_ids.add(id(member))
                self._projected = self._projected.plus(member.need)
        self._projected = self._projected.minus(self._criteria.need)


def find_option(
    offer: Offer,
    criteria: SearchCriteria,
    losses: Losses,
    projected: Resources,
    victim_ids: set[int],
) -> EvictionOption | None:
    """Return what to stop on one executor beside `victim_ids`; None if a task cannot fit.

    `projected` is what the executor has left once the attempts in `victim_ids` are stopped.
    """
    need = criteria.need
    ending: frozenset[int] = frozenset()
    if criteria.waits_for_ends:
        # Attempts that end by themselves count as free here, so stopping them gains nothing.
        ending = losses.find_ending_soon(offer, victim_ids)
        projected = losses.add_ending_soon(offer, projected, victim_ids)
    if need.fits_in(projected):
        return EvictionOption(0.0, [])
    cost = 0.0
    chosen: list[Loss] = []
    evicted = set(victim_ids)
    for loss in losses.list_evictable(criteria.guaranteed, offer):
        if id(loss.attempt) in evicted or id(loss.attempt) in ending:
            continue
        if loss.is_lasting and not losses.may_disrupt(loss.attempt, evicted):
            continue
        chosen.append(loss)
        cost += loss.core_seconds
        for member in loss.members:
            evicted.add(id(member))
            if member.executor == offer.state.id and id(member) not in ending:
                projected = projected.plus(member.need)
        if need.fits_in(projected):
            return EvictionOption(cost, chosen)
    return None


@dataclass(frozen=True, slots=True)
class RackOptions:
    """The first option of each executor in a rack, cheapest first.

    `upper_bound` limits the number of tasks that could fit. Options of `interdependent` offers may
    depend on stops in any rack.
    """

    entries: list[Entry]
    upper_bound: int
    interdependent: list[Offer]


Entry = tuple[float, int, int, EvictionOption, Offer, ExecutorOptions | None]
"""An option in queue order: cost, number of its offer, and sequence number among the offer's
options."""


def find_rack_options(rack: Scope, criteria: SearchCriteria, losses: Losses) -> RackOptions:
    """Return the options of a rack before any victim is selected."""

    def compute(offers: list[Offer]) -> RackOptions:
        entries: list[Entry] = []
        interdependent, upper_bound = [], 0
        for offer in offers:
            room = criteria.find_room(offer.state.id)
            if room <= 0:
                continue
            cumulative = losses.find_cumulative(criteria.guaranteed, criteria.waits_for_ends, offer)
            projected = (
                losses.add_ending_soon(offer, offer.projected)
                if criteria.waits_for_ends
                else offer.projected
            )
            fits = count_fits(criteria.need, projected.plus(cumulative.total))
            upper_bound += max(0, min(fits, room))
            if cumulative.has_lasting:
                interdependent.append(offer)
                continue
            found = cumulative.find_option(criteria.need, projected)
            if found is None:
                continue
            option = EvictionOption(*found)
            executor_options = (
                None
                if cumulative.affects_others
                else ExecutorOptions(offer, criteria, losses, option)
            )
            entries.append((option.cost, offer.number, 0, option, offer, executor_options))
        entries.sort(key=lambda entry: entry[:2])
        return RackOptions(entries, upper_bound, interdependent)

    return rack.cached(("options", criteria), compute)


class OptionQueue:
    """The options of several racks, cheapest first, one per offer."""

    def __init__(self, racks: list[RackOptions]) -> None:
        self._racks = racks
        self._next = [0] * len(racks)
        self._rack_of: dict[int, int] = {}
        self._heap: list[Entry] = []
        self._newest: dict[int, int] = {}
        self._replaced = 0
        for rack in range(len(racks)):
            self._push_next(rack)

    def _push_next(self, rack: int) -> None:
        entries, index = self._racks[rack].entries, self._next[rack]
        if index < len(entries):
            self._next[rack] = index + 1
            self._rack_of[entries[index][1]] = rack
            heapq.heappush(self._heap, entries[index])

    def replace(self, offer: Offer, option: EvictionOption | None) -> None:
        """Replace an offer's option; None if it has none any more."""
        self._replaced += 1
        self._newest[offer.number] = self._replaced
        if option is not None:
            entry = (option.cost, offer.number, self._replaced, option, offer, None)
            heapq.heappush(self._heap, entry)

    def take_cheapest(self) -> Entry | None:
        """Remove and return the cheapest option, on a tie that of the first offer.

        The next option of an offer with `ExecutorOptions` is queued at once; that of any other
        offer is for the caller to replace.
        """
        while self._heap:
            entry = heapq.heappop(self._heap)
            _, number, index, _, offer, executor_options = entry
            if index == 0:
                self._push_next(self._rack_of[number])
            if executor_options is not None:
                after = executor_options.option_at(index + 1)
                if after is not None:
                    heapq.heappush(
                        self._heap, (after.cost, number, index + 1, after, offer, executor_options)
                    )
                return entry
            if self._newest.get(number, 0) == index:
                return entry
        return None


@dataclass(slots=True)
class VictimSearch:
    """A search with the options selected so far and their effects.

    It can be resumed, so one search serves all gangs with the same criteria: a smaller gang uses a
    prefix of a larger gang's selection. After each selection `costs` gets the total work lost and
    `victim_counts` the number of `victims` so far.
    """

    scope: Scope
    criteria: SearchCriteria
    upper_bound: int
    interdependent: list[Offer]
    queue: OptionQueue
    losses: Losses
    stale_offers: list[Offer]
    projected: dict[str, Resources] = field(default_factory=dict)
    placed_counts: dict[str, int] = field(default_factory=dict)
    victims: list[Attempt] = field(default_factory=list)
    victim_ids: set[int] = field(default_factory=set)
    chosen: list[Offer] = field(default_factory=list)
    costs: list[float] = field(default_factory=list)
    victim_counts: list[int] = field(default_factory=list)
    has_lasting_victims: bool = False

    @property
    def cost(self) -> float:
        """The total work lost by the selection so far."""
        return self.costs[-1] if self.costs else 0.0

    def extend(self, count: int, max_cost: float) -> None:
        """Select options until `count` tasks fit, none is left, or the cost reaches `max_cost`."""
        while len(self.chosen) < count and self.cost < max_cost:
            self._evaluate_changed()
            entry = self.queue.take_cheapest()
            if entry is None:
                return
            cost, _, _, option, offer, executor_options = entry
            if executor_options is None:
                self._apply(option, offer)
            self.victims += [loss.attempt for loss in option.losses]
            self.victim_counts.append(len(self.victims))
            self.costs.append(self.cost + cost)
            self.chosen.append(offer)

    def projected_at(self, offer: Offer) -> Resources:
        """Return what is left on an executor after the selection so far."""
        return self.projected.get(offer.state.id, offer.projected)

    def _evaluate_changed(self) -> None:
        """Recompute the options of the executors affected by the last selection."""
        for offer in self.stale_offers:
            room = self.criteria.find_room(offer.state.id)
            is_exhausted = self.placed_counts.get(offer.state.id, 0) >= room
            self.queue.replace(offer, None if is_exhausted else self._find_option(offer))
        self.stale_offers = []

    def _find_option(self, offer: Offer) -> EvictionOption | None:
        return find_option(
            offer, self.criteria, self.losses, self.projected_at(offer), self.victim_ids
        )

    def _apply(self, option: EvictionOption, offer: Offer) -> None:
        """Record the effects of an option on its executor and on those of its gangs' members."""
        changed = {offer.state.id: offer}
        for loss in option.losses:
            self.has_lasting_victims |= loss.is_lasting
            for member in loss.members:
                self.victim_ids.add(id(member))
                other = self.scope.find_offer(member.executor)
                if other is not None:
                    self.projected[member.executor] = self.projected_at(other).plus(member.need)
                    changed[member.executor] = other
        here = offer.state.id
        self.projected[here] = self.projected_at(offer).minus(self.criteria.need)
        self.placed_counts[here] = self.placed_counts.get(here, 0) + 1
        self.stale_offers = [*changed.values()]
        if self.has_lasting_victims:
            self.stale_offers += [
                offer for offer in self.interdependent if offer.state.id not in changed
            ]


def begin_search(scope: Scope, criteria: SearchCriteria, losses: Losses) -> VictimSearch:
    """Return a search with nothing selected yet."""
    racks = [find_rack_options(rack_scope, criteria, losses) for rack_scope in scope.racks]
    interdependent = [offer for options in racks for offer in options.interdependent]
    upper_bound = sum(options.upper_bound for options in racks)
    return VictimSearch(
        scope, criteria, upper_bound, interdependent, OptionQueue(racks), losses, interdependent
    )


def find_search(scope: Scope, criteria: SearchCriteria, losses: Losses) -> VictimSearch:
    """Return a search; for a rack the cached one for the same criteria if nothing has changed."""
    if not scope.is_rack:
        return begin_search(scope, criteria, losses)

    def begin(_: list[Offer]) -> VictimSearch:
        return begin_search(scope, criteria, losses)

    search = scope.cached(("clearing", criteria), begin)
    return begin_search(scope, criteria, losses) if search.interdependent else search
