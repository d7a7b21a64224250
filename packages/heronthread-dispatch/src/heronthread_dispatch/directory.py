"""The owner's view of executors' directory entries, valid and invalid.

Anybody may write entries. An invalid one only keeps new work from its executor until a valid entry
replaces it; its runs are still supervised.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import trio

from .entries import DirectoryFormat, EntryFault, InvalidEntry
from .entry_change_log import EntryChangeLog
from .events import RepeatedEvents, describe_instance, log_event
from .fleet import ExecutorState, make_executor_state
from .keystore import Item, KeyRemoved, Listing
from .model import DesiredState, Executor
from .owned_cell import OwnedCell
from .pool_contents import PoolContents

MAX_UNKNOWN_POOL_ITEMS = 2_000
"""Entries kept to be parsed again once a configuration names their pool; an executor beyond this
limit is added at its next heartbeat. Twice the 1,000 executors of the largest deployment."""
REFUSAL_LOG_INTERVAL_S = 5.0
"""Log interval, for each fault, of invalid entries whose id has no executor; limits log floods."""


class Directory:
    """Applies directory entries to a cell and calls `begin` for each new executor.

    `sizes` tracks the capacity of valid entries; `listings` logs removed and restored entries.
    """

    def __init__(
        self,
        cell: OwnedCell,
        directory: DirectoryFormat,
        begin: Callable[[ExecutorState], None],
    ) -> None:
        self.sizes = PoolContents()
        self.listings = EntryChangeLog(cell.term.number)
        self._cell = cell
        self._format = directory
        self._begin = begin
        self._invalid: dict[str, InvalidEntry] = {}
        self._unknown_pool_items: dict[str, Item] = {}
        self._desired: DesiredState | None = None
        self._refusal_log = RepeatedEvents(REFUSAL_LOG_INTERVAL_S)

    @property
    def invalid_count(self) -> int:
        """Number of invalid entries."""
        return len(self._invalid)

    def take_listing(self, listing: Listing) -> None:
        """Apply a complete listing of the prefix."""
        present = set()
        for item in listing.items:
            self.take(item)
            present.add(item.key.removeprefix(self._format.prefix))
        self.sizes.remove_others(present, trio.current_time())
        for executor_id in self._invalid.keys() - present:
            self._forget(executor_id)
        for state in self._cell.executors.values():
            if state.id not in present:
                self._delist(state)

    def take(self, event: Item | KeyRemoved) -> None:
        """Apply one change."""
        executor_id = event.key.removeprefix(self._format.prefix)
        if isinstance(event, KeyRemoved):
            self._forget(executor_id)
            self.sizes.drop(executor_id, trio.current_time())
            state = self._cell.executors.get(executor_id)
            if state is not None:
                self._delist(state)
            return
        found = self._read(executor_id, event)
        if isinstance(found, InvalidEntry):
            self._quarantine(executor_id, found)
        else:
            self._accept(found)
        self.listings.note_listed(executor_id, self._cell.executors.get(executor_id))

    def retry_unknown_pools(self) -> None:
        """Parse entries of unknown pools again if the configuration has changed."""
        desired = self._cell.parts.desired()
        if desired is self._desired:
            return
        self._desired = desired
        for item in list(self._unknown_pool_items.values()):
            self.take(item)

    def _read(self, executor_id: str, item: Item) -> Executor | InvalidEntry:
        self._unknown_pool_items.pop(executor_id, None)
        found = self._format.parse(executor_id, item.value)
        if isinstance(found, InvalidEntry):
            return found
        state = self._cell.executors.get(executor_id)
        if state is not None and _names_other_instance(state, found):
            return _check_instance(state, found)
        if state is not None and _may_run_tasks(state):
            self._probe_other_address(state, found)
            return _check_location(state, found)
        if not self._is_known_pool(found.pool):
            if len(self._unknown_pool_items) < MAX_UNKNOWN_POOL_ITEMS:
                self._unknown_pool_items[executor_id] = item
            return InvalidEntry(EntryFault.UNKNOWN_POOL, found.pool)
        return found

    def _probe_other_address(self, state: ExecutorState, executor: Executor) -> None:
        """Probe an executor at the address of its entry if only the address differs.

        The known address may come from an earlier owner, whose host had another route to it.
        """
        state.moved_entry = executor if _differs_only_in_address(state, executor) else None
        if state.moved_entry is not None:
            state.wake.set()

    def _is_known_pool(self, pool: str) -> bool:
        """Whether a pool may get work: the configuration or an active job names it.

        Every pool passes while no configuration is known.
        """
        desired = self._cell.parts.desired()
        if desired.version == 0 or pool in desired.pools:
            return True
        return any(job.spec.queue.pool == pool for job in self._cell.active.values())

    def _accept(self, executor: Executor) -> None:
        now = trio.current_time()
        self._note_valid(executor.id)
        self.sizes.keep(executor, now)
        state = self._cell.executors.get(executor.id)
        if state is None:
            self._add(executor, now)
        elif _names_other_instance(state, executor):
            self._await_later_life(state, executor)
        else:
            self._renew(state, executor, now)
        self._cell.notify_use_changed()
        self._cell.wake_planner()

    def _add(self, executor: Executor, now: float) -> None:
        state = make_executor_state(executor, now)
        state.was_listed = True
        # No owner has used it yet, or it would be recorded as in use.
        state.is_listed_by_jobs = True
        # The store may still say how soon it lapses, of one that was given up before.
        state.is_renewal_suspended = True
        self._cell.executors[executor.id] = state
        state.evacuated = self._cell.is_evacuated(state)
        self._cell.stop_late_starts(state)
        log_event(
            "executor.found",
            **describe_instance(executor.instance),
            pool=executor.pool,
            rack=executor.rack,
            accelerators=executor.capacity.accelerators,
        )
        self._begin(state)

    def _await_later_life(self, state: ExecutorState, executor: Executor) -> None:
        """Stop new work for an instance whose entry names a later one, and probe the later one.

        Runs end only once the later instance answers, as anybody may have written the entry.
        """
        state.listed = state.was_listed = True
        state.has_unusable_entry = False
        # Each entry triggers one probe: the later instance may not answer the first one yet.
        state.announced_instance = executor
        state.wake.set()

    def _renew(self, state: ExecutorState, executor: Executor, now: float) -> None:
        if executor.capacity != state.executor.capacity:
            log_event(
                "executor.resized",
                **describe_instance(state.instance),
                before=list(state.executor.capacity),
                now=list(executor.capacity),
                used=list(state.executor.capacity.minus(state.free)),
            )
        is_other = state.instance.born not in (0, executor.born)
        state.is_entry_of_other_instance |= (
            is_other and state.is_inherited and not state.has_reported
        )
        state.apply_entry(executor)
        state.evacuated = self._cell.is_evacuated(state)
        if executor.leaves_in_s is None and state.leaves_at is not None:
            state.leaves_at = None
            log_event("executor.stays", **describe_instance(state.instance))
        if executor.leaves_in_s is not None and state.leaves_at is None:
            state.leaves_at = now + executor.leaves_in_s
            log_event(
                "executor.draining",
                **describe_instance(state.instance),
                leaves_in_s=executor.leaves_in_s,
            )

    def _quarantine(self, executor_id: str, bad: InvalidEntry) -> None:
        """Stop new work for an executor with an invalid entry; it still counts as listed."""
        self.sizes.drop(executor_id, trio.current_time())
        state = self._cell.executors.get(executor_id)
        if state is not None:
            state.listed = state.was_listed = True
            state.has_unusable_entry = True
        if self._invalid.get(executor_id) != bad:
            self._invalid[executor_id] = bad
            self._log_refusal(executor_id, bad, state)

    def _log_refusal(
        self, executor_id: str, bad: InvalidEntry, state: ExecutorState | None
    ) -> None:
        """Log an invalid entry once for each fault and detail, and count its fault."""
        self._cell.parts.statistics.count("bad_entries", bad.fault.value)
        fields = {"executor": executor_id, "fault": bad.fault.value, "detail": bad.detail}
        if state is None:
            self._refusal_log.log("entry.refused", (bad.fault,), known=False, **fields)
        else:
            log_event("entry.refused", known=True, runs=len(state.list_held()), **fields)

    def _note_valid(self, executor_id: str) -> None:
        if executor_id in self._invalid:
            self._forget(executor_id)
            log_event("entry.good_again", executor=executor_id)

    def _delist(self, state: ExecutorState) -> None:
        if state.listed:
            self.listings.note_removed(state)
        state.listed = False
        state.wake.set()
        # The next owner needs to know that the entry did not expire in an outage.
        self._cell.notify_use_changed()

    def _forget(self, executor_id: str) -> None:
        self._invalid.pop(executor_id, None)
        self._unknown_pool_items.pop(executor_id, None)


def _may_run_tasks(state: ExecutorState) -> bool:
    """Whether an executor may run tasks: it has reported, or an owner has used it."""
    return state.has_reported or state.is_inherited or bool(state.list_held())


def _names_other_instance(state: ExecutorState, executor: Executor) -> bool:
    """Whether an entry names another instance than the one that reports under the id.

    False if no instance has reported yet, or if its reports lack a start time to compare.
    """
    return state.has_reported and state.instance.born != 0 and executor.born != state.instance.born


def _check_instance(state: ExecutorState, executor: Executor) -> Executor | InvalidEntry:
    """Return the executor if its instance is later than the one that reports, else the fault."""
    if not executor.born:
        return InvalidEntry(EntryFault.MISSING_FIELD, "born")
    if executor.born < state.instance.born:
        return InvalidEntry(EntryFault.EARLIER_LIFE, str(executor.born))
    return executor


def _differs_only_in_address(state: ExecutorState, executor: Executor) -> bool:
    """Whether an entry names the instance that reports and differs only in its address.

    False without a start time, as another executor could answer at that address.
    """
    address = state.executor.address
    if not (state.has_reported and executor.born) or executor.address == address:
        return False
    return not isinstance(_check_location(state, replace(executor, address=address)), InvalidEntry)


def _check_location(state: ExecutorState, executor: Executor) -> Executor | InvalidEntry:
    """Return the executor, or a fault if its address, pool or failure domain has changed.

    These never change within one instance. At a wrong address another executor would answer, and
    runs that still go on would count as ended. An address inherited from an earlier owner may
    differ.
    """
    known = state.executor
    if state.has_reported and executor.address != known.address:
        return InvalidEntry(EntryFault.OTHER_PLACE, f"address {executor.address}")
    if executor.pool != known.pool:
        return InvalidEntry(EntryFault.OTHER_PLACE, f"pool {executor.pool}")
    if known.zone and executor.zone != known.zone:
        return InvalidEntry(EntryFault.OTHER_PLACE, f"failure domain {executor.zone}")
    return executor
