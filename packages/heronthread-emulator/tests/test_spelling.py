"""The stand-ins' codec against the platform's adapter: what one writes, the other reads."""

import json

import pytest
from heronthread_dispatch.executor_link import (
    Acknowledged,
    EndedRun,
    EndKind,
    HoldOrder,
    InstanceEnded,
    Refusal,
    Refused,
    Report,
    RunningRun,
    StartOrder,
    StopOrder,
)
from heronthread_dispatch.http_client import HttpClient
from heronthread_dispatch.model import Executor, Resources, Schedule, TaskKey
from heronthread_emulator import spelling
from heronthread_emulator.executors import WorkSpec
from heronthread_emulator.http_server import Response, serve_http
from heronthread_emulator.soak_plan import make_version
from heronthread_platform.configuration import make_configuration_format
from heronthread_platform.entries import PREFIX, EntryParser
from heronthread_platform.executors import PlatformExecutorLink
from heronthread_platform.job_body import parse_job_body
from heronthread_platform.settings import ProcessSettings

TASK = TaskKey("00000000000000aa", 1, 17, 2)
ADDRESS = "127.19.0.1:9000"
EXECUTOR = Executor(
    "e1-1", ADDRESS, "pool", "z", "r1", ("kind", "r1"), Resources(1, 2, 3), born=7_000
)


async def _send(nursery, answer, order):
    seen = []

    async def handle(request):
        seen.append(request)
        return answer

    await nursery.start(serve_http, ADDRESS, handle)
    with HttpClient() as client:
        link = PlatformExecutorLink(client)
        give = {StartOrder: link.start, StopOrder: link.stop, HoldOrder: link.hold}
        outcome = await give[type(order)](EXECUTOR, order)
    return seen[0], outcome


async def test_start_is_read_as_it_was_given(nursery):
    order = StartOrder(TASK, 2001, "text", "00ff", 7, 486_000)
    request, outcome = await _send(nursery, Response(200, spelling.write_clock(5)), order)
    assert request.path == spelling.START_PATH
    assert request.headers[spelling.LIFE_HEADER] == "e1-1"
    assert spelling.read_start(request.read_json()) == order
    assert outcome == Acknowledged()


async def test_stop_is_read_as_it_was_given(nursery):
    order = StopOrder(TASK, 2001, 7)
    request, outcome = await _send(nursery, Response(421), order)
    assert request.path == spelling.STOP_PATH
    assert spelling.read_stop(request.read_json()) == order
    assert outcome == InstanceEnded()


async def test_report_is_read_as_it_was_written(nursery):
    running = (RunningRun(TASK, 2, "aa", 41.0),)
    ended = (EndedRun(3, TASK, 1, EndKind.LAPSED, ""),)
    order = HoldOrder(7, 57, 486_000, 1.0)
    answer = Response(200, spelling.write_report(99, running, ended, born=7_000))
    request, outcome = await _send(nursery, answer, order)
    assert request.path == spelling.HOLD_PATH
    assert spelling.read_hold(request.read_json()) == order
    assert outcome == Report(99, running, ended, born=7_000)


@pytest.mark.parametrize("reason", list(Refusal))
async def test_refusals_are_read_as_they_were_written(nursery, reason):
    answer = Response(409, spelling.write_refusal(reason, 5))
    _, outcome = await _send(nursery, answer, StopOrder(TASK, 1, 7))
    assert outcome == Refused(reason)


def test_entry_is_read_as_it_was_written():
    assert EntryParser().parse("e1-1", spelling.write_entry(EXECUTOR, 3)) == EXECUTOR
    assert PREFIX == spelling.EXECUTOR_PREFIX


def test_configuration_is_read_as_it_was_written():
    state = make_version(4)
    format_ = make_configuration_format()
    assert format_.key == spelling.CONFIGURATION_KEY
    assert format_.parse(spelling.write_configuration(state)) == state


def test_job_is_read_as_it_was_written():
    work = WorkSpec(Resources(1000, 500, 2), 1.5, 3)
    schedule = Schedule(2, 1_700_000_000.25, 1.5)
    body = spelling.write_job(work, 3, gang=True, schedule=schedule)
    job = parse_job_body(json.dumps(body).encode())
    (step,) = job.steps
    assert (step.count, step.need, step.estimate_s, step.gang) == (3, work.need, 1.5, True)
    assert job.schedule == schedule
    assert spelling.read_work(job.payload) == work


def test_settings_are_read_as_they_were_filled():
    fields = spelling.make_settings(
        name="h1",
        ip="127.0.0.1",
        front="127.0.0.1:1",
        readiness="127.0.0.1:2",
        store="127.0.0.1:3",
        peer_port=7000,
        seeds=["127.0.0.1:4"],
        cores=0.5,
        grace_s=4.0,
        stop_s=0.9,
        drain_s=2.0,
        hold_s=10.0,
        apply_s=3.0,
        recovery_s=15.0,
    )
    template = (
        '{"host": {{node|json}}, "ip": {{ip|json}},'
        '{{#advice}}"x": {{advice|json}},{{/advice}}'
        '"callers_address": {{listen.front|json}},'
        '"peer_ports": {{internal-ports|json}},'
        '"readiness_address": {{listen.readiness|json}},'
        '"cores": {{limits.cpu-share|json}},'
        '"store_address": {{platform.address|json}},'
        '"stop_ms": {{bounds.stop-ms|json}},'
        '"configuration_apply_ms": {{bounds.config-apply-ms|json}}}'
    )
    settings = ProcessSettings.model_validate_json(spelling.fill_template(template, fields))
    assert (settings.host, settings.cores, settings.stop_ms) == ("h1", 0.5, 900)
    assert settings.peer_address == "127.0.0.1:7000"
    assert settings.to_host_settings().timing.configuration_apply_s == 3.0
