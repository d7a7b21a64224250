"""Load patterns: which jobs come when, of which kinds, drawn from a seed.

A pattern is a JSON file. Times are seconds, shares lie between 0 and 1.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from pathlib import Path

from heronthread_dispatch.model import Resources
from pydantic import BaseModel, ConfigDict, Field

MOST_RATE_FACTOR = 8.0
"""Bounds what a wave and bursts may make of an arrival rate together."""


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=False)


class Burst(_Strict):
    """`factor` times as many jobs of a kind, from `at` for `seconds`."""

    kind: str
    at: float = Field(ge=0)
    seconds: float = Field(gt=0)
    factor: float = Field(gt=0)


class JobKind(_Strict):
    """Jobs that are alike; `width` and `work_s` are means, spread log-normally.

    A caller's estimate is off by up to `estimate_off` of the work, either way. `worth` is earned on
    time, `late_worth` up to three times the objective; a job's own worth grows with its work.
    """

    name: str
    per_s: float = Field(gt=0)
    priority: int = Field(ge=0)
    stretch: float = Field(gt=0)
    target_s: float = Field(ge=0)
    worth: float = Field(gt=0)
    late_worth: float = Field(ge=0)
    width: float = Field(ge=1)
    width_spread: float = Field(default=0.0, ge=0)
    most_width: int = Field(ge=1)
    work_s: float = Field(gt=0)
    work_spread: float = Field(default=0.0, ge=0)
    most_work_s: float = Field(gt=0)
    uneven: float = Field(default=0.0, ge=0)
    estimate_off: float = Field(default=0.0, ge=0, lt=1)
    millicores: int = Field(ge=0)
    memory_mb: int = Field(ge=0)
    accelerators: list[int] = Field(min_length=1)
    gang_share: float = Field(default=0.0, ge=0, le=1)
    rack_share: float = Field(default=0.0, ge=0, le=1)
    checkpoint_share: float = Field(default=0.0, ge=0, le=1)
    cancel_share: float = Field(default=0.0, ge=0, le=1)
    failing_share: float = Field(default=0.0, ge=0, le=1)


class LoadPattern(_Strict):
    """A pool and the jobs that come; executors take `speeds` in turn (times as long).

    `largest_customer_share` is the share of the jobs that the first customer sends; by default all
    customers send the same.
    `return_share` of the rejected callers come back when they were told to.
    """

    name: str
    seconds: float = Field(gt=0)
    executors: int = Field(ge=1)
    rack: int = Field(default=8, ge=1)
    millicores: int = 128_000
    memory_mb: int = 524_288
    accelerators: int = 8
    speeds: list[float] = Field(default=[1.0], min_length=1)
    slow_share: float = Field(default=0.0, ge=0, le=1)
    slow_factor: float = Field(default=5.0, ge=1)
    slow_from: float = 0.0
    slow_s: float = 0.0
    stop_s: float = 0.2
    checkpoint_s: float = 0.5
    far_factor: float = 3.0
    customers: int = Field(default=10, ge=1)
    largest_customer_share: float | None = Field(default=None, ge=0, le=1)
    guaranteed: int = 0
    return_share: float = Field(default=1.0, ge=0, le=1)
    swing: float = Field(default=0.0, ge=0, lt=1)
    period_s: float = Field(default=11.0, gt=0)
    kinds: list[JobKind] = Field(min_length=1)
    bursts: list[Burst] = []

    @property
    def capacity(self) -> Resources:
        """What one executor holds."""
        return Resources(self.millicores, self.memory_mb, self.accelerators)


@dataclass(frozen=True, slots=True)
class DrawnJob:
    """One job: what its caller says, and what its tasks take on a sound executor (s)."""

    id: str
    kind: JobKind
    at: float
    customer: int
    accelerators: int
    is_gang: bool
    same_rack: bool
    checkpoints: bool
    estimate_s: float
    works_s: tuple[float, ...]
    cancel_after_s: float | None
    failing: frozenset[int]

    @property
    def core_s(self) -> float:
        """Its work in core-seconds, an accelerator as eight cores."""
        cores = Resources(self.kind.millicores, 0, self.accelerators).cores
        return sum(self.works_s) * cores


def load_pattern(path: Path) -> LoadPattern:
    """Read a pattern; raises pydantic's error, which names each field that is wrong."""
    return LoadPattern.model_validate_json(path.read_bytes())


def draw_jobs(pattern: LoadPattern, seed: int) -> list[DrawnJob]:
    """Return the jobs of a seed in the order in which they come."""
    found: list[DrawnJob] = []
    for kind in pattern.kinds:
        source = random.Random(f"{pattern.name} {kind.name} {seed}")
        at = 0.0
        while True:
            # Thinning: candidates at the highest rate, each kept by the rate of its moment.
            at += source.expovariate(kind.per_s * MOST_RATE_FACTOR)
            if at >= pattern.seconds:
                break
            if source.random() * MOST_RATE_FACTOR < _rate_factor(pattern, kind.name, at):
                found.append(_draw_job(pattern, kind, source, f"{kind.name}-{len(found)}", at))
    return sorted(found, key=lambda job: job.at)


def _rate_factor(pattern: LoadPattern, kind: str, at: float) -> float:
    factor = 1.0 + pattern.swing * math.sin(2 * math.pi * at / pattern.period_s)
    for burst in pattern.bursts:
        if burst.kind == kind and burst.at <= at < burst.at + burst.seconds:
            factor *= burst.factor
    return min(factor, MOST_RATE_FACTOR)


def _draw_around(source: random.Random, mean: float, spread: float) -> float:
    return mean * math.exp(source.gauss(0.0, spread) - spread * spread / 2)


def _draw_customer(pattern: LoadPattern, source: random.Random) -> int:
    if pattern.largest_customer_share is None:
        return source.randrange(pattern.customers)
    if pattern.customers == 1 or source.random() < pattern.largest_customer_share:
        return 0
    return source.randrange(1, pattern.customers)


def _draw_job(
    pattern: LoadPattern, kind: JobKind, source: random.Random, name: str, at: float
) -> DrawnJob:
    width = round(_draw_around(source, kind.width, kind.width_spread))
    width = min(kind.most_width, max(1, width))
    work_s = min(kind.most_work_s, _draw_around(source, kind.work_s, kind.work_spread))
    works = [min(kind.most_work_s, _draw_around(source, work_s, kind.uneven)) for _ in range(width)]
    estimate = work_s * (1 - kind.estimate_off) ** source.uniform(-1.0, 1.0)
    is_gang = source.random() < kind.gang_share
    cancel = source.uniform(0.5, 6.0) if source.random() < kind.cancel_share else None
    return DrawnJob(
        name,
        kind,
        at,
        _draw_customer(pattern, source),
        source.choice(kind.accelerators),
        is_gang,
        is_gang and source.random() < kind.rack_share,
        source.random() < kind.checkpoint_share,
        estimate,
        tuple(works),
        cancel,
        frozenset(n for n in range(width) if source.random() < kind.failing_share),
    )
