"""The Prometheus text format of one host's metrics."""

import re

import pytest
from heronthread_coordination import Measure
from heronthread_dispatch.statistics import Statistics

LINE = re.compile(r'\w+(\{\w+="([^"\\\n]|\\.)*"(,\w+="([^"\\\n]|\\.)*")*\})? \S+')


@pytest.mark.parametrize(
    "name", ['a"b', "a\nb", "a\\", 'a"} 1\nforged{x="', "a\ud800", "caf\u00e9"]
)
def test_any_name_is_a_label(name: str) -> None:
    statistics = Statistics()
    statistics.count("starts", name)
    statistics.record(name, name, Measure.WAITING, 0.1)
    text = statistics.render({"hosts": 1.0}).encode().decode()
    assert all(LINE.fullmatch(line) for line in text.splitlines())
    assert len(text.splitlines()) == 6
