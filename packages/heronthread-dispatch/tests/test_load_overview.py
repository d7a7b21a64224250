"""The load overview: sections, bounds at the design size, and a job's place in the order."""

import json

import pytest
import trio
from heronthread_dispatch.admission import REJECTED_JOBS
from heronthread_dispatch.fair_shares import MAX_CUSTOMERS, Demand
from heronthread_dispatch.load_overview import MAX_ROWS, describe_load, explain_order, measure_load
from heronthread_dispatch.load_report import LoadReport
from heronthread_dispatch.model import Resources
from heronthread_dispatch.owned_cell import OwnedCell
from heronthread_dispatch.policy import Policy
from heronthread_dispatch.record import JobRecord
from heronthread_emulator import EmulatedSite
from heronthread_emulator.site import make_state
from trio.testing import MockClock

SECTIONS = (
    "backlog",
    "customers",
    "waiting customers",
    "speeds",
    "lengths",
    "reserved",
    "waits",
    "rejections",
)
REPLY_BYTES = 20_000
"""Of one section list of 16 rows each; a frame of a peer may have 8 MB."""


def _find_cell(site: EmulatedSite) -> OwnedCell:
    owner = next(host.owner for host in site.hosts.values() if host.owner is not None)
    return owner.cell


def _make_job(
    site: EmulatedSite,
    name: str,
    tenant: str,
    count: int,
    queue: str = "ordinary",
    work_s: float = 600.0,
) -> JobRecord:
    return site.make_job(name, queue=queue, tenant=tenant, count=count, work_s=work_s)


async def _fill(site: EmulatedSite, seconds: float = 8.0) -> OwnedCell:
    """Let the first customer fill the pool, then both wait; return the owner's cell."""
    name = await site.wait_for_owner()
    host = site.hosts[name]
    await host.requests.accept(_make_job(site, "run", "first", 16), 2.0)
    await trio.sleep(seconds)
    for tenant in ("first", "second"):
        for queue, count in (("ordinary", 4), ("batch", 2)):
            job = _make_job(site, f"{tenant}-{queue}", tenant, count, queue)
            await host.requests.accept(job, 2.0)
    await trio.sleep(1.0)
    return _find_cell(site)


async def test_backlog_is_listed_by_pool_and_priority(autojump_clock: MockClock) -> None:
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        cell = await _fill(site)
        load = describe_load(cell, make_state())
        assert tuple(load) == SECTIONS
        ordinary, batch = load["backlog"]
        assert (ordinary["pool"], ordinary["priority"], batch["priority"]) == ("pool", 1, 2)
        assert (ordinary["waiting jobs"], ordinary["waiting tasks"]) == (2, 8)
        assert ordinary["waiting accelerators"] == 8
        assert 0.5 <= ordinary["longest wait s"] <= 1.5
        assert {row["tenant"] for row in load["waiting customers"]} == {"first", "second"}


async def test_customer_above_its_share_is_named_with_its_use(autojump_clock: MockClock) -> None:
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        cell = await _fill(site)
        rows = describe_load(cell, make_state())["customers"]
        assert [(row["tenant"], row["rank"]) for row in rows] == [("first", 1), ("second", 0)]
        assert rows[0]["share"] == 1.0
        assert (rows[0]["weight"], rows[0]["fair share"]) == (16.0, 0.5)
        text = site.hosts["h0"].render_statistics()
        assert "heronthread_customers_above_share 1\n" in text
        assert "heronthread_largest_customer_share 1\n" in text
        assert 'heronthread_customer_shares_total{kind="above"} 1\n' in text
        assert "heronthread_tasks_waiting 12\n" in text


async def test_place_in_the_order_names_the_share_and_by_how_much_it_is_exceeded(
    autojump_clock: MockClock,
) -> None:
    """Guards against decisions that a rank changed without an operator being able to see it."""
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        cell = await _fill(site)
        large, small = cell.jobs["first-ordinary"], cell.jobs["second-ordinary"]
        assert explain_order(cell, large, make_state()) == (
            "priority 1, can still be on time; first is above its fair share of pool and comes "
            "after customers below theirs: 100% of the use, fair is 50% (2.0 times)"
        )
        assert explain_order(cell, small, make_state()) == "priority 1, can still be on time"
        assert explain_order(cell, cell.jobs["run"], make_state()) == ""


async def test_the_small_customers_job_starts_first(autojump_clock: MockClock) -> None:
    """Both wait, the large customer's job for longer; the room that frees goes to the other one."""
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        host = site.hosts[await site.wait_for_owner()]
        await host.requests.accept(_make_job(site, "run", "first", 8, work_s=8.0), 2.0)
        await trio.sleep(6.0)
        for name, tenant in (("a", "first"), ("b", "second")):
            await host.requests.accept(_make_job(site, name, tenant, 8), 2.0)
            await trio.sleep(0.3)
        await trio.sleep(4.0)
        cell = _find_cell(site)
        assert cell.jobs["b"].has_attempts
        assert not cell.jobs["a"].has_attempts


async def test_nothing_is_charged_or_ranked_with_the_switch_off(autojump_clock: MockClock) -> None:
    async with EmulatedSite.open(hosts=1, executors=2, policy=Policy(fair_shares=False)) as site:
        cell = await _fill(site)
        assert describe_load(cell, make_state())["customers"] == []
        assert measure_load(cell)["customers_above_share"] == 0
        order = explain_order(cell, cell.jobs["first-ordinary"], make_state())
        assert order == "priority 1, can still be on time"


async def test_sections_of_other_parts_are_their_own_rows(autojump_clock: MockClock) -> None:
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await site.wait_for_owner()
        cell = _find_cell(site)
        assert describe_load(cell, make_state())["reserved"] == []
        cell.load_sources.reserved = lambda now: [{"pool": "pool", "reserved": 8}] * 40
        cell.load_sources.rejections = lambda now: [{"reason": "wait", "count": 2}]
        load = describe_load(cell, make_state())
        assert len(load["reserved"]) == MAX_ROWS
        assert load["rejections"] == [{"reason": "wait", "count": 2}]


async def test_operators_see_expected_waits_and_rejections(autojump_clock: MockClock) -> None:
    """Guards against rows that stay empty although the owner reports load and counts rejections."""
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        cell = await _fill(site)
        cell.parts.statistics.count(REJECTED_JOBS, "too_late")
        load = describe_load(cell, make_state())
        assert {row["priority"] for row in load["waits"]} >= {1}
        assert all(row["pool"] == "pool" and row["digest age s"] <= 2.0 for row in load["waits"])
        assert load["rejections"] == [{"reason": "too_late", "rejected here": 1}]


async def test_overview_of_the_design_size_is_small(autojump_clock: MockClock) -> None:
    """Guards against a reply that grows with the number of customers."""
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        host = site.hosts[await site.wait_for_owner()]
        cell = _find_cell(site)
        names = [f"customer-{number:04d}" for number in range(MAX_CUSTOMERS)]
        now = trio.current_time()
        for number, name in enumerate(names):
            held = Resources(0, 0, 1 + number)
            cell.learned.shares.charge("pool", name, held, Resources(1, 1, 1_000), 10.0, now)
        weights = dict.fromkeys(names, 1.0)
        cell.learned.shares.assess("pool", Demand(weights, frozenset(names)), now)
        for number in range(100):
            job = _make_job(site, f"j{number}", names[number], 9)
            cell.apply_job(job)
        load = describe_load(cell, host.configuration.state)
        assert all(len(rows) <= MAX_ROWS for rows in load.values())
        assert len(json.dumps(load)) < REPLY_BYTES
        assert load["customers"][0]["tenant"] == names[-1]


@pytest.mark.parametrize("is_reported", [True, False])
async def test_new_owner_starts_from_the_reported_use(
    is_reported: bool, autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An owner is killed: only the reported use tells the next one who is above its share."""
    if not is_reported:
        monkeypatch.setattr(LoadReport, "restore_shares", lambda report: None)
    async with EmulatedSite.open(hosts=2, executors=2) as site:
        cell = await _fill(site, 20.0)
        before = cell.learned.shares.find_standing("pool", "first", trio.current_time())
        killed = await site.wait_for_owner()
        site.kill_host(killed)
        while site.owner_name() in (None, killed):
            await trio.sleep(0.05)
        host = site.hosts[str(site.owner_name())]
        while host.owner is None or not host.owner.is_settled:
            await trio.sleep(0.05)
        await trio.sleep(1.0)
        shares, now = host.owner.cell.learned.shares, trio.current_time()
        after = shares.find_standing("pool", "first", now)
        assert before.rank == 1
        assert after.rank == int(is_reported)
        assert (after.use > before.use / 2) is is_reported
