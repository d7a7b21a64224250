"""Lengths of runs: what is recorded, what is predicted from it, and what the order gains by it."""

from __future__ import annotations

import gc
import math
import random
import tracemalloc
from dataclasses import replace

import pytest
import trio
from heronthread_dispatch.executor_link import EndKind
from heronthread_dispatch.fleet import ExecutorState
from heronthread_dispatch.learned import LearnedState
from heronthread_dispatch.length_measure import measure_length
from heronthread_dispatch.losses import expected_end_s
from heronthread_dispatch.model import (
    Executor,
    ExecutorInstance,
    JobSpec,
    Queue,
    Resources,
    StepSpec,
    TaskKey,
)
from heronthread_dispatch.policy import DEFAULT_POLICY
from heronthread_dispatch.progress import JobState, make_job
from heronthread_dispatch.run_lengths import (
    HALF_LIFE_S,
    MAX_CUSTOMERS,
    MAX_HALF_LIVES,
    MAX_QUEUES,
    MIN_COMPLETIONS,
    Evidence,
    RunLengths,
)
from heronthread_dispatch.step_lengths import find_remaining_s, predict_step
from heronthread_dispatch.step_rank import rank_step
from heronthread_dispatch.step_state import Attempt, Phase
from heronthread_emulator import EmulatedSite
from heronthread_emulator.executors import WorkSpec

Clock = trio.testing.MockClock
NOW = 100.0
NEED = Resources(1000, 100, 1)
QUEUE = Queue("q", "h", "/q/", "pool", 1, 3, 3.0, 1.0)
MAX_BYTES = 4_000_000
BY_LENGTHS = replace(DEFAULT_POLICY, run_lengths=True)


def _learn(lengths: RunLengths, ends: list[tuple[float, float]], now: float = NOW) -> None:
    """Record pairs of estimate and length (s), each of another customer."""
    for number, (estimate_s, length_s) in enumerate(ends):
        lengths.note_end(f"t{number}", "q", estimate_s, length_s, now)


def _draw_ends(
    source: random.Random, count: int, off: float, tail: float = 0.0
) -> list[tuple[float, float]]:
    """Return ends with lengths around 5 s, estimates up to `off` times too high or too low."""
    found = []
    for _ in range(count):
        length_s = 5.0 * math.exp(source.gauss(0.0, 0.3))
        estimate_s = length_s * off ** source.uniform(-1.0, 1.0)
        found.append((estimate_s, length_s * (7.0 if source.random() < tail else 1.0)))
    return found


def _draw_even_ends(count: int, tail_every: int = 0) -> list[tuple[float, float]]:
    ends = _draw_ends(random.Random(1), count, 10.0)
    for index in range(0, count if tail_every else 0, tail_every or 1):
        estimate_s, length_s = ends[index]
        ends[index] = (estimate_s, 7 * length_s)
    return ends


# Predictions


def test_the_estimate_stands_with_few_completions() -> None:
    """Guards against predictions from fewer than 8 completions."""
    lengths = RunLengths()
    _learn(lengths, [(2.0, 10.0)] * (MIN_COMPLETIONS - 1))
    before = lengths.predict("a", "q", 2.0, NOW)
    assert (before.typical_s, before.high_s, before.evidence) == (2.0, 2.0, Evidence.ESTIMATE)
    _learn(lengths, [(2.0, 10.0)])
    after = lengths.predict("a", "q", 2.0, NOW)
    assert after.evidence is Evidence.LEARNED
    assert after.typical_s == pytest.approx(10.0, rel=0.02)
    assert lengths.predict("a", "other", 2.0, NOW).evidence is Evidence.ESTIMATE


def test_accurate_estimates_are_used_unchanged() -> None:
    """Guards against rounded percentiles that change the order where nothing is to be learned."""
    lengths = RunLengths()
    _learn(lengths, [(1.0 + n * 0.37, 1.0 + n * 0.37) for n in range(50)])
    found = lengths.predict("a", "q", 3.33, NOW)
    assert (found.typical_s, found.high_s) == (3.33, 3.33)


def test_estimates_without_information_are_replaced_by_the_queues_length() -> None:
    """Guards against trust in estimates that are off by up to tenfold either way."""
    lengths = RunLengths()
    _learn(lengths, _draw_ends(random.Random(0), 200, 10.0))
    for estimate_s in (0.5, 5.0, 50.0):
        assert lengths.predict("a", "q", estimate_s, NOW).typical_s == pytest.approx(5.0, rel=0.25)


def test_estimates_that_are_off_by_one_factor_are_corrected() -> None:
    """Guards against a prediction that ignores estimates that tell short from long tasks."""
    lengths = RunLengths()
    _learn(lengths, [(estimate_s, 4 * estimate_s) for estimate_s in (0.5, 1.0, 2.0, 8.0, 30.0)] * 4)
    for estimate_s in (0.7, 25.0):
        found = lengths.predict("a", "q", estimate_s, NOW)
        assert found.typical_s == pytest.approx(4 * estimate_s, rel=0.02)


def test_predictions_are_closer_than_either_predictor_on_its_own() -> None:
    """Guards against weights that do not follow each predictor's past error."""
    source, lengths = random.Random(3), RunLengths()
    _learn(lengths, _draw_ends(source, 300, 2.0))
    errors = [0.0, 0.0, 0.0]
    for estimate_s, length_s in _draw_ends(source, 300, 2.0):
        found = (lengths.predict("a", "q", estimate_s, NOW).typical_s, estimate_s, 5.0)
        for index, predicted_s in enumerate(found):
            errors[index] += abs(math.log(predicted_s / length_s))
    assert errors[0] < 0.95 * min(errors[1:])


def test_a_heavy_tail_does_not_move_the_typical_length() -> None:
    """Guards against means: 3% of the tasks take 7 times as long."""
    plain, heavy = RunLengths(), RunLengths()
    _learn(plain, _draw_even_ends(330))
    _learn(heavy, _draw_even_ends(330, tail_every=33))
    usual = plain.predict("a", "q", 5.0, NOW)
    found = heavy.predict("a", "q", 5.0, NOW)
    assert found.typical_s == pytest.approx(usual.typical_s, rel=0.03)
    assert found.high_s < 1.2 * usual.high_s


def test_evidence_ages_with_its_half_life() -> None:
    """Guards against lengths of an earlier load that outweigh recent ones for long."""
    lengths = RunLengths()
    _learn(lengths, [(1.0, 10.0)] * 100)
    later = NOW + 2 * HALF_LIFE_S
    _learn(lengths, [(1.0, 2.0)] * 30, later)
    assert lengths.predict("a", "q", 1.0, later).typical_s == pytest.approx(2.0, rel=0.02)
    (row,) = lengths.describe(later)
    assert row["recent_ends"] == pytest.approx(55.0, abs=0.2)


def test_old_evidence_is_dropped() -> None:
    """Guards against predictions from runs that ended hours ago, and against count overflow."""
    lengths = RunLengths()
    _learn(lengths, [(1.0, 10.0)] * 8)
    assert lengths.predict("a", "q", 1.0, NOW + HALF_LIFE_S).evidence is Evidence.LEARNED
    much_later = NOW + (MAX_HALF_LIVES + 2.5) * HALF_LIFE_S
    assert lengths.predict("a", "q", 1.0, much_later).evidence is Evidence.ESTIMATE
    _learn(lengths, [(1.0, 2.0)] * 8, much_later)
    assert lengths.predict("a", "q", 1.0, much_later).typical_s == pytest.approx(2.0, rel=0.02)
    assert lengths.describe(much_later)[0]["recent_ends"] == pytest.approx(8.0, abs=0.1)


def test_a_customer_whose_runs_differ_gets_its_own_prediction() -> None:
    """Guards against one prediction for customers whose runs differ steadily."""
    lengths, source = RunLengths(), random.Random(5)
    for number in range(400):
        customer = number % 10
        length_s = (8.0 if customer == 0 else 5.0) * math.exp(source.gauss(0.0, 0.1))
        estimate_s = 5.0 * 10 ** source.uniform(-1.0, 1.0)
        lengths.note_end(f"t{customer}", "q", estimate_s, length_s, NOW)
    own = lengths.predict("t0", "q", 5.0, NOW).typical_s
    assert own == pytest.approx(8.0, rel=0.1)
    assert lengths.predict("t1", "q", 5.0, NOW).typical_s == pytest.approx(5.0, rel=0.1)


def test_one_job_with_many_tasks_is_no_evidence_about_its_customer() -> None:
    """Guards against taking the tasks of one job, which are alike, for independent runs."""
    lengths = RunLengths()
    _learn(lengths, _draw_ends(random.Random(0), 200, 10.0))
    before = lengths.predict("a", "q", 5.0, NOW)
    for _ in range(200):
        lengths.note_end("a", "q", 2.0, 9.0, NOW)
    whole = lengths.predict("b", "q", 5.0, NOW)
    assert lengths.predict("a", "q", 5.0, NOW) == whole
    assert before.typical_s < whole.typical_s


def test_memory_is_bounded() -> None:
    """Guards against more than 4 MB for 790 customers of three queues, or for ever more names."""
    tracemalloc.start()
    lengths = RunLengths()
    for customer in range(790):
        for queue in range(3):
            for end in range(10):
                lengths.note_end(f"t{customer}", f"q{queue}", 1.0 + end, 5.0 + end, NOW)
    size, _ = tracemalloc.get_traced_memory()
    print(f"{size} bytes for 790 customers of 3 queues")
    assert size < MAX_BYTES
    for number in range(2 * MAX_CUSTOMERS):
        for _ in range(10):
            lengths.note_end(f"u{number}", f"q{number % (2 * MAX_QUEUES)}", 1.0, 5.0, NOW)
            lengths.predict(f"u{number}", f"q{number % (2 * MAX_QUEUES)}", 1.0 + number, NOW)
    # Dropped histograms refer to themselves, so that the garbage collector frees them.
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"{size} bytes at the bounds")
    assert size < MAX_BYTES
    assert len(lengths.describe(NOW)) <= MAX_QUEUES


def test_rows_for_operators() -> None:
    """Guards against a view that does not tell how much the estimates count."""
    lengths = RunLengths()
    assert lengths.describe(NOW) == []
    _learn(lengths, _draw_ends(random.Random(0), 100, 10.0))
    (row,) = lengths.describe(NOW)
    assert (row["queue"], row["ends"], row["evidence"]) == ("q", 100, "earlier runs")
    assert row["estimate_share"] < 0.2
    assert row["high_s"] > row["typical_s"] > 4.0


# Remaining times


def _make_run(percent: float = 0.0, tasks: int = 5) -> tuple[JobState, Attempt]:
    spec = JobSpec("j", QUEUE, "a", "", (StepSpec(tasks, NEED, 2.0),), NOW)
    job = make_job(spec, NOW)
    step = job.steps[0]
    key = job.key_of(step, step.tasks[0])
    attempt = Attempt(key, 1, ExecutorInstance("e", ""), NEED, NOW, Phase.RUNNING)
    attempt.began_at = attempt.progressed_at = NOW
    if percent:
        attempt.percent, attempt.progressed_at = percent, NOW + 1.0
    step.tasks[0].attempt = attempt
    return job, attempt


def test_remaining_time_rests_on_the_best_evidence() -> None:
    """Own progress counts before the step's other tasks, and these before the prediction."""
    learned = LearnedState()
    _learn(learned.lengths, [(2.0, 10.0)] * 20)
    job, attempt = _make_run()
    step, now = job.steps[0], NOW + 1.0
    assert find_remaining_s(attempt, step, now, learned) == pytest.approx(9.0, rel=0.03)
    step.ratios.update({1: 2.0, 2: 2.1, 3: 14.0})
    assert find_remaining_s(attempt, step, now, learned) == pytest.approx(3.2)
    attempt.percent, attempt.progressed_at = 50.0, now
    assert find_remaining_s(attempt, step, now, learned) == pytest.approx(1.0)


def test_remaining_time_follows_the_executors_speed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against typical lengths on an executor of twice the typical speed."""
    learned = LearnedState()
    monkeypatch.setattr(type(learned.speeds), "find", lambda self, instance: 2.0)
    job, attempt = _make_run()
    assert find_remaining_s(attempt, job.steps[0], NOW, learned) == pytest.approx(1.0)


def test_a_run_that_outlasts_its_prediction_has_no_known_end() -> None:
    """Guards against a hung run, which makes no progress, that counts as about to end."""
    learned = LearnedState()
    _learn(learned.lengths, [(2.0, 10.0)] * 20)
    job, attempt = _make_run()
    assert find_remaining_s(attempt, job.steps[0], NOW + 20.0, learned) == math.inf
    assert expected_end_s(attempt, NOW + 20.0, job.steps[0], learned) == math.inf


def test_a_run_without_progress_is_expected_to_end_only_with_evidence() -> None:
    """Guards against estimates that decide whether urgent work waits for a run to end."""
    learned = LearnedState()
    job, attempt = _make_run()
    step = job.steps[0]
    assert expected_end_s(attempt, NOW + 1.5, step, learned) == math.inf
    _learn(learned.lengths, [(2.0, 3.0)] * 20)
    assert expected_end_s(attempt, NOW + 1.5, step, learned) == pytest.approx(1.5, rel=0.05)
    assert expected_end_s(attempt, NOW + 1.5) == math.inf


def test_measured_tasks_of_a_step_predict_its_other_tasks() -> None:
    """Guards against the queue's length for a job whose own tasks show another one."""
    learned = LearnedState()
    job, _ = _make_run()
    step = job.steps[0]
    step.ratios.update({1: 2.0, 2: 2.1, 3: 14.0})
    assert predict_step(step, NOW, learned).typical_s == 2.0
    _learn(learned.lengths, [(2.0, 10.0)] * 20)
    assert predict_step(step, NOW, learned).typical_s == pytest.approx(4.2)


# The order


def _count_late(uses_lengths: bool, seed: int) -> int:
    """Return how many of 150 jobs end late on 4 executors, each taking the first by its rank."""
    source, learned = random.Random(seed), LearnedState()
    policy = replace(DEFAULT_POLICY, run_lengths=uses_lengths)
    waiting: list[tuple[JobState, float]] = []
    at = 0.0
    for number in range(150):
        at += source.expovariate(0.9)
        length_s = 5.0 * math.exp(source.gauss(0.0, 0.3))
        step = StepSpec(1, NEED, length_s * 10 ** source.uniform(-1.0, 1.0))
        queue = replace(QUEUE, name=f"q{number % 2}", stretch=2.0 + 2.0 * (number % 2))
        job = make_job(JobSpec(f"j{number}", queue, f"t{number % 7}", "", (step,), at), at)
        waiting.append((job, length_s))
    free_at, ends, late = [0.0] * 4, [], 0
    while waiting:
        now = max(min(free_at), waiting[0][0].spec.accepted_at)
        for ended_at, job, length_s in [end for end in ends if end[0] <= now]:
            ends.remove((ended_at, job, length_s))
            estimate_s, name = job.steps[0].spec.estimate_s, job.spec.queue.name
            learned.lengths.note_end(job.spec.tenant, name, estimate_s, length_s, ended_at)
        ready = [pair for pair in waiting if pair[0].spec.accepted_at <= now]

        def rank(pair: tuple[JobState, float], at: float = now) -> tuple[float, ...]:
            job = pair[0]
            queue = job.spec.queue
            return rank_step(job, job.steps[0], queue, False, at, at, policy, learned).sort_key

        job, length_s = min(ready, key=rank)
        waiting.remove((job, length_s))
        executor = free_at.index(min(free_at))
        free_at[executor] = now + length_s
        ends.append((now + length_s, job, length_s))
        objective_s = job.spec.queue.stretch * length_s + job.spec.queue.target_s
        late += now + length_s - job.spec.accepted_at > objective_s
    return late


def test_fewer_jobs_are_late_by_predicted_than_by_estimated_latest_start() -> None:
    """Guards against an order by estimates that are off by up to tenfold, job by job.

    Two queues of equal lengths with other objectives share four executors at 1.1 times their
    capacity.
    """
    predicted = [_count_late(True, seed) for seed in range(8)]
    estimated = [_count_late(False, seed) for seed in range(8)]
    print(predicted, estimated)
    assert sum(predicted) < 0.85 * sum(estimated)


# What is recorded


def _make_ended(count: int = 1, gang: bool = False, **more: object) -> tuple[JobState, list, dict]:
    step = StepSpec(count, NEED, 2.0, gang=gang, **more)  # type: ignore[arg-type]
    job = make_job(JobSpec("j", QUEUE, "a", "", (step,), NOW), NOW)
    executors, attempts = {}, []
    for task in job.steps[0].tasks:
        name = f"e{task.index}"
        executor = Executor(name, name, "pool", "z", f"r{task.index}", (), NEED)
        executors[name] = ExecutorState(executor, free=NEED)
        key = job.key_of(job.steps[0], task)
        attempt = Attempt(key, 1, executors[name].instance, NEED, NOW, Phase.RUNNING)
        attempt.sends, attempt.sent_at, attempt.progressed_at = 1, NOW, NOW + 5.5
        attempts.append(attempt)
    return job, attempts, executors


def _measure(job: JobState, attempts: list, executors: dict) -> float | None:
    learned = LearnedState()
    return measure_length(job.steps[0], attempts, executors, learned, 3.0, NOW + 6.0)


def test_a_run_is_measured_from_its_start() -> None:
    assert _measure(*_make_ended()) == pytest.approx(6.0)


def test_a_gang_works_from_the_start_of_its_last_member() -> None:
    """Guards against the wait of the first members, which work only once all are there."""
    job, attempts, executors = _make_ended(3, gang=True)
    attempts[1].sent_at = NOW + 2.0
    assert _measure(job, attempts, executors) == pytest.approx(4.0)
    assert _measure(job, attempts[:2], executors) is None


def test_the_length_of_a_run_away_from_its_data_is_corrected() -> None:
    """Guards against lengths three times too long, of runs away from data or over racks."""
    assert _measure(*_make_ended(data_rack="r9")) == pytest.approx(2.0)
    assert _measure(*_make_ended(data_rack="r0")) == pytest.approx(6.0)
    assert _measure(*_make_ended(2, gang=True, same_rack=True)) == pytest.approx(2.0)


def test_the_length_of_a_run_is_corrected_for_its_executors_speed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A gang is as slow as its slowest member, so that one speed counts."""
    speeds = {"e0": 2.0, "e1": 0.5, "e2": None}
    kind = type(LearnedState().speeds)
    monkeypatch.setattr(kind, "find", lambda self, instance: speeds[instance.id])
    assert _measure(*_make_ended()) == pytest.approx(12.0)
    assert _measure(*_make_ended(3, gang=True)) == pytest.approx(3.0)


@pytest.mark.parametrize(
    "change",
    [
        {"sends": 0},
        {"sends": 2},
        {"unanswered": 1},
        {"refused_sends": 1},
        {"is_resumed": True},
        {"progressed_at": NOW + 3.0},
    ],
)
def test_a_run_of_unknown_length_is_not_recorded(change: dict[str, float]) -> None:
    """Guards against lengths that are too short (adopted, resumed, sent again) or too long.

    A run without progress for 3 s ended before its report came.
    """
    job, attempts, executors = _make_ended()
    for name, value in change.items():
        setattr(attempts[0], name, value)
    assert _measure(job, attempts, executors) is None


async def test_completions_of_a_cell_are_recorded(autojump_clock: Clock) -> None:
    """Guards against completions that are discarded, and against a gang that counts as several."""
    async with EmulatedSite.open(hosts=1, policy=BY_LENGTHS) as site:
        host = site.hosts[await site.wait_for_owner()]
        await host.requests.accept(site.make_job("a", count=3, work_s=1.5), 2.0)
        await host.requests.accept(site.make_job("b", count=3, work_s=1.5, gang=True), 2.0)
        await trio.sleep(6.0)
        (row,) = host.owner.cell.learned.lengths.describe(trio.current_time())
    assert (row["queue"], row["ends"]) == ("ordinary", 4)
    assert row["typical_s"] == pytest.approx(1.5, abs=0.15)


async def test_nothing_is_recorded_with_the_switch_off(autojump_clock: Clock) -> None:
    policy = replace(DEFAULT_POLICY, run_lengths=False)
    async with EmulatedSite.open(hosts=1, policy=policy) as site:
        host = site.hosts[await site.wait_for_owner()]
        await host.requests.accept(site.make_job("a", count=3, work_s=1.0), 2.0)
        await trio.sleep(4.0)
        assert host.owner.cell.jobs["a"].is_done
        assert host.owner.cell.learned.lengths.describe(trio.current_time()) == []


async def test_a_stopped_run_is_not_recorded(autojump_clock: Clock) -> None:
    """Guards against lengths of runs that were cut short."""
    async with EmulatedSite.open(hosts=1, policy=BY_LENGTHS) as site:
        host = site.hosts[await site.wait_for_owner()]
        record = site.make_job("a", work_s=5.0)
        await host.requests.accept(record, 2.0)
        await trio.sleep(1.5)
        assert site.executors.starts(TaskKey("a", 0, 0))
        await host.requests.cancel("a", "first", 2.0)
        await trio.sleep(3.0)
        assert not host.owner.cell.jobs["a"].has_attempts
        assert host.owner.cell.learned.lengths.describe(trio.current_time()) == []


async def test_a_failed_run_is_not_recorded(autojump_clock: Clock) -> None:
    """Guards against lengths of runs that did not do their work."""
    async with EmulatedSite.open(hosts=1, policy=BY_LENGTHS) as site:
        host = site.hosts[await site.wait_for_owner()]
        record = site.make_job("a", work_s=1.0)
        site.executors.specs["a"] = {0: WorkSpec(NEED, 1.0, 1, EndKind.FAILED)}
        await host.requests.accept(record, 2.0)
        await trio.sleep(12.0)
        assert host.owner.cell.jobs["a"].failed
        assert host.owner.cell.learned.lengths.describe(trio.current_time()) == []


async def test_a_takeover_starts_without_lengths_and_ignores_adopted_runs(
    autojump_clock: Clock,
) -> None:
    """The owner is killed 3 s into a run of 5 s; the next one sees only its last 2 s.

    Guards against a length that is too short, and against predictions before 8 completions.
    """
    async with EmulatedSite.open(hosts=3, policy=BY_LENGTHS) as site:
        owner = await site.wait_for_owner()
        other = next(host for name, host in site.hosts.items() if name != owner)
        for number in range(MIN_COMPLETIONS):
            await other.requests.accept(site.make_job(f"j{number}", work_s=1.0), 2.0)
        await trio.sleep(4.0)
        (row,) = site.hosts[owner].owner.cell.learned.lengths.describe(trio.current_time())
        assert row["ends"] == MIN_COMPLETIONS
        await other.requests.accept(site.make_job("a", work_s=5.0), 2.0)
        await trio.sleep(3.0)
        site.kill_host(owner)
        cell = site.hosts[await site.wait_for_owner()].owner.cell
        await trio.sleep(4.0)
        assert cell.jobs["a"].is_done
        assert len(site.executors.starts(TaskKey("a", 0, 0))) == 1
        assert cell.learned.lengths.describe(trio.current_time()) == []
        found = cell.learned.lengths.predict("first", "ordinary", 9.0, trio.current_time())
        assert (found.typical_s, found.evidence) == (9.0, Evidence.ESTIMATE)
