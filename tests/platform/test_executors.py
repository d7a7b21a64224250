from dataclasses import replace

import pytest
from heronthread_dispatch.executor_link import (
    Acknowledged,
    EndKind,
    HoldOrder,
    InstanceEnded,
    NoAnswer,
    Refusal,
    Refused,
    Report,
    StartOrder,
    StopOrder,
    Unhealthy,
)
from heronthread_dispatch.http_client import HttpClient
from heronthread_dispatch.model import Executor, Resources, TaskKey
from heronthread_platform.executors import PlatformExecutorLink

from .scripted_server import ReceivedRequest, run_scripted_server

TASK = TaskKey("5c0e7a21d94b36f8", 1, 17)


def _executor(address: str) -> Executor:
    return Executor("i-1", address, "pool", "zone", "r1", (), Resources(1, 1, 1))


async def test_task_name_contains_its_occurrence() -> None:
    name = "5c0e7a21d94b36f8.3.1.17"

    def respond(request: ReceivedRequest) -> tuple[int, object]:
        assert request.body["task"] == name
        return 200, {"clock-ms": 5, "running": [[name, 2, "", 41]]}

    async with run_scripted_server(respond) as server:
        with HttpClient() as client:
            link = PlatformExecutorLink(client)
            executor, task = _executor(server.address), TASK._replace(occurrence=3)
            assert await link.stop(executor, StopOrder(task, 2, 7)) == Acknowledged()
        with HttpClient() as client:
            server.respond = lambda request: (200, {"clock-ms": 5, "running": [[name, 2, "", 41]]})
            report = await PlatformExecutorLink(client).hold(executor, HoldOrder(7, 0, None, 0.0))
            assert isinstance(report, Report)
            assert report.running[0].task == task


async def test_start_request_follows_the_protocol() -> None:
    def respond(request: ReceivedRequest) -> tuple[int, object]:
        return 200, {"clock-ms": 5}

    async with run_scripted_server(respond) as server:
        with HttpClient() as client:
            link = PlatformExecutorLink(client)
            order = StartOrder(TASK, 2, "text", "00ff", 7, 486000)
            assert await link.start(_executor(server.address), order) == Acknowledged()
        request = server.requests[0]
        assert (request.method, request.target) == ("POST", "/heronthread/run-start")
        assert request.headers["expected-instance"] == "i-1"
        assert request.body == {
            "task": "5c0e7a21d94b36f8.0.1.17",
            "run": 2,
            "spec": "text",
            "deadline-ms": 486000,
            "fencing-token": 7,
            "checkpoint": "00ff",
        }


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        (409, {"clock-ms": 5, "reason": "fence"}, Refused(Refusal.FENCED)),
        (409, {"clock-ms": 5, "reason": "old"}, Refused(Refusal.OLD_RUN)),
        (409, {"clock-ms": 5, "reason": "late"}, Refused(Refusal.LATE)),
        (409, {"clock-ms": 5, "reason": "room"}, Refused(Refusal.NO_ROOM)),
        (409, {"clock-ms": 5, "reason": "ticket"}, Refused(Refusal.NOT_APPROVED)),
        (409, {"clock-ms": 5, "reason": "some new one"}, Refused(Refusal.OTHER)),
        (421, {}, InstanceEnded()),
        (429, {}, Unhealthy()),
        (503, {}, Unhealthy()),
    ],
)
async def test_error_statuses_are_mapped_to_outcomes(
    status: int, body: object, expected: object
) -> None:
    async with run_scripted_server(lambda request: (status, body)) as server:
        with HttpClient() as client:
            link = PlatformExecutorLink(client)
            assert await link.stop(_executor(server.address), StopOrder(TASK, 2, 7)) == expected


async def test_lost_response_is_unanswered() -> None:
    async with run_scripted_server(lambda request: None) as server:
        with HttpClient() as client:
            link = PlatformExecutorLink(client)
            outcome = await link.stop(_executor(server.address), StopOrder(TASK, 2, 7))
            assert isinstance(outcome, NoAnswer)
            assert not outcome.unsent


async def test_hold_parses_running_and_ended_runs() -> None:
    body = {
        "clock-ms": 482113,
        "running": [["5c0e7a21d94b36f8.0.1.17", 2, "00ff", 41, 3]],
        "ended-at": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]],
    }
    async with run_scripted_server(lambda request: (200, body)) as server:
        with HttpClient() as client:
            link = PlatformExecutorLink(client)
            report = await link.hold(_executor(server.address), HoldOrder(7, 57, None, 0.0))
        assert server.requests[0].body == {"fencing-token": 7, "last-seen": 57}
    assert isinstance(report, Report)
    assert report.running[0].task == TASK
    assert report.running[0].checkpoint == "00ff"
    assert (report.ended[0].number, report.ended[0].kind) == (58, EndKind.DONE)
    assert report.ended[0].task == TaskKey("5c0e7a21d94b36f8", 1, 9)


NAME = "5c0e7a21d94b36f8.0.1.17"


@pytest.mark.parametrize(
    "body",
    [
        {"clock-ms": -1},
        {"clock-ms": 2**64 - 1},
        {"clock-ms": None},
        {"running": [[NAME, 2, "", 10**300]]},
        {"running": [[NAME, 2, "", -1]]},
        {"running": [[NAME, 2**64 - 1, "", 1]]},
        {"running": [[NAME, -1, "", 1]]},
        {"running": [[NAME, 2, None, 1]]},
        {"running": [["5c0e7a21d94b36f8.0.1.-1", 2, "", 1]]},
        {"running": [["5c0e7a21d94b36f8.0.1." + "9" * 300, 2, "", 1]]},
        {"running": [["x" * 201 + ".0.1.17", 2, "", 1]]},
        {"running": [["5c0e7a21d94b36f8.0.1", 2, "", 1]]},
        {"running": [[NAME]]},
        {"running": 7},
        {"running": [[NAME, 2, "", 1]] * 10_001},
        {"ended-at": [[2**64 - 1, NAME, 1, "done", ""]]},
        {"ended-at": [[58, NAME, 1, "unheard of", ""]]},
        {"born": 2**64 - 1},
        [],
    ],
    ids=lambda body: str(body)[:50],
)
async def test_odd_report_is_no_answer(body: object) -> None:
    """Its values go into later orders, records and logs."""
    body = {"clock-ms": 5, **body} if isinstance(body, dict) else body
    async with run_scripted_server(lambda request: (200, body)) as server:
        with HttpClient() as client:
            link = PlatformExecutorLink(client)
            outcome = await link.hold(_executor(server.address), HoldOrder(7, 0, None, 0.0))
    assert isinstance(outcome, NoAnswer)


async def test_odd_progress_of_one_run_costs_no_other_run() -> None:
    rows = [[NAME, 2, "c" * 65_537, 100.5], ["5c0e7a21d94b36f8.0.1.18", 2, "c", 40]]
    body = {"clock-ms": 5, "running": rows}
    async with run_scripted_server(lambda request: (200, body)) as server:
        with HttpClient() as client:
            link = PlatformExecutorLink(client)
            report = await link.hold(_executor(server.address), HoldOrder(7, 0, None, 0.0))
    assert isinstance(report, Report)
    assert [(run.checkpoint, run.percent) for run in report.running] == [("", 100.0), ("c", 40.0)]


async def test_executor_with_an_odd_id_is_not_called() -> None:
    executor = replace(_executor("127.0.0.1:9"), id="i-caf\u00e9")
    with HttpClient() as client:
        link = PlatformExecutorLink(client)
        outcome = await link.hold(executor, HoldOrder(7, 0, None, 0.0))
        assert isinstance(outcome, NoAnswer) and outcome.unsent


async def test_report_has_the_executor_start_time() -> None:
    bodies: list[dict[str, object]] = [
        {"clock-ms": 5, "born": 1796236330914},
        {"clock-ms": 5},
        {"clock-ms": 5, "born": "x"},
        {"clock-ms": 5, "born": 3.5},
        {"clock-ms": 5, "born": True},
        {"clock-ms": 5, "born": None},
    ]
    found = []
    async with run_scripted_server(lambda request: (200, bodies[len(found)])) as server:
        with HttpClient() as client:
            for _ in bodies:
                order = HoldOrder(7, 0, None, 0.0)
                report = await PlatformExecutorLink(client).hold(_executor(server.address), order)
                found.append(report.born if isinstance(report, Report) else None)
    assert found == [1796236330914, 0, None, None, None, None]
