"""Log lines about removed and restored directory entries."""

from typing import Any

import trio
from heronthread_dispatch.log_writer import WHOLE_BYTES, LogWriter
from heronthread_emulator import EmulatedSite, captured_events

Clock = trio.testing.MockClock
KINDS = ("executor.delisted", "executor.listed")


def _pick(events: list[dict[str, Any]]) -> list[dict[str, Any]]:
    return [event for event in events if event["message_type"] in KINDS]


async def test_a_removed_and_restored_entry_is_logged_with_its_runs(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        host = site.hosts[await site.wait_for_owner()]
        await host.requests.accept(site.make_job("a", count=2, work_s=30.0), 2.0)
        await trio.sleep(1.0)
        with captured_events() as events:
            site.store.remove("executors/e0")
            await trio.sleep(2.0)
            site.say("e0")
            await trio.sleep(2.0)
        gone, back = _pick(events)
        assert [line["message_type"] for line in (gone, back)] == list(KINDS)
        for line in (gone, back):
            assert (line["executors"], line["count"], line["runs"]) == (["e0"], 1, 2)
            assert [run["job"] for run in line["held"]] == ["a", "a"]
        assert 1.9 < back["absent_s"][0] == back["absent_s"][1] < 2.5


async def test_entries_removed_together_share_one_line(autojump_clock: Clock) -> None:
    """176 entries with long ids and running tasks must fit one line."""
    names, lines = [f"{number:036}" for number in range(176)], LogWriter()
    async with EmulatedSite.open(hosts=1, executors=0) as site:
        for name in names:
            site.add_executor(name, "r0")
        host = site.hosts[await site.wait_for_owner()]
        await trio.sleep(1.0)
        record = site.make_job("j" * 36, count=176, accelerators=8, work_s=90.0)
        await host.requests.accept(record, 2.0)
        await trio.sleep(2.0)
        with captured_events() as events:
            for name in names:
                site.store.remove(f"executors/{name}")
            await trio.sleep(3.0)
            for name in names:
                site.say(name)
            await trio.sleep(3.0)
        told = _pick(events)
        assert [(line["message_type"], line["count"]) for line in told] == [
            (kind, 176) for kind in KINDS
        ]
        for line in told:
            lines(line)
            assert b'"cut"' not in lines.waiting[-1]
            assert len(lines.waiting[-1]) < WHOLE_BYTES


async def test_rewritten_entries_are_not_logged(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        with captured_events() as events:
            for _ in range(4):
                await trio.sleep(1.5)
                for name in site.executors.by_id:
                    site.say(name)
        assert _pick(events) == []
