"""The `heronthreadd` command."""

from __future__ import annotations

import sys
from pathlib import Path

import fire
import trio
from heronthread_scheduling import Refused

from .server import run_daemon
from .settings import load_settings

EXIT_BAD_INPUT = 2


def run(settings: str) -> None:
    """Run one entry host.

    Args:
        settings: path of the JSON settings file; docs/operators/settings.md lists its fields.
    """
    try:
        text = Path(settings).read_text(encoding="utf-8")
    except OSError as error:
        sys.stderr.write(f"heronthreadd: {settings}: {error.strerror}\n")
        raise SystemExit(EXIT_BAD_INPUT) from error
    checked = load_settings(text)
    if isinstance(checked, Refused):
        sys.stderr.write(f"{checked}\n")
        raise SystemExit(EXIT_BAD_INPUT)
    trio.run(run_daemon, checked)


def main() -> None:
    """Run the command line."""
    fire.Fire(run, name="heronthreadd")
