"""The load digest: its size in the news, what is left out, and digests that can't be used."""

import json
import random
import zlib
from dataclasses import replace
from typing import Any

import orjson
import pytest
from heronthread_dispatch.known_load import SETTLE_AFTER_GAP_S, KnownLoad
from heronthread_dispatch.load_digest import (
    MAX_ENCODED_BYTES,
    LoadDigest,
    MalformedDigest,
    PoolLoad,
    PriorityLoad,
    decode_digest,
    encode_digest,
    fit_digest,
    measure_bytes,
)
from heronthread_dispatch.packed import encode_packed


def _pack(value: object) -> str:
    return encode_packed(zlib.compress(orjson.dumps(value)))


def _make_digest(pools: int, customers: int) -> LoadDigest:
    """Return a digest whose numbers differ, as equal ones would be packed into less."""
    source = random.Random(7)

    def draw_row(priority: int) -> PriorityLoad:
        waits = [source.uniform(1, 90) for _ in range(4)]
        waiting, room = source.randrange(1408), source.randrange(64)
        return PriorityLoad(priority, waiting, waits[0], waits[1], room, waits[2], waits[3])

    loads = [
        PoolLoad(f"pool-{n}", source.uniform(1, 200), tuple(map(draw_row, range(3))))
        for n in range(pools)
    ]
    used = {
        f"customer-{source.randrange(790)}": source.uniform(1, 90_000) for _ in range(customers)
    }
    loads[0] = replace(loads[0], used=used)
    return LoadDigest(123, 45_678, tuple(loads))


def test_four_pools_three_priorities_and_eight_customers_fit() -> None:
    """Guards against a digest that makes the news of every host grow by more than 0.5 kB."""
    digest = _make_digest(4, 8)
    assert fit_digest(digest) == digest
    encoded = encode_digest(digest, 2.999)
    assert len(b'"load":,' + json.dumps(encoded, separators=(",", ":")).encode()) < 500
    decoded = decode_digest(json.loads(json.dumps(encoded)))
    assert not isinstance(decoded, MalformedDigest)
    assert [len(load.rows) for load in decoded[0].pools] == [3, 3, 3, 3]
    assert len(decoded[0].pools[0].used) == 8
    assert decoded[1] == 2.999


def test_smallest_customers_are_left_out_before_rows() -> None:
    """Guards against an oversized digest when customers have long names."""
    source = random.Random(1)
    digest = _make_digest(4, 0)
    used = {f"{source.getrandbits(200):050x}": 1234.5 + n for n in range(8)}
    fitted = fit_digest(
        replace(digest, pools=(replace(digest.pools[0], used=used), *digest.pools[1:]))
    )
    assert sum(len(load.rows) for load in fitted.pools) == 12
    kept = fitted.pools[0].used
    assert 0 < len(kept) < 8
    assert min(kept.values()) == 1234.5 + 8 - len(kept)


def test_busiest_rows_are_kept() -> None:
    """Guards against leaving out the contended pools of a cell with many pools."""
    loads = tuple(
        PoolLoad(f"pool-{n:02}", 10.0, (PriorityLoad(1, n * 100, 1.0),)) for n in range(60)
    )
    fitted = fit_digest(LoadDigest(1, 1, loads))
    assert measure_bytes(encode_digest(fitted, 2.999)) <= MAX_ENCODED_BYTES
    kept = [load.pool for load in fitted.pools]
    assert len(kept) >= 8
    assert kept == [f"pool-{n:02}" for n in range(60 - len(kept), 60)]


def _encode(**changes: Any) -> dict[str, Any]:
    return {**encode_digest(_make_digest(1, 1), 0.5), **changes}


def _encode_packed(term: object, sequence: object, pools: object) -> dict[str, Any]:
    return _encode(d=_pack([term, sequence, pools]))


@pytest.mark.parametrize(
    "value",
    [
        None,
        [],
        "digest",
        7,
        {"v": 1},
        _encode(v=2),
        _encode(v="1"),
        _encode(a=-0.1),
        _encode(a=float("nan")),
        _encode(a=float("inf")),
        _encode(a=10**400),
        _encode(a="0.1"),
        _encode(d=None),
        _encode(d="not base64!"),
        _encode(d="abcd"),
        _encode(d=encode_packed(zlib.compress(b"[" * 10_000))),
        _encode(d=encode_packed(zlib.compress(b"[1,1,[" + b" " * 10_000_000 + b"]]"))),
        _encode(d=_pack(7)),
        _encode_packed(-1, 1, []),
        _encode_packed(True, 1, []),
        _encode_packed(1, 1.5, []),
        _encode_packed(1, 2**60, []),
        _encode_packed(1, 1, None),
        _encode_packed(1, 1, [7]),
        _encode_packed(1, 1, [["pool", 1.0, [0, 1, 2], {}]]),
        _encode_packed(1, 1, [["pool", -1.0, [], {}]]),
        _encode_packed(1, 1, [[7, 1.0, [], {}]]),
        _encode_packed(1, 1, [["x" * 1000, 1.0, [], {}]]),
        _encode_packed(1, 1, [["pool", 1.0, [0, 1, 90_000, 0, 0, 0, 0], {}]]),
        _encode_packed(1, 1, [["pool", 1.0, [0, -1, 9, 9, 0, 0, 0], {}]]),
        _encode_packed(1, 1, [["pool", 1.0, [0, 1, "9", 9, 0, 0, 0], {}]]),
        _encode_packed(1, 1, [["pool", 1.0, [], {"customer": -1}]]),
        _encode_packed(1, 1, [["pool", 1.0, [], {str(n): 1 for n in range(9)}]]),
        _encode_packed(1, 1, [["pool", 1.0, [], {}]] * 100),
    ],
)
def test_unusable_digests_are_malformed(value: object) -> None:
    """Guards against deciding from a digest of another version or with impossible numbers."""
    assert isinstance(decode_digest(value), MalformedDigest)


def _order(term: int, sequence: int) -> LoadDigest:
    return LoadDigest(term, sequence)


def test_highest_term_and_sequence_is_kept() -> None:
    """Guards against news out of order, and against a deposed owner's digest."""
    known = KnownLoad()
    for term, sequence in [(2, 1), (1, 900), (2, 3), (2, 2)]:
        known.offer(_order(term, sequence), 0.5, 100.0)
    found = known.find(100.0)
    assert found is not None
    assert found.digest.order == (2, 3)


def test_ages_add_up_along_the_way() -> None:
    """Guards against a digest that looks new at each host that passes it on."""
    first, second = KnownLoad(), KnownLoad()
    first.offer(_order(1, 1), 0.25, 10.0)
    passed_on = first.find(11.0)
    assert passed_on is not None
    second.offer(passed_on.digest, passed_on.age_s, 5_000.0)
    found = second.find(5_001.5)
    assert found is not None
    assert found.age_s == pytest.approx(2.75)


def test_the_longer_age_of_equal_digests_counts_and_none_is_negative() -> None:
    """Guards against refreshing a digest by hearing it again by another way."""
    known = KnownLoad()
    known.offer(_order(1, 1), 2.0, 10.0)
    known.offer(_order(1, 1), 0.1, 10.5)
    found = known.find(10.5)
    assert found is not None
    assert found.age_s == pytest.approx(2.5)
    known.offer(_order(1, 2), -5.0, 11.0)
    found = known.find(11.0)
    assert found is not None
    assert found.age_s == 0.0


def test_news_buffered_while_the_host_stood_still_is_ignored() -> None:
    """Guards against taking news sent before a suspension as new after it."""
    known = KnownLoad()
    known.tick(10.0)
    known.offer(_order(1, 1), 0.1, 10.0)
    known.offer(_order(1, 2), 0.1, 70.0)
    known.tick(70.0)
    known.offer(_order(1, 3), 0.1, 70.1)
    found = known.find(70.1)
    assert found is not None
    assert found.digest.order == (1, 1)
    assert found.age_s > 60.0
    known.tick(71.0)
    known.offer(_order(1, 60), 0.1, 70.0 + SETTLE_AFTER_GAP_S)
    found = known.find(71.0)
    assert found is not None
    assert found.digest.order == (1, 60)
