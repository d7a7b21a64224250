"""How the users' platform spells what stand-ins speak; no other module here holds its names."""

from __future__ import annotations

import json
import re
from base64 import b64decode, b64encode
from collections.abc import Iterable
from typing import Any

from heronthread_dispatch.executor_link import (
    EndedRun,
    EndKind,
    HoldOrder,
    Refusal,
    RunningRun,
    StartOrder,
    StopOrder,
)
from heronthread_dispatch.keystore import Item, KeyRemoved, Put, Transaction
from heronthread_dispatch.model import DesiredState, Executor, Resources, Schedule, TaskKey

from .executors import WorkSpec

SETTINGS_VARIABLE = "HERONTHREAD_NODE_FILE"
CONFIGURATION_KEY = "op/config"
EXECUTOR_PREFIX = "servers/"
GUARDED_PREFIXES = ("op/", "servers/")
READY_PATH = "/heronthread/ready"
START_PATH = "/heronthread/run-start"
STOP_PATH = "/heronthread/run-stop"
HOLD_PATH = "/heronthread/hold"
READ_PATH = "/heronthread/kv-key"
LIST_PATH = "/heronthread/kv-range"
WATCH_PATH = "/heronthread/kv-watch"
COMMIT_PATH = "/heronthread/kv-txn"
GRANT_PATH = "/heronthread/kv-lease"
RENEW_PATH = "/heronthread/kv-keep/"
REVOKE_PATH = "/heronthread/kv-lease-end/"
LIFE_HEADER = "expected-instance"
DEADLINE_HEADER = "Deadline-Ms"

_REASONS = {
    Refusal.FENCED: "fence",
    Refusal.OLD_RUN: "old",
    Refusal.LATE: "late",
    Refusal.NO_ROOM: "room",
    Refusal.NOT_APPROVED: "ticket",
    Refusal.OTHER: "other",
}


# Orders


def read_start(body: dict[str, Any]) -> StartOrder:
    """Return a start as it was sent."""
    return StartOrder(
        _read_task(body["task"]),
        int(body["run"]),
        str(body.get("spec", "")),
        str(body.get("checkpoint", "")),
        int(body.get("fencing-token", 0)),
        int(body["deadline-ms"]),
        str(body.get("ticket", "")),
    )


def read_stop(body: dict[str, Any]) -> StopOrder:
    """Return a stop as it was sent."""
    token = int(body.get("fencing-token", 0))
    return StopOrder(_read_task(body["task"]), int(body["run"]), token)


def read_hold(body: dict[str, Any]) -> HoldOrder:
    """Return a hold as it was sent."""
    until = body.get("deadline-ms")
    return HoldOrder(
        int(body.get("fencing-token", 0)),
        int(body.get("last-seen", 0)),
        None if until is None else int(until),
        int(body.get("wait-ms", 0)) / 1000,
    )


def write_refusal(reason: Refusal, clock_ms: int) -> dict[str, Any]:
    """Return the body of a refusal."""
    return {"clock-ms": clock_ms, "reason": _REASONS[reason]}


def write_clock(clock_ms: int) -> dict[str, Any]:
    """Return the body that every answer of an executor has at least."""
    return {"clock-ms": clock_ms}


def write_report(
    clock_ms: int, running: Iterable[RunningRun], ended: Iterable[EndedRun], *, born: int
) -> dict[str, Any]:
    """Return both lists of an executor, and which instance of it they are of."""
    return {
        "born": born,
        "clock-ms": clock_ms,
        "running": [[_write_task(r.task), r.run, r.checkpoint, int(r.percent), 0] for r in running],
        "ended-at": [
            [e.number, _write_task(e.task), e.run, e.kind.value, e.checkpoint] for e in ended
        ],
    }


def _read_task(name: str) -> TaskKey:
    job, occurrence, step, index = name.split(".")
    return TaskKey(job, int(step), int(index), int(occurrence))


def _write_task(task: TaskKey) -> str:
    return f"{task.job}.{task.occurrence}.{task.step}.{task.member}"


def write_entry(executor: Executor, sequence: int) -> bytes:
    """Return what an executor says of itself in the store."""
    room = executor.capacity
    value: dict[str, Any] = {
        "service": executor.pool,
        "address": executor.address,
        "zone": executor.zone,
        "version": "1",
        "slots": 8,
        "state": "draining" if executor.is_draining else "ready",
        "cold-remaining-ms": 0,
        "clock-ms": 0,
        "seq": sequence,
        "born": executor.born,
        "labels": list(executor.labels),
        "capacity": {"cpu": room.cpu, "mem-mb": room.memory_mb, "gpus": room.accelerators},
    }
    if executor.leaves_in_s is not None:
        value["remaining-ms"] = int(executor.leaves_in_s * 1000)
    return json.dumps(value).encode()


def write_foreign_entries(executor: Executor, sequence: int) -> dict[str, bytes]:
    """Return what another writer may put under an executor's id, by a name for each form.

    None of them names an executor to use.
    """
    good: dict[str, Any] = json.loads(write_entry(executor, sequence))
    found = {name: json.dumps(value).encode() for name, value in _OTHER_VALUES.items()}
    found |= {"no bytes": b"", "no text": b"\xff\xfe{", "half": json.dumps(good).encode()[:-9]}
    for field in good:
        rest = {name: value for name, value in good.items() if name != field}
        found[f"without {field}"] = json.dumps(rest).encode()
    for room in good["capacity"]:
        rest = {name: value for name, value in good["capacity"].items() if name != room}
        found[f"without {room}"] = json.dumps(good | {"capacity": rest}).encode()
    for field, values in _WRONG_FIELDS.items():
        for value in values:
            found[f"{field} {value!r}"] = json.dumps(good | {field: value}).encode()
    return found


ODD_IDS = ("x-caf\u00e9", "x\n", "x\u0000", "x y", "x\t", " ", "x" * 201)
"""Last parts of keys that no call can name, whatever stands under them."""
_OTHER_VALUES: dict[str, Any] = {"a text": "ready", "a list": [], "nothing": None, "a number": 7}
_WRONG_FIELDS: dict[str, list[Any]] = {
    "service": ["", 7, None, ["pool"], "nobody"],
    "address": ["", "nowhere", "10.128.0.9", "10.128.0.9:", "10.128.0.9:0", "10.128.0.9:99999", 7],
    "zone": ["", "nowhere", 7, None],
    "version": ["", 7, None],
    "slots": ["8", -3, 8.5, None, True],
    "state": ["", "paused", "READY", 1, None, ["ready"], "draining"],
    "cold-remaining-ms": ["0", -1, None, True],
    "clock-ms": ["0", -1, None],
    "seq": ["4", -1, 1.5, None],
    "born": ["x", -1, 3.5, None, True],
    "capacity": [
        None,
        {},
        [1, 2, 3],
        {"cpu": "1", "mem-mb": 2, "gpus": 3},
        {"cpu": 1, "mem-mb": 2, "gpus": -3},
        {"cpu": 1, "mem-mb": 2.5, "gpus": 3},
        {"cpu": 10**12, "mem-mb": 2, "gpus": 3},
    ],
    "labels": [None, "kind", [], ["kind"], [1, 2], ["kind", ""]],
}


# Store


def read_prefix(query: dict[str, str]) -> str:
    """Return the prefix that a listing or a watch asks for."""
    return query.get("path-prefix", "")


def read_key(query: dict[str, str]) -> str:
    """Return the key that a read asks for."""
    return query.get("tls-key", "")


def read_after(query: dict[str, str]) -> str:
    """Return after which key or revision to begin."""
    return query.get("after", "")


def read_wait_s(query: dict[str, str]) -> float:
    """Return how long a watch waits."""
    return int(query.get("wait-ms", "0")) / 1000


def read_ttl_s(body: dict[str, Any]) -> float:
    """Return how long a lease is to last."""
    return float(body["ttl_ms"]) / 1000


def write_lease(number: int, duration_s: float) -> dict[str, Any]:
    """Return a lease that holds."""
    return {"lease": number, "ttl_ms": int(duration_s * 1000)}


def read_transaction(body: dict[str, Any]) -> Transaction:
    """Return a transaction as it was sent."""
    conditions = [(c["tls-key"], int(c["revision"])) for c in body.get("if-revision", ())]
    puts = [
        Put(p["tls-key"], b64decode(p.get("value", "")), int(p.get("lease", 0)))
        for p in body.get("put", ())
    ]
    return Transaction(tuple(conditions), tuple(puts), tuple(body.get("remove", ())))


def write_transaction(transaction: Transaction) -> dict[str, Any]:
    """Return a transaction as the operator and executors send it."""
    return {
        "if-revision": [{"tls-key": k, "revision": r} for k, r in transaction.conditions],
        "put": [
            {"tls-key": p.key, "value": b64encode(p.value).decode(), "lease": p.lease}
            for p in transaction.puts
        ],
        "remove": list(transaction.removes),
    }


def write_item(item: Item) -> dict[str, Any]:
    """Return an item of the store."""
    return {
        "tls-key": item.key,
        "value": b64encode(item.value).decode(),
        "revision": item.revision,
        "made": item.created,
        "lease": item.lease,
    }


def write_event(event: Item | KeyRemoved) -> dict[str, Any]:
    """Return one change of the store."""
    if isinstance(event, KeyRemoved):
        return {"tls-key": event.key, "revision": event.revision, "gone": True}
    return write_item(event)


# Operator and callers


def write_configuration(state: DesiredState) -> bytes:
    """Return a whole configuration as the operator writes it."""
    routes = [
        {
            "name": queue.name,
            "host": queue.host,
            "path-prefix": queue.prefix,
            "service": queue.pool,
            "priority": queue.priority,
            "max-attempts": queue.max_attempts,
            "stretch": queue.stretch,
            "target-latency-ms": queue.target_s * 1000,
            "public": queue.public,
        }
        for queue in state.queues
    ]
    tenants = [
        {"name": t.name, "api-keys": list(t.keys), "guaranteed": {"gpus": t.guaranteed}}
        for t in state.tenants
    ]
    value = {
        "version": state.version,
        "routes": routes,
        "services": [{"name": pool} for pool in sorted(state.pools)],
        "tenants": tenants,
        "limits": {"max-body-bytes": state.max_body_bytes},
    }
    return json.dumps(value).encode()


def write_job(
    work: WorkSpec, count: int, *, gang: bool, schedule: Schedule | None
) -> dict[str, Any]:
    """Return the body of a job of one step; its text tells executors what its tasks do."""
    need = work.need
    step: dict[str, Any] = {
        "count": count,
        "cpu": need.cpu,
        "mem-mb": need.memory_mb,
        "gpus": need.accelerators,
        "estimated-ms": work.work_s * 1000,
    }
    if gang:
        step["gang"] = True
    text = [list(need), work.work_s, work.members, work.kind.value]
    body: dict[str, Any] = {"spec": json.dumps(text), "steps": [step]}
    if schedule is not None:
        body["repeat-count"] = schedule.count
        body["start-at-ms"] = int(schedule.first_at * 1000)
        body["interval-ms"] = int(schedule.interval_s * 1000)
    return body


def read_work(text: str) -> WorkSpec:
    """Return what a task does, from its job's text."""
    need, work_s, members, kind = json.loads(text)
    return WorkSpec(Resources(*need), work_s, members, EndKind(kind))


# Settings


def make_settings(
    *,
    name: str,
    ip: str,
    front: str,
    readiness: str,
    store: str,
    peer_port: int,
    seeds: list[str],
    cores: float,
    grace_s: float,
    stop_s: float,
    drain_s: float,
    hold_s: float,
    apply_s: float,
    recovery_s: float,
) -> dict[str, Any]:
    """Return the fields from which the platform fills a host's settings."""
    return {
        "node": name,
        "ip": ip,
        "zone": "local-a",
        "zones": {"local-a": "local"},
        "listen": {"front": front, "readiness": readiness},
        "platform": {"address": store},
        "internal-ports": [peer_port, peer_port + 15],
        "seeds": seeds,
        "limits": {"cpu-share": cores, "cpu-cores": 2, "link-mbps": 1000.0, "memory-mb": 300},
        "bounds": {
            "max-hold-ms": int(hold_s * 1000),
            "stop-ms": int(stop_s * 1000),
            "gang-timeout-ms": 3000,
            "remote-factor": 3,
            "status_s": 120,
            "grace-s": grace_s,
            "drain-ms": int(drain_s * 1000),
            "config-apply-ms": int(apply_s * 1000),
            "recovery-s": recovery_s,
        },
    }


_SECTION = re.compile(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_GAP = re.compile(r"\{\{([\w.-]+)\|json\}\}")


def fill_template(template: str, fields: dict[str, Any]) -> str:
    """Return a template with its sections of single values and its gaps filled."""

    def find(path: str) -> Any:
        value: Any = fields
        for part in path.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    text = _SECTION.sub(lambda match: match[2] if find(match[1]) else "", template)
    return _GAP.sub(lambda match: json.dumps(find(match[1])), text)
