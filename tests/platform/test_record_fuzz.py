"""Fuzz tests of what other writers, executors and peers leave us: no input raises."""

import copy
import json
from collections.abc import Callable
from typing import Any

import orjson
import pytest
import trio
from heronthread_coordination import Unavailable, Unknown
from heronthread_dispatch.approval import ApprovalReply, ApprovalRequest
from heronthread_dispatch.entries import InvalidEntry
from heronthread_dispatch.executor_link import HoldOrder, NoAnswer, Report
from heronthread_dispatch.executors_in_use import decode_used
from heronthread_dispatch.fences import FenceRecord, decode_fences, read_counter
from heronthread_dispatch.field_bounds import MAX_REVISION
from heronthread_dispatch.host_lease import HostRecord
from heronthread_dispatch.http_client import HttpClient, Reply
from heronthread_dispatch.keystore import Events, Item, Listing, Transaction
from heronthread_dispatch.load_digest import decode_digest
from heronthread_dispatch.log_writer import LogWriter
from heronthread_dispatch.model import (
    ApprovalTerms,
    Executor,
    ExecutorInstance,
    Resources,
    TaskKey,
)
from heronthread_dispatch.peer_messages import News, PeerReply, call_peer, decode_news
from heronthread_dispatch.quorum_record import QuorumRecord
from heronthread_dispatch.record import (
    CancelledBeforeAccept,
    JobRecord,
    ProgressRecord,
    decode_job,
    decode_progress,
)
from heronthread_dispatch.stall_summary import decode_summary
from heronthread_dispatch.wire.ttypes import ForwardReply, Frame
from heronthread_emulator import spelling
from heronthread_platform.approver import PlatformApprover
from heronthread_platform.entries import EntryParser
from heronthread_platform.executors import PlatformExecutorLink
from heronthread_platform.store import PlatformStore
from hypothesis import given, settings
from hypothesis import strategies as st

DETERMINISTIC = settings(derandomize=True, max_examples=400, deadline=None)
EXECUTOR = Executor(
    "i-1", "127.0.0.1:9", "pool", "z", "r1", ("z", "r1"), Resources(1000, 100, 1), born=5
)
TEXTS = st.text(st.characters(exclude_categories=()), max_size=6)
ODD = st.sampled_from(
    [
        *(-1, 2**53 + 1, 2**63, 2**64, 10**30, 10**400, -(10**400)),
        *(float("nan"), float("inf"), float("-inf"), 1e308, -0.5),
        *("nan", "inf", "1" * 5000, "\ud800", "\x00", "a\nb", "caf\u00e9", "x" * 5000, ""),
        *(None, True, [], {}, [[]], {"": {}}),
    ]
)
VALUES = ODD | st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | TEXTS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXTS, inner, max_size=3),
    max_leaves=6,
)
STEPS = [[2, [1, 1, 1], 1.0, [], "00000", "", "", 0, 0.0, 0]]
QUEUE = ["q", "host", "/q/", "pool", 1, 4, 3.0, 1.0, False, [0.2, 0.1, 5.0]]
FORMS: dict[str, Any] = {
    "job": {
        "id": "a",
        "queue": QUEUE,
        "tenant": "t",
        "payload": "p",
        "accepted": 1.0,
        "steps": STEPS,
        "schedule": [2, 1.0, 1.0],
    },
    "progress": {
        "status": "running",
        "steps": [["1", {"0": [1]}, {"0": "00ff"}]],
        "crashes": [{"0": [["e0", 5, "blamed"]]}],
        "places": ["e0"],
        "place_tasks": {"e0": [0, "1"]},
        "starts": [["e0", 0, 0, 0]],
        "start_runs": [1],
        "start_borns": [5],
        "starts_left_s": 1.0,
        "runs_left_s": 1.0,
        "preassigned": [[1, 1, 1], {"e0": [0, "1"]}],
        "occurrences": [0],
        "done_occurrences": "2",
    },
    "used": {"e0": ["a:1", "pool", [["a", 0, 0, 0]], 5, True, 1.0, 7, 1.0, True]},
    "quorum": {"term_revision": 1, "members": [["e0", 5]]},
    "fences": [1, 1, {"e0": [5, 1.0, 1.0]}],
    "host": {"host": "h", "address": "a:1", "cores": 1, "link_mbps": 1, "sparse_progress": True},
    "entry": json.loads(spelling.write_entry(EXECUTOR, 0)),
    "report": {
        "clock-ms": 5,
        "born": 5,
        "running": [["a.0.0.0", 1, "", 41]],
        "ended-at": [[1, "a.0.0.0", 1, "done", ""]],
    },
    "item": {"tls-key": "k", "value": "YQ==", "revision": 3, "made": 2, "lease": 1},
    "page": {"items": [{"tls-key": "k", "value": "", "revision": 3}], "at": 3, "more": False},
    "events": {"events": [{"tls-key": "k", "revision": 3, "gone": True}], "at": 3},
    "committed": {"revision": 3, "items": [{"tls-key": "k", "value": "", "revision": 3}]},
    "lease": {"lease": 7, "ttl_ms": 1000},
    "approval": {"healthy": [["i-1", "ticket"]]},
    "news": {
        "host": "h",
        "address": "a:1",
        "version": 1,
        "store_ok": True,
        "evacuations": {"op/evacuate/z": [1, True]},
        "owners_seen_s": {"1": 1.0},
        "used_preassignments": {"1": 1},
        "load": {"v": 1, "a": 1.0, "d": ""},
        "stalls": {"v": 1, "a": 1.0, "t": [1, 1, 1.0], "o": "h", "n": 1, "c": {}, "j": []},
    },
}


def _list_places(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths of all parts of a JSON value, itself first."""
    inner: Any = ()
    if isinstance(value, dict):
        inner = value.items()
    elif isinstance(value, list):
        inner = enumerate(value)
    return [path, *(place for key, part in inner for place in _list_places(part, (*path, key)))]


def _replace(value: Any, path: tuple[Any, ...], other: Any) -> Any:
    if not path:
        return other
    changed = copy.copy(value)
    changed[path[0]] = _replace(value[path[0]], path[1:], other)
    return changed


@st.composite
def _make_odd(draw: st.DrawFn, name: str) -> bytes:
    """Return a sound form of which parts are replaced, or bytes corrupted."""
    value = FORMS[name]
    for _ in range(draw(st.integers(0, 2))):
        value = _replace(value, draw(st.sampled_from(_list_places(value))), draw(VALUES))
    data = bytearray(json.dumps(value).encode())
    for _ in range(draw(st.sampled_from([0, 0, 0, 1, 3]))):
        data[draw(st.integers(0, len(data) - 1))] = draw(st.integers(0, 255))
    return bytes(data[: draw(st.sampled_from([len(data), len(data), len(data) // 2]))])


class _FixedClient(HttpClient):
    """Returns the same reply to every request."""

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__()
        self.reply = Reply(status, body)

    async def call(self, *_: Any, **__: Any) -> Reply:
        await trio.lowlevel.checkpoint()
        return self.reply


def _decode_counter(data: bytes) -> int:
    return read_counter(Item("term/0", data, 7))


def _decode_fences(data: bytes) -> FenceRecord:
    return decode_fences(Item("term/0/fences", data, 7))


READERS: dict[str, Callable[[bytes], Any]] = {
    "job": decode_job,
    "progress": decode_progress,
    "used": decode_used,
    "quorum": QuorumRecord.decode,
    "fences": _decode_fences,
    "host": HostRecord.decode,
}


@pytest.mark.parametrize("name", READERS)
def test_sound_record_is_read(name: str) -> None:
    assert not hasattr(READERS[name](json.dumps(FORMS[name]).encode()), "reason")


@pytest.mark.parametrize("name", READERS)
@DETERMINISTIC
@given(data=st.data())
def test_any_record_is_read_or_set_aside(name: str, data: st.DataObject) -> None:
    """What is read can leave again: as a record, in the log and in a call."""
    found = READERS[name](data.draw(_make_odd(name)))
    if isinstance(found, JobRecord | ProgressRecord | QuorumRecord | HostRecord):
        assert READERS[name](found.encode()) == found
    if isinstance(found, JobRecord):
        orjson.dumps([found.spec.payload, found.spec.id, found.spec.steps], default=tuple)
    if isinstance(found, CancelledBeforeAccept):
        assert decode_job(found.encode()) == found


@DETERMINISTIC
@given(st.binary(max_size=30) | st.integers().map(lambda number: str(number).encode()))
def test_any_counter_is_a_number_that_a_call_can_carry(data: bytes) -> None:
    assert 0 <= _decode_counter(data) < 2**53


@DETERMINISTIC
@given(data=_make_odd("entry"), executor_id=st.just("i-1") | TEXTS | ODD.map(str))
def test_any_entry_under_any_key_is_parsed_or_refused(data: bytes, executor_id: str) -> None:
    found = EntryParser().parse(executor_id, data)
    assert isinstance(found, Executor | InvalidEntry)
    if isinstance(found, Executor):
        assert executor_id.isascii() and orjson.dumps([found.id, found.address, found.labels])


@DETERMINISTIC
@given(_make_odd("report"))
def test_any_report_is_read_or_counts_as_no_answer(data: bytes) -> None:
    link = PlatformExecutorLink(_FixedClient(200, data))
    outcome = trio.run(link.hold, EXECUTOR, HoldOrder(1, 0, None, 0.0))
    assert isinstance(outcome, Report | NoAnswer)


@pytest.mark.parametrize("name", ["item", "page", "events", "committed", "lease"])
@DETERMINISTIC
@given(data=st.data(), status=st.sampled_from([200, 200, 200, 412]))
def test_any_answer_of_the_store_is_an_outcome(name: str, data: st.DataObject, status: int) -> None:
    store = PlatformStore(_FixedClient(status, data.draw(_make_odd(name))), "a")

    async def ask() -> None:
        with trio.fail_after(5.0):
            listed = await store.list("p")
            assert isinstance(listed, Listing | Unavailable)
            assert isinstance(await store.watch("p", 1, 0.1), Events | Unavailable)
            committed = await store.commit(Transaction())
            numbers = [getattr(committed, "revision", 0), getattr(listed, "at", 0) or 0]
            for outcome in (await store.read("k"), await store.grant(1.0), await store.renew(1)):
                assert outcome is not None
                numbers += [getattr(outcome, part, 0) for part in ("revision", "lease", "created")]
                assert isinstance(outcome, Unavailable | Unknown) or (
                    getattr(outcome, "duration_s", 1.0) > 0
                )
            assert all(0 <= number <= MAX_REVISION for number in numbers)

    trio.run(ask)


@DETERMINISTIC
@given(_make_odd("approval"))
def test_any_answer_of_the_approver_is_an_outcome(data: bytes) -> None:
    request = ApprovalRequest(
        TaskKey("a", 0, 0), (ExecutorInstance("i-1", 5),), ApprovalTerms(0.2, 0.1, 5.0)
    )
    outcome = trio.run(PlatformApprover(_FixedClient(200, data), "a").ask, request)
    assert isinstance(outcome, ApprovalReply | NoAnswer)
    if isinstance(outcome, ApprovalReply):
        orjson.dumps(outcome.tickets)


class _FixedPeers:
    """Returns the same reply to every call."""

    def __init__(self, reply: Frame) -> None:
        self.reply = reply

    async def call(self, address: str, frame: Frame, timeout_s: float) -> Frame:
        await trio.lowlevel.checkpoint()
        return self.reply


@DETERMINISTIC
@given(_make_odd("news"), st.sampled_from([True, True, True, False]))
def test_any_message_of_a_peer_is_an_outcome(data: bytes, has_reply: bool) -> None:
    frame = Frame(forward_reply=ForwardReply(200, data)) if has_reply else Frame()
    reply = trio.run(call_peer, _FixedPeers(frame), "a:1", 1, {})
    if isinstance(reply, PeerReply):
        news = decode_news(reply.body)
        assert news is None or isinstance(news, News)
        decode_digest(reply.body.get("load"))
        decode_summary(reply.body.get("stalls"))


@DETERMINISTIC
@given(st.dictionaries(TEXTS, VALUES, max_size=4))
def test_any_line_of_the_log_is_written(fields: dict[str, Any]) -> None:
    lines = LogWriter(host="h1")
    lines({"message_type": "x", "value": fields})
    assert orjson.loads(lines.waiting[0])["message_type"] == "x"
