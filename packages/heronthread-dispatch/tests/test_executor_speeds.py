"""What is learned of executors' speeds: groups, what is ignored, and what a new instance is."""

import math
import random

import pytest
import trio
from heronthread_dispatch import executor_watch, orders
from heronthread_dispatch.executor_speeds import (
    MAX_RATES,
    MIN_SAMPLES,
    ExecutorSpeeds,
    GroupChange,
    SpeedGroup,
)
from heronthread_dispatch.model import ExecutorInstance, TaskKey
from heronthread_dispatch.policy import Policy
from heronthread_dispatch.speed_clusters import find_clusters
from heronthread_emulator import EmulatedSite

FAST, TYPICAL, SLOW, UNKNOWN = (
    SpeedGroup.FAST,
    SpeedGroup.TYPICAL,
    SpeedGroup.SLOW,
    SpeedGroup.UNKNOWN,
)
Clock = trio.testing.MockClock


class _Load:
    """Gangs on executors of given speeds; `noise` is the spread of their members' lengths."""

    def __init__(self, speeds: list[float], noise: float = 0.0) -> None:
        self.learned = ExecutorSpeeds()
        self.speeds = speeds
        self.noise = noise
        self.slowed: dict[int, float] = {}
        self.now = 100.0
        self.names = [ExecutorInstance(f"e{n}", 1) for n in range(len(speeds))]
        self._source = random.Random(7)
        self._gangs = 0

    def run(self, seconds: float, gangs_per_s: int = 20, width: int = 4) -> None:
        """Report the rates of new gangs twice each, 0.7 s and 1.4 s after their start."""
        for _ in range(round(seconds)):
            for _ in range(gangs_per_s):
                self._report_gang(width)
            self.now += 1.0

    def _report_gang(self, width: int) -> None:
        self._gangs += 1
        step = TaskKey(f"j{self._gangs}", 0, 0)
        length_s = self._source.uniform(1.5, 20.0)
        for number in self._source.sample(range(len(self.speeds)), width):
            own = length_s * math.exp(self._source.gauss(0, self.noise))
            rate = 100 / own * self.speeds[number] / self.slowed.get(number, 1.0)
            for at in (0.0, 0.7):
                self.learned.note("pool", step, self.names[number], rate, self.now + at)

    def groups(self) -> list[SpeedGroup]:
        return [self.learned.find_group(name) for name in self.names]


def test_fast_executors_are_known_within_seconds() -> None:
    """Urgent work on a typical executor is late from its start."""
    load = _Load([2.15, 1.0, 1.0, 1.0] * 8)
    load.run(8)
    assert load.groups() == [FAST, TYPICAL, TYPICAL, TYPICAL] * 8
    assert load.learned.find(load.names[0]) == pytest.approx(2.15, rel=0.02)
    assert load.learned.find(load.names[1]) == pytest.approx(1.0, rel=0.02)


def test_three_speeds_form_three_groups() -> None:
    load = _Load([0.8, 1.0, 1.25] * 20)
    load.run(16)
    assert load.groups() == [SLOW, TYPICAL, FAST] * 20


@pytest.mark.parametrize("noise", [0.0, 0.15, 0.3])
def test_equal_executors_form_no_groups(noise: float) -> None:
    """Groups made of noise would change the plans of pools whose executors are alike."""
    load = _Load([1.0] * 60, noise)
    for _ in range(20):
        load.run(3)
        assert set(load.groups()) == {TYPICAL}


@pytest.mark.parametrize("factor", [1.05, 1.1])
def test_small_differences_form_no_groups(factor: float) -> None:
    load = _Load([1.0, 1.0, factor] * 20)
    load.run(30)
    assert set(load.groups()) == {TYPICAL}


def test_speeds_show_in_tasks_of_unequal_length() -> None:
    """Tasks of a step that is no gang differ in length by 30%, and some are 7 times as long."""
    load = _Load([2.15, 1.0, 1.0, 1.0] * 8, noise=0.3)
    source = random.Random(3)
    for _ in range(60):
        load.slowed = {n: 7.0 for n in range(32) if source.random() < 0.03}
        load.run(1, gangs_per_s=20, width=10)
    expected = [FAST, TYPICAL, TYPICAL, TYPICAL] * 8
    assert sum(a is b for a, b in zip(load.groups(), expected, strict=True)) >= 30


@pytest.mark.parametrize("slowness", [1.5, 2.15, 3.0, 8.0])
def test_a_short_slow_down_does_not_change_the_group(slowness: float) -> None:
    """An executor that is slow for 6 s is as fast as before after that."""
    load = _Load([2.15, 1.0, 1.0, 1.0] * 8)
    load.run(20)
    before = load.groups()
    load.slowed = {0: slowness, 1: slowness, 4: slowness}
    for _ in range(6):
        load.run(1)
        assert load.groups() == before
    load.slowed = {}
    load.run(10)
    assert load.groups() == before


def test_groups_are_kept_while_an_executor_is_near_the_border() -> None:
    """Otherwise gangs would be placed by another order at every plan."""
    load = _Load([2.0, 1.0, 1.0, 1.0] * 8, noise=0.1)
    load.run(15)
    before, flips = load.groups(), 0
    for _ in range(60):
        load.run(1)
        flips += load.groups() != before
        before = load.groups()
    assert flips == 0


def test_another_instance_is_unknown_until_it_is_compared() -> None:
    """An executor may come back under its id on other hardware."""
    load = _Load([2.15, 1.0, 1.0, 1.0] * 8)
    load.run(10)
    load.learned.forget(load.names[0])
    load.names[0], load.speeds[0] = ExecutorInstance("e0", 2), 1.0
    assert load.groups()[0] is UNKNOWN
    assert load.learned.find(load.names[0]) is None
    load.run(5)
    assert load.groups()[0] is TYPICAL
    assert load.learned.find(ExecutorInstance("e0", 1)) is None


def test_a_gang_on_fast_executors_only_does_not_make_them_typical() -> None:
    """Placement by speed makes such gangs common."""
    load = _Load([2.15, 1.0, 1.0, 1.0] * 8)
    load.run(10)
    for number in range(100):
        for index in (0, 4, 8, 12):
            step = TaskKey(f"f{number}", 0, 0)
            load.learned.note("pool", step, load.names[index], 20.0, load.now)
        load.now += 0.5
    assert load.groups() == [FAST, TYPICAL, TYPICAL, TYPICAL] * 8


def test_one_long_task_counts_once() -> None:
    """The rate of a run is reported each second; one long task must not fill all samples."""
    speeds = ExecutorSpeeds()
    instances = [ExecutorInstance(f"e{n}", 1) for n in range(4)]
    for second in range(3):
        for index, instance in enumerate(instances):
            rate = 10.0 / (7.0 if index == 0 else 1.0)
            speeds.note("pool", TaskKey("j", 0, 0), instance, rate, float(second))
    assert MIN_SAMPLES > 1
    assert speeds.find(instances[0]) is None


def test_pools_are_apart() -> None:
    load = _Load([2.15, 1.0, 1.0, 1.0] * 8)
    load.run(10)
    assert load.learned.has_groups("pool")
    assert not load.learned.has_groups("other")
    instances = [ExecutorInstance(f"o{n}", 1) for n in range(6)]
    for second in range(20):
        for instance in instances:
            step = TaskKey(f"o{second}", 0, 0)
            load.learned.note("other", step, instance, 5.0, load.now + second)
    assert {load.learned.find_group(instance) for instance in instances} == {TYPICAL}


def test_operators_see_the_groups_and_the_log_each_change() -> None:
    load = _Load([2.15, 1.0, 1.0, 1.0] * 8)
    load.run(10)
    rows = load.learned.describe(load.now)
    assert [(row["group"], row["executors"], row["speed"]) for row in rows] == [
        ("fast", 8, 2.15),
        ("typical", 24, 1.0),
    ]
    assert all(0 <= row["last compared s"] < 5 for row in rows)
    changes = load.learned.take_changes()
    assert changes and isinstance(changes[-1], GroupChange)
    assert [group for group, _, _ in changes[-1].groups] == [TYPICAL, FAST]
    assert load.learned.take_changes() == []


def test_open_comparisons_are_bounded() -> None:
    """56,000 tasks report each second at the design size."""
    speeds = ExecutorSpeeds()
    for number in range(20_000):
        instance = ExecutorInstance(f"e{number % 3800}", 1)
        speeds.note("pool", TaskKey(f"j{number // 14}", 0, 0), instance, 5.0, 1.0)
    assert speeds._rates <= MAX_RATES
    speeds.note("pool", TaskKey("x", 0, 0), ExecutorInstance("e0", 1), 5.0, 3.0)
    assert speeds._rates == 1


@pytest.mark.parametrize("kind", ["uniform", "normal"])
def test_one_wide_distribution_is_one_cluster(kind: str) -> None:
    source = random.Random(1)
    for _ in range(20):
        values = [
            source.gauss(0, 0.3) if kind == "normal" else source.uniform(-0.5, 0.5)
            for _ in range(300)
        ]
        assert len(find_clusters(values)) == 1


async def _run_gangs(site: EmulatedSite, name: str, seconds: float) -> None:
    for number in range(round(seconds * 2)):
        record = site.make_job(f"{name}{number}", count=6, accelerators=2, work_s=3.0, gang=True)
        await next(iter(site.hosts.values())).requests.accept(record, 2.0)
        await trio.sleep(0.5)


def _find_speeds(site: EmulatedSite) -> dict[str, SpeedGroup]:
    host = site.hosts[site.owner_name() or ""]
    assert host.owner is not None
    cell = host.owner.cell
    return {name: cell.learned.speeds.find_group(s.instance) for name, s in cell.executors.items()}


def _set_speeds(site: EmulatedSite) -> dict[str, SpeedGroup]:
    """Make every third executor twice as fast as the others; return the groups to be learned."""
    expected = {}
    for index, (name, place) in enumerate(sorted(site.executors.by_id.items())):
        place.slowness = 1.0 if index % 3 == 0 else 2.15
        expected[name] = FAST if index % 3 == 0 else TYPICAL
    return expected


async def test_speeds_are_learned_from_reports_and_again_after_a_takeover(
    autojump_clock: Clock,
) -> None:
    """Speeds are in the owner's memory only, so the next owner starts without them."""
    async with EmulatedSite.open(hosts=3, executors=9, racks=1) as site:
        owner = await site.wait_for_owner()
        expected = _set_speeds(site)
        await _run_gangs(site, "a", 15.0)
        assert _find_speeds(site) == expected
        site.kill_host(owner)
        await site.wait_for_owner()
        assert set(_find_speeds(site).values()) == {TYPICAL}
        await _run_gangs(site, "b", 15.0)
        assert _find_speeds(site) == expected


async def test_an_executor_back_at_another_speed_is_unknown_at_first(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=2, executors=9, racks=1) as site:
        await site.wait_for_owner()
        expected = _set_speeds(site)
        await _run_gangs(site, "a", 15.0)
        site.restart_executor("e0", 2.0)
        site.executors.by_id["e0"].slowness = 2.15
        await trio.sleep(5.0)
        assert _find_speeds(site) == expected | {"e0": UNKNOWN}
        site.executors.by_id["e0"].slowness = 2.15
        await _run_gangs(site, "b", 15.0)
        assert _find_speeds(site) == expected | {"e0": TYPICAL}


async def test_starts_and_groups_are_logged_and_counted(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An operator must see on which executors urgent work starts, and when groups change."""
    lines: list[tuple[str, dict[str, object]]] = []

    def record(kind: str, **fields: object) -> None:
        lines.append((kind, fields))

    monkeypatch.setattr(orders, "log_event", record)
    monkeypatch.setattr(executor_watch, "log_event", record)
    async with EmulatedSite.open(hosts=2, executors=9, racks=1) as site:
        owner = await site.wait_for_owner()
        _set_speeds(site)
        await _run_gangs(site, "a", 18.0)
        counts = site.hosts[owner].statistics.counts
        assert counts["starts_by_speed", "fast"] and counts["starts_by_speed", "typical"]
    grouped = [fields for kind, fields in lines if kind == "speeds.grouped"]
    assert grouped and grouped[0]["pool"] == "pool"
    starts = [fields for kind, fields in lines if kind == "start.decided"]
    assert "speeds" not in starts[0]
    assert any("speeds" in fields for fields in starts)


async def test_an_executor_that_is_slow_for_a_while_keeps_its_group(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2, executors=9, racks=1) as site:
        await site.wait_for_owner()
        expected = _set_speeds(site)
        await _run_gangs(site, "a", 20.0)
        site.executors.by_id["e0"].slowness = 5.0
        await _run_gangs(site, "b", 6.0)
        site.executors.by_id["e0"].slowness = 1.0
        await _run_gangs(site, "c", 4.0)
        assert _find_speeds(site) == expected


async def test_nothing_is_learned_with_the_switch_off(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(
        hosts=2, executors=9, racks=1, policy=Policy(executor_speeds=False)
    ) as site:
        await site.wait_for_owner()
        _set_speeds(site)
        await _run_gangs(site, "a", 10.0)
        assert set(_find_speeds(site).values()) == {TYPICAL}
