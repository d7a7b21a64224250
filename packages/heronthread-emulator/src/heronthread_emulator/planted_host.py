"""Starts a host as the platform does, with a planted defect; for tests of the checks only.

Its arguments are the defect's name and the path of the real program.
"""

from __future__ import annotations

import runpy
import sys
from pathlib import Path

from .plants import planted


def main() -> None:
    """Plant the defect, then run the real program."""
    defect, program = sys.argv[1:]
    sys.argv[1:] = []
    sys.path.insert(0, str(Path(program).parent))
    with planted(defect):
        runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    main()
