"""Reads numbers and names from a peer's message, and checks their bounds."""

from __future__ import annotations

import math

MAX_NAME_CHARS = 200
MAX_NUMBER = 2**53
"""Bound of terms and sequence numbers, which JSON readers represent exactly."""
MAX_REVISION = 2**64 - 1
"""The largest number that a request to the store and a line of the log can name."""


def read_name(value: object) -> str:
    """Return a name; raises `ValueError` if it is none, too long or can't be encoded."""
    if not isinstance(value, str) or len(value) > MAX_NAME_CHARS:
        raise ValueError(f"not a name: {value!r:.40}")
    value.encode()
    return value


def read_int(value: object, limit: int) -> int:
    """Return an integer from 0 to a limit; raises `ValueError` if it is none."""
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= limit:
        raise ValueError(f"not a number from 0 to {limit}: {value!r:.40}")
    return value


def read_number(value: object, limit: float) -> float:
    """Return a number from 0 to a limit; raises `ValueError` if it is none."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ValueError(f"not a number: {value!r:.40}")
    if not math.isfinite(value) or not 0 <= value <= limit:
        raise ValueError(f"not from 0 to {limit:g}: {value!r:.40}")
    return float(value)
