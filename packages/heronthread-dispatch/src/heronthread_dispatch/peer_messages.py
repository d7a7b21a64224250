"""Messages between the hosts of one cell: thrift frames with a JSON body."""

from __future__ import annotations

import base64
import json
from dataclasses import asdict, dataclass, field
from typing import Any

from .field_bounds import MAX_NUMBER, MAX_REVISION, read_int, read_name, read_number
from .packed import decode_packed, encode_packed
from .peer import Peers, PeerUnreachable
from .record import MALFORMED, JobRecord
from .wire.ttypes import Forward, ForwardReply, Frame, Operation

CALL_S = 0.8
COMPACT = (",", ":")

OK = 200
NOT_HERE = 421
NOT_TAKEN = 503
UNSETTLED = 504
BAD_REQUEST = 400


@dataclass(frozen=True, slots=True)
class News:
    """What a host reports to its peers about itself.

    `term` is its own term if it is the owner, else 0; `owner` is the owner that it knows.

    `evacuations` are the requests it knows, as `Evacuations.encode` returns them. `no_orders_s` is
    for how long (s) no process at its address has sent orders to executors, 0.0 if unknown.
    `owners_seen_s` is for how long (s) it has known the last owners, by the revisions of their
    keys. `store_revision` is the highest revision that it knows the store to have reached,
    `member_revision` that of its own key, 0 without one. `used_preassignments` holds the highest
    number used in each term, by the revision at which the term began, and `closed_preassignments`
    the last such revision for which it notes no further use. `load` is the newest load digest that
    it knows, as `encode_digest` returns it, and `stalls` the newest summary of stalled jobs, as
    `encode_summary` does, left out while there is none; both are read apart from the rest, as news
    with a malformed one is still of use. `store_up_s` is for how long (s) its store has answered,
    0.0 if that is unknown. `confirmed_digest` is the checksum of the operators' keys that it
    knows, 0 without any, and `confirmed_s` how long ago (s) a listing of the store showed them so.
    """

    host: str
    address: str
    version: int
    store_ok: bool
    term: int = 0
    owner: str = ""
    evacuations: dict[str, Any] = field(default_factory=dict)
    no_orders_s: float = 0.0
    owners_seen_s: dict[str, float] = field(default_factory=dict)
    store_revision: int = 0
    member_revision: int = 0
    used_preassignments: dict[str, int] = field(default_factory=dict)
    closed_preassignments: int = 0
    load: object = field(default_factory=dict)
    stalls: object = field(default_factory=dict)
    store_up_s: float = 0.0
    confirmed_digest: int = 0
    confirmed_s: float = 0.0


NEWS_FIELD_TYPES = {
    "host": str,
    "address": str,
    "version": int,
    "store_ok": bool,
    "term": int,
    "owner": str,
    "evacuations": dict,
    "no_orders_s": float,
    "owners_seen_s": dict,
    "store_revision": int,
    "member_revision": int,
    "used_preassignments": dict,
    "closed_preassignments": int,
    "store_up_s": float,
    "confirmed_digest": int,
    "confirmed_s": float,
}


@dataclass(frozen=True, slots=True)
class PeerReply:
    """A peer's answer with a status as in HTTP."""

    status: int
    body: dict[str, Any]


@dataclass(frozen=True, slots=True)
class MalformedReply(PeerUnreachable):
    """A reply that can't be parsed; the operation may have taken effect."""


async def call_peer(
    peers: Peers, address: str, operation: int, body: dict[str, Any], timeout_s: float = CALL_S
) -> PeerReply | PeerUnreachable:
    """Call one operation of a peer."""
    forward = Forward(
        operation, "0", json.dumps(body, separators=COMPACT).encode(), int(timeout_s * 1000)
    )
    reply = await peers.call(address, Frame(forward=forward), timeout_s)
    if isinstance(reply, PeerUnreachable):
        return reply
    answer = reply.forward_reply
    try:
        return PeerReply(int(answer.status), dict(json.loads(answer.body)))
    except MALFORMED as error:
        return MalformedReply(f"{address}: a malformed reply: {error!r}")


def make_reply(status: int, body: dict[str, Any]) -> Frame:
    """Return the frame that answers an operation."""
    return Frame(forward_reply=ForwardReply(status, json.dumps(body, separators=COMPACT).encode()))


def encode_news(news: News) -> dict[str, Any]:
    """Return news as a body."""
    body = asdict(news)
    if not news.stalls:
        del body["stalls"]
    return body


def encode_record(record: JobRecord) -> dict[str, Any]:
    """Return a body that carries a job."""
    return {"record": encode_packed(record.encode())}


def decode_record(body: dict[str, Any]) -> JobRecord:
    """Read the job that a body carries; raises one of `MALFORMED` if it can't be parsed."""
    return JobRecord.decode(base64.b64decode(body["record"]))


def decode_news(body: dict[str, Any]) -> News | None:
    """Read news from a body; None if malformed."""
    try:
        news = News(**{name: body[name] for name in News.__slots__ if name in body})
        _check_news(news)
    except MALFORMED:
        return None
    return news


def _check_news(news: News) -> None:
    """Raise one of `MALFORMED` unless all fields have their types and bounds."""
    for name, kind in NEWS_FIELD_TYPES.items():
        if not isinstance(getattr(news, name), kind):
            raise TypeError(name)
    for text in (news.host, news.address, news.owner):
        read_name(text)
    for number in (
        abs(news.version),
        news.term,
        news.store_revision,
        news.member_revision,
        news.closed_preassignments,
        news.confirmed_digest,
        *news.used_preassignments.values(),
    ):
        read_int(number, MAX_REVISION)
    for revision in news.used_preassignments:
        if not (revision.isascii() and revision.isdecimal()):
            raise ValueError(f"not a revision: {revision!r:.40}")
        read_int(int(revision), MAX_REVISION)
    _check_durations(news)


def _check_durations(news: News) -> None:
    durations = [news.no_orders_s, news.store_up_s, news.confirmed_s, *news.owners_seen_s.values()]
    for value in durations:
        if not isinstance(value, float):
            raise TypeError(f"not a duration: {value!r:.40}")
        read_number(value, MAX_NUMBER)


__all__ = [
    "BAD_REQUEST",
    "CALL_S",
    "MALFORMED",
    "NOT_HERE",
    "NOT_TAKEN",
    "OK",
    "UNSETTLED",
    "MalformedReply",
    "News",
    "Operation",
    "PeerReply",
    "call_peer",
    "decode_news",
    "decode_packed",
    "decode_record",
    "encode_news",
    "encode_packed",
    "encode_record",
    "make_reply",
]
