"""Leases, tickets and clocks across a suspension of the machine."""

import pytest
import trio
from heronthread_dispatch import clock
from heronthread_dispatch.model import TaskKey
from heronthread_emulator import EmulatedSite, check_promises

Clock = trio.testing.MockClock


@pytest.fixture
def suspend(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Return a list of suspended times (s), by whose sum the boot-time clock is ahead."""
    spans: list[float] = []
    monkeypatch.setattr(clock, "suspended_s", lambda: sum(spans))
    return spans


async def test_suspended_time_counts(autojump_clock: Clock, suspend: list[float]) -> None:
    began = clock.boot_time()
    await trio.sleep(1.0)
    suspend.append(7.0)
    assert clock.boot_time() - began == pytest.approx(8.0)


def test_suspended_time_is_read_from_the_machine() -> None:
    assert clock.suspended_s() > -0.001


async def test_a_lease_expires_during_a_suspension(
    autojump_clock: Clock, suspend: list[float]
) -> None:
    """After waking, the host sends no orders until it holds a lease again."""
    async with EmulatedSite.open(hosts=1) as site:
        await site.wait_for_owner()
        host = site.hosts["h0"]
        assert host.host_lease.is_valid
        suspend.append(5.0)
        assert not host.host_lease.is_valid
        starts = len(site.executors.starts())
        await host.requests.accept(site.make_job("a", work_s=1.0), 2.0)
        assert len(site.executors.starts()) == starts
        await trio.sleep(20.0)
        assert len(site.executors.starts(TaskKey("a", 0, 0))) == 1
        assert check_promises(site.executors, {}) == []


async def test_a_ticket_expires_during_a_suspension(
    autojump_clock: Clock, suspend: list[float]
) -> None:
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        await site.wait_for_owner()
        site.approver.healthy = {"e0", "e1"}
        site.executors.approver = site.approver
        record = site.make_job("a", queue="approved", work_s=9.0)
        await site.hosts["h0"].requests.accept(record, 2.0)
        await trio.sleep(1.0)
        owner = site.hosts["h0"].owner
        assert owner is not None
        step = TaskKey("a", 0, 0)
        instances = [place.executor.instance for place in site.executors.by_id.values()]
        known = [
            instance for instance in instances if owner.cell.approvals.find_ticket(step, instance)
        ]
        assert known
        suspend.append(60.0)
        assert not any(owner.cell.approvals.find_ticket(step, instance) for instance in known)
