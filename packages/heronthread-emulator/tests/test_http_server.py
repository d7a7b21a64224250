import pytest
from heronthread_dispatch.http_client import HttpClient, NoReply, Reply
from heronthread_emulator.http_server import NoResponse, Response, serve_http

ADDRESS = "127.19.0.2:9000"


@pytest.fixture
async def client(nursery):
    async def answer(request):
        if request.path == "/reset":
            return NoResponse.RESET
        if request.path == "/silence":
            return NoResponse.SILENCE
        told = {"path": request.path, "query": request.query, "body": request.read_json()}
        return Response(201, told)

    await nursery.start(serve_http, ADDRESS, answer)
    with HttpClient() as client:
        yield client


async def test_request_is_read_whole(client):
    reply = await client.call(ADDRESS, "POST", "/a?b=c%20d", body=b'{"e": 1}', timeout_s=5)
    assert reply == Reply(201, b'{"path": "/a", "query": {"b": "c d"}, "body": {"e": 1}}')


async def test_connection_is_kept(client):
    for _ in range(3):
        await client.call(ADDRESS, "GET", "/a", timeout_s=5)
    assert len(client.idle[ADDRESS]) == 1


async def test_call_is_reset(client):
    reply = await client.call(ADDRESS, "GET", "/reset", timeout_s=5)
    assert isinstance(reply, NoReply)
    assert "no answer in" not in reply.reason


async def test_call_is_left_without_an_answer(client):
    reply = await client.call(ADDRESS, "GET", "/silence", timeout_s=0.3)
    assert isinstance(reply, NoReply)
    assert "no answer in" in reply.reason
