"""The owner's connection to a worker: sends commands, receives reports, tracks liveness."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import StrEnum

import trio

from .worker import (
    Command,
    Exchange,
    ExchangeOutcome,
    StaleEpoch,
    TaskReport,
    Unreachable,
    WorkerReply,
    Workers,
)

RETRY_S = 0.5
BATCH_DELAY_S = 0.005
MAX_BATCH = 256
MAX_BATCH_WAIT_S = 0.1


@dataclass(frozen=True, slots=True)
class LinkTimes:
    """The duration of a long poll and of the task lease that each call renews, in seconds.

    A worker that has not answered for `task_lease_s` has stopped all tasks of the cell.
    """

    poll_s: float = 10.0
    task_lease_s: float = 30.0


@dataclass(slots=True)
class _QueuedCommands:
    commands: tuple[Command, ...]
    done: trio.Event = field(default_factory=trio.Event)
    outcome: WorkerReply | Unreachable = Unreachable("not sent", refused=True)


class LinkState(StrEnum):
    """The liveness of a worker as known to its cell's owner."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SILENT = "silent"
    LOST = "lost"


class WorkerLink:
    """The owner's connection to one worker.

    `on_reply` is called for every reply in order of arrival, `on_state_change` when the worker
    becomes alive, silent or lost, `on_stale_epoch` when the worker has received a higher epoch.
    `state_known` is set once the worker has been alive or lost.
    """

    def __init__(
        self,
        name: str,
        cell: str,
        epoch: int,
        workers: Workers,
        times: LinkTimes,
        *,
        may_send: Callable[[], bool],
        on_reply: Callable[[WorkerLink, WorkerReply], None],
        on_state_change: Callable[[WorkerLink], None],
        on_stale_epoch: Callable[[int], None],
    ) -> None:
        self.name = name
        self.state = LinkState.UNKNOWN
        self.reply: WorkerReply | None = None
        self.tasks: dict[tuple[str, int], TaskReport] = {}
        self.state_known = trio.Event()
        self._cell = cell
        self._epoch = epoch
        self._workers = workers
        self._times = times
        self._may_send = may_send
        self._on_reply = on_reply
        self._on_state_change = on_state_change
        self._on_stale_epoch = on_stale_epoch
        self._last_reply_at = trio.current_time()
        self._queue: list[_QueuedCommands] = []
        self._queued = trio.Event()

    @property
    def incarnation(self) -> str:
        """The worker's incarnation, empty before its first reply."""
        return self.reply.incarnation if self.reply else ""

    async def command(self, *commands: Command) -> WorkerReply | Unreachable:
        """Send commands and return the worker's reply with their results.

        Commands queued within `BATCH_DELAY_S` are sent in one call, in order.
        """
        item = _QueuedCommands(commands)
        self._queue.append(item)
        self._queued.set()
        try:
            await item.done.wait()
        finally:
            if item in self._queue:
                self._queue.remove(item)
        return item.outcome

    def forget(self, attempt: str) -> None:
        """Discard the reports of an acknowledged attempt."""
        for key in [key for key in self.tasks if key[0] == attempt]:
            del self.tasks[key]

    async def run(self) -> None:
        """Poll the worker for reports, which renews its task leases, and send commands."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_queued, nursery)
            await self._poll()

    async def _poll(self) -> None:
        while True:
            outcome = await self._call((), wait_s=self._times.poll_s if self.reply else 0.0)
            if isinstance(outcome, Unreachable):
                await trio.sleep(RETRY_S)

    async def _send_queued(self, nursery: trio.Nursery) -> None:
        """Send batches in order, waiting at most `MAX_BATCH_WAIT_S` for each.

        Calls may therefore be reordered. That is safe: RESERVE and START of an attempt are sent
        in one call, GO only after their confirmation, and a worker refuses stopped attempts.
        """
        while True:
            await self._queued.wait()
            await trio.sleep(BATCH_DELAY_S)
            self._queued = trio.Event()
            while self._queue:
                batch, self._queue = self._queue[:MAX_BATCH], self._queue[MAX_BATCH:]
                nursery.start_soon(self._send_batch, batch)
                with trio.move_on_after(MAX_BATCH_WAIT_S):
                    await batch[-1].done.wait()

    async def _send_batch(self, batch: list[_QueuedCommands]) -> None:
        commands = tuple(command for item in batch for command in item.commands)
        outcome = await self._call(commands, wait_s=0.0)
        start = 0
        for item in batch:
            end = start + len(item.commands)
            if isinstance(outcome, WorkerReply):
                item.outcome = replace(outcome, results=outcome.results[start:end])
            else:
                item.outcome = outcome
            item.done.set()
            start = end

    async def _call(
        self, commands: tuple[Command, ...], wait_s: float
    ) -> WorkerReply | Unreachable:
        if not self._may_send():
            return Unreachable("this host does not own the cell now", refused=True)
        exchange = Exchange(
            self._cell,
            self._epoch,
            commands,
            self._times.task_lease_s,
            self._last_sequence(),
            wait_s,
        )
        outcome: ExchangeOutcome = await self._workers.exchange(self.name, exchange)
        if isinstance(outcome, StaleEpoch):
            self._on_stale_epoch(outcome.epoch)
            return Unreachable("a newer owner commands the worker", refused=True)
        if isinstance(outcome, WorkerReply):
            self._accept(outcome)
        else:
            self._record_failure()
        return outcome

    def _last_sequence(self) -> int:
        """Return the last sequence received, or 0 to request all reports of a lost worker."""
        if self.reply is None or self.state is LinkState.LOST:
            return 0
        return self.reply.sequence

    def _accept(self, reply: WorkerReply) -> None:
        self._last_reply_at = trio.current_time()
        known = self.reply
        if known and known.incarnation == reply.incarnation and reply.sequence < known.sequence:
            return
        self._on_reply(self, reply)
        if known is None or known.incarnation != reply.incarnation:
            self.tasks = {}
        self.tasks.update({(task.attempt, task.member): task for task in reply.tasks})
        self.reply = reply
        if self.state is not LinkState.ALIVE:
            self._set_state(LinkState.ALIVE)

    def _record_failure(self) -> None:
        silent_for = trio.current_time() - self._last_reply_at
        if silent_for >= self._times.task_lease_s:
            if self.state is not LinkState.LOST:
                self._set_state(LinkState.LOST)
        elif self.state is LinkState.ALIVE:
            self._set_state(LinkState.SILENT)

    def _set_state(self, state: LinkState) -> None:
        self.state = state
        self._on_state_change(self)
        if state in (LinkState.ALIVE, LinkState.LOST):
            self.state_known.set()
