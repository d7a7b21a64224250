"""Rounds of trouble on a site of 24 executors: owners go, the store is away, executors crash.

Less than half of the pool is ever in use or down, so that jobs have room for all that is left of
them twice over in every round, and one that stands does so for want of a decision.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import trio
from heronthread_dispatch.intake import Taken

from .checker import Told, Violation, check_promises
from .site import EmulatedSite
from .soak import run_seeded
from .standing_site import StandingWitness

HOSTS = 4
EXECUTORS = 24
RACKS = 3
JOBS = 30
JOBS_EACH_S = 1.2
GANG_SHARE = 0.5
GANG_SIZES = (4, 7, 8)
BATCH_SIZE = 12
WORK_S = (2.0, 6.0)
CALLER_TRIES = 8
ROUNDS = 4
FIRST_S = (3.0, 5.0)
BETWEEN_S = (4.0, 9.0)
MENDED_S = (2.0, 6.0)
"""After which the store is back, cut executors are reached again, and a killed host is back."""
POWER_LOST_S = 1.2
BUSIEST = 8
"""The executors that crash or are cut off are of so many that have most to do."""
ASKED_EACH_S = 0.5
SETTLE_S = 30.0


@dataclass(frozen=True, slots=True)
class Trouble:
    """What strikes in each round.

    `crash` executors crash and `cut` are cut off and run on; `kills_owner` alone or `kills_all`
    hosts at once, which are back after `POWER_LOST_S`; the store is away with `loses_store`.
    """

    crash: int = 0
    cut: int = 0
    kills_owner: bool = False
    kills_all: bool = False
    loses_store: bool = False


@dataclass(slots=True)
class RoundsResult:
    """What became of a play: broken promises, the longest stand (s), and jobs that are not done."""

    violations: list[Violation] = field(default_factory=list)
    longest_stand_s: float = 0.0
    undone: list[str] = field(default_factory=list)


class Rounds:
    """One play, drawn from a seed."""

    def __init__(self, site: EmulatedSite, seed: int, trouble: Trouble) -> None:
        self.site = site
        self.trouble = trouble
        self.random = random.Random(f"rounds {seed}")
        self.asking = random.Random(f"asking {seed}")
        self.told: dict[str, Told] = {}
        self.standing = StandingWitness(site, self.told)

    async def run(self) -> RoundsResult:
        """Play callers and rounds, let everything settle, and check."""
        await self.site.wait_for_owner()
        async with trio.open_nursery() as asking:
            asking.start_soon(self._ask_states)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._play_callers)
                nursery.start_soon(self._play_rounds)
            await trio.sleep(SETTLE_S)
            asking.cancel_scope.cancel()
        undone = [job for job, told in self.told.items() if told.taken and not _is_final(told)]
        violations = check_promises(self.site.executors, {}) + self.standing.close()
        return RoundsResult(violations, self.standing.clock.longest_s, undone)

    async def _ask_states(self) -> None:
        """Ask for each job's state now and then: one that has failed does not stand any more."""
        while True:
            await trio.sleep(ASKED_EACH_S)
            host = self.site.any_host(self.asking)
            for job, told in list(self.told.items()):
                if host is None or _is_final(told):
                    continue
                told.shown = await self.site.ask_state(host, job, ASKED_EACH_S) or told.shown

    async def _play_callers(self) -> None:
        async with trio.open_nursery() as nursery:
            for number in range(JOBS):
                nursery.start_soon(self._hand_in, f"{number:016x}")
                await trio.sleep(self.random.expovariate(JOBS_EACH_S))

    async def _hand_in(self, job: str) -> None:
        is_gang = self.random.random() < GANG_SHARE
        record = self.site.make_job(
            job,
            queue=self.random.choice(["urgent", "ordinary"] if is_gang else ["ordinary", "batch"]),
            count=self.random.choice(GANG_SIZES) if is_gang else BATCH_SIZE,
            work_s=self.random.uniform(*WORK_S),
            gang=is_gang,
        )
        told = self.told[job] = Told(record)
        for _ in range(CALLER_TRIES):
            host = self.site.any_host(self.random)
            if host is not None:
                outcome = await self.site.accept(host, record, 2.2)
                told.taken |= isinstance(outcome, Taken)
            if told.taken:
                return
            await trio.sleep(1.0)

    async def _play_rounds(self) -> None:
        await trio.sleep(self.random.uniform(*FIRST_S))
        for _ in range(ROUNDS):
            await self._strike()
            await trio.sleep(self.random.uniform(*BETWEEN_S))

    async def _strike(self) -> None:
        mended_s, trouble = self.random.uniform(*MENDED_S), self.trouble
        self.site.store.is_down = trouble.loses_store
        names = self._choose_executors(trouble.crash + trouble.cut)
        for name in names[: trouble.crash]:
            self.site.crash_executor(name)
        for name in names[trouble.crash :]:
            self.site.nursery.start_soon(self._cut, name, mended_s)
        await trio.sleep(self.random.uniform(0.0, 0.5))
        owner = self.site.owner_name()
        if trouble.kills_owner and owner is not None:
            self.site.nursery.start_soon(self._kill, [owner], mended_s)
        if trouble.kills_all:
            await self._kill(list(self.site.hosts), POWER_LOST_S)
        if trouble.loses_store:
            await trio.sleep(mended_s)
            self.site.store.is_down = False

    def _choose_executors(self, count: int) -> list[str]:
        places = self.site.executors.by_id
        living = [name for name, e in places.items() if not e.is_gone and not e.is_cut]
        living.sort(key=lambda name: (-len(places[name].running), name))
        return self.random.sample(living[:BUSIEST], count)

    async def _cut(self, name: str, for_s: float) -> None:
        place = self.site.executors.by_id[name]
        place.is_cut = True
        await trio.sleep(for_s)
        place.is_cut = place.is_gone

    async def _kill(self, hosts: list[str], for_s: float) -> None:
        for host in hosts:
            self.site.kill_host(host)
        await trio.sleep(for_s)
        for host in hosts:
            self.site.start_host(host)


def _is_final(told: Told) -> bool:
    return told.shown is not None and told.shown.is_final


async def _play(seed: int, trouble: Trouble, says_born: bool) -> RoundsResult:
    async with EmulatedSite.open(
        hosts=HOSTS, executors=EXECUTORS, racks=RACKS, zones=RACKS, says_born=says_born
    ) as site:
        site.keeps_addresses = False
        return await Rounds(site, seed, trouble).run()


def run_rounds(seed: int, trouble: Trouble, *, says_born: bool = False) -> RoundsResult:
    """Play one seed in virtual time; the same seed plays the same run."""
    return run_seeded(seed, _play, seed, trouble, says_born)
