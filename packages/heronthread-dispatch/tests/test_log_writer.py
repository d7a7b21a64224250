"""Log lines are written whole or not at all, and dropped lines are counted exactly."""

import json
import multiprocessing
import os
import threading
import time
from typing import Any

import pytest
import trio
from heronthread_dispatch.log_writer import (
    MAX_BUFFERED_LINES,
    RESERVED_FOR_REQUESTS,
    WHOLE_BYTES,
    LogWriter,
)

PROCESSES = 4
LINES_EACH = 25_000


async def test_blocked_output_delays_nothing_and_losses_are_counted() -> None:
    """With no reader, lines are buffered up to a limit, then dropped and counted."""
    reader, writer = os.pipe()
    lines = LogWriter(descriptor=writer, host="h1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lines.run)
        for number in range(3 * MAX_BUFFERED_LINES):
            lines({"message_type": "x", "number": number, "text": "y" * 100})
            if number % 500 == 0:
                await trio.sleep(0)
        await trio.sleep(0.3)
        assert lines.dropped.total() > 0
        assert len(lines.waiting) <= MAX_BUFFERED_LINES
        nursery.cancel_scope.cancel()
    began = time.monotonic()
    lines.flush()
    assert time.monotonic() - began < 5
    os.close(reader)
    os.close(writer)


async def test_lines_name_their_host() -> None:
    reader, writer = os.pipe()
    lines = LogWriter(descriptor=writer, host="h1")
    lines({"message_type": "x", "task_uuid": "u", "task_level": [1]})
    lines.flush()
    assert os.read(reader, 1000) == b'{"message_type":"x","host":"h1"}\n'
    os.close(reader)
    os.close(writer)


def _write_many(descriptor: int, host: str, counts: Any) -> None:
    """Write a burst of lines of varying length, then end the process."""

    async def write() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lines.run)
            for number in range(LINES_EACH):
                text = "y" * (number * 37 % 900)
                lines({"message_type": "x", "number": number, "text": text})
                if number % 50 == 0:
                    await trio.sleep(0.002)
            nursery.cancel_scope.cancel()

    lines = LogWriter(descriptor=descriptor, host=host)
    trio.run(write)
    lines.flush()
    left = b"".join([lines._unwritten_bytes, *lines.waiting]).count(b'"message_type":"x"')
    counts.put((host, lines.dropped.total(), left))


def test_lines_of_several_processes_on_one_slow_pipe_are_whole() -> None:
    """Writes larger than PIPE_BUF from several processes must not interleave."""
    reader, writer = os.pipe()
    received = bytearray()

    def read_slowly() -> None:
        while chunk := os.read(reader, 8_192):
            received.extend(chunk)
            time.sleep(0.0005)

    context = multiprocessing.get_context("fork")
    counts = context.SimpleQueue()
    processes = [
        context.Process(target=_write_many, args=(writer, f"h{number}", counts))
        for number in range(PROCESSES)
    ]
    for process in processes:
        process.start()
    os.close(writer)
    reading = threading.Thread(target=read_slowly)
    reading.start()
    for process in processes:
        process.join()
    reading.join()
    os.close(reader)
    lost = {host: dropped + left for host, dropped, left in (counts.get() for _ in processes)}
    messages = [json.loads(line) for line in bytes(received).splitlines()]
    for host, missing in lost.items():
        written = sum(m["host"] == host and m["message_type"] == "x" for m in messages)
        told = sum(m["lines"] for m in messages if m["host"] == host and "lines" in m)
        assert written + missing == LINES_EACH
        assert told <= missing


def _fill(lines: LogWriter, kind: str, count: int) -> None:
    for number in range(count):
        lines({"message_type": kind, "number": number})


def test_lines_of_requests_are_dropped_last_and_drops_are_reported() -> None:
    lines = LogWriter()
    _fill(lines, "x", MAX_BUFFERED_LINES)
    assert lines.dropped == {"x": RESERVED_FOR_REQUESTS}
    _fill(lines, "job.ended", 10)
    assert lines.dropped == {"x": RESERVED_FOR_REQUESTS}
    told = json.loads(lines.waiting[MAX_BUFFERED_LINES - RESERVED_FOR_REQUESTS])
    assert (told["message_type"], told["lines"]) == ("log.dropped", RESERVED_FOR_REQUESTS)
    assert told["kinds"] == {"x": RESERVED_FOR_REQUESTS}
    _fill(lines, "job.ended", MAX_BUFFERED_LINES)
    assert lines.dropped["job.ended"] == 10 + MAX_BUFFERED_LINES - RESERVED_FOR_REQUESTS + 1
    assert len(lines.waiting) == MAX_BUFFERED_LINES


@pytest.mark.parametrize(
    "fields",
    [
        {"text": "y" * 9_000},
        {"rows": [{"executor": f"e{n}", "more": "z" * 40} for n in range(200)]},
        {"nested": {f"k{n}": "v" * 30 for n in range(300)}},
        {f"field{n}": "v" * 150 for n in range(60)},
        {"rows": ["w" * 900 for _ in range(30)]},
    ],
)
def test_a_long_line_is_shortened_by_field(fields: dict[str, Any]) -> None:
    lines = LogWriter(host="h1")
    lines({"message_type": "x", "timestamp": 1.5, "job": "ab", **fields})
    line = lines.waiting[0]
    assert len(line) <= WHOLE_BYTES
    message = json.loads(line)
    assert (message["message_type"], message["job"], message["host"]) == ("x", "ab", "h1")
    assert message["cut"]


@pytest.mark.parametrize(
    "value",
    [2**64, -(2**70), "a\ud800", {"b": "\udfff"}, {"a\ud800": 1}, {3: 10**400}, ["\ud800"] * 9000],
)
def test_line_with_any_value_is_written(value: object) -> None:
    lines = LogWriter(host="h1")
    lines({"message_type": "x", "job": "j", "value": value, "executor": "e" * 9000})
    (line,) = lines.waiting
    assert len(line) <= WHOLE_BYTES
    assert json.loads(line)["message_type"] == "x"


def test_line_of_nested_values_is_written() -> None:
    value: list[object] = []
    for _ in range(3000):
        value = [value]
    lines = LogWriter(host="h1")
    lines({"message_type": "x", "value": value})
    assert json.loads(lines.waiting[0])["message_type"] == "x"
