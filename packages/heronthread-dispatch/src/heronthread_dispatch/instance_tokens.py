"""The fencing tokens of an owner's orders to executors of which several instances share an id.

An executor refuses orders with a lower token than it has seen. An instance that has seen a higher
token than all that were sent to earlier ones thus refuses the orders that reach it late.
"""

from __future__ import annotations

from .model import ExecutorInstance


class InstanceTokens:
    """The token of each executor id in one term: the term's number until a later one is assigned.

    Assigned tokens are later values of the counter that numbers the terms, so every token of the
    next owner is higher, whichever version it runs.
    """

    def __init__(self, term_number: int) -> None:
        self._term_number = term_number
        self._assigned: dict[str, tuple[ExecutorInstance, int]] = {}

    def find(self, executor: str) -> int:
        """Return the token for orders to the newest instance of an id."""
        found = self._assigned.get(executor)
        return self._term_number if found is None else found[1]

    def assign(self, instance: ExecutorInstance, token: int) -> None:
        """Use a token from now on, higher than all those sent to earlier instances."""
        self._assigned[instance.id] = (instance, token)

    def is_assigned(self, instance: ExecutorInstance) -> bool:
        """Return whether the token of an id was assigned for this instance."""
        found = self._assigned.get(instance.id)
        return found is not None and found[0] == instance

    def is_outdated(self, executor: str, token: int) -> bool:
        """Return whether orders to an id carry a higher token by now.

        A refusal of an outdated token may be due to this owner's own orders, so it does not show
        that there is a newer owner.
        """
        return token < self.find(executor)
