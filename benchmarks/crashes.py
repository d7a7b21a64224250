"""What a task that crashes executors costs: `python -m benchmarks.crashes [SEEDS]`.

Plays an emulated site with 24 executors in 3 racks and 24 jobs that do no harm, beside tasks that
crash whatever starts them 10 ms later; executors are back after 3.3 s. For each kind of day it
prints the executors crashed for each such task (mean and most), the core-seconds of others' work
that went with them, how many other jobs were given up or not done, and the plays.
"""

from __future__ import annotations

import random
import sys
from dataclasses import dataclass

import eliot
import trio
from heronthread_dispatch.model import TaskKey
from heronthread_dispatch.record import JobStatus
from heronthread_emulator import EmulatedSite
from heronthread_emulator.soak import run_seeded

SEEDS = 20
EXECUTORS, RACKS, HOSTS = 24, 3, 4
INNOCENT_JOBS = 24
DAY_S = 90.0
CRASH_S = 0.01
ENTRY_GONE_S = 4.5


@dataclass(frozen=True, slots=True)
class Day:
    """One kind of day: the crashing jobs, tasks of each other job, and what happens beside.

    `whole`: every member of a gang crashes its executor, each of them a whole machine; `dark`: the
    machines go with them, so that their addresses say nothing more.
    """

    name: str
    crashing: int = 3
    members: int = 1
    tasks_each: int = 2
    trouble: tuple[str, ...] = ()
    whole: bool = False
    dark: bool = False


DAYS = (
    Day("alone", crashing=1, tasks_each=0),
    Day("crowded", tasks_each=6),
    Day("gangs of 8", members=8),
    Day("gangs of 39", crashing=1, members=39, tasks_each=1),
    Day("rack losses beside", trouble=("racks",)),
    Day("three owners killed", trouble=("owners",)),
    Day("store away", trouble=("store",)),
    Day("whole gangs", members=4, whole=True),
    Day("whole gangs, dark", members=4, whole=True, dark=True),
    Day("and racks, owners", members=4, whole=True, dark=True, trouble=("racks", "owners")),
)


@dataclass(slots=True)
class Cost:
    """What one play showed; `lost_core_s` is work of others that went with crashed executors."""

    crashes: list[int]
    lost_core_s: float = 0.0
    given_up: int = 0
    not_done: int = 0


class Play:
    """One day of one seed."""

    def __init__(self, site: EmulatedSite, day: Day, seed: int) -> None:
        self.site = site
        self.day = day
        self.random = random.Random(seed)
        self.innocent: list[str] = []
        self.bad: list[TaskKey] = []

    async def run(self) -> Cost:
        """Hand jobs in, bring the trouble about, and count."""
        self.site.crashes_dark = self.day.dark
        await self.site.wait_for_owner()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._hand_in_innocent)
            nursery.start_soon(self._hand_in_bad)
            trouble = {"racks": self._lose_racks, "owners": self._kill_owners}
            trouble["store"] = self._lose_store
            for name in self.day.trouble:
                nursery.start_soon(trouble[name])
            await trio.sleep(DAY_S)
        return await self._count()

    async def _hand_in(self, job: str, **more: object) -> None:
        record = self.site.make_job(job, **more)  # type: ignore[arg-type]
        for _ in range(40):
            host = self.site.any_host(self.random)
            if host is not None:
                outcome = await self.site.accept(host, record, 2.0)
                if type(outcome).__name__ == "Taken":
                    return
            await trio.sleep(0.5)

    async def _hand_in_innocent(self) -> None:
        for number in range(INNOCENT_JOBS if self.day.tasks_each else 0):
            job = f"good{number}"
            self.innocent.append(job)
            work_s = self.random.uniform(2.0, 9.0)
            await self._hand_in(job, count=self.day.tasks_each, work_s=work_s, accelerators=2)
            await trio.sleep(self.random.uniform(0.0, 1.0))

    async def _hand_in_bad(self) -> None:
        for number in range(self.day.crashing):
            await trio.sleep(self.random.uniform(0.5, 4.0))
            members = self.day.members
            job, one = f"bad{number}", self.random.randrange(members)
            for member in range(members) if self.day.whole else [one]:
                task = TaskKey(job, 0, member)
                self.site.executors.crashing[task] = CRASH_S
                self.bad.append(task)
            queue = self.random.choice(["urgent", "ordinary"])
            more = {"accelerators": 8} if self.day.whole else {}
            await self._hand_in(job, count=members, gang=members > 1, queue=queue, **more)

    async def _lose_racks(self) -> None:
        for _ in range(4):
            await trio.sleep(self.random.uniform(3.0, 8.0))
            rack = f"r{self.random.randrange(RACKS)}"
            for name, place in list(self.site.executors.by_id.items()):
                if place.executor.rack == rack and not place.is_gone:
                    self.site.crash_executor(name)

    async def _kill_owners(self) -> None:
        for _ in range(3):
            crashes = self._count_crashes()
            while self._count_crashes() == crashes and trio.current_time() < DAY_S - 10:
                await trio.sleep(0.05)
            await trio.sleep(self.random.uniform(0.0, 2.0))
            name = self.site.owner_name()
            if name is not None:
                self.site.kill_host(name)
                self.site.start_host(name)

    async def _lose_store(self) -> None:
        for _ in range(3):
            await trio.sleep(self.random.uniform(2.0, 5.0))
            self.site.store.is_down = True
            await trio.sleep(self.random.uniform(3.0, 6.0))
            self.site.store.is_down = False

    def _count_crashes(self) -> int:
        return sum(e.what == "gone" and e.task in self.bad for e in self.site.executors.events)

    async def _count(self) -> Cost:
        events = self.site.executors.events
        cost = Cost([sum(e.what == "gone" and e.task == task for e in events) for task in self.bad])
        crashed = {(e.executor, e.at) for e in events if e.what == "gone" and e.task in self.bad}
        starts = {(e.task, e.run): e.at for e in events if e.what == "start"}
        for event in events:
            took_down = (event.executor, event.at) in crashed
            if event.what == "gone" and took_down and event.task.job.startswith("good"):
                need = self.site.executors.specs[event.task.job][event.task.step].need
                cost.lost_core_s += (event.at - starts[event.task, event.run]) * need.cores
        for job in self.innocent:
            status = await self.site.find_status(job)
            cost.given_up += status is JobStatus.FAILED
            cost.not_done += status is not JobStatus.SUCCEEDED
        return cost


def play(day: Day, seed: int) -> Cost:
    """Play one day in simulated time."""
    return run_seeded(seed, _play, day, seed)


async def _play(day: Day, seed: int) -> Cost:
    async with EmulatedSite.open(hosts=HOSTS, executors=EXECUTORS, racks=RACKS) as site:
        return await Play(site, day, seed).run()


def main(seeds: int) -> None:
    """Print a row for each kind of day."""
    eliot.add_destinations(lambda message: None)
    print("| day | crashes a task | most | core-s lost | given up | not done | plays |")
    print("|---|---|---|---|---|---|---|")
    for day in DAYS:
        costs = [play(day, seed) for seed in range(seeds)]
        crashes = [count for cost in costs for count in cost.crashes]
        lost = sum(cost.lost_core_s for cost in costs) / len(costs)
        given_up = sum(cost.given_up for cost in costs)
        not_done = sum(cost.not_done for cost in costs)
        mean = sum(crashes) / len(crashes)
        row = [day.name, f"{mean:.1f}", max(crashes), f"{lost:.0f}", given_up, not_done, len(costs)]
        print("| " + " | ".join(str(cell) for cell in row) + " |", flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else SEEDS)
