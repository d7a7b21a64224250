import pytest
from heronthread_dispatch.approval import ApprovalReply, ApprovalRequest
from heronthread_dispatch.executor_link import NoAnswer
from heronthread_dispatch.http_client import HttpClient
from heronthread_dispatch.model import ApprovalTerms, ExecutorInstance, TaskKey
from heronthread_platform.approver import PlatformApprover
from heronthread_platform.configuration import ConfigurationParser

from .scripted_server import ReceivedRequest, run_scripted_server

QUESTION = ApprovalRequest(
    TaskKey("5c0e7a21d94b36f8", 1, 0, 3),
    (ExecutorInstance("i-1", 7), ExecutorInstance("i-2", 8)),
    ApprovalTerms(0.01, 0.0, 5.0),
)


async def test_request_follows_the_protocol() -> None:
    def respond(request: ReceivedRequest) -> tuple[int, object]:
        return 200, {"healthy": [["i-2", "t-9"]]}

    async with run_scripted_server(respond) as server:
        with HttpClient() as client:
            found = await PlatformApprover(client, server.address).ask(QUESTION)
    assert found == ApprovalReply({"i-2": "t-9"})
    assert (server.requests[0].method, server.requests[0].target) == ("POST", "/heronthread/advise")
    assert server.requests[0].body == {"step": "5c0e7a21d94b36f8.3.1", "workers": ["i-1", "i-2"]}


@pytest.mark.parametrize("reply", [(429, {}), (200, {}), (200, [1]), (200, {"healthy": [1]}), None])
async def test_invalid_or_missing_response_is_unanswered(reply: tuple[int, object] | None) -> None:
    async with run_scripted_server(lambda request: reply) as server:
        with HttpClient() as client:
            found = await PlatformApprover(client, server.address).ask(QUESTION)
    assert isinstance(found, NoAnswer)


def test_approval_terms_are_read_from_the_configuration() -> None:
    route = b'{"name":"r","host":"h","path-prefix":"/r/","service":"s","advice":%s}'
    advice = b'{"decision-ms":200,"per-item-ms":2,"validity-ms":4000}'
    state = ConfigurationParser().parse(b'{"version":3,"routes":[%s]}' % (route % advice))
    assert state is not None
    assert state.queues[0].approval == ApprovalTerms(0.2, 0.002, 4.0)
