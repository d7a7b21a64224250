"""Plain tables for people."""

from __future__ import annotations

from collections.abc import Sequence


def format_table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return rows as aligned columns; numbers are aligned to the right."""
    cells = [[_text(value) for value in row] for row in rows]
    widths = [
        max([len(header), *(len(row[i]) for row in cells)]) for i, header in enumerate(headers)
    ]
    right = [bool(rows) and all(_is_number(row[i]) for row in rows) for i in range(len(headers))]
    lines = [_line(list(headers), widths, right), _line(["-" * w for w in widths], widths, right)]
    lines += [_line(row, widths, right) for row in cells]
    return "\n".join(lines)


def _line(cells: list[str], widths: list[int], right: list[bool]) -> str:
    padded = [
        cell.rjust(width) if to_right else cell.ljust(width)
        for cell, width, to_right in zip(cells, widths, right, strict=True)
    ]
    return "  ".join(padded).rstrip()


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _text(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.2f}"
    return str(value)
