"""Choosing what is taken back for urgent work: whole gangs, and as little lost as possible."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from heronthread_dispatch.model import URGENT, DesiredState, Resources
from heronthread_dispatch.plan import Candidate
from heronthread_dispatch.progress import Attempt, JobState, Phase
from heronthread_dispatch.sharing import may_be_taken_away

from .room import Room, count_fits

END_PATIENCE_S = 0.8
URGENT_LOSS_FACTOR = 6.0
URGENT_LEAST_LOSS = 10.0


@dataclass(frozen=True, slots=True)
class _Loss:
    """An attempt that may be stopped, and the work that is lost with its whole gang."""

    core_seconds: float
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class _Option:
    """What to stop at one executor so that one more task fits there."""

    cost: float
    victims: list[Attempt]


@dataclass(slots=True)
class _Clearing:
    """One search for room: what is left at each executor, and what was chosen so far."""

    candidate: Candidate
    soon: dict[str, Resources]
    here: dict[str, int] = field(default_factory=dict)
    victims: list[Attempt] = field(default_factory=list)
    doomed: set[int] = field(default_factory=set)
    chosen: list[Room] = field(default_factory=list)
    cost: float = 0.0
    has_doomed_lasting: bool = False

    @property
    def need(self) -> Resources:
        """What one task asks for."""
        return self.candidate.step.spec.need


class Victims:
    """Finds attempts to stop; `stops` are those that the plan stops already.

    A stop takes up to `stop_s`: what ends by itself within that time is waited for instead.
    """

    def __init__(
        self,
        jobs: Iterable[JobState],
        desired: DesiredState,
        guaranteed: set[str],
        now: float,
        stops: list[Attempt],
        stop_s: float,
    ) -> None:
        self._jobs = {job.spec.id: job for job in jobs}
        self._desired = desired
        self._guaranteed = guaranteed
        self._now = now
        self._stops = stops
        self._stop_s = stop_s
        self._known: dict[tuple[bool, str], list[_Loss]] = {}
        self._ending: dict[str, list[Attempt]] = {}
        self._stopped_ids: set[int] = set()

    def clear(
        self, candidate: Candidate, count: int, scope: list[Room]
    ) -> tuple[float, list[Attempt], list[Room]] | None:
        """Return the cheapest victims (cost, victims, rooms) that make room for `count`.

        Where the tasks are no gang, room for some of them is better than for none.
        """
        clearing = _Clearing(candidate, {room.state.id: room.soon for room in scope})
        if not self._may_suffice(clearing, count, scope):
            return None
        options = {room.state.id: self._cheapest_here(clearing, room) for room in scope}
        for _ in range(count):
            best = self._cheapest_room(clearing, scope, options)
            if best is None and (candidate.step.spec.gang or not clearing.chosen):
                return None
            if best is None:
                break
            room, option = best
            changed = self._apply(clearing, room, option)
            for other in scope:
                if other.state.id in changed or clearing.has_doomed_lasting:
                    options[other.state.id] = self._cheapest_here(clearing, other)
        return clearing.cost, clearing.victims, clearing.chosen

    def _may_suffice(self, clearing: _Clearing, count: int, scope: list[Room]) -> bool:
        """Whether room for a gang could be made if everything that may be taken were."""
        if not clearing.candidate.step.spec.gang:
            return True
        need, found = clearing.need, 0
        for room in scope:
            most = clearing.soon[room.state.id]
            ending = self._find_ending(clearing.candidate, room, clearing.doomed)
            for loss in self._takeable(clearing.candidate, room):
                if id(loss.attempt) not in ending:
                    most = most.plus(loss.attempt.need)
            if clearing.candidate.waited_s(self._now) < END_PATIENCE_S:
                most = self._with_ending(room, most, clearing.doomed)
            found += max(0, count_fits(need, most))
        return found >= count

    def _cheapest_room(
        self, clearing: _Clearing, scope: list[Room], options: dict[str, _Option | None]
    ) -> tuple[Room, _Option] | None:
        limit = clearing.candidate.step.spec.spread_limit
        best: tuple[Room, _Option] | None = None
        for room in scope:
            if limit and clearing.here.get(room.state.id, 0) >= limit:
                continue
            option = options[room.state.id]
            if option is None or (best is not None and option.cost >= best[1].cost):
                continue
            best = (room, option)
            if option.cost == 0.0:
                break
        return best

    def _apply(self, clearing: _Clearing, room: Room, option: _Option) -> set[str]:
        """Note a choice; return the executors where it changes what the next one costs."""
        changed = {room.state.id}
        clearing.cost += option.cost
        for attempt in option.victims:
            clearing.victims.append(attempt)
            clearing.has_doomed_lasting |= self._is_lasting(attempt)
            for member in self.whole_gang(attempt):
                clearing.doomed.add(id(member))
                if member.executor in clearing.soon:
                    clearing.soon[member.executor] = clearing.soon[member.executor].plus(
                        member.need
                    )
                    changed.add(member.executor)
        clearing.soon[room.state.id] = clearing.soon[room.state.id].minus(clearing.need)
        clearing.here[room.state.id] = clearing.here.get(room.state.id, 0) + 1
        clearing.chosen.append(room)
        return changed

    def _cheapest_here(self, clearing: _Clearing, room: Room) -> _Option | None:
        """Return what to stop at one executor so that one more task fits; None if nothing does."""
        need, soon, doomed = clearing.need, clearing.soon[room.state.id], clearing.doomed
        ending = self._find_ending(clearing.candidate, room, doomed)
        if clearing.candidate.waited_s(self._now) < END_PATIENCE_S:
            soon = self._with_ending(room, soon, doomed)
        if need.fits_in(soon):
            return _Option(0.0, [])
        cost = 0.0
        victims: list[Attempt] = []
        away = set(doomed)
        for loss in self._takeable(clearing.candidate, room):
            attempt = loss.attempt
            if id(attempt) in away or id(attempt) in ending:
                continue
            if not self.may_be_away(attempt, away):
                continue
            victims.append(attempt)
            cost += loss.core_seconds
            for member in self.whole_gang(attempt):
                away.add(id(member))
                if member.executor == room.state.id and id(member) not in ending:
                    soon = soon.plus(member.need)
            if need.fits_in(soon):
                return _Option(cost, victims)
        return None

    def _takeable(self, candidate: Candidate, room: Room) -> list[_Loss]:
        """Return the attempts at an executor that may be taken for a candidate, cheapest first."""
        key = (candidate.guaranteed, room.state.id)
        if key not in self._known:
            losses = [
                _Loss(self._loss(attempt), attempt)
                for attempt in room.state.attempts.values()
                if self._may_take(candidate, attempt)
            ]
            self._known[key] = sorted(losses, key=lambda loss: loss.core_seconds)
        stopped = self._stopped()
        return [loss for loss in self._known[key] if id(loss.attempt) not in stopped]

    def _find_ending(self, candidate: Candidate, room: Room, doomed: set[int]) -> set[int]:
        """Return the ids of what a candidate waits for instead of having it stopped."""
        if candidate.waited_s(self._now) >= END_PATIENCE_S:
            return set()
        return {id(attempt) for attempt in self._list_ending(room, doomed)}

    def _with_ending(self, room: Room, soon: Resources, doomed: set[int]) -> Resources:
        """Add what will have ended by itself before a stop would be over."""
        for attempt in self._list_ending(room, doomed):
            soon = soon.plus(attempt.need)
        return soon

    def _list_ending(self, room: Room, doomed: set[int]) -> list[Attempt]:
        """Return what ends by itself before a stop would be over, and is not stopped."""
        executor = room.state.id
        if executor not in self._ending:
            self._ending[executor] = [
                attempt
                for attempt in room.state.attempts.values()
                if attempt.phase is Phase.RUNNING
                and expected_end_s(attempt, self._now) <= self._stop_s
            ]
        gone = self._stopped().union(doomed)
        return [attempt for attempt in self._ending[executor] if id(attempt) not in gone]

    def may_be_away(self, attempt: Attempt, doomed: Iterable[int] = ()) -> bool:
        """Whether a lasting task may be taken away beside `doomed` and what is stopped."""
        job = self._job(attempt)
        if job is None:
            return False
        if not job.step_of(attempt.task).spec.lasting:
            return True
        return may_be_taken_away(job.step_of(attempt.task), self._stopped().union(doomed))

    def _may_take(self, candidate: Candidate, attempt: Attempt) -> bool:
        if attempt.phase is Phase.STOPPING:
            return False
        owner = self._job(attempt)
        if owner is None or owner.spec.id in self._guaranteed:
            return False
        if self._desired.current_queue(owner.spec).priority > URGENT:
            return True
        return candidate.guaranteed

    def whole_gang(self, attempt: Attempt) -> list[Attempt]:
        """Return an attempt with the other members of its gang."""
        job = self._job(attempt)
        if job is None or not job.step_of(attempt.task).spec.gang:
            return [attempt]
        tasks = job.step_of(attempt.task).tasks
        return [t.attempt for t in tasks if t.attempt is not None]

    def _loss(self, attempt: Attempt) -> float:
        """Return the core-seconds that are lost when an attempt is stopped now.

        Urgent work counts several times: it is late if it has to start anew.
        """
        job = self._job(attempt)
        step = job.step_of(attempt.task).spec if job else None
        total = 0.01
        for member in self.whole_gang(attempt):
            elapsed = max(0.0, self._now - (member.began_at or member.ordered_at))
            if step is not None and step.checkpointing:
                elapsed = min(elapsed, 0.3)
            total += elapsed * member.need.cores
        if job is not None and self._desired.current_queue(job.spec).priority == URGENT:
            total = (total + URGENT_LEAST_LOSS) * URGENT_LOSS_FACTOR
        return total

    def _is_lasting(self, attempt: Attempt) -> bool:
        job = self._job(attempt)
        return job is not None and job.step_of(attempt.task).spec.lasting

    def _stopped(self) -> set[int]:
        """Return the ids of what the plan stops; the plan only ever adds to it."""
        if len(self._stopped_ids) < len(self._stops):
            self._stopped_ids = {id(attempt) for attempt in self._stops}
        return self._stopped_ids

    def _job(self, attempt: Attempt) -> JobState | None:
        return self._jobs.get(attempt.task.job)


def expected_end_s(attempt: Attempt, now: float) -> float:
    """Return in how many seconds an attempt ends if it gets on as it did so far."""
    gained = attempt.percent - attempt.began_percent
    if gained <= 0 or attempt.began_at is None:
        return float("inf")
    worked = attempt.moved_at - attempt.began_at
    return worked * (100 - attempt.percent) / gained - (now - attempt.moved_at)
