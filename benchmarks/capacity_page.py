"""Derives the figures of docs/CAPACITY.md from the measured slopes.

`python -m benchmarks.capacity_page` rewrites the derived table of the page; a test compares
the page with what this module computes.
"""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from pathlib import Path

SLOPES_FILE = Path("docs/capacity/slopes.json")
PAGE = Path("docs/CAPACITY.md")
BEGIN = "<!-- derived figures: begin -->"
END = "<!-- derived figures: end -->"

WORKERS, JOBS_A_DAY, TASKS = 3_800, 8_300, 56_000
CELLS, CHANGES_A_DAY = 23, 14_000
HOSTS = 64
DAY_S = 86_400.0
POLL_S = 60.0
RENEWAL_S = 5.0 / 3
HEARTBEATS_PER_S = 1.0
FAN_OUT = 3
VIEWS_TOLD = 2
READERS = 2 * 8
CONTENDERS = 3
CONTEND_S = 5.0 / 6


@dataclass(frozen=True, slots=True)
class Figure:
    """One derived figure: what, how it is computed, its value, and its budget if any."""

    role: str
    what: str
    formula: str
    value: float
    unit: str
    budget: float | None = None

    @property
    def row(self) -> str:
        """The figure as a row of the page's table."""
        budget = "" if self.budget is None else f"{self.budget:g}"
        value = f"{self.value:.4g}"
        return f"| {self.role} | {self.what} | {self.formula} | {value} | {self.unit} | {budget} |"

    @property
    def fits(self) -> bool:
        """Whether the figure is within its budget."""
        return self.budget is None or self.value <= self.budget


@dataclass(frozen=True, slots=True)
class Slopes:
    """The measured slopes and intercepts by name."""

    slope: dict[str, float]
    intercept: dict[str, float]


def load_slopes(path: Path = SLOPES_FILE) -> Slopes:
    """Read the slopes that the benchmark wrote."""
    listed = json.loads(path.read_text())["slopes"]
    return Slopes(
        {item["name"]: item["slope"] for item in listed},
        {item["name"]: item["intercept"] for item in listed},
    )


def derive(slopes: Slopes) -> list[Figure]:
    """Compute every figure of the page."""
    return [*_owner(slopes), *_entry_host(slopes), *_store(slopes), *_burst(slopes)]


def _owner(s: Slopes) -> list[Figure]:
    workers, tasks, jobs = WORKERS / CELLS, TASKS / CELLS, JOBS_A_DAY / CELLS
    polls = workers / POLL_S
    cpu = 100 * (polls * s.slope["owner_cpu_per_poll_s"] + s.intercept["owner_cpu_per_poll_s"])
    decide = 100 * jobs * s.slope["decide_s_per_job"] / DAY_S
    volume = polls * s.slope["owner_bytes_per_poll"] / 1000
    resident = s.intercept["owner_worker_bytes"] + workers * s.slope["owner_worker_bytes"]
    resident += tasks * s.slope["owner_task_bytes"]
    ledger = jobs * s.slope["ledger_bytes_per_job"] / DAY_S / 1000
    role = "cell owner"
    return [
        Figure(role, "workers of a cell", "3800 / 23", workers, "workers"),
        Figure(role, "tasks of a cell", "56000 / 23", tasks, "tasks"),
        Figure(role, "polls of workers", "workers / 60 s", polls, "1/s"),
        Figure(
            role,
            "processor: polls and host",
            "polls × owner_cpu_per_poll_s + intercept",
            cpu,
            "% of a core",
            1.8,
        ),
        Figure(role, "processor: decisions", "jobs/day × decide_s_per_job", decide, "% of a core"),
        Figure(role, "traffic to workers", "polls × owner_bytes_per_poll", volume, "KB/s", 4),
        Figure(
            role,
            "memory",
            "intercept + workers × owner_worker_bytes + tasks × owner_task_bytes",
            resident / 1e6,
            "MB",
            128,
        ),
        Figure(role, "ledger", "jobs/day × ledger_bytes_per_job", ledger, "KB/s"),
    ]


def _entry_host(s: Slopes) -> list[Figure]:
    beats = s.intercept["host_bytes_per_s"] + HOSTS * s.slope["host_bytes_per_s"]
    cells = 2 * FAN_OUT * HEARTBEATS_PER_S * VIEWS_TOLD * s.slope["heartbeat_bytes"]
    changes = CHANGES_A_DAY / DAY_S
    change_bytes = changes * s.slope["change_bytes"]
    cpu = s.intercept["host_cpu_per_s"] + HOSTS * s.slope["host_cpu_per_s"]
    cpu += changes * s.slope["change_cpu_s"]
    requests = JOBS_A_DAY / DAY_S * s.slope["request_cpu_s"]
    spread = s.intercept["change_spread_s"] + HOSTS * s.slope["change_spread_s"]
    role = "entry host"
    return [
        Figure(role, "heartbeats", "host_bytes_per_s at 64 hosts", beats / 1000, "KB/s"),
        Figure(role, "views of cells in them", "6/s × 2 × heartbeat_bytes", cells / 1000, "KB/s"),
        Figure(
            role,
            "configuration",
            "14000/day × change_bytes",
            change_bytes / 1000,
            "KB/s",
        ),
        Figure(
            role,
            "traffic, sum of the three",
            "heartbeats + cells + configuration",
            (beats + cells + change_bytes) / 1000,
            "KB/s",
            4,
        ),
        Figure(
            role,
            "processor: idle and changes",
            "host_cpu_per_s at 64 hosts + 14000/day × change_cpu_s",
            100 * cpu,
            "% of a core",
            1.8,
        ),
        Figure(
            role,
            "processor: all requests of a day at one host",
            "8300/day × request_cpu_s",
            100 * requests,
            "% of a core",
        ),
        Figure(
            role, "a change in force at 64 hosts", "change_spread_s at 64 hosts", spread, "s", 9
        ),
    ]


def _store(s: Slopes) -> list[Figure]:
    renewals = CELLS / RENEWAL_S
    ledger = JOBS_A_DAY * s.slope["ledger_writes_per_job"] / DAY_S
    changes = CHANGES_A_DAY / DAY_S
    contend = CELLS * CONTENDERS / CONTEND_S
    role = "store"
    return [
        Figure(role, "renewals of 23 leases", "23 / (5 s / 3)", renewals, "writes/s"),
        Figure(role, "ledger", "8300/day × ledger_writes_per_job", ledger, "writes/s"),
        Figure(role, "configuration", "14000/day", changes, "writes/s"),
        Figure(
            role,
            "writes, sum",
            "renewals + ledger + configuration",
            renewals + ledger + changes,
            "writes/s",
            100,
        ),
        Figure(role, "reads of contenders", "23 cells × 3 / (5 s / 6)", contend, "reads/s"),
        Figure(
            role,
            "watches of configuration readers",
            "16 × (1/20 s + 14000/day)",
            READERS * (1 / 20 + changes),
            "reads/s",
        ),
        Figure(
            role,
            "reads, sum",
            "contenders + watches",
            contend + READERS * (1 / 20 + changes),
            "reads/s",
            2000,
        ),
    ]


def _burst(s: Slopes) -> list[Figure]:
    jobs = JOBS_A_DAY / CELLS
    role = "month-end burst, all 8300 jobs at one start"
    waiting = jobs * s.slope["waiting_job_bytes"] / 1e6
    worst = JOBS_A_DAY * s.slope["decide_s_per_job"]
    return [
        Figure(
            role,
            "decided by an owner, spread evenly",
            "361 × decide_s_per_job",
            jobs * s.slope["decide_s_per_job"],
            "s",
        ),
        Figure(
            role,
            "decided by one owner, all in one cell",
            "8300 × decide_s_per_job",
            worst,
            "s",
            3.6,
        ),
        Figure(
            role, "memory of the waiting jobs of a cell", "361 × waiting_job_bytes", waiting, "MB"
        ),
        Figure(
            role,
            "ledger of all cells",
            "8300 × ledger_bytes_per_job",
            JOBS_A_DAY * s.slope["ledger_bytes_per_job"] / 1e6,
            "MB",
        ),
        Figure(
            role, "ledger writes of all cells at most", "23 × 1/s", float(CELLS), "writes/s", 100
        ),
    ]


def make_table(figures: list[Figure]) -> str:
    """Return the derived part of the page."""
    head = "| role | figure | from | value | unit | budget |\n|---|---|---|---|---|---|"
    return "\n".join([head, *(figure.row for figure in figures)])


def replace_table(text: str, table: str, begin: str = BEGIN, end: str = END) -> str:
    """Return the page's text with the part between two marks replaced."""
    before, _, rest = text.partition(begin)
    _, _, after = rest.partition(end)
    return f"{before}{begin}\n{table}\n{end}{after}"


def main() -> None:
    """Rewrite the page's derived table."""
    figures = derive(load_slopes())
    PAGE.write_text(replace_table(PAGE.read_text(), make_table(figures)))
    over = [figure for figure in figures if not figure.fits]
    for figure in over:
        sys.stdout.write(f"over budget: {figure.row}\n")
    sys.stdout.write(f"{len(figures)} figures, {len(over)} over budget\n")


if __name__ == "__main__":
    main()
