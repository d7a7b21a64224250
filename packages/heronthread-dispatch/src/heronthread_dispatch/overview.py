"""Overviews for operators: queues, executors, guarantees, and the tasks of one job."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import islice
from typing import Any

import trio

from .domains import describe_domains, find_shortfall
from .guarantee import find_guaranteed
from .load_overview import describe_load
from .model import URGENT, DesiredState
from .owned_cell import OwnedCell
from .progress import JobState
from .stalls import JobStall
from .step_state import StepState, TaskState

MAX_TASK_ROWS = 1_000
"""Tasks that a job's description lists, so that the reply of a peer stays small."""


def describe_cell(cell: OwnedCell, desired: DesiredState, host: str) -> dict[str, Any]:
    """Return the owner, queues, executors, guarantees and failure domains as plain values."""
    return {
        "owner": host,
        "term": cell.term.number,
        "version": desired.version,
        "queues": _describe_queues(cell, desired),
        "executors": _describe_executors(cell),
        "guarantees": _describe_guarantees(cell, desired),
        "domains": describe_domains(cell),
        "short by": find_shortfall(cell),
        "load": describe_load(cell, desired),
    }


def _describe_queues(cell: OwnedCell, desired: DesiredState) -> list[dict[str, Any]]:
    rows = {
        queue.name: {"queue": queue.name, "priority": queue.priority, "pending": 0, "running": 0}
        for queue in desired.queues
    }
    for job in cell.active.values():
        queue = desired.current_queue(job.spec)
        row = rows.setdefault(
            queue.name,
            {"queue": queue.name, "priority": queue.priority, "pending": 0, "running": 0},
        )
        row["running" if job.begun else "pending"] += 1  # type: ignore[operator]
    return sorted(rows.values(), key=lambda row: (row["priority"], row["queue"]))


def _describe_executors(cell: OwnedCell) -> list[dict[str, Any]]:
    now = trio.current_time()
    rows = []
    for state in sorted(cell.executors.values(), key=lambda s: (s.executor.rack, s.id)):
        leaves_in_s = None if state.leaves_at is None else round(state.leaves_at - now, 1)
        rows.append(
            {
                "executor": state.id,
                "born": state.instance.born,
                "rack": state.executor.rack,
                "runs": len(state.attempts),
                "free accelerators": state.free.accelerators,
                "takes no work": state.find_refusal(now) or "",
                "heard": state.has_reported,
                "listed": state.listed,
                "set aside": state.has_unusable_entry,
                "resting": state.backoff_until > now,
                "slow": state.slow_until > now,
                "leaves in s": leaves_in_s,
                "evacuated": state.evacuated,
            }
        )
    return rows


def _describe_guarantees(cell: OwnedCell, desired: DesiredState) -> list[dict[str, Any]]:
    """Return for each tenant what is guaranteed, in use, and reclaimable from others."""
    guaranteed = find_guaranteed(list(cell.active.values()), desired, cell.parts.wall_clock())
    reclaimable = sum(
        attempt.need.accelerators
        for job in cell.active.values()
        if job.spec.id not in guaranteed
        for attempt in job.attempts()
    )
    rows = []
    for tenant in desired.tenants:
        used = _count_urgent_accelerators(cell, desired, tenant.name)
        rows.append(
            {
                "tenant": tenant.name,
                "guaranteed": tenant.guaranteed,
                "in use": used,
                "reclaimable": min(max(0, tenant.guaranteed - used), reclaimable),
            }
        )
    return rows


def _count_urgent_accelerators(cell: OwnedCell, desired: DesiredState, tenant: str) -> int:
    return sum(
        attempt.need.accelerators
        for job in cell.active.values()
        if job.spec.tenant == tenant and desired.current_queue(job.spec).priority == URGENT
        for attempt in job.attempts()
    )


def describe_job(job: JobState, stand: JobStall | None = None, order: str = "") -> dict[str, Any]:
    """Return a job's tasks with their executors, progress and failures.

    `stand` says why nothing of the job runs, None if it is not known to be stalled; `order` why its
    waiting tasks have their place in the order. Of a job with more than `MAX_TASK_ROWS` tasks it
    lists at most as many that are under way, or have failed, and counts the others.
    """
    rows = [
        _describe_task(step, step.tasks.peek(index))
        for step, index in islice(_list_tasks(job), MAX_TASK_ROWS)
    ]
    described = _describe_job_state(job, stand, order)
    unlisted = job.count_tasks() - len(rows)
    if unlisted:
        described["unlisted tasks"] = unlisted
        described["times done"] = job.occurrences.closed_count
    return {**described, "tasks": rows}


def _list_tasks(job: JobState) -> Iterator[tuple[StepState, int]]:
    """Yield the tasks of a job by step and index; of one with many, those that are under way."""
    is_small = job.count_tasks() <= MAX_TASK_ROWS
    numbers = range(job.spec.occurrences) if is_small else job.occurrences.list_open()
    for number in numbers:
        for step in job.occurrences.peek(number):
            indexes: Iterable[int] = range(step.spec.count)
            if not is_small:
                indexes = (task.index for task in step.tasks.list_known())
            yield from ((step, index) for index in indexes)


def _describe_task(step: StepState, task: TaskState) -> dict[str, Any]:
    attempt = task.attempt
    return {
        "time": step.occurrence,
        "step": step.number,
        "task": task.index,
        "state": _describe_state(task.done, attempt is not None),
        "executor": attempt.executor if attempt else "",
        "run": task.last_run,
        "percent": attempt.percent if attempt else 0,
        "failed runs": len(task.failed_runs),
        "crashed": ", ".join(f"{instance.id} ({why})" for instance, why in task.crashes.items()),
    }


def _describe_job_state(job: JobState, stand: JobStall | None, order: str) -> dict[str, Any]:
    return {
        "job": job.spec.id,
        "queue": job.spec.queue.name,
        "tenant": job.spec.tenant,
        "status": job.shown.value,
        "why": "; ".join(filter(None, (_explain_failures(job), _describe_stand(stand)))),
        "order": order,
    }


def _explain_failures(job: JobState) -> str:
    """Return why a job failed, or why some of its tasks run isolated; empty if neither."""
    steps = (step for step in job.steps if step.has_suspects)
    tasks = [task for step in steps for task in step.tasks.list_known() if task.crashes]
    if job.failed:
        is_given_up = any(task.is_given_up for task in tasks)
        return "executors crashed under a task" if is_given_up else "the runs of a task failed"
    if tasks:
        return f"{len(tasks)} tasks run apart from others: executors crashed under them"
    return ""


def _describe_stand(stand: JobStall | None) -> str:
    if stand is None:
        return ""
    return f"nothing of it has run for {stand.for_s:.1f} s: {stand.cause}"


def _describe_state(done: bool, has_attempt: bool) -> str:
    if done:
        return "done"
    return "running" if has_attempt else "waiting"
