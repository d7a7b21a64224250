import trio
from heronthread_dispatch.events import RepeatedEvents, describe_run
from heronthread_dispatch.model import ExecutorInstance, TaskKey
from heronthread_emulator import captured_events


async def test_equal_events_are_logged_at_a_limited_rate_and_counted(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Repeated refusals must not flood the log."""
    repeated = RepeatedEvents(period_s=5.0)
    with captured_events() as messages:
        for _ in range(10):
            repeated.log("call.refused", ("GET", 404), path="/a")
            await trio.sleep(1.0)
        repeated.log("call.refused", ("GET", 503), path="/b")
    assert [(m["path"], m["skipped"]) for m in messages] == [("/a", 0), ("/a", 4), ("/b", 0)]


async def test_a_few_details_of_equal_events_are_logged(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a log that hides which queues were refused."""
    repeated = RepeatedEvents(period_s=5.0)
    with captured_events() as messages:
        for path in ["/a", "/b", "/a", *(f"/{n}" for n in range(20))]:
            repeated.log("call.refused", ("GET", 404), detail=path, path=path)
        await trio.sleep(5.0)
        repeated.log("call.refused", ("GET", 404), detail="/a", path="/a")
    assert [m["path"] for m in messages] == ["/a", "/b", "/0", "/1", "/2", "/3", "/4", "/5", "/a"]
    assert [m["skipped"] for m in messages] == [0, 0, 1, 0, 0, 0, 0, 0, 14]


def test_a_run_is_described_by_searchable_fields() -> None:
    fields = describe_run(TaskKey("ab", 1, 2, 3), 4, ExecutorInstance("e0", 7))
    assert fields == {
        "job": "ab",
        "step": 1,
        "index": 2,
        "occurrence": 3,
        "run": 4,
        "executor": "e0",
        "born": 7,
    }
