"""Tests of three daemon processes against stand-ins over loopback."""

from __future__ import annotations

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import httpx
import pytest

ROOT = Path(__file__).parent.parent
BIN = Path(sys.executable).parent
TIMEOUT_S = 60.0
IDLE_LIMIT_KB = 100 * 1024
HOSTS = ("a", "b", "c")


PORTS = itertools.count(20_000 + os.getpid() % 8_000)
PORT_LOCKS: list[socket.socket] = []
"""Sockets that reserve ports until the process ends, so that concurrent runs skip them."""


def free_port() -> int:
    """Return a free TCP port below the range of ephemeral ports.

    A UDP socket bound to the same number reserves it against concurrent runs of these tests.
    """
    for port in PORTS:
        lock = socket.socket(type=socket.SOCK_DGRAM)
        try:
            lock.bind(("127.0.0.1", port))
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", port))
        except OSError:
            lock.close()
            continue
        PORT_LOCKS.append(lock)
        return port
    raise AssertionError("no port is free")


def wait_for(check, what: str):
    """Poll until `check` returns a true value, at most `TIMEOUT_S` seconds."""
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            found = check()
        except httpx.TransportError:
            found = None
        if found:
            return found
        time.sleep(0.1)
    raise AssertionError(f"timed out waiting for {what}")


class Deployment:
    """The processes of one test; `daemons` maps the name of a host to its process."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.daemons: dict[str, subprocess.Popen] = {}
        self.http = {host: f"127.0.0.1:{free_port()}" for host in HOSTS}
        self.peer = {host: f"127.0.0.1:{free_port()}" for host in HOSTS}
        port = free_port()
        self.platform = f"http://127.0.0.1:{port}"
        self.file = ROOT / "examples" / "fopgap-lima.json"
        peers = ",".join(f"{host}={self.peer[host]}" for host in HOSTS)
        command = [sys.executable, "-m", "heronthread_daemon.standin"]
        command += ["--file", str(self.file), "--port", str(port), "--hosts", peers]
        self.standin = subprocess.Popen(command)
        for host in HOSTS:
            self.start(host)

    def start(self, host: str) -> None:
        settings = {
            "host": host,
            "region": "lima",
            "domain": f"lima-{host}",
            "http_address": self.http[host],
            "peer_address": self.peer[host],
            "store_url": f"{self.platform}/store",
            "platform_url": f"{self.platform}/platform",
            "times": {"worker_poll_s": 3},
        }
        path = self.folder / f"{host}.json"
        path.write_text(json.dumps(settings))
        log = (self.folder / f"{host}.log").open("ab")
        self.daemons[host] = subprocess.Popen([BIN / "heronthreadd", str(path)], stdout=log)

    def get(self, host: str, path: str) -> dict:
        return httpx.get(f"http://{self.http[host]}{path}", timeout=10).json()

    def submit(self, host: str, request_id: str, **more) -> dict:
        job = {
            "customer": "oficina-de-pagos",
            "request_id": request_id,
            "class": "till-urgent",
            "shape": {"slots": 1, "adjacency": "worker"},
            "expected_s": 0.2,
            "p95_s": 0.4,
            "payload": request_id,
            **more,
        }
        url = f"http://{self.http[host]}/v1/jobs?wait_s=5"
        return httpx.post(url, json=job, timeout=20).json()

    def owner(self, hosts=HOSTS) -> str | None:
        for host in hosts:
            (cell,) = self.get(host, "/v1/status")["cells"] or [{}]
            if cell.get("standing") == "owner" and "waiting" in cell:
                return host
        return None

    def stop(self) -> None:
        for process in [*self.daemons.values(), self.standin]:
            process.kill()
            process.wait()


@pytest.fixture
def deployment(tmp_path) -> Iterator[Deployment]:
    found = Deployment(tmp_path)
    try:
        yield found
    finally:
        found.stop()


def apply(deployment: Deployment, host: str) -> int:
    wait_for(lambda: deployment.get(host, "/health/live"), "a live host")
    command = [BIN / "heronthread", "apply", str(deployment.file), "--json"]
    command += ["--url", f"http://{deployment.http[host]}"]
    output = subprocess.run(command, check=True, capture_output=True, timeout=TIMEOUT_S)
    return json.loads(output.stdout)["generation"]


def is_ready(deployment: Deployment, host: str) -> bool:
    return deployment.get(host, "/health/ready")["ready"]


def resident_kb(process: subprocess.Popen) -> int:
    status = Path(f"/proc/{process.pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmRSS")]
    return int(line.split()[1])


def test_apply_submit_and_fetch_through_different_hosts(deployment):
    generation = apply(deployment, "a")
    for host in HOSTS:
        wait_for(lambda h=host: is_ready(deployment, h), "readiness")
        assert deployment.get(host, "/v1/configuration")["generation"] == generation
    wait_for(deployment.owner, "an owner")
    first = deployment.submit("b", "q1")
    done = wait_for(
        lambda: deployment.get("c", "/v1/jobs/oficina-de-pagos~q1?wait_s=5").get("answer"), "answer"
    )
    assert done == "oficina-de-pagos~q1[0]=q1;"
    assert first["job_id"] == "oficina-de-pagos~q1"
    assert max(resident_kb(p) for p in deployment.daemons.values()) < IDLE_LIMIT_KB


def test_killed_owner_is_replaced_without_duplicate_runs(deployment):
    apply(deployment, "a")
    for host in HOSTS:
        wait_for(lambda h=host: is_ready(deployment, h), "readiness")
    owner = wait_for(deployment.owner, "an owner")
    assert deployment.submit(owner, "before", repeatable=False)["state"] == "done"
    deployment.daemons[owner].send_signal(signal.SIGKILL)
    killed = time.monotonic()
    left = [host for host in HOSTS if host != owner]
    done = wait_for(
        lambda: deployment.submit(left[0], "after").get("state") == "done", "the urgent job"
    )
    sys.stderr.write(f"urgent job done {time.monotonic() - killed:.1f} s after the kill\n")
    assert done
    assert wait_for(lambda: deployment.owner(left), "a new owner") != owner
    again = deployment.submit(left[1], "before", repeatable=False)
    assert again["state"] == "done"
    assert again["attempts"] == 1


def test_sigterm_stops_the_process_with_status_zero(deployment):
    apply(deployment, "a")
    wait_for(lambda: is_ready(deployment, "b"), "readiness")
    deployment.daemons["b"].send_signal(signal.SIGTERM)
    assert deployment.daemons["b"].wait(timeout=TIMEOUT_S) == 0
