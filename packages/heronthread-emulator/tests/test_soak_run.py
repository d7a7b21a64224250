"""Short seeds of real processes: what is sound keeps its promises, a planted defect is caught."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from heronthread_emulator.soak_run import LONGEST_S, run_seeds
from heronthread_emulator.soak_site import SiteSettings

ROOT = Path(__file__).parents[3]
SMALL = {"hosts": 3, "executors": 4, "jobs": 12, "faults_s": 6.0}
CROWDED = {**SMALL, "jobs": 40, "settle_s": 10.0}
"""More than fits at a time, so that tasks of a job wait while others of it end."""
GROUPS = {
    1: "orders_late_beside_refusals,orders_unanswered,change_configuration",
    2: "kill_owner,stop_any,reload_settings,change_configuration",
    3: "links_silent_for_good,links_reset,store_busy",
    4: "power_lost_beside_silence,owner_killed_beside_silence,executor_cut_by_refusals",
    5: "watches_miss_changes,change_configuration",
}
SEEDS_TRIED = 3


def test_promises_are_kept_under_short_series_of_faults(tmp_path):
    sites = [SiteSettings(seed, ROOT, only=only, **SMALL) for seed, only in GROUPS.items()]
    outcomes = run_seeds(sites, tmp_path, at_once=len(sites))
    assert [(o.seed, o.failure, o.violations) for o in outcomes] == [(s, "", []) for s in GROUPS]
    assert all(outcome.jobs and outcome.starts and outcome.faults for outcome in outcomes)
    assert list(tmp_path.iterdir()) == []


def test_planted_defect_is_caught_and_its_logs_are_kept(tmp_path):
    """A job of several tasks that differ in their ends is shown as succeeded too early."""
    planted = {"plant": "show-success-early", "only": "change_configuration"}
    sites = [SiteSettings(seed, ROOT, **planted, **CROWDED) for seed in range(SEEDS_TRIED)]
    outcomes = run_seeds(sites, tmp_path, at_once=SEEDS_TRIED)
    assert [outcome.failure for outcome in outcomes] == [""] * SEEDS_TRIED
    caught = [outcome for outcome in outcomes if outcome.violations]
    assert caught
    assert {v.promise for o in caught for v in o.violations} >= {"succeeded means all is done"}
    assert (caught[0].folder / "executor_server.log").exists()


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_interrupted_soak_ends_what_it_started(tmp_path, number):
    text = (
        "from pathlib import Path\n"
        "from heronthread_emulator.soak_run import run_seeds\n"
        "from heronthread_emulator.soak_site import SiteSettings\n"
        f"run_seeds([SiteSettings(1, Path({str(ROOT)!r}))], Path({str(tmp_path)!r}))\n"
    )
    soak = subprocess.Popen([sys.executable, "-c", text], stderr=subprocess.DEVNULL)
    try:
        children = _wait_for_children(soak, 4)
        soak.send_signal(number)
        # One that is not interrupted plays on to its end, which is bounded, and then says 0.
        assert soak.wait(LONGEST_S) != 0
        _wait_until(lambda: not any(map(_is_running, children)))
    finally:
        soak.kill()
        soak.wait()


def _wait_for_children(soak, count):
    """Return the processes that a soak has started, once there are so many; it must not end first.

    How long that takes depends on what else the machine does: 18 s beside 24 busy processes.
    """
    children = _list_children(soak.pid)
    while len(children) < count:
        assert soak.poll() is None
        time.sleep(0.1)
        children = _list_children(soak.pid)
    return children


def _wait_until(check):
    deadline = time.monotonic() + 60
    while not check():
        assert time.monotonic() < deadline
        time.sleep(0.1)


def _list_children(number):
    return [
        int(child) for child in Path(f"/proc/{number}/task/{number}/children").read_text().split()
    ]


def _is_running(number):
    try:
        status = Path(f"/proc/{number}/stat").read_text()
    except OSError:
        return False
    return status.rpartition(")")[2].split()[0] != "Z" and os.path.exists(f"/proc/{number}")
