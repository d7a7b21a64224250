"""How long an earlier owner may have renewed leases, as far as its host and others can tell."""

import pytest
import trio
from heronthread_dispatch.host_lease import HostRecord, Term
from heronthread_dispatch.model import TaskKey
from heronthread_dispatch.peer_messages import News, decode_news, encode_news
from heronthread_dispatch.predecessor import Predecessor, SeenOwner
from heronthread_emulator import EmulatedSite, check_promises

Clock = trio.testing.MockClock
OWN, OTHER = HostRecord("h0", "a:0"), HostRecord("h1", "a:1")
TERM = Term(3, ("cell/0/owner", 30), 20)
STALE_S = 1.2
MAX_RUN_S = 6.5
"""A lease of 6 s, read over a round trip of 0.3 s, on a clock that may be slow."""
PLAN_S = 0.5


def _make_news(host: str, no_orders_s: float, seen: dict[str, float] | None = None) -> News:
    return News(host, "", 1, True, no_orders_s=no_orders_s, owners_seen_s=seen or {})


async def _find(
    seen: SeenOwner, news: dict[str, News], peers: tuple[str, ...] = (), own_s: float = 0.0
) -> float | None:
    """Return for how long (s) no earlier owner has sent orders, None if that is unknown."""

    async def ask(address: str) -> News | None:
        return news.get(address)

    predecessor = Predecessor([seen], OWN, own_s, peers, ask)
    ended_at = await predecessor.find_end_of_orders(TERM, STALE_S)
    return None if ended_at is None else trio.current_time() - ended_at


async def test_the_host_of_the_predecessor_knows_when_it_stopped(autojump_clock: Clock) -> None:
    await trio.sleep(100.0)
    seen = SeenOwner(OTHER, 20, trio.current_time() - 60.0)
    assert await _find(seen, {"a:1": _make_news("h1", 4.0)}) == pytest.approx(4.0)


@pytest.mark.parametrize(
    "news",
    [{}, {"a:1": _make_news("h1", 0.0)}, {"a:1": _make_news("h2", 4.0)}],
    ids=["no-answer", "still-an-owner-or-an-earlier-version", "another-host"],
)
async def test_nothing_is_known_without_the_predecessors_host(
    news: dict[str, News], autojump_clock: Clock
) -> None:
    await trio.sleep(100.0)
    assert await _find(SeenOwner(OTHER, 20, 40.0), news) is None


async def test_an_owner_that_is_not_the_last_one_says_nothing(autojump_clock: Clock) -> None:
    """A host may have missed the owner between."""
    await trio.sleep(100.0)
    assert await _find(SeenOwner(OTHER, 10, 40.0), {"a:1": _make_news("h1", 30.0)}) is None


async def test_a_new_process_of_the_predecessors_host_asks_when_that_term_began(
    autojump_clock: Clock,
) -> None:
    """Until shortly after then, the owner before the predecessor may have sent orders."""
    await trio.sleep(100.0)
    seen = SeenOwner(OWN, 20, trio.current_time())
    assert await _find(seen, {}, own_s=2.0) == pytest.approx(-STALE_S)
    news = {"a:1": _make_news("h1", 50.0, {"20": 9.0}), "a:2": _make_news("h2", 50.0, {"10": 30.0})}
    assert await _find(seen, news, ("a:1", "a:2"), own_s=2.0) == pytest.approx(2.0)


def test_news_with_malformed_durations_are_malformed() -> None:
    body = encode_news(_make_news("h1", 1.5, {"20": 9.0}))
    assert decode_news(body) == _make_news("h1", 1.5, {"20": 9.0})
    for field, value in (("no_orders_s", -1.0), ("owners_seen_s", {"20": "x"})):
        assert decode_news({**body, field: value}) is None
    assert decode_news({k: v for k, v in body.items() if k != "owners_seen_s"}) is not None


async def test_wait_for_a_crashed_executor_counts_the_time_of_a_store_outage(
    autojump_clock: Clock,
) -> None:
    """Guards against a full lease that is counted from the new term after an outage.

    The owner is killed as the store fails, and its host is back long before the store.
    """
    async with EmulatedSite.open(hosts=3, executors=6) as site:
        owner = await site.wait_for_owner()
        await site.hosts[owner].requests.accept(site.make_job("a", work_s=30.0), 2.0)
        await trio.sleep(3.0)
        task = TaskKey("a", 0, 0)
        site.executors.by_id[site.executors.starts(task)[0].executor].is_cut = True
        site.store.is_down = True
        site.kill_host(owner)
        await trio.sleep(1.0)
        site.start_host(owner)
        back_at = trio.current_time()
        await trio.sleep(5.0)
        site.store.is_down = False
        await site.wait_for_owner()
        await trio.sleep_until(back_at + MAX_RUN_S + PLAN_S)
        assert len(site.executors.starts(task)) == 2
        await trio.sleep(30.0)
        assert check_promises(site.executors, {}) == []


async def test_owner_that_lives_on_without_the_store_shortens_no_wait(
    autojump_clock: Clock,
) -> None:
    """It keeps its runs at an executor that the next owner can't reach, for as long as it may."""
    async with EmulatedSite.open(hosts=3, executors=6) as site:
        owner = await site.wait_for_owner()
        await site.hosts[owner].requests.accept(site.make_job("a", work_s=30.0), 2.0)
        await trio.sleep(3.0)
        site.views[owner].is_cut = True
        await trio.sleep(2.0)
        site.executors.by_id[site.executors.starts()[0].executor].is_cut = True
        site.views[owner].is_cut = False
        await trio.sleep(40.0)
        assert check_promises(site.executors, {}) == []
