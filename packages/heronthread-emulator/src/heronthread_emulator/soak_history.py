"""What a soak's processes saw, read from their logs for the checks."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from heronthread_dispatch.model import ExecutorInstance, TaskKey
from heronthread_dispatch.record import JobStatus

from .checker import Told
from .executors import Event
from .sight import read_lines
from .soak_faults import PLANNED
from .soak_plan import PlannedJob
from .soak_site import CALLERS, EXECUTORS, LINKS, MODULES, STORE

SOAK_LOG = "soak.log"
CRASH_DISTURBS_S = 4.5
"""Until the crashed executor's entry has lapsed, and another instance is there."""
IN_TOUCH_S = 3.0
"""So long after a disruption its effects may last (`contact-ms` of the platform's rules)."""
NOT_ENDED = float("inf")
PLACE_KINDS = frozenset(
    (
        "begun",
        "over",
        "silence",
        "health",
        "vanished",
        "unanswered",
        "stop_answered",
        "draining",
        "resized",
        "written",
        "overwritten",
    )
)
"""Lines that tell whether an executor could take work, or of starts that it did not answer
and of stops that it did."""
SETTLED = (200, 404, 410, 429, 503)


@dataclass(slots=True)
class Disruption:
    """A fault that may keep promises in time from being kept."""

    name: str
    began: float
    ended: float = NOT_ENDED


@dataclass(slots=True)
class SoakHistory:
    """Everything that was seen; times in seconds since the epoch."""

    events: list[Event] = field(default_factory=list)
    late: set[tuple[str, TaskKey, int]] = field(default_factory=set)
    taken_note: set[tuple[ExecutorInstance, int]] = field(default_factory=set)
    crashing: dict[TaskKey, float] = field(default_factory=dict)
    noted_at: dict[tuple[ExecutorInstance, int], float] = field(default_factory=dict)
    lapses: list[tuple[ExecutorInstance, float]] = field(default_factory=list)
    places: list[dict[str, Any]] = field(default_factory=list)
    draining: dict[str, float] = field(default_factory=dict)
    resized: list[tuple[str, float]] = field(default_factory=list)
    overwritten: dict[str, list[tuple[float, bool]]] = field(default_factory=dict)
    overfull: list[tuple[str, float]] = field(default_factory=list)
    told: dict[str, Told] = field(default_factory=dict)
    calls: list[dict[str, Any]] = field(default_factory=list)
    probes: list[dict[str, Any]] = field(default_factory=list)
    foreign: list[dict[str, Any]] = field(default_factory=list)
    disruptions: list[Disruption] = field(default_factory=list)
    versions: dict[int, float] = field(default_factory=dict)
    host_starts: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    stops: list[tuple[str, float]] = field(default_factory=list)
    mended_at: float = NOT_ENDED
    ended_at: float = 0.0
    late_s: float = 0.0
    """The worst lateness of the stand-ins; that of the soak itself only widens disruptions."""

    def is_calm(self, since: float, until: float) -> bool:
        """Whether no disruption was near a span of time."""
        return not any(d.began <= until and d.ended + IN_TOUCH_S >= since for d in self.disruptions)

    def find_first(self, job: str, kind: str) -> float | None:
        """Return when a kind of call for a job was first sent, answered or not."""
        sent = [call["sent"] for call in self.calls if (call["job"], call["call"]) == (job, kind)]
        return min(sent, default=None)

    def find_taken_at(self, job: str) -> float | None:
        """Return when a job was first acknowledged."""
        ends = [
            call["sent"] + call["took_s"]
            for call in self.calls
            if call["job"] == job and call["call"] == "POST" and call["status"] == 200
        ]
        return min(ends, default=None)

    def find_cancelled_at(self, job: str) -> float | None:
        """Return when a cancelling was first acknowledged."""
        ends = [
            call["sent"] + call["took_s"]
            for call in self.calls
            if call["job"] == job and call["call"] == "DELETE" and call["status"] == 200
        ]
        return min(ends, default=None)


def read_history(folder: Path, jobs: Iterable[PlannedJob], began_at: float) -> SoakHistory:
    """Read the logs of one seed."""
    history = SoakHistory()
    history.told = {job.id: Told(job.to_record(began_at)) for job in jobs}
    for standin in (EXECUTORS, CALLERS, STORE, LINKS):
        for line in read_lines(folder / f"{MODULES[standin]}.log"):
            _read_line(history, line)
    for line in read_lines(folder / SOAK_LOG):
        _read_soak_line(history, line)
    for call in history.calls:
        _tell(history.told[call["job"]], call)
    return history


def _read_line(history: SoakHistory, line: dict[str, Any]) -> None:
    kind, at = line["message_type"], line["timestamp"]
    if kind == "caller.call":
        history.calls.append(line)
    elif kind == "caller.probe":
        history.probes.append(line)
    elif kind == "caller.foreign":
        history.foreign.append(line)
    elif kind == "configuration.taken":
        history.versions[line["version"]] = at
    elif kind == "loop.late":
        history.late_s = max(history.late_s, line["worst_s"])
    elif kind.startswith("executor."):
        _read_executor_line(history, line, kind.removeprefix("executor."), at)


def _read_executor_line(history: SoakHistory, line: dict[str, Any], what: str, at: float) -> None:
    executor, born = line["executor"], line.get("born", 0)
    if what in PLACE_KINDS:
        history.places.append(line)
    if what == "noted":
        history.noted_at.setdefault((ExecutorInstance(executor, born), line["number"]), at)
        history.taken_note.add((ExecutorInstance(executor, born), line["number"]))
    elif what == "lapse":
        history.lapses.append((ExecutorInstance(executor, born), at))
    elif what == "draining":
        history.draining.setdefault(executor, at)
    elif what == "overwritten":
        history.overwritten.setdefault(executor, []).append((at, True))
    elif what == "written":
        history.overwritten.setdefault(executor, []).append((at, False))
    elif what == "crashing":
        history.crashing[TaskKey(line["job"], 0, 0)] = line["after_s"]
    elif what == "resized":
        history.resized.append((executor, at))
    elif what == "overfull":
        history.overfull.append((executor, at))
    elif what not in PLACE_KINDS:
        _read_run_line(history, line, what)


def _read_run_line(history: SoakHistory, line: dict[str, Any], what: str) -> None:
    executor, born, at = line["executor"], line.get("born", 0), line["timestamp"]
    task = TaskKey(line["job"], line["step"], line["index"], line["occurrence"])
    event = Event(at, what, task, line["run"], executor, line["token"], line["number"], born=born)
    history.events.append(event)
    if what == "gone" and task in history.crashing:
        crash = Disruption(f"{executor} crashed under {task.job}", at)
        crash.ended = at + CRASH_DISTURBS_S
        history.disruptions.append(crash)
    if what == "start" and line["late"]:
        history.late.add((executor, task, line["run"]))


def _read_soak_line(history: SoakHistory, line: dict[str, Any]) -> None:
    kind, at = line["message_type"], line["timestamp"]
    if kind == "fault.began" and line["fault"] not in PLANNED:
        history.disruptions.append(Disruption(f"{line['fault']} {line['number']}", at))
    elif kind == "fault.ended":
        name = f"{line['fault']} {line['number']}"
        for disruption in history.disruptions:
            if disruption.name == name:
                disruption.ended = at
    elif kind == "host.started":
        history.host_starts[line["to"]].append(at)
    elif kind == "host.stopping":
        history.stops.append((line["to"], at))
    elif kind == "soak.mended":
        history.mended_at = at
    elif kind == "soak.ended":
        history.ended_at = at


def _tell(told: Told, call: dict[str, Any]) -> None:
    """Take in what one call told its caller."""
    status = call["status"]
    if call["call"] == "POST":
        told.taken |= status == 200
        told.refused |= status in (404, 429, 503)
        told.unsettled |= status not in SETTLED and not call["unsent"]
    elif call["call"] == "DELETE":
        told.cancelled |= not call["unsent"] and status not in (410, 429, 503)
    elif call["state"]:
        told.show(JobStatus(call["state"]), call["timestamp"])
