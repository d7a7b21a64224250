"""Ways of deciding compared on the same loads and seeds, by the planner's real code."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, fields, replace
from statistics import mean, pstdev
from typing import Any

from heronthread_dispatch.policy import DEFAULT_POLICY, Policy

from .load import LoadPattern, draw_jobs
from .pool_model import PoolModel
from .worth import PlayWorth, weigh

NOISE = 0.002
"""A difference in worth below this counts as none: plays repeat exactly, but a decision that falls
the other way at one tie moves a play by about so much."""


class UnknownWay(ValueError):
    """A way names a switch that the policy has not, or a value that the switch can't have."""


@dataclass(frozen=True, slots=True)
class WayResult:
    """One way on one load: means over seeds, and its differences in worth from the first way."""

    load: str
    way: str
    worth: float
    difference: float
    spread: float
    better: int
    worse: int
    whole: float
    served: float
    customers: float
    seconds: float
    kinds: float
    lost: float
    stops: float
    most_taken_back: float


def read_way(text: str) -> Policy:
    """Return the policy that a way names: `name=value`, split by commas; empty for the default."""
    changes: dict[str, Any] = {}
    known = {switch.name: getattr(DEFAULT_POLICY, switch.name) for switch in fields(Policy)}
    for part in filter(None, text.split(",")):
        name, _, value = part.partition("=")
        if name not in known:
            raise UnknownWay(f"{name}: no such switch; there are {', '.join(known)}")
        if not isinstance(known[name], bool) or value not in ("on", "off"):
            raise UnknownWay(f"{part}: a switch is on or off, as in {name}=off")
        changes[name] = value == "on"
    return replace(DEFAULT_POLICY, **changes)


def compare_ways(
    patterns: Iterable[LoadPattern],
    ways: Mapping[str, Policy],
    seeds: Iterable[int],
    at_once: int = 1,
) -> list[WayResult]:
    """Play each way on each load and seed; the others are held against the first way."""
    patterns, seeds = list(patterns), list(seeds)
    plays = [
        (pattern, policy, seed)
        for pattern in patterns
        for policy in ways.values()
        for seed in seeds
    ]
    if at_once > 1:
        with ProcessPoolExecutor(at_once) as pool:
            worths = list(pool.map(_play, plays))
    else:
        worths = [_play(play) for play in plays]
    found = dict(zip(((p.name, policy, seed) for p, policy, seed in plays), worths, strict=True))
    first = next(iter(ways.values()))
    return [
        _sum_up(
            pattern.name,
            name,
            [found[pattern.name, policy, seed] for seed in seeds],
            [found[pattern.name, first, seed] for seed in seeds],
        )
        for pattern in patterns
        for name, policy in ways.items()
    ]


def _play(play: tuple[LoadPattern, Policy, int]) -> PlayWorth:
    pattern, policy, seed = play
    return weigh(pattern, PoolModel(pattern, draw_jobs(pattern, seed), policy).play())


def _sum_up(load: str, way: str, worths: list[PlayWorth], first: list[PlayWorth]) -> WayResult:
    gains = [one.worth - other.worth for one, other in zip(worths, first, strict=True)]

    def average(name: str) -> float:
        return round(mean(getattr(worth, name) for worth in worths), 3)

    return WayResult(
        load,
        way,
        average("worth"),
        difference=round(mean(gains), 3),
        spread=round(pstdev(gains), 3),
        better=sum(gain > NOISE for gain in gains),
        worse=sum(gain < -NOISE for gain in gains),
        whole=average("whole"),
        served=average("served"),
        customers=average("customers"),
        seconds=average("seconds"),
        kinds=average("kinds"),
        lost=average("lost"),
        stops=average("stops"),
        most_taken_back=average("most_taken_back"),
    )
