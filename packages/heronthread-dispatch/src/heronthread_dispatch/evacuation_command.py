"""The owner's handling of `heronthread evacuate`: confirmed only once stored and in force.

The request is written on condition that this host still owns the cell, so a deposed owner confirms
nothing, and each later owner reads the request before its first start.
"""

from __future__ import annotations

from dataclasses import dataclass

import trio
from heronthread_coordination import Unknown

from .domains import list_domains
from .evacuation import COMMAND_PREFIX, describe_invalid_domain
from .events import log_event
from .fleet import ExecutorState
from .keystore import CommitOutcome, Committed, ConditionFailed, Put, Transaction
from .owned_cell import OwnedCell
from .step_state import UNSETTLED, Attempt, Phase

CONFIRM_TIMEOUT_S = 2.0
"""Longest wait for starts in flight; less than the 3 s timeout of the operator's command."""
POLL_S = 0.02


@dataclass(frozen=True, slots=True)
class InForce:
    """The evacuation or its withdrawal is in force; `runs` tasks still run in the domain.

    `asked_by` names who still requests the evacuation after a withdrawal.
    """

    domain: str
    runs: int
    asked_by: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestRejected:
    """The request is invalid; a retry fails too."""

    reason: str


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """The request had no effect; retry it."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """The request may be stored but not in force everywhere; retry it."""

    reason: str


EvacuationOutcome = InForce | RequestRejected | RequestFailed | Unconfirmed


async def set_evacuation(cell: OwnedCell, domain: str, is_wanted: bool) -> EvacuationOutcome:
    """Request or withdraw the evacuation of a domain, and return once that is in force."""
    reason = _find_problem(cell, domain, is_wanted)
    if reason is not None:
        log_event("evacuation.refused", domain=domain, reason=reason)
        return RequestRejected(reason)
    key = COMMAND_PREFIX + domain
    if is_wanted:
        transaction = Transaction((cell.term.guard,), (Put(key, b"{}"),))
    else:
        transaction = Transaction((cell.term.guard,), removes=(key,))
    outcome = await cell.parts.store.commit(transaction)
    if not isinstance(outcome, Committed):
        return _describe_failure(outcome)
    cell.parts.evacuations.note_written(key, outcome.revision, is_wanted)
    cell.apply_evacuations()
    if not is_wanted:
        asked_by = tuple(cell.parts.evacuations.list_requesters(domain))
        return InForce(domain, _count_runs(cell, domain), asked_by)
    return await _wait_in_force(cell, domain)


def _find_problem(cell: OwnedCell, domain: str, is_wanted: bool) -> str | None:
    """Return why a request is invalid, None if it is valid."""
    problem = describe_invalid_domain(domain)
    if problem is not None:
        return problem
    evacuations = cell.parts.evacuations
    if is_wanted:
        known = list_domains(cell)
        if domain in known:
            return None
        return f"{domain}: no executor is known there; there are {', '.join(known) or 'none'}"
    if evacuations.is_requested(COMMAND_PREFIX + domain):
        return None
    if domain in evacuations.domains:
        key = evacuations.operators_prefix + domain
        return f"{domain}: the platform's operator asks for it; remove {key} from the store"
    return f"{domain}: it is not evacuated"


def _describe_failure(outcome: CommitOutcome) -> EvacuationOutcome:
    if isinstance(outcome, ConditionFailed):
        return RequestFailed("this host owns the cell no more")
    if isinstance(outcome, Unknown):
        return Unconfirmed(f"the store may have taken it: {outcome.reason}")
    return RequestFailed(f"the store does not answer: {getattr(outcome, 'reason', outcome)}")


async def _wait_in_force(cell: OwnedCell, domain: str) -> EvacuationOutcome:
    """Wait until no start of this or an earlier owner is in flight in the domain."""
    with trio.move_on_after(CONFIRM_TIMEOUT_S):
        while _describe_open_starts(cell, domain):
            await trio.sleep(POLL_S)
    open_starts = _describe_open_starts(cell, domain)
    if open_starts:
        return Unconfirmed(f"asked for, but {open_starts}")
    return InForce(domain, _count_runs(cell, domain))


def _describe_open_starts(cell: OwnedCell, domain: str) -> str:
    """Return which starts may still take effect in the domain; empty if none may."""
    silent = [state.id for state in cell.silent() if state.executor.zone in ("", domain)]
    if silent:
        return f"an earlier owner's starts may be under way at {', '.join(sorted(silent))}"
    starting = [
        attempt
        for state in _list_executors(cell, domain)
        for attempt in state.list_held()
        if _may_still_start(attempt)
    ]
    return f"{len(starting)} starts there are under way" if starting else ""


def _may_still_start(attempt: Attempt) -> bool:
    if attempt.phase is Phase.STARTING:
        return True
    in_doubt = attempt.phase is Phase.STOPPING and attempt.settled_at == UNSETTLED
    return in_doubt and attempt.unanswered > 0


def _list_executors(cell: OwnedCell, domain: str) -> list[ExecutorState]:
    return [state for state in cell.executors.values() if state.executor.zone == domain]


def _count_runs(cell: OwnedCell, domain: str) -> int:
    return sum(len(state.list_held()) for state in _list_executors(cell, domain))
