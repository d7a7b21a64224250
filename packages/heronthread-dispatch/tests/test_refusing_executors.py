"""Executors that refuse connections while their runs continue.

A network partition may look the same, so a refused connection proves no run over and no task
guilty.
"""

import pytest
import trio
from heronthread_dispatch.record import JobStatus
from heronthread_emulator import EmulatedSite, check_promises
from heronthread_emulator.checker import Told

Clock = trio.testing.MockClock
WORK_S = 12.0
REFUSED_S = (2.0, 5.0, 8.0)


async def _begin(site: EmulatedSite, count: int, *, gang: bool = False) -> dict[str, Told]:
    """Submit a job, and return what its caller knows once it runs."""
    owner = await site.wait_for_owner()
    host = next(name for name in site.hosts if name != owner)
    record = site.make_job("a", count=count, accelerators=8, work_s=WORK_S, gang=gang)
    await site.hosts[host].requests.accept(record, 2.0)
    with trio.fail_after(5.0):
        while len(site.executors.starts()) < count:
            await trio.sleep(0.01)
    return {"a": Told(record, taken=True)}


async def _refuse(site: EmulatedSite, for_s: float) -> None:
    """Have every executor with runs refuse connections for some seconds."""
    places = [place for place in site.executors.by_id.values() if place.running]
    for place in places:
        place.is_down = True
    await trio.sleep(for_s)
    for place in places:
        place.is_down = False


async def _kill_owner(site: EmulatedSite) -> None:
    owner = site.owner_name()
    assert owner is not None
    site.kill_host(owner)
    await site.wait_for_owner()


async def _settle(site: EmulatedSite, told: dict[str, Told]) -> None:
    """Let the job end, and check every promise, above all that no task ran twice at once.

    Runs that an owner can't reach may be stopped or expire, and be repeated elsewhere afterwards.
    """
    await trio.sleep(2 * WORK_S + 5.0)
    found = await next(iter(site.hosts.values())).requests.find_job("a")
    told["a"].shown = found.status  # type: ignore[union-attr]
    assert found.status is JobStatus.SUCCEEDED  # type: ignore[union-attr]
    assert check_promises(site.executors, told) == []


@pytest.mark.parametrize("refused_s", REFUSED_S)
@pytest.mark.parametrize("gang", [False, True])
async def test_runs_go_on_at_executors_that_refuse(
    autojump_clock: Clock, refused_s: float, gang: bool
) -> None:
    async with EmulatedSite.open(hosts=3, executors=8) as site:
        told = await _begin(site, 3, gang=gang)
        await _refuse(site, refused_s)
        await _settle(site, told)


@pytest.mark.parametrize("refused_s", REFUSED_S)
@pytest.mark.parametrize("gang", [False, True])
async def test_next_owner_starts_nothing_that_may_run_at_a_refusing_executor(
    autojump_clock: Clock, refused_s: float, gang: bool
) -> None:
    """Unlike the previous owner, it has no connections to the executors yet."""
    async with EmulatedSite.open(hosts=4, executors=8) as site:
        told = await _begin(site, 3, gang=gang)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_refuse, site, refused_s)
            await trio.sleep(0.1)
            await _kill_owner(site)
        await _settle(site, told)


async def test_jobs_do_not_fail_because_of_repeated_refusals(autojump_clock: Clock) -> None:
    """Three executors refuse just after a start: enough to fail the job if it were blamed."""
    async with EmulatedSite.open(hosts=3, executors=8) as site:
        told = await _begin(site, 3)
        for _ in range(3):
            await _refuse(site, 1.5)
            await trio.sleep(0.5)
        await _settle(site, told)
