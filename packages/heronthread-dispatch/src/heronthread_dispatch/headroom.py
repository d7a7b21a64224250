"""Room kept free for urgent work, so that it needn't wait until others have been stopped.

Stopping others' work costs that work, and the urgent job the time of the stops.
"""

from __future__ import annotations

from .room import Room, group_by_rack, weigh_millicores

HEADROOM_SHARE = 0.4
BUSY_SHARE = 0.6


class Headroom:
    """Chooses executors for as many accelerators as urgent work lately wanted beyond its use.

    `peaks` is the most that urgent work wanted of late, by pool.
    """

    def __init__(self, rooms: dict[str, list[Room]], peaks: dict[str, int]) -> None:
        self._rooms = rooms
        self._peaks = peaks
        self._weights: dict[str, tuple[int, int]] = {}

    def choose(self, used: dict[str, int]) -> frozenset[str]:
        """Return the executors to leave alone, given what urgent work holds by pool."""
        chosen: list[str] = []
        for pool, rooms in self._rooms.items():
            chosen += self._choose_in_pool(rooms, self._peaks.get(pool, 0) - used.get(pool, 0))
        return frozenset(chosen)

    def _choose_in_pool(self, rooms: list[Room], missing: int) -> list[str]:
        """Choose the emptiest executors, rack by rack: urgent gangs are to share one."""
        total = sum(room.state.executor.capacity.accelerators for room in rooms)
        wanted = min(missing, int(total * HEADROOM_SHARE))
        chosen = []
        for room in _list_emptiest(rooms):
            if wanted <= 0:
                break
            chosen.append(room.state.id)
            wanted -= max(0, room.soon.accelerators)
        return chosen

    def is_mostly_idle(self, pool: str) -> bool:
        """Whether less than `BUSY_SHARE` of a pool is in use."""
        rooms = self._rooms.get(pool, [])
        if not rooms:
            return False
        if pool not in self._weights:
            total = sum(weigh_millicores(room.state.executor.capacity) for room in rooms)
            free = sum(weigh_millicores(room.state.free) for room in rooms)
            self._weights[pool] = (total, total - free)
        total, used = self._weights[pool]
        whole = rooms[0].changes.whole
        assert whole is not None, "a rack is part of its pool"
        return used + whole.millicores_taken < BUSY_SHARE * total


def _list_emptiest(rooms: list[Room]) -> list[Room]:
    racks = group_by_rack(rooms).values()
    by_room = sorted(racks, key=_free_accelerators, reverse=True)
    return [room for rack in by_room for room in sorted(rack, key=_free_here, reverse=True)]


def _free_here(room: Room) -> int:
    return room.soon.accelerators


def _free_accelerators(rooms: list[Room]) -> int:
    return sum(max(0, _free_here(room)) for room in rooms)
