"""Property-based tests of guarantees, gangs and capacity over random histories."""

from __future__ import annotations

from unittest.mock import patch

import pytest
from heronthread_scheduling import (
    CellScheduler,
    Gang,
    Guarantee,
    Job,
    JobClass,
    Level,
    Pool,
    Reclaim,
    RunningGang,
    Shape,
    Start,
    Topology,
    Worker,
    find_violations,
    job_start,
    placement,
)
from heronthread_scheduling.capacity import PoolCapacity
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

CUSTOMERS = ("a", "b", "c")
CLASS = JobClass("work")
EXAMPLES = settings(
    max_examples=60, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)

shapes = st.builds(
    Shape,
    members=st.integers(1, 4),
    units=st.sampled_from((1, 2, 4)),
    adjacency=st.sampled_from((Level.WORKER, Level.RACK, Level.DOMAIN)),
)
topologies = st.lists(st.integers(1, 3), min_size=1, max_size=4).map(
    lambda racks: Topology(
        Worker(f"r{r}w{w}", f"r{r}", f"d{r % 2}", 4, 0)
        for r, count in enumerate(racks)
        for w in range(count)
    )
)
guarantees = st.lists(
    st.builds(
        Guarantee,
        customer=st.sampled_from(CUSTOMERS),
        shape=shapes,
        count=st.integers(1, 2),
    ),
    max_size=3,
    unique_by=lambda g: (g.customer, g.shape),
)
steps = st.lists(
    st.one_of(
        st.tuples(
            st.just("submit"),
            st.sampled_from(CUSTOMERS),
            shapes,
            st.booleans(),
            st.booleans(),
        ),
        st.tuples(st.just("finish"), st.integers(0, 50)),
        st.tuples(st.just("lose"), st.integers(0, 50)),
        st.tuples(st.just("return"), st.integers(0, 50)),
    ),
    max_size=40,
)


def run_history(topology: Topology, guarantees: list[Guarantee], steps: list) -> list[str]:
    """Run the steps and return the violations that the audit finds after each of them."""
    cell = CellScheduler(topology, guarantees)
    if cell.unbacked():
        return []
    found = []
    now = 0.0
    for number, step in enumerate(steps):
        now += 1.0
        if step[0] == "submit":
            _, customer, shape, repeatable, checkpointable = step
            job = Job(f"j{number}", customer, CLASS, shape, 10, 15, repeatable, checkpointable)
            cell.submit(job, now)
        elif step[0] == "finish" and cell.gangs:
            cell.finish(sorted(cell.gangs)[step[1] % len(cell.gangs)])
        elif step[0] == "lose":
            mark_worker_lost(cell, step[1] % len(topology), now)
        elif step[0] == "return":
            cell.restore_worker(topology.workers[step[1] % len(topology)].name)
        run_passes(cell, now)
        if not cell.unbacked():
            found += audit(cell, guarantees)
    return found


def mark_worker_lost(cell: CellScheduler, worker: int, now: float) -> None:
    for gang in cell.mark_worker_lost(cell.topology.workers[worker].name):
        cell.finish(gang.job.id)


def run_passes(cell: CellScheduler, now: float) -> None:
    """Run passes until there are no more decisions; reclaimed gangs stop at once."""
    for round_number in range(5):
        decisions = cell.decide(now + round_number * 0.1)
        for decision in decisions:
            if isinstance(decision, Reclaim):
                for victim in decision.victims:
                    if cell.finish(victim.job.id) is not None:
                        cell.requeue(victim.job, now)
        if not decisions:
            return


def audit(cell: CellScheduler, guarantees: list[Guarantee]) -> list[str]:
    gangs = [to_running_gang(cell, gang) for gang in cell.gangs.values()]
    lost = cell.pools[Pool.ACCELERATORS].capacity.lost
    found = find_violations(cell.topology, Pool.ACCELERATORS, lost, guarantees, gangs)
    return [violation.code for violation in found]


def to_running_gang(cell: CellScheduler, gang: Gang) -> RunningGang:
    job = gang.job
    block = cell.pools[Pool.ACCELERATORS].blocks.by_id.get(gang.block or "")
    places = block.places if block else None
    return RunningGang(
        job.id, job.customer, job.shape, gang.places, job.reclaimable, gang.block, places
    )


@EXAMPLES
@given(topologies, guarantees, steps)
def test_every_unused_guarantee_can_be_placed(topology, guarantees, steps):
    assert run_history(topology, guarantees, steps) == []


def fixed_history() -> tuple[Topology, list[Guarantee], list]:
    topology = Topology(Worker(f"w{i}", f"r{i // 2}", "d", 4, 0) for i in range(4))
    pinned = [("submit", "b", Shape(1, 2), False, False)] * 8
    gangs = [("submit", "c", Shape(2, 2, Level.RACK), True, False)] * 4
    return topology, [Guarantee("a", Shape(2, 4, Level.RACK))], gangs + pinned


def test_fixed_history_has_no_violations():
    assert run_history(*fixed_history()) == []


def test_planted_unreserved_guarantee_is_detected():
    with patch.object(PoolCapacity, "unreserved", PoolCapacity.capacity):
        topology, guarantees, _ = fixed_history()
        history = [("submit", "b", Shape(1, 2), False, False)] * 8
        assert "guarantee" in run_history(topology, guarantees, history)


def test_planted_partial_gang_is_detected():
    def place_one_member_less(shape, *args, **kwargs):
        places = place_members(shape, *args, **kwargs)
        if places and len(places) > 1:
            places.popitem()
        return places

    place_members = placement.place_members
    with patch.object(placement, "place_members", place_one_member_less):
        topology, _, _ = fixed_history()
        history = [("submit", "c", Shape(4, 2, Level.RACK), True, False)]
        assert "partial-gang" in run_history(topology, [], history)


def test_planted_double_use_is_detected():
    with patch.object(PoolCapacity, "free_units", PoolCapacity.capacity):
        topology, _, _ = fixed_history()
        history = [("submit", "c", Shape(1, 4), True, False)] * 6
        assert "double-use" in run_history(topology, [], history)


def test_reclaim_stops_no_more_gangs_than_needed():
    topology = Topology([Worker("w1", "r", "d", 4, 0), Worker("w2", "r", "d", 4, 0)])
    cell = CellScheduler(topology, [Guarantee("a", Shape(1, 2, Level.WORKER))])
    for number in range(8):
        cell.submit(Job(f"b{number}", "b", CLASS, Shape(1, 1, Level.WORKER), 10, 15), 0.0)
    assert all(isinstance(decision, Start) for decision in cell.decide(0.0))
    cell.submit(Job("claim", "a", CLASS, Shape(1, 2, Level.WORKER), 10, 15), 5.0)
    (reclaim,) = cell.decide(5.0)
    assert isinstance(reclaim, Reclaim)
    assert len(reclaim.victims) == 2
    for victim in reclaim.victims:
        cell.finish(victim.job.id)
    (start,) = cell.decide(5.1)
    assert start.gang.job.id == "claim"


def test_lost_worker_makes_guarantee_unbacked_until_it_returns():
    topology = Topology([Worker("w1", "r", "d", 4, 0), Worker("w2", "r", "d", 4, 0)])
    cell = CellScheduler(topology, [Guarantee("a", Shape(2, 4, Level.RACK))])
    cell.mark_worker_lost("w1")
    cell.decide(0.0)
    assert [block.customer for block in cell.unbacked()] == ["a"]
    cell.submit(Job("pin", "b", CLASS, Shape(1, 1), 10, 15, repeatable=False), 1.0)
    assert cell.decide(1.0) == []
    assert job_start.failure_key(cell, cell.queue.entries["pin"].job)
    cell.restore_worker("w1")
    cell.decide(2.0)
    assert cell.unbacked() == []


@pytest.mark.parametrize("adjacency", list(Level))
def test_gang_stays_within_its_unit(adjacency):
    topology = Topology(Worker(f"w{i}", f"r{i // 2}", f"d{i // 4}", 4, 0) for i in range(8))
    cell = CellScheduler(topology)
    members = {Level.WORKER: 2, Level.RACK: 4, Level.DOMAIN: 8, Level.CELL: 16}[adjacency]
    cell.submit(Job("g", "a", CLASS, Shape(members, 2, adjacency), 10, 15), 0.0)
    (start,) = cell.decide(0.0)
    units = {topology.unit_of[adjacency][worker] for worker in start.gang.places}
    assert len(units) == 1


def test_audit_distinguishes_equal_workers_of_different_racks():
    """Guards against placing single-worker guarantees in the only rack that fits a wide one."""
    topology = Topology(Worker(f"k{r}w{w}", f"k{r}", "d", 4, 0) for r in (1, 2) for w in (1, 2, 3))
    wide = Guarantee("big", Shape(3, 4, Level.RACK))
    single = Guarantee("pay", Shape(1, 1, Level.WORKER), 4)
    pinned = RunningGang("x", "c", Shape(2, 1, Level.RACK), {5: 2}, reclaimable=False)
    lost = [False] * len(topology)
    found = find_violations(topology, Pool.ACCELERATORS, lost, [wide, single], [pinned])
    assert found == []


def test_reclaiming_a_guarantee_never_stops_gangs_of_its_customer():
    topology = Topology([Worker("w1", "r", "d", 4, 0), Worker("w2", "r", "d", 4, 0)])
    cell = CellScheduler(topology, [Guarantee("a", Shape(1, 4, Level.WORKER))])
    for name in ("own1", "own2"):
        cell.submit(Job(name, "a", CLASS, Shape(1, 4, Level.WORKER), 10, 15), 0.0)
    assert len(cell.decide(0.0)) == 2
    cell.submit(Job("next", "a", CLASS, Shape(1, 4, Level.WORKER), 10, 15), 5.0)
    assert cell.decide(5.0) == []
