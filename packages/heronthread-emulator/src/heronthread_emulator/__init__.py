"""Stand-ins of the platform that run in the test's process, on trio's clock."""

from .executors import EmulatedExecutor, EmulatedExecutors
from .site import EmulatedSite, make_queue, make_state
from .store import EmulatedStore, StoreView

__all__ = [
    "EmulatedExecutor",
    "EmulatedExecutors",
    "EmulatedSite",
    "EmulatedStore",
    "StoreView",
    "make_queue",
    "make_state",
]
