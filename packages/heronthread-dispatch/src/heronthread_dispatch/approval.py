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
from .model import ApprovalTerms, Life, TaskKey

MAX_EXECUTORS_PER_REQUEST = 100
DEFAULT_EXECUTORS_PER_REQUEST = 30
TICKET_MARGIN_S = 0.4
RETRY_DELAY_S = 0.3
MAX_QUEUED = 64


@dataclass(frozen=True, slots=True)
class Question:
    """A request to approve executor instances for a step; `step` is the key of its first task."""

    step: TaskKey
    lives: tuple[Life, ...]
    terms: ApprovalTerms

    @property
    def executors(self) -> list[str]:
        """The executor ids, which are all that the service receives."""
        return [life.id for life in self.lives]


@dataclass(frozen=True, slots=True)
class Approved:
    """The ids of the approved executors with their tickets; all others are denied for good."""

    tickets: dict[str, str]


class Approver(Protocol):
    """The service that approves executors."""

    async def ask(self, question: Question) -> Approved | NoAnswer:
        """Send one request."""


class NoApprover:
    """Approves nothing, for cells without an approval service."""

    async def ask(self, question: Question) -> Approved | NoAnswer:
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
        self._tickets: dict[TaskKey, dict[Life, _Ticket]] = defaultdict(dict)
        self._denied: dict[TaskKey, set[Life]] = defaultdict(set)
        self._queue: deque[Question] = deque()
        self._pending: set[TaskKey] = set()
        self._has_queued = trio.Event()

    def find_ticket(self, step: TaskKey, life: Life) -> str | None:
        """Return a step's valid ticket for an executor instance, None if there is none."""
        ticket = self._tickets[step].get(life)
        if ticket is None or boot_time() >= ticket.until:
            return None
        return ticket.text

    def is_denied(self, step: TaskKey, life: Life) -> bool:
        """Whether an executor instance is denied for a step."""
        return life in self._denied[step]

    def want(self, question: Question) -> None:
        """Queue a request unless one for the same step is pending."""
        if question.step in self._pending or len(self._queue) >= MAX_QUEUED:
            return
        self._pending.add(question.step)
        self._queue.append(question)
        self._has_queued.set()

    def drop(self, step: TaskKey, life: Life) -> None:
        """Discard a ticket that an executor rejected."""
        self._tickets[step].pop(life, None)

    async def run(self) -> None:
        """Send the queued requests one at a time until cancelled."""
        while True:
            while not self._queue:
                self._has_queued = trio.Event()
                await self._has_queued.wait()
            await self._ask(self._queue.popleft())

    async def _ask(self, question: Question) -> None:
        sent = boot_time()
        outcome = await self._approver.ask(question)
        self._pending.discard(question.step)
        if isinstance(outcome, NoAnswer):
            log_event("approval.unanswered", job=question.step.job, reason=outcome.reason)
            await trio.sleep(RETRY_DELAY_S)
        else:
            self._store_answer(question, outcome, sent)
        self._on_answer()

    def _store_answer(self, question: Question, outcome: Approved, sent: float) -> None:
        until = sent + question.terms.validity_s - TICKET_MARGIN_S
        for life in question.lives:
            text = outcome.tickets.get(life.id)
            if text is None:
                self._denied[question.step].add(life)
            else:
                self._tickets[question.step][life] = _Ticket(text, until)
        log_event(
            "approval.answered",
            job=question.step.job,
            step=question.step.step,
            asked=len(question.lives),
            approved=len(outcome.tickets),
            took_s=round(boot_time() - sent, 3),
        )
