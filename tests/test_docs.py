"""Every command that the README and the operators' pages show runs as written."""

from __future__ import annotations

import os
import re
import shlex
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from .test_processes import ROOT, Deployment, apply, deployment, ready, wait_for

__all__ = ["deployment"]

PAGES = [ROOT / "README.md", *sorted((ROOT / "docs" / "operators").glob("*.md"))]
BLOCK = re.compile(r"```console\n(.*?)```", re.DOTALL)
MADE_BY_CI = {"make demo", "make test"}


def extract_commands(page: Path) -> list[str]:
    lines = [line for block in BLOCK.findall(page.read_text()) for line in block.splitlines()]
    return [line.removeprefix("$ ") for line in lines if line.startswith("$ ")]


def test_pages_show_commands():
    assert sum(len(extract_commands(page)) for page in PAGES) > 15


def test_make_targets_exist():
    shown = {c for page in PAGES for c in extract_commands(page) if c.startswith("make ")}
    assert shown <= MADE_BY_CI
    makefile = (ROOT / "Makefile").read_text()
    assert all(f"\n{command.split()[1]}:" in makefile for command in shown)


def test_commands_run_as_written(deployment: Deployment):
    apply(deployment, "a")
    wait_for(lambda: ready(deployment, "b"), "readiness")
    wait_for(deployment.owner, "an owner")
    path = f"{Path(sys.executable).parent}{os.pathsep}{os.environ['PATH']}"
    url = f"http://{deployment.http['b']}"
    environment = {**os.environ, "PATH": path, "HERONTHREAD_URL": url}
    for page in PAGES:
        for command in extract_commands(page):
            if command in MADE_BY_CI:
                continue
            result = subprocess.run(
                shlex.split(command), cwd=ROOT, env=environment, capture_output=True, text=True
            )
            assert result.returncode == 0, f"{page.name}: {command}\n{result.stderr}"


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_somewhere(page: Path):
    for target in re.findall(r"\]\(([^)#]+)\)", page.read_text()):
        assert (page.parent / target).exists(), target


SHELL_BLOCK = re.compile(r"```sh\n(.*?)```", re.DOTALL)


def claim_alone(address: tuple[str, int]) -> socket.socket:
    """Wait until no other run of these tests uses the page's ports, and keep them from others.

    The page names ports of its own, so two runs at a time would meet at them.
    """
    claim = socket.socket(type=socket.SOCK_DGRAM)

    def bind() -> bool:
        try:
            claim.bind(address)
        except OSError:
            return False
        return True

    wait_for(bind, "the ports of the page")
    return claim


def test_install_page_works_as_written(tmp_path: Path):
    """Start what the page starts, then run what it shows against the default address."""
    page = ROOT / "docs" / "operators" / "install.md"
    (block,) = SHELL_BLOCK.findall(page.read_text())
    path = f"{Path(sys.executable).parent}{os.pathsep}{os.environ['PATH']}"
    environment = {**os.environ, "PATH": path}
    environment.pop("HERONTHREAD_URL", None)
    log = (tmp_path / "log").open("wb")
    started = []
    claim = claim_alone(("127.0.0.1", 9100))
    try:
        for command in block.strip().splitlines():
            process = subprocess.Popen(shlex.split(command), cwd=ROOT, env=environment, stdout=log)
            started.append(process)
        status = ["heronthread", "status"]
        wait_for(
            lambda: subprocess.run(status, env=environment, capture_output=True).returncode == 0,
            "the host of the page",
        )
        for command in extract_commands(page):
            result = subprocess.run(
                shlex.split(command), cwd=ROOT, env=environment, capture_output=True, text=True
            )
            assert result.returncode == 0, f"{command}\n{result.stderr}"
        assert all(process.poll() is None for process in started)
    finally:
        for process in started:
            process.kill()
            process.wait()
        claim.close()
