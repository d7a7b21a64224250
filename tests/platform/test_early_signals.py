"""SIGHUP during startup, before the signal handlers of the process are installed."""

import os
import signal
import subprocess
import sys
from pathlib import Path

from heronthread_platform.process import EXIT_BAD_SETTINGS

MAIN = Path(__file__).parents[2] / "platform" / "main.py"


def test_sighup_during_startup_does_not_end_the_process(tmp_path: Path) -> None:
    """SIGHUP must not end a starting process; its settings are a pipe, which delays the start."""
    path = tmp_path / "settings.json"
    os.mkfifo(path)
    environment = os.environ | {"HERONTHREAD_NODE_FILE": str(path)}
    process = subprocess.Popen([sys.executable, str(MAIN)], env=environment)
    with path.open("wb") as settings:
        process.send_signal(signal.SIGHUP)
        settings.write(b"no settings")
    assert process.wait(timeout=60) == EXIT_BAD_SETTINGS
