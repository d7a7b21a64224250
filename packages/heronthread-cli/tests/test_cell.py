import json
import os

import pytest
import trio
from heronthread_cli import cell as cell_module
from heronthread_cli.cell import Cell
from heronthread_cli.commands import Heronthread
from heronthread_cli.exits import BadInput, CommandError, HostUnreachable
from heronthread_dispatch.executor_link import OrderOutcome, StartOrder
from heronthread_dispatch.model import Executor, Resources, TaskKey
from heronthread_dispatch.peer import serve_peers
from heronthread_emulator import EmulatedSite


async def _serve(site: EmulatedSite, name: str) -> str:
    """Serve a host's peers on a port below those that outgoing connections are given."""
    for port in range(28_500 + os.getpid() % 1_000, 32_000):
        address = f"127.0.0.1:{port}"
        try:
            await site.nursery.start(serve_peers, address, site.hosts[name].handle)
        except OSError:
            continue
        return address
    raise AssertionError("no port is free")


async def test_any_host_tells_queues_executors_guarantees_and_a_jobs_story(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async with EmulatedSite.open(executors=2) as site:
        owner = await site.wait_for_owner()
        other = next(name for name in site.hosts if name != owner)
        address = await _serve(site, other)
        await site.hosts[other].requests.accept(
            site.make_job("ab", queue="urgent", count=3, work_s=60), 2
        )
        await trio.sleep(0.5)

        async def ask(command: object, *args: str) -> list[dict[str, object]]:
            await trio.to_thread.run_sync(lambda: command(*args, host=address, json=True))  # type: ignore[operator]
            return json.loads(capsys.readouterr().out)  # type: ignore[no-any-return]

        assert (await ask(Cell().owner))[0]["owner"] == owner
        queues = {row["queue"]: row for row in await ask(Cell().queues)}
        assert queues["urgent"]["running"] == 1
        assert sum(int(str(row["runs"])) for row in await ask(Cell().executors)) == 3
        guarantees = {row["tenant"]: row for row in await ask(Cell().guarantees)}
        assert guarantees["first"]["in use"] == 3
        tasks = await ask(Cell().job, "ab")
        assert [task["state"] for task in tasks] == ["running"] * 3


async def test_executors_that_crashed_under_a_job_are_told(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async with EmulatedSite.open(hosts=1, executors=4) as site:
        await site.wait_for_owner()
        address = await _serve(site, "h0")
        site.back_after_s = 0.5
        site.executors.crashing[TaskKey("bad", 0, 0)] = 0.01
        await site.hosts["h0"].requests.accept(site.make_job("bad"), 2)
        while site.hosts["h0"].owner.cell.active:  # type: ignore[union-attr]
            await trio.sleep(0.1)
        await trio.to_thread.run_sync(lambda: Cell().job("bad", host=address))
        told = capsys.readouterr()
        assert told.err.strip().endswith("executors crashed under a task")
        assert "e0 (blamed), e1 (blamed)" in told.out
        assert "tasks_suspected 0" in site.hosts["h0"].render_statistics()


async def test_domain_is_evacuated_shown_and_taken_back(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async with EmulatedSite.open(executors=2, zones=2) as site:
        owner = await site.wait_for_owner()
        other = next(name for name in site.hosts if name != owner)
        address = await _serve(site, other)

        async def run(command: object, *args: str, **more: bool) -> tuple[str, str]:
            await trio.to_thread.run_sync(lambda: command(*args, host=address, **more))  # type: ignore[operator]
            shown = capsys.readouterr()
            return shown.out, shown.err

        out, _ = await run(Heronthread().evacuate, "z0")
        assert out == "z0: no new work starts there; 0 runs are left to end\n"
        out, err = await run(Cell().status)
        assert out.startswith(f"{owner} decides, term 1, 2 hosts\n")
        assert err == "guarantees exceed what is left by 24 accelerators\n"
        out, _ = await run(Cell().status, json=True)
        rows = {row["domain"]: row for row in json.loads(out)}
        assert (rows["z0"]["evacuated"], rows["z0"]["asked by"]) == (True, "command")
        assert rows["z1"]["evacuated"] is False
        await run(Heronthread().evacuate, "z1")
        site.evacuate("z9")
        await trio.sleep(0.3)
        _, err = await run(Cell().status)
        assert "every failure domain is evacuated" in err
        assert "z9: evacuated, but no executor is known there" in err
        out, _ = await run(Heronthread().evacuate, "z1", undo=True)
        assert out == "z1: takes new work again\n"
        site.evacuate("z0")
        await trio.sleep(0.3)
        out, _ = await run(Heronthread().evacuate, "z0", undo=True)
        assert out == "z0: still evacuated, as the platform's operator asks for it\n"
        with pytest.raises(BadInput, match="z0: the platform's operator asks for it; remove"):
            await run(Heronthread().evacuate, "z0", undo=True)
        with pytest.raises(BadInput, match="zx: no executor is known there; there are z0, z1"):
            await run(Heronthread().evacuate, "zx")
        place, start = site.executors.by_id["e1"], site.executors.start

        async def partition(executor: Executor, order: StartOrder) -> OrderOutcome:
            place.is_cut = True
            return await start(executor, order)

        site.executors.start = partition  # type: ignore[method-assign]
        await site.hosts[owner].requests.accept(site.make_job("a"), 2.0)
        await trio.sleep(0.1)
        with pytest.raises(CommandError, match="not confirmed yet, run it again: asked for, but"):
            await run(Heronthread().evacuate, "z1")
        place.is_cut = False


async def test_load_is_shown_by_section_and_a_job_says_that_its_customer_is_above_its_share(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a place in the order that a fair share decides without being told."""
    async with EmulatedSite.open(executors=1) as site:
        owner = await site.wait_for_owner()
        other = next(name for name in site.hosts if name != owner)
        address = await _serve(site, other)
        cell = site.hosts[owner].owner.cell  # type: ignore[union-attr]
        use = Resources(0, 0, 8)
        cell.learned.shares.charge("pool", "first", use, use, 40.0, trio.current_time())
        for name, tenant in (("run", "first"), ("a", "first"), ("b", "second")):
            record = site.make_job(name, tenant=tenant, count=8, work_s=60)
            await site.hosts[owner].requests.accept(record, 2)
            with trio.fail_after(10):
                while not cell.jobs["run"].has_attempts:
                    await trio.sleep(0.05)
        with trio.fail_after(10):
            while not cell.learned.shares.rank("pool", "first", trio.current_time()):
                await trio.sleep(0.05)

        async def run(command: object, *args: str, **more: object) -> tuple[str, str]:
            await trio.to_thread.run_sync(lambda: command(*args, host=address, **more))  # type: ignore[operator]
            shown = capsys.readouterr()
            return shown.out, shown.err

        out, _ = await run(Cell().load, json=True)
        load = json.loads(out)
        assert load["backlog"][0]["waiting tasks"] == 16
        out, _ = await run(Cell().load)
        assert "backlog\n" in out and "reserved: nothing to show\n" in out
        out, _ = await run(Cell().load, section="customers", json=True)
        ranks = {row["tenant"]: row["rank"] for row in json.loads(out)}
        assert ranks == {"first": 1, "second": 0}
        with pytest.raises(BadInput, match="nothing: no such section; there are backlog, "):
            await run(Cell().load, section="nothing")
        _, err = await run(Cell().job, "a")
        assert "first is above its fair share of pool" in err
        assert "fair is 50% (2.0 times)" in err
        _, err = await run(Cell().job, "b")
        assert err == "place in the order: priority 1, can still be on time\n"


def test_owner_of_a_version_without_a_load_overview_is_named(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stack trace while versions are mixed."""
    monkeypatch.setattr(cell_module, "_ask", lambda *given: {"owner": "h7"})
    with pytest.raises(CommandError, match="h7 decides, in a version without a load overview"):
        Cell().load()


def test_missing_host_is_bad_input(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("HERONTHREAD_HOST", raising=False)
    with pytest.raises(BadInput, match="--host"):
        Cell().queues()


def test_dead_host_is_named() -> None:
    with pytest.raises(HostUnreachable, match=r"127\.0\.0\.1:1"):
        Cell().queues(host="127.0.0.1:1")
