"""Switches for the mechanisms that decide how well work is served; none touches a promise."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Policy:
    """Each mechanism on or off, so that what it is worth can be measured.

    Promises (guarantees, whole gangs, at most one run, truthful answers) hold with any of them
    off. docs/decisions.md tells what each was measured to be worth.

    `headroom` leaves room for urgent work; `move_slow_runs` starts slow runs anew elsewhere;
    `reserve` keeps what is free for a waiting gang; `wait_for_data` waits a while for room near
    a step's data; `compare_members` measures a gang's members against each other instead of
    their caller's estimate; `look_early` reads a gang's progress more often while its run is
    young; `wait_for_ends` (off) has urgent work wait for what ends by itself soon, also where a
    stop takes less; `hopeless_last` (off) serves urgent work that earns nothing any more after
    all other, and stops nothing for it.
    """

    headroom: bool = True
    move_slow_runs: bool = True
    reserve: bool = True
    wait_for_data: bool = True
    compare_members: bool = True
    look_early: bool = True
    wait_for_ends: bool = False
    hopeless_last: bool = False


DEFAULT_POLICY = Policy()
