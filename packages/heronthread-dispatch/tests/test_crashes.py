"""Tasks that crash executors are given up, also across owners, and other tasks are not blamed."""

import random

import pytest
import trio
from heronthread_dispatch.model import TaskKey
from heronthread_dispatch.record import JobStatus
from heronthread_emulator import EmulatedSite, Told, check_promises

Clock = trio.testing.MockClock
CRASH_S = 0.01


async def _submit(
    site: EmulatedSite,
    submitted: dict[str, Told],
    job: str,
    crashing: int | None = None,
    **more: object,
) -> None:
    """Submit a job whose member `crashing` crashes each executor that starts it."""
    record = site.make_job(job, **more)  # type: ignore[arg-type]
    if crashing is not None:
        site.executors.crashing[TaskKey(job, 0, crashing)] = CRASH_S
    submitted[job] = Told(record, taken=True)
    host = next(iter(site.hosts.values()))
    await host.requests.accept(record, 2.0)


def _count_crashes(site: EmulatedSite, task: TaskKey) -> int:
    return sum(e.what == "gone" for e in site.executors.events if e.task == task)


async def _kill_owner_after_crashes(
    site: EmulatedSite, task: TaskKey, times: int, after_s: float
) -> None:
    """Kill the owner `after_s` after each crash under a task; its host restarts at once."""
    for crashes in range(1, times + 1):
        with trio.move_on_after(20.0):
            while _count_crashes(site, task) < crashes:
                await trio.sleep(0.02)
        await trio.sleep(after_s)
        name = site.owner_name()
        if name is not None:
            site.kill_host(name)
            site.start_host(name)


async def _check(site: EmulatedSite, submitted: dict[str, Told], failed: set[str]) -> None:
    """Check the promises, and that exactly the jobs in `failed` were given up."""
    for job, job_view in submitted.items():
        job_view.shown = await site.find_status(job)
    assert check_promises(site.executors, submitted) == []
    assert {
        job for job, job_view in submitted.items() if job_view.shown is JobStatus.FAILED
    } == failed


async def test_task_that_crashes_executors_is_given_up_and_no_other(autojump_clock: Clock) -> None:
    submitted: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=2, executors=8) as site:
        await site.wait_for_owner()
        for number in range(12):
            await _submit(site, submitted, f"good{number}", count=2, work_s=6.0)
        await trio.sleep(1.5)
        await _submit(site, submitted, "bad", crashing=0, queue="urgent", accelerators=2)
        await trio.sleep(60.0)
        await _check(site, submitted, {"bad"})
        assert _count_crashes(site, TaskKey("bad", 0, 0)) == 2


async def test_gang_whose_member_crashes_executors_is_given_up(autojump_clock: Clock) -> None:
    submitted: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=2, executors=8) as site:
        await site.wait_for_owner()
        for number in range(6):
            await _submit(site, submitted, f"good{number}", count=2, work_s=6.0)
        await _submit(site, submitted, "bad", crashing=3, count=8, gang=True, accelerators=2)
        await trio.sleep(60.0)
        await _check(site, submitted, {"bad"})
        assert _count_crashes(site, TaskKey("bad", 0, 3)) <= 3


async def test_crashes_are_counted_across_owners(autojump_clock: Clock) -> None:
    """Each owner is killed 0.3 s after a crash, before another instance answers at the address."""
    submitted: dict[str, Told] = {}
    task = TaskKey("bad", 0, 0)
    async with EmulatedSite.open(hosts=4, executors=8) as site:
        await site.wait_for_owner()
        await _submit(site, submitted, "bad", crashing=0)
        await _kill_owner_after_crashes(site, task, times=3, after_s=0.3)
        await trio.sleep(60.0)
        await _check(site, submitted, {"bad"})
        assert _count_crashes(site, task) <= 3


async def test_jobs_complete_although_their_executors_crash(autojump_clock: Clock) -> None:
    """Executors crash on their own, one after the other, while the job runs."""
    submitted: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=2, executors=6) as site:
        await site.wait_for_owner()
        await _submit(site, submitted, "good", count=4, work_s=4.0)
        for _ in range(6):
            await trio.sleep(2.0)
            busy = [name for name, executor in site.executors.by_id.items() if executor.running]
            if busy:
                site.crash_executor(busy[0])
        await trio.sleep(40.0)
        await _check(site, submitted, set())


async def test_task_is_given_up_if_executors_restart_elsewhere(autojump_clock: Clock) -> None:
    """No other instance answers at the address: the entry is removed and the lease ends."""
    submitted: dict[str, Told] = {}
    task = TaskKey("bad", 0, 0)
    async with EmulatedSite.open(hosts=2, executors=8) as site:
        site.back_after_s = 300.0
        await site.wait_for_owner()
        await _submit(site, submitted, "bad", crashing=0)
        for number in range(8):
            await trio.sleep(10.0)
            site.store.remove(f"executors/e{number}")
        await _check(site, submitted, {"bad"})
        assert _count_crashes(site, task) == 2


async def test_partitioned_executors_blame_no_task(autojump_clock: Clock) -> None:
    """The same task has just started as its executor is partitioned, twice; both runs go on."""
    submitted: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=2, executors=6) as site:
        await site.wait_for_owner()
        await _submit(site, submitted, "good", work_s=3.0)
        for runs in (1, 2):
            while len(site.executors.starts()) < runs:
                await trio.sleep(0.02)
            site.executors.by_id[site.executors.starts()[-1].executor].is_cut = True
        await trio.sleep(40.0)
        await _check(site, submitted, set())


async def test_adopted_runs_are_not_recent_starts(autojump_clock: Clock) -> None:
    """An executor crashes 0.2 s after a new owner has adopted its run."""
    submitted: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=2, executors=2) as site:
        name = await site.wait_for_owner()
        await _submit(site, submitted, "good", work_s=30.0)
        await trio.sleep(5.0)
        site.kill_host(name)
        await trio.sleep(0.1)
        await site.wait_for_owner()
        owner = next(iter(site.hosts.values())).owner
        assert owner is not None
        while not owner.cell.jobs["good"].has_attempts:
            await trio.sleep(0.02)
        site.crash_executor(site.executors.starts()[0].executor)
        await trio.sleep(5.0)
        assert not owner.cell.jobs["good"].steps[0].has_suspects


async def test_executor_leaving_unannounced_blames_no_task(autojump_clock: Clock) -> None:
    """The executor's entry is removed while it still works; then another instance answers there."""
    submitted: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=2, executors=4) as site:
        await site.wait_for_owner()
        await _submit(site, submitted, "good", work_s=5.0)
        await trio.sleep(0.1)
        name = site.executors.starts()[0].executor
        site.store.remove(f"executors/{name}")
        await trio.sleep(0.3)
        site.crash_executor(name)
        await trio.sleep(30.0)
        await _check(site, submitted, set())
        assert all(
            not host.owner.cell.count_suspects() for host in site.hosts.values() if host.owner
        )


async def test_start_at_an_unnoticed_crashed_executor_blames_no_task(
    autojump_clock: Clock,
) -> None:
    """The start is answered at once with the fact that another instance is there."""
    submitted: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=2, executors=2) as site:
        await site.wait_for_owner()
        await trio.sleep(1.0)
        for name in ("e0", "e1"):
            site.executors.crash(name)
        await _submit(site, submitted, "good", work_s=2.0)
        await trio.sleep(0.1)
        owner = site.hosts[site.owner_name() or ""].owner
        assert owner is not None
        assert owner.cell.count_suspects() == 0


async def test_start_refused_by_a_down_executor_blames_no_task(
    autojump_clock: Clock,
) -> None:
    submitted: dict[str, Told] = {}
    async with EmulatedSite.open(hosts=2, executors=2) as site:
        site.back_after_s = 300.0
        await site.wait_for_owner()
        await trio.sleep(1.0)
        for name in ("e0", "e1"):
            site.crash_executor(name)
        await _submit(site, submitted, "good", work_s=2.0)
        await trio.sleep(2.0)
        owner = site.hosts[site.owner_name() or ""].owner
        assert owner is not None
        assert owner.cell.count_suspects() == 0


async def test_trial_counts_if_its_owner_dies_before_the_crash(
    autojump_clock: Clock,
) -> None:
    """The second crash comes 0.2 s after its owner was killed, so no owner can note it."""
    submitted: dict[str, Told] = {}
    task = TaskKey("bad", 0, 0)
    async with EmulatedSite.open(hosts=3, executors=8) as site:
        await site.wait_for_owner()
        await _submit(site, submitted, "bad", crashing=0)
        site.executors.crashing[task] = 0.3
        while len(site.executors.starts(task)) < 2:
            await trio.sleep(0.01)
        await trio.sleep(0.1)
        site.kill_host(site.owner_name() or "")
        await trio.sleep(40.0)
        await _check(site, submitted, {"bad"})
        assert _count_crashes(site, task) == 3


async def test_no_trial_starts_during_a_store_outage(autojump_clock: Clock) -> None:
    """The store fails after the first crash; the suspected task waits while other tasks go on."""
    submitted: dict[str, Told] = {}
    task = TaskKey("bad", 0, 0)
    async with EmulatedSite.open(hosts=2, executors=8) as site:
        await site.wait_for_owner()
        await _submit(site, submitted, "good", count=6, work_s=2.0)
        await _submit(site, submitted, "bad", crashing=0)
        while _count_crashes(site, task) < 1:
            await trio.sleep(0.01)
        await trio.sleep(0.1)
        site.store.is_down = True
        await trio.sleep(9.0)
        assert len(site.executors.starts(task)) == 1
        site.store.is_down = False
        await trio.sleep(30.0)
        await _check(site, submitted, {"bad"})


@pytest.mark.parametrize("back", ["another id", "dark", "the same id"])
@pytest.mark.parametrize("seed", range(3))
async def test_gangs_that_crash_all_their_executors_harm_no_other_job(
    seed: int, back: str, autojump_clock: Clock
) -> None:
    """Three gangs of four, each member of which crashes its executor 10 ms after its start.

    Guards against endless restarts if crashed executors stay unresponsive or lose their entries.
    """
    submitted: dict[str, Told] = {}
    draw = random.Random(seed)
    bad = [f"bad{number}" for number in range(3)]
    async with EmulatedSite.open(hosts=3, executors=8) as site:
        site.crashes_dark, site.keeps_ids = back == "dark", back == "the same id"
        await site.wait_for_owner()
        site.executors.crashing |= {TaskKey(job, 0, n): CRASH_S for job in bad for n in range(4)}
        for number in range(24):
            await trio.sleep(draw.uniform(0.0, 1.0))
            await _submit(site, submitted, f"good{number}", count=2, work_s=draw.uniform(2.0, 8.0))
            if number % 4 == 2 and bad:
                more = {"queue": draw.choice(["urgent", "ordinary"]), "accelerators": 8}
                await _submit(site, submitted, bad.pop(), count=4, gang=True, work_s=4.0, **more)
        await trio.sleep(150.0)
        await _check(site, submitted, {"bad0", "bad1", "bad2"})
        assert max(_count_crashes(site, task) for task in site.executors.crashing) <= 4


async def test_crashes_without_refusals_are_counted_across_owners(autojump_clock: Clock) -> None:
    """Each owner is killed 2.5 s after a crash, before the unresponsive executor's lease is over.

    Guards against crashes that are recorded only once that time is over.
    """
    submitted: dict[str, Told] = {}
    task = TaskKey("bad", 0, 0)
    async with EmulatedSite.open(hosts=4, executors=8) as site:
        site.crashes_dark = True
        await site.wait_for_owner()
        await _submit(site, submitted, "bad", crashing=0)
        await _kill_owner_after_crashes(site, task, times=6, after_s=2.5)
        await trio.sleep(60.0)
        await _check(site, submitted, {"bad"})
        assert _count_crashes(site, task) <= 4
