"""Operations that entry hosts forward to the owner of a cell, and their execution there."""

from __future__ import annotations

from dataclasses import dataclass

import trio
from heronthread_dispatch.wire.ttypes import Operation
from pydantic import BaseModel, TypeAdapter

from .job_record import JobState, JobView, OwnedJob, SubmitModel
from .owner import CellOwner, Refusal

MAX_LISTED = 1000

VIEW: TypeAdapter[JobView] = TypeAdapter(JobView)
VIEWS: TypeAdapter[list[JobView]] = TypeAdapter(list[JobView])
REFUSAL: TypeAdapter[Refusal] = TypeAdapter(Refusal)
HISTOGRAMS: TypeAdapter[dict[str, str]] = TypeAdapter(dict[str, str])

OK, NOT_FOUND, NOT_OWNER, UNAVAILABLE = 200, 404, 421, 503


class JobQuery(BaseModel):
    """The body of an operation on one job."""

    job_id: str


class ListQuery(BaseModel):
    """The filter of a list operation; empty fields match all jobs."""

    customer: str = ""
    state: str = ""
    limit: int = MAX_LISTED


class SettleOrder(BaseModel):
    """An operator's decision on the outcome of a job in doubt."""

    job_id: str
    state: JobState
    note: str


@dataclass(frozen=True, slots=True)
class OperationReply:
    """The reply to an operation: an HTTP status and a JSON body, or a reason as plain text."""

    status: int
    body: bytes


async def serve_operation(
    owner: CellOwner, operation: int, body: bytes, wait_s: float
) -> OperationReply:
    """Execute an operation on the owner of its cell."""
    if operation == Operation.SUBMIT:
        return await _submit(owner, SubmitModel.model_validate_json(body), wait_s)
    if operation == Operation.LIST:
        return _list(owner, ListQuery.model_validate_json(body))
    if operation == Operation.SETTLE:
        order = SettleOrder.model_validate_json(body)
        return _answer(await owner.settle(order.job_id, order.state, order.note))
    query = JobQuery.model_validate_json(body)
    if operation == Operation.CANCEL:
        await owner.cancel(query.job_id)
    return _answer(await owner.wait_outcome(query.job_id, wait_s))


async def _submit(owner: CellOwner, model: SubmitModel, wait_s: float) -> OperationReply:
    started = trio.current_time()
    outcome = await owner.submit(model)
    estimate_remaining_s = wait_s - (trio.current_time() - started)
    if isinstance(outcome, JobView) and estimate_remaining_s > 0:
        return _answer(await owner.wait_outcome(outcome.job_id, estimate_remaining_s))
    return _answer(outcome)


def _answer(outcome: JobView | Refusal | None) -> OperationReply:
    if outcome is None:
        return OperationReply(NOT_FOUND, b"")
    if isinstance(outcome, Refusal):
        return OperationReply(outcome.status, REFUSAL.dump_json(outcome))
    return OperationReply(OK, VIEW.dump_json(outcome))


def _list(owner: CellOwner, query: ListQuery) -> OperationReply:
    found: list[OwnedJob] = []
    for owned in owner.jobs.values():
        if query.customer and owned.job.customer != query.customer:
            continue
        if query.state and owned.state.value != query.state:
            continue
        found.append(owned)
    return OperationReply(
        OK, VIEWS.dump_json([owner.view(owned) for owned in found[: query.limit]])
    )
