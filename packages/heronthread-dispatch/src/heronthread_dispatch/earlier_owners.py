"""What a new owner knows of the end of earlier owners, by the quorum that they recorded.

An earlier owner may go on without a lease while a majority of its quorum accepts its orders. The
executors that answer the new owner refuse it from then on.
"""

from __future__ import annotations

import trio

from .events import log_event
from .executor_quorum import ACCEPTED_S, PROBE_INTERVAL_S, send_probe
from .fleet import ExecutorState
from .host_lease import MAX_EXTENSION_S
from .keystore import Listing
from .model import ExecutorInstance
from .owned_cell import OwnedCell
from .quorum_record import QuorumRecord, count_blocking
from .record import Unreadable

REFUSED_AFTER_S = ACCEPTED_S + 0.1
"""How long an earlier owner may count the acceptance of an executor that has answered a new one."""


class EarlierOwners:
    """The quorum that a new owner has found, and which of its members refuse earlier owners."""

    def __init__(self, cell: OwnedCell) -> None:
        self._cell = cell
        self._began = trio.current_time()
        self._record: QuorumRecord | Unreadable | None = None
        self._record_revision = 0
        self._refusing: set[ExecutorInstance] = set()
        self._inherited: dict[ExecutorInstance, ExecutorState] = {}

    def take(self, listing: Listing) -> int:
        """Load the recorded quorum; return the revision of its key, 0 without one.

        If there is one, its owner may go on for `MAX_EXTENSION_S` until enough of it has answered.
        """
        for item in listing.items:
            self._record_revision = item.revision
            self._record = QuorumRecord.decode(item.value)
            if isinstance(self._record, Unreadable):
                log_event("record.unreadable", key=item.key, reason=self._record.reason)
            self._cell.expect_earlier_orders(self._began + MAX_EXTENSION_S)
        return self._record_revision

    def find_members(self) -> frozenset[ExecutorInstance]:
        """Return the recorded members."""
        return self._record.members if isinstance(self._record, QuorumRecord) else frozenset()

    def find_end_before(self, term_revision: int) -> float | None:
        """Return until when owners before a term may have sent orders, None if that is unknown.

        The owner of that term knew the end of those before if it recorded a quorum. The times are
        on trio's clock.
        """
        if self._record is None:
            return float("-inf")
        if isinstance(self._record, Unreadable) or self._record.term_revision != term_revision:
            return None
        age_s = self._cell.parts.find_revision_age_s(self._record_revision)
        return trio.current_time() - age_s + REFUSED_AFTER_S

    def have_ended(self) -> bool:
        """Return whether no earlier owner can have a majority of its quorum any more."""
        if self._record is None or trio.current_time() >= self._began + MAX_EXTENSION_S:
            return True
        if isinstance(self._record, Unreadable):
            return False
        return self._count_refusing() >= count_blocking(len(self._record.members))

    async def probe(self) -> None:
        """Probe the members that are known until enough have answered, or all owners have ended.

        For a load that has to wait before the executors are watched.
        """
        while not self.have_ended():
            members = self.find_members()
            async with trio.open_nursery() as nursery:
                for state in list(self._cell.executors.values()):
                    if state.instance in members - self._refusing:
                        nursery.start_soon(self._probe_member, state)
            await trio.sleep(PROBE_INTERVAL_S)

    async def _probe_member(self, state: ExecutorState) -> None:
        if await send_probe(self._cell, state):
            self._refusing.add(state.instance)

    def _count_refusing(self) -> int:
        """Return how many members refuse earlier owners, or have ended."""
        for member in self.find_members():
            state = self._cell.executors.get(member.id)
            if state is not None and state.instance == member:
                self._inherited[member] = state
            elif state is not None and state.has_reported and state.instance > member:
                self._refusing.add(member)
            known = self._inherited.get(member)
            if known is not None and (known.has_reported or known.dead):
                self._refusing.add(member)
        return len(self._refusing)

    def describe(self) -> dict[str, int]:
        """Return the fields of a log line that say how much of the quorum has answered."""
        members = self.find_members()
        refusing = self._count_refusing()
        return {
            "quorum": len(members),
            "quorum_answered": refusing,
            "quorum_required": count_blocking(len(members)) if members else 0,
        }
