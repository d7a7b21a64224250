"""Shapes, jobs and running gangs."""

from __future__ import annotations

from dataclasses import dataclass, field

from .topology import Level, Pool

Places = dict[int, int]
"""Units held by a gang or a block on each worker, by worker number."""

DEFAULT_CHECKPOINT_S = 30.0


@dataclass(frozen=True, slots=True)
class Shape:
    """Size of a gang: `members` tasks, each holding `units` of `pool` on one worker."""

    members: int
    units: int
    adjacency: Level = Level.RACK
    pool: Pool = Pool.ACCELERATORS

    @property
    def total(self) -> int:
        """Units held by the whole gang."""
        return self.members * self.units

    def fits_inside(self, other: Shape) -> bool:
        """Return whether a gang of this shape could run in a block of shape `other`."""
        if self.pool is not other.pool or self.total > other.total:
            return False
        members_per_member = other.units // self.units
        if members_per_member * other.members < self.members:
            return False
        return other.adjacency <= self.adjacency or members_per_member >= self.members

    def __str__(self) -> str:
        return f"{self.members}x{self.units} {self.pool} in one {self.adjacency.name.lower()}"


@dataclass(frozen=True, slots=True)
class JobClass:
    """Priority of a kind of job: a larger relative `weight` runs earlier, urgent ones first."""

    name: str
    weight: float = 1.0
    urgent: bool = False


@dataclass(frozen=True, slots=True)
class Job:
    """A request to run one gang; durations and times are in seconds.

    `expected_s` and `p95_s` are the mean and the 95th percentile of the run time.
    `deadline` is the latest useful completion time, on the scheduler's clock.
    """

    id: str
    customer: str
    job_class: JobClass
    shape: Shape
    expected_s: float
    p95_s: float
    repeatable: bool = True
    checkpointable: bool = False
    deadline: float | None = None
    checkpoint_s: float = DEFAULT_CHECKPOINT_S
    team: str = ""

    @property
    def reclaimable(self) -> bool:
        """Whether the job can be stopped and then resumed or run again."""
        return self.repeatable or self.checkpointable

    @property
    def unit_seconds(self) -> float:
        """Expected unit-seconds of the whole run."""
        return self.shape.total * self.expected_s


@dataclass(slots=True)
class Gang:
    """A job that holds capacity.

    `block` is the id of the guarantee block that it runs in, or None. `waiting_for` holds
    the ids of the gangs that must stop before it can start. `is_stopping` is set once the gang
    is being stopped.
    """

    job: Job
    places: Places
    start: float
    block: str | None = None
    waiting_for: set[str] = field(default_factory=set)
    is_stopping: bool = False

    @property
    def pinned(self) -> bool:
        """Whether the gang can't be reclaimed: it runs in its guarantee or is not reclaimable."""
        return self.block is not None or not self.job.reclaimable

    def end(self, *, use_p95: bool = True) -> float:
        """Return when the gang is expected to end, in seconds on the scheduler's clock."""
        return self.start + (self.job.p95_s if use_p95 else self.job.expected_s)

    def lost_work(self, now: float) -> float:
        """Return the unit-seconds of work lost if the gang is stopped at `now`."""
        if self.waiting_for:
            return 0.0
        elapsed = max(0.0, now - self.start)
        if self.job.checkpointable:
            elapsed = min(elapsed, self.job.checkpoint_s)
        return elapsed * self.job.shape.total
