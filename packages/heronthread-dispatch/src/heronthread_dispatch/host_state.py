"""State shared by the tasks of one host: its adapters, and what it knows of its cell."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, TypeVar

import trio

from .approval import Approver, NoApprover
from .clock import boot_time
from .configuring import ConfigurationFormat, ConfigurationInForce
from .entries import DirectoryFormat
from .evacuation import Evacuations
from .events import RepeatedEvents
from .executor_link import ExecutorLink
from .host_lease import HostLease, HostRecord, Strength
from .keystore import KeyStore
from .known_load import KnownLoad
from .known_summary import Aged
from .observed_store import ObservedStore
from .operator_keys import OperatorKeys
from .owned_cell import Timing
from .owner import Owner
from .peer import Peers, PeerUnreachable
from .peer_messages import CALL_S, MalformedReply, PeerReply, call_peer
from .policy import DEFAULT_POLICY, Policy
from .preassignments import Membership, PreassignmentLog
from .predecessor import SeenOwner
from .record import MALFORMED, JobRecord
from .stall_summary import MAX_AGE_S, KnownStalls, StallSummary
from .stalls import StallHistory
from .statistics import Statistics

Read = TypeVar("Read")

MAX_SEEN_OWNERS = 4


@dataclass(frozen=True, slots=True)
class HostSettings:
    """A host's settings; `seeds` are peer addresses, some of which may be dead."""

    name: str
    peer_address: str
    seeds: tuple[str, ...] = ()
    strength: Strength = Strength()
    timing: Timing = Timing()
    policy: Policy = DEFAULT_POLICY


@dataclass(frozen=True, slots=True)
class HostParts:
    """A host's adapters and its clock (seconds since the epoch)."""

    store: KeyStore
    link: ExecutorLink
    peers: Peers
    configuration: ConfigurationFormat
    directory: DirectoryFormat
    wall_clock: Callable[[], float]
    approver: Approver = field(default_factory=NoApprover)


class HostState:
    """Holds one host's adapters, its lease, the known members, and the local or remote owner."""

    def __init__(self, settings: HostSettings, parts: HostParts) -> None:
        self.settings = settings
        self.parts = parts
        self.store = ObservedStore(parts.store)
        self.configuration = ConfigurationInForce(parts.configuration)
        self.evacuations = Evacuations(parts.configuration.evacuations)
        host_record = HostRecord(settings.name, settings.peer_address, settings.strength)
        self.host_lease = HostLease(self.store, host_record)
        self.operator_keys = OperatorKeys(
            self.store,
            self.configuration,
            self.evacuations,
            lambda: self.settings.timing.configuration_apply_s,
            settings.name,
        )
        self.members: dict[str, HostRecord] = {}
        self.member_revisions: dict[str, int] = {}
        self.preassignment_log = PreassignmentLog()
        self.known_load = KnownLoad()
        self.known_stalls = KnownStalls()
        self.owner: Owner | None = None
        self.known_owner: HostRecord | None = None
        self.seen_owners: deque[SeenOwner] = deque(maxlen=MAX_SEEN_OWNERS)
        self.no_orders_since = float("inf")
        self.statistics = Statistics()
        self.stalls = StallHistory()
        self._malformed = RepeatedEvents()
        self._nursery: trio.Nursery | None = None

    @property
    def no_orders_s(self) -> float:
        """For how long (s) no process at this host's address has sent orders to executors.

        Counted from when this process had the address for itself, or from the end of its last term.
        """
        return 0.0 if self.owner is not None else max(0.0, boot_time() - self.no_orders_since)

    def find_known_stalls(self) -> Aged[StallSummary] | None:
        """Return the newest summary of stalled jobs with its age, None without a recent one."""
        known = self.known_stalls.find(boot_time())
        return None if known is None or known.age_s > MAX_AGE_S else known

    def describe_unknown(self, job_id: str) -> dict[str, Any]:
        """Return the answer to a query for a job that the local owner doesn't know.

        It names the owner's term only if the owner would know the job had it been accepted.
        """
        owner = self.owner
        if owner is None or not self.host_lease.is_valid or not owner.would_know(job_id):
            return {}
        return {"unknown_in_term": owner.cell.term.number}

    def give_to_owner(self, record: JobRecord) -> bool:
        """Give a job to the local owner; False without one, or if another may have taken over."""
        if self.owner is None or not self.host_lease.is_valid:
            return False
        return self.owner.apply_job(record)

    def note_owner(self, seen: SeenOwner) -> None:
        """Note an owner of the cell, unless it is already known."""
        if all(owner.revision != seen.revision for owner in self.seen_owners):
            self.seen_owners.append(seen)

    def find_members(self, revision: int) -> Membership | None:
        """Return the hosts that were members before a term began, and have been since.

        None if this host has not seen the term's owner, as its members may then be out of date.
        """
        owner = next((seen for seen in self.seen_owners if seen.revision == revision), None)
        if owner is None:
            return None
        name = self.settings.name
        was_member = 0 < self.host_lease.member_revision < revision
        others = {
            self.members[host].address: self.member_revisions[host]
            for host in self.members.keys() - {name, owner.host_record.host}
            if self.member_revisions[host] < revision
        }
        is_own = owner.host_record.host == name
        return Membership(was_member and is_own, was_member and not is_own, others)

    def describe_seen_owners(self) -> dict[str, float]:
        """Return for how long (s) the last owners have been known, by their keys' revisions."""
        now = trio.current_time()
        return {str(owner.revision): now - owner.seen_at for owner in self.seen_owners}

    def spawn(self, function: Callable[..., Awaitable[object]], *arguments: Any) -> None:
        """Start a background task of this host."""
        assert self._nursery is not None, "the host is not running"
        self._nursery.start_soon(function, *arguments)

    async def ask_peer(
        self, address: str, operation: int, body: dict[str, Any], timeout_s: float = CALL_S
    ) -> PeerReply | PeerUnreachable:
        """Call one operation of a peer."""
        reply = await call_peer(self.parts.peers, address, operation, body, timeout_s)
        if isinstance(reply, MalformedReply):
            self.note_malformed(operation, address, reply.reason)
        return reply

    def note_malformed(self, operation: int, address: str, error: str) -> None:
        """Log a malformed message from a peer, rate-limited by operation and address.

        A broken peer sends one with every call and would flood the log.
        """
        key = (operation, address)
        self._malformed.log(
            "peer.malformed", key, operation=operation, address=address, error=error
        )

    def read_reply(
        self,
        reply: PeerReply,
        operation: int,
        address: str,
        decode: Callable[[dict[str, Any]], Read],
    ) -> Read | None:
        """Decode a peer's reply; None if it is malformed."""
        try:
            return decode(reply.body)
        except MALFORMED as error:
            self.note_malformed(operation, address, repr(error))
            return None
