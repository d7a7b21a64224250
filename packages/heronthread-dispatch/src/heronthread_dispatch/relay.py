"""Relays an owner's writes through a peer that reaches the store when this host can't.

The store may reject some hosts and serve others. A write is conditional on the revision of the
owner's key, so it takes effect only during that ownership, whoever sends it.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio
from heronthread_coordination import Unavailable, Unknown

from .keystore import (
    CommitOutcome,
    Committed,
    ConditionFailed,
    Item,
    KeyStore,
    LeaseExpired,
    Put,
    Transaction,
)
from .peer import PeerUnreachable
from .peer_messages import OK, Operation, PeerReply, decode_packed, encode_packed
from .record import MALFORMED

RELAY_TIMEOUT_S = 0.4
"""Timeout of a relayed write; a peer that reaches the store answers within milliseconds."""
REOPEN_S = 1.0
"""Pause after a failed write; peers report a lost store within 0.4 s."""

AskPeer = Callable[[str, int, dict[str, Any], float], Awaitable[PeerReply | PeerUnreachable]]


class StoreRelay:
    """Sends writes through peers; `find_peer` returns one that reports reaching the store."""

    def __init__(self, ask_peer: AskPeer, find_peer: Callable[[set[str]], str | None]) -> None:
        self._ask_peer = ask_peer
        self._find_peer = find_peer
        self._closed_until = float("-inf")

    @property
    def is_open(self) -> bool:
        """Whether a peer reports reaching the store and no relayed write failed recently."""
        return trio.current_time() >= self._closed_until and self._find_peer(set()) is not None

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit a transaction through a peer; a failure closes the relay for `REOPEN_S`."""
        address = self._find_peer(set())
        if address is None:
            return Unavailable("no peer is known to reach the store")
        outcome = await self._ask(address, transaction)
        if isinstance(outcome, Unavailable | Unknown):
            self._closed_until = trio.current_time() + REOPEN_S
        return outcome

    async def _ask(self, address: str, transaction: Transaction) -> CommitOutcome:
        body = encode_transaction(transaction)
        reply = await self._ask_peer(address, Operation.RELAY_WRITE, body, RELAY_TIMEOUT_S)
        if isinstance(reply, PeerReply) and reply.status == OK:
            try:
                return decode_outcome(reply.body)
            except MALFORMED as error:
                return Unknown(f"{address}: a malformed outcome: {error!r}")
        if isinstance(reply, PeerUnreachable) and reply.refused:
            return Unavailable(reply.reason)
        return Unknown(f"{address}: no outcome")


async def write_for_peer(store: KeyStore, body: dict[str, Any]) -> dict[str, Any]:
    """Commit a peer's transaction and return its outcome; raises one of `MALFORMED`."""
    return encode_outcome(await store.commit(decode_transaction(body)))


def encode_transaction(transaction: Transaction) -> dict[str, Any]:
    """Return a transaction as a body."""
    return {
        "conditions": [list(condition) for condition in transaction.conditions],
        "puts": [[put.key, encode_packed(put.value), put.lease] for put in transaction.puts],
        "removes": list(transaction.removes),
    }


def decode_transaction(body: dict[str, Any]) -> Transaction:
    """Read a transaction; raises one of `MALFORMED` if the body is malformed."""
    return Transaction(
        tuple((str(key), int(revision)) for key, revision in body["conditions"]),
        tuple(_decode_put(*row) for row in body["puts"]),
        tuple(map(str, body["removes"])),
    )


def _decode_put(key: Any, packed: Any, lease: Any) -> Put:
    value = decode_packed(packed)
    if value is None:
        raise ValueError("a value is not valid base64")
    return Put(str(key), value, int(lease))


def encode_outcome(outcome: CommitOutcome) -> dict[str, Any]:
    """Return an outcome as a body; a mismatch carries only the revisions of the keys."""
    if isinstance(outcome, Committed):
        return {"revision": outcome.revision}
    if isinstance(outcome, ConditionFailed):
        return {"mismatch": {key: item.revision for key, item in outcome.items.items()}}
    if isinstance(outcome, LeaseExpired):
        return {"unavailable": "the lease is over"}
    field = "unavailable" if isinstance(outcome, Unavailable) else "unknown"
    return {field: outcome.reason}


def decode_outcome(body: dict[str, Any]) -> CommitOutcome:
    """Read an outcome; raises one of `MALFORMED` if the body is malformed."""
    if "revision" in body:
        return Committed(int(body["revision"]))
    if "mismatch" in body:
        rows = body["mismatch"].items()
        return ConditionFailed(
            {str(key): Item(str(key), b"", int(revision)) for key, revision in rows}
        )
    if "unavailable" in body:
        return Unavailable(str(body["unavailable"]))
    return Unknown(str(body["unknown"]))
