"""An entry host: serves callers, tracks the configuration and may own cells."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio
from heronthread_coordination import (
    Backoff,
    Configuration,
    ConfigurationLog,
    CustomerLimits,
    Delta,
    LeaseState,
    Malformed,
    Member,
    RetryBudget,
    Superseded,
    Unavailable,
    rank,
)
from heronthread_coordination.configuration import ApplyOutcome
from heronthread_dispatch.peer import CALL_TIMEOUT_S, PeerUnreachable
from heronthread_dispatch.wire.ttypes import (
    CellView,
    Changes,
    ChangesRequest,
    Forward,
    ForwardReply,
    Frame,
    Heartbeat,
)
from heronthread_scheduling import Refused, build_cells, load_desired
from heronthread_scheduling.cell import customer_cell, find_customer

from .host_state import HostParts, HostState, PeerStatus
from .ownership import run_cell
from .routing import NOT_OWNER, UNAVAILABLE, OperationReply, serve_operation
from .sections import join_state, split_state
from .settings import Settings

STORE_WATCH_S = 20.0
FLUSH_TIMEOUT_S = 5.0
RECENT_VIEW_S = 5.0
PROBE_PERIOD_S = 2.0
PROBE_KEY = "probe"
UNCHANGED_VIEW_COUNT = 2


class Host(HostState):
    """An entry host and its background tasks; `run` returns once draining is complete."""

    def __init__(self, settings: Settings, parts: HostParts) -> None:
        super().__init__(settings, parts)
        limits = settings.limits
        self.configuration = Configuration()
        self.configuration_log = ConfigurationLog(self.store)
        self._applied_generation = 0
        self.limits = CustomerLimits(limits.requests_per_customer, limits.requests_total)
        self.retries = RetryBudget()
        self.backoff = Backoff()
        self._nursery: trio.Nursery | None = None

    @property
    def store_ok(self) -> bool:
        """Whether the store answered this host's last call."""
        return self.store.is_answering

    @property
    def is_ready(self) -> bool:
        """Whether this host can serve callers: it has a configuration and is not draining."""
        return self.state is not None and not self.drain.is_draining

    async def run(self) -> None:
        """Run until cancelled or until draining is complete."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._follow_hosts)
            nursery.start_soon(self._follow_configuration)
            nursery.start_soon(self._send_heartbeats)
            nursery.start_soon(self._probe_store)
            await self.drain.started.wait()
            with trio.move_on_after(self.settings.times.drain_deadline_s):
                await self.drain.wait_idle()
            with trio.move_on_after(FLUSH_TIMEOUT_S):
                for owner in list(self.owners.values()):
                    await owner.prepare_handover()
            self.log("host.stopping")
            nursery.cancel_scope.cancel()
        for lease in self.leases.values():
            await lease.release_lease()

    # Configuration

    async def apply(
        self, text: bytes, apply_id: str, operator: str, expect: int | None = None
    ) -> ApplyOutcome | Refused:
        """Validate a desired-state file and commit it as the next generation."""
        await self.configuration_log.load(self.configuration)
        known = self.state.events if self.state else ()
        state = load_desired(text, now=self.parts.clock(), known=known)
        if isinstance(state, Refused):
            return state
        current = self.configuration.generation
        if expect is not None and expect != current and apply_id not in self.configuration.applies:
            apply_id_in_force, operator_in_force = self.configuration.applies_by_generation.get(
                current, ("", "")
            )
            return Superseded(current, apply_id_in_force, operator_in_force)
        outcome = await self.configuration_log.apply(
            self.configuration, split_state(state), apply_id, operator
        )
        self._apply_configuration()
        self.log("config.apply", apply_id=apply_id, operator=operator, outcome=str(outcome))
        return outcome

    async def _follow_configuration(self) -> None:
        """Watch the store if this host is a configuration reader, else rely on peers."""
        while True:
            if self.configuration.generation == 0:
                ok = await self.configuration_log.load(self.configuration)
                pause_s = 0.5
            elif self._is_reader():
                ok = await self.configuration_log.wait_for_next(self.configuration, STORE_WATCH_S)
                pause_s = 0.05
            else:
                ok, pause_s = self.store_ok, self.settings.times.heartbeat_s
            self._apply_configuration()
            await trio.sleep(pause_s if ok else 0.5)

    def _is_reader(self) -> bool:
        region = self.settings.region
        near = [m.name for m in self.membership.usable() if m.region in ("", region)]
        return rank(self.name, "configuration", near) < self.settings.configuration_readers

    async def _probe_store(self) -> None:
        """Probe an idle store periodically and notify peers when its availability changes."""
        was_ok = self.store_ok
        while True:
            await trio.sleep(PROBE_PERIOD_S / 4)
            if trio.current_time() - self.store.last_answer_at >= PROBE_PERIOD_S:
                await self.store.read(PROBE_KEY)
            if self.store_ok != was_ok:
                was_ok = self.store_ok
                self.log("store.state", ok=was_ok)
                self.send_heartbeats_now()

    def _apply_configuration(self) -> None:
        """Apply a newly adopted generation on this host and notify peers."""
        generation = self.configuration.generation
        if generation == self._applied_generation:
            return
        self._applied_generation = generation
        self.state = join_state(self.configuration.sections)
        self.cells = build_cells(self.state)
        self.log("config.in_force", generation=generation)
        for cell in self.cells:
            if cell not in self.leases and self._nursery is not None:
                self._nursery.start_soon(run_cell, self, cell)
        for cell, owner in self.owners.items():
            if cell in self.cells:
                owner.reconfigure(self.state, self.cells[cell])
        self.send_heartbeats_now()

    # Peers

    async def _follow_hosts(self) -> None:
        while True:
            listing = await self.parts.host_list.fetch()
            if not isinstance(listing, Unavailable):
                self.membership.update(listing.version, listing.hosts)
                self._note_leaving(set(listing.leaving_workers))
            await trio.sleep(self.settings.times.host_list_s)

    def _note_leaving(self, names: set[str]) -> None:
        hosts = names & set(self.membership.members)
        has_changed = self.membership.note_leaving(hosts)
        workers = names - hosts
        if not workers <= self.leaving_workers:
            self.leaving_workers |= workers
            has_changed = True
        for owner in self.owners.values():
            owner.note_leaving(workers)
        if has_changed:
            self.send_heartbeats_now()

    async def _send_heartbeats(self) -> None:
        while True:
            with trio.move_on_after(self.settings.times.heartbeat_s):
                await self.heartbeat_due.wait()
            self.heartbeat_due = trio.Event()
            async with trio.open_nursery() as nursery:
                for member in self._choose_peers():
                    nursery.start_soon(self._exchange_heartbeats, member)

    def _choose_peers(self) -> list[Member]:
        others = [m for m in self.membership.members.values() if m.name != self.name]
        count = min(self.settings.fan_out, len(others))
        return self.parts.random.sample(others, count)

    async def _exchange_heartbeats(self, member: Member) -> None:
        frame = Frame(heartbeat=self._make_heartbeat())
        reply = await self.parts.peers.call(member.address, frame, CALL_TIMEOUT_S)
        if isinstance(reply, PeerUnreachable):
            if reply.refused:
                self.membership.note_refused(member.name)
            return
        self.membership.mark_alive(member.name)
        self._process_heartbeat(reply.heartbeat)
        if reply.heartbeat.generation > self.configuration.generation > 0:
            await self._fetch_changes(member)

    async def _fetch_changes(self, member: Member) -> None:
        request = ChangesRequest(since=self.configuration.generation)
        frame = Frame(changes_request=request)
        reply = await self.parts.peers.call(member.address, frame, CALL_TIMEOUT_S)
        if isinstance(reply, PeerUnreachable) or not reply.changes.delta:
            return
        delta = Delta.decode(reply.changes.delta)
        if isinstance(delta, Malformed):
            self.log("config.malformed", peer=member.name, error=delta.reason)
            return
        self.configuration.adopt_delta(delta)
        self._apply_configuration()

    def _make_heartbeat(self) -> Heartbeat:
        leaving = sorted(self.membership.leaving | self.leaving_workers)
        return Heartbeat(
            host=self.name,
            generation=self.configuration.generation,
            store_ok=self.store_ok,
            leaving=leaving,
            cells=self._choose_views(),
        )

    def _choose_views(self) -> list[CellView]:
        """Choose the recently changed views and a random few others, so that all peers converge."""
        now = trio.current_time()
        recent = [c for c, at in self.view_changed_at.items() if now - at <= RECENT_VIEW_S]
        others = [cell for cell in self.views if cell not in recent]
        chosen = self.parts.random.sample(others, min(UNCHANGED_VIEW_COUNT, len(others)))
        return [self.views[cell] for cell in [*recent, *chosen]]

    def _process_heartbeat(self, heartbeat: Heartbeat) -> None:
        self.peer_status[heartbeat.host] = PeerStatus(
            heartbeat.store_ok, heartbeat.generation, trio.current_time()
        )
        self._note_leaving(set(heartbeat.leaving) - {self.name})
        for view in heartbeat.cells:
            self.update_owner(view.cell, view.epoch, view.host, view.address)

    async def handle(self, frame: Frame) -> Frame:
        """Process a frame from a peer and return the reply."""
        if frame.heartbeat is not None:
            self._process_heartbeat(frame.heartbeat)
            is_behind = frame.heartbeat.generation > self.configuration.generation > 0
            sender = self.membership.members.get(frame.heartbeat.host)
            if is_behind and sender is not None and self._nursery is not None:
                self._nursery.start_soon(self._fetch_changes, sender)
            return Frame(heartbeat=self._make_heartbeat())
        if frame.changes_request is not None:
            delta = self.configuration.delta_since(frame.changes_request.since)
            encoded = delta.encode() if delta else b""
            return Frame(changes=Changes(encoded))
        forward = frame.forward
        routed = await self._serve_here(
            forward.cell, forward.operation, forward.body, forward.wait_ms / 1000
        )
        return Frame(forward_reply=ForwardReply(routed.status, routed.body))

    def peer_generations(self) -> dict[str, int]:
        """Return the last known generation of each usable host, 0 if it has not reported any."""
        known = {m.name: 0 for m in self.membership.usable()}
        for name, status in self.peer_status.items():
            if name in known:
                known[name] = status.generation
        known[self.name] = self.configuration.generation
        return known

    # Requests

    def find_customer_cell(self, customer: str) -> str | None:
        """Return the cell that runs a customer's jobs, or None if the customer is not declared."""
        if self.state is None:
            return None
        found = find_customer(self.state, customer)
        return customer_cell(self.state, found) if found else None

    async def route(self, cell: str, operation: int, body: bytes, wait_s: float) -> OperationReply:
        """Forward a request to the owner of its cell, on this host or a peer.

        Operations are idempotent, so a request without a reply is retried within the retry
        budget and `wait_s`. After that the reply is UNAVAILABLE.
        """
        self.retries.record_call()
        deadline = trio.current_time() + wait_s + CALL_TIMEOUT_S
        attempt = 0
        while True:
            estimate_remaining_s = max(0.0, deadline - CALL_TIMEOUT_S - trio.current_time())
            routed = await self._try_route(cell, operation, body, min(wait_s, estimate_remaining_s))
            if routed.status not in (NOT_OWNER, UNAVAILABLE):
                return routed
            pause_s = self.backoff.choose_delay_s(attempt, self.parts.random)
            attempt += 1
            if trio.current_time() + pause_s > deadline or not self.retries.try_retry():
                return OperationReply(UNAVAILABLE, routed.body)
            await trio.sleep(pause_s)

    async def _try_route(
        self, cell: str, operation: int, body: bytes, wait_s: float
    ) -> OperationReply:
        if cell in self.owners:
            return await self._serve_here(cell, operation, body, wait_s)
        address = self._owner_address(cell)
        if address is None:
            return OperationReply(UNAVAILABLE, b"the cell has no owner")
        forward = Forward(operation, cell, body, int(wait_s * 1000))
        reply = await self.parts.peers.call(
            address, Frame(forward=forward), wait_s + CALL_TIMEOUT_S
        )
        if isinstance(reply, PeerUnreachable):
            return OperationReply(UNAVAILABLE, reply.reason.encode())
        return OperationReply(reply.forward_reply.status, reply.forward_reply.body)

    def _owner_address(self, cell: str) -> str | None:
        lease = self.leases.get(cell)
        record = lease.record if lease else None
        view = self.views.get(cell)
        if record is not None and (view is None or record.epoch >= view.epoch):
            return record.address if record.host and record.host != self.name else None
        if view is None or view.host == self.name:
            return None
        return view.address

    async def _serve_here(
        self, cell: str, operation: int, body: bytes, wait_s: float
    ) -> OperationReply:
        owner = self.owners.get(cell)
        if owner is None:
            return OperationReply(NOT_OWNER, b"this host does not own the cell")
        if owner.parts.lease.state is LeaseState.NOT_OWNER:
            return OperationReply(
                UNAVAILABLE, b"the owner's lease has expired and can't be renewed"
            )
        with trio.move_on_after(CALL_TIMEOUT_S / 2):
            await owner.ready.wait()
        if not owner.ready.is_set():
            return OperationReply(UNAVAILABLE, b"the owner of the cell is still taking over")
        return await serve_operation(owner, operation, body, wait_s)

    @asynccontextmanager
    async def track_request(self, customer: str) -> AsyncIterator[None]:
        """Hold the slot of an admitted request and release it on exit."""
        try:
            yield
        finally:
            self.limits.leave(customer)
