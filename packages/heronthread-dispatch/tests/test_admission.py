"""Decisions to accept or reject a job for load, and the owner's estimate of that load."""

from dataclasses import replace

import pytest
from heronthread_dispatch.admission import (
    MAX_DIGEST_AGE_S,
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    AdmissionReason,
    Admitted,
    Rejected,
    decide_admission,
    spread_retry_after_s,
)
from heronthread_dispatch.fleet import ExecutorState, make_executor_state
from heronthread_dispatch.known_load import AgedDigest
from heronthread_dispatch.learned import LearnedState
from heronthread_dispatch.load_digest import LoadDigest, PoolLoad, PriorityLoad
from heronthread_dispatch.load_estimate import (
    DRAIN_WINDOW_S,
    MIN_ENDS,
    Drain,
    RunEnd,
    estimate_load,
)
from heronthread_dispatch.model import (
    URGENT,
    DesiredState,
    Executor,
    JobSpec,
    Queue,
    Resources,
    Schedule,
    StepSpec,
    Tenant,
)
from heronthread_dispatch.progress import JobState, make_job

ORDINARY = Queue("ordinary", "host", "/ordinary/", "pool", 1, 4, 3.0, 1.0)
URGENT_QUEUE = Queue("urgent", "host", "/urgent/", "pool", URGENT, 4, 1.5, 0.25)
BATCH = Queue("batch", "host", "/batch/", "pool", 2, 4, 3.0, 1.0)
FULL = PriorityLoad(1, waiting=4_000, wait_s=50.0, late_wait_s=60.0)
LAST_USEFUL_S = 11.0
"""Of a job of 1 s in the ordinary queue: three times 4 s, less its length."""


def _make_spec(
    queue: Queue = ORDINARY, count: int = 1, accelerators: int = 8, estimate_s: float = 1.0
) -> JobSpec:
    step = StepSpec(count, Resources(100, 10, accelerators), estimate_s)
    return JobSpec("0123456789abcdef", queue, "first", "", (step,), 0.0)


def _make_known(row: PriorityLoad = FULL, age_s: float = 0.5) -> AgedDigest:
    urgent = replace(row, priority=URGENT)
    load = PoolLoad("pool", 80.0, (urgent, row) if row.priority != URGENT else (row,))
    return AgedDigest(LoadDigest(1, 1, (load,)), age_s)


def _decide(
    spec: JobSpec, known: AgedDigest | None, guaranteed: int = 0, wall_now: float = 0.0
) -> Admitted | Rejected:
    return decide_admission(spec, spec.queue, guaranteed, known, wall_now)


def test_job_that_cannot_begin_while_useful_is_rejected() -> None:
    """Guards against holding a job that can't be served until its time has passed."""
    decision = _decide(_make_spec(), _make_known())
    assert isinstance(decision, Rejected)
    assert decision.expected_wait_s == 60.0
    assert decision.last_useful_s == pytest.approx(LAST_USEFUL_S)
    assert "60.0 s" in str(decision)


def test_job_that_can_still_be_late_is_accepted() -> None:
    """Guards against rejecting work that is late but still worth something to its caller."""
    known = _make_known(replace(FULL, wait_s=LAST_USEFUL_S - 0.5, late_wait_s=LAST_USEFUL_S - 0.1))
    assert _decide(_make_spec(), known) == Admitted(
        AdmissionReason.IN_TIME, pytest.approx(LAST_USEFUL_S - 0.1)
    )


def test_job_expected_to_begin_on_time_is_not_behind_late_work() -> None:
    """Guards against counting late work before a new job, which the plan places first."""
    known = _make_known(replace(FULL, wait_s=1.5, late_wait_s=60.0))
    assert _decide(_make_spec(), known) == Admitted(AdmissionReason.IN_TIME, 1.5)


def test_job_due_before_the_waiting_work_of_its_priority_is_accepted() -> None:
    """Guards against counting long jobs with much slack before a short one."""
    row = replace(FULL, slack_s=40.0)
    better = PriorityLoad(URGENT, wait_s=0.5, late_wait_s=0.5)
    load = PoolLoad("pool", 80.0, (better, row))
    known = AgedDigest(LoadDigest(1, 1, (load,)), 0.5)
    assert _decide(_make_spec(), known) == Admitted(AdmissionReason.IN_TIME, 0.5)


@pytest.mark.parametrize(
    ("known", "reason"),
    [
        (None, AdmissionReason.NO_DIGEST),
        (_make_known(age_s=MAX_DIGEST_AGE_S + 0.01), AdmissionReason.OLD_DIGEST),
        (AgedDigest(LoadDigest(1, 1), 0.5), AdmissionReason.NOT_IN_DIGEST),
        (_make_known(PriorityLoad(2, 9, 50.0, 60.0)), AdmissionReason.NOT_IN_DIGEST),
        (_make_known(replace(FULL, wait_s=None, late_wait_s=None)), AdmissionReason.WAIT_UNKNOWN),
        (_make_known(replace(FULL, room=8)), AdmissionReason.ROOM),
    ],
)
def test_unknown_load_or_room_means_accept(
    known: AgedDigest | None, reason: AdmissionReason
) -> None:
    """Guards against turning callers away on stale, partial or missing news."""
    decision = _decide(_make_spec(), known)
    assert isinstance(decision, Admitted)
    assert decision.reason is reason


def test_jobs_are_exempt_within_the_guarantee_only() -> None:
    """Guards against rejecting guaranteed work, and against exempting all urgent work."""
    known = _make_known()
    within = _decide(_make_spec(URGENT_QUEUE, count=2), known, guaranteed=16)
    assert within == Admitted(AdmissionReason.GUARANTEED, 60.0)
    assert isinstance(_decide(_make_spec(URGENT_QUEUE, count=3), known, 16), Rejected)
    assert isinstance(_decide(_make_spec(ORDINARY, count=2), known, 16), Rejected)


def test_lasting_jobs_and_jobs_without_accelerators_are_accepted() -> None:
    """Guards against judging work that the drain rate says nothing about."""
    spec = _make_spec()
    lasting = replace(spec, steps=(replace(spec.steps[0], lasting=True),))
    for job, reason in [
        (lasting, AdmissionReason.LASTING),
        (_make_spec(accelerators=0), AdmissionReason.NO_ACCELERATORS),
    ]:
        decision = _decide(job, _make_known())
        assert isinstance(decision, Admitted)
        assert decision.reason is reason


def test_scheduled_job_due_after_the_wait_is_accepted() -> None:
    """Guards against rejecting a job for a backlog that is gone before it is due."""
    spec = replace(_make_spec(), schedule=Schedule(1, 1_000.0, 1.0))
    assert isinstance(_decide(spec, _make_known(), wall_now=939.0), Admitted)
    assert isinstance(_decide(spec, _make_known(), wall_now=990.0), Rejected)


def test_typical_length_counts_where_the_estimate_is_too_short() -> None:
    """Guards against rejecting useful work because its caller's estimate is off tenfold."""
    assert isinstance(_decide(_make_spec(estimate_s=0.7), _make_known()), Rejected)
    known = _make_known(replace(FULL, length_s=9.0))
    assert isinstance(_decide(_make_spec(estimate_s=0.7), known), Admitted)


def test_retry_after_is_bounded_and_spread() -> None:
    """Guards against rejected callers that come back in one burst, even after long waits."""
    for drained_in_s in (0.0, 0.5, 7.0, 25.0, 900.0):
        times = [spread_retry_after_s(f"{n:016x}", drained_in_s) for n in range(1_000)]
        assert min(times) >= MIN_RETRY_AFTER_S
        assert max(times) <= MAX_RETRY_AFTER_S
        assert min(times) >= min(drained_in_s, 20.0)
        by_second = [sum(int(t) == second for t in times) for second in range(31)]
        assert max(by_second) < 500
    assert spread_retry_after_s("a", 5.0) == spread_retry_after_s("a", 5.0)


def _make_desired(queues: tuple[Queue, ...] = (URGENT_QUEUE, ORDINARY, BATCH)) -> DesiredState:
    return DesiredState.build(1, list(queues), [Tenant("first", ("key",), 16)], 262_144)


def _make_executors(count: int, free: int = 0) -> list[ExecutorState]:
    found = []
    for number in range(count):
        capacity = Resources(64_000, 262_144, 8)
        executor = Executor(f"e{number}", f"e{number}", "pool", "zone", "r", (), capacity)
        state = make_executor_state(executor, 0.0)
        state.has_reported = state.recorded = True
        state.free = Resources(0, 0, free)
        found.append(state)
    return found


def _make_drain(executors: int = 4, ends: int = 100, now: float = 100.0) -> Drain:
    """Return the drain of a pool that freed 8 accelerators with each end of a task of 1 s."""
    drain = Drain(0.0)
    for second in range(int(now - DRAIN_WINDOW_S) + 1, int(now) + 1):
        drain.note_capacity({"pool": 8 * executors}, float(second))
    for number in range(ends):
        at = now - DRAIN_WINDOW_S + (number + 1) * DRAIN_WINDOW_S / ends
        drain.note_end(RunEnd(at, "pool", 1, 8, 1.0))
    return drain


def _make_waiting(
    queue: Queue, count: int, now: float, age_s: float = 0.0, estimate_s: float = 1.0
) -> list[JobState]:
    jobs = []
    for number in range(count):
        spec = _make_spec(queue, estimate_s=estimate_s)
        spec = replace(spec, id=f"{queue.name}-{number}-{age_s}", accepted_at=now - age_s)
        job = make_job(spec, now)
        job.steps[0].ready_at = now - age_s
        jobs.append(job)
    return jobs


def _estimate(
    jobs: list[JobState], drain: Drain, executors: list[ExecutorState], now: float = 100.0
) -> PoolLoad:
    loads = estimate_load(jobs, executors, _make_desired(), drain, LearnedState(), now, now)
    assert [load.pool for load in loads] == ["pool"]
    return loads[0]


def _find(load: PoolLoad, priority: int) -> PriorityLoad:
    row = load.find(priority)
    assert row is not None
    return row


def test_expected_wait_is_the_work_before_a_job_over_the_drain_rate() -> None:
    """Guards against counting work of lower priority, or late work before on-time work."""
    now = 100.0
    jobs = _make_waiting(ORDINARY, 20, now, age_s=0.5) + _make_waiting(BATCH, 30, now, age_s=0.5)
    jobs += _make_waiting(ORDINARY, 10, now, age_s=6.0)
    load = _estimate(jobs, _make_drain(), _make_executors(4))
    assert load.drain == pytest.approx(80.0)
    assert [row.waiting for row in load.rows] == [0, 240, 240]
    assert _find(load, URGENT).wait_s == 0.0
    assert _find(load, 1).wait_s == pytest.approx(160 / 80)
    assert _find(load, 2).wait_s == pytest.approx((160 + 240) / 80)
    assert _find(load, 1).late_wait_s == pytest.approx((160 + 240 + 80) / 80)
    assert _find(load, 1).length_s == pytest.approx(1.0)


def test_urgent_work_waits_for_urgent_work_only() -> None:
    """Guards against a wait for capacity that urgent work may preempt."""
    now = 100.0
    jobs = _make_waiting(URGENT_QUEUE, 10, now) + _make_waiting(ORDINARY, 30, now)
    load = _estimate(jobs, _make_drain(), _make_executors(4))
    assert _find(load, URGENT).wait_s == pytest.approx(1.0)
    assert _find(load, 1).wait_s == pytest.approx(4.0)


def test_room_that_waiting_work_could_not_use_is_no_room() -> None:
    """Guards against counting capacity that is kept for urgent work, or lacks memory."""
    now = 100.0
    fresh = _estimate(_make_waiting(ORDINARY, 1, now), _make_drain(), _make_executors(4, free=8))
    assert _find(fresh, 1).room == 32
    jobs = _make_waiting(ORDINARY, 1, now, age_s=2.5)
    passed_over = _estimate(jobs, _make_drain(), _make_executors(4, free=8))
    assert _find(passed_over, 1).room == 7
    assert _find(passed_over, URGENT).room == 32


@pytest.mark.parametrize("case", ["young term", "few ends", "growing pool", "empty pool"])
def test_wait_is_unknown_without_a_known_drain(case: str) -> None:
    """Guards against rejecting on a rate that says nothing about the pool as it is now."""
    now = 100.0
    drain = _make_drain(ends=MIN_ENDS - 1 if case == "few ends" else 100)
    if case == "young term":
        drain.since = now - DRAIN_WINDOW_S + 0.5
    elif case == "growing pool":
        drain.note_capacity({"pool": 40}, now)
    elif case == "empty pool":
        drain.note_capacity({}, now)
    load = _estimate(_make_waiting(ORDINARY, 400, now), drain, _make_executors(4))
    assert load.drain is None
    assert _find(load, 1).wait_s is None
    known = AgedDigest(LoadDigest(1, 1, (load,)), 0.5)
    assert isinstance(_decide(_make_spec(), known, wall_now=now), Admitted)


def test_replayed_backlog_is_rejected_and_the_same_with_room_is_not() -> None:
    """Guards against accepting a job behind 50 s of work of a better priority."""
    now = 100.0
    jobs = _make_waiting(ORDINARY, 500, now, estimate_s=20.0)
    load = _estimate(jobs, _make_drain(), _make_executors(4))
    known = AgedDigest(LoadDigest(1, 1, (load,)), 0.5)
    decision = _decide(_make_spec(BATCH), known, wall_now=now)
    assert isinstance(decision, Rejected)
    assert decision.expected_wait_s == pytest.approx(50.0)
    assert decision.retry_after_s >= 20.0
    load = _estimate(jobs[:80], _make_drain(), _make_executors(4))
    known = AgedDigest(LoadDigest(1, 1, (load,)), 0.5)
    assert isinstance(_decide(_make_spec(BATCH), known, wall_now=now), Admitted)
