"""Measures what each part costs per worker, task, job, peer and change, and fits slopes.

`make bench-capacity` prints a table and writes docs/capacity/slopes.json with `--write`.
Processor time is that of this process alone; stand-ins for workers run in another one.
"""

from __future__ import annotations

import gc
import json
import os
import random
import resource
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

import fire
import httpx
import trio
import trio.testing
from heronthread_cli.table import format_table
from heronthread_coordination import MemoryStore
from heronthread_daemon import Host, HostParts, Settings
from heronthread_daemon.host_list import StandinHostList
from heronthread_daemon.settings import LimitsModel, TimesModel
from heronthread_daemon.worker_http import HttpWorkers
from heronthread_dispatch.peer import PeerUnreachable, encode
from heronthread_dispatch.wire.ttypes import Frame
from heronthread_scheduling import DesiredState, Job

from .cluster import Cluster
from .schedule import make_state
from .workload import _event, _gang, _job, _slot, design_cell, draw_arrivals, get_cell

SLOPES_FILE = Path("docs/capacity/slopes.json")
SETTLE_S = 4.0
STEADY_S = 10.0
POLL_S = 10.0
DESIGN_POLL_S = 60.0
LAST_RACK_ACCELERATORS = 3
"""So that 165 workers have the design's 243 accelerators."""
HTTP_OVERHEAD_BYTES = 370
"""Headers of one call to a worker: 230 bytes sent and 129 received for a 16-letter name."""


@dataclass(frozen=True, slots=True)
class Slope:
    """A measured line: value = intercept + slope x size; `residual` is the largest miss.

    The residual is relative to the largest value. `points` are (size, value) pairs.
    """

    name: str
    unit: str
    slope: float
    intercept: float
    residual: float
    points: list[tuple[float, float]]


def fit(name: str, unit: str, points: list[tuple[float, float]]) -> Slope:
    """Fit a line through the points by least squares."""
    xs, ys = zip(*points, strict=True)
    line = statistics.linear_regression(xs, ys)
    misses = [abs(y - line.intercept - line.slope * x) for x, y in points]
    residual = max(misses) / max(1e-12, *(abs(y) for y in ys))
    return Slope(name, unit, line.slope, line.intercept, residual, points)


# The decisions


def measure_decisions() -> list[Slope]:
    """Time per job decided in a burst, memory per waiting job and per running task."""
    spec = get_cell(design_cell())
    jobs = [arrival.job for arrival in draw_arrivals(design_cell(), 1)]
    decided, memory, running = [], [], []
    for count in (1000, 2000, 4000, 8000):
        chosen = random.Random(count).sample(jobs, count)
        seconds = min(_time_burst(spec, chosen) for _ in range(3))
        decided.append((float(count), seconds))
        memory.append((float(count), _memory_of(lambda c=chosen: _waiting(spec, c))))  # type: ignore[misc]
    slots = [job for job in jobs if job.shape.total == 1 and job.shape.pool == "slots"]
    for count in (400, 800, 1600, 2400):
        chosen = slots[:count]
        running.append((float(count), _memory_of(lambda c=chosen: _running(spec, c))))  # type: ignore[misc]
    return [
        fit("decide_s_per_job", "s per job of a burst", decided),
        fit("waiting_job_bytes", "bytes per waiting job", memory),
        fit("running_task_bytes", "bytes per running task (scheduler)", running),
    ]


def _time_burst(spec: Any, jobs: list[Job]) -> float:
    scheduler = spec.make_scheduler()
    gc.collect()
    started = time.process_time()
    for job in jobs:
        scheduler.submit(job, 0.0)
    scheduler.decide(0.0)
    return time.process_time() - started


def _waiting(spec: Any, jobs: list[Job]) -> object:
    scheduler = spec.make_scheduler()
    for job in jobs:
        scheduler.submit(replace(job, id=job.id + "m"), 0.0)
    return scheduler


def _running(spec: Any, jobs: list[Job]) -> object:
    scheduler = _waiting(spec, jobs)
    scheduler.decide(0.0)  # type: ignore[attr-defined]
    return scheduler


def _memory_of(make: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(used)


# Hosts and peers, on a mock clock


class NoPeers:
    """Peers that refuse every connection, for a host that is alone."""

    async def call(self, address: str, frame: Frame, timeout_s: float) -> PeerUnreachable:
        """Refuse."""
        return PeerUnreachable("alone", refused=True)


def measure_hosts() -> list[Slope]:
    """Bytes, processor time and store calls of an idle host, per host of the deployment."""
    traffic, processor, reads, spread = [], [], [], []
    for count in (4, 9, 16, 32, 64):
        found = _run_hosts(count, changes=0)
        traffic.append((float(count), found["bytes_per_host_s"]))
        processor.append((float(count), found["cpu_per_host_s"]))
        reads.append((float(count), found["reads_per_s"]))
    changed = [_run_hosts(16, changes=n) for n in (4, 8, 16, 32)]
    bytes_per_change = [(float(c["changes"]), c["bytes_per_host"]) for c in changed]
    cpu_per_change = [(float(c["changes"]), c["cpu_per_host"]) for c in changed]
    for count in (4, 9, 16, 32, 64):
        spread.append((float(count), _run_hosts(count, changes=3)["slowest_s"]))
    return [
        fit("host_bytes_per_s", "bytes/s of a host per host listed", traffic),
        fit("host_cpu_per_s", "s of processor per s of a host per host listed", processor),
        fit("store_reads_per_s", "store reads/s of all hosts and one cell per host", reads),
        fit("change_bytes", "bytes of a host per change (one section)", bytes_per_change),
        fit("change_cpu_s", "s of processor of a host per change", cpu_per_change),
        fit("change_spread_s", "s until in force everywhere per host", spread),
    ]


def _run_hosts(count: int, changes: int) -> dict[str, float]:
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(_idle_hosts, count, changes, clock=clock)


async def _idle_hosts(count: int, changes: int) -> dict[str, float]:
    names = [f"h{number}" for number in range(count)]
    state = make_state(1_999_999_999.0)
    async with trio.open_nursery() as nursery:
        cluster = Cluster(state, nursery, 1, names)
        for name in names:
            cluster.start(name)
        await trio.sleep(1)
        host = cluster.hosts[names[0]].host
        await host.apply(_text(state), "first", "bench")
        await trio.sleep(10)
        cluster.peer_bytes.clear()
        reads, at, used = cluster.store.reads, trio.current_time(), time.process_time()
        slowest = 0.0
        for number in range(changes):
            slowest = max(slowest, await _apply_and_wait(cluster, state, number))
        await trio.sleep(max(0.0, 60 - (trio.current_time() - at)))
        seconds = trio.current_time() - at
        used = time.process_time() - used
        sent = sum(cluster.peer_bytes.values())
        nursery.cancel_scope.cancel()
    return {
        "changes": changes,
        "bytes_per_host_s": sent / seconds / count,
        "bytes_per_host": sent / count,
        "cpu_per_host_s": used / seconds / count,
        "cpu_per_host": used / count,
        "reads_per_s": (cluster.store.reads - reads) / seconds,
        "slowest_s": slowest,
    }


async def _apply_and_wait(cluster: Cluster, state: DesiredState, number: int) -> float:
    """Change one customer's section and return how long until all hosts have it."""
    customers = [
        customer.model_copy(update={"share": 2.0 + number}) if index == 0 else customer
        for index, customer in enumerate(state.customers)
    ]
    changed = state.model_copy(update={"customers": tuple(customers)})
    host = cluster.hosts["h1"].host
    started = trio.current_time()
    outcome = await host.apply(_text(changed), f"change-{number}", "bench")
    generation = getattr(outcome, "generation", 0)
    while any(r.host.configuration.generation < generation for r in cluster.hosts.values()):
        await trio.sleep(0.02)
    return trio.current_time() - started


def _text(state: DesiredState) -> bytes:
    return state.model_dump_json(by_alias=True).encode()


def measure_heartbeat() -> list[Slope]:
    """Bytes of one heartbeat per cell it speaks of."""
    from heronthread_dispatch.wire.ttypes import CellView, Heartbeat

    points = []
    for count in (1, 6, 12, 23):
        cells = [CellView(f"domain-{n}", 10, f"host-{n}", "10.0.0.1:7000") for n in range(count)]
        beat = Heartbeat("host-1", 14_000, True, [], cells)
        points.append((float(count), float(len(encode(Frame(1, heartbeat=beat))))))
    return [fit("heartbeat_bytes", "bytes of a heartbeat per cell", points)]


# Ledger


def measure_ledger() -> list[Slope]:
    """Bytes and writes of the ledger per job of an event, of which a tenth must not run twice."""
    volume, writes = [], []
    for count in (100, 200, 400, 800):
        clock = trio.testing.MockClock(autojump_threshold=0)
        found = trio.run(_ledger_of, count, clock=clock)
        volume.append((float(count), found[0]))
        writes.append((float(count), found[1]))
    return [
        fit("ledger_bytes_per_job", "bytes per job", volume),
        fit("ledger_writes_per_job", "store writes per job of a burst", writes),
    ]


async def _ledger_of(count: int) -> tuple[float, float]:
    start = 1_900_000_000.0 + trio.current_time() + 5
    state = make_state(start)
    content = state.model_dump(mode="json", by_alias=True)
    once = count // 10
    content["events"][0]["jobs"] = [
        _job("often", count - once, "small", "settle", _slot(), 2),
        _job("once", once, "pay", "till", _slot(), 2, repeatable=False),
    ]
    state = DesiredState.model_validate(content)
    async with trio.open_nursery() as nursery:
        cluster = Cluster(state, nursery, 1, ["h1"])
        cluster.start("h1")
        await trio.sleep(0.5)
        host = cluster.hosts["h1"].host
        await host.apply(_text(state), "first", "bench")
        await trio.sleep(3)
        while True:
            await trio.sleep(5)
            (owner,) = host.owners.values()
            done = sum(owned.is_final and owned.durable for owned in owner.jobs.values())
            if done == count:
                break
        volume = owner.parts.ledger.bytes_written
        commits = owner.parts.ledger.commits
        nursery.cancel_scope.cancel()
    return float(volume), float(commits)


# The owner of a cell, against workers in another process


def make_design_state(workers: int, tasks: int, start: float) -> DesiredState:
    """Return a cell of the design's proportions with `workers` workers and `tasks` long tasks."""
    content = json.loads(design_cell().state.model_dump_json(by_alias=True))
    racks: list[dict[str, Any]] = []
    for number in range((workers + 7) // 8):
        size = min(8, workers - 8 * number)
        accelerated = min(size, 1 + (number % 2))
        last = 8 * (number + 1) >= workers
        each = LAST_RACK_ACCELERATORS if last else 8
        groups = [
            {"prefix": f"r{number}g", "count": accelerated, "accelerators": each, "slots": 20},
        ]
        if size > accelerated:
            plain = {"prefix": f"r{number}c", "count": size - accelerated, "accelerators": 0}
            groups.append({**plain, "slots": 20})
        racks.append({"name": f"r{number}", "workers": groups})
    content["topology"]["regions"][0]["domains"][0]["racks"] = racks
    for customer in content["customers"]:
        customer["guarantees"] = []
    gangs = min(tasks // 40, workers // 8)
    jobs = [_job("task", max(1, tasks - gangs), "c1", "batch", _slot(), 86_400)]
    if gangs:
        jobs.append(_job("gang", gangs, "c2", "train", _gang(1, 8, "worker"), 86_400))
    if tasks == 0:
        jobs = [_job("none", 1, "c1", "batch", _slot(), 1)]
    event = _event("steady", jobs)
    from datetime import UTC, datetime

    event["start"] = datetime.fromtimestamp(start, UTC).replace(tzinfo=None).isoformat()
    content["events"] = [event]
    return DesiredState.model_validate(content)


@dataclass(slots=True)
class OwnerCost:
    """What owning a cell cost in a steady time."""

    cpu_per_s: float
    resident_bytes: float
    bytes_per_s: float
    tasks: int


def run_owner(workers: int, tasks: int, *, poll_s: float, steady_s: float) -> OwnerCost:
    """Own a cell in this process for a steady time and return the cost."""
    state = make_design_state(workers, tasks, time.time() + SETTLE_S)
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "state.json"
        file.write_bytes(_text(state))
        port = random.randint(20_000, 40_000)
        command = [sys.executable, "-m", "heronthread_daemon.standin"]
        standin = subprocess.Popen([*command, "--file", str(file), "--port", str(port)])
        try:
            return trio.run(_own, state, port, poll_s, steady_s)
        finally:
            standin.kill()
            standin.wait()


async def _own(state: DesiredState, port: int, poll_s: float, steady_s: float) -> OwnerCost:
    url = f"http://127.0.0.1:{port}"
    await _wait_for(url)
    settings = Settings(
        host="h1",
        region="r",
        domain="d",
        http_address="127.0.0.1:1",
        peer_address="127.0.0.1:1",
        store_url=url,
        platform_url=url,
        limits=LimitsModel(),
        times=TimesModel(worker_poll_s=poll_s, task_lease_s=3 * poll_s),
    )
    async with HttpWorkers(f"{url}/platform") as adapter, trio.open_nursery() as nursery:
        parts = HostParts(MemoryStore(), adapter, StandinHostList(), NoPeers(), time.time)
        host = Host(settings, parts)
        nursery.start_soon(host.run)
        await trio.sleep(0.5)
        await host.apply(_text(state), "first", "bench")
        await _wait_running(host, state)
        await trio.sleep(2.0)
        gc.collect()
        traffic = adapter.traffic
        used, sent, calls = time.process_time(), traffic.sent + traffic.received, traffic.calls
        await trio.sleep(steady_s)
        used = time.process_time() - used
        volume = traffic.sent + traffic.received - sent
        volume += HTTP_OVERHEAD_BYTES * (traffic.calls - calls)
        running = len(host.owners[next(iter(host.owners))].attempts)
        nursery.cancel_scope.cancel()
    return OwnerCost(used / steady_s, _resident(), volume / steady_s, running)


async def _wait_for(url: str) -> None:
    async with httpx.AsyncClient() as client:
        while True:
            try:
                await client.get(f"{url}/platform/hosts")
                return
            except httpx.TransportError:
                await trio.sleep(0.1)


async def _wait_running(host: Host, state: DesiredState) -> None:
    wanted = sum(job.count for event in state.events for job in event.jobs)
    wanted = 0 if wanted <= 1 else wanted
    deadline = trio.current_time() + 60
    while trio.current_time() < deadline:
        await trio.sleep(0.5)
        owners = list(host.owners.values())
        started = [a for o in owners for a in o.attempts.values() if a.go_sent]
        if owners and owners[0].ready.is_set() and len(started) >= wanted:
            return


def _resident() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return float(pages * os.sysconf("SC_PAGE_SIZE"))


def _in_child(workers: int, tasks: int, poll_s: float, steady_s: float) -> OwnerCost:
    """Run in a fresh process, so that memory is that of one owner alone."""
    command = [sys.executable, "-m", "benchmarks.capacity", "one"]
    command += [str(workers), str(tasks), str(poll_s), str(steady_s)]
    output = subprocess.run(command, check=True, capture_output=True, text=True).stdout
    return OwnerCost(**json.loads(output.splitlines()[-1]))


def measure_owner() -> list[Slope]:
    """Processor time, memory and bytes of an owner per worker and per running task."""
    by_worker = [(n, _in_child(n, 0, POLL_S, STEADY_S)) for n in (24, 64, 112, 168)]
    by_task = [(n, _in_child(64, n, POLL_S, STEADY_S)) for n in (150, 400, 700, 1100)]
    return [
        fit(
            "owner_cpu_per_poll_s",
            "s of processor per poll of a worker",
            [(n / POLL_S, cost.cpu_per_s) for n, cost in by_worker],
        ),
        fit(
            "owner_bytes_per_poll",
            "bytes per poll of a worker",
            [(n / POLL_S, cost.bytes_per_s) for n, cost in by_worker],
        ),
        fit(
            "owner_worker_bytes",
            "resident bytes per worker",
            [(float(n), cost.resident_bytes) for n, cost in by_worker],
        ),
        fit(
            "owner_task_bytes",
            "resident bytes per running task",
            [(float(c.tasks), c.resident_bytes) for _, c in by_task],
        ),
        fit(
            "owner_cpu_per_task_s",
            "s of processor per s and running task",
            [(float(c.tasks), c.cpu_per_s) for _, c in by_task],
        ),
    ]


def measure_design_owner(steady_s: float = 60.0) -> dict[str, float]:
    """Own a cell of the design size for a steady minute."""
    cost = _in_child(165, 2435, DESIGN_POLL_S, steady_s)
    return asdict(cost)


# Requests


def measure_requests() -> list[Slope]:
    """Processor time of a request through an entry host and the owner, both in this process."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    points = trio.run(_requests, clock=clock)
    return [fit("request_cpu_s", "s of processor per request (both roles)", points)]


async def _requests() -> list[tuple[float, float]]:
    state = make_state(1_999_999_999.0)
    points = []
    async with trio.open_nursery() as nursery:
        cluster = Cluster(state, nursery, 1, ["h1", "h2"])
        for name in cluster.names:
            cluster.start(name)
        await trio.sleep(0.5)
        await cluster.hosts["h1"].host.apply(_text(state), "first", "bench")
        await trio.sleep(8)
        clients = [r.app.test_client() for r in cluster.hosts.values()]  # type: ignore[attr-defined]
        number = 0
        for count in (50, 100, 200, 400):
            used = time.process_time()
            for _ in range(count):
                number += 1
                body = {
                    "customer": "pay",
                    "request_id": f"r{number}",
                    "class": "till",
                    "shape": _slot(),
                    "expected_s": 0.001,
                    "p95_s": 0.002,
                }
                client = clients[number % 2]
                await client.post("/v1/jobs?wait_s=5", data=json.dumps(body))
            points.append((float(count), time.process_time() - used))
        nursery.cancel_scope.cancel()
    return points


def main(what: str = "all", *args: float, write: bool = False) -> None:
    """Measure everything and print the slopes; with --write also store them for the page."""
    if what == "one":
        workers, tasks, poll_s, steady_s = args
        cost = run_owner(int(workers), int(tasks), poll_s=poll_s, steady_s=steady_s)
        sys.stdout.write(json.dumps(asdict(cost)) + "\n")
        return
    slopes = [*measure_decisions(), *measure_heartbeat(), *measure_hosts(), *measure_ledger()]
    slopes += [*measure_requests(), *measure_owner()]
    rows = [
        [s.name, f"{s.slope:.6g}", f"{s.intercept:.6g}", f"{s.residual:.1%}", s.unit]
        for s in slopes
    ]
    sys.stdout.write(format_table(["slope", "value", "intercept", "residual", "unit"], rows) + "\n")
    design = measure_design_owner()
    text = ", ".join(f"{name} {value:.6g}" for name, value in design.items())
    sys.stdout.write(f"owner at the design size, one minute: {text}\n")
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    sys.stdout.write(f"peak memory of the benchmark: {peak / 1024:.0f} MB\n")
    if write:
        SLOPES_FILE.parent.mkdir(parents=True, exist_ok=True)
        content = {"slopes": [asdict(s) for s in slopes], "design_owner": design}
        SLOPES_FILE.write_text(json.dumps(content, indent=1) + "\n")


if __name__ == "__main__":
    fire.Fire(main)
