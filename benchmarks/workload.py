"""Workloads of the decision benchmark; docs/workloads.md documents the file format."""

from __future__ import annotations

import json
import math
import random
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from heronthread_scheduling import DesiredState, Job, build_cells, event_jobs
from heronthread_scheduling.cell import CellSpec
from heronthread_scheduling.desired import Model, Name
from pydantic import Field

Z95 = 1.645


class Release(Model):
    """Release an event's jobs at `at` seconds, spread evenly over `spread_s`."""

    event: Name
    at: float = Field(default=0.0, ge=0)
    spread_s: float = Field(default=0.0, ge=0)


class Loss(Model):
    """Lose workers at `at` seconds; they come back empty after `back_after_s`."""

    workers: tuple[Name, ...]
    at: float = Field(ge=0)
    back_after_s: float = Field(default=1800.0, gt=0)


class Workload(Model):
    """A desired state with one cell, and what happens when."""

    name: Name
    state: DesiredState
    releases: tuple[Release, ...]
    losses: tuple[Loss, ...] = ()


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job that arrives at `at` seconds and would run for `length_s` on an idle cell."""

    at: float
    job: Job
    length_s: float


def load_workload(path: str) -> Workload:
    """Read a workload file; raises pydantic's ValidationError for a bad one."""
    return Workload.model_validate_json(Path(path).read_bytes())


def get_cell(workload: Workload) -> CellSpec:
    """Return the workload's only cell."""
    (spec,) = build_cells(workload.state).values()
    return spec


def draw_arrivals(workload: Workload, seed: int) -> list[Arrival]:
    """Draw the arrivals in order of time; the same seed gives the same arrivals.

    Lengths are log-normal with the job's mean and 95th percentile.
    """
    source = random.Random(seed)
    arrivals = []
    for number, release in enumerate(workload.releases):
        jobs = event_jobs(workload.state, release.event)
        for index, item in enumerate(source.sample(jobs, len(jobs))):
            at = release.at + release.spread_s * index / len(jobs)
            job = _renamed(item.job, number, at)
            arrivals.append(Arrival(at, job, _draw_length(job, source)))
    return sorted(arrivals, key=lambda a: (a.at, a.job.id))


def _renamed(job: Job, number: int, at: float) -> Job:
    fields: dict[str, Any] = {name: getattr(job, name) for name in job.__slots__}
    fields["id"] = f"{number}/{job.id}"
    if job.deadline is not None:
        fields["deadline"] = at + job.deadline
    return Job(**fields)


def _draw_length(job: Job, source: random.Random) -> float:
    ratio = max(1.0, job.p95_s / job.expected_s)
    sigma = Z95 - math.sqrt(max(0.0, Z95**2 - 2 * math.log(ratio)))
    mu = math.log(job.expected_s) - sigma**2 / 2
    return source.lognormvariate(mu, sigma)


def _example(name: str) -> dict[str, Any]:
    content: dict[str, Any] = json.loads(Path(f"examples/{name}.json").read_text())
    return content


def _make(
    name: str, state: dict[str, Any], releases: list[Any], losses: tuple[Any, ...] = ()
) -> Workload:
    content = {"name": name, "state": state, "releases": releases, "losses": losses}
    return Workload.model_validate(content)


def nightly_close() -> Workload:
    """FOPGAP Lima's close: everything at one moment."""
    return _make("nightly-close", _example("fopgap-lima"), [{"event": "nightly-close"}])


def month_end() -> Workload:
    """Community Solar Billing's month end: everything at one moment."""
    return _make("month-end", _example("community-solar-billing"), [{"event": "month-end"}])


def _job(
    name: str,
    count: int,
    customer: str,
    job_class: str,
    shape: dict[str, Any],
    expected: float,
    **more: Any,
) -> dict[str, Any]:
    return {
        "name": name,
        "count": count,
        "customer": customer,
        "class": job_class,
        "shape": shape,
        "expected_s": expected,
        "p95_s": more.pop("p95_s", expected * 1.5),
        **more,
    }


def _gang(members: int, accelerators: int, adjacency: str = "rack") -> dict[str, Any]:
    return {"members": members, "accelerators": accelerators, "adjacency": adjacency}


def _slot() -> dict[str, Any]:
    return {"members": 1, "slots": 1, "adjacency": "worker"}


def _event(name: str, jobs: list[dict[str, Any]]) -> dict[str, Any]:
    return {"name": name, "start": "2030-01-01T00:00:00", "jobs": jobs}


def small_burst() -> Workload:
    """Bursts of small jobs land exactly when large gangs wait."""
    state = _example("community-solar-billing")
    coop, office = "cooperativas-del-interior", "tarifas"
    large = [_job("large", 12, coop, "settlement", _gang(8, 4), 3600, checkpointable=True)]
    small = [
        _job("small", 400, office, "recalculation", _gang(1, 1, "worker"), 600),
        _job("pair", 100, "azoteas-compartidas", "recalculation", _gang(1, 2, "worker"), 900),
    ]
    urgent = [_job("urgent", 60, "medidores-sur", "reconciliation", _slot(), 20)]
    state["events"] = [_event("small", small), _event("large", large), _event("urgent", urgent)]
    releases = [
        {"event": "small", "at": 0},
        {"event": "large", "at": 120},
        {"event": "small", "at": 121},
        {"event": "small", "at": 3600},
        {"event": "urgent", "at": 130, "spread_s": 3600},
    ]
    return _make("small-burst", state, releases)


def reclaim_storm() -> Workload:
    """Borrowers fill the cell, then every customer claims its guarantee at once."""
    state = _example("fopgap-lima")
    borrow = [
        _job("borrow", 150, "reportes", "report", _gang(1, 1, "worker"), 3000),
        _job("borrow-gang", 20, "reportes", "report", _gang(2, 2), 3600, checkpointable=True),
    ]
    claim = [
        _job(
            "bank", 2, "conciliacion-bancaria", "settlement", _gang(4, 8), 2400, checkpointable=True
        ),
        _job("till", 8, "cajas-restaurantes", "till", _gang(1, 4, "worker"), 900),
        _job(
            "payout", 16, "oficina-de-pagos", "payout", _gang(1, 2, "worker"), 600, repeatable=False
        ),
        _job("urgent", 60, "cajas-restaurantes", "till-urgent", _slot(), 15),
    ]
    state["events"] = [_event("borrow", borrow), _event("claim", claim)]
    releases = [{"event": "borrow", "at": 0}]
    releases += [{"event": "claim", "at": at} for at in (600, 2400, 4200)]
    return _make("reclaim-storm", state, releases)


def worker_loss() -> Workload:
    """The nightly close loses single workers and then a whole rack midway."""
    close = nightly_close()
    losses = (
        {"workers": ["lima-a-w3"], "at": 1200},
        {"workers": ["lima-b-w5"], "at": 2400},
        {"workers": [f"lima-c-w{i}" for i in range(1, 9)], "at": 3600, "back_after_s": 3600},
    )
    state = close.state.model_dump(mode="json", by_alias=True)
    return _make("worker-loss", state, [{"event": "nightly-close"}], losses)


def design_cell() -> Workload:
    """One cell at the design size: 165 workers, 243 accelerators, about 2,435 tasks at a time."""
    racks: list[dict[str, Any]] = []
    for number in range(1, 22):
        groups: list[dict[str, Any]] = [
            {"prefix": f"r{number}-g", "count": 1, "accelerators": 8, "slots": 24}
        ]
        if number <= 9:
            groups += [{"prefix": f"r{number}-h", "count": 1, "accelerators": 8, "slots": 24}]
        plain = 7 if 10 <= number <= 17 else 6
        groups += [{"prefix": f"r{number}-c", "count": plain, "accelerators": 0, "slots": 14}]
        racks.append({"name": f"r{number}", "workers": groups})
    racks[0]["workers"].append({"prefix": "x", "count": 1, "accelerators": 3, "slots": 8})
    customers = []
    for number in range(8):
        guarantees: list[Any] = [{"shape": _slot(), "count": 20}]
        if number < 4:
            guarantees.append({"shape": _gang(1, 8, "worker"), "count": 2})
        if number == 0:
            guarantees.append({"shape": _gang(8, 8, "domain"), "count": 1})
        customers.append({"name": f"c{number}", "share": 8 - number, "guarantees": guarantees})
    jobs: list[dict[str, Any]] = []
    for number in range(8):
        name = f"c{number}"
        jobs += [
            _job(f"task-{name}", 820, name, "batch", _slot(), 3600),
            _job(
                f"wide-{name}",
                60,
                name,
                "batch",
                {"members": 8, "slots": 1, "adjacency": "rack"},
                3600,
            ),
            _job(f"one-{name}", 80, name, "train", _gang(1, 1, "worker"), 3600),
            _job(
                f"four-{name}", 20, name, "train", _gang(1, 4, "worker"), 5400, checkpointable=True
            ),
            _job(f"pair-{name}", 8, name, "train", _gang(2, 8, "rack"), 7200, checkpointable=True),
            _job(f"urgent-{name}", 40, name, "urgent", _slot(), 30),
        ]
    jobs += [
        _job("gang-64", 4, "c0", "train", {"members": 64, "slots": 1, "adjacency": "domain"}, 7200),
        _job("gang-8x8", 6, "c0", "train", _gang(8, 8, "domain"), 7200, checkpointable=True),
        _job("fill", 66, "c7", "train", _gang(1, 2, "worker"), 3600),
    ]
    state = {
        "version": 1,
        "deployment": "design",
        "topology": {
            "regions": [{"name": "r", "domains": [{"name": "d", "racks": racks}]}],
            "cells": [{"name": "d", "domains": ["d"]}],
        },
        "classes": [
            {"name": "urgent", "weight": 8, "urgent": True},
            {"name": "train", "weight": 2},
            {"name": "batch", "weight": 1},
        ],
        "customers": customers,
        "events": [_event("all", jobs)],
    }
    return _make("design-cell", state, [{"event": "all"}])


WORKLOADS = {
    "nightly-close": nightly_close,
    "month-end": month_end,
    "small-burst": small_burst,
    "reclaim-storm": reclaim_storm,
    "worker-loss": worker_loss,
    "design-cell": design_cell,
}
