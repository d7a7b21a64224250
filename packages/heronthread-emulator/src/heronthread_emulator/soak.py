"""A seeded soak: callers, operators and faults on an emulated site, then the checker."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass, field
from typing import TypeVar

import trio
import trio.testing
from heronthread_dispatch.intake import NotTaken, Taken, Unsettled
from heronthread_dispatch.model import Executor, Schedule
from heronthread_dispatch.owner import JobView
from trio._core import _run as trio_run

from .checker import (
    Told,
    Violation,
    check_capacity,
    check_evacuations,
    check_foreign,
    check_places,
    check_promises,
)
from .executors import EmulatedExecutor
from .site import ENTRIES, EmulatedSite
from .soak_executors import ExecutorTroubles
from .soak_limits import LIMITED_EXECUTORS, FailingOutages, LimitedLoad
from .soak_power import PowerLosses
from .standing_site import StandingWitness

Played = TypeVar("Played")

FAULTS_S = 30.0
JOBS = 40
SETTLE_S = 90.0
"""Seed 103 with restarts, crashing work and outages had all done 66.6 s after the last fault."""
HOSTS = 4
EXECUTORS = 6
ZONES = 3
EVACUATIONS = 2
"""At most so many in a day; a seed in three has none."""
CALLER_TRIES = 5
SCHEDULED_SHARE = 0.2
CANCELLED_SHARE = 0.25
LONG_SHARE = 0.1
LONG_S = 40.0
"""Jobs that would outlast every order that is late; each of them is cancelled."""
ENTRY_LAPSE_S = (3.0, 4.5)
"""An entry goes after three heartbeats of 1.5 s, the first of which may have come just before."""


@dataclass(slots=True)
class SoakResult:
    """One seed's outcome."""

    seed: int
    violations: list[Violation] = field(default_factory=list)
    faults: Counter[str] = field(default_factory=Counter)
    jobs: int = 0
    starts: int = 0


class Soak:
    """One run of a site under faults drawn from a seed."""

    def __init__(
        self, site: EmulatedSite, seed: int, only: Collection[str] = (), has_limits: bool = False
    ) -> None:
        self.site = site
        self._limits = LimitedLoad(site.executors, seed) if has_limits else None
        self.random = random.Random(seed)
        self.operator = random.Random(f"operator {seed}")
        self.told: dict[str, Told] = {}
        self.result = SoakResult(seed)
        self.troubles = ExecutorTroubles(site, seed, only)
        self.power = PowerLosses(site, seed, only)
        self.outages = FailingOutages(site, seed, only)
        self.standing = StandingWitness(site, self.told)
        self._version = 1
        self._next_host = HOSTS
        self._next_executor = len(site.executors.by_id)
        self._faults: list[Callable[[], Awaitable[None]]] = [
            self.kill_owner,
            self.kill_all,
            self.stop_owner,
            self.store_down,
            self.store_lapses,
            self.owner_cut_from_store,
            self.lose_store_answers,
            self.break_store_connections,
            self.owner_restarts,
            self.orders_late_over_takeover,
            self.forget_history,
            self.executor_silent,
            self.executor_crashes,
            self.executor_leaves,
            self.executor_fails_all,
            self.executor_stands_still,
            self.executor_slow,
            self.late_orders,
            self.late_starts_beside_refusals,
            self.executor_cut_and_delisted,
            self.executor_cut_over_takeover,
            self.executor_leaves_unsaid,
            self.change_configuration,
        ]
        if only:
            self._faults = [fault for fault in self._faults if fault.__name__ in only]
            self._faults = self._faults or [self.change_configuration]

    async def run(self) -> SoakResult:
        """Play callers and faults, let everything settle, and check."""
        await self.site.wait_for_owner()
        crashing = self.troubles.plant_crashing_tasks(f"{n:016x}" for n in range(JOBS))
        self.result.faults["task_crashes_executors"] += crashing
        async with trio.open_nursery() as nursery:
            until = trio.current_time() + FAULTS_S
            nursery.start_soon(self.troubles.change_capacity, until)
            nursery.start_soon(self.troubles.overwrite_entries, until)
            nursery.start_soon(self.troubles.restart_executors, until)
            if self.power.is_drawn:
                nursery.start_soon(self.power.play, until)
            if self._limits is not None and self.outages.is_drawn:
                nursery.start_soon(self.outages.play, until)
            nursery.start_soon(self._play_callers)
            nursery.start_soon(self._play_faults)
            nursery.start_soon(self._play_operator)
        await self._settle()
        self.result.violations = check_promises(self.site.executors, self.told)
        self.result.violations += check_places(self.site.executors, self.told)
        self.result.violations += self.standing.close()
        self.result.violations += check_evacuations(
            self.site.executors, self.site.evacuated, self.site.trouble
        )
        self.result.violations += check_capacity(
            self.site.executors, self.troubles.resized, self.site.trouble
        )
        self.result.violations += check_foreign(
            self.site.executors, self.site.foreign, self.site.trouble
        )
        self.result.faults["foreign_entries"] += self.troubles.foreign_count
        self.result.faults["executors_restart"] += self.troubles.restart_count
        self.result.faults["power_lost"] += self.power.count
        self.result.faults["store_down_beside_failures"] += self.outages.count
        self.result.faults["capacity_changes"] += len(self.troubles.resized)
        self.result.jobs = len(self.told)
        self.result.starts = len(self.site.executors.starts())
        return self.result

    async def _play_faults(self) -> None:
        ends_at = trio.current_time() + FAULTS_S
        while trio.current_time() < ends_at:
            await trio.sleep(self.random.uniform(0.2, 4.0))
            fault = self.random.choice(self._faults)
            await self.site.wait_for_living()
            self.result.faults[fault.__name__] += 1
            await fault()

    async def _play_operator(self) -> None:
        """Evacuate domains beside the faults: some, all, or one that nobody knows.

        Drawn apart, so that callers and faults of a seed stay what they were without it.
        """
        zones = [f"z{number}" for number in range(ZONES)]
        choices = [zones[:1], zones[1:2], zones[2:], zones[1:], zones, ["z99"]]
        for _ in range(self.operator.randint(0, EVACUATIONS)):
            await trio.sleep(self.operator.uniform(0.5, 10.0))
            domains = self.operator.choice(choices)
            self.result.faults["evacuate"] += 1
            for domain in domains:
                self.site.evacuate(domain)
            await trio.sleep(self.operator.choice([0.3, 7.0, 12.0]))
            for domain in domains:
                self.site.take_back(domain)

    async def _play_callers(self) -> None:
        async with trio.open_nursery() as nursery:
            for number in range(JOBS):
                nursery.start_soon(self._play_caller, f"{number:016x}")
                await trio.sleep(self.random.expovariate(JOBS / FAULTS_S))

    async def _play_caller(self, job_id: str) -> None:
        gang = self.random.random() < 0.4
        is_long = self.random.random() < LONG_SHARE
        record = self.site.make_job(
            job_id,
            queue=self.random.choice(["urgent", "ordinary", "batch"]),
            tenant=self.random.choice(["first", "second"]),
            count=self.random.randint(1, 5),
            accelerators=self.random.choice([1, 2, 4, 8] if gang else [1]),
            work_s=LONG_S if is_long else self.random.uniform(0.5, 5.0),
            gang=gang,
            checkpointing=self.random.random() < 0.4,
            schedule=self._choose_schedule(),
        )
        if self._limits is not None:
            record = self._limits.limit(record)
        told = self.told[job_id] = Told(record)
        for _ in range(self.random.choice([1, CALLER_TRIES])):
            host = self.site.any_host(self.random)
            if host is not None:
                outcome = await self.site.accept(host, record, 2.2)
                told.taken |= isinstance(outcome, Taken)
                told.refused |= isinstance(outcome, NotTaken)
                told.unsettled |= outcome is None or isinstance(outcome, Unsettled)
            if told.taken:
                break
            await trio.sleep(1.0)
        if told.taken and (is_long or self.random.random() < CANCELLED_SHARE):
            await trio.sleep(self.random.uniform(0.0, 5.0))
            await self._cancel(told)

    async def _cancel(self, told: Told) -> None:
        """Cancel a job, at several hosts in turn until one acknowledges it."""
        told.cancel_asked, spec = True, told.record.spec
        for _ in range(CALLER_TRIES):
            host = self.site.any_host(self.random)
            if host is not None:
                with trio.move_on_after(2.5):
                    outcome = await self.site.cancel(host, spec.id, spec.tenant, 2.0)
                    if isinstance(outcome, Taken):
                        told.cancelled, told.cancelled_at = True, trio.current_time()
                        return
            await trio.sleep(0.5)

    def _choose_schedule(self) -> Schedule | None:
        if self.random.random() >= SCHEDULED_SHARE:
            return None
        first_at = trio.current_time() + self.random.uniform(-1.0, 5.0)
        return Schedule(self.random.randint(1, 3), first_at, self.random.uniform(0.5, 4.0))

    async def _settle(self) -> None:
        """Mend everything, then wait until every taken job is final or time is up."""
        self.site.mend()
        ends_at = trio.current_time() + SETTLE_S
        while trio.current_time() < ends_at:
            await trio.sleep(1.0)
            if await self._all_final():
                return

    async def _all_final(self) -> bool:
        all_final = True
        for job_id, told in self.told.items():
            host = self.site.any_host(self.random)
            if host is None or (told.shown is not None and told.shown.is_final):
                continue
            found = await host.requests.find_job(job_id)
            if isinstance(found, JobView):
                told.show(found.status, trio.current_time())
            all_final &= not told.taken or (told.shown is not None and told.shown.is_final)
        return all_final

    # Faults

    async def kill_owner(self) -> None:
        """Kill the owner; another host starts elsewhere a little later."""
        name = self.site.owner_name()
        if name is not None:
            self.site.kill_host(name)
            await trio.sleep(self.random.uniform(0.0, 2.0))
            self._add_host()

    async def kill_all(self) -> None:
        """Kill all hosts at once."""
        for name in list(self.site.hosts):
            self.site.kill_host(name)
        await trio.sleep(self.random.uniform(0.2, 2.0))
        for _ in range(HOSTS):
            self._add_host()

    async def stop_owner(self) -> None:
        """Stop the owner as planned."""
        name = self.site.owner_name()
        if name is not None:
            await self.site.hosts[name].stop()
            await trio.sleep(0.5)
            if name in self.site.hosts:
                self.site.kill_host(name)
            self._add_host()

    def _add_host(self) -> None:
        self.site.start_host(f"h{self._next_host}")
        self._next_host += 1

    async def store_down(self) -> None:
        """Take the store away from everybody; leases wait."""
        self.site.store.is_down = True
        await trio.sleep(self.random.uniform(1.0, 6.0))
        self.site.store.is_down = False

    async def store_lapses(self) -> None:
        """Take the store away from everybody; leases run out."""
        self.site.store.lapses = True
        await self.store_down()
        self.site.store.lapses = False

    async def owner_cut_from_store(self) -> None:
        """Cut the owner off from the store, silently or not."""
        name = self.site.owner_name()
        if name is None:
            return
        view = self.site.views[name]
        view.is_cut = self.random.random() < 0.5
        view.is_silent = not view.is_cut
        await trio.sleep(self.random.uniform(1.0, 5.0))
        view.is_cut = view.is_silent = False

    async def lose_store_answers(self) -> None:
        """Lose the answers of some writes; they are done at once or seconds late."""
        for view in self.site.views.values():
            view.lose_answers = self.random.randint(0, 3)
            view.late_s = self.random.choice([0.0, 1.0, 4.0])

    async def break_store_connections(self) -> None:
        """Have some writes done twice, since their connections broke."""
        for view in self.site.views.values():
            view.repeat = self.random.randint(0, 3)

    async def owner_restarts(self) -> None:
        """Kill the owner; the same host is back at once."""
        name = self.site.owner_name()
        if name is not None:
            self.site.kill_host(name)
            await trio.sleep(self.random.uniform(0.1, 1.0))
            self.site.start_host(name)

    async def orders_late_over_takeover(self) -> None:
        """Have orders everywhere carried out after the owner that gave them is gone."""
        for place in self.site.executors.by_id.values():
            place.lose_answers = self.random.randint(1, 3)
            place.late_s = self.random.uniform(3.0, 5.5)
        await trio.sleep(self.random.uniform(0.2, 1.5))
        await self.kill_owner()

    async def forget_history(self) -> None:
        """Have the store forget what changed."""
        self.site.store.forget_history()

    def _any_executor(self) -> str:
        return self.random.choice(
            [n for n, e in self.site.executors.by_id.items() if not e.is_gone]
        )

    async def executor_silent(self) -> None:
        """Cut an executor off; it runs on."""
        place = self.site.executors.by_id[self._any_executor()]
        place.is_cut = True
        self.site.nursery.start_soon(self._reconnect, place, self.random.uniform(1.0, 9.0))

    async def _reconnect(self, place: object, after_s: float) -> None:
        await trio.sleep(after_s)
        if not place.is_gone:  # type: ignore[attr-defined]
            place.is_cut = False  # type: ignore[attr-defined]

    async def executor_cut_and_delisted(self) -> None:
        """Cut an executor off from everything: it runs on, and its entry goes by its silence."""
        places = [place for place in self.site.executors.by_id.values() if not place.is_gone]
        place = max(places, key=lambda place: len(place.running))
        place.is_cut = True
        self.site.nursery.start_soon(self._delist, place, self.random.uniform(4.0, 12.0))

    async def _delist(self, place: EmulatedExecutor, for_s: float) -> None:
        key = ENTRIES + place.executor.id
        is_listed = key in self.site.store.items
        await trio.sleep(self.random.uniform(*ENTRY_LAPSE_S))
        if self.site.executors.by_id[place.executor.id] is not place:
            return
        self.site.store.remove(key)
        await trio.sleep(for_s)
        if place.is_gone or not is_listed:
            return
        place.is_cut = False
        self.site.say(place.executor.id)

    async def executor_cut_over_takeover(self) -> None:
        """Cut an executor off from everything shortly before the owner is gone."""
        await self.executor_cut_and_delisted()
        await trio.sleep(self.random.uniform(0.0, 1.5))
        await self.random.choice([self.stop_owner, self.kill_owner, self.owner_restarts])()

    async def executor_leaves_unsaid(self) -> None:
        """Take an executor's entry away; it serves on for a while, then leaves."""
        name = self._any_executor()
        executor = self.site.executors.by_id[name].executor
        self.site.store.remove(ENTRIES + name)
        await trio.sleep(self.random.uniform(2.0, 6.0))
        self.site.remove_executor(name)
        self._add_executor(executor)

    async def executor_crashes(self) -> None:
        """Crash an executor; a new instance is there at once."""
        name = self._any_executor()
        left = self.site.executors.by_id[name].executor
        self.site.executors.crash(name)
        self._add_executor(left)
        await trio.sleep(2.0)
        self.site.store.remove(ENTRIES + name)

    def _add_executor(self, left: Executor) -> None:
        """Start an executor where another one was."""
        self.site.add_executor(f"e{self._next_executor}", left.rack, left.zone)
        self._next_executor += 1

    async def executor_leaves(self) -> None:
        """Drain an executor, then take it away; another comes."""
        name = self._any_executor()
        left = self.site.executors.by_id[name].executor
        self.site.drain_executor(name, 2.0)
        await trio.sleep(2.0)
        self.site.remove_executor(name)
        self._add_executor(left)

    async def executor_fails_all(self) -> None:
        """Let an executor fail all that it runs."""
        place = self.site.executors.by_id[self._any_executor()]
        place.fails_all = True
        await trio.sleep(self.random.uniform(0.2, 1.0))
        place.fails_all = False

    async def executor_stands_still(self) -> None:
        """Let the runs of an executor stand still."""
        place = self.site.executors.by_id[self._any_executor()]
        place.stands_still = True
        await trio.sleep(self.random.uniform(1.0, 5.0))
        place.stands_still = False

    async def executor_slow(self) -> None:
        """Slow an executor down."""
        place = self.site.executors.by_id[self._any_executor()]
        place.slowness = 6.0
        await trio.sleep(self.random.uniform(1.0, 5.0))
        place.slowness = 1.0

    async def late_orders(self) -> None:
        """Leave some orders unanswered and carry them out late."""
        place = self.site.executors.by_id[self._any_executor()]
        place.lose_answers = self.random.randint(1, 4)
        place.late_s = self.random.uniform(0.0, 8.0)

    async def late_starts_beside_refusals(self) -> None:
        """Leave some starts unanswered and carry them out late; turn the calls after them away."""
        for place in self.site.executors.by_id.values():
            place.lose_starts = self.random.choice([0, 1, 2])
            place.shed = self.random.choice([0, 1, 3])
            place.late_s = self.random.uniform(1.0, 5.5)

    async def change_configuration(self) -> None:
        """Put a new version in force."""
        self._version += self.random.randint(1, 3)
        self.site.configure(self._version)


async def _play(seed: int, only: Collection[str], has_limits: bool) -> SoakResult:
    executors = LIMITED_EXECUTORS if has_limits else EXECUTORS
    async with EmulatedSite.open(hosts=HOSTS, executors=executors, zones=ZONES) as site:
        return await Soak(site, seed, only, has_limits).run()


def run_soak(seed: int, only: Collection[str] = (), has_limits: bool = False) -> SoakResult:
    """Play one seed in virtual time; the same seed plays the same run.

    With `only` the faults of these names are played. With `has_limits` the site is larger, and
    steps have spread limits, labels and steps that they come after; a seed without plays as before.
    """
    return run_seeded(seed, _play, seed, only, has_limits)


def run_seeded(seed: int, play: Callable[..., Awaitable[Played]], *arguments: object) -> Played:
    """Run something in virtual time, so that the same seed plays the same run."""
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    trio_run._r.seed(seed)
    random.seed(seed)
    return trio.run(play, *arguments, clock=trio.testing.MockClock(autojump_threshold=0))
