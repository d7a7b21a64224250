"""Decisions on capacity reserved for urgent work: where it is, who borrows it, who gives it back.

All decisions are pure; times are on trio's clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from .executor_speeds import ExecutorSpeeds, SpeedGroup
from .headroom import HEADROOM_SHARE
from .model import URGENT, DesiredState
from .offers import Offer, group_by_rack
from .progress import JobState
from .step_state import Phase
from .urgent_forecast import UrgentDemand

LONGEST_STAND_S = 2.5
"""A job with nothing running may use reserved capacity from then on. Callers tolerate 3 s, and a
plan is made each 0.5 s."""
MAX_PREEMPTIONS = 2
"""A job preempted so often for urgent work outside guarantees is spared, except for a guarantee."""
MAX_GUARANTEE_WAIT_S = 1.0
"""A guarantee waits at most so long for runs to end: its bound of 2.7 s must also hold two stops
of 0.4 s and the delays of a report and a plan."""
MAX_END_WAIT_S = 2.0
"""Other urgent work waits at most so long, as its slack rests on an estimate that may be off."""
END_WAIT_SHARE = 0.5
"""Share of the slack spent on waiting; the rest is for executors somewhat slower than typical.
Waits for all of it made urgent work late in a modelled pool of 24 executors."""
END_WAIT_STEPS_S = (0.4, 0.8, 1.2, 1.6, 2.0)
"""Waits are rounded down to these, so that candidates of similar slack share one search."""
STOOD_TASKS = 4
"""Tasks of a step that start after so long a wait; its job runs then, and the rest waits for other
capacity, as a step may have hundreds of tasks."""


class LendReason(StrEnum):
    """Why capacity reserved for urgent work is lent, or not."""

    ENDS_IN_TIME = "it ends within the slack of urgent work"
    STOOD = "nothing of the job ran for too long"
    HOLDS_ON = "it does not end within the slack of urgent work"


@dataclass(frozen=True, slots=True)
class LendDecision:
    """Whether work may use reserved capacity, and why."""

    is_lent: bool
    reason: LendReason


@dataclass(frozen=True, slots=True)
class Borrower:
    """Work that asks for reserved capacity; `remaining_s` is a high estimate of its run's length.

    `stood_s` is how long the job has had nothing running although it is ready, 0 if it has.
    """

    remaining_s: float
    stood_s: float


def may_borrow(borrower: Borrower, slack_s: float) -> LendDecision:
    """Return whether work may use reserved capacity, given the slack (s) that urgent work has."""
    if borrower.stood_s >= LONGEST_STAND_S:
        return LendDecision(True, LendReason.STOOD)
    if borrower.remaining_s <= slack_s:
        return LendDecision(True, LendReason.ENDS_IN_TIME)
    return LendDecision(False, LendReason.HOLDS_ON)


def find_end_wait_s(
    is_guaranteed: bool, waited_s: float, slack_s: float, stop_s: float
) -> float | None:
    """Return within what time (s) runs must end for urgent work to wait instead of preempting.

    `slack_s` is the time left until its latest start. None if only stops that are no faster than
    an end are to be avoided.
    """
    longest_s = MAX_GUARANTEE_WAIT_S if is_guaranteed else MAX_END_WAIT_S
    left_s = min(longest_s - waited_s, slack_s)
    steps = [step for step in END_WAIT_STEPS_S if stop_s < step <= left_s]
    return steps[-1] if steps else None


@dataclass(frozen=True, slots=True)
class RoomUse:
    """The accelerators of a pool that are expected to be needed, reserved, and lent of these."""

    expected: int
    reserved: int
    lent: int


class UrgentRoom:
    """The executors reserved for urgent work in the pools with a forecast."""

    def __init__(
        self,
        offers: Mapping[str, list[Offer]],
        demands: Mapping[str, UrgentDemand],
        jobs: Iterable[JobState],
        desired: DesiredState,
        speeds: ExecutorSpeeds,
    ) -> None:
        self._offers = offers
        self.demands = demands
        self._jobs = jobs
        self._desired = desired
        self._speeds = speeds
        self._borrowed: Counter[str] | None = None
        self._slacks: dict[str, float] = {}
        self.use: dict[str, RoomUse] = {}

    def slack_s(self, pool: str) -> float:
        """Return the least slack (s) of urgent work of a typical length in a pool."""
        if pool not in self._slacks:
            self._slacks[pool] = self._find_slack_s(pool)
        return self._slacks[pool]

    def _find_slack_s(self, pool: str) -> float:
        length_s = self.demands[pool].length_s
        queues = [q for q in self._desired.queues if q.priority == URGENT and q.pool == pool]
        slacks = ((queue.stretch - 1) * length_s + queue.target_s for queue in queues)
        return max(0.0, min(slacks, default=0.0))

    def choose(self, used: Mapping[str, int]) -> frozenset[str]:
        """Return the executors reserved, given the accelerators urgent work holds by pool."""
        chosen: list[str] = []
        for pool, demand in self.demands.items():
            chosen += self._choose_in_pool(pool, demand, used.get(pool, 0))
        return frozenset(chosen)

    def _choose_in_pool(self, pool: str, demand: UrgentDemand, used: int) -> list[str]:
        """Reserve rack by rack; capacity lent to work that can be given back counts as free."""
        offers = self._offers.get(pool, [])
        total = sum(offer.state.executor.capacity.accelerators for offer in offers)
        wanted = demand.accelerators - used
        if wanted > 0 and demand.rack_gang is not None:
            wanted = max(wanted, demand.rack_gang.accelerators)
        wanted = min(wanted, int(total * HEADROOM_SHARE))
        chosen: list[str] = []
        reserved = lent = 0
        for offer in self._list_by_room(offers) if wanted > 0 else ():
            if reserved >= wanted:
                break
            chosen.append(offer.state.id)
            reserved += self._count_room(offer)
            lent += self._count_borrowed(offer)
        self.use[pool] = RoomUse(demand.accelerators, reserved, lent)
        return chosen

    def _list_by_room(self, offers: list[Offer]) -> list[Offer]:
        """Return the offers by rack, those of the roomiest rack and fast ones first."""
        racks = sorted(
            group_by_rack(offers).values(),
            key=lambda rack: sum(map(self._count_room, rack)),
            reverse=True,
        )
        return [offer for rack in racks for offer in sorted(rack, key=self._order)]

    def _order(self, offer: Offer) -> tuple[bool, int]:
        group = self._speeds.find_group(offer.state.instance)
        return group is not SpeedGroup.FAST, -self._count_room(offer)

    def _count_room(self, offer: Offer) -> int:
        """Return the accelerators that urgent work can have on an executor after a stop."""
        return max(0, offer.projected.accelerators) + self._count_borrowed(offer)

    def _count_borrowed(self, offer: Offer) -> int:
        if self._borrowed is None:
            self._borrowed = _count_returnable(self._jobs, self._desired)
        return self._borrowed[offer.state.id]


def _count_returnable(jobs: Iterable[JobState], desired: DesiredState) -> Counter[str]:
    """Return by executor the accelerators held by ordinary work that checkpoints.

    It is recognized by its kind alone, so that an owner knows it after a takeover as well.
    """
    held: Counter[str] = Counter()
    for job in jobs:
        for step in job.steps:
            if not step.attempt_count or not step.spec.checkpointing:
                continue
            if desired.current_queue(job.spec).priority == URGENT:
                break
            for attempt in step.attempts():
                if attempt.phase is not Phase.STOPPING:
                    held[attempt.executor] += attempt.need.accelerators
    return held
