"""Jobs that wait beside free capacity while under half of the pool is in use.

The owner and the store are well, and no start goes unanswered.
"""

from collections.abc import Callable
from dataclasses import replace

import trio
from heronthread_dispatch.model import Resources, TaskKey
from heronthread_dispatch.offers import count_fits
from heronthread_dispatch.record import JobRecord
from heronthread_emulator import EmulatedSite, check_promises
from heronthread_emulator.executors import EmulatedExecutor
from heronthread_emulator.soak import run_seeded

MAX_DELAY_S = 3.0
"""How long a ready job with ample capacity may have nothing running."""
POLL_S = 0.05
LONG_S = 40.0
MAX_MEASURED_S = 15.0
SEEDS = range(3)


async def _submit(site: EmulatedSite, record: JobRecord) -> None:
    await site.hosts["h0"].requests.accept(record, 2.0)


def _set_need(site: EmulatedSite, record: JobRecord, cpu: int) -> JobRecord:
    """Return a job with another need of CPU (thousandths of a core) for each task."""
    spec = record.spec
    need = spec.steps[0].need._replace(cpu=cpu)
    site.executors.specs[spec.id] = {0: replace(site.executors.specs[spec.id][0], need=need)}
    return replace(record, spec=replace(spec, steps=(replace(spec.steps[0], need=need),)))


def _could_take(place: EmulatedExecutor) -> bool:
    return not (place.is_cut or place.executor.is_draining)


def _fits_twice(site: EmulatedSite, record: JobRecord) -> bool:
    """Whether the executors that take work have twice the capacity that a job needs."""
    places, step = site.executors.by_id.values(), record.spec.steps[0]
    fits = (
        max(0, count_fits(step.need, place.executor.capacity.minus(place.used())))
        for place in places
        if _could_take(place)
    )
    return sum(fits) >= 2 * step.count


def _is_under_half_used(site: EmulatedSite, weigh: Callable[[Resources], float]) -> bool:
    places = site.executors.by_id.values()
    used = sum(weigh(place.used()) for place in places)
    return 2 * used < sum(weigh(place.executor.capacity) for place in places)


def _count_accelerators(resources: Resources) -> float:
    return resources.accelerators


async def _measure_wait(
    site: EmulatedSite,
    record: JobRecord,
    weigh: Callable[[Resources], float] = lambda resources: resources.cores,
) -> float:
    """Submit a job and return for how long (s) it has nothing running.

    It fits twice and under half of all executors is in use meanwhile.
    """
    await _submit(site, record)
    asked = trio.current_time()
    while trio.current_time() < asked + MAX_MEASURED_S:
        if site.executors.starts(TaskKey(record.spec.id, 0, 0)):
            break
        assert _fits_twice(site, record)
        assert _is_under_half_used(site, weigh)
        assert _is_under_half_used(site, _count_accelerators)
        await trio.sleep(POLL_S)
    assert check_promises(site.executors, {}) == []
    return trio.current_time() - asked


async def _measure_gang_without_a_rack(wish: str) -> float:
    """Each of three racks has one busy executor and two idle ones, and a gang needs three."""
    async with EmulatedSite.open(hosts=1, executors=9, racks=3) as site:
        await site.wait_for_owner()
        await _submit(site, site.make_job("long", count=3, accelerators=8, work_s=LONG_S))
        await trio.sleep(1.0)
        more = {"same_rack": True} if wish == "same rack" else {"data_rack": "r0"}
        gang = site.make_job("a", count=3, accelerators=8, gang=True, **more)
        return await _measure_wait(site, gang)


def test_gang_that_fits_in_no_rack_is_soon_spread() -> None:
    """Guards against an unlimited wait for one rack, which only makes the gang's run shorter."""
    for wish in ("same rack", "data rack"):
        waits = [run_seeded(seed, _measure_gang_without_a_rack, wish) for seed in SEEDS]
        assert max(waits) < MAX_DELAY_S, wish


async def _measure_gang_beside_a_reservation() -> float:
    """A gang of seven waits with the six idle executors reserved, and a gang of two arrives."""
    async with EmulatedSite.open(hosts=1, executors=10, racks=5) as site:
        await site.wait_for_owner()
        await _submit(site, site.make_job("long", count=4, accelerators=8, work_s=LONG_S))
        await trio.sleep(1.0)
        await _submit(site, site.make_job("wide", count=7, accelerators=8, gang=True))
        await trio.sleep(0.5)
        gang = site.make_job("a", count=2, accelerators=4, gang=True, same_rack=True)
        return await _measure_wait(site, gang)


def test_reservation_for_a_gang_delays_no_gang_that_fits_in_a_rack() -> None:
    """Guards against reservations in an idle pool that hold back gangs of one rack alone."""
    assert max(run_seeded(seed, _measure_gang_beside_a_reservation) for seed in SEEDS) < MAX_DELAY_S


async def _measure_task_beside_headroom(others: str) -> float:
    """Four of ten executors are full, and four of the six idle ones take no work."""
    async with EmulatedSite.open(hosts=1, executors=10, racks=5) as site:
        await site.wait_for_owner()
        long = site.make_job("long", count=8, accelerators=4, work_s=LONG_S)
        await _submit(site, _set_need(site, long, 30_000))
        await trio.sleep(1.0)
        busy = {start.executor for start in site.executors.starts()}
        others_idle = sorted(site.executors.by_id.keys() - busy)[:4]
        assert len(busy) == 4
        await _submit(site, site.make_job("short", count=6, accelerators=8, work_s=LONG_S))
        await trio.sleep(1.0)
        for name in others_idle:
            if others == "silent":
                site.executors.by_id[name].is_cut = True
            else:
                site.drain_executor(name, 2 * LONG_S)
        await site.cancel(site.hosts["h0"], "short", "first", 2.0)
        await trio.sleep(9.0)
        await _submit(site, site.make_job("u", queue="urgent", count=2, accelerators=8, work_s=1.0))
        await trio.sleep(2.0)
        job = _set_need(site, site.make_job("a", work_s=10.0), 1_000)
        return await _measure_wait(site, job)


def test_executors_that_take_no_work_do_not_make_an_idle_pool_busy() -> None:
    """Guards against headroom kept for long as only executors that take work count."""
    for others in ("silent", "leaving"):
        waits = [run_seeded(seed, _measure_task_beside_headroom, others) for seed in SEEDS]
        assert max(waits) < MAX_DELAY_S, others


async def _measure_task_beside_busy_cores() -> float:
    """Eight of ten executors have no core and four accelerators left."""
    async with EmulatedSite.open(hosts=1, executors=10, racks=5) as site:
        await site.wait_for_owner()
        long = site.make_job("long", count=16, accelerators=2, work_s=LONG_S)
        await _submit(site, _set_need(site, long, 32_000))
        await trio.sleep(1.0)
        await _submit(site, site.make_job("u", queue="urgent", count=2, accelerators=8, work_s=1.0))
        await trio.sleep(2.0)
        job = _set_need(site, site.make_job("a", work_s=10.0), 1_000)
        return await _measure_wait(site, job, _count_accelerators)


def test_busy_cores_do_not_make_a_pool_with_free_accelerators_busy() -> None:
    """Guards against headroom kept for long while under half of the accelerators are in use."""
    assert max(run_seeded(seed, _measure_task_beside_busy_cores) for seed in SEEDS) < MAX_DELAY_S


async def _measure_task_beside_lost_runs() -> float:
    """Return for how long (s) a job with an open task has nothing running after it lost two runs.

    Seven of 15 executors have no room for its tasks, and six of the others are headroom.
    """
    async with EmulatedSite.open(hosts=1, executors=15, racks=15) as site:
        site.crashes_dark, site.back_after_s = True, LONG_S
        await site.wait_for_owner()
        await _submit(site, site.make_job("long", count=7, accelerators=6, work_s=LONG_S))
        await trio.sleep(1.0)
        await _submit(site, site.make_job("u", queue="urgent", count=6, accelerators=8, work_s=1.0))
        await trio.sleep(2.0)
        job = site.make_job("a", count=3, accelerators=8, work_s=LONG_S)
        await _submit(site, job)
        await trio.sleep(1.0)
        lost = [start.executor for start in site.executors.starts() if start.task.job == "a"]
        assert len(lost) == 2
        for name in lost:
            site.crash_executor(name)
        lost_at = trio.current_time()
        while len([s for s in site.executors.starts() if s.task.job == "a"]) == 2:
            assert _fits_twice(site, job)
            assert _is_under_half_used(site, _count_accelerators)
            await trio.sleep(POLL_S)
        return trio.current_time() - lost_at


def test_lost_runs_do_not_keep_a_job_out_of_headroom() -> None:
    """Guards against attempts at executors that are gone counting as something that runs."""
    assert max(run_seeded(seed, _measure_task_beside_lost_runs) for seed in SEEDS) < MAX_DELAY_S
