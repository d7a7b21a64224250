"""When a job that stands beside free room counts as a broken promise, on an emulated site."""

from collections.abc import Callable
from dataclasses import replace

import pytest
import trio
from heronthread_dispatch.model import (
    Executor,
    ExecutorInstance,
    JobSpec,
    Queue,
    Resources,
    Schedule,
    StepSpec,
    TaskKey,
)
from heronthread_emulator import EmulatedSite, Told
from heronthread_emulator.executors import Event
from heronthread_emulator.standing import PROMISE, Able, StandClock, Works, has_room
from heronthread_emulator.standing_site import StandingWitness

Clock = trio.testing.MockClock
TASK = TaskKey("a", 0, 0)
LONG_S = 4.0
"""Longer than the bound by more than two looks."""
OTHERS = ("e1", "e2", "e3")


class Stage:
    """A site with a job that was taken and that no host knows, so that nothing starts it."""

    def __init__(self, site: EmulatedSite, **job: object) -> None:
        self.site = site
        self.told = Told(site.make_job("a", **job), taken=True)  # type: ignore[arg-type]
        self.witness = StandingWitness(site, {"a": self.told})

    async def find_broken(self, after_s: float = LONG_S) -> list[str]:
        """Return the promises that are broken after a while."""
        await trio.sleep(after_s)
        return [violation.promise for violation in self.witness.close()]

    async def run_at(self, name: str, for_s: float) -> None:
        """Have a run of the job begin at an executor, and go on for a while."""
        self.site.executors.plant_run(name, TASK, 1)
        await trio.sleep(for_s)


async def test_job_that_nothing_starts_stands(autojump_clock: Clock) -> None:
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        assert await Stage(site).find_broken() == [PROMISE]


async def test_job_may_stand_for_a_while(autojump_clock: Clock) -> None:
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        assert await Stage(site).find_broken(2.7) == []


async def test_run_anywhere_begins_the_count_anew(autojump_clock: Clock) -> None:
    """A short one between two looks too, and one at an executor that is cut off is a run."""
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        stage = Stage(site)
        await trio.sleep(2.5)
        site.executors.plant_run("e0", TASK, 1, work_s=0.04)
        await trio.sleep(2.5)
        site.executors.plant_run("e0", TASK, 2)
        site.executors.by_id["e0"].is_cut = True
        assert await stage.find_broken() == []


async def test_time_counts_on_over_one_in_which_nobody_could_decide(autojump_clock: Clock) -> None:
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        stage = Stage(site)
        await trio.sleep(2.0)
        site.store.is_down = True
        await trio.sleep(6.0)
        assert stage.witness.clock.stands == []
        site.store.is_down = False
        assert await stage.find_broken(2.0) == [PROMISE]


@pytest.mark.parametrize("trouble", ["store", "owner's way", "no owner"])
async def test_time_without_an_owner_that_the_store_answers(
    autojump_clock: Clock, trouble: str
) -> None:
    async with EmulatedSite.open(hosts=1) as site:
        owner = await site.wait_for_owner()
        stage = Stage(site)
        if trouble == "store":
            site.store.is_down = True
        elif trouble == "no owner":
            site.kill_host(owner)
        else:
            site.views[owner].is_silent = True
        assert await stage.find_broken(8.0) == []


async def test_own_run_at_an_executor_that_answers_nobody(autojump_clock: Clock) -> None:
    """What ran there when it went may go on as far as anybody knows, for a holding time at most."""
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        stage = Stage(site)
        await stage.run_at("e0", 1.0)
        site.executors.by_id["e0"].is_cut = True
        site.executors.crash("e0")
        await trio.sleep(9.0)
        assert stage.witness.clock.longest_s == 0.0
        assert await stage.find_broken(5.0) == [PROMISE]


async def test_own_run_of_a_life_whose_address_answers_is_in_no_doubt(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        stage = Stage(site)
        await stage.run_at("e0", 1.0)
        site.executors.crash("e0")
        assert await stage.find_broken() == [PROMISE]


async def test_start_that_was_sent_and_not_answered(autojump_clock: Clock) -> None:
    """At an executor that answers nobody it may run; at one that answers it is in no doubt."""
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        stage = Stage(site)
        place = site.executors.by_id["e0"]
        site.executors.unanswered.add((place.executor.instance, TASK, 1))
        place.is_cut = True
        await trio.sleep(LONG_S)
        assert stage.witness.clock.longest_s == 0.0
        place.is_cut = False
        assert await stage.find_broken() == [PROMISE]


async def test_doubt_about_another_job_is_none(autojump_clock: Clock) -> None:
    """The old defect: a silent executor without anything of the job withheld it."""
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        stage = Stage(site)
        site.executors.plant_run("e0", TASK._replace(job="b"), 1)
        site.executors.by_id["e0"].is_cut = True
        assert await stage.find_broken() == [PROMISE]


@pytest.mark.parametrize(("gang", "broken"), [(False, [PROMISE]), (True, [])])
async def test_doubtful_task_excuses_itself_and_its_gang(
    autojump_clock: Clock, gang: bool, broken: list[str]
) -> None:
    """One of three ran at an executor that is cut off; the two others of a batch are nowhere."""
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        stage = Stage(site, count=3, gang=gang)
        await stage.run_at("e0", 1.0)
        site.executors.by_id["e0"].is_cut = True
        site.executors.crash("e0")
        assert await stage.find_broken() == broken


async def test_tasks_that_are_all_doubtful_excuse_their_job(autojump_clock: Clock) -> None:
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        stage = Stage(site, count=3)
        for member in range(3):
            site.executors.plant_run("e0", TASK._replace(member=member), 1)
        site.executors.by_id["e0"].is_cut = True
        site.executors.crash("e0")
        assert await stage.find_broken() == []


async def test_doubtful_task_does_not_excuse_another_step_whose_turn_has_come(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        stage = Stage(site)
        record = stage.told.record
        steps = (record.spec.steps[0], record.spec.steps[0])
        stage.told.record = replace(record, spec=replace(record.spec, steps=steps))
        await stage.run_at("e0", 1.0)
        site.executors.by_id["e0"].is_cut = True
        site.executors.crash("e0")
        assert await stage.find_broken() == [PROMISE]


@pytest.mark.parametrize(("gang", "broken"), [(False, [PROMISE]), (True, [])])
async def test_task_that_crashed_an_executor_excuses_itself_and_its_gang(
    autojump_clock: Clock, gang: bool, broken: list[str]
) -> None:
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        stage = Stage(site, count=3, gang=gang)
        await stage.run_at("e0", 0.3)
        site.executors.crash("e0")
        assert await stage.find_broken() == broken


@pytest.mark.parametrize(("age_s", "broken"), [(0.3, []), (1.0, [PROMISE])])
async def test_task_under_which_an_executor_crashed(
    autojump_clock: Clock, age_s: float, broken: list[str]
) -> None:
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        stage = Stage(site)
        await stage.run_at("e0", age_s)
        site.executors.crash("e0")
        assert await stage.find_broken() == broken


async def test_times_that_are_not_due(autojump_clock: Clock) -> None:
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        stage = Stage(site, schedule=Schedule(1, trio.current_time() + 10.0, 1.0))
        await trio.sleep(10.0)
        assert stage.witness.clock.longest_s == 0.0
        assert await stage.find_broken() == [PROMISE]


@pytest.mark.parametrize("why", ["not taken", "cancel asked", "done", "failed"])
async def test_job_that_nobody_owes_anything(autojump_clock: Clock, why: str) -> None:
    async with EmulatedSite.open() as site:
        await site.wait_for_owner()
        stage = Stage(site)
        stage.told.taken = why != "not taken"
        stage.told.cancel_asked = why == "cancel asked"
        for run in range(1, 5):
            if why in ("done", "failed"):
                site.executors.by_id["e0"].fails_all = why == "failed"
                site.executors.plant_run("e0", TASK, run, work_s=0.02)
                await trio.sleep(0.1)
        site.executors.by_id["e0"].fails_all = False
        assert await stage.find_broken() == []


def _cut(site: EmulatedSite, name: str) -> None:
    site.executors.by_id[name].is_cut = True


def _go(site: EmulatedSite, name: str) -> None:
    site.executors.crash(name)


def _fail(site: EmulatedSite, name: str) -> None:
    site.executors.by_id[name].fails_all = True


def _leave(site: EmulatedSite, name: str) -> None:
    site.drain_executor(name, 60.0)


def _delist(site: EmulatedSite, name: str) -> None:
    site.store.remove(f"executors/{name}")


def _overwrite(site: EmulatedSite, name: str) -> None:
    site.write_foreign(name, b"{}")


def _evacuate(site: EmulatedSite, name: str) -> None:
    site.evacuate(site.executors.by_id[name].executor.zone)


@pytest.mark.parametrize("take", [_cut, _go, _fail, _leave, _delist, _overwrite, _evacuate])
async def test_executors_that_could_not_take_it_are_no_room(
    autojump_clock: Clock, take: Callable[[EmulatedSite, str], None]
) -> None:
    """Eight tasks of one accelerator want 16: two executors are room enough, one is not."""
    async with EmulatedSite.open(zones=4) as site:
        await site.wait_for_owner()
        stage = Stage(site, count=8)
        for name in OTHERS[:2]:
            take(site, name)
        await trio.sleep(LONG_S)
        assert stage.witness.clock.close() != []
        stage = Stage(site, count=8)
        take(site, OTHERS[2])
        assert await stage.find_broken(2 * LONG_S) == []


def test_room_twice_over_and_half_in_use() -> None:
    step = StepSpec(4, Resources(1000, 1000, 1), 1.0)
    executor = Executor("e0", "e0", "pool", "zone", "r0", (), Resources(8000, 8000, 8))
    free, busy = Able(executor, Resources()), Able(executor, Resources(0, 0, 8))
    assert has_room([free], "pool", step, 4)
    assert not has_room([free], "pool", step, 5)
    assert not has_room([free], "other", step, 4)
    assert not has_room([free, busy], "pool", step, 4)
    assert has_room([free, free, busy], "pool", step, 8)


def test_each_stand_counts_for_itself() -> None:
    clock = StandClock()
    for look in range(40):
        clock.look(look * 0.2, {} if look == 14 else {"a": ""}, True)
    assert [round(stand.counted_s, 1) for stand in clock.stands] == []
    clock.look(8.0, {}, True)
    assert [round(stand.counted_s, 1) for stand in clock.stands] == [4.8]


@pytest.mark.parametrize("is_recorded", [False, True])
def test_work_that_is_done_waits_for_nothing_once_the_store_has_it(is_recorded: bool) -> None:
    """Its end was not taken note of, and the instance that listed it is over.

    A trace of the soak showed jobs that were done, recorded and shown as succeeded counted as
    standing for up to 7.0 s, as the executors that still listed their ends had started again.
    """
    queue = Queue("ordinary", "host", "/ordinary/", "pool", 1, 4, 3.0, 1.0)
    steps = (StepSpec(1, Resources(1000, 1000, 1), 1.0),)
    spec = JobSpec("a", queue, "first", "", steps, 0.0)
    works = Works(lambda instance, number: False, lambda instance: True, lambda task: is_recorded)
    key, instance = TaskKey(spec.id, 0, 0), ExecutorInstance("e0", 7)
    for what, number in (("start", 0), ("done", 1)):
        works.take(Event(1.0, what, key, 1, instance.id, number=number, born=instance.born))
    assert (works.list_ready(spec, 2.0) == []) is is_recorded
