"""When a start in an evacuated domain, or of a rejected job, counts as a broken promise."""

import pytest
from heronthread_dispatch.model import Executor, JobSpec, Resources, StepSpec, TaskKey
from heronthread_dispatch.record import JobRecord
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
