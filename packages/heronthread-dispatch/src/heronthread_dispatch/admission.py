"""Decides whether a new job is accepted, or rejected because it can't begin while it is useful."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

import xxhash

from .known_load import AgedDigest
from .load_digest import PoolLoad, PriorityLoad
from .model import URGENT, JobSpec, Queue
from .progress import LATE_FACTOR, critical_path_s

REJECTED_JOBS = "admission_rejects"
"""The counter of rejected jobs, by reason."""
MAX_DIGEST_AGE_S = 3.0
"""Three intervals between digests; an older digest says too little about the load now."""
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0
MIN_SPREAD_S = 3.0
"""Least width of the spread, as `Retry-After` is in whole seconds."""
SPREAD_SHARE = 0.5
"""Width of the spread as a part of the time until the backlog has drained."""
MAX_BASE_S = MAX_RETRY_AFTER_S / (1 + SPREAD_SHARE)
"""Cap of the time before the spread, so that long waits are spread as well."""


class AdmissionReason(StrEnum):
    """Why a job was accepted or rejected."""

    SWITCHED_OFF = "admission control is off"
    STORE_AWAY = "the store doesn't answer"
    UNPLACEABLE = "it can never be placed"
    NO_DIGEST = "no digest"
    OLD_DIGEST = "the digest is too old"
    LASTING = "lasting"
    GUARANTEED = "within its customer's guarantee"
    NO_ACCELERATORS = "it needs no accelerators"
    NOT_IN_DIGEST = "the digest doesn't tell of its pool and priority"
    WAIT_UNKNOWN = "the wait is unknown"
    ROOM = "there is room now"
    IN_TIME = "it can begin in time"
    KNOWN = "accepted before"
    OWNER_SILENT = "the owner didn't answer"
    TOO_LATE = "it can't begin while it is useful"


@dataclass(frozen=True, slots=True)
class Admitted:
    """The job may be accepted; `expected_wait_s` is None if unknown."""

    reason: AdmissionReason
    expected_wait_s: float | None = None


@dataclass(frozen=True, slots=True)
class Rejected:
    """The job is of no use to its caller; capacity is expected after `retry_after_s`."""

    reason: AdmissionReason
    expected_wait_s: float
    last_useful_s: float
    retry_after_s: float

    def __str__(self) -> str:
        return (
            f"it can't begin while it is useful: the expected wait is {self.expected_wait_s:.1f} s,"
            f" its last useful start is in {self.last_useful_s:.1f} s"
        )


Admission = Admitted | Rejected


def decide_admission(
    spec: JobSpec, queue: Queue, guaranteed: int, known: AgedDigest | None, wall_now: float
) -> Admission:
    """Return whether a job is accepted.

    `queue` is the job's queue as configured now, `guaranteed` the accelerators that its customer is
    guaranteed, and `wall_now` is in seconds since the epoch.
    """
    if known is None:
        return Admitted(AdmissionReason.NO_DIGEST)
    if known.age_s > MAX_DIGEST_AGE_S:
        return Admitted(AdmissionReason.OLD_DIGEST)
    load = known.digest.find(queue.pool)
    row = load.find(queue.priority) if load is not None else None
    if load is None or row is None:
        return Admitted(AdmissionReason.NOT_IN_DIGEST)
    wait_s = _find_wait_s(spec, queue, load, row)
    exemption = _find_exemption(spec, queue, guaranteed)
    if exemption is not None:
        return Admitted(exemption, wait_s)
    if wait_s is None:
        return Admitted(AdmissionReason.WAIT_UNKNOWN)
    if count_required(spec) <= row.room:
        return Admitted(AdmissionReason.ROOM, wait_s)
    last_useful_s = find_last_useful_s(spec, queue, row.length_s, wall_now)
    if wait_s <= last_useful_s:
        return Admitted(AdmissionReason.IN_TIME, wait_s)
    retry_after_s = spread_retry_after_s(spec.id, wait_s - last_useful_s)
    return Rejected(AdmissionReason.TOO_LATE, wait_s, last_useful_s, retry_after_s)


def _find_exemption(spec: JobSpec, queue: Queue, guaranteed: int) -> AdmissionReason | None:
    """Return why a job is never rejected for load, None if it may be.

    What else its customer runs within the guarantee is not known here, so that every urgent job
    that the guarantee could cover alone counts as covered.
    """
    if any(step.lasting for step in spec.steps):
        return AdmissionReason.LASTING
    required = count_required(spec)
    if not required:
        return AdmissionReason.NO_ACCELERATORS
    if queue.priority == URGENT and required <= guaranteed:
        return AdmissionReason.GUARANTEED
    return None


def count_required(spec: JobSpec) -> int:
    """Return the accelerators that a job's largest step needs at once."""
    return max((step.count * step.need.accelerators for step in spec.steps), default=0)


def _find_wait_s(spec: JobSpec, queue: Queue, load: PoolLoad, row: PriorityLoad) -> float | None:
    """Return the expected wait (s) of a new job, None if unknown.

    Work of its own priority counts only if most of it is due before the job. A job that will be
    late by then comes after on-time work of any priority, and after other late work.
    """
    slack_s = find_slack_s(spec, queue)
    wait_s = row.wait_s
    if slack_s < row.slack_s:
        better = [other for other in load.rows if other.priority < row.priority]
        wait_s = max(better, key=lambda other: other.priority).wait_s if better else 0.0
    if wait_s is None or wait_s <= slack_s:
        return wait_s
    return row.late_wait_s


def find_slack_s(spec: JobSpec, queue: Queue) -> float:
    """Return by how much (s) a job may begin late and still be on time."""
    length_s = critical_path_s(spec)
    return queue.stretch * length_s + queue.target_s - length_s


def find_last_useful_s(spec: JobSpec, queue: Queue, typical_s: float, wall_now: float) -> float:
    """Return the time (s) until a job's last useful start, 0.0 at least.

    The longer of the caller's estimate and the typical length counts, as an estimate that is too
    short would make the job look hopeless. The last occurrence of a scheduled job decides.
    """
    length_s = max(critical_path_s(spec), typical_s)
    objective_s = queue.stretch * length_s + queue.target_s
    schedule = spec.schedule
    due_in_s = 0.0 if schedule is None else schedule.due_at(schedule.count - 1) - wall_now
    return max(0.0, due_in_s) + max(0.0, LATE_FACTOR * objective_s - length_s)


def spread_retry_after_s(job_id: str, drained_in_s: float) -> float:
    """Return when (s) a rejected caller is to come back, spread by a hash of the job's id."""
    base_s = min(MAX_BASE_S, max(MIN_RETRY_AFTER_S, drained_in_s))
    width_s = max(MIN_SPREAD_S, SPREAD_SHARE * base_s)
    return base_s + width_s * (xxhash.xxh3_64_intdigest(job_id.encode()) / 2**64)
