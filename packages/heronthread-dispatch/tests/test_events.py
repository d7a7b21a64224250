import os
import time

import trio
from heronthread_dispatch.events import MAX_WAITING_LINES, LineWriter, RepeatedEvents, describe_run
from heronthread_dispatch.model import TaskKey
from heronthread_emulator import captured_events


async def test_blocked_output_delays_nothing_and_loses_are_counted() -> None:
    """Nobody reads the pipe: lines are kept up to a bound, then dropped and counted."""
    reader, writer = os.pipe()
    lines = LineWriter(descriptor=writer, host="h1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lines.run)
        for number in range(3 * MAX_WAITING_LINES):
            lines({"message_type": "x", "number": number, "text": "y" * 100})
            if number % 500 == 0:
                await trio.sleep(0)
        await trio.sleep(0.3)
        assert lines.dropped > 0
        assert len(lines.waiting) <= MAX_WAITING_LINES
        nursery.cancel_scope.cancel()
    began = time.monotonic()
    lines.flush()
    assert time.monotonic() - began < 5
    os.close(reader)
    os.close(writer)


async def test_lines_name_their_host() -> None:
    reader, writer = os.pipe()
    lines = LineWriter(descriptor=writer, host="h1")
    lines({"message_type": "x", "task_uuid": "u", "task_level": [1]})
    lines.flush()
    assert os.read(reader, 1000) == b'{"message_type":"x","host":"h1"}\n'
    os.close(reader)
    os.close(writer)


async def test_equal_events_are_logged_once_in_a_while_and_counted(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """A record filled with equal refusals had no room left for the runs concerned."""
    repeated = RepeatedEvents(period_s=5.0)
    with captured_events() as messages:
        for _ in range(10):
            repeated.log("call.refused", ("GET", 404), path="/a")
            await trio.sleep(1.0)
        repeated.log("call.refused", ("GET", 503), path="/b")
    assert [(m["path"], m["skipped"]) for m in messages] == [("/a", 0), ("/a", 4), ("/b", 0)]


def test_a_run_is_named_by_fields_that_a_search_finds() -> None:
    fields = describe_run(TaskKey("ab", 1, 2, 3), 4, "e0")
    assert fields == {
        "job": "ab",
        "step": 1,
        "index": 2,
        "occurrence": 3,
        "run": 4,
        "executor": "e0",
    }
