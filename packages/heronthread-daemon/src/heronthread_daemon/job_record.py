"""Representations of a job: in the owner's memory, in the ledger and in replies to callers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import trio
import xxhash
from heronthread_coordination import Record
from heronthread_scheduling import DesiredState, Job, JobModel, make_job
from heronthread_scheduling.desired import Name
from pydantic import Field


class JobState(StrEnum):
    """The state of a job; the last four are final."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    UNKNOWN = "unknown"
    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not-run"
    IN_DOUBT = "in-doubt"


FINAL = frozenset({JobState.DONE, JobState.FAILED, JobState.NOT_RUN, JobState.IN_DOUBT})


class SubmitModel(JobModel):
    """A job submitted by a caller: the fields of an event's job and the request id.

    `request_id` is unique per customer. `issued_at`, in seconds since the Unix epoch, lets the
    owner refuse a request older than the retention period, which might otherwise run again.
    """

    name: Name = "request"
    request_id: Name
    issued_at: float | None = Field(default=None, gt=0)

    @property
    def job_id(self) -> str:
        """The id of the job, the same on every host."""
        return f"{self.customer}~{self.request_id}"

    def digest(self) -> str:
        """Return a digest of all fields except `issued_at`."""
        text = self.model_dump_json(exclude={"issued_at"}, by_alias=True)
        return xxhash.xxh3_64_hexdigest(text.encode())


@dataclass(frozen=True, slots=True)
class Claim:
    """The ledger entry written before a job that must not run twice is started.

    `workers` maps each worker of the attempt to its incarnation. No start is sent after
    `start_by`, in seconds since the Unix epoch.
    """

    attempt: str
    epoch: int
    workers: dict[str, str]
    start_by: float


@dataclass(slots=True)
class OwnedJob:
    """A job and its state; `changed` is set and replaced at each change of state."""

    job: Job
    model: JobModel
    digest: str
    accepted_at: float
    state: JobState = JobState.WAITING
    attempts: int = 0
    started_at: float = 0.0
    checkpoint: str = ""
    answer: str = ""
    cause: str = ""
    reason: str = ""
    durable: bool = False
    claim: Claim | None = None
    unacknowledged: list[tuple[str, tuple[str, ...]]] = field(default_factory=list)
    changed: trio.Event = field(default_factory=trio.Event)

    @property
    def is_final(self) -> bool:
        """Whether the state is final."""
        return self.state in FINAL

    def set_state(self, state: JobState, *, cause: str = "", reason: str = "") -> None:
        """Change the state and wake the tasks that wait for `changed`."""
        self.state = state
        self.cause = cause
        self.reason = reason
        self.changed.set()
        self.changed = trio.Event()

    def to_record(self, now: float) -> Record:
        """Return the ledger record; that of a final job omits the model."""
        body: dict[str, Any] = {
            "state": self.state.value,
            "digest": self.digest,
            "attempts": self.attempts,
            "accepted": self.accepted_at,
            "customer": self.job.customer,
            "class": self.job.job_class.name,
        }
        if self.is_final:
            body |= {"answer": self.answer, "cause": self.cause, "reason": self.reason}
        else:
            body["model"] = self.model.model_dump(mode="json", by_alias=True, exclude_defaults=True)
        if self.checkpoint:
            body["checkpoint"] = self.checkpoint
        if self.claim is not None:
            claim = self.claim
            body["claim"] = [claim.attempt, claim.epoch, claim.workers, claim.start_by]
        return Record(self.job.id, now, self.is_final, body)


def read_record(record: Record, state: DesiredState) -> OwnedJob:
    """Return the job of a ledger record, even if its customer is no longer declared."""
    body = record.body
    is_final = JobState(body["state"]) in FINAL
    model = _final_model(body) if is_final else _read_model(body["model"])
    item = make_job(state, model, record.key, body["accepted"])
    owned = OwnedJob(item.job, model, body["digest"], body["accepted"], durable=True)
    owned.state = JobState(body["state"])
    owned.attempts = body["attempts"]
    owned.answer = body.get("answer", "")
    owned.cause = body.get("cause", "")
    owned.reason = body.get("reason", "")
    owned.checkpoint = body.get("checkpoint", "")
    if "claim" in body:
        owned.claim = Claim(*body["claim"])
    return owned


def _read_model(content: dict[str, Any]) -> JobModel:
    if "request_id" in content:
        return SubmitModel.model_validate(content)
    return JobModel.model_validate(content)


def _final_model(body: dict[str, Any]) -> JobModel:
    """Return a placeholder model for a final job, of which only the names are used."""
    return JobModel.model_validate(
        {
            "name": "ended",
            "customer": body["customer"],
            "class": body["class"],
            "shape": {"slots": 1},
            "expected_s": 1,
            "p95_s": 1,
        }
    )


@dataclass(frozen=True, slots=True)
class JobView:
    """A job as reported to callers and operators.

    `durable` is set if the store has this state; `retry_after_s` is the suggested delay before
    the next query, 0 if the state is final.
    """

    job_id: str
    customer: str
    job_class: str
    state: JobState
    answer: str = ""
    cause: str = ""
    reason: str = ""
    attempts: int = 0
    cell: str = ""
    epoch: int = 0
    places: dict[str, int] = field(default_factory=dict)
    durable: bool = False
    retry_after_s: float = 0.0
