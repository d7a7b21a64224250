"""A whole deployment in one process: stand-ins, entry hosts and one event.

Every host has its own HTTP and thrift sockets on loopback. Only time is shortened: the
lengths and deadlines of the file are divided by `speed`.
"""

from __future__ import annotations

import json
import socket
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from datetime import UTC, datetime
from functools import partial
from pathlib import Path
from typing import Any
from zoneinfo import ZoneInfo

import eliot
import httpx
import trio
from heronthread_coordination import Member
from heronthread_coordination.memory import MemoryStore
from heronthread_daemon import Host, Settings, run_server
from heronthread_daemon.host_list import StandinHostList
from heronthread_daemon.server import make_config
from heronthread_daemon.settings import LimitsModel, TimesModel
from heronthread_daemon.standin import make_app, make_standin_workers
from heronthread_scheduling import DesiredState, Pool, build_cells
from hypercorn.trio import serve

from .fragmentation import mean_fragmentation, sample_fragmentation
from .history import Line, build_history

EVENT_DELAY_S = 4.0
POLL_S = 0.5
LONGEST_RUN_S = 150.0
REQUEST_TIMEOUT_S = 10.0


@dataclass(slots=True)
class DemoGroup:
    """What became of the jobs of one customer and class; times in seconds."""

    customer: str
    job_class: str
    jobs: int = 0
    done: int = 0
    not_run: int = 0
    p50_s: float = 0.0
    p95_s: float = 0.0


@dataclass(slots=True)
class DemoResult:
    """The outcome of a demo run."""

    deployment: str
    event: str
    hosts: int
    jobs: int = 0
    done: int = 0
    not_run: int = 0
    lost: int = 0
    doubled: int = 0
    partial_gangs: int = 0
    fragmentation: float = 0.0
    elapsed_s: float = 0.0
    groups: list[DemoGroup] = field(default_factory=list)

    def to_json(self) -> str:
        """Return one JSON object."""
        return json.dumps(asdict(self))


def shorten(state: DesiredState, speed: float, start: float) -> DesiredState:
    """Return the file with its first event at `start` and all lengths divided by `speed`."""
    content = state.model_dump(mode="json", by_alias=True)
    event = content["events"][0]
    zone = ZoneInfo(event["time_zone"])
    local = datetime.fromtimestamp(start, UTC).astimezone(zone).replace(tzinfo=None)
    event["start"] = local.isoformat()
    content["events"] = [event]
    for job in event["jobs"]:
        for name in ("expected_s", "p95_s", "deadline_s"):
            if job.get(name) is not None:
                job[name] /= speed
    content["policy"]["starvation_s"] /= speed
    return DesiredState.model_validate(content)


async def run_demo(
    state: DesiredState,
    *,
    hosts: int,
    speed: float,
    log: Path | None = None,
    progress: Callable[[str], None] = lambda text: None,
) -> DemoResult:
    """Run one event of `state` on `hosts` entry hosts and return what became of it."""
    lines: list[Line] = []
    eliot.add_destinations(lines.append)
    lines.clear()  # eliot hands the first destination what was logged before it came
    log_file = log.open("w", encoding="utf-8") if log else None
    destination = eliot.FileDestination(file=log_file) if log_file else None
    if destination is not None:
        eliot.add_destinations(destination)
    started = time.monotonic()
    try:
        shortened, jobs = await _run_event(state, hosts, speed, progress)
    finally:
        eliot.remove_destination(lines.append)
        if destination is not None and log_file is not None:
            eliot.remove_destination(destination)
            log_file.close()
    result = DemoResult(state.deployment, state.events[0].name, hosts)
    result.elapsed_s = time.monotonic() - started
    _fill(result, shortened, jobs, lines)
    return result


async def _run_event(
    state: DesiredState, hosts: int, speed: float, progress: Callable[[str], None]
) -> tuple[DesiredState, list[dict[str, Any]]]:
    async with trio.open_nursery() as nursery:
        url = await _serve_standins(nursery, state, hosts)
        running = [
            await nursery.start(run_server, settings) for settings in _make_settings(url, hosts)
        ]
        addresses = [host.settings.http_address for host in running]
        async with httpx.AsyncClient(timeout=REQUEST_TIMEOUT_S) as client:
            shortened = shorten(state, speed, round(time.time() + EVENT_DELAY_S))
            await _apply(client, addresses[0], shortened)
            progress(f"applied through {running[0].name}; {hosts} hosts follow")
            await _wait_in_force(running)
            expected = sum(job.count for job in shortened.events[0].jobs)
            jobs = await _wait_done(client, addresses, expected, progress)
        nursery.cancel_scope.cancel()
    return shortened, jobs


async def _serve_standins(nursery: trio.Nursery, state: DesiredState, hosts: int) -> str:
    host_list = StandinHostList()
    app = make_app(MemoryStore(), make_standin_workers(state), host_list)
    address = _free_address()
    host_list.set_hosts(
        tuple(Member(f"host-{i + 1}", a) for i, a in enumerate(_peer_addresses(hosts)))
    )
    nursery.start_soon(partial(serve, app, make_config(address)))
    return f"http://{address}"


_reserved: dict[int, list[str]] = {}


def _peer_addresses(hosts: int) -> list[str]:
    """Return one peer address for each host, the same ones each time they are asked for."""
    if hosts not in _reserved:
        _reserved[hosts] = [_free_address() for _ in range(hosts)]
    return _reserved[hosts]


def _free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def _make_settings(url: str, hosts: int) -> list[Settings]:
    return [
        Settings(
            host=f"host-{index + 1}",
            region="local",
            domain=f"local-{'abc'[index % 3]}",
            http_address=_free_address(),
            peer_address=address,
            store_url=f"{url}/store",
            platform_url=f"{url}/platform",
            limits=LimitsModel(requests_total=2048),
            times=TimesModel(commit_interval_s=0.5),
        )
        for index, address in enumerate(_peer_addresses(hosts))
    ]


async def _apply(client: httpx.AsyncClient, address: str, state: DesiredState) -> None:
    body = state.model_dump_json(by_alias=True)
    while True:
        try:
            response = await client.put(
                f"http://{address}/v1/configuration", content=body, params={"operator": "demo"}
            )
        except httpx.TransportError:
            await trio.sleep(POLL_S / 5)
            continue
        response.raise_for_status()
        return


async def _wait_in_force(hosts: list[Host]) -> None:
    while not all(host.is_ready for host in hosts):
        await trio.sleep(POLL_S / 5)


async def _wait_done(
    client: httpx.AsyncClient, addresses: list[str], expected: int, progress: Callable[[str], None]
) -> list[dict[str, Any]]:
    """Ask one host after another until every job has its final outcome."""
    jobs: list[dict[str, Any]] = []
    deadline = trio.current_time() + LONGEST_RUN_S
    asked = 0
    while trio.current_time() < deadline:
        await trio.sleep(POLL_S)
        asked += 1
        response = await client.get(f"http://{addresses[asked % len(addresses)]}/v1/jobs")
        if response.status_code != httpx.codes.OK:
            continue
        jobs = response.json()
        ended = sum(job["retry_after_s"] == 0 for job in jobs)
        if asked % 4 == 0:
            progress(f"{ended} of {expected} jobs have ended")
        if len(jobs) == expected and ended == expected:
            break
    return jobs


def _fill(
    result: DemoResult, state: DesiredState, jobs: list[dict[str, Any]], lines: list[Line]
) -> None:
    history = build_history(lines)
    result.jobs = sum(job.count for job in state.events[0].jobs)
    result.done = sum(job["state"] == "done" for job in jobs)
    result.not_run = sum(job["state"] == "not-run" for job in jobs)
    ended = sum(job["state"] in ("done", "failed", "not-run", "in-doubt") for job in jobs)
    result.lost = result.jobs - ended
    result.doubled = history.count_doubled()
    result.partial_gangs = history.count_partial()
    result.groups = _group(jobs, state.events[0].start_time(), lines)
    (spec,) = build_cells(state).values()
    shapes = [g.shape for g in spec.guarantees if g.shape.pool is Pool.ACCELERATORS]
    reference = max(shapes, key=lambda shape: shape.total)
    samples = sample_fragmentation(spec.topology, history.attempts.values(), reference)
    total = sum(worker.accelerators for worker in spec.topology.workers)
    result.fragmentation = round(mean_fragmentation(samples, total), 4)


def _group(jobs: list[dict[str, Any]], start: float, lines: list[Line]) -> list[DemoGroup]:
    done_at = {
        line["job_id"]: line["at"]
        for line in lines
        if line["message_type"] == "job.state" and line["state"] == "done"
    }
    groups: dict[tuple[str, str], DemoGroup] = {}
    times: dict[tuple[str, str], list[float]] = defaultdict(list)
    for job in jobs:
        key = (job["customer"], job["job_class"])
        group = groups.setdefault(key, DemoGroup(*key))
        group.jobs += 1
        group.done += job["state"] == "done"
        group.not_run += job["state"] == "not-run"
        if job["job_id"] in done_at:
            times[key].append(done_at[job["job_id"]] - start)
    for key, group in groups.items():
        ordered = sorted(times[key]) or [0.0]
        group.p50_s = round(ordered[len(ordered) // 2], 2)
        group.p95_s = round(ordered[int(len(ordered) * 0.95) - (len(ordered) > 1)], 2)
    return [groups[key] for key in sorted(groups)]
