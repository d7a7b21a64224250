"""Timing of the turns of tasks, and the log lines of long ones."""

import trio
from heronthread_dispatch.turn_monitor import HELD_S, WINDOW_S, TurnMonitor
from heronthread_emulator import captured_events

Clock = trio.testing.MockClock


async def _hold(clock: Clock, for_s: float) -> None:
    clock.jump(for_s)


async def test_a_long_turn_is_logged_with_its_task(mock_clock: Clock) -> None:
    """Guards against a loop that is held without a sign of what holds it."""
    with captured_events() as events, TurnMonitor() as monitor:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_hold, mock_clock, 2 * HELD_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_hold, mock_clock, HELD_S / 2)
        assert monitor.longest_s == 2 * HELD_S
    held = [event for event in events if event["message_type"] == "loop.held"]
    assert [event["took_s"] for event in held] == [2 * HELD_S]
    assert held[0]["task"].endswith("_hold")


async def test_the_longest_turn_is_that_of_the_last_minute(autojump_clock: Clock) -> None:
    with TurnMonitor() as monitor:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_hold, autojump_clock, 0.1)
        for _ in range(2):
            assert round(monitor.longest_s, 6) == 0.1
            await trio.sleep(WINDOW_S)
        await trio.sleep(0)
        assert monitor.longest_s == 0.0
