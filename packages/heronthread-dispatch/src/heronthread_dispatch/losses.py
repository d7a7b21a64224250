"""What is lost when attempts are stopped, by executor and the least first."""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass

from .model import NOTHING, URGENT, DesiredState, Resources
from .progress import Attempt, JobState, Phase
from .room import Room
from .sharing import may_be_taken_away

URGENT_LOSS_FACTOR = 6.0
URGENT_LEAST_LOSS = 10.0
LEAST_LOSS = 0.01
"""Core-seconds that any stop costs, so that of two ways the one with fewer stops is taken."""
CHECKPOINT_LOSS_S = 0.3
"""Work since the last checkpoint that a stop loses; a stop makes a checkpoint of its own."""


@dataclass(frozen=True, slots=True)
class Loss:
    """An attempt that may be stopped, and the work that is lost with its whole gang.

    `members` is the gang, the attempt among it; an attempt of no gang is its only member.
    """

    core_seconds: float
    attempt: Attempt
    members: list[Attempt]
    is_urgent: bool
    is_lasting: bool


@dataclass(frozen=True, slots=True)
class Ladder:
    """What may be stopped at one executor, the least loss first.

    With the first n `losses` stopped, `costs[n - 1]` core-seconds are lost and `freed[n - 1]`
    comes free. `total` is the room of all that may be stopped. With `concerns_others`, stops
    here change what can be had elsewhere, or those elsewhere what can be had here; with
    `has_lasting` they may forbid each other.
    """

    losses: list[Loss]
    costs: list[float]
    freed: list[Resources]
    total: Resources
    concerns_others: bool
    has_lasting: bool

    def find_way(self, need: Resources, soon: Resources) -> tuple[float, list[Loss]] | None:
        """Return the work lost and what is stopped until a task fits, None if it never does."""
        lacking = need.minus(soon)
        if lacking.fits_in(NOTHING):
            return 0.0, []
        for place, freed in enumerate(self.freed):
            if lacking.fits_in(freed):
                return self.costs[place], self.losses[: place + 1]
        return None


class Losses:
    """The losses of one plan; `stopped` are the ids of the attempts that it stops already.

    What ends by itself within `wait_s` is not stopped but waited for.
    """

    def __init__(
        self,
        jobs: Iterable[JobState],
        desired: DesiredState,
        guaranteed: set[str],
        now: float,
        stopped: set[int],
        wait_s: float,
    ) -> None:
        self._jobs = {job.spec.id: job for job in jobs}
        self._desired = desired
        self._guaranteed = guaranteed
        self._now = now
        self._stopped = stopped
        self._wait_s = wait_s
        self._known: dict[str, list[Loss]] = {}
        self._of_gang: dict[int, Loss] = {}
        self._ladders: dict[tuple[bool, bool, str], tuple[int, Ladder]] = {}
        self._ending: dict[str, list[Attempt]] = {}
        self._sharing: dict[str, bool] = {}

    def list_takeable(self, guaranteed: bool, room: Room) -> list[Loss]:
        """Return what may be stopped at an executor, the least loss first.

        For a job within its customer's guarantee that is also other customers' urgent work.
        """
        known = self._list_all(room)
        if not guaranteed:
            known = [loss for loss in known if not loss.is_urgent]
        if room.stops:
            known = [loss for loss in known if id(loss.attempt) not in self._stopped]
        return known

    def find_ladder(self, guaranteed: bool, waits: bool, room: Room) -> Ladder:
        """Return what may be stopped at an executor, summed up.

        With `waits` that is beside what ends by itself.
        """
        waits = waits and bool(self.list_ending(room))
        key = (guaranteed and self._holds_urgent(room), waits, room.state.id)
        known = self._ladders.get(key)
        if known is None or known[0] != room.stops:
            known = self._ladders[key] = (room.stops, self._make_ladder(key[0], waits, room))
        return known[1]

    def _holds_urgent(self, room: Room) -> bool:
        """Whether a guarantee makes a difference to what may be stopped at an executor."""
        return any(loss.is_urgent for loss in self._list_all(room))

    def _list_all(self, room: Room) -> list[Loss]:
        """Return the losses at an executor, also of urgent work and of what the plan stops."""
        known = self._known.get(room.state.id)
        if known is None:
            found = (self._find_loss(attempt) for attempt in room.state.attempts.values())
            known = [loss for loss in found if loss is not None]
            known.sort(key=lambda loss: loss.core_seconds)
            self._known[room.state.id] = known
        return known

    def _make_ladder(self, guaranteed: bool, waits: bool, room: Room) -> Ladder:
        losses: list[Loss] = []
        costs: list[float] = []
        freed: list[Resources] = []
        cost, room_freed, total = 0.0, NOTHING, NOTHING
        has_lasting = False
        away: set[int] = set()
        ending = self.find_ending(room) if waits else frozenset()
        for loss in self.list_takeable(guaranteed, room):
            need = loss.attempt.need
            has_lasting |= loss.is_lasting
            if id(loss.attempt) in ending:
                continue
            total = total.plus(need)
            if id(loss.attempt) in away:
                continue
            cost += loss.core_seconds
            if len(loss.members) == 1:
                room_freed = room_freed.plus(need)
            else:
                for member in loss.members:
                    away.add(id(member))
                    if member.executor == room.state.id and id(member) not in ending:
                        room_freed = room_freed.plus(member.need)
            losses.append(loss)
            costs.append(cost)
            freed.append(room_freed)
        concerns = has_lasting or self._shares_gangs(room)
        return Ladder(losses, costs, freed, total, concerns, has_lasting)

    def _shares_gangs(self, room: Room) -> bool:
        """Whether a gang with a member at an executor has other members elsewhere."""
        here = room.state.id
        if here not in self._sharing:
            gangs = [self.whole_gang(attempt) for attempt in room.state.attempts.values()]
            self._sharing[here] = any(
                member.executor != here for members in gangs for member in members
            )
        return self._sharing[here]

    def list_ending(self, room: Room) -> list[Attempt]:
        """Return what will have ended by itself in so short a time that it is waited for."""
        executor = room.state.id
        if executor not in self._ending:
            self._ending[executor] = [
                attempt
                for attempt in room.state.attempts.values()
                if attempt.phase is Phase.RUNNING
                and expected_end_s(attempt, self._now) <= self._wait_s
            ]
        return self._ending[executor]

    def find_ending(self, room: Room, doomed: Container[int] = frozenset()) -> frozenset[int]:
        """Return the ids of what ends by itself and isn't stopped, nor `doomed` to be."""
        ending = (id(attempt) for attempt in self.list_ending(room))
        return frozenset(i for i in ending if i not in doomed and i not in self._stopped)

    def add_ending(
        self, room: Room, soon: Resources, doomed: Container[int] = frozenset()
    ) -> Resources:
        """Add the room of what ends by itself and isn't stopped.

        The room of what is stopped is in `soon` already, however soon it would have ended.
        """
        for attempt in self.list_ending(room):
            if id(attempt) not in doomed and id(attempt) not in self._stopped:
                soon = soon.plus(attempt.need)
        return soon

    def may_be_away(self, attempt: Attempt, doomed: Iterable[int] = ()) -> bool:
        """Whether a lasting task may be taken away beside `doomed` and what is stopped."""
        job = self._jobs.get(attempt.task.job)
        if job is None:
            return False
        step = job.step_of(attempt.task)
        if not step.spec.lasting:
            return True
        return may_be_taken_away(step, self._stopped.union(doomed))

    def whole_gang(self, attempt: Attempt) -> list[Attempt]:
        """Return an attempt with the other members of its gang."""
        job = self._jobs.get(attempt.task.job)
        if job is None:
            return [attempt]
        step = job.step_of(attempt.task)
        if not step.spec.gang:
            return [attempt]
        return step.attempts()

    def _find_loss(self, attempt: Attempt) -> Loss | None:
        """Return what is lost when an attempt is stopped now; None if it may not be."""
        if attempt.phase is Phase.STOPPING:
            return None
        known = self._of_gang.get(id(attempt))
        if known is not None:
            return known
        job = self._jobs.get(attempt.task.job)
        if job is None or attempt.task.job in self._guaranteed:
            return None
        spec = job.step_of(attempt.task).spec
        members = self.whole_gang(attempt)
        total = self._sum_loss(members, spec.checkpointing)
        is_urgent = self._desired.current_queue(job.spec).priority == URGENT
        if is_urgent:
            # Urgent work is late if it has to start anew.
            total = (total + URGENT_LEAST_LOSS) * URGENT_LOSS_FACTOR
        if len(members) == 1:
            return Loss(total, attempt, members, is_urgent, spec.lasting)
        for member in members:
            loss = Loss(total, member, members, is_urgent, spec.lasting)
            self._of_gang[id(member)] = loss
        return self._of_gang[id(attempt)]

    def _sum_loss(self, attempts: list[Attempt], checkpoints: bool) -> float:
        """Return the core-seconds of attempts since they began, or since their checkpoints."""
        total = LEAST_LOSS
        for member in attempts:
            elapsed = max(0.0, self._now - (member.began_at or member.ordered_at))
            if checkpoints:
                elapsed = min(elapsed, CHECKPOINT_LOSS_S)
            total += elapsed * member.need.cores
        return total


def expected_end_s(attempt: Attempt, now: float) -> float:
    """Return in how many seconds an attempt ends if it gets on as it did so far."""
    gained = attempt.percent - attempt.began_percent
    if gained <= 0 or attempt.began_at is None:
        return float("inf")
    worked = attempt.moved_at - attempt.began_at
    return worked * (100 - attempt.percent) / gained - (now - attempt.moved_at)
