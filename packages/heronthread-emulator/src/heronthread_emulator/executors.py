"""Executors that run tasks on trio's clock, with the faults that orders meet.

They record what a checker needs: every start, every end, and which ends were taken note of.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from heronthread_dispatch.executor_link import (
    Acknowledged,
    EndedRun,
    EndKind,
    HoldOrder,
    HoldOutcome,
    InstanceEnded,
    NoAnswer,
    OrderOutcome,
    Refusal,
    Refused,
    Report,
    RunningRun,
    StartOrder,
    StopOrder,
    Unhealthy,
)
from heronthread_dispatch.model import Executor, ExecutorInstance, Resources, TaskKey

from .approver import EmulatedApprover

SILENCE_S = 0.8
LATENCY_S = 0.002
TICK_S = 0.02
GANG_TIMEOUT_S = 3.0
ENDS_AT_ONCE = 500
MOST_HOLD_S = 10.0
"""A longer holding time is cut to that, as of an order that was meant for another instance's
clock."""


@dataclass(frozen=True, slots=True)
class WorkSpec:
    """What a run of a task does: its need, how long it works, and how it ends."""

    need: Resources
    work_s: float
    members: int = 1
    kind: EndKind = EndKind.DONE


Whole = tuple[TaskKey, int]
"""A step of a job by its first task's key, and the number of a run."""

DEFAULT_WORK = WorkSpec(Resources(100, 10, 0), 5.0)


@dataclass(slots=True, eq=False)
class Run:
    """One run at one executor."""

    task: TaskKey
    run: int
    need: Resources
    work_s: float
    worked_s: float = 0.0
    members: int = 1
    arrived_at: float = 0.0
    stopping_at: float | None = None
    kind: EndKind = EndKind.DONE

    @property
    def whole(self) -> Whole:
        """What all members of its gang share."""
        return self.task._replace(member=0), self.run


@dataclass(frozen=True, slots=True)
class Event:
    """One start or end, for the checker; `sent_at` is when the order of a start was given."""

    at: float
    what: str
    task: TaskKey
    run: int
    executor: str
    token: int = 0
    number: int = 0
    sent_at: float = 0.0
    born: int = 0

    @property
    def instance(self) -> ExecutorInstance:
        """The instance of the executor at which it happened."""
        return ExecutorInstance(self.executor, self.born)


@dataclass(slots=True, eq=False)
class EmulatedExecutor:
    """One instance of an executor.

    Faults: `is_cut` answers nothing and does nothing; `lose_answers` orders are done and
    not answered, `late_s` later if that is set; of starts alone `lose_starts` are. After
    those `shed` starts and stops are turned away, each after `shed_s`. `fails_all`;
    `stands_still`; `slowness` times as long; `is_sick` turns starts away; `is_unreachable`
    takes no connection for a start; `is_down` takes none at all; `is_gone` is another instance. One
    that does not guard its capacity (`guards`) starts what it is told to.
    """

    executor: Executor
    stop_s: float = 0.1
    token: int = 0
    running: dict[tuple[TaskKey, int], Run] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    floor: dict[TaskKey, int] = field(default_factory=dict)
    numbers: int = 0
    hold_until: float = 0.0
    is_held: bool = False
    is_cut: bool = False
    is_down: bool = False
    guards: bool = True
    is_gone: bool = False
    is_sick: bool = False
    is_unreachable: bool = False
    fails_all: bool = False
    stands_still: bool = False
    slowness: float = 1.0
    lose_answers: int = 0
    lose_starts: int = 0
    shed: int = 0
    shed_s: float = LATENCY_S
    late_s: float = 0.0
    clock_offset_s: float = 1000.0
    news: trio.Event = field(default_factory=trio.Event)

    def clock_ms(self) -> int:
        """Return the time on its own clock."""
        return int((trio.current_time() + self.clock_offset_s) * 1000)

    def used(self) -> Resources:
        """Return what its runs take."""
        total = Resources()
        for run in self.running.values():
            total = total.plus(run.need)
        return total


class EmulatedExecutors:
    """All executors of a site, as one `ExecutorLink`, and what happened on them.

    `lengths` names tasks that work longer (s) than their step says; `shown_percent` is
    reported for all runs if it is set, as of lasting ones that are at work. With an `approver`
    every start needs its ticket. With `hides_ends` reports say that more ended than they name.
    A task in `crashing` crashes each executor that starts it, so many seconds later;
    `on_crash` is then called with its name. `overfull` are the starts (when ordered, where)
    that went over a capacity that is not guarded. `on_tick` is called after each step of time.
    `unanswered` are the starts that were sent and have got no answer. With `breaks_gangs` a
    member's end or crash ends the rest of its run as broken at once, where that is not cut off.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, EmulatedExecutor] = {}
        self.specs: dict[str, dict[int, WorkSpec]] = {}
        self.lengths: dict[TaskKey, float] = {}
        self.shown_percent: float | None = None
        self.approver: EmulatedApprover | None = None
        self.hides_ends = False
        self.breaks_gangs = False
        self.crashing: dict[TaskKey, float] = {}
        self.overfull: list[tuple[float, str]] = []
        self.on_crash: Callable[[str], None] = self.crash
        self.on_tick: Callable[[], None] | None = None
        self.events: list[Event] = []
        self.unanswered: set[tuple[ExecutorInstance, TaskKey, int]] = set()
        self.taken_note: set[tuple[ExecutorInstance, int]] = set()
        self.noted_at: dict[tuple[ExecutorInstance, int], float] = {}
        self.lapses: list[tuple[ExecutorInstance, float]] = []
        self._nursery: trio.Nursery | None = None
        self._wholes: dict[Whole, list[tuple[EmulatedExecutor, Run]]] = {}

    async def run(self) -> None:
        """Let time pass for all runs, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                await trio.sleep(TICK_S)
                for executor in list(self.by_id.values()):
                    if not executor.is_gone:
                        self._advance(executor)
                if self.on_tick is not None:
                    self.on_tick()

    def _advance(self, executor: EmulatedExecutor) -> None:
        now = trio.current_time()
        if executor.is_held and executor.clock_ms() / 1000 > executor.hold_until:
            executor.is_held = False
            self.lapses.append((executor.executor.instance, trio.current_time()))
            for run in list(executor.running.values()):
                self._end(executor, run, EndKind.LAPSED)
            return
        for run in list(executor.running.values()):
            if (run.task, run.run) not in executor.running:
                continue
            if run.stopping_at is not None and now >= run.stopping_at:
                self._end(executor, run, EndKind.STOPPED)
            elif run.stopping_at is None and not executor.stands_still:
                self._work(executor, run)

    def _work(self, executor: EmulatedExecutor, run: Run) -> None:
        if executor.fails_all:
            self._end(executor, run, EndKind.FAILED)
            return
        if run.members > 1 and len(self._wholes[run.whole]) < run.members:
            if trio.current_time() - run.arrived_at > GANG_TIMEOUT_S:
                self._end(executor, run, EndKind.ALONE)
            return
        run.worked_s = min(run.work_s, run.worked_s + TICK_S / executor.slowness)
        members = self._wholes[run.whole] if run.members > 1 else [(executor, run)]
        if all(member.worked_s >= member.work_s for _, member in members):
            kind = run.kind
            for place, member in self._sort(members):
                own = kind if member is run or kind is EndKind.DONE else EndKind.BROKEN
                self._end(place, member, own)

    def _sort(
        self, members: list[tuple[EmulatedExecutor, Run]]
    ) -> list[tuple[EmulatedExecutor, Run]]:
        """Return the members of a gang run as their executors stand, and by their arrival there."""
        if len(members) < 2:
            return list(members)
        places = {name: place for place, name in enumerate(self.by_id)}
        return sorted(members, key=lambda member: places[member[0].executor.id])

    def _add(self, place: EmulatedExecutor, run: Run) -> None:
        place.running[run.task, run.run] = run
        self._wholes.setdefault(run.whole, []).append((place, run))

    def _drop(self, place: EmulatedExecutor, run: Run) -> bool:
        """Take a run away; False if it is not there."""
        if place.running.pop((run.task, run.run), None) is None:
            return False
        left = [member for member in self._wholes[run.whole] if member[1] is not run]
        if left:
            self._wholes[run.whole] = left
        else:
            del self._wholes[run.whole]
        return True

    def _end(self, executor: EmulatedExecutor, run: Run, kind: EndKind) -> None:
        if not self._drop(executor, run):
            return
        executor.numbers += 1
        executor.floor[run.task] = max(executor.floor.get(run.task, 0), run.run)
        end = EndedRun(executor.numbers, run.task, run.run, kind, "")
        executor.ended.append(end)
        self._log(kind.value, executor, run.task, run.run, number=executor.numbers)
        executor.news.set()
        executor.news = trio.Event()
        if kind not in (EndKind.DONE, EndKind.BROKEN):
            self._break_gang(run)

    def _break_gang(self, run: Run) -> None:
        """End the rest of a run of which a member has ended."""
        if self.breaks_gangs and run.members > 1:
            for place, member in self._sort(self._wholes.get(run.whole, [])):
                if not place.is_cut:
                    self._end(place, member, EndKind.BROKEN)

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
        now = trio.current_time()
        name, born = executor.executor.instance
        self.events.append(Event(now, what, task, run, name, token, number, sent_at, born))

    def crash(self, name: str) -> None:
        """End an instance at once: what ran there is gone, and it lists nothing any more."""
        place = self.by_id[name]
        place.is_gone = True
        place.news.set()
        ended = list(place.running.values())
        for run in ended:
            self._drop(place, run)
            self._log("gone", place, run.task, run.run)
        for run in ended:
            self._break_gang(run)

    def plant_run(self, name: str, task: TaskKey, run: int, work_s: float = 30.0) -> None:
        """Have a run begin that nobody ordered, as one that was thought to be nowhere."""
        place = self.by_id[name]
        now = trio.current_time()
        self._add(place, Run(task, run, DEFAULT_WORK.need, work_s, arrived_at=now))
        self._log("start", place, task, run, token=place.token)

    def starts(self, task: TaskKey | None = None) -> list[Event]:
        """Return all starts, or those of one task."""
        return [e for e in self.events if e.what == "start" and task in (None, e.task)]

    # The link

    async def start(self, executor: Executor, order: StartOrder) -> OrderOutcome:
        """Start a run."""
        place = self.by_id.get(executor.id)
        if place is not None and place.is_unreachable:
            await trio.sleep(LATENCY_S)
            return NoAnswer("refused", unsent=True)
        is_lost = place is not None and place.lose_starts > 0
        if place is not None and is_lost:
            place.lose_starts -= 1
        elif place is not None and await self._is_shed(place):
            return Unhealthy()
        sent_at = trio.current_time()
        sent = (executor.instance, order.task, order.run)
        self.unanswered.add(sent)
        outcome = await self._order(executor, lambda e: self._start(e, order, sent_at), is_lost)
        if not isinstance(outcome, NoAnswer) or outcome.unsent:
            self.unanswered.discard(sent)
        return outcome

    async def stop(self, executor: Executor, order: StopOrder) -> OrderOutcome:
        """Stop a run."""
        place = self.by_id.get(executor.id)
        if place is not None and not place.lose_starts and await self._is_shed(place):
            return Unhealthy()
        return await self._order(executor, lambda e: self._stop(e, order))

    async def hold(self, executor: Executor, order: HoldOrder) -> HoldOutcome:
        """Renew the holding time and read both lists."""
        outcome = await self._order(executor, lambda e: self._hold(e, order))
        if not isinstance(outcome, Acknowledged):
            return outcome
        place = self.by_id[executor.id]
        if order.wait_s and not place.ended:
            with trio.move_on_after(order.wait_s):
                await place.news.wait()
        if place.is_cut:
            await trio.sleep(SILENCE_S)
            return NoAnswer("silent")
        if place.is_down:
            return NoAnswer("refused", unsent=True)
        if self.by_id[executor.id] is not place:
            return NoAnswer("reset")
        running = tuple(
            RunningRun(r.task, r.run, "", self.shown_percent or 100 * r.worked_s / r.work_s)
            for r in place.running.values()
        )
        ended = () if self.hides_ends else tuple(place.ended[:ENDS_AT_ONCE])
        is_complete = not self.hides_ends and len(ended) < ENDS_AT_ONCE
        return Report(place.clock_ms(), running, ended, is_complete, place.executor.born)

    async def _is_shed(self, place: EmulatedExecutor) -> bool:
        if place.shed <= 0 or place.is_cut or place.is_gone:
            return False
        place.shed -= 1
        await trio.sleep(place.shed_s)
        return True

    async def _order(self, executor: Executor, act: object, is_lost: bool = False) -> OrderOutcome:
        await trio.sleep(LATENCY_S)
        place = self.by_id.get(executor.id)
        if place is None or place.is_cut:
            await trio.sleep(SILENCE_S)
            return NoAnswer("silent")
        if place.is_down:
            return NoAnswer("refused", unsent=True)
        if place.is_gone:
            return InstanceEnded()
        if is_lost or place.lose_answers > 0:
            place.lose_answers -= not is_lost
            if place.late_s:
                assert self._nursery is not None
                self._nursery.start_soon(self._act_late, place, act, place.late_s)
            else:
                act(place)  # type: ignore[operator]
            await trio.sleep(SILENCE_S)
            return NoAnswer("the answer was lost")
        outcome: OrderOutcome = act(place)  # type: ignore[operator]
        return outcome

    async def _act_late(self, place: EmulatedExecutor, act: object, late_s: float) -> None:
        """Carry an order out late: by the instance that then has the id, whichever was meant."""
        await trio.sleep(late_s)
        now_there = self.by_id[place.executor.id]
        if not now_there.is_gone:
            act(now_there)  # type: ignore[operator]

    def obey(
        self, place: EmulatedExecutor, order: StartOrder | StopOrder | HoldOrder
    ) -> OrderOutcome:
        """Carry an order out at once; of a hold only what it says, not its wait."""
        if isinstance(order, StartOrder):
            return self._start(place, order, trio.current_time())
        return (
            self._stop(place, order) if isinstance(order, StopOrder) else self._hold(place, order)
        )

    def _fence(self, place: EmulatedExecutor, token: int) -> bool:
        if token < place.token:
            return True
        place.token = token
        return False

    def _start(self, place: EmulatedExecutor, order: StartOrder, sent_at: float) -> OrderOutcome:
        if self._fence(place, order.token):
            return Refused(Refusal.FENCED)
        if place.is_sick:
            return Unhealthy()
        if order.until_ms < place.clock_ms():
            return Refused(Refusal.LATE)
        self._keep_until(place, order.until_ms)
        if (order.task, order.run) in place.running:
            return Acknowledged()
        if order.run <= place.floor.get(order.task, 0):
            return Refused(Refusal.OLD_RUN)
        instance = place.executor.instance
        if self.approver and not self.approver.is_good(order.ticket, order.task, instance):
            return Refused(Refusal.NOT_APPROVED)
        work = self.specs.get(order.task.job, {}).get(order.task.step, DEFAULT_WORK)
        if not work.need.fits_in(place.executor.capacity.minus(place.used())):
            if place.guards:
                return Refused(Refusal.NO_ROOM)
            self.overfull.append((sent_at, place.executor.id))
        run = Run(
            order.task,
            order.run,
            work.need,
            self.lengths.get(order.task, work.work_s),
            members=work.members,
            arrived_at=trio.current_time(),
            kind=work.kind,
        )
        self._add(place, run)
        self._log("start", place, order.task, order.run, token=order.token, sent_at=sent_at)
        if order.task in self.crashing:
            assert self._nursery is not None
            self._nursery.start_soon(self._crash_later, place, order.task, order.run)
        return Acknowledged()

    async def _crash_later(self, place: EmulatedExecutor, task: TaskKey, run: int) -> None:
        await trio.sleep(self.crashing[task])
        if not place.is_gone and (task, run) in place.running:
            self.on_crash(place.executor.id)

    def _stop(self, place: EmulatedExecutor, order: StopOrder) -> OrderOutcome:
        if self._fence(place, order.token):
            return Refused(Refusal.FENCED)
        for run in place.running.values():
            if run.task == order.task and run.run <= order.run and run.stopping_at is None:
                run.stopping_at = trio.current_time() + place.stop_s
        place.floor[order.task] = max(place.floor.get(order.task, 0), order.run)
        return Acknowledged()

    def _hold(self, place: EmulatedExecutor, order: HoldOrder) -> OrderOutcome:
        if self._fence(place, order.token):
            return Refused(Refusal.FENCED)
        if order.until_ms is not None:
            self._keep_until(place, order.until_ms)
        for end in place.ended:
            if end.number <= order.seen:
                self.taken_note.add((place.executor.instance, end.number))
                self.noted_at.setdefault((place.executor.instance, end.number), trio.current_time())
        place.ended = [end for end in place.ended if end.number > order.seen]
        return Acknowledged()

    def _keep_until(self, place: EmulatedExecutor, until_ms: int) -> None:
        until_ms = min(until_ms, place.clock_ms() + int(MOST_HOLD_S * 1000))
        place.hold_until = max(place.hold_until, until_ms / 1000)
        place.is_held = True
