"""Load patterns: the same seed draws the same jobs, and a wrong file says what is wrong."""

from pathlib import Path

import pytest
from heronthread_emulator.load import LoadPattern, draw_jobs, load_pattern
from pydantic import ValidationError

LOADS = sorted((Path(__file__).parents[3] / "benchmarks" / "loads").glob("*.json"))


def test_there_are_loads() -> None:
    assert len(LOADS) >= 6


@pytest.mark.parametrize("path", LOADS, ids=lambda path: path.stem)
def test_each_load_is_named_as_its_file_and_draws_every_kind(path: Path) -> None:
    pattern = load_pattern(path)
    assert pattern.name == path.stem
    jobs = draw_jobs(pattern, 1)
    assert {job.kind.name for job in jobs} == {kind.name for kind in pattern.kinds}
    assert [job.at for job in jobs] == sorted(job.at for job in jobs)
    assert jobs == draw_jobs(pattern, 1)
    assert jobs != draw_jobs(pattern, 2)


def _pattern(**more: object) -> LoadPattern:
    kind = {
        "name": "k",
        "per_s": 4.0,
        "priority": 0,
        "stretch": 1.5,
        "target_s": 0.3,
        "worth": 1.0,
        "late_worth": 0.5,
        "width": 3.0,
        "most_width": 4,
        "work_s": 2.0,
        "most_work_s": 3.0,
        "millicores": 1000,
        "memory_mb": 100,
        "accelerators": [1],
    }
    fields = {"name": "p", "seconds": 60.0, "executors": 4, "kinds": [kind], **more}
    return LoadPattern.model_validate(fields)


def test_a_burst_multiplies_the_arrivals_of_its_kind() -> None:
    burst = {"kind": "k", "at": 20.0, "seconds": 20.0, "factor": 4.0}
    jobs = draw_jobs(_pattern(bursts=[burst]), 3)
    inside = sum(20.0 <= job.at < 40.0 for job in jobs)
    outside = len(jobs) - inside
    assert 1.2 * outside < inside < 3.2 * outside


@pytest.mark.parametrize(
    ("change", "field"),
    [({"executors": 0}, "executors"), ({"kinds": []}, "kinds"), ({"new": 1}, "new")],
)
def test_a_wrong_pattern_names_its_field(change: dict[str, object], field: str) -> None:
    with pytest.raises(ValidationError, match=field):
        _pattern(**change)
