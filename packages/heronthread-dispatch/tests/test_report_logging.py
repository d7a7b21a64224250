"""Logging of the executor instances that report."""

import eliot
import trio
from heronthread_emulator import EmulatedSite

Clock = trio.testing.MockClock


async def test_each_reporting_instance_is_logged_once(autojump_clock: Clock) -> None:
    lines: list[dict[str, object]] = []
    eliot.add_destinations(lines.append)
    try:
        async with EmulatedSite.open(hosts=1, executors=2) as site:
            await site.wait_for_owner()
            await site.hosts["h0"].requests.accept(site.make_job("a", work_s=3.0), 2.0)
            await trio.sleep(6.0)
    finally:
        eliot.remove_destination(lines.append)
    found = [line for line in lines if line["message_type"] == "executor.reports"]
    assert sorted(str(line["executor"]) for line in found) == ["e0", "e1"]
    assert all(line["noted"] == 0 and line["told_seen"] == 0 for line in found)
