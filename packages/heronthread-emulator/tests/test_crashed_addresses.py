"""What a host sees, through the links' proxy, of an executor that crashed or was cut off."""

import io

import pytest
import trio
from heronthread_dispatch.http_client import HttpClient, NoReply, Reply
from heronthread_emulator import spelling
from heronthread_emulator.addresses import claim_network
from heronthread_emulator.executor_server import ExecutorServer
from heronthread_emulator.link_proxy import LinkProxy, list_links
from heronthread_emulator.sight import Sight
from heronthread_emulator.soak_site import LINKS
from heronthread_emulator.standin import StandinSettings, serve_commands

LATER_S = 0.6
HOLD = b'{"fencing-token": 1, "last-seen": 0}'


class Site:
    """One executor behind the link of one host."""

    def __init__(self, server, proxy, client, nursery):
        self.server, self.proxy, self.client, self.nursery = server, proxy, client, nursery

    async def call(self, client=None):
        return await (client or self.client).call(
            self.link.listen,
            "POST",
            spelling.HOLD_PATH,
            body=HOLD,
            timeout_s=1.0,
            may_repeat=False,
        )

    @property
    def link(self):
        return next(link for link in self.proxy.links if link.name == "h0>e0")

    async def is_refused(self):
        """Whether a new connection is refused, so that the call certainly did nothing."""
        with HttpClient() as fresh:
            reply = await self.call(fresh)
        return isinstance(reply, NoReply) and reply.unsent

    async def crash(self, command, **values):
        """Have the executor crash, and wait until its address is known as gone."""
        self.nursery.start_soon(getattr(self.server, command), values)
        with trio.fail_after(5):
            while self.link.is_listening:
                await trio.sleep(0.01)


@pytest.fixture
async def site(nursery):
    with claim_network() as network, HttpClient() as client:
        settings = StandinSettings(network, 1, 1, 1, network.control(1))
        server = ExecutorServer(settings, Sight("executors", io.StringIO()), nursery)
        await server.add({"executor": 0})
        proxy = LinkProxy(list_links(network, 1, 1), 1)
        made = Site(server, proxy, client, nursery)
        await nursery.start(proxy.serve, made.link)
        commands = {"refuse": proxy.refuse, "reset": proxy.reset}
        await nursery.start(serve_commands, network.control(LINKS), commands)
        yield made


CRASHES = [
    ("crash", {"executor": 0, "after_s": LATER_S}),
    ("lose", {"executors": [0], "after_s": LATER_S}),
    ("restart", {"executors": [0], "after_s": LATER_S}),
]


@pytest.mark.parametrize(("command", "values"), CRASHES)
async def test_address_of_a_crashed_executor_refuses_until_its_next_life(site, command, values):
    await site.crash(command, **values)
    assert await site.is_refused()
    with trio.fail_after(5):
        while not site.link.is_listening:
            await trio.sleep(0.01)
    assert isinstance(await site.call(), Reply)


async def test_open_connections_to_a_crashed_executor_are_reset(site):
    await site.call()
    (kept,) = site.client.idle[site.link.listen]
    await site.crash("lose", executors=[0], after_s=LATER_S)
    with pytest.raises(trio.BrokenResourceError), trio.fail_after(1):
        await kept.stream.receive_some(1)


async def test_address_of_an_executor_that_a_task_crashed_refuses(site):
    site.server.crash_by_itself(site.server.places[0].instance.executor.id)
    with trio.fail_after(5):
        while site.link.is_listening:
            await trio.sleep(0.01)
    assert await site.is_refused()


async def test_nobody_is_at_an_address_after_a_crash_for_good(site):
    await site.crash("crash_for_good", executors=[0])
    await site.server.mend({})
    await site.proxy.mend({})
    assert await site.is_refused()
    assert site.server.places[0].instance.is_gone
    assert await site.server.list_busiest({"executors": [0]}) == []


async def test_executor_that_crashes_while_cut_off_says_nothing(site):
    await site.server.set_faults({"executors": [0], "set": {"silent": True}})
    site.nursery.start_soon(site.server.lose, {"executors": [0], "after_s": LATER_S})
    while not site.server.places[0].has_crashed:
        await trio.sleep(0.01)
    assert not await site.is_refused()
    assert not site.link.is_refused


async def test_links_that_may_not_have_heard_are_told_again(site, monkeypatch):
    async def fail(*args, **values):
        return False

    with monkeypatch.context() as patched:
        patched.setattr(site.server, "steer_links", fail)
        await site.server.set_faults({"executors": [0], "set": {"refuses": True}})
        assert not await site.is_refused()
    await site.server.set_faults({"executors": [0], "set": {"refuses": True}})
    assert await site.is_refused()


async def test_cut_by_refusals_lets_open_connections_and_the_life_go_on(site):
    assert isinstance(await site.call(), Reply)
    instance = site.server.places[0].instance
    await site.server.set_faults({"executors": [0], "set": {"refuses": True}})
    assert await site.is_refused()
    assert isinstance(await site.call(), Reply), "over the connection that was open"
    assert site.server.places[0].instance is instance
    await site.server.mend({})
    assert not await site.is_refused()
