"""No start in an evacuated failure domain, whatever faults hosts and the store have."""

import json

import pytest
import trio
from heronthread_dispatch.evacuation import (
    COMMAND_PREFIX,
    MAX_DOMAIN_CHARS,
    MAX_WITHDRAWN,
    Evacuations,
    describe_invalid_domain,
)
from heronthread_dispatch.keystore import Item, KeyRemoved, Listing
from heronthread_dispatch.wire.ttypes import Forward, Frame, Operation
from heronthread_emulator import EmulatedSite, captured_events, check_promises
from heronthread_emulator.site import EVACUATIONS

Clock = trio.testing.MockClock
PROPAGATION_S = 0.3
"""Time within which a request is in force at every host that reaches the store."""


def _list_started_domains(site: EmulatedSite, since: float = 0.0) -> set[str]:
    """Return the domains of the starts that were sent since a time."""
    starts = [start for start in site.executors.starts() if start.sent_at >= since]
    return {site.executors.by_id[start.executor].executor.zone for start in starts}


async def _submit(site: EmulatedSite, job: str, count: int = 24, **more: object) -> None:
    host = next(iter(site.hosts.values()))
    record = site.make_job(job, count=count, work_s=0.5, **more)  # type: ignore[arg-type]
    await host.requests.accept(record, 2.0)


async def _check_placement(site: EmulatedSite, job: str, allowed: set[str]) -> None:
    """Submit a job that fills the whole site, and check the domains where it runs."""
    since = trio.current_time()
    await _submit(site, job)
    await trio.sleep(3.0)
    assert _list_started_domains(site, since) == allowed
    assert check_promises(site.executors, {}) == []


async def test_one_domain_gets_no_starts_until_the_request_is_withdrawn(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=2, executors=3, zones=3) as site:
        await site.wait_for_owner()
        site.evacuate("z1")
        await trio.sleep(PROPAGATION_S)
        assert all(host.evacuations.domains == {"z1"} for host in site.hosts.values())
        await _check_placement(site, "a", {"z0", "z2"})
        site.take_back("z1")
        await trio.sleep(PROPAGATION_S)
        await _check_placement(site, "b", {"z0", "z1", "z2"})


async def test_two_domains_at_once(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2, executors=3, zones=3) as site:
        await site.wait_for_owner()
        site.evacuate("z0")
        site.evacuate("z2")
        await trio.sleep(PROPAGATION_S)
        await _check_placement(site, "a", {"z1"})
        site.take_back("z0")
        await trio.sleep(PROPAGATION_S)
        await _check_placement(site, "b", {"z0", "z1"})


async def test_all_domains_stop_starts_but_not_intake(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2, executors=3, zones=3) as site:
        await site.wait_for_owner()
        with captured_events() as events:
            for domain in ("z0", "z1", "z2"):
                site.evacuate(domain)
            await trio.sleep(PROPAGATION_S)
            await _check_placement(site, "a", set())
        assert any(event["message_type"] == "evacuation.all" for event in events)
        site.take_back("z1")
        await trio.sleep(3.0)
        assert _list_started_domains(site) == {"z1"}


async def test_unknown_domain_is_evacuated_once_executors_register(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=2, executors=3, zones=3) as site:
        await site.wait_for_owner()
        with captured_events() as events:
            site.evacuate("z9")
            await trio.sleep(PROPAGATION_S)
        logged = [event for event in events if event["message_type"] == "evacuation.unknown"]
        assert [(event["domain"], event["known"]) for event in logged] == [
            ("z9", ["z0", "z1", "z2"])
        ]
        await _check_placement(site, "a", {"z0", "z1", "z2"})
        site.add_executor("e9", "r0", "z9")
        await trio.sleep(PROPAGATION_S)
        await _check_placement(site, "b", {"z0", "z1", "z2"})


async def test_requested_and_withdrawn_within_a_second(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2, executors=3, zones=3) as site:
        await site.wait_for_owner()
        for _ in range(5):
            site.evacuate("z1")
            await trio.sleep(0.01)
            site.take_back("z1")
            await trio.sleep(0.01)
        site.evacuate("z2")
        site.take_back("z2")
        await trio.sleep(PROPAGATION_S)
        assert all(host.evacuations.domains == frozenset() for host in site.hosts.values())
        await _check_placement(site, "a", {"z0", "z1", "z2"})


async def test_requested_as_the_store_fails(autojump_clock: Clock) -> None:
    """No host learns of the request before the store is back; then all do."""
    async with EmulatedSite.open(hosts=2, executors=3, zones=3) as site:
        await site.wait_for_owner()
        site.store.is_down = True
        site.evacuate("z1")
        await trio.sleep(4.0)
        site.store.is_down = False
        await trio.sleep(3.0)
        assert all(host.evacuations.domains == {"z1"} for host in site.hosts.values())
        await _check_placement(site, "a", {"z0", "z2"})


async def test_history_compacted_since_the_request(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2, executors=3, zones=3) as site:
        await site.wait_for_owner()
        site.evacuate("z1")
        await trio.sleep(PROPAGATION_S)
        site.store.is_down = True
        await trio.sleep(3.0)
        site.take_back("z1")
        site.evacuate("z2")
        site.store.forget_history()
        site.store.is_down = False
        await trio.sleep(2.0)
        await _check_placement(site, "a", {"z0", "z1"})


@pytest.mark.parametrize("gap_s", [0.0, 0.05, 0.5])
async def test_takeover_right_after_the_request(autojump_clock: Clock, gap_s: float) -> None:
    """The next owner reads the request before its first start, however late its watch is."""
    async with EmulatedSite.open(hosts=2, executors=3, zones=3) as site:
        owner = await site.wait_for_owner()
        await _submit(site, "a", count=60)
        site.evacuate("z1")
        site.kill_host(owner)
        asked_at = trio.current_time()
        await trio.sleep(gap_s)
        site.start_host("h9")
        await trio.sleep(12.0)
        assert _list_started_domains(site, asked_at) == {"z0", "z2"}


async def test_new_owner_that_knows_configurations_from_peers_only(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A host whose watch of the operators' keys hangs still reads requests as it takes over."""
    async with EmulatedSite.open(hosts=2, executors=3, zones=3) as site:
        owner = await site.wait_for_owner()
        other = next(name for name in site.hosts if name != owner)

        async def hang(prefix: str, after: int, wait_s: float) -> object:
            if prefix == "configuration":
                await trio.sleep_forever()
            return await type(site.views[other]).watch(site.views[other], prefix, after, wait_s)

        monkeypatch.setattr(site.hosts[other].store, "watch", hang)
        await trio.sleep(3.0)
        site.peers.cut.add(owner)
        site.evacuate("z1")
        site.kill_host(owner)
        asked_at = trio.current_time()
        await trio.sleep(4.0)
        assert site.owner_name() == other
        await _submit(site, "a")
        await trio.sleep(6.0)
        assert _list_started_domains(site, asked_at) == {"z0", "z2"}


async def test_all_hosts_restart_after_the_request(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2, executors=3, zones=3) as site:
        await site.wait_for_owner()
        site.evacuate("z1")
        await trio.sleep(PROPAGATION_S)
        await _submit(site, "a", count=60)
        for name in list(site.hosts):
            site.kill_host(name)
        for name in ("h0", "h1"):
            site.start_host(name)
        await trio.sleep(14.0)
        assert _list_started_domains(site) == {"z0", "z2"}


async def test_host_without_the_store_learns_of_requests_from_peers(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=4, executors=3, zones=3) as site:
        owner = await site.wait_for_owner()
        site.views[owner].is_silent = True
        await trio.sleep(0.1)
        site.evacuate("z1")
        await trio.sleep(1.0)
        assert site.hosts[owner].evacuations.domains == {"z1"}
        site.take_back("z1")
        await trio.sleep(2.0)
        assert site.hosts[owner].evacuations.domains == frozenset()


async def test_store_unavailable_once_one_host_knows_the_request(autojump_clock: Clock) -> None:
    """An owner that continues without the store learns of the request from a peer."""
    async with EmulatedSite.open(hosts=3, executors=3, zones=3) as site:
        owner = await site.wait_for_owner()
        others = [name for name in site.hosts if name != owner]
        for name in (owner, others[0]):
            site.views[name].is_cut = True
        await trio.sleep(0.01)
        site.evacuate("z1")
        await trio.sleep(0.1)
        site.store.is_down = True
        await trio.sleep(1.0)
        assert site.hosts[owner].evacuations.domains == {"z1"}


async def test_start_is_not_retried_after_the_request(autojump_clock: Clock) -> None:
    """A start without an answer is not resent but stopped, and the task runs elsewhere."""
    async with EmulatedSite.open(hosts=1, executors=2, zones=2) as site:
        await site.wait_for_owner()
        for place in site.executors.by_id.values():
            place.lose_starts, place.late_s = 1, 30.0
        await _submit(site, "a", count=1)
        await trio.sleep(0.1)
        lost = next(e for e in site.executors.by_id.values() if not e.lose_starts)
        for place in site.executors.by_id.values():
            place.lose_starts = 0
        site.evacuate(lost.executor.zone)
        asked_at = trio.current_time()
        await trio.sleep(6.0)
        starts = site.executors.starts()
        assert [start.executor for start in starts] != [lost.executor.id]
        assert len(starts) == 1
        assert starts[0].sent_at > asked_at
        await trio.sleep(40.0)
        assert check_promises(site.executors, {}) == []
        assert len(site.executors.starts()) == 1


async def test_start_planned_just_before_the_request_is_not_sent(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The request arrives between the decision and the send, with no planning in between."""
    async with EmulatedSite.open(hosts=1, executors=2, zones=2) as site:
        owner = site.hosts[await site.wait_for_owner()].owner
        assert owner is not None
        carry_out = owner._carry_out

        def ask_first(plan: object) -> None:
            carry_out(plan)  # type: ignore[arg-type]
            if plan.groups:  # type: ignore[attr-defined]
                owner.parts.evacuations.note_written(EVACUATIONS + "z0", 10_000, True)

        monkeypatch.setattr(owner, "_carry_out", ask_first)
        await _submit(site, "a", count=12)
        await trio.sleep(3.0)
        assert _list_started_domains(site) == {"z1"}
        assert len({start.task for start in site.executors.starts()}) == 12


async def test_gang_with_members_in_an_evacuated_domain_starts_whole_elsewhere(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=1, executors=4, zones=2) as site:
        await site.wait_for_owner()
        site.evacuate("z0")
        await trio.sleep(PROPAGATION_S)
        await _submit(site, "a", count=2, accelerators=8, gang=True)
        await _submit(site, "b", count=3, accelerators=8, gang=True)
        await trio.sleep(4.0)
        assert _list_started_domains(site) == {"z1"}
        assert {start.task.job for start in site.executors.starts()} == {"a"}
        site.take_back("z0")
        await trio.sleep(4.0)
        assert {start.task.job for start in site.executors.starts()} == {"a", "b"}


async def test_running_tasks_are_not_stopped(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1, executors=2, zones=2) as site:
        host = site.hosts[await site.wait_for_owner()]
        await host.requests.accept(site.make_job("a", count=16, work_s=6.0), 2.0)
        await trio.sleep(1.0)
        site.evacuate("z0")
        await trio.sleep(9.0)
        ends = [e.what for e in site.executors.events if e.what != "start"]
        assert ends == ["done"] * 16


async def test_no_preemption_for_urgent_work_in_an_evacuated_domain(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=1, executors=2, zones=2) as site:
        host = site.hosts[await site.wait_for_owner()]
        await host.requests.accept(site.make_job("a", count=16, work_s=20.0), 2.0)
        await trio.sleep(1.0)
        site.evacuate("z0")
        await trio.sleep(PROPAGATION_S)
        await host.requests.accept(site.make_job("b", queue="urgent", count=16, work_s=1.0), 2.0)
        await trio.sleep(5.0)
        stopped = [e.executor for e in site.executors.events if e.what == "stopped"]
        zones = {site.executors.by_id[name].executor.zone for name in stopped}
        assert zones == {"z1"}


async def test_guarantees_beyond_the_remaining_capacity_are_logged(autojump_clock: Clock) -> None:
    """Guarantees sum to 32 accelerators, while the two remaining domains have 16."""
    async with EmulatedSite.open(hosts=1, executors=6, zones=3) as site:
        await site.wait_for_owner()
        with captured_events() as events:
            site.evacuate("z0")
            await trio.sleep(PROPAGATION_S)
            assert not [e for e in events if e["message_type"] == "guarantee.short"]
            site.evacuate("z1")
            await trio.sleep(PROPAGATION_S)
        logged = [e for e in events if e["message_type"] == "guarantee.short"]
        assert [(event["accelerators"], event["left"]) for event in logged] == [(16, 16)]


@pytest.mark.parametrize("domain", ["", "a/b", "a b", "a\nb", "\0", "x" * (MAX_DOMAIN_CHARS + 1)])
async def test_malformed_domain_is_rejected_with_a_reason(
    autojump_clock: Clock, domain: str
) -> None:
    async with EmulatedSite.open(hosts=2, executors=2, zones=2) as site:
        await site.wait_for_owner()
        with captured_events() as events:
            site.evacuate(domain)
            await trio.sleep(PROPAGATION_S)
        refused = [event for event in events if event["message_type"] == "evacuation.refused"]
        assert refused and all(event["reason"] for event in refused)
        assert all(not host.evacuations.domains for host in site.hosts.values())
        await _check_placement(site, "a", {"z0", "z1"})


@pytest.mark.parametrize("value", [b"", b"{", b"null", b"\xff", b'{"until": 1}'])
async def test_request_counts_whatever_its_value(autojump_clock: Clock, value: bytes) -> None:
    """The key's presence is the request, whatever its value."""
    async with EmulatedSite.open(hosts=2, executors=2, zones=2) as site:
        await site.wait_for_owner()
        site.evacuate("z0", value)
        await trio.sleep(PROPAGATION_S)
        await _check_placement(site, "a", {"z1"})


def _listing(at: int, **items: int) -> Listing:
    return Listing(tuple(Item("op/" + d, b"", revision) for d, revision in items.items()), at)


async def test_stale_reports_are_ignored() -> None:
    evacuations = Evacuations("op/")
    evacuations.take(Item("op/a", b"", 5))
    evacuations.take(KeyRemoved("op/a", 4))
    evacuations.merge_encoded({"op/a": [3, False]}, "peer")
    assert evacuations.domains == {"a"}
    evacuations.merge_encoded({"op/a": [6, False]}, "peer")
    evacuations.merge_encoded({"op/a": [5, True]}, "peer")
    evacuations.take_listing(_listing(5, a=5), ("op/",))
    assert evacuations.domains == frozenset()


async def test_peer_cannot_restore_a_request_withdrawn_before_the_listing() -> None:
    evacuations = Evacuations("op/")
    evacuations.take_listing(_listing(9), ("op/",))
    evacuations.merge_encoded({"op/a": [5, True]}, "peer")
    assert evacuations.domains == frozenset()
    evacuations.merge_encoded({"op/a": [10, True]}, "peer")
    assert evacuations.domains == {"a"}


async def test_withdrawal_that_arrives_before_its_request() -> None:
    evacuations = Evacuations("op/")
    evacuations.merge_encoded({"op/a": [6, False]}, "peer")
    evacuations.merge_encoded({"op/a": [5, True]}, "other peer")
    assert evacuations.domains == frozenset()


async def test_listing_of_one_prefix_keeps_the_other() -> None:
    evacuations = Evacuations("op/")
    evacuations.take(Item("op/a", b"", 5))
    evacuations.take(Item(COMMAND_PREFIX + "a", b"", 6))
    assert evacuations.list_requesters("a") == ["operator", "command"]
    evacuations.take_listing(_listing(7), ("op/",))
    assert evacuations.list_requesters("a") == ["command"]
    assert evacuations.domains == {"a"}


async def test_old_withdrawn_requests_are_forgotten_and_open_ones_are_kept() -> None:
    evacuations = Evacuations("op/")
    evacuations.take(Item("op/kept", b"", 1))
    for number in range(3 * MAX_WITHDRAWN):
        evacuations.take(Item(f"op/d{number}", b"", 2 * number + 2))
        evacuations.take(KeyRemoved(f"op/d{number}", 2 * number + 3))
    assert evacuations.domains == {"kept"}
    assert len(evacuations.requests) == MAX_WITHDRAWN + 1


@pytest.mark.parametrize(
    "row", [None, 5, "x", [], [5], [5, True, 1], ["5", True], [True, True], [5, 1], [-1, True]]
)
async def test_malformed_row_of_a_peer_is_ignored(row: object) -> None:
    evacuations = Evacuations("op/")
    evacuations.merge_encoded({"op/a": row, "op/b": [5, True], "elsewhere": [5, True]}, "peer")
    assert evacuations.domains == {"b"}


async def test_news_with_malformed_evacuations_is_ignored(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        news = {"host": "x", "address": "x", "version": 1, "store_ok": True, "evacuations": [1]}
        body = json.dumps(news).encode()
        forward = Forward(Operation.NEWS, "0", body, 100)
        await site.hosts["h0"].handle(Frame(forward=forward))
        await trio.sleep(PROPAGATION_S)
        assert "x" not in site.hosts["h0"].news.heard


def test_domain_name_that_is_not_a_string() -> None:
    assert describe_invalid_domain(5) == "the name of a domain is a text"
    assert describe_invalid_domain("uy-sur.a_1") is None
