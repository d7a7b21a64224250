"""Malformed stored values have an outcome and end no reader."""

from __future__ import annotations

import json

import pytest
import trio
from heronthread_coordination import (
    Applied,
    CellLease,
    Committed,
    Configuration,
    ConfigurationLog,
    Ledger,
    MemoryStore,
    Record,
    Unavailable,
)

MALFORMED_VALUES = [
    b"",
    b"\xff",
    b"null",
    b"7",
    b"[]",
    b"{}",
    b'{"epoch": "x", "records": 7}',
    b'{"number": "x", "parts": []}',
    b"[" * 200_000,
]
OWNER = {"cell": "c", "host": "z", "address": "z:1", "write_id": "w"}
WRONG_OWNERS = [
    {"epoch": "x", "sequence": 0, "duration_s": 5.0},
    {"epoch": 1, "sequence": None, "duration_s": 5.0},
    {"epoch": 1, "sequence": 0, "duration_s": "5"},
    {"epoch": 1, "sequence": 0, "duration_s": float("inf")},
    {"epoch": 1, "sequence": 0, "duration_s": float("nan")},
    {"epoch": -1, "sequence": 0, "duration_s": 5.0},
]


async def put(store: MemoryStore, key: str, value: bytes) -> None:
    """Write a value over whatever is there, as another writer may."""
    entry = await store.read(key)
    assert not isinstance(entry, Unavailable)
    await store.write(key, value, expect=entry.revision)


@pytest.mark.parametrize(
    "value", [*MALFORMED_VALUES, *(json.dumps(OWNER | wrong).encode() for wrong in WRONG_OWNERS)]
)
async def test_contender_outlasts_a_malformed_lease(autojump_clock, value):
    """Nobody can tell whose lease it is, so it is waited for as a lease of the usual duration."""
    store = MemoryStore()
    await put(store, "owner/c", value)
    lease = CellLease(store, "c", "a", "a:1")
    with trio.move_on_after(20):
        await lease.run()
    assert lease.is_held


@pytest.mark.parametrize("value", MALFORMED_VALUES)
async def test_owner_is_deposed_by_a_malformed_lease(autojump_clock, value):
    store = MemoryStore()
    lease = CellLease(store, "c", "a", "a:1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lease.run)
        await trio.sleep(3)
        assert lease.is_held
        await put(store, "owner/c", value)
        await trio.sleep(3)
        assert not lease.is_held
        await trio.sleep(20)
        assert lease.is_held and lease.epoch > 1
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("key", ["ledger/c/entry/000000000001", "ledger/c/head"])
@pytest.mark.parametrize("value", MALFORMED_VALUES)
async def test_ledger_with_a_malformed_value_is_unavailable(autojump_clock, key, value):
    store = MemoryStore()
    await put(store, key, value)
    assert isinstance(await Ledger(store, "c", 1).open(), Unavailable)


@pytest.mark.parametrize("value", MALFORMED_VALUES)
async def test_malformed_entry_of_another_writer_deposes(autojump_clock, nursery, value):
    store = MemoryStore()
    ledger = Ledger(store, "c", 1)
    assert isinstance(await ledger.open(), Committed)
    nursery.start_soon(ledger.run)
    await put(store, "ledger/c/entry/000000000002", value)
    outcome = await ledger.append(Record("j", 0.0, False, {}))
    assert outcome is ledger.deposed is not None


@pytest.mark.parametrize("key", ["config/entry/000000000001", "config/head"])
@pytest.mark.parametrize("value", MALFORMED_VALUES)
async def test_configuration_stays_over_a_malformed_value(autojump_clock, key, value):
    store, mine = MemoryStore(), Configuration()
    await put(store, key, value)
    log = ConfigurationLog(store)
    assert not await log.load(mine)
    if key != "config/head":
        assert not await log.wait_for_next(mine, 0.1)
        assert isinstance(await log.apply(mine, {"a": b"1"}, "x", "ana"), Unavailable)
    assert mine.generation == 0


@pytest.mark.parametrize(
    "key", ["config/entry/x", "config/entry/1", "config/entry/00000000001\u0663"]
)
async def test_key_that_is_no_entry_is_passed_over(autojump_clock, key):
    store, mine, other = MemoryStore(), Configuration(), Configuration()
    await put(store, key, b"{}")
    log = ConfigurationLog(store)
    assert await log.apply(mine, {"a": b"1"}, "x", "ana") == Applied(1)
    assert await log.load(other)
    assert other.generation == 1
