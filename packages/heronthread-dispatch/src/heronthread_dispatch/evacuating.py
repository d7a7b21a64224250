"""The owner's answer to `heronthread evacuate`: written down, in force, and only then confirmed.

The owner alone gives orders. It writes the ask under the condition that it still owns the cell,
so a deposed owner confirms nothing, and each later owner reads the ask before its first start.
"""

from __future__ import annotations

from dataclasses import dataclass

import trio
from heronthread_coordination import Unknown

from .domains import list_domains
from .evacuation import COMMANDED_PREFIX, describe_bad_domain
from .events import log_event
from .fleet import ExecutorState
from .keystore import CommitOutcome, Committed, Mismatch, Put, Transaction
from .owned import OwnedCell
from .progress import UNSETTLED, Attempt, Phase

SETTLE_S = 2.0
"""How long an answer waits for starts that are under way; an operator's command waits 3 s."""
LOOK_S = 0.02


@dataclass(frozen=True, slots=True)
class InForce:
    """No start is sent there any more (or, taken back, may be sent); `runs` are left to end.

    `asked_by` are those who still ask, after an ask was taken back.
    """

    domain: str
    runs: int
    asked_by: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class AskRefused:
    """Nothing was changed, and asking again changes nothing."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotAsked:
    """Nothing was changed; ask again."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotYetInForce:
    """It may have been asked for, and may not be in force everywhere; ask again."""

    reason: str


EvacuationOutcome = InForce | AskRefused | NotAsked | NotYetInForce


async def set_evacuation(cell: OwnedCell, domain: str, is_wanted: bool) -> EvacuationOutcome:
    """Ask to evacuate a domain, or take that back, and return once it is in force."""
    reason = _find_objection(cell, domain, is_wanted)
    if reason is not None:
        log_event("evacuation.refused", domain=domain, reason=reason)
        return AskRefused(reason)
    key = COMMANDED_PREFIX + domain
    if is_wanted:
        transaction = Transaction((cell.term.guard,), (Put(key, b"{}"),))
    else:
        transaction = Transaction((cell.term.guard,), removes=(key,))
    outcome = await cell.parts.store.commit(transaction)
    if not isinstance(outcome, Committed):
        return _describe_failure(outcome)
    cell.parts.evacuations.note_written(key, outcome.revision, is_wanted)
    cell.note_evacuations()
    if not is_wanted:
        asked_by = tuple(cell.parts.evacuations.describe_askers(domain))
        return InForce(domain, _count_runs(cell, domain), asked_by)
    return await _wait_in_force(cell, domain)


def _find_objection(cell: OwnedCell, domain: str, is_wanted: bool) -> str | None:
    """Return why an ask makes no sense, None if it does."""
    problem = describe_bad_domain(domain)
    if problem is not None:
        return problem
    evacuations = cell.parts.evacuations
    if is_wanted:
        known = list_domains(cell)
        if domain in known:
            return None
        return f"{domain}: no executor is known there; there are {', '.join(known) or 'none'}"
    if evacuations.is_asked(COMMANDED_PREFIX + domain):
        return None
    if domain in evacuations.domains:
        key = evacuations.operators_prefix + domain
        return f"{domain}: the platform's operator asks for it; remove {key} from the store"
    return f"{domain}: it is not evacuated"


def _describe_failure(outcome: CommitOutcome) -> EvacuationOutcome:
    if isinstance(outcome, Mismatch):
        return NotAsked("this host owns the cell no more")
    if isinstance(outcome, Unknown):
        return NotYetInForce(f"the store may have taken it: {outcome.reason}")
    return NotAsked(f"the store does not answer: {getattr(outcome, 'reason', outcome)}")


async def _wait_in_force(cell: OwnedCell, domain: str) -> EvacuationOutcome:
    """Wait until no start there is under way, of this owner or an earlier one."""
    with trio.move_on_after(SETTLE_S):
        while _describe_open(cell, domain):
            await trio.sleep(LOOK_S)
    open_starts = _describe_open(cell, domain)
    if open_starts:
        return NotYetInForce(f"asked for, but {open_starts}")
    return InForce(domain, _count_runs(cell, domain))


def _describe_open(cell: OwnedCell, domain: str) -> str:
    """Return which starts may still be carried out there; empty if none may."""
    silent = [state.id for state in cell.silent() if state.executor.zone in ("", domain)]
    if silent:
        return f"an earlier owner's starts may be under way at {', '.join(sorted(silent))}"
    starting = [
        attempt
        for state in _list_there(cell, domain)
        for attempt in state.list_held()
        if _may_yet_start(attempt)
    ]
    return f"{len(starting)} starts there are under way" if starting else ""


def _may_yet_start(attempt: Attempt) -> bool:
    if attempt.phase is Phase.STARTING:
        return True
    in_doubt = attempt.phase is Phase.STOPPING and attempt.settled_at == UNSETTLED
    return in_doubt and attempt.unanswered > 0


def _list_there(cell: OwnedCell, domain: str) -> list[ExecutorState]:
    return [state for state in cell.executors.values() if state.executor.zone == domain]


def _count_runs(cell: OwnedCell, domain: str) -> int:
    return sum(len(state.list_held()) for state in _list_there(cell, domain))
