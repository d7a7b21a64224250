"""Counters and latency histograms of one host, and their Prometheus text format."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from heronthread_coordination import Histograms, Measure

PREFIX = "heronthread"
LABEL_ESCAPES = str.maketrans({"\\": "\\\\", '"': '\\"', "\n": "\\n"})
QUANTILES = (("0.5", "p50"), ("0.95", "p95"), ("0.99", "p99"))


@dataclass(slots=True)
class Statistics:
    """Counts by (name, label); histograms by tenant, queue and measure."""

    counts: Counter[tuple[str, str]] = field(default_factory=Counter)
    histograms: Histograms = field(default_factory=Histograms)

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add to a counter."""
        self.counts[name, label] += amount

    def record(self, tenant: str, queue: str, measure: Measure, seconds: float) -> None:
        """Record one duration."""
        self.histograms.record(tenant, queue, measure, seconds)

    def render(self, gauges: dict[str, float]) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = [f"{PREFIX}_{name} {value:g}" for name, value in sorted(gauges.items())]
        for (name, label), count in sorted(self.counts.items()):
            tag = f'{{kind="{_escape(label)}"}}' if label else ""
            lines.append(f"{PREFIX}_{name}_total{tag} {count}")
        for key in sorted(self.histograms.by_key, key=str):
            summary = self.histograms.summarise(key)
            tags = f'tenant="{_escape(key.customer)}",queue="{_escape(key.job_class)}"'
            name = f"{PREFIX}_{key.measure.value}_ms"
            for quantile, field_name in QUANTILES:
                value = getattr(summary, field_name)
                lines.append(f'{name}{{{tags},quantile="{quantile}"}} {value}')
            lines.append(f"{name}_count{{{tags}}} {summary.count}")
        return "\n".join(lines) + "\n"


def _escape(label: str) -> str:
    """Return a label's value as the text format writes it; names come from other writers."""
    return label.translate(LABEL_ESCAPES).encode("utf-8", "backslashreplace").decode()
