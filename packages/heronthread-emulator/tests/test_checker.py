"""When a start in an evacuated domain or of a rejected job, or an early success, is a violation."""

import pytest
from heronthread_dispatch.model import Executor, JobSpec, Resources, StepSpec, TaskKey
from heronthread_dispatch.record import JobRecord, JobStatus
from heronthread_emulator import (
    EmulatedExecutors,
    check_evacuations,
)
from heronthread_emulator.checker import Told, check_promises
from heronthread_emulator.executors import EmulatedExecutor, Event
from heronthread_emulator.site import make_queue
from heronthread_emulator.spans import Span

TASK = TaskKey("a", 0, 0)


def _executors(sent_at: float, at: float) -> EmulatedExecutors:
    executors = EmulatedExecutors()
    executor = Executor("e0", "e0", "pool", "z0", "r0", (), Resources())
    executors.by_id["e0"] = EmulatedExecutor(executor)
    executors.events.append(Event(at, "start", TASK, 1, "e0", sent_at=sent_at))
    return executors


@pytest.mark.parametrize(
    ("sent_at", "at", "trouble", "broken"),
    [
        (9.0, 9.0, [], False),  # before the ask
        (14.9, 14.9, [], False),  # the ask may still be on its way
        (15.1, 15.1, [], True),
        (14.9, 22.0, [], False),  # carried out late
        (29.9, 29.9, [], True),
        (30.1, 30.1, [], False),  # taken back
        (18.0, 18.0, [13.5], False),  # no word from the store until 13.5
        (18.6, 18.6, [13.5, 25.0], True),
    ],
)
def test_start_in_an_evacuated_domain(
    sent_at: float, at: float, trouble: list[float], broken: bool
) -> None:
    spans = [Span("z0", 10.0, 30.0), Span("z1", 0.0)]
    found = check_evacuations(_executors(sent_at, at), spans, trouble)
    assert [violation.promise for violation in found] == (
        ["nothing starts in an evacuated domain"] if broken else []
    )


@pytest.mark.parametrize(
    ("taken", "unsettled", "broken"),
    [(False, False, True), (True, False, False), (False, True, False)],
)
def test_job_with_rejections_only_must_not_run(taken: bool, unsettled: bool, broken: bool) -> None:
    """Guards against an untrue rejection that a soak would not find."""
    step = StepSpec(1, Resources(), 1.0)
    record = JobRecord(JobSpec("a", make_queue("ordinary"), "first", "", (step,), 0.0))
    told = Told(record, taken=taken, refused=True, unsettled=unsettled)
    found = check_promises(_executors(1.0, 1.0), {"a": told})
    promises = [violation.promise for violation in found]
    assert ("not taken means never run" in promises) == broken


def _find_broken(told: Told, ends: list[tuple[int, float]]) -> set[str]:
    """Return the broken promises of a job whose tasks ended as done at some times."""
    executors = EmulatedExecutors()
    for number, (member, at) in enumerate(ends):
        task = TaskKey("a", 0, member)
        executors.events.append(Event(at, "done", task, 1, "e0", number=number))
    return {violation.promise for violation in check_promises(executors, {"a": told})}


@pytest.mark.parametrize(
    ("gang", "ends", "broken"),
    [
        (False, [(0, 1.0), (1, 2.0)], False),
        (False, [(0, 1.0), (1, 2.1)], True),
        (False, [(0, 1.0)], True),
        (False, [(0, 2.1), (1, 2.1)], True),
        (True, [(0, 1.0), (1, 2.1)], False),  # the first member's end counts for all
        (True, [(0, 2.1), (1, 2.1)], True),
    ],
)
def test_success_is_told_after_the_ends(
    gang: bool, ends: list[tuple[int, float]], broken: bool
) -> None:
    step = StepSpec(2, Resources(), 1.0, gang=gang)
    record = JobRecord(JobSpec("a", make_queue("ordinary"), "first", "", (step,), 0.0))
    told = Told(record, taken=True)
    told.show(JobStatus.RUNNING, 0.5)
    told.show(JobStatus.SUCCEEDED, 2.0)
    told.show(JobStatus.SUCCEEDED, 3.0)
    assert _find_broken(told, ends) == ({"succeeded means all is done"} if broken else set())


def test_success_that_is_taken_back_counts() -> None:
    step = StepSpec(2, Resources(), 1.0)
    record = JobRecord(JobSpec("a", make_queue("ordinary"), "first", "", (step,), 0.0))
    told = Told(record, taken=True, cancelled=True)
    told.show(JobStatus.SUCCEEDED, 2.0)
    told.show(JobStatus.CANCELLED, 3.0)
    assert _find_broken(told, [(0, 1.0)]) == {"succeeded means all is done"}
