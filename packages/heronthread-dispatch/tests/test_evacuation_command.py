"""Answers to `heronthread evacuate`, which confirm nothing before it is in force."""

import json
from typing import Any

import pytest
import trio
from heronthread_dispatch.evacuation import COMMAND_PREFIX
from heronthread_dispatch.wire.ttypes import Forward, Frame, Operation
from heronthread_emulator import EmulatedSite

Clock = trio.testing.MockClock


async def _evacuate(site: EmulatedSite, host: str, **body: Any) -> tuple[int, dict[str, Any]]:
    forward = Forward(Operation.EVACUATE, "0", json.dumps(body).encode(), 3000)
    reply = await site.hosts[host].handle(Frame(forward=forward))
    return reply.forward_reply.status, json.loads(reply.forward_reply.body)


def _other(site: EmulatedSite, owner: str) -> str:
    return next(name for name in site.hosts if name != owner)


async def test_every_host_confirms_once_the_request_is_in_force(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(executors=3, zones=3) as site:
        owner = await site.wait_for_owner()
        host = site.hosts[owner]
        await host.requests.accept(site.make_job("a", count=24, work_s=5.0), 2.0)
        await trio.sleep(1.0)
        status, body = await _evacuate(site, _other(site, owner), domain="z1")
        assert (status, body["runs"]) == (200, 8)
        confirmed_at = trio.current_time()
        await host.requests.accept(site.make_job("b", count=24, work_s=1.0), 2.0)
        await trio.sleep(12.0)
        late = [s for s in site.executors.starts() if s.sent_at >= confirmed_at]
        zones = {site.executors.by_id[s.executor].executor.zone for s in late}
        assert zones == {"z0", "z2"}
        assert await _evacuate(site, owner, domain="z1", undo=True) == (
            200,
            {"domain": "z1", "runs": 0, "asked_by": []},
        )
        assert not host.evacuations.domains
        await trio.sleep(0.3)
        assert all(not h.evacuations.domains for h in site.hosts.values())


async def test_repeated_request_changes_nothing(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(executors=2, zones=2) as site:
        owner = await site.wait_for_owner()
        for _ in range(2):
            assert (await _evacuate(site, owner, domain="z0"))[0] == 200
        assert (await _evacuate(site, owner, domain="z0", undo=True))[0] == 200
        status, body = await _evacuate(site, owner, domain="z0", undo=True)
        assert (status, body["reason"]) == (400, "z0: it is not evacuated")


@pytest.mark.parametrize(
    ("domain", "reason"),
    [
        ("z9", "z9: no executor is known there; there are z0, z1"),
        ("", "the name of the domain is missing"),
        ("a/b", "the name of a domain has no blanks, slashes or control characters"),
        (7, "the name of a domain is a text"),
        (None, "the name of a domain is a text"),
    ],
)
async def test_unknown_or_malformed_domain_is_rejected(
    autojump_clock: Clock, domain: object, reason: str
) -> None:
    async with EmulatedSite.open(executors=2, zones=2) as site:
        owner = await site.wait_for_owner()
        revision = site.store.revision
        for host in site.hosts:
            assert await _evacuate(site, host, domain=domain) == (400, {"reason": reason})
        assert site.hosts[owner].evacuations.domains == frozenset()
        assert not [key for key in site.store.items if key.startswith(COMMAND_PREFIX)]
        assert site.store.revision >= revision


async def test_command_does_not_withdraw_the_operators_request(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(executors=2, zones=2) as site:
        owner = await site.wait_for_owner()
        site.evacuate("z0")
        await trio.sleep(0.3)
        status, body = await _evacuate(site, owner, domain="z0", undo=True)
        assert status == 400
        assert "remove configuration/evacuate/z0 from the store" in body["reason"]
        assert (await _evacuate(site, owner, domain="z0"))[0] == 200
        status, body = await _evacuate(site, owner, domain="z0", undo=True)
        assert (status, body["asked_by"]) == (200, ["operator"])
        assert site.hosts[owner].evacuations.domains == {"z0"}


async def test_not_confirmed_while_a_start_has_no_answer(autojump_clock: Clock) -> None:
    """A start without an answer may still take effect, and its stop has no answer either."""
    async with EmulatedSite.open(hosts=1, executors=1) as site:
        owner = await site.wait_for_owner()
        place = site.executors.by_id["e0"]
        place.lose_starts, place.late_s = 1, 4.0
        await site.hosts[owner].requests.accept(site.make_job("a", work_s=1.0), 2.0)
        await trio.sleep(0.1)
        place.is_cut = True
        status, body = await _evacuate(site, owner, domain="zone")
        assert (status, body["reason"]) == (504, "asked for, but 1 starts there are under way")
        assert site.hosts[owner].evacuations.domains == {"zone"}
        place.is_cut = False
        await trio.sleep(2.0)
        assert (await _evacuate(site, owner, domain="zone"))[0] == 200
        await trio.sleep(10.0)
        assert site.executors.starts() == []


async def test_not_confirmed_before_earlier_owners_are_fenced(autojump_clock: Clock) -> None:
    """An executor that does not know the new term would still obey the old owner."""
    async with EmulatedSite.open(hosts=2, executors=2, zones=2) as site:
        owner = await site.wait_for_owner()
        await site.hosts[owner].requests.accept(site.make_job("a", count=12, work_s=30.0), 2.0)
        await trio.sleep(1.0)
        site.executors.by_id["e0"].is_cut = True
        site.kill_host(owner)
        await trio.sleep(0.5)
        new = await site.wait_for_owner()
        status, body = await _evacuate(site, new, domain="z0")
        assert (status, "e0" in body["reason"]) == (504, True)
        assert (await _evacuate(site, new, domain="z1"))[0] == 200
        site.executors.by_id["e0"].is_cut = False
        await trio.sleep(2.0)
        assert (await _evacuate(site, new, domain="z0"))[0] == 200


async def test_deposed_owner_confirms_nothing(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1, executors=2, zones=2) as site:
        owner = await site.wait_for_owner()
        site.store.put("cell/0/owner", json.dumps({"host": "x", "address": "x"}).encode())
        status, body = await _evacuate(site, owner, domain="z0")
        assert (status, body["reason"]) == (503, "this host owns the cell no more")
        assert not [key for key in site.store.items if key.startswith(COMMAND_PREFIX)]


async def test_store_unavailable(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=1, executors=2, zones=2) as site:
        owner = await site.wait_for_owner()
        site.store.is_down = True
        status, body = await _evacuate(site, owner, domain="z0")
        assert (status, body["reason"]) == (503, "the store does not answer: refused")
        site.store.is_down = False
        site.views[owner].lose_answers = 1
        assert (await _evacuate(site, owner, domain="z0"))[0] == 504
        await trio.sleep(1.0)
        assert site.hosts[owner].evacuations.domains == {"z0"}


async def test_request_survives_a_restart_of_all_hosts(autojump_clock: Clock) -> None:
    async with EmulatedSite.open(hosts=2, executors=2, zones=2) as site:
        owner = await site.wait_for_owner()
        assert (await _evacuate(site, owner, domain="z0"))[0] == 200
        for name in list(site.hosts):
            site.kill_host(name)
        site.start_host("h9")
        await site.wait_for_owner()
        await site.hosts["h9"].requests.accept(site.make_job("a", count=12), 2.0)
        await trio.sleep(8.0)
        assert {start.executor for start in site.executors.starts()} == {"e1"}
