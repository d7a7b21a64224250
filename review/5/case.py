"""Sixteen jobs with a time each minute of a week come beside small ones: does work go on?"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "4"))

from standins import Bystanders, Site, run_case  # noqa: E402

EXECUTORS = 10
CAPACITY = {"cpu": 64000, "mem-mb": 262144, "gpus": 8}
NEED = {"cpu": 500, "mem-mb": 256}
JOBS = 16
TASKS = 4
TIMES = 7 * 24 * 60
"""Once a minute for a week, from the next hour on: 40,320 tasks, of 50,000 that a job may have."""
STEADY_S = 9.0
TRAFFIC_S = 24.0
FINISH_S = 14.0


async def play(site: Site, is_troubled: bool) -> bool:
    """Play the case; return whether the rule held."""
    await site.start(EXECUTORS, CAPACITY)
    await asyncio.sleep(1.0)
    bystanders = Bystanders(site, NEED)
    await bystanders.send_for(STEADY_S)
    before = bystanders.find_standing(3.0)
    assert not before, f"work stood before the disruption: {before}"
    spec = {"work_s": 1.0, "need": NEED}
    schedule = {
        "repeat-count": TIMES,
        "start-at-ms": int((time.time() + 3600) * 1000),
        "interval-ms": 60_000,
    }
    for number in range(JOBS if is_troubled else 0):
        job = f"{number + 1:016x}"
        step = {"count": TASKS, **NEED, "estimated-ms": 1000}
        if not await site.submit("usual", job, spec, job_fields=schedule, **step):
            site.record.note("not.taken", job=job)  # the hosts may be gone by now
    await bystanders.send_for(TRAFFIC_S)
    await asyncio.sleep(FINISH_S)
    return await bystanders.judge()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
