"""Validation of a desired-state file."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from pydantic import ValidationError

from .capacity import PoolCapacity
from .cell import build_cells, customer_cell, find_class, find_customer, to_shape
from .desired import MAX_FILE_BYTES, DesiredState, EventModel, JobModel, ShapeModel
from .guarantee import find_unbacked_blocks
from .job import Shape
from .problem import Problem, Refused, problems_of
from .topology import Pool, Topology


def load_desired(
    text: str | bytes, *, now: float | None = None, known: Iterable[EventModel] = ()
) -> DesiredState | Refused:
    """Validate a file and return its state, or every problem found.

    With `now` (seconds since the epoch) an event in the past is refused, unless it is one
    of `known`, the events already in force.
    """
    data = text.encode() if isinstance(text, str) else text
    if len(data) > MAX_FILE_BYTES:
        what = f"the file has {len(data)} bytes"
        return Refused((Problem("$", what, f"keep it within {MAX_FILE_BYTES} bytes"),))
    try:
        state = DesiredState.model_validate_json(data)
    except ValidationError as error:
        return problems_of(error)
    found = list(_check(state, now, list(known)))
    return Refused(tuple(found)) if found else state


def _check(state: DesiredState, now: float | None, known: list[EventModel]) -> Iterator[Problem]:
    names = [*_check_names(state)]
    yield from names
    cells = [*_check_cells(state)]
    yield from cells
    if names or cells:
        return
    customers = [*_check_customers(state)]
    yield from customers
    jobs = [*_check_jobs(state)]
    yield from jobs
    yield from _check_starts(state, now, known)
    if not customers:
        yield from _check_guarantees(state)


def _check_names(state: DesiredState) -> Iterator[Problem]:
    topology = state.topology
    yield from _duplicates((c.name for c in state.customers), "$.customers[{}].name")
    yield from _duplicates((c.name for c in state.classes), "$.classes[{}].name")
    yield from _duplicates((e.name for e in state.events), "$.events[{}].name")
    yield from _duplicates((c.name for c in topology.cells), "$.topology.cells[{}].name")
    for number, event in enumerate(state.events):
        path = f"$.events[{number}].jobs[{{}}].name"
        yield from _duplicates((job.name for job in event.jobs), path)
    for number, customer in enumerate(state.customers):
        path = f"$.customers[{number}].teams[{{}}].name"
        yield from _duplicates((team.name for team in customer.teams), path)
    yield from _check_topology_names(state)


def _check_topology_names(state: DesiredState) -> Iterator[Problem]:
    seen: dict[str, str] = {}
    for r, region in enumerate(state.topology.regions):
        for d, domain in enumerate(region.domains):
            path = f"$.topology.regions[{r}].domains[{d}]"
            yield from _check_unique(seen, f"domain {domain.name}", f"{path}.name")
            for k, rack in enumerate(domain.racks):
                yield from _check_unique(
                    seen, f"rack {domain.name}/{rack.name}", f"{path}.racks[{k}].name"
                )
                for g, group in enumerate(rack.workers):
                    where = f"{path}.racks[{k}].workers[{g}].prefix"
                    for number in range(1, group.count + 1):
                        yield from _check_unique(seen, f"worker {group.prefix}{number}", where)


def _check_unique(seen: dict[str, str], what: str, path: str) -> Iterator[Problem]:
    if what in seen:
        yield Problem(path, f"duplicate {what}, first at {seen[what]}", "give it another name")
    seen.setdefault(what, path)


def _duplicates(names: Iterable[str], path: str) -> Iterator[Problem]:
    seen: set[str] = set()
    for number, name in enumerate(names):
        if name in seen:
            what = f"duplicate name {name!r}"
            yield Problem(path.format(number), what, "give each its own name")
        seen.add(name)


def _check_cells(state: DesiredState) -> Iterator[Problem]:
    region_of = {d.name: r.name for r in state.topology.regions for d in r.domains}
    covered: dict[str, str] = {}
    for number, cell in enumerate(state.topology.cells):
        path = f"$.topology.cells[{number}].domains"
        unknown = [name for name in cell.domains if name not in region_of]
        if unknown:
            yield Problem(path, f"no failure domain {unknown[0]!r}", "name a declared domain")
            continue
        if len({region_of[name] for name in cell.domains}) > 1:
            yield Problem(path, "the cell spans regions", "keep a cell within one region")
        for name in cell.domains:
            if name in covered:
                what = f"failure domain {name!r} is already in cell {covered[name]!r}"
                yield Problem(path, what, "put each failure domain in one cell")
            covered[name] = cell.name
    left = sorted(set(region_of) - set(covered))
    if left and len(covered) < len(region_of):
        what = f"failure domain {left[0]!r} is in no cell"
        yield Problem("$.topology.cells", what, "add it to a cell")


def _check_customers(state: DesiredState) -> Iterator[Problem]:
    cells = {cell.name for cell in state.topology.cells}
    specs = build_cells(state) if not _has_unknown_cells(state, cells) else {}
    for c, customer in enumerate(state.customers):
        path = f"$.customers[{c}]"
        if customer.cell is not None and customer.cell not in cells:
            yield Problem(f"{path}.cell", f"no cell {customer.cell!r}", "name a declared cell")
            continue
        for g, guarantee in enumerate(customer.guarantees):
            where = f"{path}.guarantees[{g}]"
            cell = guarantee.cell or customer_cell(state, customer)
            if cell not in cells:
                yield Problem(f"{where}.cell", f"no cell {cell!r}", "name a declared cell")
                continue
            if cell in specs:
                topology = specs[cell].topology
                yield from _check_shape(guarantee.shape, state, cell, topology, f"{where}.shape")


def _has_unknown_cells(state: DesiredState, cells: set[str]) -> bool:
    named = [c.cell for c in state.customers]
    named += [g.cell for c in state.customers for g in c.guarantees]
    return any(name is not None and name not in cells for name in named)


def _check_shape(
    model: ShapeModel, state: DesiredState, cell: str, topology: Topology, path: str
) -> Iterator[Problem]:
    if bool(model.accelerators) == bool(model.slots):
        what = "a member needs either accelerators or slots"
        yield Problem(path, what, "set exactly one of them above 0")
        return
    shape = to_shape(model, state, cell)
    if not fits_empty_cell(shape, topology):
        unit = shape.adjacency.name.lower()
        what = f"{shape} fits no {unit} of cell {cell!r}"
        yield Problem(path, what, f"ask for fewer or smaller members, or more than one {unit}")


def fits_empty_cell(shape: Shape, topology: Topology) -> bool:
    """Return whether a gang of `shape` fits in the cell if nothing else runs there."""
    counts = [worker.count(shape.pool) // shape.units for worker in topology.workers]
    units = topology.workers_in[shape.adjacency]
    return any(sum(counts[w] for w in workers) >= shape.members for workers in units)


def _check_jobs(state: DesiredState) -> Iterator[Problem]:
    cells = {cell.name for cell in state.topology.cells}
    specs = build_cells(state) if not _has_unknown_cells(state, cells) else {}
    for e, event in enumerate(state.events):
        for j, job in enumerate(event.jobs):
            path = f"$.events[{e}].jobs[{j}]"
            yield from check_job(state, job, path, lambda cell: specs[cell].topology, bool(specs))


def check_job(
    state: DesiredState,
    job: JobModel,
    path: str,
    topology_of: Callable[[str], Topology],
    check_shapes: bool = True,
) -> Iterator[Problem]:
    """Yield the problems of one job against the rest of the state."""
    customer = find_customer(state, job.customer)
    if customer is None:
        what = f"no customer {job.customer!r}"
        yield Problem(f"{path}.customer", what, "declare the customer or correct the name")
        return
    if find_class(state, job.job_class) is None:
        what = f"no class {job.job_class!r}"
        yield Problem(f"{path}.class", what, "declare the class or correct the name")
    if job.team is not None and job.team not in {team.name for team in customer.teams}:
        what = f"customer {customer.name!r} has no team {job.team!r}"
        yield Problem(f"{path}.team", what, "declare the team or correct the name")
    if check_shapes:
        cell = customer_cell(state, customer)
        yield from _check_shape(job.shape, state, cell, topology_of(cell), f"{path}.shape")


def _check_starts(
    state: DesiredState, now: float | None, known: list[EventModel]
) -> Iterator[Problem]:
    if now is None:
        return
    for number, event in enumerate(state.events):
        if event.start_time() < now and event not in known:
            path = f"$.events[{number}].start"
            what = f"event {event.name!r} starts in the past"
            yield Problem(path, what, "give a later start, or remove the event")


def _check_guarantees(state: DesiredState) -> Iterator[Problem]:
    for cell in build_cells(state).values():
        for pool in Pool:
            guarantees = [g for g in cell.guarantees if g.shape.pool is pool]
            topology = cell.topology
            missing = find_unbacked_blocks(
                lambda t=topology, p=pool: PoolCapacity(t, p),  # type: ignore[misc]
                guarantees,
            )
            for customer, shape in {(block.customer, block.shape): None for block in missing}:
                number = [c.name for c in state.customers].index(customer)
                what = f"cell {cell.name!r} can't back {shape} together with the other guarantees"
                fix = "lower a guarantee or declare more workers"
                yield Problem(f"$.customers[{number}].guarantees", what, fix)
