"""Callers' requests to one host: accepting and cancelling jobs, job status, queue counts."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from typing import Any

import trio
from heronthread_coordination import Measure, Unavailable

from .admission import Admission, AdmissionReason, Admitted, Rejected
from .admission_check import AdmissionCheck
from .events import log_event
from .host_state import HostState
from .intake import (
    IntakeOutcome,
    IntakeRoute,
    NoSuchJob,
    NotTaken,
    PendingWrite,
    Taken,
    Unsettled,
    accept_after_read,
    accept_job,
    cancel_job,
    try_routes,
)
from .keystore import Item, Missing
from .news import NewsExchange
from .owned_cell import job_key
from .owner import JobView
from .peer import PeerUnreachable
from .peer_messages import (
    CALL_S,
    NOT_TAKEN,
    OK,
    Operation,
    PeerReply,
    decode_record,
    encode_record,
)
from .placement_check import PlacementCheck
from .pool_contents import SETTLE_WINDOW_S
from .record import (
    CancelledBeforeAccept,
    JobRecord,
    JobStatus,
    Unreadable,
    decode_job,
    decode_progress,
)
from .recorder import progress_key
from .stalls import JobStall, OwnerUnreachable

MAX_ACCEPT_BUDGET_S = 2.2
PEER_INTAKE_S = 1.2
MAX_PEERS_TRIED = 2
QUERY_BUDGET_S = 0.8
NOTICE_TRIES = 4
NOTICE_RETRY_S = 0.3
MAX_CACHED_FINAL = 20_000
NOT_KNOWN_TO_OWNER = "it does not know the job, or does not decide yet"


class Requests:
    """Serves callers at one host, through peers where this host can't reach the store."""

    def __init__(self, host: HostState, news: NewsExchange) -> None:
        self._host = host
        self._news = news
        self._fitting = PlacementCheck(host)
        self._admission = AdmissionCheck(host)
        self._final_views: dict[str, JobView] = {}

    async def accept(self, record: JobRecord, budget_s: float) -> IntakeOutcome:
        """Accept a job."""
        body = encode_record(record)
        started = trio.current_time()
        known = self._admission.find_digest()
        admission: Admission = Admitted(AdmissionReason.UNPLACEABLE)
        outcome: IntakeOutcome | None = await self._reject_unplaceable(record)
        if outcome is None:
            admission = await self._admission.decide(record.spec)
        if isinstance(admission, Rejected):
            outcome = NotTaken(str(admission), admission.retry_after_s)
        if outcome is None:
            self._admission.note_accepting(record.spec.id)
            left_s = budget_s - (trio.current_time() - started)
            outcome = await self._intake(
                partial(self.accept_at_store, record), Operation.ACCEPT_JOB, body, left_s
            )
        elapsed = trio.current_time() - started
        self._host.statistics.count("accepts", type(outcome).__name__)
        self._host.statistics.record(
            record.spec.tenant, record.spec.queue.name, Measure.ANSWER, elapsed
        )
        self._count_admission(record, admission, outcome)
        log_event(
            "job.accept",
            job=record.spec.id,
            queue=record.spec.queue.name,
            tenant=record.spec.tenant,
            store_answers=self._host.store.is_answering,
            took_s=round(elapsed, 3),
            version=self._host.configuration.state.version,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
            admission=admission.reason.value,
            expected_wait_s=_round(admission.expected_wait_s),
            digest_age_s=_round(known.age_s if known is not None else None),
            retry_after_s=_round(getattr(outcome, "retry_after_s", None)),
        )
        return outcome

    def _count_admission(
        self, record: JobRecord, admission: Admission, outcome: IntakeOutcome
    ) -> None:
        """Count a decision by its reason, and record the wait expected for an accepted job."""
        is_placeable = admission.reason is not AdmissionReason.UNPLACEABLE
        is_admitted = isinstance(admission, Admitted) and is_placeable
        kind = "admission_accepts" if is_admitted else "admission_rejects"
        self._host.statistics.count(kind, admission.reason.name.lower())
        spec, wait_s = record.spec, admission.expected_wait_s
        if wait_s is not None and isinstance(outcome, Taken):
            self._host.statistics.record(
                spec.tenant, spec.queue.name, Measure.EXPECTED_WAITING, wait_s
            )

    async def _reject_unplaceable(self, record: JobRecord) -> NotTaken | None:
        """Reject a job that can never be placed, unless it was accepted before.

        A caller that lost the first answer may submit an accepted job again.
        """
        store = self._host.store
        if not store.is_answering:
            return None
        reason = await self._fitting.find_misfit_reason(record.spec)
        if not reason:
            return None
        with trio.move_on_after(store.patience_s):
            if isinstance(await store.read(job_key(record.spec.id)), Missing):
                return NotTaken(reason, SETTLE_WINDOW_S)
        return None

    async def accept_at_store(
        self, record: JobRecord, pending_write: PendingWrite
    ) -> IntakeOutcome:
        """Accept a job by writing to the store from this host."""
        store = self._host.store
        self._admission.note_accepting(record.spec.id)
        if store.is_answering:
            return await accept_job(store, record, pending_write)
        return await accept_after_read(store, record, pending_write, store.patience_s)

    async def cancel_at_store(
        self, job_id: str, tenant: str, pending_write: PendingWrite
    ) -> IntakeOutcome:
        """Cancel a job by writing to the store from this host."""
        store = self._host.store
        read_timeout_s = float("inf") if store.is_answering else store.patience_s
        return await cancel_job(store, job_id, tenant, pending_write, read_timeout_s)

    async def cancel(self, job_id: str, tenant: str, budget_s: float) -> IntakeOutcome:
        """Cancel a job."""
        outcome = await self._intake(
            partial(self.cancel_at_store, job_id, tenant),
            Operation.CANCEL_JOB,
            {"job": job_id, "tenant": tenant},
            budget_s,
        )
        self._host.statistics.count("cancels", type(outcome).__name__)
        log_event("job.cancel", job=job_id, outcome=type(outcome).__name__)
        return outcome

    async def _intake(
        self, local: IntakeRoute, operation: int, body: dict[str, Any], budget_s: float
    ) -> IntakeOutcome:
        """Try the store, and peers that reach it if this host can't."""
        routes = self._list_routes(local, operation, body)
        store = self._host.store
        budget_s = min(budget_s, MAX_ACCEPT_BUDGET_S)
        outcome = await try_routes(routes, budget_s, lambda: store.patience_s)
        if isinstance(outcome, Taken):
            self._notify_owner(outcome.record)
        return outcome

    def _list_routes(
        self, local: IntakeRoute, operation: int, body: dict[str, Any]
    ) -> Iterator[IntakeRoute]:
        """Yield the routes to try; each is chosen only when it is needed."""
        if self._host.store.is_answering:
            yield local
        asked: set[str] = set()
        for _ in range(MAX_PEERS_TRIED):
            address = self._news.find_peer_with_store(asked)
            if address is not None:
                asked.add(address)
                yield partial(self._intake_at_peer, address, operation, body)
        yield local

    async def _intake_at_peer(
        self, address: str, operation: int, body: dict[str, Any], pending_write: PendingWrite
    ) -> IntakeOutcome:
        pending_write.is_open = True
        reply = await self._host.ask_peer(address, operation, body, PEER_INTAKE_S)
        pending_write.is_open = False
        if isinstance(reply, PeerUnreachable):
            return NotTaken(reply.reason) if reply.refused else Unsettled(reply.reason)
        if reply.status == OK:
            record = self._host.read_reply(reply, operation, address, decode_record)
            if record is not None:
                return Taken(record)
            return Unsettled(f"{address}: the job in its reply can't be read")
        if reply.status == 410:
            return NoSuchJob()
        reason = str(reply.body.get("reason", ""))
        return NotTaken(reason) if reply.status == NOT_TAKEN else Unsettled(reason)

    def _notify_owner(self, record: JobRecord) -> None:
        """Send a new job to the owner at once; its watch would deliver it later, or miss it."""
        if not self._host.give_to_owner(record):
            self._host.spawn(self._send_notices, record)

    async def _send_notices(self, record: JobRecord) -> None:
        """Send a job until an owner has it; one whose term begins later lists it."""
        for _ in range(NOTICE_TRIES):
            if self._host.give_to_owner(record) or await self._send_notice(record):
                return
            await trio.sleep(NOTICE_RETRY_S)

    async def _send_notice(self, record: JobRecord) -> bool:
        """Send a job to another host that is the owner; return whether it has it."""
        owner = self._host.known_owner
        if owner is None or owner.host == self._host.settings.name:
            return False
        reply = await self._host.ask_peer(owner.address, Operation.NOTE_JOB, encode_record(record))
        return isinstance(reply, PeerReply) and reply.status == OK

    async def find_job(self, job_id: str) -> JobView | NoSuchJob | Unavailable:
        """Return the status of a job as shown to callers."""
        known = self._final_views.get(job_id)
        if known is not None:
            return known
        view = await self._ask_owner(job_id)
        found = view if isinstance(view, JobView) else await self._read_view(job_id)
        if isinstance(found, JobView) and found.status.is_final:
            self._cache_final(job_id, found)
        elif isinstance(view, OwnerUnreachable) and not isinstance(found, NoSuchJob):
            stored = found.status.value if isinstance(found, JobView) else found.reason
            self._host.stalls.report_unowned(job_id, view, stored)
        return found

    def _cache_final(self, job_id: str, view: JobView) -> None:
        """Cache a final status, and evict the oldest entry when the cache is full."""
        self._final_views[job_id] = view
        if len(self._final_views) > MAX_CACHED_FINAL:
            del self._final_views[next(iter(self._final_views))]

    async def _ask_owner(self, job_id: str) -> JobView | OwnerUnreachable:
        if self._host.owner is not None:
            view = self._host.owner.view(job_id)
            return view or OwnerUnreachable(self._host.settings.name, NOT_KNOWN_TO_OWNER)
        host_record = self._host.known_owner
        if host_record is None:
            return OwnerUnreachable("", "no owner is known")
        reply = await self._host.ask_peer(
            host_record.address,
            Operation.JOB_STATE,
            {"job": job_id},
            QUERY_BUDGET_S,
        )
        if isinstance(reply, PeerUnreachable):
            return OwnerUnreachable(host_record.host, reply.reason)
        if reply.status != OK:
            return OwnerUnreachable(host_record.host, NOT_KNOWN_TO_OWNER)
        view = self._host.read_reply(reply, Operation.JOB_STATE, host_record.address, _decode_view)
        if view is None:
            return OwnerUnreachable(host_record.host, "its reply can't be read")
        if view.stall is not None:
            self._host.stalls.report(job_id, view.stall, host_record.host)
        return view

    async def _read_view(self, job_id: str) -> JobView | NoSuchJob | Unavailable:
        """Read a job from the store, whose status may lag behind what runs."""
        item = await self._host.store.read(job_key(job_id))
        if isinstance(item, Unavailable):
            return item
        if isinstance(item, Missing):
            return NoSuchJob()
        record = decode_job(item.value)
        if isinstance(record, CancelledBeforeAccept):
            return NoSuchJob()
        if isinstance(record, Unreadable):
            return Unavailable(f"the job can't be read: {record.reason}")
        progress = await self._host.store.read(progress_key(job_id))
        if isinstance(progress, Unavailable):
            return progress
        status = JobStatus.PENDING
        if isinstance(progress, Item):
            known = decode_progress(progress.value)
            if isinstance(known, Unreadable):
                return Unavailable(f"its progress can't be read: {known.reason}")
            status = known.status
        if record.cancelled and not status.is_final:
            status = JobStatus.CANCELLED
        return JobView(status, record.spec.tenant, record.spec.queue.name)

    async def count_pending(self, queue: str) -> int | None:
        """Return how many jobs of a queue have not begun; None if no owner answers."""
        if self._host.owner is not None:
            return self._host.owner.count_pending(queue)
        if self._host.known_owner is None:
            return None
        address = self._host.known_owner.address
        reply = await self._host.ask_peer(
            address,
            Operation.QUEUE_COUNT,
            {"queue": queue},
            CALL_S,
        )
        if isinstance(reply, PeerReply) and reply.status == OK:
            return self._host.read_reply(reply, Operation.QUEUE_COUNT, address, _decode_count)
        return None


def _round(seconds: float | None) -> float | None:
    """Return a duration for the log."""
    return None if seconds is None else round(seconds, 3)


def _decode_view(body: dict[str, Any]) -> JobView:
    tenant, queue = body["tenant"], body["queue"]
    if not isinstance(tenant, str) or not isinstance(queue, str):
        raise ValueError("a tenant and a queue are strings")
    stall = JobStall.decode(body["stand"]) if "stand" in body else None
    return JobView(JobStatus(body["status"]), tenant, queue, stall)


def _decode_count(body: dict[str, Any]) -> int:
    count = int(body["count"])
    if count < 0:
        raise ValueError(f"a negative count: {count}")
    return count
