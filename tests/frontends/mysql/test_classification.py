"""Classification of statements by rules, hints and digests."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from juniperreel.frontends.mysql.classification import (
    ClassRule,
    RequestClassifier,
    StatementTraits,
    hint_of,
    statement_digest,
)

RULES = [
    ClassRule(False, None, None, "report", None, 5, None),
    ClassRule(False, "ada", None, None, None, 6, 2),
    ClassRule(True, None, "boards", None, None, 7, None),
    ClassRule(False, None, None, None, statement_digest(b"select a from t where b = 1"), 8, None),
]
CLASSIFIER = RequestClassifier(RULES, 0, 1, 9)


@pytest.mark.parametrize(
    "writes, user, schema, hint, text, expected",
    [
        (False, "bob", "", "", b"select 1", (0, 9)),
        (True, "ada", "", "report", b"insert into t values (1)", (1, 9)),
        (False, "ada", "", "report", b"select 1", (5, 9)),
        (False, "ada", "", "", b"select 1", (6, 2)),
        (True, "ada", "boards", "", b"insert into t values (1)", (7, 9)),
        (False, "bob", "boards", "", b"SELECT a FROM t WHERE b = 'x' -- y", (8, 9)),
    ],
)
def test_classify_with_several_rules_takes_the_first_match(
    writes: bool, user: str, schema: str, hint: str, text: bytes, expected: tuple[int, int]
) -> None:
    traits = StatementTraits(writes, user, schema, hint, statement_digest(text))
    assert CLASSIFIER.classify(traits) == expected


def test_hint_of_reads_comments_only() -> None:
    assert hint_of(b"select 1 /* hint report.daily */") == "report.daily"
    assert hint_of(b"select '/* hint */'") == "" == hint_of(b"select 1")


@given(st.integers(0, 1 << 40), st.text("abc'\\ ", max_size=8), st.integers(1, 6))
def test_digest_of_statements_that_differ_in_values_is_equal(number: int, text: str, count: int) -> None:
    quoted = text.replace("\\", "\\\\").replace("'", "''")
    many = ", ".join([str(number)] * count)
    one = statement_digest(b"select a from t where b = 1 and c = 'x' and d in (1)")
    other = statement_digest(
        f"select  a from t /* {count} */ where b={number} and c='{quoted}' and d in ({many});".encode()
    )
    assert one == other != statement_digest(b"select a from t where b = 1 and c = 'x'")
    rows = ", ".join(["(1, 'a')"] * count)
    assert statement_digest(f"insert into t values {rows}".encode()) == statement_digest(
        b"insert into t values (2, 'b')"
    )


def test_digest_of_text_that_cannot_be_tokenized_is_empty() -> None:
    assert statement_digest(b"select 'open") == ""
