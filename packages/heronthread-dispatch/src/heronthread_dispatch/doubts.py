"""Which tasks may be at work, or may yet be begun, where this owner can't see it.

A run of an earlier owner may be at an executor that this owner has not heard. And a start without
an answer may yet be carried out by a life that has heard no token of this owner: the order names
the id alone, and only that life's next report says whether it was. So until then the tasks of the
jobs for which the store names the executor wait, and no others.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from .fleet import CLOCK_DRIFT, LAPSE_MARGIN_S, ExecutorState


def list_unsure(
    states: Iterable[ExecutorState], now: float, hold_s: float, late_until: float
) -> frozenset[str]:
    """Return the executors at which another life may be that has not heard this owner yet.

    Earlier owners' orders are late until `late_until` at most.
    """
    return frozenset(state.id for state in states if _is_unsure(state, now, hold_s, late_until))


def list_lapsed(
    names: Collection[str],
    states: dict[str, ExecutorState],
    now: float,
    hold_s: float,
    late_until: float,
) -> frozenset[str]:
    """Return those of some executors that are gone, or as good as gone: silent for too long."""
    return frozenset(
        name
        for name in names
        if name not in states
        or is_last_of_its_id(states[name])
        or (_is_silent(states[name]) and not _is_unsure(states[name], now, hold_s, late_until))
    )


def is_last_of_its_id(state: ExecutorState) -> bool:
    """Whether no other life can have its id, and this one refuses the orders of earlier owners."""
    return state.heard and not state.life.born


def _is_silent(state: ExecutorState) -> bool:
    return not state.heard or state.silent_since is not None


def _is_unsure(state: ExecutorState, now: float, hold_s: float, late_until: float) -> bool:
    if state.dead or is_last_of_its_id(state):
        return False
    is_said = state.announced is not None and state.announced is not state.asked
    if is_said or (state.is_said_anew and not state.heard):
        return now < late_until
    if not state.heard:
        return now < (state.lapse_by if state.is_inherited else late_until)
    if state.silent_since is None:
        return False
    # One that crashed for good makes nothing stand for longer than its holding time does anyway.
    return now < state.silent_since + hold_s * (1 + CLOCK_DRIFT) + LAPSE_MARGIN_S
