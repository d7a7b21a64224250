"""What happened, read from the JSON lines of daemons and stand-ins."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

Line = dict[str, Any]
RUN = "task.run"
ENDS = ("task.done", "task.stopped", "task.killed", "task.lapsed", "task.checkpointed")


@dataclass(slots=True)
class MemberRun:
    """One member of an attempt on its worker; times are seconds of the log's clock."""

    worker: str
    member: int
    units: int
    pool: str
    start: float
    end: float | None = None
    how: str = ""


@dataclass(slots=True)
class AttemptRun:
    """One attempt of a job, with the members that ran."""

    attempt: str
    job_id: str
    gang_size: int
    members: dict[int, MemberRun] = field(default_factory=dict)

    @property
    def is_partial(self) -> bool:
        """Whether some members ran but others never did."""
        return 0 < len(self.members) < self.gang_size

    @property
    def is_done(self) -> bool:
        """Whether every member ran to its end."""
        done = [m for m in self.members.values() if m.how == "task.done"]
        return len(done) == self.gang_size


@dataclass(slots=True)
class JobHistory:
    """The states of a job, in order, with their times."""

    job_id: str
    customer: str = ""
    job_class: str = ""
    repeatable: bool = True
    states: list[tuple[float, str]] = field(default_factory=list)

    @property
    def last(self) -> str:
        """The latest state."""
        return self.states[-1][1] if self.states else ""

    def first(self, state: str) -> float | None:
        """Return when the job first reached a state."""
        return next((at for at, name in self.states if name == state), None)


@dataclass(slots=True)
class History:
    """Everything the lines tell of jobs and attempts."""

    jobs: dict[str, JobHistory] = field(default_factory=dict)
    attempts: dict[str, AttemptRun] = field(default_factory=dict)

    def runs_of(self) -> dict[str, list[AttemptRun]]:
        """Return the attempts of each job of which at least one member ran."""
        runs: dict[str, list[AttemptRun]] = defaultdict(list)
        for attempt in self.attempts.values():
            runs[attempt.job_id].append(attempt)
        return runs

    def count_lost(self) -> int:
        """Count the jobs without a final state."""
        final = ("done", "failed", "not-run", "in-doubt")
        return sum(job.last not in final for job in self.jobs.values())

    def count_doubled(self) -> int:
        """Count jobs that ran twice though not repeatable, or were done twice."""
        doubled = 0
        for job_id, runs in self.runs_of().items():
            job = self.jobs.get(job_id)
            done = sum(run.is_done for run in runs)
            resumed = any(
                m.how == "task.checkpointed" for run in runs for m in run.members.values()
            )
            ran_twice = job is not None and not job.repeatable and len(runs) > 1 and not resumed
            doubled += done > 1 or ran_twice
        return doubled

    def count_partial(self) -> int:
        """Count attempts of which a part ran but never the whole gang."""
        return sum(attempt.is_partial for attempt in self.attempts.values())


def read_lines(lines: Iterable[str]) -> Iterable[Line]:
    """Parse JSON lines; lines that are no JSON objects are passed over."""
    for text in lines:
        try:
            line = json.loads(text)
        except ValueError:
            continue
        if isinstance(line, dict) and "message_type" in line:
            yield line


def build_history(lines: Iterable[Line]) -> History:
    """Return the history that lines tell."""
    history = History()
    for line in lines:
        kind = line["message_type"]
        if kind == "job.state":
            _take_state(history, line)
        elif kind == RUN:
            _take_run(history, line)
        elif kind in ENDS:
            _take_end(history, line)
    return history


def _take_state(history: History, line: Line) -> None:
    job = history.jobs.setdefault(line["job_id"], JobHistory(line["job_id"]))
    job.customer = line["customer"]
    job.job_class = line["job_class"]
    job.repeatable = line["repeatable"]
    job.states.append((line["at"], line["state"]))


def _take_run(history: History, line: Line) -> None:
    name = line["attempt"]
    attempt = history.attempts.get(name)
    if attempt is None:
        attempt = AttemptRun(name, line["job_id"], line["gang_size"])
        history.attempts[name] = attempt
    attempt.members[line["member"]] = MemberRun(
        line["worker"], line["member"], line["units"], line["pool"], line["at"]
    )


def _take_end(history: History, line: Line) -> None:
    attempt = history.attempts.get(line["attempt"])
    member = attempt.members.get(line["member"]) if attempt else None
    if member is not None and member.end is None:
        member.end = line["at"]
        member.how = line["message_type"]
