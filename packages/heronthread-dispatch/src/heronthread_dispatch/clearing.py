"""One search for room among what others run: which stops make room for one task after another."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

from .losses import Loss, Losses
from .model import Resources
from .progress import Attempt
from .room import Room, Scope, count_fits


@dataclass(frozen=True, slots=True)
class Terms:
    """What decides a search beside the executors: equal terms find the same ways.

    `guaranteed`: for a job within its customer's guarantee; `waits`: what ends soon by itself
    counts as free.
    """

    need: Resources
    guaranteed: bool
    waits: bool
    spread_limit: int


@dataclass(frozen=True, slots=True)
class Way:
    """What to stop at one executor so that one more task fits there."""

    cost: float
    losses: list[Loss]


class RoomWays:
    """The ways at one executor for one task after another, where no other executor matters."""

    __slots__ = ("_doomed", "_losses", "_soon", "_terms", "_ways", "room")

    def __init__(self, room: Room, terms: Terms, losses: Losses, first: Way) -> None:
        self.room = room
        self._terms = terms
        self._losses = losses
        self._ways: list[Way | None] = [first]
        self._soon = room.soon
        self._doomed: set[int] = set()

    def find(self, place: int) -> Way | None:
        """Return the way for the task at a place in order, None if there is none."""
        limit = self._terms.spread_limit
        if limit and place >= limit:
            return None
        while len(self._ways) <= place:
            last = self._ways[-1]
            if last is None:
                return None
            self._apply(last)
            soon, doomed = self._soon, self._doomed
            way = find_way(self.room, self._terms, self._losses, soon, doomed)
            self._ways.append(way)
        return self._ways[place]

    def _apply(self, way: Way) -> None:
        for loss in way.losses:
            for member in loss.members:
                self._doomed.add(id(member))
                self._soon = self._soon.plus(member.need)
        self._soon = self._soon.minus(self._terms.need)


def find_way(
    room: Room, terms: Terms, losses: Losses, soon: Resources, doomed: set[int]
) -> Way | None:
    """Return what to stop at one executor beside `doomed`; None if nothing makes room.

    `soon` is what is left there without what is running and not doomed.
    """
    need = terms.need
    ending: frozenset[int] = frozenset()
    if terms.waits:
        # What ends by itself is counted here, so stopping it as well would gain nothing.
        ending = losses.find_ending(room, doomed)
        soon = losses.add_ending(room, soon, doomed)
    if need.fits_in(soon):
        return Way(0.0, [])
    cost = 0.0
    chosen: list[Loss] = []
    away = set(doomed)
    for loss in losses.list_takeable(terms.guaranteed, room):
        if id(loss.attempt) in away or id(loss.attempt) in ending:
            continue
        if loss.is_lasting and not losses.may_be_away(loss.attempt, away):
            continue
        chosen.append(loss)
        cost += loss.core_seconds
        for member in loss.members:
            away.add(id(member))
            if member.executor == room.state.id and id(member) not in ending:
                soon = soon.plus(member.need)
        if need.fits_in(soon):
            return Way(cost, chosen)
    return None


@dataclass(frozen=True, slots=True)
class RackWays:
    """The first ways at a rack's executors, the cheapest first.

    `most` bounds the tasks for which room could be made; what is to be stopped at `unsettled`
    rooms may depend on stops in any rack.
    """

    entries: list[Entry]
    most: int
    unsettled: list[Room]


Entry = tuple[float, int, int, Way, Room, RoomWays | None]
"""A way in the order of choice: its cost, its room's number and which one of the room's it is."""


def find_rack_ways(rack: Scope, terms: Terms, losses: Losses) -> RackWays:
    """Return the ways of a rack before anything is chosen."""

    def work_out(rooms: list[Room]) -> RackWays:
        entries: list[Entry] = []
        unsettled, most = [], 0
        for room in rooms:
            ladder = losses.find_ladder(terms.guaranteed, terms.waits, room)
            soon = losses.add_ending(room, room.soon) if terms.waits else room.soon
            most += max(0, count_fits(terms.need, soon.plus(ladder.total)))
            if ladder.has_lasting:
                unsettled.append(room)
                continue
            found = ladder.find_way(terms.need, soon)
            if found is None:
                continue
            way = Way(*found)
            chain = None if ladder.concerns_others else RoomWays(room, terms, losses, way)
            entries.append((way.cost, room.number, 0, way, room, chain))
        entries.sort(key=lambda entry: entry[:2])
        return RackWays(entries, most, unsettled)

    return rack.keep(("ways", terms), work_out)


class Choices:
    """The ways of some racks in the order of choice; new ones of a room replace its old ones."""

    def __init__(self, racks: list[RackWays]) -> None:
        self._racks = racks
        self._next = [0] * len(racks)
        self._rack_of: dict[int, int] = {}
        self._heap: list[Entry] = []
        self._newest: dict[int, int] = {}
        self._replaced = 0
        for rack in range(len(racks)):
            self._push_next(rack)

    def _push_next(self, rack: int) -> None:
        entries, place = self._racks[rack].entries, self._next[rack]
        if place < len(entries):
            self._next[rack] = place + 1
            self._rack_of[entries[place][1]] = rack
            heapq.heappush(self._heap, entries[place])

    def replace(self, room: Room, way: Way | None) -> None:
        """Put a room's new way in place of the one before; None: it has none any more."""
        self._replaced += 1
        self._newest[room.number] = self._replaced
        if way is not None:
            entry = (way.cost, room.number, self._replaced, way, room, None)
            heapq.heappush(self._heap, entry)

    def take_cheapest(self) -> Entry | None:
        """Return the cheapest way, of equal ones that of the first room; it is used up.

        A room on its own has its next way put in at once; any other room's is for the caller
        to replace.
        """
        while self._heap:
            entry = heapq.heappop(self._heap)
            _, number, place, _, room, chain = entry
            if place == 0:
                self._push_next(self._rack_of[number])
            if chain is not None:
                after = chain.find(place + 1)
                if after is not None:
                    heapq.heappush(self._heap, (after.cost, number, place + 1, after, room, chain))
                return entry
            if self._newest.get(number, 0) == place:
                return entry
        return None


@dataclass(slots=True)
class Clearing:
    """One search: what it changes at executors, and what was chosen so far.

    It goes on from where it stopped, so one search serves all gangs that ask the same: the
    choices for a smaller one are the first of those for a larger one. After each choice
    `costs` has the work lost until then and `victim_counts` how many `victims` that takes.
    """

    scope: Scope
    terms: Terms
    most: int
    unsettled: list[Room]
    choices: Choices
    losses: Losses
    to_evaluate: list[Room]
    soon: dict[str, Resources] = field(default_factory=dict)
    here: dict[str, int] = field(default_factory=dict)
    victims: list[Attempt] = field(default_factory=list)
    doomed: set[int] = field(default_factory=set)
    chosen: list[Room] = field(default_factory=list)
    costs: list[float] = field(default_factory=list)
    victim_counts: list[int] = field(default_factory=list)
    has_doomed_lasting: bool = False

    @property
    def cost(self) -> float:
        """The work lost by what was chosen so far."""
        return self.costs[-1] if self.costs else 0.0

    def extend(self, count: int, ceiling: float) -> None:
        """Choose until there are `count` rooms, no more can be had, or `ceiling` is reached."""
        while len(self.chosen) < count and self.cost < ceiling:
            self._evaluate_changed()
            entry = self.choices.take_cheapest()
            if entry is None:
                return
            cost, _, _, way, room, chain = entry
            if chain is None:
                self._apply(way, room)
            self.victims += [loss.attempt for loss in way.losses]
            self.victim_counts.append(len(self.victims))
            self.costs.append(self.cost + cost)
            self.chosen.append(room)

    def room_soon(self, room: Room) -> Resources:
        """Return what is left at an executor after what was chosen so far."""
        return self.soon.get(room.state.id, room.soon)

    def _evaluate_changed(self) -> None:
        """Work out anew what it takes at the executors that the last choice has changed."""
        limit = self.terms.spread_limit
        for room in self.to_evaluate:
            is_used_up = limit and self.here.get(room.state.id, 0) >= limit
            self.choices.replace(room, None if is_used_up else self._find_way(room))
        self.to_evaluate = []

    def _find_way(self, room: Room) -> Way | None:
        return find_way(room, self.terms, self.losses, self.room_soon(room), self.doomed)

    def _apply(self, way: Way, room: Room) -> None:
        """Note what a choice changes, here and where its gangs' members are."""
        changed = {room.state.id: room}
        for loss in way.losses:
            self.has_doomed_lasting |= loss.is_lasting
            for member in loss.members:
                self.doomed.add(id(member))
                other = self.scope.find_room(member.executor)
                if other is not None:
                    self.soon[member.executor] = self.room_soon(other).plus(member.need)
                    changed[member.executor] = other
        here = room.state.id
        self.soon[here] = self.room_soon(room).minus(self.terms.need)
        self.here[here] = self.here.get(here, 0) + 1
        self.to_evaluate = [*changed.values()]
        if self.has_doomed_lasting:
            self.to_evaluate += [r for r in self.unsettled if r.state.id not in changed]


def begin_clearing(scope: Scope, terms: Terms, losses: Losses) -> Clearing:
    """Return a search that has chosen nothing yet."""
    racks = [find_rack_ways(part, terms, losses) for part in scope.parts]
    unsettled = [room for ways in racks for room in ways.unsettled]
    most = sum(ways.most for ways in racks)
    return Clearing(scope, terms, most, unsettled, Choices(racks), losses, unsettled)


def find_clearing(scope: Scope, terms: Terms, losses: Losses) -> Clearing:
    """Return a search; in one rack the earlier one on the same terms if nothing has changed."""
    if not scope.is_rack:
        return begin_clearing(scope, terms, losses)

    def begin(_: list[Room]) -> Clearing:
        return begin_clearing(scope, terms, losses)

    clearing = scope.keep(("clearing", terms), begin)
    return begin_clearing(scope, terms, losses) if clearing.unsettled else clearing
