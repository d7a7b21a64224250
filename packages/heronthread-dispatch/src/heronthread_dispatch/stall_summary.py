"""The owner's summary of a cell's stalled jobs, which hosts pass on with their news."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from .field_bounds import MAX_NUMBER, read_int, read_name, read_number
from .known_summary import KnownSummary
from .record import MALFORMED
from .wait_causes import WaitCause

VERSION = 1
"""A summary of another version is dropped: its fields may mean something else."""
MAX_ENCODED_BYTES = 400
"""Size of an encoded summary; a host sends or answers news about four times a second."""
MAX_AGE_S = 10.0
"""Age from which a summary is neither passed on nor used."""
MAX_JOBS = 6
MAX_CAUSES = 32
MAX_S = 1e9
"""Bound of every duration in a summary."""
NAMES = {cause.value: cause.name for cause in WaitCause}


@dataclass(frozen=True, slots=True)
class StalledRow:
    """A stalled job, its cause, and for how long (s) it was stalled as the summary was made.

    `ended_ago_s` is how long before that (s) its stall ended, None while it goes on.
    """

    job: str
    cause: str
    for_s: float
    ended_ago_s: float | None = None


@dataclass(frozen=True, slots=True)
class StallSummary:
    """The stalled jobs of a cell at one moment; a later one has a higher (term, sequence).

    `standing` is how many are stalled, `causes` how many for each cause, and `jobs` the longest
    stalls, those that go on before those that have ended.
    """

    term: int
    sequence: int
    owner: str
    term_age_s: float = 0.0
    standing: int = 0
    causes: Mapping[str, int] = field(default_factory=dict)
    jobs: tuple[StalledRow, ...] = ()

    @property
    def order(self) -> tuple[int, int]:
        """The order in which summaries were made."""
        return self.term, self.sequence

    @property
    def is_empty(self) -> bool:
        """Whether it tells of no job."""
        return not self.standing and not self.jobs

    @property
    def longest_s(self) -> float:
        """The longest stall (s) that goes on, 0.0 if none is listed."""
        return max((row.for_s for row in self.jobs if row.ended_ago_s is None), default=0.0)


KnownStalls = KnownSummary[StallSummary]


@dataclass(frozen=True, slots=True)
class MalformedSummary:
    """A summary that can't be used, and why."""

    reason: str


def fit_summary(summary: StallSummary) -> StallSummary:
    """Return a summary that fits into the news, with the first of its jobs.

    The causes are left out only if no job is left.
    """
    summary = replace(summary, jobs=summary.jobs[:MAX_JOBS])
    while measure_bytes(encode_summary(summary, MAX_AGE_S)) > MAX_ENCODED_BYTES:
        if summary.jobs:
            summary = replace(summary, jobs=summary.jobs[:-1])
        else:
            return replace(summary, causes={})
    return summary


def measure_bytes(encoded: dict[str, Any]) -> int:
    """Return the size of an encoded summary in a message."""
    return len(json.dumps(encoded, separators=(",", ":")).encode())


def encode_summary(summary: StallSummary, age_s: float) -> dict[str, Any]:
    """Return the field of the news for a summary that is `age_s` seconds old."""
    return {
        "v": VERSION,
        "a": round(age_s, 2),
        "t": [summary.term, summary.sequence, round(summary.term_age_s, 1)],
        "o": summary.owner,
        "n": summary.standing,
        "c": {_shorten(cause): count for cause, count in summary.causes.items()},
        "j": [_list_values(row) for row in summary.jobs],
    }


def _list_values(row: StalledRow) -> list[object]:
    values = [row.job, _shorten(row.cause), round(row.for_s, 1)]
    return values if row.ended_ago_s is None else [*values, round(row.ended_ago_s, 1)]


def _shorten(cause: str) -> str:
    """Return the name of a cause, or the cause itself if this version doesn't know it."""
    return NAMES.get(cause, cause)


def _expand(name: str) -> str:
    """Return the cause of a name, or the name itself if this version doesn't know it."""
    return WaitCause[name].value if name in WaitCause.__members__ else name


def decode_summary(value: object) -> tuple[StallSummary, float] | MalformedSummary:
    """Read a summary and its age (s) from the field of the news."""
    try:
        return _decode(value)
    except MALFORMED as error:
        return MalformedSummary(repr(error))


def _decode(value: object) -> tuple[StallSummary, float]:
    if not isinstance(value, dict):
        raise TypeError("a summary is an object")
    if value["v"] != VERSION:
        raise ValueError(f"version {value['v']!r:.40}")
    term, sequence, term_age_s = value["t"]
    causes, rows = value["c"], value["j"]
    if not isinstance(causes, dict) or len(causes) > MAX_CAUSES:
        raise ValueError("the causes are a bounded object")
    if not isinstance(rows, list) or len(rows) > MAX_JOBS:
        raise ValueError("the jobs are a bounded list")
    summary = StallSummary(
        read_int(term, MAX_NUMBER),
        read_int(sequence, MAX_NUMBER),
        read_name(value["o"]),
        read_number(term_age_s, MAX_S),
        read_int(value["n"], MAX_NUMBER),
        {_expand(read_name(name)): read_int(count, MAX_NUMBER) for name, count in causes.items()},
        tuple(_decode_row(*row) for row in rows),
    )
    return summary, read_number(value["a"], MAX_S)


def _decode_row(
    job: object, cause: object, for_s: object, ended_ago_s: object = None
) -> StalledRow:
    return StalledRow(
        read_name(job),
        _expand(read_name(cause)),
        read_number(for_s, MAX_S),
        None if ended_ago_s is None else read_number(ended_ago_s, MAX_S),
    )
