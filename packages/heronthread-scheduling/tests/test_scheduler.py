"""Queue order, limits, holds and reasons of the cell scheduler."""

from __future__ import annotations

from dataclasses import replace

from heronthread_scheduling import (
    DEFAULT_POLICY,
    Accepted,
    Cause,
    CellScheduler,
    Duplicate,
    Job,
    JobClass,
    Level,
    NotRun,
    Reclaim,
    Shape,
    Start,
    Topology,
    Worker,
)
from heronthread_scheduling.policy import QueueLimits

NORMAL = JobClass("normal")
URGENT = JobClass("urgent", urgent=True)


def make_cell(workers: int = 2, policy=DEFAULT_POLICY, **more) -> CellScheduler:
    topology = Topology(Worker(f"w{i}", f"r{i // 4}", "d", 4, 2) for i in range(workers))
    return CellScheduler(topology, policy=policy, **more)


def make_job(name: str, members: int = 1, units: int = 1, **more) -> Job:
    fields = {"job_class": NORMAL, "expected_s": 10.0, "p95_s": 15.0, "customer": "a", **more}
    adjacency = Level.RACK if members > 1 else Level.WORKER
    return Job(name, shape=Shape(members, units, adjacency), **fields)


def start_ids(decisions) -> list[str]:
    return [d.gang.job.id for d in decisions if isinstance(d, Start)]


def test_submit_twice_is_a_duplicate():
    cell = make_cell()
    assert isinstance(cell.submit(make_job("x"), 0.0), Accepted)
    assert isinstance(cell.submit(make_job("x"), 0.0), Duplicate)


def test_full_queue_rejects_a_job_on_submit():
    cell = make_cell(policy=replace(DEFAULT_POLICY, limits=QueueLimits(per_customer=1)))
    cell.submit(make_job("x"), 0.0)
    refused = cell.submit(make_job("y"), 0.0)
    assert isinstance(refused, NotRun)
    assert refused.reason.cause is Cause.QUEUE_FULL


def test_too_large_job_is_not_run():
    refused = make_cell().submit(make_job("x", members=3, units=4), 0.0)
    assert isinstance(refused, NotRun)
    assert refused.reason.cause is Cause.TOO_LARGE


def test_job_that_can_not_meet_its_deadline_is_not_run():
    cell = make_cell()
    cell.submit(make_job("x", deadline=5.0), 0.0)
    (decision,) = cell.decide(0.0)
    assert isinstance(decision, NotRun)
    assert decision.reason.cause is Cause.DEADLINE


def test_urgent_job_reclaims_the_gang_that_loses_the_least_work():
    cell = make_cell(workers=1)
    cell.submit(make_job("old", units=2), 0.0)
    cell.decide(0.0)
    cell.submit(make_job("new", units=2), 8.0)
    cell.decide(8.0)
    cell.submit(make_job("till", units=2, job_class=URGENT), 9.0)
    (reclaim,) = cell.decide(9.0)
    assert isinstance(reclaim, Reclaim)
    assert [victim.job.id for victim in reclaim.victims] == ["new"]


def test_large_gang_is_not_starved_by_small_jobs():
    cell = make_cell(workers=2, policy=replace(DEFAULT_POLICY, starvation_s=20.0))
    for number in range(8):
        cell.submit(make_job(f"s{number}", expected_s=10.0 + number), 0.0)
    cell.decide(0.0)
    cell.submit(make_job("large", members=2, units=4), 1.0)
    now = 1.0
    for number in range(200):
        now += 1.0
        cell.submit(make_job(f"t{number}"), now)
        running = sorted(cell.gangs.values(), key=lambda gang: gang.end())
        if running and running[0].end() <= now:
            cell.finish(running[0].job.id)
        if "large" in start_ids(cell.decide(now)):
            break
    assert now < 1.0 + 20.0 + 8 * 15.0 + 16.0


def test_short_job_backfills_held_workers():
    cell = make_cell(
        workers=2, policy=replace(DEFAULT_POLICY, critical_fraction=1e9, starvation_s=50.0)
    )
    cell.submit(make_job("a", units=4, expected_s=100, p95_s=120), 0.0)
    cell.decide(0.0)
    cell.submit(make_job("large", members=2, units=4), 1.0)
    cell.decide(60.0)
    cell.submit(make_job("short", expected_s=5, p95_s=6), 61.0)
    cell.submit(make_job("long", expected_s=500, p95_s=600), 61.0)
    assert start_ids(cell.decide(61.0)) == ["short"]
    assert cell.explain("long").cause is Cause.HELD
    assert cell.explain("short").cause is Cause.BACKFILL


def test_large_gang_holds_nothing_while_smaller_jobs_wait():
    cell = make_cell(workers=2, policy=replace(DEFAULT_POLICY, critical_fraction=1e9))
    cell.submit(make_job("a", units=4, expected_s=100, p95_s=120), 0.0)
    cell.decide(0.0)
    cell.submit(make_job("large", members=2, units=4), 1.0)
    for number in range(5):
        cell.submit(make_job(f"s{number}", expected_s=500, p95_s=600), 2.0)
    assert len(start_ids(cell.decide(2.0))) == 4
    assert cell.explain("large").cause is Cause.NO_ROOM


def test_weights_decide_whether_large_gangs_start_first():
    for weights, first in (((2.0, 1.0), "small"), ((1.0, 2.0), "large")):
        completion, fragmentation = weights
        policy = replace(
            DEFAULT_POLICY, completion_weight=completion, fragmentation_weight=fragmentation
        )
        cell = make_cell(workers=2, policy=policy)
        cell.submit(make_job("large", members=2, units=4), 0.0)
        cell.submit(make_job("small"), 0.0)
        assert start_ids(cell.decide(0.0))[0] == first


def test_team_quota_limits_the_units_that_a_team_holds():
    cell = make_cell(quotas={"a/t": 2})
    for number in range(4):
        cell.submit(make_job(f"j{number}", team="a/t"), 0.0)
    assert len(start_ids(cell.decide(0.0))) == 2
    assert cell.team_use["a/t"] == 2


def test_fair_shares_between_customers():
    cell = make_cell(workers=2, shares={"a": 0.5, "b": 0.5})
    for number in range(20):
        cell.submit(make_job(f"a{number}"), 0.0)
        cell.submit(make_job(f"b{number}", customer="b"), 0.0)
    started = start_ids(cell.decide(0.0))
    assert sum(name.startswith("a") for name in started) == 4


def test_compaction_moves_small_gangs_for_a_large_one():
    cell = make_cell(workers=8)
    long = {"expected_s": 5000.0, "p95_s": 6000.0, "checkpointable": True}
    cell.submit(make_job("filler", members=4, units=4, **long), 0.0)
    cell.decide(0.0)
    cell.submit(make_job("small", **long), 1.0)
    cell.decide(1.0)
    cell.finish("filler")
    cell.submit(make_job("first", members=4, units=4, **long), 2.0)
    assert start_ids(cell.decide(2.0)) == ["first"]
    cell.finish("first")
    cell.submit(make_job("blocker", units=2, expected_s=5000.0, p95_s=6000.0), 3.0)
    cell.decide(3.0)
    assert {cell.topology.workers[w].rack for w in cell.gangs["blocker"].places} == {"r1"}
    cell.submit(make_job("large", members=4, units=4), 100.0)
    cell.submit(make_job("other", members=4, units=4), 100.0)
    assert start_ids(cell.decide(100.0)) != []
