"""Under which tasks executors crashed, and which task is to blame.

An executor that crashes lists no ends, so what ran there is known from this owner's orders alone.
Of several runs, those that had just begun are to blame: a task that crashes whatever starts it does
so at once. Where that can't be told, the next start stands apart, so that the next crash tells.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .events import describe_life, describe_run, log_event
from .fleet import ExecutorState
from .model import Life, TaskKey
from .progress import Attempt, TaskState
from .record import Blame
from .statistics import Statistics

YOUNG_S = 0.5
"""A run that had begun so shortly before its executor fell silent may have crashed it: such tasks
were 0.016 s old at most, what else ran there 0.8 s at least (31 runs of one day)."""
OLD_S = 10.0
"""A run that had worked for so long crashes nothing by being started."""
AT_ONCE_S = 1.0
MANY_AT_ONCE = 2
MANY_OF_A_RACK = 4
"""Where so many other executors fall silent within `AT_ONCE_S` though nothing had just begun there,
or so many of one rack whatever had, power or a switch is as likely a cause as any task."""
MOST_SILENCES = 256
"""Bounds what is remembered: more than fall silent within `AT_ONCE_S` but for a failure domain."""


@dataclass(frozen=True, slots=True)
class RunThere:
    """A run that was at an executor as it fell silent; `age_s` since it was ordered.

    `seen`: a report of the executor has named it. `began`: that, or its start was answered: one
    without an answer may never have reached it. `works`: a run of its task has outlived its start
    by far, so starting it crashes nothing by itself.
    """

    task: TaskKey
    run: int
    age_s: float
    seen: bool
    works: bool = False
    began: bool = True


@dataclass(frozen=True, slots=True)
class Silence:
    """One executor that fell silent at `at` (trio's clock); `young_jobs` had just begun there."""

    at: float
    life: Life
    rack: str
    young_jobs: frozenset[str]


def list_young(runs: Iterable[RunThere]) -> list[RunThere]:
    """Return the runs that had just begun, else those that no report has named yet.

    The latter are all that a late owner can go by: its own delays add to the ages.
    """
    runs = list(runs)
    young = [run for run in runs if run.age_s <= YOUNG_S]
    return young or [run for run in runs if not run.seen]


def judge_crash(runs: Iterable[RunThere], is_alone: bool) -> dict[TaskKey, Blame]:
    """Return who may have crashed an executor; the runs that are left out did not.

    It `is_alone` unless others fell silent with it for no reason that these runs could be.
    """
    runs = list(runs)
    young = list_young(runs)
    if young:
        doubtful = [run for run in young if not run.works] or young
        is_sure = is_alone and len({run.task.job for run in doubtful}) == 1
        return {
            run.task: Blame.BLAMED if is_sure and run.began and not run.works else Blame.SUSPECTED
            for run in doubtful
        }
    if not is_alone or len({run.task.job for run in runs}) > 1:
        return {}
    return {run.task: Blame.SUSPECTED for run in runs if run.age_s < OLD_S}


def has_recent_start(state: ExecutorState, now: float) -> bool:
    """Whether anything at an executor is so young that it would be suspected of a crash there."""
    return any(now - attempt.ordered_at <= YOUNG_S for attempt in state.attempts.values())


def sum_work_at_risk(state: ExecutorState, now: float) -> float:
    """Return the core-seconds that a crash of an executor would cost."""
    return sum((now - a.ordered_at) * a.need.cores for a in state.attempts.values())


class Crashes:
    """The crashes of one owner's term; each stands with its task until the task's job is final.

    A crash is noted as soon as an executor's address takes no connection, so that it outlasts this
    owner, and withdrawn if the same life reports again; that another one does under its id says
    nothing. `note_change` is told of each change.
    """

    def __init__(
        self,
        find_task: Callable[[TaskKey], TaskState | None],
        note_change: Callable[[TaskKey], None],
        statistics: Statistics,
    ) -> None:
        self._find_task = find_task
        self._note_change = note_change
        self._statistics = statistics
        self._silences: deque[Silence] = deque(maxlen=MOST_SILENCES)
        self._noted: dict[Life, set[TaskKey]] = {}

    def restore(self, task: TaskKey, state: TaskState) -> None:
        """Take over the crashes under a task that an earlier owner noted."""
        for life in state.crashes:
            self._noted.setdefault(life, set()).add(task)

    def begin_trial(self, task: TaskKey, life: Life) -> None:
        """Note that a task under which executors crashed is about to be started at another one."""
        self._set(task, life, Blame.ON_TRIAL)
        self._noted.setdefault(life, set()).add(task)

    def end_trial(self, task: TaskKey, life: Life) -> None:
        """Take in that a task has ended at an executor, or works there, without crashing it."""
        state = self._find_task(task)
        if state is not None and state.crashes.get(life) is Blame.ON_TRIAL:
            self._set(task, life, None)
            self._noted.get(life, set()).discard(task)

    def note_silence(self, state: ExecutorState, now: float) -> None:
        """Take in that an executor gives no answer any more, with what is there."""
        state.silent_since = now
        state.listed_at_silence = state.listed
        state.at_silence = tuple(
            (attempt, _find_age_s(attempt, now, self._works(attempt)))
            for attempt in state.attempts.values()
        )
        young = list_young(self._describe(state))
        jobs = frozenset(run.task.job for run in young)
        self._silences.append(Silence(now, state.life, state.executor.rack, jobs))

    def note_down(self, state: ExecutorState) -> None:
        """Note that an executor which fell silent may have crashed, until it reports again.

        To be called as long as it does not: a start that was on its way then may turn out never to
        have begun. One that has not refused a connection may as well be cut off, so nobody is
        blamed. Where this owner had nothing there, what an earlier one noted stands.
        """
        if not state.at_silence:
            return
        blames = self._judge(state)
        if not state.has_refused:
            blames = dict.fromkeys(blames, Blame.SUSPECTED)
        self._note(state, blames)

    def withdraw(self, state: ExecutorState) -> None:
        """Take back what was noted of an executor: the same life has reported again."""
        state.silent_since = None
        state.has_refused = False
        state.at_silence = ()
        self._silences = deque(
            (s for s in self._silences if s.life != state.life), maxlen=MOST_SILENCES
        )
        self._note(state, {})

    def confirm(self, state: ExecutorState, now: float) -> None:
        """Note that a life is over, now that it is known what else went with it.

        Where this owner had nothing there, what an earlier one noted stands.
        """
        if state.silent_since is None:
            # Another life was there before this one was missed, so what is on its way never began.
            self.note_silence(state, now)
            state.at_silence = tuple(
                (attempt, age_s) for attempt, age_s in state.at_silence if not attempt.is_on_its_way
            )
        if not state.at_silence:
            return
        blames = self._judge(state)
        self._note(state, blames)
        self._log(state, blames, now)

    def _judge(self, state: ExecutorState) -> dict[TaskKey, Blame]:
        """Return the blame for an executor that fell silent; none if it was known to leave."""
        if state.leaves_at is not None or not state.listed_at_silence:
            return {}
        runs = self._describe(state)
        beside = self._list_beside(state)
        unexplained = sum(not silence.young_jobs for silence in beside)
        of_rack = sum(silence.rack == state.executor.rack for silence in beside)
        return judge_crash(runs, unexplained < MANY_AT_ONCE and of_rack < MANY_OF_A_RACK)

    def _list_beside(self, state: ExecutorState) -> list[Silence]:
        """Return the others that fell silent at the same time without a run of the same jobs."""
        at = state.silent_since
        assert at is not None
        jobs = {attempt.task.job for attempt, _ in state.at_silence}
        return [
            silence
            for silence in self._silences
            if silence.life != state.life
            and abs(silence.at - at) <= AT_ONCE_S
            and jobs.isdisjoint(silence.young_jobs)
        ]

    def _note(self, state: ExecutorState, blames: dict[TaskKey, Blame]) -> None:
        """Have exactly these tasks blamed for an executor."""
        known = self._noted.pop(state.life, set())
        for key in known | blames.keys():
            self._set(key, state.life, blames.get(key))
        if blames:
            self._noted[state.life] = set(blames)

    def _set(self, key: TaskKey, life: Life, blame: Blame | None) -> None:
        task = self._find_task(key)
        if task is not None and task.crashes.get(life) != blame:
            task.note_crash(life, blame)
            self._note_change(key)

    def _describe(self, state: ExecutorState) -> list[RunThere]:
        """Return what may have run at an executor as it fell silent."""
        return [
            RunThere(
                attempt.task,
                attempt.run,
                age_s,
                attempt.seen,
                self._works(attempt),
                attempt.has_begun,
            )
            for attempt, age_s in state.at_silence
            if attempt.life == state.life and _may_have_begun(attempt)
        ]

    def _works(self, attempt: Attempt) -> bool:
        task = self._find_task(attempt.task)
        return task is not None and task.works

    def _log(self, state: ExecutorState, blames: dict[TaskKey, Blame], now: float) -> None:
        self._statistics.count("executors_crashed")
        runs = {run.task: run for run in self._describe(state)}
        log_event(
            "executor.crashed",
            **describe_life(state.life),
            runs=len(runs),
            silent_s=round(now - (state.silent_since or now), 3),
            beside=len(self._list_beside(state)),
            leaves=state.leaves_at is not None,
            listed=state.listed_at_silence,
            blamed=[
                describe_run(task, runs[task].run, state.life)
                | {"age_s": round(runs[task].age_s, 3), "blame": blame.value}
                for task, blame in blames.items()
                if task in runs
            ],
        )


def _find_age_s(attempt: Attempt, now: float, works: bool) -> float:
    """Return how long ago (s) a run was last told to start.

    One that was taken over is as old as any if it has worked for a while, else its age is not
    known.
    """
    if attempt.sends:
        return now - attempt.sent_at
    return float("inf") if works else now - attempt.ordered_at


def _may_have_begun(attempt: Attempt) -> bool:
    """Whether any send of its start was, or may have been, carried out."""
    return attempt.seen or attempt.sends > attempt.refused_sends
