"""Capacity reserved for urgent work: what is reserved, who borrows it, and who gives it back."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest
import trio
from heronthread_dispatch.executor_speeds import ExecutorSpeeds, SpeedGroup
from heronthread_dispatch.fleet import ExecutorState, make_executor_state
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
    Tenant,
)
from heronthread_dispatch.offers import make_offers
from heronthread_dispatch.overview import describe_cell
from heronthread_dispatch.plan import Plan
from heronthread_dispatch.planner import Planner
from heronthread_dispatch.policy import Policy
from heronthread_dispatch.progress import JobState, make_job
from heronthread_dispatch.step_state import Attempt, Phase
from heronthread_dispatch.urgent_forecast import GangShape, UrgentDemand
from heronthread_dispatch.urgent_room import (
    LONGEST_STAND_S,
    MAX_END_WAIT_S,
    MAX_GUARANTEE_WAIT_S,
    MAX_PREEMPTIONS,
    STOOD_TASKS,
    Borrower,
    LendReason,
    UrgentRoom,
    find_end_wait_s,
    may_borrow,
)
from heronthread_dispatch.wait_causes import WaitCause
from heronthread_emulator import EmulatedSite, check_promises, pool_model
from heronthread_emulator.load import LoadPattern, draw_jobs, load_pattern
from heronthread_emulator.worth import find_objective_s

Clock = trio.testing.MockClock
NOW = 500.0
ON = Policy(urgent_room=True)
RACK = 4
CAPACITY = Resources(8_000, 64_000, 8)
URGENT_QUEUE = Queue("urgent", "h", "/u/", "pool", URGENT, 2, 1.5, 0.25)
BATCH = Queue("batch", "h", "/b/", "pool", 2, 3, 3.0, 3.0)
DESIRED = DesiredState.build(1, [URGENT_QUEUE, BATCH], [Tenant("rich", (), 64)], 1)
EIGHT = Resources(1_000, 1_000, 8)
RECLAIM_BOUND_S = 2.7
LOADS = Path(__file__).parents[3] / "benchmarks" / "loads"
REPLAY_SEEDS = range(8)
MOST_STOPS_SHARE = 0.8
TOLERATED_STAND_S = 3.0


def _make_executors(count: int) -> list[ExecutorState]:
    found = []
    for number in range(count):
        name = f"e{number}"
        executor = Executor(name, name, "pool", "z", f"r{number // RACK}", (), CAPACITY)
        state = make_executor_state(executor, 0.0)
        state.has_reported = state.recorded = True
        found.append(state)
    return found


def _make_job(
    name: str,
    queue: Queue = BATCH,
    *,
    tenant: str = "poor",
    waited_s: float = 0.0,
    work_s: float = 20.0,
    **step: object,
) -> JobState:
    spec = StepSpec(**{"count": 1, "need": EIGHT, "estimate_s": work_s, **step})  # type: ignore[arg-type]
    job = make_job(JobSpec(name, queue, tenant, "", (spec,), NOW - waited_s), NOW)
    job.steps[0].ready_at = NOW - waited_s
    return job


def _run(job: JobState, states: list[ExecutorState], ran_s: float = 2.0, percent: float = 10.0):
    """Run each task of a job on the next of some executors."""
    for task, state in zip(job.steps[0].tasks, states, strict=True):
        key = job.key_of(job.steps[0], task)
        attempt = Attempt(key, 1, state.instance, job.steps[0].spec.need, NOW - ran_s)
        attempt.phase, attempt.began_at = Phase.RUNNING, NOW - ran_s
        attempt.progressed_at, attempt.percent = NOW, percent
        task.attempt = attempt
        state.occupy(attempt)
    return job


def _expect(count: int, length_s: float = 1.0) -> LearnedState:
    """Return what an owner knows that saw one urgent job a second, each of `count` tasks."""
    learned, shape = LearnedState(), GangShape(count, EIGHT, True)
    for number in range(15):
        learned.forecast.note_arrival("pool", shape, length_s, NOW - number)
    return learned


def _plan(
    jobs: list[JobState],
    states: list[ExecutorState],
    learned: LearnedState | None = None,
    policy: Policy | None = None,
    can_write_store: bool = True,
) -> Plan:
    return Planner(
        jobs,
        states,
        DESIRED,
        NOW,
        NOW,
        policy=policy or ON,
        learned=learned,
        can_write_store=can_write_store,
    ).make()


def _list_started(plan: Plan) -> list[str]:
    return [start.job.spec.id for group in plan.groups for start in group]


# Lending


@pytest.mark.parametrize(
    ("borrower", "expected"),
    [
        (Borrower(9.0, 0.0), (False, LendReason.HOLDS_ON)),
        (Borrower(1.0, 0.0), (True, LendReason.ENDS_IN_TIME)),
        (Borrower(9.0, LONGEST_STAND_S), (True, LendReason.STOOD)),
    ],
)
def test_reserved_capacity_is_lent_with_a_reason(
    borrower: Borrower, expected: tuple[bool, LendReason]
) -> None:
    """Guards against idle reserved capacity, and against loans that urgent work must wait for."""
    decision = may_borrow(borrower, slack_s=1.25)
    assert (decision.is_lent, decision.reason) == expected


def test_only_work_that_ends_in_time_starts_on_reserved_capacity_at_once() -> None:
    """Guards against a reservation that stands idle beside work that would soon be over."""
    for ends_in_time in (False, True):
        states = _make_executors(4)
        busy = [_run(_make_job(f"b{n}"), [states[n]]) for n in range(3)]
        waiting = _make_job("w", work_s=0.5 if ends_in_time else 20.0)
        plan = _plan([*busy, waiting], states, _expect(2))
        assert _list_started(plan) == (["w"] if ends_in_time else [])
        assert list(plan.loans.values()) == [LendReason.ENDS_IN_TIME] * ends_in_time


def test_a_job_that_stood_gets_a_few_tasks_of_reserved_capacity() -> None:
    """Guards against jobs that stand beside reserved capacity, and against one that takes all."""
    one = Resources(1_000, 1_000, 1)
    for waited_s, count in ((LONGEST_STAND_S - 0.1, 0), (LONGEST_STAND_S, STOOD_TASKS)):
        states = _make_executors(4)
        busy = [_run(_make_job(f"b{n}"), [states[n]]) for n in range(3)]
        waiting = _make_job("w", waited_s=waited_s, count=8, need=one)
        plan = _plan([*busy, waiting], states, _expect(2))
        assert len(_list_started(plan)) == count
    assert list(plan.loans.values()) == [LendReason.STOOD]


def test_parts_of_a_step_that_stood_share_a_few_tasks_of_reserved_capacity() -> None:
    """While the store can't be written each set of recorded executors is a part of its own."""
    states = _make_executors(4)
    busy = [_run(_make_job(f"b{n}"), [states[n]]) for n in range(3)]
    need = Resources(1_000, 1_000, 1)
    waiting = _make_job("w", waited_s=LONGEST_STAND_S, count=8, need=need)
    waiting.places.named = {"e3": 0b1111_1111, "e2": 0b1111_0000}
    plan = _plan([*busy, waiting], states, _expect(2), can_write_store=False)
    assert len(_list_started(plan)) == STOOD_TASKS


# Reserving


def _choose(
    states: list[ExecutorState],
    demand: UrgentDemand,
    used: int = 0,
    jobs: list[JobState] | None = None,
    speeds: ExecutorSpeeds | None = None,
) -> tuple[frozenset[str], UrgentRoom]:
    offers = make_offers(states, NOW)
    room = UrgentRoom(offers, {"pool": demand}, jobs or [], DESIRED, speeds or ExecutorSpeeds())
    return room.choose({"pool": used}), room


def test_what_the_forecast_exceeds_the_use_by_is_reserved_up_to_the_limit() -> None:
    """Guards against reserving for work that runs already, and against most of a pool reserved."""
    states = _make_executors(20)
    assert len(_choose(states, UrgentDemand(40, None), used=24)[0]) == 2
    assert _choose(states, UrgentDemand(40, None), used=40)[0] == frozenset()
    assert len(_choose(states, UrgentDemand(400, None))[0]) == 8


def test_a_rack_has_room_for_the_largest_recent_gang() -> None:
    """Guards against a reservation in pieces that no gang for one rack fits in."""
    states = _make_executors(20)
    _run(_make_job("b"), [states[0]])
    chosen, _ = _choose(states, UrgentDemand(8, GangShape(4, EIGHT, True)))
    assert chosen == {"e4", "e5", "e6", "e7"}


def test_lent_capacity_counts_as_reserved() -> None:
    """Guards against a reservation that moves on to other executors as soon as it is lent."""
    states = _make_executors(20)
    lent = _run(_make_job("c", count=4, checkpointing=True), states[:4])
    others = [_run(_make_job(f"b{n}"), [states[n]]) for n in range(4, 20)]
    chosen, room = _choose(states, UrgentDemand(32, None), jobs=[lent, *others])
    assert chosen == {"e0", "e1", "e2", "e3"}
    assert (room.use["pool"].reserved, room.use["pool"].lent) == (32, 32)


def test_fast_executors_of_a_rack_are_reserved_first() -> None:
    """Guards against urgent work on slow executors while fast ones are given to other work."""

    class _Speeds(ExecutorSpeeds):
        def find_group(self, instance: ExecutorInstance) -> SpeedGroup:
            return SpeedGroup.FAST if instance.id == "e3" else SpeedGroup.TYPICAL

    chosen, _ = _choose(_make_executors(4), UrgentDemand(8, None), speeds=_Speeds())
    assert chosen == {"e3"}


def test_without_urgent_arrivals_the_plan_is_the_same_with_the_switch_on_and_off() -> None:
    """Guards against an effect of this part in pools without urgent work."""
    found = []
    for policy in (Policy(urgent_room=False), ON):
        states = _make_executors(8)
        jobs = [_run(_make_job(f"b{n}", count=2), states[2 * n : 2 * n + 2]) for n in range(3)]
        jobs += [_make_job(f"w{n}", waited_s=n, checkpointing=n % 2 == 0) for n in range(4)]
        jobs.append(_make_job("u", URGENT_QUEUE))
        plan = _plan(jobs, states, LearnedState(), policy)
        stops = [attempt.task for attempt in plan.stops]
        found.append((_list_started(plan), stops, plan.replan_in_s))
    assert found[0] == found[1]
    assert found[0][0]


# Waiting for ends


def test_urgent_work_waits_for_ends_within_its_slack_and_bounds() -> None:
    """Guards against stops for capacity that frees in time, and against waits without an end."""
    assert find_end_wait_s(False, 0.0, slack_s=1.3, stop_s=0.2) == 1.2
    assert find_end_wait_s(False, 0.0, slack_s=0.3, stop_s=0.2) is None
    assert find_end_wait_s(False, 0.0, slack_s=-1.0, stop_s=0.2) is None
    assert find_end_wait_s(False, 0.0, slack_s=60.0, stop_s=0.2) == MAX_END_WAIT_S
    assert find_end_wait_s(False, MAX_END_WAIT_S, slack_s=60.0, stop_s=0.2) is None


def test_a_guarantee_waits_for_a_part_of_its_bound_only() -> None:
    """Guards against a guarantee that misses its bound because its slack is long."""
    longest = find_end_wait_s(True, 0.0, slack_s=60.0, stop_s=0.2)
    assert longest is not None and longest <= MAX_GUARANTEE_WAIT_S
    assert find_end_wait_s(True, MAX_GUARANTEE_WAIT_S, slack_s=60.0, stop_s=0.2) is None


def test_a_run_that_ends_within_the_slack_is_not_stopped() -> None:
    """Guards against a stop of work that ends before the urgent job's latest start."""
    for switch, stopped in ((True, 0), (False, 1)):
        states = _make_executors(1)
        ending = _run(_make_job("b", work_s=10.0), states, ran_s=9.3, percent=93.0)
        urgent = _make_job("u", URGENT_QUEUE, work_s=4.0)
        learned = _expect(1, length_s=4.0)
        plan = _plan([ending, urgent], states, learned, Policy(urgent_room=switch))
        assert len(plan.stops) == stopped


# Taking back


def test_borrowing_work_is_taken_back_first() -> None:
    """Guards against a stop that throws away work although lent capacity is there."""
    states = _make_executors(2)
    jobs = [
        _run(_make_job("young"), states[:1], ran_s=1.0),
        _run(_make_job("lent", checkpointing=True), states[1:], ran_s=9.0),
        _make_job("u", URGENT_QUEUE, work_s=0.5),
    ]
    plan = _plan(jobs, states, _expect(1))
    assert [attempt.task.job for attempt in plan.stops] == ["lent"]
    assert [(p.job, p.urgent_job, p.times) for p in plan.preemptions] == [("lent", "u", 1)]


@pytest.mark.parametrize(("tenant", "expected"), [("poor", []), ("rich", ["b"])])
def test_a_job_preempted_twice_is_stopped_for_a_guarantee_only(
    tenant: str, expected: list[str]
) -> None:
    """Guards against one job that is stopped over and over, and against a guarantee not kept."""
    states = _make_executors(1)
    job = _run(_make_job("b"), states)
    job.preemptions = job.open_preemptions = MAX_PREEMPTIONS
    urgent = _make_job("u", URGENT_QUEUE, tenant=tenant, work_s=0.5)
    plan = _plan([job, urgent], states, _expect(1))
    assert [attempt.task.job for attempt in plan.stops] == expected


@pytest.mark.parametrize(("waited_s", "stops"), [(0.0, 1), (9.0, 0)])
def test_urgent_work_past_its_use_preempts_nothing(waited_s: float, stops: int) -> None:
    """Guards against stops for work that is worth nothing to its caller any more."""
    states = _make_executors(1)
    urgent = _make_job("u", URGENT_QUEUE, work_s=1.0, waited_s=waited_s)
    plan = _plan([_run(_make_job("b"), states), urgent], states, _expect(1))
    assert len(plan.stops) == stops


# A replayed load


def _make_pattern() -> LoadPattern:
    """Return the contended load at a quarter of its size, for 20 s."""
    whole = load_pattern(LOADS / "contended.json")
    kinds = [kind.model_copy(update={"per_s": kind.per_s / 4}) for kind in whole.kinds]
    smaller = {"executors": 48, "seconds": 20.0, "kinds": kinds, "guaranteed": 16}
    return whole.model_copy(update=smaller)


@dataclass(slots=True)
class _Replay:
    """What plays of a load showed: runs stopped, urgent jobs on time, and jobs that stood.

    `stood` counts jobs that had nothing running for over 3 s because capacity was reserved;
    `most_preempted` is the most often that a job was preempted outside guarantees.
    """

    stops: int = 0
    urgent_on_time: int = 0
    stood: int = 0
    most_preempted: int = 0


def _replay(policy: Policy, monkeypatch: pytest.MonkeyPatch) -> _Replay:
    found = _Replay()
    standing: set[tuple[int, str]] = set()
    seed = 0

    class _Observed(Planner):
        def make(self, budget_s: float = float("inf")) -> Plan:
            self.steps_to_explain = {
                job.key_of(step, step.tasks[0])
                for job in self.jobs
                for step in job.steps
                if not job.has_attempts and step.ready_at is not None
                if self.now - step.ready_at > TOLERATED_STAND_S
            }
            plan = super().make(budget_s)
            causes = self.causes.items()
            standing.update((seed, key.job) for key, why in causes if why is WaitCause.HEADROOM)
            most = max((job.open_preemptions for job in self.jobs), default=0)
            found.most_preempted = max(found.most_preempted, most)
            return plan

    monkeypatch.setattr(pool_model, "Planner", _Observed)
    pattern = _make_pattern()
    for seed in REPLAY_SEEDS:
        outcome = pool_model.PoolModel(pattern, draw_jobs(pattern, seed), policy).play()
        found.stops += outcome.stops
        found.urgent_on_time += sum(
            job.done_at is not None and job.done_at - job.job.at <= find_objective_s(job)
            for job in outcome.jobs
            if job.job.kind.priority == URGENT
        )
    found.stood = len(standing)
    return found


def test_a_contended_load_is_served_with_fewer_stops(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against stops and stands that the reservation is there to avoid.

    With the switch off a third more runs are stopped, and jobs stand beside reserved capacity. No
    fewer urgent jobs may be on time for it.
    """
    off = _replay(Policy(urgent_room=False), monkeypatch)
    on = _replay(ON, monkeypatch)
    assert on.stops <= MOST_STOPS_SHARE * off.stops
    assert on.stood == 0 < off.stood
    assert on.most_preempted <= MAX_PREEMPTIONS
    assert on.urgent_on_time >= off.urgent_on_time


# Failures


async def _accept(site: EmulatedSite, name: str, **job: object) -> None:
    host = next(iter(site.hosts.values()))
    await host.requests.accept(site.make_job(name, **job), 2.0)  # type: ignore[arg-type]


async def _fill_with_lent_and_held(site: EmulatedSite) -> None:
    """Let urgent work be expected, then fill half of the site with borrowing work."""
    await site.wait_for_owner()
    for number in range(4):
        await _accept(site, f"seen{number}", queue="urgent", accelerators=8, work_s=0.5)
        await trio.sleep(0.8)
    for number in range(2):
        await _accept(site, f"held{number}", accelerators=8, work_s=60.0)
    await trio.sleep(4.0)
    for number in range(2):
        await _accept(
            site, f"lent{number}", queue="batch", accelerators=8, work_s=60.0, checkpointing=True
        )
    await trio.sleep(LONGEST_STAND_S + 1.0)


def _count_starts(site: EmulatedSite) -> dict[str, int]:
    found: dict[str, int] = {}
    for start in site.executors.starts():
        found[start.task.job] = found.get(start.task.job, 0) + 1
    return found


async def test_after_a_takeover_lent_capacity_is_taken_back_first(autojump_clock: Clock) -> None:
    """The owner is killed while capacity is lent.

    Guards against a next owner that does not know what was lent and stops other work.
    """
    async with EmulatedSite.open(hosts=3, policy=ON) as site:
        await _fill_with_lent_and_held(site)
        owner = site.owner_name()
        assert owner is not None
        site.kill_host(owner)
        await site.wait_for_owner()
        await trio.sleep(8.0)
        before = _count_starts(site)
        assert before["held0"] == before["held1"] == 1
        await _accept(site, "u", queue="urgent", tenant="second", accelerators=8, work_s=1.0)
        await trio.sleep(RECLAIM_BOUND_S)
        after = _count_starts(site)
        assert after["u"] == 1
        await trio.sleep(6.0)
        after = _count_starts(site)
        assert after["held0"] == after["held1"] == 1
        assert after["lent0"] + after["lent1"] > before["lent0"] + before["lent1"]
        assert check_promises(site.executors, {}) == []


async def test_a_burst_of_urgent_work_takes_back_all_that_is_lent(autojump_clock: Clock) -> None:
    """Guards against urgent work that starves while everything is lent."""
    async with EmulatedSite.open(hosts=2, policy=ON) as site:
        await _fill_with_lent_and_held(site)
        asked = trio.current_time()
        for number in range(4):
            tenant = "first" if number % 2 else "second"
            await _accept(
                site, f"u{number}", queue="urgent", tenant=tenant, accelerators=8, work_s=1.0
            )
        await trio.sleep(RECLAIM_BOUND_S)
        started = {s.task.job: s.at for s in site.executors.starts() if s.task.job.startswith("u")}
        assert sorted(started) == [f"u{number}" for number in range(4)]
        assert max(started.values()) - asked <= RECLAIM_BOUND_S
        assert check_promises(site.executors, {}) == []


async def test_a_guarantee_is_reclaimed_in_its_bound_from_spared_jobs(
    autojump_clock: Clock,
) -> None:
    """All that runs was preempted as often as it may be outside guarantees.

    Guards against a limit on preemptions that holds up a guarantee.
    """
    async with EmulatedSite.open(hosts=2, policy=ON) as site:
        host = site.hosts[await site.wait_for_owner()]
        await _accept(site, "seen", queue="urgent", accelerators=8, work_s=0.5)
        for number in range(4):
            await _accept(site, f"b{number}", accelerators=8, work_s=60.0)
        await trio.sleep(5.0)
        assert host.owner is not None
        for job in host.owner.cell.active.values():
            job.preemptions = job.open_preemptions = MAX_PREEMPTIONS
        asked = trio.current_time()
        await _accept(site, "u", queue="urgent", accelerators=8, count=2, gang=True, work_s=1.0)
        await trio.sleep(RECLAIM_BOUND_S)
        started = [start for start in site.executors.starts() if start.task.job == "u"]
        assert len(started) == 2
        assert max(start.at for start in started) - asked <= RECLAIM_BOUND_S
        shown = describe_cell(host.owner.cell, host.configuration.state, "h0")
        assert [row["pool"] for row in shown["load"]["reserved"]] == ["pool"]
        assert check_promises(site.executors, {}) == []
