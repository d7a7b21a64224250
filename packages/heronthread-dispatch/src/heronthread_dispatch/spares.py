"""Records spare executors for waiting jobs, so that they can start during a store outage.

More spares give a job more room in an outage, but make it likelier that one is unresponsive at the
next takeover, which withholds the tasks recorded there. So only waiting jobs get spares, few of
them, and the waiting tasks are distributed over them.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from dataclasses import dataclass

import trio

from .fleet import ExecutorState, WorkRefusal
from .model import Resources
from .offers import count_fits
from .owned_cell import OwnedCell
from .progress import JobState
from .step_state import StepState

SCAN_INTERVAL_S = 0.25
MIN_WAIT_S = 0.15
"""How long a job waits before it gets spares; jobs with room start within tens of milliseconds.

A job that had waited 0.53 s without spares when the store failed was stalled for the 6.9 s of the
outage.
"""
TEMPORARY_REFUSALS = (None, WorkRefusal.RESTING, WorkRefusal.APART)
"""Refusals that last for seconds only, so the executor remains a valid spare."""
MAX_SPARES = 6
POOL_DIVISOR = 12
"""A job has at most one spare for so many executors of its pool.

This bounds the share of waiting jobs that one unresponsive executor withholds. With six spares in
a pool of 24, one withheld 8 of 24 jobs for 7.47 s.
"""
MAX_JOBS_PER_SCAN = 50
"""Jobs that get spares in one scan: a choice among 176 executors takes 0.2 ms."""


@dataclass(frozen=True, slots=True)
class Requirement:
    """What decides which executors can hold a step's tasks, and how many each of them can."""

    pool: str
    need: Resources
    label: str
    spread_limit: int

    def count_fits(self, capacity: Resources) -> int:
        """Return how many tasks an executor of some capacity can hold."""
        fits = count_fits(self.need, capacity)
        return min(fits, self.spread_limit) if self.spread_limit else fits


@dataclass(slots=True)
class Spares:
    """Assigns spare executors to the waiting jobs of a cell."""

    cell: OwnedCell

    async def run(self) -> None:
        """Scan for waiting jobs periodically, until cancelled."""
        while True:
            await trio.sleep(SCAN_INTERVAL_S)
            if self.cell.parts.can_write_store():
                self.choose(trio.current_time())

    def choose(self, now: float) -> None:
        """Assign spares to waiting jobs without usable ones, and clear those of other jobs."""
        candidates = _Candidates(
            [s for s in self.cell.executors.values() if s.find_refusal(now) in TEMPORARY_REFUSALS]
        )
        assigned = 0
        for job in self.cell.active.values():
            step, spare = _find_waiting(job, now), job.places.spare
            if step is None:
                job.places.spare = frozenset()
            elif assigned < MAX_JOBS_PER_SCAN and not (spare and spare <= candidates.names):
                job.places.spare = self._choose(job, step, candidates)
                assigned += bool(job.places.spare)
            if job.places.spare != spare:
                self.cell.recorder.mark(job)

    def _choose(self, job: JobState, step: StepState, candidates: _Candidates) -> frozenset[str]:
        """Return spares for a step: a part of one rack for a gang, else a few executors.

        Each job ranks the executors in its own order, so that any executor that becomes free is a
        spare of some job.
        """
        pool = self.cell.parts.desired().current_queue(job.spec).pool
        spec = step.spec
        asked = Requirement(pool, spec.need, spec.label, spec.spread_limit)
        if step.spec.gang and len(step.tasks) > 1:
            racks = candidates.list_racks(asked, len(step.tasks))
            return min(racks, key=lambda rack: _rank_for(job, min(rack)), default=frozenset())
        names = candidates.list_fitting(asked)
        most = min(MAX_SPARES, len(names) // POOL_DIVISOR)
        return frozenset(
            sorted(names, key=lambda name: _rank_for(job, name))[:most] if most else ()
        )


class _Candidates:
    """The executors to choose from in one scan, cached by requirement."""

    def __init__(self, states: list[ExecutorState]) -> None:
        self.names = {state.id for state in states}
        self._states = states
        self._fitting: dict[Requirement, list[ExecutorState]] = {}
        self._racks: dict[tuple[Requirement, int], list[frozenset[str]]] = {}

    def list_fitting(self, asked: Requirement) -> list[str]:
        """Return the executors that can hold a task."""
        return [state.id for state in self._list(asked)]

    def list_racks(self, asked: Requirement, count: int) -> list[frozenset[str]]:
        """Return parts of racks, each of as few executors as can hold `count` tasks together.

        A part may be 1 / `POOL_DIVISOR` of the fitting executors at most.
        """
        key = (asked, count)
        if key not in self._racks:
            self._racks[key] = self._find_racks(asked, count)
        return self._racks[key]

    def _list(self, asked: Requirement) -> list[ExecutorState]:
        if asked not in self._fitting:
            self._fitting[asked] = [
                state
                for state in self._states
                if state.executor.pool == asked.pool
                and (not asked.label or asked.label in state.executor.labels)
                and asked.need.fits_in(state.executor.capacity)
            ]
        return self._fitting[asked]

    def _find_racks(self, asked: Requirement, count: int) -> list[frozenset[str]]:
        states, racks = self._list(asked), dict[str, list[ExecutorState]]()
        most = len(states) // POOL_DIVISOR
        for state in states:
            racks.setdefault(state.executor.rack, []).append(state)
        parts = (part for rack in racks.values() for part in _divide(rack, asked, count))
        return [frozenset(state.id for state in part) for part in parts if len(part) <= most]


def _divide(
    rack: list[ExecutorState], asked: Requirement, count: int
) -> Iterator[list[ExecutorState]]:
    """Yield disjoint parts of a rack, each just large enough for a number of tasks."""
    part, fits = list[ExecutorState](), 0
    for state in rack:
        part.append(state)
        fits += asked.count_fits(state.executor.capacity)
        if fits >= count:
            yield part
            part, fits = [], 0


def _find_waiting(job: JobState, now: float) -> StepState | None:
    """Return the first step with tasks that have waited for `MIN_WAIT_S`, None if there is none."""
    if not job.is_active:
        return None
    waiting = (
        step
        for step in job.steps
        if step.ready_at is not None and step.waiting_count and now - step.ready_at >= MIN_WAIT_S
    )
    return next(waiting, None)


def _rank_for(job: JobState, name: str) -> int:
    return zlib.crc32(f"{job.spec.id} {name}".encode())
