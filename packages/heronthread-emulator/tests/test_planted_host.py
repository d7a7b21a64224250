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
