"""An HTTP server with stand-ins for the store, the workers and the host list, for tests.

`python -m heronthread_daemon.standin --file examples/fopgap-lima.json --port 9100` serves
the store under `/store`, and the workers and the host list under `/platform`.
"""

from __future__ import annotations

import base64
import json
from pathlib import Path

import fire
import trio
from heronthread_coordination import Conflict, Entry, Member, Unavailable, Unknown
from heronthread_coordination.memory import MemoryStore
from heronthread_scheduling import DesiredState, Pool, Refused, load_desired
from heronthread_scheduling.cell import cell_workers
from hypercorn.trio import serve
from quart import Response, request
from quart_trio import QuartTrio

from .host_list import StandinHostList
from .server import make_config
from .standin_worker import StandinWorkers
from .store_http import RANGE, REVISION_HEADER
from .worker import Unreachable
from .worker_http import EXCHANGE, REPLY


def make_standin_workers(state: DesiredState) -> StandinWorkers:
    """Return stand-ins for all declared workers."""
    units = {
        worker.name: {pool.value: worker.count(pool) for pool in Pool}
        for cell in state.topology.cells
        for worker in cell_workers(state, cell.name)
    }
    return StandinWorkers(units)


def make_app(store: MemoryStore, workers: StandinWorkers, hosts: StandinHostList) -> QuartTrio:
    """Return an application that serves the three stand-ins."""
    app = QuartTrio(__name__)
    app.config["MAX_CONTENT_LENGTH"] = 4_000_000
    _add_store(app, store)
    _add_platform(app, workers, hosts)
    return app


def _add_store(app: QuartTrio, store: MemoryStore) -> None:
    @app.get("/store/keys/<path:key>")
    async def read(key: str) -> Response:
        return _entry_response(await store.read(key))

    @app.get("/store/watch/<path:key>")
    async def watch(key: str) -> Response:
        revision = int(request.args["revision"])
        wait_s = float(request.args["wait_s"])
        return _entry_response(await store.watch(key, revision=revision, wait_s=wait_s))

    @app.get("/store/range")
    async def read_range() -> Response:
        found = await store.read_range(request.args["prefix"], request.args["after"])
        if isinstance(found, Unavailable):
            return Response(found.reason, status=503)
        items = [(e.key, base64.b64encode(e.value).decode(), e.revision) for e in found]
        return Response(RANGE.dump_json(items), content_type="application/json")

    @app.put("/store/keys/<path:key>")
    async def write(key: str) -> Response:
        value = await request.get_data()
        assert isinstance(value, bytes)
        return _write_response(await store.write(key, value, expect=int(request.args["expect"])))

    @app.delete("/store/keys/<path:key>")
    async def delete(key: str) -> Response:
        return _write_response(await store.delete(key))

    @app.post("/store/faults/down/<int:down>")
    async def set_down(down: int) -> Response:
        store.set_down(bool(down))
        return Response("")


def _add_platform(app: QuartTrio, workers: StandinWorkers, hosts: StandinHostList) -> None:
    @app.post("/platform/workers/<name>/exchange")
    async def exchange(name: str) -> Response:
        outcome = await workers.exchange(name, EXCHANGE.validate_json(await request.get_data()))
        if isinstance(outcome, Unreachable):
            return Response(outcome.reason, status=503)
        return Response(REPLY.dump_json(outcome), content_type="application/json")

    @app.get("/platform/hosts")
    async def listing() -> Response:
        found = await hosts.fetch()
        if isinstance(found, Unavailable):
            return Response(found.reason, status=503)
        members = [
            {"name": m.name, "address": m.address, "region": m.region, "leaving": m.leaving}
            for m in found.hosts
        ]
        body = {
            "version": found.version,
            "hosts": members,
            "leaving_workers": list(found.leaving_workers),
        }
        return Response(json.dumps(body), content_type="application/json")


def _entry_response(outcome: object) -> Response:
    if isinstance(outcome, Unavailable):
        return Response(outcome.reason, status=503)
    if isinstance(outcome, Entry):
        return Response(outcome.value, headers={REVISION_HEADER: str(outcome.revision)})
    return Response("", status=404)


def _write_response(outcome: object) -> Response:
    if isinstance(outcome, Unavailable):
        return Response(outcome.reason, status=503)
    if isinstance(outcome, Unknown):
        return Response(outcome.reason, status=500)
    if isinstance(outcome, Conflict):
        current = outcome.current
        value = current.value if isinstance(current, Entry) else b""
        return Response(value, status=409, headers={REVISION_HEADER: str(current.revision)})
    return Response("", headers={REVISION_HEADER: str(getattr(outcome, "revision", 0))})


def main(file: str, port: int = 9100, hosts: str = "") -> None:
    """Serve stand-ins for the topology in FILE on loopback; HOSTS is `name=ip:port,...`."""
    state = load_desired(Path(file).read_text(encoding="utf-8"))
    if isinstance(state, Refused):
        raise SystemExit(str(state))
    listed = [item.split("=") for item in hosts.split(",") if item]
    members = tuple(Member(name, address) for name, address in listed)
    host_list = StandinHostList()
    host_list.set_hosts(members)
    app = make_app(MemoryStore(), make_standin_workers(state), host_list)
    trio.run(serve, app, make_config(f"127.0.0.1:{port}"))


if __name__ == "__main__":
    fire.Fire(main)
