"""The subcommand that compares ways of deciding on modelled loads."""

from __future__ import annotations

from dataclasses import asdict
from pathlib import Path

from heronthread_emulator.load import LoadPattern, load_pattern
from heronthread_emulator.ways import UnknownWay, compare_ways, read_way
from pydantic import ValidationError

from .exits import BadInput
from .output import show_rows

MOST_AT_ONCE = 8


class Experiment:
    """The subcommand `experiment`."""

    def experiment(
        self,
        *loads: str,
        ways: str = "",
        seeds: int = 10,
        first: int = 0,
        at_once: int = 1,
        json: bool = False,
    ) -> None:
        """Play ways of deciding on the same loads and seeds, and tell what each is worth.

        The planner's real code drives a model of a pool; a play of 176 executors takes some 10 s.
        The default way comes first, and the others are held against it.

        Args:
            loads: paths of load files, as in benchmarks/loads.
            ways: ways split by semicolons, each of switches as in `headroom=off,reserve=off`.
            seeds: how many seeds.
            first: the first seed.
            at_once: how many plays run side by side, 8 at most.
            json: print rows as JSON.
        """
        if not loads or seeds < 1 or not 1 <= at_once <= MOST_AT_ONCE:
            raise BadInput(f"name a load file, seeds of 1 or more, at_once of 1 to {MOST_AT_ONCE}")
        patterns = [_load(path) for path in loads]
        try:
            policies = {"default": read_way("")}
            policies |= {text: read_way(text) for text in ways.split(";") if text}
        except UnknownWay as error:
            raise BadInput(str(error)) from error
        results = compare_ways(patterns, policies, range(first, first + seeds), at_once)
        show_rows([asdict(result) for result in results], as_json=json)


def _load(path: str) -> LoadPattern:
    try:
        return load_pattern(Path(path))
    except OSError as error:
        raise BadInput(f"{path}: {error.strerror}") from error
    except ValidationError as error:
        first = error.errors()[0]
        where = ".".join(str(part) for part in first["loc"])
        raise BadInput(f"{path}: {where}: {first['msg']}") from error
