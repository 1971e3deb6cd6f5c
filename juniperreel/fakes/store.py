"""The data of a fake endpoint: an in-memory SQLite database, and the commits applied to it.

Each row has the identifier of the request that wrote it, so that a result shows which commits it contains.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from juniperreel.fakes.errors import StatementError
from juniperreel.proto.common.v1 import values_pb2

SCHEMA = "create table runs (number integer primary key, runner text not null, id text not null); "
INDEX = "create index by_runner on runs (runner, number)"
MAX_ROWS = 10_000
READ_KEYWORDS = ("select", "values", "with")


class Statement(NamedTuple):
    """A statement with its parameters."""

    text: str
    parameters: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class Commit:
    """An entry of a group's log. `position` is in microseconds on the group's clock."""

    epoch: int
    position: int
    statements: tuple[Statement, ...]  # of one transaction
    idempotency_key: str
    request_id: str


class Store:
    """Applies commits in order and executes statements on the resulting data."""

    def __init__(self) -> None:
        self._database = self._create_database()
        self.applied = 0  # number of commits applied

    @staticmethod
    def _create_database() -> sqlite3.Connection:
        database = sqlite3.connect(":memory:", isolation_level=None, check_same_thread=False)
        database.executescript(SCHEMA + INDEX)
        return database

    def close(self) -> None:
        """Close the database."""
        self._database.close()

    def check(self, statement: str, parameters: Sequence[Any], write: bool) -> None:
        """Raise StatementError if a statement is invalid, without executing it."""
        try:
            self._database.execute("explain " + statement, parameters)
        except (sqlite3.Error, sqlite3.Warning) as error:
            raise StatementError(str(error)) from error
        is_read = statement.lstrip().lower().startswith(READ_KEYWORDS)
        if is_read and write:
            raise StatementError("a read in a class that writes")
        if not is_read and not write:
            raise StatementError("a write in a class that reads")

    def apply(self, commit: Commit) -> int:
        """Apply a commit as one transaction and return the number of rows changed."""
        self._database.execute("begin")
        try:
            rows = 0
            for statement in commit.statements:
                rows += self._database.execute(statement.text, statement.parameters).rowcount
        except sqlite3.Error:
            self._database.execute("rollback")
            raise
        self._database.execute("commit")
        self.applied += 1
        return rows

    def fork(self) -> Store:
        """Copy the current data; later changes to either copy do not affect the other."""
        other = Store()
        self._database.backup(other._database)
        other.applied = self.applied
        return other

    def last_insert_id(self) -> int:
        """The row ID of the last inserted row."""
        return int(self._database.execute("select last_insert_rowid()").fetchone()[0])

    def execute(self, statement: str, parameters: Sequence[Any]) -> sqlite3.Cursor:
        """Execute a statement. Raises sqlite3 errors.

        Writes are allowed on forks only: the endpoint's own data must change through `apply` alone.
        """
        return self._database.execute(statement, parameters)

    def rebuild(self, log: Iterable[Commit]) -> None:
        """Replace the data by an empty database and apply a log."""
        self._database.close()
        self._database = self._create_database()
        self.applied = 0
        for commit in log:
            self.apply(commit)

    def query(self, statement: str, parameters: Sequence[Any]) -> values_pb2.ResultSet:
        """The complete result of a read. Raises StatementError, also above `MAX_ROWS` rows."""
        try:
            cursor = self._database.execute(statement, parameters)
            rows = cursor.fetchmany(MAX_ROWS + 1)
        except (sqlite3.Error, sqlite3.Warning) as error:
            raise StatementError(str(error)) from error
        if len(rows) > MAX_ROWS:
            raise StatementError(f"more than {MAX_ROWS} rows")
        result = values_pb2.ResultSet(columns=[column[0] for column in cursor.description or ()])
        for row in rows:
            result.rows.add(values=[value_to_proto(value) for value in row])
        return result


def value_to_proto(value: Any) -> values_pb2.Value:
    """Encode an SQLite value."""
    match value:
        case None:
            return values_pb2.Value(null=True)
        case int():
            return values_pb2.Value(integer=value)
        case float():
            return values_pb2.Value(real=value)
        case str():
            return values_pb2.Value(text=value)
        case _:
            return values_pb2.Value(blob=bytes(value))


def value_from_proto(value: values_pb2.Value) -> Any:
    """Decode a value for use in SQLite."""
    kind = value.WhichOneof("kind")
    return None if kind in (None, "null") else getattr(value, kind)
