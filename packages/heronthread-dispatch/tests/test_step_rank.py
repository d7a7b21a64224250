"""Planning order: urgent work, guarantees, lateness, fair shares, and no useless preemption."""

from dataclasses import replace

import pytest
from heronthread_dispatch.learned import LearnedState
from heronthread_dispatch.model import URGENT, JobSpec, Queue, Resources, StepSpec
from heronthread_dispatch.policy import DEFAULT_POLICY
from heronthread_dispatch.progress import make_job
from heronthread_dispatch.step_rank import StepRank, rank_step

NOW = 100.0
URGENT_QUEUE = Queue("u", "h", "/u/", "pool", URGENT, 3, 1.5, 0.3)
ORDINARY_QUEUE = Queue("o", "h", "/o/", "pool", 1, 3, 3.0, 1.0)
WORK_S = 2.0
OBJECTIVE_S = 1.5 * WORK_S + 0.3
LAST_USEFUL_S = 3 * OBJECTIVE_S - WORK_S
BY_LENGTHS = replace(DEFAULT_POLICY, run_lengths=True)


def _rank(
    queue: Queue,
    asked_s_ago: float,
    guaranteed: bool = False,
    hopeless_last: bool = True,
    learned: LearnedState | None = None,
    run_lengths: bool = True,
    share_rank: int = 0,
    **more,
) -> StepRank:
    step = StepSpec(2, Resources(1000, 100, 1), WORK_S, gang=True, **more)
    spec = JobSpec("j", queue, "customer", "", (step,), NOW - asked_s_ago)
    job = make_job(spec, NOW)
    policy = replace(DEFAULT_POLICY, hopeless_last=hopeless_last, run_lengths=run_lengths)
    return rank_step(job, job.steps[0], queue, guaranteed, NOW, NOW, policy, learned, share_rank)


def test_urgent_work_comes_before_ordinary_and_guaranteed_before_other_urgent() -> None:
    guaranteed = _rank(URGENT_QUEUE, 1.0, guaranteed=True)
    urgent = _rank(URGENT_QUEUE, 1.0)
    ordinary = _rank(ORDINARY_QUEUE, 1.0)
    assert guaranteed.sort_key < urgent.sort_key < ordinary.sort_key
    assert (guaranteed.may_preempt, urgent.may_preempt) == (True, True)
    assert not ordinary.may_preempt


@pytest.mark.parametrize(
    ("asked_s_ago", "may_preempt"), [(LAST_USEFUL_S - 0.1, True), (LAST_USEFUL_S + 0.1, False)]
)
def test_urgent_work_that_is_no_longer_useful_preempts_nothing(
    asked_s_ago: float, may_preempt: bool
) -> None:
    rank = _rank(URGENT_QUEUE, asked_s_ago)
    assert rank.may_preempt is may_preempt
    assert (rank.sort_key < _rank(ORDINARY_QUEUE, 1.0).sort_key) is may_preempt


def test_guarantee_does_not_depend_on_lateness() -> None:
    rank = _rank(URGENT_QUEUE, LAST_USEFUL_S + 50.0, guaranteed=True)
    assert rank.may_preempt
    assert rank.sort_key < _rank(URGENT_QUEUE, 0.0).sort_key


def _learn(queue: Queue, ratio: float) -> LearnedState:
    """Return what is learned from completions that took `ratio` times the estimate."""
    learned = LearnedState()
    for number in range(40):
        learned.lengths.note_end("customer", queue.name, 1.0 + number, ratio * (1.0 + number), NOW)
    return learned


@pytest.mark.parametrize("ratio", [0.25, 4.0])
def test_latest_start_rests_on_the_predicted_length(ratio: float) -> None:
    """Guards against an objective, or a rest of the work, that still rests on the estimate."""
    rank = _rank(ORDINARY_QUEUE, 1.0, learned=_learn(ORDINARY_QUEUE, ratio))
    length_s = ratio * WORK_S
    expected = ORDINARY_QUEUE.stretch * length_s + ORDINARY_QUEUE.target_s - length_s - 1.0
    assert rank.latest_start - NOW == pytest.approx(expected, rel=0.03)


def test_predicted_lengths_decide_whether_urgent_work_is_hopeless() -> None:
    """Guards against urgent work that is given up, or preempts, by a wrong estimate."""
    longer = _learn(URGENT_QUEUE, 4.0)
    assert not _rank(URGENT_QUEUE, LAST_USEFUL_S + 1.0).may_preempt
    assert _rank(URGENT_QUEUE, LAST_USEFUL_S + 1.0, learned=longer).may_preempt
    shorter = _learn(URGENT_QUEUE, 0.25)
    assert _rank(URGENT_QUEUE, LAST_USEFUL_S - 1.0).may_preempt
    assert not _rank(URGENT_QUEUE, LAST_USEFUL_S - 1.0, learned=shorter).may_preempt


@pytest.mark.parametrize(("ratio", "is_on"), [(1.0, True), (4.0, False)])
def test_ranks_are_those_of_the_estimates_without_the_switch_or_if_these_are_right(
    ratio: float, is_on: bool
) -> None:
    """Guards against rounded predictions that change the order."""
    learned = _learn(ORDINARY_QUEUE, ratio)
    rank = _rank(ORDINARY_QUEUE, 1.0, learned=learned, run_lengths=is_on)
    assert rank == _rank(ORDINARY_QUEUE, 1.0)


def test_latest_start_of_a_wide_step_rests_on_its_longest_task() -> None:
    """Guards against the typical task of 39, while the job is judged by its longest one.

    The longest of 39 lengths with a spread of 0.2 is expected to be 1.54 times the median.
    """
    step = StepSpec(39, Resources(1, 1, 1), 2.0)
    job = make_job(JobSpec("j", ORDINARY_QUEUE, "customer", "", (step,), NOW), NOW)
    learned, queue = _learn(ORDINARY_QUEUE, 4.0), ORDINARY_QUEUE
    rank = rank_step(job, job.steps[0], queue, False, NOW, NOW, BY_LENGTHS, learned)
    assert rank.latest_start - NOW == pytest.approx(2.0 * 8.0 * 1.54 + 1.0, rel=0.03)


def test_a_chain_of_steps_rests_on_the_predicted_length_of_each() -> None:
    """Guards against the estimate's chain beside predicted steps."""
    steps = (StepSpec(1, Resources(1, 1, 1), 1.0), StepSpec(1, Resources(1, 1, 1), 2.0, (0,)))
    job = make_job(JobSpec("j", ORDINARY_QUEUE, "customer", "", steps, NOW), NOW)
    learned = _learn(ORDINARY_QUEUE, 4.0)
    queue = ORDINARY_QUEUE
    rank = rank_step(job, job.steps[0], queue, False, NOW, NOW, BY_LENGTHS, learned)
    assert rank.latest_start - NOW == pytest.approx(3.0 * 12.0 + 1.0 - 8.0, rel=0.03)


def test_work_that_can_still_be_useful_comes_first() -> None:
    late = _rank(URGENT_QUEUE, LAST_USEFUL_S + 1.0)
    assert _rank(ORDINARY_QUEUE, 0.0).sort_key < late.sort_key
    fills = _rank(ORDINARY_QUEUE, 0.0, fills=True)
    assert late.sort_key < fills.sort_key


@pytest.mark.parametrize("queue", [URGENT_QUEUE, ORDINARY_QUEUE], ids=["urgent", "ordinary"])
def test_customer_above_its_share_comes_last_in_its_priority_and_lateness_class(
    queue: Queue,
) -> None:
    """Guards against a large customer's earlier jobs that delay the small customers' later ones."""
    early_above = _rank(queue, 0.5, share_rank=1)
    late_below = _rank(queue, 0.1)
    assert late_below.sort_key < early_above.sort_key
    assert _rank(queue, 0.5).sort_key < late_below.sort_key


def test_filling_work_of_a_customer_above_its_share_comes_last() -> None:
    above = _rank(ORDINARY_QUEUE, 0.5, share_rank=1, fills=True)
    assert _rank(ORDINARY_QUEUE, 0.1, fills=True).sort_key < above.sort_key


@pytest.mark.parametrize("queue", [URGENT_QUEUE, ORDINARY_QUEUE], ids=["urgent", "ordinary"])
def test_share_does_not_count_within_a_guarantee(queue: Queue) -> None:
    """Guards against a guarantee that is kept late because its customer uses much otherwise."""
    assert _rank(queue, 1.0, guaranteed=True, share_rank=1) == _rank(queue, 1.0, guaranteed=True)
    above = _rank(queue, 1.0, guaranteed=True, share_rank=1)
    assert above.sort_key < _rank(queue, 1.0).sort_key


def test_share_counts_less_than_priority_and_lateness() -> None:
    """Guards against small customers' batch work, or lost work, before work that can be on time."""
    batch = replace(ORDINARY_QUEUE, priority=2)
    assert _rank(ORDINARY_QUEUE, 0.0, share_rank=1).sort_key < _rank(batch, 0.0).sort_key
    late_below = _rank(ORDINARY_QUEUE, 20.0)
    assert _rank(ORDINARY_QUEUE, 0.0, share_rank=1).sort_key < late_below.sort_key
    assert late_below.sort_key < _rank(ORDINARY_QUEUE, 20.0, share_rank=1).sort_key
    urgent_above = _rank(URGENT_QUEUE, 0.0, share_rank=1)
    assert urgent_above.may_preempt
    assert urgent_above.sort_key < _rank(ORDINARY_QUEUE, 0.0).sort_key


@pytest.mark.parametrize(
    ("rank", "place"),
    [
        (_rank(URGENT_QUEUE, 0.0, guaranteed=True), "urgent, within its customer's guarantee"),
        (_rank(URGENT_QUEUE, 2.0), "urgent, outside its customer's guarantee, late"),
        (_rank(ORDINARY_QUEUE, 0.0), "priority 1, can still be on time"),
        (_rank(ORDINARY_QUEUE, 10.0), "priority 1, late, after work that can be on time"),
        (_rank(ORDINARY_QUEUE, 90.0), "priority 1, too late to be of use, after other work"),
        (
            _rank(ORDINARY_QUEUE, 0.0, fills=True),
            "uses idle processor time, after all other work",
        ),
    ],
)
def test_rank_describes_its_place(rank: StepRank, place: str) -> None:
    """Guards against a description that no longer follows the layout of the sort keys."""
    assert rank.describe() == place
