import subprocess
import sys


def test_program_runs_as_itself_with_the_defect(tmp_path):
    (tmp_path / "helper.py").write_text("WORD = 'beside'\n")
    program = tmp_path / "main.py"
    program.write_text(
        "import helper\n"
        "from heronthread_dispatch.progress import JobState\n"
        "if __name__ == '__main__':\n"
        "    print(helper.WORD, JobState.status.fget.__module__)\n"
    )
    command = [sys.executable, "-m", "heronthread_emulator.planted_host"]
    done = subprocess.run(
        [*command, "show-success-early", str(program)], capture_output=True, text=True, timeout=60
    )
    assert done.stdout.split() == ["beside", "heronthread_emulator.plants"]


def test_suspension_holds_the_steady_clock_and_counts(tmp_path):
    held = tmp_path / "suspended"
    held.write_text("5.5")
    program = tmp_path / "main.py"
    program.write_text(
        "import os, signal\n"
        "from heronthread_dispatch import clock\n"
        "from trio._core._run import SystemClock\n"
        "source = SystemClock(offset=0.0)\n"
        "steady, away = source.current_time(), clock.suspended_s()\n"
        "os.kill(os.getpid(), signal.SIGUSR1)\n"
        "print(steady - source.current_time() > 5.0, clock.suspended_s() - away > 5.0)\n"
    )
    command = [sys.executable, "-m", "heronthread_emulator.planted_host", ""]
    done = subprocess.run(
        [*command, str(program), str(held)], capture_output=True, text=True, timeout=60
    )
    assert done.stdout.split() == ["True", "True"]
