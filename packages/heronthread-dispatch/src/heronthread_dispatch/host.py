"""One host: it answers callers, follows the configuration and may own the cell."""

from __future__ import annotations

import base64
import hashlib
import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

import trio
from heronthread_coordination import Measure, Unavailable
from heronthread_daemon.peer import Peers, PeerUnreachable
from heronthread_daemon.wire.ttypes import Frame

from .configuring import ConfigurationFormat, ConfigurationInForce
from .events import log_event
from .executor_link import ExecutorLink
from .follow import Follower
from .intake import (
    IntakeOutcome,
    NoSuchJob,
    NotTaken,
    Taken,
    Unsettled,
    accept_after_look,
    accept_job,
    cancel_job,
    insist,
)
from .keystore import Gone, Item, KeyStore, Listing, Missing
from .observed import ObservedStore
from .overview import describe_cell, describe_job
from .owned import DirectoryFormat, OwnerParts, Timing, job_key
from .owner import JobView, Owner
from .peering import (
    CALL_S,
    NOT_HERE,
    NOT_TAKEN,
    OK,
    UNSETTLED,
    News,
    Operation,
    PeerReply,
    call_peer,
    decode_news,
    encode_news,
    make_reply,
)
from .record import JobRecord, JobStatus, ProgressRecord
from .recorder import progress_key
from .statistics import Statistics
from .tenure import Presence, Tenure

NEWS_S = 1.0
OUTAGE_NEWS_S = 0.4
FRESH_S = 1.8
FAN_OUT = 2
CONTEND_S = 0.05
RANK_DELAY_S = 0.04
OUTAGE_LIMIT_S = 40.0
ACCEPT_BUDGET_S = 2.2
QUERY_BUDGET_S = 0.8
CELL_PREFIX = "cell/0/"
OWNER_KEY = "cell/0/owner"
HOST_PREFIX = "cell/0/host/"


@dataclass(frozen=True, slots=True)
class HostSettings:
    """What a host is told of itself; `seeds` are peer addresses that may be dead."""

    name: str
    peer_address: str
    seeds: tuple[str, ...] = ()
    timing: Timing = Timing()


@dataclass(frozen=True, slots=True)
class HostParts:
    """A host's adapters and its clock (seconds since the epoch)."""

    store: KeyStore
    link: ExecutorLink
    peers: Peers
    configuration: ConfigurationFormat
    directory: DirectoryFormat
    wall_clock: Callable[[], float]


@dataclass(frozen=True, slots=True)
class HeardNews:
    """A peer's last news and when it came (trio's clock)."""

    news: News
    at: float


class Host:
    """The tasks of one host; `run` lasts until it is cancelled."""

    def __init__(self, settings: HostSettings, parts: HostParts) -> None:
        self.settings = settings
        self.parts = parts
        self.store = ObservedStore(parts.store)
        self.configuration = ConfigurationInForce(parts.configuration)
        presence = Presence(settings.name, settings.peer_address)
        self.tenure = Tenure(self.store, presence)
        self.members: dict[str, str] = {}
        self.heard: dict[str, HeardNews] = {}
        self.owner: Owner | None = None
        self.owner_presence: Presence | None = None
        self.is_draining = False
        self.statistics = Statistics()
        self._final: dict[str, JobView] = {}
        self._owner_gone_at = 0.0
        self._news_wanted = trio.Event()
        self._nursery: trio.Nursery | None = None

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return self.configuration.is_known and not self.is_draining

    async def run(self) -> None:
        """Run until cancelled."""
        configuration = Follower(
            self.store, self.parts.configuration.key, self._take_versions, self._take_version
        )
        cell = Follower(self.store, CELL_PREFIX, self._take_cell, self._take_cell_key)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(configuration.run)
            nursery.start_soon(cell.run)
            nursery.start_soon(self.tenure.run)
            nursery.start_soon(self._contend)
            nursery.start_soon(self._exchange_news)
            nursery.start_soon(self._tell_changes)

    async def stop(self) -> None:
        """Begin a planned stop: hand the cell over; requests are still answered."""
        self.is_draining = True
        self.tenure.is_stopping = True
        if self.owner is not None:
            self.owner.depose()
        with trio.move_on_after(1.0):
            await self.tenure.give_up()

    # Configuration and membership

    def _take_versions(self, listing: Listing) -> None:
        for item in listing.items:
            self._take_version(item)

    def _take_version(self, event: Item | Gone) -> None:
        if isinstance(event, Item) and event.key == self.parts.configuration.key:
            self.configuration.offer(event.value, "store")

    def _take_cell(self, listing: Listing) -> None:
        keys = {item.key for item in listing.items}
        self.members = {
            name: address for name, address in self.members.items() if HOST_PREFIX + name in keys
        }
        if OWNER_KEY not in keys:
            self._note_owner(None)
        for item in listing.items:
            self._take_cell_key(item)

    def _take_cell_key(self, event: Item | Gone) -> None:
        if event.key == OWNER_KEY:
            presence = Presence.decode(event.value) if isinstance(event, Item) else None
            self._note_owner(presence)
        elif event.key.startswith(HOST_PREFIX):
            name = event.key.removeprefix(HOST_PREFIX)
            if isinstance(event, Gone):
                self.members.pop(name, None)
            else:
                self.members[name] = Presence.decode(event.value).address

    def _note_owner(self, presence: Presence | None) -> None:
        if presence is None and self.owner_presence is not None:
            self._owner_gone_at = trio.current_time()
        if presence != self.owner_presence:
            log_event("owner.seen", owner=presence.host if presence else None)
        self.owner_presence = presence

    def _others(self) -> list[str]:
        known = {a for n, a in self.members.items() if n != self.settings.name}
        known |= {h.news.address for h in self.heard.values()}
        known |= set(self.settings.seeds) if not known else set()
        known.discard(self.settings.peer_address)
        return sorted(known)

    # Ownership

    async def _contend(self) -> None:
        while True:
            await trio.sleep(CONTEND_S)
            if self.owner_presence is not None or self.is_draining:
                continue
            if not self.configuration.is_known or not self.tenure.is_valid:
                continue
            await trio.sleep(RANK_DELAY_S * self._rank())
            if self.owner_presence is not None:
                continue
            term = await self.tenure.try_own()
            if term is None:
                await trio.sleep(CONTEND_S * 4)
                continue
            self.owner_presence = self.tenure.presence
            parts = OwnerParts(
                self.store,
                self.parts.link,
                self.parts.directory,
                self.settings.timing,
                self.parts.wall_clock,
                lambda: self.configuration.state,
                self._may_order,
                self.statistics,
            )
            self.owner = Owner(parts, term)
            await self._own(self.owner)
            self.owner = None

    def _rank(self) -> int:
        """Return this host's place in the order in which hosts try to own the cell."""

        def weigh(name: str) -> bytes:
            return hashlib.blake2b(f"{name}/{self._owner_gone_at:.0f}".encode()).digest()

        mine = weigh(self.settings.name)
        return sum(1 for name in self.members if weigh(name) < mine)

    async def _own(self, owner: Owner) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._guard, owner)
            await owner.run()
            nursery.cancel_scope.cancel()
        if not self.is_draining:
            await self.tenure.give_up()
        if self.owner_presence == self.tenure.presence:
            self.owner_presence = None

    async def _guard(self, owner: Owner) -> None:
        """Depose the owner here once it may not give orders any more."""
        while True:
            await trio.sleep(0.05)
            if self.tenure.lease is None or not self._may_order():
                owner.depose()
                return

    def _may_order(self) -> bool:
        return self.tenure.is_valid or self._is_outage_agreed()

    def _is_outage_agreed(self) -> bool:
        """Whether the lease could not be renewed because nobody reaches the store."""
        now = trio.current_time()
        if self.tenure.lease is None or self.store.is_answering:
            return False
        if now - self.tenure.last_renewed > OUTAGE_LIMIT_S:
            return False
        fresh = [heard.news for heard in self.heard.values() if now - heard.at <= FRESH_S]
        if not fresh:
            return not self._others()
        return not any(news.store_ok for news in fresh)

    # News among peers

    def _make_news(self) -> News:
        owner = self.owner_presence
        term = self.owner.cell.term.number if self.owner else 0
        return News(
            self.settings.name,
            self.settings.peer_address,
            self.configuration.state.version,
            self.store.is_answering,
            term,
            owner.host if owner else "",
        )

    def render_statistics(self) -> str:
        """Return this host's figures as text."""
        gauges: dict[str, float] = {
            "configuration_version": self.configuration.state.version,
            "hosts": len(self.members),
            "store_answering": self.store.is_answering,
            "owner": self.owner is not None,
        }
        if self.owner is not None:
            gauges["term"] = self.owner.cell.term.number
            gauges["jobs_active"] = len(self.owner.cell.active)
            gauges["executors"] = len(self.owner.cell.executors)
        for call, count in self.store.calls.items():
            gauges[f"store_{call}_calls"] = count
        for call, count in self.store.failures.items():
            gauges[f"store_{call}_failures"] = count
        return self.statistics.render(gauges)

    async def _exchange_news(self) -> None:
        while True:
            pause = NEWS_S if self.store.is_answering else OUTAGE_NEWS_S
            with trio.move_on_after(pause):
                await self._news_wanted.wait()
            to_all = self._news_wanted.is_set() or not self.store.is_answering
            self._news_wanted = trio.Event()
            others = self._others()
            chosen = others if to_all else random.sample(others, min(FAN_OUT, len(others)))
            assert self._nursery is not None
            for address in chosen:
                self._nursery.start_soon(self._tell, address)

    async def _tell_changes(self) -> None:
        """Tell all peers at once of a new configuration, and when the store comes or goes."""
        was_ok = True
        version = 0
        while True:
            with trio.move_on_after(0.2):
                await self.configuration.changed.wait()
            is_ok = self.store.is_answering
            if is_ok != was_ok:
                log_event("store.regained" if is_ok else "store.lost", host=self.settings.name)
            if is_ok != was_ok or version != self.configuration.state.version:
                self._news_wanted.set()
            was_ok, version = is_ok, self.configuration.state.version

    async def _tell(self, address: str) -> None:
        body = encode_news(self._make_news())
        reply = await call_peer(self.parts.peers, address, Operation.NEWS, body)
        if isinstance(reply, PeerReply) and reply.status == OK:
            await self._take_news(decode_news(reply.body))

    async def _take_news(self, news: News) -> None:
        self.heard[news.host] = HeardNews(news, trio.current_time())
        if news.version > self.configuration.state.version:
            reply = await call_peer(self.parts.peers, news.address, Operation.CONFIGURATION, {})
            if isinstance(reply, PeerReply) and reply.status == OK:
                self.configuration.offer(base64.b64decode(reply.body["raw"]), news.host)

    # Operations asked by peers

    async def handle(self, frame: Frame) -> Frame:
        """Answer one frame of a peer."""
        forward = frame.forward
        if forward is None:
            return make_reply(NOT_HERE, {})
        body = json.loads(forward.body)
        status, answer = await self._handle(forward.operation, body)
        return make_reply(status, answer)

    async def _handle(self, operation: int, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if operation == Operation.NEWS:
            assert self._nursery is not None
            self._nursery.start_soon(self._take_news, decode_news(body))
            return OK, encode_news(self._make_news())
        if operation == Operation.CONFIGURATION:
            return OK, {"raw": base64.b64encode(self.configuration.raw).decode()}
        if operation == Operation.JOB_STATE:
            view = self.owner.view(body["job"]) if self.owner else None
            return (OK, _encode_view(view)) if view else (NOT_HERE, {})
        if operation == Operation.QUEUE_COUNT:
            count = self.owner.count_pending(body["queue"]) if self.owner else None
            return (OK, {"count": count}) if count is not None else (NOT_HERE, {})
        if operation == Operation.NOTE_JOB:
            if self.owner is not None and self.tenure.is_valid:
                self.owner.note_job(JobRecord.decode(base64.b64decode(body["record"])))
            return OK, {}
        if operation in (Operation.CELL_OVERVIEW, Operation.JOB_STORY):
            return await self._handle_question(operation, body)
        return await self._handle_intake(operation, body)

    async def _handle_question(
        self, operation: int, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        """Answer an operator, or pass the question on to the owner."""
        owner = self.owner
        if owner is None or not owner.is_ready:
            presence = self.owner_presence
            if presence is None or presence.host == self.settings.name or body.get("passed"):
                return NOT_TAKEN, {"reason": "no owner is known"}
            asked = {**body, "passed": True}
            reply = await call_peer(self.parts.peers, presence.address, operation, asked)
            if isinstance(reply, PeerReply):
                return reply.status, reply.body
            return NOT_TAKEN, {"reason": reply.reason}
        if operation == Operation.CELL_OVERVIEW:
            described = describe_cell(owner.cell, self.configuration.state, self.settings.name)
            return OK, {**described, "hosts": sorted(self.members)}
        job = owner.cell.jobs.get(body["job"])
        return (OK, describe_job(job)) if job else (410, {"reason": "there is no such job"})

    async def _handle_intake(
        self, operation: int, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if operation == Operation.ACCEPT_JOB:
            record = JobRecord.decode(base64.b64decode(body["record"]))
            outcome = await accept_job(self.store, record)
        elif operation == Operation.CANCEL_JOB:
            outcome = await cancel_job(self.store, body["job"], body["tenant"])
        else:
            return NOT_HERE, {}
        if isinstance(outcome, Taken):
            return OK, {"record": base64.b64encode(outcome.record.encode()).decode()}
        if isinstance(outcome, NoSuchJob):
            return 410, {}
        status = NOT_TAKEN if isinstance(outcome, NotTaken) else UNSETTLED
        return status, {"reason": outcome.reason}

    # Requests of callers

    async def accept(self, record: JobRecord, budget_s: float) -> IntakeOutcome:
        """Take a job in."""
        body = {"record": base64.b64encode(record.encode()).decode()}
        started = trio.current_time()
        outcome = await self._intake(
            lambda: self._accept_here(record), Operation.ACCEPT_JOB, body, budget_s
        )
        elapsed = trio.current_time() - started
        self.statistics.count("accepts", type(outcome).__name__)
        self.statistics.record(record.spec.tenant, record.spec.queue.name, Measure.ANSWER, elapsed)
        log_event(
            "job.accept",
            job=record.spec.id,
            queue=record.spec.queue.name,
            tenant=record.spec.tenant,
            store_answers=self.store.is_answering,
            took_s=round(elapsed, 3),
            version=self.configuration.state.version,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
        )
        return outcome

    async def _accept_here(self, record: JobRecord) -> IntakeOutcome:
        if self.store.is_answering:
            return await accept_job(self.store, record)
        return await accept_after_look(self.store, record)

    async def cancel(self, job_id: str, tenant: str, budget_s: float) -> IntakeOutcome:
        """Cancel a job."""
        outcome = await self._intake(
            lambda: cancel_job(self.store, job_id, tenant),
            Operation.CANCEL_JOB,
            {"job": job_id, "tenant": tenant},
            budget_s,
        )
        self.statistics.count("cancels", type(outcome).__name__)
        log_event("job.cancel", job=job_id, outcome=type(outcome).__name__)
        return outcome

    async def _intake(
        self, local: Any, operation: int, body: dict[str, Any], budget_s: float
    ) -> IntakeOutcome:
        """Try the store, and peers that reach it if this host does not."""
        peers = [
            partial(self._intake_by, address, operation, body) for address in self._store_peers()
        ]
        ways = [local, *peers, local] if self.store.is_answering else [*peers, local]
        outcome = await insist(ways, min(budget_s, ACCEPT_BUDGET_S))
        if isinstance(outcome, Taken):
            self._tell_owner(outcome.record)
        return outcome

    def _store_peers(self) -> list[str]:
        """Return up to two peers that said of late that they reach the store."""
        now = trio.current_time()
        good = [
            heard.news.address
            for heard in self.heard.values()
            if heard.news.store_ok and now - heard.at <= 2 * FRESH_S
        ]
        return random.sample(good, min(FAN_OUT, len(good)))

    async def _intake_by(self, address: str, operation: int, body: dict[str, Any]) -> IntakeOutcome:
        reply = await call_peer(self.parts.peers, address, operation, body, 1.2)
        if isinstance(reply, PeerUnreachable):
            return NotTaken(reply.reason) if reply.refused else Unsettled(reply.reason)
        if reply.status == OK:
            return Taken(JobRecord.decode(base64.b64decode(reply.body["record"])))
        if reply.status == 410:
            return NoSuchJob()
        reason = reply.body.get("reason", "")
        return NotTaken(reason) if reply.status == NOT_TAKEN else Unsettled(reason)

    def _tell_owner(self, record: JobRecord) -> None:
        """Let the owner know at once; its watch tells it otherwise."""
        if self.owner is not None:
            self.owner.note_job(record)
        elif self.owner_presence is not None and self._nursery is not None:
            body = {"record": base64.b64encode(record.encode()).decode()}
            address = self.owner_presence.address
            self._nursery.start_soon(call_peer, self.parts.peers, address, Operation.NOTE_JOB, body)

    async def find_job(self, job_id: str) -> JobView | NoSuchJob | Unavailable:
        """Return what may be told of a job."""
        known = self._final.get(job_id)
        if known is not None:
            return known
        view = await self._ask_owner_view(job_id)
        found = view if view is not None else await self._read_view(job_id)
        if isinstance(found, JobView) and found.status.is_final:
            self._final[job_id] = found
        return found

    async def _ask_owner_view(self, job_id: str) -> JobView | None:
        if self.owner is not None:
            return self.owner.view(job_id)
        if self.owner_presence is None:
            return None
        reply = await call_peer(
            self.parts.peers,
            self.owner_presence.address,
            Operation.JOB_STATE,
            {"job": job_id},
            QUERY_BUDGET_S,
        )
        if isinstance(reply, PeerReply) and reply.status == OK:
            return JobView(
                JobStatus(reply.body["status"]), reply.body["tenant"], reply.body["queue"]
            )
        return None

    async def _read_view(self, job_id: str) -> JobView | NoSuchJob | Unavailable:
        """Read a job from the store: it may lag behind what runs, but is never wrong."""
        item = await self.store.read(job_key(job_id))
        if isinstance(item, Unavailable):
            return item
        if isinstance(item, Missing):
            return NoSuchJob()
        record = JobRecord.decode(item.value)
        progress = await self.store.read(progress_key(job_id))
        if isinstance(progress, Unavailable):
            return progress
        status = JobStatus.PENDING
        if isinstance(progress, Item):
            status = ProgressRecord.decode(progress.value).status
        if record.cancelled and not status.is_final:
            status = JobStatus.CANCELLED
        return JobView(status, record.spec.tenant, record.spec.queue.name)

    async def count_pending(self, queue: str) -> int | None:
        """Return how many jobs of a queue have not begun; None if nobody can tell."""
        if self.owner is not None:
            return self.owner.count_pending(queue)
        if self.owner_presence is None:
            return None
        reply = await call_peer(
            self.parts.peers,
            self.owner_presence.address,
            Operation.QUEUE_COUNT,
            {"queue": queue},
            CALL_S,
        )
        if isinstance(reply, PeerReply) and reply.status == OK:
            return int(reply.body["count"])
        return None


def _encode_view(view: JobView) -> dict[str, Any]:
    return {"status": view.status.value, "tenant": view.tenant, "queue": view.queue}
