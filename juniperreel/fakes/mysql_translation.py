"""Translation of MySQL statements to SQLite, and of SQLite errors to MySQL."""

from __future__ import annotations

import sqlite3
from dataclasses import dataclass
from functools import lru_cache

import sqlglot
from sqlglot import exp

from juniperreel.fakes.errors import MysqlError

CACHED_STATEMENTS = 2000
MAX_QUOTED_CHARACTERS = 40
MAX_PARSER_MESSAGE = 200


@dataclass(frozen=True, slots=True)
class TranslatedStatement:
    """A statement in SQLite's dialect, and its kind."""

    text: str
    writes: bool
    locks: bool
    changes_schema: bool  # implicitly commits an open transaction


def syntax_error(detail: str) -> MysqlError:
    """The error for a statement that MySQL cannot parse."""
    return MysqlError(1064, "42000", f"You have an error in your SQL syntax{detail}")


@lru_cache(maxsize=CACHED_STATEMENTS)
def translate(text: str) -> TranslatedStatement:
    """Translate one statement. Raises MysqlError if it is invalid or not supported."""
    try:
        parsed = [expression for expression in sqlglot.parse(text, read="mysql") if expression is not None]
    except Exception as error:  # malformed text makes the parser raise many types; the server must not fail
        raise syntax_error(f": {str(error)[:MAX_PARSER_MESSAGE]}") from error
    if len(parsed) != 1:
        raise MysqlError(1064, "42000", "one statement, please")
    statement = parsed[0]
    locks = any(True for _ in statement.find_all(exp.Lock))
    for select in statement.find_all(exp.Select):
        select.set("locks", [])
    changes_schema = isinstance(statement, exp.Create | exp.Drop | exp.Alter)
    writes = changes_schema or isinstance(statement, exp.Insert | exp.Update | exp.Delete)
    if isinstance(statement, exp.Column | exp.Alias | exp.Identifier | exp.Literal):
        raise syntax_error(f" near {text[:MAX_QUOTED_CHARACTERS]!r}")
    if not writes and not isinstance(statement, exp.Query | exp.Values):
        quoted = text[:MAX_QUOTED_CHARACTERS]
        raise MysqlError(1235, "42000", f"this stand-in doesn't support {quoted!r}")
    return TranslatedStatement(statement.sql(dialect="sqlite"), writes, locks, changes_schema)


def mysql_error_of(error: sqlite3.Error | sqlite3.Warning) -> MysqlError:
    """The MySQL error that corresponds to an SQLite error."""
    message = str(error)
    object_name = message.rpartition(" ")[2]
    if "no such table" in message:
        return MysqlError(1146, "42S02", f"Table '{object_name}' doesn't exist")
    if "no such column" in message:
        return MysqlError(1054, "42S22", f"Unknown column '{object_name}' in 'field list'")
    if "UNIQUE constraint" in message:
        return MysqlError(1062, "23000", f"Duplicate entry ({message})")
    if "NOT NULL" in message:
        return MysqlError(1048, "23000", message)
    return MysqlError(1064, "42000", message)
