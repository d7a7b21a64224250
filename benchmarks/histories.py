"""Runs seeded fault schedules over whole hosts and checks each recorded history.

`python -m benchmarks.histories --seeds 200` prints a table and fails if a promise was
broken; with `--plant all` it plants known defects and fails if one escapes.
"""

from __future__ import annotations

import json
import random
import sys
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import eliot
import fire
import trio
import trio.testing
from eliot import log_message
from heronthread_cli.history import Line, build_history
from heronthread_cli.table import format_table
from heronthread_scheduling import build_cells
from trio._core import _run as trio_run

from .checker import PROMISES, Breach, Setting, find_breaches
from .cluster import EPOCH, Cluster, mock_clock
from .plants import PLANTS
from .schedule import (
    EVENT_AT_S,
    FAULTS,
    HOSTS,
    Caller,
    Schedule,
    draw_schedule,
    log_accepted,
    make_state,
)

LONGEST_S = 400.0
SETTLE_S = 10.0
CALLERS = 8
FINAL = ("done", "failed", "not-run", "in-doubt")


@dataclass(slots=True)
class Verdict:
    """What one schedule showed."""

    schedule: Schedule
    breaches: list[Breach] = field(default_factory=list)
    lost: int = 0
    doubled: int = 0
    in_doubt: int = 0
    struck: set[str] = field(default_factory=set)
    takeover_s: float = 0.0
    lines: list[Line] = field(default_factory=list)


def run_schedule(schedule: Schedule) -> Verdict:
    """Run one schedule under a mock clock and check its history."""
    lines: list[Line] = []
    state = make_state(EPOCH + EVENT_AT_S)
    _fix_order(schedule.seed)
    with _recording(lines):
        clock = trio.testing.MockClock(autojump_threshold=0)
        clock.jump(0.0)
        trio.run(_run, schedule, lines, clock=clock)
    verdict = Verdict(schedule, lines=lines)
    (spec,) = build_cells(state).values()
    setting = Setting(spec.topology, spec.guarantees, frozenset({"/gang/"}))
    verdict.breaches = find_breaches(lines, setting)
    _count(verdict)
    return verdict


def _fix_order(seed: int) -> None:
    """Let trio run ready tasks in an order that depends on the seed alone."""
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    trio_run._r.seed(seed)


@contextmanager
def _recording(lines: list[Line]) -> Iterator[None]:
    destination = lines.append
    eliot.add_destinations(destination)
    lines.clear()  # eliot hands the first destination what was logged before it came
    try:
        yield
    finally:
        eliot.remove_destination(destination)


async def _run(schedule: Schedule, lines: list[Line]) -> None:
    state = make_state(EPOCH + trio.current_time() + EVENT_AT_S)
    source = random.Random(schedule.seed)
    async with trio.open_nursery() as nursery:
        cluster = Cluster(state, nursery, schedule.seed, HOSTS)
        for name in HOSTS:
            cluster.start(name)
        await trio.sleep(0.5)
        text = state.model_dump_json(by_alias=True).encode()
        outcome = await cluster.hosts["h1"].host.apply(text, "first", "ana")
        log_accepted(cluster, outcome.generation, "first")  # type: ignore[union-attr]
        async with trio.open_nursery() as work:
            for number in range(CALLERS):
                work.start_soon(_call_at, cluster, number, schedule.seed)
            for at, kind in schedule.faults:
                work.start_soon(_strike, cluster, at, kind, source)
            work.start_soon(_wait_jobs, lines)
        _note_end(cluster)
        nursery.cancel_scope.cancel()


async def _call_at(cluster: Cluster, number: int, seed: int) -> None:
    await trio.sleep(EVENT_AT_S - 2 + number * 1.5)
    await Caller(cluster, number, random.Random(f"{seed}/{number}")).run()


async def _strike(cluster: Cluster, at: float, kind: str, source: random.Random) -> None:
    await trio.sleep(at)
    running = len(cluster.hosts)
    log_message(message_type="fault.strike", kind=kind, hosts=running, at=mock_clock())
    await FAULTS[kind](cluster, source)
    log_message(message_type="fault.over", kind=kind, at=mock_clock())


async def _wait_jobs(lines: list[Line]) -> None:
    """Wait until every job of the event has ended and the faults are over."""
    with trio.move_on_after(LONGEST_S):
        await trio.sleep(EVENT_AT_S + 30)
        while True:
            await trio.sleep(5)
            last = {
                line["job_id"]: line["state"]
                for line in lines
                if line["message_type"] == "job.state"
            }
            if len(last) > CALLERS and all(state in FINAL for state in last.values()):
                break
    await trio.sleep(SETTLE_S)


def _note_end(cluster: Cluster) -> None:
    """Every host that lives at the end must have the newest accepted generation."""
    newest = max((r.host.configuration.generation for r in cluster.hosts.values()), default=0)
    log_message(
        message_type="operator.accepted",
        generation=newest,
        apply_id=_apply_id(cluster, newest),
        live=sorted(cluster.hosts),
        at=mock_clock(),
    )


def _apply_id(cluster: Cluster, generation: int) -> str:
    for running in cluster.hosts.values():
        winner = running.host.configuration.applies_by_generation.get(generation)
        if winner is not None:
            return winner[0]
    return ""


def _count(verdict: Verdict) -> None:
    history = build_history(verdict.lines)
    verdict.lost = history.count_lost()
    verdict.doubled = sum(breach.promise == 5 for breach in verdict.breaches)
    verdict.in_doubt = sum(job.last == "in-doubt" for job in history.jobs.values())
    running: set[str] = set()
    owned_until: float | None = None
    for line in verdict.lines:
        kind = line["message_type"]
        if kind == "task.run":
            running.add(line["attempt"])
        elif kind == "task.done":
            running.discard(line["attempt"])
        elif kind == "fault.strike" and running:
            verdict.struck.add(line["kind"])
        elif kind == "fault.host_killed":
            owned_until = line["at"]
        elif kind == "cell.ready" and owned_until is not None:
            verdict.takeover_s = max(verdict.takeover_s, line["at"] - owned_until)
            owned_until = None


def run_seeds(seeds: int, first: int = 0) -> list[Verdict]:
    """Run many schedules, forgetting the lines of the good ones."""
    verdicts = []
    for seed in range(first, first + seeds):
        verdict = run_schedule(draw_schedule(seed))
        if not verdict.breaches and not verdict.lost:
            verdict.lines = []
        verdicts.append(verdict)
    return verdicts


def print_table(verdicts: list[Verdict]) -> None:
    """Print one row for each kind of fault."""
    by_kind: dict[str, list[Verdict]] = defaultdict(list)
    for verdict in verdicts:
        for kind in verdict.schedule.kinds:
            by_kind[kind].append(verdict)
    rows = [
        [
            kind,
            len(found),
            sum(kind in v.struck for v in found),
            sum(len(v.breaches) for v in found),
            sum(v.lost for v in found),
            sum(v.doubled for v in found),
            sum(v.in_doubt for v in found),
            max((v.takeover_s for v in found), default=0.0),
        ]
        for kind, found in sorted(by_kind.items())
    ]
    headers = [
        "fault",
        "schedules",
        "struck",
        "broken",
        "lost",
        "doubled",
        "in doubt",
        "takeover s",
    ]
    sys.stdout.write(format_table(headers, rows) + "\n")


def run_plants(names: list[str], seeds: int) -> bool:
    """Plant each defect until a schedule catches it; tell whether none escaped."""
    rows = []
    for name in names:
        plant = PLANTS[name]
        caught: Verdict | None = None
        tried = 0
        with plant.planted():
            for seed in plant.seeds or range(seeds):
                tried += 1
                verdict = run_schedule(plant.schedule(seed))
                if any(breach.promise == plant.promise for breach in verdict.breaches):
                    caught = verdict
                    break
        text = caught.breaches[0].text[:70] if caught else "ESCAPED"
        rows.append([name, PROMISES[plant.promise], tried, "yes" if caught else "NO", text])
    sys.stdout.write(format_table(["plant", "promise", "tried", "caught", "how"], rows) + "\n")
    return all(row[3] == "yes" for row in rows)


def main(seeds: int = 200, plant: str = "", first: int = 0, keep: str = "") -> None:
    """Run SEEDS schedules from FIRST, or plant defects; KEEP is a folder for bad histories."""
    if plant:
        names = sorted(PLANTS) if plant == "all" else plant.split(",")
        raise SystemExit(0 if run_plants(names, min(seeds, 20)) else 1)
    verdicts = run_seeds(seeds, first)
    print_table(verdicts)
    bad = [verdict for verdict in verdicts if verdict.breaches or verdict.lost]
    for verdict in bad[:20]:
        for breach in verdict.breaches[:3]:
            text = f"seed {verdict.schedule.seed}: promise {breach.promise}: {breach.text}"
            sys.stdout.write(text + "\n")
        if verdict.lost:
            sys.stdout.write(f"seed {verdict.schedule.seed}: {verdict.lost} lost\n")
        if keep:
            path = Path(keep) / f"history-{verdict.schedule.seed}.jsonl"
            path.write_text("\n".join(json.dumps(line, default=str) for line in verdict.lines))
    good = len(verdicts) - len(bad)
    sys.stdout.write(f"{good} passed, {len(bad)} failed\n")
    raise SystemExit(1 if bad else 0)


if __name__ == "__main__":
    fire.Fire(main)
