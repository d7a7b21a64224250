"""Subcommands that play the emulated site: a soak under faults, with or without a defect."""

from __future__ import annotations

from typing import Any

from heronthread_emulator import SoakResult, run_soak
from heronthread_emulator.plants import PLANTS, planted

from .exits import BadInput, CommandError
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


def _row(result: SoakResult) -> dict[str, Any]:
    broken = "; ".join(sorted({violation.promise for violation in result.violations}))
    return {
        "seed": result.seed,
        "jobs": result.jobs,
        "starts": result.starts,
        "faults": sum(result.faults.values()),
        "broken": broken,
    }
