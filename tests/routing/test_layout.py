"""The layout of the package: its size, its imports, and the example in the README."""

from __future__ import annotations

import ast
import sys
from pathlib import Path

import pytest

from juniperreel.routing.policy import parameters

POLICY = sorted(Path(parameters.__file__).parent.glob("*.py"))
ROUTING = sorted(Path(parameters.__file__).parents[1].glob("*.py"))


def test_module_stays_readable() -> None:
    lines = [line for file in POLICY for line in file.read_text(encoding="utf-8").splitlines()]
    assert sum(1 for line in lines if line.strip()) <= 800  # the operators' limit
    assert max(map(len, lines)) <= 110


@pytest.mark.parametrize("file", POLICY + ROUTING, ids=lambda file: file.stem)
def test_routing_imports_only_standard_library_and_itself(file: Path) -> None:
    allowed = {*sys.stdlib_module_names, "juniperreel"}
    for node in ast.walk(ast.parse(file.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            assert {a.name.split(".")[0] for a in node.names} <= allowed
        elif isinstance(node, ast.ImportFrom):
            assert node.module and node.module.split(".")[0] in allowed
            if node.module.startswith("juniperreel"):
                assert node.module.startswith("juniperreel.routing")


def test_readme_example_runs() -> None:
    text = (Path(__file__).parents[2] / "README.md").read_text(encoding="utf-8")
    code = text.split("```python\n")[1].split("```")[0]
    exec(compile(code, "README.md", "exec"), {})
