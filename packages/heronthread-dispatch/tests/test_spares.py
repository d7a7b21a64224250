import trio
from heronthread_dispatch.spares import MAX_SPARES, POOL_DIVISOR
from heronthread_emulator import EmulatedSite

Clock = trio.testing.MockClock


async def _fill(site: EmulatedSite, work_s: float) -> None:
    """Fill every executor."""
    host = site.hosts[await site.wait_for_owner()]
    count = 8 * len(site.executors.by_id)
    await host.requests.accept(site.make_job("long", count=count, work_s=work_s), 2.0)
    await trio.sleep(0.5)


async def test_waiting_jobs_have_few_spares(autojump_clock: Clock) -> None:
    """Jobs have different spares, so that any executor that becomes free serves one of them."""
    async with EmulatedSite.open(hosts=1, executors=24) as site:
        await _fill(site, 9.0)
        host = site.hosts["h0"]
        for number in range(12):
            await host.requests.accept(site.make_job(f"w{number}"), 2.0)
        await trio.sleep(2.0)
        assert host.owner is not None
        jobs = host.owner.cell.jobs
        spares = [jobs[f"w{number}"].places.spare for number in range(12)]
        assert {len(spare) for spare in spares} == {min(MAX_SPARES, 24 // POOL_DIVISOR)}
        assert len(set(spares)) > 6
        assert all(jobs[f"w{n}"].places.covers(dict.fromkeys(spares[n], 1)) for n in range(12))
        await trio.sleep(12.0)
        assert all(not jobs[f"w{number}"].places.spare for number in range(12))


async def test_a_waiting_gang_has_one_small_rack_as_spares(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1, executors=24, racks=12) as site:
        await _fill(site, 9.0)
        host = site.hosts["h0"]
        gang = site.make_job("gang", count=2, accelerators=8, gang=True, same_rack=True)
        await host.requests.accept(gang, 2.0)
        large = site.make_job("large", count=3, accelerators=8, gang=True)
        await host.requests.accept(large, 2.0)
        await trio.sleep(2.0)
        assert host.owner is not None
        spare = host.owner.cell.jobs["gang"].places.spare
        assert len(spare) == 2
        assert len({site.executors.by_id[name].executor.rack for name in spare}) == 1
        assert host.owner.cell.jobs["large"].places.spare == frozenset()


async def test_spares_of_a_gang_hold_it_within_its_spread_limit(autojump_clock: Clock) -> None:
    """One executor would have room for both members, but may hold one of them only."""
    async with EmulatedSite.open(hosts=1, executors=24, racks=12) as site:
        await _fill(site, 9.0)
        host = site.hosts["h0"]
        gang = site.make_job("gang", count=2, accelerators=4, gang=True, spread_limit=1)
        await host.requests.accept(gang, 2.0)
        await trio.sleep(2.0)
        assert host.owner is not None
        assert len(host.owner.cell.jobs["gang"].places.spare) == 2


async def test_spares_that_take_no_work_are_replaced(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1, executors=30) as site:
        await _fill(site, 20.0)
        host = site.hosts["h0"]
        await host.requests.accept(site.make_job("waits"), 2.0)
        await trio.sleep(2.0)
        assert host.owner is not None
        places = host.owner.cell.jobs["waits"].places
        left = sorted(places.spare)[0]
        site.drain_executor(left, 60.0)
        await trio.sleep(2.0)
        assert left not in places.spare
        assert len(places.spare) == 2


async def test_one_unresponsive_executor_withholds_few_waiting_jobs(
    autojump_clock: Clock,
) -> None:
    """Too many spares would withhold many jobs that have never begun."""
    async with EmulatedSite.open(hosts=3, executors=24) as site:
        await _fill(site, 5.0)
        owner = site.owner_name()
        other = next(host for name, host in site.hosts.items() if name != owner)
        for number in range(24):
            await other.requests.accept(site.make_job(f"w{number}", work_s=1.0), 2.0)
        await trio.sleep(1.5)
        site.executors.by_id["e5"].is_cut = True
        assert owner is not None
        site.kill_host(owner)
        await site.wait_for_owner()
        await trio.sleep(3.0)
        started = {start.task.job for start in site.executors.starts()} - {"long"}
        assert len(started) >= 24 - 2 * 24 // POOL_DIVISOR
