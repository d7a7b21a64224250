"""Stand-ins of the platform that run in the test's process, on trio's clock."""

from .checker import (
    Told,
    Violation,
    check_evacuations,
    check_foreign,
    check_promises,
)
from .executors import EmulatedExecutor, EmulatedExecutors
from .experiment import Difference, Pair, compare_policies, sum_up, switch_off
from .records import captured_events
from .site import EmulatedSite, make_queue, make_state
from .soak import SoakResult, run_soak
from .store import EmulatedStore, StoreView

__all__ = [
    "Difference",
    "Pair",
    "compare_policies",
    "sum_up",
    "switch_off",
    "SoakResult",
    "Told",
    "Violation",
    "captured_events",
    "check_evacuations",
    "check_foreign",
    "check_promises",
    "run_soak",
    "EmulatedExecutor",
    "EmulatedExecutors",
    "EmulatedSite",
    "EmulatedStore",
    "StoreView",
    "make_queue",
    "make_state",
]
