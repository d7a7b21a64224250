"""The short lease that a start asks for, and its renewal once the start has arrived."""

from collections.abc import Callable

import pytest
import trio
from heronthread_dispatch.executor_link import HoldOrder, HoldOutcome, NoAnswer, StartOrder
from heronthread_dispatch.fleet import ExecutorState
from heronthread_dispatch.lease_renewal import MAX_SENDS, RESEND_AFTER_S
from heronthread_dispatch.model import Executor
from heronthread_dispatch.orders import RETRY_S, START_TRIES
from heronthread_dispatch.owned_cell import Timing
from heronthread_emulator import EmulatedSite, check_promises

Clock = trio.testing.MockClock
TIMING = Timing()
SEND_S = 0.7
"""How long a start waits for its answer."""
IDLE_S = 14.0
UNANSWERED_S = 0.8
WORK_S = 5.0


def _find_state(site: EmulatedSite, name: str) -> ExecutorState:
    owner = site.hosts["h0"].owner
    assert owner is not None
    return owner.cell.executors[name]


def _lose_holds(site: EmulatedSite, is_lost: Callable[[HoldOrder], bool]) -> list[HoldOrder]:
    """Lose some holds before they arrive; return the list of all that are sent from now on."""
    hold, sent = site.executors.hold, []

    async def lose_some(executor: Executor, order: HoldOrder) -> HoldOutcome:
        sent.append(order)
        if is_lost(order):
            await trio.sleep(UNANSWERED_S)
            return NoAnswer("lost")
        return await hold(executor, order)

    site.executors.hold = lose_some  # type: ignore[method-assign]
    return sent


async def _submit_to_idle(site: EmulatedSite) -> None:
    await site.wait_for_owner()
    await trio.sleep(IDLE_S)
    await site.hosts["h0"].requests.accept(site.make_job("a", work_s=WORK_S), 2.0)


def _list_events(site: EmulatedSite) -> list[str]:
    return [event.what for event in site.executors.events]


def test_sends_of_a_start_lie_within_the_lease_that_it_asks_for() -> None:
    """Guards against sends that are refused as late."""
    sends_s = START_TRIES * SEND_S + (START_TRIES - 1) * RETRY_S
    assert sends_s <= TIMING.start_lease_s + 1e-9
    assert TIMING.start_lease_s < TIMING.executor_lease_s


@pytest.mark.parametrize("says_born", [False, True])
async def test_start_without_an_answer_extends_a_lease_by_little(
    says_born: bool, autojump_clock: Clock
) -> None:
    """Guards against an idle executor's lease of full length before anything is known to run."""
    async with EmulatedSite.open(hosts=1, executors=1, says_born=says_born) as site:
        starts: list[float] = []
        start = site.executors.start

        async def cut_off(executor: Executor, order: StartOrder) -> object:
            site.executors.by_id["e0"].is_cut = True
            starts.append(trio.current_time())
            return await start(executor, order)

        site.executors.start = cut_off  # type: ignore[assignment,method-assign]
        await _submit_to_idle(site)
        await trio.sleep(4.0)
        assert len(starts) == START_TRIES
        assert _find_state(site, "e0").lease_ends_by <= starts[0] + TIMING.start_lease_s + 0.7


async def test_no_run_lapses_as_the_looks_beside_its_start_are_lost(autojump_clock: Clock) -> None:
    """Guards against a renewal that waits for the hold in flight as the start is answered."""
    async with EmulatedSite.open(hosts=1, executors=1, says_born=False) as site:
        await site.wait_for_owner()
        await trio.sleep(IDLE_S)
        _lose_holds(site, lambda order: order.until_ms is None and bool(site.executors.unanswered))
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=WORK_S), 2.0)
        await trio.sleep(WORK_S + 2.0)
        assert _list_events(site) == ["start", "done"]
        assert check_promises(site.executors, {}) == []


@pytest.mark.parametrize("lost_renewals", [1, 2])
@pytest.mark.parametrize("lost_starts", [0, 1, 2])
async def test_no_run_lapses_as_its_first_renewals_are_lost(
    lost_starts: int, lost_renewals: int, autojump_clock: Clock
) -> None:
    """Guards against a renewal that is sent again only after a failed hold and its probes."""
    async with EmulatedSite.open(hosts=1, executors=1, says_born=False) as site:
        await site.wait_for_owner()
        await trio.sleep(IDLE_S)
        site.executors.by_id["e0"].lose_starts = lost_starts
        left = [lost_renewals]

        def is_lost(order: HoldOrder) -> bool:
            left[0] -= order.until_ms is not None
            return order.until_ms is not None and left[0] >= 0

        _lose_holds(site, is_lost)
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=WORK_S), 2.0)
        await trio.sleep(WORK_S + 6.0)
        assert _list_events(site) == ["start", "done"]


async def test_no_run_lapses_that_only_a_report_names(autojump_clock: Clock) -> None:
    """Guards against a first renewal that is lost where no send of the start was answered."""
    async with EmulatedSite.open(hosts=1, executors=1, says_born=False) as site:
        await site.wait_for_owner()
        await trio.sleep(IDLE_S)
        site.executors.by_id["e0"].lose_starts = START_TRIES
        left = [1]

        def is_lost(order: HoldOrder) -> bool:
            left[0] -= order.until_ms is not None
            return order.until_ms is not None and left[0] >= 0

        _lose_holds(site, is_lost)
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=WORK_S), 2.0)
        await trio.sleep(WORK_S + 2.0)
        assert _list_events(site) == ["start", "done"]


async def test_renewals_of_a_started_run_share_one_deadline(autojump_clock: Clock) -> None:
    """Guards against repeated sends that extend the wait for an executor that is lost then."""
    async with EmulatedSite.open(hosts=1, executors=1, says_born=False) as site:
        await site.wait_for_owner()
        await trio.sleep(IDLE_S)
        sent = _lose_holds(site, lambda order: order.until_ms is not None and not order.wait_s)
        await site.hosts["h0"].requests.accept(site.make_job("a", work_s=WORK_S), 2.0)
        await trio.sleep(MAX_SENDS * RESEND_AFTER_S)
        renewals = [order.until_ms for order in sent if order.until_ms and not order.wait_s]
        assert len(renewals) > 1
        assert len(set(renewals)) == 1


async def test_executor_whose_lease_is_renewed_gets_no_further_renewals(
    autojump_clock: Clock,
) -> None:
    """Guards against an additional call for each start at a busy executor."""
    async with EmulatedSite.open(hosts=1, executors=1, says_born=False) as site:
        await _submit_to_idle(site)
        await trio.sleep(1.5)
        sent = _lose_holds(site, lambda order: False)
        await site.hosts["h0"].requests.accept(site.make_job("b", work_s=WORK_S), 2.0)
        await trio.sleep(0.5)
        assert [order for order in sent if order.until_ms and not order.wait_s] == []
