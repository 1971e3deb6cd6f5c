"""The execution checker reports injected mismatches, and reports nothing for a clean run."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from msgspec import structs

from juniperreel.verification.executions import ExecutionCounts, check_executions
from juniperreel.verification.records import Record, StatementExecuted, StatementIntended

CLEAN: list[Record] = [
    StatementIntended(1, "s1", "select ?", ["s1", "5"], {"@a": "1"}, True),
    StatementExecuted(1, "m1", 7, "s1", "select ?", ["s1", "5"], {"@a": "1"}),
    StatementIntended(2, "s2", "select ?", ["s2"], {}, False, "1213"),
    StatementIntended(3, "s3", "insert ?", ["s3"], {}, False, "1105"),
    StatementExecuted(3, "m2", 8, "s3", "insert ?", ["s3"], {}),
]


def test_executions_of_a_clean_run_are_counted() -> None:
    counts = ExecutionCounts()
    assert check_executions(CLEAN, counts) == []
    assert (counts.intended, counts.served, counts.executed, counts.texts, counts.connections) == (
        3,
        1,
        2,
        2,
        2,
    )


@pytest.mark.parametrize(
    "at,change,expected",
    [
        (1, {"text": "select 2, ?"}, "intended as"),
        (1, {"values": ["s1", "6"]}, "executed with"),
        (1, {"variables": {}}, "its session has"),
        (1, {"serial": "s9"}, "never requested"),
        (2, {"serial": "s1"}, "requested twice"),
        (2, {"error": "1243"}, "error 1243"),
        (2, {"error": "1615"}, "error 1615"),
        (2, {"served": True}, "never executed"),
    ],
)
def test_injected_mismatch_is_found(at: int, change: dict[str, Any], expected: str) -> None:
    records = list(CLEAN)
    records[at] = structs.replace(records[at], **change)
    assert any(expected in found for found in check_executions(records))


def test_execution_counts_compare_by_value() -> None:
    assert replace(ExecutionCounts(), executed=1) == ExecutionCounts(executed=1)
