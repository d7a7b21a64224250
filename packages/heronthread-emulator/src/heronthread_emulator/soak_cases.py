"""Seeds of the soak of processes that ever failed, each with its cause."""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path

from .soak_site import SiteSettings


@dataclass(frozen=True, slots=True)
class Case:
    """One seed, how it was played, the promise that broke, and why.

    Real processes do not repeat a run exactly: a seed plays the same jobs and the same faults in
    the same order, and a case is worth several replays.
    """

    seed: int
    promise: str
    cause: str
    faults_s: float = 25.0
    hosts: int = 3
    executors: int = 6
    jobs: int = 30
    only: str = ""

    def to_settings(self, root: Path) -> SiteSettings:
        """Return what is played again."""
        settings = SiteSettings(self.seed, root, faults_s=self.faults_s, only=self.only)
        return replace(settings, hosts=self.hosts, executors=self.executors, jobs=self.jobs)


CASES: tuple[Case, ...] = (
    Case(
        4,
        "runs at most once at a time",
        "a start that nobody answered counted as settled by a refusal of a later send, and was "
        "carried out beside the next run of its task",
        faults_s=15.0,
    ),
    Case(
        6,
        "runs at most once at a time",
        "the same; the late run came to the executor that already held the next one",
        faults_s=15.0,
    ),
    Case(
        2,
        "runs at most once at a time",
        "a new owner took a silent executor as gone, because its entry was missing a moment "
        "after the store's return: the entry had been there then, and went by the executor's "
        "silence while its runs went on",
        faults_s=15.0,
    ),
)
