"""A replay of decisions: one clock, one capacity map, arrivals, and lengths from a seed."""

from __future__ import annotations

import time
from collections.abc import Generator
from dataclasses import dataclass, field

import simpy
from heronthread_scheduling import (
    CellScheduler,
    Gang,
    Job,
    NotRun,
    Policy,
    Pool,
    Reclaim,
    RunningGang,
    Shape,
    Start,
    find_violations,
)
from heronthread_scheduling.capacity import count_usable_units
from heronthread_scheduling.cell import CellSpec

from .workload import Arrival, Loss, Workload, draw_arrivals, get_cell

Steps = Generator[simpy.Event, None, None]

STOP_S = 0.2
CHECKPOINT_S = 1.0
CHECKPOINT_OVERHEAD_S = 30.0
START_S = 0.05
PASS_S = 0.01
AUDIT_EVERY = 10


@dataclass(slots=True)
class JobTimes:
    """Arrival, first start and end of one job, in seconds; None until it happened."""

    job: Job
    arrival: float
    start: float | None = None
    end: float | None = None


@dataclass(slots=True)
class Outcome:
    """What one replay measured."""

    policy: str
    seed: int
    jobs: dict[str, JobTimes] = field(default_factory=dict)
    not_run: int = 0
    makespan_s: float = 0.0
    bound_s: float = 0.0
    fragmentation_s: float = 0.0
    reclaim_delays_s: list[float] = field(default_factory=list)
    lost_unit_s: float = 0.0
    violations: int = 0
    decisions: int = 0
    decide_s: float = 0.0
    large_units: int = 0
    accelerators: int = 1


class Replay:
    """One run of a workload under a policy."""

    def __init__(
        self, workload: Workload, policy: Policy, seed: int, *, audit: bool = True
    ) -> None:
        self.spec: CellSpec = get_cell(workload)
        self.scheduler = CellScheduler(
            self.spec.topology, self.spec.guarantees, policy, self.spec.quotas, self.spec.shares
        )
        self.environment = simpy.Environment()
        self.outcome = Outcome(policy.name, seed)
        self.arrivals = draw_arrivals(workload, seed)
        self.losses = workload.losses
        self.left: dict[str, float] = {a.job.id: a.length_s for a in self.arrivals}
        self.begun: dict[str, float] = {}
        self.running: dict[str, simpy.Process] = {}
        self.claimed: dict[str, float] = {}
        self.audit = audit
        self.passes = 0
        self._pass_planned = False
        self._free = [worker.accelerators for worker in self.spec.topology.workers]
        self._changed_at = 0.0
        self._unusable = 0
        state = self.scheduler.pools[Pool.ACCELERATORS]
        self.outcome.accelerators = max(1, state.total)
        self.outcome.large_units = max(2, int(0.25 * state.largest_rack))
        self._guaranteed = [
            g.shape for g in self.spec.guarantees if g.shape.pool is Pool.ACCELERATORS
        ]

    def run(self) -> Outcome:
        """Run to the end and return what was measured."""
        self.environment.process(self._arrive())
        for loss in self.losses:
            self.environment.process(self._lose(loss))
        self.environment.run()
        outcome = self.outcome
        ends = [times.end for times in outcome.jobs.values() if times.end is not None]
        outcome.makespan_s = max(ends, default=0.0)
        outcome.bound_s = _lower_bound(self.arrivals, self.spec)
        return outcome

    def _arrive(self) -> Steps:
        for arrival in self.arrivals:
            if arrival.at > self.environment.now:
                yield self.environment.timeout(arrival.at - self.environment.now)
            self._submit(arrival)

    def _submit(self, arrival: Arrival) -> None:
        now = self.environment.now
        self.outcome.jobs[arrival.job.id] = JobTimes(arrival.job, now)
        if isinstance(self.scheduler.submit(arrival.job, now), NotRun):
            self.outcome.not_run += 1
        self._plan_pass()

    def _plan_pass(self) -> None:
        if not self._pass_planned:
            self._pass_planned = True
            self.environment.process(self._pass())

    def _pass(self) -> Steps:
        yield self.environment.timeout(PASS_S)
        self._pass_planned = False
        started = time.perf_counter()
        decisions = self.scheduler.decide(self.environment.now)
        self.outcome.decide_s += time.perf_counter() - started
        self.outcome.decisions += len(decisions)
        for decision in decisions:
            if isinstance(decision, Start):
                self._start(decision.gang)
            elif isinstance(decision, Reclaim):
                self._reclaim(decision)
            else:
                self.outcome.not_run += 1
        self._measure_fragmentation()
        self.passes += 1
        if self.audit and self.passes % AUDIT_EVERY == 0:
            self._audit()

    def _start(self, gang: Gang) -> None:
        job_id = gang.job.id
        now = self.environment.now + START_S
        times = self.outcome.jobs[job_id]
        if times.start is None:
            times.start = now
        if job_id in self.claimed:
            self.outcome.reclaim_delays_s.append(now - self.claimed.pop(job_id))
        self.begun[job_id] = now
        self._occupy(gang, -1)
        self.running[job_id] = self.environment.process(self._run(gang))

    def _run(self, gang: Gang) -> Steps:
        job_id = gang.job.id
        try:
            yield self.environment.timeout(START_S + self.left[job_id])
        except simpy.Interrupt:
            return
        self._occupy(gang, 1)
        self.outcome.jobs[job_id].end = self.environment.now
        del self.running[job_id]
        self.scheduler.finish(job_id)
        self.scheduler.forget(job_id)
        self._plan_pass()

    def _reclaim(self, decision: Reclaim) -> None:
        now = self.environment.now
        if self.scheduler.gangs[decision.claimant.id].waiting_for:
            self.claimed[decision.claimant.id] = now
        for victim in decision.victims:
            self.environment.process(self._stop(victim))

    def _stop(self, victim: Gang) -> Steps:
        checkpoint = victim.job.checkpointable
        yield self.environment.timeout(CHECKPOINT_S if checkpoint else STOP_S)
        if victim.job.id in self.running:
            self._interrupt(victim, keep=checkpoint)
        self._plan_pass()

    def _interrupt(self, victim: Gang, *, keep: bool) -> None:
        """Stop a gang and queue its job again, with its progress if it was checkpointed."""
        job_id = victim.job.id
        now = self.environment.now
        self.running.pop(job_id).interrupt()
        self._occupy(victim, 1)
        progress = max(0.0, now - self.begun[job_id])
        lost = CHECKPOINT_OVERHEAD_S if keep else progress
        if keep:
            self.left[job_id] = max(1.0, self.left[job_id] - progress) + CHECKPOINT_OVERHEAD_S
        self.outcome.lost_unit_s += lost * victim.job.shape.total
        self.scheduler.finish(job_id)
        if victim.job.reclaimable:
            self.scheduler.requeue(victim.job, now)
        else:
            self.outcome.not_run += 1

    def _lose(self, loss: Loss) -> Steps:
        yield self.environment.timeout(loss.at)
        for name in loss.workers:
            for gang in self.scheduler.mark_worker_lost(name):
                if gang.job.id in self.running:
                    self._interrupt(gang, keep=False)
                elif gang.job.id in self.scheduler.gangs:
                    self.scheduler.finish(gang.job.id)
                    self.scheduler.requeue(gang.job, self.environment.now)
        self._plan_pass()
        yield self.environment.timeout(loss.back_after_s)
        for name in loss.workers:
            self.scheduler.restore_worker(name)
        self._plan_pass()

    def _occupy(self, gang: Gang, sign: int) -> None:
        if gang.job.shape.pool is Pool.ACCELERATORS:
            for worker, units in gang.places.items():
                self._free[worker] += sign * units

    def _measure_fragmentation(self) -> None:
        now = self.environment.now
        self.outcome.fragmentation_s += self._unusable * (now - self._changed_at)
        self._changed_at = now
        reference = self._reference()
        self._unusable = 0
        if reference is not None:
            lost = self.scheduler.pools[Pool.ACCELERATORS].capacity.lost
            free = [0 if lost[i] else max(0, n) for i, n in enumerate(self._free)]
            self._unusable = sum(free) - count_usable_units(self.spec.topology, free, reference)

    def _reference(self) -> Shape | None:
        """The largest waiting or guaranteed shape."""
        waiting = [s for s in self.scheduler.queue.shapes() if s.pool is Pool.ACCELERATORS]
        return max(
            [*waiting, *self._guaranteed], key=lambda s: (s.total, -s.adjacency), default=None
        )

    def _audit(self) -> None:
        gangs = [self._seen(gang) for gang in self.scheduler.gangs.values() if not gang.is_stopping]
        if self.scheduler.unbacked():
            return
        for pool in Pool:
            lost = self.scheduler.pools[pool].capacity.lost
            found = find_violations(self.spec.topology, pool, lost, self.spec.guarantees, gangs)
            self.outcome.violations += len(found)

    def _seen(self, gang: Gang) -> RunningGang:
        job = gang.job
        block = self.scheduler.pools[job.shape.pool].blocks.by_id.get(gang.block or "")
        return RunningGang(
            job.id,
            job.customer,
            job.shape,
            gang.places,
            job.reclaimable,
            gang.block,
            block.places if block else None,
        )


def _lower_bound(arrivals: list[Arrival], spec: CellSpec) -> float:
    """The larger of all work over all units of a pool, and the latest end of any one job."""
    bound = max((a.at + a.length_s for a in arrivals), default=0.0)
    for pool in Pool:
        units = sum(worker.count(pool) for worker in spec.topology.workers)
        own = [a for a in arrivals if a.job.shape.pool is pool]
        work = sum(a.length_s * a.job.shape.total for a in own)
        first = min((a.at for a in own), default=0.0)
        bound = max(bound, first + work / max(1, units))
    return bound
