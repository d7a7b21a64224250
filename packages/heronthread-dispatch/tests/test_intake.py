"""What callers are told when time runs out: a refusal if nothing was written, else doubt."""

import trio
from heronthread_dispatch.intake import (
    Doubt,
    IntakeOutcome,
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
