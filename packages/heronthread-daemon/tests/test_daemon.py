"""Tests of entry hosts in one trio run: requests, store outages, configuration updates."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

import trio
import trio.testing
from heronthread_daemon.settings import load_settings
from heronthread_scheduling import DesiredState, Refused

from benchmarks.cluster import EPOCH, Cluster
from benchmarks.schedule import make_state

MAX_RUN_S = 3.6
FAR_FUTURE_S = EPOCH + 1e6

Body = Callable[[Cluster], Awaitable[Any]]


def in_cluster(body: Body, hosts: int = 3, state: DesiredState | None = None) -> Any:
    """Run `body` on a cluster whose hosts have a configuration and an owner."""
    declared = state or make_state(FAR_FUTURE_S)
    results: list[Any] = []

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            names = [f"h{number}" for number in range(1, hosts + 1)]
            cluster = Cluster(declared, nursery, 1, names)
            for name in names:
                cluster.start(name)
            await trio.sleep(0.5)
            text = declared.model_dump_json(by_alias=True).encode()
            await cluster.hosts["h1"].host.apply(text, "first", "ana")
            while cluster.owner("cell") is None:
                await trio.sleep(0.1)
            await trio.sleep(3)
            results.append(await body(cluster))
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return results[0]


def make_body(number: int, **more: Any) -> dict[str, Any]:
    return {
        "customer": "pay",
        "request_id": f"r{number}",
        "class": "till",
        "shape": {"slots": 1, "adjacency": "worker"},
        "expected_s": 1,
        "p95_s": 2,
        **more,
    }


async def post(cluster: Cluster, host: str, body: Any, wait_s: float = 10) -> tuple[int, Any]:
    client = cluster.hosts[host].app.test_client()
    data = body if isinstance(body, bytes | str) else json.dumps(body)
    response = await client.post(f"/v1/jobs?wait_s={wait_s}", data=data)
    return response.status_code, await response.get_json(force=True)


async def get(cluster: Cluster, host: str, path: str) -> tuple[int, Any]:
    response = await cluster.hosts[host].app.test_client().get(path)
    return response.status_code, await response.get_json(force=True)


def test_same_request_at_any_host_runs_once():
    async def body(cluster: Cluster):
        first = await post(cluster, "h1", make_body(1, repeatable=False))
        second = await post(cluster, "h2", make_body(1, repeatable=False))
        return first, second

    first, second = in_cluster(body)
    assert first[0] == second[0] == 200
    assert first[1]["state"] == "done"
    assert second[1]["answer"] == first[1]["answer"] == "pay~r1[0]=;"
    assert second[1]["attempts"] == 1


def test_reused_request_id_is_a_conflict():
    async def body(cluster: Cluster):
        await post(cluster, "h1", make_body(1))
        return await post(cluster, "h1", make_body(1, payload="other"))

    status, problem = in_cluster(body)
    assert status == 409
    assert problem["code"] == "request-id-reused"


def test_invalid_requests_return_problem_details():
    async def body(cluster: Cluster):
        return [
            await post(cluster, "h1", make_body(1, colour="red")),
            await post(cluster, "h1", make_body(1, customer="nobody")),
            await post(cluster, "h1", "{"),
            await post(cluster, "h1", "x" * 1_200_000),
            await get(cluster, "h1", "/v1/jobs/pay~nothing"),
        ]

    found = in_cluster(body)
    assert [status for status, _ in found] == [422, 422, 422, 413, 404]
    assert found[0][1]["problems"][0]["path"] == "$.colour"
    assert found[1][1]["problems"][0]["path"] == "$.customer"
    assert all(problem["type"].startswith("urn:heronthread:") for _, problem in found)


def test_slow_request_is_refused():
    async def body(cluster: Cluster):
        client = cluster.hosts["h1"].app.test_client()
        async with client.request("/v1/jobs", method="POST") as connection:
            await connection.send(b'{"customer"')
            await trio.sleep(15)
        response = await connection.as_response()
        return response.status_code, await response.get_json(force=True)

    status, problem = in_cluster(body)
    assert status == 408
    assert problem["code"] == "too-slow"


def test_request_older_than_the_retention_is_refused():
    async def body(cluster: Cluster):
        return await post(cluster, "h1", make_body(1, issued_at=EPOCH - 8 * 86400))

    status, problem = in_cluster(body)
    assert status == 410
    assert problem["code"] == "request-too-old"


def test_draining_host_refuses_with_retry_after():
    async def body(cluster: Cluster):
        cluster.hosts["h2"].host.drain.in_progress += 1
        cluster.hosts["h2"].host.drain.start()
        client = cluster.hosts["h2"].app.test_client()
        response = await client.post("/v1/jobs", data=json.dumps(make_body(1)))
        ready = await client.get("/health/ready")
        return response.status_code, response.headers["Retry-After"], ready.status_code

    assert in_cluster(body) == (503, "1", 503)


def test_cancelled_waiting_job_is_recorded_as_not_run():
    async def body(cluster: Cluster):
        big = {"members": 3, "accelerators": 4, "adjacency": "rack"}
        for number in (1, 2):
            job = make_body(number, customer="big", shape=big, expected_s=50, p95_s=60)
            await post(cluster, "h1", job | {"class": "settle"}, wait_s=0)
        job = make_body(3, customer="big", shape=big) | {"class": "settle"}
        await post(cluster, "h1", job, wait_s=0)
        client = cluster.hosts["h2"].app.test_client()
        response = await client.delete("/v1/jobs/big~r3?wait_s=5")
        return await response.get_json()

    view = in_cluster(body)
    assert view["state"] == "not-run"
    assert view["attempts"] == 0
    assert view["durable"]


def test_jobs_run_during_a_ten_minute_store_outage():
    """In an outage urgent repeatable jobs start in time, gangs survive, the ledger catches up."""

    async def body(cluster: Cluster):
        big = {"members": 3, "accelerators": 4, "adjacency": "rack"}
        long = make_body(0, customer="big", shape=big, expected_s=900, p95_s=950)
        await post(cluster, "h1", long | {"class": "settle"}, wait_s=0)
        await trio.sleep(5)
        cluster.store.set_down(True)
        durations = []
        for number in range(1, 101):
            started = trio.current_time()
            host = f"h{number % 3 + 1}"
            status, view = await post(cluster, host, make_body(number, expected_s=0.1, p95_s=0.2))
            assert (status, view["state"]) == (200, "done")
            durations.append(trio.current_time() - started)
            await trio.sleep(5.5)
        owner = cluster.hosts[cluster.owner("cell")].host.owners["cell"]
        running = owner.jobs["big~r0"]
        in_outage = running.state.value, running.attempts
        cluster.store.set_down(False)
        await trio.sleep(10)
        recorded = {record.key for record in owner.parts.ledger.records}
        return sorted(durations)[98], in_outage, recorded, owner.epoch

    p99, in_outage, recorded, epoch = in_cluster(body)
    assert p99 <= MAX_RUN_S
    assert in_outage == ("running", 1)
    assert {f"pay~r{number}" for number in range(1, 101)} <= recorded
    assert epoch == 1


def test_non_repeatable_job_waits_for_the_store():
    async def body(cluster: Cluster):
        cluster.store.set_down(True)
        await trio.sleep(8)
        job = make_body(1, repeatable=False)
        during = await post(cluster, "h2", job, wait_s=5)
        cluster.store.set_down(False)
        after = await post(cluster, "h3", job, wait_s=20)
        return during, after

    during, after = in_cluster(body)
    assert during[0] == 202
    assert during[1]["state"] in ("waiting", "starting")
    assert after[1]["state"] == "done"


def test_jobs_of_a_removed_customer_survive_a_takeover():
    async def body(cluster: Cluster):
        job = make_body(1, customer="small", expected_s=40, p95_s=50) | {"class": "settle"}
        await post(cluster, "h1", job, wait_s=0)
        await trio.sleep(3)
        kept = tuple(c for c in cluster.state.customers if c.name != "small")
        events = tuple(
            e.model_copy(update={"jobs": tuple(j for j in e.jobs if j.customer != "small")})
            for e in cluster.state.events
        )
        changed = cluster.state.model_copy(update={"customers": kept, "events": events})
        text = changed.model_dump_json(by_alias=True).encode()
        await cluster.hosts["h2"].host.apply(text, "second", "ana")
        await trio.sleep(3)
        cluster.kill(cluster.owner("cell"))
        await trio.sleep(60)
        owner = cluster.hosts[cluster.owner("cell")].host.owners["cell"]
        return owner.jobs["small~r1"].state.value, owner.epoch

    assert in_cluster(body) == ("done", 2)


def test_leaving_worker_gets_no_jobs_after_a_new_generation():
    async def body(cluster: Cluster):
        cluster.host_list.set_leaving_workers(("k1w1",))
        await trio.sleep(3)
        policy = cluster.state.policy.model_copy(update={"starvation_s": 99.0})
        changed = cluster.state.model_copy(update={"policy": policy})
        text = changed.model_dump_json(by_alias=True).encode()
        await cluster.hosts["h1"].host.apply(text, "second", "ana")
        await trio.sleep(3)
        one = {"accelerators": 4, "adjacency": "worker"}
        views = []
        for number in range(6):
            job = make_body(number, customer="small", shape=one, expected_s=30, p95_s=31)
            views.append(await post(cluster, "h2", job | {"class": "settle"}, wait_s=3))
        return {name for _, view in views for name in view["places"]}

    used = in_cluster(body)
    assert used
    assert "k1w1" not in used


def measure_propagation(hosts: int) -> tuple[float, float, float]:
    async def body(cluster: Cluster):
        cluster.peer_bytes.clear()
        first_calls, started_at = cluster.store.reads + cluster.store.writes, trio.current_time()
        slowest = 0.0
        for number in range(5):
            changed = cluster.state.model_copy(update={"deployment": f"change {number}"})
            text = changed.model_dump_json(by_alias=True).encode()
            started = trio.current_time()
            host = cluster.hosts["h2"].host
            outcome = await host.apply(text, f"c{number}", "ana")
            while any(
                r.host.configuration.generation < outcome.generation for r in cluster.hosts.values()
            ):
                await trio.sleep(0.02)
            slowest = max(slowest, trio.current_time() - started)
            await trio.sleep(6)
        seconds = trio.current_time() - started_at
        bytes_per_s = max(cluster.peer_bytes.values()) / seconds
        store_calls_per_s = (cluster.store.reads + cluster.store.writes - first_calls) / seconds
        return slowest, bytes_per_s, store_calls_per_s

    return in_cluster(body, hosts=hosts)


def test_configuration_reaches_nine_hosts_within_three_seconds():
    slowest, bytes_per_s, store_calls_per_s = measure_propagation(9)
    assert slowest <= 3
    assert bytes_per_s <= 4000
    assert store_calls_per_s <= 50


def test_configuration_reaches_64_hosts_within_nine_seconds():
    slowest, bytes_per_s, store_calls_per_s = measure_propagation(64)
    assert slowest <= 9
    assert bytes_per_s <= 4000
    assert store_calls_per_s <= 100


def test_invalid_settings_are_refused():
    good = {
        "host": "a",
        "region": "r",
        "domain": "d",
        "http_address": "127.0.0.1:8080",
        "peer_address": "127.0.0.1:7080",
        "store_url": "http://127.0.0.1:9100/store",
        "platform_url": "http://127.0.0.1:9100/platform",
    }
    assert not isinstance(load_settings(json.dumps(good)), Refused)
    bad = load_settings(json.dumps(good | {"peer_address": "localhost:7080", "colour": 1}))
    assert {p.path for p in bad.problems} == {"$.peer_address", "$.colour"}
    bad = load_settings(json.dumps(good | {"times": {"worker_poll_s": 20}}))
    assert bad.problems[0].path == "$.times.worker_poll_s"
