"""How tokens and late deadlines act on the state of an executor."""

from dataclasses import replace

import trio
from heronthread_dispatch.executor_link import Refusal, Refused
from heronthread_dispatch.fleet import ExecutorState, WorkRefusal, make_executor_state
from heronthread_dispatch.instance_fences import InstanceFences
from heronthread_dispatch.late_deadlines import NEVER
from heronthread_dispatch.late_starts import MAX_ORDER_DELAY_S
from heronthread_dispatch.model import Executor, Resources

Clock = trio.testing.MockClock
LONGEST_RUN_S = 10.6
EXECUTOR = Executor("e0", "e0", "pool", "zone", "rack", (), Resources(1000, 100, 1), born=1)


def _make_state(born: int) -> ExecutorState:
    return make_executor_state(replace(EXECUTOR, born=born), trio.current_time())


async def test_own_deadlines_are_refused_by_a_later_token_only(autojump_clock: Clock) -> None:
    fences, state = InstanceFences(7, NEVER, LONGEST_RUN_S), _make_state(2)
    fences.deadlines.note_sent(EXECUTOR.instance)
    sent_at = trio.current_time()
    fences.expose(state)
    assert state.late_orders_until == sent_at + MAX_ORDER_DELAY_S
    assert state.lease_ends_by == sent_at + MAX_ORDER_DELAY_S + LONGEST_RUN_S
    state.has_reported = state.recorded = True
    await trio.sleep(1.0)
    assert state.find_refusal(trio.current_time()) is WorkRefusal.NOT_FENCED
    assert fences.needs_token(state) and not fences.confirm(state, 7)
    fences.assign_token(state, 8)
    assert state.needs_fence and not fences.confirm(state, 7)
    assert fences.confirm(state, 8)
    assert not state.needs_fence and not fences.needs_token(state)
    assert state.accepts_work(trio.current_time())
    assert state.lease_ends_by == sent_at + 1.0 + LONGEST_RUN_S
    await trio.sleep(1.0)
    assert not fences.confirm(state, 8)
    assert state.lease_ends_by == sent_at + 1.0 + LONGEST_RUN_S


async def test_deadlines_of_earlier_owners_are_refused_by_the_term(autojump_clock: Clock) -> None:
    fences, state = InstanceFences(7, 13.2, LONGEST_RUN_S), _make_state(2)
    fences.expose(state)
    assert state.late_orders_until == 13.2 and not fences.needs_token(state)
    assert fences.confirm(state, 7)
    assert state.lease_ends_by == trio.current_time() + LONGEST_RUN_S


async def test_no_token_is_needed_once_no_deadline_can_be_late(autojump_clock: Clock) -> None:
    fences, state = InstanceFences(7, NEVER, LONGEST_RUN_S), _make_state(2)
    fences.deadlines.note_sent(EXECUTOR.instance)
    fences.expose(state)
    await trio.sleep(MAX_ORDER_DELAY_S)
    assert not fences.needs_token(state)
    assert state.late_orders_until <= trio.current_time()


async def test_end_of_earlier_orders_limits_the_exposure(autojump_clock: Clock) -> None:
    fences, state = InstanceFences(7, 13.2, LONGEST_RUN_S), _make_state(2)
    fences.expose(state)
    fences.limit_earlier(5.0, [state])
    assert state.lease_ends_by == 5.0 + LONGEST_RUN_S
    assert fences.deadlines.earlier_until == 5.0


async def test_refusal_of_an_outdated_token_shows_no_newer_owner(autojump_clock: Clock) -> None:
    fences, fenced = InstanceFences(7, NEVER, LONGEST_RUN_S), Refused(Refusal.FENCED)
    assert fences.shows_newer_owner("e0", 7, fenced)
    assert not fences.shows_newer_owner("e0", 7, Refused(Refusal.OLD_RUN))
    fences.assign_token(_make_state(2), 8)
    assert not fences.shows_newer_owner("e0", 7, fenced)
    assert fences.shows_newer_owner("e0", 8, fenced)
