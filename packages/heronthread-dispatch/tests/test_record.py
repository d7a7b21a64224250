"""Malformed stored records are set aside and do not end the process that reads them."""

import json
import random

import pytest
import trio
from heronthread_dispatch.executors_in_use import decode_used
from heronthread_dispatch.fences import FenceRecord, decode_fences
from heronthread_dispatch.host_lease import HostRecord
from heronthread_dispatch.keystore import Item
from heronthread_dispatch.model import (
    ApprovalTerms,
    JobSpec,
    Queue,
    Resources,
    Schedule,
    StepSpec,
    UnresolvedStart,
)
from heronthread_dispatch.owned_cell import job_key
from heronthread_dispatch.quorum_record import QuorumRecord
from heronthread_dispatch.record import (
    JobRecord,
    JobStatus,
    ProgressRecord,
    Unreadable,
    decode_job,
    decode_progress,
)
from heronthread_dispatch.recorder import progress_key
from heronthread_emulator import EmulatedSite, captured_events
from hypothesis import given
from hypothesis import strategies as st

Clock = trio.testing.MockClock
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=12,
)
QUEUE = Queue("q", "host", "/q/", "pool", 1, 4, 3.0, 1.0, False, ApprovalTerms(0.2, 0.1, 5.0))
STEPS = (StepSpec(2, Resources(1, 1, 1), 1.0), StepSpec(1, Resources(1, 1, 0), 1.0, after=(0,)))
EXAMPLE = JobRecord(JobSpec("a", QUEUE, "first", "text", STEPS, 1.0, Schedule(2, 1.0, 1.0)))
READERS = (decode_job, decode_progress, decode_used, HostRecord.decode)


def _change_one(value: object, source: random.Random, other: object) -> object:
    """Return a value with one part, at any depth, replaced by `other`."""
    if isinstance(value, dict) and value and source.random() < 0.9:
        key = source.choice(sorted(value))
        return {**value, key: _change_one(value[key], source, other)}
    if isinstance(value, list) and value and source.random() < 0.9:
        place = source.randrange(len(value))
        changed = _change_one(value[place], source, other)
        return [*value[:place], changed, *value[place + 1 :]]
    return other


@given(data=st.binary() | JSON.map(lambda value: json.dumps(value).encode()))
def test_any_bytes_are_read_or_set_aside(data: bytes) -> None:
    for read in READERS:
        read(data)


def test_bytes_nested_deeper_than_can_be_read_are_set_aside() -> None:
    for read in READERS:
        assert isinstance(read(b"[" * 200_000), Unreadable)


@given(seed=st.integers(0, 10_000), other=JSON)
def test_a_partly_malformed_job_is_read_or_set_aside(seed: int, other: object) -> None:
    whole = json.loads(EXAMPLE.encode())
    changed = _change_one(whole, random.Random(seed), other)
    found = decode_job(json.dumps(changed).encode())
    if isinstance(found, JobRecord):
        assert isinstance(decode_job(found.encode()), JobRecord)


async def test_malformed_records_are_set_aside_and_the_rest_continues(
    autojump_clock: Clock,
) -> None:
    """Of six jobs, one record and one progress are malformed, over several takeovers."""
    async with EmulatedSite.open(hosts=3) as site:
        await site.wait_for_owner()
        for number in range(6):
            record = site.make_job(f"j{number}", work_s=6.0)
            await site.hosts["h1"].requests.accept(record, 2.0)
        await trio.sleep(1.0)
        site.store.put(job_key("j0"), b'{"id": 3}')
        site.store.put(progress_key("j1"), b"\xff")
        site.store.put("cell/0/host/h9", b"[]")
        with captured_events() as events:
            for _ in range(2):
                name = site.owner_name()
                assert name is not None
                site.kill_host(name)
                site.start_host(name)
                await trio.sleep(0.5)
                await site.wait_for_owner()
            await trio.sleep(30.0)
        for number in range(2, 6):
            view = await site.hosts["h1"].requests.find_job(f"j{number}")
            assert getattr(view, "status", None) is JobStatus.SUCCEEDED
        told = {event["key"] for event in events if event["message_type"] == "record.unreadable"}
        assert {job_key("j0"), progress_key("j1"), "cell/0/host/h9"} <= told


async def test_an_owner_waits_if_the_executors_in_use_are_malformed(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=4.0), 2.0)
        await trio.sleep(0.5)
        site.store.put("used/0", b"[1]")
        name = site.owner_name()
        assert name is not None
        site.kill_host(name)
        await trio.sleep(30.0)
        view = await next(iter(site.hosts.values())).requests.find_job("a")
        assert getattr(view, "status", None) is JobStatus.SUCCEEDED


def test_a_record_of_another_job_is_not_taken_for_its_progress() -> None:
    assert isinstance(decode_progress(b'{"status":"done","steps":[]}'), Unreadable)


def test_run_numbers_of_unanswered_starts_are_apart_from_the_rows_of_earlier_versions() -> None:
    starts = frozenset({UnresolvedStart("e1", 0, 2, 0, 7), UnresolvedStart("e0", 1, 0, 0, 1001)})
    data = ProgressRecord(JobStatus.PENDING, [], starts=starts).encode()
    value = json.loads(data)
    assert value["starts"] == [["e0", 1, 0, 0], ["e1", 0, 2, 0]]
    assert ProgressRecord.decode(data).starts == starts
    del value["start_runs"]
    earlier = ProgressRecord.decode(json.dumps(value).encode())
    assert earlier.starts == {start._replace(run=0) for start in starts}


def test_unanswered_starts_with_too_few_run_numbers_are_set_aside() -> None:
    data = b'{"status":"pending","steps":[],"starts":[["e0",0,0,0]],"start_runs":[]}'
    assert isinstance(decode_progress(data), Unreadable)


ODD_PARTS: tuple[tuple[tuple[str | int, ...], object], ...] = (
    (("id",), "a\ud800"),
    (("payload",), "a\ud800"),
    (("tenant",), "a\ud800"),
    (("steps",), []),
    (("steps", 0, 0), 10**400),
    (("steps", 0, 1, 0), 10**30),
    (("steps", 0, 1, 1), -1),
    (("steps", 0, 1, 2), 10**30),
    (("steps", 0, 2), float("inf")),
    (("steps", 0, 2), float("nan")),
    (("steps", 0, 2), "inf"),
    (("steps", 0, 2), -1.0),
    (("steps", 0, 5), "a\ud800"),
    (("steps", 0, 7), -1),
    (("steps", 0, 8), float("nan")),
    (("steps", 0, 9), -1),
    (("queue", 4), 10**30),
    (("queue", 5), 10**30),
    (("queue", 6), float("nan")),
    (("queue", 7), "inf"),
    (("queue", 9), [float("inf"), 0.1, 5.0]),
    (("accepted",), float("inf")),
    (("schedule",), [10**12, 1.0, 1.0]),
    (("schedule",), [0, 1.0, 1.0]),
    (("schedule",), [-1, 1.0, 1.0]),
    (("schedule",), [2, float("nan"), 1.0]),
    (("schedule",), [2, 1.0, float("inf")]),
    (("schedule",), [2, 1.0, -1.0]),
)


def _encode_odd(path: tuple[str | int, ...], other: object, name: str = "a") -> bytes:
    """Return the stored form of a job of which one part is replaced."""
    value = json.loads(EXAMPLE.encode()) | {"id": name}
    inner = value
    for part in path[:-1]:
        inner = inner[part]
    inner[path[-1]] = other
    return json.dumps(value).encode()


@pytest.mark.parametrize(("path", "other"), ODD_PARTS)
def test_job_that_can_neither_be_planned_nor_sent_is_set_aside(
    path: tuple[str | int, ...], other: object
) -> None:
    assert isinstance(decode_job(_encode_odd(path, other)), Unreadable)


async def test_job_of_numbers_beyond_64_bits_ends_no_owner(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        value = json.loads(site.make_job("odd", work_s=2.0).encode())
        value["steps"][0][1][2] = 10**30
        site.store.put(job_key("odd"), json.dumps(value).encode())
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=4.0), 2.0)
        await trio.sleep(20.0)
        view = await site.hosts["h1"].requests.find_job("a")
        assert getattr(view, "status", None) is JobStatus.SUCCEEDED


@pytest.mark.parametrize(
    "change",
    [
        {"starts": [["e0", 0, 0, 0]], "start_runs": [10**30], "start_borns": [0]},
        {"starts": [["e0", 0, 0, 0]], "start_runs": [-1], "start_borns": [0]},
        {"starts": [["e0", 0, 0, 0]], "start_runs": [1], "start_borns": [10**30]},
        {"starts": [["e0", -1, 0, 0]], "start_runs": [1], "start_borns": [0]},
        {"starts": [["e0", 0, -1, 0]], "start_runs": [1], "start_borns": [0]},
        {"starts": [["e0", 0, 0, -1]], "start_runs": [1], "start_borns": [0]},
        {"starts": [["e\ud800", 0, 0, 0]], "start_runs": [1], "start_borns": [0]},
        {"steps": [["0", {"0": [10**30]}, {}], ["0", {}, {}]]},
        {"steps": [["0", {"0": [-1]}, {}], ["0", {}, {}]]},
        {"steps": [["0", {}, {"0": "a\ud800"}], ["0", {}, {}]]},
        {"steps": [["-1", {}, {}], ["0", {}, {}]]},
        {"done_occurrences": "-1"},
        {"done_occurrences": "2"},
        {"occurrences": [10**30]},
        {"preassigned": [[10**30, 1, 1], {}]},
        {"preassigned": [[1, -1, 1], {}]},
        {"preassigned": [[1, 1, 1], [None]]},
        {"crashes": [{"0": [["e0", 10**30, "blamed"]]}, {}]},
        {"crashes": [{"0": [["e0", -1, "blamed"]]}, {}]},
    ],
)
def test_progress_that_can_neither_be_kept_nor_sent_is_set_aside(change: dict[str, object]) -> None:
    whole = {"status": "pending", "steps": [["0", {}, {}], ["0", {}, {}]]}
    assert isinstance(decode_progress(json.dumps(whole).encode()), ProgressRecord)
    assert isinstance(decode_progress(json.dumps(whole | change).encode()), Unreadable)


@pytest.mark.parametrize(
    "row",
    [
        ["a\ud800", "p", None],
        ["a:1", "p\ud800", None],
        ["a:1", "p", [["j", -1, 0, 0]]],
        ["a:1", "p", [["j", 0, 10**30, 0]]],
        ["a:1", "p", None, 10**30],
        ["a:1", "p", None, -1],
        ["a:1", "p", None, 1, True, float("inf")],
        ["a:1", "p", None, 1, True, 1.0, 10**30, 1.0],
        ["a:1", "p", None, 1, True, 1.0, -1, 1.0],
    ],
)
def test_used_executor_that_can_not_be_called_is_set_aside(row: list[object]) -> None:
    assert isinstance(decode_used(json.dumps({"e0": row}).encode()), Unreadable)
    assert isinstance(decode_used(b'{"e\\ud800": ["a:1", "p", null]}'), Unreadable)


@pytest.mark.parametrize(
    "value",
    [
        {"term_revision": 10**30, "members": []},
        {"term_revision": -1, "members": []},
        {"term_revision": 1, "members": [["e\ud800", 1]]},
        {"term_revision": 1, "members": [["e0", 10**30]]},
    ],
)
def test_quorum_out_of_bounds_is_set_aside(value: dict[str, object]) -> None:
    assert isinstance(QuorumRecord.decode(json.dumps(value).encode()), Unreadable)


@pytest.mark.parametrize(
    "value",
    [
        {"host": "h\ud800", "address": "a:1"},
        {"host": "h", "address": "a\ud800"},
        {"host": "h" * 1000, "address": "a:1"},
        {"host": "h", "address": "a" * 1000},
        {"host": "h", "address": "a:1", "cores": float("nan")},
        {"host": "h", "address": "a:1", "link_mbps": "inf"},
        {"host": "h", "address": "a:1", "cores": -1},
    ],
)
def test_host_out_of_bounds_is_set_aside(value: dict[str, object]) -> None:
    assert isinstance(HostRecord.decode(json.dumps(value).encode()), Unreadable)


@pytest.mark.parametrize(
    "value",
    [
        [10**30, 1, {}],
        [-1, 1, {}],
        [1, 10**30, {}],
        [1, 1, {"e\ud800": [1, 0.0, None]}],
        [1, 1, {"e0": [10**30, 0.0, None]}],
        [1, 1, {"e0": [1, "1e300", None]}],
    ],
)
def test_fences_out_of_bounds_count_as_none(value: list[object]) -> None:
    item = Item("term/0/fences", json.dumps(value).encode(), 7)
    assert decode_fences(item) == FenceRecord()
