"""Watches one executor each: renews its lease and processes its reports."""

from __future__ import annotations

from collections.abc import Callable

import trio

from .concurrent_probes import needs_confirmation, probe_repeatedly, send_hold
from .events import describe_instance, describe_run, log_event
from .executor_link import (
    EndedRun,
    HoldOrder,
    HoldOutcome,
    InstanceEnded,
    NoAnswer,
    Refusal,
    Refused,
    Report,
    RunningRun,
    Unhealthy,
)
from .executor_restart import replace_instance
from .fleet import ExecutorState
from .lease_renewal import renew_fully
from .length_measure import find_far_factor
from .model import Executor, ExecutorInstance, TaskKey
from .owned_cell import OwnedCell
from .probing import needs_probe
from .progress import JobState
from .speed import measure_speed, shows_executor_speed
from .step_state import UNSETTLED, Attempt, Phase

WAIT_S = 1.0
SHORT_WAIT_S = 0.35
YOUNG_S = 2.5
PAUSE_S = 0.1
MAX_PAUSE_S = 0.8
MAX_EAGER_PROBES = 2
"""After so many failed probes in a row the executor is unresponsive; lost answers are unlikely."""
DEFERRED_ACK_PAUSE_S = 0.25
"""Pause between polls while an acknowledgement is deferred, as a hold would return at once."""
RECORD_TIMEOUT_S = 0.25
MAX_RUNS_LOGGED = 8
MIN_PROVEN_RUN_S = 1.0
"""A run that lasted so long is not one that crashes its executor when it starts; those lasted
0.016 s."""


class ExecutorWatch:
    """Renews an executor's lease, across its instances, for as long as something may run there."""

    def __init__(self, cell: OwnedCell, state: ExecutorState, depose: Callable[[], None]) -> None:
        self.cell = cell
        self.state = state
        self._depose = depose
        self._failed_holds = 0
        self._logged_instance: ExecutorInstance | None = None
        self._hold_sent_at = float("-inf")
        self._has_new_run = False

    async def run(self) -> None:
        """Renew, process reports and acknowledge ends until the executor is gone."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._close_at_lease_end)
            await self._renew_until_gone(nursery)
            nursery.cancel_scope.cancel()
        self.cell.handle_instance_end(self.state)
        if self.state.dead:
            self.cell.late_starts.note_gone(self.state.id)
        self._close_all("the executor is gone")
        self.cell.executors.pop(self.state.id, None)

    async def _renew_until_gone(self, nursery: trio.Nursery) -> None:
        while not self.state.dead:
            while self._is_idle():
                await self._pause(min(self.state.ack_deferred_until.values(), default=float("inf")))
            if not self.cell.parts.may_send_orders():
                await trio.sleep(PAUSE_S)
                continue
            if self._has_new_run:
                self._has_new_run = False
                nursery.start_soon(renew_fully, self.cell, self.state)
            await self._renew_once()
            if self.state.dead or self._can_be_dropped():
                break

    async def _pause(self, until: float) -> None:
        """Wait until there is something to do, or until a time on trio's clock."""
        self.state.wake = trio.Event()
        with trio.move_on_at(until):
            await self.state.wake.wait()

    def _is_idle(self) -> bool:
        state = self.state
        return (
            not state.dead
            and state.has_reported
            and state.unresponsive_since is None
            and state.listed
            and not any(map(_may_exist, state.list_held()))
            and state.recorded_end == state.processed_end
            and state.acknowledged >= state.find_acknowledgeable(trio.current_time())
            and self._find_unprobed_entry() is None
            and not self.cell.may_receive_late_start(state)
            and not needs_probe(state)
        )

    def _find_unprobed_entry(self) -> Executor | None:
        """Return the newest entry with another instance or address, if it has not been probed yet.

        Entries are compared by identity, so that a rewritten entry is probed again.
        """
        entry = self.state.announced_instance or self.state.moved_entry
        return None if entry is self.state.asked else entry

    def _can_be_dropped(self) -> bool:
        if self.state.listed or self.cell.late_starts.list_unresolved(self.state.id):
            return False
        return trio.current_time() > self.state.lease_ends_by

    async def _renew_once(self) -> None:
        state, entry = self.state, self._find_unprobed_entry()
        if entry is not None and entry.address != state.executor.address:
            await self._probe_new_address(entry)
            if self.state is not state:
                return
        sent = trio.current_time()
        is_asked_for = needs_probe(state)
        order = self._make_hold_order(sent, entry)
        self._hold_sent_at = sent
        if is_asked_for or 0 < self._failed_holds <= MAX_EAGER_PROBES:
            outcome, sent = await probe_repeatedly(self.cell, state)
        else:
            outcome = await send_hold(self.cell, state, order)
        if isinstance(outcome, Report):
            await self._handle_report(outcome, order, sent)
            if state is self.state:
                state.asked = entry or state.asked
                if order.until_ms is not None:
                    state.renewed_at = max(state.renewed_at, sent)
            if self.state.ack_deferred_until:
                await self._pause(sent + DEFERRED_ACK_PAUSE_S)
        elif isinstance(outcome, InstanceEnded):
            state.mark_ended()
        elif isinstance(outcome, Refused) and outcome.reason is Refusal.FENCED:
            if self.cell.fences.shows_newer_owner(state.id, order.token, outcome):
                self._depose()
            await trio.sleep(PAUSE_S)
        else:
            await self._handle_failed_hold(outcome)
            self.cell.close_broken_gangs(state)

    def _make_hold_order(self, now: float, entry: Executor | None) -> HoldOrder:
        state, token = self.state, self.cell.fences.tokens.find(self.state.id)
        if needs_probe(state):
            return HoldOrder(token, 0, None, 0.0)
        until = self._choose_deadline()
        # Without an entry, poll until its lease has expired; long polls keep the number of calls
        # low.
        is_kept = state.list_held() or not state.listed or self.cell.may_receive_late_start(state)
        may_wait = (
            state.has_reported
            and is_kept
            and state.recorded_end == state.processed_end
            and not state.ack_deferred_until
        )
        # A new instance has no run to wait for, so do not long-poll after a failure.
        may_wait = may_wait and entry is None and not self._failed_holds
        wait_s = self._choose_wait(now) if may_wait else 0.0
        return HoldOrder(token, self._choose_acknowledged_end(), until, wait_s)

    async def _probe_new_address(self, entry: Executor) -> None:
        """Probe the address that an entry names, accepting only the instance named there."""
        sent = trio.current_time()
        order = HoldOrder(self.cell.fences.tokens.find(entry.id), 0, None, 0.0)
        outcome = await self.cell.parts.link.hold(entry, order)
        if not isinstance(outcome, Report) or outcome.born != entry.born:
            return
        state = self.state
        await self._handle_report(outcome, order, sent)
        if state.moved_entry is entry:
            state.apply_entry(entry)
            state.evacuated = self.cell.is_evacuated(state)
            log_event("executor.moved", **describe_instance(state.instance), address=entry.address)
            self.cell.notify_use_changed()
            self.cell.wake_planner()

    def _choose_acknowledged_end(self) -> int:
        """Return the highest end number to acknowledge, 0 if there is nothing new.

        Sent only once, right after a report: a new instance numbers its ends from 1, and would drop
        ends that have not been read.
        """
        state = self.state
        has_reported = state.has_reported or state.clock is not None
        is_confirmed = has_reported and self._failed_holds == 0
        seen = state.find_acknowledgeable(trio.current_time())
        return seen if is_confirmed and seen > state.acknowledged else 0

    async def _handle_report(self, report: Report, order: HoldOrder, sent: float) -> None:
        """Process a report, which may come from a new instance."""
        self._failed_holds = 0
        self._log_instance(report, order)
        if report.born and report.born != self.state.instance.born:
            # Runs, end numbers and the clock belong to one instance, so none may be carried over.
            # Carrying them over once led to 14 starts of 6 tasks.
            self.state = replace_instance(self.cell, self.state, report, sent)
        else:
            self.state.acknowledged = max(self.state.acknowledged, order.seen)
        state = self.state
        if not state.has_reported:
            self.cell.fences.expose(state)
        if self.cell.fences.confirm(state, order.token):
            # The next owner then waits for less.
            self.cell.notify_use_changed()
        if not state.has_reported or state.unresponsive_since is not None:
            self.cell.crashes.withdraw(state)
        if state.is_renewal_suspended:
            self.cell.notify_use_changed()
        await self._take_report(report, sent, trio.current_time())

    def _log_instance(self, report: Report, order: HoldOrder) -> None:
        """Log each instance once, with its end numbers and the ones processed before."""
        instance = ExecutorInstance(self.state.id, report.born)
        if instance == self._logged_instance:
            return
        numbers = [end.number for end in report.ended]
        log_event(
            "executor.reports",
            **describe_instance(instance),
            born_before=self.state.instance.born,
            noted=self.state.processed_end,
            told_seen=order.seen,
            ends=[min(numbers), max(numbers)] if numbers else [],
            runs=len(report.running),
            clock_ms=report.clock_ms,
        )
        self._logged_instance = instance

    def _choose_wait(self, now: float) -> float:
        """Return how long a hold may wait for an end; 0.0 while a stop is to be confirmed."""
        if any(needs_confirmation(a, self._hold_sent_at) for a in self.state.list_held()):
            return 0.0
        if not self.cell.parts.policy.look_early:
            return WAIT_S
        young = any(
            now - attempt.ordered_at < YOUNG_S and self._is_speed_compared(attempt)
            for attempt in self.state.attempts.values()
        )
        return SHORT_WAIT_S if young else WAIT_S

    def _is_speed_compared(self, attempt: Attempt) -> bool:
        """Return whether early progress readings are useful, as for the members of a gang."""
        job = self.cell.jobs.get(attempt.task.job)
        if job is None:
            return False
        spec = job.step_of(attempt.task).spec
        return spec.gang and spec.count > 1

    def _choose_deadline(self) -> int | None:
        """Return the lease deadline to ask for, None to leave it unchanged.

        An unresponsive executor is only probed: a renewal without an answer may be carried out, and
        would extend the time until its runs have certainly ended. The lease is not renewed either
        where all starts and stops are without an answer, as a start carries a lease of its own.
        """
        if self._failed_holds or not any(map(_needs_lease, self.state.list_held())):
            return None
        return self.cell.make_deadline(self.state, self.cell.parts.timing.executor_lease_s)

    async def _handle_failed_hold(self, outcome: HoldOutcome) -> None:
        now = trio.current_time()
        self._failed_holds += 1
        if self._failed_holds == 1:
            self._log_silence(outcome, now)
        if isinstance(outcome, NoAnswer):
            if self.state.unresponsive_since is None:
                self.cell.crashes.record_unresponsive(self.state, now)
                # Sent until it answers, as it may be another instance by then.
                self.cell.stop_late_starts(self.state)
                self.cell.notify_use_changed()
            self.state.refuses_connections |= outcome.unsent
            # Recorded at once, although it may only be partitioned: this owner may be gone before
            # the lease ends.
            self.cell.crashes.record_possible_crash(self.state)
        self.state.notify_waiters()
        self.state.backoff_until = max(self.state.backoff_until, now + MAX_PAUSE_S)
        if now > self.state.lease_ends_by and self.state.has_reported:
            self._close_expired("the holding time has run out")
        await trio.sleep(min(MAX_PAUSE_S, PAUSE_S * 2 ** min(self._failed_holds, 4)))

    def _log_silence(self, outcome: HoldOutcome, now: float) -> None:
        """Log why the executor counts as unresponsive, and its youngest attempts."""
        held = sorted(self.state.list_held(), key=lambda attempt: -attempt.ordered_at)
        log_event(
            "executor.silent",
            **describe_instance(self.state.instance),
            sign=_describe_failure(outcome),
            listed=self.state.listed,
            leaves=self.state.leaves_at is not None,
            runs=len(held),
            youngest=[
                describe_run(attempt.task, attempt.run, attempt.instance)
                | {"age_s": round(now - attempt.ordered_at, 3), "percent": attempt.percent}
                for attempt in held[:MAX_RUNS_LOGGED]
            ],
        )

    def _close_all(self, why: str) -> None:
        for attempt in self.state.list_held():
            self.cell.close(attempt, why)
            self.cell.stop_gang(attempt, why)

    async def _close_at_lease_end(self) -> None:
        """Close the attempts at an unresponsive executor at the end of its lease.

        The probe in flight may take seconds to fail.
        """
        while True:
            reported_or_failed = self.state.news
            with trio.move_on_at(self._find_next_expiry()):
                await reported_or_failed.wait()
            if trio.current_time() < self._find_next_expiry():
                continue
            if self.cell.parts.may_send_orders():
                self._close_expired("the holding time has run out")
            else:
                await trio.sleep(PAUSE_S)

    def _find_next_expiry(self) -> float:
        """Return when the next attempt at an unresponsive executor can't be there any more."""
        state = self.state
        if state.unresponsive_since is None or not state.has_reported:
            return float("inf")
        late_starts = self.cell.late_starts
        ends = (
            max(state.lease_ends_by, late_starts.find_open_until(attempt))
            for attempt in state.list_held()
        )
        return min(ends, default=float("inf"))

    def _close_expired(self, why: str) -> None:
        """Close the attempts that can't be here, nor be started by a new instance."""
        self.cell.crashes.record_possible_crash(self.state)
        self.cell.fail_crashing_jobs_at(self.state)
        for attempt in self.state.list_held():
            if not self.cell.late_starts.is_open(attempt):
                self.cell.close(attempt, why)
                self.cell.stop_gang(attempt, why)

    async def _take_report(self, report: Report, sent: float, received: float) -> None:
        state = self.state
        if state.clock is None and state.is_inherited:
            # It refuses the orders of earlier owners from now on.
            until = received + self.cell.parts.timing.max_run_after_order_s
            state.renewed_until = min(state.renewed_until, until)
        state.mark_reported(received)
        state.read_clock(sent, received, report.clock_ms)
        if report.is_complete:
            self.cell.late_starts.note_report(state.id, sent)
        listed = {(run.task, run.run) for run in report.running}
        fresh = [end for end in report.ended if end.number > state.processed_end]
        for end in sorted(fresh, key=lambda end: end.number):
            state.processed_end = end.number
            self.cell.process_end(state, end)
            self._defer_acknowledgement(end)
        if report.running and state.lease_ends_by < received:
            # Runs that a new instance started for a late order would otherwise be closed at once.
            state.renewed_until = received + self.cell.parts.timing.longest_run_s
        for run in report.running:
            self._update_running(run, received)
        if report.is_complete:
            self._close_unlisted(listed, sent)
            self._close_unanswered_stops(listed, sent)
        if not state.has_reported and report.is_complete:
            state.has_reported = True
            self.cell.stop_late_starts(state)
            log_event(
                "executor.heard",
                **describe_instance(state.instance),
                runs=len(listed),
                ends=len(fresh),
            )
            self.cell.notify_use_changed()
            self.cell.wake_planner()
        await self._wait_recorded()

    def _defer_acknowledgement(self, end: EndedRun) -> None:
        """Defer the acknowledgement of an end while another start of its task may be carried out.

        A new instance of the executor would repeat the run if nothing refused that start. The end
        is recorded and reported to callers without delay.
        """
        until = self.cell.late_starts.find_deadline(end.task)
        if until > trio.current_time():
            self.state.ack_deferred_until[end.number] = until

    async def _wait_recorded(self) -> None:
        """Acknowledge ends only once they are in the store."""
        state = self.state
        if state.recorded_end == state.processed_end:
            return
        noted = state.processed_end
        with trio.move_on_after(RECORD_TIMEOUT_S):
            await self.cell.recorder.wait_recorded()
            state.recorded_end = noted

    def _update_running(self, run: RunningRun, received: float) -> None:
        task = self.cell.find_task(run.task)
        job = self.cell.jobs.get(run.task.job)
        if task is None or job is None:
            self.cell.stop_orphan(self.state, run.task, run.run)
            return
        attempt = task.attempt
        if attempt is None or attempt.executor != self.state.id or attempt.run != run.run:
            if attempt is None and not job.occurrences.is_closed(run.task.occurrence):
                self._adopt(run, received)
            else:
                self.cell.stop_orphan(self.state, run.task, run.run)
            return
        self.cell.update_checkpoint(task, run.run, run.checkpoint)
        if not attempt.seen and attempt.has_single_unresolved_send:
            self.cell.late_starts.settle(attempt)
        attempt.seen = True
        if attempt.sends and received - attempt.sent_at >= MIN_PROVEN_RUN_S:
            task.works = True
            self.cell.crashes.end_trial(run.task, self.state.instance)
        if attempt.phase is Phase.STARTING:
            attempt.phase = Phase.RUNNING
            attempt.settled_at = received
            attempt.progressed_at = received
            self._has_new_run = True
        factor = self._far_factor(job, attempt)
        policy = self.cell.parts.policy
        if measure_speed(job, attempt, self.state, run.percent, received, factor, policy):
            self._note_speed(job, attempt, run.percent, factor, received)
        if run.percent > attempt.percent:
            attempt.percent = run.percent
            attempt.progressed_at = received
            if attempt.began_at is None:
                attempt.began_at = received
                attempt.began_percent = run.percent

    def _note_speed(
        self, job: JobState, attempt: Attempt, percent: float, factor: float, received: float
    ) -> None:
        """Add a measured rate, as it would be near the data, to what is known of executors."""
        if not self.cell.parts.policy.executor_speeds:
            return
        if not shows_executor_speed(attempt, self.state, percent, received):
            return
        step = job.step_of(attempt.task)
        key = job.key_of(step, step.tasks[0])
        speeds, pool = self.cell.learned.speeds, self.state.executor.pool
        speeds.note(pool, key, attempt.instance, attempt.rate * factor, received)
        for change in speeds.take_changes():
            log_event("speeds.grouped", pool=change.pool, groups=change.groups)

    def _far_factor(self, job: JobState, attempt: Attempt) -> float:
        """Return the slowdown of an attempt by its distance from data or gang members."""
        step = job.step_of(attempt.task)
        states = (self.cell.executors.get(member.executor) for member in step.attempts())
        racks = (state.executor.rack for state in states if state is not None)
        far = self.cell.parts.timing.far_factor
        return find_far_factor(step, racks, self.state.executor.rack, far)

    def _adopt(self, run: RunningRun, received: float) -> None:
        """Create an attempt for a run that an earlier owner started."""
        job = self.cell.jobs[run.task.job]
        task = self.cell.find_task(run.task)
        assert task is not None
        step = job.step_of(run.task)
        attempt = Attempt(run.task, run.run, self.state.instance, step.spec.need, received)
        attempt.phase = Phase.RUNNING
        attempt.settled_at = received
        attempt.progressed_at = received
        attempt.seen = True
        attempt.percent = run.percent
        attempt.began_at = received
        attempt.began_percent = run.percent
        task.works |= run.percent / 100 * step.spec.estimate_s >= MIN_PROVEN_RUN_S
        task.last_run = max(task.last_run, run.run)
        self.cell.update_checkpoint(task, run.run, run.checkpoint)
        self.cell.place(task, attempt, self.state)
        job.begun = True
        log_event("run.adopted", **describe_run(run.task, run.run, self.state.instance))
        if task.done or not job.is_active:
            self.cell.request_stop(attempt, "not wanted any more")

    def _close_unanswered_stops(self, listed: set[tuple[TaskKey, int]], sent: float) -> None:
        """Close stopping attempts that a report requested after the lease expired does not list.

        Otherwise an executor that answers holds but refuses every stop would block its tasks.
        """
        if sent <= self.state.lease_ends_by:
            return
        for attempt in self.state.list_held():
            if self.cell.late_starts.is_open(attempt) and sent <= self._find_full_end(attempt):
                # A later instance would not refuse it.
                continue
            if _is_stop_pending(attempt) and (attempt.task, attempt.run) not in listed:
                # It refuses late sends of the expired lease, so the start is resolved as well.
                self.cell.late_starts.settle(attempt)
                self.cell.close(attempt, "the holding time has run out")

    def _find_full_end(self, attempt: Attempt) -> float:
        """Return when a full lease from the last send of an attempt's start is over."""
        return attempt.sent_at + self.cell.parts.timing.max_run_after_order_s

    def _close_unlisted(self, listed: set[tuple[TaskKey, int]], sent: float) -> None:
        """Close attempts that are missing in a report requested after their orders were settled."""
        for attempt in self.state.list_held():
            if attempt.settled_at == UNSETTLED or attempt.settled_at > sent:
                continue
            if (attempt.task, attempt.run) not in listed:
                was_stopping = attempt.phase is Phase.STOPPING
                self.cell.close(attempt, "not there")
                if not was_stopping:
                    self.cell.stop_gang(attempt, "a member is not there")


def _describe_failure(outcome: HoldOutcome) -> str:
    """Return how a hold failed: no answer, connection refused, or turned away."""
    if isinstance(outcome, NoAnswer):
        return "refused" if outcome.unsent else "no answer"
    return "unhealthy" if isinstance(outcome, Unhealthy) else "turned away"


def _may_exist(attempt: Attempt) -> bool:
    """Return whether the run of an attempt may exist, as its start was sent."""
    return attempt.sends > 0 or attempt.phase is not Phase.STARTING


def _needs_lease(attempt: Attempt) -> bool:
    """Return whether a lease is renewed for an attempt: its start or its stop was answered."""
    return attempt.phase is not Phase.STARTING and not _is_stop_pending(attempt)


def _is_stop_pending(attempt: Attempt) -> bool:
    """Return whether an attempt is to be stopped and no answer has settled that yet."""
    return attempt.phase is Phase.STOPPING and attempt.settled_at == UNSETTLED
