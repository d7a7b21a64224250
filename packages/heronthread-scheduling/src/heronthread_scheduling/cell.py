"""Conversion of the desired-state models into the scheduler's input, cell by cell."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from .desired import CustomerModel, DesiredState, EventModel, JobModel, ShapeModel, WorkersModel
from .guarantee import Guarantee
from .job import Job, JobClass, Shape
from .policy import Policy
from .scheduler import CellScheduler
from .topology import Level, Pool, Topology, Worker


@dataclass(frozen=True, slots=True)
class CellSpec:
    """The declared state of one cell."""

    name: str
    topology: Topology
    guarantees: tuple[Guarantee, ...]
    policy: Policy
    quotas: dict[str, int]
    shares: dict[str, float]

    def has_same_capacity(self, other: CellSpec) -> bool:
        """Return whether workers, guarantees and policy are equal; quotas and shares may differ."""
        return (
            self.topology.workers == other.topology.workers
            and self.guarantees == other.guarantees
            and self.policy == other.policy
        )

    def make_scheduler(self) -> CellScheduler:
        """Return a scheduler without waiting or running jobs."""
        return CellScheduler(self.topology, self.guarantees, self.policy, self.quotas, self.shares)


@dataclass(frozen=True, slots=True)
class EventJob:
    """A job of an event with its cell, the event's id and its payload."""

    job: Job
    cell: str
    event: str
    payload: str


def build_cells(state: DesiredState) -> dict[str, CellSpec]:
    """Return the cells of a validated file by name."""
    return {cell.name: _build_cell(state, cell.name) for cell in state.topology.cells}


def _build_cell(state: DesiredState, name: str) -> CellSpec:
    quotas = {
        team_key(customer.name, team.name): team.quota
        for customer in state.customers
        for team in customer.teams
        if team.quota is not None
    }
    return CellSpec(
        name=name,
        topology=Topology(cell_workers(state, name)),
        guarantees=tuple(cell_guarantees(state, name)),
        policy=state.policy.to_policy(),
        quotas=quotas,
        shares=_shares(state),
    )


def _shares(state: DesiredState) -> dict[str, float]:
    total = sum(customer.share for customer in state.customers)
    return {customer.name: customer.share / total for customer in state.customers}


def team_key(customer: str, team: str | None) -> str:
    """Return the key of a team, unique across customers."""
    return f"{customer}/{team}" if team else ""


def cell_workers(state: DesiredState, cell: str) -> Iterator[Worker]:
    """Yield the workers of a cell."""
    domains = next(c.domains for c in state.topology.cells if c.name == cell)
    for region in state.topology.regions:
        for domain in region.domains:
            if domain.name not in domains:
                continue
            for rack in domain.racks:
                for group in rack.workers:
                    for number in range(1, group.count + 1):
                        worker_name = f"{group.prefix}{number}"
                        yield Worker(
                            worker_name, rack.name, domain.name, group.accelerators, group.slots
                        )


def cell_guarantees(state: DesiredState, cell: str) -> Iterator[Guarantee]:
    """Yield the guarantees that a cell must back."""
    for customer in state.customers:
        for guarantee in customer.guarantees:
            cell_name = guarantee.cell or customer_cell(state, customer)
            if cell_name == cell:
                shape = to_shape(guarantee.shape, state, cell)
                yield Guarantee(customer.name, shape, guarantee.count)


def customer_cell(state: DesiredState, customer: CustomerModel) -> str:
    """Return the cell where a customer's jobs run; the first cell unless one is declared."""
    return customer.cell or state.topology.cells[0].name


def find_customer(state: DesiredState, name: str) -> CustomerModel | None:
    """Return a customer by name."""
    return next((c for c in state.customers if c.name == name), None)


def to_shape(model: ShapeModel, state: DesiredState, cell: str) -> Shape:
    """Return the shape in whole units.

    A member that needs more cores or memory than the proportional share of its accelerators
    is charged as many accelerators as that share corresponds to, on the worker of the cell
    with the smallest share per accelerator.
    """
    level = Level[model.adjacency.upper()]
    if not model.accelerators:
        return Shape(model.members, max(1, model.slots), level, Pool.SLOTS)
    units = model.accelerators
    for group in _groups(state, cell):
        if group.accelerators:
            units = max(units, math.ceil(model.cores * group.accelerators / group.cores))
            units = max(units, math.ceil(model.memory_gb * group.accelerators / group.memory_gb))
    return Shape(model.members, units, level, Pool.ACCELERATORS)


def _groups(state: DesiredState, cell: str) -> Iterator[WorkersModel]:
    domains = next(c.domains for c in state.topology.cells if c.name == cell)
    for region in state.topology.regions:
        for domain in region.domains:
            if domain.name in domains:
                for rack in domain.racks:
                    yield from rack.workers


def find_class(state: DesiredState, name: str) -> JobClass | None:
    """Return a job class by name."""
    found = next((c for c in state.classes if c.name == name), None)
    return JobClass(found.name, found.weight, found.urgent) if found else None


def make_job(state: DesiredState, model: JobModel, job_id: str, start: float) -> EventJob:
    """Return one job of a validated model, released at `start` (seconds).

    If its customer or class is no longer in the file, the job belongs to the first cell
    or gets a class with default settings.
    """
    customer = find_customer(state, model.customer)
    job_class = find_class(state, model.job_class) or JobClass(model.job_class)
    cell = customer_cell(state, customer) if customer else state.topology.cells[0].name
    job = Job(
        id=job_id,
        customer=model.customer,
        job_class=job_class,
        shape=to_shape(model.shape, state, cell),
        expected_s=model.expected_s,
        p95_s=model.p95_s,
        repeatable=model.repeatable,
        checkpointable=model.checkpointable,
        deadline=None if model.deadline_s is None else start + model.deadline_s,
        team=team_key(model.customer, model.team),
    )
    return EventJob(job, cell, job_id.split("/")[0], model.payload)


def event_id(event: EventModel) -> str:
    """Return the id of one occurrence of an event: its name and local start time."""
    return f"{event.name}@{event.start.isoformat(timespec='minutes')}"


def event_jobs(state: DesiredState, name: str) -> list[EventJob]:
    """Return all jobs of an event, in file order."""
    event = next(e for e in state.events if e.name == name)
    start = event.start_time()
    return [
        make_job(state, model, f"{event_id(event)}/{model.name}/{number:05d}", start)
        for model in event.jobs
        for number in range(1, model.count + 1)
    ]
