import pytest
from heronthread_emulator import run_soak
from heronthread_emulator.plants import PLANTS, planted

SEEDS = {
    "start-before-the-barrier": 27,
    "forget-ends-unrecorded": 2,
    "obey-lower-tokens": 28,
    "refuse-what-may-run": 22,
    "forget-silent-executors": 2,
    "count-no-failures": 2,
    "show-success-early": 0,
}


def test_every_defect_has_a_seed() -> None:
    assert set(SEEDS) == set(PLANTS)


@pytest.mark.parametrize("name", sorted(PLANTS))
def test_planted_defect_is_caught(name: str) -> None:
    assert run_soak(SEEDS[name]).violations == []
    with planted(name):
        assert run_soak(SEEDS[name]).violations != []
