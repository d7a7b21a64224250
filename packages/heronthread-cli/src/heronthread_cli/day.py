"""What a day was like, from the logs of all hosts: takeovers, outages, waiting, use of racks."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median

from .losses import Loss, list_losses
from .messages import Message, merge_logs

TaskId = tuple[str, int, int, int]

PLANNED = "planned stop"
DEPOSED = "deposed"
KILLED = "killed or cut off"
FIRST = "first owner"


@dataclass(frozen=True, slots=True)
class Takeover:
    """One change of the owner; times in seconds, None if it never came to that.

    `lost_at` is the last sign of the owner before; `taken_s`, `ready_s` and `start_s` are
    counted from there.
    """

    term: int
    host: str
    loss: str
    lost_at: float
    taken_s: float
    ready_s: float | None
    start_s: float | None


@dataclass(frozen=True, slots=True)
class Outage:
    """A time in which the store did not answer a host; `seconds` is None if it did not end."""

    host: str
    at: float
    seconds: float | None


@dataclass(frozen=True, slots=True)
class Waiting:
    """How long the steps of one queue waited from their turn to their starts, in seconds."""

    queue: str
    starts: int
    p50_s: float
    p95_s: float
    worst_s: float


@dataclass(slots=True)
class RackUse:
    """Accelerators of one rack; the means are over the time between its first and last change.

    Over a takeover they are upper bounds: no line tells of a run that ended meanwhile.
    `split` are free ones at executors that others partly use: a whole-executor task can't.
    """

    rack: str
    accelerators: int
    mean_used: float = 0.0
    mean_split: float = 0.0


@dataclass(slots=True)
class Day:
    """All of it; times count from the first line."""

    takeovers: list[Takeover] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    answers: dict[str, int] = field(default_factory=dict)
    waiting: list[Waiting] = field(default_factory=list)
    stops: dict[str, int] = field(default_factory=dict)
    racks: list[RackUse] = field(default_factory=list)
    lines: dict[str, int] = field(default_factory=dict)
    losses: list[Loss] = field(default_factory=list)


def describe_day(logs: Iterable[Iterable[str]]) -> Day:
    """Return what the logs of all hosts say together."""
    messages = merge_logs(logs)
    day = Day()
    day.losses = list_losses(messages)
    day.takeovers = _find_takeovers(messages)
    day.outages = _find_outages(messages)
    day.waiting = _sum_up_waiting(messages)
    day.racks = _sum_up_racks(messages)
    day.lines = dict(Counter(message["message_type"] for message in messages))
    day.answers = dict(Counter(answer for answer in map(_read_answer, messages) if answer))
    day.stops = dict(
        Counter(
            str(message.get("reason", ""))
            for message in messages
            if message["message_type"] == "stop.decided"
        )
    )
    return day


def _read_answer(message: Message) -> str:
    """Return what a line says a caller was told, if it says so."""
    kind = message["message_type"]
    if kind in ("job.accept", "job.cancel"):
        return f"{kind}: {message.get('outcome', '')}"
    return f"{kind}: {message.get('status', '')}" if kind == "call.refused" else ""


def _find_takeovers(messages: list[Message]) -> list[Takeover]:
    found = []
    taken = [message for message in messages if message["message_type"] == "owner.taken"]
    for number, message in enumerate(taken):
        before = taken[number - 1] if number else None
        found.append(_describe_takeover(messages, message, before))
    return found


def _describe_takeover(messages: list[Message], taken: Message, before: Message | None) -> Takeover:
    at, term = taken["timestamp"], int(taken.get("term", 0))
    loss, lost_at = _find_loss(messages, before, at) if before else (FIRST, at)
    ready = start = None
    for message in messages:
        if message["timestamp"] < at or message.get("term") != term:
            continue
        if message["message_type"] == "owner.ready" and ready is None:
            ready = round(message["timestamp"] - lost_at, 3)
        if message["message_type"] == "start.decided" and start is None:
            start = round(message["timestamp"] - lost_at, 3)
    host = str(taken.get("host", ""))
    return Takeover(term, host, loss, lost_at, round(at - lost_at, 3), ready, start)


def _find_loss(messages: list[Message], before: Message, until: float) -> tuple[str, float]:
    """Return how and when the owner before was lost, by its own last words."""
    lost_at, loss = before["timestamp"], KILLED
    for message in messages:
        is_its_own = message.get("host") == before.get("host")
        if not is_its_own or not before["timestamp"] <= message["timestamp"] < until:
            continue
        kind = message["message_type"]
        if kind == "process.started":
            break
        lost_at = message["timestamp"]
        if kind == "process.stopping":
            return PLANNED, lost_at
        if kind == "owner.deposed":
            return DEPOSED, lost_at
    return loss, lost_at


def _find_outages(messages: list[Message]) -> list[Outage]:
    since: dict[str, float] = {}
    found = []
    for message in messages:
        host, at = str(message.get("host", "")), message["timestamp"]
        if message["message_type"] == "store.lost":
            since.setdefault(host, at)
        elif message["message_type"] == "store.regained" and host in since:
            begun = since.pop(host)
            found.append(Outage(host, begun, round(at - begun, 3)))
    found += [Outage(host, at, None) for host, at in since.items()]
    return sorted(found, key=lambda outage: outage.at)


def _sum_up_waiting(messages: list[Message]) -> list[Waiting]:
    queues: dict[str, str] = {}
    waits: dict[str, list[float]] = defaultdict(list)
    for message in messages:
        if message["message_type"] == "job.accept":
            queues[str(message.get("job"))] = str(message.get("queue"))
        elif message["message_type"] == "start.decided":
            queue = queues.get(str(message.get("job")), "")
            waits[queue].append(float(message.get("waited_s", 0.0)))
    rows = []
    for queue, values in sorted(waits.items()):
        values.sort()
        p95 = values[min(len(values) - 1, int(len(values) * 0.95))]
        rows.append(Waiting(queue, len(values), round(median(values), 3), p95, values[-1]))
    return rows


def _sum_up_racks(messages: list[Message]) -> list[RackUse]:
    """Play starts and ends again, and integrate what is used and what is split."""
    racks: dict[str, str] = {}
    sizes: dict[str, int] = {}
    for message in messages:
        if message["message_type"] == "executor.found":
            racks[message["executor"]] = str(message.get("rack", ""))
            sizes[message["executor"]] = int(message.get("accelerators", 0))
    used: Counter[str] = Counter()
    areas: dict[str, list[float]] = {rack: [0.0, 0.0] for rack in racks.values()}
    needs: dict[TaskId, tuple[str, int]] = {}
    begun, last = None, 0.0
    for message in messages:
        if message["message_type"] not in ("start.decided", "attempt.closed"):
            continue
        at = message["timestamp"]
        begun = at if begun is None else begun
        for executor, rack in racks.items():
            held = min(used[executor], sizes[executor])
            areas[rack][0] += held * (at - last if at > begun else 0.0)
            if 0 < held < sizes[executor]:
                areas[rack][1] += (sizes[executor] - held) * (at - last)
        last = at
        _play_change(message, used, needs)
    seconds = max(0.001, last - (begun or 0.0))
    rows = []
    for rack in sorted(areas):
        total = sum(size for executor, size in sizes.items() if racks[executor] == rack)
        mean_used, mean_split = (round(area / seconds, 2) for area in areas[rack])
        rows.append(RackUse(rack, total, mean_used, mean_split))
    return rows


def _play_change(
    message: Message, used: Counter[str], needs: dict[TaskId, tuple[str, int]]
) -> None:
    """Play a start or an end; a task is at one executor, so a later start ends an earlier run.

    That matters where a run ended while nobody owned the cell: no line tells of its end.
    """
    job, step = str(message.get("job")), int(message.get("step", 0))
    time = int(message.get("occurrence", 0))
    if message["message_type"] == "attempt.closed":
        executor, need = needs.pop((job, time, step, int(message.get("index", 0))), ("", 0))
        used[executor] -= need
        return
    need = int(message.get("accelerators", 0))
    for index, executor in zip(message["tasks"], message["executors"], strict=False):
        before, held = needs.pop((job, time, step, int(index)), ("", 0))
        used[before] -= held
        needs[job, time, step, int(index)] = (executor, need)
        used[executor] += need
