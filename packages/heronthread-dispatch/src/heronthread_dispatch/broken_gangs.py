"""Finds gang members that are certainly over at a silent executor, by the ends of all others.

A member ends broken only because another member of its run has ended. If all members elsewhere
ended so, the first to end was at the silent executor, and what else it had of that run is over too.
"""

from __future__ import annotations

from collections.abc import Mapping

import trio

from .executor_link import EndedRun
from .fleet import ExecutorState
from .gang_ends import UnlistedRun
from .late_starts import LateStarts
from .step_state import Attempt, Phase, StepState


def note_end(step: StepState, end: EndedRun) -> None:
    """Note a listed end of a gang's member, before its attempt is closed."""
    if not step.spec.gang or end.run < step.ends.run:
        return
    if end.run > step.ends.run:
        members = (attempt for attempt in step.attempts() if attempt.run == end.run)
        step.ends.begin(end.run, is_stopping=any(a.phase is Phase.STOPPING for a in members))
    step.ends.note(end.task.member, end.kind)


def take_ended(
    step: StepState,
    executors: Mapping[str, ExecutorState],
    late_starts: LateStarts,
    max_attempts: int,
) -> list[Attempt]:
    """Return the attempts of a gang's broken run that are over although no end of them is listed.

    None if that is not certain, or if one more failure, which the executor may list later, would
    use up `max_attempts`. The run counts as failed in this respect until then.
    """
    state = _find_silent(step, executors)
    if state is None or any(_may_begin(a, state, late_starts) for a in step.attempts()):
        return []
    failures = step.list_possible_failures(trio.current_time()) | {step.ends.run}
    if not step.spec.lasting and len(failures) >= max_attempts:
        return []
    step.ends.unlisted += (UnlistedRun(step.ends.run, state.id, state.lease_ends_by),)
    return step.attempts()


def _find_silent(step: StepState, executors: Mapping[str, ExecutorState]) -> ExecutorState | None:
    """Return the silent executor at whose present instance the first member has ended.

    None unless each other member was listed as broken, and nothing else may have been the cause.
    """
    ends = step.ends
    if not ends.broken or ends.has_other_cause:
        return None
    left = step.attempts()
    members = sorted([*ends.broken, *(attempt.task.member for attempt in left)])
    instances = {attempt.instance for attempt in left}
    if (
        len(instances) != 1
        or members != list(range(len(step.tasks)))
        or any(a.run != ends.run for a in left)
    ):
        return None
    state = executors.get(left[0].executor)
    if state is None or state.instance not in instances or state.unresponsive_since is None:
        return None
    return state


def _may_begin(attempt: Attempt, state: ExecutorState, late_starts: LateStarts) -> bool:
    """Return whether a start of an attempt may yet be carried out, here or by a later instance.

    An instance where the run has been refuses another start of it. An answer to a start does not
    tell which instance gave it, where instances share an id.
    """
    was_here = attempt.seen if attempt.instance.born else attempt.has_begun
    is_settled = was_here and not attempt.is_in_flight and state.holds(attempt)
    return not is_settled or late_starts.is_open(attempt)
