"""Parsing of executor entries: invalid ones are rejected with a fault, and never raise."""

import json
from dataclasses import replace
from typing import Any

import h11
import pytest
from heronthread_dispatch.entries import EntryFault, InvalidEntry
from heronthread_dispatch.model import Executor, Resources
from heronthread_emulator import spelling
from heronthread_platform.entries import EntryParser
from hypothesis import given, settings
from hypothesis import strategies as st

DOMAINS = {"z": "r", "y": "r"}
BORN = 1_796_236_330_914
EXECUTOR = Executor(
    "i-1", "10.1.2.3:80", "s", "z", "r1-3", ("a", "r1-3"), Resources(8, 9, 4), born=BORN
)
GOOD = spelling.write_entry(EXECUTOR, 7)
FOREIGN = spelling.write_foreign_entries(EXECUTOR, 7)
DETERMINISTIC = settings(derandomize=True, max_examples=300, deadline=None)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**70), 2**70) | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=6,
)


def _parse(data: bytes) -> Executor | InvalidEntry:
    return EntryParser(DOMAINS).parse("i-1", data)


def test_valid_entry_is_parsed() -> None:
    assert _parse(GOOD) == EXECUTOR


CHECKED_BY_THE_DIRECTORY = ("service 'nobody'", "without born")
"""Valid by themselves: the directory checks services and start times of executors."""


@pytest.mark.parametrize("name", [name for name in FOREIGN if name not in CHECKED_BY_THE_DIRECTORY])
def test_foreign_entry_is_rejected(name: str) -> None:
    assert isinstance(_parse(FOREIGN[name]), InvalidEntry)


def test_entry_without_born_has_start_time_zero() -> None:
    found = _parse(FOREIGN["without born"])
    assert isinstance(found, Executor) and found.instance == ("i-1", 0)


def test_unknown_service_is_left_to_the_configuration() -> None:
    found = _parse(FOREIGN["service 'nobody'"])
    assert isinstance(found, Executor) and found.pool == "nobody"


@pytest.mark.parametrize(
    ("name", "expected"),
    [
        ("no text", InvalidEntry(EntryFault.UNREADABLE)),
        ("a list", InvalidEntry(EntryFault.WRONG_TYPE, "entry")),
        ("without state", InvalidEntry(EntryFault.MISSING_FIELD, "state")),
        ("without gpus", InvalidEntry(EntryFault.MISSING_FIELD, "capacity.gpus")),
        ("state 'paused'", InvalidEntry(EntryFault.UNKNOWN_STATE)),
        ("slots '8'", InvalidEntry(EntryFault.WRONG_TYPE, "slots")),
        ("slots -3", InvalidEntry(EntryFault.WRONG_VALUE, "slots")),
        ("zone 'nowhere'", InvalidEntry(EntryFault.UNKNOWN_DOMAIN, "nowhere")),
        ("born 'x'", InvalidEntry(EntryFault.WRONG_TYPE, "born")),
        ("born None", InvalidEntry(EntryFault.WRONG_TYPE, "born")),
        ("born True", InvalidEntry(EntryFault.WRONG_TYPE, "born")),
        ("born 3.5", InvalidEntry(EntryFault.WRONG_TYPE, "born")),
        ("born -1", InvalidEntry(EntryFault.WRONG_VALUE, "born")),
        ("state 'draining'", InvalidEntry(EntryFault.MISSING_FIELD, "remaining-ms")),
    ],
)
def test_invalid_entry_has_its_fault(name: str, expected: InvalidEntry) -> None:
    assert _parse(FOREIGN[name]) == expected


@pytest.mark.parametrize("executor_id", ["", "i-1/more", *spelling.ODD_IDS])
def test_invalid_executor_id_is_rejected(executor_id: str) -> None:
    found = EntryParser(DOMAINS).parse(executor_id, GOOD)
    assert found == InvalidEntry(EntryFault.WRONG_VALUE, "id")


@DETERMINISTIC
@given(st.text(max_size=12))
def test_accepted_executor_id_fits_in_a_header(executor_id: str) -> None:
    if isinstance(EntryParser(DOMAINS).parse(executor_id, GOOD), Executor):
        headers = [("Host", "a"), ("Expected-Instance", executor_id)]
        h11.Request(method="POST", target="/", headers=headers)


def test_long_names_are_rejected() -> None:
    for field, value in {"zone": "z" * 201, "service": "s" * 201, "labels": ["r"] * 101}.items():
        found = EntryParser().parse("i-1", json.dumps(json.loads(GOOD) | {field: value}).encode())
        assert found == InvalidEntry(EntryFault.WRONG_VALUE, field)


def test_unknown_fields_are_ignored() -> None:
    value = json.loads(GOOD) | {"machine": "m-1", "newer": {"more": [1]}}
    assert _parse(json.dumps(value).encode()) == EXECUTOR


def test_any_domain_is_accepted_if_none_is_configured() -> None:
    found = EntryParser().parse("i-1", FOREIGN["zone 'nowhere'"])
    assert isinstance(found, Executor) and found.zone == "nowhere"


@DETERMINISTIC
@given(st.sampled_from(sorted(json.loads(GOOD))), VALUES)
def test_entry_with_any_field_value_is_parsed_or_rejected(field: str, value: Any) -> None:
    found = _parse(json.dumps(json.loads(GOOD) | {field: value}).encode())
    assert isinstance(found, Executor | InvalidEntry)
    if isinstance(found, Executor):
        assert type(value) is type(json.loads(GOOD)[field]) or isinstance(value, float)


@DETERMINISTIC
@given(st.integers(0, len(GOOD) - 1), st.binary(max_size=3))
def test_entry_with_corrupted_bytes_is_parsed_or_rejected(at: int, put: bytes) -> None:
    assert isinstance(_parse(GOOD[:at] + put + GOOD[at + 1 :]), Executor | InvalidEntry)


@pytest.mark.parametrize(
    "capacity",
    [
        None,
        {},
        {"cpu": 1},
        {"cpu": -1, "mem-mb": 2, "gpus": 3},
        {"cpu": 1, "mem-mb": 2, "gpus": -3},
        {"cpu": "much", "mem-mb": 2, "gpus": 3},
        {"cpu": 1e400, "mem-mb": 2, "gpus": 3},
        [1, 2, 3],
    ],
)
def test_entry_with_invalid_capacity_is_rejected(capacity: object) -> None:
    value = json.loads(GOOD) | {"capacity": capacity}
    assert isinstance(_parse(json.dumps(value).encode()), InvalidEntry)


def test_draining_executor_has_remaining_time() -> None:
    value = json.loads(GOOD) | {"state": "draining", "remaining-ms": 1500}
    assert _parse(json.dumps(value).encode()) == replace(EXECUTOR, leaves_in_s=1.5)
