import pytest
from heronthread_emulator import SoakResult, run_soak
from heronthread_emulator.plants import PLANTS, planted
from heronthread_emulator.standing import PROMISE

FIRST_SEED = {
    "start-before-the-barrier": 0,
    "forget-ends-unrecorded": 0,
    "obey-lower-tokens": 0,
    "refuse-what-may-run": 54,
    "forget-silent-executors": 0,
    "count-no-failures": 7,
    "show-success-early": 0,
    "settle-by-any-refusal": 59,
    "take-missing-entries-as-gone": 11,
    "forget-cancelled-runs": 5,
    "start-in-evacuated-domains": 0,
    "count-no-crashes": 0,
    "forget-crashes-at-a-takeover": 10,
    "keep-the-first-capacity": 6,
    "take-a-missing-state-as-ready": 0,
    "take-lives-for-one": 0,
    "forget-late-starts": 0,
    "withhold-beside-silent-executors": 3,
    "start-where-no-record-names": 0,
    "count-parts-of-a-step-apart": 3,
}
SEEDS_TRIED = 40
ONLY = {
    "obey-lower-tokens": ("orders_late_over_takeover",),
    "take-missing-entries-as-gone": ("executor_cut_over_takeover",),
    "take-a-missing-state-as-ready": ("foreign_entries",),
    "take-lives-for-one": ("executors_restart",),
    "forget-late-starts": ("executors_restart", "late_orders", "late_starts_beside_refusals"),
    "start-where-no-record-names": (
        "executor_cut_over_takeover",
        "executor_silent",
        "power_lost",
    ),
    "count-parts-of-a-step-apart": ("store_down_beside_failures",),
}
"""Defects that so few seeds of the mix show that their own faults are played, and no others."""

BREAKS = {
    "withhold-beside-silent-executors": PROMISE,
    "start-where-no-record-names": "runs at most once at a time",
    "count-parts-of-a-step-apart": "steps keep to their spread limits",
}
"""Defects that must break one promise; the others must break any but that of standing jobs."""

LIMITED = {"count-parts-of-a-step-apart"}
"""Defects that only steps with spread limits show."""


def test_every_defect_has_a_seed() -> None:
    assert set(FIRST_SEED) == set(PLANTS)


def _play(name: str, seed: int) -> SoakResult:
    return run_soak(seed, ONLY.get(name, ()), has_limits=name in LIMITED)


def _find_catching_seed(name: str) -> int:
    """Return a seed by which the defect is caught; any change of the product reorders runs."""
    for seed in [FIRST_SEED[name], *range(SEEDS_TRIED)]:
        with planted(name):
            broken = {v.promise for v in _play(name, seed).violations}
        if BREAKS[name] in broken if name in BREAKS else broken - {PROMISE}:
            return seed
    raise AssertionError(f"{name} is not caught in {SEEDS_TRIED} seeds")


def _check_caught(name: str) -> None:
    seed = _find_catching_seed(name)
    assert _play(name, seed).violations == []


@pytest.mark.parametrize("name", sorted(PLANTS.keys() - {"obey-lower-tokens"}))
def test_planted_defect_is_caught(name: str) -> None:
    _check_caught(name)


def test_obeying_lower_tokens_is_caught() -> None:
    _check_caught("obey-lower-tokens")
