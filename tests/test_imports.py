"""Product code imports downwards only: no circle of modules, and packages in one order."""

import ast
import tomllib
from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PACKAGES = sorted((ROOT / "packages").iterdir())
SOURCES = [*(package / "src" for package in PACKAGES), ROOT / "platform"]
MAY_IMPORT = {
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


def resolve(module: str, is_package: bool, node: ast.ImportFrom) -> str:
    """Return the absolute name of what an import statement names."""
    if not node.level:
        return node.module or ""
    parts = module.split(".")
    kept = parts[: len(parts) - node.level + is_package]
    return ".".join([*kept, *([node.module] if node.module else [])])


def list_imports(module: str, text: str, is_package: bool = False) -> Iterator[str]:
    """Return every module that a text imports, those for type checkers and in functions too."""
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            base = resolve(module, is_package, node)
            for alias in node.names:
                name = f"{base}.{alias.name}"
                yield name if name in MODULES else base


def build_graph() -> dict[str, set[str]]:
    graph = {}
    for name, path in MODULES.items():
        imported = set(list_imports(name, path.read_text(), path.name == "__init__.py"))
        graph[name] = imported & MODULES.keys() - {name}
    return graph


def find_circle(graph: dict[str, set[str]]) -> list[str]:
    try:
        list(TopologicalSorter(graph).static_order())
    except CycleError as error:
        return list(error.args[1])
    return []


def test_no_modules_import_each_other() -> None:
    assert find_circle(build_graph()) == []


def test_a_circle_of_types_would_show() -> None:
    text = "from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    from .host import Host\n"
    graph = build_graph()
    assert "heronthread_dispatch.news" in graph["heronthread_dispatch.host"]
    graph["heronthread_dispatch.news"] |= set(list_imports("heronthread_dispatch.news", text))
    assert find_circle(graph)


def test_every_package_has_its_place() -> None:
    assert {name.partition(".")[0] for name in MODULES} == MAY_IMPORT.keys()


@pytest.mark.parametrize("package", MAY_IMPORT)
def test_packages_import_those_below_them(package: str) -> None:
    own = [name for name in MODULES if name.partition(".")[0] == package]
    graph = build_graph()
    found = {other.partition(".")[0] for name in own for other in graph[name]} - {package}
    assert found <= MAY_IMPORT[package]


@pytest.mark.parametrize("package", PACKAGES, ids=lambda package: package.name)
def test_packages_declare_what_they_import(package: Path) -> None:
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
