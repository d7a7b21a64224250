"""The decisions of one cell, from memory, without input, output or a clock of its own."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from . import starting
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
from .job import Gang, Job, Shape
from .placement import BestFit, FirstFit, LeastLoss, PlacementPolicy
from .policy import DEFAULT, EstimateName, OrderName, PlacementName, Policy
from .queue import ArrivalOrder, BucketKey, CompletionOrder, Entry, Order, Pass
from .reservation import find_hold
from .topology import Pool, Topology

REFERENCE_SHAPES = 4
SHARE_FLOOR = 0.05


class CellScheduler(CellState):
    """Waiting jobs, running gangs and guarantees of one cell.

    Commands (`submit`, `finish`, `lose_worker`, ...) change state; `decide` returns what
    must happen now and counts on its being carried out; queries change nothing. All times
    are seconds on the caller's clock.
    """

    def __init__(
        self,
        topology: Topology,
        guarantees: Iterable[Guarantee] = (),
        policy: Policy = DEFAULT,
        quotas: dict[str, int] | None = None,
        shares: dict[str, float] | None = None,
    ) -> None:
        super().__init__(topology, guarantees, policy, quotas or {}, shares or {})
        self.reasons: dict[str, Reason] = {}
        self._arrivals: dict[str, float] = {}
        self._ready: list[Gang] = []
        self._failed: dict[object, Reason] = {}
        self._blocked: set[Pool] = set()
        self._large_blocked: dict[Pool, Job] = {}

    # Commands

    def submit(self, job: Job, now: float) -> SubmitOutcome:
        """Queue a job, or say at once why it can't run."""
        if job.id in self.queue.entries or job.id in self.gangs:
            return Duplicate(job)
        refusal = self._refusal(job)
        if refusal is not None:
            return NotRun(job, refusal)
        self.queue.add(job, now)
        return Accepted(job)

    def cancel(self, job_id: str) -> Job | None:
        """Take a waiting job out of the queue; None if it does not wait."""
        entry = self.queue.remove(job_id)
        self.reasons.pop(job_id, None)
        return entry.job if entry else None

    def adopt_all(self, gangs: Iterable[Gang]) -> None:
        """Take over gangs that already run, then lay the guarantee blocks around them.

        A gang that can't be taken back is put into a block of its customer where it fits
        one, since it may have been started there.
        """
        for state in self.pools.values():
            state.blocks.lift_unbound()
        for gang in sorted(gangs, key=lambda g: (g.job.reclaimable, g.job.id)):
            self.queue.remove(gang.job.id)
            if not gang.job.reclaimable:
                gang.block = self.pools[gang.job.shape.pool].blocks.bind_around(gang)
            starting.occupy(self, gang)
        for state in self.pools.values():
            state.blocks.back_all()

    def finish(self, job_id: str) -> Gang | None:
        """Release a gang that has ended, or stopped before its end."""
        gang = self.gangs.get(job_id)
        if gang is None:
            return None
        starting.release(self, gang)
        for other in list(self.gangs.values()):
            if job_id in other.waiting_for:
                other.waiting_for.discard(job_id)
                if not other.waiting_for:
                    self._ready.append(other)
        return gang

    def requeue(self, job: Job, now: float) -> None:
        """Queue again, with its first arrival, a job whose gang was stopped."""
        self.queue.add(job, now, arrival=self._arrivals.get(job.id))

    def forget(self, job_id: str) -> None:
        """Drop what is remembered about a job that has its final outcome."""
        self._arrivals.pop(job_id, None)
        self.reasons.pop(job_id, None)

    def lose_worker(self, name: str) -> list[Gang]:
        """Mark a worker as lost; return the gangs that had members on it.

        The caller stops their other members, then calls `finish` for each.
        """
        self.close_worker(name)
        worker = self.topology.number[name]
        broken = [self.gangs[gang_id] for gang_id in sorted(self.gangs_by_worker[worker])]
        for gang in broken:
            gang.leaving = True
        return broken

    def close_worker(self, name: str) -> None:
        """Place nothing new on a worker; its gangs go on and its guarantees move away."""
        worker = self.topology.number[name]
        for state in self.pools.values():
            state.capacity.set_lost(worker, True)
            state.blocks.release_worker(worker, self.gangs)

    def return_worker(self, name: str) -> None:
        """Open a lost or closed worker again; unbacked guarantees are repaired first."""
        worker = self.topology.number[name]
        for state in self.pools.values():
            state.capacity.set_lost(worker, False)
            state.blocks.is_dirty = True

    def decide(
        self, now: float, startable: Callable[[BucketKey], bool] = lambda key: True
    ) -> list[Decision]:
        """Decide everything that can be decided at `now`.

        Buckets that `startable` refuses wait; a daemon that can't record claims uses it to
        hold back jobs that must not run twice.
        """
        decisions: list[Decision] = [self._announce(gang) for gang in self._ready]
        self._ready = []
        self._failed = {}
        self._blocked = set()
        self._large_blocked = {}
        for state in self.pools.values():
            if state.blocks.is_dirty:
                state.blocks.back_all()
            self._update_placement(state)
        decisions += [self._shed(job) for job in self.queue.late(now)]
        order = self._order(now)
        entitled = Pass(self.queue, order, lambda k: startable(k) and self._is_entitled(k))
        for entry in entitled:
            decisions += self._record(entry, starting.start_entitled(self, entry.job, now))
        for entry in Pass(self.queue, order, startable):
            decisions += self._try_entry(entry, now)
        self._renew_holds(now)
        return decisions

    # Queries

    def unbacked(self) -> list[Block]:
        """Return the guarantee blocks that no live workers back at present."""
        return [block for state in self.pools.values() for block in state.blocks.unbacked()]

    def explain(self, job_id: str) -> Reason | None:
        """Return why a job waits or where it runs; None if it is not known here."""
        return self.reasons.get(job_id)

    def place_names(self, gang: Gang) -> dict[str, int]:
        """Return the units a gang holds on each worker, by worker name."""
        return {self.topology.workers[w].name: units for w, units in sorted(gang.places.items())}

    # One pass

    def _try_entry(self, entry: Entry, now: float) -> list[Decision]:
        job = entry.job
        if self.policy.order is OrderName.ARRIVAL and self._is_behind(job):
            return []
        memo = starting.failure_key(self, job)
        known = self._failed.get(memo)
        if known is not None:
            self.reasons[job.id] = known
            return []
        outcome = starting.try_start(self, entry, now)
        if isinstance(outcome, Reason) and self._lift_hold_before(job):
            outcome = starting.try_start(self, entry, now)
        if isinstance(outcome, Reason):
            self._failed[memo] = outcome
            self.reasons[job.id] = outcome
            self._note_blocked(entry, now)
            return []
        return self._record(entry, outcome)

    def _is_behind(self, job: Job) -> bool:
        """Tell whether an earlier job of the pool waits, for strict order of arrival."""
        pool = job.shape.pool
        return pool in self._blocked or pool in self._large_blocked

    def _record(self, entry: Entry, decisions: list[Decision]) -> list[Decision]:
        if decisions:
            self._arrivals.setdefault(entry.job.id, entry.arrival)
        for decision in decisions:
            self.reasons[entry.job.id] = decision.reason
        return decisions

    def _is_entitled(self, key: BucketKey) -> bool:
        """Tell whether jobs of a bucket are of a size that their customer is guaranteed."""
        blocks = self.pools[key.shape.pool].blocks
        return blocks.entitles(key.customer, key.shape)

    def _announce(self, gang: Gang) -> Decision:
        reason = self.reasons.get(gang.job.id) or Reason(Cause.TAKEN_BACK, "its claim is free")
        return Start(gang, reason)

    def _shed(self, job: Job) -> Decision:
        self.queue.remove(job.id)
        reason = Reason(Cause.DEADLINE, f"its {job.expected_s:.0f} s can't end by its deadline")
        return NotRun(job, reason)

    def _lift_hold_before(self, job: Job) -> bool:
        """Lift a reservation that a smaller job of higher priority meets."""
        state = self.pools[job.shape.pool]
        if self.is_large(job) or not job.reclaimable or state.hold is None:
            return False
        held = self.queue.entries.get(state.hold.job_id)
        if job.shape.pool in self._large_blocked or held is None:
            return False
        state.hold = None
        state.capacity.hold([])
        return True

    def _note_blocked(self, entry: Entry, now: float) -> None:
        """Remember the first large gang of a pass that must wait, and whether others must."""
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
            self._hold_for(job, now)

    def _renew_holds(self, now: float) -> None:
        """After a pass, hold workers for a large gang unless smaller jobs wait too.

        Those would lose more by the idle workers than the gang gains; once it is overdue
        it goes before them and holds workers all the same.
        """
        for pool, state in self.pools.items():
            job = self._large_blocked.get(pool)
            overdue = job is not None and self._is_overdue(job, now)
            if job is not None and (overdue or pool not in self._blocked):
                self._hold_for(job, now)
            elif state.hold is not None:
                state.hold = None
                state.capacity.hold([])

    def _is_overdue(self, job: Job, now: float) -> bool:
        return now - self.queue.entries[job.id].arrival >= self.policy.starvation_s

    def _hold_for(self, job: Job, now: float) -> None:
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
        state.capacity.hold(workers)

    def _update_placement(self, state: PoolState) -> None:
        if state.hold is not None and state.hold.job_id not in self.queue.entries:
            state.hold = None
            state.capacity.hold([])
        state.placement = _make_placement(self.policy, self._references(state))

    def _references(self, state: PoolState) -> tuple[tuple[Shape, float], ...]:
        """The largest waiting and guaranteed shapes, weighted by how much they matter."""
        waiting = {s: n for s, n in self.queue.shapes().items() if s.pool is state.capacity.pool}
        for shape in state.guaranteed:
            waiting[shape] = waiting.get(shape, 0) + 1
        largest = sorted(waiting, key=lambda s: (-s.total, s.units, s.adjacency))
        return tuple((shape, 1.0) for shape in largest[:REFERENCE_SHAPES] if shape.total > 1)

    def _order(self, now: float) -> Order:
        if self.policy.order is not OrderName.COMPLETION:
            return ArrivalOrder()
        state = self.pools[Pool.ACCELERATORS]
        backlog = self.queue.area.get(Pool.ACCELERATORS, 0.0) / max(1, state.total)
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
        """Return a customer's use relative to its declared share, never below a floor."""
        total = max(1, self.pools[Pool.ACCELERATORS].total + self.pools[Pool.SLOTS].total)
        used = self.customer_use.get(customer, 0) / total
        return SHARE_FLOOR + used / self.shares.get(customer, 1.0)

    def _refusal(self, job: Job) -> Reason | None:
        limits = self.policy.limits
        if self.queue.per_customer.get(job.customer, 0) >= limits.per_customer:
            text = f"customer {job.customer} already has {limits.per_customer} jobs waiting"
            return Reason(Cause.QUEUE_FULL, text)
        if self.queue.per_class.get(job.job_class.name, 0) >= limits.per_class:
            text = f"class {job.job_class.name} already has {limits.per_class} jobs waiting"
            return Reason(Cause.QUEUE_FULL, text)
        if not self._could_fit(job.shape):
            return Reason(
                Cause.TOO_LARGE, f"no {job.shape.adjacency.name.lower()} holds {job.shape}"
            )
        return None

    def _could_fit(self, shape: Shape) -> bool:
        total = self.pools[shape.pool].capacity.total
        for workers in self.topology.workers_in[shape.adjacency]:
            if sum(total[worker] // shape.units for worker in workers) >= shape.members:
                return True
        return False


def _make_placement(policy: Policy, references: tuple[tuple[Shape, float], ...]) -> PlacementPolicy:
    if policy.placement is PlacementName.FIRST_FIT:
        return FirstFit()
    if policy.placement is PlacementName.BEST_FIT:
        return BestFit()
    weighted = tuple((shape, weight * policy.fragmentation_weight) for shape, weight in references)
    return LeastLoss(weighted)
