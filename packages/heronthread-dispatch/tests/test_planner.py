"""Plans for larger pools, plans made in parts, and placement of pinned tasks."""

import random
from dataclasses import replace

import pytest
import trio
from heronthread_dispatch.late_starts import NOWHERE
from heronthread_dispatch.model import JobSpec, Resources, StepSpec, TaskKey
from heronthread_dispatch.plan import Plan
from heronthread_dispatch.planner import Planner
from heronthread_dispatch.progress import JobState, make_job
from heronthread_dispatch.step_state import Attempt, Phase

from benchmarks.planning import (
    DESIRED,
    NOW,
    make_executors,
    make_state,
    make_waiting,
    occupy,
)

Choice = tuple[str, int, int, str]


def _make(seed: int, busy: float) -> tuple[list, list[JobState]]:
    source = random.Random(seed)
    states = make_executors(36)
    jobs = make_waiting(80, source)
    jobs += occupy([state for state in states if source.random() < busy], source)
    for state in states:
        if source.random() < 0.1:
            state.slow_until = NOW + 5
    return states, jobs


def _describe(plan: Plan) -> tuple[list[Choice], set[tuple[str, int]]]:
    starts = [
        (start.job.spec.id, start.step.number, start.task.index, start.executor.id)
        for group in plan.groups
        for start in group
    ]
    return starts, {(stop.task.job, stop.task.member) for stop in plan.stops}


class _DiscardingDict(dict):
    """Discards every entry, so that each gang is tried."""

    def __setitem__(self, key: object, value: object) -> None:
        return


@pytest.mark.parametrize("seed", range(12))
def test_caching_gangs_that_did_not_fit_changes_no_decision(seed: int) -> None:
    states, jobs = _make(seed, busy=0.25 * (seed % 5))
    expected = Planner(jobs, states, DESIRED, NOW, NOW).make()
    states, jobs = _make(seed, busy=0.25 * (seed % 5))
    planner = Planner(jobs, states, DESIRED, NOW, NOW)
    planner._gangs._min_unplaceable = _DiscardingDict()
    assert _describe(planner.make()) == _describe(expected)


@pytest.mark.parametrize("seed", range(6))
def test_plan_never_exceeds_an_executors_capacity(seed: int) -> None:
    states, jobs = _make(seed, busy=0.5)
    plan = Planner(jobs, states, DESIRED, NOW, NOW).make()
    left = {state.id: state.free for state in states}
    for group in plan.groups:
        for start in group:
            need = start.step.spec.need
            assert need.fits_in(left[start.executor.id])
            left[start.executor.id] = left[start.executor.id].minus(need)
        assert not group[0].step.spec.gang or len(group) == len(group[0].step.tasks)


def test_interrupted_plan_resumes_where_it_stopped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With a budget of zero each call plans one step; the parts equal a plan made in one call."""
    monkeypatch.setattr(trio, "current_time", lambda: NOW)
    states, jobs = make_state(12, 20, "free", 1)
    whole = _list_starts(Planner(jobs, states, DESIRED, NOW, NOW).make())
    planner = Planner(jobs, states, DESIRED, NOW, NOW)
    parts: list[tuple[str, int, str]] = []
    calls = 0
    while not planner.is_complete or not calls:
        parts += _list_starts(planner.make(budget_s=0.0))
        calls += 1
    assert calls > 10
    assert parts == whole


def test_resumed_plan_applies_changes_since_the_last_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(trio, "current_time", lambda: NOW)
    states, jobs = make_state(12, 20, "free", 1)
    planner = Planner(jobs, states, DESIRED, NOW, NOW)
    started = {job for job, _, _ in _list_starts(planner.make(budget_s=0.0))}
    for state in states:
        state.dead = True
    for job in jobs[:5]:
        job.cancelled = True
    rest = _list_starts(planner.make())
    assert planner.is_complete
    assert rest == [], "nothing is started at executors that are gone"
    assert started


@pytest.mark.parametrize("gang", [False, True])
def test_orphaned_run_counts_against_the_spread_limit_until_it_ends(gang: bool) -> None:
    """An executor that still holds an earlier run of a step with a spread limit of one is full."""
    states = make_executors(3)
    need = Resources(100, 100, 1)
    step = StepSpec(2, need, 1.0, gang=gang, spread_limit=1)
    job = make_job(JobSpec("a", DESIRED.queues[0], "t", "", (step,), NOW), NOW)
    orphan = Attempt(TaskKey("a", 0, 1), 1, states[0].instance, need, NOW, Phase.STOPPING)
    states[0].occupy_orphan(orphan)
    starts = _list_starts(Planner([job], states, DESIRED, NOW, NOW).make())
    assert sorted(executor for _, _, executor in starts) == [states[1].id, states[2].id]
    other = make_job(JobSpec("b", DESIRED.queues[0], "t", "", (step,), NOW), NOW)
    starts = _list_starts(Planner([other], states[:2], DESIRED, NOW, NOW).make())
    assert len(starts) == 2, "a run of another job says nothing of this step"
    starts = _list_starts(Planner([job], states[:2], DESIRED, NOW, NOW).make())
    assert len(starts) == (0 if gang else 1)
    states[0].release(orphan)
    starts = _list_starts(Planner([job], states[:2], DESIRED, NOW, NOW).make())
    assert len(starts) == 2


def _make_pinned(count: int, *, gang: bool = False, **more: object) -> JobState:
    step = StepSpec(count, Resources(100, 100, 1), 1.0, gang=gang, **more)  # type: ignore[arg-type]
    return make_job(JobSpec("a", DESIRED.queues[0], "t", "", (step,), NOW), NOW)


def _plan_pinned(job: JobState, states: list, pins: dict[int, str]) -> dict[int, str]:
    """Return the executor of each started task, given the executors that some are pinned to."""
    keys = {TaskKey("a", 0, index): name for index, name in pins.items()}
    plan = Planner([job], states, DESIRED, NOW, NOW, pins=keys).make()
    return {index: executor for _, index, executor in _list_starts(plan)}


@pytest.mark.parametrize("gang", [False, True])
def test_pinned_task_starts_only_on_its_executor(gang: bool) -> None:
    states = make_executors(4)
    placed = _plan_pinned(_make_pinned(3, gang=gang), states, {1: states[3].id})
    assert placed[1] == states[3].id
    assert len(placed) == 3


@pytest.mark.parametrize("gang", [False, True])
def test_task_pinned_to_no_executor_waits_with_its_gang(gang: bool) -> None:
    placed = _plan_pinned(_make_pinned(3, gang=gang), make_executors(4), {1: NOWHERE})
    assert sorted(placed) == ([] if gang else [0, 2])


@pytest.mark.parametrize("gang", [False, True])
def test_pinned_task_waits_while_its_executor_accepts_none(gang: bool) -> None:
    """An executor in backoff accepts pinned tasks; an unresponsive or full one does not."""
    states = make_executors(4)
    pins = {1: states[3].id}
    states[3].backoff_until = NOW + 5
    assert _plan_pinned(_make_pinned(3, gang=gang), states, pins)[1] == states[3].id
    states[3].unresponsive_since = NOW - 1
    assert 1 not in _plan_pinned(_make_pinned(3, gang=gang), states, pins)
    states[3].unresponsive_since, states[3].free = None, Resources()
    assert 1 not in _plan_pinned(_make_pinned(3, gang=gang), states, pins)


@pytest.mark.parametrize("gang", [False, True])
def test_pinned_task_obeys_pool_label_and_spread_limit(gang: bool) -> None:
    """A later instance of the executor may have other labels or be in another pool."""
    states = make_executors(4)
    pins = {1: states[3].id}
    assert 1 not in _plan_pinned(_make_pinned(3, gang=gang, label="other"), states, pins)
    for state in states[:3]:
        state.executor = replace(state.executor, pool="other")
    states[3].executor = replace(states[3].executor, pool="other")
    assert _plan_pinned(_make_pinned(3, gang=gang), states, pins) == {}
    states = make_executors(4)
    limited = _make_pinned(3, gang=gang, spread_limit=1)
    orphan = Attempt(TaskKey("a", 0, 1), 1, states[3].instance, Resources(), NOW, Phase.STOPPING)
    states[3].occupy_orphan(orphan)
    assert 1 not in _plan_pinned(limited, states, pins)
    states[3].release(orphan)
    placed = _plan_pinned(_make_pinned(3, gang=gang, spread_limit=1), states, pins)
    assert placed[1] == states[3].id
    assert len(set(placed.values())) == len(placed)


def _list_starts(plan: Plan) -> list[tuple[str, int, str]]:
    return [
        (start.job.spec.id, start.task.index, start.executor.id)
        for group in plan.groups
        for start in group
    ]
