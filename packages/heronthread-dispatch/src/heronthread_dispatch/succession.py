"""Choice of the host that owns the cell, by cores and then bandwidth.

There is no vote: each host waits by its rank before it tries to take a free cell, and an owner
hands over to a clearly stronger host.
"""

from __future__ import annotations

from heronthread_coordination import rank as rank_by_name

from .host_lease import HostRecord

RANK_DELAY_S = 0.04
MAX_RANK = 30
"""Bounds the wait to 1.2 s if the hosts with lower ranks fail to take over."""
MIN_STRENGTH_RATIO = 1.5
"""Smallest ratio of cores for a handover, which interrupts starts for some tenths of a second."""


def rank(own: HostRecord, members: dict[str, HostRecord], gone_at: float) -> int:
    """Return a host's rank among the hosts that try to take ownership.

    The order of equally strong hosts changes with each loss of an owner, so that a host that fails
    repeatedly does not always come first.
    """
    stronger = sum(member.strength > own.strength for member in members.values())
    equals = [name for name, member in members.items() if member.strength == own.strength]
    return min(stronger + rank_by_name(own.host, f"{gone_at:.0f}", equals), MAX_RANK)


def find_stronger(own: HostRecord, members: dict[str, HostRecord]) -> HostRecord | None:
    """Return the strongest member if it is clearly stronger than this host."""
    strongest = max(members.values(), key=lambda member: member.strength, default=own)
    is_clear = strongest.strength.cores >= MIN_STRENGTH_RATIO * own.strength.cores
    return strongest if is_clear else None
