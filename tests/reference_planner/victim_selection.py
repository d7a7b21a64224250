"""Selection of attempts to stop for urgent work: whole gangs, with the least work lost."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from heronthread_dispatch.colocation import is_within_disruption_budget
from heronthread_dispatch.model import URGENT, DesiredState, Resources
from heronthread_dispatch.plan import Candidate
from heronthread_dispatch.progress import JobState
from heronthread_dispatch.step_state import Attempt, Phase

from .offers import Offer, count_fits

END_WAIT_S = 0.8
URGENT_LOSS_FACTOR = 6.0
URGENT_MIN_LOSS_CORE_S = 10.0


@dataclass(frozen=True, slots=True)
class _Loss:
    """An attempt that may be stopped, and the work lost with its whole gang."""

    core_seconds: float
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class _Option:
    """The attempts to stop on one executor so that one more task fits."""

    cost: float
    victims: list[Attempt]


@dataclass(slots=True)
class _VictimSearch:
    """A search with the options selected so far and what is left on each executor."""

    candidate: Candidate
    projected: dict[str, Resources]
    placed_counts: dict[str, int] = field(default_factory=dict)
    victims: list[Attempt] = field(default_factory=list)
    victim_ids: set[int] = field(default_factory=set)
    chosen: list[Offer] = field(default_factory=list)
    cost: float = 0.0
    has_lasting_victims: bool = False

    @property
    def need(self) -> Resources:
        """The resources one task needs."""
        return self.candidate.step.spec.need


class VictimSelector:
    """Selects attempts to stop; `stops` holds those that the plan already stops.

    A stop takes up to `stop_s`; attempts that end by themselves within that time are waited for.
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
        self._losses_by_executor: dict[tuple[bool, str], list[_Loss]] = {}
        self._ending_soon: dict[str, list[Attempt]] = {}
        self._stopped_ids: set[int] = set()

    def find_victims(
        self, candidate: Candidate, count: int, scope: list[Offer], held: dict[str, int]
    ) -> tuple[float, list[Attempt], list[Offer]] | None:
        """Return the cheapest victims that make `count` tasks fit, as (cost, victims, offers).

        For tasks outside a gang, the result may cover fewer than `count`.
        """
        projected = {offer.state.id: offer.projected for offer in scope}
        search = _VictimSearch(candidate, projected, dict(held))
        if not self._can_fit(search, count, scope):
            return None
        options = {offer.state.id: self._cheapest_option_at(search, offer) for offer in scope}
        for _ in range(count):
            best = self._cheapest_offer(search, scope, options)
            if best is None and (candidate.step.spec.gang or not search.chosen):
                return None
            if best is None:
                break
            offer, option = best
            changed = self._apply(search, offer, option)
            for other in scope:
                if other.state.id in changed or search.has_lasting_victims:
                    options[other.state.id] = self._cheapest_option_at(search, other)
        return search.cost, search.victims, search.chosen

    def _can_fit(self, search: _VictimSearch, count: int, scope: list[Offer]) -> bool:
        """Whether a gang would fit if everything that may be stopped were stopped."""
        if not search.candidate.step.spec.gang:
            return True
        need, found = search.need, 0
        for offer in scope:
            projected = search.projected[offer.state.id]
            ending = self._find_ending_soon(search.candidate, offer, search.victim_ids)
            for loss in self._list_evictable(search.candidate, offer):
                if id(loss.attempt) not in ending:
                    projected = projected.plus(loss.attempt.need)
            if search.candidate.waited_s(self._now) < END_WAIT_S:
                projected = self._add_ending_soon(offer, projected, search.victim_ids)
            found += max(0, count_fits(need, projected))
        return found >= count

    def _cheapest_offer(
        self, search: _VictimSearch, scope: list[Offer], options: dict[str, _Option | None]
    ) -> tuple[Offer, _Option] | None:
        limit = search.candidate.step.spec.spread_limit
        best: tuple[Offer, _Option] | None = None
        for offer in scope:
            if limit and search.placed_counts.get(offer.state.id, 0) >= limit:
                continue
            option = options[offer.state.id]
            if option is None or (best is not None and option.cost >= best[1].cost):
                continue
            best = (offer, option)
            if option.cost == 0.0:
                break
        return best

    def _apply(self, search: _VictimSearch, offer: Offer, option: _Option) -> set[str]:
        """Record a selected option; return the executors whose next option it may change."""
        changed = {offer.state.id}
        search.cost += option.cost
        for attempt in option.victims:
            search.victims.append(attempt)
            search.has_lasting_victims |= self._is_lasting(attempt)
            for member in self.whole_gang(attempt):
                search.victim_ids.add(id(member))
                if member.executor in search.projected:
                    search.projected[member.executor] = search.projected[member.executor].plus(
                        member.need
                    )
                    changed.add(member.executor)
        search.projected[offer.state.id] = search.projected[offer.state.id].minus(search.need)
        search.placed_counts[offer.state.id] = search.placed_counts.get(offer.state.id, 0) + 1
        search.chosen.append(offer)
        return changed

    def _cheapest_option_at(self, search: _VictimSearch, offer: Offer) -> _Option | None:
        """Return what to stop on one executor so that one more task fits; None if it cannot fit."""
        need, projected, victim_ids = (
            search.need,
            search.projected[offer.state.id],
            search.victim_ids,
        )
        ending = self._find_ending_soon(search.candidate, offer, victim_ids)
        if search.candidate.waited_s(self._now) < END_WAIT_S:
            projected = self._add_ending_soon(offer, projected, victim_ids)
        if need.fits_in(projected):
            return _Option(0.0, [])
        cost = 0.0
        victims: list[Attempt] = []
        evicted = set(victim_ids)
        for loss in self._list_evictable(search.candidate, offer):
            attempt = loss.attempt
            if id(attempt) in evicted or id(attempt) in ending:
                continue
            if not self.may_disrupt(attempt, evicted):
                continue
            victims.append(attempt)
            cost += loss.core_seconds
            for member in self.whole_gang(attempt):
                evicted.add(id(member))
                if member.executor == offer.state.id and id(member) not in ending:
                    projected = projected.plus(member.need)
            if need.fits_in(projected):
                return _Option(cost, victims)
        return None

    def _list_evictable(self, candidate: Candidate, offer: Offer) -> list[_Loss]:
        """Return the attempts on an executor that a candidate may stop, cheapest first."""
        key = (candidate.guaranteed, offer.state.id)
        if key not in self._losses_by_executor:
            losses = [
                _Loss(self._loss(attempt), attempt)
                for attempt in offer.state.attempts.values()
                if self._may_take(candidate, attempt)
            ]
            self._losses_by_executor[key] = sorted(losses, key=lambda loss: loss.core_seconds)
        stopped = self._stopped()
        return [loss for loss in self._losses_by_executor[key] if id(loss.attempt) not in stopped]

    def _find_ending_soon(
        self, candidate: Candidate, offer: Offer, victim_ids: set[int]
    ) -> set[int]:
        """Return the ids of attempts that a candidate waits for instead of stopping them."""
        if candidate.waited_s(self._now) >= END_WAIT_S:
            return set()
        return {id(attempt) for attempt in self._list_ending_soon(offer, victim_ids)}

    def _add_ending_soon(
        self, offer: Offer, projected: Resources, victim_ids: set[int]
    ) -> Resources:
        """Add the resources of attempts that end before a stop would complete."""
        for attempt in self._list_ending_soon(offer, victim_ids):
            projected = projected.plus(attempt.need)
        return projected

    def _list_ending_soon(self, offer: Offer, victim_ids: set[int]) -> list[Attempt]:
        """Return the attempts that end before a stop would complete and are not stopped."""
        executor = offer.state.id
        if executor not in self._ending_soon:
            self._ending_soon[executor] = [
                attempt
                for attempt in offer.state.attempts.values()
                if attempt.phase is Phase.RUNNING
                and expected_end_s(attempt, self._now) <= self._stop_s
            ]
        gone = self._stopped().union(victim_ids)
        return [attempt for attempt in self._ending_soon[executor] if id(attempt) not in gone]

    def may_disrupt(self, attempt: Attempt, victim_ids: Iterable[int] = ()) -> bool:
        """Whether a lasting task's disruption budget allows one more stop beside `victim_ids`."""
        job = self._job(attempt)
        if job is None:
            return False
        if not job.step_of(attempt.task).spec.lasting:
            return True
        return is_within_disruption_budget(
            job.step_of(attempt.task), self._stopped().union(victim_ids)
        )

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
        """Return the core-seconds lost when an attempt is stopped now.

        Urgent work costs more, as it is likely to be late after a restart.
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
            total = (total + URGENT_MIN_LOSS_CORE_S) * URGENT_LOSS_FACTOR
        return total

    def _is_lasting(self, attempt: Attempt) -> bool:
        job = self._job(attempt)
        return job is not None and job.step_of(attempt.task).spec.lasting

    def _stopped(self) -> set[int]:
        """Return the ids of the attempts that the plan stops; the plan only adds to them."""
        if len(self._stopped_ids) < len(self._stops):
            self._stopped_ids = {id(attempt) for attempt in self._stops}
        return self._stopped_ids

    def _job(self, attempt: Attempt) -> JobState | None:
        return self._jobs.get(attempt.task.job)


def expected_end_s(attempt: Attempt, now: float) -> float:
    """Return the time in seconds until an attempt ends at its average speed so far."""
    gained = attempt.percent - attempt.began_percent
    if gained <= 0 or attempt.began_at is None:
        return float("inf")
    worked = attempt.progressed_at - attempt.began_at
    return worked * (100 - attempt.percent) / gained - (now - attempt.progressed_at)
