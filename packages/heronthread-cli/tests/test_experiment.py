"""`heronthread experiment`: rows for each way, and one clear line for what is wrong."""

import json
from pathlib import Path

import pytest
from heronthread_cli.exits import BadInput
from heronthread_cli.experiment import Experiment
from heronthread_emulator.ways import UnknownWay, read_way

LOAD = Path(__file__).parents[3] / "benchmarks" / "loads" / "small-pool.json"


def test_ways_are_compared_on_the_same_seeds(capsys: pytest.CaptureFixture[str]) -> None:
    Experiment().experiment(str(LOAD), ways="reserve=off", seeds=1, json=True)
    rows = json.loads(capsys.readouterr().out)
    assert [row["way"] for row in rows] == ["default", "reserve=off"]
    assert rows[0]["difference"] == 0.0
    assert 0.0 < rows[0]["whole"] <= 1.0


@pytest.mark.parametrize(
    ("way", "reason"),
    [("nothing=off", "no such switch; there are headroom"), ("headroom=maybe", "on or off")],
)
def test_a_way_that_is_not_there_names_those_that_are(way: str, reason: str) -> None:
    with pytest.raises(UnknownWay, match=reason):
        read_way(way)


def test_bad_input_is_one_clear_line(tmp_path: Path) -> None:
    experiment = Experiment()
    with pytest.raises(BadInput, match="name a load file"):
        experiment.experiment()
    with pytest.raises(BadInput, match="No such file"):
        experiment.experiment(str(tmp_path / "none.json"))
    wrong = tmp_path / "wrong.json"
    wrong.write_text('{"name": "w"}')
    with pytest.raises(BadInput, match="seconds: Field required"):
        experiment.experiment(str(wrong))
