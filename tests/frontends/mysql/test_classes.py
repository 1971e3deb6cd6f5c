"""Rules from statements to classes, and digests."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from juniperreel.frontends.mysql.classes import Classes, Rule, digest, hint_of

RULES = [
    Rule(False, None, None, "report", None, 5, None),
    Rule(False, "ada", None, None, None, 6, 2),
    Rule(True, None, "boards", None, None, 7, None),
    Rule(False, None, None, None, digest(b"select a from t where b = 1"), 8, None),
]
CLASSES = Classes(RULES, 0, 1, 9)


@pytest.mark.parametrize(
    ("write", "user", "schema", "hint", "text", "found"),
    [
        (False, "bob", "", "", b"select 1", (0, 9)),
        (True, "ada", "", "report", b"insert into t values (1)", (1, 9)),
        (False, "ada", "", "report", b"select 1", (5, 9)),
        (False, "ada", "", "", b"select 1", (6, 2)),
        (True, "ada", "boards", "", b"insert into t values (1)", (7, 9)),
        (False, "bob", "boards", "", b"SELECT a FROM t WHERE b = 'x' -- y", (8, 9)),
    ],
)
def test_the_first_rule_that_fits_decides(
    write: bool, user: str, schema: str, hint: str, text: bytes, found: tuple[int, int]
) -> None:
    assert CLASSES.of(write, user, schema, hint, digest(text)) == found


def test_hints_stand_in_comments() -> None:
    assert hint_of(b"select 1 /* hint report.daily */") == "report.daily"
    assert hint_of(b"select '/* hint */'") == "" == hint_of(b"select 1")


@given(st.integers(0, 1 << 40), st.text("abc'\\ ", max_size=8), st.integers(1, 6))
def test_a_digest_is_the_same_whatever_the_values(number: int, text: str, count: int) -> None:
    quoted = text.replace("\\", "\\\\").replace("'", "''")
    many = ", ".join([str(number)] * count)
    one = digest(b"select a from t where b = 1 and c = 'x' and d in (1)")
    other = digest(
        f"select  a from t /* {count} */ where b={number} and c='{quoted}' and d in ({many});".encode()
    )
    assert one == other != digest(b"select a from t where b = 1 and c = 'x'")
    rows = ", ".join(["(1, 'a')"] * count)
    assert digest(f"insert into t values {rows}".encode()) == digest(b"insert into t values (2, 'b')")


def test_what_cannot_be_read_has_no_digest() -> None:
    assert digest(b"select 'open") == ""
