"""Parsing the operator's configuration, and reuse of unchanged routes."""

import orjson
from heronthread_dispatch.model import DesiredState, Queue
from heronthread_platform.configuration import ConfigurationParser, make_configuration_format
from hypothesis import given
from hypothesis import strategies as st


def _route(number: int, **fields: object) -> dict[str, object]:
    route = {
        "name": f"r-{number}",
        "host": "a.example",
        "path-prefix": f"/p{number}/",
        "service": "s",
        "priority": 1,
        "max-attempts": 3,
        "stretch": 3.0,
        "target-latency-ms": 1000,
    }
    return route | fields


def _encode(version: int, routes: list[dict[str, object]]) -> bytes:
    return orjson.dumps({"version": version, "routes": routes})


def test_unchanged_routes_are_not_parsed_again() -> None:
    parser = ConfigurationParser()
    first = parser.parse(_encode(1, [_route(0), _route(1), _route(2)]))
    second = parser.parse(_encode(2, [_route(0), _route(1, priority=0), _route(3)]))
    assert first is not None and second is not None
    assert [queue.name for queue in second.queues] == ["r-0", "r-1", "r-3"]
    assert second.queues[0] is first.queues[0]
    assert second.by_name["r-1"].priority == 0


def test_invalid_route_rejects_only_its_version() -> None:
    parser = ConfigurationParser()
    assert parser.parse(_encode(1, [_route(0)])) is not None
    assert parser.parse(_encode(2, [_route(0), _route(1, priority="high")])) is None
    third = parser.parse(_encode(3, [_route(0), _route(1)]))
    assert third is not None and len(third.queues) == 2


def _find_queue_by_full_scan(state: DesiredState, host: str, path: str) -> Queue | None:
    matching = [q for q in state.queues if q.host == host and path.startswith(q.prefix)]
    return max(matching, key=lambda queue: len(queue.prefix), default=None)


_PATHS = st.text(alphabet="/ab", max_size=6).map(lambda text: f"/{text}")


@given(st.lists(st.tuples(st.sampled_from("xy"), _PATHS), max_size=12), st.lists(_PATHS))
def test_longest_matching_prefix_is_found(
    prefixes: list[tuple[str, str]], paths: list[str]
) -> None:
    queues = [
        Queue(f"r-{number}", host, prefix, "s", 1, 4, 3.0, 1.0)
        for number, (host, prefix) in enumerate(prefixes)
    ]
    state = DesiredState.build(1, queues, [], 1)
    for host in ("x", "y", "z"):
        for path in paths:
            assert state.find_queue(host, path) == _find_queue_by_full_scan(state, host, path)


def test_configuration_and_evacuations_share_a_watched_prefix() -> None:
    configuration_format = make_configuration_format()
    assert configuration_format.key.startswith(configuration_format.prefix)
    assert configuration_format.evacuations.startswith(configuration_format.prefix)
    assert configuration_format.prefix == "op/"
