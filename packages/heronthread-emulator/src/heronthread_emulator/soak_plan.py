"""What callers of a soak will do, drawn from its seed, so that every process knows the same."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from heronthread_dispatch.executor_link import EndKind
from heronthread_dispatch.model import DesiredState, JobSpec, Resources, Schedule, StepSpec
from heronthread_dispatch.record import JobRecord

from .executors import WorkSpec
from .site import make_queue, make_state

CALLER_TRIES = 5
GANG_SHARE = 0.35
SCHEDULED_SHARE = 0.15
CANCELLED_SHARE = 0.2
FAILING_SHARE = 0.06
CANCELLED_FACTOR = 5.0
"""Cancelled work is long, so that it shows if it is not ended."""
GUARANTEED = 16
RACKS = 3
"""Executors are spread over them in turn."""
APART = (
    "task_crashes_executors",
    "capacity_changes",
    "host_suspended",
    "foreign_entries",
    "executors_restart",
)
"""Faults that are drawn apart from the others, which stay what they were for each seed."""
APART_SHARE = 0.4
"""Of the seeds, those that have each of them."""


@dataclass(frozen=True, slots=True)
class PlannedJob:
    """One job and what its caller does; times in seconds from when the play begins."""

    id: str
    at_s: float
    queue: str
    tenant: str
    count: int
    work: WorkSpec
    gang: bool
    tries: int
    cancel_after_s: float | None
    schedule: Schedule | None

    def to_record(self, began_at: float) -> JobRecord:
        """Return the job as the checker knows it."""
        step = StepSpec(self.count, self.work.need, self.work.work_s, gang=self.gang)
        queue = make_state().by_name[self.queue]
        schedule = self.schedule_from(began_at)
        spec = JobSpec(self.id, queue, self.tenant, "", (step,), began_at + self.at_s, schedule)
        return JobRecord(spec)

    def schedule_from(self, began_at: float) -> Schedule | None:
        """Return the schedule in seconds since the epoch; callers send whole milliseconds."""
        if self.schedule is None:
            return None
        first_at = int((began_at + self.schedule.first_at) * 1000) / 1000
        return replace(self.schedule, first_at=first_at)


def plan_jobs(seed: int, jobs: int, duration_s: float) -> list[PlannedJob]:
    """Return the jobs of a seed in the order in which they come."""
    source = random.Random(f"jobs {seed}")
    times = sorted(source.uniform(0.0, duration_s) for _ in range(jobs))
    return [_plan_job(source, f"{number:016x}", at) for number, at in enumerate(times)]


def _plan_job(source: random.Random, job_id: str, at_s: float) -> PlannedJob:
    gang = source.random() < GANG_SHARE
    count = source.randint(2, 4) if gang else source.randint(1, 5)
    need = Resources(1000, 1000, source.choice([1, 2, 4, 8] if gang else [0, 1]))
    fails = source.random() < FAILING_SHARE
    work_s = round(source.uniform(0.3, 4.0), 1)
    kind = EndKind.FAILED if fails else EndKind.DONE
    schedule = None
    if source.random() < SCHEDULED_SHARE:
        first_at = at_s + source.uniform(-1.0, 5.0)
        schedule = Schedule(source.randint(1, 3), first_at, round(source.uniform(0.5, 4.0), 3))
    is_cancelled = source.random() < CANCELLED_SHARE
    if is_cancelled:
        work_s *= CANCELLED_FACTOR
    return PlannedJob(
        job_id,
        at_s,
        source.choice(["urgent", "ordinary", "batch"]),
        source.choice(["first", "second"]),
        count,
        WorkSpec(need, 0.5 if fails else work_s, count if gang else 1, kind),
        gang,
        source.choice([1, CALLER_TRIES, CALLER_TRIES]),
        source.uniform(0.2, 6.0) if is_cancelled else None,
        schedule,
    )


def draw_apart(seed: int, only: str = "") -> list[str]:
    """Return which faults of `APART` a seed has beside all others; those of `only` if given."""
    if only:
        wanted = only.split(",")
        return [name for name in APART if name in wanted]
    source = random.Random(f"apart {seed}")
    return [name for name in APART if source.random() < APART_SHARE]


def make_version(version: int) -> DesiredState:
    """Return a configuration with one route that only this version has."""
    state = make_state(version, GUARANTEED)
    queues = [q for q in state.queues if q.approval is None]
    queues.append(make_queue(name_route(version)))
    return DesiredState.build(version, queues, list(state.tenants), state.max_body_bytes)


def name_route(version: int) -> str:
    """Return the name of the route that only one version has."""
    return f"only-{version}"
