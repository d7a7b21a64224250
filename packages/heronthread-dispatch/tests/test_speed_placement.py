"""Placement by learned speeds: who gets the fast executors, and what stays as it was."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

import pytest
from heronthread_dispatch.executor_speeds import ExecutorSpeeds, SpeedGroup
from heronthread_dispatch.fleet import ExecutorState
from heronthread_dispatch.gangs import GangPlacer
from heronthread_dispatch.learned import LearnedState
from heronthread_dispatch.model import (
    URGENT,
    DesiredState,
    Executor,
    ExecutorInstance,
    JobSpec,
    Queue,
    Resources,
    StepSpec,
    TaskKey,
    Tenant,
)
from heronthread_dispatch.offers import make_offers
from heronthread_dispatch.plan import Plan
from heronthread_dispatch.planner import Planner
from heronthread_dispatch.policy import DEFAULT_POLICY, Policy
from heronthread_dispatch.progress import JobState, make_job
from heronthread_dispatch.speed_placement import SpeedPlacement, SpeedWish
from heronthread_dispatch.spread import SpreadAccount
from heronthread_dispatch.step_state import Attempt, Phase
from heronthread_emulator.load import LoadPattern, draw_jobs
from heronthread_emulator.pool_model import PoolModel

NOW = 100.0
CAPACITY = Resources(64_000, 262_144, 8)
URGENT_QUEUE = Queue("urgent", "h", "/u/", "pool", URGENT, 3, 1.5, 0.25)
BATCH_QUEUE = Queue("batch", "h", "/b/", "pool", 2, 3, 3.0, 3.0)
DESIRED = DesiredState.build(1, [URGENT_QUEUE, BATCH_QUEUE], [Tenant("t", ())], 1)
OFF = replace(DEFAULT_POLICY, executor_speeds=False)


class _Pool:
    """Executors `e0`, `e1` ... in racks of `rack`; `speeds` names their true speeds in turn."""

    def __init__(self, speeds: list[float], rack: int = 100) -> None:
        self.states = [self._make_state(n, f"r{n // rack}") for n in range(len(speeds))]
        self.learned = LearnedState()
        by_instance = dict(zip((s.instance for s in self.states), speeds, strict=True))
        self.learned.speeds = learn(by_instance)

    def _make_state(self, number: int, rack: str) -> ExecutorState:
        name = f"e{number}"
        executor = Executor(name, name, "pool", "z", rack, ("k", rack), CAPACITY, born=1)
        state = ExecutorState(executor, free=CAPACITY)
        state.has_reported = state.recorded = True
        return state

    def fill(self, numbers: Iterable[int], accelerators: int = 8) -> JobState:
        """Run batch work on some executors."""
        numbers = list(numbers)
        step = StepSpec(len(numbers), Resources(1000, 1000, accelerators), 60.0)
        job = make_job(JobSpec("f", BATCH_QUEUE, "t", "", (step,), NOW - 1), NOW)
        for task, number in zip(job.steps[0].tasks, numbers, strict=True):
            state = self.states[number]
            attempt = Attempt(
                TaskKey("f", 0, task.index), 1, state.instance, step.need, NOW - 1, Phase.RUNNING
            )
            attempt.began_at = attempt.progressed_at = NOW - 1
            task.attempt = attempt
            state.occupy(attempt)
        return job

    def plan(self, *jobs: JobState, policy: Policy = DEFAULT_POLICY) -> Plan:
        return Planner(
            jobs, self.states, DESIRED, NOW, NOW, policy=policy, learned=self.learned
        ).make()

    def place(self, *jobs: JobState, policy: Policy = DEFAULT_POLICY) -> dict[str, list[str]]:
        """Return the executors on which a plan starts each job."""
        found: dict[str, list[str]] = {}
        for group in self.plan(*jobs, policy=policy).groups:
            found.setdefault(group[0].job.spec.id, []).extend(s.executor.id for s in group)
        return found


def learn(speeds: Mapping[ExecutorInstance, float]) -> ExecutorSpeeds:
    """Return what gangs over all executors have shown of their speeds."""
    learned = ExecutorSpeeds()
    instances = sorted(speeds)
    for number in range(4 * len(instances)):
        at = NOW - 30 + number * 10 / len(instances)
        for offset in range(5):
            instance = instances[(number * 3 + offset) % len(instances)]
            step = TaskKey(f"l{number}", 0, 0)
            learned.note("pool", step, instance, 10 * speeds[instance], at)
    return learned


def _job(name: str, queue: Queue, count: int, accelerators: int = 8, **more: object) -> JobState:
    fields = {"gang": True, **more}
    step = StepSpec(count, Resources(1000, 1000, accelerators), 8.0, **fields)  # type: ignore[arg-type]
    return make_job(JobSpec(name, queue, "t", "", (step,), NOW), NOW)


def _urgent(name: str, count: int, accelerators: int = 8, **more: object) -> JobState:
    return _job(name, URGENT_QUEUE, count, accelerators, **more)


def _batch(name: str, count: int, accelerators: int = 8, **more: object) -> JobState:
    return _job(name, BATCH_QUEUE, count, accelerators, **more)


MIXED = [1.0, 1.0, 2.15, 1.0, 1.0, 2.15, 1.0, 1.0, 2.15, 1.0, 1.0, 2.15]
FAST_IDS = {"e2", "e5", "e8", "e11"}


def test_an_urgent_gang_takes_fast_executors() -> None:
    """On a typical executor it would be late from its start."""
    pool = _Pool(MIXED)
    assert set(pool.place(_urgent("u", 4))["u"]) == FAST_IDS
    assert set(pool.place(_urgent("u", 4), policy=OFF)["u"]) != FAST_IDS


def test_an_urgent_gang_that_can_not_be_all_fast_leaves_fast_executors() -> None:
    """Its fast members would wait for the others."""
    pool = _Pool(MIXED)
    assert not FAST_IDS & set(pool.place(_urgent("u", 6))["u"])


def test_an_urgent_gang_that_fits_in_no_other_way_is_mixed() -> None:
    pool = _Pool(MIXED)
    placed = pool.place(_urgent("u", 10))["u"]
    assert len(placed) == 10 and len(FAST_IDS & set(placed)) == 2


@pytest.mark.parametrize("is_gang", [True, False])
def test_work_with_slack_leaves_fast_executors(is_gang: bool) -> None:
    pool = _Pool(MIXED)
    placed = pool.place(_batch("b", 8, gang=is_gang))["b"]
    assert len(placed) == 8 and not FAST_IDS & set(placed)


@pytest.mark.parametrize("is_gang", [True, False])
def test_no_capacity_stays_idle_for_speed(is_gang: bool) -> None:
    """With only fast executors free, ordinary work takes them."""
    pool = _Pool(MIXED)
    running = pool.fill(n for n in range(12) if f"e{n}" not in FAST_IDS)
    assert set(pool.place(running, _batch("b", 4, gang=is_gang))["b"]) == FAST_IDS


def test_a_gang_with_slack_is_all_fast_rather_than_mixed() -> None:
    pool = _Pool(MIXED)
    running = pool.fill([0, 1, 3, 4, 6])
    assert set(pool.place(running, _batch("b", 4))["b"]) == FAST_IDS


def test_an_urgent_task_outside_a_gang_takes_a_fast_executor() -> None:
    pool = _Pool(MIXED)
    assert set(pool.place(_urgent("u", 2, gang=False))["u"]) < FAST_IDS


def test_executors_that_are_slow_for_a_while_come_last() -> None:
    """A fast executor that slowed down is slower than a typical one."""
    pool = _Pool(MIXED)
    for number in (2, 5):
        pool.states[number].slow_until = NOW + 3
    assert set(pool.place(_urgent("u", 2))["u"]) == {"e8", "e11"}
    assert not FAST_IDS & set(pool.place(_urgent("v", 3))["v"])


def test_an_unknown_executor_is_neither_first_nor_last_choice() -> None:
    """It gets work, so that its speed becomes known, but no urgent gang before fast ones."""
    pool = _Pool(MIXED)
    for number in (0, 1):
        pool.learned.speeds.forget(pool.states[number].instance)
    assert pool.learned.speeds.find_group(pool.states[0].instance) is SpeedGroup.UNKNOWN
    assert set(pool.place(_urgent("u", 4))["u"]) == FAST_IDS
    urgent = pool.place(_urgent("u", 5, gang=False))["u"]
    assert set(urgent) >= FAST_IDS and set(urgent) - FAST_IDS < {"e0", "e1"}
    batch = pool.place(_batch("b", 8, gang=False))["b"]
    assert set(batch) == {f"e{n}" for n in range(12)} - FAST_IDS


def test_a_gang_of_one_rack_takes_the_rack_where_all_members_are_fast() -> None:
    """The tightest rack would be chosen without speeds."""
    pool = _Pool([1.0, 1.0, 1.0, 2.15, 1.0, 2.15, 2.15, 1.0, 1.0, 1.0, 1.0, 2.15], rack=4)
    running = pool.fill([3])
    gang = _urgent("u", 2, same_rack=True)
    assert set(pool.place(running, gang)["u"]) == {"e5", "e6"}
    assert not set(pool.place(running, gang, policy=OFF)["u"]) & {"e5", "e6"}


def test_a_gang_is_not_spread_over_racks_for_speed() -> None:
    """A gang over several racks takes three times as long, more than speed can give."""
    pool = _Pool([1.0, 1.0, 1.0, 2.15] * 3, rack=4)
    gang = _urgent("u", 3, same_rack=True)
    gang.steps[0].ready_at = NOW - 3
    placed = pool.place(gang)["u"]
    assert len({pool.states[int(name[1:])].executor.rack for name in placed}) == 1


def test_a_task_stays_near_its_data() -> None:
    pool = _Pool([1.0] * 4 + [2.15] * 4 + [1.0] * 4, rack=4)
    placed = pool.place(_urgent("u", 2, gang=False, data_rack="r0"))["u"]
    assert set(placed) < {"e0", "e1", "e2", "e3"}


@pytest.mark.parametrize("count", [1, 3, 4, 6, 12, 13])
def test_plans_are_equal_with_equal_speeds_or_with_the_switch_off(count: int) -> None:
    mixed, equal = _Pool(MIXED, rack=4), _Pool([1.0] * 12, rack=4)
    plain = _Pool(MIXED, rack=4)
    plain.learned = LearnedState()
    for job in (_urgent("u", count), _batch("b", count, 3), _urgent("r", count, same_rack=True)):
        expected = plain.place(job)
        assert equal.place(job) == expected
        assert mixed.place(job, policy=OFF) == expected


@pytest.mark.parametrize("later", [[1.0] * 12, [0.5, 1.0, 2.0] * 4, [0.4, 1.0, 1.0] * 4])
def test_groups_may_change_while_a_plan_is_made_in_parts(later: list[float]) -> None:
    """Reports are processed between the parts, and must not make the plan fail."""
    pool = _Pool(MIXED)
    jobs = [_urgent("u", 2, 1), _batch("b", 2, 1), _urgent("v", 2, 1, same_rack=True)]
    placement = SpeedPlacement(pool.learned.speeds, NOW)
    assert placement.has_groups("pool")
    speeds = learn(dict(zip((s.instance for s in pool.states), later, strict=True)))
    pool.learned.speeds._pools, pool.learned.speeds._speeds = speeds._pools, speeds._speeds
    offers = make_offers(pool.states, NOW)["pool"]
    gangs = GangPlacer(NOW, DEFAULT_POLICY, SpreadAccount([]), placement)
    for wish in (SpeedWish.FASTEST, SpeedWish.SLOWEST):
        ordered = placement.order_tasks(wish, offers, gangs.packing_order)
        assert sorted(offer.number for offer in ordered) == list(range(12))
    assert pool.place(*jobs).keys() == {"u", "b", "v"}


def _make_pattern() -> LoadPattern:
    """A pool with a quarter of fast executors, urgent gangs, and batch work that half fills it."""
    urgent = {
        "name": "urgent",
        "per_s": 2.0,
        "priority": 0,
        "stretch": 1.5,
        "target_s": 0.25,
        "worth": 4.0,
        "late_worth": 0.8,
        "width": 3.0,
        "width_spread": 0.6,
        "most_width": 8,
        "work_s": 2.1,
        "work_spread": 0.5,
        "most_work_s": 8.0,
        "millicores": 4000,
        "memory_mb": 8000,
        "accelerators": [1, 2, 4, 8],
        "gang_share": 1.0,
        "rack_share": 0.8,
    }
    batch = urgent | {
        "name": "batch",
        "per_s": 0.5,
        "priority": 2,
        "stretch": 3.0,
        "target_s": 3.0,
        "worth": 1.0,
        "width": 24.0,
        "most_width": 90,
        "work_s": 5.0,
        "uneven": 0.3,
        "accelerators": [1],
        "gang_share": 0.3,
        "rack_share": 0.0,
    }
    return LoadPattern.model_validate(
        {
            "name": "speeds",
            "seconds": 24.0,
            "executors": 32,
            "millicores": 64000,
            "memory_mb": 262144,
            "speeds": [0.56, 1.2, 1.2, 1.2],
            "kinds": [urgent, batch],
        }
    )


class _Counted(PoolModel):
    """Counts the starts of urgent gangs that fit on the fast executors of a rack (or the pool)."""

    learn_s = 8.0
    """Starts before are made without speeds."""
    fast = starts = 0

    def _carry_out(self, plan: Plan) -> None:
        for group in plan.groups:
            spec = group[0].step.spec
            fast_executors = 2 if spec.same_rack else 8
            fits = fast_executors * (8 // spec.need.accelerators)
            is_urgent = group[0].job.spec.queue.priority == URGENT
            if is_urgent and self.env.now >= self.learn_s and spec.count <= fits:
                self.starts += len(group)
                self.fast += sum(int(start.executor.id[1:]) % 4 == 0 for start in group)
        super()._carry_out(plan)


def _play(policy: Policy) -> float:
    """Return the share of urgent starts on fast executors, of those that adjacency allows."""
    fast = starts = 0
    for seed in range(3):
        pattern = _make_pattern()
        play = _Counted(pattern, draw_jobs(pattern, seed), policy)
        play.play()
        fast, starts = fast + play.fast, starts + play.starts
    assert starts >= 100
    return fast / starts


def test_urgent_work_of_a_replayed_load_starts_on_fast_executors() -> None:
    """Without speeds urgent gangs go to fast executors no more often than by chance."""
    assert _play(DEFAULT_POLICY) > 0.7
    assert _play(OFF) < 0.45
