"""What the owner's log says of the runs and starts that a stalled job waits for."""

from typing import Any

import trio
from heronthread_dispatch.executor_link import OrderOutcome, StartOrder
from heronthread_dispatch.log_writer import WHOLE_BYTES, LogWriter
from heronthread_dispatch.model import Executor, TaskKey
from heronthread_dispatch.wait_causes import WaitCause
from heronthread_emulator import EmulatedSite, captured_events

Clock = trio.testing.MockClock


def _cut_at_next_start(site: EmulatedSite) -> list[str]:
    """Partition the executor of the next start just before that arrives; return its name."""
    link: Any = site.executors
    start, found = link.start, list[str]()

    async def cut_first(executor: Executor, order: StartOrder) -> OrderOutcome:
        link.start = start
        site.executors.by_id[executor.id].is_cut = True
        found.append(executor.id)
        return await start(executor, order)

    link.start = cut_first
    return found


def _list_lines(events: list[dict[str, Any]], cause: WaitCause) -> list[dict[str, Any]]:
    lines = [e for e in events if e["message_type"] == "job.stands" and "told_by" not in e]
    return [line for line in lines if line["cause"] == cause.value]


async def test_line_shows_a_start_without_an_answer(autojump_clock: Clock) -> None:
    """Guards against a wait for a lost first start that looks like one for a lost run."""
    async with EmulatedSite.open(hosts=1, executors=8) as site:
        await site.wait_for_owner()
        await trio.sleep(8.0)
        lost = _cut_at_next_start(site)
        with captured_events() as events:
            await site.hosts["h0"].requests.accept(site.make_job("a", work_s=20.0), 2.0)
            await trio.sleep(5.0)
        lines = _list_lines(events, WaitCause.UNSETTLED_RUN)
        assert len(lines) >= 2
        for line in lines:
            (wait,) = line["waits"]
            assert (wait["executor"], wait["run"], wait["start"]) == (lost[0], 1, "no answer")
            assert wait["listed"]
            assert 0.0 < wait["left_s"] < 25.0
        first, second = (line["waits"][0] for line in lines[:2])
        assert first["reported_ago_s"] + 1.9 < second["reported_ago_s"]
        assert second["left_s"] < first["left_s"]


async def test_line_names_an_executor_not_yet_known_to_be_silent(autojump_clock: Clock) -> None:
    """Guards against a line that names no executor as its silence has not been noticed."""
    async with EmulatedSite.open(hosts=1, executors=8, says_born=False) as site:
        host = site.hosts[await site.wait_for_owner()]
        await trio.sleep(8.0)
        _cut_at_next_start(site)
        with captured_events() as events:
            await host.requests.accept(site.make_job("a", work_s=20.0), 2.0)
            while not _list_lines(events, WaitCause.UNSETTLED_RUN):
                await trio.sleep(0.1)
                assert host.owner is not None
                for state in host.owner.cell.executors.values():
                    state.unresponsive_since = None
        line = _list_lines(events, WaitCause.UNSETTLED_RUN)[0]
        assert line["silences"] == []
        (wait,) = line["waits"]
        assert wait["silent_s"] is None
        assert wait["reported_ago_s"] > 1.0


async def test_line_shows_a_run_at_an_executor_that_has_gone(autojump_clock: Clock) -> None:
    """Guards against a wait for a lost member of a gang that looks like one for a lost start."""
    async with EmulatedSite.open(hosts=1, executors=8, says_born=False) as site:
        await site.wait_for_owner()
        record = site.make_job("a", count=3, accelerators=8, gang=True, work_s=60.0)
        await site.hosts["h0"].requests.accept(record, 2.0)
        await trio.sleep(4.0)
        gone = site.executors.starts(TaskKey("a", 0, 1))[0].executor
        site.executors.by_id[gone].is_cut = True
        site.store.remove(f"executors/{gone}")
        with captured_events() as events:
            await trio.sleep(8.0)
        lines = _list_lines(events, WaitCause.UNSETTLED_RUN)
        assert lines, "its other members have ended"
        (wait,) = lines[-1]["waits"]
        assert (wait["executor"], wait["start"], wait["listed"]) == (gone, "answered", False)
        assert wait["silent_s"] is not None
        assert 0.0 < wait["left_s"] < 7.5


async def test_line_shows_a_start_that_may_be_late(autojump_clock: Clock) -> None:
    """Guards against a wait of 12 s and more for which the line names no executor."""
    async with EmulatedSite.open(hosts=1, executors=8) as site:
        await site.wait_for_owner()
        await trio.sleep(8.0)
        lost = _cut_at_next_start(site)
        with captured_events() as events:
            await site.hosts["h0"].requests.accept(site.make_job("a", work_s=60.0), 2.0)
            await trio.sleep(30.0)
            ended_at = trio.current_time() - 30.0
        lines = _list_lines(events, WaitCause.LATE_START)
        assert lines
        for line in lines:
            (wait,) = line["waits"]
            assert (wait["executor"], wait["run"], wait["start"]) == (lost[0], 1, "no answer")
        left_s = [line["waits"][0]["left_s"] for line in lines]
        assert left_s == sorted(left_s, reverse=True)
        started_at = [s.at for s in site.executors.starts(TaskKey("a", 0, 0))]
        assert len(started_at) == 1, "elsewhere, as soon as the wait is over"
        assert ended_at + lines[0]["for_s"] + left_s[0] + 1.0 > started_at[0]


async def test_line_with_many_waits_fits_into_an_atomic_pipe_write(autojump_clock: Clock) -> None:
    """All ids have 36 characters, and all executors of the job's runs are lost."""
    lines = LogWriter(host="h" * 36)
    async with EmulatedSite.open(hosts=1, executors=0) as site:
        for number in range(20):
            site.add_executor(f"{number:036}", "r0")
        await site.wait_for_owner()
        await trio.sleep(1.0)
        record = site.make_job("j" * 36, count=20, accelerators=8, work_s=60.0)
        await site.hosts["h0"].requests.accept(record, 2.0)
        await trio.sleep(1.0)
        for number in range(20):
            site.executors.by_id[f"{number:036}"].is_cut = True
        site.add_executor("free", "r0")
        with captured_events() as events:
            await trio.sleep(5.0)
        reports = [event for event in events if event["message_type"] == "job.stands"]
        report = max(reports, key=lambda report: len(str(report)))
        assert [len(report[name]) for name in ("waits", "runs", "silences")] == [4, 8, 8]
        lines(report)
        assert b'"cut"' not in lines.waiting[-1]
        assert len(lines.waiting[-1]) < WHOLE_BYTES
