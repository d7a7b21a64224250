"""Predictions of how long tasks run, learned from the lengths of runs that ended.

Two predictors are combined: the caller's estimate times the usual ratio of length to estimate, and
the usual length whatever the estimate. Each one counts by the inverse square of the spread of its
past errors, so that estimates without information lose their influence.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from hdrh.histogram import HdrHistogram

HALF_LIFE_S = 300.0
MIN_COMPLETIONS = 8
MIN_WEIGHT = MIN_COMPLETIONS / 2
"""Evidence worth fewer recent completions is disregarded: eight are valid for a half-life."""
UNITS_PER_END = 256
"""Histogram counts are integers; an end is recorded as so many, times its forward decay."""
MAX_HALF_LIVES = 30
"""Counts are scaled down after so many half-lives, far before they exceed 64 bits."""
UNIT = 1000
"""Lengths are recorded in ms and ratios in thousandths."""
MAX_LENGTH_MS = 86_400_000
MAX_RATIO = 1000 * UNIT
SIGNIFICANT_DIGITS = 2
RESOLUTION = 0.02
"""The relative error of a measured length: report times, and the histogram's buckets."""
ACCURATE_SHARE = 0.1
"""Estimates that are off by less, from the 10th to the 90th percentile, are used unchanged."""
REFRESH_DIVISOR = 16
"""Percentiles are computed again once the evidence has grown by one part in so many."""
MAX_QUEUES = 48
"""Histograms take 35 kB a queue; the queue that was first seen is dropped beyond this."""
MAX_CUSTOMERS = 3072
"""Customers and queues with an own offset, at 0.4 kB each; 790 customers of 3 queues fit."""
MAX_OFFSET = math.log(2)
"""Residuals of single runs are clipped to it (log), so that a long tail does not move an offset."""
SIGNIFICANT_OFFSET_ERRORS = 2.0
"""A customer's offset counts once it is so many times its standard error."""
MAX_CACHED = 1024
"""Predictions kept, at 0.4 kB each; some 100 jobs wait."""
PERCENTILES = (10, 16, 50, 84, 90)


class Evidence(StrEnum):
    """What a prediction is based on."""

    ESTIMATE = "the caller's estimate"
    LEARNED = "earlier runs"


@dataclass(frozen=True, slots=True)
class LengthPrediction:
    """The predicted length of a task's run in seconds: its median and its 90th percentile."""

    typical_s: float
    high_s: float
    evidence: Evidence


@dataclass(frozen=True, slots=True)
class _Distribution:
    """Logarithms of a median and a 90th percentile, the variance, and the range of most values."""

    median: float
    high: float
    variance: float
    p10: float
    p90: float


@dataclass(slots=True)
class _DecayingHistogram:
    """A histogram in which recent values count more: later ones get higher counts."""

    highest: int
    epoch: float
    counts: HdrHistogram = field(init=False)

    def __post_init__(self) -> None:
        self.counts = self._make()

    def _make(self) -> HdrHistogram:
        return HdrHistogram(1, self.highest, SIGNIFICANT_DIGITS)

    def record(self, value: float, now: float) -> None:
        """Add a value in units of `UNIT`."""
        age = (now - self.epoch) / HALF_LIFE_S
        if age > MAX_HALF_LIVES:
            self._rebase(int(age))
            age -= int(age)
        clipped = min(self.highest, max(1, round(value * UNIT)))
        self.counts.record_value(clipped, round(UNITS_PER_END * 2.0**age))

    def _rebase(self, half_lives: int) -> None:
        earlier, self.counts = self.counts, self._make()
        for item in earlier.get_recorded_iterator():
            count = item.count_at_value_iterated_to >> half_lives
            if count:
                self.counts.record_value(item.value_iterated_to, count)
        self.epoch += half_lives * HALF_LIFE_S

    def weigh(self, now: float) -> float:
        """Return the number of recent values that the recorded ones are worth."""
        age = (now - self.epoch) / HALF_LIFE_S
        return float(self.counts.get_total_count()) / UNITS_PER_END * 2.0**-age

    def summarise(self) -> _Distribution:
        """Return the distribution of the logarithm of the values."""
        found = self.counts.get_percentile_to_value_dict(PERCENTILES)
        p10, p16, p50, p84, p90 = (math.log(found[p] / UNIT) for p in PERCENTILES)
        spread = max(RESOLUTION, (p84 - p16) / 2)
        return _Distribution(p50, p90, spread * spread, p10, p90)


@dataclass(frozen=True, slots=True)
class _Model:
    """The weighted geometric mean of a queue's two predictors; all values are logarithms.

    A prediction is `share` of the estimate, plus a constant. `share` is 1 if the estimate's errors
    have no spread, and a half if they are spread as much as the lengths.
    """

    length: _Distribution
    ratio: _Distribution
    share: float = field(init=False)
    typical: float = field(init=False)
    high: float = field(init=False)
    is_estimate_accurate: bool = field(init=False)

    def __post_init__(self) -> None:
        length, ratio = self.length, self.ratio
        share = length.variance / (length.variance + ratio.variance)
        typical = share * ratio.median + (1 - share) * length.median
        high = share * ratio.high + (1 - share) * length.high
        object.__setattr__(self, "share", share)
        object.__setattr__(self, "typical", typical)
        object.__setattr__(self, "high", max(typical, high))
        is_accurate = max(abs(ratio.p10), abs(ratio.p90)) <= ACCURATE_SHARE
        object.__setattr__(self, "is_estimate_accurate", is_accurate)

    def predict(self, estimate_s: float, offset: float) -> LengthPrediction:
        if self.is_estimate_accurate:
            return LengthPrediction(estimate_s, estimate_s, Evidence.ESTIMATE)
        base = self.share * math.log(estimate_s) + offset
        typical_s, high_s = math.exp(base + self.typical), math.exp(base + self.high)
        return LengthPrediction(typical_s, high_s, Evidence.LEARNED)


@dataclass(slots=True)
class _QueueLengths:
    """The lengths of a queue's runs and their ratios to the estimates.

    `ends` counts all runs. They are evidence for a prediction until `valid_until`.
    """

    lengths: _DecayingHistogram
    ratios: _DecayingHistogram
    ends: int = 0
    valid_until: float = -math.inf
    _model: _Model | None = None
    _model_ends: int = 0

    def note(self, estimate_s: float, length_s: float, now: float) -> None:
        self.lengths.record(length_s, now)
        self.ratios.record(length_s / estimate_s, now)
        self.ends += 1
        if self.ends >= MIN_COMPLETIONS:
            half_lives = math.log2(self.lengths.weigh(now) / MIN_WEIGHT)
            self.valid_until = now + half_lives * HALF_LIFE_S

    def find_model(self) -> _Model:
        """Return a model that may lack the latest ends."""
        grown = self.ends - self._model_ends
        if self._model is None or grown * REFRESH_DIVISOR > self.ends:
            self._model = _Model(self.lengths.summarise(), self.ratios.summarise())
            self._model_ends = self.ends
        return self._model


@dataclass(slots=True)
class _CustomerOffset:
    """How far a customer's runs are off the predictions for its queue (mean of logarithms).

    The runs of one job have one estimate and are alike, so repeated estimates count less.
    """

    weight: float = 0.0
    total: float = 0.0
    squares: float = 0.0
    noted_at: float = 0.0
    estimate_s: float = 0.0
    repeats: int = 0

    def note(self, residual: float, estimate_s: float, now: float) -> None:
        self.repeats = self.repeats + 1 if estimate_s == self.estimate_s else 1
        self.estimate_s = estimate_s
        decay = 2.0 ** ((self.noted_at - now) / HALF_LIFE_S)
        weight = 1 / self.repeats
        clipped = min(MAX_OFFSET, max(-MAX_OFFSET, residual))
        self.weight = self.weight * decay + weight
        self.total = self.total * decay + weight * clipped
        self.squares = self.squares * decay + weight * clipped * clipped
        self.noted_at = now

    def find(self, now: float) -> float:
        """Return the offset to add to a prediction's logarithm, 0.0 without clear evidence."""
        if self.weight < MIN_COMPLETIONS:
            return 0.0
        weight = self.weight * 2.0 ** ((self.noted_at - now) / HALF_LIFE_S)
        if weight < MIN_COMPLETIONS:
            return 0.0
        mean = self.total / self.weight
        variance = max(RESOLUTION**2, self.squares / self.weight - mean * mean)
        is_significant = abs(mean) > SIGNIFICANT_OFFSET_ERRORS * math.sqrt(variance / weight)
        return mean if is_significant else 0.0


@dataclass(slots=True)
class RunLengths:
    """The lengths of runs seen so far, by customer and queue.

    Each plan asks for each waiting step, so predictions are kept with the model they come from.
    """

    _queues: dict[str, _QueueLengths] = field(default_factory=dict)
    _predicted: dict[tuple[str, str, float], tuple[_Model, LengthPrediction]] = field(
        default_factory=dict
    )
    _customers: dict[tuple[str, str], _CustomerOffset] = field(default_factory=dict)

    def note_end(
        self, tenant: str, queue: str, estimate_s: float, length_s: float, now: float
    ) -> None:
        """Add a run that ended as done, on a typical executor near its data."""
        if estimate_s <= 0 or length_s <= 0:
            return
        known = self._find_queue(queue, now)
        if now <= known.valid_until:
            # Compared with what was predicted before this end was known.
            expected = known.find_model().predict(estimate_s, 0.0)
            residual = math.log(length_s / expected.typical_s)
            self._find_customer(tenant, queue).note(residual, estimate_s, now)
        known.note(estimate_s, length_s, now)

    def predict(self, tenant: str, queue: str, estimate_s: float, now: float) -> LengthPrediction:
        """Return the predicted length of a task with the caller's estimate."""
        known = self._queues.get(queue)
        if known is None or estimate_s <= 0 or now > known.valid_until:
            return LengthPrediction(estimate_s, estimate_s, Evidence.ESTIMATE)
        model = known.find_model()
        key = (tenant, queue, estimate_s)
        cached = self._predicted.get(key)
        if cached is not None and cached[0] is model:
            return cached[1]
        customer = self._customers.get((tenant, queue))
        found = model.predict(estimate_s, 0.0 if customer is None else customer.find(now))
        if len(self._predicted) >= MAX_CACHED:
            self._predicted.clear()
        self._predicted[key] = (model, found)
        return found

    def has_evidence(self, queue: str, now: float) -> bool:
        """Return whether predictions for a queue may differ from the estimates."""
        known = self._queues.get(queue)
        if known is None or now > known.valid_until:
            return False
        return not known.find_model().is_estimate_accurate

    def describe(self, now: float) -> list[dict[str, Any]]:
        """Return one row for each queue, for operators."""
        return [_describe(name, known, now) for name, known in sorted(self._queues.items())]

    def _find_queue(self, queue: str, now: float) -> _QueueLengths:
        known = self._queues.get(queue)
        if known is None:
            if len(self._queues) >= MAX_QUEUES:
                del self._queues[next(iter(self._queues))]
            lengths = _DecayingHistogram(MAX_LENGTH_MS, now)
            known = _QueueLengths(lengths, _DecayingHistogram(MAX_RATIO, now))
            self._queues[queue] = known
        return known

    def _find_customer(self, tenant: str, queue: str) -> _CustomerOffset:
        known = self._customers.get((tenant, queue))
        if known is None:
            if len(self._customers) >= MAX_CUSTOMERS:
                del self._customers[next(iter(self._customers))]
            known = self._customers[tenant, queue] = _CustomerOffset()
        return known


def _describe(name: str, known: _QueueLengths, now: float) -> dict[str, Any]:
    model = known.find_model()
    has_evidence = now <= known.valid_until and not model.is_estimate_accurate
    return {
        "queue": name,
        "ends": known.ends,
        "recent_ends": round(known.lengths.weigh(now), 1),
        "evidence": (Evidence.LEARNED if has_evidence else Evidence.ESTIMATE).value,
        "typical_s": round(math.exp(model.length.median), 3),
        "high_s": round(math.exp(model.length.high), 3),
        "ratio": round(math.exp(model.ratio.median), 3),
        "length_spread": round(math.sqrt(model.length.variance), 3),
        "estimate_spread": round(math.sqrt(model.ratio.variance), 3),
        "estimate_share": round(model.share, 3),
    }
