"""The HTTP API for callers: job submission, and the status and reason of invalid requests."""

import json
import math
from typing import Any

import pytest
import trio
from heronthread_dispatch.clock import boot_time
from heronthread_dispatch.intake import DEFAULT_RETRY_AFTER_S
from heronthread_dispatch.load_digest import LoadDigest, PoolLoad, PriorityLoad
from heronthread_dispatch.model import DesiredState, Queue, Tenant
from heronthread_emulator import EmulatedSite, captured_events
from heronthread_platform.callers import make_app

from .asgi_client import call_app

PATH = "/q/0123456789abcdef"
HEADERS = {"Host": "host", "Authorization": "Bearer key-1"}
JOB = {"spec": "text", "steps": [{"count": 1, "cpu": 100, "mem-mb": 10, "estimated-ms": 500}]}


def _state() -> DesiredState:
    queue = Queue("q", "host", "/q/", "pool", 1, 4, 3.0, 1.0)
    tenants = [Tenant("first", ("key-1",)), Tenant("second", ("key-2",))]
    return DesiredState.build(1, [queue], tenants, 2_000)


class _Client:
    def __init__(self, site: EmulatedSite) -> None:
        host = site.hosts["h0"]
        host.configuration.state = _state()
        self.app = make_app(host)

    async def send(self, method: str, path: str = PATH, **more: Any) -> tuple[int, Any]:
        headers = more.pop("headers", HEADERS)
        response = await call_app(self.app, method, path, headers, **more)
        return response.status, json.loads(response.body)


async def _open_client(site: EmulatedSite) -> _Client:
    await site.wait_for_owner()
    await trio.sleep(1.0)
    return _Client(site)


async def test_job_is_submitted_read_and_cancelled(autojump_clock: trio.testing.MockClock) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        client = await _open_client(site)
        assert await client.send("GET") == (410, {"error": "there is no such job"})
        assert (await client.send("POST", data=json.dumps(JOB)))[0] == 200
        assert (await client.send("POST", data=json.dumps(JOB)))[0] == 200
        assert (await client.send("GET"))[0] == 200
        assert (await client.send("GET", "/q/"))[0] == 200
        assert (await client.send("DELETE"))[0] == 200
        await trio.sleep(1.0)
        assert await client.send("GET") == (200, {"state": "cancelled"})


@pytest.mark.parametrize(
    ("change", "status", "reason"),
    [
        ({"headers": {"Host": "host"}}, 401, "key"),
        ({"headers": {**HEADERS, "Authorization": "Bearer gone"}}, 401, "key"),
        ({"headers": {**HEADERS, "Host": "other"}}, 404, "queue"),
        ({"path": "/q/not-an-id"}, 404, "16 hexadecimal"),
        ({"data": "{"}, 400, "not JSON"),
        ({"data": "[]"}, 400, "valid"),
        ({"data": "{}"}, 400, "steps"),
        ({"data": json.dumps({"steps": []})}, 400, "steps"),
        ({"data": json.dumps({"steps": [{"count": 0}]})}, 400, "count"),
        ({"data": json.dumps({"steps": [{"count": -1}]})}, 400, "count"),
        ({"data": json.dumps({"steps": [{"gpus": "x"}]})}, 400, "gpus"),
        ({"data": json.dumps({"steps": [{"after": [0]}]})}, 400, "earlier"),
        ({"data": json.dumps({"steps": [{}, {"after": [5]}]})}, 400, "earlier"),
        ({"data": json.dumps({"steps": [{}], "repeat-count": -1})}, 400, "repeat-count"),
        ({"data": json.dumps({"steps": [{"count": 9}], "repeat-count": 9_000})}, 400, "50000"),
        ({"data": json.dumps({"spec": "x" * 4_001, "steps": [{}]})}, 413, "bytes"),
        ({"data": "x" * 3_000}, 413, "bytes"),
        ({"method": "PUT"}, 405, "PUT"),
    ],
)
async def test_invalid_requests_return_status_and_reason(
    change: dict[str, Any], status: int, reason: str, autojump_clock: trio.testing.MockClock
) -> None:
    async with EmulatedSite.open(hosts=1) as site:
        client = await _open_client(site)
        request = {"method": "POST", "path": PATH, "data": json.dumps(JOB), **change}
        actual_status, body = await client.send(
            request.pop("method"), request.pop("path"), **request
        )
        assert actual_status == status
        assert reason in body["error"]
        assert site.executors.starts() == []


async def test_scheduled_job_does_not_start_early(autojump_clock: trio.testing.MockClock) -> None:
    async with EmulatedSite.open(hosts=1) as site:
        client = await _open_client(site)
        start_at_ms = int((trio.current_time() + 3.0) * 1000)
        job = {**JOB, "repeat-count": 2, "start-at-ms": start_at_ms, "interval-ms": 1500}
        assert (await client.send("POST", data=json.dumps(job)))[0] == 200
        await trio.sleep(2.9)
        assert site.executors.starts() == []
        await trio.sleep(2.0)
        assert [start.task.occurrence for start in site.executors.starts()] == [0, 1]


async def test_job_of_another_tenant_is_not_visible(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with EmulatedSite.open(hosts=1) as site:
        client = await _open_client(site)
        assert (await client.send("POST", data=json.dumps(JOB)))[0] == 200
        other = {**HEADERS, "Authorization": "Bearer key-2"}
        assert (await client.send("GET", headers=other))[0] == 410
        assert (await client.send("DELETE", headers=other))[0] == 410


async def test_refusals_are_logged_with_the_queue_named_and_the_age_of_the_configuration(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """A configuration that came late is traced by these lines."""
    async with EmulatedSite.open(hosts=1) as site:
        client = await _open_client(site)
        with captured_events() as messages:
            for path in ("/gone/", "/other/", "/gone/"):
                await client.send("GET", path, headers={**HEADERS, "Host": "site"})
    lines = [m for m in messages if m["message_type"] == "call.refused"]
    assert [(line["called"], line["path"]) for line in lines] == [
        ("site", "/gone/"),
        ("site", "/other/"),
    ]
    assert all(line["version"] == 1 and line["source"] == "store" for line in lines)
    assert all(0.0 <= line["unconfirmed_s"] <= 1.1 for line in lines)
    assert all(line["in_force_s"] >= 1.0 for line in lines)


async def test_503_has_retry_after_header(autojump_clock: trio.testing.MockClock) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        client = await _open_client(site)
        site.store.is_down = True
        await trio.sleep(2.0)
        response = await call_app(client.app, "POST", PATH, HEADERS, data=json.dumps(JOB))
        assert response.status == 503
        assert int(response.headers["retry-after"]) == math.ceil(DEFAULT_RETRY_AFTER_S)


async def test_rejection_for_load_tells_when_to_come_back(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a `Retry-After` of 1 s for a backlog that takes longer."""
    async with EmulatedSite.open(hosts=1) as site:
        client = await _open_client(site)
        host = site.hosts["h0"]
        assert host.owner is not None
        row = PriorityLoad(1, 900, 90.0, 90.0)
        digest = LoadDigest(host.owner.cell.term.number, 10**9, (PoolLoad("pool", 10.0, (row,)),))
        host.known_load.publish(digest, boot_time())
        step = {**JOB["steps"][0], "gpus": 1}
        job = json.dumps({**JOB, "steps": [step]})
        response = await call_app(client.app, "POST", PATH, HEADERS, data=job)
        assert response.status == 503
        assert 20 <= int(response.headers["retry-after"]) <= 30
        assert "can't begin while it is useful" in json.loads(response.body)["error"]
        await trio.sleep(4.0)
        assert (await client.send("GET"))[0] == 410
        assert (await client.send("POST", data=job))[0] == 200
