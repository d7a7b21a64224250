"""Latency histograms by customer and class, mergeable across hosts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from hdrh.histogram import HdrHistogram

LOWEST_MS = 1
HIGHEST_MS = 7 * 86_400_000
SIGNIFICANT_DIGITS = 2


class Measure(StrEnum):
    """Measured durations, in milliseconds.

    `WAITING`: from acceptance of a job to its start; `EXPECTED_WAITING`: the wait expected at
    acceptance; `START`: from the decision to start until
    the job runs on all workers; `COMPLETION`: from acceptance to completion; `ANSWER`: from
    request to response at an entry host; `PLAN`: one planning pass of an owner; `LATENESS`:
    delay of a timer.
    """

    WAITING = "waiting"
    EXPECTED_WAITING = "expected_waiting"
    START = "start"
    COMPLETION = "completion"
    ANSWER = "answer"
    PLAN = "plan"
    LATENESS = "lateness"


@dataclass(frozen=True, slots=True)
class Key:
    """Customer, class and measure of a histogram."""

    customer: str
    job_class: str
    measure: Measure


@dataclass(frozen=True, slots=True)
class Summary:
    """Count of a histogram, with its percentiles and maximum in milliseconds."""

    count: int
    p50: int
    p95: int
    p99: int
    largest: int


@dataclass(slots=True)
class Histograms:
    """All histograms of one host."""

    by_key: dict[Key, HdrHistogram] = field(default_factory=dict)

    def record(self, customer: str, job_class: str, measure: Measure, seconds: float) -> None:
        """Record a duration in seconds, capped at one week."""
        value = min(HIGHEST_MS, max(LOWEST_MS, round(seconds * 1000)))
        self._get(Key(customer, job_class, measure)).record_value(value)

    def summarise(self, key: Key) -> Summary:
        """Return the summary of one histogram."""
        histogram = self._get(key)
        p50, p95, p99 = (histogram.get_value_at_percentile(p) for p in (50, 95, 99))
        return Summary(histogram.get_total_count(), p50, p95, p99, histogram.get_max_value())

    def encode(self) -> dict[str, str]:
        """Return all histograms in compressed form, for `merge` on another host."""
        return {
            "\t".join((key.customer, key.job_class, key.measure)): h.encode().decode()
            for key, h in self.by_key.items()
        }

    def merge(self, encoded: dict[str, str]) -> None:
        """Add another host's histograms."""
        for name, value in encoded.items():
            customer, job_class, measure = name.split("\t")
            self._get(Key(customer, job_class, Measure(measure))).decode_and_add(value.encode())

    def _get(self, key: Key) -> HdrHistogram:
        histogram = self.by_key.get(key)
        if histogram is None:
            histogram = self.by_key[key] = HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)
        return histogram
