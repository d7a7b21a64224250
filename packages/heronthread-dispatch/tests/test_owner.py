"""Ownership through kills, partitions, store outages and late orders."""

import pytest
import trio
from heronthread_dispatch.intake import NotTaken, Taken, Unsettled
from heronthread_dispatch.model import TaskKey
from heronthread_dispatch.record import JobStatus
from heronthread_emulator import EmulatedSite, Told, check_promises

Clock = trio.testing.MockClock


async def _status(site: EmulatedSite, job: str) -> JobStatus | None:
    for host in site.hosts.values():
        view = await host.requests.find_job(job)
        if hasattr(view, "status"):
            return view.status
    return None


def _check(site: EmulatedSite, told: dict[str, Told] | None = None) -> None:
    assert check_promises(site.executors, told or {}) == []


async def test_killed_owner_loses_no_run_and_starts_none_twice(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        owner = await site.wait_for_owner()
        other = next(host for name, host in site.hosts.items() if name != owner)
        await other.requests.accept(site.make_job("a", count=8, work_s=6.0), 2.0)
        await trio.sleep(1.0)
        site.kill_host(owner)
        await trio.sleep(8.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED
        assert len(site.executors.starts()) == 8
        _check(site)


async def test_planned_stop_hands_over_within_a_second(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        owner = await site.wait_for_owner()
        began = trio.current_time()
        await site.hosts[owner].stop()
        assert not site.hosts[owner].is_ready
        while site.owner_name() in (None, owner):
            await trio.sleep(0.02)
        assert trio.current_time() - began < 1.0


async def test_restarted_owner_regains_its_cell_at_once(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        owner = await site.wait_for_owner()
        await site.hosts[owner].requests.accept(site.make_job("a", work_s=1.0), 2.0)
        site.kill_host(owner)
        await trio.sleep(0.2)
        site.start_host(owner)
        await trio.sleep(0.8)
        assert site.owner_name() == owner
        await trio.sleep(3.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED
        _check(site)


async def test_owner_key_acquired_by_an_unanswered_write_is_used(autojump_clock: Clock) -> None:
    """The first of two equal writes acquires the cell, and only the second one is answered."""
    async with EmulatedSite.open(hosts=2) as site:
        for view in site.views.values():
            view.repeat = 3
        await site.wait_for_owner(limit_s=5.0)


async def test_planned_stop_needs_few_calls_to_a_slow_store(
    autojump_clock: Clock,
) -> None:
    """At 0.25 s a call: end the lease, read the term, acquire the key, read the state."""
    async with EmulatedSite.open(hosts=3) as site:
        owner = await site.wait_for_owner()
        other = next(host for name, host in site.hosts.items() if name != owner)
        await trio.sleep(1.0)
        site.store.latency_s = 0.25
        began = trio.current_time()
        site.nursery.start_soon(site.hosts[owner].stop)
        await trio.sleep(0.1)
        await other.requests.accept(site.make_job("a", work_s=0.5), 2.0)
        while not site.executors.starts():
            await trio.sleep(0.02)
        assert trio.current_time() - began < 6 * 0.25
        _check(site)


async def test_new_owner_starts_nothing_that_may_run_at_an_unresponsive_executor(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        owner = await site.wait_for_owner()
        other = next(host for name, host in site.hosts.items() if name != owner)
        await other.requests.accept(site.make_job("a", work_s=4.0), 2.0)
        await trio.sleep(0.5)
        place = site.executors.by_id[site.executors.starts()[0].executor]
        place.is_cut = True
        site.kill_host(owner)
        await trio.sleep(5.0)
        assert len(site.executors.starts(TaskKey("a", 0, 0))) == 1
        await trio.sleep(12.0)
        _check(site)
        assert await _status(site, "a") is JobStatus.SUCCEEDED


async def test_executor_whose_entry_does_not_return_with_the_store_is_dropped(
    autojump_clock: Clock,
) -> None:
    """All hosts and the store fail; the executor that runs the job crashes and does not return."""
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=1.0), 2.0)
        await trio.sleep(0.5)
        crashed = site.executors.starts()[0].executor
        site.store.is_down = site.store.lapses = True
        site.kill_host("h0")
        site.kill_host("h1")
        await trio.sleep(2.0)
        site.remove_executor(crashed)
        site.start_host("h2")
        await trio.sleep(2.0)
        site.store.is_down = site.store.lapses = False
        await site.wait_for_owner()
        await trio.sleep(2.0)
        assert len(site.executors.starts()) == 1, "the entry may still return"
        await trio.sleep(2.0)
        assert len(site.executors.starts()) == 2
        _check(site)


async def test_unresponsive_executor_with_an_entry_is_not_dropped(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=1) as site:
        await site.wait_for_owner()
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=20.0), 2.0)
        await trio.sleep(0.5)
        site.executors.by_id[site.executors.starts()[0].executor].is_cut = True
        site.kill_host("h0")
        site.start_host("h1")
        await trio.sleep(7.0)
        assert len(site.executors.starts()) == 1
        _check(site)


async def test_executor_without_an_entry_gets_no_new_work(
    autojump_clock: Clock,
) -> None:
    """Entries expire in a store outage: runs continue, and new work waits for the entry."""
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        host = site.hosts[await site.wait_for_owner()]
        await host.requests.accept(site.make_job("a", count=16, work_s=9.0), 2.0)
        await trio.sleep(1.0)
        entry = site.store.items["executors/e0"].value
        site.store.is_down = True
        site.store.remove("executors/e0")
        await trio.sleep(4.0)
        site.store.is_down = False
        await trio.sleep(1.0)
        await host.requests.accept(site.make_job("b", count=8, work_s=1.0), 2.0)
        await trio.sleep(6.0)
        assert {s.executor for s in site.executors.starts() if s.task.job == "b"} == {"e1"}
        assert [e.what for e in site.executors.events if e.task.job == "a"].count("done") == 16
        site.store.put("executors/e0", entry)
        await trio.sleep(1.0)
        await host.requests.accept(site.make_job("c", count=16, work_s=1.0), 2.0)
        await trio.sleep(1.0)
        assert {s.executor for s in site.executors.starts() if s.task.job == "c"} == {"e0", "e1"}


async def test_job_accepted_after_a_takeover_does_not_wait_for_unresponsive_executors(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        owner = await site.wait_for_owner()
        other = next(host for name, host in site.hosts.items() if name != owner)
        site.executors.by_id["e0"].is_cut = True
        site.kill_host(owner)
        await site.wait_for_owner()
        await other.requests.accept(site.make_job("new", work_s=1.0), 2.0)
        await trio.sleep(0.5)
        assert len(site.executors.starts()) == 1


async def test_drained_executor_that_becomes_unresponsive_withholds_only_its_own_tasks(
    autojump_clock: Clock,
) -> None:
    """The first owner drains an executor and dies; that executor becomes unresponsive."""
    async with EmulatedSite.open(hosts=2, executors=2) as site:
        owner = await site.wait_for_owner()
        other = next(host for name, host in site.hosts.items() if name != owner)
        await other.requests.accept(site.make_job("a", count=8, work_s=20.0), 2.0)
        await trio.sleep(0.5)
        left = {start.executor for start in site.executors.starts()}.pop()
        site.drain_executor(left, 30.0)
        await trio.sleep(0.3)
        waiting = site.make_job("b", count=9, work_s=0.5)
        await other.requests.accept(waiting, 2.0)
        await trio.sleep(0.2)
        site.executors.by_id[left].is_cut = True
        site.kill_host(owner)
        await site.wait_for_owner()
        await trio.sleep(1.5)
        started = {start.task.job for start in site.executors.starts() if start.at > 3.0}
        assert started == {"b"}
        await trio.sleep(40.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED
        _check(site)


async def test_running_work_outlasts_an_outage_of_the_store(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        await site.wait_for_owner()
        await site.hosts["h0"].requests.accept(site.make_job("a", count=4, work_s=3.0), 2.0)
        await trio.sleep(1.0)
        site.store.is_down = True
        await trio.sleep(8.0)
        assert await _status(site, "a") is not JobStatus.SUCCEEDED
        assert site.executors.taken_note == set()
        site.store.is_down = False
        await trio.sleep(3.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED
        assert len(site.executors.starts()) == 4
        _check(site)


async def test_no_job_is_accepted_while_the_store_is_down(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        await site.wait_for_owner()
        site.store.is_down = True
        await trio.sleep(2.0)
        record = site.make_job("a")
        outcome = await site.hosts["h0"].requests.accept(record, 2.0)
        assert isinstance(outcome, NotTaken)
        site.store.is_down = False
        await trio.sleep(10.0)
        assert site.executors.starts() == []
        _check(site, {"a": Told(record, refused=True)})


async def test_host_without_the_store_accepts_jobs_through_a_peer(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        owner = await site.wait_for_owner()
        name = next(name for name in site.hosts if name != owner)
        await trio.sleep(2.0)
        site.views[name].is_cut = True
        await trio.sleep(2.0)
        assert isinstance(await site.hosts[name].requests.accept(site.make_job("a"), 2.0), Taken)
        await trio.sleep(4.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED


async def test_owner_that_alone_lost_the_store_hands_over(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        owner = await site.wait_for_owner()
        await trio.sleep(2.0)
        site.views[owner].is_silent = True
        await trio.sleep(6.0)
        new = site.owner_name()
        assert new is not None
        assert new != owner
        await site.hosts[new].requests.accept(site.make_job("a", count=3), 2.0)
        await trio.sleep(4.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED
        _check(site)


async def test_lost_answer_to_an_acceptance_is_not_reported_as_a_refusal(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        site.views["h0"].lose_answers = 9
        site.views["h0"].late_s = 4.0
        record = site.make_job("a")
        outcome = await site.hosts["h0"].requests.accept(record, 1.0)
        assert isinstance(outcome, Unsettled)
        site.views["h0"].lose_answers = 0
        assert isinstance(await site.hosts["h1"].requests.accept(record, 2.0), Taken)
        await trio.sleep(8.0)
        assert len(site.executors.starts()) == 1
        _check(site)


@pytest.mark.parametrize("late_s", [1.8, 3.0])
async def test_start_carried_out_late_does_not_run_a_task_twice(
    autojump_clock: Clock, late_s: float
) -> None:
    """The start comes within the lease that it asks for, or after that."""
    async with EmulatedSite.open(hosts=2, executors=2) as site:
        await site.wait_for_owner()
        for place in site.executors.by_id.values():
            place.lose_answers = 2
            place.late_s = late_s
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=1.0), 2.0)
        await trio.sleep(15.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED
        _check(site)


async def test_late_write_of_progress_does_not_undo_a_newer_one(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        owner = await site.wait_for_owner()
        await site.hosts[owner].requests.accept(site.make_job("a", count=3, work_s=1.0), 2.0)
        await trio.sleep(0.5)
        site.views[owner].lose_answers = 1
        site.views[owner].late_s = 3.0
        await trio.sleep(10.0)
        site.kill_host(owner)
        await trio.sleep(5.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED
        assert len(site.executors.starts()) == 3


async def test_state_is_restored_after_all_hosts_died(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        await site.wait_for_owner()
        await site.hosts["h0"].requests.accept(site.make_job("a", count=3, work_s=2.0), 2.0)
        for name in list(site.hosts):
            site.kill_host(name)
        await trio.sleep(1.0)
        site.start_host("h7")
        site.start_host("h8")
        await trio.sleep(8.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED
        _check(site)


async def test_remaining_gang_members_are_stopped_and_the_gang_restarts_whole(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=2, executors=4) as site:
        owner = await site.wait_for_owner()
        record = site.make_job("a", count=3, accelerators=8, work_s=4.0, gang=True)
        await site.hosts[owner].requests.accept(record, 2.0)
        await trio.sleep(0.5)
        site.remove_executor(site.executors.starts()[0].executor)
        site.kill_host(owner)
        await trio.sleep(25.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED
        _check(site)


async def test_guaranteed_urgent_job_preempts_other_work(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2, executors=2) as site:
        await site.wait_for_owner()
        host = site.hosts["h0"]
        await host.requests.accept(site.make_job("low", queue="batch", count=16, work_s=60.0), 2.0)
        await trio.sleep(1.0)
        urgent = site.make_job(
            "urgent", queue="urgent", count=2, accelerators=8, work_s=2.0, gang=True
        )
        await host.requests.accept(urgent, 2.0)
        await trio.sleep(1.0)
        assert len([s for s in site.executors.starts() if s.task.job == "urgent"]) == 2


async def test_guarantee_preempts_ordinary_work_before_urgent_work(
    autojump_clock: Clock,
) -> None:
    """The urgent job above its guarantee began last, so stopping it would lose least work."""
    async with EmulatedSite.open(hosts=2, executors=4) as site:
        await site.wait_for_owner()
        host = site.hosts["h0"]
        await host.requests.accept(site.make_job("low", queue="batch", count=15, work_s=60.0), 2.0)
        await trio.sleep(5.0)
        beyond = site.make_job("beyond", queue="urgent", count=17, work_s=60.0)
        await host.requests.accept(beyond, 2.0)
        await trio.sleep(2.0)
        claim = site.make_job(
            "claim", queue="urgent", tenant="second", accelerators=8, work_s=2.0, gang=True
        )
        await host.requests.accept(claim, 2.0)
        await trio.sleep(1.5)
        stopped = {event.task.job for event in site.executors.events if event.what == "stopped"}
        assert stopped == {"low"}
        assert len([s for s in site.executors.starts() if s.task.job == "claim"]) == 1


async def test_cancelled_job_is_stopped_and_never_started_again(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        await site.hosts["h0"].requests.accept(site.make_job("a", count=4, work_s=60.0), 2.0)
        await trio.sleep(1.0)
        assert isinstance(await site.hosts["h1"].requests.cancel("a", "first", 2.0), Taken)
        await trio.sleep(1.0)
        assert all(not e.running for e in site.executors.by_id.values())
        assert await _status(site, "a") is JobStatus.CANCELLED
        await trio.sleep(5.0)
        assert len(site.executors.starts()) == 4


async def test_job_of_another_tenant_can_not_be_cancelled(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=2.0), 2.0)
        outcome = await site.hosts["h0"].requests.cancel("a", "second", 2.0)
        assert not isinstance(outcome, Taken)
        await trio.sleep(4.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED


async def test_attempts_are_not_spent_on_an_executor_that_fails_everything(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=2, executors=3) as site:
        await site.wait_for_owner()
        site.executors.by_id["e0"].fails_all = True
        record = site.make_job("a", count=12, work_s=1.0)
        await site.hosts["h0"].requests.accept(record, 2.0)
        await trio.sleep(8.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED
        _check(site, {"a": Told(record, taken=True, shown=JobStatus.SUCCEEDED)})


async def test_job_that_fails_everywhere_fails_after_its_attempts(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        for place in site.executors.by_id.values():
            place.fails_all = True
        record = site.make_job("a")
        await site.hosts["h0"].requests.accept(record, 2.0)
        await trio.sleep(40.0)
        assert await _status(site, "a") is JobStatus.FAILED
        assert len(site.executors.starts()) == record.spec.queue.max_attempts
        _check(site, {"a": Told(record, taken=True, shown=JobStatus.FAILED)})


async def test_executor_without_progress_loses_its_work(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2, executors=2) as site:
        await site.wait_for_owner()
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=2.0), 2.0)
        await trio.sleep(0.2)
        site.executors.by_id[site.executors.starts()[0].executor].stands_still = True
        await trio.sleep(9.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED


async def test_leaving_executor_gets_no_new_work(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2, executors=2) as site:
        await site.wait_for_owner()
        site.drain_executor("e0", 30.0)
        await trio.sleep(0.2)
        await site.hosts["h0"].requests.accept(site.make_job("a", count=12, work_s=1.0), 2.0)
        await trio.sleep(6.0)
        assert {start.executor for start in site.executors.starts()} == {"e1"}
        assert await _status(site, "a") is JobStatus.SUCCEEDED


async def test_configuration_reaches_a_host_without_the_store_and_never_reverts(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        await site.wait_for_owner()
        await trio.sleep(2.0)
        site.views["h2"].is_silent = True
        site.configure(7)
        await trio.sleep(1.5)
        assert {h.configuration.state.version for h in site.hosts.values()} == {7}
        raw = b'{"version": 6, "guaranteed": 16}'
        assert not site.hosts["h1"].configuration.offer(raw, "late answer")
        assert site.hosts["h1"].configuration.state.version == 7


async def test_forgotten_history_is_read_again(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        site.store.forget_history()
        site.configure(5)
        await trio.sleep(1.0)
        assert {h.configuration.state.version for h in site.hosts.values()} == {5}
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=1.0), 2.0)
        await trio.sleep(3.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED


@pytest.mark.parametrize("seed", range(8))
def test_promises_hold_under_seeded_faults(seed: int) -> None:
    """Seed 4 violates one promise, which `test_stalls_after_takeover.py` tests."""
    from heronthread_emulator import run_soak
    from heronthread_emulator.standing import PROMISE

    broken = [v for v in run_soak(seed).violations if seed != 4 or v.promise != PROMISE]
    assert broken == []


async def test_short_run_whose_answers_are_lost_is_not_started_again(
    autojump_clock: Clock,
) -> None:
    """The start and the first probe have no answer, and the run ends before the next send."""
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        owner = await site.wait_for_owner()
        await trio.sleep(1.0)
        for place in site.executors.by_id.values():
            place.lose_answers = 2
        await site.hosts[owner].requests.accept(site.make_job("a", work_s=0.2), 2.0)
        await trio.sleep(6.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED
        assert len(site.executors.starts()) == 1
        _check(site)


async def test_executor_whose_entry_expired_without_a_store_outage_may_still_run_work(
    autojump_clock: Clock,
) -> None:
    """Without a store outage, an expired entry does not prove that an executor is gone."""
    async with EmulatedSite.open(hosts=2) as site:
        owner = await site.wait_for_owner()
        other = next(host for name, host in site.hosts.items() if name != owner)
        await other.requests.accept(site.make_job("a", work_s=20.0), 2.0)
        await trio.sleep(0.5)
        cut = site.executors.starts()[0].executor
        site.executors.by_id[cut].is_cut = True
        site.store.remove(f"executors/{cut}")
        site.kill_host(owner)
        await trio.sleep(12.0)
        assert len(site.executors.starts(TaskKey("a", 0, 0))) == 2
        _check(site)
