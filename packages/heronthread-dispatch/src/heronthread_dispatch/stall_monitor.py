"""Detection of jobs that do not run although they are ready and capacity is free."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from itertools import islice
from typing import Any

import trio

from .events import log_event
from .fleet import ExecutorState
from .job_waits import describe_waits
from .model import TaskKey
from .offers import count_fits
from .owned_cell import OwnedCell
from .progress import JobState
from .stall_report import StallReport
from .stalls import REPORT_INTERVAL_S, JobStall
from .step_state import Attempt, Phase, StepState
from .wait_causes import WaitCause

CHECK_INTERVAL_S = 0.5
STALL_THRESHOLD_S = 1.0
"""A third of the time that callers tolerate; plans are made at least twice as often."""
MAX_REPORTED = 16
"""Jobs reported per check, as hundreds of jobs may be stalled."""
MAX_LISTED = 8
PLAN_OVERDUE_S = 1.0
"""Twice the maximum interval between plans."""


@dataclass(frozen=True, slots=True)
class StalledJob:
    """A job with nothing running since `since` (trio's clock), and its first waiting step.

    `key` is the key of the step's first task. `fits` is the number of the step's tasks that fit on
    executors accepting work, `fits_anywhere` on all listed ones; `refusals` counts the executors
    that accept no work by reason.
    """

    job: JobState
    step: StepState
    key: TaskKey
    since: float
    cause: WaitCause
    fits: int
    fits_anywhere: int
    refusals: Counter[str]


@dataclass(slots=True)
class StallMonitor:
    """Checks periodically for stalled jobs and logs the cause of each."""

    cell: OwnedCell
    stalled_jobs: dict[str, StalledJob] = field(default_factory=dict)
    _term_began: float = field(default_factory=trio.current_time)
    _waiting_since: dict[str, float] = field(default_factory=dict)
    _reported_at: dict[str, float] = field(default_factory=dict)
    _unexplained: frozenset[TaskKey] = frozenset()
    _explanation_keys: frozenset[TaskKey] = frozenset()
    _causes: dict[TaskKey, WaitCause] = field(default_factory=dict)
    _planned_at: float = field(default_factory=trio.current_time)
    _summary: StallReport = field(init=False)

    def __post_init__(self) -> None:
        """Begin a report of this term."""
        self._summary = StallReport(self.cell)

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self.check(trio.current_time())

    def take_explanation_requests(self) -> Collection[TaskKey]:
        """Return the keys of steps for which the next plan should explain why they wait.

        Returned once per check, as explaining a step takes about as long as planning it.
        """
        self._explanation_keys, self._unexplained = self._unexplained, frozenset()
        return self._explanation_keys

    def record_plan(self, causes: Mapping[TaskKey, WaitCause], now: float) -> None:
        """Record that a plan is complete, with the causes it found."""
        self._planned_at = now
        for key in self._explanation_keys:
            self._causes[key] = causes.get(key, WaitCause.WITHHELD)

    @property
    def term_age_s(self) -> float:
        """The time since the owner's term began."""
        return round(trio.current_time() - self._term_began, 3)

    @property
    def longest_stall_s(self) -> float:
        """The longest time that a job has been stalled under this owner, 0 if none is."""
        now = trio.current_time()
        return round(max((now - s.since for s in self.stalled_jobs.values()), default=0.0), 3)

    def find_stall(self, job: str) -> JobStall | None:
        """Return why and for how long a job has been stalled, None if it is not."""
        stalled = self.stalled_jobs.get(job)
        if stalled is None or not stalled.job.is_active:
            return None
        return self._describe(stalled, trio.current_time())

    def _describe(self, stalled: StalledJob, now: float) -> JobStall:
        return JobStall(
            stalled.cause.value,
            round(now - stalled.since, 3),
            self.cell.term.number,
            self.term_age_s,
        )

    def check(self, now: float) -> None:
        """Find the stalled jobs and report those not reported recently."""
        waiting = {job.spec.id: step for job, step in self._list_waiting()}
        self._waiting_since = {name: self._waiting_since.get(name, now) for name in waiting}
        self._reported_at = {name: at for name, at in self._reported_at.items() if name in waiting}
        self.cell.parts.stalls.retain(waiting)
        self._causes = {k: cause for k, cause in self._causes.items() if k.job in waiting}
        overdue = [
            name
            for name, since in self._waiting_since.items()
            if now - since >= STALL_THRESHOLD_S - CHECK_INTERVAL_S
        ]
        capacity = _CapacityCounter(self.cell, now)
        withheld, pins = self.cell.make_withheld_check(), self.cell.find_required_executors()
        found = [
            stalled
            for name in overdue
            if (stalled := self._diagnose(name, waiting[name], capacity, withheld, pins))
        ]
        due_soon = [s for s in found if self._is_due(s, now + CHECK_INTERVAL_S)]
        self._unexplained = frozenset(s.key for s in due_soon[:MAX_REPORTED])
        self.stalled_jobs = {s.job.spec.id: s for s in found if now - s.since >= STALL_THRESHOLD_S}
        due = [s for s in self.stalled_jobs.values() if self._is_due(s, now)]
        for stalled in due[:MAX_REPORTED]:
            self._reported_at[stalled.job.spec.id] = now
            self._report(stalled, now, len(due))
        stalls = {name: self._describe(s, now) for name, s in self.stalled_jobs.items()}
        self._summary.publish(stalls, self.term_age_s, now)

    def _is_due(self, stalled: StalledJob, now: float) -> bool:
        reported_at = self._reported_at.get(stalled.job.spec.id, float("-inf"))
        return now - reported_at >= REPORT_INTERVAL_S

    def _list_waiting(self) -> list[tuple[JobState, StepState]]:
        """Return the active jobs with nothing running, each with its first step that is ready."""
        found, wall_now = [], self.cell.parts.wall_clock()
        for job in self.cell.active.values():
            if not job.is_active or any(map(self._is_running, job.attempts())):
                continue
            steps = (s for s in job.steps if not s.is_done and job.is_ready(s, wall_now))
            step = next(steps, None)
            if step is not None:
                found.append((job, step))
        return found

    def _is_running(self, attempt: Attempt) -> bool:
        state = self.cell.executors.get(attempt.executor)
        return (
            attempt.phase is Phase.RUNNING
            and state is not None
            and state.unresponsive_since is None
        )

    def _diagnose(
        self,
        name: str,
        step: StepState,
        capacity: _CapacityCounter,
        withheld: Callable[[TaskKey], bool] | None,
        pins: Mapping[TaskKey, str],
    ) -> StalledJob | None:
        """Return why a job does not use free capacity; None if there is too little."""
        job = self.cell.active[name]
        pool = self.cell.parts.desired().current_queue(job.spec).pool
        count = capacity.count(pool, step)
        required = len(step.tasks) if step.spec.gang else 1
        if count.anywhere < required:
            return None
        cause = self._find_job_cause(job, step, withheld, pins)
        if cause is None and count.free < required:
            cause = WaitCause.REFUSED
        key = job.key_of(step, step.tasks[0])
        return StalledJob(
            job,
            step,
            key,
            self._waiting_since[name],
            cause or self._find_plan_cause(key),
            count.free,
            count.anywhere,
            count.refusals,
        )

    def _find_job_cause(
        self,
        job: JobState,
        step: StepState,
        withheld: Callable[[TaskKey], bool] | None,
        pins: Mapping[TaskKey, str],
    ) -> WaitCause | None:
        """Return the cause that keeps a job from every executor, None if there is none."""
        keys = [job.key_of(step, task) for task in step.open_tasks()]
        applies = any if step.spec.gang else all
        if job.has_attempts:
            is_unsent = all(a.phase is Phase.STARTING and not a.sends for a in job.attempts())
            return WaitCause.RECORDING_EXECUTORS if is_unsent else WaitCause.UNSETTLED_RUN
        if not pins.keys().isdisjoint(keys):
            return WaitCause.LATE_START
        if withheld is not None and applies(map(withheld, keys)):
            find_possible_run = self.cell.make_may_run_check()
            may_have_run = find_possible_run is not None and any(map(find_possible_run, keys))
            return WaitCause.EARLIER_RUN if may_have_run else WaitCause.CRASHES
        if not all(job.may_start(task) for task in step.open_tasks()):
            return WaitCause.CRASHES
        return None

    def _find_plan_cause(self, key: TaskKey) -> WaitCause:
        """Return why no plan has started a step that may start."""
        if trio.current_time() - self._planned_at >= PLAN_OVERDUE_S:
            return WaitCause.PLAN_OVERDUE
        unknown = (
            WaitCause.UNEXPLAINED
            if self.cell.parts.can_write_store()
            else WaitCause.NO_RECORDED_EXECUTOR
        )
        return self._causes.get(key, unknown)

    def _report(self, stalled: StalledJob, now: float, standing: int) -> None:
        job, step = stalled.job, stalled.step
        attempts, for_s = job.attempts(), now - stalled.since
        log_event(
            "job.stands",
            job=job.spec.id,
            cause=stalled.cause.value,
            for_s=round(for_s, 3),
            known_for_s=round(self.cell.parts.stalls.record(job.spec.id, for_s), 3),
            term=self.cell.term.number,
            term_age_s=self.term_age_s,
            step=step.number,
            occurrence=step.occurrence,
            waits=describe_waits(self.cell, job, stalled.cause, now),
            accepted_ago_s=round(self.cell.parts.wall_clock() - job.spec.accepted_at, 3),
            open=step.waiting_count,
            of=len(step.tasks),
            fits=stalled.fits,
            fits_anywhere=stalled.fits_anywhere,
            refusals=dict(stalled.refusals),
            silent=sorted(self.cell.list_unreported_ids() | self.cell.list_uncertain())[
                :MAX_LISTED
            ],
            runs=[_describe_attempt(attempt, now) for attempt in attempts[:MAX_LISTED]],
            standing=standing,
            silences=self._describe_possible_holders(job, now),
        )

    def _describe_possible_holders(self, job: JobState, now: float) -> list[dict[str, Any]]:
        """Describe the unresponsive executors that may hold a run of a job.

        Those of the job's own attempts come first, then those recorded for it, then the others.
        """
        own = {attempt.executor for attempt in job.attempts()}
        inherited = set(job.places.inherited or ())
        names = own | self.cell.list_unreported_ids() | self.cell.list_uncertain()
        ranked = sorted(names, key=lambda name: (name not in own, name not in inherited, name))
        states = (self.cell.executors[name] for name in ranked if name in self.cell.executors)
        silent = (s for s in states if not s.has_reported or s.unresponsive_since is not None)
        return describe_unresponsive(silent, now)


def describe_unresponsive(states: Iterable[ExecutorState], now: float) -> list[dict[str, Any]]:
    """Describe as many unresponsive executors as a log line may list."""
    return [_describe_unresponsive(state, now) for state in islice(states, MAX_LISTED)]


def _describe_unresponsive(state: ExecutorState, now: float) -> dict[str, Any]:
    """Describe how long an executor has been unresponsive and until when it may hold runs (s)."""
    since = state.unresponsive_since
    return {
        "executor": state.id,
        "silent_s": None if since is None else round(now - since, 3),
        "listed": state.listed,
        "holds_for_s": round(max(0.0, state.lease_ends_by - now), 3),
    }


def _describe_attempt(attempt: Attempt, now: float) -> list[Any]:
    """Describe an attempt's executor, run, phase and age (s)."""
    age_s = round(now - attempt.ordered_at, 2)
    return [attempt.executor, attempt.run, attempt.phase.value, attempt.stop_reason, age_s]


@dataclass(slots=True)
class _CapacityCount:
    """Numbers of tasks that fit: `free` where work is accepted, `anywhere` on all executors."""

    free: int = 0
    anywhere: int = 0
    refusals: Counter[str] = field(default_factory=Counter)


class _CapacityCounter:
    """Counts how many tasks fit, once for all steps with equal requirements."""

    def __init__(self, cell: OwnedCell, now: float) -> None:
        self._states = [state for state in cell.executors.values() if state.listed]
        self._now = now
        self._counts: dict[tuple[object, ...], _CapacityCount] = {}

    def count(self, pool: str, step: StepState) -> _CapacityCount:
        """Return how many tasks of a step fit in a pool."""
        spec = step.spec
        key = (pool, spec.need, spec.label)
        if key not in self._counts:
            self._counts[key] = self._compute(pool, step)
        return self._counts[key]

    def _compute(self, pool: str, step: StepState) -> _CapacityCount:
        spec, found = step.spec, _CapacityCount()
        for state in self._states:
            executor = state.executor
            if executor.pool != pool or (spec.label and spec.label not in executor.labels):
                continue
            fits = max(0, count_fits(spec.need, state.free))
            found.anywhere += fits
            refusal = state.find_refusal(self._now)
            if refusal is None:
                found.free += fits
            else:
                found.refusals[refusal.value] += 1
        return found
