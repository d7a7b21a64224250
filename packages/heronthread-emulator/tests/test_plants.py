import pytest
from heronthread_emulator import run_soak
from heronthread_emulator.plants import PLANTS, planted

FIRST_SEED = {
    "start-before-the-barrier": 2,
    "forget-ends-unrecorded": 0,
    "obey-lower-tokens": 10,
    "refuse-what-may-run": 15,
    "forget-silent-executors": 2,
    "count-no-failures": 6,
    "show-success-early": 0,
    "settle-by-any-refusal": 1,
    "take-missing-entries-as-gone": 28,
    "forget-cancelled-runs": 2,
}
SEEDS_TRIED = 40


def test_every_defect_has_a_seed() -> None:
    assert set(FIRST_SEED) == set(PLANTS)


def _find_catching_seed(name: str) -> int:
    """Return a seed by which the defect is caught; any change of the product reorders runs."""
    for seed in [FIRST_SEED[name], *range(SEEDS_TRIED)]:
        with planted(name):
            if run_soak(seed).violations:
                return seed
    raise AssertionError(f"{name} is not caught in {SEEDS_TRIED} seeds")


@pytest.mark.parametrize("name", sorted(PLANTS))
def test_planted_defect_is_caught(name: str) -> None:
    seed = _find_catching_seed(name)
    assert run_soak(seed).violations == []
