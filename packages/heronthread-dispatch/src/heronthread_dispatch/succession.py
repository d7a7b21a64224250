"""Which host should own the cell: the one with most processor and the widest link.

The hosts of a cell may differ fourfold, and one of them decides for all executors. No vote is
needed: each host waits by its place in one order before it tries to take a cell that nobody
owns, and an owner gives the cell up where that costs little or gains much.
"""

from __future__ import annotations

from heronthread_coordination import rank as rank_by_name

from .tenure import Presence

RANK_DELAY_S = 0.04
LARGEST_RANK = 30
"""Bounds the wait to 1.2 s where those before in the order do not come."""
STRONGER_BY = 1.5
"""A handover stops starts for some tenths of a second; it pays for a clearly stronger host."""


def rank(own: Presence, members: dict[str, Presence], gone_at: float) -> int:
    """Return a host's place in the order in which hosts try to own the cell.

    The order of equals changes with each loss of an owner, so that a host that fails again and
    again is not the first each time.
    """
    stronger = sum(member.strength > own.strength for member in members.values())
    equals = [name for name, member in members.items() if member.strength == own.strength]
    return min(stronger + rank_by_name(own.host, f"{gone_at:.0f}", equals), LARGEST_RANK)


def find_stronger(own: Presence, members: dict[str, Presence]) -> Presence | None:
    """Return the strongest member if it is clearly stronger than this host."""
    strongest = max(members.values(), key=lambda member: member.strength, default=own)
    is_clear = strongest.strength.cores >= STRONGER_BY * own.strength.cores
    return strongest if is_clear else None
