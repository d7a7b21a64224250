"""State of one cell: capacity, guarantees, waiting jobs and running gangs."""

from __future__ import annotations

from collections.abc import Iterable

from .capacity import PoolCapacity
from .guarantee import Guarantee, GuaranteeBlocks
from .hold import Hold
from .job import Gang, Job
from .placement import FirstFit, PlacementPolicy
from .policy import EstimateName, Policy
from .queue import WaitingQueue
from .topology import Level, Pool, Topology


class PoolState:
    """Capacity, guarantee blocks and the hold for a large gang in one pool."""

    def __init__(self, topology: Topology, pool: Pool, guarantees: Iterable[Guarantee]) -> None:
        self.capacity = PoolCapacity(topology, pool)
        own = [guarantee for guarantee in guarantees if guarantee.shape.pool is pool]
        self.blocks = GuaranteeBlocks(self.capacity, own)
        self.guaranteed = sorted({g.shape for g in own}, key=lambda s: (-s.total, s))
        self.placement: PlacementPolicy = FirstFit()
        self.hold: Hold | None = None
        racks = topology.workers_in[Level.RACK]
        sizes = [sum(self.capacity.total[worker] for worker in rack) for rack in racks]
        self.largest_rack = max(sizes, default=0)
        self.total = sum(self.capacity.total)


class CellState:
    """Pools, waiting queue and gangs of one cell, shared by the scheduler and `job_start`."""

    def __init__(
        self,
        topology: Topology,
        guarantees: Iterable[Guarantee],
        policy: Policy,
        quotas: dict[str, int],
        shares: dict[str, float],
    ) -> None:
        self.topology = topology
        self.policy = policy
        self.quotas = quotas
        self.shares = shares
        listed = list(guarantees)
        self.pools = {pool: PoolState(topology, pool, listed) for pool in Pool}
        self.queue = WaitingQueue()
        self.gangs: dict[str, Gang] = {}
        self.gangs_by_worker: list[set[str]] = [set() for _ in topology.workers]
        self.customer_use: dict[str, int] = {}
        self.team_use: dict[str, int] = {}

    def gangs_on(self, worker: int, pool: Pool) -> list[Gang]:
        """Return the gangs of `pool` with members on a worker, by job id."""
        ids = sorted(self.gangs_by_worker[worker])
        found = [self.gangs[gang_id] for gang_id in ids]
        return [gang for gang in found if gang.job.shape.pool is pool]

    def estimate(self, job: Job) -> float:
        """Return the run time that backfill assumes for a job, in seconds."""
        return job.p95_s if self.policy.estimate is EstimateName.P95 else job.expected_s

    def is_large(self, job: Job) -> bool:
        """Return whether a gang is large enough to have workers held for it."""
        return job.shape.members > 1 and job.shape.total >= self.large_units(job.shape.pool)

    def large_units(self, pool: Pool) -> int:
        """Return the smallest size, in units, of a large gang in a pool."""
        return max(2, int(self.policy.large_fraction * self.pools[pool].largest_rack))
