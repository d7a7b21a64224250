import signal
import subprocess
import sys
import time

import pytest
from heronthread_emulator import soak_processes
from heronthread_emulator.soak_processes import Processes, TooManyProcesses

SLEEP = ["-c", "import time; time.sleep(600)"]
STUBBORN = ["-c", "import signal, time; signal.signal(15, signal.SIG_IGN); time.sleep(600)"]


def test_leaving_the_context_ends_what_is_left(tmp_path):
    with Processes(tmp_path) as processes:
        processes.start("a", SLEEP, {})
        processes.start("frozen", SLEEP, {})
        processes.send("frozen", signal.SIGSTOP)
        started = list(processes.running.values())
    assert all(process.poll() is not None for process in started)


def test_an_error_ends_them_too(tmp_path):
    started = []
    with pytest.raises(KeyboardInterrupt), Processes(tmp_path) as processes:
        processes.start("a", SLEEP, {})
        started += processes.running.values()
        raise KeyboardInterrupt
    assert started[0].poll() is not None


async def test_those_that_do_not_listen_are_killed(tmp_path, monkeypatch):
    monkeypatch.setattr(soak_processes, "LAST_WAIT_S", 0.5)
    with Processes(tmp_path) as processes:
        processes.start("a", STUBBORN, {})
        started = list(processes.running.values())
        await processes.end()
    assert started[0].poll() is not None


def test_their_number_is_bounded(tmp_path, monkeypatch):
    monkeypatch.setattr(soak_processes, "MOST_PROCESSES", 1)
    with Processes(tmp_path) as processes:
        processes.start("a", SLEEP, {})
        with pytest.raises(TooManyProcesses):
            processes.start("b", SLEEP, {})


def test_they_end_with_their_owner_however_it_ends(tmp_path):
    text = (
        "import os, pathlib, time\n"
        "from heronthread_emulator.soak_processes import Processes\n"
        f"with Processes(pathlib.Path({str(tmp_path)!r})) as processes:\n"
        f"    processes.start('a', {SLEEP!r}, {{}})\n"
        "    print(processes.running['a'].pid, flush=True)\n"
        "    time.sleep(600)\n"
    )
    owner = subprocess.Popen([sys.executable, "-c", text], stdout=subprocess.PIPE)
    child = int(owner.stdout.readline())
    owner.kill()
    owner.wait()
    owner.stdout.close()
    deadline = time.monotonic() + 30
    while _is_running(child) and time.monotonic() < deadline:
        time.sleep(0.05)
    assert not _is_running(child)


def _is_running(number):
    try:
        with open(f"/proc/{number}/stat") as status:
            return status.read().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def test_each_has_a_log(tmp_path):
    with Processes(tmp_path) as processes:
        processes.start("a", ["-c", "import os; print(os.environ['WORD'])"], {"WORD": "here"})
        processes.running["a"].wait(30)
    assert (tmp_path / "a.log").read_text() == "here\n"
