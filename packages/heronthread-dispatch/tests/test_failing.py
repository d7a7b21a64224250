"""Work keeps off executors that fail what they start, so that its attempts are not used up."""

import pytest
import trio
from heronthread_dispatch.fleet import FAILING_FOR_S, make_executor
from heronthread_dispatch.model import Executor, Resources
from heronthread_dispatch.policy import Policy
from heronthread_dispatch.record import JobStatus
from heronthread_emulator import EmulatedSite

Clock = trio.testing.MockClock


async def _count_failures(keep_off_failing: bool) -> int:
    """Return how many runs fail where two of eight executors fail all they start."""
    policy = Policy(keep_off_failing=keep_off_failing)
    async with EmulatedSite.open(hosts=1, executors=8, racks=1, policy=policy) as site:
        host = site.hosts[await site.wait_for_owner()]
        for name in ("e0", "e1"):
            site.executors.by_id[name].fails_all = True
        for number in range(40):
            job = site.make_job(f"{number:016x}", count=12, work_s=1.0, gang=True)
            await host.requests.accept(job, 2.0)
            await trio.sleep(0.4)
        await trio.sleep(20.0)
        assert host.owner is not None
        jobs = host.owner.cell.jobs.values()
        assert {job.status for job in jobs} == {JobStatus.SUCCEEDED}
        return sum(len(t.failed_runs) for job in jobs for s in job.steps for t in s.tasks)


async def test_fewer_runs_fail_at_executors_that_fail_all(autojump_clock: Clock) -> None:
    with_it = await _count_failures(True)
    without = await _count_failures(False)
    assert with_it < without


def test_an_executor_is_in_doubt_until_a_run_is_done_there() -> None:
    executor = Executor("e", "e", "pool", "z", "r", (), Resources(1, 1, 1))
    state = make_executor(executor, 0.0)
    state.note_failed(10.0)
    assert state.failing_until == pytest.approx(10.0 + FAILING_FOR_S)
    state.note_good()
    assert state.failing_until == 0.0
