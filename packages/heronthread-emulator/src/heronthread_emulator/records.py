"""What hosts log, kept in memory for a test or a checker."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import eliot


@contextmanager
def captured_events() -> Iterator[list[dict[str, Any]]]:
    """Collect every event that is logged while the context is open."""
    messages: list[dict[str, Any]] = []

    def take(message: dict[str, Any]) -> None:
        messages.append(dict(message))

    eliot.add_destinations(take)
    messages.clear()  # what was logged before any destination was there comes at once
    try:
        yield messages
    finally:
        eliot.remove_destination(take)
