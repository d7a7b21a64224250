"""Whether a job can ever be served: a host's question to the owner, and what it has learnt."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

import trio

from .host_state import HostState
from .model import JobSpec
from .peering import OK, Operation, PeerReply, encode_record
from .record import JobRecord
from .sizes import Kind, decode_kinds, find_misfit

ASK_S = 0.3
"""A tenth of what callers wait by default; an owner answers within some milliseconds."""
SILENT_S = 1.0
"""For how long an owner that did not answer is not asked again: callers are not held for it."""
KINDS_S = 10.0
"""For how long what the owner told is kept: with a hundred hosts it is asked ten times a second at
most for each pool, and a pool that has shrunk is noticed soon after."""


@dataclass(frozen=True, slots=True)
class Fit:
    """Why a job can never be served, "" if it may be, and what its pool holds."""

    reason: str
    kinds: list[Kind]


class Fitting:
    """Finds jobs that can never be served before they are taken in.

    Only the owner refuses, on what it sees now. What it told of a pool is kept only to leave
    out the question for the many jobs that fit.
    """

    def __init__(self, host: HostState) -> None:
        self._host = host
        self._known: dict[str, tuple[float, list[Kind]]] = {}
        self._silent_until = float("-inf")

    async def find_reason(self, spec: JobSpec) -> str:
        """Return why a job can never be served; "" if it may be, or if nobody can tell."""
        pool = self._host.configuration.state.current_queue(spec).pool
        if self._host.owner is not None:
            reason, _ = self._host.owner.check_fit(spec)
            return reason
        if self._fits_known(spec, pool):
            return ""
        fit = await self._ask_owner(spec)
        if fit is None:
            return ""
        self._known[pool] = (trio.current_time(), fit.kinds)
        return fit.reason

    def _fits_known(self, spec: JobSpec, pool: str) -> bool:
        """Whether a job fits what the owner told of its pool of late."""
        told_at, kinds = self._known.get(pool, (float("-inf"), []))
        return trio.current_time() - told_at < KINDS_S and not find_misfit(kinds, spec, pool)

    async def _ask_owner(self, spec: JobSpec) -> Fit | None:
        presence = self._host.known_owner
        if presence is None or trio.current_time() < self._silent_until:
            return None
        body = encode_record(JobRecord(replace(spec, payload="")))
        reply = await self._host.ask_peer(presence.address, Operation.JOB_FIT, body, ASK_S)
        if isinstance(reply, PeerReply) and reply.status == OK:
            return self._host.read_reply(reply, Operation.JOB_FIT, presence.address, _decode_fit)
        self._silent_until = trio.current_time() + SILENT_S
        return None


def _decode_fit(body: dict[str, Any]) -> Fit:
    reason = body["reason"]
    if not isinstance(reason, str):
        raise TypeError("a reason is a text")
    return Fit(reason, decode_kinds(body["kinds"]))
