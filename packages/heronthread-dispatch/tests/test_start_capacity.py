"""How many starts are under way at once, however many tasks are due."""

from itertools import pairwise
from random import Random

import pytest
import trio
from heronthread_dispatch import orders as orders_module
from heronthread_dispatch.planner import Planner
from heronthread_dispatch.record import JobStatus
from heronthread_dispatch.step_state import Phase
from heronthread_emulator import EmulatedSite

from benchmarks.planning import DESIRED, NOW, make_executors, make_waiting

Clock = trio.testing.MockClock
MOST, LEAST = 8, 2


def _count_starting(site: EmulatedSite) -> int:
    owner = site.hosts[str(site.owner_name())].owner
    assert owner is not None
    states = owner.cell.executors.values()
    attempts = (attempt for state in states for attempt in state.attempts.values())
    return sum(attempt.phase is Phase.STARTING for attempt in attempts)


async def test_tasks_that_are_due_at_once_are_started_in_parts(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a lease lost because thousands of starts delay its renewal."""
    monkeypatch.setattr(orders_module, "MAX_STARTS_UNDER_WAY", MOST)
    monkeypatch.setattr(orders_module, "MIN_STARTS_PER_PLAN", LEAST)
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        for name in ("a", "b", "c"):
            record = site.make_job(name, count=16, accelerators=0, work_s=1.0)
            await site.hosts["h0"].requests.accept(record, 2.0)
        most = 0
        for _ in range(400):
            await trio.sleep(0.005)
            most = max(most, _count_starting(site))
        await trio.sleep(20.0)
        assert 0 < most <= 16 + MOST + LEAST
        for name in ("a", "b", "c"):
            assert await site.find_status(name) is JobStatus.SUCCEEDED


def test_a_plan_ends_once_it_has_enough_starts() -> None:
    states, jobs = make_executors(36), make_waiting(80, Random(1))
    planner = Planner(jobs, states, DESIRED, NOW, NOW)
    plan = planner.make(most_starts=20)
    sizes = [len(group) for group in plan.groups]
    assert sum(sizes) >= 20 > sum(sizes[:-1])
    assert not planner.is_complete
    assert all(
        earlier[0].job.spec.queue.priority <= later[0].job.spec.queue.priority
        for earlier, later in pairwise(plan.groups)
        if earlier[0].job.spec.queue.priority == 0 or later[0].job.spec.queue.priority == 0
    )
