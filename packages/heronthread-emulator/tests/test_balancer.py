import trio
from heronthread_emulator.addresses import READINESS_PORT, claim_network
from heronthread_emulator.balancer import Balancer
from heronthread_emulator.http_server import Response, serve_http


async def test_connections_go_to_hosts_that_are_ready(nursery):
    with claim_network() as network:
        statuses = {0: 200, 1: 503}
        for host in statuses:

            async def answer(request, host=host):
                return Response(statuses[host])

            await nursery.start(serve_http, network.caller_link(host, READINESS_PORT), answer)
        balancer = Balancer(network, 1)
        balancer.set_hosts([0, 1, 2])
        nursery.start_soon(balancer.run)
        await trio.sleep(0.5)
        assert {balancer.choose() for _ in range(50)} == {0}
        statuses[0], statuses[1] = 503, 200
        with trio.fail_after(20):
            while {balancer.choose() for _ in range(50)} != {1}:
                await trio.sleep(0.1)


def test_any_host_is_used_while_none_is_ready():
    balancer = Balancer(None, 1)
    assert balancer.choose() is None
    balancer.set_hosts([3, 4])
    assert {balancer.choose() for _ in range(50)} == {3, 4}
