"""The stored record by which the next owner knows which late orders executors may still accept."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import orjson

from .events import log_event
from .field_bounds import MAX_NUMBER, MAX_REVISION, read_int
from .keystore import Item
from .model import ExecutorInstance
from .record import MALFORMED, decode_instance, read_remaining_s, round_remaining_s


@dataclass(frozen=True, slots=True)
class Fence:
    """What an owner knew of the orders that may reach an executor late, as remaining times (s).

    `lease_left_s`: for how long a deadline that was sent to another instance may keep runs alive at
    `instance`. `orders_left_s`: for how long any deadline sent so far may arrive at an instance of
    the id; None if more may be sent.
    """

    instance: ExecutorInstance
    lease_left_s: float = 0.0
    orders_left_s: float | None = None


@dataclass(frozen=True, slots=True)
class FenceRecord:
    """The fences of one owner by executor id, with the last number that it took as a token.

    `term_revision` is the revision at which its term began, and `revision` that of the record; both
    are 0 if there is none.
    """

    number: int = 0
    term_revision: int = 0
    fences: Mapping[str, Fence] = field(default_factory=dict)
    revision: int = 0


def fences_key(counter_key: str) -> str:
    """Return the key of the record beside that of the counter of terms."""
    return f"{counter_key}/fences"


def read_counter(item: Item) -> int:
    """Return the last number handed out; a malformed one is logged, and its revision returned.

    Each number took a revision of the store, so none was higher than that.
    """
    try:
        return read_int(int(item.value), MAX_NUMBER - 1)
    except ValueError as error:
        log_event("record.unreadable", key=item.key, reason=f"{error!r:.100}")
        return item.revision


def encode_fences(record: FenceRecord) -> bytes:
    """Return the stored form; the revision is not part of it."""
    rows = {name: _encode_fence(fence) for name, fence in record.fences.items()}
    return json.dumps([record.number, record.term_revision, rows]).encode()


def _encode_fence(fence: Fence) -> list[Any]:
    orders_left_s = fence.orders_left_s
    return [
        fence.instance.born,
        round_remaining_s(fence.lease_left_s),
        None if orders_left_s is None else round_remaining_s(orders_left_s),
    ]


def decode_fences(item: Item | None) -> FenceRecord:
    """Decode a stored record; an unreadable one is logged, and counts as if there were none."""
    if item is None:
        return FenceRecord()
    try:
        number, term_revision, rows = orjson.loads(item.value)
        fences = {str(name): _read_fence(name, *row) for name, row in rows.items()}
        return FenceRecord(
            read_int(number, MAX_REVISION),
            read_int(term_revision, MAX_REVISION),
            fences,
            item.revision,
        )
    except MALFORMED as error:
        log_event("record.unreadable", key=item.key, reason=repr(error))
        return FenceRecord()


def _read_fence(name: str, born: Any, lease_left_s: Any, orders_left_s: Any) -> Fence:
    left_s = read_remaining_s(lease_left_s) or 0.0
    return Fence(decode_instance(name, born), left_s, read_remaining_s(orders_left_s))
