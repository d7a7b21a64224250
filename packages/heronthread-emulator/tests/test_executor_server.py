"""Executors' process, spoken to by the product's adapter."""

import io
import json

import pytest
import trio
from heronthread_dispatch.executor_link import (
    Acknowledged,
    HoldOrder,
    InstanceEnded,
    NoAnswer,
    Refusal,
    Refused,
    StartOrder,
    StopOrder,
    Unhealthy,
)
from heronthread_dispatch.http_client import HttpClient
from heronthread_dispatch.model import Resources, TaskKey
from heronthread_emulator import spelling
from heronthread_emulator.addresses import EXECUTORS_FACE, claim_network
from heronthread_emulator.executor_server import ExecutorServer
from heronthread_emulator.executors import WorkSpec
from heronthread_emulator.http_server import serve_http
from heronthread_emulator.sight import Sight
from heronthread_emulator.standin import StandinSettings
from heronthread_emulator.store_server import StoreServer
from heronthread_platform.entries import EntryParser
from heronthread_platform.executors import PlatformExecutorLink

TASK = TaskKey("00000000000000aa", 0, 0)
LONG = spelling.write_job(WorkSpec(Resources(1, 1, 0), 60.0), 1, gang=False, schedule=None)["spec"]
SHORT = spelling.write_job(WorkSpec(Resources(1, 1, 0), 0.1), 1, gang=False, schedule=None)["spec"]


class Site:
    def __init__(self, server, store, link, output):
        self.server, self.store, self.link, self.output = server, store, link, output

    @property
    def instance(self):
        return self.server.places[0].instance

    def start(self, run=1, text=LONG, token=1):
        until = self.instance.clock_ms() + 6000
        return self.link.start(
            self.instance.executor, StartOrder(TASK, run, text, "", token, until)
        )

    def lines(self, kind):
        found = [json.loads(line) for line in self.output.getvalue().splitlines()]
        return [line for line in found if line["message_type"] == kind]


@pytest.fixture
async def site(nursery):
    with claim_network() as network, HttpClient() as client:
        settings = StandinSettings(network, 1, 1, 1, network.control(0))
        store = StoreServer(settings, Sight("store", io.StringIO()), nursery)

        async def answer(request):
            return await store.answer(EXECUTORS_FACE, request)

        await nursery.start(serve_http, network.store_link(EXECUTORS_FACE), answer)
        output = io.StringIO()
        server = ExecutorServer(settings, Sight("executors", output), nursery)
        nursery.start_soon(server.executors.run)
        await server.add({"executor": 0})
        yield Site(server, store.store, PlatformExecutorLink(client), output)


async def _until(check):
    with trio.fail_after(15):
        while not check():
            await trio.sleep(0.02)


async def test_task_runs_to_its_end(site):
    assert await site.start(text=SHORT) == Acknowledged()
    await _until(lambda: site.lines("executor.done"))
    (line,) = site.lines("executor.start")
    assert (line["job"], line["run"], line["late"]) == (TASK.job, 1, False)
    report = await site.link.hold(site.instance.executor, HoldOrder(1, 0, None, 0.0))
    assert [end.run for end in report.ended] == [1]


async def test_order_for_another_life_does_nothing(site):
    executor = site.instance.executor
    await site.server.crash({"executor": 0, "after_s": 0.0})
    order = StopOrder(TASK, 1, 1)
    assert await site.link.stop(executor, order) == InstanceEnded()
    assert site.instance.executor.id != executor.id


async def test_lower_token_is_refused(site):
    await site.start(token=5)
    assert await site.start(run=2, token=4) == Refused(Refusal.FENCED)


async def test_run_that_was_stopped_is_refused(site):
    await site.link.stop(site.instance.executor, StopOrder(TASK, 3, 1))
    assert await site.start(run=3) == Refused(Refusal.OLD_RUN)
    assert await site.start(run=4) == Acknowledged()


async def test_lower_run_that_comes_late_runs_beside_a_higher_one(site):
    await site.start(run=2)
    await site.start(run=1)
    assert {run.run for run in site.instance.running.values()} == {1, 2}


async def test_unanswered_order_is_carried_out_late(site):
    faults = {"unanswered_share": 1.0, "late_from_s": 0.9, "late_to_s": 1.0}
    await site.server.set_faults({"executors": [0], "set": faults})
    assert isinstance(await site.start(), NoAnswer)
    assert site.lines("executor.start") == []
    await _until(lambda: site.lines("executor.start"))
    assert site.lines("executor.start")[0]["late"]


async def test_refused_and_reset_orders_do_nothing(site):
    await site.server.set_faults({"executors": [0], "set": {"refused_share": 1.0}})
    assert await site.start() == Unhealthy()
    faults = {"refused_share": 0.0, "reset_share": 1.0}
    await site.server.set_faults({"executors": [0], "set": faults})
    assert isinstance(await site.start(), NoAnswer)
    await site.server.mend({})
    assert site.lines("executor.start") == []


async def test_silent_executor_runs_on(site):
    await site.start()
    await site.server.set_faults({"executors": [0], "set": {"silent": True}})
    order = HoldOrder(1, 0, None, 0.0)
    assert isinstance(await site.link.hold(site.instance.executor, order), NoAnswer)
    assert site.instance.running


async def test_entry_says_what_becomes_of_its_executor(site):
    key = spelling.EXECUTOR_PREFIX + site.instance.executor.id
    await _until(lambda: key in site.store.items)
    found = EntryParser().parse(site.instance.executor.id, site.store.items[key].value)
    assert found == site.instance.executor
    values = {"executor": 0, "left_s": 0.3, "longer_s": 0.1}
    await site.server.drain(values)
    assert key not in site.store.items
    assert site.lines("executor.draining")


async def test_life_that_is_gone_does_not_say_that_it_leaves(site):
    """Its next instance under the id would be taken for one that leaves and is given work."""
    site.server.nursery.start_soon(site.server.restart, {"executors": [0], "after_s": 0.3})
    await _until(lambda: site.instance.is_gone)
    await site.server.drain({"executor": 0, "left_s": 0.0, "longer_s": 0.0})
    await trio.sleep(0.5)
    assert site.lines("executor.draining") == []
    assert len(site.lines("executor.begun")) == 1


async def test_executor_that_crashes_as_it_leaves_has_no_next_life(site):
    values = {"executor": 0, "left_s": 0.4, "longer_s": 0.2}
    site.server.nursery.start_soon(site.server.drain, values)
    await _until(lambda: site.lines("executor.draining"))
    site.server.keeps_ids = True
    await site.server.crash({"executor": 0, "after_s": 0.1})
    await trio.sleep(0.2)
    assert len(site.lines("executor.begun")) == 1


async def test_executor_whose_entry_is_gone_serves_on(site):
    key = spelling.EXECUTOR_PREFIX + site.instance.executor.id
    await _until(lambda: key in site.store.items)
    await site.server.places[0].remove_entry()
    assert key not in site.store.items
    assert await site.start() == Acknowledged()


async def test_task_that_crashes_its_executor(site, monkeypatch):
    monkeypatch.setattr("heronthread_emulator.executor_server.BACK_AFTER_S", 0.3)
    await site.server.set_crashing({"jobs": [TASK.job], "after_s": 0.0})
    first = site.instance
    assert await site.start() == Acknowledged()
    while not first.is_gone:
        await trio.sleep(0.01)
    assert isinstance(await site.link.hold(first.executor, HoldOrder(1, 0, None, 0.0)), NoAnswer)
    while site.instance is first:
        await trio.sleep(0.01)
    assert await site.link.hold(first.executor, HoldOrder(1, 0, None, 0.0)) == InstanceEnded()


async def test_lost_executor_takes_no_call_until_another_life_is_there(site):
    await site.start()
    lost = site.instance
    await site.server.lose({"executors": [0], "after_s": 1.0})
    await _until(lambda: site.lines("executor.gone"))
    assert isinstance(await site.start(run=2), NoAnswer | Unhealthy)
    assert site.instance is lost
    await _until(lambda: site.instance is not lost)
    assert await site.start(run=2) == Acknowledged()


async def test_room_that_is_not_guarded_is_written_down_when_it_is_overrun(site):
    await site.server.resize({"executor": 0, "share": 0.0})
    assert await site.start() == Acknowledged()
    assert len(site.lines("executor.overfull")) == 1


async def test_lines_tell_of_lives_and_of_starts_that_a_silent_address_got(site):
    """From these the check of standing jobs knows what could take work, and what is in doubt."""
    instance = site.instance.executor.instance
    (begun,) = site.lines("executor.begun")
    assert (begun["executor"], begun["born"], begun["place"]) == (instance.id, instance.born, 0)
    await site.server.set_faults({"executors": [0], "set": {"silent": True}})
    with trio.move_on_after(0.3):
        await site.start()
    (unanswered,) = site.lines("executor.unanswered")
    assert (unanswered["executor"], unanswered["job"], unanswered["run"]) == (
        instance.id,
        TASK.job,
        1,
    )
    await site.server.mend({})
    assert [line["is_silent"] for line in site.lines("executor.silence")] == [True, False]
    await site.server.crash({"executor": 0, "after_s": 0.0})
    (over,) = site.lines("executor.over")
    assert (over["executor"], over["born"], over["is_down"]) == (instance.id, instance.born, False)
    assert [line["place"] for line in site.lines("executor.begun")] == [0, 0]
