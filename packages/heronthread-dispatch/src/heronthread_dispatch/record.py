"""The stored form of jobs and of their progress."""

from __future__ import annotations

import json
import math
from dataclasses import astuple, dataclass, field
from enum import StrEnum
from typing import Any

import orjson
from heronthread_coordination import MALFORMED as MALFORMED

from .field_bounds import MAX_NUMBER, MAX_REVISION, read_int, read_number
from .model import (
    ApprovalTerms,
    ExecutorInstance,
    JobSpec,
    PreassignmentEpoch,
    Queue,
    Resources,
    Schedule,
    StepSpec,
    TaskKey,
    UnresolvedStart,
)
from .task_masks import TaskMasks, decode_masks, encode_masks

MAX_TASKS = 1_000_000
"""Above the limit for accepted jobs, so a record with more tasks is malformed."""
MAX_DURATION_S = 1e12
"""Bound of durations and times in a job, with which sums of them stay finite."""


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Malformed stored bytes, which are set aside and logged instead of ending the reader."""

    reason: str


class JobStatus(StrEnum):
    """The status of a job, as reported to callers."""

    PENDING = "pending"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the status can't change any more."""
        return self in (JobStatus.SUCCEEDED, JobStatus.FAILED, JobStatus.CANCELLED)


@dataclass(frozen=True, slots=True)
class JobRecord:
    """A job as it was accepted, and whether its cancellation was accepted."""

    spec: JobSpec
    cancelled: bool = False

    def encode(self) -> bytes:
        """Return the stored form."""
        spec = self.spec
        value: dict[str, Any] = {
            "id": spec.id,
            "queue": _encode_queue(spec.queue),
            "tenant": spec.tenant,
            "payload": spec.payload,
            "accepted": spec.accepted_at,
            "steps": [_encode_step(step) for step in spec.steps],
        }
        if self.cancelled:
            value["cancelled"] = True
        if spec.schedule is not None:
            value["schedule"] = list(astuple(spec.schedule))
        return json.dumps(value, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> JobRecord:
        """Read the stored form."""
        return cls.read(orjson.loads(data))

    @classmethod
    def read(cls, value: dict[str, Any]) -> JobRecord:
        """Build a record from decoded JSON."""
        steps = tuple(_decode_step(step) for step in value["steps"])
        spec = JobSpec(
            str(value["id"]),
            _decode_queue(value["queue"]),
            str(value["tenant"]),
            str(value["payload"]),
            steps,
            _read_time(value["accepted"]),
            _decode_schedule(value["schedule"]) if "schedule" in value else None,
        )
        _check_steps(spec)
        return cls(spec, bool(value.get("cancelled", False)))


@dataclass(frozen=True, slots=True)
class CancelledBeforeAccept:
    """Marks a job that was cancelled before it was accepted, so that it is never accepted."""

    tenant: str

    def encode(self) -> bytes:
        """Return the stored form."""
        return json.dumps({"cancelled_untaken": self.tenant}).encode()


def decode_job(data: bytes) -> JobRecord | CancelledBeforeAccept | Unreadable:
    """Decode the value of a job's key."""
    try:
        value = orjson.loads(data)
        if "cancelled_untaken" in value:
            return CancelledBeforeAccept(str(value["cancelled_untaken"]))
        return JobRecord.read(value)
    except MALFORMED as error:
        return Unreadable(repr(error))


def decode_progress(data: bytes) -> ProgressRecord | Unreadable:
    """Decode the value of a progress key."""
    try:
        return ProgressRecord.decode(data)
    except MALFORMED as error:
        return Unreadable(repr(error))


def _check_steps(spec: JobSpec) -> None:
    """Raise `ValueError` unless each step has tasks and depends on earlier steps only."""
    tasks = sum(step.count for step in spec.steps) * spec.occurrences
    if not 1 <= tasks <= MAX_TASKS:
        raise ValueError(f"a job of {tasks} tasks")
    for number, step in enumerate(spec.steps):
        if step.count < 1:
            raise ValueError(f"step {number} has {step.count} tasks")
        if not all(0 <= earlier < number for earlier in step.after):
            raise ValueError(f"step {number} depends on a step that is not an earlier one")


def _decode_schedule(value: list[Any]) -> Schedule:
    count, first_at, interval_s = value
    return Schedule(read_int(count, MAX_TASKS), _read_time(first_at), _read_duration(interval_s))


def _read_duration(value: Any) -> float:
    return read_number(value, MAX_DURATION_S)


def _read_signed(value: Any, limit: float) -> float:
    """Return a number whose distance from 0 is within a limit; raises `ValueError` if it is not."""
    if not isinstance(value, int | float) or not abs(value) <= limit:
        raise ValueError(f"not from -{limit:g} to {limit:g}: {value!r:.40}")
    return value


def _read_time(value: Any) -> float:
    return float(_read_signed(value, MAX_DURATION_S))


def _encode_queue(queue: Queue) -> list[Any]:
    return [
        queue.name,
        queue.host,
        queue.prefix,
        queue.pool,
        queue.priority,
        queue.max_attempts,
        queue.stretch,
        queue.target_s,
        queue.public,
        list(astuple(queue.approval)) if queue.approval else None,
    ]


def _decode_queue(value: list[Any]) -> Queue:
    name, host, prefix, pool, priority, attempts, stretch, target_s, public, approval = value
    return Queue(
        str(name),
        str(host),
        str(prefix),
        str(pool),
        int(_read_signed(priority, MAX_NUMBER)),
        int(_read_signed(attempts, MAX_NUMBER)),
        _read_time(stretch),
        _read_time(target_s),
        bool(public),
        ApprovalTerms(*map(_read_duration, approval)) if approval else None,
    )


def _encode_step(step: StepSpec) -> list[Any]:
    flags = [step.gang, step.same_rack, step.checkpointing, step.lasting, step.fills]
    return [
        step.count,
        list(step.need),
        step.estimate_s,
        list(step.after),
        "".join("1" if flag else "0" for flag in flags),
        step.label,
        step.data_rack,
        step.spread_limit,
        step.target_s,
        step.may_miss,
    ]


def _decode_step(value: list[Any]) -> StepSpec:
    count, need, estimate, after, flags, label, rack, limit, target, may_miss = value
    gang, same_rack, checkpointing, lasting, fills = (flag == "1" for flag in flags)
    cpu, memory_mb, accelerators = (read_int(amount, MAX_NUMBER) for amount in need)
    return StepSpec(
        read_int(count, MAX_TASKS),
        Resources(cpu, memory_mb, accelerators),
        _read_duration(estimate),
        tuple(read_int(earlier, MAX_TASKS) for earlier in after),
        gang,
        same_rack,
        str(label),
        str(rack),
        read_int(limit, MAX_NUMBER),
        checkpointing,
        lasting,
        _read_duration(target),
        fills,
        read_int(may_miss, MAX_NUMBER),
    )


class Blame(StrEnum):
    """Whether a task crashed an executor certainly, possibly, or may be about to.

    `ON_TRIAL`: it is being started there after other executors crashed under it. An owner that
    reads this counts a crash unless that executor reports.
    """

    BLAMED = "blamed"
    SUSPECTED = "suspected"
    ON_TRIAL = "on trial"


@dataclass(slots=True)
class StepProgress:
    """The done tasks as a bit mask; failed runs, checkpoints and crashes by task index.

    Run numbers and executor instances are kept, not counts, because an executor may report an end
    again.
    """

    done: int = 0
    failures: dict[int, list[int]] = field(default_factory=dict)
    checkpoints: dict[int, str] = field(default_factory=dict)
    crashes: dict[int, dict[ExecutorInstance, Blame]] = field(default_factory=dict)


@dataclass(slots=True)
class ProgressRecord:
    """A job's progress, as far as it must outlast its owner.

    `places` maps executors to the tasks that may be there; None if any task may be anywhere.
    Earlier versions stored no places, or no tasks with them. `starts` are those that may be
    unanswered, None if any may be. They may be carried out for at most `starts_left_s` after the
    write, and their runs may go on for at most `runs_left_s`; None if one may still be sent.
    Earlier versions stored no `runs_left_s`. `preassigned` is the part of `places` at which nothing
    was started by the time of the write, nor later unless its use was announced for `epoch`.

    `steps` lists those of each of `occurrences`, one occurrence after another, or of all of them if
    that is None, as in records of earlier versions. `done_occurrences` has a bit for each other
    occurrence that is done.
    """

    status: JobStatus
    steps: list[StepProgress]
    places: TaskMasks | None = None
    starts: frozenset[UnresolvedStart] | None = None
    starts_left_s: float | None = None
    runs_left_s: float | None = None
    preassigned: TaskMasks = field(default_factory=dict)
    epoch: PreassignmentEpoch | None = None
    occurrences: tuple[int, ...] | None = None
    done_occurrences: int = 0

    def encode(self) -> bytes:
        """Return the stored form."""
        steps = [[f"{s.done:x}", s.failures, s.checkpoints] for s in self.steps]
        value: dict[str, Any] = {"status": self.status.value, "steps": steps}
        if self.occurrences is not None:
            value["occurrences"] = self.occurrences
            value["done_occurrences"] = f"{self.done_occurrences:x}"
        if any(s.crashes for s in self.steps):
            value["crashes"] = [_encode_crashes(s.crashes) for s in self.steps]
        if self.places is not None:
            value["places"] = sorted(self.places)
            value["place_tasks"] = encode_masks(self.places)
        if self.starts is not None:
            starts = sorted(self.starts)
            # Apart, as earlier versions read rows without a run number.
            value["starts"] = [start[:4] for start in starts]
            value["start_runs"] = [start.run for start in starts]
            value["start_borns"] = [start.born for start in starts]
        if self.starts and self.starts_left_s is not None:
            value["starts_left_s"] = self.starts_left_s
        if self.starts and self.runs_left_s is not None:
            value["runs_left_s"] = self.runs_left_s
        if self.epoch is not None:
            value["preassigned"] = [self.epoch, encode_masks(self.preassigned)]
        return json.dumps(value, separators=(",", ":")).encode()

    def is_done(self, task: TaskKey, steps_each: int) -> bool:
        """Return whether a task is recorded as done; an occurrence has `steps_each` steps."""
        if self.done_occurrences >> task.occurrence & 1:
            return True
        place = task.occurrence
        if self.occurrences is not None:
            if task.occurrence not in self.occurrences:
                return False
            place = self.occurrences.index(task.occurrence)
        return bool(self.steps[place * steps_each + task.step].done >> task.member & 1)

    @classmethod
    def decode(cls, data: bytes) -> ProgressRecord:
        """Read the stored form."""
        value = orjson.loads(data)
        steps = [
            StepProgress(
                _read_mask(done),
                {int(index): list(map(_read_run, runs)) for index, runs in failures.items()},
                {int(index): str(text) for index, text in checkpoints.items()},
            )
            for done, failures, checkpoints in value["steps"]
        ]
        for step, crashes in zip(steps, value.get("crashes", ()), strict=False):
            step.crashes = {int(index): _decode_blames(rows) for index, rows in crashes.items()}
        places = value.get("places")
        masks = value.get("place_tasks", {})
        named = None if places is None else decode_masks(places, masks)
        starts = value.get("starts")
        open_starts = None if starts is None else _read_starts(starts, value)
        left_s = read_remaining_s(value.get("starts_left_s"))
        runs_left_s = read_remaining_s(value.get("runs_left_s"))
        epoch, preassigned = _read_preassigned(value.get("preassigned"))
        numbers = value.get("occurrences")
        done_occurrences = _read_mask(value.get("done_occurrences", "0"))
        if numbers is None and done_occurrences:
            raise ValueError("done occurrences beside the steps of all")
        return cls(
            JobStatus(value["status"]),
            steps,
            named,
            open_starts,
            left_s,
            runs_left_s,
            preassigned,
            epoch,
            None if numbers is None else tuple(read_int(number, MAX_TASKS) for number in numbers),
            done_occurrences,
        )


def read_remaining_s(value: Any) -> float | None:
    """Decode a remaining time (s), None if there is none; raises `ValueError` if it is invalid."""
    return None if value is None else read_number(value, MAX_DURATION_S)


def round_remaining_s(left_s: float) -> float:
    """Round a remaining time (s) up to tenths for the stored form."""
    return math.ceil(max(0.0, left_s) * 10) / 10


def _read_preassigned(value: Any) -> tuple[PreassignmentEpoch | None, TaskMasks]:
    """Decode what was recorded in advance; earlier versions did not tell it apart."""
    if value is None:
        return None, {}
    (revision, number, hosts), masks = value
    if not isinstance(masks, dict):
        raise TypeError("preassigned tasks are masks by executor")
    epoch = PreassignmentEpoch(
        read_int(revision, MAX_REVISION), read_int(number, MAX_NUMBER), read_int(hosts, MAX_NUMBER)
    )
    return epoch, decode_masks(masks, masks)


def _read_mask(text: Any) -> int:
    mask = int(text, 16)
    if mask < 0:
        raise ValueError("a negative mask")
    return mask


def _read_run(value: Any) -> int:
    return read_int(value, MAX_NUMBER)


def _read_starts(rows: Any, value: dict[str, Any]) -> frozenset[UnresolvedStart]:
    """Decode the unanswered starts; earlier versions stored neither run numbers nor start times."""
    unknown = [0] * len(rows)
    runs, borns = value.get("start_runs", unknown), value.get("start_borns", unknown)
    columns = zip(rows, runs, borns, strict=True)
    return frozenset(_read_start(row, run, born) for row, run, born in columns)


def _read_start(value: list[Any], run: Any, born: Any) -> UnresolvedStart:
    executor, step, member, occurrence = value
    return UnresolvedStart(
        str(executor),
        read_int(step, MAX_TASKS),
        read_int(member, MAX_TASKS),
        read_int(occurrence, MAX_TASKS),
        _read_run(run),
        read_int(born, MAX_NUMBER),
    )


def _encode_crashes(
    crashes: dict[int, dict[ExecutorInstance, Blame]],
) -> dict[int, list[list[Any]]]:
    return {
        index: [[*instance, blame.value] for instance, blame in blames.items()]
        for index, blames in crashes.items()
    }


def _decode_blames(rows: Any) -> dict[ExecutorInstance, Blame]:
    """Decode the crashes under one task; earlier versions stored a mapping of ids."""
    if isinstance(rows, dict):
        return {ExecutorInstance(str(name)): Blame(blame) for name, blame in rows.items()}
    return {decode_instance(name, born): Blame(blame) for name, born, blame in rows}


def decode_instance(name: Any, born: Any = 0) -> ExecutorInstance:
    """Decode an executor instance; earlier versions stored no start time."""
    return ExecutorInstance(str(name), read_int(born, MAX_NUMBER))
