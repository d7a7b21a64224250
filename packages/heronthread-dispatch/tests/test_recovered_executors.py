"""Executors that answer again after being unresponsive, as the same or a new instance.

Work may be waiting for exactly this executor, and a long poll that it can't answer early delays it.
"""

import pytest
import trio
from heronthread_emulator import EmulatedSite, check_promises

Clock = trio.testing.MockClock
NOTICED_WITHIN_S = 0.9
"""The longest pause between probes of an unresponsive executor, and the round trips of one."""


@pytest.mark.parametrize("back_s", [0.3, 0.7, 1.0, 1.5, 2.0, 2.5, 3.0])
async def test_new_instance_of_an_unresponsive_executor_is_noticed_soon(
    autojump_clock: Clock, back_s: float
) -> None:
    """It has no run that could end, so a long poll is answered only after its full wait."""
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        await site.wait_for_owner()
        job = site.make_job("a", count=16, work_s=20.0)
        await site.hosts["h0"].requests.accept(job, 2.0)
        await trio.sleep(2.0)
        site.said_after_s = 5.0
        site.restart_executor("e0", back_s)
        await trio.sleep(back_s + NOTICED_WITHIN_S)
        born = site.executors.by_id["e0"].executor.born
        state = site.hosts["h0"].owner.cell.executors["e0"]
        assert (state.instance.born, state.has_reported) == (born, True)
        await trio.sleep(30.0)
        assert check_promises(site.executors, {}) == []
