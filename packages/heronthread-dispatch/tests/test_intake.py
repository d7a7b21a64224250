"""Outcomes of a timeout: a rejection if no write was in flight, else unsettled."""

import trio
from heronthread_dispatch.intake import (
    IntakeOutcome,
    NoSuchJob,
    NotTaken,
    PendingWrite,
    Taken,
    Unsettled,
    accept_job,
    try_routes,
)
from heronthread_emulator import EmulatedSite, Told, check_promises

Clock = trio.testing.MockClock


async def test_timeout_before_a_write_is_a_rejection(autojump_clock: Clock) -> None:
    """The store is known to be silent, and the caller's deadline ends during the first read."""
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        for view in site.views.values():
            view.is_silent = True
        await trio.sleep(3.0)
        record = site.make_job("a")
        outcome = await site.hosts["h0"].requests.accept(record, 0.2)
        assert isinstance(outcome, NotTaken)
        site.mend()
        await trio.sleep(8.0)
        told = Told(record, refused=True)
        assert check_promises(site.executors, {"a": told}) == []


async def test_timeout_during_a_write_is_unsettled(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        site.views["h0"].lose_answers = 9
        site.views["h0"].late_s = 2.0
        outcome = await site.hosts["h0"].requests.accept(site.make_job("a"), 0.2)
        assert isinstance(outcome, Unsettled)
        await trio.sleep(8.0)
        assert len(site.executors.starts()) == 1


async def test_an_unsettled_route_outweighs_a_later_rejection(autojump_clock: Clock) -> None:
    async def lose_answer(pending_write: PendingWrite) -> IntakeOutcome:
        return Unsettled("lost")

    async def never_answer(pending_write: PendingWrite) -> IntakeOutcome:
        await trio.sleep_forever()
        return NotTaken("never")

    assert isinstance(await try_routes([lose_answer, never_answer], 0.5), Unsettled)
    assert isinstance(await try_routes([never_answer], 0.5), NotTaken)


async def test_an_answer_clears_the_pending_write(autojump_clock: Clock) -> None:
    async with EmulatedSite.open() as site:
        pending_write = PendingWrite()
        assert isinstance(
            await accept_job(site.store_view(), site.make_job("a"), pending_write), Taken
        )
        assert not pending_write.is_open


async def _accept_timed(site: EmulatedSite, host: str, job: str) -> tuple[IntakeOutcome, float]:
    began = trio.current_time()
    outcome = await site.hosts[host].requests.accept(site.make_job(job), 2.25)
    return outcome, trio.current_time() - began


async def test_a_write_without_an_answer_is_retried_before_it_times_out(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=3) as site:
        await site.wait_for_owner()
        site.views["h0"].lose_answers = 1
        outcome, took_s = await _accept_timed(site, "h0", "a")
        assert isinstance(outcome, Taken)
        assert took_s < 0.5
        await trio.sleep(6.0)
        assert len(site.executors.starts()) == 1


async def test_a_host_with_a_silent_store_uses_a_peer_at_once(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=4) as site:
        await site.wait_for_owner()
        await trio.sleep(2.0)
        site.views["h0"].is_silent = True
        outcome, took_s = await _accept_timed(site, "h0", "a")
        assert isinstance(outcome, Taken)
        assert took_s < 0.6


async def test_callers_get_early_answers_while_the_store_is_silent_for_all(
    autojump_clock: Clock,
) -> None:
    """The first caller gets an unsettled outcome early, the next is rejected at once."""
    async with EmulatedSite.open(hosts=4) as site:
        await site.wait_for_owner()
        await trio.sleep(2.0)
        for view in site.views.values():
            view.is_silent = True
        first, first_s = await _accept_timed(site, "h0", "a")
        assert isinstance(first, Unsettled)
        assert first_s < 1.5
        second, second_s = await _accept_timed(site, "h1", "b")
        assert isinstance(second, NotTaken)
        assert second_s < 0.5
        site.mend()
        await trio.sleep(6.0)
        assert [start.task.job for start in site.executors.starts()] in ([], ["a"])


async def test_a_slow_store_is_waited_for(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        site.store.latency_s = 0.3
        for number in range(5):
            outcome, took_s = await _accept_timed(site, "h0", f"j{number}")
            assert isinstance(outcome, Taken)
            assert took_s < 0.7


async def test_the_next_route_is_hedged_and_both_run(
    autojump_clock: Clock,
) -> None:
    async def answer_after(seconds: float, outcome: IntakeOutcome) -> IntakeOutcome:
        await trio.sleep(seconds)
        return outcome

    rejected = NotTaken("busy")
    settled = NoSuchJob()
    began = trio.current_time()
    routes = [lambda _: answer_after(1.0, settled), lambda _: answer_after(5.0, rejected)]
    assert await try_routes(routes, 2.0, lambda: 0.2) is settled
    assert trio.current_time() - began < 1.1
    routes = [lambda _: answer_after(1.0, rejected), lambda _: answer_after(0.1, settled)]
    began = trio.current_time()
    assert await try_routes(routes, 2.0, lambda: 0.2) is settled
    assert trio.current_time() - began < 0.4


async def test_a_rejection_is_returned_at_once(autojump_clock: Clock) -> None:
    """No pause follows the last route, so a store that fails fast rejects within milliseconds."""
    async with EmulatedSite.open(hosts=3) as site:
        await site.wait_for_owner()
        site.store.is_down = True
        await trio.sleep(2.0)
        outcome, took_s = await _accept_timed(site, "h0", "a")
        assert isinstance(outcome, NotTaken)
        assert took_s < 0.02

        began = trio.current_time()
        rejected = NotTaken("busy")

        async def refuse(_: PendingWrite) -> IntakeOutcome:
            return rejected

        assert await try_routes([refuse, refuse, refuse], 2.0) is rejected
        assert trio.current_time() - began < 0.1


async def test_job_cancelled_while_its_accepting_write_is_in_flight_never_runs(
    autojump_clock: Clock,
) -> None:
    """The accepting write takes effect 3 s late, after the cancellation was answered."""
    async with EmulatedSite.open(hosts=2, executors=2) as site:
        await site.wait_for_owner()
        record = site.make_job("a", work_s=20.0)
        for view in site.views.values():
            view.lose_answers, view.late_s = 4, 3.0
        outcome = await site.hosts["h0"].requests.accept(record, 2.0)
        assert isinstance(outcome, Unsettled)
        for view in site.views.values():
            view.lose_answers = 0
        outcome = await site.hosts["h1"].requests.cancel("a", "first", 2.0)
        assert isinstance(outcome, NoSuchJob)
        outcome = await site.hosts["h1"].requests.accept(record, 2.0)
        assert isinstance(outcome, NotTaken)
        assert isinstance(await site.hosts["h0"].requests.find_job("a"), NoSuchJob)
        await trio.sleep(12.0)
        assert site.executors.starts() == []
