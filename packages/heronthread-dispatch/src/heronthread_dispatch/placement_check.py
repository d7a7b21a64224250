"""Placement checks at submission: finds jobs that no executors of their pool can ever hold."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

import trio

from .host_state import HostState
from .model import JobSpec
from .peer_messages import OK, Operation, PeerReply, encode_record
from .pool_contents import Kind, decode_kinds, find_misfit
from .record import JobRecord

QUERY_TIMEOUT_S = 0.3
"""Timeout of a placement query; a tenth of the callers' default timeout. An owner answers within
milliseconds."""
QUERY_PAUSE_S = 1.0
"""Pause after a query without an answer, so that an unresponsive owner doesn't delay callers."""
CACHE_S = 10.0
"""Lifetime of cached pool contents; short, so that a pool that has shrunk is noticed soon.

With 100 hosts, an owner gets at most ten queries a second for each pool.
"""


@dataclass(frozen=True, slots=True)
class Fit:
    """Result of a placement query: why a job can never be placed ("" if it can), and its pool."""

    reason: str
    kinds: list[Kind]


class PlacementCheck:
    """Finds jobs that can never be placed before they are accepted.

    Only the owner decides that a job can't be placed. The cached pool contents only save queries
    for the many jobs that fit.
    """

    def __init__(self, host: HostState) -> None:
        self._host = host
        self._cache: dict[str, tuple[float, list[Kind]]] = {}
        self._paused_until = float("-inf")

    async def find_misfit_reason(self, spec: JobSpec) -> str:
        """Return why a job can never be placed; "" if it can, or if no owner answers."""
        pool = self._host.configuration.state.current_queue(spec).pool
        if self._host.owner is not None:
            reason, _ = self._host.owner.check_fit(spec)
            return reason
        if self._fits_cached(spec, pool):
            return ""
        fit = await self._ask_owner(spec)
        if fit is None:
            return ""
        self._cache[pool] = (trio.current_time(), fit.kinds)
        return fit.reason

    def _fits_cached(self, spec: JobSpec, pool: str) -> bool:
        """Whether a job fits the cached contents of its pool."""
        cached_at, kinds = self._cache.get(pool, (float("-inf"), []))
        return trio.current_time() - cached_at < CACHE_S and not find_misfit(kinds, spec, pool)

    async def _ask_owner(self, spec: JobSpec) -> Fit | None:
        host_record = self._host.known_owner
        if host_record is None or trio.current_time() < self._paused_until:
            return None
        body = encode_record(JobRecord(replace(spec, payload="")))
        reply = await self._host.ask_peer(
            host_record.address, Operation.JOB_FIT, body, QUERY_TIMEOUT_S
        )
        if isinstance(reply, PeerReply) and reply.status == OK:
            return self._host.read_reply(reply, Operation.JOB_FIT, host_record.address, _decode_fit)
        self._paused_until = trio.current_time() + QUERY_PAUSE_S
        return None


def _decode_fit(body: dict[str, Any]) -> Fit:
    reason = body["reason"]
    if not isinstance(reason, str):
        raise TypeError("a reason is a string")
    return Fit(reason, decode_kinds(body["kinds"]))
