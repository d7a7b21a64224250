"""Stalled jobs as known by a host: the owner's reports, and for how long each job is stalled.

An owner only knows of stalls since its own term began. A host that queried earlier owners, or was
one, also knows the time before.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import asdict, dataclass, field, replace
from typing import Any

import trio

from .events import log_event
from .stall_summary import StallSummary

REPORT_INTERVAL_S = 2.0
MAX_REPORTED = 16
"""Jobs that a host reports per `REPORT_INTERVAL_S`, as callers may query hundreds."""
SAME_STALL_S = 10.0
"""A job not reported for this long counts as newly stalled; most takeovers take less."""
MAX_STALLS = 512
MAX_CAUSE_CHARS = 120
MAX_NUMBER = 1e12


@dataclass(frozen=True, slots=True)
class JobStall:
    """A stalled job as reported by its owner: the cause, its duration, and the owner's term."""

    cause: str
    for_s: float
    term: int
    term_age_s: float

    def encode(self) -> dict[str, Any]:
        """Return the form sent in a reply."""
        return asdict(self)

    @classmethod
    def decode(cls, value: Any) -> JobStall:
        """Decode the form sent in a reply; raises one of `MALFORMED` if it is invalid."""
        cause, for_s, term, term_age_s = (value[name] for name in cls.__slots__)
        if not isinstance(cause, str):
            raise TypeError("the cause must be a string")
        if not all(0 <= number < MAX_NUMBER for number in (for_s, term, term_age_s)):
            raise ValueError("a duration or term is out of range")
        return cls(cause[:MAX_CAUSE_CHARS], float(for_s), int(term), float(term_age_s))


@dataclass(frozen=True, slots=True)
class OwnerUnreachable:
    """A job that no owner reported on: the cell's owner, "" if unknown, and the reason."""

    owner: str
    reason: str


@dataclass(frozen=True, slots=True)
class _Stall:
    since: float
    reported_at: float
    is_end_logged: bool = False


@dataclass(slots=True)
class StallHistory:
    """The start times of stalls (trio's clock), across owners.

    Holds at most `MAX_STALLS` jobs, dropping those reported least recently.
    """

    _stalls: dict[str, _Stall] = field(default_factory=dict)
    _reported_at: dict[str, float] = field(default_factory=dict)

    def record(self, job: str, for_s: float, ago_s: float = 0.0) -> float:
        """Record a job's stall duration (s) under its owner; return that across owners (s).

        Both are as of `ago_s` (s) ago.
        """
        now = trio.current_time()
        since, stall = now - ago_s - for_s, self._stalls.pop(job, None)
        is_same = stall is not None and not stall.is_end_logged
        if stall is not None and is_same and now - stall.reported_at < SAME_STALL_S:
            since = min(since, stall.since)
        self._stalls[job] = _Stall(since, now)
        if len(self._stalls) > MAX_STALLS:
            del self._stalls[next(iter(self._stalls))]
        return now - ago_s - since

    def retain(self, waiting: Collection[str]) -> None:
        """Drop all jobs but the waiting ones; to be called with all jobs that wait."""
        self._stalls = {job: stall for job, stall in self._stalls.items() if job in waiting}

    def report_summary(self, summary: StallSummary, age_s: float) -> None:
        """Log the jobs that the owner, another host, listed as stalled `age_s` (s) ago."""
        for row in summary.jobs:
            stall = JobStall(row.cause, row.for_s, summary.term, summary.term_age_s)
            self.report(row.job, stall, summary.owner, age_s, row.ended_ago_s)

    def report(
        self,
        job: str,
        stall: JobStall,
        owner: str,
        age_s: float = 0.0,
        ended_ago_s: float | None = None,
    ) -> None:
        """Log what the owner, another host, reported of a job, unless logged recently.

        The report is `age_s` (s) old; the stall had ended `ended_ago_s` (s) before it, None if it
        went on.
        """
        known = self._stalls.get(job)
        if ended_ago_s is not None and known is not None and known.is_end_logged:
            return
        known_for_s = self.record(job, stall.for_s, age_s + (ended_ago_s or 0.0))
        if not self._may_report(job):
            return
        ended = {} if ended_ago_s is None else {"ended_ago_s": round(ended_ago_s + age_s, 3)}
        self._stalls[job] = replace(self._stalls[job], is_end_logged=bool(ended))
        log_event(
            "job.stands",
            job=job,
            cause=stall.cause,
            for_s=round(stall.for_s, 3),
            known_for_s=round(known_for_s, 3),
            term=stall.term,
            term_age_s=round(stall.term_age_s, 3),
            told_by=owner,
            age_s=round(age_s, 3),
            **ended,
        )

    def report_unowned(self, job: str, unowned: OwnerUnreachable, stored: str) -> None:
        """Log that no owner could report on a job that a caller queried, unless logged recently.

        `stored` is its status in the store, or why that is unknown too.
        """
        if self._may_report(job):
            owner, reason = unowned.owner, unowned.reason
            log_event("job.unowned", job=job, owner=owner, reason=reason, stored=stored)

    def _may_report(self, job: str) -> bool:
        """Whether a line about a job may be logged now; if so, records that it is."""
        now = trio.current_time()
        self._reported_at = {
            name: at for name, at in self._reported_at.items() if now - at < REPORT_INTERVAL_S
        }
        if job in self._reported_at or len(self._reported_at) >= MAX_REPORTED:
            return False
        self._reported_at[job] = now
        return True
