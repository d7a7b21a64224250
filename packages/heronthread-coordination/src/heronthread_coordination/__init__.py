"""Coordination library; it needs trio and a store, but no daemon."""

from .answer import AnswerCollector, DropReason, MemberAnswer, make_answer
from .budget import Backoff, CircuitBreaker, RetryBudget, TokenBucket
from .configuration import (
    Applied,
    Configuration,
    ConfigurationLog,
    Delta,
    Superseded,
    compute_digest,
)
from .drain import Drain, Draining
from .histogram import Histograms, Key, Measure, Summary
from .lease import CellLease, LeaseState, OwnerRecord
from .ledger import Committed, Deposed, Ledger, Record
from .limit import Admitted, CustomerLimits, Overloaded, TargetLimits
from .log import Appended, LogContents, LogEntry, NumberedLog, Taken
from .membership import Member, Membership, is_store_down_for_all, rank
from .memory import MemoryStore, StoreFaults
from .store import (
    MALFORMED,
    Absent,
    BudgetedStore,
    Conflict,
    Entry,
    Malformed,
    Store,
    Unavailable,
    Unknown,
    Written,
    write_idempotent,
)

__all__ = [
    "MALFORMED",
    "Malformed",
    "Absent",
    "Admitted",
    "AnswerCollector",
    "Appended",
    "Applied",
    "Backoff",
    "CircuitBreaker",
    "BudgetedStore",
    "CellLease",
    "Committed",
    "Configuration",
    "ConfigurationLog",
    "Conflict",
    "CustomerLimits",
    "Delta",
    "Deposed",
    "Drain",
    "Draining",
    "DropReason",
    "Entry",
    "Histograms",
    "Key",
    "Ledger",
    "LogContents",
    "LogEntry",
    "Measure",
    "Member",
    "MemberAnswer",
    "MemoryStore",
    "Membership",
    "NumberedLog",
    "Overloaded",
    "OwnerRecord",
    "Record",
    "RetryBudget",
    "LeaseState",
    "Store",
    "StoreFaults",
    "Summary",
    "Superseded",
    "Taken",
    "TargetLimits",
    "TokenBucket",
    "Unavailable",
    "Unknown",
    "Written",
    "compute_digest",
    "is_store_down_for_all",
    "make_answer",
    "rank",
    "write_idempotent",
]
