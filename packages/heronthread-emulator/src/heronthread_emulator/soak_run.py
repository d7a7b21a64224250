"""One seed of a soak of real processes, from the start of the site to its verdict."""

from __future__ import annotations

import shutil
import signal
import time
import traceback
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import trio

from .addresses import claim_network
from .checker import Violation
from .sight import Sight
from .soak_checks import check_soak
from .soak_faults import SoakFaults
from .soak_history import SOAK_LOG, read_history
from .soak_plan import plan_jobs
from .soak_processes import Processes
from .soak_site import CALLERS, SiteSettings, SoakSite, StandinFailed

POLL_S = 0.5
WATCH_S = 0.2
CALM_AT_LAST_S = 10.0
"""So long everything runs on after the last job, so that what is not wanted shows itself."""
LONGEST_S = 400.0
EXIT_TERMINATED = 128 + signal.SIGTERM


@dataclass(slots=True)
class SeedOutcome:
    """What came of a seed; `failure` is the harness's own, and then nothing is judged."""

    seed: int
    folder: Path
    violations: list[Violation] = field(default_factory=list)
    jobs: int = 0
    starts: int = 0
    faults: int = 0
    failure: str = ""
    late_s: float = 0.0

    @property
    def is_good(self) -> bool:
        """Whether the seed was played and no promise was broken."""
        return not self.failure and not self.violations


async def play_seed(settings: SiteSettings, folder: Path) -> SeedOutcome:
    """Play one seed in a folder of its own, and judge it."""
    outcome = SeedOutcome(settings.seed, folder)
    folder.mkdir(parents=True, exist_ok=True)
    for old in folder.iterdir():
        old.unlink()
    with (folder / SOAK_LOG).open("w", encoding="utf-8") as log:
        sight = Sight("soak", log)
        began_at = 0.0
        try:
            with trio.fail_after(LONGEST_S):
                began_at = await _play(settings, folder, sight, outcome)
        except* Exception as errors:
            outcome.failure = "; ".join(str(e) or repr(e) for e in _flatten(errors))
            traceback.print_exception(errors, file=log)
    if not outcome.failure:
        jobs = plan_jobs(settings.seed, settings.jobs, settings.faults_s)
        history = read_history(folder, jobs, began_at)
        outcome.violations += check_soak(history)
        outcome.jobs = sum(told.taken for told in history.told.values())
        outcome.starts = sum(event.what == "start" for event in history.events)
        outcome.late_s = history.late_s
    return outcome


def _flatten(errors: BaseExceptionGroup[BaseException]) -> Iterator[BaseException]:
    for error in errors.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _flatten(error)
        else:
            yield error


async def _play(settings: SiteSettings, folder: Path, sight: Sight, outcome: SeedOutcome) -> float:
    with claim_network() as network, Processes(folder) as processes:
        site = SoakSite(settings, network, processes, sight)
        try:
            await _play_site(site, outcome)
        finally:
            await processes.end()
    return site.began_at


async def _play_site(site: SoakSite, outcome: SeedOutcome) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(site.sight.watch_lateness)
        await site.start()
        nursery.start_soon(_watch_ends, site, outcome)
        faults = SoakFaults(site, site.settings.only)
        await faults.play()
        outcome.faults = faults.played
        await site.mend()
        site.sight.note("soak.mended")
        await _settle(site)
        site.sight.note("soak.ended")
        nursery.cancel_scope.cancel()


async def _watch_ends(site: SoakSite, outcome: SeedOutcome) -> None:
    """Note processes that end without being told to."""
    while True:
        await trio.sleep(WATCH_S)
        for name, process in list(site.processes.running.items()):
            code = process.poll()
            is_host = name.startswith("h") and name[1:].isdecimal()
            if code is None or (is_host and int(name[1:]) not in site.hosts):
                continue
            if name in site.stopping:
                continue
            if not is_host:
                raise StandinFailed(f"{name} ended with {code}")
            outcome.violations.append(Violation("hosts end only when told", f"{name}: {code}"))
            site.forget_host(int(name[1:]))


async def _settle(site: SoakSite) -> None:
    """Wait until everything that was taken is final, or no more of it became so for long.

    The wait grows with the lateness of this process: a machine that is starved does little.
    """
    left, since = -1, trio.current_time()
    while trio.current_time() < since + site.settings.settle_s * (1 + site.sight.late_s):
        await trio.sleep(POLL_S)
        shown = await site.steer(CALLERS, "show")
        if shown["open"] != left:
            left, since = shown["open"], trio.current_time()
        if not shown["playing"] and not left:
            await trio.sleep(CALM_AT_LAST_S)
            return


async def play_seeds(
    seeds: list[SiteSettings],
    folder: Path,
    at_once: int,
    show: Callable[[SeedOutcome], None],
) -> list[SeedOutcome]:
    """Play seeds, so many at a time; the logs of those that fail are kept."""
    outcomes: list[SeedOutcome] = []
    limit = trio.CapacityLimiter(at_once)

    async def play_one(settings: SiteSettings) -> None:
        async with limit:
            outcome = await play_seed(settings, folder / f"seed-{settings.seed}")
        if outcome.is_good:
            await trio.to_thread.run_sync(shutil.rmtree, outcome.folder)
        outcomes.append(outcome)
        show(outcome)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_end_on_signal, nursery.cancel_scope)
        async with trio.open_nursery() as playing:
            for settings in seeds:
                playing.start_soon(play_one, settings)
        nursery.cancel_scope.cancel()
    if len(outcomes) < len(seeds):
        raise SystemExit(EXIT_TERMINATED)
    return sorted(outcomes, key=lambda outcome: outcome.seed)


async def _end_on_signal(scope: trio.CancelScope) -> None:
    """End what is owned, whichever code runs as the signal comes: an exception raised there by an
    interrupt may end that code alone."""
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async for _ in signals:
            scope.cancel()


def run_seeds(
    seeds: list[SiteSettings],
    folder: Path,
    at_once: int = 1,
    show: Callable[[SeedOutcome], None] = lambda outcome: None,
) -> list[SeedOutcome]:
    """Play seeds with real processes, and return what came of each."""
    return trio.run(play_seeds, seeds, folder, at_once, show)


def name_folder() -> str:
    """Return a name for the logs of one command."""
    return time.strftime("heronthread-soak-%Y%m%dT%H%M%S")
