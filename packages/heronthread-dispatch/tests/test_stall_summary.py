"""The summary of stalled jobs: its size in the news, and summaries that can't be used."""

import json
from typing import Any

import pytest
from heronthread_dispatch.stall_summary import (
    MAX_ENCODED_BYTES,
    KnownStalls,
    MalformedSummary,
    StalledRow,
    StallSummary,
    decode_summary,
    encode_summary,
    fit_summary,
    measure_bytes,
)
from heronthread_dispatch.wait_causes import WaitCause

OWNER = "front-sfx-d-2"
SUMMARY = StallSummary(
    7,
    45,
    OWNER,
    12.5,
    2,
    {WaitCause.LATE_START.value: 1, WaitCause.UNSETTLED_RUN.value: 1},
    (
        StalledRow("a", WaitCause.LATE_START.value, 3.5),
        StalledRow("b", WaitCause.UNSETTLED_RUN.value, 2.0, 1.5),
    ),
)
ENCODED = encode_summary(SUMMARY, 0.75)


def _make_summary(jobs: int, causes: int = 3, owner: str = OWNER) -> StallSummary:
    """Return a summary of jobs with ids of 36 characters, the longest stalls first."""
    names = [cause.value for cause in WaitCause][:causes]
    rows = tuple(StalledRow(f"{n:036}", names[0], 99.9 - n, None) for n in range(jobs))
    return StallSummary(123, 45_678, owner, 86_399.9, jobs, dict.fromkeys(names, jobs), rows)


def test_summary_survives_its_way_over_several_hosts() -> None:
    """Guards against a cause or a duration that is lost where news is passed on."""
    found = decode_summary(json.loads(json.dumps(ENCODED)))
    assert found == (SUMMARY, 0.75)
    assert encode_summary(*found) == ENCODED


def test_longest_stalls_fit_into_the_news() -> None:
    """Guards against news that outgrow the control traffic of a host when many jobs stand."""
    fitted = fit_summary(_make_summary(500))
    assert measure_bytes(encode_summary(fitted, 9.99)) <= MAX_ENCODED_BYTES
    assert [row.for_s for row in fitted.jobs] == [99.9, 98.9, 97.9, 96.9]
    assert fitted.standing == 500
    assert len(fitted.causes) == 3


@pytest.mark.parametrize("summary", [_make_summary(9, 19, "o" * 200), _make_summary(9, 19)])
def test_long_names_and_many_causes_keep_the_count(summary: StallSummary) -> None:
    """Guards against a summary that exceeds its bound, or is not sent at all."""
    fitted = fit_summary(summary)
    assert measure_bytes(encode_summary(fitted, 9.99)) <= MAX_ENCODED_BYTES
    assert fitted.standing == 9


def test_cause_of_a_later_version_is_passed_on() -> None:
    """Guards against news that is dropped because a host knows fewer causes."""
    found = decode_summary(ENCODED | {"c": {"NEW_CAUSE": 1}, "j": [["a", "NEW_CAUSE", 3.5]]})
    assert not isinstance(found, MalformedSummary)
    summary, age_s = found
    assert summary.jobs == (StalledRow("a", "NEW_CAUSE", 3.5),)
    assert encode_summary(summary, age_s)["j"] == [["a", "NEW_CAUSE", 3.5]]


@pytest.mark.parametrize(
    "value",
    [
        7,
        [],
        "text",
        {"v": 1},
        ENCODED | {"v": 2},
        ENCODED | {"a": -1.0},
        ENCODED | {"a": float("nan")},
        ENCODED | {"t": [1, 2]},
        ENCODED | {"t": [10**30, 1, 1.0]},
        ENCODED | {"t": ["1", 1, 1.0]},
        ENCODED | {"o": 7},
        ENCODED | {"o": "x" * 1_000},
        ENCODED | {"n": -1},
        ENCODED | {"n": True},
        ENCODED | {"c": []},
        ENCODED | {"c": {"DUE": -1}},
        ENCODED | {"c": {str(n): 1 for n in range(100)}},
        ENCODED | {"j": {}},
        ENCODED | {"j": [["a", "DUE", 1.0]] * 100},
        ENCODED | {"j": [["a", "DUE"]]},
        ENCODED | {"j": [["a", "DUE", 1.0, 1.0, 1.0]]},
        ENCODED | {"j": [["a", 7, 1.0]]},
        ENCODED | {"j": [["a", "DUE", -1.0]]},
        ENCODED | {"j": [["a", "DUE", 1.0, "1"]]},
        ENCODED | {"j": [7]},
    ],
)
def test_unusable_summaries_are_malformed(value: Any) -> None:
    """Guards against an exception, or impossible durations in the log, by a broken peer."""
    assert isinstance(decode_summary(value), MalformedSummary)


def test_older_term_does_not_replace_a_newer_one() -> None:
    """Guards against a deposed owner's stalls that are reported as those of the owner."""
    known = KnownStalls()
    taken = [
        known.offer(StallSummary(term, sequence, OWNER), 0.5, 100.0)
        for term, sequence in [(2, 1), (1, 900), (2, 3), (2, 2), (2, 3)]
    ]
    assert taken == [True, False, True, False, False]
    found = known.find(100.0)
    assert found is not None
    assert found.digest.order == (2, 3)
