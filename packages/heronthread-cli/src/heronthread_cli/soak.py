"""The subcommand that plays faults on a site of real processes."""

from __future__ import annotations

import tempfile
from dataclasses import replace
from pathlib import Path
from typing import Any

from heronthread_emulator.plants import PLANTS
from heronthread_emulator.soak_faults import list_faults
from heronthread_emulator.soak_run import SeedOutcome, name_folder, run_seeds
from heronthread_emulator.soak_site import PROGRAM, SiteSettings

from .exits import BadInput, CommandError
from .output import note, show_rows

FEWEST_HOSTS = 3
MOST_HOSTS = 40
MOST_EXECUTORS = 60
MOST_AT_ONCE = 8
MOST_PROCESSES = 150
STANDINS = 4


class Soak:
    """The subcommand `soak`."""

    def soak(
        self,
        seeds: int = 5,
        first: int = 0,
        replay: int | None = None,
        hosts: int = 3,
        executors: int = 6,
        jobs: int = 30,
        faults_s: float = 25.0,
        at_once: int = 1,
        only: str = "",
        plant: str = "",
        folder: str = "",
        root: str = ".",
        json: bool = False,
    ) -> None:
        """Play faults drawn from seeds on real processes over loopback, and check the promises.

        Exits with 1 if a promise is broken or a seed could not be played. The logs of those
        seeds are kept, for `heronthread trace ID LOG...`.

        Args:
            seeds: how many seeds to play.
            first: the first seed.
            replay: play this seed alone.
            hosts: how many hosts, 3 to 40.
            executors: how many executors, up to 60.
            jobs: how many jobs callers hand in.
            faults_s: how long faults begin.
            at_once: how many seeds run side by side.
            only: names of faults, split by commas; by default all.
            plant: a defect to plant; a wrong name lists them all.
            folder: where logs of failing seeds are kept; by default a new temporary one.
            root: the repository, whose platform/main.py the hosts run.
            json: print rows as JSON.
        """
        settings = SiteSettings(
            first,
            Path(str(root)).resolve(),
            hosts=hosts,
            executors=executors,
            jobs=jobs,
            faults_s=faults_s,
            plant=plant,
            only=",".join(only) if isinstance(only, tuple) else only,
        )
        _check(settings, at_once)
        numbers = [replay] if replay is not None else list(range(first, first + seeds))
        kept = Path(str(folder)) if folder else Path(tempfile.gettempdir()) / name_folder()
        sites = [replace(settings, seed=number) for number in numbers]
        outcomes = run_seeds(sites, kept, at_once, _show)
        show_rows([_row(outcome) for outcome in outcomes], as_json=json)
        bad = [outcome for outcome in outcomes if not outcome.is_good]
        if bad:
            raise CommandError(f"{len(bad)} of {len(outcomes)} seeds failed; logs in {kept}")


def _check(settings: SiteSettings, at_once: int) -> None:
    if settings.plant and settings.plant not in PLANTS:
        raise BadInput(f"{settings.plant}: no such defect; there are {', '.join(PLANTS)}")
    if not FEWEST_HOSTS <= settings.hosts <= MOST_HOSTS:
        raise BadInput(f"hosts: {FEWEST_HOSTS} to {MOST_HOSTS}")
    if not 1 <= settings.executors <= MOST_EXECUTORS:
        raise BadInput(f"executors: 1 to {MOST_EXECUTORS}")
    if not 1 <= at_once <= MOST_AT_ONCE:
        raise BadInput(f"at-once: 1 to {MOST_AT_ONCE}")
    if at_once * (settings.hosts + STANDINS) > MOST_PROCESSES:
        raise BadInput(f"so many hosts at once are more than {MOST_PROCESSES} processes")
    known = list_faults()
    unknown = [name for name in settings.only.split(",") if name and name not in known]
    if unknown:
        raise BadInput(f"{', '.join(unknown)}: no such fault; there are {', '.join(known)}")
    if not (settings.root / PROGRAM).exists():
        raise BadInput(f"{settings.root / PROGRAM}: not there; --root names the repository")


def _show(outcome: SeedOutcome) -> None:
    note(f"seed {outcome.seed}: {'good' if outcome.is_good else 'FAILED'}")
    if outcome.failure:
        note(f"  not played to its end: {outcome.failure}")
    for violation in outcome.violations:
        note(f"  {violation.promise}: {violation.what}")


def _row(outcome: SeedOutcome) -> dict[str, Any]:
    broken = "; ".join(sorted({violation.promise for violation in outcome.violations}))
    return {
        "seed": outcome.seed,
        "jobs": outcome.jobs,
        "starts": outcome.starts,
        "faults": outcome.faults,
        "late_s": outcome.late_s,
        "broken": f"not played: {outcome.failure}" if outcome.failure else broken,
    }
