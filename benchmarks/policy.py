"""Replays every workload under every policy and prints what the users measure.

`make bench-policy ARGS="--workload nightly-close --seeds 5 --json"`; without arguments all
workloads and policies run over 20 seeds. Each policy sees the same arrivals and lengths.
"""

from __future__ import annotations

import json
import statistics
import sys
import time
from collections import defaultdict
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, field, replace

import fire
from heronthread_cli.table import format_table
from heronthread_scheduling import NAMED_POLICIES, Policy, Pool

from .replay import Outcome, Replay
from .workload import WORKLOADS, Workload, draw_arrivals, get_cell, load_workload

SEEDS = 20
DESIGN_SEEDS = 2
POLICIES = ("heronthread", "mean-only", "first-fit", "first-fit-skipping", "best-fit")
OWN = ("heronthread", "mean-only")
PROCESSES = 7
NEVER_S = 1e9


@dataclass(frozen=True, slots=True)
class Scores:
    """The figures of one replay; times in seconds."""

    makespan_ratio: float
    p50_s: float
    p95_s: float
    p99_s: float
    large_wait_s: float
    fragmentation_s: float
    urgent_p99_s: float
    reclaim_delay_s: float
    lost_unit_s: float
    violations: int
    not_run: int
    decisions_per_s: float
    groups: dict[str, tuple[int, float, float, float]] = field(default_factory=dict)


def choose_policy(name: str, workload: Workload) -> Policy:
    """Return a named policy; our own with the weights that the workload's file declares."""
    if name not in OWN:
        return NAMED_POLICIES[name]
    declared = workload.state.policy.to_policy()
    return replace(declared, name=name, estimate=NAMED_POLICIES[name].estimate)


def get_workload(name: str) -> Workload:
    """Return a workload by name, or from a file."""
    return WORKLOADS[name]() if name in WORKLOADS else load_workload(name)


def replay(task: tuple[str, str, int]) -> Scores:
    """Replay one workload under one policy with one seed."""
    name, policy, seed = task
    workload = get_workload(name)
    return score(Replay(workload, choose_policy(policy, workload), seed).run())


def score(outcome: Outcome) -> Scores:
    """Return the figures of an outcome."""
    ended = sorted(t.end - t.arrival for t in outcome.jobs.values() if t.end is not None)
    waits = {
        job_id: (NEVER_S if t.start is None else t.start) - t.arrival
        for job_id, t in outcome.jobs.items()
    }
    large = [waits[i] for i, t in outcome.jobs.items() if _is_large(outcome, t.job.shape)]
    urgent = sorted(waits[i] for i, t in outcome.jobs.items() if t.job.job_class.urgent)
    return Scores(
        makespan_ratio=outcome.makespan_s / outcome.bound_s,
        p50_s=pick(ended, 0.50),
        p95_s=pick(ended, 0.95),
        p99_s=pick(ended, 0.99),
        large_wait_s=max(large, default=0.0),
        fragmentation_s=outcome.fragmentation_s / outcome.accelerators,
        urgent_p99_s=pick(urgent, 0.99),
        reclaim_delay_s=max(outcome.reclaim_delays_s, default=0.0),
        lost_unit_s=outcome.lost_unit_s,
        violations=outcome.violations,
        not_run=outcome.not_run,
        decisions_per_s=outcome.decisions / max(1e-9, outcome.decide_s),
        groups=_group(outcome),
    )


def _is_large(outcome: Outcome, shape: object) -> bool:
    pool, members = shape.pool, shape.members  # type: ignore[attr-defined]
    total = shape.total  # type: ignore[attr-defined]
    return pool is Pool.ACCELERATORS and members > 1 and total >= outcome.large_units


def _group(outcome: Outcome) -> dict[str, tuple[int, float, float, float]]:
    times: dict[str, list[float]] = defaultdict(list)
    for entry in outcome.jobs.values():
        if entry.end is not None:
            key = f"{entry.job.customer}/{entry.job.job_class.name}"
            times[key].append(entry.end - entry.arrival)
    found = {}
    for key in sorted(times):
        ordered = sorted(times[key])
        found[key] = (len(ordered), *(pick(ordered, p) for p in (0.5, 0.95, 0.99)))
    return found  # type: ignore[return-value]


def pick(ordered: list[float], part: float) -> float:
    """Return a percentile of an ordered list; 0 for an empty one."""
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


Results = dict[tuple[str, str], list[Scores]]


def run_all(workloads: list[str], policies: list[str], seeds: int, first: int) -> Results:
    """Replay everything, spread over processes."""
    tasks = []
    for name in workloads:
        count = min(seeds, DESIGN_SEEDS) if name == "design-cell" else seeds
        tasks += [(name, policy, first + seed) for policy in policies for seed in range(count)]
    results: Results = defaultdict(list)
    with ProcessPoolExecutor(PROCESSES) as pool:
        for task, found in zip(tasks, pool.map(replay, tasks, chunksize=1), strict=True):
            results[task[:2]].append(found)
    return results


def _median(found: list[Scores], field_of: Callable[[Scores], float]) -> float:
    return statistics.median(field_of(scores) for scores in found)


def print_scores(results: Results) -> None:
    """Print medians over the seeds, and the worst seed of what has an aim."""
    rows = []
    for (name, policy), found in results.items():
        rows.append(
            [
                name,
                policy,
                round(_median(found, lambda s: s.makespan_ratio), 3),
                round(max(s.makespan_ratio for s in found), 3),
                round(_median(found, lambda s: s.p50_s)),
                round(_median(found, lambda s: s.p95_s)),
                round(_median(found, lambda s: s.p99_s)),
                round(_median(found, lambda s: s.large_wait_s)),
                round(_median(found, lambda s: s.fragmentation_s)),
                round(max(s.urgent_p99_s for s in found), 2),
                round(max(s.reclaim_delay_s for s in found), 2),
                round(_median(found, lambda s: s.lost_unit_s)),
                sum(s.violations for s in found),
                round(_median(found, lambda s: s.decisions_per_s)),
            ]
        )
    headers = ["workload", "policy", "makespan", "worst", "p50 s", "p95 s", "p99 s", "large wait"]
    headers += ["frag s", "urgent p99", "reclaim s", "lost unit-s", "violations", "decisions/s"]
    sys.stdout.write(format_table(headers, rows) + "\n")


RATIOS: list[tuple[str, str, Callable[[Scores], float], float]] = [
    ("p95 / first-fit", "first-fit", lambda s: s.p95_s, 0.6),
    ("p95 / first-fit-skipping", "first-fit-skipping", lambda s: s.p95_s, 0.6),
    ("fragmentation / first-fit", "first-fit", lambda s: s.fragmentation_s, 0.25),
    ("fragmentation / best-fit", "best-fit", lambda s: s.fragmentation_s, 0.5),
    ("large wait / best-fit", "best-fit", lambda s: s.large_wait_s, 0.5),
    ("p95 / mean-only", "mean-only", lambda s: s.p95_s, 1.0),
    ("fragmentation / mean-only", "mean-only", lambda s: s.fragmentation_s, 1.0),
]


def print_ratios(results: Results) -> None:
    """Print, seed by seed, ours over a baseline: median and worst, beside the aim."""
    rows = []
    for name in dict.fromkeys(name for name, _ in results):
        ours = results.get((name, "heronthread"), [])
        for label, baseline, field_of, aim in RATIOS:
            other = results.get((name, baseline), [])
            pairs = zip(ours, other, strict=False)
            ratios = [field_of(a) / field_of(b) for a, b in pairs if field_of(b) > 0]
            if ratios:
                median = statistics.median(ratios)
                met = "yes" if median <= aim else "no"
                rows.append([name, label, round(median, 3), round(max(ratios), 3), aim, met])
    sys.stdout.write(
        format_table(["workload", "ratio", "median", "worst", "aim", "met"], rows) + "\n"
    )


def print_groups(results: Results) -> None:
    """Print p50, p95 and p99 completion per customer and class of the first seed."""
    rows = [
        [name, group, count, round(p50), round(p95), round(p99)]
        for (name, policy), found in results.items()
        if policy == "heronthread"
        for group, (count, p50, p95, p99) in found[0].groups.items()
    ]
    headers = ["workload", "customer/class", "jobs", "p50 s", "p95 s", "p99 s"]
    sys.stdout.write(format_table(headers, rows) + "\n")


def print_burst() -> None:
    """Print how fast a burst of 8,300 jobs, and of twice as many, is decided on one cell."""
    workload = WORKLOADS["design-cell"]()
    spec = get_cell(workload)
    jobs = [arrival.job for arrival in draw_arrivals(workload, 1)]
    doubled = jobs + [replace(job, id=job.id + "+") for job in jobs]
    times = []
    for chosen in (jobs, doubled):
        best = NEVER_S
        for _ in range(3):
            scheduler = spec.make_scheduler()
            started = time.perf_counter()
            for job in chosen:
                scheduler.submit(job, 0.0)
            decisions = scheduler.decide(0.0)
            best = min(best, time.perf_counter() - started)
        rate = len(chosen) / best
        times.append(best)
        text = f"burst of {len(chosen)} jobs on the design cell: {best:.3f} s, {rate:.0f} jobs/s"
        sys.stdout.write(f"{text}, {len(decisions)} start at once\n")
    sys.stdout.write(f"time for twice the jobs: x {times[1] / times[0]:.2f} (aim 2.3)\n")


def main(
    workload: str = "", policy: str = "", seeds: int = SEEDS, seed: int = 0, json: bool = False
) -> None:
    """Replay WORKLOAD (a name or a file; default all) under POLICY from SEED on, SEEDS times."""
    names = [workload] if workload else list(WORKLOADS)
    policies = policy.split(",") if policy else list(POLICIES)
    results = run_all(names, policies, seeds, seed)
    if json:
        _print_json(results)
        return
    print_scores(results)
    print_ratios(results)
    print_groups(results)
    print_burst()


def _print_json(results: Results) -> None:
    listed = [
        {"workload": name, "policy": policy, "seeds": [asdict(scores) for scores in found]}
        for (name, policy), found in results.items()
    ]
    sys.stdout.write(json.dumps(listed) + "\n")


if __name__ == "__main__":
    fire.Fire(main)
