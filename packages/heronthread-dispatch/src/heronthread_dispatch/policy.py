"""Switches for scheduling heuristics; none affects correctness guarantees."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Policy:
    """Enables or disables each heuristic, so that its effect can be measured.

    Guarantees, whole gangs, at most one run per task and truthful answers hold whatever is
    disabled.

    `headroom` keeps capacity free for urgent work; `move_slow_runs` restarts slow runs on other
    executors; `reserve` reserves free capacity for a waiting gang; `wait_for_data` delays a step
    for a while to place it near its data; `compare_members` compares a gang's members with each
    other instead of with the caller's estimate; `look_early` polls a gang's progress more often
    shortly after its start; `wait_for_ends` lets urgent work wait for attempts that end soon even
    if stopping them would be faster; `hopeless_last` ranks urgent work last, and preempts nothing
    for it, once it can no longer be useful.

    These take effect only where executors differ in speed, runs differ from their estimates, urgent
    work arrives, or demand exceeds capacity: `executor_speeds` places work by learned speeds;
    `run_lengths` predicts ends from earlier runs; `urgent_room` keeps capacity by a forecast of
    urgent work and lends it out; `admission` rejects jobs that cannot begin in time to be useful;
    `fair_shares` ranks customers above their fair share after the others.
    """

    headroom: bool = True
    move_slow_runs: bool = True
    reserve: bool = True
    wait_for_data: bool = True
    compare_members: bool = True
    look_early: bool = True
    wait_for_ends: bool = False
    hopeless_last: bool = False
    executor_speeds: bool = True
    run_lengths: bool = False
    urgent_room: bool = False
    admission: bool = True
    fair_shares: bool = True


DEFAULT_POLICY = Policy()
