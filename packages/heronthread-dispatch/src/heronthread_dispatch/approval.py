"""Requests to an external service that approves executors for steps of certain queues.

Requests are slow and answered one at a time, so each names as many executors as a step may need.
Tickets are kept while they are valid, denials for good.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import trio

from .clock import boot_time
from .events import log_event
from .executor_link import NoAnswer
from .model import ApprovalTerms, ExecutorInstance, TaskKey

MAX_EXECUTORS_PER_REQUEST = 100
DEFAULT_EXECUTORS_PER_REQUEST = 30
TICKET_MARGIN_S = 0.4
RETRY_DELAY_S = 0.3
MAX_QUEUED = 64


@dataclass(frozen=True, slots=True)
class ApprovalRequest:
    """A request to approve executor instances for a step; `step` is the key of its first task."""

    step: TaskKey
    instances: tuple[ExecutorInstance, ...]
    terms: ApprovalTerms

    @property
    def executors(self) -> list[str]:
        """The executor ids, which are all that the service receives."""
        return [instance.id for instance in self.instances]


@dataclass(frozen=True, slots=True)
class ApprovalReply:
    """The ids of the approved executors with their tickets; all others are denied for good."""

    tickets: dict[str, str]


class Approver(Protocol):
    """The service that approves executors."""

    async def ask(self, approval_request: ApprovalRequest) -> ApprovalReply | NoAnswer:
        """Send one request."""


class NoApprover:
    """Approves nothing, for cells without an approval service."""

    async def ask(self, approval_request: ApprovalRequest) -> ApprovalReply | NoAnswer:
        """Return that no service is configured."""
        return NoAnswer("no approver is known", unsent=True)


@dataclass(frozen=True, slots=True)
class _Ticket:
    text: str
    until: float


class Approvals:
    """The tickets and denials received and the requests to send; times are on the lasting clock."""

    def __init__(self, approver: Approver, on_answer: Callable[[], None]) -> None:
        self._approver = approver
        self._on_answer = on_answer
        self._tickets: dict[TaskKey, dict[ExecutorInstance, _Ticket]] = defaultdict(dict)
        self._denied: dict[TaskKey, set[ExecutorInstance]] = defaultdict(set)
        self._queue: deque[ApprovalRequest] = deque()
        self._pending: set[TaskKey] = set()
        self._has_queued = trio.Event()

    def find_ticket(self, step: TaskKey, instance: ExecutorInstance) -> str | None:
        """Return a step's valid ticket for an executor instance, None if there is none."""
        ticket = self._tickets[step].get(instance)
        if ticket is None or boot_time() >= ticket.until:
            return None
        return ticket.text

    def is_denied(self, step: TaskKey, instance: ExecutorInstance) -> bool:
        """Whether an executor instance is denied for a step."""
        return instance in self._denied[step]

    def enqueue(self, approval_request: ApprovalRequest) -> None:
        """Queue a request unless one for the same step is pending."""
        if approval_request.step in self._pending or len(self._queue) >= MAX_QUEUED:
            return
        self._pending.add(approval_request.step)
        self._queue.append(approval_request)
        self._has_queued.set()

    def discard_ticket(self, step: TaskKey, instance: ExecutorInstance) -> None:
        """Discard a ticket that an executor rejected."""
        self._tickets[step].pop(instance, None)

    async def run(self) -> None:
        """Send the queued requests one at a time until cancelled."""
        while True:
            while not self._queue:
                self._has_queued = trio.Event()
                await self._has_queued.wait()
            await self._ask(self._queue.popleft())

    async def _ask(self, approval_request: ApprovalRequest) -> None:
        sent = boot_time()
        outcome = await self._approver.ask(approval_request)
        self._pending.discard(approval_request.step)
        if isinstance(outcome, NoAnswer):
            log_event("approval.unanswered", job=approval_request.step.job, reason=outcome.reason)
            await trio.sleep(RETRY_DELAY_S)
        else:
            self._store_answer(approval_request, outcome, sent)
        self._on_answer()

    def _store_answer(
        self, approval_request: ApprovalRequest, outcome: ApprovalReply, sent: float
    ) -> None:
        until = sent + approval_request.terms.validity_s - TICKET_MARGIN_S
        for instance in approval_request.instances:
            text = outcome.tickets.get(instance.id)
            if text is None:
                self._denied[approval_request.step].add(instance)
            else:
                self._tickets[approval_request.step][instance] = _Ticket(text, until)
        log_event(
            "approval.answered",
            job=approval_request.step.job,
            step=approval_request.step.step,
            asked=len(approval_request.instances),
            approved=len(outcome.tickets),
            took_s=round(boot_time() - sent, 3),
        )
