"""A member's MySQL side: connections, commands, results; with the faults of its member.

As servers of MySQL do, it goes on with a statement whose client has left: what was begun takes effect.
"""

from __future__ import annotations

import secrets
from collections.abc import Mapping, Sequence
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import trio

from juniperreel.fakes.mysql_engine import BATCH, RID, STATUS, Done, Engine, Problem, Rows, understand
from juniperreel.mysql.auth import NONCE_BYTES, SHA2, Credential
from juniperreel.mysql.constants import ColumnType, Com, Status
from juniperreel.mysql.packets import Cursor, ProtocolError
from juniperreel.mysql.replies import gtid_track
from juniperreel.mysql.server import Command, Event, ServerSession, State
from juniperreel.mysql.values import Column, Parameter, Value, binary_row, read_types, read_values, text_row
from juniperreel.net import Listener
from juniperreel.verification.records import (
    AttemptAbandoned,
    AttemptFinished,
    AttemptReceived,
    StatementExecuted,
    StatementReceived,
)

if TYPE_CHECKING:
    from juniperreel.fakes.endpoint import Member

USER, PASSWORD = "edge", b"edge of the stand-ins"
MAX_PACKET = 16 << 20
READ_BYTES = 64 << 10
MAX_PREPARED = 16_382  # max_prepared_stmt_count
UNTOUCHED = {1040: "NOT_EXECUTED", 1290: "NOT_PRIMARY", 1792: "NOT_PRIMARY"}


class Statement:
    def __init__(self, text: str) -> None:
        self.text = text
        self.parameters = sum(1 for token in understand_tokens(text) if token == "?")
        self.types: list[Parameter] = []
        self.long: dict[int, bytearray] = {}


def understand_tokens(text: str) -> list[str]:
    """Enough to count placeholders: strings, names and comments are left out."""
    out, at, quote = [], 0, ""
    while at < len(text):
        c = text[at]
        if quote:
            if c == "\\" and quote != "`":
                at += 1
            elif c == quote:
                quote = ""
        elif c in "'\"`":
            quote = c
        elif text.startswith("/*", at):
            at = text.find("*/", at) + 1 or len(text)
        else:
            out.append(c)
        at += 1
    return out


class MysqlSide:
    """All MySQL connections of one member."""

    def __init__(self, member: Member, plugin: str = SHA2) -> None:
        self._member, self._plugin = member, plugin
        self._numbers = 0
        self._scopes: dict[int, trio.CancelScope] = {}
        self.opened = 0
        self.prepared = 0  # COM_STMT_PREPARE, ever
        self.resets = 0  # COM_RESET_CONNECTION, ever

    @property
    def connections(self) -> int:
        return len(self._scopes)

    async def serve(self, listener: Listener) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                stream = await listener.accept()
                nursery.start_soon(self._connection, stream)

    def kill(self, number: int) -> None:
        scope = self._scopes.get(number)
        if scope is not None:
            scope.cancel()

    async def _connection(self, stream: trio.abc.Stream) -> None:
        self._numbers += 1
        self.opened += 1
        number = self._numbers
        nonce = bytes(1 + secrets.randbelow(127) for _ in range(NONCE_BYTES))
        users = {USER: Credential.of(PASSWORD)}
        session = ServerSession(number, nonce, users.get, MAX_PACKET, self._plugin, version=b"8.0.36-standin")
        connection = Connection(self._member, self, session, stream)
        with trio.CancelScope() as self._scopes[number]:
            try:
                await connection.run()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            finally:
                connection.engine.end()
                self._scopes.pop(number, None)
                await trio.aclose_forcefully(stream)
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(stream)


class Connection:
    def __init__(
        self, member: Member, side: MysqlSide, session: ServerSession, stream: trio.abc.Stream
    ) -> None:
        self._member, self._side, self._session, self._stream = member, side, session, stream
        self.engine = Engine(member)
        self._statements: dict[int, Statement] = {}
        self._last = 0
        self._came = 0  # when what is being served was read
        self._attempt: tuple[str, int] | None = None  # that is running
        self._ended = 0  # when the client closed the connection

    async def run(self) -> None:
        send, receive = trio.open_memory_channel[tuple[int, bytes]](4)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read, send)
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await self._serve(receive)
            nursery.cancel_scope.cancel()

    async def _read(self, send: trio.MemorySendChannel[tuple[int, bytes]]) -> None:
        """What has come, and when: a member that stands still is sent to all the same. A client's leaving
        ends no statement; it is only written down."""
        while True:
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            now = self._member.at_us()
            if not data:
                self._ended = now
                self._note_end()
            await send.send((now, bytes(data)))
            if not data:
                return

    def _note_end(self) -> None:
        """Also of what a member that stood still begins on when its client has long left."""
        if self._attempt is not None and self._ended:
            self._member.record(AttemptAbandoned(self._ended, self._member.name, *self._attempt))

    async def _serve(self, receive: trio.MemoryReceiveChannel[tuple[int, bytes]]) -> None:
        s = self._session
        s.start()
        todo: list[Event] = []
        while True:
            await self._stream.send_all(s.data_to_send())
            if s.state is State.CLOSED:
                return
            if todo:
                todo += await self._on(todo.pop(0))
                continue
            self._came, data = await receive.receive()
            if not data:
                return
            await self._member.wait_while_hung()
            todo = s.receive(data)

    async def _on(self, event: Event) -> list[Event]:
        if not isinstance(event, Command):
            return []
        s = self._session
        try:
            return await self._command(event)
        except Problem as problem:
            self._status()
            return s.error(problem.code, problem.state, problem.words)
        except ProtocolError as error:
            return s.error(1835, "HY000", f"Malformed communication packet: {error}")

    def _status(self) -> None:
        engine = self.engine
        status = Status.AUTOCOMMIT if engine.autocommit else 0
        if engine.in_transaction:
            read_only = engine.open.read_only if engine.open is not None else engine.read_only
            status |= Status.IN_TRANSACTION | (Status.IN_READ_ONLY if read_only else 0)
        self._session.status = int(status)

    async def _command(self, command: Command) -> list[Event]:
        s, payload = self._session, command.payload
        match command.kind:
            case Com.QUERY:
                return await self._run(payload.decode(), [], command.attributes, binary=False)
            case Com.STMT_PREPARE:
                return self._prepare(payload.decode())
            case Com.STMT_EXECUTE:
                statement, values, attributes = self._bound(Cursor(payload))
                return await self._run(statement.text, values, attributes, binary=True)
            case Com.STMT_SEND_LONG_DATA:
                found = self._statements.get(int.from_bytes(payload[:4], "little"))
                if found is not None:
                    at = int.from_bytes(payload[4:6], "little")
                    found.long.setdefault(at, bytearray()).extend(payload[6:])
                return s.silent()
            case Com.STMT_CLOSE:
                self._statements.pop(int.from_bytes(payload[:4], "little"), None)
                return s.silent()
            case Com.STMT_RESET:
                return s.ok()
            case Com.PING | Com.INIT_DB:
                return s.ok()
            case Com.RESET_CONNECTION:
                self._side.resets += 1
                self.engine.end()
                self._statements.clear()
                self._status()
                return s.ok()
        raise Problem(1047, "08S01", "Unknown command")

    def _prepare(self, text: str) -> list[Event]:
        if len(self._statements) >= MAX_PREPARED:
            raise Problem(1461, "42000", "Can't create more than max_prepared_stmt_count statements")
        if not text.lower().lstrip().startswith(("select @@", "commit", "rollback", "begin", "start")):
            understand(text)
        self._last += 1
        self._side.prepared += 1
        statement = self._statements[self._last] = Statement(text)
        return self._session.prepared(self._last, statement.parameters)

    def _bound(self, c: Cursor) -> tuple[Statement, list[Value], dict[str, Value]]:
        number, flags = c.number(4), c.number(1)
        c.take(4)
        statement = self._statements.get(number)
        if statement is None:
            raise Problem(1243, "HY000", f"Unknown prepared statement handler ({number})")
        total = statement.parameters
        if self._session.takes_attributes and (total or flags & 0x08):
            total = c.length()
        if not total:
            return statement, [], {}
        nulls = c.take((total + 7) // 8)
        if c.number(1):
            statement.types = read_types(c, total, self._session.takes_attributes)
        values = read_values(c, statement.types, nulls, statement.long)
        statement.long.clear()
        own = statement.parameters
        names = [t.name for t in statement.types[own:]]
        return statement, values[:own], dict(zip(names, values[own:], strict=True))

    async def _run(
        self, text: str, values: Sequence[Value], attributes: Mapping[str, Value], binary: bool
    ) -> list[Event]:
        request = str(attributes.get("juniperreel_request", ""))
        if not request:
            return await self._answer(text, values, binary)
        member = self._member
        now = self._came
        edge = request.rsplit("-", 2)[0]
        attempt = int(attributes.get("juniperreel_attempt") or 0)
        statement = int(attributes.get("juniperreel_statement") or 0)
        if statement:
            member.record(StatementReceived(now, member.name, edge, request, statement))
            return await self._answer(text, values, binary)
        cls = str(attributes.get("juniperreel_class", ""))
        write = bool(attributes.get("juniperreel_write"))
        rid = RID.search(text)
        mean = member.settings.write_us if write else member.settings.read_us
        member.record(
            AttemptReceived(now, member.name, edge, request, attempt, rid[1] if rid else "", cls, write, mean)
        )
        member.machine.offer(mean)
        how = "stopped"
        self._attempt = request, attempt
        self._note_end()
        try:
            events = await self._answer(text, values, binary)
            how = "answered"
            return events
        except Problem as problem:
            how = UNTOUCHED.get(problem.code, "STATEMENT" if problem.code != 1105 else "INTERNAL")
            raise
        finally:
            self._attempt = None
            member.record(
                AttemptFinished(member.at_us(), member.name, request, attempt, how, how == "answered")
            )

    async def _answer(self, text: str, values: Sequence[Value], binary: bool) -> list[Event]:
        member, s = self._member, self._session
        await member.wait_while_hung()
        if STATUS.search(text):
            rows = await self.engine.run(text, values)
            assert isinstance(rows, Rows)
            self._status()
            return await self._result(rows, binary)
        if member.refusing:
            raise Problem(1040, "08004", "Too many connections")
        if member.chance(member.failing):
            raise Problem(1105, "HY000", "Unknown error")
        result = await self.engine.run(text, values)
        serial = next((str(v) for v in values if str(v).startswith("serial-")), "")
        if serial:
            words = [str(v) for v in values]
            thread, variables = self._session.number, dict(self.engine.variables)
            member.record(
                StatementExecuted(member.at_us(), member.name, thread, serial, text, words, variables)
            )
        if member.chance(member.losing):
            await trio.sleep_forever()
        if member.chance(member.breaking):
            s.close("broken off")
            return []
        await member.wait_while_hung()
        self._status()
        if isinstance(result, Done):
            tracked = [gtid_track(result.gtid)] if result.gtid else []
            return s.ok(result.affected, result.insert_id, result.info, tracked=tracked)
        return await self._result(result, binary)

    async def _result(self, result: Rows, binary: bool) -> list[Event]:
        """As it is drawn, no faster than the client reads."""
        s = self._session
        some: list[Sequence[Any]] = []
        columns = result.columns
        if columns is not None:
            s.begin_result(columns)
        for row in result.rows:
            some.append(row)
            if len(some) >= BATCH:
                columns = self._rows(result.names, columns, some, binary)
                await self._stream.send_all(s.data_to_send())
                await self._member.wait_while_hung()
                some = []
        self._rows(result.names, columns, some, binary)
        return s.end_result()

    def _rows(
        self, names: list[str], columns: list[Column] | None, rows: list[Sequence[Any]], binary: bool
    ) -> list[Column]:
        if columns is None:
            columns = described(names, rows)
            self._session.begin_result(columns)
        self._session.rows(
            binary_row(columns, [fitting(c, v) for c, v in zip(columns, row, strict=True)])
            if binary
            else text_row(row)
            for row in rows
        )
        return columns


def fitting(column: Column, value: Value) -> Value:
    """Columns of later rows are those of the first ones."""
    if column.charset >= 0 or value is None or column.type in (ColumnType.VAR_STRING, ColumnType.BLOB):
        return value
    return int(value) if column.type == ColumnType.LONGLONG else float(value)


TYPES = {
    int: ColumnType.LONGLONG,
    float: ColumnType.DOUBLE,
    str: ColumnType.VAR_STRING,
    bytes: ColumnType.BLOB,
}


def described(names: Sequence[str], rows: Sequence[Sequence[Any]]) -> list[Column]:
    """A column's type is that of its values, text where they differ."""
    out = []
    for at, name in enumerate(names):
        kinds = {type(row[at]) for row in rows if row[at] is not None}
        kind = TYPES[next(iter(kinds))] if len(kinds) == 1 else ColumnType.VAR_STRING
        out.append(Column(name, kind, schema="runs"))
    return out
