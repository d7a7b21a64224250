"""The `heronthread` command."""

from __future__ import annotations

import sys

import fire

from .commands import Heronthread
from .exits import CommandError


def main() -> None:
    """Enter from the command line; errors become one message and an exit code."""
    try:
        fire.Fire(Heronthread(), name="heronthread")
    except CommandError as error:
        sys.stderr.write(f"{error}\n")
        raise SystemExit(int(error.exit_code)) from error
    except BrokenPipeError:
        sys.stderr.close()
