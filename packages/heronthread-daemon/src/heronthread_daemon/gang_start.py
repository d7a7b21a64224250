"""Two-phase start and stop of a gang on its workers.

In the first phase, every worker reserves capacity for its members and arms them: an armed
member waits at a barrier and runs nothing. Once all workers have confirmed, each receives GO
with a short delay, so that the gang can still be stopped if a worker does not confirm GO.
Any failure stops the attempt on all workers. A worker that has received STOP for an attempt
refuses every later START of it, so a delayed START is harmless.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import trio

from .attempt import Attempt
from .job_record import OwnedJob
from .worker import Command, Result, Unreachable, Verb, WorkerReply
from .worker_link import LinkState, WorkerLink

RESERVATION_LEASE_S = 5.0
START_WINDOW_S = 3.0
GO_DELAY_S = 1.0
GO_TIMEOUT_S = 0.5
STOP_RETRY_S = 0.5


@dataclass(frozen=True, slots=True)
class Running:
    """All workers confirmed GO."""


@dataclass(frozen=True, slots=True)
class NotStarted:
    """No worker was sent GO."""

    worker: str
    reason: str


@dataclass(frozen=True, slots=True)
class PartlyStarted:
    """GO was sent, but not confirmed by all workers, so only some members may run."""

    worker: str
    reason: str


async def start_gang(
    attempt: Attempt, job: OwnedJob, links: dict[str, WorkerLink], may_go: Callable[[], bool]
) -> Running | NotStarted | PartlyStarted:
    """Arm all members, then send GO to all workers unless `may_go` returns false."""
    problem = await _send_to_all(attempt, links, lambda name: _arm_commands(attempt, job, name))
    if problem is not None:
        return NotStarted(*problem)
    if attempt.stop_reason is not None or not may_go():
        return NotStarted("", "the attempt was cancelled before GO")
    attempt.go_sent = True
    is_single_worker = len(attempt.members_on) == 1
    go = Command(
        Verb.GO,
        attempt.id,
        lease_s=RESERVATION_LEASE_S,
        delay_s=0.0 if is_single_worker else GO_DELAY_S,
    )
    problem = ("", f"not all workers confirmed GO within {GO_TIMEOUT_S:g} s")
    with trio.move_on_after(float("inf") if is_single_worker else GO_TIMEOUT_S):
        problem = await _send_to_all(attempt, links, lambda name: [go])
    return Running() if problem is None else PartlyStarted(*problem)


async def stop_gang(
    attempt: Attempt, links: dict[str, WorkerLink], *, checkpoint_s: float | None = None
) -> None:
    """Stop all members, after a checkpoint if its time limit `checkpoint_s` is given.

    Returns once each worker has confirmed the stop, has restarted or is lost.
    """
    attempt.is_stopping = True
    if checkpoint_s is not None:
        checkpoint = Command(Verb.CHECKPOINT, attempt.id, deadline_s=checkpoint_s)
        await _send_to_all(attempt, links, lambda name: [checkpoint])
        with trio.move_on_after(checkpoint_s):
            while not attempt.is_stopped:
                await trio.sleep(min(STOP_RETRY_S, checkpoint_s) / 5)
    async with trio.open_nursery() as nursery:
        for name in attempt.members_on:
            nursery.start_soon(_stop_on, attempt, links[name])


async def _stop_on(attempt: Attempt, link: WorkerLink) -> None:
    incarnation = link.incarnation
    while link.state is not LinkState.LOST and link.incarnation == incarnation:
        reply = await link.command(Command(Verb.STOP, attempt.id))
        if isinstance(reply, WorkerReply):
            return
        await trio.sleep(STOP_RETRY_S)


def _arm_commands(attempt: Attempt, job: OwnedJob, worker: str) -> list[Command]:
    shape = job.job.shape
    reserve = Command(
        Verb.RESERVE,
        attempt.id,
        attempt.members_on[worker],
        units=shape.units,
        pool=shape.pool.value,
        lease_s=RESERVATION_LEASE_S,
        job_id=job.job.id,
        gang_size=shape.members,
    )
    start = replace(
        reserve,
        verb=Verb.START,
        payload=job.model.payload,
        expected_s=job.job.expected_s,
        checkpoint=job.checkpoint,
    )
    return [reserve, start]


async def _send_to_all(
    attempt: Attempt,
    links: dict[str, WorkerLink],
    make_commands: Callable[[str], list[Command]],
) -> tuple[str, str] | None:
    """Send commands to all workers of an attempt; return a failed worker and its reason."""
    problems: list[tuple[str, str]] = []

    async def send(name: str) -> None:
        reply = await links[name].command(*make_commands(name))
        if isinstance(reply, Unreachable):
            problems.append((name, reply.reason))
            return
        bad = [result for result in reply.results if result is not Result.OK]
        if bad:
            problems.append((name, bad[0].value))

    async with trio.open_nursery() as nursery:
        for name in attempt.members_on:
            nursery.start_soon(send, name)
    return min(problems, default=None)
