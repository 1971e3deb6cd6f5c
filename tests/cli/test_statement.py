"""Tests of `juniperreel statement`."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from juniperreel.cli.main import main
from juniperreel.frontends.mysql.classification import statement_digest

EXAMPLE_SETTINGS = (Path(__file__).parents[2] / "deploy" / "edge.conf").read_text(encoding="utf-8")
MYSQL_SECTION = """[mysql]
listen 127.0.0.1:3306
user ada token.key
read own-read
write run-write
tenant fastlap
match read hint report class board-read
match read digest {} class board-read
[log]"""


def invoke(*arguments: str) -> str:
    result = CliRunner().invoke(main, ["statement", *arguments])
    assert result.exit_code == 0, result.output
    return result.output


@pytest.mark.parametrize(
    "text, lines",
    [
        ("select a from t", ["kind: read", "any member that satisfies the token"]),
        ("insert into t values (1)", ["kind: write (insert)", "in autocommit: a primary\n"]),
        ("insert into t values (@a)", ["depends on: user variables", "in autocommit: a primary\n"]),
        ("select row_count()", ["depends on: row count", "refused with 1235"]),
        ("create table t (a int)", ["commits what is open", "a primary"]),
        ("call p(1)", ["side effect", "nobody gets afterwards"]),
        ("begin", ["transaction control", "answered by the edge itself"]),
        ("select 1; select 2", ["unknown (2 statements at once)", "refused with 1235"]),
        ("select 'open", ["digest: none"]),
    ],
)
def test_statement_prints_its_classification_and_destination(text: str, lines: list[str]) -> None:
    output = invoke(text)
    assert all(line in output for line in lines), output


def test_statement_with_settings_prints_its_class(tmp_path: Path) -> None:
    (tmp_path / "token.key").write_bytes(b"k" * 32)
    digest = statement_digest(b"select a from t where b = 1")
    assert f"digest: {digest}" in invoke("select  a from t where b = 'x'")
    conf = tmp_path / "edge.conf"
    conf.write_text(EXAMPLE_SETTINGS.replace("[log]", MYSQL_SECTION.format(digest)))
    options = ("--settings", str(conf))
    assert "class: own-read" in invoke("select 1", *options)
    assert "class: board-read" in invoke("select 1 /* hint report */", *options)
    assert "class: board-read" in invoke("select a from t where b = 77", *options)
    assert "class: run-write" in invoke("insert into t values (1)", *options)
    assert "refused with 1235" in invoke("set autocommit = 0", *options), (
        "gRPC endpoints hold no transactions"
    )
    conf.write_text(EXAMPLE_SETTINGS)
    result = CliRunner().invoke(main, ["statement", "select 1", *options])
    assert result.exit_code == 2
    assert "no [mysql] section" in result.output
