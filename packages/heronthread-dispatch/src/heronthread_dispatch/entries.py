"""Results of parsing an executor's directory entry."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from .model import Executor


class EntryFault(Enum):
    """The reason why an entry is invalid."""

    UNREADABLE = "unreadable"
    MISSING_FIELD = "missing field"
    WRONG_TYPE = "wrong type"
    WRONG_VALUE = "wrong value"
    UNKNOWN_STATE = "unknown state"
    UNKNOWN_DOMAIN = "unknown failure domain"
    UNKNOWN_POOL = "unknown pool"
    OTHER_PLACE = "another place"
    EARLIER_LIFE = "an earlier life"


@dataclass(frozen=True, slots=True)
class InvalidEntry:
    """An invalid entry; `detail` names the field or value at fault."""

    fault: EntryFault
    detail: str = ""


@dataclass(frozen=True, slots=True)
class DirectoryFormat:
    """The store's prefix of executors' entries, and the parser of an entry."""

    prefix: str
    parse: Callable[[str, bytes], Executor | InvalidEntry]
