"""When a new owner knows that earlier owners have ended."""

import trio
from heronthread_dispatch.earlier_owners import REFUSED_AFTER_S
from heronthread_dispatch.host_lease import MAX_EXTENSION_S
from heronthread_dispatch.model import TaskKey
from heronthread_dispatch.owned_cell import Timing
from heronthread_dispatch.quorum_record import QUORUM_KEY
from heronthread_emulator import EmulatedSite, captured_events, check_promises

Clock = trio.testing.MockClock
TASK = TaskKey("a", 0, 0)


async def test_the_wait_for_a_lost_executor_is_no_longer_than_the_lease_allows(
    autojump_clock: Clock,
) -> None:
    """Guards against a takeover that waits for as long as an earlier owner might go on at most."""
    async with EmulatedSite.open(hosts=3, executors=6) as site:
        owner = await site.wait_for_owner()
        await site.hosts[owner].requests.accept(site.make_job("a", work_s=60.0), 2.0)
        await trio.sleep(3.0)
        site.executors.by_id[site.executors.starts()[0].executor].is_cut = True
        site.kill_host(owner)
        await trio.sleep(0.1)
        await site.wait_for_owner()
        term_began = trio.current_time()
        wait_s = REFUSED_AFTER_S + Timing().max_run_after_order_s
        await trio.sleep_until(term_began + wait_s + 0.3)
        assert len(site.executors.starts()) == 2
        assert check_promises(site.executors, {}) == []


async def test_next_owner_that_hears_no_executor_waits_for_the_longest_extension(
    autojump_clock: Clock,
) -> None:
    """The earlier owner may reach them all; where it was killed, nothing else shows its end."""
    async with EmulatedSite.open(hosts=3, executors=3) as site:
        owner = await site.wait_for_owner()
        await site.hosts[owner].requests.accept(site.make_job("a", work_s=60.0), 2.0)
        await trio.sleep(3.0)
        for name in list(site.executors.by_id):
            site.remove_executor(name)
        site.kill_host(owner)
        await trio.sleep(0.1)
        await site.wait_for_owner()
        term_began = trio.current_time()
        site.add_executor("new", "r0")
        await trio.sleep_until(term_began + MAX_EXTENSION_S)
        assert len(site.executors.starts(TASK)) == 1
        await trio.sleep(Timing().max_run_after_order_s + 1.0)
        assert site.executors.starts(TASK)[-1].executor == "new"


async def test_malformed_quorum_counts_as_one_that_never_answers(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2, executors=3) as site:
        owner = await site.wait_for_owner()
        await site.hosts[owner].requests.accept(site.make_job("a", work_s=60.0), 2.0)
        await trio.sleep(3.0)
        site.executors.by_id[site.executors.starts(TASK)[0].executor].is_cut = True
        with captured_events() as events:
            site.kill_host(owner)
            site.store.put(QUORUM_KEY, b"[]")
            await trio.sleep(MAX_EXTENSION_S)
        assert any(event.get("key") == QUORUM_KEY for event in events)
        assert len(site.executors.starts(TASK)) == 1
        await trio.sleep(Timing().max_run_after_order_s + 4.0)
        assert len(site.executors.starts(TASK)) == 2
