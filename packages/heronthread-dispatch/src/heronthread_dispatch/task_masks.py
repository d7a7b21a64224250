"""Maps executor ids to bit masks of the tasks of one job that may be there.

The tasks of a job are numbered over its steps and occurrences. `ANY` stands for every task.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import Any

ANY = -1
MAX_MASK_BITS = 1_000_000
"""A longer mask is stored as `ANY`, and rejected when it is read."""
MAX_SHARES = 4
"""Parts into which waiting tasks are divided, one of which an unresponsive executor withholds."""

TaskMasks = Mapping[str, int]


def map_to_any_task(executors: Iterable[str]) -> dict[str, int]:
    """Return a mapping by which any task may be at each executor."""
    return dict.fromkeys(executors, ANY)


def unite(*parts: TaskMasks) -> dict[str, int]:
    """Return the union of some mappings."""
    found: dict[str, int] = {}
    for part in parts:
        for executor, mask in part.items():
            found[executor] = found.get(executor, 0) | mask
    return found


def intersect(one: TaskMasks, other: TaskMasks) -> dict[str, int]:
    """Return the intersection of two mappings."""
    both = ((executor, mask & other.get(executor, 0)) for executor, mask in one.items())
    return {executor: mask for executor, mask in both if mask}


def subtract(one: TaskMasks, other: TaskMasks) -> dict[str, int]:
    """Return the first mapping without the tasks of the second one."""
    rest = ((executor, mask & ~other.get(executor, 0)) for executor, mask in one.items())
    return {executor: mask for executor, mask in rest if mask}


def includes(names: TaskMasks, wanted: TaskMasks) -> bool:
    """Return whether a mapping contains all of another one."""
    return all(not mask & ~names.get(executor, 0) for executor, mask in wanted.items())


def keep(names: TaskMasks, executors: Collection[str]) -> dict[str, int]:
    """Return the part of a mapping for some executors."""
    return {executor: mask for executor, mask in names.items() if executor in executors}


def find_mask(names: TaskMasks, executors: Collection[str]) -> int:
    """Return the tasks that may be at any of some executors."""
    found = 0
    for executor in executors:
        found |= names.get(executor, 0)
    return found


def find_executors(names: TaskMasks, mask: int) -> frozenset[str]:
    """Return the executors that are listed for all tasks of a mask."""
    return frozenset(executor for executor, tasks in names.items() if not mask & ~tasks)


def distribute(masks: Collection[int], executors: Collection[str]) -> dict[str, int]:
    """Distribute masks over executors, with several executors for each part.

    An executor that becomes free can take some of the tasks, and an unresponsive one withholds no
    others.
    """
    count = min(MAX_SHARES, len(masks), len(executors))
    if not count:
        return {}
    parts = [0] * count
    for place, mask in enumerate(masks):
        parts[place % count] |= mask
    return {name: parts[rank % count] for rank, name in enumerate(sorted(executors))}


def list_bits(mask: int, most: int | None = None) -> list[int]:
    """Return the numbers of the lowest `most` bits that are set, all by default."""
    found: list[int] = []
    while mask and (most is None or len(found) < most):
        lowest = mask & -mask
        found.append(lowest.bit_length() - 1)
        mask ^= lowest
    return found


def encode_masks(names: TaskMasks) -> dict[str, tuple[int, str]]:
    """Return the stored form of the masks: the lowest task number, and the bits above it in hex."""
    return {
        executor: _encode_mask(mask)
        for executor, mask in sorted(names.items())
        if mask != ANY and mask.bit_length() <= MAX_MASK_BITS
    }


def decode_masks(executors: Iterable[Any], masks: Mapping[str, Any]) -> dict[str, int]:
    """Decode stored masks; an executor without one stands for any task."""
    return {
        name: _decode_mask(*masks[name]) if name in masks else ANY for name in map(str, executors)
    }


def _encode_mask(mask: int) -> tuple[int, str]:
    lowest = max(0, (mask & -mask).bit_length() - 1)
    return lowest, f"{mask >> lowest:x}"


def _decode_mask(lowest: Any, bits: Any) -> int:
    number, mask = int(lowest), int(bits, 16)
    if mask < 0 or not 0 <= number + mask.bit_length() <= MAX_MASK_BITS:
        raise ValueError(f"task mask out of range: {mask.bit_length()} bits from task {number}")
    return mask << number
