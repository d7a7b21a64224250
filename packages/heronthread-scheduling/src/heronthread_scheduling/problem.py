"""Problems of invalid input, with their location and a suggested fix."""

from __future__ import annotations

from dataclasses import dataclass

from pydantic import ValidationError
from pydantic_core import ErrorDetails


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem of an input: its JSON path, a description and a suggested fix."""

    path: str
    what: str
    mend: str

    def __str__(self) -> str:
        return f"{self.path}: {self.what}; {self.mend}"


@dataclass(frozen=True, slots=True)
class Refused:
    """An input that was rejected, with every problem found."""

    problems: tuple[Problem, ...]

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)


def json_path(location: tuple[int | str, ...]) -> str:
    """Return the JSON path of a pydantic error location."""
    parts = [f"[{part}]" if isinstance(part, int) else f".{part}" for part in location]
    return "$" + "".join(parts)


_FIXES = {
    "extra_forbidden": "remove the field or correct its name",
    "missing": "add the field",
    "json_invalid": "complete the JSON document",
}


def problems_of(error: ValidationError) -> Refused:
    """Convert a pydantic validation error into problems."""
    return Refused(tuple(_problem(detail) for detail in error.errors(include_url=False)))


def _problem(detail: ErrorDetails) -> Problem:
    kind = detail["type"]
    what = detail["msg"][:1].lower() + detail["msg"][1:]
    if kind == "extra_forbidden":
        what = "unknown field"
    mend = _FIXES.get(kind, f"give a value that fits, not {str(detail['input'])[:60]!r}")
    return Problem(json_path(detail["loc"]), what, mend)
