"""Runs of an owner that is partitioned from the store, alone or with some of the other hosts."""

import pytest
import trio
from heronthread_dispatch.model import TaskKey
from heronthread_emulator import EmulatedSite, check_promises

Clock = trio.testing.MockClock
HOSTS, EXECUTORS = 5, 6
TASK = TaskKey("a", 0, 0)
EXECUTOR_CUT_AFTER_S = 2.0
PARTITION_S = 16.0
SETTLE_S = 10.0


async def _start_run(site: EmulatedSite, work_s: float = 60.0) -> tuple[str, str]:
    """Start a run; return the owner, when its lease is renewed, and the run's executor."""
    owner = await site.wait_for_owner()
    await site.hosts[owner].requests.accept(site.make_job("a", work_s=work_s), 2.0)
    await trio.sleep(3.0)
    lease = site.hosts[owner].host_lease
    renewed = lease.last_renewed
    while lease.last_renewed == renewed:
        await trio.sleep(0.02)
    return owner, site.executors.starts(TASK)[0].executor


def _list_part(site: EmulatedSite, owner: str, size: int) -> list[str]:
    """Return some hosts, the owner among them."""
    return [owner, *sorted(site.hosts.keys() - {owner})][:size]


@pytest.mark.parametrize("size", [1, 2, 3, 4])
async def test_partitioned_owner_keeps_no_run_beside_the_next_owners(
    size: int, autojump_clock: Clock
) -> None:
    """Guards against an owner that goes on because the hosts cut off with it have no store either.

    The others reach all executors but the one with the run.
    """
    async with EmulatedSite.open(hosts=HOSTS, executors=EXECUTORS) as site:
        owner, executor = await _start_run(site)
        part = _list_part(site, owner, size)
        rest = site.hosts.keys() - set(part)
        site.partition(part)
        await trio.sleep(EXECUTOR_CUT_AFTER_S)
        site.paths.cut(rest, [executor])
        await trio.sleep(PARTITION_S)
        site.rejoin(part)
        site.paths.mend(rest, [executor])
        await trio.sleep(SETTLE_S)
        assert check_promises(site.executors, {}) == []
        assert len(site.executors.starts(TASK)) == 2


@pytest.mark.parametrize("size", [1, 2, 3, 4])
async def test_next_owner_starts_nothing_beside_an_owner_that_most_executors_obey(
    size: int, autojump_clock: Clock
) -> None:
    """Guards against a wait that counts on the earlier owner to have stopped.

    Each side reaches some of the executors alone, and the earlier owner most of them.
    """
    async with EmulatedSite.open(hosts=HOSTS, executors=EXECUTORS) as site:
        owner, executor = await _start_run(site)
        part = _list_part(site, owner, size)
        rest = site.hosts.keys() - set(part)
        names = [executor, *sorted(site.executors.by_id.keys() - {executor})]
        site.partition(part)
        site.paths.cut(rest, names[:4])
        site.paths.cut(part, names[4:])
        await trio.sleep(PARTITION_S)
        assert site.hosts[owner].owner is not None
        site.rejoin(part)
        site.paths.mend(rest, names)
        site.paths.mend(part, names)
        await trio.sleep(SETTLE_S)
        assert check_promises(site.executors, {}) == []
        assert len(site.executors.starts(TASK)) == 1


@pytest.mark.parametrize("unheard_count", [1, 4])
@pytest.mark.parametrize("after_s", [0.2, 1.5])
async def test_second_takeover_starts_nothing_beside_an_owner_that_goes_on(
    unheard_count: int, after_s: float, autojump_clock: Clock
) -> None:
    """Guards against an owner that takes the end of its predecessor for that of all earlier ones.

    The second owner is killed some time after it took over, and is back at once.
    """
    async with EmulatedSite.open(hosts=HOSTS, executors=EXECUTORS) as site:
        owner, executor = await _start_run(site)
        part = _list_part(site, owner, 2)
        rest = site.hosts.keys() - set(part)
        names = [executor, *sorted(site.executors.by_id.keys() - {executor})]
        site.partition(part)
        site.paths.cut(rest, names[:unheard_count])
        await trio.sleep(2.0)
        while (second := _find_owner(site, rest)) is None:
            await trio.sleep(0.02)
        await trio.sleep(after_s)
        site.kill_host(second)
        site.start_host(second)
        await trio.sleep(PARTITION_S)
        site.rejoin(part)
        site.paths.mend(rest, names)
        await trio.sleep(SETTLE_S)
        assert check_promises(site.executors, {}) == []


def _find_owner(site: EmulatedSite, names: set[str]) -> str | None:
    return next((name for name in names if site.hosts[name].owner is not None), None)


@pytest.mark.parametrize("hears_store", [False, True])
async def test_host_that_hears_both_parts_doubles_no_run(
    hears_store: bool, autojump_clock: Clock
) -> None:
    """The host between the parts may reach the store, or not."""
    async with EmulatedSite.open(hosts=HOSTS, executors=EXECUTORS) as site:
        owner, executor = await _start_run(site)
        part = _list_part(site, owner, 3)
        between = part.pop()
        rest = site.hosts.keys() - {*part, between}
        site.partition(part)
        site.paths.mend(part, [between])
        site.views[between].is_silent = not hears_store
        await trio.sleep(EXECUTOR_CUT_AFTER_S)
        site.paths.cut([*rest, between], [executor])
        await trio.sleep(PARTITION_S)
        site.rejoin(part)
        site.views[between].is_silent = False
        site.paths.mend([*rest, between], [executor])
        await trio.sleep(SETTLE_S)
        assert check_promises(site.executors, {}) == []


async def test_hosts_that_lose_the_store_alone_leave_the_cell_to_the_others(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=HOSTS, executors=EXECUTORS) as site:
        owner, _ = await _start_run(site)
        part = _list_part(site, owner, 3)
        for name in part:
            site.views[name].is_silent = True
        await trio.sleep(6.0)
        assert site.owner_name() not in (None, *part)
        await trio.sleep(PARTITION_S)
        assert check_promises(site.executors, {}) == []
        assert len(site.executors.starts(TASK)) == 1


@pytest.mark.parametrize("living", [1, 2, 3])
@pytest.mark.parametrize("killed_after_s", [-10.0, -0.5, 1.0, 4.0])
async def test_running_work_outlasts_an_outage_in_which_hosts_are_dead(
    living: int, killed_after_s: float, autojump_clock: Clock
) -> None:
    """Guards against an owner that needs the other hosts to go on in an outage of the store."""
    async with EmulatedSite.open(hosts=HOSTS, executors=EXECUTORS) as site:
        owner, _ = await _start_run(site, work_s=30.0)
        lost = site.hosts.keys() - set(_list_part(site, owner, living))
        site.store.is_down = killed_after_s > 0
        await trio.sleep(abs(killed_after_s) if killed_after_s > 0 else 0.0)
        for name in lost:
            site.kill_host(name)
        await trio.sleep(abs(killed_after_s) if killed_after_s < 0 else 0.0)
        site.store.is_down = True
        await trio.sleep(12.0)
        assert site.owner_name() == owner
        site.store.is_down = False
        await trio.sleep(30.0)
        assert check_promises(site.executors, {}) == []
        assert len(site.executors.starts(TASK)) == 1


async def test_running_work_outlasts_an_outage_right_after_hosts_came_and_left(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=HOSTS, executors=EXECUTORS) as site:
        owner, _ = await _start_run(site, work_s=30.0)
        others = sorted(site.hosts.keys() - {owner})
        await site.hosts[others[0]].stop()
        site.start_host("h9")
        await trio.sleep(0.3)
        site.store.is_down = True
        await trio.sleep(12.0)
        site.store.is_down = False
        await trio.sleep(30.0)
        assert check_promises(site.executors, {}) == []
        assert len(site.executors.starts(TASK)) == 1
