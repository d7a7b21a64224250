"""The owner's summary of a cell's load, which hosts pass on with their news."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadDigest:
    """The load of a cell at one moment; a later one has a higher (term, sequence)."""

    term: int
    sequence: int
