"""The state that an owner of the cell keeps in memory, and how events change it."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass, field

import trio
from heronthread_coordination import Measure

from .approval import Approvals, Approver, NoApprover
from .broken_gangs import note_end, take_ended
from .crashes import Crashes
from .entries import DirectoryFormat
from .evacuation import Evacuations
from .events import describe_run, log_event
from .executor_link import EndedRun, EndKind, ExecutorLink
from .fleet import (
    CLOCK_DRIFT,
    LEASE_MARGIN_S,
    MAX_BACKOFF_S,
    MAX_READING_AGE_S,
    MAX_ROUND_TRIP_S,
    ExecutorState,
)
from .host_lease import Term
from .instance_fences import InstanceFences
from .keystore import KeyStore
from .known_load import KnownLoad
from .late_starts import MAX_ORDER_DELAY_S, LateStarts
from .learned import LearnedState
from .length_measure import measure_length
from .load_estimate import Drain, RunEnd
from .load_sources import LoadSources
from .model import NO_RESOURCES, URGENT, DesiredState, TaskKey, UnresolvedStart
from .policy import DEFAULT_POLICY, Policy
from .preassignments import Preassignments
from .progress import JobState, critical_path_s, list_pending_starts, make_job
from .record import JobRecord, ProgressRecord, round_remaining_s
from .recorder import Recorder
from .relay import StoreRelay
from .run_lengths import LengthPrediction
from .stall_summary import KnownStalls
from .stalls import StallHistory
from .statistics import Statistics
from .step_state import UNSETTLED, Attempt, Phase, StepState, TaskState
from .task_masks import TaskMasks, keep, unite
from .uncertainty import Deadlines, is_sole_instance, list_lapsed, list_uncertain
from .urgent_forecast import GangShape
from .urgent_room import RoomUse

JOB_PREFIX = "job/"
STALE_OWNER_S = 1.2
"""How long an earlier owner without a quorum may keep sending orders after the next term began."""
SLOW_FACTOR = 1.05
"""How much longer a lease may last than requested, because of the executor's own clock."""
RUNS_PER_TERM = 1000
PREDICTED_WITHIN = 1.5
"""Predictions off by a larger factor are counted apart; lengths of one queue spread by 0.3."""
AVOID_AFTER_FAILURE_S = 2.0
"""How long a task avoids an executor where it failed; short, as the task may fail everywhere and
callers tolerate 3 s with nothing running."""
BACKOFF_AFTER_FAILURES = 2
BACKED_OFF_DIVISOR = 3
POOL_WIDE_BACKOFF_S = 2.0
BLAME_EXECUTOR_AFTER_JOBS = 3
"""How many jobs must fail in a row before an executor alone is blamed.

If more than one in `BACKED_OFF_DIVISOR` executors of a pool back off, another one backs off for
`POOL_WIDE_BACKOFF_S` at most until then: the job may be at fault, and would block the pool.
"""


def job_key(job_id: str) -> str:
    """Return the store key of an accepted job."""
    return f"{JOB_PREFIX}{job_id}"


def _age_when_unresponsive(attempt: Attempt, state: ExecutorState | None) -> float | None:
    """Return an attempt's age (s) when its executor became unresponsive, None if it did not."""
    if state is None or state.unresponsive_since is None:
        return None
    return round(state.unresponsive_since - attempt.ordered_at, 3)


def _judge(length_s: float, predicted: LengthPrediction) -> str:
    """Return a label of a prediction's evidence and accuracy, for the metrics."""
    ratio = length_s / predicted.typical_s if predicted.typical_s > 0 else 0.0
    accuracy = "within" if 1 / PREDICTED_WITHIN <= ratio <= PREDICTED_WITHIN else "beyond"
    return f"{predicted.evidence.name.lower()} {accuracy} a factor of {PREDICTED_WITHIN:g}"


@dataclass(frozen=True, slots=True)
class Timing:
    """Deployment timing settings, in seconds.

    `executor_lease_s` is the lease that an executor is asked for, `start_lease_s` the one that a
    start asks for until it is answered, `max_executor_lease_s` the longest one that is granted, and
    `stop_s` the time that a stop may take. `far_factor` is the
    slowdown of a task away from its data, or of a one-rack gang that is spread over racks.
    `retention_s` is how long a final job is kept. Within `configuration_apply_s` of its storing a
    configuration is in force at every host that reaches the store, and an executor gets no new work
    from `drain_s` on after it said that it leaves. Within `recovery_s` of the loss of any hosts
    callers are served again.
    """

    executor_lease_s: float = 6.0
    start_lease_s: float = 2.2
    max_executor_lease_s: float = 10.0
    stop_s: float = 0.9
    gang_timeout_s: float = 3.0
    far_factor: float = 3.0
    retention_s: float = 600.0
    configuration_apply_s: float = 2.0
    drain_s: float = 2.0
    recovery_s: float = 12.0

    @property
    def longest_run_s(self) -> float:
        """How long a run may last if its deadline is on the clock of another instance."""
        return self.max_executor_lease_s * (1 + CLOCK_DRIFT) + LEASE_MARGIN_S

    @property
    def max_run_after_order_s(self) -> float:
        """How long runs may continue after the last order of their owner was sent."""
        reading_error_s = MAX_ROUND_TRIP_S + MAX_READING_AGE_S * CLOCK_DRIFT
        return (self.executor_lease_s + reading_error_s) * (1 + CLOCK_DRIFT)

    @property
    def max_unreported_run_s(self) -> float:
        """How long runs of an earlier owner without a quorum may go on after a term began."""
        return STALE_OWNER_S + self.executor_lease_s * SLOW_FACTOR


@dataclass(frozen=True, slots=True)
class OwnerParts:
    """The dependencies of an owner.

    `find_outage_end` returns when the last outage of the store for all hosts ended (trio's clock),
    infinite if it goes on or there was none.
    `relay` writes to the store by way of another host. `can_write_store` returns whether either way
    to the store accepts writes. `find_revision_age_s` returns for how long (s) the store has had a
    revision at least, and `learn_revisions` asks peers for what they know of that. Without
    `preassignments`, all that is recorded in advance counts as used. `known_load` has the newest
    load digest that the host knows, and `known_stalls` the newest summary of stalled jobs. `host`
    is the owner's name, and `find_lease_left_s` returns for how long (s) its lease is still valid.
    `can_write_sparse` returns whether all hosts read progress records without all occurrences.
    """

    store: KeyStore
    link: ExecutorLink
    directory: DirectoryFormat
    timing: Timing
    wall_clock: Callable[[], float]
    desired: Callable[[], DesiredState]
    may_send_orders: Callable[[], bool]
    statistics: Statistics
    approver: Approver = field(default_factory=NoApprover)
    policy: Policy = DEFAULT_POLICY
    find_outage_end: Callable[[], float] = lambda: float("inf")
    is_store_available: Callable[[], bool] = lambda: True
    can_write_store: Callable[[], bool] = lambda: True
    relay: StoreRelay | None = None
    evacuations: Evacuations = field(default_factory=Evacuations)
    stalls: StallHistory = field(default_factory=StallHistory)
    find_revision_age_s: Callable[[int], float] = lambda revision: 0.0
    learn_revisions: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint
    preassignments: Preassignments | None = None
    known_load: KnownLoad = field(default_factory=KnownLoad)
    known_stalls: KnownStalls = field(default_factory=KnownStalls)
    host: str = ""
    find_lease_left_s: Callable[[], float] = lambda: float("inf")
    can_write_sparse: Callable[[], bool] = lambda: True
    random: random.Random = field(default_factory=random.Random)


class OwnedCell:
    """The jobs and executors of one term."""

    def __init__(self, parts: OwnerParts, term: Term) -> None:
        self.parts = parts
        self.term = term
        self.recorder = Recorder(
            parts.store, term.guard, self._update_places, parts.relay, parts.can_write_sparse
        )
        self.jobs: dict[str, JobState] = {}
        self.active: dict[str, JobState] = {}
        self.executors: dict[str, ExecutorState] = {}
        self.learned = LearnedState()
        self.load_sources = LoadSources()
        self.urgent_room: dict[str, RoomUse] = {}
        self.changed = trio.Event()
        self.use_changed = trio.Event()
        self.approvals = Approvals(parts.approver, self.wake_planner)
        self.pending_stops: list[tuple[Attempt, str]] = []
        self.stops_requested = trio.Event()
        self._began = now = trio.current_time()
        longest_run_s = parts.timing.longest_run_s
        earlier_until = now + STALE_OWNER_S + MAX_ORDER_DELAY_S
        self.fences = InstanceFences(term.number, earlier_until, longest_run_s)
        self.late_starts = LateStarts(longest_run_s, self.fences.deadlines.find_last_end)
        self.drain = Drain(now)
        self.late_orders_until = now + MAX_ORDER_DELAY_S
        self.unreported_runs_until = now + parts.timing.max_unreported_run_s
        self.crashes = Crashes(self.find_task, self._handle_crash, parts.statistics)

    def wake_planner(self) -> None:
        """Request a new plan."""
        self.changed.set()

    def notify_use_changed(self) -> None:
        """Request an update of the recorded executors in use."""
        self.use_changed.set()

    # Evacuation

    def is_evacuated(self, state: ExecutorState) -> bool:
        """Return whether the executor's failure domain is evacuated."""
        return state.executor.zone in self.parts.evacuations.domains

    def apply_evacuations(self) -> None:
        """Apply the evacuated failure domains to all executors."""
        for state in self.executors.values():
            state.evacuated = self.is_evacuated(state)
        self.wake_planner()

    # Jobs

    def apply_job(self, record: JobRecord, created: int = 0) -> None:
        """Add an accepted job, or apply its cancellation.

        `created` is the store revision at which the job was accepted, 0 if unknown.
        """
        job = self.jobs.get(record.spec.id)
        if job is None:
            job = make_job(record.spec, trio.current_time())
            self.jobs[record.spec.id] = job
            self.active[record.spec.id] = job
            self._log_known(job)
            self._note_urgent_arrival(job)
        job.created = job.created or created
        if record.cancelled and not job.cancelled:
            self._cancel(job)
        self.wake_planner()

    def _note_urgent_arrival(self, job: JobState) -> None:
        """Add an urgent job to the forecast, at the time it was accepted.

        After a takeover the jobs in the store thus restore the forecast. The occurrences of a
        schedule are left out, as they do not show what arrives unannounced.
        """
        spec, now = job.spec, trio.current_time()
        queue = self.parts.desired().current_queue(spec)
        if queue.priority != URGENT or spec.schedule is not None:
            return
        step = max(spec.steps, key=lambda step: step.count * step.need.accelerators)
        length = self.learned.lengths.predict(spec.tenant, queue.name, step.estimate_s, now)
        age_s = max(0.0, self.parts.wall_clock() - spec.accepted_at)
        shape = GangShape(step.count, step.need, step.same_rack)
        self.learned.forecast.note_arrival(queue.pool, shape, length.typical_s, now - age_s)

    def forget(self, job: JobState) -> None:
        """Remove a job from the plan and from all listings."""
        self.jobs.pop(job.spec.id, None)
        self.active.pop(job.spec.id, None)

    def _log_known(self, job: JobState) -> None:
        queue = self.parts.desired().current_queue(job.spec)
        log_event(
            "job.known",
            job=job.spec.id,
            queue=queue.name,
            priority=queue.priority,
            chain_s=round(critical_path_s(job.spec), 3),
            stretch=queue.stretch,
            target_s=queue.target_s,
            tasks=job.count_tasks(),
            term=self.term.number,
        )

    def restore_starts(self, job: JobState, record: ProgressRecord, age_s: float) -> None:
        """Restore the starts of a job that an earlier owner may have left without an answer.

        The recorded remaining time is not counted from the start of this term, so that frequent
        takeovers do not delay the task without limit. The record is `age_s` old at least.
        """
        until, now = self.late_orders_until, trio.current_time()
        if record.runs_left_s is not None:
            left_s = record.runs_left_s - self.parts.timing.longest_run_s
            until = min(until, now + left_s - age_s)
        elif record.starts_left_s is not None:
            until = min(until, now + record.starts_left_s - age_s)
        for start in record.starts or frozenset():
            task = TaskKey(job.spec.id, start.step, start.member, start.occurrence)
            if job.task(task) is None:
                continue
            state = self.executors.get(start.executor)
            self.late_starts.inherit(start, task, until, is_gone=state is None)
            if state is not None and start.born != state.instance.born:
                # Its deadline is on the clock of another instance, and extends the lease of this
                # one even if the start is refused as old.
                late_until = until + self.parts.timing.longest_run_s
                state.late_lease_until = max(state.late_lease_until, late_until)

    # Crashes

    def restore_crashes(self, job: JobState) -> None:
        """Restore the crashes that an earlier owner recorded for a job's tasks."""
        for step in job.steps:
            for task in step.tasks.list_known() if step.has_suspects else ():
                self.crashes.restore(job.key_of(step, task), task)

    def _handle_crash(self, key: TaskKey) -> None:
        job = self.jobs.get(key.job)
        if job is not None and job.spec.id in self.active:
            job.crash_notes += 1
            self._settle(job)

    def fail_crashing_jobs(self) -> None:
        """Fail the jobs with a task that has crashed too many executors.

        Call this only once no executor that a task is blamed for can report again.
        """
        for job in list(self.active.values()):
            self._fail_if_crashing(job)

    def handle_instance_end(self, state: ExecutorState) -> None:
        """Record the end of an executor instance, and fail the tasks that crashed too many."""
        self.learned.speeds.forget(state.instance)
        if state.dead:
            self.crashes.confirm(state, trio.current_time())
        else:
            # The entry was removed before the lease ended. Without this the crash would not be
            # counted: three gangs then crashed 420 executors in 240 s instead of 39.
            self.crashes.record_possible_crash(state)
        self.fail_crashing_jobs_at(state)

    def fail_crashing_jobs_at(self, state: ExecutorState) -> None:
        """Fail the crashing jobs among those at an executor when it became unresponsive."""
        for name in {attempt.task.job for attempt, _ in state.held_when_unresponsive}:
            job = self.active.get(name)
            if job is not None:
                self._fail_if_crashing(job)

    def count_suspects(self) -> int:
        """Return the number of tasks of active jobs that executors have crashed under."""
        steps = (s for job in self.active.values() for s in job.steps if s.has_suspects)
        return sum(bool(task.crashes) for step in steps for task in step.tasks.list_known())

    def _fail_if_crashing(self, job: JobState) -> None:
        for step in job.steps:
            for task in step.tasks.list_known() if step.has_suspects else ():
                if not task.is_given_up or not job.is_active:
                    continue
                job.failed = True
                log_event(
                    "job.failed",
                    job=job.spec.id,
                    step=step.number,
                    index=task.index,
                    why="executors crashed under it",
                    executors=[[*instance, blame] for instance, blame in task.crashes.items()],
                )
                self._end_attempts(job, "job failed")
                self._settle(job)

    def _cancel(self, job: JobState) -> None:
        job.cancelled = True
        log_event("job.cancelled", job=job.spec.id, status=job.status.value)
        self._end_attempts(job, "cancelled")
        self._settle(job)

    def _end_attempts(self, job: JobState, reason: str) -> None:
        for attempt in job.attempts():
            self.request_stop(attempt, reason)

    def _settle(self, job: JobState) -> None:
        """Mark a job for recording, and stop planning it once its status is final."""
        self.recorder.mark(job)
        if job.status.is_final and self.active.pop(job.spec.id, None) is not None:
            self._count_end(job)
        self.wake_planner()

    def _count_end(self, job: JobState) -> None:
        spec = job.spec
        job.ended_at = trio.current_time()
        statistics = self.parts.statistics
        statistics.count("jobs_ended", job.status.value)
        elapsed = self.parts.wall_clock() - spec.accepted_at
        statistics.record(spec.tenant, spec.queue.name, Measure.COMPLETION, elapsed)
        log_event(
            "job.ended",
            job=spec.id,
            status=job.status.value,
            elapsed_s=round(elapsed, 3),
            term=self.term.number,
        )

    def make_may_run_check(self) -> Callable[[TaskKey], bool] | None:
        """Return a check whether a task may run, or still be started, at an unresponsive executor.

        None if there is no such executor. Jobs accepted in this term are never affected. For the
        others the store lists the executors of each task.
        """
        silent, uncertain = self.silent(), self.list_uncertain()
        if not silent and not uncertain:
            return None
        may_hold_any = any(not s.is_listed_by_jobs and s.only_tasks is None for s in silent)
        held = frozenset().union(*(state.only_tasks or () for state in silent))
        named = {state.id for state in silent if state.is_listed_by_jobs}
        uncertain_tasks: dict[str, int] = {}

        def may_run(task: TaskKey) -> bool:
            job = self.jobs.get(task.job)
            if job is None or job.created > self.term.guard[1]:
                return False
            if may_hold_any or task in held:
                return True
            if task.job not in uncertain_tasks:
                uncertain_tasks[task.job] = job.places.find_uncertain(named, uncertain)
            return bool(job.mask_of(task) & uncertain_tasks[task.job])

        return may_run

    def list_uncertain(self) -> frozenset[str]:
        """Return the executors that may have a new instance unaware of this owner's token."""
        return list_uncertain(self.executors.values(), self._find_deadlines())

    def _find_deadlines(self) -> Deadlines:
        executor_lease_s = self.parts.timing.executor_lease_s
        return Deadlines(
            trio.current_time(),
            executor_lease_s,
            self.late_orders_until,
            self.unreported_runs_until,
        )

    def may_receive_late_start(self, state: ExecutorState) -> bool:
        """Return whether a start of an earlier owner for an active job may still reach an executor.

        The end of such an executor's instance must be noticed before the job is started elsewhere.
        """
        if trio.current_time() >= self.late_orders_until or is_sole_instance(state):
            return False
        starts = self.late_starts.list_unresolved(state.id)
        if any(start.is_inherited and start.task.job in self.active for start in starts):
            return True
        return any(state.id in job.places.earlier for job in self.active.values())

    def _update_places(self, jobs: Collection[JobState]) -> None:
        """Update the placements that are to be recorded for the next owner of some jobs."""
        silent = self.list_unreported_ids()
        may_share_ids = any(state.instance.born for state in self.executors.values())
        preassignments = self.parts.preassignments
        epoch = None if preassignments is None else preassignments.make_epoch()
        for job in jobs:
            job.places.epoch = epoch
            job.places.drop_resolved(silent)
            late, until = self.late_starts.list_open_of_job(job.spec.id)
            job.places.late = self._find_late(job, late)
            if may_share_ids:
                under_way = list_pending_starts(job)
                job.places.starts = late | under_way
                job.places.starts_left_s = job.places.runs_left_s = None
                if not under_way:
                    left_s = until - trio.current_time()
                    run_s = self.parts.timing.longest_run_s
                    job.places.starts_left_s = round_remaining_s(left_s)
                    job.places.runs_left_s = round_remaining_s(left_s + run_s)

    def _find_late(self, job: JobState, starts: Collection[UnresolvedStart]) -> TaskMasks:
        """Return where starts of a job may still be carried out late, or orphaned runs of it exist.

        Entries of earlier owners are dropped where their orders can have no effect any more. A
        gang's run of which a failure may yet be listed counts as well, as it uses up an attempt.
        """
        deadlines, places = self._find_deadlines(), job.places
        if deadlines.now >= self.late_orders_until:
            places.earlier = {}
        elif places.earlier:
            lapsed = list_lapsed(list(places.earlier), self.executors, deadlines)
            places.earlier = keep(places.earlier, places.earlier.keys() - lapsed)
        orphans = (orphan for s in self.executors.values() for orphan in s.orphans.values())
        return unite(
            places.earlier,
            *({start.executor: job.mask_of(start)} for start in starts),
            *({u.executor: s.mask} for s in job.steps for u in s.ends.list_unlisted(deadlines.now)),
            job.locate_attempts(orphan for orphan in orphans if orphan.task.job == job.spec.id),
        )

    def list_unreported_ids(self) -> set[str]:
        """Return the ids of inherited executors that have not reported yet."""
        return {state.id for state in self.silent()}

    def make_withheld_check(self) -> Callable[[TaskKey], bool] | None:
        """Return a check for the tasks that must not be started now; None if there are none.

        These are tasks that may already run, and, while the store is unavailable, tasks under which
        executors have crashed, as another crash could not be recorded.
        """
        may_run = self.make_may_run_check()
        if self.parts.is_store_available():
            return may_run

        def is_withheld(key: TaskKey) -> bool:
            task = self.find_task(key)
            is_suspect = task is not None and bool(task.crashes)
            return is_suspect or (may_run is not None and may_run(key))

        return is_withheld

    def find_required_executors(self) -> dict[TaskKey, str]:
        """Return the only executor allowed for each task that has unresolved starts."""
        return self.late_starts.find_required_executors(self.executors, self.list_uncertain())

    def silent(self) -> list[ExecutorState]:
        """Return the inherited executors that have not reported and may still run something."""
        now = trio.current_time()
        return [
            state
            for state in self.executors.values()
            if state.is_inherited
            and not state.has_reported
            and not state.dead
            and now < state.lease_ends_by
        ]

    def expect_earlier_orders(self, until: float) -> None:
        """Record that earlier owners may send orders until a time.

        Call this before the state that they left is restored.
        """
        self.late_orders_until = until + MAX_ORDER_DELAY_S
        self.unreported_runs_until = until + self.parts.timing.max_run_after_order_s
        self.fences.deadlines.expect_earlier(until + MAX_ORDER_DELAY_S)

    def limit_earlier_runs(self, ended_at: float) -> None:
        """Shorten the wait for silent executors, as earlier owners sent no orders since a time."""
        until = ended_at + self.parts.timing.max_run_after_order_s
        silent = self.silent()
        for state in silent:
            state.renewed_until = min(state.renewed_until, until)
        self.fences.limit_earlier(ended_at + MAX_ORDER_DELAY_S, silent)
        # Late starts are counted from the term's start unless earlier owners went on for long.
        past_s = max(0.0, ended_at - self._began - STALE_OWNER_S)
        self._limit_earlier_starts(self._began + past_s)
        self.wake_planner()

    def _limit_earlier_starts(self, sent_until: float) -> None:
        """Record that earlier owners sent no starts after a time."""
        late_until = sent_until + MAX_ORDER_DELAY_S
        self.late_orders_until = min(self.late_orders_until, late_until)
        self.late_starts.limit_inherited(late_until)
        runs_until = sent_until + self.parts.timing.max_unreported_run_s
        self.unreported_runs_until = min(self.unreported_runs_until, runs_until)

    def make_deadline(self, state: ExecutorState, lease_s: float) -> int | None:
        """Return the deadline (ms, the executor's clock) of a lease that is granted now.

        None if none may be granted: while this host may not be the owner any more, or the executor
        can't be held.
        """
        if not self.parts.may_send_orders():
            return None
        return state.deadline_ms(trio.current_time(), lease_s)

    # Attempts

    def allocate_run(self, tasks: list[TaskState]) -> int:
        """Return a run number that is above all earlier ones of the tasks, in any term."""
        floor = (self.term.number - 1) * RUNS_PER_TERM
        run = max(floor, *(task.last_run for task in tasks)) + 1
        for task in tasks:
            task.last_run = run
        return run

    def place(self, task: TaskState, attempt: Attempt, state: ExecutorState) -> None:
        """Record that an attempt is, or may be, at an executor."""
        task.attempt = attempt
        state.occupy(attempt)

    def close(self, attempt: Attempt, why: str) -> None:
        """Record that an attempt is over, and release its resources."""
        state = self.executors.get(attempt.executor)
        if state is not None:
            state.release(attempt)
        task = self.find_task(attempt.task)
        if task is not None and task.attempt is attempt:
            task.attempt = None
            job = self.jobs[attempt.task.job]
            if attempt.may_have_begun:
                job.places.add_left(attempt.executor, job.mask_of(attempt.task))
            else:
                self.recorder.mark(job)
        self.crashes.end_trial(attempt.task, attempt.instance)
        self._note_drain(attempt, why)
        log_event(
            "attempt.closed",
            **describe_run(attempt.task, attempt.run, attempt.instance),
            percent=attempt.percent,
            best_rate=round(attempt.best_rate, 2),
            phase=attempt.phase.value,
            sends=attempt.sends,
            unanswered=attempt.unanswered,
            age_s=round(trio.current_time() - attempt.ordered_at, 3),
            silent_at_s=_age_when_unresponsive(attempt, state),
            why=why,
        )
        self.wake_planner()

    def _note_drain(self, attempt: Attempt, why: str) -> None:
        """Record the capacity that a run has freed, unless its task waits for capacity again."""
        job = self.jobs.get(attempt.task.job)
        is_done = why == EndKind.DONE
        if job is None or not (is_done or (why == EndKind.STOPPED and not job.is_active)):
            return
        now, queue = trio.current_time(), self.parts.desired().current_queue(job.spec)
        is_whole = is_done and attempt.began_at is not None and not attempt.began_percent
        length_s = now - attempt.began_at if is_whole and attempt.began_at is not None else None
        need = attempt.need.accelerators
        self.drain.note_end(RunEnd(now, queue.pool, queue.priority, need, length_s))

    def request_stop(self, attempt: Attempt, reason: str) -> None:
        """Queue a stop of an attempt."""
        if attempt.phase is not Phase.STOPPING:
            attempt.phase = Phase.STOPPING
            attempt.stop_reason = reason
            attempt.settled_at = UNSETTLED
            self.parts.statistics.count("stops", reason)
            self.pending_stops.append((attempt, reason))
            self.stops_requested.set()

    def stop_orphan(self, state: ExecutorState, task: TaskKey, run: int) -> None:
        """Stop a run that an executor reports but that is not its task's current attempt.

        It would otherwise run beside the task's own attempt, or after its job's end, for as long as
        the executor's lease is renewed.
        """
        if (task, run) in state.orphans:
            return
        job = self.jobs.get(task.job)
        known = job is not None and job.task(task) is not None
        need = job.step_of(task).spec.need if job is not None and known else NO_RESOURCES
        attempt = Attempt(task, run, state.instance, need, trio.current_time(), Phase.RUNNING)
        state.occupy_orphan(attempt)
        log_event(
            "run.stale" if known else "run.unknown", **describe_run(task, run, state.instance)
        )
        self.request_stop(attempt, "not its task's attempt")

    def stop_late_starts(self, state: ExecutorState) -> None:
        """Stop unanswered starts at an executor that may have a new instance.

        A new instance does not know which starts the previous one was told to stop.
        """
        held = {(attempt.task, attempt.run) for attempt in state.list_held()}
        for start in self.late_starts.list_unresolved(state.id):
            if start.run and (start.task, start.run) not in held:
                self.stop_orphan(state, start.task, start.run)

    def stop_gang(self, attempt: Attempt, reason: str) -> None:
        """Stop the other members of an attempt's gang run."""
        job = self.jobs.get(attempt.task.job)
        if job is None or not job.step_of(attempt.task).spec.gang:
            return
        for task in job.step_of(attempt.task).tasks:
            other = task.attempt
            if other is not None and other is not attempt and other.run == attempt.run:
                self.request_stop(other, reason)

    def find_task(self, key: TaskKey) -> TaskState | None:
        """Return a task by its key."""
        job = self.jobs.get(key.job)
        return job.task(key) if job else None

    def update_checkpoint(self, task: TaskState, run: int, checkpoint: str) -> None:
        """Keep the newest checkpoint of a task."""
        if checkpoint and run >= task.checkpoint_run:
            task.checkpoint = checkpoint
            task.checkpoint_run = run

    # Ends

    def process_end(self, state: ExecutorState, end: EndedRun) -> None:
        """Process an ended run that an executor reports."""
        job = self.jobs.get(end.task.job)
        task = self.find_task(end.task)
        orphan = state.orphans.get((end.task, end.run))
        if orphan is not None:
            self.close(orphan, end.kind.value)
        if job is None or task is None:
            run = describe_run(end.task, end.run, state.instance)
            log_event("end.unknown", **run, why=end.kind.value)
            return
        task.last_run = max(task.last_run, end.run)
        note_end(job.step_of(end.task), end)
        self.late_starts.mark_refused(state.instance, end.task, end.run)
        attempt = task.attempt
        is_current = attempt is not None and attempt.run == end.run
        if is_current and attempt is not None:
            if not attempt.seen and attempt.has_single_unresolved_send:
                self.late_starts.settle(attempt)
            self.close(attempt, end.kind.value)
        elif orphan is None:
            self._log_unowned_end(state, end)
        self.update_checkpoint(task, end.run, end.checkpoint)
        if end.kind is EndKind.DONE:
            if is_current and attempt is not None and not task.done:
                self._note_length(job, attempt)
            self._note_done(state, job, task, end)
        elif end.kind is EndKind.FAILED:
            self._note_failed(state, job, task, end)
        elif end.kind in (EndKind.STOPPED, EndKind.LAPSED) and end.checkpoint:
            self.recorder.mark(job)
        if is_current and attempt is not None and end.kind is not EndKind.DONE:
            self.stop_gang(attempt, f"a member ended {end.kind.value}")
            self._close_ended(job, job.step_of(end.task))

    def close_broken_gangs(self, state: ExecutorState) -> None:
        """Close the attempts at a silent executor that the ends of other members prove over."""
        for attempt in list(state.attempts.values()):
            job = self.jobs.get(attempt.task.job)
            if job is not None and state.holds(attempt):
                self._close_ended(job, job.step_of(attempt.task))

    def _close_ended(self, job: JobState, step: StepState) -> None:
        limit = self.parts.desired().current_queue(job.spec).max_attempts
        for attempt in take_ended(step, self.executors, self.late_starts, limit):
            self.close(attempt, "another member of its run ended there first")

    def _log_unowned_end(self, state: ExecutorState, end: EndedRun) -> None:
        """Log the end of a run that has no attempt in this term, as after a takeover."""
        run = describe_run(end.task, end.run, state.instance)
        log_event("attempt.ended", **run, why=end.kind.value)

    def _note_length(self, job: JobState, attempt: Attempt) -> None:
        """Record the length of a run that has ended as done; a gang's first end counts for all."""
        step = job.step_of(attempt.task)
        if step.spec.lasting or not self.parts.policy.run_lengths:
            return
        members = [attempt]
        if step.spec.gang:
            members += [a for a in step.attempts() if a.run == attempt.run]
        now, learned = trio.current_time(), self.learned
        far = self.parts.timing.far_factor
        length_s = measure_length(step, members, self.executors, learned, far, now)
        if length_s is None:
            self.parts.statistics.count("run_lengths", "uncertain")
            return
        estimate_s = step.spec.estimate_s
        predicted = learned.lengths.predict(step.tenant, step.queue, estimate_s, now)
        learned.lengths.note_end(step.tenant, step.queue, estimate_s, length_s, now)
        self.parts.statistics.count("run_lengths", _judge(length_s, predicted))
        log_event(
            "run.measured",
            **describe_run(attempt.task, attempt.run, attempt.instance),
            length_s=round(length_s, 3),
            estimate_s=estimate_s,
            predicted_s=round(predicted.typical_s, 3),
            evidence=predicted.evidence.value,
        )

    def _note_done(
        self, state: ExecutorState, job: JobState, task: TaskState, end: EndedRun
    ) -> None:
        state.reset_backoff()
        step = job.step_of(end.task)
        if step.spec.lasting or task.done:
            return
        finished = step.tasks if step.spec.gang else [task]
        for member in finished:
            member.done = True
            if member.attempt is not None and member.attempt.run != end.run:
                self.request_stop(member.attempt, "done in an earlier run")
        job.begun = True
        self._settle(job)

    def _is_at_fault(self, state: ExecutorState, now: float) -> bool:
        """Return whether the executor, and not the job, is the likely cause of failures.

        True if several jobs failed there in a row, or few other executors of its pool back off.
        """
        if len(state.failed_jobs) >= BLAME_EXECUTOR_AFTER_JOBS:
            return True
        pool = [s for s in self.executors.values() if s.executor.pool == state.executor.pool]
        resting = sum(s is not state and now < s.backoff_until for s in pool)
        return resting < max(len(pool) // BACKED_OFF_DIVISOR, min(1, len(pool) - 1))

    def _note_failed(
        self, state: ExecutorState, job: JobState, task: TaskState, end: EndedRun
    ) -> None:
        now = trio.current_time()
        task.avoid[state.id] = now + AVOID_AFTER_FAILURE_S
        state.failed_streak += 1
        if len(state.failed_jobs) < BLAME_EXECUTOR_AFTER_JOBS:
            state.failed_jobs.add(end.task.job)
        if state.failed_streak >= BACKOFF_AFTER_FAILURES:
            state.back_off(
                now, MAX_BACKOFF_S if self._is_at_fault(state, now) else POOL_WIDE_BACKOFF_S
            )
        step = job.step_of(end.task)
        if end.run in task.failed_runs or step.spec.lasting:
            return
        task.failed_runs.add(end.run)
        limit = self.parts.desired().current_queue(job.spec).max_attempts
        if step.count_failures(task) >= limit and not job.status.is_final:
            job.failed = True
            log_event(
                "job.failed",
                job=job.spec.id,
                step=end.task.step,
                index=end.task.member,
                why="its runs failed",
            )
            self._end_attempts(job, "job failed")
        self._settle(job)
