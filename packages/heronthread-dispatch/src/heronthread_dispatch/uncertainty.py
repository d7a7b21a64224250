"""Determines which tasks may run, or may still be started, beyond this owner's view.

A run of an earlier owner may be at an executor that has not reported yet. A start without an answer
may be carried out by a new instance that has not seen this owner's token, which shows only in that
instance's next report. Until then the tasks that the store lists for the executor are withheld.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from .fleet import CLOCK_DRIFT, LEASE_MARGIN_S, ExecutorState


@dataclass(frozen=True, slots=True)
class Deadlines:
    """Until when actions of earlier owners may have an effect, on trio's clock.

    `executor_lease_s` is the lease that executors are asked for. Orders of earlier owners may be
    carried out until `late_orders_until`, and runs at executors that have not reported end by
    `unreported_runs_until`.
    """

    now: float
    executor_lease_s: float
    late_orders_until: float
    unreported_runs_until: float


def list_uncertain(states: Iterable[ExecutorState], deadlines: Deadlines) -> frozenset[str]:
    """Return the executors that may have a new instance unaware of this owner's token.

    A start may still be carried out there. `OwnedCell.silent` covers runs that are under way.
    """
    return frozenset(state.id for state in states if _may_have_successor(state, deadlines))


def list_lapsed(
    names: Collection[str], states: dict[str, ExecutorState], deadlines: Deadlines
) -> frozenset[str]:
    """Return those of the named executors that are gone, or unresponsive past all deadlines."""
    return frozenset(
        name
        for name in names
        if name not in states
        or is_sole_instance(states[name])
        or (_is_unresponsive(states[name]) and not _may_have_successor(states[name], deadlines))
    )


def is_sole_instance(state: ExecutorState) -> bool:
    """Return whether no other instance can have this id, and this one refuses earlier owners."""
    return state.has_reported and not state.instance.born


def _is_unresponsive(state: ExecutorState) -> bool:
    return not state.has_reported or state.unresponsive_since is not None


def _may_have_successor(state: ExecutorState, deadlines: Deadlines) -> bool:
    if state.dead or is_sole_instance(state):
        return False
    is_announced = (
        state.announced_instance is not None and state.announced_instance is not state.asked
    )
    if is_announced or (state.is_entry_of_other_instance and not state.has_reported):
        return deadlines.now < deadlines.late_orders_until
    if not state.has_reported:
        if not state.is_inherited:
            return deadlines.now < deadlines.late_orders_until
        # Where instances share an id, a new one may carry out a late start after this lease
        # expired.
        return deadlines.now < (
            deadlines.unreported_runs_until if state.instance.born else state.lease_ends_by
        )
    if state.unresponsive_since is None:
        return False
    # Bounded by the lease, so that an executor that crashed for good withholds nothing for longer.
    held_s = deadlines.executor_lease_s * (1 + CLOCK_DRIFT) + LEASE_MARGIN_S
    return deadlines.now < state.unresponsive_since + held_s
