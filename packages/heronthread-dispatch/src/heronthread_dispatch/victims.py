"""Choosing what is taken back for urgent work: whole gangs, and as little lost as possible."""

from __future__ import annotations

from collections.abc import Iterable

from .model import URGENT, DesiredState, Resources
from .plan import Candidate
from .progress import Attempt, JobState, Phase
from .room import Room
from .sharing import may_be_taken_away

END_PATIENCE_S = 0.8
URGENT_LOSS_FACTOR = 6.0
URGENT_LEAST_LOSS = 10.0


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

    def clear(
        self, candidate: Candidate, count: int, scope: list[Room]
    ) -> tuple[float, list[Attempt], list[Room]] | None:
        """Return the cheapest victims (cost, victims, rooms) that make room for `count`.

        Where the tasks are no gang, room for some of them is better than for none.
        """
        need = candidate.step.spec.need
        limit = candidate.step.spec.spread_limit
        soon = {room.state.id: room.soon for room in scope}
        here: dict[str, int] = {}
        victims: list[Attempt] = []
        doomed: set[int] = set()
        cost = 0.0
        chosen: list[Room] = []
        for _ in range(count):
            best: tuple[float, Room, list[Attempt]] | None = None
            for room in scope:
                if limit and here.get(room.state.id, 0) >= limit:
                    continue
                option = self._cheapest_here(candidate, room, soon[room.state.id], need, doomed)
                if option is not None and (best is None or option[0] < best[0]):
                    best = (option[0], room, option[1])
                    if option[0] == 0.0:
                        break
            if best is None and (candidate.step.spec.gang or not chosen):
                return None
            if best is None:
                break
            cost += best[0]
            for attempt in best[2]:
                victims.append(attempt)
                for member in self.whole_gang(attempt):
                    doomed.add(id(member))
                    if member.executor in soon:
                        soon[member.executor] = soon[member.executor].plus(member.need)
            room = best[1]
            soon[room.state.id] = soon[room.state.id].minus(need)
            here[room.state.id] = here.get(room.state.id, 0) + 1
            chosen.append(room)
        return cost, victims, chosen

    def _cheapest_here(
        self,
        candidate: Candidate,
        room: Room,
        soon: Resources,
        need: Resources,
        doomed: set[int],
    ) -> tuple[float, list[Attempt]] | None:
        if candidate.waited_s(self._now) < END_PATIENCE_S:
            soon = self._with_ending(room, soon, doomed)
        if need.fits_in(soon):
            return 0.0, []
        options = [
            (self._loss(attempt), attempt)
            for attempt in room.state.attempts.values()
            if id(attempt) not in doomed and self._may_take(candidate, attempt)
        ]
        options.sort(key=lambda option: option[0])
        cost = 0.0
        victims: list[Attempt] = []
        for loss, attempt in options:
            away = doomed | {id(victim) for victim in victims}
            if not self.may_be_away(attempt, away):
                continue
            victims.append(attempt)
            cost += loss
            soon = soon.plus(attempt.need)
            if need.fits_in(soon):
                return cost, victims
        return None

    def _with_ending(self, room: Room, soon: Resources, doomed: set[int]) -> Resources:
        """Add what will have ended by itself before a stop would be over."""
        for attempt in room.state.attempts.values():
            if id(attempt) in doomed or attempt.phase is not Phase.RUNNING:
                continue
            if expected_end_s(attempt, self._now) <= self._stop_s:
                soon = soon.plus(attempt.need)
        return soon

    def may_be_away(self, attempt: Attempt, doomed: Iterable[int] = ()) -> bool:
        """Whether a lasting task may be taken away beside `doomed` and what is stopped."""
        job = self._job(attempt)
        if job is None:
            return False
        return may_be_taken_away(job.step_of(attempt.task), self._stopped().union(doomed))

    def _may_take(self, candidate: Candidate, attempt: Attempt) -> bool:
        if attempt.phase is Phase.STOPPING or attempt in self._stops:
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

    def _stopped(self) -> set[int]:
        return {id(attempt) for attempt in self._stops}

    def _job(self, attempt: Attempt) -> JobState | None:
        return self._jobs.get(attempt.task.job)


def expected_end_s(attempt: Attempt, now: float) -> float:
    """Return in how many seconds an attempt ends if it gets on as it did so far."""
    gained = attempt.percent - attempt.began_percent
    if gained <= 0 or attempt.began_at is None:
        return float("inf")
    worked = attempt.moved_at - attempt.began_at
    return worked * (100 - attempt.percent) / gained - (now - attempt.moved_at)
