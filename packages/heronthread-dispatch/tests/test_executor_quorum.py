"""The quorum of an owner: its record, its probes, and the right to send orders."""

import trio
from heronthread_dispatch.executor_quorum import ACCEPTED_S, ExecutorQuorum
from heronthread_dispatch.quorum_record import QUORUM_KEY, QuorumRecord
from heronthread_emulator import EmulatedSite, check_promises

Clock = trio.testing.MockClock
RECORDED_S = 1.5
"""From an owner's first executors until its quorum is recorded."""


def _find_quorum(site: EmulatedSite, host: str) -> ExecutorQuorum:
    owner = site.hosts[host].owner
    assert owner is not None
    return owner.quorum


def _read_members(site: EmulatedSite) -> set[str]:
    record = QuorumRecord.decode(site.store.items[QUORUM_KEY].value)
    assert isinstance(record, QuorumRecord)
    return {member.id for member in record.members}


def _are_recorded(site: EmulatedSite, host: str, count: int) -> bool:
    """Return whether the store lists so many executors in use."""
    owner = site.hosts[host].owner
    assert owner is not None
    return sum(state.recorded for state in owner.cell.executors.values()) == count


async def test_members_that_leave_or_fall_silent_are_replaced(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2, executors=20) as site:
        await site.wait_for_owner()
        await trio.sleep(RECORDED_S)
        first = sorted(_read_members(site))
        site.drain_executor(first[0], 30.0)
        await site.hosts["h0"].requests.accept(site.make_job("a", count=40, work_s=30.0), 2.0)
        await trio.sleep(1.0)
        site.executors.by_id[first[1]].is_cut = True
        await trio.sleep(8.0)
        assert len(_read_members(site)) == len(first)
        assert not {first[0], first[1]} & _read_members(site)


async def test_owner_probes_its_quorum_only_while_its_lease_is_not_renewed(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=2, executors=5) as site:
        owner = await site.wait_for_owner()
        await trio.sleep(10.0)
        quorum = _find_quorum(site, owner)
        assert not quorum.is_held
        site.store.is_down = True
        await trio.sleep(4.0)
        assert quorum.is_held
        site.store.is_down = False
        await trio.sleep(4.0)
        assert not quorum.is_held


async def test_owner_stops_while_no_majority_accepts_and_goes_on_afterwards(
    autojump_clock: Clock,
) -> None:
    """The majority is away for less than the owner is kept without one."""
    async with EmulatedSite.open(hosts=2, executors=5) as site:
        owner = await site.wait_for_owner()
        await site.hosts["h0"].requests.accept(site.make_job("a", count=5, work_s=20.0), 2.0)
        await trio.sleep(RECORDED_S)
        site.store.is_down = True
        await trio.sleep(5.0)
        places = list(site.executors.by_id.values())[:3]
        for place in places:
            place.is_cut = True
        await trio.sleep(ACCEPTED_S + 0.2)
        assert not _find_quorum(site, owner).is_held
        for place in places:
            place.is_cut = False
        await trio.sleep(2.5)
        assert _find_quorum(site, owner).is_held
        site.store.is_down = False
        await trio.sleep(25.0)
        assert len(site.executors.starts()) == 5
        assert check_promises(site.executors, {}) == []


async def test_quorum_of_an_unanswered_write_counts_beside_the_recorded_one(
    autojump_clock: Clock,
) -> None:
    """Guards against a majority of a quorum that the store may not list."""
    async with EmulatedSite.open(hosts=2, executors=3) as site:
        owner = await site.wait_for_owner()
        await trio.sleep(RECORDED_S)
        quorum = _find_quorum(site, owner)
        for number in range(4):
            site.add_executor(f"n{number}", "r0")
        with trio.fail_after(5.0):
            while not _are_recorded(site, owner, 7):
                await trio.sleep(0.01)
            site.views[owner].lose_answers = 1
            while len(_read_members(site)) == 3:
                await trio.sleep(0.01)
        site.store.is_down = True
        for number in range(3):
            site.executors.by_id[f"e{number}"].is_cut = True
        await trio.sleep(4.0)
        assert not quorum.is_held
