from pathlib import Path

import pytest
from heronthread_cli import soak as command
from heronthread_cli.exits import BadInput, CommandError
from heronthread_cli.soak import Soak
from heronthread_emulator.checker import Violation
from heronthread_emulator.soak_run import SeedOutcome

ROOT = str(Path(__file__).parents[3])


@pytest.fixture
def played(monkeypatch):
    """What is played, by a soak that breaks a promise on seed 3 and can't play seed 4."""
    found = []

    def run_seeds(sites, folder, at_once, show):
        outcomes = []
        for settings in sites:
            found.append(settings)
            outcome = SeedOutcome(settings.seed, folder)
            if settings.seed == 3:
                outcome.violations.append(Violation("taken work is done", "job"))
            if settings.seed == 4:
                outcome.failure = "a stand-in did not start"
            show(outcome)
            outcomes.append(outcome)
        return outcomes

    monkeypatch.setattr(command, "run_seeds", run_seeds)
    return found


def test_seeds_are_played(played, capsys):
    Soak().soak(seeds=2, first=1, root=ROOT)
    assert [settings.seed for settings in played] == [1, 2]
    assert "seed" in capsys.readouterr().out


@pytest.mark.parametrize(("seed", "told"), [(3, "taken work is done"), (4, "not played")])
def test_bad_seed_fails_the_command(played, capsys, seed, told):
    with pytest.raises(CommandError, match="1 of 1 seeds failed"):
        Soak().soak(replay=seed, root=ROOT)
    assert told in capsys.readouterr().out


def test_faults_may_come_as_a_tuple(played):
    Soak().soak(seeds=1, only=("kill_all", "store_busy"), root=ROOT)
    assert played[0].only == "kill_all,store_busy"


@pytest.mark.parametrize(
    "wrong",
    [
        {"hosts": 2},
        {"hosts": 41},
        {"executors": 61},
        {"at_once": 9},
        {"hosts": 40, "at_once": 4},
        {"plant": "none-such"},
        {"only": "none_such"},
        {"root": "/nowhere"},
    ],
)
def test_wrong_input_is_refused(played, wrong):
    with pytest.raises(BadInput):
        Soak().soak(**{"root": ROOT, **wrong})
    assert played == []
