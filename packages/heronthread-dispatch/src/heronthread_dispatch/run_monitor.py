"""Periodic checks for stalled or slow runs, incomplete gangs and draining executors."""

from __future__ import annotations

import trio

from .events import log_event
from .fleet import ExecutorState
from .offers import count_fits
from .owned_cell import OwnedCell
from .progress import JobState
from .speed import (
    SLOW_FOR_S,
    compute_typical_ratio,
    estimate_remaining_s,
    estimate_restart_s,
    is_whole,
    should_move,
)
from .spread import count_runs
from .step_state import Attempt, Phase, StepState

HOUSEKEEPING_S = 0.4
STALL_S = 3.2
LEAVE_MARGIN_S = 0.35
MIN_RESTART_GAIN = 1.5
MAX_RESTARTS = 12
PARTIAL_GANG_S = 0.8


class RunMonitor:
    """Checks all attempts of a cell periodically."""

    def __init__(self, cell: OwnedCell) -> None:
        self.cell = cell

    async def run(self) -> None:
        """Check gangs, draining executors, stalled and slow runs until cancelled."""
        while True:
            await trio.sleep(HOUSEKEEPING_S)
            now = trio.current_time()
            for job in list(self.cell.active.values()):
                self._check_gangs(job, now)
            for state in list(self.cell.executors.values()):
                if state.leaves_at is not None:
                    self._stop_before_leaving(state, now)
                for attempt in list(state.attempts.values()):
                    self._check_progress(state, attempt, now)
                    self._check_speed(state, attempt, now)

    def _check_gangs(self, job: JobState, now: float) -> None:
        """Stop the remaining members of a gang that has been incomplete for `PARTIAL_GANG_S`."""
        for step in job.steps:
            is_partial = step.spec.gang and 0 < step.attempt_count < len(step.tasks)
            if not is_partial or step.is_done:
                step.partial_since = None
            elif step.partial_since is None:
                step.partial_since = now
            elif now - step.partial_since > PARTIAL_GANG_S:
                for attempt in step.attempts():
                    self.cell.request_stop(attempt, "members of its gang are missing")

    def _stop_before_leaving(self, state: ExecutorState, now: float) -> None:
        """Stop checkpointing runs shortly before their executor leaves."""
        assert state.leaves_at is not None
        if now < state.leaves_at - self.cell.parts.timing.stop_s - LEAVE_MARGIN_S - HOUSEKEEPING_S:
            return
        for attempt in list(state.attempts.values()):
            job = self.cell.jobs.get(attempt.task.job)
            if job is not None and job.step_of(attempt.task).spec.checkpointing:
                self.cell.request_stop(attempt, "the executor leaves")
                self.cell.stop_gang(attempt, "a member's executor leaves")

    def _check_progress(self, state: ExecutorState, attempt: Attempt, now: float) -> None:
        if attempt.phase is not Phase.RUNNING or attempt.percent >= 99:
            return
        if now - attempt.progressed_at < STALL_S or not state.has_reported:
            return
        job = self.cell.jobs.get(attempt.task.job)
        if job is None:
            return
        step = job.step_of(attempt.task)
        if step.spec.lasting:
            return
        if step.spec.gang and not (is_whole(step, attempt) and _is_furthest_behind(step, attempt)):
            return
        state.back_off(now)
        state.slow_until = max(state.slow_until, now + SLOW_FOR_S)
        task = job.task(attempt.task)
        if task is not None:
            task.avoid[state.id] = now + 2 * STALL_S
        self.cell.request_stop(attempt, "no progress")
        self.cell.stop_gang(attempt, "a member makes no progress")

    def _check_speed(self, state: ExecutorState, attempt: Attempt, now: float) -> None:
        """Restart a slow run elsewhere if it would end sooner and there is room."""
        job = self.cell.jobs.get(attempt.task.job)
        if job is None or attempt.phase is not Phase.RUNNING:
            return
        if not self.cell.parts.policy.move_slow_runs:
            return
        step = job.step_of(attempt.task)
        task = job.task(attempt.task)
        if task is None or step.spec.lasting or step.rescues >= MAX_RESTARTS:
            return
        usual = compute_typical_ratio(step, self.cell.parts.policy)
        if not should_move(step, task, attempt, state, usual, now):
            return
        left, anew = estimate_remaining_s(step, attempt), estimate_restart_s(step, attempt, usual)
        if left < MIN_RESTART_GAIN * anew + 2 * self.cell.parts.timing.stop_s:
            return
        members = len(step.tasks) if step.spec.gang else 1
        if not self._has_healthy_room(job, step, members):
            return
        step.rescues += 1
        for member in step.tasks if step.spec.gang else [task]:
            member.moves += 1
        log_event(
            "attempt.slow",
            job=job.spec.id,
            step=attempt.task.step,
            executor=attempt.executor,
            ratio=attempt.ratio,
            rate=round(attempt.rate, 2),
            best_rate=round(attempt.best_rate, 2),
            left_s=round(left, 2),
            anew_s=round(anew, 2),
        )
        self.cell.request_stop(attempt, "too slow here")
        self.cell.stop_gang(attempt, "a member is too slow")

    def _has_healthy_room(self, job: JobState, step: StepState, members: int) -> bool:
        """Whether executors that run at full speed can take some tasks of a step more."""
        now, spec = trio.current_time(), step.spec
        pool = self.cell.parts.desired().current_queue(job.spec).pool
        key = (job.spec.id, step.number, step.occurrence)
        found = 0
        for state in self.cell.executors.values():
            if not state.accepts_work(now) or state.slow_until > now:
                continue
            if state.executor.pool != pool:
                continue
            if spec.label and spec.label not in state.executor.labels:
                continue
            fits = max(0, count_fits(spec.need, state.free))
            if spec.spread_limit:
                fits = min(fits, max(0, spec.spread_limit - count_runs(key, state)))
            found += fits
        return found >= members


def _is_furthest_behind(step: StepState, attempt: Attempt) -> bool:
    """Whether no member of a gang has made less progress; the others may be waiting for it."""
    return all(other.percent >= attempt.percent for other in step.attempts())
