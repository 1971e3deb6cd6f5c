"""A member's data: rows in sqlite, and the log they come from. No I/O but memory.

Each row carries the name of the request that wrote it, so that an answer shows which commits it contains.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from juniperreel.proto.common.v1 import values_pb2

SCHEMA = "create table runs (number integer primary key, runner text not null, id text not null); "
INDEX = "create index by_runner on runs (runner, number)"
MAX_ROWS = 10_000


class StatementFault(Exception):
    """The statement itself is at fault."""


@dataclass(frozen=True, slots=True)
class Commit:
    """One entry of a group's log. `position` is microseconds on the group's clock; `more` are a transaction's
    statements after the first."""

    epoch: int
    position: int
    statement: str
    parameters: tuple[Any, ...]
    key: str
    rid: str
    more: tuple[tuple[str, tuple[Any, ...]], ...] = ()


class Store:
    """Applies commits in order and answers statements from what is applied."""

    def __init__(self) -> None:
        self._db = self._fresh()
        self.applied = 0  # commits

    @staticmethod
    def _fresh() -> sqlite3.Connection:
        db = sqlite3.connect(":memory:", isolation_level=None, check_same_thread=False)
        db.executescript(SCHEMA + INDEX)
        return db

    def close(self) -> None:
        self._db.close()

    def check(self, statement: str, parameters: Sequence[Any], write: bool) -> None:
        """Raises StatementFault for what would not run, without running it."""
        try:
            self._db.execute("explain " + statement, parameters)
        except (sqlite3.Error, sqlite3.Warning) as error:
            raise StatementFault(str(error)) from None
        reads = statement.lstrip().lower().startswith(("select", "values", "with"))
        if reads == write:
            raise StatementFault(
                "a read in a class that writes" if write else "a write in a class that reads"
            )

    def apply(self, commit: Commit) -> int:
        """The number of rows changed."""
        self._db.execute("begin")
        try:
            rows = self._db.execute(commit.statement, commit.parameters).rowcount
            for statement, parameters in commit.more:
                rows += self._db.execute(statement, parameters).rowcount
        except sqlite3.Error:
            self._db.execute("rollback")
            raise
        self._db.execute("commit")
        self.applied += 1
        return rows

    def fork(self) -> Store:
        """A copy as of now, of which nobody else sees what is done to it."""
        other = Store()
        self._db.backup(other._db)
        other.applied = self.applied
        return other

    def last_id(self) -> int:
        """The number that the last insert was given."""
        return int(self._db.execute("select last_insert_rowid()").fetchone()[0])

    def run(self, statement: str, parameters: Sequence[Any]) -> sqlite3.Cursor:
        """Raises sqlite3's errors. Writes are for forks: those of all go through `apply`."""
        return self._db.execute(statement, parameters)

    def rebuild(self, log: Iterable[Commit]) -> None:
        self._db.close()
        self._db, self.applied = self._fresh(), 0
        for commit in log:
            self.apply(commit)

    def query(self, statement: str, parameters: Sequence[Any]) -> values_pb2.ResultSet:
        try:
            cursor = self._db.execute(statement, parameters)
            rows = cursor.fetchmany(MAX_ROWS + 1)
        except (sqlite3.Error, sqlite3.Warning) as error:
            raise StatementFault(str(error)) from None
        if len(rows) > MAX_ROWS:
            raise StatementFault(f"more than {MAX_ROWS} rows")
        result = values_pb2.ResultSet(columns=[column[0] for column in cursor.description or ()])
        for row in rows:
            result.rows.add(values=[to_value(v) for v in row])
        return result


def to_value(value: Any) -> values_pb2.Value:
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


def from_value(value: values_pb2.Value) -> Any:
    kind = value.WhichOneof("kind")
    return None if kind in (None, "null") else getattr(value, kind)
