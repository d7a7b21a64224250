"""What the stand-in processes have in common: a settings file, steering, and their end."""

from __future__ import annotations

import json
import signal
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import trio

from .addresses import Network
from .http_server import Request, Response, serve_http
from .sight import Sight

Command = Callable[[dict[str, Any]], Awaitable[Any]]


@dataclass(frozen=True, slots=True)
class StandinSettings:
    """What each stand-in is told; `more` is its own."""

    network: Network
    seed: int
    hosts: int
    executors: int
    control: str
    more: dict[str, Any] = field(default_factory=dict)

    def encode(self) -> str:
        """Return the text of a settings file."""
        value = {name: getattr(self, name) for name in ("seed", "hosts", "executors", "control")}
        return json.dumps({**value, "network": self.network.number, "more": self.more})

    @classmethod
    def load(cls, path: Path) -> StandinSettings:
        """Read a settings file."""
        value = json.loads(path.read_text(encoding="utf-8"))
        value["network"] = Network(value["network"])
        return cls(**value)


async def serve_commands(
    address: str,
    commands: dict[str, Command],
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the soak's steering: one path for each command, arguments as a table."""

    async def handle(request: Request) -> Response:
        command = commands.get(request.path.removeprefix("/"))
        if command is None:
            return Response(404)
        return Response(200, await command(request.read_json()))

    await serve_http(address, handle, task_status)


def run_standin(
    name: str, play: Callable[[StandinSettings, Sight, trio.Nursery], Awaitable[None]]
) -> None:
    """Run a stand-in process until SIGTERM; its one argument is the settings file."""
    settings = StandinSettings.load(Path(sys.argv[1]))
    trio.run(_run, settings, Sight(name), play)


async def _run(
    settings: StandinSettings,
    sight: Sight,
    play: Callable[[StandinSettings, Sight, trio.Nursery], Awaitable[None]],
) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sight.watch_lateness)
        nursery.start_soon(play, settings, sight, nursery)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                nursery.cancel_scope.cancel()
