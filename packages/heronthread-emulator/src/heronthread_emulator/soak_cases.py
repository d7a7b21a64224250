"""Seeds of the soak of processes that ever failed, each with its cause."""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path

from .soak_site import SiteSettings


@dataclass(frozen=True, slots=True)
class Case:
    """One seed, how it is played, the promise that broke, why, and what became of it.

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


LATE_ORDERS = "orders_late_beside_refusals,orders_late_over_takeover,kill_owner"
LATE_START = (
    "a start that nobody answered counted as settled by a refusal of a later send, and was "
    "carried out beside the next run of its task; mended"
)
CASES: tuple[Case, ...] = (
    *(
        Case(seed, "runs at most once at a time", LATE_START, only=LATE_ORDERS)
        for seed in (400, 401, 406, 407, 409, 411)
    ),
    Case(
        2,
        "runs at most once at a time",
        "a new owner took a silent executor as gone, because its entry was missing 2.5 s after the "
        "store's return: the entry had been there at first, and went by the executor's silence "
        "while its runs went on; mended. Drawn when faults were played one after another, so "
        "the seed plays others now: these faults, narrowed to the executor's and the takeover's",
        only="executor_cut_off,stop_owner,store_refuses",
    ),
    Case(
        9517,
        "hosts end only when told",
        "the harness: a host that was suspended lost power and was started again, and was then "
        "sent the signal that ends a suspension, before its handler was there; mended",
    ),
    Case(
        9543,
        "taken work is done",
        "not told apart from the soak: no host owned the cell from the loss of all hosts until "
        "237 s after all was mended; stand-ins were up to 12.8 s late, at load 55 to 90",
        hosts=24,
        executors=40,
        jobs=120,
    ),
    Case(
        9551,
        "leaving executors get no work",
        "the harness: a life that had crashed was said to leave, and its next life under the same "
        "id, whose entry says ready, was given work; mended: a life that is gone says nothing",
    ),
    Case(
        9560,
        "recovery is bounded",
        "as 9543: after the loss of all hosts no host owned the cell until 88 s after all was "
        "mended; the links' process was up to 6.5 s late",
        hosts=24,
        executors=40,
        jobs=120,
    ),
    Case(
        3,
        "no accepted job stands beside free room",
        "open: each owner waits from its own beginning for an executor that crashed for good",
        executors=12,
        only="owners_killed_in_rounds,executor_cut_by_refusals",
    ),
    Case(
        9953,
        "no accepted job stands beside free room",
        "as seed 3, for two jobs of one customer",
        hosts=24,
        executors=40,
        jobs=60,
        only="owners_killed_in_rounds,executor_cut_by_refusals",
    ),
    Case(
        9972,
        "no accepted job stands beside free room",
        "as seed 3, for up to 25.6 s over five owners in a row; seven of eight seeds from 9970 on",
        executors=16,
        jobs=60,
        only="owners_killed_in_rounds",
    ),
    Case(
        9931,
        "no accepted job stands beside free room",
        "open: each owner waits from its own beginning for starts that had no answer",
        executors=16,
        jobs=40,
    ),
    Case(
        9934,
        "no accepted job stands beside free room",
        "open: two starts were reset, which the owner can't tell from late ones, and stops of them "
        "went unanswered; the check knows of late starts only",
        executors=16,
        jobs=40,
    ),
    Case(
        9947,
        "no accepted job stands beside free room",
        "as 9931: twelve jobs at once",
        executors=16,
        jobs=40,
    ),
    Case(
        9914,
        "hosts end only when told",
        "the harness: a host that was killed and back an instant before was suspended, and the "
        "signal that ends a suspension came before its handler; mended",
    ),
    Case(
        9983,
        "no accepted job stands beside free room",
        "open: a gang that was never ordered counted as one with a start that may be late",
        executors=12,
        jobs=60,
        only="executor_cut_by_refusals,executors_restart,kill_owner,orders_unanswered",
    ),
    Case(
        30000,
        "done work is not run again",
        "late starts to the instance before extended an executor's lease on its other clock, and "
        "the next owner did not count that; mended",
    ),
)
