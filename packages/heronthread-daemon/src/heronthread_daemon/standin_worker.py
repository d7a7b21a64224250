"""A stand-in for the platform's workers, with leases, epochs, checkpoints and long polls.

It implements the protocol and runs no real work: a member runs for the duration that
`choose_duration` returns and then answers with the text that `make_content` returns.
"""

from __future__ import annotations

import uuid
from collections.abc import Callable
from dataclasses import dataclass, field

import trio
import xxhash
from eliot import log_message
from heronthread_coordination import make_answer

from .worker import (
    Command,
    Exchange,
    ExchangeOutcome,
    Result,
    StaleEpoch,
    TaskReport,
    TaskState,
    Unreachable,
    Verb,
    WorkerReply,
)

CHECKPOINT_TIME_S = 0.5
ACTIVE_STATES = (TaskState.RESERVED, TaskState.ARMED, TaskState.RUNNING)


def choose_duration(command: Command) -> float:
    """Return a duration of 0.8 to 1.2 times the expected one, derived from the job id."""
    fraction = xxhash.xxh3_64_intdigest(command.job_id.encode()) % 1000 / 1000
    return command.expected_s * (0.8 + 0.4 * fraction)


def make_content(command: Command, member: int) -> str:
    """Return the answer of one member, which names its job so that tests detect mix-ups."""
    return f"{command.job_id}[{member}]={command.payload};"


@dataclass(slots=True)
class StandinTask:
    """One member on a stand-in worker; times are on trio's clock, in seconds."""

    command: Command
    member: int
    state: TaskState
    lease_until: float
    checkpointed_s: float = 0.0
    started_at: float = 0.0
    run_at: float = float("inf")
    end_at: float = float("inf")
    checkpoint_at: float = float("inf")
    ever_ran: bool = False
    content: str = ""
    checkpoint: str = ""
    sequence: int = 0


@dataclass(slots=True)
class StandinWorker:
    """One worker with its capacity, tasks and cancelled attempts."""

    name: str
    units: dict[str, int]
    incarnation: str = field(default_factory=lambda: uuid.uuid4().hex[:8])
    epochs: dict[str, int] = field(default_factory=dict)
    tasks: dict[tuple[str, int], StandinTask] = field(default_factory=dict)
    cancelled: set[str] = field(default_factory=set)
    sequence: int = 1
    leaving: bool = False
    dead: bool = False
    paused_until: float = 0.0
    wake: trio.Event = field(default_factory=trio.Event)

    def used_units(self, pool: str) -> int:
        """Return the units of a pool that active members hold."""
        return sum(
            task.command.units
            for task in self.tasks.values()
            if task.command.pool == pool and task.state in ACTIVE_STATES
        )

    def notify_changed(self, *tasks: StandinTask) -> None:
        """Mark the reports of tasks as changed and wake long polls."""
        self.sequence += 1
        for task in tasks:
            task.sequence = self.sequence
        self.wake.set()
        self.wake = trio.Event()


class StandinWorkers:
    """The workers of a deployment, used in process or served over HTTP by `standin`."""

    def __init__(
        self,
        workers: dict[str, dict[str, int]],
        *,
        duration: Callable[[Command], float] = choose_duration,
        content: Callable[[Command, int], str] = make_content,
    ) -> None:
        self.workers = {name: StandinWorker(name, units) for name, units in workers.items()}
        self._choose_duration = duration
        self._make_content = content

    async def exchange(self, worker: str, exchange: Exchange) -> ExchangeOutcome:
        """Process one call to a worker."""
        found = self.workers.get(worker)
        if found is None or found.dead:
            return Unreachable(f"{worker} refuses connections", refused=True)
        if trio.current_time() < found.paused_until:
            await trio.sleep_until(found.paused_until)
        known = found.epochs.get(exchange.cell, 0)
        if exchange.epoch < known:
            return StaleEpoch(known)
        found.epochs[exchange.cell] = exchange.epoch
        self._advance(found)
        self._renew(found, exchange.task_lease_s)
        results = tuple(self._execute_command(found, command) for command in exchange.commands)
        if exchange.wait_s > 0:
            await self._wait_for_change(found, exchange)
        if found.dead:
            return Unreachable(f"{worker} died", refused=False)
        return self._reply(found, results, exchange.seen)

    def kill(self, worker: str) -> None:
        """Kill a worker and its tasks."""
        found = self.workers[worker]
        self._advance(found)
        for task in found.tasks.values():
            if task.state is TaskState.RUNNING:
                self._log(found, task, "task.killed")
        found.tasks.clear()
        found.cancelled.clear()
        found.epochs.clear()
        found.dead = True
        found.notify_changed()

    def restart(self, worker: str) -> None:
        """Restart a killed worker without tasks and with a new incarnation."""
        found = self.workers[worker]
        found.dead = False
        found.sequence = 1
        found.incarnation = uuid.uuid4().hex[:8]

    def pause(self, worker: str, duration_s: float) -> None:
        """Delay a worker's replies for `duration_s`; its tasks continue to run."""
        self.workers[worker].paused_until = trio.current_time() + duration_s

    async def _wait_for_change(self, worker: StandinWorker, exchange: Exchange) -> None:
        deadline = trio.current_time() + exchange.wait_s
        while worker.sequence == exchange.seen and not worker.dead:
            next_change = min(
                (
                    min(task.run_at, task.end_at, task.checkpoint_at)
                    for task in worker.tasks.values()
                ),
                default=float("inf"),
            )
            if trio.current_time() >= deadline:
                return
            with trio.move_on_at(min(deadline, max(next_change, trio.current_time()))):
                await worker.wake.wait()
            self._advance(worker)

    def _reply(self, worker: StandinWorker, results: tuple[Result, ...], seen: int) -> WorkerReply:
        if seen > worker.sequence:
            seen = 0
        tasks = tuple(_report(t) for t in worker.tasks.values() if t.sequence > seen)
        return WorkerReply(
            max(worker.epochs.values(), default=0),
            worker.incarnation,
            worker.sequence,
            results,
            tasks,
            worker.leaving,
        )

    def _renew(self, worker: StandinWorker, lease_s: float) -> None:
        until = trio.current_time() + lease_s
        for task in worker.tasks.values():
            if task.state in (TaskState.ARMED, TaskState.RUNNING):
                task.lease_until = until

    def _advance(self, worker: StandinWorker) -> None:
        """Run the state changes that are due: start, finish, checkpoint, lease expiry."""
        now = trio.current_time()
        for key, task in list(worker.tasks.items()):
            if task.state is TaskState.ARMED and task.run_at <= min(now, task.lease_until):
                self._run(worker, task)
            if task.state is TaskState.RUNNING and task.end_at <= min(
                now, task.checkpoint_at, task.lease_until
            ):
                task.state = TaskState.DONE
                task.content = self._make_content(task.command, task.member)
                self._end_task(worker, task, "task.done")
            elif task.state is TaskState.RUNNING and task.checkpoint_at <= now:
                task.checkpoint = str(task.checkpointed_s + task.checkpoint_at - task.started_at)
                task.state = TaskState.STOPPED
                self._end_task(worker, task, "task.checkpointed")
            elif task.state in ACTIVE_STATES and task.lease_until < now:
                ran = task.state is TaskState.RUNNING
                task.state = TaskState.STOPPED
                self._end_task(worker, task, "task.lapsed")
                if not ran:
                    worker.cancelled.add(task.command.attempt)
                    del worker.tasks[key]

    def _end_task(self, worker: StandinWorker, task: StandinTask, message_type: str) -> None:
        task.run_at = task.end_at = task.checkpoint_at = float("inf")
        worker.notify_changed(task)
        self._log(worker, task, message_type)

    def _execute_command(self, worker: StandinWorker, command: Command) -> Result:
        if command.verb is Verb.RESERVE:
            return self._reserve(worker, command)
        if command.verb is Verb.START:
            return self._start(worker, command)
        if command.verb is Verb.GO:
            return self._go(worker, command)
        if command.verb is Verb.STOP:
            return self._stop(worker, command)
        if command.verb is Verb.CHECKPOINT:
            return self._checkpoint(worker, command)
        self._forget(worker, command.attempt)
        return Result.OK

    def _reserve(self, worker: StandinWorker, command: Command) -> Result:
        if worker.leaving:
            return Result.LEAVING
        if command.attempt in worker.cancelled:
            return Result.CANCELLED
        if self._list_tasks(worker, command.attempt):
            return Result.OK
        needed = command.units * len(command.members)
        if worker.used_units(command.pool) + needed > worker.units.get(command.pool, 0):
            return Result.NO_ROOM
        until = trio.current_time() + command.lease_s
        for member in command.members:
            task = StandinTask(command, member, TaskState.RESERVED, until)
            worker.tasks[(command.attempt, member)] = task
            task.sequence = worker.sequence + 1
        return Result.OK

    def _start(self, worker: StandinWorker, command: Command) -> Result:
        if command.attempt in worker.cancelled:
            return Result.CANCELLED
        tasks = self._list_tasks(worker, command.attempt)
        if not tasks:
            return Result.NOT_RESERVED
        for task in tasks:
            if task.state is TaskState.RESERVED:
                task.command = command
                task.state = TaskState.ARMED
                task.sequence = worker.sequence + 1
                task.checkpointed_s = float(command.checkpoint or 0)
                task.lease_until = trio.current_time() + command.lease_s
        return Result.OK

    def _go(self, worker: StandinWorker, command: Command) -> Result:
        tasks = self._list_tasks(worker, command.attempt)
        if command.attempt in worker.cancelled or not tasks:
            return Result.CANCELLED
        now = trio.current_time()
        for task in tasks:
            if task.state is TaskState.ARMED and task.run_at == float("inf"):
                task.run_at = now + command.delay_s
                task.lease_until = max(task.lease_until, task.run_at + command.lease_s)
        self._advance(worker)
        worker.notify_changed(*tasks)
        return Result.OK

    def _run(self, worker: StandinWorker, task: StandinTask) -> None:
        task.state = TaskState.RUNNING
        task.ever_ran = True
        task.started_at = task.run_at
        task.run_at = float("inf")
        task.end_at = task.started_at + max(
            0.001, self._choose_duration(task.command) - task.checkpointed_s
        )
        worker.notify_changed(task)
        self._log(worker, task, "task.run")

    def _stop(self, worker: StandinWorker, command: Command) -> Result:
        worker.cancelled.add(command.attempt)
        for task in self._list_tasks(worker, command.attempt):
            if task.state in ACTIVE_STATES:
                if task.state is TaskState.RUNNING:
                    self._log(worker, task, "task.stopped")
                task.state = TaskState.STOPPED
                task.run_at = task.end_at = float("inf")
                worker.notify_changed(task)
        return Result.OK

    def _checkpoint(self, worker: StandinWorker, command: Command) -> Result:
        now = trio.current_time()
        for task in self._list_tasks(worker, command.attempt):
            if task.state is TaskState.RUNNING:
                task.checkpoint_at = now + min(CHECKPOINT_TIME_S, command.deadline_s)
                worker.notify_changed(task)
        return Result.OK

    def _forget(self, worker: StandinWorker, attempt: str) -> None:
        for key in [
            k for k, t in worker.tasks.items() if k[0] == attempt and t.state not in ACTIVE_STATES
        ]:
            del worker.tasks[key]

    @staticmethod
    def _list_tasks(worker: StandinWorker, attempt: str) -> list[StandinTask]:
        return [task for key, task in worker.tasks.items() if key[0] == attempt]

    @staticmethod
    def _log(worker: StandinWorker, task: StandinTask, message_type: str) -> None:
        log_message(
            message_type=message_type,
            worker=worker.name,
            incarnation=worker.incarnation,
            job_id=task.command.job_id,
            attempt=task.command.attempt,
            member=task.member,
            gang_size=task.command.gang_size,
            units=task.command.units,
            pool=task.command.pool,
            at=trio.current_time(),
        )


def _report(task: StandinTask) -> TaskReport:
    answer = make_answer(task.command.attempt, task.member, task.content)
    return TaskReport(
        attempt=task.command.attempt,
        member=task.member,
        state=task.state,
        job_id=task.command.job_id,
        gang_size=task.command.gang_size,
        units=task.command.units,
        pool=task.command.pool,
        content=task.content,
        length=answer.length,
        digest=answer.digest,
        checkpoint=task.checkpoint,
        ever_ran=task.ever_ran,
    )
