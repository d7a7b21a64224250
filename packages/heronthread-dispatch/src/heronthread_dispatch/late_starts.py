"""Tracks start orders without an answer, which may still be carried out late.

An acknowledged stop, or the end of the lease, rules this out for one instance of an executor, but
not for a later instance with the same id. Executors that report no start time (`born`) of their
instance get a new id with each instance, so they are not affected.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

import trio

from .fleet import ExecutorState
from .model import ExecutorInstance, TaskKey, UnresolvedStart
from .step_state import Attempt

MAX_ORDER_DELAY_S = 12.0
"""How long after its send an order without an answer may still be carried out; 2 s to 12 s were
observed."""


@dataclass(frozen=True, slots=True)
class LateStart:
    """A run whose start may still be carried out by any instance with the executor's id.

    `is_inherited` marks the start of an earlier owner, which every instance that has seen this
    owner's token refuses. Its run number is 0 if an earlier version recorded it. `born` is the
    start time of the instance that it was first sent to, 0 if unknown.
    """

    task: TaskKey
    run: int
    is_inherited: bool = False
    born: int = field(default=0, compare=False)


RETRY_REFUSED_S = 0.25
"""How long a task waits after a refusal by the only executor where it may be started."""
NOWHERE = ""
"""Stands for the executor of a task that may not be started anywhere for now."""


class LateStarts:
    """The unanswered starts of one owner by executor id; times are on trio's clock.

    A start is tracked from the time when it is sent. A new instance that has seen no run of a task
    carries out every late start of it, so starts under two numbers must not go unanswered: a start
    is sent only where the start of the run before was refused just now. `_refused_runs` holds, for
    each executor, the instance that refuses old runs, with the highest refused run of each task.

    A run that began late lasts for up to `longest_run_s`, as its deadline is on the clock of
    another instance, and longer if another order extends its lease; `find_last_deadline` returns
    until when one may arrive at an id. It is possible until then, or until the executor reports or
    is known to be gone. `_unreported` are executors with starts of earlier owners that have not
    reported to this one, and `_gone` those whose ids are not used again.
    """

    def __init__(
        self,
        longest_run_s: float = 0.0,
        find_last_deadline: Callable[[str], float] = lambda executor: float("-inf"),
    ) -> None:
        self._longest_run_s = longest_run_s
        self._find_last_deadline = find_last_deadline
        self._until: dict[str, dict[LateStart, float]] = defaultdict(dict)
        self._refused_runs: dict[str, tuple[ExecutorInstance, dict[TaskKey, int]]] = {}
        self._refused_at: dict[TaskKey, float] = {}
        self._unreported: set[str] = set()
        self._gone: set[str] = set()

    def track(self, attempt: Attempt) -> float:
        """Track a send of an attempt's start; return the previous expiry time."""
        if not attempt.instance.born:
            # No other instance can receive it, so there is nothing to wait for.
            return 0.0
        self.list_unresolved(attempt.executor)
        start = LateStart(attempt.task, attempt.run, born=attempt.instance.born)
        known = self._until[attempt.executor]
        before = known.get(start, 0.0)
        self._gone.discard(attempt.executor)
        known[start] = attempt.sent_at + MAX_ORDER_DELAY_S
        return before

    def inherit(
        self, sent: UnresolvedStart, task: TaskKey, until: float, *, is_gone: bool = False
    ) -> None:
        """Track a start of a task that an earlier owner may have left without an answer.

        `is_gone`: that owner knew that the executor is gone, so its id is not used again.
        """
        start = LateStart(task, sent.run, is_inherited=True, born=sent.born)
        self._until[sent.executor][start] = until
        (self._gone if is_gone else self._unreported).add(sent.executor)

    def limit_inherited(self, until: float) -> None:
        """Record that starts of earlier owners are carried out no later than a time."""
        for starts in self._until.values():
            for start, known_until in starts.items():
                if start.is_inherited:
                    starts[start] = min(known_until, until)

    def note_report(self, executor: str, requested_at: float) -> None:
        """Forget the starts that a report lists or rules out: those too old when requested."""
        self._unreported.discard(executor)
        known = self._until.get(executor, {})
        for start in [start for start, until in known.items() if until <= requested_at]:
            del known[start]

    def note_gone(self, executor: str) -> None:
        """Record that an executor is gone, so that its id is not used again."""
        self._unreported.discard(executor)
        if executor in self._until:
            self._gone.add(executor)

    def settle(self, attempt: Attempt, before: float = 0.0) -> None:
        """Remove the last, answered send; `before` restores the expiry time of earlier sends."""
        start, known = LateStart(attempt.task, attempt.run), self._until.get(attempt.executor, {})
        if before:
            known[start] = before
        else:
            known.pop(start, None)

    def mark_refused(self, instance: ExecutorInstance, task: TaskKey, run: int) -> None:
        """Record that an instance refuses the runs of a task up to a number.

        Kept only for tasks with an unresolved start at this executor.
        """
        if not any(start.task == task for start in self.list_unresolved(instance.id)):
            return
        known_life, floors = self._refused_runs.get(instance.id, (instance, {}))
        if known_life != instance:
            floors = {}
        floors[task] = max(run, floors.get(task, 0))
        self._refused_runs[instance.id] = (instance, floors)

    def note_start_refused(self, task: TaskKey) -> None:
        """Record that an executor refused a task just now, so that it is not retried at once."""
        self._refused_at[task] = trio.current_time()

    def find_required_executors(
        self, executors: Mapping[str, ExecutorState], uncertain: Collection[str] = ()
    ) -> dict[TaskKey, str]:
        """Return the only executor at which each task with an unresolved start may be started.

        The instance there refuses the run, and a later instance can carry it out only after this
        one has ended with all its runs. The value is `NOWHERE` while there is no such instance. An
        executor that is leaving or evacuated pins no task once its instance refuses the start. A
        start of an earlier owner pins no task to an executor that reported to this owner and then
        fell silent, unless that is `uncertain`.
        """
        found: dict[TaskKey, str] = {}
        latest = trio.current_time() - RETRY_REFUSED_S
        self._refused_at = {t: at for t, at in self._refused_at.items() if at > latest}
        for name in list(self._until):
            state = executors.get(name)
            is_unreported = name in self._unreported
            is_lost = not _reports(state) and not is_unreported and name not in uncertain
            for start in self._list_possible_runs(name):
                if is_unreported or not start.is_inherited:
                    found[start.task] = NOWHERE
            for start in self.list_unresolved(name):
                is_refused = state is not None and self._is_refused(state, start)
                if is_refused and state is not None and _accepts_no_work(state):
                    continue
                if start.is_inherited and is_lost:
                    continue
                is_stopped = state is not None and self.is_stopped(state, start.task, start.run)
                is_free = is_stopped and start.task not in self._refused_at
                is_only = found.get(start.task, name) == name
                found[start.task] = name if is_free and is_only else NOWHERE
        return found

    def list_tasks(self) -> list[tuple[str, TaskKey]]:
        """Return the tasks with an unresolved start, each with the executor's id."""
        return [
            (executor, start.task)
            for executor in list(self._until)
            for start in self.list_unresolved(executor)
        ]

    def find_open_run(self, task: TaskKey, executor: str) -> int:
        """Return the highest run number of a task's unresolved starts there, 0 if it has none."""
        starts = (start for start in self.list_unresolved(executor) if start.task == task)
        return max((start.run for start in starts), default=0)

    def is_stopped(self, state: ExecutorState, task: TaskKey, run: int) -> bool:
        """Return whether a run was stopped or has ended at the executor's current instance."""
        if not run or not _is_observed(state, task):
            return False
        instance, floors = self._refused_runs.get(state.id, (state.instance, {}))
        return instance == state.instance and run <= floors.get(task, 0)

    def _is_refused(self, state: ExecutorState, start: LateStart) -> bool:
        """Return whether the executor's current instance refuses a start, and has no run of it."""
        if start.is_inherited:
            return _is_observed(state, start.task)
        return self.is_stopped(state, start.task, start.run)

    def find_deadline(self, task: TaskKey) -> float:
        """Return until when a start of a task may be carried out, 0.0 if there is none."""
        ends = (
            until
            for starts in self._until.values()
            for start, until in starts.items()
            if start.task == task
        )
        return max(ends, default=0.0)

    def is_open(self, attempt: Attempt) -> bool:
        """Return whether a start of an attempt may still be carried out by another instance."""
        return trio.current_time() < self.find_open_until(attempt)

    def find_open_until(self, attempt: Attempt) -> float:
        """Return until when another instance may carry out a start of an attempt, 0.0 if none."""
        start = LateStart(attempt.task, attempt.run)
        return self._until.get(attempt.executor, {}).get(start, 0.0)

    def list_open_of_job(self, job: str) -> tuple[frozenset[UnresolvedStart], float]:
        """Return a job's starts whose runs may begin or go on, and until when they may begin."""
        found = {
            UnresolvedStart(
                executor,
                start.task.step,
                start.task.member,
                start.task.occurrence,
                start.run,
                start.born,
            ): until
            for executor in list(self._until)
            for start, until in self._list_known(executor).items()
            if start.task.job == job
        }
        return frozenset(found), max(found.values(), default=trio.current_time())

    def list_ends(self, job: str) -> dict[tuple[str, LateStart], float]:
        """Return until when each start of a job matters at most, by executor and start."""
        return {
            (executor, start): until if executor in self._gone else self._find_end(until, last)
            for executor in list(self._until)
            for last in (self._find_last_deadline(executor),)
            for start, until in self._list_known(executor).items()
            if start.task.job == job
        }

    def _find_end(self, until: float, last_deadline: float) -> float:
        """Return when the run of a start that may begin until a time is over."""
        return max(until, last_deadline) + self._longest_run_s

    def list_unresolved(self, executor: str) -> list[LateStart]:
        """Return the unresolved starts at an executor."""
        now = trio.current_time()
        return [start for start, until in self._list_known(executor).items() if now < until]

    def _list_known(self, executor: str) -> dict[LateStart, float]:
        """Return the starts at an executor, and forget those whose runs are over."""
        now = trio.current_time()
        starts = self._until.pop(executor, {})
        last = self._find_last_deadline(executor)
        known = {s: until for s, until in starts.items() if now < self._find_end(until, last)}
        if known:
            self._until[executor] = known
        else:
            self._refused_runs.pop(executor, None)
            self._unreported.discard(executor)
            self._gone.discard(executor)
        return known

    def _list_possible_runs(self, executor: str) -> list[LateStart]:
        """Return the starts that can't be carried out any more, but whose runs may go on."""
        if executor in self._gone:
            return []
        now = trio.current_time()
        return [start for start, until in self._list_known(executor).items() if until <= now]


def _reports(state: ExecutorState | None) -> bool:
    """Return whether an executor has reported, and still does."""
    if state is None or state.dead:
        return False
    return state.has_reported and state.unresponsive_since is None


def _is_observed(state: ExecutorState, task: TaskKey) -> bool:
    """Return whether an executor reports, and lists no orphaned run of a task."""
    return _reports(state) and all(orphan != task for orphan, _ in state.orphans)


def _accepts_no_work(state: ExecutorState) -> bool:
    """Return whether an executor takes no new work, so that no task can be pinned to it.

    One that answers without an entry is leaving unannounced.
    """
    return state.evacuated or state.leaves_at is not None or not state.listed
