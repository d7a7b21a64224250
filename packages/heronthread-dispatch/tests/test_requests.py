"""Callers' requests when a peer's reply is malformed, and when there is too much load."""

import base64
import random
from dataclasses import dataclass, field, replace

import pytest
import trio
from heronthread_coordination import Key, Measure, Unavailable
from heronthread_dispatch import clock
from heronthread_dispatch.admission import AdmissionReason
from heronthread_dispatch.host import Host
from heronthread_dispatch.intake import IntakeOutcome, NoSuchJob, NotTaken, Taken, Unsettled
from heronthread_dispatch.known_load import KnownLoad
from heronthread_dispatch.load_digest import LoadDigest, PoolLoad, PriorityLoad
from heronthread_dispatch.model import TaskKey
from heronthread_dispatch.owner import JobView
from heronthread_dispatch.peer import PeerUnreachable
from heronthread_dispatch.policy import DEFAULT_POLICY, Policy
from heronthread_dispatch.pool_contents import SETTLE_WINDOW_S
from heronthread_dispatch.record import JobStatus
from heronthread_dispatch.wire.ttypes import ForwardReply, Frame, Operation
from heronthread_emulator import EmulatedSite, captured_events
from heronthread_emulator.checker import Told, Violation, check_promises
from heronthread_emulator.site import POOL
from heronthread_emulator.soak import run_seeded

Clock = trio.testing.MockClock

DEEPLY_NESTED = b"[" * 100_000
"""JSON nested beyond the parser's recursion limit."""


def _replace_replies(
    site: EmulatedSite, monkeypatch: pytest.MonkeyPatch, operation: int, body: bytes
) -> list[str]:
    """Replace the replies to one operation with `body`; peers still execute the calls."""
    asked: list[str] = []
    call = site.peers.call

    async def answer(address: str, frame: Frame, timeout_s: float) -> Frame | PeerUnreachable:
        reply = await call(address, frame, timeout_s)
        if frame.forward is None or frame.forward.operation != operation:
            return reply
        asked.append(address)
        return Frame(forward_reply=ForwardReply(200, body))

    monkeypatch.setattr(site.peers, "call", answer)
    return asked


def _wrap_record(record: bytes) -> bytes:
    return b'{"record": "' + base64.b64encode(record) + b'"}'


MALFORMED_REPLIES = [
    b"{}",
    b'{"record": 7}',
    b'{"record": "not base64!"}',
    b'{"record": "abc"}',
    _wrap_record(b"no record"),
    _wrap_record(b"{}"),
    _wrap_record(b"null"),
    _wrap_record(b'{"steps": [[1]]}'),
    _wrap_record(DEEPLY_NESTED),
    b"null",
    DEEPLY_NESTED,
]


async def _cut_off_a_follower(site: EmulatedSite) -> str:
    """Return a host that is not the owner and is cut off from the store."""
    owner = await site.wait_for_owner()
    name = next(name for name in sorted(site.hosts) if name != owner)
    await trio.sleep(2.0)
    site.views[name].is_silent = True
    await trio.sleep(3.0)
    return name


@pytest.mark.parametrize("body", MALFORMED_REPLIES)
async def test_accepting_with_a_malformed_reply_is_unsettled(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch, body: bytes
) -> None:
    """The peer has accepted the job; repeating the call is conclusive."""
    async with EmulatedSite.open(hosts=3) as site:
        host = site.hosts[await _cut_off_a_follower(site)]
        asked = _replace_replies(site, monkeypatch, Operation.ACCEPT_JOB, body)
        record = site.make_job("a", work_s=0.5)
        outcome: IntakeOutcome = await host.requests.accept(record, 2.0)
        assert asked
        assert isinstance(outcome, Unsettled)
        monkeypatch.undo()
        assert isinstance(await host.requests.accept(record, 2.0), Taken)
        await trio.sleep(3.0)
        assert [start.task.job for start in site.executors.starts()] == ["a"]


@pytest.mark.parametrize("body", MALFORMED_REPLIES)
async def test_cancelling_with_a_malformed_reply_is_unsettled(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch, body: bytes
) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        host = site.hosts[await _cut_off_a_follower(site)]
        await host.requests.accept(site.make_job("a", work_s=60.0), 2.0)
        asked = _replace_replies(site, monkeypatch, Operation.CANCEL_JOB, body)
        assert isinstance(await host.requests.cancel("a", "first", 2.0), Unsettled)
        assert asked
        monkeypatch.undo()
        assert isinstance(await host.requests.cancel("a", "first", 2.0), Taken)


@pytest.mark.parametrize(
    "body",
    [
        b"{}",
        b'{"status": "nearly", "tenant": "first", "queue": "ordinary"}',
        b'{"status": [], "tenant": "first", "queue": "ordinary"}',
        b'{"status": "running", "tenant": 1, "queue": "ordinary"}',
        b'{"status": "running", "tenant": "first"}',
        DEEPLY_NESTED,
    ],
)
async def test_status_is_read_from_the_store_after_a_malformed_reply(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch, body: bytes
) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        owner = await site.wait_for_owner()
        host = next(host for name, host in site.hosts.items() if name != owner)
        await host.requests.accept(site.make_job("a", work_s=0.5), 2.0)
        await trio.sleep(3.0)
        asked = _replace_replies(site, monkeypatch, Operation.JOB_STATE, body)
        found: JobView | NoSuchJob | Unavailable = await host.requests.find_job("a")
        assert found == JobView(JobStatus.SUCCEEDED, "first", "ordinary")
        assert isinstance(await host.requests.find_job("b"), NoSuchJob)
        assert asked


@pytest.mark.parametrize(
    "body", [b"{}", b'{"count": "a"}', b'{"count": null}', b'{"count": Infinity}', b'{"count": -1}']
)
async def test_a_malformed_count_is_unknown(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch, body: bytes
) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        owner = await site.wait_for_owner()
        host = next(host for name, host in site.hosts.items() if name != owner)
        asked = _replace_replies(site, monkeypatch, Operation.QUEUE_COUNT, body)
        assert await host.requests.count_pending("ordinary") is None
        assert asked


async def test_malformed_replies_are_logged_at_a_limited_rate(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        owner = await site.wait_for_owner()
        host = next(host for name, host in site.hosts.items() if name != owner)
        _replace_replies(site, monkeypatch, Operation.QUEUE_COUNT, b"[1]")
        with captured_events() as messages:
            for _ in range(20):
                await host.requests.count_pending("ordinary")
            await trio.sleep(6.0)
            await host.requests.count_pending("ordinary")
        lines = [m for m in messages if m["message_type"] == "peer.malformed"]
        assert [(line["address"], line["operation"]) for line in lines] == [
            (owner, Operation.QUEUE_COUNT)
        ] * 2
        assert [line["skipped"] for line in lines] == [0, 19]


async def test_a_rejection_with_a_malformed_reason_is_a_rejection(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        host = site.hosts[await _cut_off_a_follower(site)]
        call = site.peers.call

        async def refuse(address: str, frame: Frame, timeout_s: float) -> Frame | PeerUnreachable:
            if frame.forward is not None and frame.forward.operation == Operation.ACCEPT_JOB:
                return Frame(forward_reply=ForwardReply(503, b'{"reason": [7]}'))
            return await call(address, frame, timeout_s)

        monkeypatch.setattr(site.peers, "call", refuse)
        outcome = await host.requests.accept(site.make_job("a"), 2.0)
        assert isinstance(outcome, NotTaken)
        assert isinstance(outcome.reason, str)


NO_ADMISSION = replace(DEFAULT_POLICY, admission=False)
LATEST_SEQUENCE = 10**9
"""Higher than any sequence number of an owner in a test, so that a made-up digest stays."""


def _report_full(site: EmulatedSite, *hosts: Host, sequence: int = LATEST_SEQUENCE) -> None:
    """Let hosts know a digest of the present owner that says that nothing can be served."""
    owner = site.owner_name()
    if owner is None:
        return
    leader = site.hosts[owner].owner
    assert leader is not None
    term = leader.cell.term.number
    rows = tuple(PriorityLoad(priority, 9_000, 900.0, 900.0) for priority in range(3))
    digest = LoadDigest(term, sequence, (PoolLoad(POOL, 10.0, rows),))
    for host in hosts:
        host.known_load.publish(digest, clock.boot_time())


async def _open_followers(site: EmulatedSite) -> list[Host]:
    """Return the hosts that don't own the cell, once the owner has settled."""
    owner = await site.wait_for_owner()
    await trio.sleep(2.0)
    return [host for name, host in sorted(site.hosts.items()) if name != owner]


def _is_load_rejection(outcome: IntakeOutcome) -> bool:
    return isinstance(outcome, NotTaken) and AdmissionReason.TOO_LATE.value in outcome.reason


async def test_rejection_for_load_is_immediate_and_stores_nothing(autojump_clock: Clock) -> None:
    """Guards against holding a hopeless request, and against a rejected job that runs."""
    async with EmulatedSite.open(hosts=2) as site:
        (host,) = await _open_followers(site)
        commits = host.store.calls["commit"]
        _report_full(site, host)
        began = trio.current_time()
        with captured_events() as messages:
            outcome = await host.requests.accept(site.make_job("a"), 2.0)
        assert trio.current_time() - began < 0.1
        assert _is_load_rejection(outcome)
        assert isinstance(outcome, NotTaken)
        assert 20.0 <= outcome.retry_after_s <= 30.0
        assert host.store.calls["commit"] == commits
        line = next(m for m in messages if m["message_type"] == "job.accept")
        assert line["expected_wait_s"] == 900.0
        assert line["digest_age_s"] < 0.1
        assert line["retry_after_s"] == round(outcome.retry_after_s, 3)
        assert host.statistics.counts["admission_rejects", "too_late"] == 1
        await trio.sleep(5.0)
        assert "job/a" not in site.store.items
        assert site.executors.starts() == []


async def test_job_that_can_never_be_placed_counts_as_rejected(autojump_clock: Clock) -> None:
    """Guards against counting a rejection by the pool's contents among the accepted jobs."""
    async with EmulatedSite.open(hosts=2) as site:
        (host,) = await _open_followers(site)
        await trio.sleep(SETTLE_WINDOW_S + 1.0)
        outcome = await host.requests.accept(site.make_job("a", accelerators=9), 2.0)
        assert isinstance(outcome, NotTaken)
        assert host.statistics.counts["admission_rejects", "unplaceable"] == 1
        assert host.statistics.counts["admission_accepts", "unplaceable"] == 0


async def test_switched_off_admission_accepts(autojump_clock: Clock) -> None:
    """Guards against a switch without effect."""
    async with EmulatedSite.open(hosts=2, policy=NO_ADMISSION) as site:
        (host,) = await _open_followers(site)
        _report_full(site, host)
        assert isinstance(await host.requests.accept(site.make_job("a"), 2.0), Taken)


async def test_guaranteed_job_cancel_and_query_are_served_under_any_load(
    autojump_clock: Clock,
) -> None:
    """Guards against rejecting what a customer is guaranteed, or requests about accepted jobs."""
    async with EmulatedSite.open(hosts=2) as site:
        (host,) = await _open_followers(site)
        for number, target in enumerate(site.hosts.values()):
            _report_full(site, target)
            record = site.make_job(f"a{number}", queue="urgent", count=2, accelerators=8)
            assert isinstance(await target.requests.accept(record, 2.0), Taken)
        assert isinstance(await host.requests.find_job("a0"), JobView)
        assert isinstance(await host.requests.cancel("a0", "first", 2.0), Taken)
        assert await host.requests.count_pending("urgent") is not None


async def test_job_accepted_before_is_accepted_again_under_load(autojump_clock: Clock) -> None:
    """Guards against telling a caller that lost the first answer that its job doesn't run."""
    async with EmulatedSite.open(hosts=3) as site:
        first, second = await _open_followers(site)
        record = site.make_job("a", work_s=60.0)
        assert isinstance(await first.requests.accept(record, 2.0), Taken)
        await trio.sleep(0.1)
        for host in site.hosts.values():
            _report_full(site, host)
            assert isinstance(await host.requests.accept(record, 2.0), Taken)
        assert second.statistics.counts["admission_accepts", "known"] == 1


async def test_job_that_this_host_stores_now_is_not_rejected_here(
    autojump_clock: Clock,
) -> None:
    """Guards against a rejection while the owner has not yet heard of the job from this host."""
    async with EmulatedSite.open(hosts=2) as site:
        (host,) = await _open_followers(site)
        # Afterwards the host needs no answer of the owner before it writes a job.
        await host.requests.accept(site.make_job("first"), 2.0)
        record = site.make_job("a", work_s=60.0)
        outcomes: list[IntakeOutcome] = []

        async def accept() -> None:
            outcomes.append(await host.requests.accept(record, 2.0))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(accept)
            await trio.sleep(0.0001)
            _report_full(site, host)
            nursery.start_soon(accept)
        assert [type(outcome) for outcome in outcomes] == [Taken, Taken]


async def test_same_job_at_an_accepting_and_a_rejecting_host_runs_once(
    autojump_clock: Clock,
) -> None:
    """Guards against a second run of a job, or a write by the host that rejected it."""
    async with EmulatedSite.open(hosts=3) as site:
        accepting, rejecting = await _open_followers(site)
        record = site.make_job("a", work_s=0.5)
        _report_full(site, rejecting)
        accepting.known_load = KnownLoad()
        commits = rejecting.store.calls["commit"]
        outcomes: dict[str, IntakeOutcome] = {}

        async def accept(host: Host) -> None:
            outcomes[host.settings.name] = await host.requests.accept(record, 2.0)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(accept, rejecting)
            nursery.start_soon(accept, accepting)
        assert isinstance(outcomes[accepting.settings.name], Taken)
        assert _is_load_rejection(outcomes[rejecting.settings.name])
        assert rejecting.store.calls["commit"] == commits
        await trio.sleep(3.0)
        assert [start.task for start in site.executors.starts()] == [TaskKey("a", 0, 0)]


async def test_owner_killed_after_the_digest_means_accept(autojump_clock: Clock) -> None:
    """Guards against a rejection that no owner confirms, or by a digest of an earlier term."""
    async with EmulatedSite.open(hosts=3) as site:
        first, second = await _open_followers(site)
        owner = site.owner_name()
        assert owner is not None
        _report_full(site, first, second)
        site.kill_host(owner)
        assert isinstance(await first.requests.accept(site.make_job("a"), 2.0), Taken)
        assert first.statistics.counts["admission_accepts", "owner_silent"] == 1
        while site.owner_name() is None:
            await trio.sleep(0.05)
        age = second.known_load.find(clock.boot_time())
        assert age is not None
        assert isinstance(await second.requests.accept(site.make_job("b"), 2.0), Taken)


async def test_host_that_is_no_owner_any_more_confirms_nothing(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against taking a deposed owner's or an earlier version's answer for knowledge."""
    async with EmulatedSite.open(hosts=2) as site:
        (host,) = await _open_followers(site)
        call = site.peers.call

        async def answer(address: str, frame: Frame, timeout_s: float) -> Frame | PeerUnreachable:
            if frame.forward is not None and frame.forward.operation == Operation.JOB_STATE:
                return Frame(forward_reply=ForwardReply(421, b"{}"))
            return await call(address, frame, timeout_s)

        monkeypatch.setattr(site.peers, "call", answer)
        _report_full(site, host)
        assert isinstance(await host.requests.accept(site.make_job("a"), 2.0), Taken)


async def test_host_without_the_store_uses_its_routes_under_load(autojump_clock: Clock) -> None:
    """Guards against deciding by load while the store is away, when peers take jobs in."""
    async with EmulatedSite.open(hosts=3) as site:
        host = site.hosts[await _cut_off_a_follower(site)]
        _report_full(site, host)
        assert isinstance(await host.requests.accept(site.make_job("a"), 2.0), Taken)
        assert host.statistics.counts["admission_accepts", "store_away"] == 1


async def test_host_cut_off_from_its_peers_accepts(autojump_clock: Clock) -> None:
    """Guards against turning callers away on news that has stopped coming."""
    async with EmulatedSite.open(hosts=2) as site:
        (host,) = await _open_followers(site)
        site.peers.cut = set(site.hosts)
        await trio.sleep(0.5)
        _report_full(site, host)
        await trio.sleep(3.1)
        assert isinstance(await host.requests.accept(site.make_job("a"), 2.0), Taken)
        assert host.statistics.counts["admission_accepts", "old_digest"] == 1


async def test_suspended_host_accepts_when_it_wakes(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a digest's age that leaves out the time for which the host slept."""
    async with EmulatedSite.open(hosts=2) as site:
        (host,) = await _open_followers(site)
        _report_full(site, host)
        monkeypatch.setattr(clock, "suspended_s", lambda: 60.0)
        known = host.known_load.find(clock.boot_time())
        assert known is not None
        assert known.age_s >= 60.0
        outcome = await host.requests.accept(site.make_job("a"), 2.0)
        assert not _is_load_rejection(outcome)


async def _bring_backlog(site: EmulatedSite, host: Host) -> None:
    """Let the drain rate become known, then bring 60 s of work for the whole pool."""
    for number in range(40):
        record = site.make_job(f"w{number}", accelerators=8, work_s=1.0)
        assert isinstance(await host.requests.accept(record, 2.0), Taken)
        await trio.sleep(0.3)
    for number in range(60):
        record = site.make_job(f"o{number}", accelerators=8, work_s=4.0)
        assert isinstance(await host.requests.accept(record, 2.0), Taken)
    await trio.sleep(2.5)


async def test_rejected_caller_that_returns_is_accepted_once_there_is_room(
    autojump_clock: Clock,
) -> None:
    """Guards against holding work behind a backlog, and against rejecting it for ever."""
    async with EmulatedSite.open(hosts=2) as site:
        (host,) = await _open_followers(site)
        await _bring_backlog(site, host)
        began = trio.current_time()
        outcome = await host.requests.accept(site.make_job("b", queue="batch", work_s=1.0), 2.0)
        assert trio.current_time() - began < 0.1
        assert _is_load_rejection(outcome)
        asked = 1
        while isinstance(outcome, NotTaken):
            await trio.sleep(outcome.retry_after_s)
            record = site.make_job("b", queue="batch", work_s=1.0)
            outcome = await host.requests.accept(record, 2.0)
            asked += 1
        assert isinstance(outcome, Taken)
        assert asked <= 6
        await trio.sleep(30.0)
        view = await host.requests.find_job("b")
        assert isinstance(view, JobView)
        assert view.status is JobStatus.SUCCEEDED
        expected = Key("first", "batch", Measure.EXPECTED_WAITING)
        assert host.statistics.histograms.summarise(expected).count == 1


async def test_backlog_without_admission_is_accepted(autojump_clock: Clock) -> None:
    """Guards against the replay above passing for another reason than admission control."""
    async with EmulatedSite.open(hosts=2, policy=NO_ADMISSION) as site:
        (host,) = await _open_followers(site)
        await _bring_backlog(site, host)
        record = site.make_job("b", queue="batch", work_s=1.0)
        assert isinstance(await host.requests.accept(record, 2.0), Taken)
        await trio.sleep(11.0)
        assert all(start.task.job != "b" for start in site.executors.starts())


async def _play_with_room(seed: int, policy: Policy) -> list[str]:
    """Return the outcomes and starts of jobs that a pool has enough room for."""
    source = random.Random(seed)
    found: list[str] = []
    async with EmulatedSite.open(hosts=2, policy=policy) as site:
        (host,) = await _open_followers(site)
        for number in range(60):
            await trio.sleep(source.uniform(0.1, 0.6))
            queue = source.choice(["urgent", "ordinary", "batch"])
            need, work_s = source.choice([1, 2, 4]), source.uniform(0.5, 2.0)
            record = site.make_job(f"j{number}", queue=queue, accelerators=need, work_s=work_s)
            found.append(repr(await host.requests.accept(record, 2.0)))
        await trio.sleep(5.0)
        found += [str(event) for event in site.executors.events]
    return found


@pytest.mark.parametrize("seed", [1, 2])
def test_outcomes_with_room_are_the_same_on_and_off(seed: int) -> None:
    """Guards against an effect of admission control where capacity is sufficient."""
    on = run_seeded(seed, _play_with_room, seed, DEFAULT_POLICY)
    assert on == run_seeded(seed, _play_with_room, seed, NO_ADMISSION)


@dataclass(slots=True)
class _Callers:
    """Callers that ask for jobs at any host, at several at once too, and what they are told."""

    site: EmulatedSite
    source: random.Random
    told: dict[str, Told] = field(default_factory=dict)

    async def ask_for(self, name: str) -> None:
        record = self.site.make_job(name, work_s=0.3)
        self.told[name] = Told(record)
        for _ in range(4):
            async with trio.open_nursery() as nursery:
                for _ in range(self.source.choice([1, 1, 2])):
                    host = self.source.choice(sorted(self.site.hosts.values(), key=_name))
                    nursery.start_soon(self._ask, host, self.told[name])
            if self.told[name].taken:
                return
            await trio.sleep(self.source.uniform(0.0, 0.5))

    async def _ask(self, host: Host, told: Told) -> None:
        outcome = await self.site.accept(host, told.record, 2.0)
        told.taken |= isinstance(outcome, Taken)
        told.refused |= isinstance(outcome, NotTaken)
        told.unsettled |= outcome is None or isinstance(outcome, Unsettled)


def _name(host: Host) -> str:
    return host.settings.name


async def _kill_owners(site: EmulatedSite) -> None:
    """Kill the owner's host from time to time, and start it again."""
    while True:
        await trio.sleep(9.0)
        owner = site.owner_name()
        if owner is not None:
            site.kill_host(owner)
            await trio.sleep(1.0)
            site.start_host(owner)


async def _report_full_by_turns(site: EmulatedSite, source: random.Random) -> None:
    """Tell some hosts of a backlog, and the others of none."""
    for number in range(1_000_000):
        chosen = [h for h in sorted(site.hosts.values(), key=_name) if source.random() < 0.6]
        _report_full(site, *chosen, sequence=LATEST_SEQUENCE + number)
        await trio.sleep(0.5)


async def _play_rejections(seed: int) -> tuple[int, int, list[Violation]]:
    source = random.Random(seed)
    async with EmulatedSite.open(hosts=4, executors=2) as site:
        await _open_followers(site)
        callers = _Callers(site, source)
        site.nursery.start_soon(_kill_owners, site)
        site.nursery.start_soon(_report_full_by_turns, site, source)
        for number in range(150):
            site.nursery.start_soon(callers.ask_for, f"j{number}")
            await trio.sleep(0.3)
        await trio.sleep(20.0)
        found = check_promises(site.executors, callers.told)
        refused = [told for told in callers.told.values() if told.refused]
        only_refused = sum(not (told.taken or told.unsettled) for told in refused)
        return len(refused), only_refused, found


@pytest.mark.parametrize("seed", range(4))
def test_rejections_are_true_while_owners_are_killed(seed: int) -> None:
    """Guards against a job that runs although every answer of it was a rejection."""
    refused, only_refused, found = run_seeded(seed, _play_rejections, seed)
    assert refused > 30
    assert only_refused > 5
    assert [violation for violation in found if "not taken" in violation.promise] == []
