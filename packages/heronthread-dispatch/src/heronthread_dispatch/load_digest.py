"""The owner's summary of a cell's load, which hosts pass on with their news."""

from __future__ import annotations

import json
import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

import orjson

from .field_bounds import MAX_NUMBER, read_int, read_name, read_number
from .packed import decode_packed, encode_packed
from .record import MALFORMED

VERSION = 1
"""A digest of another version is dropped: its numbers may mean something else."""
MAX_ENCODED_BYTES = 480
"""Size of an encoded digest; with its key in the news it stays under the bound of 0.5 kB."""
MAX_PASSED_ON_S = 60.0
"""Age from which a digest is not passed on: the half-life of the use that it tells."""
MAX_ROW_BYTES = 40
MAX_UNPACKED_BYTES = 16_384
"""Bounds what a malformed digest can expand to; the largest that fits has about 1 kB."""
MAX_CUSTOMERS = 8
MAX_POOLS = 64
MAX_PRIORITY = 99
MAX_ACCELERATORS = 10_000_000
MAX_S = 86_400.0
"""Bound of every duration in a digest; longer ones are capped when it is made."""
ROW_NUMBERS = 7
WHOLE_FROM = 10.0
"""Values from here on are encoded without decimals."""


@dataclass(frozen=True, slots=True)
class PriorityLoad:
    """The load that work of one priority meets in one pool.

    `waiting` are the accelerators that ready work of this priority asks for. `wait_s` is the
    expected wait (s) of a new job behind what the plan places before it while it is on time,
    `late_wait_s` that behind what the plan places before it once it is late; None if unknown.
    `room` is how many tasks of one accelerator could start now. `length_s` is the typical length
    (s) of recent runs, 0.0 if unknown. A new job comes after most of the waiting work of its own
    priority if its slack is at least `slack_s` (s).
    """

    priority: int
    waiting: int = 0
    wait_s: float | None = None
    late_wait_s: float | None = None
    room: int = 0
    length_s: float = 0.0
    slack_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """The load of one pool: `drain` in accelerators freed per second, None if unknown.

    `used` is the fair-share use of its largest customers, in accelerator-seconds.
    """

    pool: str
    drain: float | None = None
    rows: tuple[PriorityLoad, ...] = ()
    used: Mapping[str, float] = field(default_factory=dict)

    def find(self, priority: int) -> PriorityLoad | None:
        """Return the row of a priority, None if it has none."""
        return next((row for row in self.rows if row.priority == priority), None)


@dataclass(frozen=True, slots=True)
class LoadDigest:
    """The load of a cell at one moment; a later one has a higher (term, sequence)."""

    term: int
    sequence: int
    pools: tuple[PoolLoad, ...] = ()

    @property
    def order(self) -> tuple[int, int]:
        """The order in which digests were made."""
        return self.term, self.sequence

    def find(self, pool: str) -> PoolLoad | None:
        """Return the load of a pool, None if the digest has none."""
        return next((load for load in self.pools if load.pool == pool), None)


@dataclass(frozen=True, slots=True)
class MalformedDigest:
    """A digest that can't be used, and why."""

    reason: str


def fit_digest(digest: LoadDigest) -> LoadDigest:
    """Return a digest that fits into the news.

    The smallest customers are left out first, then the least busy rows.
    """
    digest = _keep_largest_customers(digest, MAX_CUSTOMERS)
    while digest.pools:
        excess = measure_bytes(encode_digest(digest, MAX_PASSED_ON_S)) - MAX_ENCODED_BYTES
        if excess <= 0:
            break
        customers = sum(len(load.used) for load in digest.pools)
        if customers:
            digest = _keep_largest_customers(digest, customers - 1)
        else:
            digest = _drop_least_busy(digest, max(1, excess // MAX_ROW_BYTES))
    return digest


def measure_bytes(encoded: dict[str, Any]) -> int:
    """Return the size of an encoded digest in a message."""
    return len(json.dumps(encoded, separators=(",", ":")).encode())


def _keep_largest_customers(digest: LoadDigest, count: int) -> LoadDigest:
    """Return a digest with the `count` largest uses of all pools."""
    uses = [(use, load.pool, name) for load in digest.pools for name, use in load.used.items()]
    kept = {(pool, name) for _, pool, name in sorted(uses, reverse=True)[:count]}
    pools = (
        replace(load, used={n: use for n, use in load.used.items() if (load.pool, n) in kept})
        for load in digest.pools
    )
    return replace(digest, pools=tuple(pools))


def _drop_least_busy(digest: LoadDigest, count: int) -> LoadDigest:
    """Return a digest without the rows with the least waiting, and without pools left empty."""
    rows = [(row.waiting, -row.priority, load.pool) for load in digest.pools for row in load.rows]
    dropped = {(pool, -priority) for _, priority, pool in sorted(rows)[:count]}
    pools = (
        replace(
            load,
            rows=tuple(row for row in load.rows if (load.pool, row.priority) not in dropped),
        )
        for load in digest.pools
    )
    return replace(digest, pools=tuple(load for load in pools if load.rows))


def encode_digest(digest: LoadDigest, age_s: float) -> dict[str, Any]:
    """Return the field of the news for a digest that is `age_s` seconds old."""
    pools = [_list_values(load) for load in digest.pools]
    packed = zlib.compress(orjson.dumps([digest.term, digest.sequence, pools]), level=9)
    return {"v": VERSION, "a": round(age_s, 3), "d": encode_packed(packed)}


def _list_values(load: PoolLoad) -> list[object]:
    numbers: list[float | None] = []
    for row in load.rows:
        numbers += [
            row.priority,
            row.waiting,
            _shorten(row.wait_s),
            _shorten(row.late_wait_s),
            row.room,
            _shorten(row.length_s),
            _shorten(row.slack_s),
        ]
    used = {name: _shorten(use) for name, use in load.used.items()}
    return [load.pool, _shorten(load.drain), numbers, used]


def _shorten(value: float | None) -> float | None:
    """Return a number with one decimal, or with none from `WHOLE_FROM` on."""
    if value is None:
        return None
    shortened = round(value, 1)
    return int(value) if value >= WHOLE_FROM or shortened == int(shortened) else shortened


def decode_digest(value: object) -> tuple[LoadDigest, float] | MalformedDigest:
    """Read a digest and its age (s) from the field of the news."""
    try:
        return _decode(value)
    except MALFORMED as error:
        return MalformedDigest(repr(error))


def _decode(value: object) -> tuple[LoadDigest, float]:
    if not isinstance(value, dict):
        raise TypeError("a digest is an object")
    if value["v"] != VERSION:
        raise ValueError(f"version {value['v']!r:.40}")
    age_s = read_number(value["a"], MAX_NUMBER)
    term, sequence, rows = orjson.loads(_unpack(value["d"]))
    if len(rows) > MAX_POOLS:
        raise ValueError(f"{len(rows)} pools")
    pools = tuple(_decode_pool(*row) for row in rows)
    if sum(len(load.used) for load in pools) > MAX_CUSTOMERS:
        raise ValueError("too many customers")
    return LoadDigest(read_int(term, MAX_NUMBER), read_int(sequence, MAX_NUMBER), pools), age_s


def _unpack(text: object) -> bytes:
    packed = decode_packed(text)
    if packed is None:
        raise ValueError("invalid base64")
    try:
        return zlib.decompressobj().decompress(packed, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error


def _decode_pool(pool: object, drain: object, numbers: object, used: object) -> PoolLoad:
    if not isinstance(numbers, list) or len(numbers) % ROW_NUMBERS or not isinstance(used, dict):
        raise ValueError("a pool's load has rows of numbers and customers")
    rows = [
        _decode_row(*numbers[at : at + ROW_NUMBERS]) for at in range(0, len(numbers), ROW_NUMBERS)
    ]
    return PoolLoad(
        read_name(pool),
        None if drain is None else read_number(drain, MAX_ACCELERATORS),
        tuple(rows),
        {read_name(name): read_number(use, MAX_NUMBER) for name, use in used.items()},
    )


def _decode_row(
    priority: object,
    waiting: object,
    wait_s: object,
    late_wait_s: object,
    room: object,
    length: object,
    slack: object,
) -> PriorityLoad:
    return PriorityLoad(
        read_int(priority, MAX_PRIORITY),
        read_int(waiting, MAX_ACCELERATORS),
        None if wait_s is None else read_number(wait_s, MAX_S),
        None if late_wait_s is None else read_number(late_wait_s, MAX_S),
        read_int(room, MAX_ACCELERATORS),
        read_number(length, MAX_S),
        read_number(slack, MAX_S),
    )
