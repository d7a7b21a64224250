"""Keeps late orders for one instance of an executor from extending leases at a later one.

An instance that a late order may reach gets a fencing token of its own before it gets work. What
may have arrived before its first answer to that is counted, as its lease can't be shortened.
"""

from __future__ import annotations

import trio

from .events import describe_instance, log_event
from .executor_link import HoldOutcome, OrderOutcome, Refusal, Refused
from .fleet import ExecutorState
from .instance_tokens import InstanceTokens
from .late_deadlines import LateDeadlines


class InstanceFences:
    """The tokens and late deadlines of one term, applied to executor states.

    `earlier_until` is until when orders of earlier owners may arrive (trio's clock), and
    `longest_run_s` for how long a deadline on another clock may extend a lease.
    """

    def __init__(self, term_number: int, earlier_until: float, longest_run_s: float) -> None:
        self.tokens = InstanceTokens(term_number)
        self.deadlines = LateDeadlines(earlier_until)
        self._longest_run_s = longest_run_s

    def expose(self, state: ExecutorState, until: float | None = None) -> None:
        """Count deadlines for other instances that may arrive at an executor.

        They arrive until a time, by default until those that are known can be late no more.
        """
        if until is None:
            until = self.deadlines.find_end(state.instance)
        if until + self._longest_run_s > trio.current_time():
            state.expose(until, self._longest_run_s)

    def needs_token(self, state: ExecutorState) -> bool:
        """Return whether this owner's own deadlines for other instances may reach an executor.

        Those of earlier owners are refused by the term's own number.
        """
        if state.dead or self.tokens.is_assigned(state.instance):
            return False
        return trio.current_time() < self.deadlines.find_own_end(state.instance)

    def assign_token(self, state: ExecutorState, token: int) -> None:
        """Send a token from now on that refuses the orders for earlier instances."""
        self.tokens.assign(state.instance, token)
        state.needs_fence = True
        state.wake.set()
        log_event("executor.token", **describe_instance(state.instance), token=token)

    def confirm(self, state: ExecutorState, token: int) -> bool:
        """Note the token of an order that an executor has just answered.

        Return whether that shows for the first time that it refuses late orders.
        """
        if self.tokens.is_outdated(state.id, token) or self.needs_token(state):
            return False
        return state.confirm_fence(trio.current_time(), self._longest_run_s)

    def shows_newer_owner(
        self, executor: str, token: int, outcome: OrderOutcome | HoldOutcome
    ) -> bool:
        """Return whether the outcome of an order with a token shows that there is a newer owner.

        A refusal of an outdated token may be due to a later order of this owner.
        """
        is_fenced = isinstance(outcome, Refused) and outcome.reason is Refusal.FENCED
        return is_fenced and not self.tokens.is_outdated(executor, token)

    def limit_earlier(self, until: float, states: list[ExecutorState]) -> None:
        """Record that orders of earlier owners arrive no later than a time.

        `states` are executors that have not reported to this owner.
        """
        self.deadlines.limit_earlier(until)
        for state in states:
            state.limit_exposure(until, self._longest_run_s)
