"""Fair shares: dominant use by weight, ranks only under competition, bounds, and takeovers."""

import math
import sys

import pytest
from heronthread_dispatch.fair_shares import (
    AVERAGING_S,
    HALF_LIFE_S,
    MAX_CUSTOMERS,
    MAX_REPORTED,
    RANK_VALID_S,
    Demand,
    FairShares,
)
from heronthread_dispatch.fleet import ExecutorState, make_executor_state
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
from heronthread_dispatch.progress import JobState, make_job
from heronthread_dispatch.share_accounting import MAX_CHARGED_S, ShareAccounting
from heronthread_dispatch.step_state import Attempt, Phase

CAPACITY = Resources(100_000, 100_000, 100)
HALF = Resources(0, 0, 50)
QUEUES = [
    Queue("u", "h", "/u/", "pool", URGENT, 3, 1.5, 0.3),
    Queue("o", "h", "/", "pool", 1, 3, 3, 1),
]
DESIRED = DesiredState.build(1, QUEUES, [Tenant("large", (), 16), Tenant("small", (), 16)], 1)


def _assess(shares: FairShares, now: float, waiting: str = "large small", **weights: float):
    weights = weights or {"large": 1.0, "small": 1.0}
    return shares.assess("pool", Demand(weights, frozenset(waiting.split())), now)


def _charge(shares: FairShares, now: float, **accelerators: int) -> None:
    """Charge one second of holding some accelerators to each customer."""
    for tenant, count in accelerators.items():
        shares.charge("pool", tenant, Resources(0, 0, count), CAPACITY, 1.0, now)


def _make_uneven(seconds: int = 60, **held: int) -> FairShares:
    shares = FairShares()
    for second in range(seconds):
        _charge(shares, float(second), **(held or {"large": 90, "small": 10}))
    return shares


def test_customer_above_its_share_comes_last_only_while_one_below_its_own_waits() -> None:
    """Guards against a large backlog that delays small customers, and against idle distinctions."""
    shares = _make_uneven()
    changed = _assess(shares, 60.0)
    assert list(changed) == ["large"] and changed["large"].is_above
    assert changed["large"].share == pytest.approx(0.9, abs=0.001)
    assert changed["large"].fair == 0.5
    assert (shares.rank("pool", "large", 60.0), shares.rank("pool", "small", 60.0)) == (1, 0)
    assert _assess(shares, 60.1, waiting="large") == {}
    assert shares.rank("pool", "large", 60.1) == 0
    assert shares.rank("other pool", "large", 60.1) == 0


def test_single_customer_has_rank_0() -> None:
    shares = _make_uneven(large=100)
    assert _assess(shares, 60.0, waiting="large", large=1.0) == {}
    assert shares.rank("pool", "large", 60.0) == 0


@pytest.mark.parametrize("held", [(50, 50), (60, 40), (70, 30)])
def test_even_use_has_rank_0(held: tuple[int, int]) -> None:
    """Guards against ranks that follow the chance of who has the larger job now."""
    shares = _make_uneven(large=held[0], small=held[1])
    assert _assess(shares, 60.0) == {}
    assert shares.rank("pool", "large", 60.0) == 0


def test_ranks_have_hysteresis() -> None:
    """Guards against ranks that change with each plan while use is near a threshold."""
    shares, changes = _make_uneven(large=74, small=26), 0
    for step in range(400):
        now = 60.0 + step
        _charge(shares, now, large=76 + step % 2 * -8, small=24 + step % 2 * 8)
        changes += len(_assess(shares, now))
    assert changes <= 1


def test_customer_stays_above_until_it_is_near_its_share() -> None:
    shares = _make_uneven(large=80, small=20)
    _assess(shares, 60.0)
    for second in range(60, 120):
        _charge(shares, float(second), large=50, small=50)
    assert _assess(shares, 120.0) == {}, "a share of 0.6 is still above that of 0.5"
    for second in range(120, 400):
        _charge(shares, float(second), large=50, small=50)
    changed = _assess(shares, 400.0)
    assert not changed["large"].is_above


def test_weights_are_what_is_fair() -> None:
    """A customer to which most is guaranteed may use most, and yet be above its share."""
    shares = _make_uneven(large=75, small=25)
    assert _assess(shares, 60.0, large=3.0, small=1.0) == {}
    shares = _make_uneven(large=99, small=1)
    assert list(_assess(shares, 60.0, large=3.0, small=1.0)) == ["large"]


def test_the_resource_used_most_counts() -> None:
    """Guards against a customer that takes all processors with few accelerators."""
    shares = FairShares()
    for second in range(60):
        shares.charge("pool", "large", Resources(90_000, 100, 10), CAPACITY, 1.0, second)
        shares.charge("pool", "small", Resources(5_000, 100, 20), CAPACITY, 1.0, second)
    assert list(_assess(shares, 60.0)) == ["large"]
    assert shares.find_standing("pool", "large", 60.0).share == pytest.approx(0.9 / 1.1, abs=0.001)


def test_memory_counts_as_well() -> None:
    shares = FairShares()
    for second in range(60):
        shares.charge("pool", "large", Resources(100, 90_000, 0), CAPACITY, 1.0, second)
        shares.charge("pool", "small", Resources(100, 0, 10), CAPACITY, 1.0, second)
    assert list(_assess(shares, 60.0)) == ["large"]


def test_use_halves_in_its_half_life() -> None:
    shares = _make_uneven(1, large=80)
    before = shares.find_standing("pool", "large", 0.0).use
    assert before == pytest.approx(0.8 / AVERAGING_S)
    after = shares.find_standing("pool", "large", HALF_LIFE_S).use
    assert after == pytest.approx(before / 2)


def test_little_evidence_ranks_nobody() -> None:
    """Guards against ranks from the first run of an idle pool or of a new owner."""
    shares = _make_uneven(2)
    assert _assess(shares, 2.0) == {}


def test_ranks_expire() -> None:
    shares = _make_uneven()
    _assess(shares, 60.0)
    assert shares.rank("pool", "large", 60.0 + RANK_VALID_S + 0.1) == 0


def test_use_of_nothing_and_of_no_time_is_not_kept() -> None:
    shares = FairShares()
    shares.charge("pool", "large", Resources(), CAPACITY, 1.0, 1.0)
    shares.charge("pool", "large", HALF, CAPACITY, 0.0, 1.0)
    shares.charge("pool", "large", HALF, CAPACITY, -1.0, 1.0)
    assert shares.describe(1.0) == []


def test_pool_without_capacity_is_charged_without_error() -> None:
    """Executors of a pool may all be away while their runs are still accounted for."""
    shares = FairShares()
    shares.charge("pool", "large", HALF, Resources(), 1.0, 1.0)
    assert shares.find_standing("pool", "large", 1.0).use > 0


def test_pause_of_all_others_changes_nobodys_standing() -> None:
    """Guards against a log line and a new comparison each time that the others' work ends."""
    shares = _make_uneven()
    _assess(shares, 60.0)
    assert _assess(shares, 60.1, waiting="large", large=1.0) == {}
    assert shares.find_standing("pool", "large", 60.1).is_above
    assert shares.rank("pool", "large", 60.1) == 0
    assert _assess(shares, 60.2) == {}
    assert shares.rank("pool", "large", 60.2) == 1


# Bounds


def test_state_is_bounded_and_the_smallest_use_is_dropped() -> None:
    shares = FairShares()
    for number in range(MAX_CUSTOMERS + 100):
        held = Resources(0, 0, 1 + number)
        shares.charge("pool", f"c{number}", held, CAPACITY, 1.0, 1.0)
    rows = {row["tenant"] for row in shares.describe(1.0)}
    assert len(rows) == MAX_CUSTOMERS
    assert rows == {f"c{number}" for number in range(100, MAX_CUSTOMERS + 100)}


def _measure_bytes(value: object, seen: set[int]) -> int:
    """Return the size of an object with all that it refers to."""
    if id(value) in seen:
        return 0
    seen.add(id(value))
    size = sys.getsizeof(value)
    if isinstance(value, dict):
        size += sum(_measure_bytes(part, seen) for item in value.items() for part in item)
    elif isinstance(value, (set, frozenset, list, tuple)):
        size += sum(_measure_bytes(part, seen) for part in value)
    for name in getattr(type(value), "__slots__", ()):
        size += _measure_bytes(getattr(value, name), seen)
    return size


def measure_state_bytes(customers: int, pools: int = 1) -> int:
    """Return the bytes of shares at a number of customers that all wait, in each pool."""
    shares = FairShares()
    for pool in range(pools):
        names = [f"customer-{number:04d}" for number in range(customers)]
        for name in names:
            shares.charge(f"p{pool}", name, Resources(1_000, 1_000, 1), CAPACITY, 1.0, 1.0)
        weights = {name: 1.0 for name in names}
        shares.assess(f"p{pool}", Demand(weights, frozenset(names)), 1.0)
    return _measure_bytes(shares, set())


def test_state_of_the_design_size_is_small() -> None:
    """All learned state must stay under 4 MB at an owner; this is a twentieth of it at most."""
    assert measure_state_bytes(MAX_CUSTOMERS) < 500_000


def test_pools_that_are_gone_are_forgotten() -> None:
    shares = _make_uneven()
    shares.retain(["another"])
    assert shares.describe(60.0) == []


# Takeovers


def test_takeover_does_not_favour_the_largest_customer() -> None:
    """Without the reported use, the new owner takes the largest customer for one without any."""
    before = _make_uneven(large=85, small=10, other=5)
    weights = {"large": 1.0, "small": 1.0, "other": 1.0}
    _assess(before, 60.0, **weights)
    assert before.rank("pool", "large", 60.0) == 1
    after, without = FairShares(), FairShares()
    after.restore("pool", before.list_largest("pool", 60.0), 60.0)
    for shares in (after, without):
        _charge(shares, 62.0, large=30, small=30, other=30)
        _assess(shares, 62.0, **weights)
    assert after.rank("pool", "large", 62.0) == 1
    assert without.rank("pool", "large", 62.0) == 0
    assert after.find_standing("pool", "large", 62.0).share == pytest.approx(
        before.find_standing("pool", "large", 62.0).share, abs=0.02
    )


def test_largest_customers_are_reported_in_seconds_of_the_pool() -> None:
    shares = FairShares()
    for number in range(20):
        shares.charge("pool", f"c{number}", Resources(0, 0, number), CAPACITY, 10.0, 0.0)
    found = shares.list_largest("pool", 0.0)
    assert list(found) == [f"c{number}" for number in range(19, 19 - MAX_REPORTED, -1)]
    assert found["c19"] == pytest.approx(1.9)
    assert shares.list_largest("unknown", 0.0) == {}


def test_reported_use_is_taken_once_and_decays_from_its_own_time() -> None:
    """Guards against two digests that count the same use twice."""
    shares = FairShares()
    _charge(shares, 100.0, large=10)
    shares.restore("pool", {"large": 40.0}, 100.0 - HALF_LIFE_S)
    shares.restore("pool", {"large": 40.0}, 100.0)
    use = shares.find_standing("pool", "large", 100.0).use
    assert use == pytest.approx(20.1 / AVERAGING_S)


@pytest.mark.parametrize("wrong", [math.nan, math.inf, -5.0])
def test_use_that_cannot_be_is_not_restored(wrong: float) -> None:
    shares = FairShares()
    shares.restore("pool", {"large": wrong, "small": 1e9}, 0.0)
    assert shares.find_standing("pool", "large", 0.0).use == 0.0
    assert shares.find_standing("pool", "small", 0.0).use <= 1.0


# Charging


def _make_executor(name: str) -> ExecutorState:
    executor = Executor(name, name, "pool", "z", "r", (), CAPACITY)
    return make_executor_state(executor, 0.0)


def _make_job(name: str, tenant: str, count: int = 4, running: int = 0, **more: object) -> JobState:
    step = StepSpec(count, Resources(1_000, 1_000, 10), 5.0, **more)  # type: ignore[arg-type]
    job = make_job(JobSpec(name, QUEUES[1], tenant, "", (step,), 0.0), 0.0)
    for task in job.steps[0].tasks[:running]:
        key = TaskKey(name, 0, task.index)
        instance = _make_executor("e").instance
        task.attempt = Attempt(key, 1, instance, step.need, 0.0, Phase.RUNNING)
    return job


def _account(jobs: list[JobState], seconds: int) -> FairShares:
    shares = FairShares()
    accounting = ShareAccounting(shares)
    for second in range(seconds):
        accounting.update(jobs, [_make_executor("e")], DESIRED, float(second), 0.0)
    return shares


def test_customers_are_charged_for_what_their_attempts_hold() -> None:
    jobs = [_make_job("a", "large", 8, 7), _make_job("b", "small", 4, 1)]
    shares = _account(jobs, 61)
    rows = {row["tenant"]: row for row in shares.describe(60.0)}
    assert rows["large"]["share"] == pytest.approx(7 / 8, abs=0.001)
    assert rows["large"]["weight"] == 16.0
    assert (rows["large"]["rank"], rows["small"]["rank"]) == (1, 0)


def test_gang_that_runs_and_work_on_idle_processors_do_not_wait() -> None:
    """Guards against ranks for the sake of customers that wait for nothing."""
    gang = _make_job("g", "small", 4, 1, gang=True)
    filling = _make_job("f", "small", 4, 0, lasting=True, fills=True)
    shares = _account([_make_job("a", "large", 8, 7), gang, filling], 61)
    rows = {row["tenant"]: row for row in shares.describe(60.0)}
    assert not rows["small"]["waits"]
    assert rows["large"]["rank"] == 0


def test_pause_of_the_owner_is_not_charged_in_full() -> None:
    """What is held after a pause may not have been held during it."""
    shares = FairShares()
    accounting = ShareAccounting(shares)
    jobs = [_make_job("a", "large", 10, 10)]
    accounting.update(jobs, [_make_executor("e")], DESIRED, 0.0, 0.0)
    accounting.update(jobs, [_make_executor("e")], DESIRED, 100.0, 0.0)
    use = shares.find_standing("pool", "large", 100.0).use
    assert use == pytest.approx(MAX_CHARGED_S / AVERAGING_S)
