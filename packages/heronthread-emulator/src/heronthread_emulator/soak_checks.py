"""The promises that only a soak of real processes can judge, besides those of the checker."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from heronthread_dispatch.model import TaskKey

from .checker import Violation, check_promises
from .executors import Event
from .soak_history import IN_TOUCH_S, NOT_ENDED, SoakHistory
from .soak_site import APPLY_S, DRAIN_S, GRACE_S, RECOVERY_S, STOP_S
from .soak_standing import check_standing
from .soak_starving import check_starving

CANCEL_S = 3.0
ROLLBACK_S = 0.25
VISIBLE_S = 3.0
LOSS_S = 0.2
SLACK_S = 0.5
LATENESS_FACTOR = 2.0
"""A bound is wider by so many times the worst lateness of the soak's own processes."""
CLOCK_S = 0.01
ANSWERED = (200, 410)


@dataclass(frozen=True, slots=True)
class _Run:
    """One run as its executor saw it."""

    task: TaskKey
    executor: str
    started: float
    ended: float
    is_late: bool


def check_soak(history: SoakHistory) -> list[Violation]:
    """Return every promise that is broken."""
    slack_s = SLACK_S + LATENESS_FACTOR * history.late_s
    found = check_promises(history, history.told)
    found += _check_cancelled(history, slack_s)
    found += _check_draining(history, slack_s)
    found += _check_gangs(history, slack_s)
    found += _check_room(history, slack_s)
    found += _check_entries(history, slack_s)
    found += _check_versions(history, slack_s)
    found += _check_reverting(history)
    found += _check_foreign(history)
    found += _check_known(history, slack_s)
    found += _check_stops(history, slack_s)
    found += _check_recovery(history, slack_s)
    found += check_standing(history, slack_s)
    found += check_starving(history, slack_s)
    return found


def _check_room(history: SoakHistory, slack_s: float) -> list[Violation]:
    """Nothing starts over a room once its executor has said for long enough that it is smaller."""
    found = []
    for executor, at in history.overfull:
        said = [when for name, when in history.resized if name == executor and when <= at]
        known_since = max(said, default=NOT_ENDED) + IN_TOUCH_S + slack_s
        if at > known_since and history.is_calm(known_since, at):
            found.append(Violation("no start goes over a room", f"{executor} at {at:.2f}"))
    return found


def _check_entries(history: SoakHistory, slack_s: float) -> list[Violation]:
    """Nothing starts at an executor while its entry has long been another writer's."""
    found = []
    for run in _list_runs(history):
        lines = [
            line for line in history.overwritten.get(run.executor, ()) if line[0] < run.started
        ]
        since = None
        for at, is_foreign in lines:
            since = (since or at) if is_foreign else None
        if run.is_late or since is None or run.started <= since + IN_TOUCH_S + slack_s:
            continue
        if history.is_calm(since, run.started):
            found.append(Violation("nothing starts where no entry says so", str(run)))
    return found


def _list_runs(history: SoakHistory) -> Iterator[_Run]:
    open_runs: dict[tuple[str, TaskKey, int], Event] = {}
    for event in history.events:
        place = (event.executor, event.task, event.run)
        if event.what == "start":
            open_runs[place] = event
        elif place in open_runs:
            start = open_runs.pop(place)
            is_late = place in history.late
            yield _Run(event.task, event.executor, start.at, event.at, is_late)
    for place, start in open_runs.items():
        yield _Run(start.task, start.executor, start.at, NOT_ENDED, place in history.late)


def _check_cancelled(history: SoakHistory, slack_s: float) -> list[Violation]:
    cancelled_at = {job: history.find_cancelled_at(job) for job in history.told}
    found = []
    for run in _list_runs(history):
        at = cancelled_at.get(run.task.job)
        if at is None:
            continue
        if not run.is_late and run.started > at + CANCEL_S + slack_s:
            if history.is_calm(run.started, run.started):
                found.append(Violation("cancelled work is not started", str(run)))
        elif _runs_on(history, run, max(at, run.started), CANCEL_S + STOP_S + slack_s):
            found.append(Violation("cancelled work ends", str(run)))
    return found


def _runs_on(history: SoakHistory, run: _Run, since: float, bound_s: float) -> bool:
    """Whether a run outlasts a calm stretch of `bound_s` that begins at `since` or later."""
    ends = [d.ended + IN_TOUCH_S for d in history.disruptions if d.ended != NOT_ENDED]
    ended = min(run.ended, history.ended_at)
    for start in [since, *(end + CLOCK_S for end in ends if end > since)]:
        if ended > start + bound_s and history.is_calm(start, start + bound_s):
            return True
    return False


def _check_draining(history: SoakHistory, slack_s: float) -> list[Violation]:
    found = []
    for run in _list_runs(history):
        draining_at = history.draining.get(run.executor)
        if draining_at is None or run.is_late or run.started <= draining_at + DRAIN_S + slack_s:
            continue
        if history.is_calm(run.started, run.started):
            found.append(Violation("leaving executors get no work", str(run)))
    return found


def _check_gangs(history: SoakHistory, slack_s: float) -> list[Violation]:
    """A member that waits alone was started in part, unless something was amiss."""
    found = []
    for event in history.events:
        told = history.told.get(event.task.job)
        is_excused = told is not None and told.cancelled
        if event.what != "alone" or is_excused or history.late_s > SLACK_S:
            continue
        if history.is_calm(event.at - 2 * IN_TOUCH_S - slack_s, event.at):
            found.append(Violation("gangs run whole", str(event)))
    return found


def _check_versions(history: SoakHistory, slack_s: float) -> list[Violation]:
    found = []
    for probe in history.probes:
        newest = _find_newest(history, probe["sent"] - APPLY_S - slack_s)
        is_old = probe["status"] == 200 and probe["version"] < newest
        is_old |= (
            probe["status"] == 404
            and probe["version"] == newest
            and _find_newest(history, probe["timestamp"]) == newest
        )
        if is_old and history.is_calm(probe["sent"] - APPLY_S - slack_s, probe["sent"]):
            found.append(Violation("the newest configuration is in use", str(probe)))
    return found


def _find_newest(history: SoakHistory, at: float) -> int:
    return max((v for v, taken in history.versions.items() if taken <= at), default=0)


def _check_reverting(history: SoakHistory) -> list[Violation]:
    found = []
    newest: dict[tuple[str, int], tuple[int, float]] = {}
    for probe in history.probes:
        if probe["status"] != 200:
            continue
        instance = sum(at <= probe["sent"] for at in history.host_starts.get(probe["to"], ()))
        version, seen_at = newest.get((probe["to"], instance), (0, 0.0))
        if probe["version"] < version and probe["sent"] > seen_at + ROLLBACK_S:
            found.append(Violation("a configuration does not revert", str(probe)))
        if probe["version"] > version:
            newest[(probe["to"], instance)] = (probe["version"], probe["timestamp"])
    return found


def _check_foreign(history: SoakHistory) -> list[Violation]:
    found = [
        Violation("answers belong to their callers", str(line))
        for line in history.foreign
        if line["status"] == 200
    ]
    for call in history.calls:
        if call["call"] == "GET" and call["status"] == 200 and call["state"] is None:
            found.append(Violation("answers belong to their callers", str(call)))
    return found


def _check_known(history: SoakHistory, slack_s: float) -> list[Violation]:
    """Work that was taken is known from a moment after."""
    taken_at: dict[str, float] = {}
    found = []
    for call in sorted(history.calls, key=lambda line: line["timestamp"]):
        job = call["job"]
        if call["call"] == "POST" and call["status"] == 200:
            taken_at.setdefault(job, call["timestamp"])
        is_gone = call["call"] == "GET" and call["status"] == 410 and job in taken_at
        if not is_gone or call["sent"] <= taken_at[job] + VISIBLE_S + slack_s:
            continue
        if history.is_calm(call["sent"], call["timestamp"]):
            found.append(Violation("taken work stays known", str(call)))
    return found


def _check_stops(history: SoakHistory, slack_s: float) -> list[Violation]:
    found = []
    for call in history.calls:
        is_broken = call["status"] is None and not call["unsent"]
        is_broken &= "no answer in" not in call["reason"]
        if not is_broken or call["took_s"] <= LOSS_S + slack_s - SLACK_S:
            continue
        ended = call["sent"] + call["took_s"]
        if _is_stopping(history, call, ended) and history.is_calm(call["sent"], ended):
            found.append(Violation("planned stops interrupt nothing", str(call)))
    return found


def _is_stopping(history: SoakHistory, call: dict[str, Any], ended: float) -> bool:
    return any(
        host == call["to"] and at <= ended <= at + GRACE_S + 1.0 for host, at in history.stops
    )


def _check_recovery(history: SoakHistory, slack_s: float) -> list[Violation]:
    lines: Iterable[dict[str, Any]] = [*history.calls, *history.foreign]
    served = [
        line["timestamp"]
        for line in lines
        if line["status"] in ANSWERED and line["timestamp"] > history.mended_at
    ]
    limit_s = RECOVERY_S + slack_s
    if served:
        is_broken = min(served) > history.mended_at + limit_s
    else:
        is_broken = history.ended_at > history.mended_at + limit_s
    if not is_broken:
        return []
    return [Violation("recovery is bounded", f"first answer at {min(served, default=None)}")]
