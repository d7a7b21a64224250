"""The stored record of fences."""

import pytest
from heronthread_dispatch.fences import Fence, FenceRecord, decode_fences, encode_fences
from heronthread_dispatch.keystore import Item
from heronthread_dispatch.model import ExecutorInstance


def test_encoded_fences_are_decoded_unchanged() -> None:
    fences = {
        "e0": Fence(ExecutorInstance("e0", 17), 10.6),
        "e1": Fence(ExecutorInstance("e1", 18), 0.0, 3.4),
    }
    record = FenceRecord(9, 40, fences, 44)
    assert decode_fences(Item("k", encode_fences(record), 44)) == record


def test_remaining_times_are_rounded_up() -> None:
    record = FenceRecord(9, 40, {"e0": Fence(ExecutorInstance("e0", 17), 10.51, 0.01)})
    fence = decode_fences(Item("k", encode_fences(record), 44)).fences["e0"]
    assert (fence.lease_left_s, fence.orders_left_s) == (10.6, 0.1)


@pytest.mark.parametrize(
    "data",
    [b"", b"{}", b"[1, 2]", b'[1, 2, {"e0": [1]}]', b'[1, 2, {"e0": [1, -1, null]}]'],
)
def test_unreadable_record_counts_as_none(data: bytes) -> None:
    assert decode_fences(Item("k", data, 44)) == FenceRecord()


def test_absent_record_has_no_revision() -> None:
    assert decode_fences(None).revision == 0
