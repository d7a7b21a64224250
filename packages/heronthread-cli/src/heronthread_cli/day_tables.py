"""The tables of a day, or the same as JSON."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import asdict
from typing import Any

from .day import Day
from .losses import Loss, count_causes
from .output import print_line, show_rows


def show_day(day: Day, *, as_json: bool) -> None:
    """Print a day."""
    if as_json:
        print_line(json.dumps(asdict(day)))
        return
    _show_counts("Requests lost, by cause", count_causes(day.losses))
    _show("Takeovers", day.takeovers)
    _show("Outages of the store", day.outages)
    _show_counts("What callers were told", day.answers)
    _show("Waiting from a step's turn to its start", day.waiting)
    _show_counts("Stops", day.stops)
    _show("Accelerators by rack", day.racks)
    _show_counts("Lines", day.lines)


def show_losses(losses: Sequence[Loss], *, as_json: bool) -> None:
    """Print the requests that were lost or late, and how many by cause."""
    if as_json:
        print_line(json.dumps([asdict(loss) for loss in losses]))
        return
    _show("Requests lost", losses)
    _show_counts("By cause", count_causes(losses))


def _show(title: str, rows: Sequence[Any]) -> None:
    print_line(f"\n{title}")
    if not rows:
        print_line("none")
        return
    show_rows([_to_row(row) for row in rows], as_json=False)


def _to_row(row: Any) -> dict[str, Any]:
    values = asdict(row)
    return {name.replace("_", " "): "" if v is None else v for name, v in values.items()}


def _show_counts(title: str, counts: dict[str, int]) -> None:
    print_line(f"\n{title}")
    rows = [{"what": name, "count": count} for name, count in sorted(counts.items())]
    if rows:
        show_rows(rows, as_json=False)
    else:
        print_line("none")
