"""Subcommands that ask the hosts of a running cell, through any one of them."""

from __future__ import annotations

import os
from typing import Any

import trio
from heronthread_dispatch.peer import PeerUnreachable, TcpPeers
from heronthread_dispatch.peering import OK, PeerReply, call_peer
from heronthread_dispatch.wire.ttypes import Operation

from .exits import BadInput, HostUnreachable
from .output import print_line, show_rows

ADDRESS_VARIABLE = "HERONTHREAD_HOST"
TIMEOUT_S = 3.0


class Cell:
    """Ask who owns the cell, what waits, what runs where, and what is guaranteed.

    Any host answers; `host` is its peer address (IP:PORT), by default that in the
    environment variable HERONTHREAD_HOST.
    """

    def owner(self, host: str | None = None, json: bool = False) -> None:
        """Tell which host decides, in which term, and which hosts are there."""
        found = _ask(host, Operation.CELL_OVERVIEW, {})
        row = {
            "owner": found["owner"],
            "term": found["term"],
            "configuration": found["version"],
            "hosts": " ".join(found["hosts"]),
        }
        show_rows([row], as_json=json)

    def queues(self, host: str | None = None, json: bool = False) -> None:
        """List the queues with the jobs that wait and that have begun."""
        show_rows(_ask(host, Operation.CELL_OVERVIEW, {})["queues"], as_json=json)

    def executors(
        self, host: str | None = None, draining: bool = False, json: bool = False
    ) -> None:
        """List the executors; with --draining only those that leave."""
        rows = _ask(host, Operation.CELL_OVERVIEW, {})["executors"]
        if draining:
            rows = [row for row in rows if row["leaves in s"] is not None]
        show_rows(rows, as_json=json)

    def guarantees(self, host: str | None = None, json: bool = False) -> None:
        """List each tenant's guaranteed accelerators: in use, and reclaimable from others."""
        show_rows(_ask(host, Operation.CELL_OVERVIEW, {})["guarantees"], as_json=json)

    def job(self, job: str, host: str | None = None, json: bool = False) -> None:
        """Tell where a job's tasks are and how far they have come."""
        found = _ask(host, Operation.JOB_STORY, {"job": str(job)})
        if not json:
            print_line(
                f"{found['job']} of {found['tenant']} in {found['queue']}: {found['status']}"
            )
        show_rows(found["tasks"], as_json=json)


def _ask(host: str | None, operation: int, body: dict[str, Any]) -> dict[str, Any]:
    address = host or os.environ.get(ADDRESS_VARIABLE, "")
    if ":" not in address:
        raise BadInput(f"--host: IP:PORT of any host is needed, or {ADDRESS_VARIABLE}")
    reply = trio.run(_call, address, operation, body)
    if isinstance(reply, PeerUnreachable):
        raise HostUnreachable(reply.reason)
    if reply.status == 410:
        raise BadInput(f"{body.get('job')}: {reply.body['reason']}")
    if reply.status != OK:
        raise HostUnreachable(f"{address}: {reply.body.get('reason', reply.status)}")
    return reply.body


async def _call(address: str, operation: int, body: dict[str, Any]) -> PeerReply | PeerUnreachable:
    async with trio.open_nursery() as nursery:
        reply = await call_peer(TcpPeers(nursery), address, operation, body, TIMEOUT_S)
        nursery.cancel_scope.cancel()
    return reply
