"""The platform's store as a process: the emulated store behind HTTP, with faults by host."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import trio
from heronthread_coordination import Unavailable
from heronthread_dispatch.keystore import (
    Committed,
    ConditionFailed,
    Events,
    HistoryCompacted,
    Item,
    LeaseHeld,
    Transaction,
    WatchOutcome,
)

from . import spelling
from .addresses import EXECUTORS_FACE
from .http_server import NoResponse, Request, Response, serve_http
from .sight import Sight
from .standin import StandinSettings, run_standin, serve_commands
from .store import EmulatedStore, WatchFault

PAGE_ITEMS = 500
HOLDS_ENTRIES = 32
Answer = Response | NoResponse


@dataclass(slots=True)
class StoreFaults:
    """What the store does to calls; shares are of 1.

    `away` names the faces that are turned away, and how. An answer that is lost belongs to a
    write that is done, at once or `late_s` later.
    """

    silent: bool = False
    busy_share: float = 0.0
    slow_s: float = 0.0
    lost_share: float = 0.0
    late_s: float = 0.0
    away: dict[int, str] = field(default_factory=dict)


class StoreServer:
    """All faces of the one store."""

    def __init__(self, settings: StandinSettings, sight: Sight, nursery: trio.Nursery) -> None:
        self.settings = settings
        self.sight = sight
        self.nursery = nursery
        self.store = EmulatedStore()
        self.faults = StoreFaults()
        self.random = random.Random(f"store {settings.seed}")
        self._reads: dict[str, Callable[[int, Request], Awaitable[Answer]]] = {
            spelling.READ_PATH: self._read,
            spelling.LIST_PATH: self._list,
            spelling.WATCH_PATH: self._watch,
        }

    async def answer(self, face: int, request: Request) -> Answer:
        """Answer one call on one face."""
        turned_away = self._turn_away(face)
        if turned_away is not None:
            return turned_away
        if self.faults.slow_s:
            await trio.sleep(self.random.uniform(0.3, 1.0) * self.faults.slow_s)
        read = self._reads.get(request.path)
        if read is not None:
            return await read(face, request)
        is_lost = face != EXECUTORS_FACE and self.random.random() < self.faults.lost_share
        if not is_lost:
            return self._write(face, request)
        if self.faults.late_s:
            self.nursery.start_soon(self._write_late, face, request)
        else:
            self._write(face, request)
        return NoResponse.SILENCE

    def _turn_away(self, face: int) -> Answer | None:
        """Return why a call does nothing; the operator is always served."""
        how = self.faults.away.get(face)
        if how in ("429", "503"):
            return Response(int(how))
        if how is not None:
            return NoResponse(how)
        if self.faults.silent:
            return NoResponse.SILENCE
        if self.store.is_down:
            return Response(503)
        if self.random.random() < self.faults.busy_share:
            return Response(self.random.choice([429, 503]))
        return None

    async def _write_late(self, face: int, request: Request) -> None:
        await trio.sleep(self.random.uniform(0.3, 1.0) * self.faults.late_s)
        self._write(face, request)

    async def _read(self, face: int, request: Request) -> Answer:
        item = self.store.items.get(spelling.read_key(request.query))
        return Response(404) if item is None else Response(200, self._show(face, item))

    async def _list(self, face: int, request: Request) -> Answer:
        prefix, after = spelling.read_prefix(request.query), spelling.read_after(request.query)
        keys = sorted(k for k in self.store.items if k.startswith(prefix) and k > after)
        items = [self._show(face, self.store.items[key]) for key in keys[:PAGE_ITEMS]]
        value = {"items": items, "more": len(keys) > PAGE_ITEMS, "at": self.store.revision}
        return Response(200, value)

    async def _watch(self, face: int, request: Request) -> Answer:
        prefix, after = spelling.read_prefix(request.query), spelling.read_after(request.query)
        wait_s = spelling.read_wait_s(request.query)
        refuse = partial(self._turn_away, face)
        outcome: WatchOutcome | Answer = await self.store.watch(
            prefix, int(after or 0), wait_s, refuse
        )
        if isinstance(outcome, HistoryCompacted):
            return Response(410)
        if isinstance(outcome, Unavailable):
            return NoResponse.RESET
        if isinstance(outcome, Events):
            rows = [self._show(face, event) for event in outcome.events]
            return Response(200, {"events": rows, "at": outcome.at})
        return outcome

    def _write(self, face: int, request: Request) -> Answer:
        if request.path == spelling.COMMIT_PATH:
            return self._commit(face, spelling.read_transaction(request.read_json()))
        if request.path == spelling.GRANT_PATH:
            held = self.store.grant(spelling.read_ttl_s(request.read_json()))
            return Response(200, spelling.write_lease(held.lease, held.duration_s))
        if request.path.startswith(spelling.RENEW_PATH):
            return self._renew(int(request.path.removeprefix(spelling.RENEW_PATH)))
        if request.path.startswith(spelling.REVOKE_PATH):
            self.store.end_lease(int(request.path.removeprefix(spelling.REVOKE_PATH)))
            return Response(200)
        return Response(404)

    def _renew(self, number: int) -> Answer:
        kept = self.store.renew(number)
        if not isinstance(kept, LeaseHeld):
            return Response(404)
        return Response(200, spelling.write_lease(kept.lease, kept.duration_s))

    def _commit(self, face: int, transaction: Transaction) -> Answer:
        keys = [put.key for put in transaction.puts] + list(transaction.removes)
        entries = len(transaction.conditions) + len(keys)
        if entries > HOLDS_ENTRIES:
            return Response(400)
        if face != EXECUTORS_FACE and any(k.startswith(spelling.GUARDED_PREFIXES) for k in keys):
            return Response(403)
        outcome = self.store.commit(transaction)
        if isinstance(outcome, Committed):
            return Response(200, {"revision": outcome.revision})
        if isinstance(outcome, ConditionFailed):
            items = [self._show(face, item) for item in outcome.items.values()]
            return Response(412, {"items": items})
        return Response(404)

    def _show(self, face: int, event: Any) -> dict[str, Any]:
        if isinstance(event, Item):
            value = self.settings.network.rewrite(event.value, face)
            event = Item(event.key, value, event.revision, event.created, event.lease)
        return spelling.write_event(event)

    # Steering

    async def set_faults(self, values: dict[str, Any]) -> None:
        """Set faults by name; `away` by the number of a face."""
        for name, value in values.items():
            if name == "away":
                value = {int(face): how for face, how in value.items()}
            setattr(self.faults, name, value)

    async def set_store(self, values: dict[str, Any]) -> None:
        """Take the store down or up; `lapses` says what leases do meanwhile."""
        self.store.is_down = values["is_down"]
        self.store.lapses = values["lapses"]

    async def forget_history(self, values: dict[str, Any]) -> None:
        """Forget what changed."""
        self.store.forget_history()

    async def set_watches(self, values: dict[str, Any]) -> None:
        """Set by name how watches miss changes; an empty name ends it."""
        self.store.watch_fault = WatchFault(values["fault"]) if values["fault"] else None

    async def cut_watches(self, values: dict[str, Any]) -> None:
        """Reset all watches that wait."""
        self.store.cut_watches()

    async def operate(self, values: dict[str, Any]) -> float:
        """Put a configuration; return when the store took it."""
        self.store.put(spelling.CONFIGURATION_KEY, values["value"].encode())
        self.sight.note("configuration.taken", version=values["version"])
        return trio.current_time()

    async def find_owner(self, values: dict[str, Any]) -> str | None:
        """Return what the owner's key holds."""
        item = self.store.items.get(values["key"])
        return None if item is None else item.value.decode()

    async def mend(self, values: dict[str, Any]) -> None:
        """End every fault."""
        self.faults = StoreFaults()
        self.store.is_down = self.store.lapses = False
        self.store.watch_fault = None


async def play(settings: StandinSettings, sight: Sight, nursery: trio.Nursery) -> None:
    """Serve all faces, then the steering."""
    server = StoreServer(settings, sight, nursery)
    nursery.start_soon(server.store.run)
    for face in [*range(settings.hosts), EXECUTORS_FACE]:

        async def handle(request: Request, face: int = face) -> Answer:
            return await server.answer(face, request)

        await nursery.start(serve_http, settings.network.store(face), handle)
    commands = {
        "faults": server.set_faults,
        "store": server.set_store,
        "history": server.forget_history,
        "watches": server.set_watches,
        "cut": server.cut_watches,
        "configuration": server.operate,
        "key": server.find_owner,
        "mend": server.mend,
    }
    await nursery.start(serve_commands, settings.control, commands)


if __name__ == "__main__":
    run_standin("store", play)
