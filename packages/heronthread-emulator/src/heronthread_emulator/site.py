"""A whole small site in one process: store, executors, and hosts that can be killed."""

from __future__ import annotations

import json
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Collection, Iterable, Mapping
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import TypeVar

import trio
from heronthread_dispatch.configuring import ConfigurationFormat
from heronthread_dispatch.entries import DirectoryFormat, EntryFault, InvalidEntry
from heronthread_dispatch.host import Host, HostParts, HostSettings
from heronthread_dispatch.host_lease import Strength
from heronthread_dispatch.intake import IntakeOutcome
from heronthread_dispatch.model import (
    ApprovalTerms,
    DesiredState,
    Executor,
    JobSpec,
    Queue,
    Resources,
    Schedule,
    StepSpec,
    Tenant,
)
from heronthread_dispatch.owned_cell import Timing
from heronthread_dispatch.owner import JobView
from heronthread_dispatch.peer import PeerUnreachable
from heronthread_dispatch.policy import DEFAULT_POLICY, Policy
from heronthread_dispatch.record import MALFORMED, JobRecord, JobStatus
from heronthread_dispatch.wire.ttypes import Frame

from .approver import EmulatedApprover
from .executors import EmulatedExecutor, EmulatedExecutors, WorkSpec
from .paths import CutPaths, ExecutorPaths, PeerPaths
from .spans import Span
from .store import EmulatedStore, StoreView

CAPACITY = Resources(64_000, 262_144, 8)
POOL = "pool"
APPROVAL = ApprovalTerms(0.2, 0.01, 5.0)
PEER_LATENCY_S = 0.001
EVACUATIONS = "configuration/evacuate/"
ENTRIES = "executors/"
ENTRY_STATES = ("ready", "draining")
TROUBLE_LOOK_S = 0.05
EPOCH_MS = 1_796_000_000_000
"""The Unix ms at which the emulated clock begins."""
BACK_AFTER_S = 3.3
"""After a crash, until another instance of the executor is there."""
SITE_TIMING = Timing(executor_lease_s=6.0, stop_s=0.1, gang_timeout_s=3.0)
ENTRY_LAPSES_S = 4.5
"""Three heartbeats of silence, after which an executor's entry goes."""

Answer = TypeVar("Answer")
Handler = Callable[[Frame], Awaitable[Frame]]


def make_queue(name: str, priority: int = 1, approval: ApprovalTerms | None = None) -> Queue:
    """Return a queue with ordinary terms."""
    return Queue(name, "host", f"/{name}/", POOL, priority, 4, 3.0, 1.0, False, approval)


def make_state(version: int = 1, guaranteed: int = 16, pools: Iterable[str] = ()) -> DesiredState:
    """Return a configuration with an urgent and an ordinary queue, which may name more pools."""
    queues = [make_queue("urgent", 0), make_queue("ordinary", 1), make_queue("batch", 2)]
    queues.append(make_queue("approved", 1, APPROVAL))
    tenants = [
        Tenant("first", ("key-1",), guaranteed),
        Tenant("second", ("key-2",), guaranteed),
    ]
    return DesiredState.build(version, queues, tenants, 262_144, pools)


def _parse_state(data: bytes) -> DesiredState | None:
    value = json.loads(data)
    return make_state(value["version"], value["guaranteed"], value.get("pools", ()))


def parse_entry(executor_id: str, data: bytes) -> Executor | InvalidEntry:
    """Return the executor that an emulated entry names, or why it names none."""
    try:
        value = json.loads(data)
        if value["state"] not in ENTRY_STATES:
            return InvalidEntry(EntryFault.UNKNOWN_STATE)
        return Executor(
            executor_id,
            value.get("address", executor_id),
            value["pool"],
            value["zone"],
            value["rack"],
            ("kind", value["rack"]),
            Resources(*value["capacity"]),
            value["leaves_in_s"],
            value["born"],
        )
    except KeyError as error:
        return InvalidEntry(EntryFault.MISSING_FIELD, str(error))
    except MALFORMED as error:
        return InvalidEntry(EntryFault.UNREADABLE, repr(error))


def _write_entry(executor: Executor) -> bytes:
    value = {
        "state": "draining" if executor.is_draining else "ready",
        "pool": executor.pool,
        "zone": executor.zone,
        "rack": executor.rack,
        "capacity": list(executor.capacity),
        "leaves_in_s": executor.leaves_in_s,
        "born": executor.born,
    }
    return json.dumps(value).encode()


class EmulatedPeers:
    """Hosts that reach each other in process; `dead` ones do not answer."""

    def __init__(self) -> None:
        self.handlers: dict[str, Handler] = {}
        self.cut: set[str] = set()

    async def call(self, address: str, frame: Frame, timeout_s: float) -> Frame | PeerUnreachable:
        """Send one request and return its reply."""
        await trio.sleep(PEER_LATENCY_S)
        handler = self.handlers.get(address)
        if handler is None:
            return PeerUnreachable(f"{address}: refused", refused=True)
        if address in self.cut:
            await trio.sleep(timeout_s)
            return PeerUnreachable(f"{address}: silent")
        with trio.move_on_after(timeout_s):
            return await handler(frame)
        return PeerUnreachable(f"{address}: silent")


class EmulatedSite:
    """The site; hosts run in their own cancel scopes, so that each can be killed alone."""

    def __init__(self, nursery: trio.Nursery, policy: Policy = DEFAULT_POLICY) -> None:
        self.nursery = nursery
        self.policy = policy
        self.timing = SITE_TIMING
        self.strengths: dict[str, Strength] = {}
        self.store = EmulatedStore()
        self.executors = EmulatedExecutors()
        self.executors.on_crash = self.crash_executor
        self.back_after_s = BACK_AFTER_S
        self.crashes_dark = False
        self.keeps_ids = False
        self.keeps_addresses = True
        self.said_after_s = 0.0
        self.says_born = True
        self._lives = 0
        self.pools: tuple[str, ...] = ()
        self.peers = EmulatedPeers()
        self.paths = CutPaths()
        self.approver = EmulatedApprover(find_born=self._find_born)
        self.hosts: dict[str, Host] = {}
        self.views: dict[str, StoreView] = {}
        self.evacuated: list[Span] = []
        self.foreign: list[Span] = []
        self.trouble: list[float] = []
        self._scopes: dict[str, trio.CancelScope] = {}
        self._nurseries: dict[str, trio.Nursery] = {}

    @classmethod
    @asynccontextmanager
    async def open(
        cls,
        *,
        hosts: int = 2,
        executors: int = 4,
        racks: int = 2,
        zones: int = 1,
        policy: Policy = DEFAULT_POLICY,
        strengths: Mapping[str, Strength] | None = None,
        says_born: bool = True,
        timing: Timing = SITE_TIMING,
    ) -> AsyncIterator[EmulatedSite]:
        """Run a site for as long as the context is open; hosts are equal unless `strengths`.

        Executors are spread over racks and failure domains (`z0`, `z1` ...) in turn. Unless
        `says_born` nobody says when an instance began, and each instance has an id of its own.
        """
        async with trio.open_nursery() as nursery:
            site = cls(nursery, policy)
            site.timing = timing
            site.says_born = says_born
            site.strengths.update(strengths or {})
            nursery.start_soon(site.store.run)
            nursery.start_soon(site.executors.run)
            nursery.start_soon(site._note_trouble)
            site.configure(1)
            for number in range(executors):
                zone = f"z{number % zones}" if zones > 1 else "zone"
                site.add_executor(f"e{number}", f"r{number % racks}", zone)
            for number in range(hosts):
                site.start_host(f"h{number}")
            yield site
            nursery.cancel_scope.cancel()

    def configure(self, version: int, guaranteed: int = 16) -> None:
        """Put a configuration into the store, as the operator does."""
        value = {"version": version, "guaranteed": guaranteed, "pools": list(self.pools)}
        self.store.put("configuration", json.dumps(value).encode())

    def evacuate(self, domain: str, value: bytes = b"{}") -> None:
        """Ask to evacuate a failure domain, as the operator does."""
        self.store.put(EVACUATIONS + domain, value)
        self.evacuated.append(Span(domain, trio.current_time()))

    def take_back(self, domain: str) -> None:
        """Take an evacuation back, as the operator does."""
        self.store.remove(EVACUATIONS + domain)
        for span in self.evacuated:
            if span.name == domain:
                span.until = min(span.until, trio.current_time())

    async def _note_trouble(self) -> None:
        """Note when hosts could not follow the store, until cancelled."""
        while True:
            if self.store.is_down or any(v.is_cut or v.is_silent for v in self.views.values()):
                self.trouble.append(trio.current_time())
            await trio.sleep(TROUBLE_LOOK_S)

    def add_executor(self, name: str, rack: str, zone: str = "zone") -> EmulatedExecutor:
        """Start an executor and list it."""
        place = EmulatedExecutor(self._make_executor(name, rack, zone))
        self.executors.by_id[name] = place
        self.say(name)
        return place

    def add_full_executors(self, count: int) -> None:
        """Start executors without room, which take no work but answer each owner."""
        for number in range(count):
            self.add_executor(f"full{number}", "r0")
            self.resize_executor(f"full{number}", Resources())

    def _find_born(self, name: str) -> int:
        return self.executors.by_id[name].executor.born

    def _make_executor(self, name: str, rack: str, zone: str) -> Executor:
        born = EPOCH_MS + int(trio.current_time() * 1000) if self.says_born else 0
        return Executor(name, name, POOL, zone, rack, ("kind", rack), CAPACITY, born=born)

    def say(self, name: str) -> None:
        """Let an executor say what it is."""
        for span in self.foreign:
            if span.name == name:
                span.until = min(span.until, trio.current_time())
        self.store.put(ENTRIES + name, _write_entry(self.executors.by_id[name].executor))

    def write_foreign(self, name: str, value: bytes) -> Span:
        """Put something else under an executor's id, as another writer does."""
        place = self.executors.by_id.get(name)
        born = place.executor.born if place is not None else 0
        self.store.put(ENTRIES + name, value.replace(b"BORN", str(born).encode()))
        span = Span(name, trio.current_time())
        self.foreign.append(span)
        return span

    def write_back(self, span: Span) -> None:
        """Let an executor say again what it is, if it still is; else its entry goes."""
        place = self.executors.by_id.get(span.name)
        if place is None or place.is_gone:
            self.store.remove(ENTRIES + span.name)
        elif span.until == float("inf"):
            self.say(span.name)

    def drain_executor(self, name: str, leaves_in_s: float) -> None:
        """Say that an executor leaves."""
        place = self.executors.by_id[name]
        place.executor = replace(place.executor, leaves_in_s=leaves_in_s)
        self.say(name)

    def resize_executor(self, name: str, capacity: Resources, said_after_s: float = 0.0) -> None:
        """Give an executor another capacity, which it says of itself some time later."""
        place = self.executors.by_id[name]
        place.executor = replace(place.executor, capacity=capacity)

        async def say() -> None:
            await trio.sleep(said_after_s)
            if ENTRIES + name in self.store.items:
                self.say(name)

        self.nursery.start_soon(say)

    def remove_executor(self, name: str) -> None:
        """End an executor's instance; its address answers no more."""
        self.executors.crash(name)
        self.executors.by_id[name].is_cut = True
        self.store.remove(ENTRIES + name)

    def crash_executor(self, name: str) -> None:
        """End an executor's instance at once; another instance of it starts some seconds later.

        Meanwhile its address takes no connection; after that it answers as the other instance.
        With `crashes_dark` its machine went with it: the address says nothing more, the other
        instance has another one. With `keeps_ids` the other instance has the same id and address;
        unless `keeps_addresses` it has another address, and the one before takes no connection any
        more.
        """
        if self.keeps_ids:
            self.restart_executor(name, self.back_after_s)
            return
        self.executors.crash(name)
        place = self.executors.by_id[name]
        place.is_down, place.is_cut = not self.crashes_dark, self.crashes_dark
        self.nursery.start_soon(self._bring_back, name)

    def restart_executor(self, name: str, back_after_s: float) -> None:
        """End an executor's instance at once; it starts again under its id some time later.

        It holds and knows nothing of before; ends are numbered from 1 and its clock begins at 0.
        What it is it says `said_after_s` later.
        """
        place = self.executors.by_id[name]
        self.executors.crash(name)
        place.is_down, place.is_cut = True, False
        self.nursery.start_soon(self._start_again, place, back_after_s)

    async def _start_again(self, place: EmulatedExecutor, back_after_s: float) -> None:
        left = place.executor
        with trio.move_on_after(back_after_s):
            await trio.sleep(ENTRY_LAPSES_S)
            self.store.remove(ENTRIES + left.id)
            await trio.sleep_forever()
        if self.executors.by_id[left.id] is not place:
            return
        instance = EmulatedExecutor(
            self._make_executor(left.id, left.rack, left.zone),
            place.stop_s,
            clock_offset_s=-trio.current_time(),
        )
        self.executors.by_id[left.id] = instance
        await trio.sleep(self.said_after_s)
        if self.executors.by_id[left.id] is instance and not instance.is_gone:
            self.say(left.id)

    async def _bring_back(self, name: str) -> None:
        place = self.executors.by_id[name]
        await trio.sleep(self.back_after_s)
        place.is_down &= not self.keeps_addresses
        self._lives += 1
        executor = place.executor
        self.add_executor(f"{name.split('+')[0]}+{self._lives}", executor.rack, executor.zone)
        await trio.sleep(max(0.0, ENTRY_LAPSES_S - self.back_after_s))
        self.store.remove(ENTRIES + name)

    async def wait_for_living(self) -> list[str]:
        """Return the executors that are up, once there is any: all may be starting again."""
        while True:
            names = [n for n, place in self.executors.by_id.items() if not place.is_gone]
            if names:
                return sorted(names)
            await trio.sleep(0.05)

    def store_view(self) -> StoreView:
        """Return a way to the store without faults."""
        return StoreView(self.store, self.nursery)

    def start_host(self, name: str) -> Host:
        """Start a host."""
        view = self.store_view()
        parts = HostParts(
            view,
            ExecutorPaths(name, self.executors, self.paths),
            PeerPaths(name, self.peers, self.paths),
            ConfigurationFormat("configuration", _parse_state, EVACUATIONS),
            DirectoryFormat(ENTRIES, parse_entry),
            trio.current_time,
            self.approver,
        )
        host = Host(self._make_settings(name), parts)
        self.hosts[name] = host
        self.views[name] = view
        self.peers.handlers[name] = host.handle
        self.nursery.start_soon(self._run_host, name, host)
        return host

    def _make_settings(self, name: str) -> HostSettings:
        return HostSettings(
            name,
            name,
            strength=self.strengths.get(name, Strength()),
            timing=self.timing,
            policy=self.policy,
        )

    async def _run_host(self, name: str, host: Host) -> None:
        with trio.CancelScope() as scope:
            self._scopes[name] = scope
            async with trio.open_nursery() as nursery:
                self._nurseries[name] = nursery
                await host.run()

    async def accept(self, host: Host, record: JobRecord, limit_s: float) -> IntakeOutcome | None:
        """Hand a job in at a host; None if the host was killed or did not answer in time."""
        return await self._ask(host, lambda: host.requests.accept(record, limit_s), limit_s)

    async def cancel(
        self, host: Host, job: str, tenant: str, limit_s: float
    ) -> IntakeOutcome | None:
        """Cancel a job at a host; None if the host was killed or did not answer in time."""
        return await self._ask(host, lambda: host.requests.cancel(job, tenant, limit_s), limit_s)

    async def ask_state(self, host: Host, job: str, limit_s: float) -> JobStatus | None:
        """Ask a host for a job's state; None if it was killed or can't tell it in time."""
        found = await self._ask(host, lambda: host.requests.find_job(job), limit_s)
        return found.status if isinstance(found, JobView) else None

    async def _ask(
        self, host: Host, call: Callable[[], Awaitable[Answer]], limit_s: float
    ) -> Answer | None:
        """Make a call within its host, so that it ends there if the host is killed."""
        name = host.settings.name
        answers: list[Answer] = []
        answered = trio.Event()

        async def ask() -> None:
            answers.append(await call())
            answered.set()

        if self.hosts.get(name) is host and name in self._nurseries:
            self._nurseries[name].start_soon(ask)
        with trio.move_on_after(limit_s + 1.0):
            await answered.wait()
        return answers[0] if answers else None

    def kill_host(self, name: str) -> None:
        """Kill a host: it says nothing more to anybody."""
        self._scopes[name].cancel()
        self.peers.handlers.pop(name, None)
        del self.hosts[name]

    def partition(self, names: Collection[str]) -> None:
        """Cut some hosts off together from the store and from all other hosts."""
        self.paths.cut(names, self.hosts.keys() - set(names))
        for name in names:
            self.views[name].is_silent = True

    def rejoin(self, names: Collection[str]) -> None:
        """End a partition."""
        self.paths.mend(names, self.hosts.keys() - set(names))
        for name in names:
            self.views[name].is_silent = False

    def owner_name(self) -> str | None:
        """Return the host that decides now."""
        for name, host in self.hosts.items():
            if host.owner is not None and host.owner.is_ready:
                return name
        return None

    async def find_status(self, job: str) -> JobStatus | None:
        """Return what callers are told of a job, by the first host that can tell."""
        for host in list(self.hosts.values()):
            found = await host.requests.find_job(job)
            if isinstance(found, JobView):
                return found.status
        return None

    def any_host(self, source: random.Random) -> Host | None:
        """Return one of the hosts that take callers, if there is any."""
        ready = [host for _, host in sorted(self.hosts.items()) if host.is_ready]
        return source.choice(ready) if ready else None

    def mend(self) -> None:
        """End every fault that is not over."""
        self.store.is_down = self.store.lapses = False
        for view in self.views.values():
            view.is_cut = view.is_silent = False
            view.lose_answers = 0
        for place in self.executors.by_id.values():
            place.is_cut = place.is_gone
            place.fails_all = place.stands_still = False
            place.slowness = 1.0
            place.lose_answers = place.lose_starts = place.shed = 0

    async def wait_for_owner(self, limit_s: float = 30.0) -> str:
        """Wait until a host decides; raises `trio.TooSlowError` after `limit_s`."""
        with trio.fail_after(limit_s):
            while True:
                name = self.owner_name()
                if name is not None:
                    return name
                await trio.sleep(0.05)

    def make_job(
        self,
        job_id: str,
        *,
        queue: str = "ordinary",
        tenant: str = "first",
        count: int = 1,
        accelerators: int = 1,
        work_s: float = 2.0,
        gang: bool = False,
        schedule: Schedule | None = None,
        **more: object,
    ) -> JobRecord:
        """Return a job of one step, and let the executors know what it does."""
        need = Resources(1000, 1000, accelerators)
        step = StepSpec(count, need, work_s, gang=gang, **more)  # type: ignore[arg-type]
        self.executors.specs[job_id] = {0: WorkSpec(need, work_s, count if gang else 1)}
        state = make_state()
        spec = JobSpec(
            job_id,
            state.by_name[queue],
            tenant,
            "payload",
            (step,),
            trio.current_time(),
            schedule,
        )
        return JobRecord(spec)
