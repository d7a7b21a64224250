"""Starts at executors with work: each is probed beside the hold that waits for an end there."""

import random
from typing import Any

import pytest
import trio
from heronthread_dispatch.executor_link import HoldOrder, HoldOutcome, NoAnswer
from heronthread_dispatch.keystore import CommitOutcome, Transaction
from heronthread_dispatch.model import Executor
from heronthread_emulator import EmulatedSite, check_promises

Clock = trio.testing.MockClock
MAX_DELAY_S = 3.0
"""How long a ready job with ample capacity may have nothing running."""
SINCE_REPORT_S = 0.4
SETTLE_S = 30.0
ACCELERATORS_USED = 5
ACCELERATORS_LEFT = 3


async def _submit(site: EmulatedSite, job: str, count: int, **more: Any) -> None:
    await site.hosts["h0"].requests.accept(site.make_job(job, count=count, **more), 2.0)


async def _occupy_executors(site: EmulatedSite, work_s: float = 20.0) -> None:
    """Start a task at each executor, and wait until the last reports are old."""
    await site.wait_for_owner()
    count = len(site.executors.by_id)
    await _submit(site, "a", count, accelerators=ACCELERATORS_USED, work_s=work_s)
    await trio.sleep(0.5)
    assert all(len(place.running) == 1 for place in site.executors.by_id.values())
    await trio.sleep(SINCE_REPORT_S)


def _list_starts(site: EmulatedSite, job: str) -> list[str]:
    return [start.executor for start in site.executors.starts() if start.task.job == job]


async def test_probing_busy_executors_delays_a_start_by_one_round_trip(
    autojump_clock: Clock,
) -> None:
    """Guards against starts that wait until the hold in flight has returned."""
    async with EmulatedSite.open(hosts=1, executors=3) as site:
        await _occupy_executors(site)
        handed_in = trio.current_time()
        await _submit(site, "b", 3, accelerators=ACCELERATORS_LEFT, gang=True, work_s=5.0)
        await trio.sleep(1.0)
        assert len(_list_starts(site, "b")) == 3
        assert max(start.at for start in site.executors.starts()) - handed_in < 0.025


@pytest.mark.parametrize("name", ["e0", "e1", "e2"])
async def test_busy_executor_that_was_just_partitioned_is_sent_no_start(
    autojump_clock: Clock, name: str
) -> None:
    """Guards against starts sent because of a report from before the partition."""
    async with EmulatedSite.open(hosts=1, executors=3) as site:
        await _occupy_executors(site)
        site.executors.by_id[name].is_cut = True
        await trio.sleep(0.2)
        await _submit(site, "b", 2, accelerators=ACCELERATORS_LEFT, work_s=5.0)
        await trio.sleep(MAX_DELAY_S)
        assert sorted(_list_starts(site, "b")) == sorted({"e0", "e1", "e2"} - {name})
        owner = site.hosts["h0"].owner
        assert owner is not None
        assert owner.cell.executors[name].find_refusal(trio.current_time()) is not None
        assert site.executors.unanswered == set()
        await trio.sleep(SETTLE_S)
        assert check_promises(site.executors, {}) == []


@pytest.mark.parametrize("seed", range(100, 106))
async def test_gang_waits_for_one_round_of_failed_probes(autojump_clock: Clock, seed: int) -> None:
    """Guards against further rounds where a sixth of all executors is lost, over several racks."""
    async with EmulatedSite.open(hosts=1, executors=48, racks=6, zones=1, says_born=False) as site:
        await _occupy_executors(site)
        await trio.sleep(0.3)
        for name in random.Random(seed).sample(sorted(site.executors.by_id), 8):
            site.executors.by_id[name].is_cut = True
        await trio.sleep(0.2)
        handed_in = trio.current_time()
        await _submit(site, "b", 24, accelerators=ACCELERATORS_LEFT, gang=True, work_s=5.0)
        await trio.sleep(MAX_DELAY_S)
        assert len(_list_starts(site, "b")) == 24
        assert max(start.at for start in site.executors.starts()) - handed_in < 1.0
        assert site.executors.unanswered == set()


async def test_lost_answer_of_a_busy_executor_moves_no_start(autojump_clock: Clock) -> None:
    """Guards against starts given up after a single probe without an answer."""
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await _occupy_executors(site)
        site.executors.by_id["e0"].lose_answers = 1
        handed_in = trio.current_time()
        await _submit(site, "b", 1, accelerators=ACCELERATORS_LEFT, work_s=5.0)
        await trio.sleep(1.0)
        starts = [start for start in site.executors.starts() if start.task.job == "b"]
        assert [start.run for start in starts] == [1]
        assert starts[0].at - handed_in < 0.5


async def test_starts_of_one_burst_share_a_probe(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a probe for each start where many begin at one executor."""
    asked: list[HoldOrder] = []
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await _occupy_executors(site)
        hold = site.executors.hold

        async def record_hold(executor: Executor, order: HoldOrder) -> HoldOutcome:
            asked.append(order)
            return await hold(executor, order)

        monkeypatch.setattr(site.executors, "hold", record_hold)
        await _submit(site, "b", ACCELERATORS_LEFT, accelerators=1, work_s=5.0)
        await trio.sleep(0.03)
        assert len(_list_starts(site, "b")) == ACCELERATORS_LEFT
        assert [(order.until_ms, order.wait_s) for order in asked] == [(None, 0.0)]


async def test_executor_lost_while_the_store_is_slow_is_sent_no_start(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against starts sent because of a report from before a slow write of placements."""
    delay_s = 0.0
    async with EmulatedSite.open(hosts=1, executors=3) as site:
        await _occupy_executors(site)
        view: Any = site.views["h0"]
        commit = view.commit

        async def commit_slowly(transaction: Transaction) -> CommitOutcome:
            await trio.sleep(delay_s)
            outcome: CommitOutcome = await commit(transaction)
            return outcome

        monkeypatch.setattr(type(view), "commit", lambda _, order: commit_slowly(order))
        await _submit(site, "b", 1, accelerators=ACCELERATORS_LEFT, work_s=5.0)
        delay_s = 0.8
        await trio.sleep(0.4)
        owner = site.hosts["h0"].owner
        assert owner is not None
        attempt = owner.cell.jobs["b"].steps[0].tasks[0].attempt
        assert attempt is not None and not attempt.sends
        site.executors.by_id[attempt.executor].is_cut = True
        delay_s = 0.0
        await trio.sleep(MAX_DELAY_S)
        assert site.executors.unanswered == set()
        assert [name != attempt.executor for name in _list_starts(site, "b")] == [True]
        await trio.sleep(SETTLE_S)
        assert check_promises(site.executors, {}) == []


@pytest.mark.parametrize("name", ["e0", "e1"])
@pytest.mark.parametrize("is_restarted", [False, True], ids=["ended", "restarted"])
async def test_probe_beside_a_hold_that_another_instance_answers_starts_nothing(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch, name: str, is_restarted: bool
) -> None:
    """The connection of the hold stays open for a while after the instance has ended."""
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        await _occupy_executors(site, work_s=4.0)
        hold = site.executors.hold

        async def hold_half_open(executor: Executor, order: HoldOrder) -> HoldOutcome:
            place = site.executors.by_id[executor.id]
            outcome = await hold(executor, order)
            if order.wait_s and place.is_gone:
                await trio.sleep(1.0)
                return NoAnswer("half open")
            return outcome

        monkeypatch.setattr(site.executors, "hold", hold_half_open)
        await trio.sleep(1.1)
        if is_restarted:
            site.restart_executor(name, 0.0)
        else:
            site.executors.crash(name)
        await trio.sleep(0.2)
        await _submit(site, "b", 1, accelerators=ACCELERATORS_LEFT, work_s=5.0)
        await trio.sleep(MAX_DELAY_S)
        (start,) = [start for start in site.executors.starts() if start.task.job == "b"]
        assert start.executor != name or is_restarted
        assert start.instance == site.executors.by_id[start.executor].executor.instance
        assert site.executors.unanswered == set()
        await trio.sleep(SETTLE_S)
        assert check_promises(site.executors, {}) == []
