"""Dry run of an event with the scheduler that the daemon uses."""

from __future__ import annotations

from dataclasses import dataclass, field

from pydantic import Field

from .cell import CellSpec, EventJob, build_cells, event_jobs, make_job
from .decision import Cause, NotRun, Reason, Reclaim, Start
from .desired import DesiredState, JobModel, Model, Name
from .job import Gang
from .problem import Problem, Refused
from .scheduler import CellScheduler


class SnapshotGang(Model):
    """A running gang: its job, its units by worker, and how long it has run (seconds)."""

    id: str
    job: JobModel
    places: dict[str, int] = Field(min_length=1)
    running_s: float = Field(default=1.0, gt=0)


class Snapshot(Model):
    """Current state of the workers: the lost ones and the running gangs."""

    lost: tuple[Name, ...] = ()
    gangs: tuple[SnapshotGang, ...] = ()


@dataclass(frozen=True, slots=True)
class PlannedJob:
    """Planned outcome of one job at the event's start.

    `order` numbers starts and reclaims from 1; it is 0 for jobs that wait or are not run.
    `outcome` is "start", "reclaim", "wait" or "not-run".
    """

    job: str
    customer: str
    job_class: str
    cell: str
    outcome: str
    order: int
    places: dict[str, int]
    cause: str
    reason: str
    takes_back: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Plan:
    """Planned outcomes of the jobs of one event, in file order."""

    event: str
    jobs: list[PlannedJob] = field(default_factory=list)


def plan_event(
    state: DesiredState, event: str | None = None, snapshot: Snapshot | None = None
) -> Plan | Refused:
    """Return the plan of an event, by default of the first event in the file."""
    names = [e.name for e in state.events]
    if event is None and names:
        event = names[0]
    if event not in names:
        what = f"no event {event!r}" if event else "the file has no events"
        return Refused((Problem("$.events", what, "name one of: " + ", ".join(names)),))
    start = next(e for e in state.events if e.name == event).start_time()
    jobs = event_jobs(state, event)
    planned: dict[str, PlannedJob] = {}
    for spec in build_cells(state).values():
        scheduler = spec.make_scheduler()
        refused = _load(scheduler, state, snapshot or Snapshot(), start)
        if refused is not None:
            return refused
        own = [job for job in jobs if job.cell == spec.name]
        planned.update(_plan_cell(spec, scheduler, own, start))
    return Plan(event, [planned[job.job.id] for job in jobs])


def _load(
    scheduler: CellScheduler, state: DesiredState, snapshot: Snapshot, now: float
) -> Refused | None:
    for name in snapshot.lost:
        if name in scheduler.topology.number:
            scheduler.mark_worker_lost(name)
    gangs = []
    for number, item in enumerate(snapshot.gangs):
        unknown = [name for name in item.places if name not in scheduler.topology.number]
        if len(unknown) == len(item.places):
            continue
        if unknown:
            path = f"$.gangs[{number}].places"
            what = f"{unknown[0]!r} is not a worker of the same cell"
            return Refused((Problem(path, what, "name workers of one declared cell"),))
        job = make_job(state, item.job, item.id, now).job
        places = {scheduler.topology.number[n]: units for n, units in item.places.items()}
        gangs.append(Gang(job, places, now - item.running_s))
    scheduler.adopt_gangs(gangs)
    return None


def _plan_cell(
    spec: CellSpec, scheduler: CellScheduler, jobs: list[EventJob], now: float
) -> dict[str, PlannedJob]:
    planned: dict[str, PlannedJob] = {}
    by_id = {item.job.id: item for item in jobs}
    for item in jobs:
        outcome = scheduler.submit(item.job, now)
        if isinstance(outcome, NotRun):
            planned[item.job.id] = _entry(item, "not-run", 0, {}, outcome.reason)
    order = 0
    for decision in scheduler.decide(now):
        order += not isinstance(decision, NotRun)
        if isinstance(decision, Start):
            item = by_id[decision.gang.job.id]
            places = scheduler.units_by_worker(decision.gang)
            planned[item.job.id] = _entry(item, "start", order, places, decision.reason)
        elif isinstance(decision, Reclaim):
            item = by_id[decision.claimant.id]
            places = scheduler.units_by_worker(scheduler.gangs[item.job.id])
            victims = tuple(_describe(victim, now) for victim in decision.victims)
            planned[item.job.id] = _entry(item, "reclaim", order, places, decision.reason, victims)
        else:
            item = by_id[decision.job.id]
            planned[item.job.id] = _entry(item, "not-run", 0, {}, decision.reason)
    for item in jobs:
        if item.job.id not in planned:
            reason = scheduler.explain(item.job.id) or _similar_job_reason(scheduler, item)
            planned[item.job.id] = _entry(item, "wait", 0, {}, reason)
    return planned


def _similar_job_reason(scheduler: CellScheduler, item: EventJob) -> Reason:
    """Return the reason of a similar job, as only one job of a bucket is tried in a pass."""
    for entry in scheduler.queue.entries.values():
        other = entry.job
        known = scheduler.explain(other.id)
        if known and other.shape == item.job.shape and other.customer == item.job.customer:
            return known
    return Reason(Cause.NO_ROOM, f"no free place for {item.job.shape}")


def _describe(gang: Gang, now: float) -> str:
    how = "checkpoint" if gang.job.checkpointable else "run again"
    return f"{gang.job.id} ({gang.job.customer}, loses {gang.lost_work(now):.0f} unit-s, {how})"


def _entry(
    item: EventJob,
    outcome: str,
    order: int,
    places: dict[str, int],
    reason: Reason,
    takes_back: tuple[str, ...] = (),
) -> PlannedJob:
    return PlannedJob(
        job=item.job.id,
        customer=item.job.customer,
        job_class=item.job.job_class.name,
        cell=item.cell,
        outcome=outcome,
        order=order,
        places=places,
        cause=str(reason.cause),
        reason=reason.text,
        takes_back=takes_back,
    )
