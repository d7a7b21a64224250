"""When starts count as broken promises: where, when, and of which jobs and steps."""

from typing import Any

import pytest
from heronthread_dispatch.model import Executor, JobSpec, Resources, StepSpec, TaskKey
from heronthread_dispatch.record import JobRecord, JobStatus
from heronthread_emulator import (
    EmulatedExecutors,
    check_evacuations,
)
from heronthread_emulator.checker import Told, Violation, check_places, check_promises
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


def _tell(*steps: StepSpec) -> dict[str, Told]:
    spec = JobSpec("a", make_queue("ordinary"), "first", "", steps, 0.0)
    return {"a": Told(JobRecord(spec), taken=True)}


def _step(count: int = 1, **more: Any) -> StepSpec:
    return StepSpec(count, Resources(), 1.0, **more)


def _event(at: float, what: str, member: int, step: int = 0, **more: Any) -> Event:
    return Event(at, what, TaskKey("a", step, member), 1, more.pop("executor", "e0"), **more)


def _is_broken(promise: str, events: list[Event], *steps: StepSpec) -> bool:
    executors = EmulatedExecutors()
    executors.events += events
    return promise in {violation.promise for violation in check_promises(executors, _tell(*steps))}


@pytest.mark.parametrize(
    ("limit", "events", "broken"),
    [
        (1, [_event(1.0, "start", 0), _event(2.0, "start", 1)], True),
        (2, [_event(1.0, "start", 0), _event(2.0, "start", 1)], False),
        (0, [_event(1.0, "start", 0), _event(2.0, "start", 1)], False),
        (1, [_event(1.0, "start", 0), _event(2.0, "start", 1, executor="e1")], False),
        (1, [_event(1.0, "start", 0), _event(2.0, "start", 1, born=7)], False),
        *(
            (1, [_event(1.0, "start", 0), _event(2.0, end, 0), _event(2.0, "start", 1)], False)
            for end in ("done", "failed", "stopped", "gone")
        ),
        (1, [_event(1.0, "start", 0), _event(2.0, "start", 0, step=1)], False),
    ],
)
def test_start_beyond_a_spread_limit(limit: int, events: list[Event], broken: bool) -> None:
    steps = [_step(2, spread_limit=limit), _step(2, spread_limit=limit)]
    assert _is_broken("steps keep to their spread limits", events, *steps) == broken


def test_spread_limit_counts_each_time_of_a_job_alone() -> None:
    later = Event(2.0, "start", TaskKey("a", 0, 1, 1), 1, "e0")
    events = [_event(1.0, "start", 0), later]
    assert not _is_broken("steps keep to their spread limits", events, _step(2, spread_limit=1))


@pytest.mark.parametrize(
    ("ends", "gang", "broken"),
    [
        ([], False, True),
        ([_event(2.0, "done", 0)], False, True),
        ([_event(2.0, "done", 0), _event(3.0, "failed", 1)], False, True),
        ([_event(2.0, "done", 0), _event(3.0, "done", 1)], False, False),
        ([_event(2.0, "done", 0), _event(5.0, "done", 1)], False, True),
        ([_event(2.0, "done", 0)], True, False),
    ],
)
def test_start_before_the_steps_it_comes_after(ends: list[Event], gang: bool, broken: bool) -> None:
    steps = [_step(2, gang=gang), _step(after=(0,))]
    events = [*ends, _event(4.0, "start", 0, step=1)]
    assert _is_broken("steps keep their order", events, *steps) == broken


@pytest.mark.parametrize(
    ("label", "pool", "broken"),
    [("", "pool", False), ("fast", "pool", False), ("slow", "pool", True), ("", "other", True)],
)
def test_start_at_an_executor_of_another_pool_or_label(label: str, pool: str, broken: bool) -> None:
    executors = _executors(1.0, 1.0)
    executor = Executor("e0", "e0", pool, "z0", "r0", ("fast",), Resources())
    executors.by_id["e0"] = EmulatedExecutor(executor)
    found: list[Violation] = check_places(executors, _tell(_step(label=label)))
    assert [v.promise for v in found] == (["nothing starts where it may not run"] if broken else [])


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
