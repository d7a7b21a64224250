"""Fair shares on replayed loads: small customers beside a large one, with the switch and off."""

from collections import defaultdict
from pathlib import Path
from statistics import mean

import pytest
from heronthread_dispatch.learned import LearnedState
from heronthread_dispatch.share_accounting import ShareAccounting
from heronthread_emulator.load import LoadPattern, draw_jobs, load_pattern
from heronthread_emulator.pool_model import PlayOutcome, PoolModel, Steps
from heronthread_emulator.ways import read_way
from heronthread_emulator.worth import weigh

LOADS = Path(__file__).parents[3] / "benchmarks" / "loads"
WITH, WITHOUT = read_way(""), read_way("fair_shares=off")
SEEDS = range(4)
LARGEST = 0
TAKEOVER_AT_S = 120.0
STARVED_S = 60.0
"""A half-life of use: by then a customer without starts is below its share again."""
HOUR_S = 3600.0


def _load() -> LoadPattern:
    return load_pattern(LOADS / "uneven-customers.json")


def _load_hour() -> LoadPattern:
    """Return an hour of the load for four executors, without gangs that need most of them."""
    kinds = [
        kind.model_copy(update={"per_s": kind.per_s * 0.4, "most_width": min(kind.most_width, 4)})
        for kind in _load().kinds
    ]
    return _load().model_copy(update={"seconds": HOUR_S, "executors": 4, "kinds": kinds})


def _list_waits(pattern: LoadPattern, outcome: PlayOutcome) -> dict[int, list[tuple[float, float]]]:
    """Return when the jobs of each customer came and when they began."""
    found: dict[int, list[tuple[float, float]]] = defaultdict(list)
    end = pattern.seconds * 2.5
    for job in outcome.jobs:
        found[job.job.customer].append((job.job.at, job.begun_at or end))
    return found


def _find_worst_tenth_s(pattern: LoadPattern, outcome: PlayOutcome) -> float:
    """Return the mean wait of the customer that waits longest, one of ten."""
    waits = _list_waits(pattern, outcome).values()
    return max(mean(begun - at for at, begun in jobs) for jobs in waits)


def _find_longest_without_start(jobs: list[tuple[float, float]]) -> float:
    """Return for how long a customer had jobs that waited and none that began (s)."""
    events = sorted([(at, 1) for at, _ in jobs] + [(begun, -1) for _, begun in jobs])
    waiting, since, longest = 0, 0.0, 0.0
    for at, change in events:
        if change < 0:
            longest, since = max(longest, at - since), at
        elif not waiting:
            since = at
        waiting += change
    return longest


def test_worst_served_customer_waits_less_and_the_whole_loses_little() -> None:
    """Guards against small customers that wait behind the backlog of one with 80% of the jobs."""
    pattern, worst, whole = _load(), [], []
    for seed in SEEDS:
        jobs = draw_jobs(pattern, seed)
        plays = [PoolModel(pattern, jobs, policy).play() for policy in (WITH, WITHOUT)]
        worst.append([_find_worst_tenth_s(pattern, play) for play in plays])
        whole.append([weigh(pattern, play).whole for play in plays])
    assert all(one < other for one, other in worst)
    assert mean(one for one, _ in worst) < 0.8 * mean(other for _, other in worst)
    assert mean(one for one, _ in whole) > 0.98 * mean(other for _, other in whole)


def test_largest_customer_sends_its_share_of_the_jobs() -> None:
    jobs = draw_jobs(_load(), 1)
    assert sum(job.customer == LARGEST for job in jobs) / len(jobs) == pytest.approx(0.8, abs=0.05)
    assert len({job.customer for job in jobs}) == 10


@pytest.mark.parametrize("seed", [0, 1])
def test_no_customer_starves_over_an_hour(seed: int) -> None:
    """Guards against ranks that starve the large customer, and an order that starves small ones."""
    pattern = _load_hour()
    found = []
    for policy in (WITH, WITHOUT):
        waits = _list_waits(pattern, PoolModel(pattern, draw_jobs(pattern, seed), policy).play())
        found.append({name: _find_longest_without_start(jobs) for name, jobs in waits.items()})
    with_shares, without = found
    assert max(with_shares.values()) < STARVED_S
    small = [
        max(s for name, s in found.items() if name != LARGEST) for found in (with_shares, without)
    ]
    assert small[0] < small[1]


class _TakenOver(PoolModel):
    """A play in which a new owner takes over, with the use that the earlier one reported or not."""

    is_restored = True

    def play(self) -> PlayOutcome:
        self.env.process(self._take_over())
        return super().play()

    def _take_over(self) -> Steps:
        yield self.env.timeout(TAKEOVER_AT_S)
        reported = self._learned.shares.list_largest("pool", self.env.now)
        self.standing = self._learned.shares.find_standing("pool", "c0", self.env.now)
        self._learned = LearnedState()
        self._accounting = ShareAccounting(self._learned.shares)
        if self.is_restored:
            self._learned.shares.restore("pool", reported, self.env.now)
        yield self.env.timeout(1.0)
        self.after = self._learned.shares.find_standing("pool", "c0", self.env.now)


class _TakenOverWithoutReport(_TakenOver):
    is_restored = False


def test_takeover_goes_on_with_the_largest_customers_use() -> None:
    """Without the reported use, the large customer counts as within its share for seconds."""
    pattern = _load()
    plays = []
    for kind in (_TakenOver, _TakenOverWithoutReport):
        model = kind(pattern, draw_jobs(pattern, 0), WITH)
        model.play()
        plays.append(model)
    restored, unknown = plays
    assert restored.standing.is_above
    assert restored.after.is_above
    assert restored.after.use == pytest.approx(restored.standing.use, rel=0.1)
    assert not unknown.after.is_above
