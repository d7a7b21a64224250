"""Tests of the ledger: batches, lost responses, fencing, snapshots and retention."""

from __future__ import annotations

import trio
from heronthread_coordination import Committed, Deposed, Ledger, MemoryStore, Record, ledger


def make_record(key: str, at: float = 0.0, final: bool = False) -> Record:
    return Record(key, at, final, {"value": key})


async def open_ledger(store, epoch: int, nursery, **more) -> Ledger:
    opened = Ledger(store, "c", epoch, **more)
    assert isinstance(await opened.open(), Committed)
    nursery.start_soon(opened.run)
    return opened


async def test_burst_of_records_is_committed_in_few_writes(autojump_clock, nursery):
    store = MemoryStore()
    cell_ledger = await open_ledger(store, 1, nursery)
    before = store.writes
    outcomes = await cell_ledger.append_all([make_record(f"j{i}") for i in range(2000)])
    assert all(isinstance(outcome, Committed) for outcome in outcomes)
    assert store.writes - before <= 2


async def test_commit_succeeds_despite_lost_responses(autojump_clock, nursery):
    store = MemoryStore()
    cell_ledger = await open_ledger(store, 1, nursery)
    store.faults.lose_answers = 2
    assert isinstance(await cell_ledger.append(make_record("j")), Committed)
    reader = Ledger(store, "c", 2)
    await reader.open()
    assert {record.key for record in reader.records} == {"j"}


async def test_deposed_writer_can_not_append(autojump_clock, nursery):
    store = MemoryStore()
    old = await open_ledger(store, 1, nursery)
    new = await open_ledger(store, 2, nursery)
    assert isinstance(await old.append(make_record("late")), Deposed)
    assert isinstance(await new.append(make_record("good")), Committed)
    reader = Ledger(store, "c", 3)
    await reader.open()
    assert {record.key for record in reader.records} == {"good"}


async def test_older_epoch_can_not_open(autojump_clock, nursery):
    store = MemoryStore()
    await open_ledger(store, 5, nursery)
    assert isinstance(await Ledger(store, "c", 4).open(), Deposed)


async def test_records_queued_during_an_outage_are_committed_after_it(autojump_clock, nursery):
    store = MemoryStore()
    cell_ledger = await open_ledger(store, 1, nursery)
    store.set_down(True)
    for number in range(5):
        cell_ledger.post(make_record(f"j{number}"))
    await trio.sleep(600)
    assert cell_ledger.is_stalled
    store.set_down(False)
    await cell_ledger.flush()
    assert len(cell_ledger.records) == 5


async def test_snapshot_replaces_entries_and_drops_expired_records(
    autojump_clock, nursery, monkeypatch
):
    monkeypatch.setattr(ledger, "SNAPSHOT_INTERVAL", 8)
    store = MemoryStore()
    cell_ledger = await open_ledger(store, 1, nursery, retention_s=100.0)
    await cell_ledger.append(make_record("old", at=0.0, final=True))
    for number in range(20):
        await cell_ledger.append(make_record(f"j{number}", at=1000.0 + number))
    entries = [key for key in store.entries if "/entry/" in key]
    assert len(entries) < 10
    reader = Ledger(store, "c", 2)
    await reader.open()
    assert "old" not in reader.records
    assert len(reader.records) == 20
