"""Seeded fault schedules and the work that goes on meanwhile."""

from __future__ import annotations

import json
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import trio
from eliot import log_message
from heronthread_daemon.standin_worker import make_content
from heronthread_daemon.worker import Command, Verb
from heronthread_scheduling import DesiredState

from .cluster import Cluster, mock_clock

HOSTS = ["h1", "h2", "h3", "h4", "h5"]
CELL = "cell"
EVENT_AT_S = 10.0
FAULTS_UNTIL_S = 45.0
CALLER_GIVES_UP_S = 240.0
WAIT_S = 8.0
LAST_BYTE_S = 0.05

Fault = Callable[[Cluster, random.Random], Awaitable[None]]


def make_state(start: float, extra: str = "") -> DesiredState:
    """Return a small deployment: 6 workers in 2 racks, three customers, one event."""
    racks = [
        {
            "name": f"k{r}",
            "workers": [{"prefix": f"k{r}w", "count": 3, "accelerators": 4, "slots": 4}],
        }
        for r in (1, 2)
    ]
    domains = [{"name": f"d{i}", "racks": [rack]} for i, rack in enumerate(racks)]

    def job(name: str, count: int, customer: str, job_class: str, **more: Any) -> dict[str, Any]:
        return {"name": name, "count": count, "customer": customer, "class": job_class, **more}

    gang = {"members": 3, "accelerators": 4, "adjacency": "rack"}
    pair = {"members": 2, "accelerators": 2, "adjacency": "rack"}
    one = {"accelerators": 1, "adjacency": "worker"}
    slot = {"slots": 1, "adjacency": "worker"}
    jobs = [
        job("gang", 2, "big", "settle", shape=gang, expected_s=8, p95_s=10, checkpointable=True),
        job("pair", 6, "big", "settle", shape=pair, expected_s=5, p95_s=7),
        job("pay", 10, "pay", "pay", shape=one, expected_s=4, p95_s=6, repeatable=False),
        job("small", 24, "small", "settle", shape=one, expected_s=3, p95_s=5),
        job("check", 8, "pay", "till", shape=slot, expected_s=1, p95_s=2),
    ]
    from datetime import UTC, datetime

    local = datetime.fromtimestamp(start, UTC).replace(tzinfo=None).isoformat()
    content = {
        "version": 1,
        "deployment": f"histories{extra}",
        "topology": {
            "regions": [{"name": "r", "domains": domains}],
            "cells": [{"name": CELL, "domains": ["d0", "d1"]}],
        },
        "classes": [
            {"name": "till", "weight": 8, "urgent": True},
            {"name": "pay", "weight": 4},
            {"name": "settle", "weight": 1},
        ],
        "customers": [
            {"name": "big", "guarantees": [{"shape": gang}]},
            {
                "name": "pay",
                "guarantees": [{"shape": one, "count": 4}, {"shape": slot, "count": 4}],
            },
            {"name": "small"},
        ],
        "events": [{"name": "close", "start": local, "jobs": jobs}],
    }
    return DesiredState.model_validate(content)


@dataclass(slots=True)
class Caller:
    """A till that submits one job and asks, at any host, until it has the outcome."""

    cluster: Cluster
    number: int
    source: random.Random
    answered: bool = False

    async def run(self) -> None:
        """Submit and ask again until the outcome is final."""
        body = self._make_job()
        job_id = f"{body['customer']}~{body['request_id']}"
        expected = self._expected(job_id, body)
        with trio.move_on_after(CALLER_GIVES_UP_S):
            while not self.answered:
                await self._ask(job_id, body, expected)
                await trio.sleep(0.2 + self.source.random() * 0.5)
        if not self.answered:
            log_message(message_type="caller.gave_up", job_id=job_id, at=mock_clock())

    async def _ask(self, job_id: str, body: dict[str, Any], expected: str) -> None:
        names = sorted(self.cluster.hosts)
        if not names:
            return
        name = self.source.choice(names)
        running = self.cluster.hosts[name]
        client = running.app.test_client()  # type: ignore[attr-defined]
        answer: dict[str, Any] | None = None
        planned = False
        async with trio.open_nursery() as nursery:

            async def post() -> None:
                nonlocal answer
                response = await client.post(f"/v1/jobs?wait_s={WAIT_S}", data=json.dumps(body))
                answer = await response.get_json(force=True)
                nursery.cancel_scope.cancel()

            async def watch() -> None:
                nonlocal planned
                await running.stopped.wait()
                await trio.sleep(LAST_BYTE_S)
                planned = running.host.drain.is_draining and not running.scope.cancel_called
                nursery.cancel_scope.cancel()

            nursery.start_soon(post)
            nursery.start_soon(watch)
        if answer is None and planned:
            log_message(message_type="caller.cut", host=name, job_id=job_id, at=mock_clock())
        if answer is not None:
            self._take(job_id, answer, expected)

    def _take(self, job_id: str, answer: dict[str, Any], expected: str) -> None:
        state = answer.get("state", answer.get("code", "?"))
        self.answered = state in ("done", "failed", "not-run", "in-doubt")
        if self.answered:
            log_message(
                message_type="caller.answer",
                job_id=job_id,
                state=state,
                answer=answer["answer"],
                expected=expected,
                at=mock_clock(),
            )

    def _make_job(self) -> dict[str, Any]:
        repeatable = self.number % 2 == 0
        shape: dict[str, Any] = {"slots": 1, "adjacency": "worker"}
        job_class, customer = "till", "pay"
        if self.number % 3 == 0:
            shape = {"members": 2, "accelerators": 1, "adjacency": "rack"}
            job_class, customer = "settle", "small"
        return {
            "customer": customer,
            "request_id": f"q{self.number}",
            "class": job_class,
            "shape": shape,
            "repeatable": repeatable,
            "expected_s": 2,
            "p95_s": 3,
            "payload": f"p{self.number}",
        }

    @staticmethod
    def _expected(job_id: str, body: dict[str, Any]) -> str:
        members = body["shape"].get("members", 1)
        command = Command(Verb.START, "", job_id=job_id, payload=body["payload"])
        return "".join(make_content(command, member) for member in range(members))


async def kill_owner(cluster: Cluster, source: random.Random) -> None:
    """Kill the owner of the cell; it comes back empty."""
    name = cluster.owner(CELL)
    if name is not None:
        cluster.kill(name)
        cluster.start_later(name, 5 + source.random() * 20)


async def pause_owner(cluster: Cluster, source: random.Random) -> None:
    """Freeze the owner past its lease; it wakes believing that it still holds it."""
    name = cluster.owner(CELL)
    if name is not None:
        until = trio.current_time() + 4 + source.random() * 12
        cluster.network.paused_until[name] = until


async def restart_all(cluster: Cluster, source: random.Random) -> None:
    """Kill every host; all come back empty within seconds."""
    for name in list(cluster.hosts):
        cluster.kill(name)
        cluster.start_later(name, 0.5 + source.random() * 4)


async def store_down(cluster: Cluster, source: random.Random) -> None:
    """Take the store down for a while."""
    cluster.store.set_down(True)
    await trio.sleep(5 + source.random() * 40)
    cluster.store.set_down(False)


async def store_slow(cluster: Cluster, source: random.Random) -> None:
    """Let every store call take long."""
    cluster.store.faults.delay_s = 0.5 + source.random()
    await trio.sleep(10 + source.random() * 20)
    cluster.store.faults.delay_s = 0.0


async def store_loses_answers(cluster: Cluster, source: random.Random) -> None:
    """Lose the answers of the next writes after they have taken effect."""
    cluster.store.faults.lose_answers += source.randint(3, 12)


async def cut_owner_from_store(cluster: Cluster, source: random.Random) -> None:
    """Cut only the owner from the store, while others reach it."""
    name = cluster.owner(CELL)
    if name is not None:
        cluster.network.store_cut.add(name)
        await trio.sleep(5 + source.random() * 25)
        cluster.network.store_cut.discard(name)


async def kill_worker(cluster: Cluster, source: random.Random) -> None:
    """Kill a worker with what runs on it; it comes back empty."""
    name = source.choice(sorted(cluster.workers.workers))
    cluster.workers.kill(name)
    await trio.sleep(2 + source.random() * 25)
    cluster.workers.restart(name)


async def kill_rack(cluster: Cluster, source: random.Random) -> None:
    """Kill all workers of a rack."""
    rack = source.choice(("k1", "k2"))
    names = [name for name in cluster.workers.workers if name.startswith(rack)]
    for name in names:
        cluster.workers.kill(name)
    await trio.sleep(5 + source.random() * 20)
    for name in names:
        cluster.workers.restart(name)


async def pause_worker(cluster: Cluster, source: random.Random) -> None:
    """Let a worker answer late; what it runs goes on."""
    name = source.choice(sorted(cluster.workers.workers))
    cluster.workers.pause(name, 2 + source.random() * 20)


async def disturb_messages(cluster: Cluster, source: random.Random) -> None:
    """Delay, reorder, duplicate and lose messages."""
    network = cluster.network
    network.jitter_s, network.duplicate, network.lose_replies = 0.3, 0.2, 0.05
    await trio.sleep(5 + source.random() * 20)
    network.jitter_s, network.duplicate, network.lose_replies = 0.0, 0.0, 0.0


async def cut_one_way(cluster: Cluster, source: random.Random) -> None:
    """Cut messages from one host to all others."""
    name = source.choice(HOSTS)
    pairs = {(name, other) for other in HOSTS if other != name}
    cluster.network.cut |= pairs
    await trio.sleep(5 + source.random() * 25)
    cluster.network.cut -= pairs


async def leave_worker(cluster: Cluster, source: random.Random) -> None:
    """Announce in the host list that a worker is leaving."""
    name = source.choice(sorted(cluster.workers.workers))
    cluster.host_list.set_leaving_workers((name,))
    log_message(message_type="target.leaving", worker=name, at=trio.current_time())


async def stop_host(cluster: Cluster, source: random.Random) -> None:
    """Stop a host as planned, preferably the owner; it comes back."""
    name = cluster.owner(CELL) or source.choice(HOSTS)
    running = cluster.hosts.get(name)
    if running is not None:
        running.host.drain.start()
        cluster.start_later(name, 45)


async def race_applies(cluster: Cluster, source: random.Random) -> None:
    """Let two operators apply different files through different hosts at once."""
    async with trio.open_nursery() as nursery:
        for operator in ("ana", "luis"):
            nursery.start_soon(
                _apply, cluster, operator, source.choice(sorted(cluster.hosts) or [""])
            )


async def _apply(cluster: Cluster, operator: str, name: str) -> None:
    running = cluster.hosts.get(name)
    if running is None or running.host.state is None:
        return
    state = running.host.state.model_copy(update={"deployment": f"by {operator}"})
    text = state.model_dump_json(by_alias=True).encode()
    apply_id = f"{operator}-{cluster.source.random():.9f}"
    outcome = await running.host.apply(text, apply_id, operator)
    generation = getattr(outcome, "generation", 0)
    if type(outcome).__name__ == "Applied":
        log_accepted(cluster, generation, apply_id)


def log_accepted(cluster: Cluster, generation: int, apply_id: str) -> None:
    """Note an accepted file; every host that lives to the end must come to have it."""
    log_message(
        message_type="operator.accepted",
        generation=generation,
        apply_id=apply_id,
        live=[],
        at=mock_clock(),
    )


async def burst(cluster: Cluster, source: random.Random) -> None:
    """Let many small requests come at one moment."""
    for number in range(100, 130):
        caller = Caller(cluster, number, random.Random(number))
        cluster.nursery.start_soon(caller.run)


FAULTS: dict[str, Fault] = {
    "kill-owner": kill_owner,
    "pause-owner": pause_owner,
    "restart-all": restart_all,
    "store-down": store_down,
    "store-slow": store_slow,
    "lost-answer": store_loses_answers,
    "cut-owner": cut_owner_from_store,
    "kill-worker": kill_worker,
    "kill-rack": kill_rack,
    "pause-worker": pause_worker,
    "messages": disturb_messages,
    "cut-one-way": cut_one_way,
    "leave-worker": leave_worker,
    "stop-host": stop_host,
    "race-applies": race_applies,
    "burst": burst,
}


@dataclass(frozen=True, slots=True)
class Schedule:
    """Which faults strike when (seconds after the hosts have started)."""

    seed: int
    faults: tuple[tuple[float, str], ...] = field(default_factory=tuple)

    @property
    def kinds(self) -> set[str]:
        """The kinds of its faults."""
        return {kind for _, kind in self.faults}


def draw_schedule(seed: int) -> Schedule:
    """Draw one to three faults, one of them of the kind that the seed's turn asks for."""
    source = random.Random(seed)
    kinds = sorted(FAULTS)
    chosen = [kinds[seed % len(kinds)]]
    chosen += [source.choice(kinds) for _ in range(source.choice((0, 1, 1, 2)))]
    times = [EVENT_AT_S - 1 + source.random() * (FAULTS_UNTIL_S - EVENT_AT_S) for _ in chosen]
    close = [EVENT_AT_S + source.random() * 4, *times[1:]]
    return Schedule(seed, tuple(sorted(zip(close, chosen, strict=True))))
