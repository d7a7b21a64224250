"""The owner of the cell: loads the state at a takeover, then plans until it is deposed."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

import trio
from heronthread_coordination import Measure, Unavailable

from .clock import boot_time
from .directory import Directory
from .domains import log_evacuation_limits
from .earlier_owners import REFUSED_AFTER_S, EarlierOwners
from .events import RepeatedEvents, describe_instance, log_event
from .executor_quorum import ExecutorQuorum
from .executor_watch import ExecutorWatch
from .executors_in_use import USED_KEY, UsedExecutors
from .fleet import ExecutorState
from .host_lease import Term
from .job_memory import count_states, find_peak_memory_mb
from .keystore import Item, KeyRemoved, Listing
from .load_report import LoadReport
from .load_rows import make_load_sources
from .model import JobSpec, PreassignmentEpoch
from .orders import Orders
from .owned_cell import JOB_PREFIX, STALE_OWNER_S, OwnedCell, OwnerParts
from .plan import Plan
from .planner import Planner
from .pool_contents import Kind, find_misfit
from .predecessor import Predecessor
from .prefix_watcher import PrefixWatcher
from .progress import JobState
from .quorum_record import QUORUM_KEY
from .recent_peaks import RecentPeaks
from .record import (
    JobRecord,
    JobStatus,
    Unreadable,
    decode_job,
    decode_progress,
)
from .recorder import PROGRESS_PREFIX, Deposed, progress_key
from .retention import remove_expired_jobs
from .run_monitor import RunMonitor
from .share_accounting import ShareAccounting, log_changes
from .spares import Spares
from .stall_monitor import StallMonitor, describe_unresponsive
from .stalls import JobStall
from .turns import TURN_S, Turns

PAUSE_S = 0.15
PREDECESSOR_RETRY_S = 0.3
QUORUM_CHECK_S = 0.02
COALESCE_S = 0.012
PLAN_EVERY_S = 0.5
ROOM_NOTE_INTERVAL_S = 1.0
STARTS_PAUSE_S = 0.05
"""Until the next plan if one had to leave starts to it; starts are answered meanwhile."""
FIRST_REPORTS_S = 0.04
LONG_BARRIER_S = 1.0
TOLD_EVERY_S = 2.0
URGENT_WINDOW_S = 12.0
LATE_STARTS_WRITE_INTERVAL_S = 1.5
NAMES_WRITE_INTERVAL_S = 0.5
ENTRY_RETURN_TIMEOUT_S = 2.0 + 0.5
"""The documented time in which an executor rewrites its entry, plus the notification delay."""
MAX_TAKEOVER_S = 4.0
"""How long after the end of a store outage a lost owner is replaced: its lease, which waited, and
the time until the next owner has loaded the state."""
DIRECTORY_GATHER_S = 0.25
"""How long directory updates are batched; shorter than the minimum drain time of 2 s. Each executor
writes its entry every 1.5 s."""


@dataclass(frozen=True, slots=True)
class JobView:
    """The public view of a job; `stall` is the reason why it is delayed, None if unknown."""

    status: JobStatus
    tenant: str
    queue: str
    stall: JobStall | None = None


class Owner:
    """One term of ownership; `run` returns when it is over."""

    def __init__(self, parts: OwnerParts, term: Term, predecessor: Predecessor) -> None:
        self.parts = parts
        self._predecessor = predecessor
        self._is_predecessor_known = False
        self.cell = OwnedCell(parts, term)
        self.cell.load_sources = make_load_sources(self.cell)
        self.is_ready = False
        self._scope = trio.CancelScope()
        self._nursery: trio.Nursery | None = None
        self._orders: Orders | None = None
        self._plan_numbers = itertools.count(1)
        self._urgent_demand = RecentPeaks(URGENT_WINDOW_S)
        self._room_events = RepeatedEvents()
        self._room_noted_at = float("-inf")
        self._set_aside: set[str] = set()
        self._used_executors = UsedExecutors(self.cell, self.depose)
        self._earlier_owners = EarlierOwners(self.cell)
        self.quorum = ExecutorQuorum(self.cell, self.depose)
        self.stall_monitor = StallMonitor(self.cell)
        self._accounting = ShareAccounting(self.cell.learned.shares)
        self._share_events = RepeatedEvents()
        self._names_written_at = trio.current_time()
        self._waits_logged_at = float("-inf")
        self.directory = Directory(self.cell, parts.directory, self._watch)

    @property
    def is_settled(self) -> bool:
        """Whether it plans, and every inherited executor has reported or expired."""
        return self.is_ready and not self.cell.silent()

    def depose(self) -> None:
        """End this term, because another host owns the cell or ownership can't be confirmed."""
        if not self._scope.cancel_called:
            log_event("owner.deposed", term=self.cell.term.number)
        self.is_ready = False
        self._scope.cancel()

    async def run(self) -> None:
        """Take over, then plan until deposed."""
        started = trio.current_time()
        with self._scope:
            jobs = PrefixWatcher(
                self.parts.store, JOB_PREFIX, self._apply_jobs, self._apply_job_event
            )
            directory = PrefixWatcher(
                self.parts.store,
                self.parts.directory.prefix,
                self.directory.take_listing,
                self.directory.take,
                gather_s=DIRECTORY_GATHER_S,
                max_staleness_s=lambda: self.parts.timing.drain_s,
            )
            await self._load(jobs, directory)
            log_event(
                "owner.loaded",
                term=self.cell.term.number,
                jobs=len(self.cell.jobs),
                active=len(self.cell.active),
                executors=len(self.cell.executors),
                seconds=round(trio.current_time() - started, 3),
                peak_memory_mb=round(find_peak_memory_mb(), 1),
                **count_states(self.cell.active.values()),
                term_age_s=self.stall_monitor.term_age_s,
                unlisted=self._describe_unlisted(),
            )
            await self._work(jobs, directory)
        self.is_ready = False

    async def _work(self, jobs: PrefixWatcher, directory: PrefixWatcher) -> None:
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self._orders = Orders(self.cell, nursery, self.depose)
                nursery.start_soon(self.cell.recorder.run)
                nursery.start_soon(self._orders.run_stops)
                for state in list(self.cell.executors.values()):
                    self._watch(state)
                nursery.start_soon(jobs.run)
                nursery.start_soon(directory.run)
                nursery.start_soon(self._used_executors.run)
                nursery.start_soon(self._follow_evacuations)
                nursery.start_soon(RunMonitor(self.cell).run)
                nursery.start_soon(remove_expired_jobs, self.cell)
                nursery.start_soon(self.cell.approvals.run)
                nursery.start_soon(self.stall_monitor.run)
                nursery.start_soon(Spares(self.cell).run)
                nursery.start_soon(LoadReport(self.cell).run)
                self.is_ready = True
                nursery.start_soon(self._wait_for_earlier_runs)
                nursery.start_soon(self._ask_predecessor)
                nursery.start_soon(self._run_quorum)
                nursery.start_soon(self._drop_unused_preassignments)
                nursery.start_soon(self._expire_late_starts)
                await trio.sleep(FIRST_REPORTS_S)
                await self._plan_for_ever()
        except* Deposed:
            self.depose()

    # Taking over

    async def _load(self, jobs: PrefixWatcher, directory: PrefixWatcher) -> None:
        """Read the whole state concurrently, then apply it.

        All reads begin after the owner key was acquired, so no earlier owner writes any more.
        Evacuations are read as well, so that they are in force from the first start on.
        """
        found: dict[str, Listing] = {}
        began = boot_time()

        async def fetch(prefix: str) -> None:
            found[prefix] = await self._list(prefix)

        evacuation_prefixes = self.parts.evacuations.prefixes
        record_prefixes = (QUORUM_KEY, USED_KEY, PROGRESS_PREFIX)
        prefixes = (*record_prefixes, directory.prefix, jobs.prefix, *evacuation_prefixes)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.parts.learn_revisions)
            for prefix in prefixes:
                nursery.start_soon(fetch, prefix)
        for prefix in evacuation_prefixes:
            self.parts.evacuations.take_listing(found[prefix], (prefix,))
        self.quorum.inherit(self._earlier_owners.take(found[QUORUM_KEY]))
        is_use_known = self._used_executors.take(found[USED_KEY])
        await self._load_jobs(found[jobs.prefix])
        jobs.resume(found[jobs.prefix], began)
        directory.begin(found[directory.prefix], began)
        if not is_use_known:
            await self._wait_for_unknown_runs()
        await self._load_progress(found[PROGRESS_PREFIX])
        self.cell.apply_evacuations()
        self.cell.notify_use_changed()

    async def _wait_for_unknown_runs(self) -> None:
        """Wait until every lease of an earlier owner has expired, as its executors are unknown."""
        await self._earlier_owners.probe()
        self._limit_earlier_runs(trio.current_time() + REFUSED_AFTER_S, "quorum")
        await trio.sleep_until(self.cell.unreported_runs_until)

    def _describe_unlisted(self) -> list[dict[str, Any]]:
        """Describe inherited executors that have no entry now."""
        states = (state for state in self.cell.silent() if not state.listed)
        return describe_unresponsive(states, trio.current_time())

    async def _list(self, prefix: str) -> Listing:
        while True:
            listing = await self.parts.store.list(prefix)
            if not isinstance(listing, Unavailable):
                return listing
            await trio.sleep(PAUSE_S)

    async def _load_progress(self, listing: Listing) -> None:
        turns = Turns()
        for item in listing.items:
            job = self.cell.jobs.get(item.key.removeprefix(PROGRESS_PREFIX))
            if job is not None:
                self._restore(job, item)
            await turns.take()
        for job in list(self.cell.active.values()):
            if job.status.is_final:
                del self.cell.active[job.spec.id]
            if job.recorded is not job.status and job.status.is_final:
                self.cell.recorder.mark(job)

    def _restore(self, job: JobState, item: Item) -> None:
        """Restore a job's progress, or set the job aside if the record can't be read."""
        record = decode_progress(item.value)
        if not isinstance(record, Unreadable) and job.fits(record):
            job.restore(record, item.revision)
            self.cell.restore_crashes(job)
            age_s = self.parts.find_revision_age_s(item.revision)
            self.cell.restore_starts(job, record, age_s)
            return
        reason = record.reason if isinstance(record, Unreadable) else "it is not of this job"
        log_event("record.unreadable", key=item.key, reason=reason)
        self._set_aside.add(job.spec.id)
        self.cell.forget(job)

    async def _wait_for_earlier_runs(self) -> None:
        """Wait until every inherited executor has reported, or its lease has expired.

        Meanwhile only tasks that can't be at these executors are started.
        """
        started = trio.current_time()
        waited_for = [state.id for state in self.cell.silent()]
        while self.cell.silent():
            await trio.sleep(0.02)
            self._drop_missing_executors(started)
            self.cell.wake_planner()
            self._log_barrier_wait(trio.current_time() - started)
            self._drop_reported_names()
        self.cell.fail_crashing_jobs()
        self._drop_inherited_names()
        log_event(
            "owner.ready",
            term=self.cell.term.number,
            barrier_s=round(trio.current_time() - started, 3),
            term_age_s=self.stall_monitor.term_age_s,
            waited_for=waited_for,
        )

    async def _ask_predecessor(self) -> None:
        """Shorten the wait for executors that have not reported, if the predecessor's end is known.

        Asked again until then, as the predecessor's host may come back.
        """
        term = self.cell.term
        while self.cell.silent():
            before = self._earlier_owners.find_end_before(term.previous_revision)
            if before is None:
                return
            ended_at = await self._predecessor.find_end_of_orders(term, STALE_OWNER_S)
            if ended_at is not None:
                self._is_predecessor_known = True
                self._limit_earlier_runs(max(ended_at, before), "its host")
                return
            await trio.sleep(PREDECESSOR_RETRY_S)

    async def _run_quorum(self) -> None:
        """Wait until the quorum shows that earlier owners have ended, then record and probe it."""
        while not self._earlier_owners.have_ended():
            await trio.sleep(QUORUM_CHECK_S)
        if self._earlier_owners.find_members():
            self._limit_earlier_runs(trio.current_time() + REFUSED_AFTER_S, "quorum")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.quorum.record)
            nursery.start_soon(self.quorum.probe)

    def _limit_earlier_runs(self, ended_at: float, by: str) -> None:
        log_event(
            "owner.predecessor_ended",
            term=self.cell.term.number,
            ago_s=round(trio.current_time() - ended_at, 3),
            by=by,
            **self._earlier_owners.describe(),
        )
        self.cell.limit_earlier_runs(ended_at)

    async def _drop_unused_preassignments(self) -> None:
        """Stop counting what the predecessor recorded in advance, if it can have used none of it.

        A record of an owner before that one counts as used.
        """
        preassignments, unused = self.parts.preassignments, 0
        found: dict[PreassignmentEpoch, list[JobState]] = {}
        for job in self.cell.active.values():
            epoch = job.places.inherited_epoch
            if epoch is not None and epoch.revision == self.cell.term.previous_revision:
                found.setdefault(epoch, []).append(job)
        for epoch, jobs in found.items():
            if preassignments is None or not await preassignments.is_unused(epoch):
                continue
            unused += len(jobs)
            for job in jobs:
                job.places.drop_unused()
                self.cell.recorder.mark(job)
        if found:
            log_event(
                "owner.preassignments",
                term=self.cell.term.number,
                jobs=sum(map(len, found.values())),
                unused=unused,
            )
            self.cell.wake_planner()

    def _log_barrier_wait(self, waited_s: float) -> None:
        """Log periodically which inherited executors have not reported yet."""
        now = trio.current_time()
        if waited_s < LONG_BARRIER_S or now - self._waits_logged_at < TOLD_EVERY_S:
            return
        self._waits_logged_at = now
        silent = self.cell.silent()
        log_event(
            "owner.waits",
            term=self.cell.term.number,
            term_age_s=self.stall_monitor.term_age_s,
            waited_s=round(waited_s, 3),
            silent=len(silent),
            **self._earlier_owners.describe(),
            silences=describe_unresponsive(silent, now),
        )

    def _drop_reported_names(self) -> None:
        """Remove placements periodically at inherited executors that have reported since.

        If one of them became unresponsive again, the next owner would withhold tasks that are not
        there.
        """
        now = trio.current_time()
        if now - self._names_written_at < NAMES_WRITE_INTERVAL_S:
            return
        self._names_written_at = now
        silent = self.cell.list_unreported_ids()
        self._mark(lambda job: not job.has_attempts and job.places.names_others(silent))

    def _drop_inherited_names(self) -> None:
        """Remove all placements of earlier owners from the store once none is uncertain.

        The next owner would otherwise wait for the same unresponsive executors again.
        """
        self._mark(lambda job: job.places.inherited is None or bool(job.places.inherited))

    async def _expire_late_starts(self) -> None:
        """Remove the recorded late starts of earlier owners once their runs are over.

        Until then their remaining time is written periodically.
        """
        while trio.current_time() < self._find_last_late_run():
            await trio.sleep(LATE_STARTS_WRITE_INTERVAL_S)
            self._mark(lambda job: bool(job.places.starts or job.places.earlier))
        self._mark(lambda job: bool(job.places.starts))

    def _find_last_late_run(self) -> float:
        """Return when the last run that a late order of an earlier owner began is over."""
        last_order = max(self.cell.late_orders_until, self.cell.fences.deadlines.earlier_until)
        return last_order + self.parts.timing.longest_run_s

    def _mark(self, is_meant: Callable[[JobState], bool]) -> None:
        """Mark the active jobs that match for recording."""
        for job in self.cell.active.values():
            if is_meant(job):
                self.cell.recorder.mark(job)

    def _drop_missing_executors(self, started: float) -> None:
        """Drop inherited executors whose entries expired in a store outage and did not return.

        They are rewritten within 2 s of the end of an outage, so an executor without one is gone.
        That holds for an outage that ended as this term began, for entries that no owner saw go,
        and unless the predecessor's host says when that sent its last order. Any other missing
        entry proves nothing: an executor that left or that is partitioned keeps its runs until
        their lease expires.
        """
        if trio.current_time() < started + ENTRY_RETURN_TIMEOUT_S:
            return
        returned_at = self.parts.find_outage_end()
        is_recent = started - MAX_TAKEOVER_S <= returned_at <= started
        if not is_recent or self._is_predecessor_known or not self._earlier_owners.have_ended():
            return
        for state in self.cell.silent():
            if not state.was_listed and not state.was_unlisted_before:
                log_event(
                    "executor.gone",
                    **describe_instance(state.instance),
                    entry_missing_s=ENTRY_RETURN_TIMEOUT_S,
                    store_back_s=round(trio.current_time() - returned_at, 3),
                )
                state.mark_ended()

    # Executors

    def _watch(self, state: ExecutorState) -> None:
        """Start watching an executor; those found during the load are started after it."""
        if self._nursery is not None:
            self._nursery.start_soon(self._watch_until_gone, state)

    async def _watch_until_gone(self, state: ExecutorState) -> None:
        await ExecutorWatch(self.cell, state, self.depose).run()
        self.cell.notify_use_changed()

    async def _follow_evacuations(self) -> None:
        """Apply each change of the evacuated domains, and log unknown ones and lost guarantees."""
        evacuations = self.parts.evacuations
        while True:
            changed = evacuations.changed
            self.cell.apply_evacuations()
            log_evacuation_limits(self.cell)
            await changed.wait()

    # Jobs

    async def _load_jobs(self, listing: Listing) -> None:
        turns = Turns()
        for item in listing.items:
            self._apply_job_event(item)
            await turns.take()

    def _apply_jobs(self, listing: Listing) -> None:
        for item in listing.items:
            self._apply_job_event(item)

    def _apply_job_event(self, event: Item | KeyRemoved) -> None:
        if not isinstance(event, Item):
            return
        record = decode_job(event.value)
        if isinstance(record, Unreadable):
            log_event("record.unreadable", key=event.key, reason=record.reason)
        elif isinstance(record, JobRecord) and record.spec.id not in self._set_aside:
            self.cell.apply_job(record, event.created)

    def apply_job(self, record: JobRecord) -> bool:
        """Apply a job or a cancellation that a peer reports; False if this owner does not decide.

        It may have listed the jobs already, so the peer has to report it again.
        """
        if not self.is_ready:
            return False
        if record.spec.id not in self._set_aside:
            self.cell.apply_job(record)
        return True

    def view(self, job_id: str) -> JobView | None:
        """Return the public view of a job; None if this owner doesn't know it."""
        job = self.cell.jobs.get(job_id)
        if job is None or not self.is_ready:
            return None
        stall = self.stall_monitor.find_stall(job_id)
        return JobView(job.shown, job.spec.tenant, job.spec.queue.name, stall)

    def would_know(self, job_id: str) -> bool:
        """Return whether this owner would list a job that was accepted.

        It can't without the store, whose watch delivers jobs, and not of a job whose record it
        could not read.
        """
        is_able = self.is_ready and self.parts.is_store_available()
        return is_able and job_id not in self._set_aside and job_id not in self.cell.jobs

    def check_fit(self, spec: JobSpec) -> tuple[str, list[Kind]]:
        """Return the reason why a job can never be placed, "" if it can, and the kinds of its pool.

        Jobs that are already accepted are kept, and a pool whose size is not settled is not
        checked.
        """
        now = trio.current_time()
        pool = self.parts.desired().current_queue(spec).pool
        kinds = self.directory.sizes.list_kinds(pool, now)
        if not self.is_ready or not kinds or not self.directory.sizes.is_settled(pool, now):
            return "", kinds
        if spec.id in self.cell.jobs:
            return "", kinds
        return find_misfit(kinds, spec, pool), kinds

    def count_pending(self, queue: str) -> int | None:
        """Return the number of accepted jobs of a queue that have not begun."""
        if not self.is_ready:
            return None
        jobs = self.cell.active.values()
        return sum(1 for j in jobs if j.spec.queue.name == queue and not j.begun)

    # Deciding

    async def _plan_for_ever(self) -> None:
        recheck, took = PLAN_EVERY_S, 0.0
        while True:
            with trio.move_on_after(recheck):
                await self.cell.changed.wait()
            # Planning takes at most half of the time, however long one plan takes.
            await trio.sleep(max(COALESCE_S, took))
            self.cell.changed = trio.Event()
            if not self.parts.may_send_orders():
                await trio.sleep(PAUSE_S)
                continue
            began = trio.current_time()
            recheck = await self._plan()
            took = trio.current_time() - began
            self.parts.statistics.record("", "", Measure.PLAN, took)

    async def _plan(self) -> float:
        """Make a plan and carry it out in parts; return the delay (s) until the next one."""
        now = trio.current_time()
        self.directory.retry_unknown_pools()
        self.directory.listings.tell()
        self._charge_customers(now)
        planner = Planner(
            self.cell.active.values(),
            self.cell.executors.values(),
            self.parts.desired(),
            now,
            self.parts.wall_clock(),
            self._urgent_demand.peaks(now),
            self.cell.make_withheld_check(),
            self.cell.approvals,
            self.parts.policy,
            self.parts.timing.stop_s,
            self.parts.can_write_store(),
            self.cell.find_required_executors(),
            learned=self.cell.learned,
            late_starts=self.cell.late_starts.list_tasks(),
        )
        planner.number = next(self._plan_numbers)
        planner.steps_to_explain = self.stall_monitor.take_explanation_requests()
        recheck = PLAN_EVERY_S
        while True:
            assert self._orders is not None
            capacity = self._orders.start_capacity
            plan = planner.make(TURN_S, capacity)
            self._urgent_demand.note(trio.current_time(), planner.urgent_demand())
            self._carry_out(plan)
            if plan.replan_in_s is not None:
                recheck = min(recheck, max(0.02, plan.replan_in_s))
            is_full = sum(map(len, plan.groups)) >= capacity
            if planner.is_complete:
                self._note_room(planner, now)
                self.stall_monitor.record_plan(planner.causes, trio.current_time())
            if planner.is_complete or is_full:
                return min(recheck, STARTS_PAUSE_S) if is_full else recheck
            await trio.sleep(0)
            if not self.parts.may_send_orders():
                return recheck

    def _charge_customers(self, now: float) -> None:
        """Charge customers for what they hold, and find and log who is above its fair share."""
        if not self.parts.policy.fair_shares:
            return
        changed = self._accounting.update(
            self.cell.active.values(),
            self.cell.executors.values(),
            self.parts.desired(),
            now,
            self.parts.wall_clock(),
        )
        for standing in changed.values():
            kind = "above" if standing.is_above else "within"
            self.parts.statistics.count("customer_shares", kind)
        log_changes(changed, self._share_events)

    def _note_room(self, planner: Planner, now: float) -> None:
        """Keep periodically what is reserved for urgent work and lent, and log it by pool."""
        if now - self._room_noted_at < ROOM_NOTE_INTERVAL_S:
            return
        self._room_noted_at = now
        self.cell.urgent_room = planner.describe_room()
        for pool, found in self.cell.urgent_room.items():
            self._room_events.log("room.reserved", (pool,), pool=pool, **asdict(found))

    def _log_room_decisions(self, plan: Plan) -> None:
        """Log the jobs preempted for urgent work, and the starts on capacity lent to them."""
        for preemption in plan.preemptions:
            log_event("room.preempted", **asdict(preemption))
        for group in plan.groups:
            first = group[0]
            reason = plan.loans.get(first.job.key_of(first.step, first.step.tasks[0]))
            if reason is not None:
                log_event(
                    "room.lent",
                    job=first.job.spec.id,
                    step=first.step.number,
                    tasks=len(group),
                    why=reason.value,
                )

    def _carry_out(self, plan: Plan) -> None:
        assert self._orders is not None
        self._log_room_decisions(plan)
        for attempt in plan.stops:
            self.cell.request_stop(attempt, "taken back for urgent work")
        for group in plan.groups:
            self._orders.start_group(group)
        for approval_request in plan.approval_requests:
            self.cell.approvals.enqueue(approval_request)


__all__ = ["JobView", "Owner", "progress_key"]
