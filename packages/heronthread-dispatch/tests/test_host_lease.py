"""The numbers of terms, and what a new owner learns with its own."""

import pytest
import trio
from heronthread_dispatch.fences import FenceRecord, encode_fences, fences_key
from heronthread_dispatch.host_lease import HostLease, HostRecord, Term
from heronthread_dispatch.keystore import Put, Transaction
from heronthread_emulator import EmulatedStore, StoreView, captured_events

Clock = trio.testing.MockClock
COUNTER_KEY = "term/0"


async def _take(view: StoreView, nursery: trio.Nursery, name: str) -> tuple[Term, HostLease]:
    lease = HostLease(view, HostRecord(name, name))
    nursery.start_soon(lease.run)
    while lease.lease is None:
        await trio.sleep(0.01)
    term = await lease.try_acquire()
    assert term is not None
    return term, lease


async def _raise_counter(view: StoreView, term: Term, number: int) -> None:
    """Take a token from the counter, as the owner does for a new instance of an executor."""
    record = FenceRecord(number, term.guard[1])
    puts = (
        Put(COUNTER_KEY, str(number).encode()),
        Put(fences_key(COUNTER_KEY), encode_fences(record)),
    )
    await view.commit(Transaction((term.guard,), puts))


async def test_term_is_above_every_token_of_the_one_before(
    autojump_clock: Clock, nursery: trio.Nursery
) -> None:
    """The term before is still known by the revision at which it began."""
    store = EmulatedStore()
    nursery.start_soon(store.run)
    view = StoreView(store, nursery)
    first, lease = await _take(view, nursery, "h0")
    await _raise_counter(view, first, 5)
    await lease.release()
    second, lease = await _take(view, nursery, "h1")
    assert (second.number, second.previous_revision) == (6, first.guard[1])
    assert second.fence_record.number == 5
    await lease.release()
    third, _ = await _take(view, nursery, "h2")
    assert (third.number, third.previous_revision) == (7, second.guard[1])


@pytest.mark.parametrize(
    "value", [b"", b"x", b"-1", b"1.5", b"\xff", b"9" * 5000, b"9" * 30, b"9007199254740992"]
)
async def test_malformed_counter_is_replaced_by_its_revision(
    autojump_clock: Clock, nursery: trio.Nursery, value: bytes
) -> None:
    """Each number took a revision, so no token is given again."""
    store = EmulatedStore()
    nursery.start_soon(store.run)
    view = StoreView(store, nursery)
    first, lease = await _take(view, nursery, "h0")
    await _raise_counter(view, first, first.number + 1)
    await lease.release()
    store.put(COUNTER_KEY, value)
    odd = store.items[COUNTER_KEY]
    with captured_events() as events:
        second, _ = await _take(view, nursery, "h1")
    assert second.number == odd.revision + 1 > first.number + 1
    assert second.previous_revision == odd.revision
    told = [event for event in events if event["message_type"] == "record.unreadable"]
    assert [event["key"] for event in told] == [COUNTER_KEY]
    assert all(len(event["reason"]) <= 100 for event in told)
