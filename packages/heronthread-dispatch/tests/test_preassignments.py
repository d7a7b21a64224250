"""Whether preassignments were used is known to the next owner, or they count as used."""

import itertools
from collections.abc import Sequence
from dataclasses import dataclass, field

import pytest
import trio
from heronthread_dispatch.model import PreassignmentEpoch, TaskKey
from heronthread_dispatch.peer_messages import News, decode_news, encode_news
from heronthread_dispatch.preassignments import (
    MAX_TERMS,
    Membership,
    PreassignmentLog,
    Preassignments,
    count_required_acks,
    count_required_denials,
)
from heronthread_emulator import EmulatedSite, check_promises

Clock = trio.testing.MockClock
TERM = 50
"""The revision at which the old owner's term began; members joined at lower ones."""
MAX_STALL_S = 3.0
EXECUTORS = 24


@dataclass
class Peer:
    """A host that takes news and replies with its own."""

    address: str
    member_revision: int
    log: PreassignmentLog = field(default_factory=PreassignmentLog)
    is_silent: bool = False

    def make_news(self) -> News:
        return News(
            self.address,
            self.address,
            1,
            False,
            member_revision=self.member_revision,
            used_preassignments=self.log.encode(),
            closed_preassignments=self.log.closed,
        )


class Cell:
    """An old owner, a new one, and the other hosts; `n` is the next owner, one of the members."""

    def __init__(self, others: int) -> None:
        self.peers = [Peer(f"w{number}", 10 + number) for number in range(others)]
        self.old, self.next = Peer("old", 5), Peer("n", 6)

    def make_old(self) -> Preassignments:
        others = {peer.address: peer.member_revision for peer in [self.next, *self.peers]}
        return self._make(self.old, TERM, Membership(True, False, others))

    def make_next(self) -> Preassignments:
        others = {peer.address: peer.member_revision for peer in self.peers}
        return self._make(self.next, TERM + 10, Membership(False, True, others))

    def _make(self, own: Peer, revision: int, members: Membership) -> Preassignments:
        async def ask(address: str) -> News | None:
            peer = next(p for p in [self.next, *self.peers] if p.address == address)
            if peer.is_silent:
                return None
            peer.log.take(own.make_news())
            return peer.make_news()

        return Preassignments(revision, own.log, lambda _: members, ask)


def _make_epoch(preassignments: Preassignments) -> PreassignmentEpoch:
    epoch = preassignments.make_epoch()
    assert epoch is not None
    return epoch


def _reach(peers: Sequence[Peer], reached: Sequence[bool]) -> None:
    """Let some peers answer, and the others be silent."""
    for peer, is_reached in zip(peers, reached, strict=True):
        peer.is_silent = not is_reached


@pytest.mark.parametrize("hosts", range(60))
def test_no_hosts_can_note_a_use_beside_others_that_deny_it(hosts: int) -> None:
    assert count_required_acks(hosts) + count_required_denials(hosts) > hosts


async def test_preassignments_are_unused_until_they_are_announced(autojump_clock: Clock) -> None:
    cell = Cell(3)
    old, new = cell.make_old(), cell.make_next()
    first = _make_epoch(old)
    assert await old.announce(first)
    second = _make_epoch(old)
    assert second.number > first.number
    assert not await new.is_unused(first)
    assert await new.is_unused(second)


async def test_no_use_is_announced_once_the_next_owner_has_asked(autojump_clock: Clock) -> None:
    """Guards against an old owner that lives on and starts work after the next one has."""
    cell = Cell(3)
    old, new = cell.make_old(), cell.make_next()
    epoch = _make_epoch(old)
    assert await new.is_unused(epoch)
    assert not await old.announce(epoch)


@pytest.mark.parametrize("others", range(5))
@pytest.mark.parametrize("is_announced_first", [True, False])
async def test_a_use_and_its_denial_exclude_each_other(
    others: int, is_announced_first: bool, autojump_clock: Clock
) -> None:
    """Whichever hosts each of the two owners reaches."""
    agreed = 0
    for reached in itertools.product([True, False], repeat=2 * others + 1):
        cell = Cell(others)
        old, new = cell.make_old(), cell.make_next()
        epoch = _make_epoch(old)
        outcomes = []
        for is_announcement in (is_announced_first, not is_announced_first):
            if is_announcement:
                _reach([cell.next, *cell.peers], reached[: others + 1])
                outcomes.append(await old.announce(epoch))
            else:
                _reach(cell.peers, reached[others + 1 :])
                outcomes.append(await new.is_unused(epoch))
        assert outcomes != [True, True]
        agreed += outcomes[0]
    assert agreed


async def test_hosts_that_started_again_know_nothing(autojump_clock: Clock) -> None:
    cell = Cell(3)
    old, new = cell.make_old(), cell.make_next()
    epoch = _make_epoch(old)
    for peer in cell.peers:
        peer.member_revision += TERM
    assert not await new.is_unused(epoch)
    assert not await old.announce(epoch)


async def test_an_owner_of_which_the_members_are_unknown_marks_nothing(
    autojump_clock: Clock,
) -> None:
    async def ask(address: str) -> News | None:
        return None

    preassignments = Preassignments(TERM, PreassignmentLog(), lambda _: None, ask)
    assert preassignments.make_epoch() is None
    assert not await preassignments.is_unused(PreassignmentEpoch(TERM - 9, 1, 0))


async def test_preassignments_of_another_term_need_no_announcement(autojump_clock: Clock) -> None:
    """The next owner does not ask about them, and counts them as used."""
    assert await Cell(0).make_old().announce(PreassignmentEpoch(TERM - 9, 1, 5))


def test_a_log_forgets_the_oldest_terms() -> None:
    log = PreassignmentLog()
    for revision in range(1, MAX_TERMS + 3):
        log.note_used(revision, 1)
    assert set(log.encode()) == {str(revision) for revision in range(3, MAX_TERMS + 3)}


def test_news_with_malformed_preassignments_are_malformed() -> None:
    body = encode_news(Peer("w", 3).make_news())
    assert decode_news(body) is not None
    for used in ({"x": 1}, {"5": "1"}, {"-5": 1}, [5]):
        assert decode_news({**body, "used_preassignments": used}) is None


async def _fill(site: EmulatedSite, work_s: float) -> None:
    """Fill every executor."""
    host = site.hosts[await site.wait_for_owner()]
    await host.requests.accept(site.make_job("long", count=8 * EXECUTORS, work_s=work_s), 2.0)
    await trio.sleep(0.5)


async def _accept_waiting_jobs(site: EmulatedSite) -> set[str]:
    """Hand in a job for each executor, all of which wait and are preassigned."""
    owner = site.owner_name()
    other = next(host for name, host in site.hosts.items() if name != owner)
    names = {f"w{number}" for number in range(EXECUTORS)}
    for name in sorted(names):
        await other.requests.accept(site.make_job(name, work_s=1.0), 2.0)
    await trio.sleep(1.5)
    return names


async def test_unused_preassignments_withhold_no_job(autojump_clock: Clock) -> None:
    """Guards against jobs that wait for a silent executor at which none of them began."""
    async with EmulatedSite.open(hosts=4, executors=EXECUTORS) as site:
        await _fill(site, 5.0)
        names = await _accept_waiting_jobs(site)
        site.executors.by_id["e5"].is_cut = True
        site.kill_host(await site.wait_for_owner())
        await site.wait_for_owner()
        await trio.sleep(MAX_STALL_S)
        assert {start.task.job for start in site.executors.starts()} == {"long", *names}


async def test_used_preassignments_still_withhold_their_tasks(autojump_clock: Clock) -> None:
    """The owner starts a preassigned task while the store is away, and is killed."""
    async with EmulatedSite.open(hosts=4, executors=EXECUTORS) as site:
        await _fill(site, 5.0)
        names = await _accept_waiting_jobs(site)
        site.store.is_down = True
        began_at = trio.current_time()
        while not (found := [s for s in site.executors.starts() if s.at > began_at]):
            await trio.sleep(0.01)
        task, name = found[0].task, found[0].executor
        assert task.job in names
        site.executors.by_id[name].is_cut = True
        site.kill_host(await site.wait_for_owner())
        site.store.is_down = False
        await site.wait_for_owner()
        await trio.sleep(MAX_STALL_S)
        assert len(site.executors.starts(TaskKey(task.job, 0, 0))) == 1
        await trio.sleep(40.0)
        assert check_promises(site.executors, {}) == []
