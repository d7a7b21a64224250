"""Unanswered starts are tracked for as long as they may be carried out, and no longer."""

from dataclasses import replace

import trio
from heronthread_dispatch.fleet import ExecutorState, make_executor_state
from heronthread_dispatch.late_starts import (
    MAX_ORDER_DELAY_S,
    NOWHERE,
    RETRY_REFUSED_S,
    LateStart,
    LateStarts,
)
from heronthread_dispatch.model import NO_RESOURCES, Executor, ExecutorInstance, Resources, TaskKey
from heronthread_dispatch.step_state import Attempt

Clock = trio.testing.MockClock


def _make_attempt(run: int) -> Attempt:
    now = trio.current_time()
    return Attempt(
        TaskKey("a", 0, 0), run, ExecutorInstance("e0", 7), NO_RESOURCES, now, sent_at=now
    )


async def test_a_start_is_unresolved_until_its_maximum_delay_is_over(autojump_clock: Clock) -> None:
    starts = LateStarts()
    first = _make_attempt(1)
    starts.track(first)
    await trio.sleep(5.0)
    second = _make_attempt(2)
    starts.track(second)
    assert starts.list_unresolved("e0") == [LateStart(first.task, 1), LateStart(first.task, 2)]
    assert starts.list_unresolved("e1") == []
    await trio.sleep(MAX_ORDER_DELAY_S - 5.0)
    assert not starts.is_open(first)
    assert starts.is_open(second)


async def test_expired_starts_are_forgotten(autojump_clock: Clock) -> None:
    """Many orders may go unanswered, and an owner may last for weeks."""
    starts = LateStarts()
    for run in range(100):
        starts.track(_make_attempt(run))
        await trio.sleep(1.0)
    assert len(starts._until["e0"]) <= MAX_ORDER_DELAY_S + 1


def _make_state(name: str, born: int) -> ExecutorState:
    executor = Executor(name, name, "pool", "zone", "rack", (), Resources(8, 8, 8), born=born)
    state = make_executor_state(executor, trio.current_time())
    state.has_reported = True
    return state


async def test_a_task_with_an_unresolved_start_is_pinned_to_the_executor_that_refuses_it(
    autojump_clock: Clock,
) -> None:
    starts, first = LateStarts(), _make_attempt(1)
    states = {"e0": _make_state("e0", 7), "e1": _make_state("e1", 7)}
    starts.track(first)
    assert starts.find_required_executors(states) == {first.task: NOWHERE}
    starts.mark_refused(ExecutorInstance("e0", 7), first.task, 1)
    assert starts.find_required_executors(states) == {first.task: "e0"}
    starts.note_start_refused(first.task)
    assert starts.find_required_executors(states) == {first.task: NOWHERE}
    await trio.sleep(RETRY_REFUSED_S)
    states["e0"].unresponsive_since = trio.current_time()
    assert starts.find_required_executors(states) == {first.task: NOWHERE}
    states["e0"] = _make_state("e0", 9)
    assert starts.find_required_executors(states) == {first.task: NOWHERE}
    starts.mark_refused(ExecutorInstance("e0", 9), first.task, 1)
    assert starts.find_required_executors(states) == {first.task: "e0"}
    await trio.sleep(MAX_ORDER_DELAY_S)
    assert starts.find_required_executors(states) == {}


async def test_unresolved_starts_at_two_executors_withhold_a_task(
    autojump_clock: Clock,
) -> None:
    starts, first = LateStarts(), _make_attempt(1)
    states = {"e0": _make_state("e0", 7), "e1": _make_state("e1", 7)}
    other = replace(_make_attempt(2), instance=ExecutorInstance("e1", 7))
    for attempt in (first, other):
        starts.track(attempt)
        starts.mark_refused(attempt.instance, attempt.task, attempt.run)
    assert starts.find_required_executors(states) == {first.task: NOWHERE}


async def test_an_evacuated_executor_pins_no_task(autojump_clock: Clock) -> None:
    starts, first = LateStarts(), _make_attempt(1)
    states = {"e0": _make_state("e0", 7)}
    starts.track(first)
    states["e0"].evacuated = True
    assert starts.find_required_executors(states) == {first.task: NOWHERE}
    starts.mark_refused(ExecutorInstance("e0", 7), first.task, 1)
    assert starts.find_required_executors(states) == {}


async def test_an_answered_send_leaves_earlier_sends_unresolved(
    autojump_clock: Clock,
) -> None:
    starts, first = LateStarts(), _make_attempt(1)
    assert starts.track(first) == 0.0
    starts.settle(first)
    assert not starts.is_open(first)
    starts.track(first)
    await trio.sleep(1.0)
    first.sent_at = trio.current_time()
    starts.settle(first, starts.track(first))
    assert starts.is_open(first)
    await trio.sleep(MAX_ORDER_DELAY_S - 1.0)
    assert not starts.is_open(first)


async def test_starts_at_executors_without_a_start_time_are_not_tracked(
    autojump_clock: Clock,
) -> None:
    starts = LateStarts()
    starts.track(replace(_make_attempt(1), instance=ExecutorInstance("e0", 0)))
    assert starts.list_unresolved("e0") == []
