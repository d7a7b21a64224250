"""The daemon process: a host with its HTTP and Thrift servers and its adapters."""

from __future__ import annotations

import random
import signal
import sys
import time
from collections.abc import Callable
from functools import partial

import eliot
import httpx
import trio
from heronthread_dispatch.peer import TcpPeers, serve_peers
from hypercorn.config import Config
from hypercorn.trio import serve

from .api import make_app
from .host import Host, HostParts
from .host_list import HttpHostList
from .settings import Settings
from .statistics import report_statistics
from .store_http import HttpStore
from .worker_http import HttpWorkers

POOL = httpx.Limits(max_connections=1000, max_keepalive_connections=200)
STOP_GRACE_S = 2.0


def make_config(address: str, settings: Settings | None = None) -> Config:
    """Return a hypercorn configuration for one address, with logging disabled."""
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = STOP_GRACE_S
    config.keep_alive_timeout = 75.0
    if settings is not None:
        config.read_timeout = max(1, round(settings.limits.longest_wait_s * 2))
    return config


async def run_server(
    settings: Settings,
    *,
    clock: Callable[[], float] = time.time,
    task_status: trio.TaskStatus[Host] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run one daemon until draining is complete or it is cancelled."""
    workers = HttpWorkers(settings.platform_url, connections=settings.limits.connections_per_worker)
    async with (
        workers,
        httpx.AsyncClient(limits=POOL) as client,
        trio.open_nursery() as nursery,
    ):
        parts = HostParts(
            store=HttpStore(settings.store_url, client),
            workers=workers,
            host_list=HttpHostList(settings.platform_url, client),
            peers=TcpPeers(nursery),
            clock=clock,
            random=random.Random(settings.host),
        )
        host = Host(settings, parts)
        await nursery.start(serve_peers, settings.peer_address, host.handle)
        stopped = trio.Event()
        config = make_config(settings.http_address, settings)
        app = make_app(host)
        nursery.start_soon(partial(serve, app, config, shutdown_trigger=stopped.wait))
        nursery.start_soon(report_statistics, host, settings.statsd)
        task_status.started(host)
        await host.run()
        stopped.set()
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()


async def run_daemon(settings: Settings) -> None:
    """Run one daemon as a process; SIGTERM and SIGINT start draining."""
    eliot.to_file(sys.stdout)
    async with trio.open_nursery() as nursery:
        host: Host = await nursery.start(_run_and_end, settings, nursery.cancel_scope)
        nursery.start_soon(_drain_on_signal, host, nursery.cancel_scope)


async def _run_and_end(
    settings: Settings,
    scope: trio.CancelScope,
    task_status: trio.TaskStatus[Host] = trio.TASK_STATUS_IGNORED,
) -> None:
    await run_server(settings, task_status=task_status)
    scope.cancel()


async def _drain_on_signal(host: Host, scope: trio.CancelScope) -> None:
    """Start draining on the first signal; stop immediately on the second."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if host.drain.is_draining:
                scope.cancel()
                return
            host.drain.start()
