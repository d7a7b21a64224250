"""The subcommands: first those that only ask, then those that change something."""

from __future__ import annotations

import getpass
import json
import time
import uuid
from dataclasses import asdict
from pathlib import Path
from typing import Any

import trio
from heronthread_scheduling import (
    DesiredState,
    Refused,
    Snapshot,
    load_desired,
    plan_event,
    problems_of,
)
from pydantic import ValidationError

from .cell import Cell, ask_evacuation
from .client import Client
from .day import describe_day
from .day_tables import show_day, show_losses
from .demo import DemoResult, run_demo
from .emulation import Emulation
from .exits import BadInput, CommandError, HostUnreachable
from .experiment import Experiment
from .output import note, print_line, show_rows
from .soak import Soak
from .table import format_table
from .trace import trace_request

SPREAD_TIMEOUT_S = 9.0
POLL_S = 0.3


def _read(file: str) -> bytes:
    try:
        return Path(str(file)).read_bytes()
    except OSError as error:
        raise BadInput(f"{file}: {error.strerror}") from error


def _load(file: str, now: float | None) -> DesiredState:
    state = load_desired(_read(file), now=now)
    if isinstance(state, Refused):
        raise BadInput(str(state))
    return state


class Queries:
    """Subcommands that change nothing."""

    def check(self, file: str) -> None:
        """Check a desired-state file without applying it.

        Prints one line for each problem: the JSON path, what is wrong, how to mend it.
        Exits with 0 if the file is good and with 2 if it is not.

        Args:
            file: path of the JSON file.
        """
        state = _load(file, time.time())
        jobs = sum(job.count for event in state.events for job in event.jobs)
        print_line(f"{file}: good; {len(state.customers)} customers, {jobs} jobs in events")

    def diff(self, file: str, url: str | None = None, json: bool = False) -> None:
        """Show what applying a file would change.

        Args:
            file: path of the JSON file.
            url: an entry host; default HERONTHREAD_URL.
            json: print one JSON array.
        """
        from heronthread_daemon.sections import split_state

        new = split_state(_load(file, None))
        with Client(url) as client:
            generation = client.get("/v1/configuration")["generation"]
            old = {}
            if generation:
                current = client.get("/v1/configuration/file")
                old = split_state(DesiredState.model_validate(current))
        rows = [
            {"section": name, "change": _change_of(old.get(name), new.get(name))}
            for name in sorted(old.keys() | new.keys())
            if old.get(name) != new.get(name)
        ]
        if not json:
            note(f"against generation {generation}")
        show_rows(rows, ["section", "change"], as_json=json)

    def plan(
        self, file: str, workers: str | None = None, event: str | None = None, json: bool = False
    ) -> None:
        """Show what an event would decide, job by job, without a daemon.

        The same code decides as in the daemon. With --workers the decisions start from a
        snapshot: JSON with `lost` (names of workers) and `gangs` (running jobs with their
        places); the gangs that would be taken back are named, with what that loses.

        Args:
            file: path of the desired-state file.
            workers: path of a snapshot; by default all workers are empty.
            event: name of the event; by default the file's first.
            json: print one JSON object.
        """
        state = _load(file, None)
        snapshot = Snapshot()
        if workers is not None:
            try:
                snapshot = Snapshot.model_validate_json(_read(workers))
            except ValidationError as error:
                raise BadInput(str(problems_of(error))) from error
        plan = plan_event(state, event, snapshot)
        if isinstance(plan, Refused):
            raise BadInput(str(plan))
        rows = [asdict(job) for job in plan.jobs]
        if json:
            print_line(_to_json({"event": plan.event, "jobs": rows}))
            return
        for row in rows:
            row["places"] = " ".join(f"{n}:{u}" for n, u in row["places"].items())
            row["takes_back"] = "; ".join(row["takes_back"])
        columns = ["job", "customer", "outcome", "order", "places", "cause", "reason", "takes_back"]
        show_rows(rows, columns, as_json=False)

    def status(self, url: str | None = None, json: bool = False) -> None:
        """Show a host, its cells and the histograms per customer and class.

        Args:
            url: an entry host; default HERONTHREAD_URL.
            json: print one JSON object.
        """
        with Client(url) as client:
            status = client.get("/v1/status")
        if json:
            print_line(_to_json(status))
            return
        ready = "ready" if status["ready"] else "not ready"
        store = "up" if status["store_ok"] else "down"
        print_line(f"{status['host']}: {ready}, generation {status['generation']}, store {store}")
        cells = ["cell", "owner", "epoch", "standing", "waiting", "running", "unbacked"]
        show_rows(status["cells"], cells, as_json=False)
        columns = ["customer", "class", "measure", "count", "p50_ms", "p95_ms", "p99_ms"]
        show_rows(status["histograms"], columns, as_json=False)

    def events(self, url: str | None = None, json: bool = False) -> None:
        """List the declared events and their starts.

        Args:
            url: an entry host; default HERONTHREAD_URL.
            json: print one JSON array.
        """
        with Client(url) as client:
            rows = client.get("/v1/events")
        show_rows(rows, ["name", "start", "time_zone", "starts_in_s", "jobs"], as_json=json)

    def jobs(
        self, customer: str = "", state: str = "", url: str | None = None, json: bool = False
    ) -> None:
        """List jobs with their states.

        Args:
            customer: only this customer's.
            state: only those in this state, for example `in-doubt`.
            url: an entry host; default HERONTHREAD_URL.
            json: print one JSON array.
        """
        with Client(url) as client:
            rows = client.get("/v1/jobs", customer=customer, state=state)
        show_rows(
            rows, ["job_id", "customer", "job_class", "state", "cause", "reason"], as_json=json
        )

    def explain(
        self, job: str, customer: str | None = None, url: str | None = None, json: bool = False
    ) -> None:
        """Say why a job waits, or where it runs and why there.

        Args:
            job: the job's id, as `jobs` lists it.
            customer: the customer, needed for a job of an event.
            url: an entry host; default HERONTHREAD_URL.
            json: print one JSON object.
        """
        with Client(url) as client:
            view = client.get(f"/v1/jobs/{job}", customer=customer)
        if json:
            print_line(_to_json(view))
            return
        places = ", ".join(f"{units} on {name}" for name, units in view["places"].items())
        print_line(f"{view['job_id']}: {view['state']}" + (f" ({places})" if places else ""))
        print_line(f"  {view['cause'] or '-'}: {view['reason'] or 'nothing to explain'}")

    def trace(self, request: str, *logs: str, json: bool = False) -> None:
        """Tell the story of one request from the logs of all hosts, in order.

        Exits with 2 if no log names the request.

        Args:
            request: the id of the job.
            logs: paths of log files, one for each host or all in one.
            json: print rows as JSON.
        """
        texts = [_read(log).decode(errors="replace").splitlines() for log in logs]
        trace = trace_request(str(request), texts)
        if not trace.lines:
            raise BadInput(f"{request}: no line of {len(logs)} logs names it")
        rows = [
            {"at s": line.at, "host": line.host, "event": line.event, "what": _pairs(line.fields)}
            for line in trace.lines
        ]
        show_rows(rows, ["at s", "host", "event", "what"], as_json=json)
        if trace.unreadable:
            note(f"{trace.unreadable} lines could not be read")

    def day(self, *logs: str, json: bool = False, losses: bool = False) -> None:
        """Show a day from the logs of all hosts: takeovers, outages, waiting, use of racks.

        Args:
            logs: paths of log files, one for each host or all in one.
            json: print JSON.
            losses: print only the requests that were lost or late, each with its cause.
        """
        day = describe_day(_read(log).decode(errors="replace").splitlines() for log in logs)
        if not day.lines:
            raise BadInput(f"{len(logs)} logs hold no line that can be read")
        if losses:
            show_losses(day.losses, as_json=json)
        else:
            show_day(day, as_json=json)

    def report(self, event: str, out: str, log: str, file: str) -> None:
        """Write one self-contained HTML page about an event, from JSON-line logs.

        Args:
            event: name of the event.
            out: path of the page.
            log: path of the logs of daemons and workers, JSON lines.
            file: path of the desired-state file that was in force.
        """
        from .report import write_report

        state = _load(file, None)
        with Path(log).open(encoding="utf-8") as lines:
            write_report(state, event, lines, Path(out))
        note(f"wrote {out}")


class Heronthread(Queries, Soak, Experiment):
    """Operate heronthread: check and apply files, follow events, explain decisions.

    Exit codes: 0 good, 1 refused or failed, 2 bad input, 3 no host answered, 4 another
    apply came first. HERONTHREAD_URL names the entry host to talk to; `cell` asks the hosts
    of a running cell, and HERONTHREAD_HOST names one of them.
    """

    cell = Cell()
    emulation = Emulation()

    def apply(
        self,
        file: str,
        url: str | None = None,
        apply_id: str | None = None,
        expect_generation: int | None = None,
        json: bool = False,
    ) -> None:
        """Put a whole desired-state file in force, and watch it spread to all hosts.

        Of two operators who apply at once, one wins; the other gets exit code 4 and the
        winner's name. After a lost answer run it again with the same --apply-id.

        Args:
            file: path of the JSON file.
            url: an entry host; default HERONTHREAD_URL.
            apply_id: a unique id of this apply; made up if left out.
            expect_generation: refuse unless this generation is in force.
            json: print one JSON object.
        """
        apply_id = apply_id or uuid.uuid4().hex
        with Client(url) as client:
            try:
                result = client.put(
                    "/v1/configuration",
                    _read(file),
                    apply_id=apply_id,
                    operator=getpass.getuser(),
                    expect_generation=expect_generation,
                )
            except HostUnreachable as error:
                text = f"{error}\nwhether it took effect: heronthread apply --apply-id {apply_id}"
                raise HostUnreachable(text) from error
            generation = result["generation"]
            note(f"generation {generation} is accepted (apply id {apply_id})")
            result["hosts"] = _watch_spread(client, generation)
        behind = [name for name, known in result["hosts"].items() if known < generation]
        if json:
            print_line(_to_json(result))
        elif behind:
            print_line(f"in force, but not yet heard from {', '.join(behind)}; see status there")
        else:
            print_line(f"generation {generation} is in force at {len(result['hosts'])} hosts")

    def submit(
        self, file: str, wait_s: float = 0.0, url: str | None = None, json: bool = False
    ) -> None:
        """Submit one job and print its outcome or its state.

        Args:
            file: path of a JSON job with a request_id; docs/configuration.md lists the fields.
            wait_s: how long to wait for the outcome, in seconds.
            url: an entry host; default HERONTHREAD_URL.
            json: print one JSON object.
        """
        with Client(url) as client:
            view = client.post("/v1/jobs", _read(file), wait_s=wait_s)
        print_line(
            _to_json(view) if json else f"{view['job_id']}: {view['state']} {view['answer']}"
        )

    def cancel(self, job: str, customer: str | None = None, url: str | None = None) -> None:
        """Cancel a job: a waiting one is not run, a running one is stopped.

        Args:
            job: the job's id.
            customer: the customer, needed for a job of an event.
            url: an entry host; default HERONTHREAD_URL.
        """
        with Client(url) as client:
            view = client.delete(f"/v1/jobs/{job}", customer=customer, wait_s=5)
        print_line(f"{view['job_id']}: {view['state']} {view['reason']}")

    def settle(
        self, job: str, state: str, note: str, customer: str | None = None, url: str | None = None
    ) -> None:
        """Settle a job that is in doubt, after finding out what it did.

        Args:
            job: the job's id.
            state: `done`, `failed` or `not-run`, as you found out.
            note: how you know; kept in the ledger.
            customer: the customer, needed for a job of an event.
            url: an entry host; default HERONTHREAD_URL.
        """
        if state not in ("done", "failed", "not-run"):
            raise BadInput("$.state: settle as done, failed or not-run")
        order = _to_json({"job_id": job, "state": state, "note": note}).encode()
        with Client(url) as client:
            view = client.post("/v1/settlements", order, customer=customer)
        print_line(f"{view['job_id']}: {view['state']} {view['reason']}")

    def drain(self, host: str, url: str | None = None) -> None:
        """Begin the planned stop of an entry host; no request in progress is cut.

        Args:
            host: the host's name, compared with the one that answers at --url.
            url: the HTTP address of that host; default HERONTHREAD_URL.
        """
        with Client(url) as client:
            name = client.get("/v1/status")["host"]
            if name != host:
                raise BadInput(f"{client.url} is {name}, not {host}; name its own --url")
            left = client.post("/v1/drain")["in_progress"]
        print_line(f"{host}: stopping after {left} requests")

    def evacuate(
        self, domain: str, undo: bool = False, host: str | None = None, json: bool = False
    ) -> None:
        """Start no new work in a failure domain until that is taken back.

        Ends once it is in force; what runs there is left to end. Exits with 1 if that can't
        be confirmed yet: run it again.

        Args:
            domain: its name, as `cell status` lists it.
            undo: take it back.
            host: IP:PORT of any host of the cell; default HERONTHREAD_HOST.
            json: print a row as JSON.
        """
        ask_evacuation(domain, undo, host, json)

    def demo(
        self,
        file: str | None = None,
        hosts: int = 9,
        speed: float = 300.0,
        log: str | None = None,
        json: bool = False,
    ) -> None:
        """Run one event on stand-ins, on this machine, in shortened time.

        Args:
            file: a desired-state file with one cell; by default FOPGAP Lima's nightly close.
            hosts: how many entry hosts to run.
            speed: by how much lengths are divided.
            log: also write the JSON-line logs to this file, for `report`.
            json: print one JSON object.
        """
        path = file or str(_default_file())
        state = _load(path, None)
        log_path = Path(log) if log else None
        result = trio.run(
            lambda: run_demo(state, hosts=hosts, speed=speed, log=log_path, progress=note)
        )
        print_line(result.to_json() if json else _describe(result))
        if result.lost or result.doubled or result.partial_gangs:
            raise CommandError("the demo broke a promise; please report it with its log")


def _pairs(fields: dict[str, Any]) -> str:
    return " ".join(f"{name}={value}" for name, value in fields.items())


def _watch_spread(client: Client, generation: int) -> dict[str, int]:
    """Show how a generation spreads, until every usable host has it or time is up."""
    deadline = time.monotonic() + SPREAD_TIMEOUT_S
    shown = -1
    while True:
        hosts: dict[str, int] = client.get("/v1/configuration")["hosts"]
        reached = sum(known >= generation for known in hosts.values())
        if reached != shown:
            note(f"{reached} of {len(hosts)} hosts have it")
            shown = reached
        if reached == len(hosts) or time.monotonic() > deadline:
            return hosts
        time.sleep(POLL_S)


def _change_of(old: bytes | None, new: bytes | None) -> str:
    if old is None:
        return "added"
    return "removed" if new is None else "changed"


def _to_json(value: object) -> str:
    return json.dumps(value, ensure_ascii=False)


def _default_file() -> Path:
    candidate = Path("examples/fopgap-lima.json")
    if not candidate.exists():
        raise BadInput("run it from the root of the repository, or name a --file")
    return candidate


def _describe(result: DemoResult) -> str:
    rows = [
        [g.customer, g.job_class, g.jobs, g.done, g.not_run, g.p50_s, g.p95_s]
        for g in result.groups
    ]
    headers = ["customer", "class", "jobs", "done", "not run", "p50 s", "p95 s"]
    summary = (
        f"{result.deployment}, {result.event}, {result.hosts} hosts: {result.done} of "
        f"{result.jobs} jobs done, {result.not_run} not run, {result.lost} lost, "
        f"{result.doubled} doubled, {result.partial_gangs} partial gangs; "
        f"fragmentation {result.fragmentation:.3f}; {result.elapsed_s:.0f} s"
    )
    return format_table(headers, rows) + "\n" + summary
