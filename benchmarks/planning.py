"""What a plan costs by executors and waiting jobs, on states made from a seed.

Run with `make bench-planning`. Times are processor time in milliseconds, the least of several
rounds, of the reference planner (which the tests keep) and of the product's with the charging of
customers that precedes each plan: `full`, where nothing
waiting fits; `urgent`, where urgent gangs need others' room; `free`, where a third of the
executors is empty.
"""

from __future__ import annotations

import random
import time

from heronthread_dispatch.fleet import ExecutorState
from heronthread_dispatch.learned import LearnedState
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
from heronthread_dispatch.planner import Planner
from heronthread_dispatch.progress import JobState, make_job
from heronthread_dispatch.share_accounting import ShareAccounting
from heronthread_dispatch.step_state import Attempt, Phase

from tests.reference_planner.planner import Planner as ReferencePlanner

SIZES = ((24, 60), (176, 400), (270, 400), (540, 800))
ROUNDS = 2
CASES = ("full", "urgent", "free")
CAPACITY = Resources(64_000, 262_144, 8)
RACK = 12
NOW = 1_000.0

QUEUES = [
    Queue("urgent", "h", "/u/", "pool", URGENT, 2, 1.5, 0.25),
    Queue("gangs", "h", "/g/", "pool", 1, 3, 3.0, 1.0),
    Queue("batch", "h", "/b/", "pool", 2, 3, 3.0, 3.0),
]
TENANTS = [Tenant(f"t{number}", (), 40) for number in range(10)]
DESIRED = DesiredState.build(1, QUEUES, TENANTS, 1)


def make_executors(count: int) -> list[ExecutorState]:
    """Return executors that were heard and are empty."""
    states = []
    for number in range(count):
        rack = f"r{number // RACK}"
        executor = Executor(f"e{number}", f"e{number}", "pool", "z", rack, ("k", rack), CAPACITY)
        state = ExecutorState(executor, free=CAPACITY)
        state.has_reported = state.recorded = True
        states.append(state)
    return states


def make_waiting(count: int, source: random.Random) -> list[JobState]:
    """Return jobs of which nothing has started: a tenth urgent, a third gangs, the rest batch."""
    jobs = []
    for number in range(count):
        kind = source.random()
        queue = QUEUES[0] if kind < 0.1 else QUEUES[1] if kind < 0.4 else QUEUES[2]
        is_gang = queue.name != "batch"
        accelerators = source.choice((1, 2, 4, 8, 8)) if is_gang else 1
        step = StepSpec(
            max(1, min(39, int(source.expovariate(1 / (8 if is_gang else 20))))),
            Resources(3_700 if queue.priority == URGENT else 13_000, 11_000, accelerators),
            2.5 if queue.priority == URGENT else 8.0,
            gang=is_gang,
            same_rack=is_gang and source.random() < 0.6,
            data_rack="r0" if source.random() < 0.2 else "",
        )
        tenant = source.choice(TENANTS).name
        spec = JobSpec(f"{number:016x}", queue, tenant, "", (step,), NOW - source.random() * 9)
        jobs.append(make_job(spec, NOW))
    return jobs


def occupy(states: list[ExecutorState], source: random.Random) -> list[JobState]:
    """Fill executors with running batch work of other jobs."""
    jobs = []
    for number, state in enumerate(states):
        step = StepSpec(8, Resources(6_000, 11_000, 1), 8.0)
        spec = JobSpec(f"f{number:015x}", QUEUES[2], "t0", "", (step,), NOW - 20)
        job = make_job(spec, NOW)
        for task in job.steps[0].tasks:
            key = TaskKey(spec.id, 0, task.index)
            attempt = Attempt(key, 1, state.instance, step.need, NOW - 5, Phase.RUNNING)
            attempt.began_at, attempt.progressed_at = NOW - 5, NOW
            attempt.percent = source.uniform(10, 60)
            task.attempt = attempt
            state.occupy(attempt)
        jobs.append(job)
    return jobs


def plan(
    make: type[Planner] | type[ReferencePlanner], states: list[ExecutorState], jobs: list[JobState]
) -> float:
    """Return the processor time of one plan, in ms."""
    started = time.process_time()
    if issubclass(make, Planner):
        learned = LearnedState()
        ShareAccounting(learned.shares).update(jobs, states, DESIRED, NOW, NOW)
        make(jobs, states, DESIRED, NOW, NOW, learned=learned).make()
    else:
        make(jobs, states, DESIRED, NOW, NOW).make()
    return (time.process_time() - started) * 1000


def make_state(
    executors: int, waiting: int, case: str, seed: int
) -> tuple[list[ExecutorState], list[JobState]]:
    """Return a full, an urgent or a partly free pool and its jobs."""
    source = random.Random(seed)
    states = make_executors(executors)
    jobs = make_waiting(waiting, source)
    if case == "full":
        jobs = [job for job in jobs if job.spec.queue.priority != URGENT]
    busy = states[executors // 3 :] if case == "free" else states
    return states, jobs + occupy(busy, source)


def measure(
    make: type[Planner] | type[ReferencePlanner], executors: int, waiting: int, case: str
) -> float:
    """Return the least time of one case."""
    times = []
    for seed in range(ROUNDS):
        states, jobs = make_state(executors, waiting, case, seed)
        times.append(plan(make, states, jobs))
    return min(times)


def main() -> None:
    """Print the table."""
    print("executors  jobs  case    plain ms  product ms  ratio")
    for executors, waiting in SIZES:
        for case in CASES:
            plain = measure(ReferencePlanner, executors, waiting, case)
            product = measure(Planner, executors, waiting, case)
            print(
                f"{executors:9d}  {waiting:4d}  {case:6}  {plain:8.1f}  {product:10.1f}"
                f"  {product / plain:5.3f}"
            )


if __name__ == "__main__":
    main()
