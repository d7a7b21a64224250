"""The owner's report of stalled jobs to its own host, which passes it on."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from heapq import nlargest

from .clock import boot_time
from .owned_cell import OwnedCell
from .stall_summary import MAX_AGE_S, MAX_JOBS, StalledRow, StallSummary, fit_summary
from .stalls import JobStall

MIN_REPORTED_S = 2.0
"""Shorter stalls are counted only, as every host logs those that are listed."""
ENDED_KEPT_S = 12.0
"""How long an ended stall is listed, so that it reaches every host."""


class StallReport:
    """Publishes a summary of the stalled jobs while there are any."""

    def __init__(self, cell: OwnedCell) -> None:
        self._cell = cell
        self._sequence = 0
        self._standing: Mapping[str, JobStall] = {}
        self._ended: dict[str, tuple[JobStall, float]] = {}

    def publish(self, standing: Mapping[str, JobStall], term_age_s: float, now: float) -> None:
        """Publish the stalled jobs, or once that there are none any more."""
        self._note_ended(standing, now)
        if not self._cell.parts.may_send_orders():
            return
        causes = Counter(stall.cause for stall in standing.values())
        self._sequence += 1
        summary = StallSummary(
            self._cell.term.number,
            self._sequence,
            self._cell.parts.host,
            term_age_s,
            len(standing),
            dict(causes.most_common()),
            self._list_rows(standing, now),
        )
        if not summary.is_empty or self._is_contradicted():
            self._cell.parts.known_stalls.publish(fit_summary(summary), boot_time())

    def _is_contradicted(self) -> bool:
        """Return whether hosts may still use a summary that lists stalled jobs."""
        known = self._cell.parts.known_stalls.find(boot_time())
        return known is not None and known.age_s <= MAX_AGE_S and not known.digest.is_empty

    def _note_ended(self, standing: Mapping[str, JobStall], now: float) -> None:
        for job, stall in self._standing.items():
            if job not in standing and stall.for_s >= MIN_REPORTED_S:
                self._ended[job] = stall, now
        self._ended = {
            job: (stall, at)
            for job, (stall, at) in self._ended.items()
            if job not in standing and now - at <= ENDED_KEPT_S
        }
        self._standing = dict(standing)

    def _list_rows(self, standing: Mapping[str, JobStall], now: float) -> tuple[StalledRow, ...]:
        """Return the longest stalls, those that go on first."""
        long = ((job, s) for job, s in standing.items() if s.for_s >= MIN_REPORTED_S)
        going_on = nlargest(MAX_JOBS, long, key=lambda row: row[1].for_s)
        ended = nlargest(MAX_JOBS, self._ended.items(), key=lambda row: row[1][0].for_s)
        return (
            *(StalledRow(job, stall.cause, stall.for_s) for job, stall in going_on),
            *(StalledRow(job, stall.cause, stall.for_s, now - at) for job, (stall, at) in ended),
        )
