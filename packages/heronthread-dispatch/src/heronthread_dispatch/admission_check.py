"""Admission control at one host: its newest digest decides, and the owner confirms a rejection."""

from __future__ import annotations

from enum import Enum
from typing import Any

import trio

from .admission import (
    Admission,
    AdmissionReason,
    Admitted,
    Rejected,
    decide_admission,
)
from .clock import boot_time
from .host_state import HostState
from .known_load import AgedDigest
from .model import JobSpec
from .peer_messages import NOT_HERE, OK, Operation, PeerReply

QUERY_TIMEOUT_S = 0.3
"""Timeout of the question to the owner; a tenth of the callers' default timeout."""
QUERY_PAUSE_S = 1.0
"""Pause after a question without an answer, so that an unresponsive owner doesn't delay callers."""
RECENT_S = 5.0
"""How long a job counts as accepted at this host though the owner may not know it yet. Watches
deliver a stored job within seconds."""


class _Knowledge(Enum):
    """What the owner says of a job; only an owner of the digest's term can tell `UNKNOWN`."""

    KNOWN = "known"
    UNKNOWN = "unknown"
    SILENT = "silent"


class AdmissionCheck:
    """Decides about new jobs at one host, without any call to the store."""

    def __init__(self, host: HostState) -> None:
        self._host = host
        self._recent: dict[str, float] = {}
        self._paused_until = float("-inf")

    def note_accepting(self, job_id: str) -> None:
        """Note that this host may be storing a job, so that it doesn't reject the same one."""
        now = boot_time()
        self._recent.pop(job_id, None)
        self._recent[job_id] = now
        while self._recent:
            oldest = next(iter(self._recent))
            if now - self._recent[oldest] <= RECENT_S:
                break
            del self._recent[oldest]

    def _is_recent(self, job_id: str) -> bool:
        return boot_time() - self._recent.get(job_id, float("-inf")) <= RECENT_S

    def find_digest(self) -> AgedDigest | None:
        """Return the newest digest known here with its age."""
        return self._host.known_load.find(boot_time())

    async def decide(self, spec: JobSpec) -> Admission:
        """Return whether a job is accepted."""
        host = self._host
        if not host.settings.policy.admission:
            return Admitted(AdmissionReason.SWITCHED_OFF)
        if not host.store.is_answering:
            return Admitted(AdmissionReason.STORE_AWAY)
        state, known = host.configuration.state, self.find_digest()
        tenants = (tenant for tenant in state.tenants if tenant.name == spec.tenant)
        tenant = next(tenants, None)
        guaranteed = tenant.guaranteed if tenant is not None else 0
        queue = state.current_queue(spec)
        decision = decide_admission(spec, queue, guaranteed, known, host.parts.wall_clock())
        if isinstance(decision, Admitted) or known is None:
            return decision
        return await self._confirm(spec, decision, known.digest.term)

    async def _confirm(self, spec: JobSpec, decision: Rejected, term: int) -> Admission:
        """Return a rejection only if the owner that reported the load doesn't know the job."""
        if self._is_recent(spec.id):
            return Admitted(AdmissionReason.KNOWN, decision.expected_wait_s)
        knowledge = await self._ask_owner(spec.id, term)
        if knowledge is _Knowledge.KNOWN or self._is_recent(spec.id):
            return Admitted(AdmissionReason.KNOWN, decision.expected_wait_s)
        if knowledge is _Knowledge.SILENT:
            return Admitted(AdmissionReason.OWNER_SILENT, decision.expected_wait_s)
        return decision

    async def _ask_owner(self, job_id: str, term: int) -> _Knowledge:
        if self._host.owner is not None:
            if self._host.owner.view(job_id) is not None:
                return _Knowledge.KNOWN
            return _interpret(self._host.describe_unknown(job_id), term)
        owner = self._host.known_owner
        if owner is None or trio.current_time() < self._paused_until:
            return _Knowledge.SILENT
        reply = await self._host.ask_peer(
            owner.address, Operation.JOB_STATE, {"job": job_id}, QUERY_TIMEOUT_S
        )
        if isinstance(reply, PeerReply) and reply.status == OK:
            return _Knowledge.KNOWN
        if isinstance(reply, PeerReply) and reply.status == NOT_HERE:
            return _interpret(reply.body, term)
        self._paused_until = trio.current_time() + QUERY_PAUSE_S
        return _Knowledge.SILENT


def _interpret(body: dict[str, Any], term: int) -> _Knowledge:
    """Read an answer that names no job; earlier versions and other hosts name no term in it."""
    return _Knowledge.UNKNOWN if body.get("unknown_in_term") == term else _Knowledge.SILENT
