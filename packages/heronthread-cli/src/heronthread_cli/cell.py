"""Subcommands that ask the hosts of a running cell, through any one of them."""

from __future__ import annotations

import os
from typing import Any

import trio
from heronthread_dispatch.peer import PeerUnreachable, TcpPeers
from heronthread_dispatch.peer_messages import BAD_REQUEST, OK, UNSETTLED, PeerReply, call_peer
from heronthread_dispatch.wire.ttypes import Operation

from .exits import BadInput, CommandError, HostUnreachable
from .output import note, print_line, show_object, show_rows

ADDRESS_VARIABLE = "HERONTHREAD_HOST"
TIMEOUT_S = 3.0
EVACUATE_S = 4.0
"""The owner may take 2 s until starts that are under way are over, and is asked through a host."""


class Cell:
    """Ask who owns the cell, what waits, what runs where, what is evacuated and guaranteed.

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

    def status(self, host: str | None = None, json: bool = False) -> None:
        """Show who decides, and each failure domain: whether and by whom it is evacuated.

        A guarantee that what is left of the cell can't back is named on standard error.
        """
        found = _ask(host, Operation.CELL_OVERVIEW, {})
        if not json:
            hosts = len(found["hosts"])
            print_line(f"{found['owner']} decides, term {found['term']}, {hosts} hosts")
        show_rows(found["domains"], as_json=json)
        domains = found["domains"]
        if domains and all(row["evacuated"] for row in domains if row["executors"]):
            note("every failure domain is evacuated: nothing starts until one is taken back")
        for row in domains:
            if row["evacuated"] and not row["executors"]:
                note(f"{row['domain']}: evacuated, but no executor is known there")
        if found["short by"]:
            note(f"guarantees exceed what is left by {found['short by']} accelerators")

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

    def load(self, section: str | None = None, host: str | None = None, json: bool = False) -> None:
        """Show what waits, each customer's share, and what the owner has learned and keeps free.

        Each section lists its 16 largest rows; --section=NAME shows one of them.
        """
        found = _ask(host, Operation.CELL_OVERVIEW, {})
        if "load" not in found:
            raise CommandError(f"{found['owner']} decides, in a version without a load overview")
        sections: dict[str, list[dict[str, Any]]] = found["load"]
        if section is not None and section not in sections:
            raise BadInput(f"{section}: no such section; there are {', '.join(sections)}")
        if section is not None:
            show_rows(sections[section], as_json=json)
        elif json:
            show_object(sections)
        else:
            for name, rows in sections.items():
                print_line(name if rows else f"{name}: nothing to show")
                if rows:
                    show_rows(rows, as_json=False)

    def job(self, job: str, host: str | None = None, json: bool = False) -> None:
        """Tell where a job's tasks are, how far they are, and which executors crashed there."""
        found = _ask(host, Operation.JOB_STORY, {"job": str(job)})
        if not json:
            print_line(
                f"{found['job']} of {found['tenant']} in {found['queue']}: {found['status']}"
            )
            if found.get("why"):
                note(found["why"])
            if found.get("order"):
                note(f"place in the order: {found['order']}")
        show_rows(found["tasks"], as_json=json)


def ask_evacuation(
    domain: str, undo: bool = False, host: str | None = None, json: bool = False
) -> None:
    """Have a failure domain evacuated, or take that back, and say what holds now."""
    body = {"domain": str(domain), "undo": undo}
    found = _ask(host, Operation.EVACUATE, body, EVACUATE_S)
    if json:
        show_rows([found], as_json=True)
    elif not undo:
        print_line(f"{domain}: no new work starts there; {found['runs']} runs are left to end")
    elif found["asked_by"]:
        print_line(f"{domain}: still evacuated, as the platform's operator asks for it")
    else:
        print_line(f"{domain}: takes new work again")


def _ask(
    host: str | None, operation: int, body: dict[str, Any], timeout_s: float = TIMEOUT_S
) -> dict[str, Any]:
    address = host or os.environ.get(ADDRESS_VARIABLE, "")
    if ":" not in address:
        raise BadInput(f"--host: IP:PORT of any host is needed, or {ADDRESS_VARIABLE}")
    reply = trio.run(_call, address, operation, body, timeout_s)
    if isinstance(reply, PeerUnreachable):
        raise HostUnreachable(reply.reason)
    if reply.status == 410:
        raise BadInput(f"{body.get('job')}: {reply.body['reason']}")
    if reply.status == BAD_REQUEST:
        raise BadInput(reply.body["reason"])
    if reply.status == UNSETTLED:
        raise CommandError(f"not confirmed yet, run it again: {reply.body['reason']}")
    if reply.status != OK:
        raise HostUnreachable(f"{address}: {reply.body.get('reason', reply.status)}")
    return reply.body


async def _call(
    address: str, operation: int, body: dict[str, Any], timeout_s: float
) -> PeerReply | PeerUnreachable:
    async with trio.open_nursery() as nursery:
        reply = await call_peer(TcpPeers(nursery), address, operation, body, timeout_s)
        nursery.cancel_scope.cancel()
    return reply
