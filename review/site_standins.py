"""Stand-ins of the platform for the cases of the review, on loopback and the real clock.

One process plays the platform's store, the executors, the operator, the callers and the links
between all of them, as `PROTOCOL.md` describes them. The hosts are processes of their own, started
with the command of `deploy/system.toml`. Only the standard library is used.

Each host reaches the store, the executors and the other hosts through links of its own, so that a
case can cut one path and leave the others. An address that a host reads therefore is that of its
own link; `Network.translate` puts it in place, as the routing of a real network would.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
BROKEN, HELD, NOT_RUN = 1, 0, 2
"""Exit codes: the rule was broken, it held, the case couldn't run."""
PEER_PORT, FRONT_PORT, READINESS_PORT = 7000, 8521, 8523
SEED_PORT, STORE_PORT, EXECUTOR_PORT, CLAIM_PORT = 8526, 8524, 9000, 8500
FIRST_EXECUTOR = 10
START_TIMEOUT_S = 30.0
POLL_S = 0.02
HOST_NAME = "tills.example"
PREFIX = "/payout/"
KEY = "key-of-the-only-tenant"
POOL = "tip-settle"

Body = dict[str, Any]
Handler = Callable[[str, str, dict[str, str], Body], Awaitable[tuple[int, Body | None] | None]]


class CaseFailed(Exception):
    """The case could not run: the stand-ins or the start are at fault."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds of the site file `fopgap-sched.toml`, which the settings repeat."""

    max_hold_ms: int = 6_000
    stop_ms: int = 400
    gang_timeout_ms: int = 3_000
    heartbeat_s: float = 1.5
    grace_s: float = 6.0


class Record:
    """Writes what was sent, answered and run to `record.txt`, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass(frozen=True, slots=True)
class Network:
    """The addresses of 127.N.0.0/16; viewers and hosts are counted from 1, executors from 10."""

    number: int

    def host_ip(self, host: int) -> str:
        """Return the IP of a host."""
        return f"127.{self.number}.10.{host}"

    def peer(self, host: int) -> str:
        """Return where a host serves its peers."""
        return f"{self.host_ip(host)}:{PEER_PORT}"

    def peer_link(self, viewer: int, host: int) -> str:
        """Return where one host reaches another one."""
        return f"127.{self.number}.1{viewer}.{host}:{PEER_PORT}"

    def executor(self, executor: int) -> str:
        """Return where an executor serves."""
        return f"127.{self.number}.20.{executor}:{EXECUTOR_PORT}"

    def executor_link(self, viewer: int, executor: int) -> str:
        """Return where a host reaches an executor."""
        return f"127.{self.number}.2{viewer}.{executor}:{EXECUTOR_PORT}"

    def store(self, viewer: int) -> str:
        """Return the store's face for one host."""
        return f"127.{self.number}.30.{viewer}:{STORE_PORT}"

    def store_link(self, viewer: int) -> str:
        """Return where a host reaches the store."""
        return f"127.{self.number}.31.{viewer}:{STORE_PORT}"

    def translate(self, data: bytes, viewer: int) -> bytes:
        """Return data with the addresses by which a host reaches others; lengths stay the same."""

        def replace(match: re.Match[bytes]) -> bytes:
            kind, other, port = match[1], int(match[2]), int(match[3])
            if kind == b"2" and port == EXECUTOR_PORT:
                return self.executor_link(viewer, other).encode()
            if kind == b"1" and port == PEER_PORT:
                own = other == viewer
                return (self.peer(other) if own else self.peer_link(viewer, other)).encode()
            return match[0]

        pattern = rb"127\.%d\.([12])\d\.(\d+):(\d{4})" % self.number
        return re.sub(pattern, replace, data)


@contextmanager
def claim_network() -> Iterator[Network]:
    """Claim a loopback network that no other case uses: a datagram socket that receives nothing."""
    for number in range(60, 250):
        with (
            contextlib.closing(socket.socket(type=socket.SOCK_DGRAM)) as claim,
            contextlib.closing(socket.socket()) as probe,
        ):
            try:
                claim.bind((f"127.{number}.0.1", CLAIM_PORT))
                probe.bind((f"127.{number}.10.1", PEER_PORT))
            except OSError:
                continue
            probe.close()
            yield Network(number)
            return
    raise CaseFailed("no loopback network is free")


def split_address(address: str) -> tuple[str, int]:
    """Return the IP and the port of an address."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)


Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@dataclass(slots=True)
class Listener:
    """A listening address and its open connections."""

    address: str
    serve: Serve
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def open(self) -> Listener:
        """Listen."""
        self._server = await asyncio.start_server(self._serve_one, *split_address(self.address))
        return self

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass  # the other side ended, or the case is over
        finally:
            self._writers.discard(writer)
            writer.close()

    def close(self) -> None:
        """Refuse new connections and reset the open ones, as a port does that nobody serves."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def serve_http(address: str, handle: Handler) -> Listener:
    """Serve HTTP/1.1 with JSON bodies; a handler that returns None leaves the call unanswered."""

    async def serve_one(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            method, target, _ = head[0].split(" ", 2)
            pairs = (line.partition(":") for line in head[1:] if line)
            headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
            raw = await reader.readexactly(int(headers.get("content-length", "0")))
            answer = await handle(method, target, headers, json.loads(raw) if raw else {})
            if answer is None:
                await asyncio.sleep(3600)
                return
            status, body = answer
            data = b"" if body is None else json.dumps(body).encode()
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n".encode()
                + data
            )
            await writer.drain()

    return await Listener(address, serve_one).open()


@dataclass(slots=True)
class Link:
    """A path between two machines; while it is `cut`, bytes and new connections are held up."""

    listen: str
    target: str
    change_out: Callable[[bytes], bytes] | None = None
    change_back: Callable[[bytes], bytes] | None = None
    cut: bool = False

    async def serve(self) -> Listener:
        """Serve the link."""
        return await Listener(self.listen, self._carry).open()

    async def _carry(self, near: asyncio.StreamReader, near_out: asyncio.StreamWriter) -> None:
        await self._wait()
        far, far_out = await asyncio.open_connection(*split_address(self.target))
        try:
            pumps = [
                asyncio.ensure_future(self._pump(near, far_out, self.change_out)),
                asyncio.ensure_future(self._pump(far, near_out, self.change_back)),
            ]
            _, rest = await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            await self._wait()
            for pump in rest:
                pump.cancel()
        finally:
            far_out.close()

    async def _wait(self) -> None:
        while self.cut:
            await asyncio.sleep(POLL_S)

    async def _pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        change: Callable[[bytes], bytes] | None,
    ) -> None:
        try:
            while data := await self._read(source, change):
                await self._wait()
                sink.write(data)
                await sink.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass

    async def _read(
        self, source: asyncio.StreamReader, change: Callable[[bytes], bytes] | None
    ) -> bytes:
        """Return what came; between hosts a whole frame, since addresses in it are changed."""
        if change is None:
            return await source.read(65_536)
        head = await source.readexactly(4)
        return head + change(await source.readexactly(int.from_bytes(head, "big")))


@dataclass(slots=True)
class Item:
    """A key of the store."""

    value: bytes
    revision: int
    made: int
    lease: int


class Store:
    """The platform's metadata store."""

    def __init__(self, network: Network, record: Record) -> None:
        self._network = network
        self._record = record
        self.items: dict[str, Item] = {}
        self.revision = 1
        self._events: list[tuple[int, str, Item | None]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self.is_away = False
        self._changed = asyncio.Event()
        self._renewals = {number: asyncio.Event() for number in range(1, 10)}

    async def wait_renewal(self, viewer: int) -> None:
        """Wait until a host has just renewed its lease."""
        await self._renewals[viewer].wait()

    async def serve(self, viewer: int) -> Listener:
        """Serve one host's face."""

        async def handle(
            method: str, target: str, headers: dict[str, str], body: Body
        ) -> tuple[int, Body | None] | None:
            return await self._answer(viewer, method, target, body)

        return await serve_http(self._network.store(viewer), handle)

    async def expire(self) -> None:
        """End leases whose time is over, until cancelled; they wait while the store is away."""
        while True:
            if self.is_away:
                self._leases = {n: (ttl, u + POLL_S) for n, (ttl, u) in self._leases.items()}
            now = time.monotonic()
            for lease in [n for n, (_, until) in self._leases.items() if until <= now]:
                self._end_lease(lease)
            await asyncio.sleep(POLL_S)

    async def _answer(
        self, viewer: int, method: str, target: str, body: Body
    ) -> tuple[int, Body | None]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        name, _, number = parts.path.removeprefix("/heronthread/").partition("/")
        if (method, name) == ("GET", "kv-key"):
            item = self.items.get(query["tls-key"])
            shown = None if item is None else self._show(query["tls-key"], item, viewer)
            return (404, {"at": self.revision}) if shown is None else (200, shown)
        if (method, name) == ("GET", "kv-range"):
            return 200, self._list(query, viewer)
        if (method, name) == ("GET", "kv-watch"):
            return 200, await self._watch(query, viewer)
        if (method, name) == ("POST", "kv-txn"):
            return self._commit(body, viewer)
        if (method, name) == ("POST", "kv-lease"):
            ttl_s = body["ttl_ms"] / 1000
            self.revision += 1
            self._leases[self.revision] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": self.revision, "ttl_ms": body["ttl_ms"]}
        if name == "kv-keep":
            self._renewals[viewer].set()
            self._renewals[viewer] = asyncio.Event()
        return self._change_lease(method, int(number))

    def _change_lease(self, method: str, lease: int) -> tuple[int, Body | None]:
        if lease not in self._leases:
            return 404, {}
        ttl_s, _ = self._leases[lease]
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"lease": lease, "ttl_ms": int(ttl_s * 1000)}

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        keys = [key for key, item in self.items.items() if item.lease == lease]
        if keys:
            self.change({}, keys)

    def _show(self, key: str, item: Item, viewer: int) -> Body:
        value = self._network.translate(item.value, viewer)
        return {
            "tls-key": key,
            "value": base64.b64encode(value).decode(),
            "revision": item.revision,
            "made": item.made,
            "lease": item.lease,
        }

    def _list(self, query: dict[str, str], viewer: int) -> Body:
        prefix, after = query["path-prefix"], query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        shown = [self._show(key, self.items[key], viewer) for key in keys[:500]]
        return {"items": shown, "more": len(keys) > 500, "at": self.revision}

    async def _watch(self, query: dict[str, str], viewer: int) -> Body:
        prefix, after = query["path-prefix"], int(query["after"])
        until = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            found = [e for e in self._events if e[0] > after and e[1].startswith(prefix)]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                shown = [
                    {"tls-key": key, "revision": revision, "gone": True}
                    if item is None
                    else self._show(key, item, viewer)
                    for revision, key, item in found
                ]
                return {"events": shown, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _commit(self, body: Body, viewer: int) -> tuple[int, Body | None]:
        puts, removes = body.get("put", []), body.get("remove", [])
        for put in puts:
            if put["tls-key"].startswith(("op/", "servers/")):
                return 403, {}
            if put.get("lease") and put["lease"] not in self._leases:
                return 404, {}
        wanted = {row["tls-key"]: row["revision"] for row in body.get("if-revision", [])}
        found = {key: self.items.get(key) for key in wanted}
        if any((item.revision if item else 0) != wanted[key] for key, item in found.items()):
            items = [self._show(key, item, viewer) for key, item in found.items() if item]
            return 412, {"items": items}
        values = {
            put["tls-key"]: (base64.b64decode(put["value"]), put.get("lease", 0)) for put in puts
        }
        self.change(values, removes)
        return 200, {"revision": self.revision}

    def change(self, puts: dict[str, tuple[bytes, int]], removes: list[str]) -> None:
        """Make one change, in one revision."""
        self.revision += 1
        for key, (value, lease) in puts.items():
            known = self.items.get(key)
            made = known.made if known else self.revision
            self.items[key] = Item(value, self.revision, made, lease)
            self._events.append((self.revision, key, self.items[key]))
            if key.startswith(("cell/", "job/", "progress/")):
                self._record.note(f"store: {key} = {value.decode(errors='replace')[:160]}")
        for key in removes:
            if self.items.pop(key, None) is not None:
                self._events.append((self.revision, key, None))
                if key.startswith(("cell/", "job/", "progress/")):
                    self._record.note(f"store: {key} is gone")
        self._changed.set()
        self._changed = asyncio.Event()

    def find_owner(self) -> str:
        """Return the name of the host that owns the cell, empty if none does."""
        item = self.items.get("cell/0/owner")
        return json.loads(item.value)["host"] if item else ""


@dataclass(slots=True)
class Run:
    """One run at an executor; `ends_at` is when its work is done."""

    task: str
    number: int
    began_at: float
    ends_at: float


@dataclass(frozen=True, slots=True)
class SeenRun:
    """What an executor saw of one run, in seconds since the start."""

    executor: str
    task: str
    run: int
    began: float
    ended: float
    how: str


@dataclass(eq=False)
class Executor:
    """One life of an executor, which runs tasks that are no gangs; a spec is `ms=WORK`.

    It follows "Running tasks" of `PROTOCOL.md`: fencing tokens, one deadline for all that runs,
    numbered ends, and no run that is not above one stopped or ended there.
    """

    number: int
    name: str
    network: Network
    record: Record
    bounds: Bounds
    gpus: int = 8
    zone: str = "surco"
    state: str = "ready"
    listed: bool = True
    seq: int = 0
    token: int = 0
    deadline_ms: float = 0.0
    running: dict[str, Run] = field(default_factory=dict)
    ends: list[list[Any]] = field(default_factory=list)
    floors: dict[str, int] = field(default_factory=dict)
    seen: list[SeenRun] = field(default_factory=list)
    began: float = field(default_factory=time.monotonic)
    last_end: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    late_orders: list[tuple[float, Body]] = field(default_factory=list)
    born_ms: int = 0
    late_starts_s: float = 0.0

    @property
    def clock_ms(self) -> int:
        """The executor's own steady clock."""
        return int((time.monotonic() - self.began) * 1000) + 100_000

    def describe(self) -> bytes:
        """Return the entry in the store."""
        self.seq += 1
        entry = {
            "service": POOL,
            "address": self.network.executor(self.number),
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold-remaining-ms": 0,
            "seq": self.seq,
            "clock-ms": self.clock_ms,
            "capacity": {"cpu": 128_000, "mem-mb": 524_288, "gpus": self.gpus},
            "labels": ["a", "r1"],
        }
        return json.dumps(entry | self._tell_born()).encode()

    def _tell_born(self) -> Body:
        return {"born": self.born_ms} if self.born_ms else {}

    async def handle(
        self, method: str, target: str, headers: dict[str, str], body: Body
    ) -> tuple[int, Body | None] | None:
        """Answer one call."""
        operation = target.removeprefix("/heronthread/")
        expected = headers.get("expected-instance", self.name)
        if expected != self.name:
            return 421, {}
        if operation == "run-start" and self.late_starts_s:
            self._note(operation, body, f"no answer, carried out {self.late_starts_s:g} s late")
            self.late_orders.append((time.monotonic() + self.late_starts_s, body))
            return None
        return await self.obey(operation, body)

    async def obey(self, operation: str, body: Body) -> tuple[int, Body]:
        """Carry out an order, and return the answer."""
        token = int(body.get("fencing-token", 0))
        if token < self.token:
            self._note(operation, body, "409 fence")
            return 409, {"clock-ms": self.clock_ms, "reason": "fence"}
        self.token = token
        if operation == "run-start":
            return self._start(body)
        if operation == "run-stop":
            self._note(operation, body, "200")
            self._stop(body["task"], int(body["run"]))
            return 200, {"clock-ms": self.clock_ms}
        return await self._hold(body)

    def _note(self, operation: str, body: Body, answer: str) -> None:
        named = f"{body.get('task', '')} run {body.get('run', '')}"
        token = body.get("fencing-token", 0)
        self.record.note(f"{self.name}: {operation} {named} token {token} -> {answer}")

    def _extend(self, deadline_ms: float) -> None:
        longest = self.clock_ms + self.bounds.max_hold_ms
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest))

    def _start(self, body: Body) -> tuple[int, Body]:
        task, number = body["task"], int(body["run"])
        reason = self._find_refusal(task, number, body["deadline-ms"])
        if reason != "late":
            self._extend(body["deadline-ms"])
        if reason:
            self._note("run-start", body, f"409 {reason}")
            return 409, {"clock-ms": self.clock_ms, "reason": reason}
        known = self.running.get(task)
        if known is None:
            work_s = float(re.search(r"ms=(\d+)", body["spec"])[1]) / 1000  # type: ignore[index]
            now = self.record.now()
            self.running[task] = Run(task, number, now, now + work_s)
            self._note("run-start", body, "200, begins")
        return 200, {"clock-ms": self.clock_ms}

    def _find_refusal(self, task: str, number: int, deadline_ms: float) -> str:
        known = self.running.get(task)
        if number <= self.floors.get(task, 0) or (known is not None and number < known.number):
            return "old"
        if known is not None:
            return "" if known.number == number else "old"
        if deadline_ms <= self.clock_ms:
            return "late"
        return "room" if self.running else ""

    def _stop(self, task: str, number: int) -> None:
        self.floors[task] = max(number, self.floors.get(task, 0))
        known = self.running.get(task)
        if known is not None and known.number <= number:
            self._end(known, "stopped")

    def _end(self, run: Run, how: str) -> None:
        del self.running[run.task]
        self.floors[run.task] = max(run.number, self.floors.get(run.task, 0))
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.number, how, ""])
        self._see(run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def _see(self, run: Run, how: str) -> None:
        now = self.record.now()
        self.seen.append(SeenRun(self.name, run.task, run.number, run.began_at, now, how))
        self.record.note(f"{self.name}: {run.task} run {run.number} ends {how}")

    async def _hold(self, body: Body) -> tuple[int, Body]:
        if "deadline-ms" in body:
            self._extend(body["deadline-ms"])
        seen = int(body.get("last-seen", 0))
        self.ends = [end for end in self.ends if end[0] > seen]
        if body.get("wait-ms") and not self.ends:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), body["wait-ms"] / 1000)
        now = self.record.now()
        running = [
            [
                run.task,
                run.number,
                "",
                int(100 * (now - run.began_at) / (run.ends_at - run.began_at)),
            ]
            for run in self.running.values()
        ]
        report = {"clock-ms": self.clock_ms, "running": running, "ended-at": self.ends}
        return 200, report | self._tell_born()

    def tick(self) -> None:
        """End what is done, and everything once the holding time is over."""
        is_over = self.clock_ms >= self.deadline_ms
        for run in list(self.running.values()):
            if self.record.now() >= run.ends_at:
                self._end(run, "done")
            elif is_over:
                self._end(run, "lapsed")

    async def obey_late(self) -> None:
        """Carry out the late orders whose time has come."""
        now = time.monotonic()
        due = [body for at, body in self.late_orders if at <= now]
        self.late_orders = [(at, body) for at, body in self.late_orders if at > now]
        for body in due:
            await self.obey("run-start", body)

    def crash(self) -> None:
        """End this life: all that runs is lost, and nothing is said."""
        for run in list(self.running.values()):
            del self.running[run.task]
            self._see(run, "lost in a crash")


def fill_template(text: str, fields: Body) -> str:
    """Fill the template of the settings as `DEPLOY.md` describes: gaps and sections."""

    def find(path: str) -> Any:
        value: Any = fields
        for part in path.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def fill_section(match: re.Match[str]) -> str:
        return match[2] if find(match[1]) else ""

    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", fill_section, text, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)\|json\}\}", lambda m: json.dumps(find(m[1])), text)


@dataclass
class Site:
    """A small deployment: hosts as processes, and stand-ins for all else.

    `zones` names the zone of each host, from host 1 on. With `says_born`, executors say when they
    began, and keep their ids over restarts.
    """

    folder: Path
    record: Record
    network: Network
    zones: dict[int, str]
    says_born: bool = False
    bounds: Bounds = field(default_factory=Bounds)
    store: Store = field(init=False)
    executors: dict[int, Executor] = field(default_factory=dict)
    lives: list[Executor] = field(default_factory=list)
    links: dict[tuple[str, str], Link] = field(default_factory=dict)
    processes: dict[int, asyncio.subprocess.Process] = field(default_factory=dict)
    _listeners: dict[str, Listener] = field(default_factory=dict)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.store = Store(self.network, self.record)

    async def open(self, executors: int) -> None:
        """Start the stand-ins."""
        for viewer in self.zones:
            self._listeners[f"store{viewer}"] = await self.store.serve(viewer)
            link = Link(self.network.store_link(viewer), self.network.store(viewer))
            await self._add_link(f"h{viewer}", "store", link)
            for peer in self.zones:
                if peer != viewer:
                    await self._link_peer(viewer, peer)
        self.configure(1)
        for number in range(FIRST_EXECUTOR, FIRST_EXECUTOR + executors):
            await self.add_executor(number)
        self._tasks += [
            asyncio.ensure_future(self.store.expire()),
            asyncio.ensure_future(self._play_executors()),
        ]

    async def _link_peer(self, viewer: int, peer: int) -> None:
        network = self.network
        link = Link(
            network.peer_link(viewer, peer),
            network.peer(peer),
            lambda data: network.translate(data, peer),
            lambda data: network.translate(data, viewer),
        )
        await self._add_link(f"h{viewer}", f"h{peer}", link)

    async def _add_link(self, source: str, target: str, link: Link) -> None:
        self.links[source, target] = link
        self._listeners[f"{source}>{target}"] = await link.serve()

    async def add_executor(self, number: int) -> Executor:
        """Start an executor."""
        born_ms = int(time.time() * 1000) if self.says_born else 0
        name = f"i-{number}"
        state = Executor(number, name, self.network, self.record, self.bounds, born_ms=born_ms)
        self.executors[number] = state
        self.lives.append(state)
        address = self.network.executor(number)
        self._listeners[name] = await serve_http(address, state.handle)
        for viewer in self.zones:
            link = Link(self.network.executor_link(viewer, number), address)
            await self._add_link(f"h{viewer}", f"e{number}", link)
        self._write_entry(state)
        self.record.note(f"{name}: joins at {address}")
        return state

    def configure(self, version: int) -> None:
        """Write a configuration as the operator does."""
        route = {
            "name": "till-payout",
            "host": HOST_NAME,
            "path-prefix": PREFIX,
            "service": POOL,
            "priority": 1,
            "max-attempts": 4,
            "stretch": 3.0,
            "target-latency-ms": 250,
            "public": False,
        }
        value = {
            "version": version,
            "routes": [route],
            "services": [{"name": POOL, "enforces-capacity": True}],
            "tenants": [{"name": "t1", "api-keys": [KEY], "guaranteed": {"gpus": 0}}],
            "limits": {"max-body-bytes": 262_144},
        }
        self.store.change({"op/config": (json.dumps(value).encode(), 0)}, [])

    def _write_entry(self, state: Executor) -> None:
        self.store.change({f"servers/{state.name}": (state.describe(), 0)}, [])

    async def _play_executors(self) -> None:
        written = time.monotonic()
        while True:
            for state in list(self.executors.values()):
                state.tick()
                await state.obey_late()
            if time.monotonic() - written >= self.bounds.heartbeat_s:
                written = time.monotonic()
                for state in self.executors.values():
                    if state.listed:
                        self._write_entry(state)
            await asyncio.sleep(POLL_S)

    async def restart_executor(self, number: int, away_s: float) -> None:
        """Let an executor crash and start again under its id; orders that are late reach it."""
        old = self.executors.pop(number)
        self.record.note(f"{old.name}: crashes")
        old.crash()
        self._listeners.pop(old.name).close()
        await asyncio.sleep(away_s)
        born_ms = int(time.time() * 1000)
        state = Executor(number, old.name, self.network, self.record, self.bounds, born_ms=born_ms)
        state.listed, state.late_orders = old.listed, old.late_orders
        self.executors[number] = state
        self.lives.append(state)
        self._listeners[state.name] = await serve_http(self.network.executor(number), state.handle)
        self.record.note(f"{state.name}: starts again")

    def cut_from_store(self, number: int) -> None:
        """Cut an executor off from the store: its entry goes after three heartbeats."""
        state = self.executors[number]
        state.listed = False
        self.record.note(f"{state.name}: cut off from the store")
        self._tasks.append(asyncio.ensure_future(self._drop_entry(state)))

    def withdraw_entry(self, number: int) -> None:
        """Let an executor leave unannounced: its entry goes, and it serves on."""
        state = self.executors[number]
        state.listed = False
        self.store.change({}, [f"servers/{state.name}"])
        self.record.note(f"{state.name}: its entry goes, unannounced, and it serves on")

    async def _drop_entry(self, state: Executor) -> None:
        await asyncio.sleep(3 * self.bounds.heartbeat_s)
        self.store.change({}, [f"servers/{state.name}"])
        self.record.note(f"{state.name}: its entry goes")

    # Hosts

    async def start_host(self, host: int) -> None:
        """Start a host with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        role = next(iter(deploy["roles"].values()))
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        path = self.folder / f"h{host}.json"
        path.write_text(fill_template(template, self._make_fields(host)), encoding="utf-8")
        environment = {
            "PATH": f"{Path(sys.executable).parent}:{os.environ.get('PATH', '')}",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "HERONTHREAD_NODE_FILE": str(path),
        }
        with (self.folder / f"h{host}.log").open("ab") as log:
            self.processes[host] = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.note(f"h{host}: starts")

    def _make_fields(self, host: int) -> Body:
        ip, bounds = self.network.host_ip(host), self.bounds
        seeds = [peer for peer in self.zones if peer != host][:3]
        return {
            "node": f"h{host}",
            "ip": ip,
            "zone": self.zones[host],
            "zones": dict.fromkeys([*self.zones.values(), "surco"], "lima"),
            "listen": {
                "front": f"{ip}:{FRONT_PORT}",
                "readiness": f"{ip}:{READINESS_PORT}",
            },
            "platform": {"address": self.network.store_link(host)},
            "internal-ports": [PEER_PORT, PEER_PORT + 15],
            "seeds": [
                f"{split_address(self.network.peer_link(host, p))[0]}:{SEED_PORT}" for p in seeds
            ],
            "limits": {
                "cpu-share": 0.537,
                "cpu-cores": 2,
                "memory-mb": 300,
                "link-mbps": 1000.0,
            },
            "bounds": {
                "max-hold-ms": bounds.max_hold_ms,
                "stop-ms": bounds.stop_ms,
                "gang-timeout-ms": bounds.gang_timeout_ms,
                "remote-factor": 3,
                "status_s": 120,
                "grace-s": bounds.grace_s,
                "drain-ms": 2_000,
            },
        }

    async def wait_ready(self, host: int) -> None:
        """Wait until a host calls itself ready."""
        address = f"{self.network.host_ip(host)}:{READINESS_PORT}"

        async def is_ready() -> bool:
            status, _ = await call(address, "GET", "/heronthread/ready", timeout_s=1.0)
            return status == 200

        await wait_until(is_ready, f"h{host} was not ready")

    def set_store_away(self, away: bool) -> None:
        """Let the store answer no host, or answer them again."""
        self.store.is_away = away
        self.set_cut([(f"h{host}", "store") for host in self.zones], away)

    def send_signal(self, host: int, number: signal.Signals) -> None:
        """Send a signal to a host's process."""
        self.record.note(f"h{host}: {number.name}")
        self.processes[host].send_signal(number)

    def set_cut(self, pairs: list[tuple[str, str]], cut: bool) -> None:
        """Cut or mend the links of some pairs of machines, both ways."""
        for one, other in pairs:
            for key in ((one, other), (other, one)):
                if key in self.links:
                    self.links[key].cut = cut
        names = " ".join(f"{one}-{other}" for one, other in pairs)
        self.record.note(f"{'cut' if cut else 'mended'}: {names}")

    async def close(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in self.processes.values():
            await process.wait()
        for listener in self._listeners.values():
            listener.close()

    # What was seen

    def list_runs(self) -> list[SeenRun]:
        """Return every run at every executor; those that go on end now."""
        now = self.record.now()
        going = (
            SeenRun(state.name, run.task, run.number, run.began_at, now, "goes on")
            for state in self.executors.values()
            for run in state.running.values()
        )
        return [run for state in self.lives for run in state.seen] + list(going)


async def wait_until(
    check: Callable[[], Awaitable[bool]], why: str, timeout_s: float = START_TIMEOUT_S
) -> None:
    """Wait until a check is true; raises `CaseFailed` if that takes too long."""
    until = time.monotonic() + timeout_s
    while not await check():
        if time.monotonic() > until:
            raise CaseFailed(f"{why} within {timeout_s:g} s")
        await asyncio.sleep(0.05)


async def call(
    address: str,
    method: str,
    target: str,
    body: Body | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, Body]:
    """Make one HTTP call on a connection of its own; status 0 if there is no answer."""
    data = b"" if body is None else json.dumps(body).encode()
    sent = {"Host": HOST_NAME, "Content-Length": str(len(data)), "Connection": "close"}
    sent |= headers or {}
    head = "".join(f"{name}: {value}\r\n" for name, value in sent.items())
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*split_address(address))
            writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + data)
            head_lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            lengths = [x for x in head_lines if x.lower().startswith("content-length:")]
            rest = await reader.readexactly(int(lengths[0].split(":")[1])) if lengths else b""
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()
    return int(head_lines[0].split()[1]), json.loads(rest) if rest else {}


@dataclass
class Caller:
    """A client of the only tenant; each call goes to a host that is named."""

    site: Site

    async def call(
        self, host: int, method: str, job: str, body: Body | None = None
    ) -> tuple[int, Body]:
        """Make one call, and write it down."""
        address = f"{self.site.network.host_ip(host)}:{FRONT_PORT}"
        headers = {"Authorization": f"Bearer {KEY}", "Deadline-Ms": "3000"}
        answer = await call(address, method, f"{PREFIX}{job}", body, headers)
        self.site.record.note(f"caller: {method} {job} at h{host} -> {answer[0]} {answer[1]}")
        return answer

    async def submit(self, host: int, job: str, work_ms: int, **step: Any) -> None:
        """Hand a job of one step in, once."""
        steps = [{"count": 1, "cpu": 1000, "mem-mb": 1000, "gpus": 8, "estimated-ms": work_ms}]
        steps[0] |= step
        status, _ = await self.call(host, "POST", job, {"spec": f"ms={work_ms}", "steps": steps})
        if status != 200:
            raise CaseFailed(f"job {job} was not taken: {status}")


def find_overlaps(runs: list[SeenRun]) -> Iterator[tuple[SeenRun, SeenRun]]:
    """Yield two runs of one task that were under way at once."""
    ordered = sorted(runs, key=lambda run: run.began)
    for number, first in enumerate(ordered):
        for second in ordered[number + 1 :]:
            if first.task == second.task and second.began < first.ended:
                yield first, second


@asynccontextmanager
async def open_site(
    record: Record, zones: dict[int, str], executors: int, *, says_born: bool = False
) -> AsyncIterator[Site]:
    """Start a site with one owner, host 1, and all other hosts ready.

    With `says_born`, executors tell when they began, and keep their ids over restarts.
    """
    with (
        tempfile.TemporaryDirectory(prefix="heronthread-review-") as folder,
        claim_network() as network,
    ):
        site = Site(Path(folder), record, network, zones, says_born)
        try:
            await site.open(executors)
            await site.start_host(1)

            async def is_owned() -> bool:
                return site.store.find_owner() == "h1"

            await wait_until(is_owned, "h1 did not take the cell")
            for host in list(zones)[1:]:
                await site.start_host(host)
            for host in zones:
                await site.wait_ready(host)
            await asyncio.sleep(3.0)
            yield site
        finally:
            await site.close()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for log in Path(folder).glob("*.log"):
                    (Path(keep) / log.name).write_bytes(log.read_bytes())


Play = Callable[[Record, bool], Awaitable[bool]]


def run_case(folder: Path, play: Play) -> int:
    """Play a case, with the disruption unless TROUBLE is 0; return the exit code.

    `play` returns whether the rule held.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"the case with the disruption: {trouble}")
    try:
        held = asyncio.run(asyncio.wait_for(play(record, trouble), 115.0))
    except (CaseFailed, OSError, TimeoutError, KeyboardInterrupt) as error:
        record.note(f"could not run: {error!r}")
        return NOT_RUN
    else:
        record.note("the rule held" if held else "the rule was broken")
        return HELD if held else BROKEN
    finally:
        record.close()
