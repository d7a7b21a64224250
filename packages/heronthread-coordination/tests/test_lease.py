"""Tests of cell ownership under crashes, outages and lost responses, on a mock clock."""

from __future__ import annotations

import trio
from heronthread_coordination import CellLease, LeaseState, MemoryStore, OwnerRecord


def make_lease(store, host: str, **more) -> CellLease:
    return CellLease(store, "c", host, f"{host}:1", **more)


async def test_takeover_within_seven_seconds_of_a_crash(autojump_clock):
    store = MemoryStore()
    first, second = make_lease(store, "a"), make_lease(store, "b", delay_s=0.4)
    async with trio.open_nursery() as nursery:
        killed = trio.CancelScope()

        async def run_first():
            with killed:
                await first.run()

        nursery.start_soon(run_first)
        await trio.sleep(3)
        assert first.state is LeaseState.OWNER
        nursery.start_soon(second.run)
        await trio.sleep(5)
        killed.cancel()
        at = trio.current_time()
        while second.state is not LeaseState.OWNER:
            await trio.sleep(0.1)
        assert trio.current_time() - at < 7
        assert second.epoch == first.epoch + 1
        nursery.cancel_scope.cancel()


async def test_there_are_never_two_owners(autojump_clock):
    store = MemoryStore()
    leases = [make_lease(store, name, delay_s=0.4 * i) for i, name in enumerate("abc")]
    async with trio.open_nursery() as nursery:
        for lease in leases:
            nursery.start_soon(lease.run)
        for step in range(200):
            await trio.sleep(0.25)
            store.faults.lose_answers += step % 7 == 0
            store.faults.down = 60 <= step < 110
            owners = [lease for lease in leases if lease.state is LeaseState.OWNER]
            assert len(owners) <= 1
        nursery.cancel_scope.cancel()


async def test_store_outage_does_not_depose_the_owner(autojump_clock):
    store = MemoryStore()
    first, second = make_lease(store, "a"), make_lease(store, "b", delay_s=0.4)
    first.is_store_down_for_all = True
    async with trio.open_nursery() as nursery:
        nursery.start_soon(first.run)
        await trio.sleep(1)
        nursery.start_soon(second.run)
        store.set_down(True)
        await trio.sleep(600)
        assert first.state is LeaseState.DEGRADED
        store.set_down(False)
        await trio.sleep(10)
        assert first.state is LeaseState.OWNER
        assert first.epoch == 1
        nursery.cancel_scope.cancel()


async def test_released_lease_is_acquired_before_it_expires(autojump_clock):
    store = MemoryStore()
    first, second = make_lease(store, "a"), make_lease(store, "b")
    async with trio.open_nursery() as nursery:
        async with first:
            nursery.start_soon(first.run)
            await trio.sleep(2)
            nursery.start_soon(second.run)
            await trio.sleep(2)
        at = trio.current_time()
        while second.state is not LeaseState.OWNER:
            await trio.sleep(0.05)
        assert trio.current_time() - at < 1.5
        nursery.cancel_scope.cancel()


async def test_owner_observes_a_higher_epoch(autojump_clock):
    store = MemoryStore()
    lease = make_lease(store, "a")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lease.run)
        await trio.sleep(1)
        entry = await store.read("owner/c")
        stolen = OwnerRecord("c", "b", "b:1", 9, 0, 5.0, "x")
        await store.write("owner/c", stolen.encode(), expect=entry.revision)
        await trio.sleep(4)
        assert lease.state is LeaseState.NOT_OWNER
        assert lease.record.epoch == 9
        nursery.cancel_scope.cancel()


async def test_pending_renewal_does_not_undo_the_release(autojump_clock):
    """Guards against a renewal in flight during the release making the host owner again."""
    store = MemoryStore()
    first, second = make_lease(store, "a", duration_s=1.0), make_lease(store, "b", duration_s=1.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(first.run)
        while first.state is not LeaseState.OWNER:
            await trio.sleep(0.01)
        store.faults.delay_s = 0.1
        writes = store.writes
        while store.writes == writes:
            await trio.sleep(0.01)
        await first.release_lease()
        store.faults.delay_s = 0.0
        assert first.state is LeaseState.NOT_OWNER
        nursery.start_soon(second.run)
        with trio.fail_after(5.0):
            while second.state is not LeaseState.OWNER:
                await trio.sleep(0.05)
        await trio.sleep(3.0)
        assert first.state is LeaseState.NOT_OWNER
        assert second.state is LeaseState.OWNER
        nursery.cancel_scope.cancel()
