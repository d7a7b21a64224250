"""The adapter to the workers over HTTP: `POST {url}/workers/{name}/exchange`."""

from __future__ import annotations

from urllib.parse import quote

import httpx
import trio
from heronthread_coordination import TargetLimits
from pydantic import TypeAdapter, ValidationError

from .worker import Exchange, ExchangeOutcome, StaleEpoch, Traffic, Unreachable, WorkerReply

EXCHANGE: TypeAdapter[Exchange] = TypeAdapter(Exchange)
REPLY: TypeAdapter[WorkerReply | StaleEpoch] = TypeAdapter(WorkerReply | StaleEpoch)


class HttpWorkers:
    """Workers over HTTP, with a connection limit and a circuit breaker for each.

    Each worker has its own client, since httpx searches a shared connection pool linearly at
    every call.
    """

    def __init__(self, url: str, *, timeout_s: float = 3.0, connections: int = 4) -> None:
        self._url = url
        self._ssl = httpx.create_ssl_context()
        self._clients: dict[str, httpx.AsyncClient] = {}
        self._timeout_s = timeout_s
        self._limits = TargetLimits(connections)
        self.traffic = Traffic()

    async def exchange(self, worker: str, exchange: Exchange) -> ExchangeOutcome:
        """Call a worker once; the time of a long poll does not count as latency."""
        breaker = self._limits.breaker(worker)
        if not breaker.allow_call():
            return Unreachable(
                f"{worker} failed several times; its circuit breaker is open", refused=True
            )
        body = EXCHANGE.dump_json(exchange)
        started = trio.current_time()
        try:
            async with self._limits.connection(worker):
                outcome = await self._post(worker, body, exchange.wait_s + self._timeout_s)
        except trio.Cancelled:
            breaker.note(True)
            raise
        elapsed = max(0.0, trio.current_time() - started - exchange.wait_s)
        breaker.note(not isinstance(outcome, Unreachable), elapsed)
        return outcome

    async def __aenter__(self) -> HttpWorkers:
        return self

    async def __aexit__(self, *error: object) -> None:
        for client in self._clients.values():
            await client.aclose()

    def _client(self, worker: str) -> httpx.AsyncClient:
        client = self._clients.get(worker)
        if client is None:
            client = self._clients[worker] = httpx.AsyncClient(verify=self._ssl)
        return client

    async def _post(self, worker: str, body: bytes, timeout_s: float) -> ExchangeOutcome:
        self.traffic.calls += 1
        self.traffic.sent += len(body)
        url = f"{self._url}/workers/{quote(worker)}/exchange"
        headers = {"Content-Type": "application/json"}
        try:
            response = await self._client(worker).post(
                url, content=body, headers=headers, timeout=timeout_s
            )
        except (httpx.ConnectError, httpx.PoolTimeout) as error:
            return Unreachable(type(error).__name__, refused=True)
        except httpx.HTTPError as error:
            return Unreachable(type(error).__name__)
        self.traffic.received += len(response.content)
        if response.status_code == 503:
            return Unreachable("the worker is down", refused=True)
        try:
            return REPLY.validate_json(response.content)
        except ValidationError:
            return Unreachable(f"the worker answered with status {response.status_code}")
