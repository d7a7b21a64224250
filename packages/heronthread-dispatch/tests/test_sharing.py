"""Lasting tasks: kept at work, apart from what disturbs them, and not taken away too often."""

import trio
from heronthread_dispatch.model import StepSpec
from heronthread_dispatch.record import JobRecord, JobStatus
from heronthread_emulator import EmulatedSite

Clock = trio.testing.MockClock


def _places(site: EmulatedSite, job: str) -> dict[str, int]:
    places: dict[str, int] = {}
    for name, place in site.executors.by_id.items():
        count = sum(1 for run in place.running.values() if run.task.job == job)
        if count:
            places[name] = count
    return places


def _serving(site: EmulatedSite, name: str, count: int, **more: object) -> JobRecord:
    return site.make_job(name, count=count, work_s=500.0, lasting=True, target_s=0.1, **more)


def _filling(site: EmulatedSite, name: str, count: int, **more: object) -> JobRecord:
    return site.make_job(name, count=count, work_s=500.0, lasting=True, fills=True, **more)


async def test_what_fills_runs_apart_from_what_serves(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(executors=3) as site:
        await site.wait_for_owner()
        requests = site.hosts["h0"].requests
        await requests.accept(_serving(site, "serving", 3), 2.0)
        await requests.accept(_filling(site, "filling", 30), 2.0)
        await trio.sleep(2.0)
        assert set(_places(site, "serving")).isdisjoint(_places(site, "filling"))
        assert sum(_places(site, "serving").values()) == 3
        assert sum(_places(site, "filling").values()) > 0


async def test_what_fills_makes_way_for_what_serves(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(executors=2) as site:
        await site.wait_for_owner()
        requests = site.hosts["h0"].requests
        await requests.accept(_filling(site, "filling", 10), 2.0)
        await trio.sleep(1.0)
        assert len(_places(site, "filling")) == 2
        await requests.accept(_serving(site, "serving", 2), 2.0)
        await trio.sleep(3.0)
        assert sum(_places(site, "serving").values()) == 2
        assert set(_places(site, "serving")).isdisjoint(_places(site, "filling"))


async def test_lasting_task_is_started_again_however_it_ended(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(executors=2) as site:
        await site.wait_for_owner()
        await site.hosts["h0"].requests.accept(_serving(site, "serving", 2), 2.0)
        await trio.sleep(1.0)
        for place in site.executors.by_id.values():
            place.fails_all = True
        await trio.sleep(2.0)
        for place in site.executors.by_id.values():
            place.fails_all = False
        await trio.sleep(8.0)
        assert sum(_places(site, "serving").values()) == 2
        view = await site.hosts["h0"].requests.find_job("serving")
        assert view.status is JobStatus.RUNNING
        assert len(site.executors.starts()) > 4


async def test_only_so_many_of_a_step_are_taken_away_at_once(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(executors=2) as site:
        await site.wait_for_owner()
        requests = site.hosts["h0"].requests
        low = site.make_job("low", queue="batch", count=16, work_s=500.0, lasting=True, may_miss=2)
        await requests.accept(low, 2.0)
        await trio.sleep(1.0)
        for place in site.executors.by_id.values():
            for run in place.running.values():
                run.worked_s = run.work_s - 60.0
        site.executors.shown_percent = 100.0
        await trio.sleep(2.0)
        await requests.accept(site.make_job("claim", queue="urgent", count=4, work_s=30.0), 2.0)
        await trio.sleep(4.0)
        stopped = [e for e in site.executors.events if e.what == "stopped"]
        assert len(stopped) == 2
        assert _places(site, "low").keys() == {"e0", "e1"}
        assert sum(_places(site, "claim").values()) == 2


def test_lasting_steps_are_stored_whole(autojump_clock: Clock) -> None:
    step = StepSpec(1, (1, 2, 3), 1.0, lasting=True, target_s=0.2, fills=True, may_miss=3)  # type: ignore[arg-type]
    assert (step.serves, step.fills, step.may_miss) == (True, True, 3)
