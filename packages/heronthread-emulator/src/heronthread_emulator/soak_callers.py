"""Callers of a soak as a process: they hand jobs in, ask, cancel, and probe routes."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import orjson
import trio
from heronthread_dispatch.http_client import HttpClient, Reply
from heronthread_dispatch.record import JobStatus

from . import spelling
from .balancer import Balancer
from .sight import Sight
from .soak_plan import PlannedJob, name_route, plan_jobs
from .standin import StandinSettings, run_standin, serve_commands

DEADLINE_S = 3.0
TIMEOUT_S = 3.2
RETRY_S = 1.0
POLL_S = 0.7
PROBE_S = 0.15
KEEP_S = 10.0
"""How long one caller in `MOVING_PART` stays with a host, so that new hosts get calls as well."""
MOVING_PART = 4
CONNECTIONS = 8
HOST_NAME = "host"
KEYS = {"first": "key-1", "second": "key-2"}
STRANGER = f"{0xDEAD:016x}"
"""A job that nobody submits."""


@dataclass(slots=True)
class _Connection:
    """A caller's way to one host: kept until the process there is gone, or a call was given up."""

    host: int
    since: float
    client: HttpClient = field(default_factory=lambda: HttpClient(HOST_NAME))


class Callers:
    """All callers of a site."""

    def __init__(self, settings: StandinSettings, sight: Sight) -> None:
        self.sight = sight
        self.settings = settings
        self.balancer = Balancer(settings.network, settings.seed)
        self.began_at = float(settings.more["began_at"])
        duration_s = settings.more["duration_s"]
        self.jobs = plan_jobs(settings.seed, settings.more["jobs"], duration_s)
        self.version = 1
        self.taken: set[str] = set()
        self.final: set[str] = set()
        self.playing = 0
        self.accepted_at = 0.0
        self._connections: dict[int, _Connection] = {}

    async def run(self, nursery: trio.Nursery) -> None:
        """Play all jobs, then ask on until the process ends."""
        nursery.start_soon(self.balancer.run)
        nursery.start_soon(self._probe_routes)
        nursery.start_soon(self._probe_entry)
        for number, job in enumerate(self.jobs):
            self.playing += 1
            nursery.start_soon(self._play, job, number % CONNECTIONS)

    async def _play(self, job: PlannedJob, place: int) -> None:
        await trio.sleep(max(0.0, self.began_at + job.at_s - time.time()))
        body = spelling.write_job(
            job.work, job.count, gang=job.gang, schedule=job.schedule_from(self.began_at)
        )
        async with trio.open_nursery() as nursery:
            if job.cancel_after_s is not None:
                nursery.start_soon(self._cancel, job, place, job.cancel_after_s)
            for _ in range(job.tries):
                status = await self._call(job, place, "POST", body)
                if status == 200:
                    self.taken.add(job.id)
                    self.accepted_at = time.time()
                    break
                await trio.sleep(RETRY_S)
        self.playing -= 1
        while job.id not in self.final:
            await trio.sleep(POLL_S)
            await self._call(job, place, "GET")

    async def _cancel(self, job: PlannedJob, place: int, after_s: float) -> None:
        await trio.sleep(after_s)
        for _ in range(CONNECTIONS):
            if await self._call(job, place, "DELETE") in (200, 410):
                return
            await trio.sleep(RETRY_S)

    async def _call(
        self, job: PlannedJob, place: int, method: str, body: dict[str, Any] | None = None
    ) -> int | None:
        """Make one call and write down what came of it."""
        connection = self._find_connection(place)
        if connection is None:
            return None
        path, headers = f"/{job.queue}/{job.id}", _make_headers(job.tenant)
        data = b"" if body is None else orjson.dumps(body)
        sent = time.time()
        reply = await connection.client.call(
            self.balancer.find_address(connection.host),
            method,
            path,
            body=data,
            headers=headers,
            timeout_s=TIMEOUT_S,
        )
        status = reply.status if isinstance(reply, Reply) else None
        state = _read_state(reply.body) if isinstance(reply, Reply) else None
        self.sight.note(
            "caller.call",
            job=job.id,
            call=method,
            to=f"h{connection.host}",
            sent=sent,
            took_s=round(time.time() - sent, 3),
            status=status,
            state=state,
            unsent=not isinstance(reply, Reply) and reply.unsent,
            reason="" if isinstance(reply, Reply) else reply.reason,
        )
        self._drop_if_gone(place, connection)
        if method == "GET" and state and JobStatus(state).is_final:
            self.final.add(job.id)
        return status

    def _find_connection(self, place: int) -> _Connection | None:
        known = self._connections.get(place)
        if known is not None and not self._moves_on(place, known):
            return known
        host = self.balancer.choose()
        if host is None:
            return None
        found = self._connections[place] = _Connection(host, trio.current_time())
        return found

    @staticmethod
    def _moves_on(place: int, known: _Connection) -> bool:
        """Whether a caller leaves its host though the connection is open."""
        is_moving = place % MOVING_PART == MOVING_PART - 1
        return is_moving and trio.current_time() - known.since >= KEEP_S

    def _drop_if_gone(self, place: int, connection: _Connection) -> None:
        """Forget a connection that its host has closed, or that a call was given up on."""
        address = self.balancer.find_address(connection.host)
        is_gone = not connection.client.idle.get(address)
        if is_gone and self._connections.get(place) is connection:
            del self._connections[place]

    # Probes

    async def _probe_routes(self) -> None:
        """Ask each host in turn for a route that came or went with the newest version."""
        clients: dict[int, HttpClient] = {}
        number = 0
        while True:
            await trio.sleep(PROBE_S)
            hosts = self.balancer.list_hosts()
            if not hosts or self.version < 1:
                continue
            number += 1
            host = hosts[number % len(hosts)]
            version = self.version - (number // len(hosts)) % 2
            client = clients.setdefault(host, HttpClient(HOST_NAME))
            await self._probe(client, host, version)

    async def _probe(self, client: HttpClient, host: int, version: int) -> None:
        sent = time.time()
        reply = await client.call(
            self.balancer.find_address(host),
            "GET",
            f"/{name_route(version)}/",
            headers=_make_headers("first"),
            timeout_s=1.0,
        )
        if isinstance(reply, Reply):
            self.sight.note(
                "caller.probe", to=f"h{host}", version=version, status=reply.status, sent=sent
            )

    async def _probe_entry(self) -> None:
        """Ask for a job that nobody handed in, and as one tenant for a job of the other."""
        place = CONNECTIONS
        while True:
            await trio.sleep(PROBE_S * 4)
            for tenant, job_id, queue in self._list_foreign():
                connection = self._find_connection(place)
                if connection is None:
                    continue
                reply = await connection.client.call(
                    self.balancer.find_address(connection.host),
                    "GET",
                    f"/{queue}/{job_id}",
                    headers=_make_headers(tenant),
                    timeout_s=TIMEOUT_S,
                )
                status = reply.status if isinstance(reply, Reply) else None
                self.sight.note(
                    "caller.foreign", to=f"h{connection.host}", job=job_id, status=status
                )
                self._drop_if_gone(place, connection)

    def _list_foreign(self) -> list[tuple[str, str, str]]:
        found = [("first", STRANGER, "ordinary")]
        known = [job for job in self.jobs if job.id in self.taken]
        if known:
            job = known[-1]
            other = "first" if job.tenant == "second" else "second"
            found.append((other, job.id, job.queue))
        return found

    # Steering

    async def set_hosts(self, values: dict[str, Any]) -> None:
        """Take in which hosts the balancer knows."""
        self.balancer.set_hosts(values["hosts"])

    async def set_version(self, values: dict[str, Any]) -> None:
        """Take in the newest version that the store has taken."""
        self.version = values["version"]

    async def show(self, values: dict[str, Any]) -> dict[str, Any]:
        """Return how far the callers are."""
        open_jobs = self.taken - self.final
        return {"playing": self.playing, "open": len(open_jobs), "accepted_at": self.accepted_at}


def _make_headers(tenant: str) -> tuple[tuple[str, str], ...]:
    deadline = str(int(DEADLINE_S * 1000))
    return (("Authorization", f"Bearer {KEYS[tenant]}"), (spelling.DEADLINE_HEADER, deadline))


def _read_state(body: bytes) -> str | None:
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError:
        return None
    state = value.get("state") if isinstance(value, dict) else None
    return state if isinstance(state, str) else None


async def play(settings: StandinSettings, sight: Sight, nursery: trio.Nursery) -> None:
    """Serve the steering and play."""
    callers = Callers(settings, sight)
    commands = {"hosts": callers.set_hosts, "version": callers.set_version, "show": callers.show}
    await nursery.start(serve_commands, settings.control, commands)
    nursery.start_soon(partial(callers.run, nursery))


if __name__ == "__main__":
    run_standin("callers", play)
