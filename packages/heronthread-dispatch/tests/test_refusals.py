"""Usable executors that would never get work again: one test for each cause.

An executor is usable if it answers and its newest entry is valid and says ready.
"""

import json
from dataclasses import replace

import pytest
import trio
from heronthread_dispatch.executor_link import (
    EndKind,
    HoldOrder,
    HoldOutcome,
    InstanceEnded,
    OrderOutcome,
    StartOrder,
)
from heronthread_dispatch.executors_in_use import USED_KEY
from heronthread_dispatch.fleet import ExecutorState, WorkRefusal
from heronthread_dispatch.keystore import CommitOutcome, Transaction
from heronthread_dispatch.model import Executor, TaskKey
from heronthread_dispatch.owner import Owner
from heronthread_dispatch.record import JobStatus
from heronthread_emulator import EmulatedSite, check_promises
from heronthread_emulator.executors import EmulatedExecutor, WorkSpec
from heronthread_emulator.site import ENTRIES
from heronthread_emulator.soak import run_seeded

Clock = trio.testing.MockClock
HEARTBEAT_S = 1.5
MAX_DELAY_S = 3.0
"""How long a ready job with ample room may wait at most."""


def _owner(site: EmulatedSite) -> Owner:
    name = site.owner_name()
    assert name is not None
    owner = site.hosts[name].owner
    assert owner is not None
    return owner


def _state(site: EmulatedSite, name: str = "e0") -> ExecutorState:
    return _owner(site).cell.executors[name]


def _find_refusal(site: EmulatedSite, name: str = "e0") -> WorkRefusal | None:
    return _state(site, name).find_refusal(trio.current_time())


async def _submit(site: EmulatedSite, job: str, **more: object) -> None:
    host = next(iter(site.hosts.values()))
    await host.requests.accept(site.make_job(job, **more), 2.0)  # type: ignore[arg-type]


async def _send_heartbeats(site: EmulatedSite, seconds: float, name: str = "e0") -> None:
    """Write an executor's entry at each heartbeat for a while."""
    until = trio.current_time() + seconds
    while trio.current_time() < until:
        site.say(name)
        await trio.sleep(HEARTBEAT_S)


async def test_executor_that_says_ready_again_takes_work(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await site.wait_for_owner()
        site.drain_executor("e0", 30.0)
        await trio.sleep(1.0)
        assert _find_refusal(site) is WorkRefusal.LEAVING
        place = site.executors.by_id["e0"]
        place.executor = replace(place.executor, leaves_in_s=None)
        site.say("e0")
        await trio.sleep(1.0)
        assert _find_refusal(site) is None
        await _submit(site, "a", work_s=1.0)
        await trio.sleep(MAX_DELAY_S)
        assert await site.find_status("a") is JobStatus.SUCCEEDED
        site.drain_executor("e0", 30.0)
        await trio.sleep(1.0)
        assert _find_refusal(site) is WorkRefusal.LEAVING
        assert check_promises(site.executors, {}) == []


def _write_address(site: EmulatedSite, address: str, name: str = "e0") -> None:
    """Write an executor's entry with another address."""
    entry = json.loads(site.store.items[ENTRIES + name].value) | {"address": address}
    site.store.put(ENTRIES + name, json.dumps(entry).encode())


async def test_executor_at_a_new_address_takes_work(
    autojump_clock: Clock,
) -> None:
    """It reported at the address known to an earlier owner, and its entry names another one."""
    async with EmulatedSite.open(hosts=2, executors=2) as site:
        name = await site.wait_for_owner()
        await _submit(site, "before", count=4, work_s=12.0)
        await trio.sleep(1.0)
        site.store.remove(ENTRIES + "e0")
        site.kill_host(name)
        await site.wait_for_owner()
        await trio.sleep(1.0)
        site.say("e0")
        _write_address(site, "another-way")
        await trio.sleep(MAX_DELAY_S)
        assert _find_refusal(site) is None
        assert _state(site).executor.address == "another-way"
        await trio.sleep(12.0)
        assert await site.find_status("before") is JobStatus.SUCCEEDED
        assert len(site.executors.starts()) == 4
        assert check_promises(site.executors, {}) == []


@pytest.mark.parametrize("answer", ["nobody", "another life"])
async def test_entry_with_an_address_without_an_answer_is_ignored(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch, answer: str
) -> None:
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        await site.wait_for_owner()
        await _submit(site, "a", count=8, work_s=8.0)
        await trio.sleep(1.0)
        hold = site.executors.hold

        async def hold_elsewhere(executor: Executor, order: HoldOrder) -> HoldOutcome:
            outcome = await hold(executor, order)
            if executor.address != "elsewhere":
                return outcome
            if answer == "nobody":
                return InstanceEnded()
            return replace(outcome, born=7, running=())  # type: ignore[type-var]

        monkeypatch.setattr(site.executors, "hold", hold_elsewhere)
        _write_address(site, "elsewhere")
        await trio.sleep(2.0)
        assert _find_refusal(site) is WorkRefusal.SET_ASIDE
        assert _state(site).executor.address == "e0"
        await trio.sleep(10.0)
        assert await site.find_status("a") is JobStatus.SUCCEEDED
        assert len(site.executors.starts()) == 8
        assert check_promises(site.executors, {}) == []


async def test_instance_that_answers_only_after_its_entry_takes_work(
    autojump_clock: Clock,
) -> None:
    """The first probe reaches the previous instance; it must be repeated although nothing runs."""
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await site.wait_for_owner()
        await trio.sleep(1.0)
        before = site.executors.by_id["e0"]
        later = EmulatedExecutor(replace(before.executor, born=before.executor.born + 5_000))
        site.executors.by_id["e0"] = later
        site.say("e0")
        site.executors.by_id["e0"] = before
        await trio.sleep(1.0)
        assert _find_refusal(site) is WorkRefusal.OTHER_INSTANCE
        before.is_gone = True
        site.executors.by_id["e0"] = later
        await _send_heartbeats(site, MAX_DELAY_S)
        assert _find_refusal(site) is None
        await _submit(site, "a", work_s=1.0)
        await trio.sleep(MAX_DELAY_S)
        assert await site.find_status("a") is JobStatus.SUCCEEDED


async def test_executor_that_returns_while_its_record_is_written_takes_work(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The record in flight already lists it, so no further write would mark it as recorded."""
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        await site.wait_for_owner()
        await trio.sleep(1.0)
        commit = site.views["h0"].commit

        async def commit_slowly(self: object, transaction: Transaction) -> CommitOutcome:
            if any(put.key == USED_KEY for put in transaction.puts):
                await trio.sleep(1.0)
            return await commit(transaction)

        monkeypatch.setattr(type(site.views["h0"]), "commit", commit_slowly)
        site.add_executor("e2", "r0")
        await trio.sleep(0.4)
        site.store.remove(ENTRIES + "e0")
        await trio.sleep(0.3)
        site.say("e0")
        await _send_heartbeats(site, 2 * MAX_DELAY_S)
        assert _find_refusal(site) is None


async def test_executor_is_recorded_after_the_store_has_refused_for_a_while(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await site.wait_for_owner()
        await trio.sleep(1.0)
        site.views["h0"].lose_answers = 4
        site.add_executor("e1", "r1")
        await trio.sleep(1.0)
        assert _find_refusal(site, "e1") is WorkRefusal.NOT_RECORDED
        await trio.sleep(4.0)
        assert _find_refusal(site, "e1") is None


async def test_executor_is_listed_after_the_store_forgot_its_history(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await site.wait_for_owner()
        await trio.sleep(1.0)
        site.views["h0"].is_cut = True
        site.store.remove(ENTRIES + "e0")
        site.store.forget_history()
        await trio.sleep(0.5)
        site.views["h0"].is_cut = False
        await trio.sleep(0.5)
        site.say("e0")
        await trio.sleep(MAX_DELAY_S)
        assert _find_refusal(site) is None


async def test_executor_takes_work_after_its_evacuation_was_withdrawn(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=2, executors=2, zones=2) as site:
        await site.wait_for_owner()
        site.evacuate("z0")
        await trio.sleep(1.0)
        assert _find_refusal(site) is WorkRefusal.EVACUATED
        site.take_back("z0")
        await trio.sleep(1.0)
        assert _find_refusal(site) is None


async def test_executor_that_was_unresponsive_takes_work_when_it_answers(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await site.wait_for_owner()
        await _submit(site, "a", work_s=2.0)
        await trio.sleep(1.0)
        site.executors.by_id["e0"].is_cut = True
        await trio.sleep(12.0)
        assert _find_refusal(site) is WorkRefusal.SILENT
        site.executors.by_id["e0"].is_cut = False
        await trio.sleep(MAX_DELAY_S)
        assert _find_refusal(site) is None


async def test_executor_reported_as_ended_is_used_again_at_its_next_entry(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One start is answered so, while holds are answered as before and nothing runs there."""
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await site.wait_for_owner()
        await trio.sleep(1.0)
        start = site.executors.start

        async def deny_once(executor: Executor, order: StartOrder) -> OrderOutcome:
            monkeypatch.setattr(site.executors, "start", start)
            return InstanceEnded()

        monkeypatch.setattr(site.executors, "start", deny_once)
        await _submit(site, "a", work_s=1.0)
        await _send_heartbeats(site, 2 * MAX_DELAY_S)
        assert _find_refusal(site) is None
        assert await site.find_status("a") is JobStatus.SUCCEEDED


async def test_idle_executor_reported_as_ended_is_used_again(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await site.wait_for_owner()
        await trio.sleep(2.0)
        _state(site).mark_ended()
        await _send_heartbeats(site, MAX_DELAY_S)
        assert _find_refusal(site) is None


async def _measure_wait_beside_a_failing_job(count: int, executors: int) -> float:
    """Return the longest wait (s) of small jobs beside a job whose runs fail everywhere."""
    async with EmulatedSite.open(hosts=1, executors=executors) as site:
        await site.wait_for_owner()
        await _submit(site, "bad", count=count, work_s=0.4)
        need = site.executors.specs["bad"][0].need
        site.executors.specs["bad"] = {0: WorkSpec(need, 0.4, 1, EndKind.FAILED)}
        longest = 0.0
        for number in range(20):
            name, asked = f"good{number}", trio.current_time()
            await _submit(site, name, work_s=0.1)
            with trio.move_on_after(12.0):
                while not site.executors.starts(TaskKey(name, 0, 0)):
                    await trio.sleep(0.02)
            longest = max(longest, trio.current_time() - asked)
            await trio.sleep(0.3)
        return longest


@pytest.mark.parametrize("seed", [0, 1, 2, 3])
@pytest.mark.parametrize(("count", "executors"), [(20, 6), (60, 20)])
def test_a_failing_job_does_not_block_executors_for_others(
    seed: int, count: int, executors: int
) -> None:
    """The job is at fault, and occupies less than half of the pool at once."""
    assert run_seeded(seed, _measure_wait_beside_a_failing_job, count, executors) < MAX_DELAY_S


@pytest.mark.parametrize("executors", [1, 2, 6])
async def test_a_lasting_task_that_fails_often_is_restarted_soon(
    autojump_clock: Clock, executors: int
) -> None:
    """A failure of a long-running task does not mean that its executor is at fault."""
    async with EmulatedSite.open(hosts=1, executors=executors) as site:
        await site.wait_for_owner()
        await _submit(site, "a", work_s=0.4, lasting=True)
        need = site.executors.specs["a"][0].need
        site.executors.specs["a"] = {0: WorkSpec(need, 0.4, 1, EndKind.FAILED)}
        await trio.sleep(40.0)
        starts = [start.at for start in site.executors.starts(TaskKey("a", 0, 0))]
        gaps = [later - at for at, later in zip(starts, starts[1:], strict=False)]
        assert max(gaps) < MAX_DELAY_S
        assert check_promises(site.executors, {}) == []
