"""The recorded quorum: its members, its majorities and its stored form."""

from collections import Counter

import pytest
from heronthread_dispatch.fleet import ExecutorState
from heronthread_dispatch.model import Executor, ExecutorInstance, Resources
from heronthread_dispatch.quorum_record import (
    MAX_MEMBERS,
    QuorumRecord,
    choose_members,
    count_blocking,
    count_majority,
)
from heronthread_dispatch.record import Unreadable


def _make_state(name: str, zone: str = "z0", rack: str = "r0", born: int = 0) -> ExecutorState:
    return ExecutorState(Executor(name, name, "pool", zone, rack, (), Resources(), born=born))


@pytest.mark.parametrize("members", range(1, 40))
def test_no_majority_is_left_beside_a_blocking_set(members: int) -> None:
    assert members - count_blocking(members) < count_majority(members)
    assert members - count_blocking(members) + 1 >= count_majority(members)


def test_members_are_spread_over_domains_and_racks() -> None:
    states = [_make_state(f"e{n:02}", f"z{n % 3}", f"r{n % 2}") for n in range(60)]
    members = choose_members(states, ())
    assert len(members) == MAX_MEMBERS
    chosen = [state for state in states if state.instance in members]
    assert set(Counter(state.executor.zone for state in chosen).values()) == {5}
    assert set(Counter(state.rack for state in chosen).values()) == {2, 3}


def test_members_stay_while_they_can_be_members() -> None:
    states = [_make_state(f"e{n:02}") for n in range(30)]
    current = {state.instance for state in states[-MAX_MEMBERS:]}
    assert choose_members(states, current) == current
    changed = choose_members(states[:-1], current)
    assert len(changed) == MAX_MEMBERS
    assert len(changed & current) == MAX_MEMBERS - 1


def test_another_instance_under_an_id_is_another_member() -> None:
    state = _make_state("e0", born=7)
    assert choose_members([state], {ExecutorInstance("e0", 3)}) == {state.instance}


def test_a_record_is_read_as_it_was_written() -> None:
    members = frozenset({ExecutorInstance("e0", 7), ExecutorInstance("e1")})
    record = QuorumRecord(12, members)
    assert QuorumRecord.decode(record.encode()) == record


@pytest.mark.parametrize("data", [b"", b"[]", b'{"term_revision": 1}', b'{"members": [["e0"]]}'])
def test_a_malformed_record_is_unreadable(data: bytes) -> None:
    assert isinstance(QuorumRecord.decode(data), Unreadable)
