"""What callers are told when time runs out: a refusal if nothing was written, else doubt."""

import trio
from heronthread_dispatch.intake import (
    Doubt,
    IntakeOutcome,
    NoSuchJob,
    NotTaken,
    Taken,
    Unsettled,
    accept_job,
    insist,
)
from heronthread_emulator import EmulatedSite, Told, check_promises

Clock = trio.testing.MockClock


async def test_time_that_runs_out_before_a_write_is_a_refusal(autojump_clock: Clock) -> None:
    """The store is silent and known to be; the caller's deadline ends during the look."""
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


async def test_time_that_runs_out_during_a_write_is_doubt(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        site.views["h0"].lose_answers = 9
        site.views["h0"].late_s = 2.0
        outcome = await site.hosts["h0"].requests.accept(site.make_job("a"), 0.2)
        assert isinstance(outcome, Unsettled)
        await trio.sleep(8.0)
        assert len(site.executors.starts()) == 1


async def test_doubt_of_one_way_outlasts_the_refusal_of_the_next(autojump_clock: Clock) -> None:
    async def lose(doubt: Doubt) -> IntakeOutcome:
        return Unsettled("lost")

    async def look(doubt: Doubt) -> IntakeOutcome:
        await trio.sleep_forever()
        return NotTaken("never")

    assert isinstance(await insist([lose, look], 0.5), Unsettled)
    assert isinstance(await insist([look], 0.5), NotTaken)


async def test_answer_ends_doubt(autojump_clock: Clock) -> None:
    async with EmulatedSite.open() as site:
        doubt = Doubt()
        assert isinstance(await accept_job(site.store_view(), site.make_job("a"), doubt), Taken)
        assert not doubt.is_open


async def _accept_timed(site: EmulatedSite, host: str, job: str) -> tuple[IntakeOutcome, float]:
    began = trio.current_time()
    outcome = await site.hosts[host].requests.accept(site.make_job(job), 2.25)
    return outcome, trio.current_time() - began


async def test_a_write_whose_answer_is_lost_is_tried_again_before_it_times_out(
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


async def test_a_host_that_the_store_leaves_unanswered_uses_a_peer_at_once(
    autojump_clock: Clock,
) -> None:
    async with EmulatedSite.open(hosts=4) as site:
        await site.wait_for_owner()
        await trio.sleep(2.0)
        site.views["h0"].is_silent = True
        outcome, took_s = await _accept_timed(site, "h0", "a")
        assert isinstance(outcome, Taken)
        assert took_s < 0.6


async def test_callers_are_not_held_while_the_store_is_silent_for_all(
    autojump_clock: Clock,
) -> None:
    """The first is told of the doubt well before half of its time, the next refused at once."""
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


async def test_the_next_way_begins_once_one_takes_long_and_both_go_on(
    autojump_clock: Clock,
) -> None:
    async def answer_after(seconds: float, outcome: IntakeOutcome) -> IntakeOutcome:
        await trio.sleep(seconds)
        return outcome

    refused = NotTaken("busy")
    settled = NoSuchJob()
    began = trio.current_time()
    ways = [lambda _: answer_after(1.0, settled), lambda _: answer_after(5.0, refused)]
    assert await insist(ways, 2.0, lambda: 0.2) is settled
    assert trio.current_time() - began < 1.1
    ways = [lambda _: answer_after(1.0, refused), lambda _: answer_after(0.1, settled)]
    began = trio.current_time()
    assert await insist(ways, 2.0, lambda: 0.2) is settled
    assert trio.current_time() - began < 0.4


async def test_a_refusal_is_told_at_once(autojump_clock: Clock) -> None:
    """No pause follows the last way; a store that resets or is busy refuses in milliseconds."""
    async with EmulatedSite.open(hosts=3) as site:
        await site.wait_for_owner()
        site.store.is_down = True
        await trio.sleep(2.0)
        outcome, took_s = await _accept_timed(site, "h0", "a")
        assert isinstance(outcome, NotTaken)
        assert took_s < 0.02

        began = trio.current_time()
        refused = NotTaken("busy")

        async def refuse(_: Doubt) -> IntakeOutcome:
            return refused

        assert await insist([refuse, refuse, refuse], 2.0) is refused
        assert trio.current_time() - began < 0.1


async def test_job_cancelled_while_its_taking_in_is_open_never_runs(autojump_clock: Clock) -> None:
    """Its write is done 3 s late, after its cancelling was answered."""
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
