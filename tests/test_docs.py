"""Tests that the commands and links in the README and the operators' pages work."""

from __future__ import annotations

import os
import re
import shlex
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from .test_processes import ROOT, Deployment, apply, deployment, is_ready, wait_for

__all__ = ["deployment"]

PAGES = [ROOT / "README.md", *sorted((ROOT / "docs" / "operators").glob("*.md"))]
BLOCK = re.compile(r"```console\n(.*?)```", re.DOTALL)
CI_TARGETS = {"make demo", "make test"}


def extract_commands(page: Path) -> list[str]:
    lines = [line for block in BLOCK.findall(page.read_text()) for line in block.splitlines()]
    return [line.removeprefix("$ ") for line in lines if line.startswith("$ ")]


def test_pages_contain_commands():
    assert sum(len(extract_commands(page)) for page in PAGES) > 15


def test_make_targets_exist():
    shown = {c for page in PAGES for c in extract_commands(page) if c.startswith("make ")}
    assert shown <= CI_TARGETS
    makefile = (ROOT / "Makefile").read_text()
    assert all(f"\n{command.split()[1]}:" in makefile for command in shown)


def test_commands_run_as_written(deployment: Deployment):
    apply(deployment, "a")
    wait_for(lambda: is_ready(deployment, "b"), "readiness")
    wait_for(deployment.owner, "an owner")
    path = f"{Path(sys.executable).parent}{os.pathsep}{os.environ['PATH']}"
    url = f"http://{deployment.http['b']}"
    environment = {**os.environ, "PATH": path, "HERONTHREAD_URL": url}
    for page in PAGES:
        for command in extract_commands(page):
            if command in CI_TARGETS:
                continue
            result = subprocess.run(
                shlex.split(command), cwd=ROOT, env=environment, capture_output=True, text=True
            )
            assert result.returncode == 0, f"{page.name}: {command}\n{result.stderr}"


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_have_existing_targets(page: Path):
    for target in re.findall(r"\]\(([^)#]+)\)", page.read_text()):
        assert (page.parent / target).exists(), target


SHELL_BLOCK = re.compile(r"```sh\n(.*?)```", re.DOTALL)


def lock_ports(address: tuple[str, int]) -> socket.socket:
    """Lock the fixed ports of the page against concurrent runs of this test."""
    lock = socket.socket(type=socket.SOCK_DGRAM)

    def bind() -> bool:
        try:
            lock.bind(address)
        except OSError:
            return False
        return True

    wait_for(bind, "the lock on the ports of the page")
    return lock


def test_install_page_commands_run_as_written(tmp_path: Path):
    """Start the page's processes, then run its commands against the default address."""
    page = ROOT / "docs" / "operators" / "install.md"
    (block,) = SHELL_BLOCK.findall(page.read_text())
    path = f"{Path(sys.executable).parent}{os.pathsep}{os.environ['PATH']}"
    environment = {**os.environ, "PATH": path}
    environment.pop("HERONTHREAD_URL", None)
    log = (tmp_path / "log").open("wb")
    started = []
    lock = lock_ports(("127.0.0.1", 9100))
    try:
        for command in block.strip().splitlines():
            process = subprocess.Popen(shlex.split(command), cwd=ROOT, env=environment, stdout=log)
            started.append(process)
        status = ["heronthread", "status"]
        wait_for(
            lambda: subprocess.run(status, env=environment, capture_output=True).returncode == 0,
            "the host started as the page shows",
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
        lock.close()
