"""The product's planner, its real code, on a pool of modelled executors in simulated time.

No hosts, store or sockets: what is compared here is which work waits, where it goes and what is
taken back. Executors report at once, orders are obeyed, and nothing is lost on the way.
"""

from __future__ import annotations

import random
from collections.abc import Generator
from dataclasses import dataclass, field

import simpy
from heronthread_dispatch.admission import Rejected, decide_admission
from heronthread_dispatch.fleet import ExecutorState, make_executor_state
from heronthread_dispatch.known_load import AgedDigest
from heronthread_dispatch.learned import LearnedState
from heronthread_dispatch.load_digest import LoadDigest
from heronthread_dispatch.load_estimate import Drain, RunEnd, estimate_load, measure_capacity
from heronthread_dispatch.model import (
    URGENT,
    DesiredState,
    Executor,
    JobSpec,
    Queue,
    Resources,
    StepSpec,
    Tenant,
)
from heronthread_dispatch.plan import Plan, Start
from heronthread_dispatch.planner import Planner
from heronthread_dispatch.policy import Policy
from heronthread_dispatch.progress import JobState, make_job
from heronthread_dispatch.recent_peaks import RecentPeaks
from heronthread_dispatch.share_accounting import ShareAccounting
from heronthread_dispatch.step_state import Attempt, Phase, StepState
from heronthread_dispatch.urgent_forecast import GangShape

from .load import DrawnJob, LoadPattern

COALESCE_S = 0.015
RECHECK_S = 0.5
ORDER_S = 0.005
MOST_ATTEMPTS = 4
DIGEST_S = 1.0
MOST_ASKS = 5
"""How often a caller asks at most, as the platform's callers do."""
URGENT_WINDOW_S = 12.0
LEAST_MEASURE_S = 0.6
DRAIN_FACTOR = 2.5
"""A play goes on for so many times the pattern's length, so that what was taken in can end."""


Steps = Generator[simpy.Event, None, None]


@dataclass(slots=True, eq=False)
class _Run:
    """One run of a gang, or of a task on its own; works from `began` at `speed` (1: sound)."""

    job: DrawnJob
    attempts: list[Attempt]
    began: float
    takes_s: float
    saved_s: float
    process: simpy.Process | None = None


@dataclass(slots=True)
class JobOutcome:
    """What became of one job; times in seconds of the play, None for never."""

    job: DrawnJob
    begun_at: float | None = None
    done_at: float | None = None
    taken_back: int = 0
    rejected: int = 0
    is_failed: bool = False


@dataclass(slots=True)
class PlayOutcome:
    """What one play showed; work in core-seconds, an accelerator as eight cores."""

    jobs: list[JobOutcome]
    starts: int = 0
    stops: int = 0
    lost_core_s: float = 0.0


@dataclass(slots=True)
class _Known:
    """A job with its state, its outcome, and what its tasks have saved (s)."""

    drawn: DrawnJob
    state: JobState
    outcome: JobOutcome
    saved_s: dict[int, float] = field(default_factory=dict)
    failures: int = 0


class PoolModel:
    """One play of a pattern with a policy."""

    def __init__(self, pattern: LoadPattern, drawn: list[DrawnJob], policy: Policy) -> None:
        self.pattern = pattern
        self.policy = policy
        self.env = simpy.Environment()
        self.outcome = PlayOutcome([])
        self._drawn = drawn
        self._known: dict[str, _Known] = {}
        self._active: dict[str, JobState] = {}
        self._runs: dict[int, _Run] = {}
        self._changed = self.env.event()
        self._peaks = RecentPeaks(URGENT_WINDOW_S)
        self._learned = LearnedState()
        self._accounting = ShareAccounting(self._learned.shares)
        self._drain = Drain(0.0)
        self._digest: LoadDigest | None = None
        self._digest_at = 0.0
        self._desired = _make_desired(pattern)
        self._executors = {state.id: state for state in _make_executors(pattern)}
        source = random.Random(f"slow {pattern.name} {len(drawn)}")
        count = round(pattern.slow_share * pattern.executors)
        self._slow = set(source.sample(sorted(self._executors), count))

    def play(self) -> PlayOutcome:
        """Play the whole pattern."""
        self.env.process(self._arrive())
        self.env.process(self._plan_for_ever())
        self.env.process(self._report_load())
        self.env.run(until=self.pattern.seconds * DRAIN_FACTOR)
        return self.outcome

    # Arrivals

    def _arrive(self) -> Steps:
        for drawn in self._drawn:
            yield self.env.timeout(drawn.at - self.env.now)
            outcome = JobOutcome(drawn)
            self.outcome.jobs.append(outcome)
            self.env.process(self._ask(drawn, outcome))

    def _ask(self, drawn: DrawnJob, outcome: JobOutcome) -> Steps:
        """Ask until the job is accepted; a caller returns when it was told to, if it does."""
        spec = _make_spec(drawn, self._desired.by_name[drawn.kind.name], self.env.now)
        while self.policy.admission and outcome.rejected < MOST_ASKS:
            known = None
            if self._digest is not None:
                known = AgedDigest(self._digest, self.env.now - self._digest_at)
            decision = decide_admission(
                spec, spec.queue, self.pattern.guaranteed, known, self.env.now
            )
            if not isinstance(decision, Rejected):
                break
            outcome.rejected += 1
            returns = random.Random(f"{drawn.id} {outcome.rejected}").random()
            if returns >= self.pattern.return_share or outcome.rejected == MOST_ASKS:
                return
            yield self.env.timeout(decision.retry_after_s)
            spec = _make_spec(drawn, spec.queue, self.env.now)
        self._accept(drawn, spec, outcome)

    def _accept(self, drawn: DrawnJob, spec: JobSpec, outcome: JobOutcome) -> None:
        state = make_job(spec, self.env.now)
        known = _Known(drawn, state, outcome)
        self._known[drawn.id] = known
        self._active[drawn.id] = state
        if spec.queue.priority == URGENT:
            step = state.steps[0].spec
            shape = GangShape(step.count, step.need, step.same_rack)
            self._learned.forecast.note_arrival("pool", shape, step.estimate_s, self.env.now)
        if drawn.cancel_after_s is not None:
            self.env.process(self._cancel(known, drawn.cancel_after_s))
        self._wake()

    def _report_load(self) -> Steps:
        """Make a load digest each second, as an owner does."""
        while True:
            now = self.env.now
            self._drain.note_capacity(measure_capacity(self._executors.values(), now), now)
            pools = estimate_load(
                self._active.values(),
                self._executors.values(),
                self._desired,
                self._drain,
                self._learned,
                now,
                now,
            )
            self._digest, self._digest_at = LoadDigest(1, round(now), pools), now
            yield self.env.timeout(DIGEST_S)

    def _cancel(self, known: _Known, after_s: float) -> Steps:
        yield self.env.timeout(after_s)
        if known.state.is_active:
            known.state.cancelled = True
            for attempt in known.state.attempts():
                self._stop(attempt)
            self._active.pop(known.drawn.id, None)
            self._wake()

    # Deciding

    def _wake(self) -> None:
        if not self._changed.triggered:
            self._changed.succeed()

    def _plan_for_ever(self) -> Steps:
        recheck = RECHECK_S
        while True:
            yield self._changed | self.env.timeout(recheck)
            yield self.env.timeout(COALESCE_S)
            self._changed = self.env.event()
            recheck = max(0.02, self._plan())

    def _plan(self) -> float:
        now = self.env.now
        self._note_progress(now)
        planner = Planner(
            self._active.values(),
            self._executors.values(),
            self._desired,
            now,
            now,
            self._peaks.peaks(now),
            policy=self.policy,
            stop_s=self.pattern.stop_s,
            learned=self._learned,
        )
        plan = planner.make()
        self._peaks.note(now, planner.urgent_demand())
        self._carry_out(plan)
        return min(RECHECK_S, plan.replan_in_s or RECHECK_S)

    def _note_progress(self, now: float) -> None:
        for run in {id(run): run for run in self._runs.values()}.values():
            if now <= run.began:
                continue
            percent = 100 * min(0.99, (run.saved_s + now - run.began) / run.takes_s)
            for attempt in run.attempts:
                attempt.percent = percent
                attempt.progressed_at = now
                attempt.rate = attempt.best_rate = 100 / run.takes_s
                self._note_speed(run, attempt, now)
        self._charge_customers(now)

    def _note_speed(self, run: _Run, attempt: Attempt, now: float) -> None:
        """Report a member's own rate: members are equally long and progress independently."""
        if now - run.began < LEAST_MEASURE_S:
            return
        job = self._known[attempt.task.job]
        step = job.state.steps[0]
        works = job.drawn.works_s
        works_s = max(works) if step.spec.gang else works[attempt.task.member]
        rate = 100 / (works_s * self._find_factor(attempt.executor))
        step.ratios[attempt.task.member] = 100 / rate / job.drawn.estimate_s
        key = job.state.key_of(step, step.tasks[0])
        self._learned.speeds.note("pool", key, attempt.instance, rate, now)

    def _charge_customers(self, now: float) -> None:
        if self.policy.fair_shares:
            self._accounting.update(
                self._active.values(), self._executors.values(), self._desired, now, now
            )

    def _carry_out(self, plan: Plan) -> None:
        for attempt in plan.stops:
            self._stop(attempt)
        for attempt in {a.task.job: a for a in plan.stops}.values():
            self._known[attempt.task.job].outcome.taken_back += 1
        for group in plan.groups:
            self._start(group)

    # Runs

    def _start(self, group: list[Start]) -> None:
        known = self._known[group[0].job.spec.id]
        attempts = []
        for start in group:
            start.task.last_run += 1
            key = known.state.key_of(start.step, start.task)
            need = start.step.spec.need
            attempt = Attempt(key, start.task.last_run, start.executor.instance, need, self.env.now)
            start.task.attempt = attempt
            start.executor.occupy(attempt)
            attempts.append(attempt)
        known.state.begun = True
        if known.outcome.begun_at is None:
            known.outcome.begun_at = self.env.now
        self.outcome.starts += len(group)
        if group[0].step.spec.gang:
            self._begin(known, group[0].step, attempts)
        else:
            for attempt in attempts:
                self._begin(known, group[0].step, [attempt])

    def _begin(self, known: _Known, step: StepState, attempts: list[Attempt]) -> None:
        drawn = known.drawn
        factor = max(self._find_factor(attempt.executor) for attempt in attempts)
        racks = {self._executors[attempt.executor].executor.rack for attempt in attempts}
        if step.spec.same_rack and len(racks) > 1:
            factor *= self.pattern.far_factor
        takes_s = factor * max(drawn.works_s[attempt.task.member] for attempt in attempts)
        saved = min(known.saved_s.get(attempt.task.member, 0.0) for attempt in attempts)
        run = _Run(drawn, attempts, self.env.now + ORDER_S, takes_s, min(saved, takes_s))
        for attempt in attempts:
            attempt.phase = Phase.RUNNING
            attempt.began_at = run.began
            attempt.progressed_at = run.began
            attempt.began_percent = 100 * run.saved_s / takes_s
            self._runs[id(attempt)] = run
        run.process = self.env.process(self._work(known, run))

    def _find_factor(self, executor: str) -> float:
        number = int(executor[1:])
        factor = self.pattern.speeds[number % len(self.pattern.speeds)]
        since = self.env.now - self.pattern.slow_from
        is_slow = executor in self._slow and 0 <= since < self.pattern.slow_s
        return factor * (self.pattern.slow_factor if is_slow else 1.0)

    def _work(self, known: _Known, run: _Run) -> Steps:
        members = {attempt.task.member for attempt in run.attempts}
        fails = known.failures == 0 and bool(members & known.drawn.failing)
        left = run.takes_s - run.saved_s
        try:
            yield self.env.timeout(ORDER_S + left * (0.5 if fails else 1.0))
        except simpy.Interrupt:
            yield from self._end_stopped(known, run)
            return
        self._release(run)
        if fails:
            known.failures += 1
            self.outcome.lost_core_s += self._weigh(run, self.env.now - run.began)
        else:
            self._note_done(known, run)
        self._wake()

    def _end_stopped(self, known: _Known, run: _Run) -> Steps:
        worked = max(0.0, self.env.now - run.began)
        kept = 0.0
        if known.drawn.checkpoints:
            kept = worked
            for attempt in run.attempts:
                known.saved_s[attempt.task.member] = run.saved_s + worked
        self.outcome.lost_core_s += self._weigh(run, worked - kept)
        yield self.env.timeout(self.pattern.stop_s)
        self._release(run)
        self._wake()

    def _weigh(self, run: _Run, seconds: float) -> float:
        return seconds * sum(attempt.need.cores for attempt in run.attempts)

    def _release(self, run: _Run) -> None:
        for attempt in run.attempts:
            self._runs.pop(id(attempt), None)
            self._executors[attempt.executor].release(attempt)
            task = self._known[attempt.task.job].state.task(attempt.task)
            if task is not None and task.attempt is attempt:
                task.attempt = None

    def _note_done(self, known: _Known, run: _Run) -> None:
        for attempt in run.attempts:
            self._note_drain(known, run, attempt)
            task = known.state.task(attempt.task)
            assert task is not None, "a run is of one of its job's tasks"
            task.done = True
        # Members of a gang end together, so that only the length of the longest one is seen.
        length_s = max(known.drawn.works_s[attempt.task.member] for attempt in run.attempts)
        self._learned.lengths.note_end(
            known.state.spec.tenant,
            known.drawn.kind.name,
            known.drawn.estimate_s,
            length_s,
            self.env.now,
        )
        if known.state.is_done and known.outcome.done_at is None:
            known.outcome.done_at = self.env.now
            self._active.pop(known.drawn.id, None)

    def _note_drain(self, known: _Known, run: _Run, attempt: Attempt) -> None:
        length_s = None if run.saved_s and known.outcome.taken_back else self.env.now - run.began
        need = attempt.need.accelerators
        priority = known.drawn.kind.priority
        self._drain.note_end(RunEnd(self.env.now, "pool", priority, need, length_s))

    def _stop(self, attempt: Attempt) -> None:
        run = self._runs.get(id(attempt))
        if run is None or attempt.phase is Phase.STOPPING:
            return
        for member in run.attempts:
            member.phase = Phase.STOPPING
        self.outcome.stops += len(run.attempts)
        if run.process is not None:
            run.process.interrupt()


def _make_desired(pattern: LoadPattern) -> DesiredState:
    queues = [
        Queue(
            kind.name,
            "host",
            f"/{kind.name}/",
            "pool",
            kind.priority,
            MOST_ATTEMPTS,
            kind.stretch,
            kind.target_s,
        )
        for kind in pattern.kinds
    ]
    tenants = [Tenant(f"c{n}", (f"key-{n}",), pattern.guaranteed) for n in range(pattern.customers)]
    return DesiredState.build(1, queues, tenants, 262_144)


def _make_executors(pattern: LoadPattern) -> list[ExecutorState]:
    found = []
    for number in range(pattern.executors):
        rack = f"r{number // pattern.rack}"
        name = f"e{number}"
        executor = Executor(name, name, "pool", "zone", rack, ("kind", rack), pattern.capacity)
        state = make_executor_state(executor, 0.0)
        state.has_reported = state.recorded = True
        found.append(state)
    return found


def _make_spec(drawn: DrawnJob, queue: Queue, now: float) -> JobSpec:
    step = StepSpec(
        len(drawn.works_s),
        Resources(drawn.kind.millicores, drawn.kind.memory_mb, drawn.accelerators),
        drawn.estimate_s,
        gang=drawn.is_gang,
        same_rack=drawn.same_rack,
        checkpointing=drawn.checkpoints,
    )
    return JobSpec(drawn.id, queue, f"c{drawn.customer}", "", (step,), now)
