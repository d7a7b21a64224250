"""Fuzz tests: no input of callers, operators, executors or the store raises."""

import json
from typing import Any

import pytest
import trio
from heronthread_dispatch.entries import InvalidEntry
from heronthread_dispatch.executor_link import (
    Acknowledged,
    HoldOrder,
    InstanceEnded,
    NoAnswer,
    Refused,
    Report,
    Unhealthy,
)
from heronthread_dispatch.http_client import HttpClient, Reply
from heronthread_dispatch.keystore import (
    Events,
    HistoryCompacted,
    Item,
    Listing,
    Missing,
    Transaction,
)
from heronthread_dispatch.model import DesiredState, Executor, JobSpec, Queue, Resources
from heronthread_dispatch.record import JobRecord, decode_job
from heronthread_platform.configuration import ConfigurationParser
from heronthread_platform.entries import EntryParser
from heronthread_platform.executors import PlatformExecutorLink
from heronthread_platform.job_body import JobBody, parse_job_body
from heronthread_platform.store import PlatformStore
from hypothesis import given, settings
from hypothesis import strategies as st

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**40), 2**40) | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=8,
)
STEP_FIELDS = (
    *("count", "cpu", "mem-mb", "gpus", "after", "gang", "requirements", "affinity"),
    *("long-running", "target-ms", "fills", "may-miss", "estimated-ms"),
)
STEP = st.fixed_dictionaries({}, optional={name: VALUES for name in STEP_FIELDS})
TIMES = {name: VALUES for name in ("repeat-count", "start-at-ms", "interval-ms")}
JOB = st.fixed_dictionaries(
    {}, optional={"spec": VALUES, "steps": st.lists(STEP) | VALUES, **TIMES}
)
CONFIG = st.fixed_dictionaries(
    {},
    optional={"version": VALUES, "routes": VALUES, "tenants": VALUES, "limits": VALUES},
)
ENTRY = st.fixed_dictionaries(
    {},
    optional={
        name: VALUES
        for name in ("service", "address", "zone", "state", "labels", "remaining-ms", "capacity")
    },
)
DETERMINISTIC = settings(derandomize=True, max_examples=150, deadline=None)


class _FixedClient(HttpClient):
    """Returns the same reply to every request."""

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__()
        self.reply = Reply(status, body)

    async def call(self, *_: Any, **__: Any) -> Reply:
        return self.reply


def _encode(value: object) -> bytes:
    return json.dumps(value).encode()


@DETERMINISTIC
@given(JOB | VALUES)
def test_any_json_body_is_parsed_or_rejected(value: object) -> None:
    found = parse_job_body(_encode(value))
    assert isinstance(found, str | JobBody)


LARGE = (2**53 + 1, 2**64 - 1, 1e30, -1e300, 1e300, "inf", "-inf", "nan", "1" + "0" * 4000)
QUEUE = {"name": "q", "host": "h", "path-prefix": "/", "service": "p"}
ADVICE = ("decision-ms", "per-item-ms", "validity-ms")


@pytest.mark.parametrize("value", LARGE)
def test_accepted_job_of_large_numbers_is_read_back(value: object) -> None:
    """What is accepted from callers and operators stays within the bounds of stored jobs."""
    bodies = [{"steps": [{}], "repeat-count": 2, name: value} for name in TIMES]
    bodies += [{"steps": [{name: value}]} for name in (*STEP_FIELDS, "anti-affinity")]
    jobs = [parse_job_body(_encode(body)) for body in bodies]
    names = ("priority", "max-attempts", "stretch", "target-latency-ms")
    routes = [QUEUE, *({**QUEUE, name: value} for name in names)]
    routes += [{**QUEUE, "advice": {name: value}} for name in ADVICE]
    states = [ConfigurationParser().parse(_encode({"version": 1, "routes": [r]})) for r in routes]
    queues: list[Queue] = [queue for state in states if state is not None for queue in state.queues]
    assert queues
    for job in [parse_job_body(b'{"steps": [{}]}'), *jobs]:
        for queue in queues if isinstance(job, JobBody) else ():
            spec = JobSpec("a", queue, "t", job.payload, job.steps, 1.0, job.schedule)
            assert isinstance(decode_job(JobRecord(spec).encode()), JobRecord)


@DETERMINISTIC
@given(st.binary(max_size=40))
def test_any_bytes_are_parsed_or_rejected(data: bytes) -> None:
    assert isinstance(parse_job_body(data), str | JobBody)
    assert ConfigurationParser().parse(data) is None or isinstance(
        ConfigurationParser().parse(data), DesiredState
    )
    assert isinstance(EntryParser().parse("i-1", data), InvalidEntry)


@DETERMINISTIC
@given(CONFIG | VALUES)
def test_any_configuration_is_parsed_or_rejected(value: object) -> None:
    found = ConfigurationParser().parse(_encode(value))
    assert found is None or isinstance(found, DesiredState)


@DETERMINISTIC
@given(ENTRY | VALUES)
def test_any_entry_is_parsed_or_rejected(value: object) -> None:
    found = EntryParser().parse("i-1", _encode(value))
    assert isinstance(found, Executor | InvalidEntry)


@DETERMINISTIC
@given(st.sampled_from([200, 400, 404, 409, 410, 412, 421, 429, 500, 503]), VALUES)
def test_any_executor_response_has_an_outcome(status: int, value: object) -> None:
    link = PlatformExecutorLink(_FixedClient(status, _encode(value)))
    executor = Executor("i-1", "a", "p", "", "", (), Resources())
    outcome = trio.run(link.hold, executor, HoldOrder(1, 0, None, 0.0))
    assert isinstance(
        outcome, Report | Refused | Unhealthy | InstanceEnded | NoAnswer | Acknowledged
    )


@DETERMINISTIC
@given(st.sampled_from([200, 400, 404, 410, 412, 429, 500, 503]), VALUES)
def test_any_store_response_has_an_outcome(status: int, value: object) -> None:
    store = PlatformStore(_FixedClient(status, _encode(value)), "a")

    async def ask() -> None:
        read = await store.read("k")
        assert isinstance(read, Item | Missing) or read.reason
        listed = await store.list("p")
        assert isinstance(listed, Listing) or listed.reason
        watched = await store.watch("p", 1, 0.1)
        assert isinstance(watched, Events | HistoryCompacted) or watched.reason
        assert await store.commit(Transaction()) is not None
        assert await store.grant(1.0) is not None
        assert await store.renew(1) is not None

    trio.run(ask)
