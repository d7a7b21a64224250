"""Proves that at most one owner sends orders while some hosts don't reach the store.

An owner goes on without a valid lease in an outage of the store, as no other host can take the cell
then. A partition looks the same from inside, however many hosts are on this side of it. So an owner
goes on only while a majority of its quorum accepts its orders. The quorum is a set of executors
that the store lists. An executor that has seen a new owner's token refuses all earlier owners, so
they have ended once so many of the quorum have answered the new owner that the rest is no majority.

An owner records a quorum only when all earlier owners are known to have ended (`earlier_owners`).
So only the owner that recorded it may have gone on without a lease.
"""

from __future__ import annotations

from collections.abc import Callable

import trio
from heronthread_coordination import Unavailable

from .clock import boot_time
from .executor_link import HoldOrder, Report
from .fleet import ExecutorState
from .keystore import Committed, ConditionFailed, Put, Transaction
from .model import ExecutorInstance
from .owned_cell import OwnedCell
from .quorum_record import QUORUM_KEY, QuorumRecord, choose_members, count_majority

NEVER = float("-inf")
ACCEPTED_S = 0.75
"""How long a member's acceptance of an order counts for the owner, from when it was sent."""
PROBE_INTERVAL_S = 0.2
PROBE_BEFORE_EXPIRY_S = 1.0
"""How long before its lease is over an owner begins to probe the quorum."""
REVIEW_INTERVAL_S = 1.0
FIRST_RECORD_PAUSE_S = 0.1
UNRESPONSIVE_MEMBER_S = 2.0
"""After so long without a report a member is replaced."""


class ExecutorQuorum:
    """Records an owner's quorum, and probes it while the owner's lease is not renewed."""

    def __init__(self, cell: OwnedCell, depose: Callable[[], None]) -> None:
        self._cell = cell
        self._depose = depose
        self._revision = 0
        self._recorded: list[frozenset[ExecutorInstance]] = []
        self._accepted_at: dict[ExecutorInstance, float] = {}

    def inherit(self, revision: int) -> None:
        """Take over the key of the quorum at a revision, 0 if it does not exist."""
        self._revision = revision

    @property
    def is_held(self) -> bool:
        """Whether a majority has just accepted orders, in each set that the store may list."""
        return bool(self._recorded) and all(
            self._count_accepting(members) >= count_majority(len(members))
            for members in self._recorded
        )

    def describe(self) -> dict[str, int]:
        """Return the fields of a log line that say how many members have just accepted orders."""
        members = self._recorded[-1] if self._recorded else frozenset()
        return {"quorum": len(members), "quorum_accepting": self._count_accepting(members)}

    def _count_accepting(self, members: frozenset[ExecutorInstance]) -> int:
        since = boot_time() - ACCEPTED_S
        return sum(self._accepted_at.get(member, NEVER) >= since for member in members)

    async def record(self) -> None:
        """Keep the recorded quorum up to date, until cancelled."""
        while True:
            current = self._recorded[-1] if self._recorded else frozenset()
            sound = [state for state in self._cell.executors.values() if self._is_sound(state)]
            members = choose_members(sound, current)
            if members and (members != current or len(self._recorded) > 1):
                await self._write(members)
            await trio.sleep(REVIEW_INTERVAL_S if self._recorded else FIRST_RECORD_PAUSE_S)

    def _is_sound(self, state: ExecutorState) -> bool:
        """Return whether an executor can be a member: the next owner will know of it."""
        if state.dead or not (state.recorded and state.has_reported):
            return False
        if state.leaves_at is not None or not state.listed:
            return False
        silent_since = state.unresponsive_since
        return silent_since is None or trio.current_time() - silent_since < UNRESPONSIVE_MEMBER_S

    async def _write(self, members: frozenset[ExecutorInstance]) -> None:
        term = self._cell.term
        record = QuorumRecord(term.guard[1], members)
        transaction = Transaction(
            (term.guard, (QUORUM_KEY, self._revision)), (Put(QUORUM_KEY, record.encode()),)
        )
        is_first = not self._recorded
        if not is_first:
            self._recorded.append(members)
        outcome = await self._cell.parts.store.commit(transaction)
        if isinstance(outcome, Committed):
            self._revision = outcome.revision
            self._recorded = [members]
            self._accepted_at = {m: at for m, at in self._accepted_at.items() if m in members}
        elif isinstance(outcome, ConditionFailed):
            self._update_revision(outcome)
        elif isinstance(outcome, Unavailable) and not is_first:
            self._recorded.pop()

    def _update_revision(self, outcome: ConditionFailed) -> None:
        """Read the revision after a conflict, or depose this owner if the term is over."""
        if self._cell.term.is_over(outcome):
            self._depose()
        item = outcome.items.get(QUORUM_KEY)
        self._revision = item.revision if item else 0

    async def probe(self) -> None:
        """Probe the members while the lease is about to end, or is over, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if self._cell.parts.find_lease_left_s() < PROBE_BEFORE_EXPIRY_S:
                    for state in self._list_members():
                        nursery.start_soon(self._probe_member, state)
                await trio.sleep(PROBE_INTERVAL_S)

    def _list_members(self) -> list[ExecutorState]:
        """Return the members in any set that the store may list."""
        members = frozenset[ExecutorInstance]().union(*self._recorded)
        states = (self._cell.executors.get(member.id) for member in members)
        return [state for state in states if state is not None and state.instance in members]

    async def _probe_member(self, state: ExecutorState) -> None:
        sent = boot_time()
        if await send_probe(self._cell, state, self._depose):
            self._accepted_at[state.instance] = max(
                sent, self._accepted_at.get(state.instance, NEVER)
            )


async def send_probe(
    cell: OwnedCell, state: ExecutorState, depose: Callable[[], None] | None = None
) -> bool:
    """Send an order that changes nothing at an executor but the token that it has seen.

    Return whether this instance has accepted it. `depose` is called if the answer shows that there
    is a newer owner.
    """
    token = cell.fences.tokens.find(state.id)
    outcome = await cell.parts.link.hold(state.executor, HoldOrder(token, 0, None, 0.0))
    if depose is not None and cell.fences.shows_newer_owner(state.id, token, outcome):
        depose()
    return isinstance(outcome, Report) and outcome.born in (0, state.instance.born)
