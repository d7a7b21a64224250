"""The experiment command prints its table and writes its page."""

from pathlib import Path

import pytest
from heronthread_cli.commands import Heronthread
from heronthread_cli.exits import BadInput
from heronthread_emulator import experiment


def test_compare_prints_each_figure_and_writes_the_pairs(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    monkeypatch.setattr(experiment, "JOBS", 6)
    monkeypatch.setattr(experiment, "ARRIVALS_S", 3.0)
    monkeypatch.setattr(experiment, "LAST_S", 20.0)
    page = tmp_path / "pairs.html"
    Heronthread().emulation.compare("headroom", seeds=1, plot=str(page))
    printed = capsys.readouterr().out
    assert all(figure in printed for figure in ("urgent", "ordinary", "lost_unit_s"))
    assert "seed 0" in page.read_text()


def test_compare_refuses_a_mechanism_that_there_is_not() -> None:
    with pytest.raises(BadInput, match="no such mechanism"):
        Heronthread().emulation.compare("magic")
