"""The on-call page lists exactly the log lines that the routing policy writes."""

from __future__ import annotations

import ast
import re
from pathlib import Path

from juniperreel.routing.policy import parameters

ON_CALL_PAGE = (Path(__file__).parent.parent / "docs" / "oncall.md").read_text(encoding="utf-8")
POLICY_FILES = sorted(Path(parameters.__file__).parent.glob("*.py"))


def find_log_lines(source: str) -> set[str]:
    """Return each event that a source file logs, with the names of its fields."""
    lines = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.func.attr == "log":
            event = str(ast.literal_eval(node.args[0]))
            lines.add(" ".join([event, *(f"{field.arg}=*" for field in node.keywords)]))
    return lines


def test_log_lines_and_on_call_page_agree() -> None:
    emitted = {line for file in POLICY_FILES for line in find_log_lines(file.read_text(encoding="utf-8"))}
    listed = {
        re.sub(r"=\w+", "=*", line) for line in re.findall(r"^\| `([^`]+)`", ON_CALL_PAGE, re.MULTILINE)
    }
    assert emitted and emitted == listed
