"""The on-call page quotes exactly the log lines that the module emits."""

from __future__ import annotations

import re
from pathlib import Path

from juniperreel.routing.policy import router as rules

PAGE = (Path(__file__).parent.parent / "docs" / "oncall.md").read_text(encoding="utf-8")
SOURCE = Path(rules.__file__).read_text(encoding="utf-8")


def test_log_lines_and_on_call_page_agree() -> None:
    logged = [line for line in SOURCE.splitlines() if "self.log(" in line]
    emitted = {re.sub(r"\{[^}]*\}", "*", t) for line in logged for t in re.findall(r'f?"([^"]+)"', line)}
    quoted = {re.sub(r"\b[XN]\b", "*", line) for line in re.findall(r"^\| `([^`]+)`", PAGE, re.MULTILINE)}
    assert emitted and emitted == quoted
