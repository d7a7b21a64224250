"""Attribution of executor crashes to tasks.

A crashed executor reports no ends, so the owner relies on its own orders to know what ran there.
Runs that had just started are blamed, as a task that crashes executors does so right after its
start. If that is ambiguous, suspects are next started apart from others, so that another crash can
be attributed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .events import describe_instance, describe_run, log_event
from .fleet import ExecutorState
from .model import ExecutorInstance, TaskKey
from .record import Blame
from .statistics import Statistics
from .step_state import Attempt, TaskState

RECENT_START_S = 0.5
"""A run started within this time before its executor became unresponsive may have crashed it.

Tasks that crashed executors were 0.016 s old at most, other runs there 0.8 s at least (31 runs).
"""
LONG_RUNNING_S = 10.0
"""A run that has lasted this long is not suspected."""
CONCURRENT_S = 1.0
MIN_CORRELATED_FAILURES = 2
MIN_CORRELATED_IN_RACK = 4
"""If this many other executors without recent starts, or this many in the same rack, become
unresponsive within `CONCURRENT_S`, a power or network failure is as likely as a crashing task."""
MAX_FAILURES = 256
"""More than become unresponsive within `CONCURRENT_S` unless a whole failure domain fails."""


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """A run on an executor when it became unresponsive; `age_s` is the time since it was ordered.

    `seen` means that a report has listed the run, `has_begun` that it is known to have started: it
    was reported, or its start was answered. `works` is set if a run of the task has far outlived
    its start, so that starting it crashes nothing by itself.
    """

    task: TaskKey
    run: int
    age_s: float
    seen: bool
    works: bool = False
    has_begun: bool = True


@dataclass(frozen=True, slots=True)
class ExecutorFailure:
    """An executor unresponsive since `at` (trio's clock), with the jobs of its recent starts."""

    at: float
    instance: ExecutorInstance
    rack: str
    recently_started_jobs: frozenset[str]


def list_recent_starts(runs: Iterable[ActiveRun]) -> list[ActiveRun]:
    """Return the runs that had just started or, if there are none, those not yet reported.

    The latter are the only indication for an owner that notices late, as its delay adds to the
    ages.
    """
    runs = list(runs)
    recently_started = [run for run in runs if run.age_s <= RECENT_START_S]
    return recently_started or [run for run in runs if not run.seen]


def attribute_crash(runs: Iterable[ActiveRun], is_isolated: bool) -> dict[TaskKey, Blame]:
    """Return the blame of each task that may have crashed an executor.

    With `is_isolated`, no other executors became unresponsive at the same time for an unrelated
    reason.
    """
    runs = list(runs)
    recently_started = list_recent_starts(runs)
    if recently_started:
        suspects = [run for run in recently_started if not run.works] or recently_started
        is_certain = is_isolated and len({run.task.job for run in suspects}) == 1
        return {
            run.task: Blame.BLAMED
            if is_certain and run.has_begun and not run.works
            else Blame.SUSPECTED
            for run in suspects
        }
    if not is_isolated or len({run.task.job for run in runs}) > 1:
        return {}
    return {run.task: Blame.SUSPECTED for run in runs if run.age_s < LONG_RUNNING_S}


def has_recent_start(state: ExecutorState, now: float) -> bool:
    """Whether a run on an executor started so recently that a crash would make it a suspect."""
    return any(now - attempt.ordered_at <= RECENT_START_S for attempt in state.attempts.values())


def sum_work_at_risk(state: ExecutorState, now: float) -> float:
    """Return the core-seconds of work that a crash of an executor would lose."""
    return sum((now - a.ordered_at) * a.need.cores for a in state.attempts.values())


class Crashes:
    """The crashes noted during an owner's term; each is kept with its task until the job is final.

    A crash is noted as soon as an executor refuses connections, so that it survives the owner, and
    withdrawn if the same instance reports again. Reports of another instance with the same id have
    no effect. `on_change` is called for each changed task.
    """

    def __init__(
        self,
        find_task: Callable[[TaskKey], TaskState | None],
        on_change: Callable[[TaskKey], None],
        statistics: Statistics,
    ) -> None:
        self._find_task = find_task
        self._on_change = on_change
        self._statistics = statistics
        self._failures: deque[ExecutorFailure] = deque(maxlen=MAX_FAILURES)
        self._noted: dict[ExecutorInstance, set[TaskKey]] = {}

    def restore(self, task: TaskKey, state: TaskState) -> None:
        """Restore the crashes of a task that an earlier owner noted."""
        for instance in state.crashes:
            self._noted.setdefault(instance, set()).add(task)

    def begin_trial(self, task: TaskKey, instance: ExecutorInstance) -> None:
        """Note that a task suspected of crashing executors is about to start on another one."""
        self._set_blame(task, instance, Blame.ON_TRIAL)
        self._noted.setdefault(instance, set()).add(task)

    def end_trial(self, task: TaskKey, instance: ExecutorInstance) -> None:
        """Note that a suspected task has ended or keeps running without crashing its executor."""
        state = self._find_task(task)
        if state is not None and state.crashes.get(instance) is Blame.ON_TRIAL:
            self._set_blame(task, instance, None)
            self._noted.get(instance, set()).discard(task)

    def record_unresponsive(self, state: ExecutorState, now: float) -> None:
        """Note that an executor no longer answers, with the attempts there."""
        state.unresponsive_since = now
        state.was_listed_when_unresponsive = state.listed
        state.held_when_unresponsive = tuple(
            (attempt, _find_age_s(attempt, now, self._has_outlived_start(attempt)))
            for attempt in state.attempts.values()
        )
        recently_started = list_recent_starts(self._list_active_runs(state))
        jobs = frozenset(run.task.job for run in recently_started)
        self._failures.append(ExecutorFailure(now, state.instance, state.executor.rack, jobs))

    def record_possible_crash(self, state: ExecutorState) -> None:
        """Note that an unresponsive executor may have crashed, until it reports again.

        To be called repeatedly while it is unresponsive, as starts then in flight may turn out
        never to have begun. Tasks are only suspected if the executor has not refused a connection,
        as it may be partitioned. Without attempts of this owner there, notes of earlier owners are
        kept.
        """
        if not state.held_when_unresponsive:
            return
        blame_by_task = self._attribute(state)
        if not state.refuses_connections:
            blame_by_task = dict.fromkeys(blame_by_task, Blame.SUSPECTED)
        self._note(state, blame_by_task)

    def withdraw(self, state: ExecutorState) -> None:
        """Withdraw what was noted of an executor, as the same instance has reported again."""
        state.unresponsive_since = None
        state.refuses_connections = False
        state.held_when_unresponsive = ()
        self._failures = deque(
            (s for s in self._failures if s.instance != state.instance), maxlen=MAX_FAILURES
        )
        self._note(state, {})

    def confirm(self, state: ExecutorState, now: float) -> None:
        """Note that an instance is over, now that concurrent failures are known.

        Without attempts of this owner there, notes of earlier owners are kept.
        """
        if state.unresponsive_since is None:
            # Another instance was found before this one was missed, so starts in flight never
            # began.
            self.record_unresponsive(state, now)
            state.held_when_unresponsive = tuple(
                (attempt, age_s)
                for attempt, age_s in state.held_when_unresponsive
                if not attempt.is_in_flight
            )
        if not state.held_when_unresponsive:
            return
        blame_by_task = self._attribute(state)
        self._note(state, blame_by_task)
        self._log(state, blame_by_task, now)

    def _attribute(self, state: ExecutorState) -> dict[TaskKey, Blame]:
        """Return the blame for an unresponsive executor; none if it was expected to leave."""
        if state.leaves_at is not None or not state.was_listed_when_unresponsive:
            return {}
        runs = self._list_active_runs(state)
        concurrent = self._list_concurrent_failures(state)
        unexplained = sum(not failure.recently_started_jobs for failure in concurrent)
        in_rack = sum(failure.rack == state.executor.rack for failure in concurrent)
        return attribute_crash(
            runs, unexplained < MIN_CORRELATED_FAILURES and in_rack < MIN_CORRELATED_IN_RACK
        )

    def _list_concurrent_failures(self, state: ExecutorState) -> list[ExecutorFailure]:
        """Return concurrent failures without recent starts of the jobs on this executor."""
        at = state.unresponsive_since
        assert at is not None
        jobs = {attempt.task.job for attempt, _ in state.held_when_unresponsive}
        return [
            failure
            for failure in self._failures
            if failure.instance != state.instance
            and abs(failure.at - at) <= CONCURRENT_S
            and jobs.isdisjoint(failure.recently_started_jobs)
        ]

    def _note(self, state: ExecutorState, blame_by_task: dict[TaskKey, Blame]) -> None:
        """Replace the tasks blamed for an executor's crash."""
        known = self._noted.pop(state.instance, set())
        for key in known | blame_by_task.keys():
            self._set_blame(key, state.instance, blame_by_task.get(key))
        if blame_by_task:
            self._noted[state.instance] = set(blame_by_task)

    def _set_blame(self, key: TaskKey, instance: ExecutorInstance, blame: Blame | None) -> None:
        task = self._find_task(key)
        if task is not None and task.crashes.get(instance) != blame:
            task.set_blame(instance, blame)
            self._on_change(key)

    def _list_active_runs(self, state: ExecutorState) -> list[ActiveRun]:
        """Return the runs that may have been active on an executor when it became unresponsive."""
        return [
            ActiveRun(
                attempt.task,
                attempt.run,
                age_s,
                attempt.seen,
                self._has_outlived_start(attempt),
                attempt.has_begun,
            )
            for attempt, age_s in state.held_when_unresponsive
            if attempt.instance == state.instance and _may_have_begun(attempt)
        ]

    def _has_outlived_start(self, attempt: Attempt) -> bool:
        task = self._find_task(attempt.task)
        return task is not None and task.works

    def _log(self, state: ExecutorState, blame_by_task: dict[TaskKey, Blame], now: float) -> None:
        self._statistics.count("executors_crashed")
        runs = {run.task: run for run in self._list_active_runs(state)}
        log_event(
            "executor.crashed",
            **describe_instance(state.instance),
            runs=len(runs),
            silent_s=round(now - (state.unresponsive_since or now), 3),
            beside=len(self._list_concurrent_failures(state)),
            leaves=state.leaves_at is not None,
            listed=state.was_listed_when_unresponsive,
            blamed=[
                describe_run(task, runs[task].run, state.instance)
                | {"age_s": round(runs[task].age_s, 3), "blame": blame.value}
                for task, blame in blame_by_task.items()
                if task in runs
            ],
        )


def _find_age_s(attempt: Attempt, now: float, works: bool) -> float:
    """Return the time (s) since a run's start was last sent.

    The age of an adopted run is unknown unless its task has outlived a start; then it counts as
    infinite.
    """
    if attempt.sends:
        return now - attempt.sent_at
    return float("inf") if works else now - attempt.ordered_at


def _may_have_begun(attempt: Attempt) -> bool:
    """Whether any send of an attempt's start was, or may have been, carried out."""
    return attempt.seen or attempt.sends > attempt.refused_sends
