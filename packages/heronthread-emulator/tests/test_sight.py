import io

from heronthread_cli.trace import trace_request
from heronthread_emulator.sight import Sight, read_lines


def test_lines_are_read_by_trace(tmp_path):
    path = tmp_path / "a.log"
    with path.open("w") as output:
        sight = Sight("executors", output)
        sight.note("executor.start", 5.0, job="aa", run=1)
        sight.note("executor.done", 6.0, job="aa", run=1)
        output.write('{"half')
    trace = trace_request("aa", [path.read_text().splitlines()])
    assert [(line.at, line.host, line.event) for line in trace.lines] == [
        (0.0, "executors", "executor.start"),
        (1.0, "executors", "executor.done"),
    ]
    assert [line["run"] for line in read_lines(path)] == [1, 1]


def test_missing_log_has_no_lines(tmp_path):
    assert list(read_lines(tmp_path / "none.log")) == []


def test_line_has_its_time():
    output = io.StringIO()
    Sight("a", output).note("b")
    assert '"timestamp": ' in output.getvalue()
