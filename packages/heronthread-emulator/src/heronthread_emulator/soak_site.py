"""A site of real processes on loopback, and the steering of its stand-ins."""

from __future__ import annotations

import json
import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
import trio
from heronthread_dispatch.host import OWNER_KEY
from heronthread_dispatch.http_client import HttpClient, Reply

from . import spelling
from .addresses import (
    FRONT_PORT,
    MOST_EXECUTORS,
    MOST_HOSTS,
    READINESS_PORT,
    Network,
)
from .sight import Sight
from .soak_plan import draw_apart, make_version
from .soak_processes import Processes
from .standin import StandinSettings

STORE, EXECUTORS, LINKS, CALLERS = range(4)
MODULES = {
    STORE: "store_server",
    EXECUTORS: "executor_server",
    LINKS: "link_proxy",
    CALLERS: "soak_callers",
}
STEER_S = 15.0
START_S = 60.0
POLL_S = 0.1
GRACE_S = 4.0
STOP_S = 0.9
DRAIN_S = 2.0
APPLY_S = 2.0
RECOVERY_S = 12.0
HOLD_S = 10.0
SPARE_HOSTS = 12
SPARE_EXECUTORS = 12
LARGE_EXECUTORS = 12
"""From so many on there are twice as many spare ones, as those that crash for good are replaced."""
PROGRAM = Path("platform/main.py")
TEMPLATE = Path("deploy/settings.json.tmpl")


class StandinFailed(Exception):
    """A stand-in does not answer: the harness is at fault, not what is tested."""


@dataclass(frozen=True, slots=True)
class SiteSettings:
    """What is played; `root` is the repository's, `plant` a defect or empty."""

    seed: int
    root: Path
    hosts: int = 3
    executors: int = 6
    jobs: int = 30
    faults_s: float = 25.0
    settle_s: float = 45.0
    plant: str = ""
    only: str = ""


@dataclass(slots=True)
class SoakSite:
    """The running site; hosts and executors are named by number and never come back elsewhere."""

    settings: SiteSettings
    network: Network
    processes: Processes
    sight: Sight
    began_at: float = 0.0
    hosts: set[int] = field(default_factory=set)
    frozen: set[int] = field(default_factory=set)
    stopping: set[str] = field(default_factory=set)
    executors: set[int] = field(default_factory=set)
    next_host: int = 0
    next_executor: int = 0
    version: int = 0
    configuring: trio.Lock = field(default_factory=trio.Lock)
    parts: int = 0
    client: HttpClient = field(default_factory=HttpClient)

    @property
    def most_hosts(self) -> int:
        """How many hosts there may be in all, one after another."""
        return min(MOST_HOSTS, self.settings.hosts + SPARE_HOSTS)

    @property
    def holds_clocks(self) -> bool:
        """Whether hosts are started so that their machines can be shown as suspended."""
        return "host_suspended" in draw_apart(self.settings.seed, self.settings.only)

    @property
    def most_executors(self) -> int:
        """How many executors there may be in all, one after another."""
        is_large = self.settings.executors >= LARGE_EXECUTORS
        spare = SPARE_EXECUTORS * (1 + is_large)
        return min(MOST_EXECUTORS, self.settings.executors + spare)

    @property
    def spare_executors(self) -> int:
        """How many executors may still join."""
        return self.most_executors - self.next_executor

    async def start(self) -> None:
        """Start the stand-ins, then the hosts, and wait until callers are served."""
        for standin in (STORE, LINKS, EXECUTORS):
            self._start_standin(standin)
            await self._wait_standin(standin)
        self.executors = set(range(self.settings.executors))
        self.next_executor = self.settings.executors
        await self.configure(1)
        for _ in range(self.settings.hosts):
            self.start_host()
        await self.wait_for_owner()
        await self._wait_ready()
        self.began_at = time.time() + 1.0
        self._start_standin(CALLERS)
        await self._wait_standin(CALLERS)
        await self.tell_callers()

    def _start_standin(self, standin: int) -> None:
        more = {
            "most_executors": self.most_executors,
            "plant": self.settings.plant,
            "began_at": self.began_at,
            "jobs": self.settings.jobs,
            "duration_s": self.settings.faults_s,
        }
        told = StandinSettings(
            self.network,
            self.settings.seed,
            self.most_hosts,
            self.settings.executors,
            self.network.control(standin),
            more,
        )
        name = MODULES[standin]
        path = self.processes.folder / f"{name}.json"
        path.write_text(told.encode(), encoding="utf-8")
        module = f"{__package__}.{name}"
        self.processes.start(name, ["-m", module, str(path)], {})

    async def _wait_standin(self, standin: int) -> None:
        with trio.move_on_after(START_S):
            while True:
                address = self.network.control(standin)
                if isinstance(await self.client.call(address, "GET", "/", timeout_s=1.0), Reply):
                    return
                if self.processes.has_ended(MODULES[standin]):
                    break
                await trio.sleep(POLL_S)
        raise StandinFailed(f"{MODULES[standin]} did not start")

    async def steer(self, standin: int, command: str, **values: Any) -> Any:
        """Tell a stand-in to do something."""
        reply = await self.client.call(
            self.network.control(standin),
            "POST",
            f"/{command}",
            body=orjson.dumps(values),
            timeout_s=STEER_S,
        )
        if not isinstance(reply, Reply) or reply.status != 200:
            raise StandinFailed(f"{MODULES[standin]}: {command}: {reply}")
        return orjson.loads(reply.body)

    @contextmanager
    def noting(self, part: str) -> Iterator[None]:
        """Write down a part of a fault as a fault of its own, as promises hold beside the rest."""
        self.parts += 1
        number = f"part {self.parts}"
        self.sight.note("fault.began", fault=part, number=number)
        yield
        self.sight.note("fault.ended", fault=part, number=number)

    # Hosts

    def start_host(self) -> int:
        """Start a host at an address that none had before."""
        host = self.next_host
        self.next_host += 1
        self.hosts.add(host)
        self.restart_host(host)
        return host

    def restart_host(self, host: int) -> None:
        """Start the process of a host whose last one is gone."""
        name = f"h{host}"
        path = self.write_settings(host)
        self._held_file(host).unlink(missing_ok=True)
        program = str(self.settings.root / PROGRAM)
        command = [program]
        if self.settings.plant or self.holds_clocks:
            held = [str(self._held_file(host))] if self.holds_clocks else []
            command = ["-m", f"{__package__}.planted_host", self.settings.plant, program, *held]
        variables = {spelling.SETTINGS_VARIABLE: str(path)}
        self.processes.start(name, command, variables)
        self.hosts.add(host)
        self.stopping.discard(name)
        pid = self.processes.running[name].pid
        self.sight.note("host.started", process=pid, to=name)

    def _held_file(self, host: int) -> Path:
        return self.processes.folder / f"h{host}.suspended"

    async def suspend_host(self, host: int, for_s: float) -> None:
        """Have a host's process stand still for a while, and its steady clock with it.

        One that has only just been started is left alone: the store names an owner for as long as
        its lease lasts, also if it was killed and is back without its handlers.
        """
        name, began = f"h{host}", time.time()
        if not self.processes.takes(name, signal.SIGUSR1):
            return
        process = self.processes.running.get(name)
        self.frozen.add(host)
        self.processes.send(name, signal.SIGSTOP)
        await trio.sleep(for_s)
        # A host that was started again meanwhile is not suspended, and the signal would end it.
        if host not in self.hosts or self.processes.running.get(name) is not process:
            return
        path = self._held_file(host)
        before_s = float(path.read_text(encoding="utf-8")) if path.exists() else 0.0
        path.write_text(str(before_s + time.time() - began), encoding="utf-8")
        self.processes.send(name, signal.SIGUSR1)
        self.processes.send(name, signal.SIGCONT)
        self.frozen.discard(host)

    def write_settings(self, host: int, cores: float = 1.0) -> Path:
        """Write a host's settings file as the platform fills it."""
        network = self.network
        fields = spelling.make_settings(
            name=f"h{host}",
            ip=network.host_ip(host),
            front=network.host(host, FRONT_PORT),
            readiness=network.host(host, READINESS_PORT),
            store=network.store_link(host),
            peer_port=7000,
            seeds=[network.seed(host, peer) for peer in range(min(3, self.settings.hosts))],
            cores=cores,
            grace_s=GRACE_S,
            stop_s=STOP_S,
            drain_s=DRAIN_S,
            hold_s=HOLD_S,
            apply_s=APPLY_S,
            recovery_s=RECOVERY_S,
        )
        template = (self.settings.root / TEMPLATE).read_text(encoding="utf-8")
        path = self.processes.folder / f"h{host}.json"
        path.write_text(spelling.fill_template(template, fields), encoding="utf-8")
        return path

    async def kill_host(self, host: int) -> None:
        """Kill a host's process."""
        self.sight.note("host.killed", to=f"h{host}")
        self.hosts.discard(host)
        self.frozen.discard(host)
        self.processes.kill(f"h{host}")

    async def lose_power(self, hosts: list[int], away_s: float) -> None:
        """Kill hosts at once and start them again, but for those that are told to stop."""
        stopping = [host for host in hosts if f"h{host}" in self.stopping]
        with self.noting("hosts_lose_power"):
            for host in hosts:
                await self.kill_host(host)
            await trio.sleep(away_s)
            for host in hosts:
                if host not in self.hosts and host not in stopping:
                    self.restart_host(host)
            await self.tell_callers()

    def forget_host(self, host: int) -> None:
        """Count a host as gone whose process ended by itself."""
        self.hosts.discard(host)
        del self.processes.running[f"h{host}"]

    async def stop_host(self, host: int) -> None:
        """Stop a host as planned: SIGTERM, then SIGKILL after the grace it was told."""
        self.sight.note("host.stopping", to=f"h{host}")
        self.stopping.add(f"h{host}")
        self.processes.send(f"h{host}", signal.SIGTERM)
        with trio.move_on_after(GRACE_S + 1.0):
            while not self.processes.has_ended(f"h{host}"):
                await trio.sleep(POLL_S)
        await self.kill_host(host)

    async def find_owner(self) -> int | None:
        """Return the host that owns the cell, as the store has it."""
        value = await self.steer(STORE, "key", key=OWNER_KEY)
        if value is None:
            return None
        host = int(json.loads(value)["host"].removeprefix("h"))
        return host if host in self.hosts else None

    async def wait_for_owner(self) -> None:
        """Wait until the store names an owner that is there."""
        with trio.move_on_after(START_S):
            while await self.find_owner() is None:
                self._check_started()
                await trio.sleep(POLL_S)
            return
        raise StandinFailed(f"no host owned the cell within {START_S:g} s of the start")

    def _check_started(self) -> None:
        for host in self.hosts:
            if self.processes.has_ended(f"h{host}"):
                raise StandinFailed(f"h{host} ended while it started; see its log")

    async def _wait_ready(self) -> None:
        with trio.move_on_after(START_S):
            for host in sorted(self.hosts):
                while not await self._is_ready(host):
                    await trio.sleep(POLL_S)
            return
        raise StandinFailed(f"a host was not ready within {START_S:g} s of the start")

    async def _is_ready(self, host: int) -> bool:
        address = self.network.host(host, READINESS_PORT)
        reply = await self.client.call(address, "GET", spelling.READY_PATH, timeout_s=1.0)
        return isinstance(reply, Reply) and reply.status == 200

    async def tell_callers(self) -> None:
        """Tell the balancer which hosts there are."""
        await self.steer(CALLERS, "hosts", hosts=sorted(self.hosts))

    # Operator and executors

    async def configure(self, version: int) -> None:
        """Put a configuration in force."""
        value = spelling.write_configuration(make_version(version)).decode()
        await self.steer(STORE, "configuration", value=value, version=version)
        self.version = version
        if f"{MODULES[CALLERS]}" in self.processes.running:
            await self.steer(CALLERS, "version", version=version)

    async def configure_next(self, step: int) -> None:
        """Put a version in force that is newer by a step, however many faults do so at a time."""
        async with self.configuring:
            await self.configure(self.version + step)

    async def add_executor(self) -> None:
        """Have another executor join."""
        if self.next_executor >= self.most_executors:
            return
        number = self.next_executor
        self.next_executor += 1
        await self.steer(EXECUTORS, "add", executor=number)
        self.executors.add(number)

    def name_store_link(self, host: int) -> str:
        """Return the link between a host and the store."""
        return f"h{host}>store"

    async def mend(self) -> None:
        """End every fault, thaw hosts, and have as many hosts as at the start."""
        for standin in (STORE, LINKS, EXECUTORS):
            await self.steer(standin, "mend")
        for host in list(self.frozen):
            self.processes.send(f"h{host}", signal.SIGCONT)
        self.frozen.clear()
        while len(self.hosts) < self.settings.hosts and self.next_host < self.most_hosts:
            self.start_host()
        await self.tell_callers()
