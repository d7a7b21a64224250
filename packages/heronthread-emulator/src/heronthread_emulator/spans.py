"""Spans in which a place was not to be used, and the uses of it that were to know."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True)
class Span:
    """From when until when a failure domain or an executor was not to be used as before."""

    name: str
    since: float
    until: float = float("inf")


@dataclass(frozen=True, slots=True)
class Use:
    """An order for a place; one that was carried out late counts from when it was given."""

    name: str
    sent_at: float
    what: str


def find_known(
    uses: Iterable[Use], spans: Iterable[Span], bound_s: float, trouble: list[float]
) -> list[str]:
    """Return the uses in a span of their place, given over `bound_s` after it was to be known.

    That is its beginning, or the last time of `trouble` with the store before the use.
    """
    spans = list(spans)
    return [
        use.what
        for use in uses
        for span in spans
        if span.name == use.name and _is_known(span, use.sent_at, bound_s, trouble)
    ]


def _is_known(span: Span, at: float, bound_s: float, trouble: list[float]) -> bool:
    if not span.since <= at < span.until:
        return False
    return at > _find_calm_since(span.since, at, trouble) + bound_s


def _find_calm_since(since: float, at: float, trouble: list[float]) -> float:
    """Return `since`, or the last time of trouble before `at` if that is later."""
    before = bisect_right(trouble, at)
    return max(since, trouble[before - 1] if before else since)
