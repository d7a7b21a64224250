"""A service that says which executors may run a step, one question of a host at a time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from heronthread_dispatch.approval import Approved, Question
from heronthread_dispatch.executor_link import NoAnswer
from heronthread_dispatch.model import Life, TaskKey


@dataclass(slots=True)
class EmulatedApprover:
    """Approves the executors named in `healthy`; a ticket is only good for its step and life.

    `questions` are all that were asked; `fail_next` so many get no answer. `find_born` tells when
    the life began that has an id.
    """

    healthy: set[str] = field(default_factory=set)
    questions: list[Question] = field(default_factory=list)
    fail_next: int = 0
    find_born: Callable[[str], int] = lambda executor: 0
    _expires: dict[str, float] = field(default_factory=dict)

    async def ask(self, question: Question) -> Approved | NoAnswer:
        """Answer after the time that the terms say."""
        self.questions.append(question)
        terms = question.terms
        await trio.sleep(terms.decision_s + terms.each_s * len(question.executors))
        if self.fail_next > 0:
            self.fail_next -= 1
            return NoAnswer("lost")
        tickets = {}
        for executor in question.executors:
            if executor in self.healthy:
                life = Life(executor, self.find_born(executor))
                text = f"{question.step}/{life}/{len(self._expires)}"
                self._expires[text] = trio.current_time() + terms.validity_s
                tickets[executor] = text
        return Approved(tickets)

    def is_good(self, ticket: str, task: TaskKey, life: Life) -> bool:
        """Whether a life of an executor accepts a ticket."""
        is_for_it = ticket.startswith(f"{task._replace(member=0)}/{life}/")
        return is_for_it and self._expires.get(ticket, 0.0) > trio.current_time()
