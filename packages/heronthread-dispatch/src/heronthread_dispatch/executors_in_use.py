"""Records the executors in use for the next owner."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson
import trio
from heronthread_coordination import Unavailable

from .events import log_event
from .fence_recorder import FenceRecorder
from .field_bounds import MAX_REVISION, read_int
from .fleet import ExecutorState, RecordedLapse, make_executor_state
from .keystore import Committed, ConditionFailed, Listing, Put, Transaction
from .model import Executor, Resources, TaskKey
from .owned_cell import OwnedCell
from .progress import JobState
from .record import (
    MALFORMED,
    MAX_TASKS,
    Unreadable,
    decode_instance,
    read_remaining_s,
    round_remaining_s,
)
from .task_masks import TaskMasks

USED_KEY = "used/0"
NOTE_INTERVAL_S = 1.0
"""How often the remaining lease of unresponsive executors is recorded."""
LAPSING_AFTER_S = 0.9
"""How long an executor is unresponsive before it is recorded as not renewed.

Most answer again sooner, and the lease may be renewed only once the record is withdrawn.
"""
PAUSE_S = 0.15
WRITE_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class UsedExecutor:
    """The recorded state of an executor in use; `born` is its start time (Unix ms), 0 if unknown.

    `tasks` are those that an earlier version listed there, None for any. `is_listed_by_jobs`: the
    store lists the executor for every job that may be there. `lapses_in_s`: its lease is not
    renewed until this is withdrawn, so everything there ends within this time (s) after the write;
    None if the lease may be renewed. `lapse` is the first write of an unbroken series with
    `lapses_in_s`, None in that one. `is_unlisted`: an owner saw its entry go.
    """

    address: str
    pool: str
    tasks: tuple[TaskKey, ...] | None = None
    born: int = 0
    is_listed_by_jobs: bool = False
    lapses_in_s: float | None = None
    lapse: RecordedLapse | None = None
    is_unlisted: bool = False


class UsedExecutors:
    """Records executors in the store before the first start there, and removes gone ones."""

    def __init__(self, cell: OwnedCell, depose: Callable[[], None]) -> None:
        self._cell = cell
        self._depose = depose
        self._began = trio.current_time()
        self._written: dict[str, UsedExecutor] | None = {}
        self._revision = 0
        self._fences = FenceRecorder(cell)

    def take(self, listing: Listing) -> bool:
        """Load the executors that earlier owners may have used; return False if malformed."""
        known: dict[str, UsedExecutor] = {}
        for item in listing.items:
            self._revision = item.revision
            used = decode_used(item.value)
            if isinstance(used, Unreadable):
                log_event("record.unreadable", key=item.key, reason=used.reason)
                return False
            self._written = known = used
        now = trio.current_time()
        for executor_id, row in known.items():
            self._cell.executors[executor_id] = self._inherit(executor_id, row, now)
        self._fences.restore(self._cell.executors.values(), self._revision)
        return True

    def _inherit(self, executor_id: str, row: UsedExecutor, now: float) -> ExecutorState:
        executor = Executor(
            executor_id, row.address, row.pool, "", "", (), Resources(), born=row.born
        )
        state = make_executor_state(executor, now)
        state.listed = False
        state.recorded = True
        state.is_inherited = True
        state.is_listed_by_jobs = row.is_listed_by_jobs
        state.was_unlisted_before = row.is_unlisted
        if row.tasks is not None:
            state.only_tasks = frozenset(row.tasks)
        # Continue the recorded wait: restarting it at each takeover would delay jobs without limit.
        left_s = self._cell.unreported_runs_until - now
        if row.lapses_in_s is not None:
            state.is_renewal_suspended = True
            state.recorded_lapse = row.lapse or RecordedLapse(self._revision, row.lapses_in_s)
            left_s = min(row.lapses_in_s, self._find_left_s(state.recorded_lapse))
        state.renewed_until = now + max(0.0, left_s)
        return state

    def _find_left_s(self, lapse: RecordedLapse) -> float:
        """Return what is left (s) of a recorded wait, by the least age of its record."""
        return lapse.left_s - self._cell.parts.find_revision_age_s(lapse.revision)

    async def run(self) -> None:
        """Write each change, until cancelled."""
        while True:
            until_s = NOTE_INTERVAL_S if self._is_any_lapsing() else math.inf
            with trio.move_on_after(until_s):
                await self._cell.use_changed.wait()
            self._cell.use_changed = trio.Event()
            await self._write()
            await trio.sleep(WRITE_INTERVAL_S)

    def _is_any_lapsing(self) -> bool:
        now = trio.current_time()
        states = self._cell.executors.values()
        return any(now < s.lease_ends_by and self._find_unresponsive_s(s, now) > 0 for s in states)

    def _find_unresponsive_s(self, state: ExecutorState, now: float) -> float:
        """Return for how long (s) an executor has not answered this owner, 0.0 if it does.

        One that has never answered counts from the start of the term.
        """
        if state.unresponsive_since is not None:
            return now - state.unresponsive_since
        return now - self._began if state.is_inherited and state.clock is None else 0.0

    async def _write(self) -> None:
        while True:
            await self._record_adopted()
            states = [s for s in self._cell.executors.values() if not s.dead]
            now = trio.current_time()
            used = {state.id: self._describe(state, now) for state in states}
            lapsing = {name for name, row in used.items() if row.lapses_in_s is not None}
            fences = self._fences.describe(states, lapsing)
            if used == self._written and fences.is_recorded:
                self._mark_recorded(states, used)
                return
            for state in states:
                state.is_renewal_suspended |= used[state.id].lapses_in_s is not None
            transaction = Transaction(
                (self._cell.term.guard, (USED_KEY, self._revision), *fences.conditions),
                (Put(USED_KEY, encode_used(used)), *fences.puts),
            )
            outcome = await self._cell.parts.store.commit(transaction)
            if isinstance(outcome, Committed):
                self._revision = outcome.revision
                self._written = used
                _note_lapses(states, used, outcome.revision)
                self._fences.note_committed(fences, outcome.revision)
                self._mark_recorded(states, used)
                return
            if not isinstance(outcome, Unavailable):
                # The write may have been applied, or may be later.
                self._written = None
            if isinstance(outcome, ConditionFailed):
                self._update_revision(outcome)
            await trio.sleep(PAUSE_S)

    def _describe(self, state: ExecutorState, now: float) -> UsedExecutor:
        executor, tasks, lapses_in_s = state.executor, None, None
        if not state.has_reported and state.only_tasks is not None:
            tasks = tuple(sorted(state.only_tasks))
        if self._find_unresponsive_s(state, now) >= LAPSING_AFTER_S:
            lapses_in_s = round_remaining_s(state.lease_ends_by - now)
        return UsedExecutor(
            executor.address,
            executor.pool,
            tasks,
            state.instance.born,
            state.is_listed_by_jobs,
            lapses_in_s,
            None if lapses_in_s is None else state.recorded_lapse,
            not state.listed and (state.was_listed or state.was_unlisted_before),
        )

    def _update_revision(self, outcome: ConditionFailed) -> None:
        """Update the revision after a conflict, or depose this owner if the term is over."""
        if self._cell.term.is_over(outcome):
            self._depose()
        item = outcome.items.get(USED_KEY)
        self._revision = item.revision if item else 0
        self._fences.update_counter(outcome)

    def _mark_recorded(self, states: list[ExecutorState], used: dict[str, UsedExecutor]) -> None:
        """Mark executors as recorded in use.

        Also called if nothing was written, as an executor that was removed and returned has a new
        state.
        """
        for state in states:
            state.recorded = True
            state.is_renewal_suspended = used[state.id].lapses_in_s is not None
        self._cell.wake_planner()

    async def _record_adopted(self) -> None:
        """Record the placements of adopted runs.

        From then on only jobs that list the executor may be there, instead of any job.
        """
        reporting = [
            s for s in self._cell.executors.values() if s.has_reported and not s.is_listed_by_jobs
        ]
        if not reporting:
            return
        for job in self._list_jobs_at(reporting):
            self._cell.recorder.mark(job)
        await self._cell.recorder.wait_recorded()
        for state in reporting:
            jobs = self._list_jobs_at([state])
            state.is_listed_by_jobs = all(
                job.places.covers(_locate_held(job, state)) for job in jobs
            )

    def _list_jobs_at(self, states: list[ExecutorState]) -> list[JobState]:
        """Return the jobs of which runs may be at some executors."""
        names = {attempt.task.job for state in states for attempt in state.list_held()}
        return [self._cell.jobs[name] for name in names if name in self._cell.jobs]


def _note_lapses(states: list[ExecutorState], used: dict[str, UsedExecutor], revision: int) -> None:
    """Note which leases are not renewed from a write on, and which may be renewed again."""
    for state in states:
        left_s = used[state.id].lapses_in_s
        if left_s is None:
            state.recorded_lapse = None
        elif state.recorded_lapse is None:
            state.recorded_lapse = RecordedLapse(revision, left_s)


def _locate_held(job: JobState, state: ExecutorState) -> TaskMasks:
    """Return the placements of a job's runs at an executor."""
    return job.locate_attempts(
        attempt for attempt in state.list_held() if attempt.task.job == job.spec.id
    )


def encode_used(used: dict[str, UsedExecutor]) -> bytes:
    """Return the stored form."""
    rows = {name: _encode_row(row) for name, row in used.items()}
    return json.dumps(rows).encode()


def _encode_row(row: UsedExecutor) -> list[Any]:
    values: list[Any] = [row.address, row.pool, row.tasks, row.born, row.is_listed_by_jobs]
    lapse = (None, None) if row.lapse is None else (row.lapse.revision, row.lapse.left_s)
    values += [row.lapses_in_s, *lapse, row.is_unlisted or None]
    # Omitted if None, so that earlier versions can read the record.
    while values[-1] is None:
        values.pop()
    return values


def decode_used(data: bytes) -> dict[str, UsedExecutor] | Unreadable:
    """Decode the executors in use, by id.

    Earlier versions stored no start time and no `is_listed_by_jobs`.
    """
    try:
        return {str(name): _read_row(name, *row) for name, row in orjson.loads(data).items()}
    except MALFORMED as error:
        return Unreadable(repr(error))


def _read_row(
    name: str,
    address: Any,
    pool: Any,
    tasks: Any,
    born: Any = 0,
    is_listed_by_jobs: Any = False,
    lapses_in_s: Any = None,
    lapse_revision: Any = None,
    lapse_left_s: Any = None,
    is_unlisted: Any = None,
) -> UsedExecutor:
    if not isinstance(is_listed_by_jobs, bool):
        raise TypeError(f"is_listed_by_jobs of executor {name} is not a boolean")
    if is_unlisted is not None and is_unlisted is not True:
        raise TypeError(f"is_unlisted of executor {name} is neither true nor absent")
    keys = None if tasks is None else tuple(map(_read_task, tasks))
    instance = decode_instance(name, born)
    left_s = read_remaining_s(lapses_in_s)
    lapse = None if lapse_revision is None else _read_lapse(lapse_revision, lapse_left_s)
    return UsedExecutor(
        str(address),
        str(pool),
        keys,
        instance.born,
        is_listed_by_jobs,
        left_s,
        lapse,
        bool(is_unlisted),
    )


def _read_lapse(revision: Any, value: Any) -> RecordedLapse:
    left_s = read_remaining_s(value)
    if left_s is None:
        raise ValueError("a lapse without a remaining time")
    return RecordedLapse(read_int(revision, MAX_REVISION), left_s)


def _read_task(value: list[Any]) -> TaskKey:
    job, step, member, occurrence = value
    return TaskKey(
        str(job), *(read_int(number, MAX_TASKS) for number in (step, member, occurrence))
    )
