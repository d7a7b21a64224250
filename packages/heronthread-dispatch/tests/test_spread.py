"""Steps with a spread limit: what each executor holds of them, and what is logged of it."""

import random
from collections import Counter
from dataclasses import replace

import pytest
import trio
from heronthread_dispatch.fleet import ExecutorState
from heronthread_dispatch.model import (
    URGENT,
    DesiredState,
    Executor,
    JobSpec,
    Queue,
    Resources,
    StepSpec,
    TaskKey,
    Tenant,
)
from heronthread_dispatch.plan import Plan
from heronthread_dispatch.planner import Planner
from heronthread_dispatch.progress import JobState, make_job
from heronthread_dispatch.run_monitor import RunMonitor
from heronthread_dispatch.spread import count_runs
from heronthread_dispatch.step_state import Attempt, Phase
from heronthread_emulator import EmulatedSite, captured_events, check_promises
from heronthread_emulator.checker import Told

Clock = trio.testing.MockClock

NOW = 1_000.0
CAPACITY = Resources(64_000, 262_144, 8)
NEED = Resources(1_000, 1_000, 1)
URGENT_QUEUE = Queue("urgent", "h", "/u/", "pool", URGENT, 2, 1.5, 0.25)
BATCH_QUEUE = Queue("batch", "h", "/b/", "pool", 2, 3, 3.0, 3.0)
DESIRED = DesiredState.build(1, [URGENT_QUEUE, BATCH_QUEUE], [Tenant("t", (), 0)], 1)


def _make_executors(count: int) -> list[ExecutorState]:
    states = []
    for number in range(count):
        name = f"e{number}"
        executor = Executor(name, name, "pool", "z", "r0", (), CAPACITY)
        state = ExecutorState(executor, free=CAPACITY)
        state.has_reported = state.recorded = True
        states.append(state)
    return states


def _make_job(
    name: str, count: int, spread_limit: int, queue: Queue = BATCH_QUEUE, need: Resources = NEED
) -> JobState:
    step = StepSpec(count, need, 5.0, spread_limit=spread_limit)
    job = make_job(JobSpec(name, queue, "t", "", (step,), NOW - 5.0), NOW)
    job.steps[0].ready_at = NOW - 5.0
    return job


def _occupy(job: JobState, index: int, state: ExecutorState) -> None:
    step = job.steps[0]
    key = TaskKey(job.spec.id, 0, index)
    attempt = Attempt(key, 1, state.instance, step.spec.need, NOW - 2.0, Phase.RUNNING)
    attempt.began_at = attempt.progressed_at = NOW - 2.0
    attempt.percent = 10.0
    step.tasks[index].attempt = attempt
    state.occupy(attempt)


def test_orphaned_runs_of_the_step_count_but_not_those_of_another_occurrence() -> None:
    (state,) = _make_executors(1)
    job = _make_job("a", 4, 2)
    _occupy(job, 0, state)
    for occurrence in (0, 1):
        orphan = TaskKey("a", 0, 1, occurrence)
        state.occupy_orphan(Attempt(orphan, 7, state.instance, NEED, NOW, Phase.STOPPING))
    assert count_runs(("a", 0, 0), state) == 2


async def test_starts_of_limited_steps_are_logged_with_what_was_counted(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=1, executors=3) as site:
        await site.wait_for_owner()
        with captured_events() as events:
            host = site.hosts["h0"]
            await host.requests.accept(site.make_job("a", count=4, spread_limit=2), 2.0)
            await host.requests.accept(site.make_job("b", count=4), 2.0)
            await trio.sleep(1.0)
    starts = [event for event in events if event["message_type"] == "start.decided"]
    spreads = [event["spread"] for event in starts if event["job"] == "a"]
    assert sorted(spread["counted"][0] for spread in spreads) == [1, 1, 2, 2]
    assert all(spread["counted"] == spread["held"] for spread in spreads)
    assert len({spread["plan"] for spread in spreads}) == 1
    assert all(spread["limit"] == 2 and spread["allowed"] is None for spread in spreads)
    assert not any("spread" in event for event in starts if event["job"] == "b")


def test_step_that_a_store_outage_splits_stays_within_its_spread_limit() -> None:
    """Each task may use only the executors recorded for it, but the step's limit is one."""
    for limit in (1, 2):
        states = _make_executors(2)
        job = _make_job("a", 4, limit)
        job.places.named = {"e0": 0b1111, "e1": 0b1100}
        plan = Planner([job], states, DESIRED, NOW, NOW, can_write_store=False).make()
        placed = Counter(start.executor.id for group in plan.groups for start in group)
        assert placed == {"e0": limit, "e1": limit}


def test_pinned_task_counts_runs_left_at_an_executor_in_backoff() -> None:
    """No offer is made for the executor, but the task may run nowhere else."""
    (state,) = _make_executors(1)
    state.backoff_until = NOW + 1.0
    job = _make_job("a", 2, 1)
    orphan = TaskKey("a", 0, 1)
    state.occupy_orphan(Attempt(orphan, 7, state.instance, NEED, NOW, Phase.STOPPING))
    pins = {TaskKey("a", 0, 0): "e0"}
    plan = Planner([job], [state], DESIRED, NOW, NOW, pins=pins).make()
    assert plan.groups == []


def test_work_is_stopped_only_where_the_spread_limit_leaves_room() -> None:
    """Room at an executor that holds as many tasks as it may would never be used."""
    states = _make_executors(2)
    whole = Resources(64_000, 262_144, 8)
    half = Resources(32_000, 100_000, 4)
    urgent = _make_job("urgent", 2, 1, URGENT_QUEUE, half)
    _occupy(urgent, 0, states[0])
    fillers = [_make_job("b0", 1, 0, need=half), _make_job("b1", 1, 0, need=whole)]
    for filler, state in zip(fillers, states, strict=True):
        _occupy(filler, 0, state)
    plan = Planner([urgent, *fillers], states, DESIRED, NOW, NOW).make()
    assert [attempt.executor for attempt in plan.stops] == ["e1"]


def _make_split_urgent_step() -> tuple[list[JobState], list[ExecutorState]]:
    """Return an urgent step of two parts, and others' work that fills both executors."""
    states = _make_executors(2)
    half = Resources(32_000, 100_000, 4)
    urgent = _make_job("urgent", 4, 1, URGENT_QUEUE, half)
    urgent.places.named = {"e0": 0b1111, "e1": 0b1100}
    fillers = [_make_job(f"b{number}", 1, 0, need=half) for number in range(4)]
    for number, filler in enumerate(fillers):
        _occupy(filler, 0, states[number // 2])
    return [urgent, *fillers], states


def test_preempting_parts_of_a_split_step_share_one_spread_limit() -> None:
    """Otherwise work is stopped for more tasks than may start at an executor."""
    jobs, states = _make_split_urgent_step()
    plan = Planner(jobs, states, DESIRED, NOW, NOW, can_write_store=False).make()
    assert Counter(attempt.executor for attempt in plan.stops) == {"e0": 1, "e1": 1}


def test_urgent_step_with_a_spread_limit_starts_after_the_stops_made_for_it() -> None:
    """Plans and stops in turn, in seeded sites with one place for each of the step's tasks."""
    for seed in range(120):
        source = random.Random(seed)
        states = _make_executors(source.randint(2, 5))
        need = Resources(16_000, 60_000, 2)
        urgent = _make_job("urgent", len(states), 1, URGENT_QUEUE, need)
        begun = source.sample(range(len(states)), source.randint(1, len(states) - 1))
        fillers = []
        for index, number in enumerate(begun):
            _occupy(urgent, index, states[number])
        for number, state in enumerate(states):
            for part in range(4 - (number in begun)):
                filler = _make_job(f"b{number}-{part}", 1, 0, need=need)
                _occupy(filler, 0, state)
                fillers.append(filler)
        stopped = []
        for _ in range(4):
            plan = Planner([urgent, *fillers], states, DESIRED, NOW, NOW).make()
            _carry_out(plan, states)
            stopped += plan.stops
        assert urgent.steps[0].attempt_count == len(states), f"seed {seed}"
        assert len(stopped) == len(states) - len(begun), f"seed {seed}"


def _carry_out(plan: Plan, states: list[ExecutorState]) -> None:
    """Start the plan's tasks, and end the runs that it stops."""
    by_id = {state.id: state for state in states}
    for start in (start for group in plan.groups for start in group):
        _occupy(start.job, start.task.index, start.executor)
    for attempt in plan.stops:
        by_id[attempt.executor].release(attempt)


def test_reservation_for_a_gang_keeps_to_its_spread_limit() -> None:
    """A gang of two, one to an executor, needs nothing of a second place on the same one."""
    states = _make_executors(3)
    half = Resources(32_000, 100_000, 4)
    gang = _make_job("gang", 3, 1, need=half)
    gang.steps[0].spec = replace(gang.steps[0].spec, gang=True)
    filler = _make_job("filler", 2, 0, need=CAPACITY)
    _occupy(filler, 0, states[1])
    _occupy(filler, 1, states[2])
    planner = Planner([gang, filler], states, DESIRED, NOW, NOW)
    planner.make()
    (offer, *_) = planner.offers["pool"]
    assert offer.reserved == half


def test_gang_that_no_rack_may_hold_does_not_wait_for_a_rack() -> None:
    """Two of three members may share no executor, and each rack has two executors."""
    states = _make_executors(6)
    for number, state in enumerate(states):
        state.executor = replace(state.executor, rack=f"r{number // 2}")
    gang = _make_job("gang", 3, 1)
    gang.steps[0].spec = replace(gang.steps[0].spec, gang=True, same_rack=True)
    gang.steps[0].ready_at = NOW
    plan = Planner([gang], states, DESIRED, NOW, NOW).make()
    assert [len(group) for group in plan.groups] == [3]


def test_work_is_stopped_for_a_pinned_task_only_at_its_executor() -> None:
    """Capacity freed elsewhere would be freed in vain."""
    states = _make_executors(3)
    urgent = _make_job("urgent", 1, 0, URGENT_QUEUE, CAPACITY)
    fillers = [_make_job(f"b{number}", 1, 0, need=CAPACITY) for number in range(3)]
    for filler, state in zip(fillers, states, strict=True):
        _occupy(filler, 0, state)
    pins = {TaskKey("urgent", 0, 0): "e2"}
    plan = Planner([urgent, *fillers], states, DESIRED, NOW, NOW, pins=pins).make()
    assert [attempt.executor for attempt in plan.stops] == ["e2"]


@pytest.mark.parametrize("spread_limit", [0, 1])
def test_best_effort_work_is_stopped_only_where_the_serving_step_may_run(
    spread_limit: int,
) -> None:
    """The label excludes e0, and the spread limit e1, which holds a task of the step."""
    states = _make_executors(3)
    for state in states[1:]:
        state.executor = replace(state.executor, labels=("k",))
    serving = _make_job("serving", 2, spread_limit)
    spec = replace(serving.steps[0].spec, lasting=True, target_s=0.1, label="k")
    serving.steps[0].spec = spec
    fillers = [_make_job(f"b{number}", 1, 0) for number in range(3)]
    for filler, state in zip(fillers, states, strict=True):
        filler.steps[0].spec = replace(filler.steps[0].spec, lasting=True, fills=True)
        _occupy(filler, 0, state)
    _occupy(serving, 0, states[1])
    plan = Planner([serving, *fillers], states, DESIRED, NOW, NOW).make()
    stopped = [attempt.executor for attempt in plan.stops]
    assert stopped == (["e2"] if spread_limit else ["e1"])


async def test_parts_planned_in_several_calls_share_what_is_stopped_for_them(
    autojump_clock: Clock,
) -> None:
    jobs, states = _make_split_urgent_step()
    planner = Planner(jobs, states, DESIRED, NOW, NOW, can_write_store=False)
    stopped: Counter[str] = Counter()
    while not planner.is_complete:
        for attempt in planner.make(0.0).stops:
            attempt.phase = Phase.STOPPING
            stopped[attempt.executor] += 1
    assert stopped == {"e0": 1, "e1": 1}


async def test_slow_run_is_not_stopped_for_room_that_its_step_may_not_use(
    autojump_clock: Clock,
) -> None:
    """Each executor of the pool holds a task of the step; another pool has room."""
    async with EmulatedSite.open(hosts=1, executors=3) as site:
        host = site.hosts[await site.wait_for_owner()]
        await host.requests.accept(site.make_job("a", count=2, spread_limit=1, work_s=30.0), 2.0)
        await trio.sleep(1.0)
        assert host.owner is not None
        cell = host.owner.cell
        job = cell.jobs["a"]
        used = {attempt.executor for attempt in job.attempts()}
        (other,) = cell.executors.keys() - used
        monitor = RunMonitor(cell)
        assert monitor._has_healthy_room(job, job.steps[0], 1)
        state = cell.executors[other]
        state.executor = replace(state.executor, pool="other")
        assert not monitor._has_healthy_room(job, job.steps[0], 1)


async def test_late_starts_of_two_tasks_exceed_no_spread_limit(autojump_clock: Clock) -> None:
    """Both starts go unanswered at one life of an executor, and the next life obeys both."""
    async with EmulatedSite.open(hosts=2, executors=1) as site:
        site.said_after_s = 1000.0
        owner = await site.wait_for_owner()
        await trio.sleep(13.0)
        place = site.executors.by_id["e0"]
        place.lose_starts, place.late_s = 3, 11.0
        host = site.hosts[next(name for name in site.hosts if name != owner)]
        record = site.make_job("a", count=2, spread_limit=1, work_s=30.0)
        site.nursery.start_soon(site.accept, host, record, 2.0)
        while place.lose_starts:
            await trio.sleep(0.002)
        current = site.hosts[owner].owner
        assert current is not None
        first, other = current.cell.jobs["a"].steps[0].tasks
        attempt = first.attempt
        while first.attempt is attempt:
            await trio.sleep(0.002)
        # The start of the run before, which confirms that it is refused, is turned away.
        place.shed = 6
        with trio.move_on_after(5.0):
            while other.attempt is None:
                await trio.sleep(0.001)
            place.shed, place.lose_starts, place.late_s = 0, 3, 7.0
            while place.lose_starts:
                await trio.sleep(0.002)
            site.restart_executor("e0", 0.3)
            while site.executors.by_id["e0"] is place:
                await trio.sleep(0.0005)
            site.executors.by_id["e0"].is_cut = True
        await trio.sleep(15.0)
        told = {"a": Told(record, taken=True, cancelled=True)}
        promises = {violation.promise for violation in check_promises(site.executors, told)}
        assert "steps keep to their spread limits" not in promises
        runs = [task.member for task, _ in site.executors.by_id["e0"].running]
        assert len(runs) <= 1, runs


@pytest.mark.parametrize(("limit", "started"), [(1, {0}), (2, {0, 1})])
def test_late_start_counts_for_the_other_tasks_of_its_step(limit: int, started: set[int]) -> None:
    """Task 0 may be started at e0 again, where its own late start is refused by now."""
    states = _make_executors(1)
    job = _make_job("a", 3, limit)
    first = TaskKey("a", 0, 0)
    planner = Planner(
        [job], states, DESIRED, NOW, NOW, pins={first: "e0"}, late_starts=[("e0", first)]
    )
    assert {start.task.index for group in planner.make().groups for start in group} == started
