"""Choice of the owner by strength, and handover to a stronger host."""

import trio
from heronthread_dispatch.host_lease import HostRecord, Strength
from heronthread_dispatch.loop_lag import OVERLOAD_LAG_S
from heronthread_dispatch.succession import MAX_RANK, find_stronger, rank
from heronthread_emulator import EmulatedSite, check_promises

Clock = trio.testing.MockClock
WEAK, STRONG = Strength(0.5, 20.0), Strength(2.0, 200.0)


def _presence(name: str, strength: Strength) -> HostRecord:
    return HostRecord(name, name, strength)


def _members(*presences: HostRecord) -> dict[str, HostRecord]:
    return {host_record.host: host_record for host_record in presences}


def test_rank_orders_by_cores_and_then_bandwidth() -> None:
    hosts = [
        _presence("a", Strength(0.5, 20.0)),
        _presence("b", Strength(2.0, 100.0)),
        _presence("c", Strength(2.0, 200.0)),
    ]
    members = _members(*hosts)
    assert [rank(host, members, 0.0) for host in hosts] == [2, 1, 0]


def test_rank_of_equal_hosts_changes() -> None:
    members = _members(*(_presence(f"h{number}", STRONG) for number in range(5)))
    first = {
        next(name for name, host in members.items() if rank(host, members, float(at)) == 0)
        for at in range(40)
    }
    assert len(first) > 1
    assert sorted(rank(host, members, 3.0) for host in members.values()) == [0, 1, 2, 3, 4]


def test_rank_is_bounded() -> None:
    members = _members(*(_presence(f"h{number}", STRONG) for number in range(90)))
    assert rank(_presence("late", WEAK), members, 0.0) == MAX_RANK


def test_a_slightly_stronger_host_causes_no_handover() -> None:
    own = _presence("a", Strength(1.0, 100.0))
    assert find_stronger(own, _members(own, _presence("b", Strength(1.2, 100.0)))) is None
    found = find_stronger(own, _members(own, _presence("b", Strength(1.5, 100.0))))
    assert found is not None and found.host == "b"
    assert find_stronger(own, {}) is None


def test_strength_is_stored_and_defaults_for_older_hosts() -> None:
    host_record = _presence("a", STRONG)
    assert HostRecord.decode(host_record.encode()) == host_record
    assert HostRecord.decode(b'{"host": "a", "address": "b"}').strength == Strength()


async def test_the_strongest_host_follows_a_killed_owner(autojump_clock: Clock) -> None:
    strengths = {"h0": STRONG, "h1": STRONG, "h2": WEAK, "h3": WEAK}
    async with EmulatedSite.open(hosts=4, strengths=strengths) as site:
        await trio.sleep(3.0)
        first = site.owner_name()
        assert first in ("h0", "h1")
        site.kill_host(first)
        await trio.sleep(5.0)
        assert {first, site.owner_name()} == {"h0", "h1"}


async def test_an_idle_weak_owner_hands_over_to_a_stronger_host(autojump_clock: Clock) -> None:
    strengths = {"h0": WEAK, "h1": STRONG}
    async with EmulatedSite.open(hosts=1, strengths=strengths) as site:
        assert await site.wait_for_owner() == "h0"
        site.start_host("h1")
        await trio.sleep(3.0)
        assert site.owner_name() == "h1"


async def test_a_busy_weak_owner_hands_over_only_once_it_is_overloaded(
    autojump_clock: Clock,
) -> None:
    strengths = {"h0": WEAK, "h1": STRONG}
    async with EmulatedSite.open(hosts=1, strengths=strengths) as site:
        await site.wait_for_owner()
        weak = site.hosts["h0"]
        await weak.requests.accept(site.make_job("a", count=6, work_s=12.0), 2.0)
        site.start_host("h1")
        await trio.sleep(4.0)
        assert site.owner_name() == "h0"
        for reading in range(20):
            weak.loop.note(trio.current_time() - 2.0 + reading / 10, OVERLOAD_LAG_S * 3)
        await trio.sleep(2.0)
        assert site.owner_name() == "h1"
        await trio.sleep(12.0)
        assert len(site.executors.starts()) == 6, "running tasks continue"
        assert check_promises(site.executors, {}) == []


async def test_handovers_to_a_host_that_fails_to_take_over_are_limited(
    autojump_clock: Clock,
) -> None:
    strengths = {"h0": WEAK, "h1": STRONG}
    async with EmulatedSite.open(hosts=2, strengths=strengths) as site:
        await trio.sleep(3.0)
        site.hosts["h1"]._may_contend = lambda: False  # type: ignore[method-assign]
        if site.hosts["h1"].owner is not None:
            site.hosts["h1"].owner.depose()
        await trio.sleep(6.0)
        terms = site.hosts["h0"].owner
        assert terms is not None and terms.cell.term.number <= 4


async def test_delayed_write_of_a_member_key_does_not_remove_it(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """A delayed write must not bind the key to the revoked lease."""
    async with EmulatedSite.open(hosts=1) as site:
        await site.wait_for_owner()
        host = site.start_host("h1")
        site.views["h1"].lose_answers, site.views["h1"].late_s = 2, 2.0
        await trio.sleep(12.0)
        assert host.host_lease.is_valid
        assert "h1" in site.hosts["h0"].members
