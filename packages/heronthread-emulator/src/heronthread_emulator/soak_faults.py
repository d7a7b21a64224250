"""The faults of a soak of real processes, drawn from its seed, in series and overlapping."""

from __future__ import annotations

import random
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from inspect import iscoroutinefunction

import trio

from .soak_lasting_faults import Fault, LastingFaults
from .soak_power_faults import PowerFaults
from .soak_refusal_faults import RefusalFaults
from .soak_site import EXECUTORS, LINKS, STORE, SoakSite
from .soak_watch_faults import WatchFaults

LONGEST_S = 7.0
PAUSE_S = (0.2, 1.5)
MOST_AT_ONCE = 4
LATE_FROM_S = 2.0
LATE_TO_S = 12.0
PLANNED = frozenset(
    {
        "stop_owner",
        "stop_any",
        "reload_settings",
        "change_configuration",
        "executor_drains",
        "task_crashes_executors",
        "capacity_changes",
        "foreign_entries",
        "power_lost_beside_silence",
        "owner_killed_beside_silence",
        "owners_killed_in_rounds",
        "watches_miss_changes",
    }
)
"""These are no disruptions, or note each of theirs: promises hold on beside them."""


class SoakFaults:
    """Plays faults on a site."""

    def __init__(self, site: SoakSite, only: str = "") -> None:
        self.site = site
        self.random = random.Random(f"faults {site.settings.seed}")
        self.played = 0
        self.at_once = self.random.randint(1, MOST_AT_ONCE)
        self._all: list[Fault] = [
            self.kill_owner,
            self.kill_all,
            self.restart_owner,
            self.stop_owner,
            self.stop_any,
            self.freeze_owner,
            self.reload_settings,
            self.store_refuses,
            self.store_lapses,
            self.store_silent,
            self.store_busy,
            self.store_slow,
            self.store_loses_answers,
            self.store_writes_late,
            self.store_forgets_history,
            self.store_away_for_some,
            self.links_slow,
            self.links_reset,
            self.link_cut_one_way,
            self.links_silent_for_good,
            self.orders_late_beside_refusals,
            self.orders_late_beside_refusals,
            self.orders_late_over_takeover,
            self.orders_unanswered,
            self.executor_slow_to_answer,
            self.executor_cut_off,
            self.executor_cut_off_over_takeover,
            self.executor_crashes,
            self.executor_drains,
            self.executor_entry_gone,
            self.executor_fails_all,
            self.executor_stands_still,
            self.executor_slow,
            self.change_configuration,
        ]
        self.lasting = LastingFaults(site)
        self.power = PowerFaults(site)
        self.refusals = RefusalFaults(site)
        self.watches = WatchFaults(site)
        if only:
            wanted = only.split(",")
            unknown = set(wanted) - set(self.names)
            if unknown:
                raise ValueError(f"{', '.join(sorted(unknown))}: no such fault")
            self.refusals.check_size(wanted)
            self._all = [fault for fault in self._all if fault.__name__ in wanted]
            self.lasting.all = [f for f in self.lasting.all if f.__name__ in wanted]
            self.power.all = [f for f in self.power.all if f.__name__ in wanted]
            self.refusals.all = [f for f in self.refusals.all if f.__name__ in wanted]
            self.watches.all = [f for f in self.watches.all if f.__name__ in wanted]

    @property
    def names(self) -> list[str]:
        """Return the names of the faults that may be drawn."""
        apart = [*self.power.all, *self.refusals.all, *self.watches.all]
        every = [*self._all, *self.lasting.all, *apart]
        return list(dict.fromkeys(fault.__name__ for fault in every))

    def draw(self) -> Fault:
        """Return the next fault."""
        return self.random.choice(self._all)

    async def play(self) -> None:
        """Begin faults until the time for them is over, then wait until they end.

        The seed says how many may go on at a time: with one they come in series.
        """
        ends_at = trio.current_time() + self.site.settings.faults_s
        limit = trio.CapacityLimiter(self.at_once)
        async with trio.open_nursery() as nursery:
            for place, fault in enumerate(self.lasting.draw()):
                alone = trio.CapacityLimiter(1)
                await nursery.start(self._play_one, fault, -1 - place, alone)
                self.played += not self._all
            for source in (self.power, self.refusals, self.watches):
                for fault in source.draw():
                    nursery.start_soon(self._play_now_and_then, source, fault, ends_at)
            while self._all and trio.current_time() < ends_at:
                await trio.sleep(self.random.uniform(*PAUSE_S))
                fault = self.draw()
                self.played += 1
                await nursery.start(self._play_one, fault, self.played, limit)

    async def _play_now_and_then(
        self, source: PowerFaults | RefusalFaults | WatchFaults, fault: Fault, ends_at: float
    ) -> None:
        """Play a fault again and again, whatever else goes on."""
        await source.pause()
        while trio.current_time() < ends_at:
            self.played += 1
            await self._play_one(fault, self.played, trio.CapacityLimiter(1))
            await source.pause()

    async def _play_one(
        self,
        fault: Fault,
        number: int,
        limit: trio.CapacityLimiter,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        async with limit:
            task_status.started()
            name = fault.__name__
            self.site.sight.note("fault.began", fault=name, number=number)
            await fault()
            self.site.sight.note("fault.ended", fault=name, number=number)

    def _draw_s(self, longest_s: float = LONGEST_S) -> float:
        return self.random.uniform(0.8, longest_s)

    async def _wait(self, longest_s: float = LONGEST_S) -> None:
        await trio.sleep(self._draw_s(longest_s))

    # Hosts

    def _any_host(self) -> int | None:
        hosts = sorted(self.site.hosts - self.site.frozen)
        return self.random.choice(hosts) if hosts else None

    async def _replace(self, host: int) -> None:
        """Start a host elsewhere, or at the same address if there are no more."""
        if self.site.next_host < self.site.most_hosts:
            self.site.start_host()
        elif host not in self.site.hosts:
            self.site.restart_host(host)
        await self.site.tell_callers()

    async def kill_owner(self) -> None:
        """Kill the owner; another host starts at another address."""
        owner = await self.site.find_owner()
        if owner is not None:
            await self.site.kill_host(owner)
            await self._wait(2.0)
            await self._replace(owner)

    async def kill_all(self) -> None:
        """Kill all hosts at once; as many start elsewhere."""
        hosts = sorted(self.site.hosts)
        for host in hosts:
            await self.site.kill_host(host)
        await self._wait(2.0)
        for host in hosts:
            await self._replace(host)

    async def restart_owner(self) -> None:
        """Kill the owner's process; it is back at once at the same address."""
        owner = await self.site.find_owner()
        if owner is not None:
            await self.site.kill_host(owner)
            await trio.sleep(self.random.uniform(0.05, 0.5))
            self.site.restart_host(owner)
            await self.site.tell_callers()

    async def stop_owner(self) -> None:
        """Stop the owner as planned."""
        await self._stop(await self.site.find_owner())

    async def stop_any(self) -> None:
        """Stop a host as planned."""
        await self._stop(self._any_host())

    async def _stop(self, host: int | None) -> None:
        if host is not None and host not in self.site.frozen:
            await self.site.stop_host(host)
            await self._replace(host)

    async def freeze_owner(self) -> None:
        """Have the owner's process stand still for a while."""
        owner = await self.site.find_owner()
        if owner is None:
            return
        self.site.frozen.add(owner)
        self.site.processes.send(f"h{owner}", signal.SIGSTOP)
        await self._wait()
        self.site.processes.send(f"h{owner}", signal.SIGCONT)
        self.site.frozen.discard(owner)

    async def reload_settings(self) -> None:
        """Change a host's settings file and tell it."""
        host = self._any_host()
        if host is not None:
            self.site.write_settings(host, cores=self.random.choice([0.5, 1.0, 1.2]))
            self.site.processes.send(f"h{host}", signal.SIGHUP)

    # Store

    async def _store_down(self, lapses: bool) -> None:
        await self.site.steer(STORE, "store", is_down=True, lapses=lapses)
        await self._wait()
        await self.site.steer(STORE, "store", is_down=False, lapses=False)

    async def store_refuses(self) -> None:
        """The store is down and says so; leases wait."""
        await self._store_down(lapses=False)

    async def store_lapses(self) -> None:
        """The store is down and says so; leases run out."""
        await self._store_down(lapses=True)

    @asynccontextmanager
    async def _store_fault(self, **values: object) -> AsyncIterator[None]:
        await self.site.steer(STORE, "faults", **values)
        yield
        nothing = {name: type(value)() for name, value in values.items()}
        await self.site.steer(STORE, "faults", **nothing)

    async def store_silent(self) -> None:
        """The store answers nobody."""
        async with self._store_fault(silent=True):
            await self._wait()

    async def store_busy(self) -> None:
        """The store turns a part of the calls away."""
        async with self._store_fault(busy_share=self.random.uniform(0.2, 0.8)):
            await self._wait()

    async def store_slow(self) -> None:
        """The store is slow."""
        async with self._store_fault(slow_s=self.random.uniform(0.1, 1.2)):
            await self._wait()

    async def store_loses_answers(self) -> None:
        """Writes are done and not answered."""
        async with self._store_fault(lost_share=self.random.uniform(0.2, 0.8)):
            await self._wait()

    async def store_writes_late(self) -> None:
        """Writes are not answered and done seconds later."""
        late_s = self.random.uniform(1.0, 5.0)
        async with self._store_fault(lost_share=0.5, late_s=late_s):
            await self._wait()
        await trio.sleep(late_s)

    async def store_forgets_history(self) -> None:
        """The store forgets what changed."""
        await self.site.steer(STORE, "history")

    async def store_away_for_some(self) -> None:
        """The store turns some hosts away, each in one way, and serves the others."""
        hosts = sorted(self.site.hosts)
        some = self.random.sample(hosts, self.random.randint(0, len(hosts)))
        owner = await self.site.find_owner()
        if owner is not None and self.random.random() < 0.5:
            some.append(owner)
        how = self.random.choice(["503", "429", "reset", "silence"])
        async with self._store_fault(away={str(host): how for host in some}):
            await self._wait()

    # Links

    @asynccontextmanager
    async def _link_fault(self, links: list[str], **values: object) -> AsyncIterator[None]:
        await self.site.steer(LINKS, "faults", links=links, set=values)
        yield
        nothing = {name: type(value)() for name, value in values.items()}
        await self.site.steer(LINKS, "faults", links=links, set=nothing)

    def _some_links(self) -> list[str]:
        host = self._any_host()
        one = f"h{host}>*"
        return self.random.choice(
            [["*>store"], ["h*>e*"], ["h*>h*"], ["callers>*"], [one], ["*"], ["h*>*"]]
        )

    async def links_slow(self) -> None:
        """Delay bytes on some links, or let few pass."""
        delay_s = self.random.uniform(0.02, 0.4)
        bytes_per_s = self.random.choice([0.0, 20_000.0])
        async with self._link_fault(self._some_links(), delay_s=delay_s, bytes_per_s=bytes_per_s):
            await self._wait()

    async def links_reset(self) -> None:
        """Reset the open connections of some links, a few times."""
        links = self._some_links()
        for _ in range(self.random.randint(1, 4)):
            await self.site.steer(LINKS, "reset", links=links)
            await trio.sleep(self.random.uniform(0.1, 0.8))

    async def link_cut_one_way(self) -> None:
        """Hold up what one side of some links sends, or both sides."""
        host = await self.site.find_owner() if self.random.random() < 0.6 else self._any_host()
        executor = self.random.choice(sorted(self.site.executors))
        links = self.random.choice(
            [[f"h{host}>store"], [f"h{host}>e*"], [f"h*>e{executor}"], [f"h{host}>h*"]]
        )
        ways = self.random.choice([["out"], ["back"], ["out", "back"]])
        async with self._link_fault(links, cut=ways):
            await self._wait()

    async def links_silent_for_good(self) -> None:
        """Let open connections say nothing more for good, while new ones work."""
        await self.site.steer(LINKS, "silence", links=self._some_links())

    # Orders

    def _some_executors(self) -> list[int]:
        known = sorted(self.site.executors)
        return self.random.sample(known, self.random.randint(1, len(known)))

    @asynccontextmanager
    async def _order_fault(self, executors: list[int], **values: object) -> AsyncIterator[None]:
        await self.site.steer(EXECUTORS, "faults", executors=executors, set=values)
        yield
        nothing = {name: type(value)() for name, value in values.items()}
        still_there = [executor for executor in executors if executor in self.site.executors]
        await self.site.steer(EXECUTORS, "faults", executors=still_there, set=nothing)

    async def orders_late_beside_refusals(self) -> None:
        """Orders are not answered and carried out late, others are turned away or reset."""
        async with self._order_fault(
            self._some_executors(),
            unanswered_share=self.random.uniform(0.2, 0.6),
            refused_share=self.random.uniform(0.1, 0.3),
            reset_share=self.random.uniform(0.0, 0.1),
            late_from_s=LATE_FROM_S,
            late_to_s=self.random.uniform(3.0, LATE_TO_S),
        ):
            await self._wait(10.0)
        await trio.sleep(LATE_TO_S)

    async def orders_late_over_takeover(self) -> None:
        """Orders are carried out after the owner that gave them is gone."""
        async with self._order_fault(
            sorted(self.site.executors),
            unanswered_share=0.6,
            late_from_s=LATE_FROM_S,
            late_to_s=6.0,
        ):
            await trio.sleep(self.random.uniform(0.5, 2.5))
            await self.kill_owner()
        await trio.sleep(6.0)

    async def orders_unanswered(self) -> None:
        """Orders are carried out at once and not answered."""
        async with self._order_fault(
            self._some_executors(), unanswered_share=self.random.uniform(0.2, 0.8)
        ):
            await self._wait()

    async def executor_slow_to_answer(self) -> None:
        """Executors answer slowly."""
        slow_s = self.random.uniform(0.2, 1.5)
        async with self._order_fault(self._some_executors(), slow_s=slow_s):
            await self._wait()

    # Executors

    def _any_executor(self) -> int:
        return self.random.choice(sorted(self.site.executors))

    async def executor_cut_off(self) -> None:
        """An executor answers nothing and keeps no entry, and runs on."""
        async with self._order_fault([self._any_executor()], silent=True):
            await self._wait(9.0)

    async def executor_cut_off_over_takeover(self) -> None:
        """Executors are cut off and run on; their entries go about when an owner takes over."""
        known = sorted(self.site.executors)
        some = self.random.sample(known, self.random.randint(1, max(1, len(known) // 2)))
        async with self._order_fault(some, silent=True):
            await trio.sleep(self.random.uniform(0.0, 0.6))
            await self.stop_owner()
            await trio.sleep(2.0)

    async def executor_crashes(self) -> None:
        """An executor crashes; a new instance is at its address at once or a little later."""
        after_s = self.random.choice([0.0, 0.5, 4.0])
        await self.site.steer(EXECUTORS, "crash", executor=self._any_executor(), after_s=after_s)

    async def executor_drains(self) -> None:
        """An executor says that it leaves, serves on, and ends; another joins."""
        await self._leave("drain", left_s=2.0, longer_s=self.random.uniform(0.2, 5.0))

    async def executor_entry_gone(self) -> None:
        """An executor's entry goes without a word; it serves on and ends; another joins."""
        await self._leave("vanish", left_s=self.random.uniform(2.0, 5.0))

    async def _leave(self, command: str, **values: float) -> None:
        if len(self.site.executors) < 2 or self.site.next_executor >= self.site.most_executors:
            return
        number = self._any_executor()
        self.site.executors.discard(number)
        await self.site.steer(EXECUTORS, command, executor=number, **values)
        await self.site.add_executor()

    async def _set_life(self, **values: object) -> None:
        number = self._any_executor()
        await self.site.steer(EXECUTORS, "life", executor=number, set=values)
        await self._wait(5.0)
        nothing = {"fails_all": False, "stands_still": False, "slowness": 1.0}
        await self.site.steer(EXECUTORS, "life", executor=number, set=nothing)

    async def executor_fails_all(self) -> None:
        """An executor fails all that it runs."""
        await self._set_life(fails_all=True)

    async def executor_stands_still(self) -> None:
        """The runs of an executor stand still."""
        await self._set_life(stands_still=True)

    async def executor_slow(self) -> None:
        """An executor works slowly."""
        await self._set_life(slowness=6.0)

    # Operator

    async def change_configuration(self) -> None:
        """Put a new version in force: one route comes, and the last version's goes."""
        await self.site.configure_next(self.random.randint(1, 3))


def list_faults() -> list[str]:
    """Return the names of all faults."""
    return [
        name
        for kind in (SoakFaults, LastingFaults, PowerFaults, RefusalFaults, WatchFaults)
        for name, value in vars(kind).items()
        if iscoroutinefunction(value) and not name.startswith("_") and name not in ("play", "pause")
    ]
