"""Executors as a process: the emulated ones behind HTTP, their entries, and faults of orders."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, replace
from typing import Any

import orjson
import trio
from heronthread_dispatch.executor_link import (
    Acknowledged,
    HoldOrder,
    OrderOutcome,
    Refused,
    RunningRun,
    StartOrder,
    StopOrder,
)
from heronthread_dispatch.http_client import HttpClient, Reply
from heronthread_dispatch.keystore import Put, Transaction
from heronthread_dispatch.model import Executor, Resources, TaskKey

from . import spelling
from .addresses import EXECUTORS_FACE
from .executors import EmulatedExecutor, EmulatedExecutors, Event
from .http_server import NoResponse, Request, Response, serve_http
from .plants import planted_if
from .sight import Sight
from .soak_plan import RACKS
from .soak_site import LINKS
from .standin import StandinSettings, run_standin, serve_commands

CAPACITY = Resources(64_000, 262_144, 8)
HEARTBEAT_S = 1.0
ENTRY_GOES_S = 4.5
"""After a crash for good, until the entry of who crashed is gone."""
BACK_AFTER_S = 3.3
"""After a crash that a task brought about, until another instance is at the address."""
ENTRY_LEASE_S = 3 * HEARTBEAT_S
WRITE_S = 0.8
STEER_S = 5.0
STOP_S = 0.3
NEWS_S = 0.05
Order = StartOrder | StopOrder | HoldOrder
Answer = Response | NoResponse


@dataclass(slots=True)
class OrderFaults:
    """What an address does to orders; shares are of 1.

    Of starts and stops `unanswered_share` are carried out `late_from_s` to `late_to_s` later and
    not answered, `refused_share` and `reset_share` of the others do nothing. `silent` answers
    nothing while all runs on; `refuses` takes no new connection while open ones and all runs go on.
    """

    unanswered_share: float = 0.0
    late_from_s: float = 0.0
    late_to_s: float = 0.0
    refused_share: float = 0.0
    reset_share: float = 0.0
    slow_s: float = 0.0
    silent: bool = False
    refuses: bool = False


STORM_PART = 32
"""Entries that one transaction of the store holds at most."""


class SeenExecutors(EmulatedExecutors):
    """Emulated executors that write down all that happens."""

    def __init__(self, sight: Sight) -> None:
        super().__init__()
        self.sight = sight
        self.is_late = False
        """Whether the order that is carried out now comes late."""

    def _log(
        self,
        what: str,
        executor: EmulatedExecutor,
        task: TaskKey,
        run: int,
        *,
        token: int = 0,
        number: int = 0,
        sent_at: float = 0.0,
    ) -> None:
        name, born = executor.executor.instance
        event = Event(time.time(), what, task, run, name, token, number, born=born)
        self.sight.note(
            f"executor.{what}",
            event.at,
            job=task.job,
            step=task.step,
            index=task.member,
            occurrence=task.occurrence,
            run=run,
            executor=event.executor,
            born=event.born,
            token=token,
            number=number,
            late=self.is_late,
        )

    def crash(self, name: str) -> None:
        """End an instance at once, and write down that it is over."""
        place = self.by_id[name]
        instance = place.executor.instance
        self.sight.note("executor.over", executor=name, born=instance.born, is_down=place.is_down)
        super().crash(name)

    async def note_rest(self) -> None:
        """Write down lapses and the ends that were taken note of, until cancelled."""
        while True:
            await trio.sleep(NEWS_S)
            lapses, self.lapses = self.lapses, []
            for (executor, born), at in lapses:
                passed_s = trio.current_time() - at
                self.sight.note(
                    "executor.lapse", time.time() - passed_s, executor=executor, born=born
                )
            noted, self.taken_note = self.taken_note, set()
            for (executor, born), number in sorted(noted):
                self.sight.note("executor.noted", executor=executor, born=born, number=number)


class Place:
    """One address: the instance that is there now, and its entry in the store."""

    def __init__(self, server: ExecutorServer, number: int) -> None:
        self.server = server
        self.number = number
        self.address = server.settings.network.executor(number)
        self.instances = 0
        self.faults = OrderFaults()
        self.instance = self.begin_life()
        self.keeps_entry = True
        self.is_changed = True
        self.is_resized = False
        self.foreign = ""
        self.is_left = False
        self.has_crashed = False
        """Whether nobody is at the address until its next instance."""
        self._telling = trio.Lock()
        self._told_refusal: bool | None = False
        """What the links were told last; None if it is not known whether they have heard."""
        self._lease = 0
        self._sequence = 0

    def begin_life(self, keeps_id: bool = False) -> EmulatedExecutor:
        """Begin an instance, which runs nothing and has seen no token; its id is new unless kept.

        Under a kept id its clock begins at 0.
        """
        self.instances += 1
        rack = f"r{self.number % RACKS}"
        name = self.instance.executor.id if keeps_id else f"e{self.number}-{self.instances}"
        born = int(time.time() * 1000)
        executor = Executor(
            name, self.address, "pool", "local-a", rack, ("kind", rack), CAPACITY, born=born
        )
        offset_s = -trio.current_time() if keeps_id else 1000.0 * self.instances
        instance = EmulatedExecutor(executor, stop_s=STOP_S, clock_offset_s=offset_s)
        self.server.executors.by_id[name] = instance
        self.instance = instance
        self.server.sight.note(
            "executor.begun",
            executor=name,
            born=born,
            place=self.number,
            rack=rack,
            capacity=list(CAPACITY),
        )
        return instance

    async def keep_entry(self) -> None:
        """Keep the entry in the store as this address says it, until cancelled."""
        while True:
            if self.keeps_entry and not self.faults.silent:
                await self._write_entry()
            await trio.sleep(HEARTBEAT_S * self.server.random.uniform(0.8, 1.1))

    async def _write_entry(self) -> None:
        if self._lease and not self.is_changed and await self._renew():
            return
        answer = await self.server.call_store(
            spelling.GRANT_PATH, spelling.write_lease(0, ENTRY_LEASE_S)
        )
        if answer is None:
            return
        executor, lease, self._sequence = (
            self.instance.executor,
            answer["lease"],
            self._sequence + 1,
        )
        put = Put(spelling.EXECUTOR_PREFIX + executor.id, self._choose_entry(), lease)
        body = spelling.write_transaction(Transaction((), (put,)))
        if await self.server.call_store(spelling.COMMIT_PATH, body) is not None:
            self._lease, self.is_changed = lease, False
            if self.foreign:
                self.server.sight.note("executor.overwritten", executor=executor.id)
                return
            self.server.sight.note("executor.written", executor=executor.id)
            if executor.is_draining:
                self.server.sight.note("executor.draining", executor=executor.id)
            if self.is_resized:
                room = list(executor.capacity)
                self.server.sight.note("executor.resized", executor=executor.id, capacity=room)
                self.is_resized = False

    def _choose_entry(self) -> bytes:
        """Return what the executor says of itself, or what another writer puts there instead."""
        executor = self.instance.executor
        if not self.foreign:
            return spelling.write_entry(executor, self._sequence)
        return spelling.write_foreign_entries(executor, self._sequence)[self.foreign]

    async def _renew(self) -> bool:
        return await self.server.call_store(f"{spelling.RENEW_PATH}{self._lease}", {}) is not None

    async def keep_entry_for(self, for_s: float) -> None:
        """Have the entry go so long from now, as its lease runs out."""
        self.keeps_entry = False
        await trio.sleep(for_s - ENTRY_LEASE_S)
        await self._renew()

    async def tell_links(self) -> None:
        """Have the links to this address refuse new connections, or take them again."""
        async with self._telling:
            refuses = self.faults.refuses or (self.has_crashed and not self.faults.silent)
            if refuses == self._told_refusal:
                return
            is_told = await self.server.steer_links(self.number, "refuse", refuses=refuses)
            self._told_refusal = refuses if is_told else None

    async def remove_entry(self) -> None:
        """Take the entry away; it is not written again in this instance."""
        self.keeps_entry = False
        body = spelling.write_transaction(
            Transaction((), (), (spelling.EXECUTOR_PREFIX + self.instance.executor.id,))
        )
        await self.server.call_store(spelling.COMMIT_PATH, body)

    # Orders

    async def answer(self, request: Request) -> Answer:
        """Answer one order."""
        instance, order = self.instance, _read_order(request)
        if isinstance(order, StartOrder) and self.faults.silent:
            self._note_unanswered(instance, order)
        if order is None or self.faults.silent:
            return NoResponse.SILENCE if self.faults.silent else Response(404)
        if instance.is_down:
            return NoResponse.RESET
        if self.faults.slow_s:
            await trio.sleep(self.server.random.uniform(0.2, 1.0) * self.faults.slow_s)
        if not self._is_meant(request, instance):
            return Response(421)
        if not isinstance(order, HoldOrder):
            fate = self._choose_fate()
            if fate == "late":
                if isinstance(order, StartOrder):
                    self._note_unanswered(instance, order)
                self.server.nursery.start_soon(self._obey_late, instance, order)
                return NoResponse.SILENCE
            if fate is not None:
                return fate
        return await self._tell(instance, order, self._obey(instance, order))

    async def _tell(self, instance: EmulatedExecutor, order: Any, outcome: OrderOutcome) -> Answer:
        """Answer an order that came in time, and write down a stop that was answered."""
        if isinstance(outcome, Acknowledged) and isinstance(order, HoldOrder):
            return await self._report(instance, order)
        if isinstance(outcome, Acknowledged) and isinstance(order, StopOrder):
            self._note_order("executor.stop_answered", instance, order)
        return _write_outcome(outcome, instance.clock_ms())

    def _note_unanswered(self, instance: EmulatedExecutor, order: StartOrder) -> None:
        self._note_order("executor.unanswered", instance, order)

    def _note_order(
        self, kind: str, instance: EmulatedExecutor, order: StartOrder | StopOrder
    ) -> None:
        self.server.sight.note(
            kind,
            executor=instance.executor.id,
            born=instance.executor.born,
            job=order.task.job,
            step=order.task.step,
            index=order.task.member,
            occurrence=order.task.occurrence,
            run=order.run,
        )

    def _is_meant(self, request: Request, instance: EmulatedExecutor) -> bool:
        meant = request.headers.get(spelling.LIFE_HEADER)
        return not instance.is_gone and meant in (None, instance.executor.id)

    def _choose_fate(self) -> Any:
        draw = self.server.random.random()
        if draw < self.faults.unanswered_share:
            return "late"
        draw -= self.faults.unanswered_share
        if draw < self.faults.refused_share:
            return Response(self.server.random.choice([429, 503]))
        draw -= self.faults.refused_share
        return NoResponse.RESET if draw < self.faults.reset_share else None

    async def _obey_late(self, instance: EmulatedExecutor, order: Order) -> None:
        faults = self.faults
        await trio.sleep(self.server.random.uniform(faults.late_from_s, faults.late_to_s))
        if self.instance.executor.id == instance.executor.id:
            instance = self.instance
        if instance.is_gone:
            return
        self.server.executors.is_late = True
        try:
            outcome = self._obey(instance, order)
        finally:
            self.server.executors.is_late = False
        if isinstance(order, StartOrder | StopOrder):
            self.server.sight.note(
                "order.late",
                order=type(order).__name__,
                job=order.task.job,
                index=order.task.member,
                run=order.run,
                executor=instance.executor.id,
                outcome=repr(outcome),
            )

    def _obey(self, instance: EmulatedExecutor, order: Order) -> OrderOutcome:
        if isinstance(order, StartOrder):
            work = spelling.read_work(order.payload)
            self.server.executors.specs.setdefault(order.task.job, {})[order.task.step] = work
        outcome = self.server.executors.obey(instance, order)
        for _, name in self.server.executors.overfull:
            self.server.sight.note("executor.overfull", executor=name)
        self.server.executors.overfull.clear()
        return outcome

    async def _report(self, instance: EmulatedExecutor, order: HoldOrder) -> Answer:
        if order.wait_s and not instance.ended:
            with trio.move_on_after(order.wait_s):
                await instance.news.wait()
        if self.faults.silent:
            return NoResponse.SILENCE
        if instance.is_gone:
            return NoResponse.RESET
        running = [
            RunningRun(run.task, run.run, "", 100 * run.worked_s / run.work_s)
            for run in instance.running.values()
        ]
        return Response(
            200,
            spelling.write_report(
                instance.clock_ms(), running, instance.ended[:500], born=instance.executor.born
            ),
        )


class ExecutorServer:
    """All addresses of one process."""

    def __init__(self, settings: StandinSettings, sight: Sight, nursery: trio.Nursery) -> None:
        self.settings = settings
        self.sight = sight
        self.nursery = nursery
        self.random = random.Random(f"executors {settings.seed}")
        self.executors = SeenExecutors(sight)
        self.executors.on_crash = self.crash_by_itself
        self.client = HttpClient()
        self.places: dict[int, Place] = {}
        self.keeps_ids = False
        self._scopes: dict[int, trio.CancelScope] = {}

    async def call_store(self, path: str, body: dict[str, Any]) -> dict[str, Any] | None:
        """Call the store through the proxy; None unless it did it."""
        address = self.settings.network.store_link(EXECUTORS_FACE)
        reply = await self.client.call(
            address, "POST", path, body=orjson.dumps(body), timeout_s=WRITE_S
        )
        if not isinstance(reply, Reply) or reply.status != 200:
            return None
        value: dict[str, Any] = orjson.loads(reply.body)
        return value

    async def steer_links(self, number: int, command: str, **values: Any) -> bool:
        """Tell the links' process what becomes of the links between hosts and an address.

        Returns whether it did that.
        """
        address = self.settings.network.control(LINKS)
        body = orjson.dumps({"links": [f"h*>e{number}"], **values})
        reply = await self.client.call(address, "POST", f"/{command}", body=body, timeout_s=STEER_S)
        return isinstance(reply, Reply) and reply.status == 200

    async def add(self, values: dict[str, Any]) -> None:
        """Have an executor join at an address that none had before."""
        number = values["executor"]
        self.places[number] = Place(self, number)
        await self.nursery.start(self._serve, number)

    async def _serve(self, number: int, task_status: trio.TaskStatus[None]) -> None:
        place = self.places[number]
        with trio.CancelScope() as scope:
            self._scopes[number] = scope
            async with trio.open_nursery() as nursery:
                nursery.start_soon(place.keep_entry)
                await serve_http(place.address, place.answer, task_status)

    # Steering

    def _find(self, values: dict[str, Any]) -> Place:
        return self.places[values["executor"]]

    async def set_faults(self, values: dict[str, Any]) -> None:
        """Set what some addresses do to orders."""
        for number in values["executors"]:
            place = self.places[number]
            place.faults = replace(place.faults, **values["set"])
            self._note_silence(place)
            await place.tell_links()

    def _note_silence(self, place: Place) -> None:
        name, is_silent = place.instance.executor.id, place.faults.silent or place.faults.refuses
        self.sight.note("executor.silence", executor=name, place=place.number, is_silent=is_silent)

    async def set_life(self, values: dict[str, Any]) -> None:
        """Set how the instance at an address works: failing, standing still, slow."""
        for name, value in values["set"].items():
            setattr(self._find(values).instance, name, value)
        instance = self._find(values).instance
        self.sight.note(
            "executor.health", executor=instance.executor.id, fails_all=instance.fails_all
        )

    async def set_crashing(self, values: dict[str, Any]) -> None:
        """Have the first task of each of some jobs crash the executors that start it."""
        for job in values["jobs"]:
            self.executors.crashing[TaskKey(job, 0, 0)] = values["after_s"]
            self.sight.note("executor.crashing", executor="", job=job, after_s=values["after_s"])

    def crash_by_itself(self, name: str) -> None:
        """End an instance that a task has crashed; a new one is there seconds later."""
        place = next(place for place in self.places.values() if place.instance.executor.id == name)
        place.instance.is_down = True
        self.nursery.start_soon(self._crash, place, BACK_AFTER_S, self.keeps_ids)

    async def resize(self, values: dict[str, Any]) -> None:
        """Let the room of an executor that does not guard it shrink or grow."""
        place = self._find(values)
        room = Resources(*(int(amount * values["share"]) for amount in CAPACITY))
        place.instance.executor = replace(place.instance.executor, capacity=room)
        place.instance.guards = False
        place.is_resized = place.is_changed = True

    async def overwrite(self, values: dict[str, Any]) -> None:
        """Have another writer's form stand in an entry; an empty name puts the executor's back."""
        place = self._find(values)
        forms = sorted(spelling.write_foreign_entries(place.instance.executor, 0))
        place.foreign = self.random.choice(forms) if values["is_foreign"] else ""
        place.is_changed = True

    async def storm(self, values: dict[str, Any]) -> None:
        """Put entries of ids that no executor has; they go as leases do.

        Good entries stand under ids that no call can name.
        """
        answer = await self.call_store(spelling.GRANT_PATH, spelling.write_lease(0, ENTRY_LEASE_S))
        if answer is None:
            return
        executor = self.places[0].instance.executor
        forms = list(spelling.write_foreign_entries(executor, 0).values())
        keys = [f"{spelling.EXECUTOR_PREFIX}x{number}" for number in range(values["count"])]
        for first in range(0, len(keys), STORM_PART):
            part = keys[first : first + STORM_PART]
            puts = tuple(Put(key, self.random.choice(forms), answer["lease"]) for key in part)
            body = spelling.write_transaction(Transaction((), puts))
            await self.call_store(spelling.COMMIT_PATH, body)
        good = spelling.write_entry(executor, 0)
        odd_keys = [f"{spelling.EXECUTOR_PREFIX}{name}" for name in spelling.ODD_IDS]
        puts = tuple(Put(key, good, answer["lease"]) for key in odd_keys)
        body = spelling.write_transaction(Transaction((), puts))
        await self.call_store(spelling.COMMIT_PATH, body)

    async def crash(self, values: dict[str, Any]) -> None:
        """End an instance without a word; a new one is at the same address `after_s` later.

        Until then nobody is at the address.
        """
        place = self._find(values)
        place.instance.is_down = values["after_s"] > 0
        await self._crash(place, values["after_s"])

    async def crash_for_good(self, values: dict[str, Any]) -> None:
        """End some instances without a word; nobody is at their addresses any more.

        Their entries are there for some seconds, as those of executors that are silent.
        """
        for number in values["executors"]:
            place = self.places[number]
            place.is_left = place.instance.is_down = True
            self.nursery.start_soon(place.keep_entry_for, ENTRY_GOES_S)
            await self._crash(place, 0.0)

    async def list_busiest(self, values: dict[str, Any]) -> list[int]:
        """Return those of some addresses that answer, with most runs first."""
        places = [self.places[number] for number in values["executors"]]
        answering = [p for p in places if not (p.instance.is_gone or p.faults.silent)]
        answering.sort(key=lambda place: (-len(place.instance.running), place.number))
        return [place.number for place in answering]

    async def lose(self, values: dict[str, Any]) -> None:
        """End some instances without a word; nobody is at their addresses until new ones are."""
        for number in values["executors"]:
            place = self.places[number]
            if place.instance.is_gone or place.instance.executor.is_draining:
                continue
            place.instance.is_down = True
            self.nursery.start_soon(self._crash, place, values["after_s"])

    async def restart(self, values: dict[str, Any]) -> None:
        """End some instances without a word; each address has another one under its id later."""
        self.keeps_ids = True
        for number in values["executors"]:
            instance = self.places[number].instance
            if instance.is_gone or instance.executor.is_draining:
                continue
            instance.is_down = True
            self.nursery.start_soon(self._crash, self.places[number], values["after_s"], True)

    async def _crash(self, place: Place, after_s: float, keeps_id: bool = False) -> None:
        instance = place.instance
        if instance.is_gone:
            return
        self.executors.crash(instance.executor.id)
        place.keeps_entry, place.has_crashed = False, True
        await place.tell_links()
        if not place.faults.silent:
            await self.steer_links(place.number, "reset")
        await trio.sleep(after_s)
        if place.is_left or instance.executor.is_draining or place.instance is not instance:
            return
        place.begin_life(keeps_id)
        place.keeps_entry, place.is_changed, place.has_crashed = True, True, False
        await place.tell_links()

    async def drain(self, values: dict[str, Any]) -> None:
        """Say that an executor leaves, serve on, and end; one that is gone just stays away."""
        place = self._find(values)
        instance = place.instance
        if instance.is_gone:
            await self._leave(place)
            return
        left_s = values["left_s"]
        instance.executor = replace(instance.executor, leaves_in_s=left_s)
        place.is_changed = True
        await place._write_entry()
        await trio.sleep(left_s + values["longer_s"])
        await self._leave(place)

    async def vanish(self, values: dict[str, Any]) -> None:
        """Take an entry away while its executor serves on, then end it."""
        place = self._find(values)
        self.sight.note("executor.vanished", executor=place.instance.executor.id)
        await place.remove_entry()
        await trio.sleep(values["left_s"])
        await self._leave(place)

    async def _leave(self, place: Place) -> None:
        place.is_left, place.keeps_entry = True, False
        place.instance.is_down = True
        self.executors.crash(place.instance.executor.id)
        await place.remove_entry()
        self._scopes[place.number].cancel()

    async def mend(self, values: dict[str, Any]) -> None:
        """End every fault."""
        for place in self.places.values():
            place.faults = OrderFaults()
            self._note_silence(place)
            await place.tell_links()
            place.foreign, place.is_changed = "", True
            place.instance.fails_all = place.instance.stands_still = False
            place.instance.slowness = 1.0
            name = place.instance.executor.id
            self.sight.note("executor.health", executor=name, fails_all=False)


def _read_order(request: Request) -> Order | None:
    if request.path == spelling.START_PATH:
        return spelling.read_start(request.read_json())
    if request.path == spelling.STOP_PATH:
        return spelling.read_stop(request.read_json())
    if request.path == spelling.HOLD_PATH:
        return spelling.read_hold(request.read_json())
    return None


def _write_outcome(outcome: OrderOutcome, clock_ms: int) -> Response:
    if isinstance(outcome, Acknowledged):
        return Response(200, spelling.write_clock(clock_ms))
    if isinstance(outcome, Refused):
        return Response(409, spelling.write_refusal(outcome.reason, clock_ms))
    return Response(503)


async def play(settings: StandinSettings, sight: Sight, nursery: trio.Nursery) -> None:
    """Run all executors, then the steering."""
    server = ExecutorServer(settings, sight, nursery)
    nursery.start_soon(server.executors.run)
    nursery.start_soon(server.executors.note_rest)
    for number in range(settings.executors):
        await server.add({"executor": number})
    commands = {
        "faults": server.set_faults,
        "life": server.set_life,
        "crash": server.crash,
        "crash_for_good": server.crash_for_good,
        "busiest": server.list_busiest,
        "lose": server.lose,
        "restart": server.restart,
        "crashing": server.set_crashing,
        "resize": server.resize,
        "overwrite": server.overwrite,
        "storm": server.storm,
        "drain": server.drain,
        "vanish": server.vanish,
        "add": server.add,
        "mend": server.mend,
    }
    with planted_if(settings.more.get("plant", "")):
        await nursery.start(serve_commands, settings.control, commands)
        await trio.sleep_forever()


if __name__ == "__main__":
    run_standin("executors", play)
