"""Invalid directory entries: no new work for their executors, and nothing lost or run twice."""

import json

import trio
from heronthread_dispatch.executors_in_use import USED_KEY
from heronthread_dispatch.intake import Taken
from heronthread_dispatch.model import TaskKey
from heronthread_dispatch.record import JobStatus
from heronthread_emulator import EmulatedSite, captured_events, check_foreign, check_promises
from heronthread_emulator.site import ENTRIES

Clock = trio.testing.MockClock
OTHER_STATE = b'{"state": "paused"}'


def _check(site: EmulatedSite) -> None:
    assert check_promises(site.executors, {}) == []
    assert check_foreign(site.executors, site.foreign, site.trouble) == []


async def _submit(site: EmulatedSite, job: str, **more: object) -> object:
    host = next(iter(site.hosts.values()))
    return await host.requests.accept(site.make_job(job, **more), 2.0)  # type: ignore[arg-type]


def _get_owner(site: EmulatedSite):
    owner = site.hosts[site.owner_name()].owner
    assert owner is not None
    return owner


async def test_an_executor_gets_no_new_work_while_its_entry_is_invalid(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=2, executors=1) as site:
        await site.wait_for_owner()
        await _submit(site, "before", work_s=6.0)
        await trio.sleep(1.0)
        span = site.write_foreign("e0", OTHER_STATE)
        await trio.sleep(1.0)
        await _submit(site, "after", work_s=1.0)
        await trio.sleep(10.0)
        assert await site.find_status("before") is JobStatus.SUCCEEDED
        assert not site.executors.starts(TaskKey("after", 0, 0))
        site.write_back(span)
        await trio.sleep(3.0)
        assert await site.find_status("after") is JobStatus.SUCCEEDED
        assert len(site.executors.starts(TaskKey("before", 0, 0))) == 1
        _check(site)


async def test_a_new_owner_that_reads_only_the_invalid_entry_runs_nothing_twice(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=3, executors=2) as site:
        name = await site.wait_for_owner()
        await _submit(site, "a", count=16, work_s=9.0)
        await trio.sleep(1.0)
        site.write_foreign("e0", b"\xff")
        site.kill_host(name)
        await trio.sleep(40.0)
        assert await site.find_status("a") is JobStatus.SUCCEEDED
        _check(site)


async def test_an_invalid_entry_is_logged_once_and_again_when_it_is_valid(
    autojump_clock: Clock,
) -> None:
    with captured_events() as events:
        async with EmulatedSite.open(hosts=1, executors=2) as site:
            await site.wait_for_owner()
            for _ in range(8):
                span = site.write_foreign("e0", OTHER_STATE)
                await trio.sleep(1.5)
            site.write_back(span)
            await trio.sleep(1.0)
            assert _get_owner(site).directory.invalid_count == 0
            assert site.hosts["h0"].statistics.counts["bad_entries", "unknown state"] == 1
    kinds = [event["message_type"] for event in events]
    assert kinds.count("entry.refused") == 1
    assert kinds.count("entry.good_again") == 1


async def test_many_invalid_entries_are_logged_in_a_few_lines_and_forgotten(
    autojump_clock: Clock,
) -> None:
    with captured_events() as events:
        async with EmulatedSite.open(hosts=1, executors=2) as site:
            await site.wait_for_owner()
            spans = [site.write_foreign(f"x{number}", b"{}") for number in range(1_000)]
            await trio.sleep(2.0)
            assert _get_owner(site).directory.invalid_count == 1_000
            for span in spans:
                site.write_back(span)
            await trio.sleep(2.0)
            assert _get_owner(site).directory.invalid_count == 0
            assert set(_get_owner(site).cell.executors) == {"e0", "e1"}
    assert sum(event["message_type"] == "entry.refused" for event in events) < 5


async def test_an_entry_that_names_another_address_is_not_followed(autojump_clock: Clock) -> None:
    """Another executor would answer there, and runs that go on would count as ended."""
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        await site.wait_for_owner()
        await _submit(site, "a", count=8, work_s=8.0)
        await trio.sleep(1.0)
        entry = json.loads(site.store.items[ENTRIES + "e0"].value) | {"pool": "other"}
        site.write_foreign("e0", json.dumps(entry).encode())
        await trio.sleep(1.0)
        assert _get_owner(site).cell.executors["e0"].has_unusable_entry
        assert _get_owner(site).cell.executors["e0"].executor.pool == "pool"
        await trio.sleep(10.0)
        assert await site.find_status("a") is JobStatus.SUCCEEDED
        _check(site)


async def test_a_pool_that_is_configured_later_is_used_then(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        await site.wait_for_owner()
        entry = json.loads(site.store.items[ENTRIES + "e0"].value) | {"pool": "later"}
        site.store.put(ENTRIES + "e9", json.dumps(entry).encode())
        await trio.sleep(1.0)
        assert "e9" not in _get_owner(site).cell.executors
        site.pools = ("later",)
        site.configure(2)
        await trio.sleep(1.5)
        assert "e9" in _get_owner(site).cell.executors


async def test_one_invalid_heartbeat_does_not_shrink_a_pool(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1, executors=2) as site:
        await site.wait_for_owner()
        await trio.sleep(60.0)
        span = site.write_foreign("e0", OTHER_STATE)
        await trio.sleep(1.5)
        outcome = await _submit(site, "wide", count=2, accelerators=8, gang=True)
        assert isinstance(outcome, Taken)
        site.write_back(span)
        await trio.sleep(6.0)
        assert await site.find_status("wide") is JobStatus.SUCCEEDED
        _check(site)


async def test_an_inherited_executor_is_probed_at_the_address_of_its_entry(
    autojump_clock: Clock,
) -> None:
    """Guards against a new owner that refuses executors whose recorded address differs."""
    async with EmulatedSite.open(hosts=2, executors=2) as site:
        name = await site.wait_for_owner()
        await trio.sleep(1.0)
        site.kill_host(name)
        used = json.loads(site.store.items[USED_KEY].value)
        seen = {key: ["elsewhere", *more] for key, (_, *more) in used.items()}
        site.store.put(USED_KEY, json.dumps(seen).encode())
        await site.wait_for_owner()
        await trio.sleep(1.0)
        await _submit(site, "a", work_s=1.0)
        await trio.sleep(4.0)
        assert await site.find_status("a") is JobStatus.SUCCEEDED
        _check(site)


async def test_an_invalid_entry_holds_for_a_life_that_an_earlier_entry_named(
    autojump_clock: Clock,
) -> None:
    """A new instance that reports after its entry turned invalid must get no work.

    The valid entry read before must not be used to describe the new instance.
    """
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        host = site.hosts[await site.wait_for_owner()]
        await trio.sleep(0.5)
        site.said_after_s = 0.5
        site.restart_executor("e0", 0.1)
        await trio.sleep(0.2)
        site.executors.by_id["e0"].is_cut = True
        await trio.sleep(1.0)
        span = site.write_foreign("e0", OTHER_STATE)
        await trio.sleep(0.5)
        site.executors.by_id["e0"].is_cut = False
        await trio.sleep(2.0)
        await host.requests.accept(site.make_job("a"), 2.0)
        await trio.sleep(2.0)
        assert site.executors.starts() == []
        site.write_back(span)
        await trio.sleep(2.0)
        assert len(site.executors.starts()) == 1
