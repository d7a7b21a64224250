"""What is kept for a rack holds until one of its rooms changes, and no longer."""

import pytest
from heronthread_dispatch.fleet import ExecutorState
from heronthread_dispatch.headroom import Headroom
from heronthread_dispatch.model import NOTHING, Executor, Resources, StepSpec
from heronthread_dispatch.room import Room, Scope, count_fits, make_rooms

NOW = 10.0
CAPACITY = Resources(8_000, 8_000, 8)
ONE = Resources(1_000, 1_000, 1)


def _make_states(racks: dict[str, int]) -> list[ExecutorState]:
    states = []
    for rack, count in racks.items():
        for number in range(count):
            name = f"{rack}-{number}"
            executor = Executor(name, name, "pool", "z", rack, (), CAPACITY)
            state = ExecutorState(executor, free=CAPACITY)
            state.heard = state.recorded = True
            states.append(state)
    return states


def _make_scope(racks: dict[str, int]) -> Scope:
    return Scope(make_rooms(_make_states(racks), NOW)["pool"])


def test_executors_that_take_no_work_have_no_room() -> None:
    states = _make_states({"a": 3})
    states[1].leaves_at = NOW + 1
    rooms = make_rooms(states, NOW)["pool"]
    assert [(room.state.id, room.number) for room in rooms] == [("a-0", 0), ("a-2", 2)]


def test_headroom_and_racks_count_without_evacuated_executors() -> None:
    """The emptiest rack lies in an evacuated domain: none of it is kept free, or found by gangs."""
    states = _make_states({"a": 2, "b": 2})
    for state in states[:2]:
        state.evacuated = True
    for state in states[2:]:
        state.free = CAPACITY.minus(ONE)
    rooms = make_rooms(states, NOW)
    assert Headroom(rooms, {"pool": 8}).choose({}) == {"b-0"}
    scope = Scope(rooms["pool"])
    assert [part.rooms[0].state.executor.rack for part in scope.parts] == ["b"]
    assert scope.count(ONE) == 14
    assert not scope.holds_when_empty(StepSpec(17, ONE, 1.0), 17)


def test_what_is_kept_is_worked_out_again_only_after_a_change_in_its_rack() -> None:
    scope = _make_scope({"a": 2, "b": 2})
    calls: list[str] = []

    def work_out(rooms: list[Room]) -> int:
        calls.append(rooms[0].state.executor.rack)
        return len(calls)

    def ask() -> None:
        for part in scope.parts:
            part.keep("question", work_out)

    ask()
    ask()
    assert calls == ["a", "b"]
    scope.rooms[3].take(ONE)
    ask()
    assert calls == ["a", "b", "b"]
    scope.rooms[0].await_stop(ONE)
    ask()
    assert calls == ["a", "b", "b", "a"]


def test_counts_follow_what_is_taken_and_promised() -> None:
    scope = _make_scope({"a": 1, "b": 1})
    assert scope.count(ONE) == 16
    assert scope.free_accelerators() == 16
    room = scope.rooms[0]
    for _ in range(8):
        room.take(ONE)
    assert scope.count(ONE) == 8
    assert [r.state.id for r in scope.list_fitting(ONE)] == ["b-0"]
    room.await_stop(ONE)
    assert scope.count(ONE) == 8, "what is being stopped is not free yet"
    assert room.soon.accelerators == 1


def test_a_rack_knows_its_part_and_its_rooms() -> None:
    scope = _make_scope({"a": 2, "b": 1})
    part = scope.find_part("b")
    assert part is not None and part.is_rack and part.parts == [part]
    assert scope.find_part("c") is None
    assert scope.find_room("a-1") is scope.rooms[1]
    assert scope.find_room("other") is None


def test_whether_a_gang_fits_an_empty_rack_depends_on_capacity_alone() -> None:
    scope = _make_scope({"a": 2})
    step = StepSpec(16, ONE, 1.0, gang=True)
    for room in scope.rooms:
        room.take(CAPACITY)
    assert scope.holds_when_empty(step, 16)
    assert not scope.holds_when_empty(step, 17)


def test_a_room_shrinks_and_never_grows() -> None:
    room = _make_scope({"a": 1}).rooms[0]
    room.take(ONE)
    room.shrink(CAPACITY)
    assert room.now == CAPACITY.minus(ONE)
    room.shrink(Resources(-1, -1, -1))
    assert not room.fits(NOTHING)


@pytest.mark.parametrize(
    ("need", "room", "fits"),
    [
        (Resources(1_000, 0, 2), Resources(8_000, 0, 8), 4),
        (Resources(0, 500, 0), Resources(0, 1_700, 0), 3),
        (Resources(0, 0, 1), Resources(0, 0, -1), -1),
    ],
)
def test_how_often_a_need_fits(need: Resources, room: Resources, fits: int) -> None:
    assert count_fits(need, room) == fits


def test_what_asks_for_nothing_fits_any_number_of_times() -> None:
    assert count_fits(NOTHING, NOTHING) >= 1_000_000
