"""Jobs whose first start gets no answer, as its executor is lost just before or during the send.

There is ample capacity elsewhere, and the owner and the store are well.
"""

from itertools import product
from typing import Any

import trio
from heronthread_dispatch.executor_link import OrderOutcome, StartOrder
from heronthread_dispatch.model import Executor, TaskKey
from heronthread_emulator import EmulatedSite, check_promises

Clock = trio.testing.MockClock
MAX_DELAY_S = 3.0
"""How long a ready job with ample capacity may have nothing running."""
SINCE_REPORT_S = 1.0
GANG_SIZE = 3
SETTLE_S = 30.0
LOSS_KINDS = ("partitioned", "crashed dark")
CASES = tuple(product(LOSS_KINDS, ("task", "gang")))


def _lose_executor(site: EmulatedSite, name: str, way: str) -> None:
    site.keeps_addresses, site.crashes_dark = False, True
    if way == "partitioned":
        site.executors.by_id[name].is_cut = True
    else:
        site.crash_executor(name)


async def _submit(site: EmulatedSite, job: str, kind: str, work_s: float) -> set[TaskKey]:
    count = GANG_SIZE if kind == "gang" else 1
    record = site.make_job(job, count=count, accelerators=8, gang=kind == "gang", work_s=work_s)
    await site.hosts["h0"].requests.accept(record, 2.0)
    return {TaskKey(job, 0, member) for member in range(count)}


def _list_running(site: EmulatedSite) -> set[TaskKey]:
    reachable = [p for p in site.executors.by_id.values() if not p.is_cut]
    return {run.task for place in reachable for run in place.running.values()}


def _lose_at_next_start(site: EmulatedSite, way: str) -> None:
    """Lose the executor of the next start just before that arrives."""
    link: Any = site.executors
    start = link.start

    async def lose_first(executor: Executor, order: StartOrder) -> OrderOutcome:
        link.start = start
        _lose_executor(site, executor.id, way)
        return await start(executor, order)

    link.start = lose_first


async def test_executor_lost_after_its_last_report_delays_no_job(autojump_clock: Clock) -> None:
    """Guards against starts sent to executors that have been lost since their last report."""
    delayed = []
    for way, kind in CASES:
        async with EmulatedSite.open(hosts=1, executors=8) as site:
            await site.wait_for_owner()
            await _submit(site, "a", kind, work_s=1.0)
            await trio.sleep(1.0 + SINCE_REPORT_S)
            _lose_executor(site, min(start.executor for start in site.executors.starts()), way)
            wanted = await _submit(site, "b", kind, work_s=20.0)
            await trio.sleep(MAX_DELAY_S)
            if _list_running(site) != wanted:
                delayed.append((way, kind))
            await trio.sleep(SETTLE_S)
            assert check_promises(site.executors, {}) == []
    assert delayed == []


async def _find_delayed_by_lost_starts(says_born: bool) -> list[tuple[str, str]]:
    """Return the cases in which a job has nothing running for long after its first start."""
    delayed = []
    for way, kind in CASES:
        async with EmulatedSite.open(hosts=1, executors=8, says_born=says_born) as site:
            await site.wait_for_owner()
            await trio.sleep(8.0)
            _lose_at_next_start(site, way)
            wanted = await _submit(site, "a", kind, work_s=20.0)
            await trio.sleep(MAX_DELAY_S)
            if _list_running(site) != wanted:
                delayed.append((way, kind))
            await trio.sleep(SETTLE_S)
            assert check_promises(site.executors, {}) == []
    return delayed


async def test_idle_executor_lost_during_a_start_delays_no_job(autojump_clock: Clock) -> None:
    """Guards against waits for a lease that the unanswered start itself has extended."""
    assert await _find_delayed_by_lost_starts(says_born=False) == []


async def test_lost_start_delays_no_job_where_instances_share_ids(autojump_clock: Clock) -> None:
    """Guards against waits for a later instance that might carry the start out."""
    assert await _find_delayed_by_lost_starts(says_born=True) == []
