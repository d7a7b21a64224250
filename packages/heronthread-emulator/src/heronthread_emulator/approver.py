"""A service that says which executors may run a step, one question of a host at a time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from heronthread_dispatch.approval import ApprovalReply, ApprovalRequest
from heronthread_dispatch.executor_link import NoAnswer
from heronthread_dispatch.model import ExecutorInstance, TaskKey


@dataclass(slots=True)
class EmulatedApprover:
    """Approves the executors named in `healthy`; a ticket is only good for its step and instance.

    `questions` are all that were asked; `fail_next` so many get no answer. `find_born` tells when
    the instance began that has an id.
    """

    healthy: set[str] = field(default_factory=set)
    approval_requests: list[ApprovalRequest] = field(default_factory=list)
    fail_next: int = 0
    find_born: Callable[[str], int] = lambda executor: 0
    _expires: dict[str, float] = field(default_factory=dict)

    async def ask(self, approval_request: ApprovalRequest) -> ApprovalReply | NoAnswer:
        """Answer after the time that the terms say."""
        self.approval_requests.append(approval_request)
        terms = approval_request.terms
        await trio.sleep(terms.decision_s + terms.each_s * len(approval_request.executors))
        if self.fail_next > 0:
            self.fail_next -= 1
            return NoAnswer("lost")
        tickets = {}
        for executor in approval_request.executors:
            if executor in self.healthy:
                instance = ExecutorInstance(executor, self.find_born(executor))
                text = f"{approval_request.step}/{instance}/{len(self._expires)}"
                self._expires[text] = trio.current_time() + terms.validity_s
                tickets[executor] = text
        return ApprovalReply(tickets)

    def is_good(self, ticket: str, task: TaskKey, instance: ExecutorInstance) -> bool:
        """Whether an instance of an executor accepts a ticket."""
        is_for_it = ticket.startswith(f"{task._replace(member=0)}/{instance}/")
        return is_for_it and self._expires.get(ticket, 0.0) > trio.current_time()
