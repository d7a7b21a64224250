"""Whose turn it is while there is too little room, and who may have others' work taken back.

The load this answers: bursts of urgent gangs on a pool that other work fills, so that for some
time more is asked for than there is room. Whoever comes first decides what is late and lost then.
"""

from __future__ import annotations

from dataclasses import dataclass

from .model import URGENT, Queue
from .policy import Policy
from .progress import JobState, StepState, latest_starts


@dataclass(frozen=True, slots=True)
class Turn:
    """A step's place in the order (smaller first) and when it must start to be on time.

    `may_take_back`: others' work may be stopped for it.
    """

    order: tuple[float, ...]
    latest: float
    may_take_back: bool


def rank_step(
    job: JobState,
    step: StepState,
    queue: Queue,
    is_guaranteed: bool,
    now: float,
    wall_now: float,
    policy: Policy,
) -> Turn:
    """Return a step's turn; times are on trio's clock, `wall_now` in seconds since the epoch.

    Urgent work comes first, within a customer's guarantee before other. With `hopeless_last` it
    loses that past the last moment at which it is of any worth, as more work would be stopped for
    nothing; a guarantee holds whatever the time is. On four days with hosts and faults more work
    was thrown away with it (455,000 to 504,000 core-seconds), not less as on the modelled pool, so
    it is off.
    """
    latest, last_useful = latest_starts(job, step, queue, now, wall_now)
    first = 0 if is_guaranteed else 1
    is_hopeless = policy.hopeless_last and last_useful < now and not is_guaranteed
    if queue.priority == URGENT and not is_hopeless:
        return Turn((0, first, latest < now, queue.priority, latest), latest, True)
    if step.spec.fills:
        return Turn((2, queue.priority, latest), latest, False)
    lateness = (latest < now) + (last_useful < now)
    due = last_useful if lateness else latest
    return Turn((1, lateness, first, queue.priority, due), latest, False)
