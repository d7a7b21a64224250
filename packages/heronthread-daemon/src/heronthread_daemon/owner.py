"""The owner of a cell: schedules its jobs, commands its workers and writes its ledger."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

import trio
from heronthread_coordination import LeaseState
from heronthread_scheduling import (
    Cause,
    CellSpec,
    Decision,
    DesiredState,
    Gang,
    NotRun,
    Reclaim,
    Start,
    make_job,
)
from heronthread_scheduling.queue import BucketKey

from . import launch, outcome, reports, takeover
from .attempt import Attempt, StopReason
from .job_record import JobState, JobView, OwnedJob, SubmitModel
from .owned_cell import OwnedCell
from .release import release_events
from .worker_link import LinkState, WorkerLink

BATCH_WINDOW_S = 0.01
DECISION_PERIOD_S = 1.0
DURABLE_WAIT_S = 1.5
RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class Refusal:
    """A rejected request; it has no effect."""

    status: int
    code: str
    text: str
    retry_after_s: float = 0.0


class CellOwner(OwnedCell):
    """The owner of a cell for one epoch.

    `run` takes over the jobs of the previous owner and then schedules until cancelled. All
    times are seconds since the Unix epoch, read from `parts.clock`.
    """

    async def run(self) -> None:
        """Take over, then schedule until cancelled or deposed."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.parts.ledger.run)
            for worker in self.spec.topology.workers:
                self._open_link(worker.name)
            await takeover.reconcile(self)
            self.ready.set()
            self.log("cell.ready", jobs=len(self.jobs), attempts=len(self.attempts))
            nursery.start_soon(release_events, self)
            await self._decide()

    # Commands of callers and operators

    async def submit(self, model: SubmitModel) -> JobView | Refusal:
        """Accept a job, or return the existing job with the same request id."""
        known = self.jobs.get(model.job_id)
        if known is not None:
            if known.digest != model.digest():
                text = "this request id was used for a different job; use a new id"
                return Refusal(409, "request-id-reused", text)
            return self.view(known)
        now = self.parts.clock()
        if model.issued_at is not None and model.issued_at < now - self.state.retention_s:
            return Refusal(410, "request-too-old", "the request is older than the retention period")
        item = make_job(self.state, model, model.job_id, now)
        owned = OwnedJob(item.job, model, model.digest(), now)
        accepted = self.scheduler.submit(item.job, now)
        if isinstance(accepted, NotRun):
            reason = accepted.reason
            return Refusal(429, reason.cause.value, reason.text, RETRY_AFTER_S)
        self.jobs[item.job.id] = owned
        self.log_state(owned)
        self.wake()
        await outcome.record(self, owned, DURABLE_WAIT_S)
        return self.view(owned)

    async def wait_outcome(self, job_id: str, wait_s: float) -> JobView | None:
        """Return a job's view once it is final or after `wait_s`; None if the job is unknown."""
        owned = self.jobs.get(job_id)
        if owned is None:
            return None
        with trio.move_on_after(wait_s):
            while not owned.is_final:
                await owned.changed.wait()
        return self.view(owned)

    async def cancel(self, job_id: str) -> JobView | None:
        """Cancel a waiting job, or stop a running one."""
        owned = self.jobs.get(job_id)
        if owned is None or owned.is_final:
            return self.view(owned) if owned else None
        attempt = self._attempt_of(job_id)
        if self.scheduler.cancel(job_id) is not None:
            text = "cancelled while waiting"
            await outcome.conclude_not_run(self, owned, Cause.CANCELLED.value, text)
        elif attempt is not None:
            outcome.end_attempt(self, attempt, StopReason.CANCELLED)
        return self.view(owned)

    async def settle(self, job_id: str, state: JobState, note: str) -> JobView | Refusal | None:
        """Set the outcome of a job in doubt, as determined by an operator."""
        owned = self.jobs.get(job_id)
        if owned is None:
            return None
        if owned.state is not JobState.IN_DOUBT:
            return Refusal(409, "not-in-doubt", f"the job is {owned.state}")
        owned.set_state(state, cause="settled", reason=note)
        await outcome.record(self, owned, DURABLE_WAIT_S)
        self.log_state(owned)
        return self.view(owned)

    async def prepare_handover(self) -> None:
        """Stop scheduling and flush the ledger."""
        self.is_handing_over = True
        await self.parts.ledger.flush()

    def reconfigure(self, state: DesiredState, spec: CellSpec) -> None:
        """Apply a new generation of the configuration to this cell.

        Running gangs keep their placement; workers no longer declared receive no more jobs.
        """
        if spec.has_same_capacity(self.spec):
            self.state = state
            self.scheduler.quotas, self.scheduler.shares = spec.quotas, spec.shares
            self.wake()
            return
        old = self.scheduler
        changed = spec.topology.number.keys() ^ self.spec.topology.number.keys()
        self.state, self.spec = state, spec
        self.scheduler = spec.make_scheduler()
        gangs = [self._move_gang(old, gang) for gang in old.gangs.values()]
        self.scheduler.adopt_gangs(gang for gang in gangs if gang is not None)
        for entry in old.queue.entries.values():
            self.scheduler.queue.add(entry.job, entry.arrival)
        for name in changed & spec.topology.number.keys():
            self._open_link(name)
        for link in self.links.values():
            closed = link.state is not LinkState.ALIVE or link.name in self.leaving
            if closed and link.name in spec.topology.number:
                self.scheduler.cordon_worker(link.name)
        self.wake()

    # Queries

    def view(self, owned: OwnedJob) -> JobView:
        """Return the view of a job that callers receive."""
        reason = self.scheduler.explain(owned.job.id)
        gang = self.scheduler.gangs.get(owned.job.id)
        final = owned.is_final
        return JobView(
            job_id=owned.job.id,
            customer=owned.job.customer,
            job_class=owned.job.job_class.name,
            state=owned.state,
            answer=owned.answer,
            cause=owned.cause or (reason.cause.value if reason and not final else ""),
            reason=owned.reason or (reason.text if reason and not final else ""),
            attempts=owned.attempts,
            cell=self.cell,
            epoch=self.epoch,
            places=self.scheduler.units_by_worker(gang) if gang else {},
            durable=owned.durable,
            retry_after_s=0.0 if final else RETRY_AFTER_S,
        )

    @property
    def waiting(self) -> int:
        """The number of waiting jobs."""
        return len(self.scheduler.queue)

    # Scheduling

    async def _decide(self) -> None:
        while self.parts.ledger.deposed is None:
            with trio.move_on_after(DECISION_PERIOD_S):
                await self._wake.wait()
                await trio.sleep(BATCH_WINDOW_S)
            self._wake = trio.Event()
            if self.is_handing_over:
                continue
            if self.parts.lease.state is LeaseState.NOT_OWNER:
                continue
            for decision in self.scheduler.decide(self.parts.clock(), self._can_start):
                self._execute(decision)

    def _can_start(self, key: BucketKey) -> bool:
        """Return whether jobs of a bucket may start; non-repeatable ones need lease and ledger."""
        if key.repeatable:
            return True
        return self.parts.lease.state is LeaseState.OWNER and not self.parts.ledger.is_stalled

    def _execute(self, decision: Decision) -> None:
        assert self._nursery is not None
        if isinstance(decision, Start):
            attempt = launch.open_attempt(self, decision.gang)
            if attempt is not None:
                self.spawn(launch.start_attempt, self, attempt)
        elif isinstance(decision, Reclaim):
            self.log(
                "decision.reclaim",
                job_id=decision.claimant.id,
                victims=[victim.job.id for victim in decision.victims],
                cause=decision.reason.cause.value,
            )
            for victim in decision.victims:
                self._preempt(victim, decision.stop_within_s)
        else:
            owned = self.jobs[decision.job.id]
            reason = decision.reason
            self.spawn(outcome.conclude_not_run, self, owned, reason.cause.value, reason.text)

    def _preempt(self, victim: Gang, stop_within_s: float) -> None:
        attempt = self._attempt_of(victim.job.id)
        if attempt is None:
            self.return_to_queue(victim.job.id)
            return
        checkpoint_s = stop_within_s if victim.job.checkpointable else None
        outcome.end_attempt(self, attempt, StopReason.PREEMPTED, checkpoint_s=checkpoint_s)

    # Helpers

    def _open_link(self, name: str) -> None:
        if name in self.links:
            return
        lease = self.parts.lease
        self.links[name] = WorkerLink(
            name,
            self.cell,
            self.epoch,
            self.parts.workers,
            self.parts.times,
            may_send=lambda: lease.state is not LeaseState.NOT_OWNER,
            on_reply=partial(reports.process_reply, self),
            on_state_change=partial(reports.process_state_change, self),
            on_stale_epoch=self._handle_stale_epoch,
        )
        self.scheduler.cordon_worker(name)
        assert self._nursery is not None
        self._nursery.start_soon(self.links[name].run)

    def _handle_stale_epoch(self, epoch: int) -> None:
        self.log("cell.deposed", seen_epoch=epoch)
        self.parts.lease.depose()

    def _move_gang(self, old: object, gang: Gang) -> Gang | None:
        number = self.scheduler.topology.number
        names = {self._old_name(old, worker): units for worker, units in gang.places.items()}
        if any(name not in number for name in names):
            return None
        places = {number[name]: units for name, units in names.items()}
        return Gang(gang.job, places, gang.start, None, set(gang.waiting_for), gang.is_stopping)

    @staticmethod
    def _old_name(old: object, worker: int) -> str:
        return old.topology.workers[worker].name  # type: ignore[attr-defined]

    def _attempt_of(self, job_id: str) -> Attempt | None:
        return next((a for a in self.attempts.values() if a.gang.job.id == job_id), None)
