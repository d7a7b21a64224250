"""The modelled pool: gangs whole, room respected, work taken back is counted and done again."""

import pytest
from heronthread_dispatch.policy import DEFAULT_POLICY
from heronthread_emulator.load import DrawnJob, JobKind, LoadPattern
from heronthread_emulator.pool_model import PoolModel
from heronthread_emulator.worth import find_objective_s, weigh


def _kind(name: str, priority: int, **more: object) -> JobKind:
    fields = {
        "name": name,
        "per_s": 1.0,
        "priority": priority,
        "stretch": 1.5 if priority == 0 else 3.0,
        "target_s": 0.3,
        "worth": 4.0,
        "late_worth": 0.8,
        "width": 1.0,
        "most_width": 99,
        "work_s": 2.0,
        "most_work_s": 9.0,
        "millicores": 1000,
        "memory_mb": 100,
        "accelerators": [8],
        **more,
    }
    return JobKind.model_validate(fields)


def _job(kind: JobKind, at: float, works_s: tuple[float, ...], **more: object) -> DrawnJob:
    fields = {
        "id": f"{kind.name}-{at:g}",
        "kind": kind,
        "at": at,
        "customer": 0,
        "accelerators": 8,
        "is_gang": True,
        "same_rack": False,
        "checkpoints": False,
        "estimate_s": works_s[0],
        "works_s": works_s,
        "cancel_after_s": None,
        "failing": frozenset(),
        **more,
    }
    return DrawnJob(**fields)  # type: ignore[arg-type]


def _play(jobs: list[DrawnJob], executors: int = 2, **more: object):
    kinds = {job.kind.name: job.kind for job in jobs}
    fields = {"name": "p", "seconds": 40.0, "executors": executors, "kinds": list(kinds.values())}
    pattern = LoadPattern.model_validate({**fields, **more})
    return pattern, PoolModel(pattern, jobs, DEFAULT_POLICY).play()


def test_a_gang_works_as_long_as_its_longest_member() -> None:
    _, outcome = _play([_job(_kind("batch", 1), 1.0, (2.0, 3.0))])
    (job,) = outcome.jobs
    assert job.begun_at == pytest.approx(1.015, abs=0.01)
    assert job.done_at == pytest.approx(job.begun_at + 3.0, abs=0.02)
    assert (outcome.starts, outcome.stops, outcome.lost_core_s) == (2, 0, 0.0)


def test_a_gang_that_does_not_fit_whole_waits() -> None:
    kind = _kind("batch", 1)
    _, outcome = _play([_job(kind, 1.0, (4.0,)), _job(kind, 2.0, (1.0, 1.0))])
    first, second = outcome.jobs
    assert second.begun_at is not None and first.done_at is not None
    assert second.begun_at >= first.done_at


@pytest.mark.parametrize("checkpoints", [False, True])
def test_what_is_taken_back_is_done_again_from_what_it_has_saved(checkpoints: bool) -> None:
    batch = _job(_kind("batch", 1), 1.0, (6.0, 6.0), checkpoints=checkpoints)
    pattern, outcome = _play([batch, _job(_kind("urgent", 0), 3.0, (1.0,))])
    taken, urgent = outcome.jobs
    assert urgent.done_at == pytest.approx(3.0 + 0.2 + 1.0, abs=0.1)
    assert taken.taken_back == 1 and outcome.stops == 2
    assert taken.done_at is not None
    assert taken.done_at == pytest.approx(4.2 + (4.0 if checkpoints else 6.0), abs=0.2)
    assert (outcome.lost_core_s == 0.0) is checkpoints
    assert weigh(pattern, outcome).served == 1.0


def test_a_cancelled_job_is_owed_nothing_and_gives_its_room_back() -> None:
    kind = _kind("batch", 1)
    cancelled = _job(kind, 1.0, (9.0, 9.0), cancel_after_s=2.0)
    pattern, outcome = _play([cancelled, _job(kind, 2.0, (1.0, 1.0))])
    assert outcome.jobs[0].done_at is None
    assert outcome.jobs[1].begun_at == pytest.approx(3.2, abs=0.1)
    assert weigh(pattern, outcome).whole == 1.0


def test_slower_executors_and_several_racks_take_longer() -> None:
    near = _job(_kind("batch", 1), 1.0, (2.0, 2.0))
    _, outcome = _play([near], speeds=[1.0, 1.3])
    assert outcome.jobs[0].done_at == pytest.approx(1.02 + 2.6, abs=0.02)
    assert find_objective_s(outcome.jobs[0]) == pytest.approx(6.3)


def test_the_same_play_repeats() -> None:
    kind = _kind("batch", 1)
    jobs = [_job(kind, 0.5 + 0.3 * n, (2.0,) * (1 + n % 3)) for n in range(12)]
    assert _play(jobs)[1] == _play(jobs)[1]
