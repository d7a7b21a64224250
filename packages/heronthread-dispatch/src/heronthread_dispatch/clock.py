"""A monotonic clock that includes the time for which the machine was suspended.

Leases, tickets and the age of peers' news use it. The plain monotonic clock stops during a
suspension, so that a host would treat its lease as valid after it wakes.
"""

import time

import trio


def suspended_s() -> float:
    """Return the total time (s) for which the machine has been suspended since boot."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)


def boot_time() -> float:
    """Return trio's time plus the suspended time (s)."""
    return trio.current_time() + suspended_s()
