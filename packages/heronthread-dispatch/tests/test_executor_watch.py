from typing import Any

import pytest
import trio
from heronthread_dispatch.executor_link import HoldOrder, HoldOutcome
from heronthread_dispatch.executor_watch import ExecutorWatch
from heronthread_dispatch.fleet import ExecutorState
from heronthread_dispatch.late_starts import MAX_ORDER_DELAY_S
from heronthread_dispatch.model import Executor, TaskKey
from heronthread_dispatch.record import JobStatus
from heronthread_emulator import EmulatedSite, check_promises

TASK = TaskKey("a", 0, 0)


async def _status(site: EmulatedSite, job: str) -> JobStatus | None:
    for host in site.hosts.values():
        view = await host.requests.find_job(job)
        return getattr(view, "status", None)
    return None


async def test_job_is_served(autojump_clock: trio.testing.MockClock) -> None:
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        await site.hosts["h1"].requests.accept(site.make_job("a", count=6), 2.0)
        await trio.sleep(4)
        assert await _status(site, "a") is JobStatus.SUCCEEDED
        assert len(site.executors.starts()) == 6


async def test_task_of_an_unresponsive_executor_is_restarted(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Unanswered holds must not extend the lease of an unresponsive executor."""
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=5.0), 2.0)
        await trio.sleep(1)
        first = site.executors.starts(TaskKey("a", 0, 0))[0]
        site.remove_executor(first.executor)
        await trio.sleep(10)
        starts = site.executors.starts(TaskKey("a", 0, 0))
        assert len(starts) == 2
        assert starts[1].at - first.at > 6.0
        await trio.sleep(6)
        assert await _status(site, "a") is JobStatus.SUCCEEDED


async def _submit_and_cut(site: EmulatedSite, cut_s: float) -> ExecutorState:
    """Cut off the executor of a run after a time (s), and return its state."""
    await site.wait_for_owner()
    await site.hosts["h0"].requests.accept(site.make_job("a", work_s=30.0), 2.0)
    await trio.sleep(cut_s)
    name = site.executors.starts(TASK)[0].executor
    site.executors.by_id[name].is_cut = True
    owner = site.hosts["h0"].owner
    assert owner is not None
    return owner.cell.executors[name]


@pytest.mark.parametrize("says_born", [False, True])
@pytest.mark.parametrize("cut_s", [1.0, 1.2, 1.4, 1.6, 1.8, 2.0])
async def test_task_of_an_unresponsive_executor_is_free_once_the_lease_is_over(
    cut_s: float, says_born: bool, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against attempts that are closed only as the next probe fails."""
    async with EmulatedSite.open(hosts=1, executors=2, says_born=says_born) as site:
        state = await _submit_and_cut(site, cut_s)
        await trio.sleep(9.0)
        assert len(site.executors.starts(TASK)) == 2
        waited_s = site.executors.starts(TASK)[1].at - state.lease_ends_by
        assert 0.0 <= waited_s <= 0.1
        assert check_promises(site.executors, {}) == []


async def test_attempt_whose_start_may_be_late_is_not_closed_at_the_end_of_the_lease(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """A later instance with another clock may carry the start out."""
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await site.wait_for_owner()
        await trio.sleep(14.0)
        site.executors.by_id["e0"].lose_starts, site.executors.by_id["e0"].late_s = 9, 30.0
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=30.0), 2.0)
        await trio.sleep(0.1)
        site.executors.by_id["e0"].is_cut = True
        owner = site.hosts["h0"].owner
        assert owner is not None
        state = owner.cell.executors["e0"]
        (attempt,) = state.list_held()
        await trio.sleep(1.0)
        await trio.sleep_until(state.lease_ends_by + 1.0)
        assert state.unresponsive_since is not None
        assert state.holds(attempt)
        await trio.sleep_until(attempt.sent_at + MAX_ORDER_DELAY_S - 0.1)
        assert state.holds(attempt)
        await trio.sleep(0.2)
        assert not state.holds(attempt)


async def test_an_incomplete_first_report_does_not_count(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """The task's end is not in the first report after the takeover, which must not count."""
    async with EmulatedSite.open(hosts=3, executors=3) as site:
        owner = await site.wait_for_owner()
        other = next(host for name, host in site.hosts.items() if name != owner)
        await other.requests.accept(site.make_job("a", work_s=1.5), 2.0)
        await trio.sleep(1.0)
        site.executors.hides_ends = True
        site.kill_host(owner)
        await site.wait_for_owner()
        await trio.sleep(3.0)
        site.executors.hides_ends = False
        await trio.sleep(4.0)
        assert len(site.executors.starts()) == 1
        assert check_promises(site.executors, {}) == []


async def test_an_idle_executor_without_an_entry_is_polled_rarely(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It must be long-polled until its lease expires."""
    asked = 0
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        host = site.hosts[await site.wait_for_owner()]
        await host.requests.accept(site.make_job("a", count=16, work_s=1.0), 2.0)
        await trio.sleep(2.0)
        hold = site.executors.hold

        async def count_hold(executor: Executor, order: HoldOrder) -> HoldOutcome:
            nonlocal asked
            asked += executor.id == "e0"
            return await hold(executor, order)

        monkeypatch.setattr(site.executors, "hold", count_hold)
        site.store.remove("executors/e0")
        await trio.sleep(4.0)
        assert asked <= 10


async def test_unexpected_error_at_one_executor_ends_no_owner(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Every owner would meet the error in turn; the task has to start elsewhere."""
    take_report, broken = ExecutorWatch._take_report, set[str]()

    async def raise_for_broken(self: ExecutorWatch, *arguments: Any) -> None:
        if self.state.id in broken:
            raise ZeroDivisionError("an odd report")
        await take_report(self, *arguments)

    monkeypatch.setattr(ExecutorWatch, "_take_report", raise_for_broken)
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        await site.wait_for_owner()
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=5.0), 2.0)
        await trio.sleep(1.0)
        broken.add(site.executors.starts(TASK)[0].executor)
        await trio.sleep(30.0)
        assert await _status(site, "a") is JobStatus.SUCCEEDED
    assert check_promises(site.executors, {}) == []
