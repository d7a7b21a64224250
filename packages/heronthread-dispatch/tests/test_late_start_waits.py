"""How long an unanswered start delays its job over several takeovers."""

from typing import Any

import trio
from heronthread_dispatch.executor_link import OrderOutcome, StartOrder
from heronthread_dispatch.late_starts import MAX_ORDER_DELAY_S
from heronthread_dispatch.model import Executor, TaskKey
from heronthread_emulator import EmulatedSite, Violation, check_promises
from heronthread_emulator.executors import MOST_HOLD_S
from heronthread_emulator.soak import run_seeded

SEED = 2
CLOCK_DRIFT = 1.02
"""The largest factor by which an executor's clock may be slow."""
RECORD_INTERVAL_S = 1.0
"""How old the recorded remaining time may be."""
OWNERS = 5
OWNER_LASTS_S = 2.5


async def _lose_owner(site: EmulatedSite) -> None:
    owner = site.owner_name()
    assert owner is not None
    site.kill_host(owner)


def _lose_answers(site: EmulatedSite) -> None:
    for place in site.executors.by_id.values():
        place.lose_answers = 1


def _lose_answers_from_next_start(site: EmulatedSite) -> None:
    """Let each executor lose one answer from the next start on, not that of the probe before it."""
    link: Any = site.executors
    start = link.start

    async def lose_answers(executor: Executor, order: StartOrder) -> OrderOutcome:
        link.start = start
        _lose_answers(site)
        return await start(executor, order)

    link.start = lose_answers


async def _run_takeovers(loses_start: bool) -> tuple[int, list[Violation]]:
    """Return the number of starts once the first run can't exist any more, and the violations.

    Each executor loses an answer: with `loses_start` that to the first start, else to a probe.
    """
    async with EmulatedSite.open(hosts=8, executors=6) as site:
        owner = await site.wait_for_owner()
        host = next(name for name in site.hosts if name != owner)
        await trio.sleep(1.0)
        if loses_start:
            _lose_answers_from_next_start(site)
        else:
            _lose_answers(site)
        await site.hosts[host].requests.accept(site.make_job("a", work_s=30.0), 2.0)
        task = TaskKey("a", 0, 0)
        while not site.executors.starts(task):
            await trio.sleep(0.01)
        sent_at, name = trio.current_time(), site.executors.starts(task)[0].executor
        await trio.sleep(0.1)
        await _lose_owner(site)
        site.restart_executor(name, 0.5)
        await trio.sleep(0.6)
        site.executors.by_id[name].is_cut = True
        for _ in range(OWNERS):
            await site.wait_for_owner()
            await trio.sleep(OWNER_LASTS_S)
            await _lose_owner(site)
        await site.wait_for_owner()
        over_at = sent_at + MAX_ORDER_DELAY_S + MOST_HOLD_S * CLOCK_DRIFT
        await trio.sleep(max(0.0, over_at - trio.current_time()) + RECORD_INTERVAL_S)
        return len(site.executors.starts(task)), check_promises(site.executors, {})


def test_an_owner_waits_only_for_the_remaining_delay_of_a_late_start() -> None:
    """The time for which an unanswered start may matter must not be counted anew by each owner.

    The executor starts again under its id and is partitioned before any owner reaches its new
    instance. That may carry out the start for `MAX_ORDER_DELAY_S`, and then runs it for
    `MOST_HOLD_S` at most.
    """
    assert run_seeded(SEED, _run_takeovers, False) == (2, [])


def test_the_wait_for_a_late_start_counts_the_time_before_the_second_owner() -> None:
    """Guards against the same in plays in which the start is not answered before its owner dies."""
    plays = [run_seeded(seed, _run_takeovers, True) for seed in (0, 3, 5)]
    assert plays == [(2, [])] * 3
