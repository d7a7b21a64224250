"""How long runs at an executor may last after an order, on a clock that may be slow."""

import pytest
from heronthread_dispatch.fleet import make_executor_state
from heronthread_dispatch.model import Executor, Resources
from heronthread_dispatch.owned_cell import Timing

SLOWEST_RATE = 0.98
"""The slowest that an executor's clock may run."""
ANSWER_S = 0.001
POLLS = 200


def _read_ms(now: float) -> int:
    """Return an executor's slow clock; it began with trio's."""
    return int(now * SLOWEST_RATE * 1000)


@pytest.mark.parametrize("poll_s", [0.35, 1.0, 1.3])
def test_runs_last_no_longer_after_an_order_than_the_next_owner_assumes(poll_s: float) -> None:
    """Guards against deadlines computed from a clock reading that is kept for too long.

    Long polls have long round trips, so the short first reading looks more precise than theirs.
    """
    timing = Timing()
    executor = Executor("e0", "e0", "pool", "zone", "r0", (), Resources(8, 8, 8))
    state = make_executor_state(executor, 0.0)
    now = 2 * ANSWER_S
    state.read_clock(0.0, now, _read_ms(ANSWER_S))
    for _ in range(POLLS):
        until_ms = state.deadline_ms(now, timing.executor_lease_s)
        assert until_ms is not None
        assert until_ms / 1000 / SLOWEST_RATE - now <= timing.max_run_after_order_s
        sent, now = now, now + poll_s
        state.read_clock(sent, now, _read_ms(now - ANSWER_S))
