"""What is left at each executor while a plan is made."""

from __future__ import annotations

from heronthread_dispatch.model import Resources, StepSpec
from heronthread_dispatch.room import Room


def group_by_rack(rooms: list[Room]) -> dict[str, list[Room]]:
    """Return the rooms of each rack."""
    racks: dict[str, list[Room]] = {}
    for room in rooms:
        racks.setdefault(room.state.executor.rack, []).append(room)
    return racks


def holds_when_empty(rooms: list[Room], spec: StepSpec, count: int) -> bool:
    """Whether `count` tasks would fit if nothing else ran there."""
    need = spec.need
    total = 0
    for room in rooms:
        total += count_fits(need, room.state.executor.capacity)
    return total >= count


def count_fits(need: Resources, room: Resources) -> int:
    """Return how many times `need` fits in `room`."""
    counts = [have // want for want, have in zip(need, room, strict=True) if want > 0]
    return min(counts, default=1_000_000)


def count_members(scope: list[Room], need: Resources) -> int:
    """Return how many tasks fit now."""
    return sum(max(0, count_fits(need, room.now)) for room in scope)
