"""What a MySQL-speaking member understands: a useful part of MySQL's statements, run on sqlite.

Statements are turned into sqlite's by sqlglot; what it cannot turn is refused by name. A transaction works on
a copy of the data of its own and becomes one entry of the log. One writer at a time: who writes first in a
transaction holds the member's write lock until its end, others wait for it and give up after a while.
"""

from __future__ import annotations

import re
import sqlite3
import uuid
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from functools import lru_cache
from typing import TYPE_CHECKING, Any

import sqlglot
import trio
from sqlglot import exp

from juniperreel.fakes.errors import QueueFullError
from juniperreel.fakes.store import Commit, Statement, Store
from juniperreel.mysql.constants import BINARY, UTF8MB4, ColumnType, Flag
from juniperreel.mysql.values import Column

if TYPE_CHECKING:
    from juniperreel.fakes.endpoint import Member

BATCH = 500  # rows
COMMENT = re.compile(r"/\*(?!!).*?\*/", re.S)
RID = re.compile(r"/\* rid ([0-9a-z.-]+) \*/")
STATUS = re.compile(r"\bfrom juniperreel\.heartbeat\b", re.I)
SAVEPOINT = re.compile(r"(savepoint|rollback(?: work)? to(?: savepoint)?|release savepoint) (\w+)\Z")
KILL = re.compile(r"kill (?:connection )?(\d+)\Z")
SLEEP = re.compile(r"select sleep\(([0-9.]+)\)\Z")
EVERY_TYPE = re.compile(r"select \* from every_type(_but_year)?(?: where \? = \?)?\Z")
VARIABLE = re.compile(r"select @@(?:global\.|session\.)?(\w+)(?: limit 1)?\Z")
ASSIGNMENT = re.compile(r",(?=(?:[^']*'[^']*')*[^']*\Z)")
ASSIGNED = re.compile(r"(?:@@session\.|@@|session )?(@?\w+) ?:?= ?('[^']*'|-?[\w.]+)\Z", re.I)
NAMED = re.compile(r"('(?:[^'\\]|\\.)*')|@@(?:session\.)?(\w+)|@\w+|last_insert_id\(\)", re.I)
SETTABLE = {
    "sql_mode": "'ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES'",
    "time_zone": "'SYSTEM'",
    "foreign_key_checks": "1",
    "unique_checks": "1",
    "group_concat_max_len": "1024",
    "max_execution_time": "0",
    "sql_safe_updates": "0",
    "wait_timeout": "28800",
}
LITERAL = re.compile(r"values\s*\(\s*'([^']*)'", re.I)


# A table of every type, which sqlite has not: name, type, character set, flags, value.
TYPED: list[tuple[str, ColumnType, int, int, Any]] = [
    ("tiny", ColumnType.TINY, BINARY, 0, -128),
    ("utiny", ColumnType.TINY, BINARY, Flag.UNSIGNED, 255),
    ("short", ColumnType.SHORT, BINARY, 0, -32768),
    ("mid", ColumnType.INT24, BINARY, 0, -8388608),
    ("long", ColumnType.LONG, BINARY, 0, -2147483648),
    ("big", ColumnType.LONGLONG, BINARY, 0, -(1 << 63)),
    ("ubig", ColumnType.LONGLONG, BINARY, Flag.UNSIGNED, (1 << 64) - 1),
    ("float", ColumnType.FLOAT, BINARY, 0, 0.5),
    ("double", ColumnType.DOUBLE, BINARY, 0, 0.1),
    ("decimal", ColumnType.NEWDECIMAL, BINARY, 0, "-12345678901234567890.12"),
    ("year", ColumnType.YEAR, BINARY, Flag.UNSIGNED, 2026),
    ("date", ColumnType.DATE, BINARY, 0, "2026-12-01"),
    ("datetime", ColumnType.DATETIME, BINARY, 0, "2026-12-01 23:59:58.000007"),
    ("stamp", ColumnType.TIMESTAMP, BINARY, 0, "2026-12-01 23:59:58"),
    ("time", ColumnType.TIME, BINARY, 0, "-26:00:01.500000"),
    ("char", ColumnType.STRING, UTF8MB4, 0, "née ✓"),
    ("varchar", ColumnType.VAR_STRING, UTF8MB4, 0, "x" * 300),
    ("text", ColumnType.BLOB, UTF8MB4, 0, "ñ" * 70_000),
    ("blob", ColumnType.BLOB, BINARY, Flag.BINARY, bytes(range(256))),
    ("bit", ColumnType.BIT, BINARY, Flag.UNSIGNED, b"\x05"),
    ("json", ColumnType.JSON, UTF8MB4, 0, '{"a": [1, null, "\u00e9"]}'),
    ("enum", ColumnType.STRING, UTF8MB4, 0x100, "small"),
    ("set", ColumnType.STRING, UTF8MB4, 0x800, "a,b"),
]


class Problem(Exception):
    """An ERR packet."""

    def __init__(self, code: int, state: str, words: str) -> None:
        super().__init__(words)
        self.code, self.state, self.words = code, state, words


@dataclass(slots=True)
class Rows:
    """`rows` may be long, and is drawn once. `columns` where their types are not those of the values."""

    names: list[str]
    rows: Iterator[Sequence[Any]]
    columns: list[Column] | None = None


@dataclass(slots=True)
class Done:
    affected: int = 0
    insert_id: int = 0
    info: str = ""
    gtid: str = ""


@dataclass(frozen=True, slots=True)
class Understood:
    """A statement as sqlite takes it."""

    text: str
    writes: bool
    locks: bool
    schema: bool  # commits whatever is open


def problem_of(error: sqlite3.Error | sqlite3.Warning) -> Problem:
    words = str(error)
    if "no such table" in words:
        return Problem(1146, "42S02", f"Table '{words.rpartition(' ')[2]}' doesn't exist")
    if "no such column" in words:
        return Problem(1054, "42S22", f"Unknown column '{words.rpartition(' ')[2]}' in 'field list'")
    if "UNIQUE constraint" in words:
        return Problem(1062, "23000", f"Duplicate entry ({words})")
    if "NOT NULL" in words:
        return Problem(1048, "23000", words)
    return Problem(1064, "42000", words)


@lru_cache(maxsize=2000)
def understand(text: str) -> Understood:
    """Raises Problem."""
    try:
        parsed = [p for p in sqlglot.parse(text, read="mysql") if p is not None]
    except Exception as error:  # it trips over text that nobody wrote, and the member must not fall with it
        raise Problem(1064, "42000", f"You have an error in your SQL syntax: {str(error)[:200]}") from None
    if len(parsed) != 1:
        raise Problem(1064, "42000", "one statement, please")
    (one,) = parsed
    locks = any(True for _ in one.find_all(exp.Lock))
    for select in one.find_all(exp.Select):
        select.set("locks", [])
    schema = isinstance(one, exp.Create | exp.Drop | exp.Alter)
    writes = schema or isinstance(one, exp.Insert | exp.Update | exp.Delete)
    if isinstance(one, exp.Column | exp.Alias | exp.Identifier | exp.Literal):
        raise Problem(1064, "42000", f"You have an error in your SQL syntax near {text[:40]!r}")
    if not writes and not isinstance(one, exp.Query | exp.Values):
        raise Problem(1235, "42000", f"this stand-in doesn't support {text[:40]!r}")
    return Understood(one.sql(dialect="sqlite"), writes, locks, schema)


def server_uuid(group: int, epoch: int) -> str:
    """Of whoever is primary in that epoch."""
    return str(uuid.uuid5(uuid.NAMESPACE_OID, f"juniperreel stand-in {group} {epoch}"))


@dataclass(slots=True)
class Transaction:
    data: Store
    read_only: bool
    done: list[Statement] = field(default_factory=list)
    rid: str = ""
    row: str = ""
    locked: bool = False
    saved: list[tuple[str, int]] = field(default_factory=list)  # savepoints, and what was done before each


class Engine:
    """One connection's state."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.autocommit = True
        self.variables: dict[str, str] = {}  # session and user variables that are not as they were
        self.read_only = False  # of the next transaction, told by `begin`
        self.begun = False
        self.open: Transaction | None = None
        self._insert_id = 0
        self._row_count = -1
        self._found = 0

    @property
    def in_transaction(self) -> bool:
        return self.begun or self.open is not None

    def end(self) -> None:
        """The connection is over, or reset: what was open is undone."""
        self._drop()
        self.autocommit = True
        self.variables = {}

    def _drop(self) -> None:
        if self.open is not None:
            if self.open.locked:
                self.member.writer.release()
            self.open.data.close()
        self.open, self.begun = None, False

    async def run(self, text: str, parameters: Sequence[Any]) -> Rows | Done:
        """Raises Problem."""
        plain = re.sub(r"\s+", " ", COMMENT.sub(" ", text)).strip().rstrip(";").strip()
        lower = plain.lower()
        found = await self._control(lower, plain)
        if found is not None:
            return found
        if STATUS.search(lower):
            return self._standing()
        known = self._known(lower)
        if known is not None:
            return known
        if SLEEP.match(lower):
            await trio.sleep(float(SLEEP.match(lower)[1]))  # type: ignore[index]
            return Rows(["sleep"], iter([(0,)]))
        text = self._filled(text)
        understood = understand(text)
        if understood.schema:
            await self._commit()
        if (self.begun or not self.autocommit) and self.open is None:
            self._open()
        return await self._statement(understood, text, tuple(parameters))

    def _set(self, text: str) -> None:
        """Session and user variables to literals; all of it or nothing."""
        made = dict(self.variables)
        for part in ASSIGNMENT.split(text):
            match = ASSIGNED.match(part.strip())
            if match is None:
                raise Problem(1064, "42000", f"You have an error in your SQL syntax near {part[:40]!r}")
            name, value = match[1].lower(), match[2]
            if name == "last_insert_id":
                self._insert_id = int(value)
            elif not name.startswith("@") and name not in SETTABLE:
                raise Problem(1193, "HY000", f"Unknown system variable '{name}'")
            elif name == "sql_mode" and "NONSENSE" in value:
                raise Problem(1231, "42000", f"Variable 'sql_mode' can't be set to the value of {value}")
            elif value.lower() in ("default", "null"):
                made.pop(name, None)
            else:
                made[name] = value
        self.variables = made

    def _filled(self, text: str) -> str:
        """With variables in place of their names, outside of quotes."""

        def value(match: re.Match[str]) -> str:
            if match[1]:
                return match[0]
            if match[2]:
                name = match[2].lower()
                return self.variables.get(name, SETTABLE.get(name, match[0]))
            if match[0][0] != "@":
                return str(self._insert_id)
            return self.variables.get(match[0].lower(), "null")

        return NAMED.sub(value, text) if "@" in text or "last_insert_id" in text.lower() else text

    async def _control(self, lower: str, plain: str) -> Done | None:
        if lower in ("begin", "begin work") or lower.startswith("start transaction"):
            await self._commit()
            self.begun, self.read_only = True, "read only" in lower
            return Done()
        if lower in ("commit", "commit work"):
            return await self._commit()
        if lower in ("rollback", "rollback work"):
            self._drop()
            return Done()
        if (match := SAVEPOINT.match(lower)) is not None:
            return self._savepoint(match[1], match[2])
        if lower.startswith("set "):
            match = re.match(r"set (?:session |@@session\.|@@)?autocommit ?= ?(\w+)", lower)
            if match is not None:
                self.autocommit = match[1] in ("1", "on", "true")
                if self.autocommit:
                    return await self._commit()
            elif not lower.startswith("set names"):
                self._set(plain[4:])
            return Done()
        if (match := KILL.match(lower)) is not None:
            self.member.kill_connection(int(match[1]))
            return Done()
        return None

    def _open(self) -> None:
        self.open, self.begun = Transaction(self.member.copy.store.fork(), self.read_only), False

    def _savepoint(self, what: str, name: str) -> Done:
        if self.open is None:
            if what == "savepoint" and self.begun:
                self._open()
            elif what == "savepoint":
                return Done()
        t = self.open
        if t is None:
            raise Problem(1305, "42000", f"SAVEPOINT {name} does not exist")
        if what == "savepoint":
            t.data.execute(f"savepoint {name}", ())
            t.saved.append((name, len(t.done)))
            return Done()
        at = next((i for i, (n, _) in enumerate(t.saved) if n == name), None)
        if at is None:
            raise Problem(1305, "42000", f"SAVEPOINT {name} does not exist")
        if what.startswith("release"):
            t.data.execute(f"release {name}", ())
            del t.saved[at:]
        else:
            t.data.execute(f"rollback to {name}", ())
            del t.done[t.saved[at][1] :]
            del t.saved[at + 1 :]
        return Done()

    def _known(self, lower: str) -> Rows | None:
        """What no table answers."""
        if lower == "select last_insert_id()":
            return Rows(["last_insert_id()"], iter([(self._insert_id,)]))
        if lower == "select row_count()":
            return Rows(["row_count()"], iter([(self._row_count,)]))
        if lower == "select found_rows()":
            return Rows(["found_rows()"], iter([(self._found,)]))
        if lower == "show global status like 'threads_running'":
            running = self.member.machine.in_flight
            return Rows(["Variable_name", "Value"], iter([("Threads_running", str(running))]))
        if (match := EVERY_TYPE.match(lower)) is not None:
            typed = [t for t in TYPED if t[0] != "year" or not match[1]]
            columns = [Column(name, kind, charset, flags=flags) for name, kind, charset, flags, _ in typed]
            row = [value for *_, value in typed]
            names = [column.name for column in columns]
            return Rows(names, iter([row, [None] * len(row)]), columns)
        if (match := VARIABLE.match(lower)) is not None:
            values = {
                "read_only": int(not self.member.claims),
                "gtid_executed": self._executed(),
                "autocommit": int(self.autocommit),
                "sql_mode": "ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES",
                "version": "8.0.36-standin",
            }
            if match[1] not in values:
                raise Problem(1193, "HY000", f"Unknown system variable '{match[1]}'")
            return Rows([f"@@{match[1]}"], iter([(values[match[1]],)]))
        return None

    def _executed(self) -> str:
        """Of this member's copy, as far as it is applied."""
        copy = self.member.copy
        counts: dict[int, int] = {}
        for commit in copy.log[: copy.store.applied]:
            counts[commit.epoch] = counts.get(commit.epoch, 0) + 1
        group = self.member.group.number
        return ",".join(f"{server_uuid(group, epoch)}:1-{count}" for epoch, count in counts.items())

    def _standing(self) -> Rows:
        standing = self.member.standing()
        read_only = int(not self.member.claims)
        position = standing.position
        rows = [
            (read_only, max(position, self.member.now_us()), e.epoch, e.start, position)
            for e in standing.epochs
        ]
        return Rows(["read_only", "clock", "epoch", "start", "ts"], iter(rows))

    # Statements.

    async def _statement(self, what: Understood, text: str, parameters: tuple[Any, ...]) -> Rows | Done:
        member = self.member
        if what.writes and not member.claims:
            raise Problem(1290, "HY000", "The MySQL server is running with the --read-only option")
        if (what.writes or what.locks) and self.open is not None and self.open.read_only:
            raise Problem(1792, "25006", "Cannot execute statement in a READ ONLY transaction.")
        work = member.machine.draw_work_us(
            member.settings.write_us if what.writes else member.settings.read_us
        )
        try:
            async with member.machine.core():
                await member.machine.execute(work)
                await member.wait_while_hung()
            # Locks and other members' receipts are waited for without a core.
            if what.writes:
                return await self._write(what, text, parameters)
            if what.locks and self.open is not None:
                await self._lock(self.open)
            return self._read(what, parameters)
        except QueueFullError:
            raise Problem(1040, "08004", "Too many connections") from None
        except (sqlite3.Error, sqlite3.Warning) as error:
            raise problem_of(error) from None

    def _read(self, what: Understood, parameters: tuple[Any, ...]) -> Rows:
        data = self.open.data if self.open is not None else self.member.copy.store
        cursor = data.execute(what.text, parameters)
        names = [column[0] for column in cursor.description or ()]
        first = cursor.fetchmany(BATCH)
        self._row_count, self._found = -1, len(first)
        return Rows(names, rest_of(first, cursor))

    async def _lock(self, t: Transaction) -> None:
        """The one write lock, and the data as of now."""
        if t.locked:
            return
        with trio.move_on_after(self.member.settings.lock_wait_s) as wait:
            await self.member.writer.acquire()
        if wait.cancelled_caught:
            raise Problem(1205, "HY000", "Lock wait timeout exceeded; try restarting transaction")
        t.locked = True
        t.data.close()
        t.data = self.member.copy.store.fork()

    async def _write(self, what: Understood, text: str, parameters: tuple[Any, ...]) -> Done:
        t = self.open
        rid = RID.search(text)
        row = literal(text, parameters)
        if t is None:
            return await self._write_alone(what, parameters, rid[1] if rid else "", row)
        await self._lock(t)
        cursor = t.data.execute(what.text, parameters)
        t.done.append(Statement(what.text, parameters))
        t.rid, t.row = t.rid or (rid[1] if rid else ""), t.row or row
        self._insert_id = cursor.lastrowid or self._insert_id
        self._row_count = max(cursor.rowcount, 0)
        return Done(self._row_count, cursor.lastrowid or 0)

    async def _write_alone(self, what: Understood, parameters: tuple[Any, ...], rid: str, row: str) -> Done:
        member = self.member
        with trio.move_on_after(self.member.settings.lock_wait_s) as wait:
            await member.writer.acquire()
        if wait.cancelled_caught:
            raise Problem(1205, "HY000", "Lock wait timeout exceeded; try restarting transaction")
        try:
            if not member.claims:
                raise Problem(1290, "HY000", "The MySQL server is running with the --read-only option")
            position, rows = member.commit([Statement(what.text, parameters)], "", rid, row)
            insert_id = member.copy.store.last_insert_id()
        finally:
            member.writer.release()
        return await self._committed(position, rows, insert_id)

    async def _committed(self, position: int, rows: int, insert_id: int) -> Done:
        gtid = self._gtid()
        self._row_count, self._insert_id = max(rows, 0), insert_id or self._insert_id
        await self.member.acknowledged(position)
        return Done(max(rows, 0), insert_id, gtid=gtid)

    def _gtid(self) -> str:
        log: list[Commit] = self.member.copy.log
        epoch = log[-1].epoch
        number = sum(c.epoch == epoch for c in log)
        return f"{server_uuid(self.member.group.number, epoch)}:{number}"

    async def _commit(self) -> Done:
        t, self.begun = self.open, False
        if t is None:
            return Done()
        if not t.done:
            self._drop()
            return Done()
        try:
            await self.member.wait_while_hung()
            if not self.member.claims:
                raise Problem(1290, "HY000", "The MySQL server is running with the --read-only option")
            position, _ = self.member.commit(t.done, "", t.rid, t.row)
        except sqlite3.Error as error:
            raise problem_of(error) from None
        finally:
            self._drop()
        done = await self._committed(position, 0, 0)
        return Done(gtid=done.gtid)


def literal(text: str, parameters: Sequence[Any]) -> str:
    """Whose row it writes, for the record: the first value."""
    if parameters:
        return str(parameters[0])
    match = LITERAL.search(text)
    return match[1] if match else ""


def rest_of(first: list[Any], cursor: sqlite3.Cursor) -> Iterator[Sequence[Any]]:
    while first:
        yield from first
        first = cursor.fetchmany(BATCH)
