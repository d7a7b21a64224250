"""Failure domains in the overview for operators."""

import trio
from heronthread_dispatch.overview import describe_cell
from heronthread_emulator import EmulatedSite

Clock = trio.testing.MockClock


async def test_overview_shows_domains_and_what_guarantees_lack(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1, executors=6, zones=3) as site:
        host = site.hosts[await site.wait_for_owner()]
        assert host.owner is not None
        await host.requests.accept(site.make_job("a", count=48, work_s=9.0), 2.0)
        await trio.sleep(1.0)
        for domain in ("z0", "z1", "z7"):
            site.evacuate(domain)
        await trio.sleep(0.3)
        shown = describe_cell(host.owner.cell, host.configuration.state, "h0")
        assert shown["short by"] == 16
        assert shown["domains"] == [
            _row("z0", "operator", 2),
            _row("z1", "operator", 2),
            _row("z2", "", 2),
            _row("z7", "operator", 0),
        ]
        evacuated = [row["evacuated"] for row in shown["executors"]]
        assert sorted(evacuated) == [False] * 2 + [True] * 4


def _row(domain: str, asked_by: str, executors: int) -> dict[str, object]:
    return {
        "domain": domain,
        "evacuated": bool(asked_by),
        "asked by": asked_by,
        "known for s": 0.3 if asked_by else None,
        "executors": executors,
        "runs": 8 * executors,
        "accelerators": 8 * executors,
    }
