"""Checks a recorded history for the eight promises, from the JSON lines alone."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from heronthread_cli.history import AttemptRun, History, Line, MemberRun, build_history
from heronthread_scheduling import (
    Guarantee,
    RunningGang,
    Shape,
    Topology,
    find_violations,
)
from heronthread_scheduling.topology import Pool

PARTIAL_BOUND_S = 1.0
LEAVING_BOUND_S = 4.0


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken promise, by its number in the brief, from 1."""

    promise: int
    text: str


@dataclass(frozen=True, slots=True)
class Setting:
    """What the checker must know besides the lines: the declared capacity."""

    topology: Topology
    guarantees: tuple[Guarantee, ...]
    checkpointable: frozenset[str]


PROMISES = {
    1: "a guarantee can be reclaimed",
    2: "gangs run whole",
    3: "answers are whole and one's own",
    4: "not run means not run",
    5: "not-repeatable jobs run at most once",
    6: "a leaving target gets no new work",
    7: "a planned stop interrupts no request",
    8: "an accepted file is in force and never reverts",
}


def find_breaches(lines: list[Line], setting: Setting) -> list[Breach]:
    """Return every broken promise."""
    history = build_history(lines)
    found = _check_guarantees(history, setting)
    found += _check_gangs(history)
    found += _check_answers(lines)
    found += _check_not_run(lines, history)
    found += _check_at_most_once(history)
    found += _check_leaving(lines)
    found += _check_stops(lines)
    found += _check_generations(lines)
    return found


def _check_guarantees(history: History, setting: Setting) -> list[Breach]:
    """Place every unused guarantee from scratch at each moment at which a gang starts."""
    moments = sorted({min(m.start for m in a.members.values()) for a in history.attempts.values()})
    lost = [False] * len(setting.topology)
    for at in moments:
        gangs = [_seen(a, at, history, setting) for a in history.attempts.values() if _runs(a, at)]
        for pool in Pool:
            own = _assign_blocks(gangs, setting, pool)
            found = find_violations(setting.topology, pool, lost, setting.guarantees, own)
            bad = [v for v in found if v.code in ("guarantee", "double-use")]
            if bad:
                return [Breach(1, f"at {at:.2f}: {bad[0].text}")]
    return []


def _runs(attempt: AttemptRun, at: float) -> bool:
    return any(_is_running(member, at) for member in attempt.members.values())


def _is_running(member: MemberRun, at: float) -> bool:
    return member.start <= at and (member.end is None or member.end > at)


def _seen(attempt: AttemptRun, at: float, history: History, setting: Setting) -> RunningGang:
    job = history.jobs[attempt.job_id]
    places: dict[int, int] = defaultdict(int)
    present = [m for m in attempt.members.values() if _is_running(m, at)]
    for member in present:
        places[setting.topology.number[member.worker]] += member.units
    shape = Shape(len(present), present[0].units, pool=Pool(present[0].pool))
    checkpointable = any(name in attempt.job_id for name in setting.checkpointable)
    return RunningGang(
        attempt.job_id, job.customer, shape, dict(places), job.repeatable or checkpointable
    )


def _assign_blocks(gangs: list[RunningGang], setting: Setting, pool: Pool) -> list[RunningGang]:
    """Count each customer's gangs that can't be taken back against its own guarantee."""
    left = {(g.customer, g.shape): g.count for g in setting.guarantees if g.shape.pool is pool}
    assigned = []
    for gang in sorted(gangs, key=lambda g: g.reclaimable):
        if gang.shape.pool is not pool:
            continue
        block = None
        for (customer, shape), count in left.items():
            fits = gang.shape.members * gang.shape.units <= shape.total
            if not gang.reclaimable and customer == gang.customer and count and fits:
                left[(customer, shape)] -= 1
                block = f"{customer}/{shape}#{count}"
                break
        assigned.append(
            RunningGang(
                gang.job_id,
                gang.customer,
                gang.shape,
                gang.places,
                gang.reclaimable,
                block,
                gang.places if block else None,
            )
        )
    return assigned


def _check_gangs(history: History) -> list[Breach]:
    found = []
    for attempt in history.attempts.values():
        if not attempt.is_partial:
            continue
        ran_s = max((m.end or m.start + 1e9) - m.start for m in attempt.members.values())
        if ran_s > PARTIAL_BOUND_S:
            count = f"{len(attempt.members)} of {attempt.gang_size}"
            text = f"{attempt.attempt}: {count} ran {ran_s:.1f} s"
            found.append(Breach(2, text))
    return found


def _check_answers(lines: Iterable[Line]) -> list[Breach]:
    return [
        Breach(3, f"{line['job_id']} got {line['answer']!r}, not {line['expected']!r}")
        for line in lines
        if line["message_type"] == "caller.answer"
        and line["state"] == "done"
        and line["answer"] != line["expected"]
    ]


def _check_not_run(lines: Iterable[Line], history: History) -> list[Breach]:
    told = {
        line["job_id"]
        for line in lines
        if line["message_type"] == "caller.answer" and line["state"] == "not-run"
    }
    runs = history.runs_of()
    broken = sorted(job_id for job_id in told if runs.get(job_id))
    return [Breach(4, f"{job_id} was told not run but ran") for job_id in broken]


def _check_at_most_once(history: History) -> list[Breach]:
    found = []
    for job_id, runs in history.runs_of().items():
        job = history.jobs.get(job_id)
        resumed = any(m.how == "task.checkpointed" for run in runs for m in run.members.values())
        if job is not None and not job.repeatable and len(runs) > 1 and not resumed:
            found.append(Breach(5, f"{job_id} ran as {', '.join(run.attempt for run in runs)}"))
    return found


def _check_leaving(lines: list[Line]) -> list[Breach]:
    left = {
        line["worker"]: line["at"] for line in lines if line["message_type"] == "target.leaving"
    }
    return [
        Breach(6, f"{line['attempt']} began on {line['worker']} after it was leaving")
        for line in lines
        if line["message_type"] == "task.run"
        and line["worker"] in left
        and line["at"] > left[line["worker"]] + LEAVING_BOUND_S
    ]


def _check_stops(lines: Iterable[Line]) -> list[Breach]:
    return [
        Breach(7, f"{line['host']} stopped while {line['job_id']} was in progress")
        for line in lines
        if line["message_type"] == "caller.cut"
    ]


def _check_generations(lines: list[Line]) -> list[Breach]:
    found = []
    newest: dict[str, int] = defaultdict(int)
    for line in lines:
        if line["message_type"] != "config.in_force":
            continue
        host, generation = line["host"], line["generation"]
        if generation < newest[host]:
            found.append(Breach(8, f"{host} went from {newest[host]} back to {generation}"))
        newest[host] = generation
    accepted = [line for line in lines if line["message_type"] == "operator.accepted"]
    for line in accepted:
        for host in line["live"]:
            if newest[host] < line["generation"]:
                found.append(Breach(8, f"{host} never had generation {line['generation']}"))
    by_number: dict[int, str] = {}
    for line in accepted:
        other = by_number.setdefault(line["generation"], line["apply_id"])
        if other != line["apply_id"]:
            found.append(Breach(8, f"generation {line['generation']} was accepted twice"))
    return found
