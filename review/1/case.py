"""A task runs twice at once when two hosts that lost the store agree that it is down for all."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from site_standins import Caller, Record, find_overlaps, open_site, run_case

ZONES = {1: "miraflores", 2: "miraflores", 3: "san-isidro", 4: "san-isidro", 5: "san-isidro"}
CUT_HOSTS = (1, 2)
OTHER_HOSTS = (3, 4, 5)
EXECUTORS = 6
JOB = "5c0e7a21d94b36f8"
WORK_MS = 30_000
CUT_S = 11.0
EXECUTOR_CUT_AFTER_S = 2.0
EXECUTOR_CUT_S = 10.0
AFTER_S = 6.0


async def play(record: Record, trouble: bool) -> bool:
    """Cut the owner and its neighbour off from the store and the other zone's hosts."""
    async with open_site(record, ZONES, EXECUTORS) as site:
        await Caller(site).submit(3, JOB, WORK_MS)
        while not site.list_runs():
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        number = next(n for n, state in site.executors.items() if state.running)
        pairs = [(f"h{host}", "store") for host in CUT_HOSTS]
        pairs += [(f"h{one}", f"h{other}") for one in CUT_HOSTS for other in OTHER_HOSTS]
        paths = [(f"h{host}", f"e{number}") for host in OTHER_HOSTS]
        await site.store.wait_renewal(1)
        await asyncio.sleep(0.05)
        if trouble:
            site.set_cut(pairs, True)
        await asyncio.sleep(EXECUTOR_CUT_AFTER_S)
        if trouble:
            site.set_cut(paths, True)
        await asyncio.sleep(CUT_S - EXECUTOR_CUT_AFTER_S)
        if trouble:
            site.set_cut(pairs, False)
        await asyncio.sleep(EXECUTOR_CUT_AFTER_S + EXECUTOR_CUT_S - CUT_S)
        if trouble:
            site.set_cut(paths, False)
        await asyncio.sleep(AFTER_S)
        await Caller(site).call(3, "GET", JOB)
        found = list(find_overlaps(site.list_runs()))
        for first, second in found:
            record.note(f"TWICE: {first} and {second}")
        return not found


if __name__ == "__main__":
    raise SystemExit(run_case(Path(__file__).resolve().parent, play))
