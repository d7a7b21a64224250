"""Contention for the ownership of cells, and the tasks that run while a cell is owned."""

from __future__ import annotations

import trio
from heronthread_coordination import (
    CellLease,
    LeaseState,
    Ledger,
    Unavailable,
    is_store_down_for_all,
    rank,
)

from .host_state import HostState
from .owned_cell import OwnerParts
from .owner import CellOwner
from .worker_link import LinkTimes

DELAY_PER_RANK_S = 0.4
LEASE_CHECK_PERIOD_S = 0.2
LEDGER_RETRY_S = 0.5
MAX_STATUS_AGE_S = 3.5


async def run_cell(host: HostState, cell: str) -> None:
    """Contend for the lease of a cell, and run its owner while the lease is held."""
    lease = CellLease(
        host.store,
        cell,
        host.name,
        host.settings.peer_address,
        duration_s=host.settings.times.owner_lease_s,
    )
    host.leases[cell] = lease
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lease.run)
        nursery.start_soon(_update_lease_inputs, host, lease)
        while True:
            while lease.state is LeaseState.NOT_OWNER:
                await _wait_changed(lease)
            host.update_owner(cell, lease.epoch, host.name, host.settings.peer_address)
            await _run_owner(host, cell, lease)
            host.owners.pop(cell, None)


async def _wait_changed(lease: CellLease) -> None:
    with trio.move_on_after(LEASE_CHECK_PERIOD_S):
        await lease.changed.wait()


async def _update_lease_inputs(host: HostState, lease: CellLease) -> None:
    """Update the lease with this host's rank and with the peers' view of the store."""
    while True:
        lease.is_store_down_for_all = _is_store_down_for_all(host, lease)
        names = [member.name for member in host.membership.usable()]
        place = rank(host.name, lease.cell, names)
        lease.delay_s = DELAY_PER_RANK_S * place
        lease.is_contender = place < host.settings.contenders and not host.drain.is_draining
        await trio.sleep(LEASE_CHECK_PERIOD_S)


def _is_store_down_for_all(host: HostState, lease: CellLease) -> bool:
    if not lease.has_store_failed:
        return False
    now = trio.current_time()
    others = [m.name for m in host.membership.members.values() if m.name != host.name]
    known = [host.peer_status[n] for n in others if n in host.peer_status]
    reports = [status.store_ok for status in known if now - status.at <= MAX_STATUS_AGE_S]
    return is_store_down_for_all(reports, has_peers=bool(others))


async def _run_owner(host: HostState, cell: str, lease: CellLease) -> None:
    epoch = lease.epoch
    assert host.state is not None
    times = host.settings.times
    host.log("cell.owned", cell=cell, epoch=epoch)
    ledger = Ledger(
        host.store,
        cell,
        epoch,
        retention_s=host.state.retention_s,
        commit_interval_s=times.commit_interval_s,
    )
    async with ledger, trio.open_nursery() as nursery:
        nursery.start_soon(_stop_when_lost, lease, epoch, nursery.cancel_scope)
        while isinstance(await ledger.open(), Unavailable):
            await trio.sleep(LEDGER_RETRY_S)
        if ledger.deposed is None:
            parts = OwnerParts(
                host.parts.workers,
                ledger,
                lease,
                host.histograms,
                host.parts.clock,
                host.name,
                LinkTimes(times.worker_poll_s, times.task_lease_s),
            )
            owner = CellOwner(host.state, host.cells[cell], parts)
            owner.leaving |= host.leaving_workers
            host.owners[cell] = owner
            await owner.run()
        lease.depose()
        nursery.cancel_scope.cancel()
    host.log("cell.left", cell=cell, epoch=epoch)


async def _stop_when_lost(lease: CellLease, epoch: int, scope: trio.CancelScope) -> None:
    """Cancel an owner that was deposed; one whose lease has expired is only paused."""
    while lease.is_held and lease.epoch == epoch:
        await _wait_changed(lease)
    scope.cancel()
