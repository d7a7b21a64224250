"""A task runs twice at once: a new owner takes an executor without an entry as gone too early."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from site_standins import Caller, Record, find_overlaps, open_site, run_case

ZONES = {1: "miraflores", 2: "san-isidro", 3: "surco"}
EXECUTORS = 4
JOB = "5c0e7a21d94b36f8"
WORK_MS = 20_000
STORE_DOWN_S = 2.5
CALM_S = 8.0
UNLISTED_S = 0.5
CUT_S = 5.5
AFTER_S = 4.0


async def play(record: Record, trouble: bool) -> bool:
    """Stop the owner as planned while an executor that leaves unannounced is cut off."""
    async with open_site(record, ZONES, EXECUTORS) as site:
        if trouble:
            site.set_store_away(True)
        await asyncio.sleep(STORE_DOWN_S)
        if trouble:
            site.set_store_away(False)
        await asyncio.sleep(CALM_S)
        await Caller(site).submit(3, JOB, WORK_MS)
        while not site.list_runs():
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        number = next(n for n, state in site.executors.items() if state.running)
        pairs = [(f"h{host}", f"e{number}") for host in ZONES]
        if trouble:
            site.withdraw_entry(number)
        await asyncio.sleep(UNLISTED_S)
        if trouble:
            site.set_cut(pairs, True)
        site.send_signal(int(site.store.find_owner().removeprefix("h")), signal.SIGTERM)
        await asyncio.sleep(CUT_S)
        if trouble:
            site.set_cut(pairs, False)
        await asyncio.sleep(AFTER_S)
        await Caller(site).call(3, "GET", JOB)
        found = list(find_overlaps(site.list_runs()))
        for first, second in found:
            record.note(f"TWICE: {first} and {second}")
        return not found


if __name__ == "__main__":
    raise SystemExit(run_case(Path(__file__).resolve().parent, play))
