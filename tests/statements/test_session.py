"""What a statement needs of its connection, and what it says about it."""

from __future__ import annotations

import pytest

from juniperreel.statements import Control, Kind, Verb, read_statement


@pytest.mark.parametrize(
    "text, control",
    [
        ("begin", Control(Verb.BEGIN)),
        ("BEGIN WORK;", Control(Verb.BEGIN)),
        ("/* x */ start /**/ transaction -- y", Control(Verb.BEGIN)),
        ("start transaction read only", Control(Verb.BEGIN, read_only=True)),
        ("start transaction with consistent snapshot, read only", Control(Verb.BEGIN, False, True, True)),
        ("start transaction read write", Control(Verb.BEGIN)),
        ("commit", Control(Verb.COMMIT)),
        ("commit work", Control(Verb.COMMIT)),
        ("rollback", Control(Verb.ROLLBACK)),
        ("rollback to a", Control(Verb.ROLLBACK_TO, name="A")),
        ("rollback work to savepoint `a b`", Control(Verb.ROLLBACK_TO, name="a b")),
        ("savepoint a", Control(Verb.SAVEPOINT, name="A")),
        ("release savepoint a", Control(Verb.RELEASE, name="A")),
        ("set autocommit = 0", Control(Verb.AUTOCOMMIT)),
        ("SET @@session.autocommit = OFF", Control(Verb.AUTOCOMMIT)),
        ("set session autocommit=1", Control(Verb.AUTOCOMMIT, on=True)),
        ("set autocommit := true", Control(Verb.AUTOCOMMIT, on=True)),
        ("set names utf8mb4", Control(Verb.NAMES)),
        ("set names 'utf8mb4' collate 'utf8mb4_0900_ai_ci'", Control(Verb.NAMES)),
        ("set transaction read only", Control(Verb.NEXT, read_only=True)),
        ("set transaction isolation level repeatable read", Control(Verb.NEXT)),
        ("set @a = 1, @b := (select max(a, b) from t)", Control(Verb.VARIABLES)),
        ("set @a = -1.5, @B := 'x'", Control(Verb.SET, sets=(("@a", "-1.5"), ("@b", "'x'")))),
        ("set sql_mode = 'ANSI_QUOTES'", Control(Verb.SET, sets=(("sql_mode", "'ANSI_QUOTES'"),))),
        ("set @@session.SQL_MODE=default", Control(Verb.SET, sets=(("sql_mode", "default"),))),
        ("set session a = on, local b = 0", Control(Verb.SET, sets=(("a", "on"), ("b", "0")))),
        ("use boards", Control(Verb.USE, name="BOARDS")),
    ],
)
def test_statements_about_the_connection(text: str, control: Control) -> None:
    assert read_statement(text.encode()).control == control


@pytest.mark.parametrize(
    "text",
    [
        "commit and chain",
        "commit release",
        "rollback and chain",
        "start transaction read only, read write",
        "start transaction with something",
        "start slave",
        "set names gbk",
        "set names latin1",
        "set character set utf8mb4",
        "set transaction isolation level serializable",
        "set session transaction read only",
        "set global autocommit = 0",
        "set @a = 1,",
        "set sql_mode = concat(@@sql_mode, ',ANSI')",
        "set a = b",
        "set a = 1 + 1",
        "set a = 'it''s'",
        "set a = 'back\\\\slash'",
        "set a = 'née'",
        "set @ = 1",
        "set @@other.a = 1",
        "savepoint",
        "begin; commit",
        "select 1",
    ],
)
def test_what_is_not_known_word_for_word_is_none(text: str) -> None:
    reading = read_statement(text.encode())
    assert reading.control is None
    assert text == "select 1" or reading.kind is not Kind.READ


@pytest.mark.parametrize(
    "text, depends",
    [
        ("insert into t values (1)", set()),
        ("insert into t values (last_insert_id())", {"last insert id"}),
        ("insert into t select @a", {"user variables"}),
        ("update t set a = @@identity", {"last insert id"}),
        ("update t set a = row_count()", {"row count"}),
        ("delete from t where a = connection_id()", {"connection"}),
        ("insert into t select get_lock('a', 1)", {"locks"}),
        ("create temporary table t (a int)", {"temporary tables"}),
        ("drop temporary table t", {"temporary tables"}),
        ("select a from t where a = @a for update", {"user variables"}),
        ("select @@warning_count", {"last statement"}),
        ("select @@version", {"system variables"}),
        ("select `last_insert_id` from t", set()),
        ("insert into t values ('last_insert_id()', \"@a\")", set()),
    ],
)
def test_what_writes_and_reads_depend_on(text: str, depends: set[str]) -> None:
    assert read_statement(text.encode()).depends == depends


def test_statements_that_commit_what_is_open() -> None:
    for text in (
        "create table t (a int)",
        "drop table t",
        "truncate t",
        "alter table t add b int",
        "rename table a to b",
    ):
        assert read_statement(text.encode()).commits, text
    for text in ("insert into t values (1)", "update t set a = 1", "select 1", "begin", "commit"):
        assert not read_statement(text.encode()).commits, text
