"""Charging of customers for the capacity that their attempts hold, and finding their ranks."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from .events import RepeatedEvents
from .fair_shares import Demand, FairShares, ShareStanding
from .fleet import ExecutorState
from .model import NO_RESOURCES, DesiredState, Resources
from .progress import JobState
from .step_state import StepState

CHARGE_INTERVAL_S = 0.25
"""Charging 790 customers takes 3 ms, and plans may follow each other within 0.03 s."""
MAX_CHARGED_S = 2.0
"""The longest time charged at once: plans are made twice a second, and what is held now may not
have been held over a longer pause."""


@dataclass(slots=True)
class _PoolUse:
    """What customers hold of a pool, and which of them have tasks that wait.

    `held` has the fields of `Resources`, as lists that sums over many jobs change in place.
    """

    held: dict[str, list[int]] = field(default_factory=dict)
    waiting: set[str] = field(default_factory=set)


@dataclass(slots=True)
class ShareAccounting:
    """Charges the customers of a cell before each plan."""

    shares: FairShares
    _charged_at: float | None = None

    def update(
        self,
        jobs: Iterable[JobState],
        executors: Iterable[ExecutorState],
        desired: DesiredState,
        now: float,
        wall_now: float,
    ) -> dict[tuple[str, str], ShareStanding]:
        """Charge what is held, find ranks; return the changed ones by pool and customer."""
        uses = sum_use(jobs, desired, wall_now)
        weights = {tenant.name: float(max(1, tenant.guaranteed)) for tenant in desired.tenants}
        pools = {*desired.pools, *uses}
        self.shares.retain(pools)
        self._charge(uses, executors, now)
        changed = {}
        for pool in sorted(pools):
            use = uses.get(pool, _PoolUse())
            names = {*use.held, *use.waiting}
            demand = Demand({n: weights.get(n, 1.0) for n in names}, frozenset(use.waiting))
            for tenant, standing in self.shares.assess(pool, demand, now).items():
                changed[pool, tenant] = standing
        return changed

    def _charge(
        self, uses: Mapping[str, _PoolUse], executors: Iterable[ExecutorState], now: float
    ) -> None:
        """Charge what is held now for the time since the last charge."""
        elapsed_s = 0.0 if self._charged_at is None else now - self._charged_at
        if self._charged_at is not None and elapsed_s < CHARGE_INTERVAL_S:
            return
        self._charged_at = now
        if not elapsed_s:
            return
        capacities = sum_capacities(executors)
        for pool, use in uses.items():
            capacity = capacities.get(pool, NO_RESOURCES)
            for tenant, held in use.held.items():
                self.shares.charge(
                    pool, tenant, Resources(*held), capacity, min(MAX_CHARGED_S, elapsed_s), now
                )


def sum_use(
    jobs: Iterable[JobState], desired: DesiredState, wall_now: float
) -> dict[str, _PoolUse]:
    """Return what customers hold and wait for, by pool.

    Tasks that only use idle processor time hold nothing.
    """
    found: dict[str, _PoolUse] = {}
    for job in jobs:
        pool = desired.current_queue(job.spec).pool
        use, tenant = found.get(pool), job.spec.tenant
        if use is None:
            use = found[pool] = _PoolUse()
        for step in job.steps:
            spec, count = step.spec, step.attempt_count
            if spec.fills:
                continue
            if count:
                total = use.held.get(tenant) or use.held.setdefault(tenant, [0, 0, 0])
                for index, amount in enumerate(spec.need):
                    total[index] += count * amount
            if tenant not in use.waiting and is_waiting(job, step, wall_now):
                use.waiting.add(tenant)
    return found


def sum_capacities(executors: Iterable[ExecutorState]) -> dict[str, Resources]:
    """Return the capacity of the listed executors by pool."""
    found: dict[str, Resources] = {}
    for state in executors:
        if state.listed:
            pool = state.executor.pool
            found[pool] = found.get(pool, NO_RESOURCES).plus(state.executor.capacity)
    return found


def log_changes(changed: Mapping[tuple[str, str], ShareStanding], events: RepeatedEvents) -> None:
    """Log the customers that came to be above their fair share, or no longer are."""
    for (pool, tenant), standing in changed.items():
        events.log(
            "customer.share",
            (pool, tenant, standing.is_above),
            pool=pool,
            tenant=tenant,
            is_above=standing.is_above,
            use=round(standing.use, 4),
            share=round(standing.share, 4),
            fair_share=round(standing.fair, 4),
        )


def is_waiting(job: JobState, step: StepState, wall_now: float) -> bool:
    """Return whether tasks of a step wait for capacity."""
    if not step.waiting_count or not job.is_active:
        return False
    return not (step.spec.gang and step.attempt_count) and job.is_ready(step, wall_now)
