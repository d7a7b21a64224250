"""Sends start and stop orders, each until it is answered or has become irrelevant."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import trio
from heronthread_coordination import Measure

from .crashes import RECENT_START_S
from .events import describe_run, log_event
from .executor_link import (
    Acknowledged,
    InstanceEnded,
    NoAnswer,
    OrderOutcome,
    Refusal,
    Refused,
    StartOrder,
    StopOrder,
    Unhealthy,
)
from .fleet import ExecutorState
from .lease_renewal import renew_fully
from .model import NO_RESOURCES
from .owned_cell import OwnedCell
from .plan import Start
from .probing import wait_for_reports
from .progress import JobState, list_pending_starts, to_open_start
from .spread import count_runs, step_key
from .step_state import Attempt, Phase
from .task_masks import TaskMasks

START_TRIES = 3
RETRY_S = 0.05
STOP_RETRY_S = 0.25
REFUSAL_BACKOFF_S = 0.2
TRIAL_RECORD_TIMEOUT_S = 0.5
"""How long to wait until a trial start is recorded; a slow store answers in 0.3 s."""

NAMING_TIMEOUT_S = 2.0
"""How long to wait until placements are recorded: twice the duration of an unanswered call."""
NAMING_POLL_S = 0.1
"""How often to check that the store accepts writes; if not, only recorded executors can be used."""

MAX_STARTS_UNDER_WAY = 256
MIN_STARTS_PER_PLAN = 64
"""Made even while many starts are under way, as some of these may wait for lost executors."""

STARTS_PER_LOG_LINE = 64
"""Keeps a line with ids of 36 characters below the size that a pipe writes atomically."""


class Orders:
    """Carries out plans, with one trio task for each order."""

    def __init__(self, cell: OwnedCell, nursery: trio.Nursery, depose: Callable[[], None]) -> None:
        self.cell = cell
        self._nursery = nursery
        self._depose = depose
        self._starts_under_way = 0

    @property
    def start_capacity(self) -> int:
        """How many more starts a plan may make now.

        Each start under way is a task of the event loop, and so is each of its calls; too many of
        them at once would delay the renewal of the lease.
        """
        return max(MIN_STARTS_PER_PLAN, MAX_STARTS_UNDER_WAY - self._starts_under_way)

    def start_group(self, group: list[Start]) -> None:
        """Start a group of tasks; the members of a gang share one run number."""
        if group[0].step.spec.gang:
            self._start_batch(group)
        else:
            for start in group:
                self._start_batch([start])

    def _start_batch(self, group: list[Start]) -> None:
        if any(start.executor.dead for start in group):
            # The executor started again while the plan was made; the next plan uses the new
            # instance.
            self.cell.wake_planner()
            return
        run = self.cell.allocate_run([start.task for start in group])
        checkpoint = _choose_checkpoint(group)
        now = trio.current_time()
        orders: list[tuple[Start, Attempt]] = []
        for start in group:
            key = start.job.key_of(start.step, start.task)
            attempt = Attempt(key, run, start.executor.instance, start.step.spec.need, now)
            attempt.progressed_at = now
            attempt.is_resumed = bool(checkpoint)
            if start.step.has_suspects:
                # Other tasks started there now would be suspected as well if it crashes.
                start.executor.exclusive_until = now + RECENT_START_S
            self.cell.place(start.task, attempt, start.executor)
            orders.append((start, attempt))
        self._starts_under_way += len(orders)
        self._nursery.start_soon(self._carry_out, orders, checkpoint)
        job = group[0].job
        if not job.begun:
            waited = now - (group[0].step.ready_at or now)
            self.cell.parts.statistics.record(
                job.spec.tenant, job.spec.queue.name, Measure.WAITING, waited
            )
        self.cell.parts.statistics.count("starts", amount=len(group))
        for first in range(0, len(group), STARTS_PER_LOG_LINE):
            self._log_starts(group, group[first : first + STARTS_PER_LOG_LINE], run, now)

    def _log_starts(self, group: list[Start], part: list[Start], run: int, now: float) -> None:
        step = group[0].step
        speeds = self._count_speeds(part)
        for name, count in speeds.items():
            self.cell.parts.statistics.count("starts_by_speed", name, count)
        log_event(
            "start.decided",
            job=group[0].job.spec.id,
            step=step.number,
            occurrence=step.occurrence,
            tasks=[start.task.index for start in part],
            of=len(group),
            run=run,
            executors=[start.executor.id for start in part],
            accelerators=step.spec.need.accelerators,
            version=self.cell.parts.desired().version,
            waited_s=round(now - (step.ready_at or now), 3),
            share_rank=self._find_share_rank(group[0].job, now),
            term=self.cell.term.number,
            **({"speeds": speeds} if speeds else {}),
            **self._describe_spread(part),
        )

    def _describe_spread(self, starts: list[Start]) -> dict[str, Any]:
        """Return what the plan counted towards a spread limit, and what the executors hold now."""
        counts = [start.spread for start in starts if start.spread is not None]
        if not counts:
            return {}
        step = starts[0].step
        key = step_key(starts[0].job.key_of(step, starts[0].task))
        spread = {
            "limit": step.spec.spread_limit,
            "plan": counts[0].plan,
            "counted": [count.counted for count in counts],
            "held": [count_runs(key, start.executor) for start in starts],
            "allowed": counts[0].allowed,
            "store_writable": self.cell.parts.can_write_store(),
        }
        return {"spread": spread}

    def _count_speeds(self, starts: list[Start]) -> dict[str, int]:
        """Return how many executors of some starts are in each speed group."""
        if not self.cell.parts.policy.executor_speeds:
            return {}
        pool = starts[0].executor.executor.pool
        instances = (start.executor.instance for start in starts)
        return self.cell.learned.speeds.count_groups(pool, instances)

    def _find_share_rank(self, job: JobState, now: float) -> int:
        pool = self.cell.parts.desired().current_queue(job.spec).pool
        return self.cell.learned.shares.rank(pool, job.spec.tenant, now)

    async def _carry_out(self, orders: list[tuple[Start, Attempt]], checkpoint: str) -> None:
        """Send the starts of a group once they may be sent, or give the group up."""
        obstacle = await self._wait_until_sendable(orders, checkpoint)
        if obstacle:
            self._abandon_unsent(orders, obstacle)
            self._starts_under_way -= len(orders)
            return
        for start, attempt in orders:
            self._nursery.start_soon(self._send_start, start, attempt, checkpoint)

    async def _send_start(self, start: Start, attempt: Attempt, checkpoint: str) -> None:
        await self._start(start, attempt, checkpoint)
        self._starts_under_way -= 1

    async def _wait_until_sendable(
        self, orders: list[tuple[Start, Attempt]], checkpoint: str
    ) -> str:
        """Wait until the executors of a group answer and the store lists them.

        Return why the group can't be sent, empty if it can.
        """
        executors = [start.executor for start, _ in orders]
        # Probe first: the next owner would withhold the job from an unresponsive executor on
        # record.
        if not await wait_for_reports(executors, self.cell.executors.values()):
            return "its executor has not answered a look"
        if not await self._record_placements(orders):
            return "the store does not name its executor"
        if not await self._confirm_refusals(orders, checkpoint):
            return "its executor may still take an earlier start"
        # The store may have taken seconds.
        if not await wait_for_reports(executors, self.cell.executors.values()):
            return "its executor has not answered a second probe"
        return ""

    async def _confirm_refusals(self, orders: list[tuple[Start, Attempt]], checkpoint: str) -> bool:
        """Return whether the executors have just refused the earlier runs with unresolved starts.

        Such a run was stopped. Its start is sent once more, because an executor that leaves this
        one unanswered would leave a start under the new number unanswered as well, and a new
        instance would carry out both.
        """
        for start, attempt in orders:
            run = self.cell.late_starts.find_open_run(attempt.task, attempt.executor)
            if not 0 < run < attempt.run:
                continue
            if not await self._is_run_refused(start, attempt, run, checkpoint):
                self.cell.late_starts.note_start_refused(attempt.task)
                return False
        return True

    async def _is_run_refused(
        self, start: Start, attempt: Attempt, run: int, checkpoint: str
    ) -> bool:
        """Send the start of an earlier run; return whether the executor refuses it as old."""
        state = start.executor
        for _ in range(START_TRIES):
            if start.task.attempt is not attempt or self._find_obstacle(state) is not None:
                return False
            now = trio.current_time()
            until = self.cell.make_deadline(state, self.cell.parts.timing.start_lease_s)
            if until is None or not self.cell.late_starts.is_stopped(state, attempt.task, run):
                return False
            sent = Attempt(attempt.task, run, attempt.instance, NO_RESOURCES, now, sent_at=now)
            order = self._make_start_order(start, sent, checkpoint, until)
            open_until = self.cell.late_starts.track(sent)
            self.cell.fences.deadlines.note_sent(sent.instance)
            outcome = await self.cell.parts.link.start(state.executor, order)
            self._log_send("start", sent, 1, now, outcome)
            if not isinstance(outcome, NoAnswer) or outcome.unsent:
                self.cell.late_starts.settle(sent, open_until)
            if not isinstance(outcome, NoAnswer | Unhealthy):
                return isinstance(outcome, Refused) and outcome.reason is Refusal.OLD_RUN
            await trio.sleep(RETRY_S)
        return False

    def _make_start_order(
        self, start: Start, attempt: Attempt, checkpoint: str, until: int
    ) -> StartOrder:
        ticket = self.cell.approvals.find_ticket(
            attempt.task._replace(member=0), start.executor.instance
        )
        return StartOrder(
            attempt.task,
            attempt.run,
            start.job.spec.payload,
            checkpoint,
            self.cell.fences.tokens.find(attempt.executor),
            until,
            ticket or "",
        )

    def _abandon_unsent(self, orders: list[tuple[Start, Attempt]], reason: str) -> None:
        for start, attempt in orders:
            if start.task.attempt is attempt:
                self._give_up(attempt, reason)

    async def _record_placements(self, orders: list[tuple[Start, Attempt]]) -> bool:
        """Record the executors of a group's tasks; return False if the store does not accept it.

        The next owner needs this to know which tasks may be at an executor that is unresponsive.
        """
        job = orders[0][0].job
        wanted = job.locate_attempts(attempt for _, attempt in orders)
        starts = {to_open_start(attempt) for _, attempt in orders if attempt.instance.born}
        if job.places.has_recorded(wanted, starts) and not job.places.inherited:
            return True
        self.cell.recorder.mark(job)
        until = trio.current_time() + NAMING_TIMEOUT_S
        while trio.current_time() < until and self.cell.parts.can_write_store():
            with trio.move_on_after(NAMING_POLL_S):
                await self.cell.recorder.wait_named(job, wanted, starts)
                return True
        return job.places.covers(wanted) and await self._announce_preassigned(job, wanted)

    async def _announce_preassigned(self, job: JobState, wanted: TaskMasks) -> bool:
        """Announce the use of what the store has in advance; return False if too few hosts know."""
        places, preassignments = job.places, self.cell.parts.preassignments
        epoch = places.preassigned_epoch if places.is_preassigned(wanted) else None
        return epoch is None or preassignments is None or await preassignments.announce(epoch)

    async def _start(self, start: Start, attempt: Attempt, checkpoint: str) -> None:
        state = start.executor
        if start.task.crashes and not await self._record_trial(start, attempt):
            return
        # All sends share one deadline, as a later one would extend the time in which they may be
        # executed.
        until = self.cell.make_deadline(state, self.cell.parts.timing.start_lease_s)
        if until is None:
            self._give_up(attempt, "its executor may not be held")
            return
        for _ in range(START_TRIES):
            if attempt.phase is not Phase.STARTING or start.task.attempt is not attempt:
                self._close_unsent(attempt)
                return
            if not self.cell.parts.may_send_orders():
                break
            obstacle = self._find_obstacle(state)
            if obstacle is not None:
                self._give_up(attempt, obstacle)
                return
            now = trio.current_time()
            order = self._make_start_order(start, attempt, checkpoint, until)
            attempt.sends += 1
            attempt.sent_at = now
            attempt.is_in_flight = True
            state.wake.set()
            open_until = self.cell.late_starts.track(attempt)
            self.cell.fences.deadlines.note_sent(attempt.instance)
            outcome = await self.cell.parts.link.start(state.executor, order)
            attempt.is_in_flight = False
            self._log_send("start", attempt, attempt.sends, now, outcome)
            if not isinstance(outcome, NoAnswer) or outcome.unsent:
                self.cell.late_starts.settle(attempt, open_until)
            if not isinstance(outcome, NoAnswer):
                self._settle_start(start, attempt, order, outcome)
                return
            attempt.unanswered += not outcome.unsent
            attempt.refused_sends += outcome.unsent
            state.wake.set()
            if not attempt.unanswered:
                # Nothing can be there, and the record should say so before this owner is gone.
                break
            await trio.sleep(RETRY_S)
        if attempt.phase is Phase.STARTING and start.task.attempt is attempt:
            state.back_off(trio.current_time())
            self._give_up(attempt, "the start was not answered")
        else:
            self._close_unsent(attempt)

    def _find_obstacle(self, state: ExecutorState) -> str | None:
        """Return the reason why an executor can't take a start any more, None if it can."""
        if state.dead:
            return "its executor has started again"
        if self.cell.is_evacuated(state):
            return "its domain is evacuated"
        return "its entry names no executor to use" if state.has_unusable_entry else None

    def _close_unsent(self, attempt: Attempt) -> None:
        """Close an attempt that is to be stopped if none of its sends had, or can have, an effect.

        No stop could be answered at an executor that is down, and its gang would wait for a new
        instance.
        """
        state = self.cell.executors.get(attempt.executor)
        is_held = state is not None and state.holds(attempt)
        if is_held and not attempt.unanswered and attempt.sends == attempt.refused_sends:
            self.cell.close(attempt, "no send of its start had an effect")

    async def _record_trial(self, start: Start, attempt: Attempt) -> bool:
        """Record the executor at which a suspect task is started; return False if that times out.

        The next owner would otherwise miss a crash if this owner is gone before it can record it.
        """
        self.cell.crashes.begin_trial(attempt.task, attempt.instance)
        with trio.move_on_after(TRIAL_RECORD_TIMEOUT_S):
            await self.cell.recorder.wait_recorded()
        if start.job.crash_notes_recorded == start.job.crash_notes:
            return True
        if start.task.attempt is attempt:
            self._give_up(attempt, "its trial is not in the store")
        return False

    def _give_up(self, attempt: Attempt, reason: str) -> None:
        """End an attempt whose start apparently failed.

        A send without an answer may be carried out seconds later, beside the task's next run. Only
        an acknowledged stop, a reported end or an expired lease rules that out. A refusal of
        another send, or a report that does not list the run, does not.
        """
        state = self.cell.executors.get(attempt.executor)
        if attempt.unanswered and state is not None and not state.dead:
            self.cell.request_stop(attempt, reason)
        else:
            self.cell.close(attempt, reason)
        self.cell.stop_gang(attempt, f"a member's start came to nothing: {reason}")

    def _settle_start(
        self, start: Start, attempt: Attempt, order: StartOrder, outcome: OrderOutcome
    ) -> None:
        now = trio.current_time()
        state = start.executor
        if isinstance(outcome, Acknowledged):
            if not start.job.begun:
                start.job.begun = True
                self.cell.recorder.mark(start.job)
            if attempt.phase is Phase.STARTING:
                attempt.phase = Phase.RUNNING
                attempt.settled_at = now
                attempt.progressed_at = now
            self._begin_renewal(attempt)
            if attempt.instance.born and not list_pending_starts(start.job):
                # The next owner would otherwise restrict the tasks to the executors of these
                # starts.
                self.cell.recorder.mark(start.job)
            return
        attempt.refused_sends += 1
        self.cell.late_starts.note_start_refused(attempt.task)
        reason = _describe_outcome(outcome)
        is_over = isinstance(outcome, Refused) and outcome.reason is Refusal.OLD_RUN
        log_event(
            "start.refused",
            **describe_run(attempt.task, attempt.run, attempt.instance),
            reason=reason,
            sends=attempt.sends,
            unanswered=attempt.unanswered,
        )
        if self.cell.fences.shows_newer_owner(attempt.executor, order.token, outcome):
            self._depose()
            return
        self._apply_refusal(attempt, state, outcome, now)
        if start.task.attempt is not attempt:
            return
        if is_over:
            # No send can have an effect any more. The run may have ended already, which the next
            # report shows.
            attempt.settled_at = now
            self.cell.late_starts.mark_refused(attempt.instance, attempt.task, attempt.run)
            state.wake.set()
        else:
            self._give_up(attempt, f"refused: {reason}")

    def _begin_renewal(self, attempt: Attempt) -> None:
        """Renew the lease of a run that has just begun, as its start asked for a short one."""
        state = self.cell.executors.get(attempt.executor)
        if state is not None and state.holds(attempt):
            self._nursery.start_soon(renew_fully, self.cell, state)

    def _apply_refusal(
        self, attempt: Attempt, state: ExecutorState, outcome: OrderOutcome, now: float
    ) -> None:
        """Update an executor's state after it refused an order."""
        if isinstance(outcome, Unhealthy):
            state.back_off(now)
        elif isinstance(outcome, InstanceEnded):
            state.mark_ended()
        elif isinstance(outcome, Refused) and outcome.reason is Refusal.NOT_APPROVED:
            self.cell.approvals.discard_ticket(attempt.task._replace(member=0), state.instance)
        else:
            state.backoff_until = max(state.backoff_until, now + REFUSAL_BACKOFF_S)

    async def run_stops(self) -> None:
        """Start a trio task for each requested stop, until cancelled."""
        while True:
            await self.cell.stops_requested.wait()
            self.cell.stops_requested = trio.Event()
            wanted, self.cell.pending_stops = self.cell.pending_stops, []
            for attempt, reason in wanted:
                log_event(
                    "stop.decided",
                    **describe_run(attempt.task, attempt.run, attempt.instance),
                    percent=attempt.percent,
                    reason=reason,
                    term=self.cell.term.number,
                )
                self._nursery.start_soon(self._stop, attempt)

    async def _stop(self, attempt: Attempt) -> None:
        sends = 0
        while True:
            state = self.cell.executors.get(attempt.executor)
            if state is None or not state.holds(attempt):
                return
            if self.cell.parts.may_send_orders():
                token = self.cell.fences.tokens.find(attempt.executor)
                order = StopOrder(attempt.task, attempt.run, token)
                now, sends = trio.current_time(), sends + 1
                outcome = await self.cell.parts.link.stop(state.executor, order)
                self._log_send("stop", attempt, sends, now, outcome)
                if self._settle_stop(attempt, state, order, outcome):
                    return
            await trio.sleep(STOP_RETRY_S)

    def _log_send(
        self, order: str, attempt: Attempt, number: int, sent: float, outcome: OrderOutcome
    ) -> None:
        """Count a send of an order, and log it unless the first one was acknowledged."""
        self.cell.parts.statistics.count("orders", f"{order} {_describe_outcome(outcome)}")
        if number == 1 and isinstance(outcome, Acknowledged):
            return
        log_event(
            "order.sent",
            **describe_run(attempt.task, attempt.run, attempt.instance),
            order=order,
            send=number,
            outcome=_describe_outcome(outcome),
            took_s=round(trio.current_time() - sent, 3),
            age_s=round(trio.current_time() - attempt.ordered_at, 3),
            term=self.cell.term.number,
        )

    def _settle_stop(
        self, attempt: Attempt, state: ExecutorState, order: StopOrder, outcome: OrderOutcome
    ) -> bool:
        if isinstance(outcome, Acknowledged):
            attempt.settled_at = trio.current_time()
            self.cell.late_starts.mark_refused(attempt.instance, attempt.task, attempt.run)
            state.wake.set()
            if not attempt.seen:
                state.report_wanted.set()
            return True
        if isinstance(outcome, InstanceEnded):
            state.mark_ended()
            return True
        if self.cell.fences.shows_newer_owner(attempt.executor, order.token, outcome):
            self._depose()
            return True
        return False


def _choose_checkpoint(group: list[Start]) -> str:
    """Return the newest checkpoint; the members of a gang share theirs."""
    newest = max(
        group, key=lambda start: start.task.checkpoint_run if start.task.checkpoint else -1
    )
    return newest.task.checkpoint


def _describe_outcome(outcome: OrderOutcome) -> str:
    if isinstance(outcome, Acknowledged):
        return "obeyed"
    if isinstance(outcome, NoAnswer):
        return "not sent" if outcome.unsent else "no answer"
    if isinstance(outcome, Refused):
        return outcome.reason.value
    return "unhealthy" if isinstance(outcome, Unhealthy) else "other life"
