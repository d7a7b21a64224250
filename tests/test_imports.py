"""Imports have no cycles, and packages depend only on those in lower layers."""

import ast
import tomllib
from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PACKAGES = sorted((ROOT / "packages").iterdir())
SOURCES = [*(package / "src" for package in PACKAGES), ROOT / "platform"]
ALLOWED_IMPORTS = {
    "heronthread_coordination": set(),
    "heronthread_scheduling": set(),
    "heronthread_dispatch": {"heronthread_coordination"},
    "heronthread_daemon": {
        "heronthread_coordination",
        "heronthread_scheduling",
        "heronthread_dispatch",
    },
    "heronthread_emulator": {"heronthread_coordination", "heronthread_dispatch"},
    "heronthread_platform": {"heronthread_coordination", "heronthread_dispatch"},
    "heronthread_cli": {
        "heronthread_coordination",
        "heronthread_scheduling",
        "heronthread_dispatch",
        "heronthread_daemon",
        "heronthread_emulator",
    },
}


def find_modules(source: Path) -> dict[str, Path]:
    found = {}
    for path in source.glob("heronthread_*/**/*.py"):
        parts = path.relative_to(source).with_suffix("").parts
        found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


MODULES = {name: path for source in SOURCES for name, path in find_modules(source).items()}


def resolve_module(module: str, is_package: bool, node: ast.ImportFrom) -> str:
    """Return the absolute module name of an import statement."""
    if not node.level:
        return node.module or ""
    parts = module.split(".")
    base = parts[: len(parts) - node.level + is_package]
    return ".".join([*base, *([node.module] if node.module else [])])


def list_imports(module: str, source: str, is_package: bool = False) -> Iterator[str]:
    """Yield all modules that a source imports, also for type checking and in functions."""
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            base = resolve_module(module, is_package, node)
            for alias in node.names:
                name = f"{base}.{alias.name}"
                yield name if name in MODULES else base


def build_graph() -> dict[str, set[str]]:
    graph = {}
    for name, path in MODULES.items():
        imported = set(list_imports(name, path.read_text(), path.name == "__init__.py"))
        graph[name] = imported & MODULES.keys() - {name}
    return graph


def find_import_cycle(graph: dict[str, set[str]]) -> list[str]:
    try:
        list(TopologicalSorter(graph).static_order())
    except CycleError as error:
        return list(error.args[1])
    return []


def test_modules_have_no_import_cycle() -> None:
    assert find_import_cycle(build_graph()) == []


def test_cycle_of_type_checking_imports_is_found() -> None:
    text = "from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    from .host import Host\n"
    graph = build_graph()
    assert "heronthread_dispatch.news" in graph["heronthread_dispatch.host"]
    graph["heronthread_dispatch.news"] |= set(list_imports("heronthread_dispatch.news", text))
    assert find_import_cycle(graph)


def test_every_package_has_allowed_imports() -> None:
    assert {name.partition(".")[0] for name in MODULES} == ALLOWED_IMPORTS.keys()


@pytest.mark.parametrize("package", ALLOWED_IMPORTS)
def test_packages_import_only_allowed_packages(package: str) -> None:
    own = [name for name in MODULES if name.partition(".")[0] == package]
    graph = build_graph()
    found = {other.partition(".")[0] for name in own for other in graph[name]} - {package}
    assert found <= ALLOWED_IMPORTS[package]


@pytest.mark.parametrize("package", PACKAGES, ids=lambda package: package.name)
def test_packages_declare_their_imports(package: Path) -> None:
    project = tomllib.loads((package / "pyproject.toml").read_text())["project"]
    declared = {name.replace("-", "_") for name in project["dependencies"]}
    own = package.name.replace("-", "_")
    graph = build_graph()
    found = {
        other.partition(".")[0]
        for name in MODULES
        if name.partition(".")[0] == own
        for other in graph[name]
    } - {own}
    assert found == {name for name in declared if name.startswith("heronthread_")}
