"""Paired days of an emulated site: what a mechanism is worth, with it and without, by seed."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace
from statistics import mean, pstdev

import trio
from heronthread_dispatch.model import TaskKey
from heronthread_dispatch.policy import DEFAULT_POLICY, Policy
from heronthread_dispatch.record import JobRecord

from .executors import Event
from .site import EmulatedSite
from .soak import run_seeded

HOSTS = 2
EXECUTORS = 8
JOBS = 50
ARRIVALS_S = 30.0
LAST_S = 45.0
URGENT_SHARE = 0.5
SLOWNESS = 8.0
SLOW_S = 8.0
STRETCH = 1.5
TARGET_S = 0.25
ORDINARY_STRETCH = 3.0
ORDINARY_TARGET_S = 1.0
NOISE = 0.002


@dataclass(frozen=True, slots=True)
class DayValue:
    """What a day was worth: shares of jobs on time, and unit-seconds of runs that came to nothing.

    A unit is an accelerator.
    """

    urgent: float
    ordinary: float
    lost_unit_s: float


@dataclass(frozen=True, slots=True)
class Pair:
    """One seed with a mechanism and without it."""

    seed: int
    with_it: DayValue
    without: DayValue


@dataclass(frozen=True, slots=True)
class Difference:
    """What a mechanism adds to one figure: mean and spread over seeds, and days by sign."""

    figure: str
    mean: float
    spread: float
    better: int
    worse: int


@dataclass(slots=True)
class _Asked:
    """One job of the day: when it came, and the work of its step on a sound executor (s)."""

    record: JobRecord
    at: float
    work_s: float


def compare_policies(off: Policy, seeds: Iterable[int]) -> list[Pair]:
    """Play each seed with all mechanisms and with the policy `off`."""
    return [
        Pair(
            seed,
            run_seeded(seed, _play, seed, DEFAULT_POLICY),
            run_seeded(seed, _play, seed, off),
        )
        for seed in seeds
    ]


def sum_up(pairs: list[Pair]) -> list[Difference]:
    """Return the differences by figure; less lost work counts as better."""
    figures = {"urgent": 1, "ordinary": 1, "lost_unit_s": -1}
    rows = []
    for name, sign in figures.items():
        gains = [getattr(pair.with_it, name) - getattr(pair.without, name) for pair in pairs]
        better = sum(1 for gain in gains if sign * gain > NOISE)
        worse = sum(1 for gain in gains if sign * gain < -NOISE)
        rows.append(Difference(name, mean(gains), pstdev(gains), better, worse))
    return rows


def switch_off(mechanism: str) -> Policy:
    """Return the policy without one mechanism; raises `ValueError` for a name it hasn't."""
    if mechanism not in Policy.__dataclass_fields__:
        known = ", ".join(Policy.__dataclass_fields__)
        raise ValueError(f"{mechanism}: no such mechanism; there are {known}")
    return replace(DEFAULT_POLICY, **{mechanism: False})


async def _play(seed: int, policy: Policy) -> DayValue:
    source = random.Random(seed)
    async with EmulatedSite.open(hosts=HOSTS, executors=EXECUTORS, policy=policy) as site:
        await site.wait_for_owner()
        started = trio.current_time()
        asked: list[_Asked] = []
        site.nursery.start_soon(_slow_down, site, random.Random(seed + 1))
        for number, at in enumerate(sorted(source.uniform(0, ARRIVALS_S) for _ in range(JOBS))):
            await trio.sleep_until(started + at)
            job = _draw_job(site, source, f"j{number}")
            asked.append(job)
            await site.hosts["h0"].requests.accept(job.record, 2.0)
        await trio.sleep_until(started + ARRIVALS_S + LAST_S)
        return _value(site, asked)


async def _slow_down(site: EmulatedSite, source: random.Random) -> None:
    """Let executors be slow or stand still for a while, one after the other."""
    for _ in range(3):
        await trio.sleep(source.uniform(1.0, 4.0))
        place = source.choice(list(site.executors.by_id.values()))
        place.slowness = SLOWNESS
        place.stands_still = source.random() < 0.3
        await trio.sleep(SLOW_S)
        place.slowness, place.stands_still = 1.0, False


def _draw_job(site: EmulatedSite, source: random.Random, name: str) -> _Asked:
    """Return a job whose caller's estimate is off by up to 80 %."""
    is_urgent = source.random() < URGENT_SHARE
    work_s = source.uniform(1.0, 4.0) if is_urgent else source.uniform(5.0, 9.0)
    guess_s = work_s * source.uniform(0.2, 1.8)
    record = site.make_job(
        name,
        queue="urgent" if is_urgent else "ordinary",
        tenant=source.choice(("first", "second")),
        count=source.randint(1, 3),
        accelerators=source.choice((1, 2, 4, 8)),
        work_s=guess_s,
        gang=is_urgent or source.random() < 0.4,
    )
    for member in range(record.spec.steps[0].count):
        site.executors.lengths[TaskKey(name, 0, member)] = work_s
    return _Asked(record, trio.current_time(), work_s)


def _value(site: EmulatedSite, asked: list[_Asked]) -> DayValue:
    done: dict[str, float] = {}
    begun: dict[tuple[TaskKey, int], Event] = {}
    lost = 0.0
    needs = {job.record.spec.id: job.record.spec.steps[0].need.accelerators for job in asked}
    for event in site.executors.events:
        run = (event.task, event.run)
        if event.what == "start":
            begun[run] = event
        elif event.what == "done":
            done[event.task.job] = event.at
            begun.pop(run, None)
        elif run in begun:
            lost += (event.at - begun.pop(run).at) * needs.get(event.task.job, 0)
    on_time: dict[str, list[bool]] = {"urgent": [], "ordinary": []}
    for job in asked:
        queue = job.record.spec.queue.name
        stretch = STRETCH if queue == "urgent" else ORDINARY_STRETCH
        target_s = TARGET_S if queue == "urgent" else ORDINARY_TARGET_S
        ended = done.get(job.record.spec.id, float("inf"))
        on_time[queue].append(ended <= job.at + stretch * job.work_s + target_s)
    return DayValue(_share(on_time["urgent"]), _share(on_time["ordinary"]), round(lost, 1))


def _share(on_time: list[bool]) -> float:
    """Return the share of jobs on time; all of none."""
    return mean(on_time) if on_time else 1.0
