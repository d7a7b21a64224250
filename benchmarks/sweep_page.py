"""The table of docs/CAPACITY.md that follows from a sweep over sizes of the users' platform.

`python -m benchmarks.sweep_page` rewrites it from docs/capacity/sweep.json; a test compares the
two. The busiest host of a sweep is its owner.
"""

from __future__ import annotations

import json
import math
import sys
from dataclasses import dataclass
from pathlib import Path

from .capacity_page import PAGE, replace_table

SWEEP_FILE = Path("docs/capacity/sweep.json")
BEGIN = "<!-- sweep: begin -->"
END = "<!-- sweep: end -->"
WORKERS = 3_800
"""Workers of the size to design for; a sweep's executors stand for them."""


@dataclass(frozen=True, slots=True)
class SweepRow:
    """One measure at each size: of the host in the middle and of the busiest one."""

    what: str
    unit: str
    middle: list[float]
    busiest: list[float]

    def fit_power(self, sizes: list[float]) -> float:
        """Return the power of the size by which the busiest host's figure grows."""
        xs = [math.log(size) for size in sizes]
        ys = [math.log(value) for value in self.busiest]
        mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
        spread = sum((x - mean_x) ** 2 for x in xs)
        return sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / spread

    def extrapolate(self, sizes: list[float], size: float) -> float:
        """Return the busiest host's figure at a size, along the fitted power."""
        return self.busiest[-1] * (size / sizes[-1]) ** self.fit_power(sizes)


@dataclass(frozen=True, slots=True)
class Sweep:
    """What one sweep showed."""

    command: str
    hosts: list[float]
    executors: list[float]
    served: list[float]
    rows: list[SweepRow]


def load_sweep(path: Path = SWEEP_FILE) -> Sweep:
    """Read a sweep's figures."""
    value = json.loads(path.read_text())
    return Sweep(**{**value, "rows": [SweepRow(**row) for row in value["rows"]]})


def make_sweep_table(sweep: Sweep) -> str:
    """Return the table: each size, the power, and the size to design for."""
    sizes = " | ".join(f"{n:g} hosts, {e:g} executors" for n, e in _sizes(sweep))
    lines = [
        f"| middle / busiest host | {sizes} | power | busiest at {WORKERS} executors |",
        "|---" * (len(sweep.hosts) + 3) + "|",
    ]
    for row in sweep.rows:
        values = " | ".join(f"{m:g} / {b:g}" for m, b in zip(row.middle, row.busiest, strict=True))
        power = row.fit_power(sweep.executors)
        there = row.extrapolate(sweep.executors, WORKERS)
        lines.append(f"| {row.what}, {row.unit} | {values} | {power:.2f} | {there:.4g} |")
    return "\n".join(lines)


def _sizes(sweep: Sweep) -> list[tuple[float, float]]:
    return list(zip(sweep.hosts, sweep.executors, strict=True))


def replace_sweep_table(text: str, table: str) -> str:
    """Return the page with the sweep's table replaced."""
    return replace_table(text, table, BEGIN, END)


def main() -> None:
    """Rewrite the page."""
    PAGE.write_text(replace_sweep_table(PAGE.read_text(), make_sweep_table(load_sweep())))
    sys.stdout.write(f"{PAGE} written\n")


if __name__ == "__main__":
    main()
