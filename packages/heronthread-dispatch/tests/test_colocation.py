"""Lasting tasks: restarts, separation of best-effort from serving tasks, disruption budgets."""

import trio
from heronthread_dispatch.model import StepSpec
from heronthread_dispatch.record import JobRecord, JobStatus
from heronthread_emulator import EmulatedSite

Clock = trio.testing.MockClock


def _count_running(site: EmulatedSite, job: str) -> dict[str, int]:
    counts: dict[str, int] = {}
    for name, executor in site.executors.by_id.items():
        count = sum(1 for run in executor.running.values() if run.task.job == job)
        if count:
            counts[name] = count
    return counts


def _make_serving_job(site: EmulatedSite, name: str, count: int, **more: object) -> JobRecord:
    return site.make_job(name, count=count, work_s=500.0, lasting=True, target_s=0.1, **more)


def _make_best_effort_job(site: EmulatedSite, name: str, count: int, **more: object) -> JobRecord:
    return site.make_job(name, count=count, work_s=500.0, lasting=True, fills=True, **more)


async def test_best_effort_tasks_run_apart_from_serving_tasks(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(executors=3) as site:
        await site.wait_for_owner()
        requests = site.hosts["h0"].requests
        await requests.accept(_make_serving_job(site, "serving", 3), 2.0)
        await requests.accept(_make_best_effort_job(site, "filling", 30), 2.0)
        await trio.sleep(2.0)
        assert set(_count_running(site, "serving")).isdisjoint(_count_running(site, "filling"))
        assert sum(_count_running(site, "serving").values()) == 3
        assert sum(_count_running(site, "filling").values()) > 0


async def test_best_effort_tasks_are_stopped_for_serving_tasks(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(executors=2) as site:
        await site.wait_for_owner()
        requests = site.hosts["h0"].requests
        await requests.accept(_make_best_effort_job(site, "filling", 10), 2.0)
        await trio.sleep(1.0)
        assert len(_count_running(site, "filling")) == 2
        await requests.accept(_make_serving_job(site, "serving", 2), 2.0)
        await trio.sleep(3.0)
        assert sum(_count_running(site, "serving").values()) == 2
        assert set(_count_running(site, "serving")).isdisjoint(_count_running(site, "filling"))


async def test_lasting_task_is_restarted_however_it_ends(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(executors=2) as site:
        await site.wait_for_owner()
        await site.hosts["h0"].requests.accept(_make_serving_job(site, "serving", 2), 2.0)
        await trio.sleep(1.0)
        for executor in site.executors.by_id.values():
            executor.fails_all = True
        await trio.sleep(2.0)
        for executor in site.executors.by_id.values():
            executor.fails_all = False
        await trio.sleep(8.0)
        assert sum(_count_running(site, "serving").values()) == 2
        view = await site.hosts["h0"].requests.find_job("serving")
        assert view.status is JobStatus.RUNNING
        assert len(site.executors.starts()) > 4


async def test_disruption_budget_limits_concurrent_stops(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(executors=2) as site:
        await site.wait_for_owner()
        requests = site.hosts["h0"].requests
        low = site.make_job("low", queue="batch", count=16, work_s=500.0, lasting=True, may_miss=2)
        await requests.accept(low, 2.0)
        await trio.sleep(1.0)
        for executor in site.executors.by_id.values():
            for run in executor.running.values():
                run.worked_s = run.work_s - 60.0
        site.executors.shown_percent = 100.0
        await trio.sleep(2.0)
        await requests.accept(site.make_job("claim", queue="urgent", count=4, work_s=30.0), 2.0)
        await trio.sleep(4.0)
        stopped = [e for e in site.executors.events if e.what == "stopped"]
        assert len(stopped) == 2
        assert _count_running(site, "low").keys() == {"e0", "e1"}
        assert sum(_count_running(site, "claim").values()) == 2


def test_lasting_step_keeps_its_fields(autojump_clock: Clock) -> None:
    step = StepSpec(1, (1, 2, 3), 1.0, lasting=True, target_s=0.2, fills=True, may_miss=3)  # type: ignore[arg-type]
    assert (step.serves, step.fills, step.may_miss) == (True, True, 3)
