"""Dependencies of statements on their connection, and session commands."""

from __future__ import annotations

import pytest

from juniperreel.statements import SessionCommand, SessionVerb, StatementKind, classify_statement
from juniperreel.statements.classification import Assignment


def set_command(*assignments: tuple[str, str]) -> SessionCommand:
    pairs = tuple(Assignment(name, literal) for name, literal in assignments)
    return SessionCommand(SessionVerb.SET, assignments=pairs)


@pytest.mark.parametrize(
    "text,command",
    [
        ("begin", SessionCommand(SessionVerb.BEGIN)),
        ("BEGIN WORK;", SessionCommand(SessionVerb.BEGIN)),
        ("/* x */ start /**/ transaction -- y", SessionCommand(SessionVerb.BEGIN)),
        ("start transaction read only", SessionCommand(SessionVerb.BEGIN, read_only=True)),
        (
            "start transaction with consistent snapshot, read only",
            SessionCommand(SessionVerb.BEGIN, False, True, True),
        ),
        ("start transaction read write", SessionCommand(SessionVerb.BEGIN)),
        ("commit", SessionCommand(SessionVerb.COMMIT)),
        ("commit work", SessionCommand(SessionVerb.COMMIT)),
        ("rollback", SessionCommand(SessionVerb.ROLLBACK)),
        ("rollback to a", SessionCommand(SessionVerb.ROLLBACK_TO, name="A")),
        ("rollback work to savepoint `a b`", SessionCommand(SessionVerb.ROLLBACK_TO, name="a b")),
        ("savepoint a", SessionCommand(SessionVerb.SAVEPOINT, name="A")),
        ("release savepoint a", SessionCommand(SessionVerb.RELEASE, name="A")),
        ("set autocommit = 0", SessionCommand(SessionVerb.AUTOCOMMIT)),
        ("SET @@session.autocommit = OFF", SessionCommand(SessionVerb.AUTOCOMMIT)),
        ("set session autocommit=1", SessionCommand(SessionVerb.AUTOCOMMIT, enabled=True)),
        ("set autocommit := true", SessionCommand(SessionVerb.AUTOCOMMIT, enabled=True)),
        ("set names utf8mb4", SessionCommand(SessionVerb.NAMES)),
        ("set names 'utf8mb4' collate 'utf8mb4_0900_ai_ci'", SessionCommand(SessionVerb.NAMES)),
        ("set transaction read only", SessionCommand(SessionVerb.NEXT_TRANSACTION, read_only=True)),
        ("set transaction isolation level repeatable read", SessionCommand(SessionVerb.NEXT_TRANSACTION)),
        ("set @a = 1, @b := (select max(a, b) from t)", SessionCommand(SessionVerb.USER_VARIABLES)),
        (
            "set @a = -1.5, @B := 'x'",
            set_command(("@a", "-1.5"), ("@b", "'x'")),
        ),
        (
            "set sql_mode = 'ANSI_QUOTES'",
            set_command(("sql_mode", "'ANSI_QUOTES'")),
        ),
        (
            "set @@session.SQL_MODE=default",
            set_command(("sql_mode", "default")),
        ),
        (
            "set session a = on, local b = 0",
            set_command(("a", "on"), ("b", "0")),
        ),
        ("use boards", SessionCommand(SessionVerb.USE, name="BOARDS")),
    ],
)
def test_session_command_is_recognized(text: str, command: SessionCommand) -> None:
    assert classify_statement(text.encode()).session_command == command


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
def test_unknown_form_is_no_session_command(text: str) -> None:
    classification = classify_statement(text.encode())
    assert classification.session_command is None
    assert text == "select 1" or classification.kind is not StatementKind.READ


@pytest.mark.parametrize(
    "text,dependencies",
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
def test_dependencies_are_found(text: str, dependencies: set[str]) -> None:
    assert classify_statement(text.encode()).dependencies == dependencies


def test_implicit_commit_is_recognized() -> None:
    for text in (
        "create table t (a int)",
        "drop table t",
        "truncate t",
        "alter table t add b int",
        "rename table a to b",
    ):
        assert classify_statement(text.encode()).implicit_commit, text
    for text in ("insert into t values (1)", "update t set a = 1", "select 1", "begin", "commit"):
        assert not classify_statement(text.encode()).implicit_commit, text
