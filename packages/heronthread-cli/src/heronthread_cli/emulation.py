"""Subcommands that play the emulated site: a soak under faults, with or without a defect."""

from __future__ import annotations

from dataclasses import asdict, replace
from typing import Any

from heronthread_emulator import (
    Difference,
    SoakResult,
    compare_policies,
    run_soak,
    sum_up,
    switch_off,
)
from heronthread_emulator.plants import PLANTS, planted

from .exits import BadInput, CommandError
from .experiment_plot import write_pairs
from .output import print_line, show_rows


class Emulation:
    """Play hosts, store and executors in this process, in virtual time."""

    def soak(self, seeds: int = 20, first: int = 0, json: bool = False) -> None:
        """Play days of faults drawn from seeds, and check the promises.

        Exits with 1 if a promise is broken.

        Args:
            seeds: how many days.
            first: the first seed.
            json: print rows as JSON.
        """
        results = [run_soak(seed) for seed in range(first, first + seeds)]
        show_rows([_row(result) for result in results], as_json=json)
        broken = [result for result in results if result.violations]
        if broken:
            raise CommandError(f"{len(broken)} of {len(results)} seeds broke a promise")

    def compare(
        self, off: str, seeds: int = 8, first: int = 0, json: bool = False, plot: str = ""
    ) -> None:
        """Play paired days with a mechanism and without it, and tell what it is worth.

        Args:
            off: the mechanism; a wrong name lists them all.
            seeds: how many pairs.
            first: the first seed.
            json: print rows as JSON.
            plot: path of an HTML page with the pairs as points; none if empty.
        """
        try:
            policy = switch_off(off)
        except ValueError as error:
            raise BadInput(str(error)) from error
        pairs = compare_policies(policy, range(first, first + seeds))
        show_rows([asdict(row) for row in map(_round, sum_up(pairs))], as_json=json)
        if plot:
            write_pairs(pairs, off, plot)

    def plant(self, defect: str, seeds: int = 60) -> None:
        """Plant a defect and tell by which seed the checker catches it.

        Exits with 1 if it is not caught.

        Args:
            defect: its name; a wrong one lists them all.
            seeds: how many days to try.
        """
        if defect not in PLANTS:
            raise BadInput(f"{defect}: no such defect; there are {', '.join(PLANTS)}")
        with planted(defect):
            for seed in range(seeds):
                result = run_soak(seed)
                if result.violations:
                    print_line(f"{defect}: caught by seed {seed}: {result.violations[0].promise}")
                    return
        raise CommandError(f"{defect}: not caught in {seeds} seeds")


def _round(row: Difference) -> Difference:
    return replace(row, mean=round(row.mean, 4), spread=round(row.spread, 4))


def _row(result: SoakResult) -> dict[str, Any]:
    broken = "; ".join(sorted({violation.promise for violation in result.violations}))
    return {
        "seed": result.seed,
        "jobs": result.jobs,
        "starts": result.starts,
        "faults": sum(result.faults.values()),
        "broken": broken,
    }
