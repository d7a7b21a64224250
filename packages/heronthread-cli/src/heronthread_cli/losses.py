"""Why requests were refused, late or not finished: one row for each, from the logs of all hosts.

A request's time is split along the task of each step that ended last: the time until it was
taken in, waiting for a start, runs that came to nothing (by the reason of their stop or end),
and the runs that counted. The cause of a loss is what else took most of the time.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from .messages import Message

LATE = "late"
REFUSED = "never taken"
UNFINISHED = "not finished"
UNKNOWN = "not known"
"""Its end is in no line, and lines are missing."""
FAILED = "failed"
CANCELLED = "cancelled"
WORK = "work"
FIRST_START = "waiting for its first start"
SLOW = "running slower than its step can"
NEXT_START = "waiting to be started again"
DONE = "done"

StepId = tuple[int, int]


@dataclass(frozen=True, slots=True)
class Loss:
    """One request that was not served, or not on time; times in seconds of the day.

    `objective_s` and `took_s` are None where the logs don't tell them.
    """

    at: float
    request: str
    queue: str
    priority: int | None
    outcome: str
    took_s: float | None
    objective_s: float | None
    cause: str
    cause_s: float


@dataclass(slots=True)
class _Attempt:
    """One run of one task: from its start to its end, and how it ended."""

    began: float
    ended: float | None = None
    why: str = ""
    stop_reason: str = ""
    best_rate: float = 0.0


@dataclass(slots=True)
class _Story:
    """What all hosts said of one job."""

    asked_at: float | None = None
    taken_at: float | None = None
    queue: str = ""
    priority: int | None = None
    chain_s: float = 0.0
    stretch: float = 0.0
    target_s: float | None = None
    refusals: list[str] = field(default_factory=list)
    ended_at: float | None = None
    status: str = ""
    is_known: bool = False
    ready_at: dict[StepId, float] = field(default_factory=dict)
    runs: dict[StepId, dict[int, list[tuple[int, _Attempt]]]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(list))
    )


def list_losses(messages: Iterable[Message]) -> list[Loss]:
    """Return the requests that were lost or late, in the order in which they came."""
    stories: dict[str, _Story] = defaultdict(_Story)
    last, dropped_at = 0.0, float("-inf")
    for message in messages:
        last = max(last, message["timestamp"])
        if message["message_type"] == "log.dropped":
            dropped_at = message["timestamp"]
        job = message.get("job")
        if isinstance(job, str):
            _take_in(stories[job], message)
    losses = [_judge(job, story, last, dropped_at) for job, story in stories.items()]
    return sorted((loss for loss in losses if loss is not None), key=lambda loss: loss.at)


def count_causes(losses: Iterable[Loss]) -> dict[str, int]:
    """Return how many requests were lost by each outcome and cause."""
    return dict(Counter(f"{loss.outcome}: {loss.cause}" for loss in losses))


def _take_in(story: _Story, message: Message) -> None:
    kind, at = message["message_type"], message["timestamp"]
    if kind == "job.accept":
        _take_answer(story, message, at)
    elif kind == "job.known":
        story.is_known = True
        story.priority = message.get("priority", story.priority)
        story.chain_s = message.get("chain_s", story.chain_s)
        story.stretch = message.get("stretch", story.stretch)
        story.target_s = message.get("target_s", story.target_s)
        story.queue = message.get("queue", story.queue)
    elif kind == "job.ended" and story.ended_at is None:
        story.ended_at, story.status = at, str(message.get("status", ""))
    elif kind == "job.cancel" and message.get("outcome") == "Taken" and story.ended_at is None:
        story.ended_at, story.status = at, CANCELLED
    elif kind == "start.decided":
        _take_start(story, message, at)
    elif kind in ("attempt.closed", "attempt.ended", "stop.decided"):
        _take_end(story, message, at)


def _take_answer(story: _Story, message: Message, at: float) -> None:
    asked = at - float(message.get("took_s", 0.0))
    story.asked_at = asked if story.asked_at is None else min(story.asked_at, asked)
    story.queue = str(message.get("queue", story.queue))
    if message.get("outcome") == "Taken":
        story.taken_at = at if story.taken_at is None else story.taken_at
    else:
        answers = "store answers" if message.get("store_answers") else "store silent or refusing"
        story.refusals.append(f"{message.get('outcome')} ({answers})")


def _take_start(story: _Story, message: Message, at: float) -> None:
    step = (int(message.get("occurrence", 0)), int(message["step"]))
    story.ready_at.setdefault(step, at - float(message.get("waited_s", 0.0)))
    for index in message["tasks"]:
        story.runs[step][int(index)].append((int(message["run"]), _Attempt(at)))


def _take_end(story: _Story, message: Message, at: float) -> None:
    step = (int(message.get("occurrence", 0)), int(message["step"]))
    run = int(message["run"])
    for number, attempt in reversed(story.runs[step][int(message["index"])]):
        if number != run:
            continue
        if message["message_type"] == "stop.decided":
            attempt.stop_reason = str(message.get("reason", ""))
        elif attempt.ended is None:
            attempt.ended, attempt.why = at, str(message.get("why", ""))
            attempt.best_rate = float(message.get("best_rate", 0.0))
        return


def _judge(job: str, story: _Story, last: float, dropped_at: float) -> Loss | None:
    if story.asked_at is None or story.status == CANCELLED:
        return None
    if story.taken_at is None:
        refusal = story.refusals[-1] if story.refusals else "no answer is logged"
        return _make(job, story, REFUSED, None, (refusal, 0.0))
    if story.ended_at is None and (not story.is_known or dropped_at >= story.asked_at):
        return _make(job, story, UNKNOWN, None, ("lines are missing", 0.0))
    took = (last if story.ended_at is None else story.ended_at) - story.asked_at
    if story.status == "failed":
        return _make(job, story, FAILED, took, ("its tasks failed too often", 0.0))
    parts = _split(story, last)
    objective = _objective(story, parts.pop(WORK, 0.0))
    if story.ended_at is not None and (objective is None or took <= objective):
        return None
    cause = max(parts.items(), key=lambda part: part[1])
    outcome = LATE if story.ended_at is not None else UNFINISHED
    return _make(job, story, outcome, took, cause, objective)


def _objective(story: _Story, work_s: float) -> float | None:
    """Return the time a request should take, by its work as estimated or as seen, if longer."""
    if story.target_s is None:
        return None
    return story.stretch * max(story.chain_s, work_s) + story.target_s


def _make(
    job: str,
    story: _Story,
    outcome: str,
    took: float | None,
    cause: tuple[str, float],
    objective: float | None = None,
) -> Loss:
    assert story.asked_at is not None
    return Loss(
        round(story.asked_at, 3),
        job,
        story.queue,
        story.priority,
        outcome,
        None if took is None else round(took, 3),
        None if objective is None else round(objective, 3),
        cause[0],
        round(cause[1], 3),
    )


def _split(story: _Story, last: float) -> dict[str, float]:
    """Return where a request's time went, by cause, in seconds; `WORK` is the runs that counted."""
    assert story.asked_at is not None and story.taken_at is not None
    parts: dict[str, float] = defaultdict(float)
    parts["waiting to be taken in"] = story.taken_at - story.asked_at
    started = {step: tasks for step, tasks in story.runs.items() if any(tasks.values())}
    if not started:
        parts[FIRST_START] = last - story.taken_at
    for step, tasks in started.items():
        open_end = last if story.ended_at is None else float("-inf")
        slowest = max((r for r in tasks.values() if r), key=lambda r: _end_of(r, open_end))
        at = story.ready_at.get(step, story.taken_at)
        for number, (_, attempt) in enumerate(slowest):
            parts[NEXT_START if number else FIRST_START] += max(0.0, attempt.began - at)
            at = last if attempt.ended is None else attempt.ended
            parts[_describe(attempt)] += at - attempt.began
        slow = _slowed_s(tasks, slowest[-1][1])
        parts[SLOW] += slow
        parts[WORK] -= slow
        if slowest[-1][1].why != DONE and slowest[-1][1].ended is not None:
            parts[NEXT_START] += last - at
    return parts


def _slowed_s(tasks: dict[int, list[tuple[int, _Attempt]]], attempt: _Attempt) -> float:
    """Return how much longer a run took than at the best speed that its step's tasks showed."""
    best = max(a.best_rate for runs in tasks.values() for _, a in runs)
    if not best or attempt.why != DONE or attempt.ended is None:
        return 0.0
    return max(0.0, attempt.ended - attempt.began - 100 / best)


def _end_of(runs: list[tuple[int, _Attempt]], open_end: float) -> float:
    ended = runs[-1][1].ended
    return open_end if ended is None else ended


def _describe(attempt: _Attempt) -> str:
    if attempt.why == DONE or (attempt.ended is None and not attempt.stop_reason):
        return WORK
    return f"run lost: {attempt.stop_reason or attempt.why}"
