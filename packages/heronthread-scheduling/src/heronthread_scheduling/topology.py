"""Workers of a cell and the racks and failure domains that contain them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum, StrEnum


class Level(IntEnum):
    """Required adjacency of the members of a gang, from strictest to loosest."""

    WORKER = 0
    RACK = 1
    DOMAIN = 2
    CELL = 3


class Pool(StrEnum):
    """Kind of unit that a member occupies on its worker."""

    ACCELERATORS = "accelerators"
    SLOTS = "slots"


@dataclass(frozen=True, slots=True)
class Worker:
    """A machine that runs tasks, with its numbers of accelerators and executor slots."""

    name: str
    rack: str
    domain: str
    accelerators: int
    slots: int

    def count(self, pool: Pool) -> int:
        """Return the units this worker has in `pool`."""
        if pool is Pool.ACCELERATORS:
            return self.accelerators
        return self.slots


class Topology:
    """The numbered workers of one cell and the numbered units of each level.

    A unit is a worker, a rack, a failure domain or the whole cell. `workers` is sorted by
    failure domain, rack and name, so that every host with the same file assigns the same
    numbers. `unit_of[level][worker]` and `workers_in[level][unit]` map between workers and
    units.
    """

    def __init__(self, workers: Iterable[Worker]) -> None:
        self.workers = sorted(workers, key=lambda w: (w.domain, w.rack, w.name))
        self.number = {worker.name: index for index, worker in enumerate(self.workers)}
        self.unit_of: list[list[int]] = []
        self.workers_in: list[list[list[int]]] = []
        self.unit_names: list[list[str]] = []
        for level in Level:
            self._number_units(level)

    def _number_units(self, level: Level) -> None:
        numbers: dict[str, int] = {}
        unit_of: list[int] = []
        workers_in: list[list[int]] = []
        for index, worker in enumerate(self.workers):
            name = _unit_name(worker, level)
            unit = numbers.setdefault(name, len(numbers))
            if unit == len(workers_in):
                workers_in.append([])
            unit_of.append(unit)
            workers_in[unit].append(index)
        self.unit_of.append(unit_of)
        self.workers_in.append(workers_in)
        self.unit_names.append(list(numbers))

    def __len__(self) -> int:
        return len(self.workers)


def _unit_name(worker: Worker, level: Level) -> str:
    if level is Level.WORKER:
        return worker.name
    if level is Level.RACK:
        return f"{worker.domain}/{worker.rack}"
    if level is Level.DOMAIN:
        return worker.domain
    return "cell"
