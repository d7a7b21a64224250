"""One self-contained HTML page about an event, made from JSON-line logs."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path

import plotly.graph_objects as go
from heronthread_scheduling import DesiredState, Pool, Shape, Topology, build_cells
from heronthread_scheduling.cell import CellSpec
from plotly.subplots import make_subplots

from .exits import BadInput
from .fragmentation import sample_fragmentation
from .history import AttemptRun, History, MemberRun, build_history, read_lines

TITLES = (
    "Accelerators in use by rack",
    "Waiting and running jobs by customer",
    "Jobs done by customer",
    "Fragmentation: accelerators free but of no use to the largest guaranteed shape",
)
HEIGHT_PX = 1500

Series = tuple[list[float], list[int]]


def write_report(state: DesiredState, event: str, lines: Iterable[str], out: Path) -> None:
    """Write the page; raises BadInput if the logs say nothing of the event."""
    history = build_history(read_lines(lines))
    spec, jobs, attempts = _select(state, event, history)
    if not jobs:
        raise BadInput(f"$: the log has no job of event {event!r}")
    start = min(at for job_id in jobs for at, _ in history.jobs[job_id].states)
    figure = make_subplots(
        rows=4, cols=1, subplot_titles=TITLES, shared_xaxes=True, vertical_spacing=0.06
    )
    offset = _clock_offset(history, attempts, jobs)
    _add_racks(figure, spec.topology, attempts, start - offset)
    _add_customers(figure, history, jobs, start)
    _add_completions(figure, history, jobs, start)
    _add_fragmentation(figure, spec, attempts, start - offset)
    title = f"{state.deployment}: {event}, {len(jobs)} jobs"
    figure.update_layout(title=title, height=HEIGHT_PX)
    figure.update_xaxes(title_text="seconds since the event's start", row=4, col=1)
    figure.write_html(out, include_plotlyjs=True)


def _select(
    state: DesiredState, event: str, history: History
) -> tuple[CellSpec, list[str], list[AttemptRun]]:
    jobs = [job_id for job_id in history.jobs if job_id.startswith(f"{event}@")]
    attempts = [a for a in history.attempts.values() if a.job_id.startswith(f"{event}@")]
    used = {member.worker for attempt in attempts for member in attempt.members.values()}
    specs = list(build_cells(state).values())
    best = max(specs, key=lambda spec: len(used & spec.topology.number.keys()))
    return best, jobs, attempts


def _clock_offset(history: History, attempts: list[AttemptRun], jobs: list[str]) -> float:
    """Return wall clock minus the workers' clock, from when jobs were seen to run."""
    first = {a.job_id: min(m.start for m in a.members.values()) for a in attempts}
    gaps = [
        running - first[job_id]
        for job_id in jobs
        if job_id in first and (running := history.jobs[job_id].first("running")) is not None
    ]
    return min(gaps, default=0.0)


def _step(changes: list[tuple[float, int]], start: float) -> Series:
    """Return a step curve from changes at times."""
    times, values = [0.0], [0]
    for at, change in sorted(changes):
        times.append(max(0.0, at - start))
        values.append(values[-1] + change)
    return times, values


def _members(attempts: list[AttemptRun]) -> Iterable[MemberRun]:
    for attempt in attempts:
        for member in attempt.members.values():
            if member.pool == Pool.ACCELERATORS:
                yield member


def _add_racks(
    figure: go.Figure, topology: Topology, attempts: list[AttemptRun], start: float
) -> None:
    changes: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for member in _members(attempts):
        worker = topology.workers[topology.number[member.worker]]
        rack = f"{worker.domain}/{worker.rack}"
        changes[rack].append((member.start, member.units))
        if member.end is not None:
            changes[rack].append((member.end, -member.units))
    for rack in sorted(changes):
        times, values = _step(changes[rack], start)
        trace = go.Scatter(x=times, y=values, name=rack, line_shape="hv")
        figure.add_trace(trace, row=1, col=1)


def _add_customers(figure: go.Figure, history: History, jobs: list[str], start: float) -> None:
    waiting: dict[str, list[tuple[float, int]]] = defaultdict(list)
    running: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for job_id in jobs:
        job = history.jobs[job_id]
        begun, last = job.first("running"), job.states[-1][0]
        waiting[job.customer] += [(job.states[0][0], 1), (begun or last, -1)]
        if begun is not None:
            running[job.customer] += [(begun, 1), (last, -1)]
    for name, groups, dash in (("waiting", waiting, "dot"), ("running", running, "solid")):
        for customer in sorted(groups):
            times, values = _step(groups[customer], start)
            trace = go.Scatter(
                x=times, y=values, name=f"{customer} {name}", line_shape="hv", line_dash=dash
            )
            figure.add_trace(trace, row=2, col=1)


def _add_completions(figure: go.Figure, history: History, jobs: list[str], start: float) -> None:
    done: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for job_id in jobs:
        at = history.jobs[job_id].first("done")
        if at is not None:
            done[history.jobs[job_id].customer].append((at, 1))
    for customer in sorted(done):
        times, values = _step(done[customer], start)
        trace = go.Scatter(x=times, y=values, name=f"{customer} done", line_shape="hv")
        figure.add_trace(trace, row=3, col=1)


def _add_fragmentation(
    figure: go.Figure, spec: CellSpec, attempts: list[AttemptRun], start: float
) -> None:
    shapes = [g.shape for g in spec.guarantees if g.shape.pool is Pool.ACCELERATORS]
    reference = max(shapes, key=lambda shape: shape.total, default=Shape(1, 1))
    samples = sample_fragmentation(spec.topology, attempts, reference)
    times = [max(0.0, sample.at - start) for sample in samples]
    values = [sample.unusable for sample in samples]
    trace = go.Scatter(x=times, y=values, name=f"unusable for {reference}", line_shape="hv")
    figure.add_trace(trace, row=4, col=1)
