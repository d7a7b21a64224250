"""Tests of configuration generations: atomicity, concurrent applies, snapshots, deltas."""

from __future__ import annotations

import trio
from heronthread_coordination import (
    Applied,
    Configuration,
    ConfigurationLog,
    Delta,
    MemoryStore,
    Superseded,
    configuration,
)
from hypothesis import given, settings
from hypothesis import strategies as st


async def test_applied_file_is_loaded_by_another_host(autojump_clock):
    store = MemoryStore()
    log, mine, other = ConfigurationLog(store), Configuration(), Configuration()
    assert await log.apply(mine, {"a": b"1"}, "x", "ana") == Applied(1)
    assert await log.load(other)
    assert other.sections == {"a": b"1"}


async def test_one_of_two_concurrent_applies_wins(autojump_clock):
    store = MemoryStore()
    log, first, second = ConfigurationLog(store), Configuration(), Configuration()
    assert await log.apply(first, {"a": b"1"}, "x", "ana") == Applied(1)
    assert await log.apply(second, {"a": b"2"}, "y", "luis") == Superseded(1, "x", "ana")
    assert second.sections == {"a": b"1"}


async def test_apply_is_idempotent_after_a_lost_response(autojump_clock):
    store = MemoryStore()
    log, mine = ConfigurationLog(store), Configuration()
    store.faults.lose_answers = 1
    assert await log.apply(mine, {"a": b"1"}, "x", "ana") == Applied(1)
    assert await log.apply(mine, {"a": b"1"}, "x", "ana") == Applied(1)
    assert mine.generation == 1


async def test_new_host_reads_snapshot_and_later_entries(autojump_clock, monkeypatch):
    monkeypatch.setattr(configuration, "SNAPSHOT_INTERVAL", 4)
    store = MemoryStore()
    log, mine = ConfigurationLog(store), Configuration()
    for number in range(10):
        sections = {"same": b"s", f"n{number}": str(number).encode()}
        await log.apply(mine, sections, f"x{number}", "ana")
    new = Configuration()
    assert await log.load(new)
    assert new.generation == 10
    assert new.sections == mine.sections
    assert new.applies["x3"] == 4


async def test_waiting_host_adopts_the_next_generation(autojump_clock):
    store = MemoryStore()
    log, mine, other = ConfigurationLog(store), Configuration(), Configuration()
    await log.apply(mine, {"a": b"1"}, "x", "ana")
    await log.load(other)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(log.wait_for_next, other, 10.0)
        await trio.sleep(1)
        await log.apply(mine, {"a": b"2"}, "y", "ana")
    assert other.generation == 2


section_maps = st.dictionaries(st.sampled_from("abcd"), st.binary(max_size=3), max_size=4)


@settings(max_examples=50, deadline=None, derandomize=True)
@given(st.lists(section_maps, min_size=1, max_size=6), st.integers(0, 5))
def test_delta_from_any_generation_yields_the_same_sections(versions, behind):
    ahead, late = Configuration(), Configuration()
    for number, sections in enumerate(versions):
        change = configuration.make_change(ahead, sections, f"x{number}", "ana")
        assert ahead.adopt(change)
        if number < behind:
            late.adopt(change)
    delta = ahead.delta_since(late.generation)
    if delta is not None:
        assert late.adopt_delta(Delta.decode(delta.encode()))
    assert late.sections == ahead.sections == versions[-1]
    assert not late.adopt_delta(delta) if delta else True
