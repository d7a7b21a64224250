"""Guarantee blocks: capacity that a customer can reclaim at any time.

A block is one guaranteed shape placed on concrete workers. It may move while no gang of its
customer runs in it. Gangs of other customers may use its units only if they are reclaimable,
so all unused guarantees can be reclaimed at the same time, each at its adjacency level.
HiveD (OSDI 2020) is a similar design that binds cells of a static hierarchy.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace

from .capacity import PoolCapacity
from .job import Gang, Job, Places, Shape
from .placement import find_block_places, place_members

GUARANTEED_SIZE_DIVISOR = 2
"""A gang of at least 1/GUARANTEED_SIZE_DIVISOR of a block's units has priority for it."""


@dataclass(frozen=True, slots=True)
class Guarantee:
    """`count` gangs of `shape` that `customer` may start at any moment."""

    customer: str
    shape: Shape
    count: int = 1


@dataclass(slots=True)
class Block:
    """One guaranteed shape and its places.

    `bound` maps the ids of the customer's gangs in the block to their places. `places` is
    empty if the block fits nowhere even with all workers live. `is_backed` is false while
    any of its workers is lost.
    """

    id: str
    customer: str
    shape: Shape
    places: Places = field(default_factory=dict)
    bound: dict[str, Places] = field(default_factory=dict)
    is_backed: bool = False

    def unused_units(self, worker: int) -> int:
        """Return the units of the block on `worker` that its bound gangs do not use."""
        return self.places.get(worker, 0) - sum(b.get(worker, 0) for b in self.bound.values())


@dataclass(frozen=True, slots=True)
class ReclaimOption:
    """Places that a job may reclaim in `block`, after the block moves to `moved` unless None."""

    block: Block
    places: Places
    moved: Places | None


class GuaranteeBlocks:
    """The guarantee blocks of one pool of one cell; only this class moves them."""

    def __init__(self, capacity: PoolCapacity, guarantees: Iterable[Guarantee]) -> None:
        self.capacity = capacity
        self.by_id: dict[str, Block] = {}
        self.by_customer: dict[str, list[Block]] = {}
        self.needs_placement = False
        for guarantee in guarantees:
            for number in range(guarantee.count):
                self._add(guarantee, number)
        self.place_unbacked()

    def _add(self, guarantee: Guarantee, number: int) -> None:
        blocks = self.by_customer.setdefault(guarantee.customer, [])
        block_id = f"{guarantee.customer}/{guarantee.shape}#{number}"
        block = Block(block_id, guarantee.customer, guarantee.shape)
        blocks.append(block)
        self.by_id[block.id] = block

    def unbacked(self) -> list[Block]:
        """Return the blocks without live workers for all units, strictest and largest first."""
        missing = [block for block in self.by_id.values() if not block.is_backed]
        return sorted(missing, key=_packing_key)

    def place_unbacked(self) -> None:
        """Place every unbacked block on live workers, as far as capacity allows.

        If some do not fit, all blocks without gangs are placed again together. A block
        that still does not fit is placed on lost workers too: that keeps pinned gangs off
        its units, and it is backed again when those workers return.
        """
        self.needs_placement = False
        missing = self.unbacked()
        if not missing:
            return
        for block in missing:
            self._unplace(block)
        if not self._place_blocks(missing):
            self._repack_unbound()
        for block in self.unbacked():
            self._place(
                block, self._find_places(block, self._unreserved_if_all_live), is_backed=False
            )

    def _place_blocks(self, blocks: list[Block]) -> bool:
        """Place blocks on live workers; return whether all of them fit."""
        found = True
        for block in blocks:
            places = self._find_places(block, self.capacity.unreserved)
            self._place(block, places, is_backed=places is not None)
            found = found and places is not None
        return found

    def _repack_unbound(self) -> None:
        """Place all unbound blocks again; undo it unless more units are backed than before."""
        unbound = sorted((b for b in self.by_id.values() if not b.bound), key=_packing_key)
        before = [(block, dict(block.places), block.is_backed) for block in unbound]
        backed = sum(block.shape.total for block in unbound if block.is_backed)
        for block in unbound:
            self._unplace(block)
        self._place_blocks(unbound)
        if sum(block.shape.total for block in unbound if block.is_backed) > backed:
            return
        for block in unbound:
            self._unplace(block)
        for block, places, is_backed in before:
            self._place(block, places or None, is_backed=is_backed)

    def _find_places(self, block: Block, units_on: Callable[[int], int]) -> Places | None:
        return find_block_places(block.shape, self.capacity.topology, units_on)

    def _unreserved_if_all_live(self, worker: int) -> int:
        capacity = self.capacity
        units = capacity.total[worker] - capacity.reserved[worker] - capacity.pinned[worker]
        return max(0, units)

    def _place(self, block: Block, places: Places | None, *, is_backed: bool) -> None:
        block.places = places or {}
        block.is_backed = is_backed
        self.capacity.reserve(block.places)

    def _unplace(self, block: Block) -> None:
        self.capacity.unreserve(block.places)
        block.places = {}
        block.is_backed = False

    def find_free_block(self, job: Job) -> tuple[Block, Places, Places | None] | None:
        """Find a block of the customer where `job` fits without reclaiming anything.

        Returns the block, the gang's places, and the block's new places if it must move.
        """
        for block in self._matching_blocks(job.shape, job.customer):
            places = self._find_free_places(block, job.shape)
            if places is not None:
                return block, places, None
        for block in self._matching_blocks(job.shape, job.customer):
            if block.bound:
                continue
            moved = self._find_free_position(block)
            if moved is None:
                continue
            places = place_members(job.shape, moved, lambda w, m=moved: m[w], tight=True)  # type: ignore[misc]
            if places is not None:
                return block, places, moved
        return None

    def is_guaranteed_size(self, customer: str, shape: Shape) -> bool:
        """Return whether `shape` fits a block of the customer and is not much smaller.

        Much smaller gangs may use a block too, but have no priority over other jobs.
        """
        return any(
            shape.fits_inside(block.shape)
            and GUARANTEED_SIZE_DIVISOR * shape.total >= block.shape.total
            for block in self.by_customer.get(customer, ())
        )

    def reclaim_options(self, job: Job, cost: Callable[[int], float]) -> Iterator[ReclaimOption]:
        """Yield the places in the customer's blocks that `job` may reclaim.

        A block without gangs may move first, in each unit of its level to the workers
        with the lowest `cost`.
        """
        for block in self._matching_blocks(job.shape, job.customer):
            places = place_members(job.shape, block.places, block.unused_units, tight=True)
            if places is not None:
                yield ReclaimOption(block, places, None)
            if not block.bound:
                yield from self._moved_options(block, job, cost)

    def _moved_options(
        self, block: Block, job: Job, cost: Callable[[int], float]
    ) -> Iterator[ReclaimOption]:
        def usable_units(worker: int) -> int:
            return self.capacity.unreserved(worker) + block.places.get(worker, 0)

        for workers in self.capacity.topology.workers_in[block.shape.adjacency]:
            cheapest = sorted(workers, key=lambda worker: (cost(worker), worker))
            moved = place_members(block.shape, cheapest, usable_units, tight=False)
            if moved is None:
                continue
            places = place_members(job.shape, moved, lambda w, m=moved: m[w], tight=False)  # type: ignore[misc]
            if places is not None:
                yield ReclaimOption(block, places, moved)

    def move(self, block: Block, places: Places) -> None:
        """Place an unbound block on other workers."""
        self._unplace(block)
        self._place(block, places, is_backed=True)

    def unplace_unbound(self) -> None:
        """Remove every unbound block from its workers, to be placed again."""
        for block in self.by_id.values():
            if not block.bound:
                self._unplace(block)

    def bind_running(self, gang: Gang) -> str | None:
        """Place an unplaced block of the customer over the gang's places; return its id."""
        for block in self.by_customer.get(gang.job.customer, ()):
            if block.places or block.bound or not gang.job.shape.fits_inside(block.shape):
                continue
            places = self._extend_to_block(block.shape, gang.places)
            if places is not None:
                self._place(block, places, is_backed=True)
                return block.id
        return None

    def _extend_to_block(self, shape: Shape, places: Places) -> Places | None:
        """Return places of a whole block of `shape` that cover `places`."""
        size = shape.units
        covered = {worker: -(-units // size) * size for worker, units in places.items()}
        capacity = self.capacity
        unit_of = capacity.topology.unit_of[shape.adjacency]
        units = {unit_of[worker] for worker in covered}
        if len(units) != 1 or any(capacity.unreserved(w) < n for w, n in covered.items()):
            return None
        missing = shape.members - sum(covered.values()) // size
        if missing < 0:
            return None
        if missing == 0:
            return covered
        rest = replace(shape, members=missing)
        workers = capacity.topology.workers_in[shape.adjacency][units.pop()]
        more = place_members(
            rest, workers, lambda w: capacity.unreserved(w) - covered.get(w, 0), tight=True
        )
        if more is None:
            return None
        return {w: covered.get(w, 0) + more.get(w, 0) for w in {**covered, **more}}

    def unplace_blocks_on(self, worker: int, gangs: dict[str, Gang]) -> None:
        """Remove the blocks on a lost worker from their workers, to be placed again.

        Gangs that still run in such a block keep their places, outside of any block.
        """
        self.needs_placement = True
        for block in self.by_id.values():
            if worker not in block.places:
                continue
            self._unplace(block)
            for gang_id, places in block.bound.items():
                gang = gangs[gang_id]
                gang.block = None
                if gang.pinned:
                    self.capacity.pin(places)
            block.bound = {}

    def _matching_blocks(self, shape: Shape, customer: str) -> list[Block]:
        blocks = self.by_customer.get(customer, ())
        fitting = [b for b in blocks if b.is_backed and shape.fits_inside(b.shape)]
        return sorted(fitting, key=lambda b: (not b.bound, b.shape.total, b.id))

    def _find_free_places(self, block: Block, shape: Shape) -> Places | None:
        def usable_units(worker: int) -> int:
            return min(block.unused_units(worker), self.capacity.free_units(worker))

        return place_members(shape, block.places, usable_units, tight=True)

    def _find_free_position(self, block: Block) -> Places | None:
        """Find another place for an unbound block where all its units are free."""
        capacity = self.capacity

        def usable_units(worker: int) -> int:
            own = block.places.get(worker, 0)
            spare = capacity.unreserved(worker) + own
            return min(capacity.free_units(worker), spare)

        return find_block_places(block.shape, capacity.topology, usable_units)


def _packing_key(block: Block) -> tuple[int, int, int, str]:
    shape = block.shape
    return (int(shape.adjacency), -shape.units, -shape.total, block.id)


def find_unbacked_blocks(
    make_capacity: Callable[[], PoolCapacity], guarantees: list[Guarantee]
) -> list[Block]:
    """Return the blocks that do not fit on the declared workers."""
    return GuaranteeBlocks(make_capacity(), guarantees).unbacked()
