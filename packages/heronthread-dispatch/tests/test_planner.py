"""Plans at the larger size: the same with and without what is remembered within one plan."""

import random

import pytest
from heronthread_dispatch.plan import Plan
from heronthread_dispatch.planner import Planner
from heronthread_dispatch.progress import JobState

from benchmarks.planning import DESIRED, NOW, make_executors, make_waiting, occupy

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


class _Forgetful(dict):
    """Remembers nothing, so that each gang is tried."""

    def __setitem__(self, key: object, value: object) -> None:
        return


@pytest.mark.parametrize("seed", range(12))
def test_remembering_what_did_not_fit_changes_no_decision(seed: int) -> None:
    states, jobs = _make(seed, busy=0.25 * (seed % 5))
    usual = Planner(jobs, states, DESIRED, NOW, NOW).make()
    states, jobs = _make(seed, busy=0.25 * (seed % 5))
    planner = Planner(jobs, states, DESIRED, NOW, NOW)
    planner._gangs._too_large = _Forgetful()
    assert _describe(planner.make()) == _describe(usual)


@pytest.mark.parametrize("seed", range(6))
def test_no_plan_overfills_an_executor(seed: int) -> None:
    states, jobs = _make(seed, busy=0.5)
    plan = Planner(jobs, states, DESIRED, NOW, NOW).make()
    left = {state.id: state.free for state in states}
    for group in plan.groups:
        for start in group:
            need = start.step.spec.need
            assert need.fits_in(left[start.executor.id])
            left[start.executor.id] = left[start.executor.id].minus(need)
        assert not group[0].step.spec.gang or len(group) == len(group[0].step.tasks)
