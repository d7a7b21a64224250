import pytest
import trio
from heronthread_dispatch.http_client import HttpClient, NoReply, Reply
from heronthread_emulator.addresses import Network, claim_network
from heronthread_emulator.http_server import Response, serve_http
from heronthread_emulator.link_proxy import Link, LinkProxy, list_links


@pytest.fixture
async def site(nursery):
    """One link before one server, and the calls that reached it."""
    with claim_network() as network:
        seen = []

        async def handle(request):
            seen.append(request.path)
            return Response(200)

        link = Link("h0>store", network.store_link(0), network.store(0))
        proxy = LinkProxy(iter([link]), 1)
        await nursery.start(serve_http, network.store(0), handle)
        await nursery.start(proxy.serve, link)
        with HttpClient() as client:
            yield proxy, link, client, seen


async def _call(client, link, timeout_s=1.0):
    return await client.call(link.listen, "GET", "/x", timeout_s=timeout_s, may_repeat=False)


async def test_calls_pass(site):
    _, link, client, seen = site
    assert isinstance(await _call(client, link), Reply)
    assert seen == ["/x"]


async def test_open_connections_go_silent_for_good_while_new_ones_work(site):
    proxy, link, client, seen = site
    await _call(client, link)
    assert await proxy.silence({"links": ["h0>*"]}) == 1
    assert isinstance(await _call(client, link, 0.3), NoReply)
    await proxy.mend({})
    assert seen == ["/x"]
    assert isinstance(await _call(client, link), Reply)


async def test_cut_holds_up_what_is_sent_until_it_is_over(site):
    proxy, link, client, seen = site
    await _call(client, link)
    await proxy.set_faults({"links": ["*>store"], "set": {"cut": ["out"]}})
    assert isinstance(await _call(client, link, 0.3), NoReply)
    assert seen == ["/x"]
    await proxy.mend({})
    with trio.fail_after(10):
        while len(seen) < 2:
            await trio.sleep(0.02)


async def test_cut_of_answers_lets_calls_be_done(site):
    proxy, link, client, seen = site
    await _call(client, link)
    await proxy.set_faults({"links": ["*"], "set": {"cut": ["back"]}})
    assert isinstance(await _call(client, link, 0.3), NoReply)
    assert seen == ["/x", "/x"]


async def test_open_connections_are_reset(site):
    proxy, link, client, _ = site
    await _call(client, link)
    assert await proxy.reset({"links": ["h0>store"]}) == 1
    assert isinstance(await _call(client, link), NoReply | Reply)
    assert isinstance(await _call(client, link), Reply)


async def test_slow_link_passes_everything(site):
    proxy, link, client, _ = site
    faults = {"delay_s": 0.01, "bytes_per_s": 50_000.0}
    await proxy.set_faults({"links": ["*"], "set": faults})
    assert isinstance(await _call(client, link, 10.0), Reply)


def test_every_pair_has_a_link():
    names = [link.name for link in list_links(Network(31), 2, 3)]
    assert sorted(set(names)) == sorted(
        ["h0>store", "h1>store", "h0>h1", "h1>h0", "callers>h0", "callers>h1", "executors>store"]
        + [f"h{h}>e{e}" for h in range(2) for e in range(3)]
    )
