"""Tracks the orders of which a lease deadline may still reach a later instance of an executor.

A deadline is a time on the clock of the instance that it was sent to. An order names an instance by
the executor's id alone, so a later one under that id may take the deadline for its own clock, and
then keeps its runs for up to the longest lease. Executors that report no start time (`born`) get a
new id with each instance, so they are not affected.
"""

from __future__ import annotations

from dataclasses import dataclass

import trio

from .late_starts import MAX_ORDER_DELAY_S
from .model import ExecutorInstance

NEVER = float("-inf")


@dataclass(slots=True)
class _SentDeadlines:
    """When this owner last sent a deadline to the newest instance of an id, and to others."""

    instance: ExecutorInstance
    newest_at: float = NEVER
    others_at: float = NEVER


@dataclass(frozen=True, slots=True)
class _InheritedDeadlines:
    """The instance that earlier owners knew last, and until when deadlines of theirs may arrive."""

    instance: ExecutorInstance
    until: float


class LateDeadlines:
    """The deadlines that one owner and earlier ones sent, by executor id; times on trio's clock.

    Every deadline sent counts, also one of an answered order. Those of earlier owners may arrive
    until `earlier_until`, unless less is inherited for an id.
    """

    def __init__(self, earlier_until: float) -> None:
        self._earlier_until = earlier_until
        self._is_inheritance_complete = False
        self._inherited: dict[str, _InheritedDeadlines] = {}
        self._sent: dict[str, _SentDeadlines] = {}

    @property
    def earlier_until(self) -> float:
        """Until when deadlines of earlier owners may arrive at any executor."""
        return self._earlier_until

    def expect_earlier(self, until: float) -> None:
        """Record that deadlines of earlier owners may arrive until a time."""
        self._earlier_until = until

    def limit_earlier(self, until: float) -> None:
        """Record that deadlines of earlier owners arrive no later than a time."""
        self._earlier_until = min(self._earlier_until, until)

    def inherit(self, instance: ExecutorInstance, until: float) -> None:
        """Record the instance that earlier owners knew, and until when their deadlines arrive."""
        self._inherited[instance.id] = _InheritedDeadlines(instance, until)

    def mark_inheritance_complete(self) -> None:
        """Record that earlier owners sent no late deadlines to ids that are not inherited."""
        self._is_inheritance_complete = True

    def note_sent(self, instance: ExecutorInstance) -> None:
        """Record that a deadline is sent now; call this before each send."""
        if not instance.born:
            return
        sent = self._find_sent(instance)
        sent.newest_at = trio.current_time()
        self._sent[instance.id] = sent

    def _find_sent(self, instance: ExecutorInstance) -> _SentDeadlines:
        """Return the deadlines sent to an id, with this instance as the newest."""
        sent = self._sent.get(instance.id)
        if sent is None:
            return _SentDeadlines(instance)
        if sent.instance == instance:
            return sent
        return _SentDeadlines(instance, others_at=max(sent.newest_at, sent.others_at))

    def find_own_end(self, instance: ExecutorInstance) -> float:
        """Return until when this owner's deadlines for other instances may arrive at this one."""
        if not instance.born:
            return NEVER
        return self._find_sent(instance).others_at + MAX_ORDER_DELAY_S

    def find_end(self, instance: ExecutorInstance) -> float:
        """Return until when any owner's deadlines for other instances may arrive at this one.

        What earlier owners sent before the instance that they knew is left to their record of its
        lease.
        """
        if not instance.born:
            return NEVER
        inherited = self._inherited.get(instance.id)
        if inherited is not None and inherited.instance == instance:
            return self.find_own_end(instance)
        return max(self.find_own_end(instance), self._find_earlier_end(instance.id))

    def find_last_end(self, executor: str) -> float:
        """Return until when any deadline sent so far may arrive at an instance of an id."""
        sent = self._sent.get(executor)
        own_at = NEVER if sent is None else max(sent.newest_at, sent.others_at)
        return max(own_at + MAX_ORDER_DELAY_S, self._find_earlier_end(executor))

    def list_late(self) -> dict[ExecutorInstance, float]:
        """Return the newest instance of each id that a late deadline may reach, and until when."""
        newest = {name: known.instance for name, known in self._inherited.items()}
        newest |= {name: sent.instance for name, sent in self._sent.items()}
        ends = {instance: self.find_last_end(name) for name, instance in newest.items()}
        now = trio.current_time()
        return {instance: until for instance, until in ends.items() if now < until}

    def _find_earlier_end(self, executor: str) -> float:
        inherited = self._inherited.get(executor)
        if inherited is None:
            return NEVER if self._is_inheritance_complete else self._earlier_until
        return min(inherited.until, self._earlier_until)
