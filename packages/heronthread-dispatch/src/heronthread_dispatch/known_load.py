"""The newest load digest that a host knows, and how old it is."""

from __future__ import annotations

from .known_summary import SETTLE_AFTER_GAP_S, Aged, KnownSummary
from .load_digest import LoadDigest

AgedDigest = Aged[LoadDigest]
KnownLoad = KnownSummary[LoadDigest]

__all__ = ["SETTLE_AFTER_GAP_S", "AgedDigest", "KnownLoad"]
