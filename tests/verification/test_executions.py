"""The checker of executions sees what is planted, and nothing else."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from msgspec import structs

from juniperreel.verification.executions import Count, check_executions
from juniperreel.verification.records import Meant, Ran, Record

CLEAN: list[Record] = [
    Meant(1, "s1", "select ?", ["s1", "5"], {"@a": "1"}, True),
    Ran(1, "m1", 7, "s1", "select ?", ["s1", "5"], {"@a": "1"}),
    Meant(2, "s2", "select ?", ["s2"], {}, False, "1213"),
    Meant(3, "s3", "insert ?", ["s3"], {}, False, "1105"),
    Ran(3, "m2", 8, "s3", "insert ?", ["s3"], {}),
]


def test_a_clean_run_is_counted() -> None:
    count = Count()
    assert check_executions(CLEAN, count) == []
    assert (count.meant, count.served, count.ran, count.texts, count.connections) == (3, 1, 2, 2, 2)


@pytest.mark.parametrize(
    ("at", "change", "words"),
    [
        (1, {"text": "select 2, ?"}, "was meant as"),
        (1, {"values": ["s1", "6"]}, "ran with"),
        (1, {"variables": {}}, "its session has"),
        (1, {"serial": "s9"}, "nobody asked it"),
        (2, {"serial": "s1"}, "asked twice"),
        (2, {"error": "1243"}, "was told 1243"),
        (2, {"error": "1615"}, "was told 1615"),
        (2, {"served": True}, "never ran"),
    ],
)
def test_what_is_planted_is_seen(at: int, change: dict[str, Any], words: str) -> None:
    records = list(CLEAN)
    records[at] = structs.replace(records[at], **change)
    assert any(words in found for found in check_executions(records))


def test_counts_are_values() -> None:
    assert replace(Count(), ran=1) == Count(ran=1)
