"""Selection of attempts to stop, compared with an exhaustive greedy search."""

import random

from heronthread_dispatch.fleet import ExecutorState
from heronthread_dispatch.losses import Losses
from heronthread_dispatch.model import (
    URGENT,
    DesiredState,
    Executor,
    JobSpec,
    Queue,
    Resources,
    StepSpec,
    TaskKey,
)
from heronthread_dispatch.offers import Offer, Scope
from heronthread_dispatch.plan import Candidate
from heronthread_dispatch.progress import JobState, make_job
from heronthread_dispatch.step_rank import StepRank
from heronthread_dispatch.step_state import Attempt, Phase
from heronthread_dispatch.victim_selection import VictimSelector

NOW = 100.0
URGENT_QUEUE = Queue("urgent", "h", "/u/", "pool", URGENT, 2, 1.5, 0.25)
BATCH = Queue("batch", "h", "/b/", "pool", 2, 3, 3.0, 3.0)
DESIRED = DesiredState.build(1, [URGENT_QUEUE, BATCH], [], 1)
CAPACITY = Resources(8_000, 8_000, 8)


def _make_offer(number: int) -> Offer:
    executor = Executor(f"e{number}", f"e{number}", "pool", "z", "r", (), CAPACITY)
    state = ExecutorState(executor, free=CAPACITY)
    return Offer(state, state.free, state.free, number)


def _run(offer: Offer, name: str, accelerators: int, ran_s: float, percent: float) -> JobState:
    need = Resources(100, 100, accelerators)
    job = make_job(JobSpec(name, BATCH, "t", "", (StepSpec(1, need, 8.0),), 0.0), NOW)
    attempt = Attempt(
        TaskKey(name, 0, 0), 1, offer.state.instance, need, NOW - ran_s, Phase.RUNNING
    )
    attempt.began_at, attempt.progressed_at, attempt.percent = NOW - ran_s, NOW, percent
    job.steps[0].tasks[0].attempt = attempt
    offer.state.occupy(attempt)
    offer.free = offer.projected = offer.state.free
    return job


def _make_candidate(count: int, accelerators: int, *, gang: bool = True) -> Candidate:
    step = StepSpec(count, Resources(100, 100, accelerators), 2.5, gang=gang)
    job = make_job(JobSpec("urgent", URGENT_QUEUE, "t", "", (step,), NOW), NOW)
    job.steps[0].ready_at = NOW
    tasks = job.steps[0].tasks
    return Candidate(job, job.steps[0], URGENT_QUEUE, tasks, False, StepRank((0.0,), NOW, True))


def _find_victims(
    jobs: list[JobState], candidate: Candidate, offers: list[Offer], stop_s: float = 0.9
):
    losses = Losses(jobs, DESIRED, set(), NOW, set(), stop_s)
    return VictimSelector(losses, NOW).find_victims(candidate, len(candidate.tasks), Scope(offers))


def test_attempt_with_least_work_is_stopped() -> None:
    offers = [_make_offer(0), _make_offer(1)]
    jobs = [_run(offers[0], "old", 8, 6.0, 40.0), _run(offers[1], "young", 8, 1.0, 10.0)]
    found = _find_victims(jobs, _make_candidate(1, 8), offers)
    assert found is not None
    assert [attempt.task.job for attempt in found[1]] == ["young"]
    assert found[2] == [offers[1]]


def test_attempt_that_ends_before_a_stop_is_waited_for() -> None:
    offers = [_make_offer(0), _make_offer(1)]
    jobs = [_run(offers[0], "nearly done", 8, 9.0, 93.0), _run(offers[1], "young", 8, 1.0, 10.0)]
    cost, stopped, chosen = _find_victims(jobs, _make_candidate(1, 8), offers, stop_s=0.9) or (
        1.0,
        [],
        [],
    )
    assert (cost, stopped, chosen) == (0.0, [], [offers[0]])
    found = _find_victims(jobs, _make_candidate(1, 8), offers, stop_s=0.1)
    assert found is not None and [attempt.task.job for attempt in found[1]] == ["young"]


def test_ending_attempt_is_not_also_counted_as_stopped() -> None:
    """Four accelerators become free anyway, so the other four must come from the longer run."""
    offer = _make_offer(0)
    jobs = [_run(offer, "nearly done", 4, 1.0, 60.0), _run(offer, "stays", 4, 6.0, 40.0)]
    found = _find_victims(jobs, _make_candidate(1, 8), [offer], stop_s=0.9)
    assert found is not None and [attempt.task.job for attempt in found[1]] == ["stays"]
    jobs = [_run(_make_offer(1), "elsewhere", 8, 1.0, 10.0), *jobs]
    assert _find_victims(jobs, _make_candidate(2, 8), [offer], stop_s=0.9) is None


def test_stopped_attempt_is_not_also_counted_as_ending() -> None:
    offer = _make_offer(0)
    jobs = [_run(offer, "nearly done", 4, 1.0, 60.0), _run(offer, "stays", 4, 6.0, 40.0)]
    stopped = jobs[0].steps[0].tasks[0].attempt
    assert stopped is not None
    offer.add_pending_stop(stopped.need)
    offer.allocate(stopped.need)  # for the task it is stopped for
    losses = Losses(jobs, DESIRED, set(), NOW, {id(stopped)}, 0.9)
    candidate = _make_candidate(1, 4)
    found = VictimSelector(losses, NOW).find_victims(candidate, 1, Scope([offer]))
    assert found is not None and [attempt.task.job for attempt in found[1]] == ["stays"]


def test_nothing_is_stopped_for_a_gang_that_would_not_fit() -> None:
    offers = [_make_offer(0), _make_offer(1)]
    jobs = [_run(offers[0], "a", 8, 6.0, 40.0), _run(offers[1], "b", 8, 1.0, 10.0)]
    assert _find_victims(jobs, _make_candidate(3, 8), offers) is None
    some = _find_victims(jobs, _make_candidate(3, 8, gang=False), offers)
    assert some is not None and len(some[2]) == 2


def _find_min_loss(offers: list[Offer], count: int, need: Resources) -> float | None:
    """Return the least work lost so that `count` tasks fit, by trying every executor."""
    projected = {offer.state.id: offer.projected for offer in offers}
    gone: set[int] = set()
    total = 0.0
    for _ in range(count):
        best: tuple[float, Offer, list[Attempt]] | None = None
        for offer in offers:
            left, cost, taken = projected[offer.state.id], 0.0, []
            runs = [a for a in offer.state.attempts.values() if id(a) not in gone]
            runs.sort(key=lambda a: (NOW - (a.began_at or NOW)) * a.need.cores)
            while not need.fits_in(left) and runs:
                attempt = runs.pop(0)
                taken.append(attempt)
                left = left.plus(attempt.need)
                cost += 0.01 + (NOW - (attempt.began_at or NOW)) * attempt.need.cores
            if need.fits_in(left) and (best is None or cost < best[0]):
                best = (cost, offer, taken)
        if best is None:
            return None
        total += best[0]
        gone |= {id(attempt) for attempt in best[2]}
        offer = best[1]
        for attempt in best[2]:
            projected[offer.state.id] = projected[offer.state.id].plus(attempt.need)
        projected[offer.state.id] = projected[offer.state.id].minus(need)
    return total


def test_selection_equals_trying_every_executor_for_each_task() -> None:
    source = random.Random(5)
    for trial in range(60):
        offers = [_make_offer(number) for number in range(6)]
        jobs = []
        for offer in offers:
            while offer.projected.accelerators >= 4 and source.random() < 0.9:
                size = source.choice((1, 2, 4))
                jobs.append(_run(offer, f"{trial}-{len(jobs)}", size, source.uniform(0.1, 7), 5.0))
        candidate = _make_candidate(source.randint(1, 6), source.choice((2, 4, 8)))
        found = _find_victims(jobs, candidate, offers, stop_s=0.0)
        least = _find_min_loss(offers, len(candidate.tasks), candidate.step.spec.need)
        assert (found is None) == (least is None)
        if found is not None and least is not None:
            assert abs(found[0] - least) < 1e-6
