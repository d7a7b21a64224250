"""What all subcommands print: lines, notes, and rows as a table or as JSON."""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping, Sequence
from typing import Any

from .table import format_table


def print_line(text: str) -> None:
    """Write one line to standard output."""
    sys.stdout.write(text + "\n")


def note(text: str) -> None:
    """Show progress to people without mixing it into the output."""
    sys.stderr.write(text + "\n")


def show_object(value: Mapping[str, Any]) -> None:
    """Print an object as JSON."""
    print_line(json.dumps(value))


def show_rows(
    rows: Sequence[dict[str, Any]], columns: Sequence[str] | None = None, *, as_json: bool
) -> None:
    """Print rows as JSON or as a table; its columns are by default those of the first row."""
    if as_json:
        print_line(json.dumps(list(rows)))
        return
    names = list(rows[0]) if columns is None and rows else list(columns or ())
    print_line(format_table(names, [[row.get(name, "") for name in names] for row in rows]))
