"""State shared by the modules of a cell's owner: jobs, attempts, worker links and the log."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio
from eliot import log_message
from heronthread_coordination import AnswerCollector, CellLease, Histograms, Ledger, Measure
from heronthread_scheduling import CellSpec, DesiredState

from .attempt import Attempt
from .job_record import JobState, OwnedJob
from .worker import Workers
from .worker_link import LinkTimes, WorkerLink

MAX_CONCURRENT_STARTS = 256


@dataclass(frozen=True, slots=True)
class OwnerParts:
    """The adapters and settings of a cell's owner."""

    workers: Workers
    ledger: Ledger
    lease: CellLease
    histograms: Histograms
    clock: Callable[[], float]
    host: str
    times: LinkTimes = field(default_factory=LinkTimes)


class OwnedCell:
    """The state of a cell during one epoch of ownership, with helpers shared by its modules."""

    def __init__(self, state: DesiredState, spec: CellSpec, parts: OwnerParts) -> None:
        self.state = state
        self.spec = spec
        self.parts = parts
        self.cell = spec.name
        self.epoch = parts.ledger.epoch
        self.scheduler = spec.make_scheduler()
        self.jobs: dict[str, OwnedJob] = {}
        self.attempts: dict[str, Attempt] = {}
        self.answers = AnswerCollector()
        self.links: dict[str, WorkerLink] = {}
        self.ready = trio.Event()
        self.leaving: set[str] = set()
        self.is_handing_over = False
        self._wake = trio.Event()
        self.starts = trio.CapacityLimiter(MAX_CONCURRENT_STARTS)
        self._nursery: trio.Nursery | None = None

    def note_leaving(self, workers: set[str]) -> None:
        """Stop placing jobs on workers that are leaving."""
        for name in sorted(workers - self.leaving):
            if name in self.links:
                self.leaving.add(name)
                self.scheduler.cordon_worker(name)
                self.log("worker.leaving", worker=name)
        self.wake()

    def wake(self) -> None:
        """Trigger the next scheduling pass."""
        self._wake.set()

    def close_attempt(self, attempt: Attempt) -> OwnedJob:
        """Remove an attempt that has ended and return its job."""
        attempt.is_concluded = True
        self.attempts.pop(attempt.id, None)
        self.answers.close(attempt.id)
        owned = self.jobs[attempt.gang.job.id]
        owned.unacknowledged.append((attempt.id, tuple(attempt.members_on)))
        return owned

    def return_to_queue(self, job_id: str) -> None:
        """Requeue a job whose gang was stopped, with its original arrival time."""
        owned = self.jobs[job_id]
        self.scheduler.finish(job_id)
        owned.set_state(JobState.WAITING)
        self.log_state(owned)
        self.scheduler.requeue(owned.job, self.parts.clock())
        self.wake()

    def spawn(self, function: Callable[..., Awaitable[object]], *args: object) -> None:
        """Start a task that is cancelled when this ownership ends."""
        assert self._nursery is not None, "the owner is not running"
        self._nursery.start_soon(function, *args)

    def measure(self, owned: OwnedJob, measure: Measure, seconds: float) -> None:
        """Record a duration of a job in the histograms."""
        job = owned.job
        self.parts.histograms.record(job.customer, job.job_class.name, measure, seconds)

    def log_state(self, owned: OwnedJob, attempt: str = "") -> None:
        """Log a job's current state."""
        self.log(
            "job.state",
            job_id=owned.job.id,
            customer=owned.job.customer,
            job_class=owned.job.job_class.name,
            repeatable=owned.job.repeatable,
            state=owned.state.value,
            cause=owned.cause,
            attempt=attempt,
        )

    def log(self, message_type: str, **fields: object) -> None:
        """Log a message with the host, cell, epoch and time."""
        log_message(
            message_type=message_type,
            host=self.parts.host,
            cell=self.cell,
            epoch=self.epoch,
            at=self.parts.clock(),
            **fields,
        )
