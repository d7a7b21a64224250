"""The scheduler of one cell."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from . import job_start
from .cell_state import CellState, PoolState
from .decision import (
    Accepted,
    Cause,
    Decision,
    Duplicate,
    NotRun,
    Reason,
    Start,
    SubmitOutcome,
)
from .guarantee import Block, Guarantee
from .hold import find_hold
from .job import Gang, Job, Shape
from .placement import BestFit, FirstFit, LeastLoss, PlacementPolicy
from .policy import DEFAULT_POLICY, EstimateName, OrderName, PlacementName, Policy
from .queue import ArrivalOrder, BucketKey, CompletionOrder, Order, QueueEntry, QueueScan
from .topology import Pool, Topology

MAX_REFERENCE_SHAPES = 4
MIN_RELATIVE_USE = 0.05


class CellScheduler(CellState):
    """Schedules the jobs of one cell.

    Commands (`submit`, `finish`, `mark_worker_lost`, ...) change the state. `decide` returns
    decisions and assumes that the caller carries them out. Queries change nothing. Times are
    in seconds on the caller's clock.
    """

    def __init__(
        self,
        topology: Topology,
        guarantees: Iterable[Guarantee] = (),
        policy: Policy = DEFAULT_POLICY,
        quotas: dict[str, int] | None = None,
        shares: dict[str, float] | None = None,
    ) -> None:
        super().__init__(topology, guarantees, policy, quotas or {}, shares or {})
        self.reasons: dict[str, Reason] = {}
        self._arrivals: dict[str, float] = {}
        self._ready_gangs: list[Gang] = []
        self._failures: dict[object, Reason] = {}
        self._blocked: set[Pool] = set()
        self._large_blocked: dict[Pool, Job] = {}

    # Commands

    def submit(self, job: Job, now: float) -> SubmitOutcome:
        """Queue a job, or return why it is rejected."""
        if job.id in self.queue.entries or job.id in self.gangs:
            return Duplicate(job)
        refusal = self._rejection_reason(job)
        if refusal is not None:
            return NotRun(job, refusal)
        self.queue.add(job, now)
        return Accepted(job)

    def cancel(self, job_id: str) -> Job | None:
        """Remove and return a waiting job; None if it is not queued."""
        entry = self.queue.remove(job_id)
        self.reasons.pop(job_id, None)
        return entry.job if entry else None

    def adopt_gangs(self, gangs: Iterable[Gang]) -> None:
        """Register gangs that already run, then place the guarantee blocks around them.

        A gang that is not reclaimable is bound to a block of its customer if it fits one,
        as it may have been started there.
        """
        for state in self.pools.values():
            state.blocks.unplace_unbound()
        for gang in sorted(gangs, key=lambda g: (g.job.reclaimable, g.job.id)):
            self.queue.remove(gang.job.id)
            if not gang.job.reclaimable:
                gang.block = self.pools[gang.job.shape.pool].blocks.bind_running(gang)
            job_start.occupy(self, gang)
        for state in self.pools.values():
            state.blocks.place_unbacked()

    def finish(self, job_id: str) -> Gang | None:
        """Release the capacity of a gang that has ended or was stopped."""
        gang = self.gangs.get(job_id)
        if gang is None:
            return None
        job_start.release(self, gang)
        for other in list(self.gangs.values()):
            if job_id in other.waiting_for:
                other.waiting_for.discard(job_id)
                if not other.waiting_for:
                    self._ready_gangs.append(other)
        return gang

    def requeue(self, job: Job, now: float) -> None:
        """Queue a job whose gang was stopped, with its original arrival time."""
        self.queue.add(job, now, arrival=self._arrivals.get(job.id))

    def forget(self, job_id: str) -> None:
        """Drop the records of a job that has its final outcome."""
        self._arrivals.pop(job_id, None)
        self.reasons.pop(job_id, None)

    def mark_worker_lost(self, name: str) -> list[Gang]:
        """Mark a worker as lost; return the gangs that had members on it.

        The caller stops their other members, then calls `finish` for each.
        """
        self.cordon_worker(name)
        worker = self.topology.number[name]
        broken = [self.gangs[gang_id] for gang_id in sorted(self.gangs_by_worker[worker])]
        for gang in broken:
            gang.is_stopping = True
        return broken

    def cordon_worker(self, name: str) -> None:
        """Stop placing gangs on a worker; running ones continue, guarantee blocks move away."""
        worker = self.topology.number[name]
        for state in self.pools.values():
            state.capacity.set_lost(worker, True)
            state.blocks.unplace_blocks_on(worker, self.gangs)

    def restore_worker(self, name: str) -> None:
        """Make a lost or closed worker available again, first to unbacked guarantees."""
        worker = self.topology.number[name]
        for state in self.pools.values():
            state.capacity.set_lost(worker, False)
            state.blocks.needs_placement = True

    def decide(
        self, now: float, startable: Callable[[BucketKey], bool] = lambda key: True
    ) -> list[Decision]:
        """Run one scheduling pass and return its decisions.

        Jobs in buckets that `startable` rejects wait. The daemon rejects jobs that must not
        run twice while it can't record their start.
        """
        decisions: list[Decision] = [self._start_ready(gang) for gang in self._ready_gangs]
        self._ready_gangs = []
        self._failures = {}
        self._blocked = set()
        self._large_blocked = {}
        for state in self.pools.values():
            if state.blocks.needs_placement:
                state.blocks.place_unbacked()
            self._update_placement(state)
        decisions += [self._drop_late(job) for job in self.queue.past_latest_start(now)]
        order = self._order(now)
        guaranteed = QueueScan(
            self.queue, order, lambda k: startable(k) and self._is_guaranteed_size(k)
        )
        for entry in guaranteed:
            decisions += self._record(entry, job_start.start_guaranteed(self, entry.job, now))
        for entry in QueueScan(self.queue, order, startable):
            decisions += self._try_entry(entry, now)
        self._update_holds(now)
        return decisions

    # Queries

    def unbacked(self) -> list[Block]:
        """Return the guarantee blocks that are not on live workers."""
        return [block for state in self.pools.values() for block in state.blocks.unbacked()]

    def explain(self, job_id: str) -> Reason | None:
        """Return the reason why a job waits or runs where it does; None if it is unknown."""
        return self.reasons.get(job_id)

    def units_by_worker(self, gang: Gang) -> dict[str, int]:
        """Return the units a gang holds on each worker, by worker name."""
        return {self.topology.workers[w].name: units for w, units in sorted(gang.places.items())}

    # Scheduling pass

    def _try_entry(self, entry: QueueEntry, now: float) -> list[Decision]:
        job = entry.job
        if self.policy.order is OrderName.ARRIVAL and self._is_blocked_by_earlier(job):
            return []
        key = job_start.failure_key(self, job)
        known = self._failures.get(key)
        if known is not None:
            self.reasons[job.id] = known
            return []
        outcome = job_start.try_start(self, entry, now)
        if isinstance(outcome, Reason) and self._release_hold_for(job):
            outcome = job_start.try_start(self, entry, now)
        if isinstance(outcome, Reason):
            self._failures[key] = outcome
            self.reasons[job.id] = outcome
            self._record_blocked(entry, now)
            return []
        return self._record(entry, outcome)

    def _is_blocked_by_earlier(self, job: Job) -> bool:
        """Return whether an earlier job of the pool is waiting."""
        pool = job.shape.pool
        return pool in self._blocked or pool in self._large_blocked

    def _record(self, entry: QueueEntry, decisions: list[Decision]) -> list[Decision]:
        if decisions:
            self._arrivals.setdefault(entry.job.id, entry.arrival)
        for decision in decisions:
            self.reasons[entry.job.id] = decision.reason
        return decisions

    def _is_guaranteed_size(self, key: BucketKey) -> bool:
        """Return whether the jobs of a bucket are of a size guaranteed to their customer."""
        blocks = self.pools[key.shape.pool].blocks
        return blocks.is_guaranteed_size(key.customer, key.shape)

    def _start_ready(self, gang: Gang) -> Decision:
        reason = self.reasons.get(gang.job.id) or Reason(
            Cause.TAKEN_BACK, "all of its places are free"
        )
        return Start(gang, reason)

    def _drop_late(self, job: Job) -> Decision:
        self.queue.remove(job.id)
        reason = Reason(
            Cause.DEADLINE,
            f"its expected {job.expected_s:.0f} s of run time end after its deadline",
        )
        return NotRun(job, reason)

    def _release_hold_for(self, job: Job) -> bool:
        """Release the hold of a large gang that comes after `job`; return whether it did."""
        state = self.pools[job.shape.pool]
        if self.is_large(job) or not job.reclaimable or state.hold is None:
            return False
        holder = self.queue.entries.get(state.hold.job_id)
        if job.shape.pool in self._large_blocked or holder is None:
            return False
        state.hold = None
        state.capacity.exclude([])
        return True

    def _record_blocked(self, entry: QueueEntry, now: float) -> None:
        """Record that a job must wait; hold workers for the first large gang unless others wait."""
        job = entry.job
        pool = job.shape.pool
        if not self.is_large(job):
            if job.reclaimable:
                self._blocked.add(pool)
            return
        if pool in self._large_blocked:
            return
        self._large_blocked[pool] = job
        others_are_placed = not self.policy.large_first and pool not in self._blocked
        if others_are_placed or self._is_overdue(job, now):
            self._set_hold(job, now)

    def _update_holds(self, now: float) -> None:
        """After a pass, hold workers for a large gang unless smaller jobs wait too.

        Idle held workers would delay the smaller jobs by more than the gang gains. An
        overdue gang gets its hold in any case.
        """
        for pool, state in self.pools.items():
            job = self._large_blocked.get(pool)
            overdue = job is not None and self._is_overdue(job, now)
            if job is not None and (overdue or pool not in self._blocked):
                self._set_hold(job, now)
            elif state.hold is not None:
                state.hold = None
                state.capacity.exclude([])

    def _is_overdue(self, job: Job, now: float) -> bool:
        return now - self.queue.entries[job.id].arrival >= self.policy.starvation_s

    def _set_hold(self, job: Job, now: float) -> None:
        """Hold the workers where a large gang can start earliest."""
        if not self.policy.hold_for_large:
            return
        state = self.pools[job.shape.pool]
        hold = find_hold(
            job,
            state.capacity,
            lambda worker: self.gangs_on(worker, job.shape.pool),
            now,
            use_p95=self.policy.estimate is EstimateName.P95,
        )
        state.hold = hold
        workers = [] if hold is None else self.topology.workers_in[hold.level][hold.unit]
        state.capacity.exclude(workers)

    def _update_placement(self, state: PoolState) -> None:
        if state.hold is not None and state.hold.job_id not in self.queue.entries:
            state.hold = None
            state.capacity.exclude([])
        state.placement = _make_placement(self.policy, self._reference_shapes(state))

    def _reference_shapes(self, state: PoolState) -> tuple[tuple[Shape, float], ...]:
        """Return the largest waiting and guaranteed shapes with their weights."""
        waiting = {s: n for s, n in self.queue.shapes().items() if s.pool is state.capacity.pool}
        for shape in state.guaranteed:
            waiting[shape] = waiting.get(shape, 0) + 1
        largest = sorted(waiting, key=lambda s: (-s.total, s.units, s.adjacency))
        return tuple((shape, 1.0) for shape in largest[:MAX_REFERENCE_SHAPES] if shape.total > 1)

    def _order(self, now: float) -> Order:
        if self.policy.order is not OrderName.COMPLETION:
            return ArrivalOrder()
        state = self.pools[Pool.ACCELERATORS]
        backlog = self.queue.unit_seconds.get(Pool.ACCELERATORS, 0.0) / max(1, state.total)
        critical = self.policy.critical_fraction * backlog
        return CompletionOrder(
            now=now,
            starvation_s=self.policy.starvation_s,
            critical_s=max(critical, 1.0),
            large_units=self.large_units(Pool.ACCELERATORS),
            large_first=self.policy.large_first,
            share=self._share,
        )

    def _share(self, customer: str) -> float:
        """Return a customer's use relative to its declared share, plus `MIN_RELATIVE_USE`."""
        total = max(1, self.pools[Pool.ACCELERATORS].total + self.pools[Pool.SLOTS].total)
        used = self.customer_use.get(customer, 0) / total
        return MIN_RELATIVE_USE + used / self.shares.get(customer, 1.0)

    def _rejection_reason(self, job: Job) -> Reason | None:
        limits = self.policy.limits
        if self.queue.per_customer.get(job.customer, 0) >= limits.per_customer:
            text = f"customer {job.customer} already has {limits.per_customer} jobs waiting"
            return Reason(Cause.QUEUE_FULL, text)
        if self.queue.per_class.get(job.job_class.name, 0) >= limits.per_class:
            text = f"class {job.job_class.name} already has {limits.per_class} jobs waiting"
            return Reason(Cause.QUEUE_FULL, text)
        if not self._fits_topology(job.shape):
            return Reason(
                Cause.TOO_LARGE, f"no {job.shape.adjacency.name.lower()} holds {job.shape}"
            )
        return None

    def _fits_topology(self, shape: Shape) -> bool:
        total = self.pools[shape.pool].capacity.total
        for workers in self.topology.workers_in[shape.adjacency]:
            if sum(total[worker] // shape.units for worker in workers) >= shape.members:
                return True
        return False


def _make_placement(
    policy: Policy, reference_shapes: tuple[tuple[Shape, float], ...]
) -> PlacementPolicy:
    if policy.placement is PlacementName.FIRST_FIT:
        return FirstFit()
    if policy.placement is PlacementName.BEST_FIT:
        return BestFit()
    weighted = tuple(
        (shape, weight * policy.fragmentation_weight) for shape, weight in reference_shapes
    )
    return LeastLoss(weighted)
