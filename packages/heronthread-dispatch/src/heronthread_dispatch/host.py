"""A host process: it serves peers, follows the configuration and may own the cell."""

from __future__ import annotations

import json
import random
from dataclasses import asdict, replace
from typing import Any

import trio

from .clock import boot_time
from .evacuation import COMMAND_PREFIX
from .evacuation_command import (
    CONFIRM_TIMEOUT_S,
    EvacuationOutcome,
    InForce,
    RequestFailed,
    RequestRejected,
    set_evacuation,
)
from .events import log_event
from .host_lease import HostRecord, Term
from .host_state import HostParts, HostSettings, HostState
from .intake import NoSuchJob, NotTaken, PendingWrite, Taken
from .job_memory import count_states, find_peak_memory_mb
from .keystore import Item, KeyRemoved, Listing
from .load_overview import explain_order, measure_load
from .loop_lag import LoopLagMonitor
from .model import JobSpec
from .news import MAX_NOTIFIED, NewsExchange
from .overview import describe_cell, describe_job
from .owned_cell import OwnerParts
from .owner import JobView, Owner
from .peer_messages import (
    BAD_REQUEST,
    CALL_S,
    NOT_HERE,
    NOT_TAKEN,
    OK,
    UNSETTLED,
    Operation,
    PeerReply,
    decode_news,
    decode_record,
    encode_news,
    encode_packed,
    encode_record,
    make_reply,
)
from .pool_contents import encode_kinds
from .preassignments import Preassignments
from .predecessor import Predecessor, SeenOwner
from .prefix_watcher import PrefixWatcher
from .record import MALFORMED, Unreadable
from .relay import StoreRelay, write_for_peer
from .requests import Requests
from .revision_log import learn_revisions
from .succession import RANK_DELAY_S, find_stronger, rank
from .turn_monitor import TurnMonitor
from .wire.ttypes import Frame

CONTEND_S = 0.05
GUARD_INTERVAL_S = 0.05
OWNED_POLL_S = 0.5
"""Polling interval while another host owns the cell; a free cell wakes the loop at once."""
SUCCESSION_CHECK_S = 0.5
MIN_HANDOVER_INTERVAL_S = 10.0
"""Least time between handovers, so that a stronger host that can't take over doesn't make this
host give up the cell repeatedly."""
EVACUATE_S = CONFIRM_TIMEOUT_S + CALL_S
"""Timeout of an evacuation request that is forwarded to the owner."""
OWNER_ONLY_OPERATIONS = (Operation.CELL_OVERVIEW, Operation.JOB_STORY, Operation.EVACUATE)
"""Operations that only the owner answers; other hosts forward them to it."""
CELL_PREFIX = "cell/0/"
OWNER_KEY = "cell/0/owner"
HOST_PREFIX = "cell/0/host/"


class Host(HostState):
    """Runs the tasks of one host until it is cancelled.

    `turn_monitor` times the turns of the process's tasks, if its owner has entered it.
    """

    def __init__(
        self, settings: HostSettings, parts: HostParts, turn_monitor: TurnMonitor | None = None
    ) -> None:
        super().__init__(settings, parts)
        self.is_draining = False
        self.loop = LoopLagMonitor(self.statistics)
        self.turn_monitor = turn_monitor or TurnMonitor()
        self._owner_lost_at = 0.0
        self._owner_lost = trio.Event()
        self._handed_over_at = float("-inf")
        self._owner_key_item: Item | None = None
        self.news = NewsExchange(self)
        self.requests = Requests(self, self.news)
        self.relay = StoreRelay(self.ask_peer, self.news.find_peer_with_store)

    @property
    def is_ready(self) -> bool:
        """Whether this host accepts traffic from callers."""
        return self.configuration.is_known and not self.is_draining

    async def run(self) -> None:
        """Run until cancelled; the peer address must be bound, so that no other process uses it."""
        self.no_orders_since = boot_time()
        cell = PrefixWatcher(
            self.store,
            CELL_PREFIX,
            self._apply_cell_listing,
            self._apply_cell_change,
            max_staleness_s=lambda: self.settings.timing.recovery_s,
            jitter=random.Random(self.settings.name),
        )
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.operator_keys.run)
            nursery.start_soon(cell.run)
            nursery.start_soon(self.host_lease.run)
            nursery.start_soon(self.loop.run)
            nursery.start_soon(self._contend)
            nursery.start_soon(self.news.run, nursery)
            nursery.start_soon(self.news.watch_changes)

    async def stop(self) -> None:
        """Begin a graceful shutdown: release the cell, but still answer requests."""
        self.is_draining = True
        self.host_lease.is_stopping = True
        if self.owner is not None:
            self.owner.depose()
        with trio.move_on_after(1.0):
            await self.host_lease.release()

    # Membership

    def _apply_cell_listing(self, listing: Listing) -> None:
        keys = {item.key for item in listing.items}
        for name in [name for name in self.members if HOST_PREFIX + name not in keys]:
            self._remove_member(name)
        self.evacuations.take_listing(listing, (COMMAND_PREFIX,))
        if OWNER_KEY not in keys:
            self._update_owner(None)
        for item in listing.items:
            self._apply_cell_change(item)

    def _apply_cell_change(self, event: Item | KeyRemoved) -> None:
        if event.key == OWNER_KEY:
            self._update_owner(event if isinstance(event, Item) else None)
        elif event.key.startswith(COMMAND_PREFIX):
            self.evacuations.take(event)
        elif event.key.startswith(HOST_PREFIX):
            name = event.key.removeprefix(HOST_PREFIX)
            if isinstance(event, KeyRemoved):
                self._remove_member(name)
            else:
                self._update_member(name, event)

    def _update_member(self, name: str, item: Item) -> None:
        host_record = HostRecord.decode(item.value)
        if isinstance(host_record, Unreadable):
            log_event("record.unreadable", key=item.key, reason=host_record.reason)
            return
        self.members[name] = host_record
        self.member_revisions[name] = item.revision

    def _remove_member(self, name: str) -> None:
        self.members.pop(name, None)
        self.member_revisions.pop(name, None)

    def _update_owner(self, item: Item | None) -> None:
        host_record = HostRecord.decode(item.value) if item is not None else None
        if isinstance(host_record, Unreadable):
            log_event("record.unreadable", key=OWNER_KEY, reason=host_record.reason)
            host_record = None
        if host_record is None and self.known_owner is not None:
            self._owner_lost_at = trio.current_time()
            self._owner_lost.set()
            self._owner_lost = trio.Event()
        if host_record != self.known_owner:
            log_event("owner.seen", owner=host_record.host if host_record else None)
        if host_record is not None and item is not None:
            self.note_owner(SeenOwner(host_record, item.revision, trio.current_time()))
        self.known_owner = host_record
        self._owner_key_item = item

    # Ownership

    async def _contend(self) -> None:
        while True:
            owner = self.known_owner
            is_others = owner is not None and owner.host != self.settings.name
            pause = OWNED_POLL_S if is_others else CONTEND_S
            with trio.move_on_after(pause):
                await self._owner_lost.wait()
            if not self._may_contend():
                continue
            held = self._owner_key_item
            if held is None:
                place = rank(self.host_lease.host_record, self.members, self._owner_lost_at)
                await trio.sleep(RANK_DELAY_S * place)
                if self.known_owner is not None:
                    continue
            term = await self.host_lease.try_acquire(held)
            if term is None:
                await trio.sleep(CONTEND_S * 4)
                continue
            self.known_owner = self.host_lease.host_record
            predecessor = Predecessor(
                self.seen_owners,
                self.host_lease.host_record,
                self.no_orders_s,
                self.news.others()[:MAX_NOTIFIED],
                self.news.ask,
            )
            self.owner = Owner(self._make_owner_parts(term), term, predecessor)
            await self._own(self.owner)
            self.owner = None
            self.no_orders_since = boot_time()

    def _may_contend(self) -> bool:
        """Whether to try for ownership: the cell is free, or held by a past run of this host."""
        if self.is_draining or not self.configuration.is_known or not self.host_lease.is_valid:
            return False
        held = self._owner_key_item
        return (
            self.known_owner is None if held is None else self.host_lease.is_held_by_this_host(held)
        )

    def _make_owner_parts(self, term: Term) -> OwnerParts:
        preassignments = Preassignments(
            term.guard[1], self.preassignment_log, self.find_members, self.news.ask
        )
        return OwnerParts(
            self.store,
            self.parts.link,
            self.parts.directory,
            self.settings.timing,
            self.parts.wall_clock,
            lambda: self.configuration.state,
            self._may_send_orders,
            self.statistics,
            self.parts.approver,
            self.settings.policy,
            self.news.find_outage_end,
            lambda: self.store.is_answering,
            lambda: self.store.is_answering or self.relay.is_open,
            self.relay,
            self.evacuations,
            self.stalls,
            self.store.revisions.find_age_s,
            self._learn_revisions,
            preassignments,
            self.known_load,
            self.known_stalls,
            self.settings.name,
            lambda: self.host_lease.left_s,
            lambda: all(host.reads_sparse_progress for host in self.members.values()),
        )

    async def _learn_revisions(self) -> None:
        peers = self.news.others()[:MAX_NOTIFIED]
        await learn_revisions(self.store.revisions, peers, self.ask_peer, self.note_malformed)

    async def _own(self, owner: Owner) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._guard, owner)
            nursery.start_soon(self._hand_over_to_stronger, owner)
            await owner.run()
            nursery.cancel_scope.cancel()
        if not self.is_draining:
            await self.host_lease.release()
        if self.known_owner == self.host_lease.host_record:
            self.known_owner = None

    async def _guard(self, owner: Owner) -> None:
        """Depose the local owner once another host may own the cell.

        Without a lease and a quorum it only sends no orders, as it may get either back.
        """
        was_valid = True
        while True:
            await trio.sleep(GUARD_INTERVAL_S)
            is_valid = self.host_lease.is_valid
            if not is_valid and not self._may_extend():
                self._log_lease("lease.not_extended", owner)
                owner.depose()
                return
            if was_valid and not is_valid:
                self._log_lease("lease.extended", owner)
            was_valid = is_valid

    def _log_lease(self, event: str, owner: Owner) -> None:
        """Log what was known when an owner's lease could not be renewed in time."""
        log_event(
            event,
            host=self.settings.name,
            term=owner.cell.term.number,
            is_over=self.host_lease.lease is None,
            unrenewed_s=round(boot_time() - self.host_lease.last_renewed, 3),
            store_answering=self.store.is_answering,
            **owner.quorum.describe(),
            peers=self.news.describe_fresh(),
        )

    async def _hand_over_to_stronger(self, owner: Owner) -> None:
        """End the term if a clearly stronger host exists and this one is idle or overloaded."""
        while True:
            await trio.sleep(SUCCESSION_CHECK_S)
            stronger = find_stronger(self.host_lease.host_record, self.members)
            recent = trio.current_time() - self._handed_over_at < MIN_HANDOVER_INTERVAL_S
            if stronger is None or recent or not owner.is_settled:
                continue
            if owner.cell.active and not self.loop.is_overloaded:
                continue
            self._handed_over_at = trio.current_time()
            log_event(
                "owner.hands_over",
                term=owner.cell.term.number,
                to=stronger.host,
                active=len(owner.cell.active),
                late_s=round(self.loop.mean_s(), 3),
            )
            owner.depose()
            return

    def _may_send_orders(self) -> bool:
        """Whether no other host can be the owner while this one is."""
        if self.host_lease.is_valid:
            return True
        return self.owner is not None and self.owner.quorum.is_held and self._may_extend()

    def _may_extend(self) -> bool:
        """Whether an owner may go on without a valid lease as long as it has a quorum."""
        return self.host_lease.lease is not None and self.news.may_be_outage()

    def render_statistics(self) -> str:
        """Return this host's metrics as text."""
        gauges: dict[str, float] = {
            "configuration_version": self.configuration.state.version,
            "hosts": len(self.members),
            "store_answering": self.store.is_answering,
            "owner": self.owner is not None,
            "evacuated_domains": len(self.evacuations.domains),
            "longest_turn_s": round(self.turn_monitor.longest_s, 4),
            "peak_memory_mb": find_peak_memory_mb(),
        }
        if self.owner is not None:
            gauges["term"] = self.owner.cell.term.number
            gauges["jobs_active"] = len(self.owner.cell.active)
            gauges["tasks_suspected"] = self.owner.cell.count_suspects()
            gauges["term_age_s"] = self.owner.stall_monitor.term_age_s
            gauges["executors"] = len(self.owner.cell.executors)
            gauges["entries_set_aside"] = self.owner.directory.invalid_count
            gauges.update(measure_load(self.owner.cell))
            gauges.update(count_states(self.owner.cell.active.values()))
        gauges["jobs_standing"], gauges["longest_stand_s"] = self._measure_stalls()
        known_load = self.known_load.find(boot_time())
        if known_load is not None:
            gauges["load_digest_age_s"] = known_load.age_s
        for name, age_s in self.operator_keys.describe_ages().items():
            if age_s is not None:
                gauges[f"configuration_{name}"] = age_s
        for call, count in self.store.calls.items():
            gauges[f"store_{call}_calls"] = count
        for call, count in self.store.failures.items():
            gauges[f"store_{call}_failures"] = count
        return self.statistics.render(gauges)

    def _measure_stalls(self) -> tuple[int, float]:
        """Return how many jobs are stalled and the longest stall (s), as the owner told last."""
        if self.owner is not None:
            monitor = self.owner.stall_monitor
            return len(monitor.stalled_jobs), monitor.longest_stall_s
        known = self.find_known_stalls()
        return (0, 0.0) if known is None else (known.digest.standing, known.digest.longest_s)

    # Requests from peers

    async def handle(self, frame: Frame) -> Frame:
        """Answer one request frame from a peer."""
        forward = frame.forward
        if forward is None:
            return make_reply(NOT_HERE, {})
        try:
            status, answer = await self._handle(forward.operation, json.loads(forward.body))
        except MALFORMED as error:
            self.note_malformed(forward.operation, "", repr(error))
            return make_reply(BAD_REQUEST, {"reason": "the request can't be read"})
        return make_reply(status, answer)

    async def _handle(self, operation: int, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if operation == Operation.NEWS:
            return OK, self._exchange_news(body)
        if operation == Operation.CONFIGURATION:
            return OK, {"packed": encode_packed(self.configuration.pack())}
        if operation == Operation.REVISION_AGES:
            return OK, self.store.revisions.encode()
        if operation == Operation.RELAY_WRITE:
            return OK, await write_for_peer(self.store, body)
        if operation == Operation.JOB_FIT:
            return self._check_placement(decode_record(body).spec)
        if operation in OWNER_ONLY_OPERATIONS:
            return await self._handle_owner_query(operation, body)
        return await self._handle_job(operation, body)

    def _exchange_news(self, body: dict[str, Any]) -> dict[str, Any]:
        """Take a peer's news and return this host's, which tell what it has noted by now.

        A peer with a summary of stalled jobs gets none, as newer ones are sent to it soon; that
        halves their traffic.
        """
        news = decode_news(body)
        if news is not None:
            self.preassignment_log.take(news)
        self.spawn(self.news.take, news)
        own = self.news.make()
        has_summary = news is not None and bool(news.stalls)
        return encode_news(replace(own, stalls={}) if has_summary else own)

    def _check_placement(self, spec: JobSpec) -> tuple[int, dict[str, Any]]:
        """Return whether a job can ever be placed; only the owner, with a valid lease, can tell."""
        if self.owner is None or not self.owner.is_ready or not self.host_lease.is_valid:
            return NOT_HERE, {}
        reason, kinds = self.owner.check_fit(spec)
        return OK, {"reason": reason, "kinds": encode_kinds(kinds)}

    async def _handle_owner_query(
        self, operation: int, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        """Answer an operator's query, or forward it to the owner."""
        owner = self.owner
        if owner is None or not owner.is_ready:
            host_record = self.known_owner
            if host_record is None or host_record.host == self.settings.name or body.get("passed"):
                return NOT_TAKEN, {"reason": "no owner is known"}
            asked = {**body, "passed": True}
            limit_s = EVACUATE_S if operation == Operation.EVACUATE else CALL_S
            reply = await self.ask_peer(host_record.address, operation, asked, limit_s)
            if isinstance(reply, PeerReply):
                return reply.status, reply.body
            return NOT_TAKEN, {"reason": reply.reason}
        if operation == Operation.CELL_OVERVIEW:
            described = describe_cell(owner.cell, self.configuration.state, self.settings.name)
            return OK, {**described, "hosts": sorted(self.members)}
        if operation == Operation.EVACUATE:
            outcome = await set_evacuation(owner.cell, body["domain"], not body.get("undo"))
            return _encode_evacuation(outcome)
        job = owner.cell.jobs.get(body["job"])
        if job is None:
            return 410, {"reason": "there is no such job"}
        order = explain_order(owner.cell, job, self.configuration.state)
        return OK, describe_job(job, owner.stall_monitor.find_stall(job.spec.id), order)

    async def _handle_job(self, operation: int, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Answer a request about accepted jobs, which the owner knows best."""
        if operation == Operation.JOB_STATE:
            view = self.owner.view(body["job"]) if self.owner else None
            return (
                (OK, _encode_view(view)) if view else (NOT_HERE, self.describe_unknown(body["job"]))
            )
        if operation == Operation.QUEUE_COUNT:
            count = self.owner.count_pending(body["queue"]) if self.owner else None
            return (OK, {"count": count}) if count is not None else (NOT_HERE, {})
        if operation == Operation.NOTE_JOB:
            return (OK if self.give_to_owner(decode_record(body)) else NOT_HERE), {}
        return await self._handle_intake(operation, body)

    async def _handle_intake(
        self, operation: int, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if operation == Operation.ACCEPT_JOB:
            outcome = await self.requests.accept_at_store(decode_record(body), PendingWrite())
        elif operation == Operation.CANCEL_JOB:
            outcome = await self.requests.cancel_at_store(
                body["job"], body["tenant"], PendingWrite()
            )
        else:
            return NOT_HERE, {}
        if isinstance(outcome, Taken):
            return OK, encode_record(outcome.record)
        if isinstance(outcome, NoSuchJob):
            return 410, {}
        status = NOT_TAKEN if isinstance(outcome, NotTaken) else UNSETTLED
        return status, {"reason": outcome.reason}


def _encode_evacuation(outcome: EvacuationOutcome) -> tuple[int, dict[str, Any]]:
    if isinstance(outcome, InForce):
        return OK, asdict(outcome)
    if isinstance(outcome, RequestRejected):
        return BAD_REQUEST, {"reason": outcome.reason}
    status = NOT_TAKEN if isinstance(outcome, RequestFailed) else UNSETTLED
    return status, {"reason": outcome.reason}


def _encode_view(view: JobView) -> dict[str, Any]:
    body = {"status": view.status.value, "tenant": view.tenant, "queue": view.queue}
    return body if view.stall is None else {**body, "stand": view.stall.encode()}
