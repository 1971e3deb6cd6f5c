"""Executes the statements of one MySQL connection: a subset of MySQL's dialect, on SQLite.

A transaction works on a copy of the data and is committed as one log entry. There is one writer at a time: a
transaction acquires the endpoint's write lock with its first write and holds it until it ends; others wait
for the lock up to a timeout.
"""

from __future__ import annotations

import re
import sqlite3
import uuid
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import trio

from juniperreel.fakes.errors import MysqlError, QueueFullError
from juniperreel.fakes.mysql_translation import TranslatedStatement, mysql_error_of, translate
from juniperreel.fakes.mysql_types import TYPED_COLUMNS
from juniperreel.fakes.mysql_variables import SessionVariables
from juniperreel.fakes.request_names import request_id_of
from juniperreel.fakes.store import Statement, Store
from juniperreel.mysql.columns import Column

if TYPE_CHECKING:
    from juniperreel.fakes.endpoint import FakeEndpoint

BATCH_ROWS = 500
COMMENT = re.compile(r"/\*(?!!).*?\*/", re.S)
STATUS_QUERY = re.compile(r"\bfrom juniperreel\.heartbeat\b", re.I)
SAVEPOINT = re.compile(r"(savepoint|rollback(?: work)? to(?: savepoint)?|release savepoint) (\w+)\Z")
KILL = re.compile(r"kill (?:connection )?(\d+)\Z")
SLEEP = re.compile(r"select sleep\(([0-9.]+)\)\Z")
EVERY_TYPE = re.compile(r"select \* from every_type(_but_year)?(?: where \? = \?)?\Z")
VARIABLE = re.compile(r"select @@(?:global\.|session\.)?(\w+)(?: limit 1)?\Z")
AUTOCOMMIT = re.compile(r"set (?:session |@@session\.|@@)?autocommit ?= ?(\w+)")
FIRST_LITERAL = re.compile(r"values\s*\(\s*'([^']*)'", re.I)


@dataclass(slots=True)
class ResultSet:
    """The result of a read. `rows` can be iterated once; without `columns`, types are derived from values."""

    names: list[str]
    rows: Iterator[Sequence[Any]]
    columns: list[Column] | None = None


@dataclass(slots=True)
class OkResult:
    """The result of a statement without rows: the content of an OK packet."""

    affected: int = 0
    insert_id: int = 0
    info: str = ""
    gtid: str = ""


@dataclass(frozen=True, slots=True)
class Savepoint:
    """A savepoint, and the number of writes that the transaction had executed before it."""

    name: str
    statements: int


@dataclass(slots=True)
class Transaction:
    """An open transaction."""

    data: Store
    read_only: bool
    statements: list[Statement] = field(default_factory=list)  # writes to commit
    request_id: str = ""
    row: str = ""
    locked: bool = False
    savepoints: list[Savepoint] = field(default_factory=list)


def server_uuid(group: int, epoch: int) -> str:
    """The server UUID in the GTIDs of an epoch, whichever endpoint is its primary."""
    return str(uuid.uuid5(uuid.NAMESPACE_OID, f"juniperreel stand-in {group} {epoch}"))


def read_only_server() -> MysqlError:
    """The error for a write on a replica."""
    return MysqlError(1290, "HY000", "The MySQL server is running with the --read-only option")


class MysqlEngine:
    """The state of one connection."""

    def __init__(self, endpoint: FakeEndpoint) -> None:
        self.endpoint = endpoint
        self.autocommit = True
        self.variables = SessionVariables()
        self.read_only = False  # access mode of the transaction that was begun
        self.begun = False  # a transaction was begun and has executed no statement yet
        self.transaction: Transaction | None = None
        self._row_count = -1
        self._found_rows = 0

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction was begun and has not ended."""
        return self.begun or self.transaction is not None

    def reset(self) -> None:
        """Reset the session, also at its end: roll back an open transaction and reset variables."""
        self._rollback()
        self.autocommit = True
        self.variables.reset()

    def _rollback(self) -> None:
        transaction = self.transaction
        if transaction is not None:
            if transaction.locked:
                self.endpoint.write_lock.release()
            transaction.data.close()
        self.transaction = None
        self.begun = False

    async def execute(self, text: str, parameters: Sequence[Any]) -> ResultSet | OkResult:
        """Execute one statement. Raises MysqlError."""
        plain = re.sub(r"\s+", " ", COMMENT.sub(" ", text)).strip().rstrip(";").strip()
        lower = plain.lower()
        control_result = await self._control(lower, plain)
        if control_result is not None:
            return control_result
        if STATUS_QUERY.search(lower):
            return self._replication_status()
        builtin_result = self._builtin(lower)
        if builtin_result is not None:
            return builtin_result
        sleep = SLEEP.match(lower)
        if sleep is not None:
            await trio.sleep(float(sleep[1]))
            return ResultSet(["sleep"], iter([(0,)]))
        text = self.variables.substitute(text)
        statement = translate(text)
        if statement.changes_schema:
            await self._commit()
        if (self.begun or not self.autocommit) and self.transaction is None:
            self._open_transaction()
        return await self._execute_translated(statement, text, tuple(parameters))

    # Transactions and session state.

    async def _control(self, lower: str, plain: str) -> OkResult | None:
        """Execute a statement on transactions, variables or connections; None for other statements."""
        if lower in ("begin", "begin work") or lower.startswith("start transaction"):
            await self._commit()
            self.begun = True
            self.read_only = "read only" in lower
            return OkResult()
        if lower in ("commit", "commit work"):
            return await self._commit()
        if lower in ("rollback", "rollback work"):
            self._rollback()
            return OkResult()
        savepoint = SAVEPOINT.match(lower)
        if savepoint is not None:
            return self._savepoint(savepoint[1], savepoint[2])
        if lower.startswith("set "):
            return await self._set(lower, plain)
        kill = KILL.match(lower)
        if kill is not None:
            self.endpoint.kill_connection(int(kill[1]))
            return OkResult()
        return None

    async def _set(self, lower: str, plain: str) -> OkResult:
        autocommit = AUTOCOMMIT.match(lower)
        if autocommit is not None:
            self.autocommit = autocommit[1] in ("1", "on", "true")
            if self.autocommit:
                return await self._commit()
        elif not lower.startswith("set names"):
            self.variables.assign(plain[len("set ") :])
        return OkResult()

    def _open_transaction(self) -> None:
        self.transaction = Transaction(self.endpoint.replica.store.fork(), self.read_only)
        self.begun = False

    def _savepoint(self, action: str, name: str) -> OkResult:
        if self.transaction is None and action == "savepoint":
            if not self.begun:
                return OkResult()
            self._open_transaction()
        transaction = self.transaction
        if transaction is None:
            raise MysqlError(1305, "42000", f"SAVEPOINT {name} does not exist")
        if action == "savepoint":
            transaction.data.execute(f"savepoint {name}", ())
            transaction.savepoints.append(Savepoint(name, len(transaction.statements)))
            return OkResult()
        names = [savepoint.name for savepoint in transaction.savepoints]
        if name not in names:
            raise MysqlError(1305, "42000", f"SAVEPOINT {name} does not exist")
        index = names.index(name)
        if action.startswith("release"):
            transaction.data.execute(f"release {name}", ())
            del transaction.savepoints[index:]
        else:
            transaction.data.execute(f"rollback to {name}", ())
            del transaction.statements[transaction.savepoints[index].statements :]
            del transaction.savepoints[index + 1 :]
        return OkResult()

    async def _commit(self) -> OkResult:
        transaction = self.transaction
        self.begun = False
        if transaction is None:
            return OkResult()
        if not transaction.statements:
            self._rollback()
            return OkResult()
        try:
            await self.endpoint.wait_while_hung()
            if not self.endpoint.claims_primary:
                raise read_only_server()
            write = self.endpoint.commit(transaction.statements, "", transaction.request_id, transaction.row)
        except sqlite3.Error as error:
            raise mysql_error_of(error) from error
        finally:
            self._rollback()
        result = await self._committed(write.position, 0, 0)
        return OkResult(gtid=result.gtid)

    # Statements without tables.

    def _builtin(self, lower: str) -> ResultSet | None:
        if lower == "select last_insert_id()":
            return ResultSet(["last_insert_id()"], iter([(self.variables.last_insert_id,)]))
        if lower == "select row_count()":
            return ResultSet(["row_count()"], iter([(self._row_count,)]))
        if lower == "select found_rows()":
            return ResultSet(["found_rows()"], iter([(self._found_rows,)]))
        if lower == "show global status like 'threads_running'":
            running = str(self.endpoint.capacity.in_flight)
            return ResultSet(["Variable_name", "Value"], iter([("Threads_running", running)]))
        every_type = EVERY_TYPE.match(lower)
        if every_type is not None:
            return _every_type(without_year=bool(every_type[1]))
        variable = VARIABLE.match(lower)
        if variable is not None:
            return self._system_variable(variable[1])
        return None

    def _system_variable(self, name: str) -> ResultSet:
        values = {
            "read_only": int(not self.endpoint.claims_primary),
            "gtid_executed": self._gtid_executed(),
            "autocommit": int(self.autocommit),
            "sql_mode": "ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES",
            "version": "8.0.36-standin",
        }
        if name not in values:
            raise MysqlError(1193, "HY000", f"Unknown system variable '{name}'")
        return ResultSet([f"@@{name}"], iter([(values[name],)]))

    def _gtid_executed(self) -> str:
        """The GTID set of the commits that this endpoint has applied."""
        replica = self.endpoint.replica
        counts: dict[int, int] = {}
        for commit in replica.log[: replica.store.applied]:
            counts[commit.epoch] = counts.get(commit.epoch, 0) + 1
        group = self.endpoint.group.number
        return ",".join(f"{server_uuid(group, epoch)}:1-{count}" for epoch, count in counts.items())

    def _replication_status(self) -> ResultSet:
        status = self.endpoint.replication_status()
        read_only = int(not self.endpoint.claims_primary)
        clock = max(status.position, self.endpoint.now_us())
        rows = [(read_only, clock, epoch.epoch, epoch.start, status.position) for epoch in status.epochs]
        return ResultSet(["read_only", "clock", "epoch", "start", "ts"], iter(rows))

    # Statements on tables.

    async def _execute_translated(
        self, statement: TranslatedStatement, text: str, parameters: tuple[Any, ...]
    ) -> ResultSet | OkResult:
        endpoint = self.endpoint
        transaction = self.transaction
        if statement.writes and not endpoint.claims_primary:
            raise read_only_server()
        if (statement.writes or statement.locks) and transaction is not None and transaction.read_only:
            raise MysqlError(1792, "25006", "Cannot execute statement in a READ ONLY transaction.")
        work_us = endpoint.capacity.draw_work_us(endpoint.mean_work_us(statement.writes))
        try:
            async with endpoint.capacity.core():
                await endpoint.capacity.execute(work_us)
                await endpoint.wait_while_hung()
            # Waiting for locks and for replication does not occupy a core.
            if statement.writes:
                return await self._write(statement, text, parameters)
            if statement.locks and self.transaction is not None:
                await self._lock(self.transaction)
            return self._read(statement, parameters)
        except QueueFullError as error:
            raise MysqlError(1040, "08004", "Too many connections") from error
        except (sqlite3.Error, sqlite3.Warning) as error:
            raise mysql_error_of(error) from error

    def _read(self, statement: TranslatedStatement, parameters: tuple[Any, ...]) -> ResultSet:
        data = self.transaction.data if self.transaction is not None else self.endpoint.replica.store
        cursor = data.execute(statement.text, parameters)
        names = [column[0] for column in cursor.description or ()]
        first_batch = cursor.fetchmany(BATCH_ROWS)
        self._row_count = -1
        self._found_rows = len(first_batch)
        return ResultSet(names, _all_rows(first_batch, cursor))

    async def _acquire_write_lock(self) -> None:
        with trio.move_on_after(self.endpoint.settings.lock_wait_s) as wait:
            await self.endpoint.write_lock.acquire()
        if wait.cancelled_caught:
            raise MysqlError(1205, "HY000", "Lock wait timeout exceeded; try restarting transaction")

    async def _lock(self, transaction: Transaction) -> None:
        """Acquire the write lock for a transaction and replace its copy by the current data."""
        if transaction.locked:
            return
        await self._acquire_write_lock()
        transaction.locked = True
        transaction.data.close()
        transaction.data = self.endpoint.replica.store.fork()

    async def _write(
        self, statement: TranslatedStatement, text: str, parameters: tuple[Any, ...]
    ) -> OkResult:
        request_id = request_id_of(text)
        row = _written_row(text, parameters)
        write = Statement(statement.text, parameters)
        transaction = self.transaction
        if transaction is None:
            return await self._write_with_autocommit(write, request_id, row)
        await self._lock(transaction)
        cursor = transaction.data.execute(write.text, write.parameters)
        transaction.statements.append(write)
        transaction.request_id = transaction.request_id or request_id
        transaction.row = transaction.row or row
        self.variables.last_insert_id = cursor.lastrowid or self.variables.last_insert_id
        self._row_count = max(cursor.rowcount, 0)
        return OkResult(self._row_count, cursor.lastrowid or 0)

    async def _write_with_autocommit(self, statement: Statement, request_id: str, row: str) -> OkResult:
        endpoint = self.endpoint
        await self._acquire_write_lock()
        try:
            if not endpoint.claims_primary:
                raise read_only_server()
            write = endpoint.commit([statement], "", request_id, row)
            insert_id = endpoint.replica.store.last_insert_id()
        finally:
            endpoint.write_lock.release()
        return await self._committed(write.position, write.rows, insert_id)

    async def _committed(self, position: int, rows: int, insert_id: int) -> OkResult:
        gtid = self._last_gtid()
        affected = max(rows, 0)
        self._row_count = affected
        self.variables.last_insert_id = insert_id or self.variables.last_insert_id
        await self.endpoint.wait_until_replicated(position)
        return OkResult(affected, insert_id, gtid=gtid)

    def _last_gtid(self) -> str:
        log = self.endpoint.replica.log
        epoch = log[-1].epoch
        number = sum(commit.epoch == epoch for commit in log)
        return f"{server_uuid(self.endpoint.group.number, epoch)}:{number}"


def _every_type(without_year: bool) -> ResultSet:
    """The table with every type: one row of values and one row of NULLs."""
    typed = [column for column in TYPED_COLUMNS if column.name != "year" or not without_year]
    columns = [Column(c.name, c.type, c.charset, flags=c.flags) for c in typed]
    row = [column.value for column in typed]
    return ResultSet([column.name for column in typed], iter([row, [None] * len(row)]), columns)


def _written_row(text: str, parameters: Sequence[Any]) -> str:
    """The key of the row that a statement writes, for records: its first value."""
    if parameters:
        return str(parameters[0])
    match = FIRST_LITERAL.search(text)
    return match[1] if match else ""


def _all_rows(first_batch: list[Any], cursor: sqlite3.Cursor) -> Iterator[Sequence[Any]]:
    batch = first_batch
    while batch:
        yield from batch
        batch = cursor.fetchmany(BATCH_ROWS)
