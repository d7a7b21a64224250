"""Stalled jobs in the log and the metrics of every host, as the owner told in its news."""

import json
from collections import Counter
from dataclasses import replace
from typing import Any

import pytest
import trio
from heronthread_dispatch.clock import boot_time
from heronthread_dispatch.orders import Orders
from heronthread_dispatch.peer_messages import Operation, PeerReply, decode_news, encode_news
from heronthread_dispatch.stall_summary import StalledRow, StallSummary, encode_summary
from heronthread_dispatch.stalls import JobStall, StallHistory
from heronthread_dispatch.wait_causes import WaitCause
from heronthread_emulator import EmulatedSite, captured_events

Clock = trio.testing.MockClock
HOSTS = 12


def _list_told(events: list[dict[str, Any]]) -> list[dict[str, Any]]:
    return [e for e in events if e["message_type"] == "job.stands" and "told_by" in e]


async def _stall(site: EmulatedSite, stall_s: float, patch: pytest.MonkeyPatch) -> str:
    """Stall job "a" for some seconds by starts that are not sent; return the owner."""
    owner = await site.wait_for_owner()
    await trio.sleep(2.0)
    with patch.context() as patched:
        patched.setattr(Orders, "start_group", lambda orders, group: None)
        await site.hosts[owner].requests.accept(site.make_job("a", work_s=60.0), 2.0)
        await trio.sleep(stall_s)
    return owner


async def test_every_host_logs_a_short_stall(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a stall over before the news of it reached the hosts whose logs are kept."""
    async with EmulatedSite.open(hosts=HOSTS) as site:
        with captured_events() as events:
            owner = await _stall(site, 3.5, monkeypatch)
            await trio.sleep(20.0)
        told = _list_told(events)
        assert {(line["job"], line["told_by"]) for line in told} == {("a", owner)}
        assert {line["cause"] for line in told} == {WaitCause.DUE.value}
        ends = [line for line in told if "ended_ago_s" in line]
        assert len(ends) == HOSTS - 1, "each host logs the end once, except the owner"
        assert all(2.0 <= line["for_s"] <= line["known_for_s"] < 5.0 for line in told)
        assert {line["term"] for line in told} == {site.hosts[owner].owner.cell.term.number}


async def test_hosts_log_a_long_stall_once_per_interval(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against many hosts that log every summary they hear."""
    async with EmulatedSite.open(hosts=HOSTS) as site:
        with captured_events() as events:
            await _stall(site, 20.0, monkeypatch)
        told = _list_told(events)
        assert min(line["for_s"] for line in told) >= 2.0
        assert HOSTS - 1 < len(told) <= (HOSTS - 1) * 10


async def test_line_begins_with_what_tells_causes_apart(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against records of lines cut at 200 characters that lack the cause or the term."""
    async with EmulatedSite.open(hosts=2) as site:
        with captured_events() as events:
            await _stall(site, 4.0, monkeypatch)
        lines = [e for e in events if e["message_type"] == "job.stands"]
        assert {"told_by" in line for line in lines} == {False, True}
        for line in lines:
            first = ["job", "cause", "for_s", "known_for_s", "term", "term_age_s"]
            assert list(line)[:6] == first
            longest = {"job": "j" * 36, "cause": max(WaitCause, key=len).value}
            text = json.dumps({name: line[name] for name in first} | longest)
            assert len(text) < 200


async def test_news_has_no_summary_while_no_job_is_stalled(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against control traffic of each host that grows without need."""
    async with EmulatedSite.open(hosts=3) as site:
        await site.wait_for_owner()
        await trio.sleep(3.0)
        assert all("stalls" not in encode_news(h.news.make()) for h in site.hosts.values())
        await _stall(site, 6.0, monkeypatch)
        assert all("stalls" in encode_news(h.news.make()) for h in site.hosts.values())
        await trio.sleep(25.0)
        assert all("stalls" not in encode_news(h.news.make()) for h in site.hosts.values())


async def test_gauges_of_every_host_show_stalled_jobs(
    autojump_clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against metrics that hide a stall unless the owner's host is looked at."""

    def read(site: EmulatedSite) -> list[tuple[str, float]]:
        found = []
        for host in site.hosts.values():
            lines = dict(line.rsplit(" ", 1) for line in host.render_statistics().splitlines())
            stood_s = float(lines["heronthread_longest_stand_s"])
            found.append((lines["heronthread_jobs_standing"], stood_s))
        return found

    async with EmulatedSite.open(hosts=5) as site:
        await _stall(site, 8.0, monkeypatch)
        assert [count for count, _ in read(site)] == ["1"] * 5
        assert all(2.0 < stood_s < 8.5 for _, stood_s in read(site))
        await trio.sleep(5.0)
        assert read(site) == [("0", 0.0)] * 5


SUMMARY = StallSummary(1_000, 1, "h1", 9.0, 1, {}, (StalledRow("a", WaitCause.DUE.value, 4.0),))


async def _take(site: EmulatedSite, stalls: object, host: str = "h9") -> None:
    """Let h0 take a peer's news with a summary."""
    body = encode_news(site.hosts["h1"].news.make()) | {"stalls": stalls}
    news = decode_news(json.loads(json.dumps(body)))
    assert news is not None
    await site.hosts["h0"].news.take(replace(news, host=host))


async def test_stale_summary_is_dropped(autojump_clock: Clock) -> None:
    """Guards against a dead owner's stalls that are passed on and logged for ever."""
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        await trio.sleep(1.0)
        with captured_events() as events:
            await _take(site, encode_summary(SUMMARY, 10.5))
            assert "stalls" not in encode_news(site.hosts["h0"].news.make())
        assert _list_told(events) == []
        with captured_events() as events:
            await _take(site, encode_summary(SUMMARY, 6.0))
            body = encode_news(site.hosts["h0"].news.make())
            assert body["stalls"] == encode_summary(SUMMARY, 6.0)
            await trio.sleep(3.0)
            assert encode_news(site.hosts["h0"].news.make())["stalls"]["a"] >= 9.0
            await trio.sleep(2.0)
            assert "stalls" not in encode_news(site.hosts["h0"].news.make())
        assert [line["age_s"] >= 6.0 for line in _list_told(events)] == [True, True]


async def test_older_term_is_neither_kept_nor_logged(autojump_clock: Clock) -> None:
    """Guards against a deposed owner's stalls that look like those of the owner."""
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        await trio.sleep(1.0)
        with captured_events() as events:
            await _take(site, encode_summary(SUMMARY, 0.5))
            older = replace(SUMMARY, term=999, sequence=500, jobs=(StalledRow("b", "c", 5.0),))
            await _take(site, encode_summary(older, 0.1))
        known = site.hosts["h0"].known_stalls.find(boot_time())
        assert known is not None
        assert known.digest == SUMMARY
        assert "b" not in {line["job"] for line in _list_told(events)}


async def test_reply_to_a_peer_with_a_summary_has_none(autojump_clock: Clock) -> None:
    """Guards against summaries that are exchanged twice by hosts that both have one."""
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        await trio.sleep(1.0)
        await _take(site, encode_summary(SUMMARY, 0.5))
        news, address = site.hosts["h1"].news.make(), site.hosts["h0"].settings.peer_address
        for stalls in ({}, encode_summary(SUMMARY, 0.5)):
            body = encode_news(replace(news, stalls=stalls))
            reply = await site.hosts["h1"].ask_peer(address, Operation.NEWS, body)
            assert isinstance(reply, PeerReply)
            assert ("stalls" in reply.body) == (not stalls)


@pytest.mark.parametrize("stalls", [7, [], "x", {"v": 2}, encode_summary(SUMMARY, 1.0) | {"j": 7}])
async def test_malformed_summary_is_logged_once_and_changes_nothing(
    autojump_clock: Clock, stalls: object
) -> None:
    """Guards against losing a peer's other news with a summary that can't be read."""
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        await trio.sleep(1.0)
        await _take(site, encode_summary(SUMMARY, 0.5))
        with captured_events() as events:
            for _ in range(3):
                await _take(site, stalls, "h8")
        known = site.hosts["h0"].known_stalls.find(boot_time())
        assert known is not None
        assert known.digest == SUMMARY
        assert "h8" in site.hosts["h0"].news.heard
        lines = [e for e in events if e["message_type"] == "stalls.malformed"]
        assert len(lines) == (1 if stalls else 0)


async def test_news_without_a_summary_can_be_read(autojump_clock: Clock) -> None:
    """Guards against hosts of two versions that don't understand each other's news."""
    async with EmulatedSite.open(hosts=2) as site:
        await site.wait_for_owner()
        body = json.loads(json.dumps(encode_news(site.hosts["h0"].news.make())))
        assert "stalls" not in body
        assert decode_news(body) == decode_news(body | {"a_later_field": 1})
        assert decode_news(body) is not None


async def test_end_of_a_stall_begins_the_next_one_anew(autojump_clock: Clock) -> None:
    """Guards against a duration that includes the time in which the job ran."""
    history, stall = StallHistory(), JobStall("cause", 3.0, 1, 30.0)
    with captured_events() as events:
        history.report("a", stall, "h1")
        await trio.sleep(2.1)
        for _ in range(3):
            history.report("a", replace(stall, for_s=4.0), "h1", 0.1, 1.0)
            await trio.sleep(2.1)
        history.report("a", replace(stall, for_s=2.0), "h1")
    found = Counter(
        (line["for_s"], round(line["known_for_s"], 1), line.get("ended_ago_s"))
        for line in _list_told(events)
    )
    assert found == {(3.0, 3.0, None): 1, (4.0, 4.0, 1.1): 1, (2.0, 2.0, None): 1}
