"""The work lost when attempts are stopped, by executor, smallest loss first."""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass

from .colocation import is_within_disruption_budget
from .learned import LearnedState
from .model import NO_RESOURCES, URGENT, DesiredState, Resources
from .offers import Offer
from .progress import JobState
from .run_lengths import Evidence
from .step_lengths import extrapolate_end_s, find_remaining_s, predict_step
from .step_state import Attempt, Phase, StepState

URGENT_LOSS_FACTOR = 6.0
URGENT_MIN_LOSS_CORE_S = 10.0
MIN_LOSS_CORE_S = 0.01
"""Cost of any stop, so that of two equal choices the one with fewer stops wins."""
CHECKPOINT_LOSS_S = 0.3
"""Work lost since the last checkpoint; a stop triggers a checkpoint of its own."""


MIN_UNSAVED_LOSS_S = 2 * CHECKPOINT_LOSS_S
"""With capacity reserved for urgent work, the least loss of work that takes no checkpoints: work
that does is stopped first, also by a new owner, to which all runs look as if they had just begun.
"""


@dataclass(frozen=True, slots=True)
class Loss:
    """An attempt that may be stopped, and the work lost with its whole gang.

    `members` holds the attempts of the gang, or only this attempt outside a gang. With `is_spared`
    it may be stopped for a guarantee only, as its job was preempted too often.
    """

    core_seconds: float
    attempt: Attempt
    members: list[Attempt]
    is_urgent: bool
    is_lasting: bool
    is_spared: bool = False


@dataclass(frozen=True, slots=True)
class CumulativeLosses:
    """The attempts that may be stopped on one executor, smallest loss first, with running totals.

    Stopping the first n `losses` costs `costs[n - 1]` core-seconds and frees `freed[n - 1]`.
    `total` is freed by stopping all of them. With `affects_others`, stops here change the options
    on other executors or the reverse; with `has_lasting`, disruption budgets may forbid some
    combinations of stops.
    """

    losses: list[Loss]
    costs: list[float]
    freed: list[Resources]
    total: Resources
    affects_others: bool
    has_lasting: bool

    def find_option(self, need: Resources, projected: Resources) -> tuple[float, list[Loss]] | None:
        """Return the cost and the attempts to stop until a task fits, None if it never does."""
        lacking = need.minus(projected)
        if lacking.fits_in(NO_RESOURCES):
            return 0.0, []
        for index, freed in enumerate(self.freed):
            if lacking.fits_in(freed):
                return self.costs[index], self.losses[: index + 1]
        return None


class Losses:
    """The losses of one plan; `stopped` holds the ids of the attempts it stops already.

    Attempts that end by themselves within `wait_s` are waited for rather than stopped. With
    `learned`, this includes those without progress so far that are predicted to end. Jobs preempted
    `max_preemptions` times outside guarantees are spared; None spares none. A run that takes no
    checkpoints loses `min_unsaved_loss_s` at least.
    """

    def __init__(
        self,
        jobs: Iterable[JobState],
        desired: DesiredState,
        guaranteed: set[str],
        now: float,
        stopped: set[int],
        wait_s: float,
        learned: LearnedState | None = None,
        max_preemptions: int | None = None,
        min_unsaved_loss_s: float = 0.0,
    ) -> None:
        self._jobs = {job.spec.id: job for job in jobs}
        self._desired = desired
        self._guaranteed = guaranteed
        self._now = now
        self._stopped = stopped
        self._wait_s = wait_s
        self._learned = learned
        self._max_preemptions = max_preemptions
        self._min_unsaved_loss_s = min_unsaved_loss_s
        self._losses_by_executor: dict[str, list[Loss]] = {}
        self._losses_by_member: dict[int, Loss] = {}
        self._cumulative: dict[tuple[bool, bool, str], tuple[int, CumulativeLosses]] = {}
        self._ending_soon: dict[str, list[Attempt]] = {}
        self._remote_members: dict[str, bool] = {}

    def list_evictable(self, guaranteed: bool, offer: Offer) -> list[Loss]:
        """Return what may be stopped on an executor, smallest loss first.

        For a job within its customer's guarantee this includes other customers' urgent work.
        """
        known = self._list_all(offer)
        if not guaranteed:
            known = [loss for loss in known if not (loss.is_urgent or loss.is_spared)]
        if offer.stops:
            known = [loss for loss in known if id(loss.attempt) not in self._stopped]
        return known

    def find_cumulative(
        self, guaranteed: bool, waits_for_ends: bool, offer: Offer
    ) -> CumulativeLosses:
        """Return what may be stopped on an executor, with running totals.

        With `waits_for_ends`, attempts that end soon by themselves are left out.
        """
        waits_for_ends = waits_for_ends and bool(self.list_ending_soon(offer))
        key = (guaranteed and self._holds_urgent(offer), waits_for_ends, offer.state.id)
        known = self._cumulative.get(key)
        if known is None or known[0] != offer.stops:
            known = self._cumulative[key] = (
                offer.stops,
                self._make_cumulative(key[0], waits_for_ends, offer),
            )
        return known[1]

    def _holds_urgent(self, offer: Offer) -> bool:
        """Whether a guarantee makes a difference to what may be stopped on an executor."""
        return any(loss.is_urgent or loss.is_spared for loss in self._list_all(offer))

    def _list_all(self, offer: Offer) -> list[Loss]:
        """Return all losses on an executor, including those of attempts already being stopped."""
        known = self._losses_by_executor.get(offer.state.id)
        if known is None:
            found = (self._find_loss(attempt) for attempt in offer.state.attempts.values())
            known = [loss for loss in found if loss is not None]
            known.sort(key=lambda loss: loss.core_seconds)
            self._losses_by_executor[offer.state.id] = known
        return known

    def _make_cumulative(
        self, guaranteed: bool, waits_for_ends: bool, offer: Offer
    ) -> CumulativeLosses:
        losses: list[Loss] = []
        costs: list[float] = []
        freed: list[Resources] = []
        cost, executor_freed, total = 0.0, NO_RESOURCES, NO_RESOURCES
        has_lasting = False
        evicted: set[int] = set()
        ending = self.find_ending_soon(offer) if waits_for_ends else frozenset()
        for loss in self.list_evictable(guaranteed, offer):
            need = loss.attempt.need
            has_lasting |= loss.is_lasting
            if id(loss.attempt) in ending:
                continue
            total = total.plus(need)
            if id(loss.attempt) in evicted:
                continue
            cost += loss.core_seconds
            if len(loss.members) == 1:
                executor_freed = executor_freed.plus(need)
            else:
                for member in loss.members:
                    evicted.add(id(member))
                    if member.executor == offer.state.id and id(member) not in ending:
                        executor_freed = executor_freed.plus(member.need)
            losses.append(loss)
            costs.append(cost)
            freed.append(executor_freed)
        affects_others = has_lasting or self._has_remote_members(offer)
        return CumulativeLosses(losses, costs, freed, total, affects_others, has_lasting)

    def _has_remote_members(self, offer: Offer) -> bool:
        """Whether a gang with a member on an executor has other members elsewhere."""
        executor = offer.state.id
        if executor not in self._remote_members:
            gangs = [self.whole_gang(attempt) for attempt in offer.state.attempts.values()]
            self._remote_members[executor] = any(
                member.executor != executor for members in gangs for member in members
            )
        return self._remote_members[executor]

    def list_ending_soon(self, offer: Offer) -> list[Attempt]:
        """Return the attempts on an executor expected to end within `wait_s`."""
        executor = offer.state.id
        if executor not in self._ending_soon:
            self._ending_soon[executor] = [
                attempt
                for attempt in offer.state.attempts.values()
                if attempt.phase is Phase.RUNNING and self._ends_soon(attempt)
            ]
        return self._ending_soon[executor]

    def _ends_soon(self, attempt: Attempt) -> bool:
        job = self._jobs.get(attempt.task.job)
        step = None if job is None else job.step_of(attempt.task)
        return expected_end_s(attempt, self._now, step, self._learned) <= self._wait_s

    def find_ending_soon(
        self, offer: Offer, victim_ids: Container[int] = frozenset()
    ) -> frozenset[int]:
        """Return the ids of attempts that end soon and are neither stopped nor in `victim_ids`."""
        ending = (id(attempt) for attempt in self.list_ending_soon(offer))
        return frozenset(i for i in ending if i not in victim_ids and i not in self._stopped)

    def add_ending_soon(
        self, offer: Offer, projected: Resources, victim_ids: Container[int] = frozenset()
    ) -> Resources:
        """Add the resources of attempts that end soon by themselves.

        `projected` already includes those of stopped attempts.
        """
        for attempt in self.list_ending_soon(offer):
            if id(attempt) not in victim_ids and id(attempt) not in self._stopped:
                projected = projected.plus(attempt.need)
        return projected

    def may_disrupt(self, attempt: Attempt, victim_ids: Iterable[int] = ()) -> bool:
        """Whether a lasting task's disruption budget allows one more stop beside `victim_ids`."""
        job = self._jobs.get(attempt.task.job)
        if job is None:
            return False
        step = job.step_of(attempt.task)
        if not step.spec.lasting:
            return True
        return is_within_disruption_budget(step, self._stopped.union(victim_ids))

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
        """Return the loss of stopping an attempt now; None if it must not be stopped."""
        if attempt.phase is Phase.STOPPING:
            return None
        known = self._losses_by_member.get(id(attempt))
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
            # Urgent work that has to restart is likely to be late.
            total = (total + URGENT_MIN_LOSS_CORE_S) * URGENT_LOSS_FACTOR
        limit = self._max_preemptions
        is_spared = limit is not None and job.open_preemptions >= limit
        if len(members) == 1:
            return Loss(total, attempt, members, is_urgent, spec.lasting, is_spared)
        for member in members:
            loss = Loss(total, member, members, is_urgent, spec.lasting, is_spared)
            self._losses_by_member[id(member)] = loss
        return self._losses_by_member[id(attempt)]

    def _sum_loss(self, attempts: list[Attempt], checkpoints: bool) -> float:
        """Return the core-seconds of work since the attempts began, or since their checkpoints."""
        total = MIN_LOSS_CORE_S
        for member in attempts:
            elapsed = max(0.0, self._now - (member.began_at or member.ordered_at))
            if checkpoints:
                elapsed = min(elapsed, CHECKPOINT_LOSS_S)
            else:
                elapsed = max(elapsed, self._min_unsaved_loss_s)
            total += elapsed * member.need.cores
        return total


def expected_end_s(
    attempt: Attempt,
    now: float,
    step: StepState | None = None,
    learned: LearnedState | None = None,
) -> float:
    """Return the time in seconds until an attempt ends at its average speed so far.

    Without progress it is infinite, unless lengths are learned for its step's queue.
    """
    own_s = extrapolate_end_s(attempt, now)
    if own_s is not None:
        return own_s
    if step is None or learned is None or step.spec.lasting:
        return float("inf")
    if predict_step(step, now, learned).evidence is Evidence.ESTIMATE:
        return float("inf")
    return find_remaining_s(attempt, step, now, learned)
