"""Comparison of the planner's decisions with those of the reference planner."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

import pytest
import trio
from heronthread_dispatch import owner as owner_module
from heronthread_dispatch.fair_shares import Demand
from heronthread_dispatch.fleet import ExecutorState
from heronthread_dispatch.learned import LearnedState
from heronthread_dispatch.losses import expected_end_s
from heronthread_dispatch.model import (
    NO_RESOURCES,
    URGENT,
    DesiredState,
    Executor,
    JobSpec,
    Queue,
    Resources,
    Schedule,
    StepSpec,
    TaskKey,
    Tenant,
)
from heronthread_dispatch.plan import Plan
from heronthread_dispatch.planner import Planner
from heronthread_dispatch.policy import Policy
from heronthread_dispatch.progress import JobState, make_job
from heronthread_dispatch.run_lengths import MIN_COMPLETIONS
from heronthread_dispatch.step_state import Attempt, Phase, StepState
from heronthread_dispatch.urgent_forecast import GangShape
from heronthread_emulator import EmulatedSite

from .reference_planner.planner import Planner as ReferencePlanner

NOW = 500.0
CAPACITY = Resources(16_000, 64_000, 8)
QUEUES = (
    Queue("urgent", "h", "/u/", "pool", URGENT, 2, 1.5, 0.25),
    Queue("gangs", "h", "/g/", "pool", 1, 3, 3.0, 1.0),
    Queue("batch", "h", "/b/", "pool", 2, 3, 3.0, 3.0),
    Queue("other", "h", "/o/", "second", 2, 3, 3.0, 3.0),
)
TENANTS = [Tenant("a", (), 16), Tenant("b", (), 4), Tenant("c", (), 0)]
DESIRED = DesiredState.build(1, list(QUEUES), TENANTS, 1)


class _Generator:
    """Generates the state of a cell from a seed."""

    def __init__(self, seed: int) -> None:
        self.source = random.Random(seed)
        self.racks = self.source.randint(1, 4)
        self.has_lasting = self.source.random() < 0.3
        self.executors = [self._make_executor(n) for n in range(self.source.randint(1, 14))]
        self.jobs: list[JobState] = []

    def _chance(self, share: float) -> bool:
        return self.source.random() < share

    def _make_executor(self, number: int) -> ExecutorState:
        rack = f"r{self.source.randrange(self.racks)}"
        labels = (self.source.choice(("k", "m")), rack)
        pool = "second" if self._chance(0.1) else "pool"
        name = f"e{number}"
        state = ExecutorState(
            Executor(name, name, pool, "z", rack, labels, CAPACITY), free=CAPACITY
        )
        state.has_reported = state.recorded = not self._chance(0.05)
        state.slow_until = NOW + 2.0 if self._chance(0.2) else 0.0
        state.leaves_at = NOW + 3.0 if self._chance(0.05) else None
        state.backoff_until = NOW + 1.0 if self._chance(0.05) else 0.0
        return state

    def _make_step(self, queue: Queue, number: int) -> StepSpec:
        is_urgent = queue.priority == URGENT
        step = StepSpec(
            self.source.choice((1, 1, 2, 3, 5, 8)),
            Resources(
                self.source.choice((500, 2_000, 7_500)), 1_000, self.source.choice((0, 1, 2, 4, 8))
            ),
            self.source.choice((1.0, 2.5, 8.0)),
            tuple(range(number)),
            gang=self._chance(0.8 if is_urgent else 0.4),
            same_rack=self._chance(0.5),
            label="k" if self._chance(0.15) else "",
            data_rack=f"r{self.source.randrange(self.racks + 1)}" if self._chance(0.25) else "",
            spread_limit=self.source.choice((0, 0, 0, 1, 2)),
            checkpointing=self._chance(0.4),
        )
        if self.has_lasting and not is_urgent and self._chance(0.4):
            step = replace(step, gang=False, lasting=True, may_miss=self.source.choice((0, 1, 2)))
            kind = self.source.randrange(3)
            return replace(step, target_s=0.1) if kind == 0 else replace(step, fills=kind == 1)
        return step

    def make_job(self, name: str) -> JobState:
        queue = self.source.choice(QUEUES)
        steps = tuple(self._make_step(queue, n) for n in range(self.source.choice((1, 1, 1, 2))))
        schedule = (
            Schedule(2, NOW - 1.0, self.source.choice((0.5, 3.0))) if self._chance(0.1) else None
        )
        accepted = NOW - self.source.uniform(0.0, 12.0)
        tenant = self.source.choice(TENANTS).name
        job = make_job(JobSpec(name, queue, tenant, "", steps, accepted, schedule), NOW)
        for number in range(job.spec.occurrences):
            job.occurrences.find(number)
        for step in job.steps:
            if self._chance(0.6):
                step.ready_at = NOW - self.source.uniform(0.0, 4.0)
            for task in step.tasks:
                if self._chance(0.1):
                    task.avoid[f"e{self.source.randrange(14)}"] = NOW + self.source.uniform(-1, 1)
        self.jobs.append(job)
        return job

    def run_first_step(self, job: JobState) -> None:
        """Run the tasks of the job's first step on executors with enough free capacity."""
        step = job.steps[0]
        ends_soon = self._chance(0.2)
        for task in step.tasks:
            states = [s for s in self.executors if step.spec.need.fits_in(s.free)]
            if states and (step.spec.gang or self._chance(0.8)):
                state = self.source.choice(states)
                key = job.key_of(step, task)
                self._place(step, key, state, 95.0 if ends_soon else self.source.uniform(1, 100))
                task.attempt = state.attempts[key]
            elif self._chance(0.3) and not step.spec.gang:
                task.done = True

    def _place(self, step: StepState, key: TaskKey, state: ExecutorState, percent: float) -> None:
        began = NOW - self.source.uniform(0.2, 9.0)
        attempt = Attempt(key, 1, state.instance, step.spec.need, began, Phase.RUNNING)
        attempt.began_at, attempt.progressed_at = began, NOW - self.source.uniform(0, 0.1)
        attempt.percent = 100.0 if step.spec.lasting else percent
        state.occupy(attempt)

    def add_orphaned_runs(self, source: random.Random) -> None:
        """Add runs that are not their tasks' current attempts."""
        for job in self.jobs:
            for step in job.steps:
                if not step.spec.spread_limit or source.random() < 0.5:
                    continue
                for state in source.sample(self.executors, min(2, len(self.executors))):
                    task = job.key_of(step, source.choice(step.tasks))
                    if step.spec.need.fits_in(state.free):
                        need = step.spec.need
                        state.occupy_orphan(
                            Attempt(task, 9, state.instance, need, NOW, Phase.STOPPING)
                        )

    def stop_some_steps(self) -> None:
        for job in self.jobs:
            for step in job.steps:
                if self._chance(0.1):
                    for task in step.tasks:
                        if task.attempt is not None:
                            task.attempt.phase = Phase.STOPPING


def _make_state(seed: int) -> tuple[list[JobState], list[ExecutorState]]:
    generator = _Generator(seed)
    for number in range(generator.source.randint(0, 20)):
        generator.run_first_step(generator.make_job(f"r{number}"))
    generator.stop_some_steps()
    for number in range(generator.source.randint(1, 25)):
        generator.make_job(f"w{number}")
    generator.add_orphaned_runs(random.Random(seed))
    return generator.jobs, generator.executors


def _describe(plan: Plan) -> dict[str, object]:
    return {
        "starts": [
            [(s.job.spec.id, s.step.number, s.task.index, s.executor.id) for s in group]
            for group in plan.groups
        ],
        "stops": [(attempt.task, attempt.run) for attempt in plan.stops],
        "questions": plan.approval_requests,
        "recheck": plan.replan_in_s,
    }


def _describe_step_changes(jobs: list[JobState]) -> list[tuple[float | None, str | None]]:
    """Return what a plan changes in the jobs."""
    return [(step.ready_at, step.chosen_rack) for job in jobs for step in job.steps]


@pytest.mark.parametrize("part", range(8))
def test_decisions_equal_the_reference_planners(part: int) -> None:
    for seed in range(part * 150, part * 150 + 150):
        source = random.Random(seed)
        policy = Policy(headroom=source.random() < 0.8, reserve=source.random() < 0.8)
        peaks = {"pool": source.choice((0, 4, 24))}
        stop_s = source.choice((0.1, 0.9))
        found = []
        for make in (ReferencePlanner, Planner):
            jobs, executors = _make_state(seed)
            planner = make(jobs, executors, DESIRED, NOW, NOW, peaks, policy=policy, stop_s=stop_s)
            plan = planner.make()
            found.append((_describe(plan), _describe_step_changes(jobs), planner.urgent_demand()))
        assert found[1] == found[0], f"seed {seed}"


def _learn_speeds(executors: list[ExecutorState], factor: float) -> LearnedState:
    """Return what gangs over all executors show if every third is faster by `factor`."""
    learned = LearnedState()
    for number in range(20):
        for index, state in enumerate(executors):
            rate = 10.0 * (factor if index % 3 == 0 else 1.0)
            step = TaskKey(f"l{number}", 0, 0)
            pool = state.executor.pool
            learned.speeds.note(pool, step, state.instance, rate, NOW - 40 + 2 * number)
    return learned


@pytest.mark.parametrize(("factor", "is_on"), [(1.0, True), (2.15, False)])
def test_decisions_with_equal_speeds_or_without_them_equal_the_reference_planners(
    factor: float, is_on: bool
) -> None:
    """Where executors are alike, or the switch is off, speeds must not change a plan."""
    policy = Policy(executor_speeds=is_on)
    for seed in range(200):
        jobs, executors = _make_state(seed)
        plain = ReferencePlanner(jobs, executors, DESIRED, NOW, NOW, {"pool": 4}, policy=policy)
        expected = _describe(plain.make()), _describe_step_changes(jobs)
        jobs, executors = _make_state(seed)
        learned = _learn_speeds(executors, factor)
        planner = Planner(
            jobs, executors, DESIRED, NOW, NOW, {"pool": 4}, policy=policy, learned=learned
        )
        assert (_describe(planner.make()), _describe_step_changes(jobs)) == expected, f"seed {seed}"


def test_known_speeds_change_plans() -> None:
    """Otherwise the comparison above would pass for speeds that are never used."""
    changed = 0
    for seed in range(200):
        found = []
        for factor in (1.0, 2.15):
            jobs, executors = _make_state(seed)
            learned = _learn_speeds(executors, factor)
            planner = Planner(jobs, executors, DESIRED, NOW, NOW, learned=learned)
            found.append(_describe(planner.make()))
        changed += found[0] != found[1]
    assert changed >= 20


def _learn_lengths(ends: int, ratio: float) -> LearnedState:
    """Return what is learned from completions that took `ratio` times the estimate."""
    learned = LearnedState()
    for queue in QUEUES:
        for number in range(ends):
            estimate_s = 0.5 + number % 7
            tenant = TENANTS[number % 3].name
            learned.lengths.note_end(tenant, queue.name, estimate_s, ratio * estimate_s, NOW - 1.0)
    return learned


def _measure_tasks(jobs: list[JobState], seed: int) -> None:
    """Set measured ratios of tasks to their estimates, far from 1."""
    source = random.Random(seed)
    for job in jobs:
        for step in job.steps:
            if source.random() < 0.3:
                step.ratios.update({t.index: source.uniform(0.1, 10) for t in step.tasks})


@pytest.mark.parametrize(
    ("ends", "ratio", "is_on", "equal"),
    [
        (MIN_COMPLETIONS - 1, 6.0, True, True),
        (100, 6.0, False, True),
        (100, 1.0, True, True),
        (100, 6.0, True, False),
    ],
)
def test_plans_change_only_with_evidence_that_estimates_are_wrong(
    ends: int, ratio: float, is_on: bool, equal: bool
) -> None:
    """Guards against predictions that change plans without evidence or with their switch off.

    Tasks have measured ratios, and some runs have made no progress yet.
    """
    changed = 0
    for seed in range(300):
        found = []
        for make in (ReferencePlanner, Planner):
            jobs, executors = _make_state(seed)
            _measure_tasks(jobs, seed)
            for attempt in (attempt for job in jobs for attempt in job.attempts()):
                if attempt.task.member % 3 == 0:
                    attempt.percent = 0.0
            policy = Policy(run_lengths=is_on, hopeless_last=seed % 2 == 0)
            more = {"learned": _learn_lengths(ends, ratio)} if make is Planner else {}
            planner = make(jobs, executors, DESIRED, NOW, NOW, {}, policy=policy, **more)
            found.append((_describe(planner.make()), _describe_step_changes(jobs)))
        changed += found[0] != found[1]
    assert (changed == 0) is equal, f"{changed} plans changed"


def test_with_the_switch_off_a_forecast_of_urgent_work_changes_no_decision() -> None:
    """Guards against a use of the forecast by the earlier code."""
    learned, policy = LearnedState(), Policy(urgent_room=False)
    for number in range(30):
        shape = GangShape(1 + number % 5, Resources(500, 1_000, 4), True)
        learned.forecast.note_arrival("pool", shape, 2.0, NOW - 0.4 * number)
    for seed in range(200):
        jobs, executors = _make_state(seed)
        expected = _describe(
            ReferencePlanner(jobs, executors, DESIRED, NOW, NOW, policy=policy).make()
        )
        jobs, executors = _make_state(seed)
        planner = Planner(jobs, executors, DESIRED, NOW, NOW, policy=policy, learned=learned)
        assert _describe(planner.make()) == expected, f"seed {seed}"


@pytest.mark.parametrize("make", [ReferencePlanner, Planner])
def test_promised_resources_never_exceed_those_freed(make: type[Planner]) -> None:
    """Resources of attempts that end soon count once, also if the plan stops these attempts."""
    promised = 0
    for seed in range(400):
        jobs, executors = _make_state(seed)
        policy = Policy(headroom=seed % 2 == 0, reserve=False)
        planner = make(jobs, executors, DESIRED, NOW, NOW, policy=policy, stop_s=0.9)
        stopped = {id(attempt) for attempt in planner.make().stops}
        for offer in (offer for offers in planner.offers.values() for offer in offers):
            left = offer.projected
            for attempt in offer.state.attempts.values():
                ends = expected_end_s(attempt, NOW) <= 0.9 and id(attempt) not in stopped
                if attempt.phase is Phase.RUNNING and ends:
                    left = left.plus(attempt.need)
            assert NO_RESOURCES.fits_in(left), f"seed {seed}, {offer.state.id}"
            promised += not NO_RESOURCES.fits_in(offer.projected)
    assert promised >= 20, "few offers promise resources of attempts that end soon"


def _count_starts_beyond_limit(
    plan: Plan, executors: list[ExecutorState]
) -> tuple[list[tuple[str, int, int, str]], int, int]:
    """Return where starts exceed a spread limit, and how many are limited, and beside orphans."""
    held: Counter[tuple[str, int, int, str]] = Counter()
    for state in executors:
        for task in [*state.attempts, *(task for task, _ in state.orphans)]:
            held[task.job, task.step, task.occurrence, state.id] += 1
    beyond, limited, beside_orphaned_runs = [], 0, 0
    for start in (start for group in plan.groups for start in group):
        limit = start.step.spec.spread_limit
        if limit:
            key = start.job.key_of(start.step, start.task)
            place = (key.job, key.step, key.occurrence, start.executor.id)
            limited += 1
            beside_orphaned_runs += held[place] > 0
            held[place] += 1
            if held[place] > limit:
                beyond.append(place)
    return beyond, limited, beside_orphaned_runs


@pytest.mark.parametrize("make", [ReferencePlanner, Planner])
def test_starts_obey_the_spread_limit(make: type[Planner]) -> None:
    """Orphaned runs count against the spread limit until they are stopped."""
    limited = beside_orphaned_runs = 0
    for seed in range(400):
        jobs, executors = _make_state(seed)
        plan = make(jobs, executors, DESIRED, NOW, NOW).make()
        beyond, of_limited, beside = _count_starts_beyond_limit(plan, executors)
        assert beyond == [], f"seed {seed}"
        limited += of_limited
        beside_orphaned_runs += beside
    assert limited >= 300
    assert beside_orphaned_runs >= 20


def _record_executors(jobs: list[JobState], executors: list[ExecutorState], seed: int) -> None:
    """Record for each task some executors, as in the store, so that steps are split."""
    source = random.Random(seed)
    for job in jobs:
        job.places.named = {state.id: source.getrandbits(64) for state in executors}


def test_parts_of_a_step_split_by_a_store_outage_share_its_spread_limit() -> None:
    beyond, limited = {}, 0
    for seed in range(400):
        jobs, executors = _make_state(seed)
        _record_executors(jobs, executors, seed)
        plan = Planner(jobs, executors, DESIRED, NOW, NOW, can_write_store=False).make()
        found, of_limited, _ = _count_starts_beyond_limit(plan, executors)
        limited += of_limited
        if found:
            beyond[seed] = found
    assert beyond == {}, f"{len(beyond)} of 400 plans"
    assert limited >= 300


def test_generated_states_cover_every_kind_of_decision() -> None:
    """The generated states cover starts, stops, gangs, reservations and waits."""
    starts = stops = gangs = reservations = waits = 0
    for seed in range(300):
        jobs, executors = _make_state(seed)
        plan = Planner(jobs, executors, DESIRED, NOW, NOW).make()
        starts += len(plan.groups)
        gangs += sum(1 for group in plan.groups if len(group) > 1 and group[0].step.spec.gang)
        stops += len(plan.stops)
        reservations += sum(step.chosen_rack is not None for job in jobs for step in job.steps)
        waits += plan.replan_in_s is not None
    assert min(starts, stops, gangs, reservations, waits) >= 50


class _BothPlanners(Planner):
    """Compares each plan with the reference planner's plan for the same state."""

    compared = 0

    def __init__(
        self,
        *arguments: object,
        learned: LearnedState,
        late_starts: Iterable[tuple[str, TaskKey]],
    ) -> None:
        late_starts = list(late_starts)
        assert not late_starts, "late starts are tried in test_spread"
        super().__init__(*arguments, learned=learned, late_starts=late_starts)  # type: ignore[arg-type]
        given = list(arguments)
        given[6] = given[6] or (lambda task: False)
        self._plain = ReferencePlanner(*given)  # type: ignore[arg-type]

    def make(self, budget_s: float = float("inf"), most_starts: float = float("inf")) -> Plan:
        expected = _describe(self._plain.make())
        plan = super().make()
        assert _describe(plan) == expected
        type(self).compared += 1
        return plan


async def test_decisions_of_a_recorded_run_equal_the_reference_planners(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(owner_module, "Planner", _BothPlanners)
    async with EmulatedSite.open(hosts=3) as site:
        owner = await site.wait_for_owner()
        host = site.hosts[owner]
        for number in range(30):
            job = site.make_job(f"{number:016x}", count=1 + number % 7, work_s=1.0 + number % 4)
            await host.requests.accept(job, 2.0)
            await trio.sleep(0.2)
        await trio.sleep(10.0)
    assert _BothPlanners.compared > 60


def _set_tenants(jobs: list[JobState], name: str) -> None:
    for job in jobs:
        job.spec = replace(job.spec, tenant=name)


def _learn_use(jobs: list[JobState], **held: int) -> LearnedState:
    """Return what an owner knows after a minute in which customers held some accelerators."""
    learned, capacity = LearnedState(), Resources(100_000, 100_000, 100)
    for pool in ("pool", "second"):
        for second in range(60):
            for tenant, count in held.items():
                need, at = Resources(0, 0, count), NOW - 60.0 + second
                learned.shares.charge(pool, tenant, need, capacity, 1.0, at)
        names = frozenset(job.spec.tenant for job in jobs)
        weights = dict.fromkeys(names, 1.0)
        learned.shares.assess(pool, Demand(weights, names), NOW)
    return learned


def _plan_with_shares(
    seed: int, policy: Policy, tenant: str = "", **held: int
) -> dict[str, object]:
    jobs, executors = _make_state(seed)
    if tenant:
        _set_tenants(jobs, tenant)
    learned = _learn_use(jobs, **held)
    planner = Planner(jobs, executors, DESIRED, NOW, NOW, policy=policy, learned=learned)
    return _describe(planner.make())


@pytest.mark.parametrize(
    ("tenant", "held", "is_on"),
    [
        ("a", {"a": 90, "b": 5}, True),
        ("", {"a": 30, "b": 30, "c": 30}, True),
        ("", {"a": 90, "b": 5, "c": 5}, False),
    ],
    ids=["one customer", "even use", "switched off"],
)
def test_fair_shares_change_nothing_where_use_is_fair(
    tenant: str, held: dict[str, int], is_on: bool
) -> None:
    """Guards against another order for deployments whose customers are alike or single."""
    for seed in range(300):
        found = _plan_with_shares(seed, Policy(fair_shares=is_on), tenant, **held)
        plain = _plan_with_shares(seed, Policy(fair_shares=False), tenant)
        assert found == plain, f"seed {seed}"


def test_fair_shares_change_plans_where_use_is_uneven() -> None:
    """Shows that the equal plans of the test above are not equal for want of any effect."""
    held = {"a": 90, "b": 5, "c": 5}
    found = [_plan_with_shares(seed, Policy(), **held) for seed in range(300)]
    plain = [_plan_with_shares(seed, Policy(fair_shares=False), **held) for seed in range(300)]
    assert sum(one != other for one, other in zip(found, plain, strict=True)) >= 30


def test_shares_idle_no_capacity() -> None:
    """Without gangs and reservations each plan starts as many tasks in either order."""
    started = 0
    for seed in range(100):
        totals = []
        for is_on in (True, False):
            generator = _Generator(seed)
            generator.has_lasting = False
            for number in range(25):
                job = generator.make_job(f"w{number}")
                job.spec = replace(
                    job.spec, steps=(StepSpec(3, Resources(2_000, 1_000, 2), 2.0),), schedule=None
                )
                generator.jobs[-1] = make_job(job.spec, NOW)
            jobs, executors = generator.jobs, generator.executors
            learned = _learn_use(jobs, a=90, b=5, c=5)
            policy = Policy(fair_shares=is_on, headroom=False, reserve=False)
            planner = Planner(jobs, executors, DESIRED, NOW, NOW, policy=policy, learned=learned)
            totals.append(sum(len(group) for group in planner.make().groups))
        assert totals[0] == totals[1], f"seed {seed}"
        started += totals[0] > 0
    assert started >= 80
