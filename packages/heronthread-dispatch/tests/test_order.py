"""Whose turn it is: urgent first, guaranteed before other, no stops for what is worth nothing."""

from dataclasses import replace

import pytest
from heronthread_dispatch.model import URGENT, JobSpec, Queue, Resources, StepSpec
from heronthread_dispatch.order import Turn, rank_step
from heronthread_dispatch.policy import DEFAULT_POLICY
from heronthread_dispatch.progress import make_job

NOW = 100.0
URGENT_QUEUE = Queue("u", "h", "/u/", "pool", URGENT, 3, 1.5, 0.3)
ORDINARY_QUEUE = Queue("o", "h", "/o/", "pool", 1, 3, 3.0, 1.0)
WORK_S = 2.0
OBJECTIVE_S = 1.5 * WORK_S + 0.3
LAST_USEFUL_S = 3 * OBJECTIVE_S - WORK_S


def _rank(
    queue: Queue, asked_s_ago: float, guaranteed: bool = False, hopeless_last: bool = True, **more
) -> Turn:
    step = StepSpec(2, Resources(1000, 100, 1), WORK_S, gang=True, **more)
    spec = JobSpec("j", queue, "customer", "", (step,), NOW - asked_s_ago)
    job = make_job(spec, NOW)
    policy = replace(DEFAULT_POLICY, hopeless_last=hopeless_last)
    return rank_step(job, job.steps[0], queue, guaranteed, NOW, NOW, policy)


def test_urgent_work_comes_before_ordinary_and_guaranteed_before_other_urgent() -> None:
    guaranteed = _rank(URGENT_QUEUE, 1.0, guaranteed=True)
    urgent = _rank(URGENT_QUEUE, 1.0)
    ordinary = _rank(ORDINARY_QUEUE, 1.0)
    assert guaranteed.order < urgent.order < ordinary.order
    assert (guaranteed.may_take_back, urgent.may_take_back) == (True, True)
    assert not ordinary.may_take_back


@pytest.mark.parametrize(
    ("asked_s_ago", "may_take_back"), [(LAST_USEFUL_S - 0.1, True), (LAST_USEFUL_S + 0.1, False)]
)
def test_urgent_work_that_earns_nothing_any_more_takes_nothing_back(
    asked_s_ago: float, may_take_back: bool
) -> None:
    turn = _rank(URGENT_QUEUE, asked_s_ago)
    assert turn.may_take_back is may_take_back
    assert (turn.order < _rank(ORDINARY_QUEUE, 1.0).order) is may_take_back


def test_a_guarantee_holds_whatever_the_time_is() -> None:
    turn = _rank(URGENT_QUEUE, LAST_USEFUL_S + 50.0, guaranteed=True)
    assert turn.may_take_back
    assert turn.order < _rank(URGENT_QUEUE, 0.0).order


def test_what_can_still_be_useful_comes_before_what_cannot() -> None:
    late = _rank(URGENT_QUEUE, LAST_USEFUL_S + 1.0)
    assert _rank(ORDINARY_QUEUE, 0.0).order < late.order
    fills = _rank(ORDINARY_QUEUE, 0.0, fills=True)
    assert late.order < fills.order
