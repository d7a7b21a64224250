"""Records the fences of one owner's executors, and takes the tokens that new instances need.

Both are written with the record of executors in use, so they cost no calls of their own.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

import trio

from .fences import Fence, FenceRecord, encode_fences, fences_key, read_counter
from .fleet import ExecutorState
from .keystore import ConditionFailed, Put
from .owned_cell import OwnedCell
from .step_state import Phase


@dataclass(frozen=True, slots=True)
class FenceWrite:
    """What a write has to say of fences.

    `new_instances` are those that get `number` as their token, if there are any. `lease_ends` are
    the recorded times until which late deadlines may extend leases, by executor id (trio's clock).
    `is_recorded`: the store says all of it already.
    """

    number: int
    new_instances: tuple[ExecutorState, ...]
    lease_ends: dict[str, float]
    conditions: tuple[tuple[str, int], ...]
    puts: tuple[Put, ...]
    is_recorded: bool


class FenceRecorder:
    """Writes the fences and the counter of tokens in one term, and restores those before it."""

    def __init__(self, cell: OwnedCell) -> None:
        self._cell = cell
        self._number = cell.term.number
        self._counter_revision = cell.term.guard[1]
        self._written: dict[str, float] | None = {}

    # Taking over

    def restore(self, states: Iterable[ExecutorState], used_revision: int) -> None:
        """Restore what late orders of earlier owners may do at the inherited executors.

        `used_revision` is that of the record of executors in use, 0 if there is none. If it is not
        that of the fences, a host of an earlier version wrote it, and any order may be late.
        """
        fences, deadlines = self._cell.fences, self._cell.fences.deadlines
        known = {state.id: state for state in states if state.instance.born}
        if self._cell.term.fence_record.revision != used_revision:
            self._written = None
            for state in known.values():
                fences.expose(state, deadlines.earlier_until)
            return
        deadlines.mark_inheritance_complete()
        for state in known.values():
            deadlines.inherit(state.instance, deadlines.earlier_until)
        self._restore_recorded(known)

    def _restore_recorded(self, known: Mapping[str, ExecutorState]) -> None:
        """Restore the recorded fences, also those of executors that are not in use any more."""
        fences, record = self._cell.fences, self._cell.term.fence_record
        age_s = self._cell.parts.find_revision_age_s(record.revision)
        written_at = trio.current_time() - age_s
        for name, fence in record.fences.items():
            if fence.orders_left_s is not None:
                fences.deadlines.inherit(fence.instance, written_at + fence.orders_left_s)
            if fence.lease_left_s and name in known:
                lease_until = written_at + fence.lease_left_s
                longest_run_s = self._cell.parts.timing.longest_run_s
                fences.expose(known[name], lease_until - longest_run_s)

    # Recording

    def describe(self, states: Sequence[ExecutorState], lapsing: Collection[str]) -> FenceWrite:
        """Return what to write of some executors, and the token that some of them need.

        The leases of those that are `lapsing` are not renewed from this write on.
        """
        now, term = trio.current_time(), self._cell.term
        known = [state for state in states if state.instance.born]
        new = tuple(state for state in known if self._cell.fences.needs_token(state))
        ends = {s.id: s.late_lease_until for s in known if now < s.late_lease_until}
        number = self._number + 1 if new else self._number
        puts = [self._encode(number, known, lapsing)] if known else []
        conditions = []
        if new:
            puts.append(Put(term.counter_key, str(number).encode()))
            conditions.append((term.counter_key, self._counter_revision))
        is_recorded = not new and (not known or ends == self._written)
        return FenceWrite(number, new, ends, tuple(conditions), tuple(puts), is_recorded)

    def _encode(self, number: int, known: Sequence[ExecutorState], lapsing: Collection[str]) -> Put:
        """Return the stored fences, also of executors that are not in use any more."""
        now, term = trio.current_time(), self._cell.term
        late = self._cell.fences.deadlines.list_late()
        fences = {i.id: Fence(i, 0.0, until - now) for i, until in late.items()}
        fences |= {s.id: self._describe_fence(s, now, s.id in lapsing) for s in known}
        record = FenceRecord(number, term.guard[1], _drop_empty(fences))
        return Put(fences_key(term.counter_key), encode_fences(record))

    def _describe_fence(self, state: ExecutorState, now: float, is_lapsing: bool) -> Fence:
        orders_left_s = None
        if is_lapsing and not _is_starting(state):
            last = self._cell.fences.deadlines.find_last_end(state.id)
            orders_left_s = max(0.0, last - now)
        lease_left_s = max(0.0, state.late_lease_until - now)
        return Fence(state.instance, lease_left_s, orders_left_s)

    def note_committed(self, write: FenceWrite, revision: int) -> None:
        """Note that a write took effect, and use its token."""
        self._written = write.lease_ends
        if not write.new_instances:
            return
        self._number, self._counter_revision = write.number, revision
        for state in write.new_instances:
            if self._cell.executors.get(state.id) is state:
                self._cell.fences.assign_token(state, write.number)

    def update_counter(self, outcome: ConditionFailed) -> None:
        """Read the counter after a conflict; a write of this owner without an answer raised it."""
        item = outcome.items.get(self._cell.term.counter_key)
        if item is not None:
            self._number, self._counter_revision = read_counter(item), item.revision


def _is_starting(state: ExecutorState) -> bool:
    """Return whether a start may still be sent, which has the deadline that was set before."""
    return any(attempt.phase is Phase.STARTING for attempt in state.list_held())


def _drop_empty(fences: dict[str, Fence]) -> dict[str, Fence]:
    """Leave out the executors at which no late order matters."""
    return {
        name: fence
        for name, fence in fences.items()
        if fence.lease_left_s or fence.orders_left_s is not None
    }
