"""Executors without an entry that a new owner has not heard: when they count as gone."""

import pytest
import trio
from heronthread_dispatch.model import TaskKey
from heronthread_emulator import EmulatedSite, check_promises
from heronthread_emulator.site import ENTRIES

Clock = trio.testing.MockClock
TASK = TaskKey("a", 0, 0)
OUTAGE_S = 2.5
CUT_S = 5.5
TAKEOVER_S = 4.0
"""From the end of an outage until a lost owner is replaced, at the latest."""


async def _start_run(site: EmulatedSite) -> tuple[str, str]:
    """Start a long run; return the owner and the run's executor."""
    owner = await site.wait_for_owner()
    await site.hosts[owner].requests.accept(site.make_job("a", work_s=20.0), 2.0)
    await trio.sleep(2.0)
    return owner, site.executors.starts(TASK)[0].executor


async def _lose_store(site: EmulatedSite) -> None:
    site.store.is_down = True
    await trio.sleep(OUTAGE_S)
    site.store.is_down = False


def _withdraw_entry(site: EmulatedSite, executor: str) -> None:
    """Let an executor leave unannounced: its entry goes, and it serves on."""
    site.store.remove(ENTRIES + executor)


async def _replace_owner(site: EmulatedSite, executor: str, *, is_killed: bool = False) -> None:
    """Cut an executor off for a while as the owner is stopped or killed, and check its runs."""
    owner = await site.wait_for_owner()
    site.executors.by_id[executor].is_cut = True
    if is_killed:
        site.kill_host(owner)
    else:
        await site.hosts[owner].stop()
    await trio.sleep(CUT_S)
    site.executors.by_id[executor].is_cut = False
    await trio.sleep(20.0)
    assert check_promises(site.executors, {}) == []


@pytest.mark.parametrize("is_killed", [False, True])
async def test_outage_long_before_proves_nothing_of_a_missing_entry(
    is_killed: bool, autojump_clock: Clock
) -> None:
    """Guards against executors given up at each takeover after any outage of the store."""
    async with EmulatedSite.open(hosts=3) as site:
        await site.wait_for_owner()
        await _lose_store(site)
        await trio.sleep(8.0)
        _, executor = await _start_run(site)
        _withdraw_entry(site, executor)
        await trio.sleep(0.5)
        await _replace_owner(site, executor, is_killed=is_killed)


@pytest.mark.parametrize("after_s", [0.3, 1.0, 2.5])
@pytest.mark.parametrize("is_killed", [False, True])
async def test_entry_that_went_right_after_an_outage_proves_nothing(
    is_killed: bool, after_s: float, autojump_clock: Clock
) -> None:
    """Guards against an entry that the previous owner saw go being taken for an expired one."""
    async with EmulatedSite.open(hosts=3) as site:
        _, executor = await _start_run(site)
        await _lose_store(site)
        await trio.sleep(after_s)
        _withdraw_entry(site, executor)
        await trio.sleep(0.5)
        await _replace_owner(site, executor, is_killed=is_killed)


async def test_entry_that_went_before_an_outage_proves_nothing(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        _, executor = await _start_run(site)
        _withdraw_entry(site, executor)
        await trio.sleep(1.0)
        await _lose_store(site)
        await trio.sleep(0.1)
        await _replace_owner(site, executor)


@pytest.mark.parametrize("cut_before_s", [0.2, 1.5])
async def test_executor_cut_off_in_an_outage_keeps_its_run(
    cut_before_s: float, autojump_clock: Clock
) -> None:
    """Its entry expires in the outage, and the owner is stopped as the store is back."""
    async with EmulatedSite.open(hosts=3) as site:
        _, executor = await _start_run(site)
        site.store.is_down = True
        await trio.sleep(OUTAGE_S - cut_before_s)
        site.executors.by_id[executor].is_cut = True
        _withdraw_entry(site, executor)
        await trio.sleep(cut_before_s)
        site.store.is_down = False
        await trio.sleep(0.3)
        await _replace_owner(site, executor)


async def test_lost_path_of_the_next_owners_host_proves_nothing_of_a_missing_entry(
    autojump_clock: Clock,
) -> None:
    """Guards against a lost path of one host being taken for an outage of the store.

    The owner is stopped before it can record that the entry has gone.
    """
    async with EmulatedSite.open(hosts=4) as site:
        owner, executor = await _start_run(site)
        others = sorted(site.hosts.keys() - {owner})[:2]
        for name in others:
            site.views[name].is_cut = True
        await trio.sleep(OUTAGE_S)
        for name in others:
            site.views[name].is_cut = False
        await trio.sleep(1.0)
        _withdraw_entry(site, executor)
        await _replace_owner(site, executor)


async def test_executor_that_crashed_in_an_outage_counts_as_gone(autojump_clock: Clock) -> None:
    """Its entry expires in the outage, in which the owner is lost too."""
    async with EmulatedSite.open(hosts=3) as site:
        owner, executor = await _start_run(site)
        site.store.is_down = True
        site.kill_host(owner)
        site.remove_executor(executor)
        await trio.sleep(OUTAGE_S)
        site.store.is_down = False
        await trio.sleep(TAKEOVER_S + 2.5)
        assert len(site.executors.starts(TASK)) == 2
        await trio.sleep(20.0)
        assert check_promises(site.executors, {}) == []
