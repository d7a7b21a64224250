"""Relayed writes of an owner that can't reach the store itself.

Without the relay such an owner can't record executors for new jobs, which wait for the next owner.
"""

import trio
from heronthread_coordination import Unavailable, Unknown
from heronthread_dispatch.keystore import Committed, ConditionFailed, Item, Put, Transaction
from heronthread_dispatch.relay import (
    decode_outcome,
    decode_transaction,
    encode_outcome,
    encode_transaction,
)
from heronthread_emulator import EmulatedSite, check_promises

Clock = trio.testing.MockClock


async def _measure_start_without_store(site: EmulatedSite, is_silent: bool) -> float:
    """Return the time (s) from accepting a job to its start, after the owner lost the store."""
    owner = await site.wait_for_owner()
    other = next(host for name, host in site.hosts.items() if name != owner)
    await trio.sleep(2.0)
    view = site.views[owner]
    view.is_silent, view.is_cut = is_silent, not is_silent
    await trio.sleep(0.7)
    taken_at = trio.current_time()
    await other.requests.accept(site.make_job("a", work_s=1.0), 2.0)
    while not site.executors.starts():
        await trio.sleep(0.01)
    return site.executors.starts()[0].at - taken_at


async def test_owner_rejected_by_the_store_starts_new_work(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        assert await _measure_start_without_store(site, is_silent=False) < 0.3
        assert site.executors.starts()[0].token == 1
        await trio.sleep(8.0)
        assert check_promises(site.executors, {}) == []


async def test_owner_without_answers_from_the_store_starts_new_work(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        assert await _measure_start_without_store(site, is_silent=True) < 0.5
        assert site.executors.starts()[0].token == 1
        await trio.sleep(8.0)
        assert check_promises(site.executors, {}) == []


async def test_nothing_is_started_unrecorded_while_no_peer_reaches_the_store(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        owner = await site.wait_for_owner()
        host = site.hosts[owner]
        await trio.sleep(2.0)
        site.store.is_down = True
        assert host.owner is not None
        host.owner.apply_job(site.make_job("a", work_s=1.0))
        await trio.sleep(4.0)
        assert site.executors.starts() == []
        site.store.is_down = False


def test_a_transaction_round_trips() -> None:
    transaction = Transaction((("cell/0/owner", 7),), (Put("a", b"\x00\xff", 3),), ("b",))
    assert decode_transaction(encode_transaction(transaction)) == transaction


def test_outcomes_round_trip() -> None:
    """A mismatch carries only revisions, as writers need no values."""
    assert decode_outcome(encode_outcome(Committed(9))) == Committed(9)
    mismatch = ConditionFailed({"a": Item("a", b"value", 5)})
    assert decode_outcome(encode_outcome(mismatch)) == ConditionFailed({"a": Item("a", b"", 5)})
    assert decode_outcome(encode_outcome(Unavailable("busy"))) == Unavailable("busy")
    assert decode_outcome(encode_outcome(Unknown("lost"))) == Unknown("lost")
