"""Generated thrift code matches its definition, and every operation is used."""

import re
from pathlib import Path

import heronthread_dispatch
import pytest
from heronthread_dispatch.wire import ttypes
from heronthread_dispatch.wire.ttypes import Changes, Operation
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.transport.TTransport import TMemoryBuffer

SOURCE = Path(heronthread_dispatch.__file__).parent
DESCRIPTION = (SOURCE / "wire.thrift").read_text()
STRUCTS = dict(re.findall(r"struct (\w+) \{\n(.*?)\}", DESCRIPTION, re.DOTALL))
FIELD = re.compile(r"^  (\d+): (?:optional )?\S+ (\w+)[,;]?$", re.MULTILINE)
ENTRY = re.compile(r"^  (\w+) = (\d+)[,;]?$", re.MULTILINE)
PRODUCT = SOURCE.parents[2]


@pytest.mark.parametrize("name", STRUCTS)
def test_generated_fields_match_the_definition(name: str) -> None:
    described = [(int(number), field) for number, field in FIELD.findall(STRUCTS[name])]
    message = getattr(ttypes, name)
    generated = [(spec[0], spec[2]) for spec in message.thrift_spec if spec]
    assert generated == described
    assert message.__slots__ == tuple(field for _, field in described)


def test_generated_operations_match_the_definition() -> None:
    described = {name: int(number) for name, number in ENTRY.findall(DESCRIPTION)}
    assert described == Operation._NAMES_TO_VALUES
    assert {number: name for name, number in described.items()} == Operation._VALUES_TO_NAMES


@pytest.mark.parametrize("name", Operation._NAMES_TO_VALUES)
def test_every_operation_is_used_by_the_product(name: str) -> None:
    texts = [p.read_text() for p in PRODUCT.glob("*/src/**/*.py") if p.parent.name != "wire"]
    assert sum(len(re.findall(rf"\bOperation\.{name}\b", text)) for text in texts) >= 1


def test_a_change_round_trips() -> None:
    buffer = TMemoryBuffer()
    Changes(b"what changed").write(TCompactProtocol(buffer))
    read = Changes()
    read.read(TCompactProtocol(TMemoryBuffer(buffer.getvalue())))
    assert read == Changes(delta=b"what changed")
