"""A clock that goes on while the machine is suspended.

What others count on in real time (a lease, news of a peer, a ticket) is judged on it: the steady
clock stands still meanwhile, so a host that wakes would believe that its lease still holds.
"""

import time

import trio


def suspended_s() -> float:
    """Return for how long (s) the machine has been suspended since it started."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)


def lasting_time() -> float:
    """Return trio's time (s) with what the machine was suspended for."""
    return trio.current_time() + suspended_s()
