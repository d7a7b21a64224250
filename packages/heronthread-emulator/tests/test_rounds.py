"""Rounds of takeovers beside executors that crash, on a site of 24 executors."""

from collections.abc import Iterable

import pytest
from heronthread_emulator.rounds import Trouble, run_rounds


def find_broken(trouble: Trouble, seeds: Iterable[int]) -> list[str]:
    """Return what was broken in plays of some seeds."""
    results = [run_rounds(seed, trouble) for seed in seeds]
    return [v.what for r in results for v in r.violations] + [j for r in results for j in r.undone]


@pytest.mark.parametrize(
    "trouble",
    [Trouble(crash=3), Trouble(crash=3, loses_store=True), Trouble(cut=4, kills_owner=True)],
    ids=["crashes", "store-away", "owner-killed-beside-cuts"],
)
def test_no_job_stands_while_the_owner_lives_or_executors_do(trouble: Trouble) -> None:
    assert find_broken(trouble, range(10, 12)) == []


def test_no_job_stands_over_owners_that_are_killed() -> None:
    """Guards against tasks withheld for executors at which none of their runs can be.

    Owners end every 4 s to 9 s, beside crashed executors.
    """
    assert find_broken(Trouble(crash=3, kills_owner=True), range(10, 12)) == []


def test_no_job_stands_over_owners_that_are_killed_as_the_store_goes() -> None:
    """Guards against waits that begin anew after an outage of the store."""
    assert find_broken(Trouble(crash=3, kills_owner=True, loses_store=True), range(10, 12)) == []


def test_no_job_stands_over_losses_of_power() -> None:
    """Guards against tasks withheld for executors that were only recorded in advance."""
    assert find_broken(Trouble(crash=3, kills_all=True), range(10, 12)) == []


def test_no_job_stalls_in_further_store_outages() -> None:
    """Guards against waits for crashed executors at which no run of the job can be left."""
    trouble = Trouble(crash=3, kills_owner=True, loses_store=True)
    assert find_broken(trouble, (343, 349, 351, 352)) == []


def test_no_job_stalls_over_further_losses_of_power() -> None:
    """The same as all hosts lose power."""
    assert find_broken(Trouble(crash=3, kills_all=True), (349, 352, 366, 368)) == []
