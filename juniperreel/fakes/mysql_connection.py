"""One MySQL connection of a fake endpoint: commands and results, with the endpoint's faults.

Like a MySQL server, it continues to execute a statement whose client has disconnected, which may take effect.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from contextlib import suppress
from typing import TYPE_CHECKING, Any, NamedTuple

import trio

from juniperreel.fakes.errors import MysqlError
from juniperreel.fakes.mysql_columns import convert, describe_columns
from juniperreel.fakes.mysql_engine import BATCH_ROWS, STATUS_QUERY, MysqlEngine, OkResult, ResultSet
from juniperreel.fakes.mysql_prepared import BoundStatement, PreparedStatement, bind
from juniperreel.fakes.mysql_procedures import called_result_sets
from juniperreel.fakes.mysql_translation import translate
from juniperreel.fakes.request_names import edge_of, request_id_of
from juniperreel.mysql.columns import Column
from juniperreel.mysql.constants import CommandCode, ServerStatus
from juniperreel.mysql.packets import Cursor, ProtocolError
from juniperreel.mysql.replies import gtid_track
from juniperreel.mysql.rows import encode_binary_row, encode_text_row
from juniperreel.mysql.server import Command, Event, ServerSession, State
from juniperreel.mysql.values import Value
from juniperreel.verification.records import (
    AttemptAbandoned,
    AttemptFinished,
    AttemptReceived,
    StatementExecuted,
    StatementReceived,
)

if TYPE_CHECKING:
    from juniperreel.fakes.endpoint import FakeEndpoint
    from juniperreel.fakes.mysql_server import MysqlServer

READ_BYTES = 64 << 10
MAX_PREPARED = 16_382  # max_prepared_stmt_count
PENDING_READS = 4
UNKNOWN_ERROR = 1105
OUTCOMES = {1040: "NOT_EXECUTED", 1290: "NOT_PRIMARY", 1792: "NOT_PRIMARY"}  # by error code
UNTRANSLATED_PREFIXES = ("select @@", "commit", "rollback", "begin", "start")
SERIAL_PREFIX = "serial-"


class ReceivedData(NamedTuple):
    """Bytes from the client and the time of reading them; empty at the end of the stream."""

    at_us: int
    data: bytes


class RunningAttempt(NamedTuple):
    """The attempt that a connection is executing."""

    edge_request_id: str
    number: int


class MysqlConnection:
    """A connection that reads commands, executes them in order and sends their results."""

    def __init__(
        self, endpoint: FakeEndpoint, server: MysqlServer, session: ServerSession, stream: trio.abc.Stream
    ) -> None:
        self._endpoint = endpoint
        self._server = server
        self._session = session
        self._stream = stream
        self.engine = MysqlEngine(endpoint)
        self._prepared: dict[int, PreparedStatement] = {}
        self._last_prepared = 0
        self._received_at_us = 0  # when the current command was read
        self._attempt: RunningAttempt | None = None
        self._closed_at_us = 0  # when the client closed the connection

    async def run(self) -> None:
        """Serve the connection until it is closed."""
        send, receive = trio.open_memory_channel[ReceivedData](PENDING_READS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read, send)
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await self._serve(receive)
            nursery.cancel_scope.cancel()

    async def _read(self, send: trio.MemorySendChannel[ReceivedData]) -> None:
        """Read from the client and note the times, also while the endpoint hangs.

        A disconnect is recorded, but does not cancel the running statement.
        """
        while True:
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            now = self._endpoint.recorded_at_us()
            if not data:
                self._closed_at_us = now
                self._record_abandoned()
            await send.send(ReceivedData(now, bytes(data)))
            if not data:
                return

    def _record_abandoned(self) -> None:
        """Record the running attempt as abandoned if the client has disconnected.

        This includes attempts that start after a hang, when the client has already disconnected.
        """
        if self._attempt is not None and self._closed_at_us:
            abandoned = AttemptAbandoned(self._closed_at_us, self._endpoint.name, *self._attempt)
            self._endpoint.record(abandoned)

    async def _serve(self, receive: trio.MemoryReceiveChannel[ReceivedData]) -> None:
        session = self._session
        session.start()
        events: list[Event] = []
        while True:
            await self._stream.send_all(session.data_to_send())
            if session.state is State.CLOSED:
                return
            if events:
                events += await self._handle(events.pop(0))
                continue
            received = await receive.receive()
            self._received_at_us = received.at_us
            if not received.data:
                return
            await self._endpoint.wait_while_hung()
            events = session.receive(received.data)

    async def _handle(self, event: Event) -> list[Event]:
        if not isinstance(event, Command):
            return []
        try:
            return await self._execute_command(event)
        except MysqlError as error:
            self._update_status()
            return self._session.error(error.code, error.sqlstate, error.message)
        except ProtocolError as error:
            return self._session.error(1835, "HY000", f"Malformed communication packet: {error}")

    def _update_status(self) -> None:
        engine = self.engine
        status = ServerStatus.AUTOCOMMIT if engine.autocommit else 0
        if engine.in_transaction:
            status |= ServerStatus.IN_TRANSACTION
            transaction = engine.transaction
            read_only = transaction.read_only if transaction is not None else engine.read_only
            if read_only:
                status |= ServerStatus.IN_READ_ONLY
        self._session.status = int(status)

    async def _execute_command(self, command: Command) -> list[Event]:
        session = self._session
        payload = command.payload
        match command.kind:
            case CommandCode.QUERY:
                return await self._run(payload.decode(), [], command.attributes, binary=False)
            case CommandCode.STMT_PREPARE:
                return self._prepare(payload.decode())
            case CommandCode.STMT_EXECUTE:
                bound = self._bind(Cursor(payload))
                return await self._run(bound.text, bound.values, bound.attributes, binary=True)
            case CommandCode.STMT_SEND_LONG_DATA:
                statement = self._prepared.get(_statement_number(payload))
                if statement is not None:
                    statement.append_long_data(int.from_bytes(payload[4:6], "little"), payload[6:])
                return session.no_response()
            case CommandCode.STMT_CLOSE:
                self._prepared.pop(_statement_number(payload), None)
                return session.no_response()
            case CommandCode.STMT_RESET | CommandCode.PING | CommandCode.INIT_DB:
                return session.ok()
            case CommandCode.RESET_CONNECTION:
                self._reset()
                return session.ok()
        raise MysqlError(1047, "08S01", "Unknown command")

    def _reset(self) -> None:
        self._server.resets += 1
        self.engine.reset()
        self._prepared.clear()
        self._update_status()

    def _prepare(self, text: str) -> list[Event]:
        if len(self._prepared) >= MAX_PREPARED:
            raise MysqlError(1461, "42000", "Can't create more than max_prepared_stmt_count statements")
        untranslated = text.lower().lstrip().startswith(UNTRANSLATED_PREFIXES)
        if not untranslated and called_result_sets(text) is None:
            translate(text)  # raises for a statement that would fail
        self._last_prepared += 1
        self._server.prepared += 1
        statement = PreparedStatement(text)
        self._prepared[self._last_prepared] = statement
        return self._session.prepared(self._last_prepared, statement.parameter_count)

    def _bind(self, packet: Cursor) -> BoundStatement:
        number = packet.integer(4)
        flags = packet.integer(1)
        packet.take(4)  # iteration count, always 1
        statement = self._prepared.get(number)
        if statement is None:
            raise MysqlError(1243, "HY000", f"Unknown prepared statement handler ({number})")
        return bind(statement, packet, flags, self._session.supports_attributes)

    async def _run(
        self, text: str, values: Sequence[Value], attributes: Mapping[str, Value], binary: bool
    ) -> list[Event]:
        """Execute a statement; query attributes from the edge identify its request and attempt."""
        request = str(attributes.get("juniperreel_request", ""))
        if not request:
            return await self._answer(text, values, binary)
        edge = edge_of(request)
        statement = int(attributes.get("juniperreel_statement") or 0)
        if statement:
            received = StatementReceived(self._received_at_us, self._endpoint.name, edge, request, statement)
            self._endpoint.record(received)
            return await self._answer(text, values, binary)
        attempt = RunningAttempt(request, int(attributes.get("juniperreel_attempt") or 0))
        self._record_received(text, attempt, attributes)
        return await self._run_attempt(text, values, binary, attempt)

    def _record_received(self, text: str, attempt: RunningAttempt, attributes: Mapping[str, Value]) -> None:
        endpoint = self._endpoint
        write = bool(attributes.get("juniperreel_write"))
        mean_us = endpoint.mean_work_us(write)
        endpoint.record(
            AttemptReceived(
                self._received_at_us,
                endpoint.name,
                edge_of(attempt.edge_request_id),
                attempt.edge_request_id,
                attempt.number,
                request_id_of(text),
                str(attributes.get("juniperreel_class", "")),
                write,
                mean_us,
            )
        )
        endpoint.capacity.offer(mean_us)

    async def _run_attempt(
        self, text: str, values: Sequence[Value], binary: bool, attempt: RunningAttempt
    ) -> list[Event]:
        endpoint = self._endpoint
        outcome = "stopped"
        self._attempt = attempt
        self._record_abandoned()
        try:
            events = await self._answer(text, values, binary)
            outcome = "answered"
        except MysqlError as error:
            other = "INTERNAL" if error.code == UNKNOWN_ERROR else "STATEMENT"
            outcome = OUTCOMES.get(error.code, other)
            raise
        finally:
            self._attempt = None
            now = endpoint.recorded_at_us()
            executed = outcome == "answered"
            endpoint.record(AttemptFinished(now, endpoint.name, *attempt, outcome, executed))
        return events

    async def _answer(self, text: str, values: Sequence[Value], binary: bool) -> list[Event]:
        endpoint = self._endpoint
        await endpoint.wait_while_hung()
        if STATUS_QUERY.search(text):
            status = await self.engine.execute(text, values)
            assert isinstance(status, ResultSet)
            self._update_status()
            return await self._send_result(status, binary)
        if endpoint.faults.rejecting:
            raise MysqlError(1040, "08004", "Too many connections")
        if endpoint.occurs(endpoint.faults.failed_requests):
            raise MysqlError(UNKNOWN_ERROR, "HY000", "Unknown error")
        if (result_sets := called_result_sets(text)) is not None:
            return await self._send_call(result_sets, binary)
        result = await self.engine.execute(text, values)
        self._record_executed(text, values)
        if endpoint.occurs(endpoint.faults.lost_responses):
            await trio.sleep_forever()
        if endpoint.occurs(endpoint.faults.broken_connections):
            self._session.close("broken off")
            return []
        await endpoint.wait_while_hung()
        self._update_status()
        if isinstance(result, OkResult):
            tracked = [gtid_track(result.gtid)] if result.gtid else []
            return self._session.ok(result.affected, result.insert_id, result.info, tracked=tracked)
        return await self._send_result(result, binary)

    def _record_executed(self, text: str, values: Sequence[Value]) -> None:
        """Record the statement if it has a serial number among its values."""
        serial = next((str(value) for value in values if str(value).startswith(SERIAL_PREFIX)), "")
        if serial:
            self._endpoint.record(
                StatementExecuted(
                    self._endpoint.recorded_at_us(),
                    self._endpoint.name,
                    self._session.connection_id,
                    serial,
                    text,
                    [str(value) for value in values],
                    dict(self.engine.variables.values),
                )
            )

    async def _send_call(self, result_sets: Sequence[ResultSet], binary: bool) -> list[Event]:
        """Send the results of a procedure and, as the last one, the status of its call."""
        self._update_status()
        for result_set in result_sets:
            await self._send_result(result_set, binary, more=True)
        return self._session.ok()

    async def _send_result(self, result: ResultSet, binary: bool, more: bool = False) -> list[Event]:
        """Send rows in batches, no faster than the client reads them."""
        session = self._session
        batch: list[Sequence[Any]] = []
        columns = result.columns
        if columns is not None:
            session.begin_result(columns)
        for row in result.rows:
            batch.append(row)
            if len(batch) >= BATCH_ROWS:
                columns = self._encode_rows(result.names, columns, batch, binary)
                await self._stream.send_all(session.data_to_send())
                await self._endpoint.wait_while_hung()
                batch = []
        self._encode_rows(result.names, columns, batch, binary)
        return session.end_result(more=more)

    def _encode_rows(
        self, names: list[str], columns: list[Column] | None, rows: list[Sequence[Any]], binary: bool
    ) -> list[Column]:
        if columns is None:
            columns = describe_columns(names, rows)
            self._session.begin_result(columns)
        self._session.rows(
            encode_binary_row(columns, [convert(c, v) for c, v in zip(columns, row, strict=True)])
            if binary
            else encode_text_row(row)
            for row in rows
        )
        return columns


def _statement_number(payload: bytes) -> int:
    return int.from_bytes(payload[:4], "little")
