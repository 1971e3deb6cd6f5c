"""A connection to a MySQL server: its reader task, and pipelined exchanges of statements.

The statements of an exchange are pipelined: sent together and answered in order. A connection is closed if an
exchange on it is interrupted, since later responses could no longer be matched to their requests.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from contextlib import suppress

import trio

from juniperreel.mysql import client_events as client
from juniperreel.mysql.client import ClientSession
from juniperreel.mysql.replies import Err
from juniperreel.mysql.values import Value
from juniperreel.net import ConnectTimedOutError, Network
from juniperreel.net.clock import US
from juniperreel.pool.config import BackendConfig
from juniperreel.pool.error_codes import REPREPARE_CODES, WRONG_ARGUMENT_COUNT
from juniperreel.pool.errors import ConnectionLostError, ResultTooLargeError
from juniperreel.pool.login import READ_BYTES, log_in
from juniperreel.pool.prepared_statements import PreparedStatementCache, StatementKey
from juniperreel.pool.result import Result, Statement
from juniperreel.pool.row_stream import ConnectionRowStream
from juniperreel.pool.session_state import INITIAL_SESSION_STATE

MAX_BUFFERED_ROW_BYTES = 256 << 10  # received and not yet consumed; reading pauses above it
STREAM_THRESHOLD_BYTES = 256 << 10  # a result that may be streamed is returned once this much is buffered
QUIT_TIMEOUT_S = 1.0
STREAM_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)
CLOSED_LOCALLY = "closed here"
GENERAL_SQLSTATE = "HY000"


class BackendConnection:
    """An open, authenticated connection. `run` must be running while it is used.

    Attributes:
        session: The client side of the protocol.
        session_state: The session variables in effect on the server.
        prepared_statements: The statements prepared on this connection.
        close_reason: Why the connection is no longer usable; empty while it is.
    """

    def __init__(self, stream: trio.abc.Stream, session: ClientSession, config: BackendConfig) -> None:
        self.session = session
        self.session_state = INITIAL_SESSION_STATE
        self.prepared_statements = PreparedStatementCache(config.max_prepared_statements)
        self.close_reason = ""
        self._stream = stream
        self._max_result_bytes = config.max_result_bytes
        self._events: deque[client.Event] = deque()
        self._buffered_row_bytes = 0
        self._event_received = trio.Event()
        self._buffer_drained = trio.Event()
        self._cancel_scope = trio.CancelScope()

    @staticmethod
    async def open(
        network: Network, host: str, port: int, config: BackendConfig, timeout_us: int
    ) -> BackendConnection:
        """Connect and log in.

        Raises:
            ConnectError: The server could not be reached, rejected the login, or did neither in time.
        """
        session = ClientSession(
            config.user, config.password, config.database, config.max_packet_bytes, config.tls is not None
        )
        stream = None
        try:
            with trio.fail_after(max(timeout_us, 0) / US):
                stream = await network.connect(host, port, timeout_us)
                stream = await log_in(stream, session, host, config.tls)
        except BaseException as error:
            if stream is not None:
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)
            if isinstance(error, (trio.TooSlowError, *STREAM_ERRORS)):
                raise ConnectTimedOutError(
                    f"{host}:{port} accepted no login: {str(error) or 'timed out'}"
                ) from error
            raise
        return BackendConnection(stream, session, config)

    @property
    def thread_id(self) -> int:
        """The connection id that the server assigned, as used by `KILL`."""
        return self.session.connection_id

    @property
    def closed_locally(self) -> bool:
        """Whether this side closed the connection, rather than the server or the network."""
        return self.close_reason == CLOSED_LOCALLY

    async def run(self) -> None:
        """Read until the connection breaks or is closed."""
        try:
            with self._cancel_scope:
                await self._read_loop()
        finally:
            self._mark_closed("the connection was closed")
            with trio.CancelScope(shield=True, deadline=trio.current_time() + QUIT_TIMEOUT_S):
                await trio.aclose_forcefully(self._stream)

    def close(self) -> None:
        """Close immediately; the server rolls back any open transaction."""
        self._mark_closed(CLOSED_LOCALLY)
        self._cancel_scope.cancel()

    async def quit(self) -> None:
        """Close an idle connection after sending COM_QUIT."""
        if not self.close_reason and not self.session.in_flight:
            self.session.quit()
            with trio.move_on_after(QUIT_TIMEOUT_S):
                with suppress(*STREAM_ERRORS):
                    await self._stream.send_all(self.session.data_to_send())
        self.close()

    async def exchange(
        self,
        statements: Sequence[Statement],
        attributes: Mapping[str, Value] | None = None,
        attributes_index: int = 0,
        stream: bool = False,
    ) -> list[Result | Err]:
        """Run all statements, even if an earlier one fails, and return the response to each.

        Closes the connection if it raises or is cancelled.

        Args:
            statements: Sent together, in this order.
            attributes: Query attributes, sent with one of the statements only.
            attributes_index: The index of the statement that gets the attributes.
            stream: Whether the last statement's result may be returned before all of its rows have arrived;
                the rest is then in `Result.remaining_rows`.

        Raises:
            ConnectionLostError: The connection broke.
            ResultTooLargeError: A result that may not be streamed exceeds `max_result_bytes`.
        """
        try:
            return await self._exchange(statements, attributes, attributes_index, stream)
        except BaseException:
            self.close()
            raise

    async def next_event(self) -> client.Event:
        """Return the next protocol event; it belongs to the oldest statement without a complete response.

        Raises:
            ConnectionLostError: The connection broke and no events are buffered.
        """
        while not self._events:
            if self.close_reason:
                raise ConnectionLostError(self.close_reason, sent=True)
            self._event_received = trio.Event()
            await self._event_received.wait()
        event = self._events.popleft()
        if isinstance(event, client.ConnectionBroken):
            raise ConnectionLostError(event.reason, sent=True)
        if isinstance(event, client.Row):
            self._buffered_row_bytes -= len(event.payload)
            if self._buffered_row_bytes <= MAX_BUFFERED_ROW_BYTES // 2:
                self._buffer_drained.set()
        return event

    async def _read_loop(self) -> None:
        while not self.close_reason:
            while self._buffered_row_bytes > MAX_BUFFERED_ROW_BYTES:
                # Danger: without this pause, the result of a slow client would fill this process's memory.
                # TCP flow control slows the server down instead.
                self._buffer_drained = trio.Event()
                await self._buffer_drained.wait()
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except STREAM_ERRORS as error:
                self._mark_closed(f"the connection broke: {error}")
                return
            if not data:
                self._mark_closed("the server closed the connection")
                return
            self._receive(data)

    def _receive(self, data: bytes | bytearray) -> None:
        was_idle = not self.session.in_flight
        for event in self.session.receive(data):
            if isinstance(event, client.Row):
                self._buffered_row_bytes += len(event.payload)
            self._events.append(event)
            if isinstance(event, client.ConnectionBroken):
                self._mark_closed(event.reason)
        self._event_received.set()
        if was_idle:
            self._mark_closed("the server sent data without a request")

    def _mark_closed(self, reason: str) -> None:
        if not self.close_reason:
            self.close_reason = reason
        self._event_received.set()

    def _check_open(self) -> None:
        """Raise ConnectionLostError(sent=False) if the connection is already closed."""
        if self.close_reason:
            raise ConnectionLostError(self.close_reason, sent=False)

    async def _exchange(
        self,
        statements: Sequence[Statement],
        attributes: Mapping[str, Value] | None,
        attributes_index: int,
        stream: bool,
    ) -> list[Result | Err]:
        self._check_open()
        parse_context = self.session_state.parse_context
        prepare_error = await self._prepare_missing(statements, parse_context)
        self._check_open()
        if prepare_error is not None:
            return [prepare_error] * len(statements)
        for index, statement in enumerate(statements):
            statement_attributes = attributes if index == attributes_index else None
            self._queue_statement(statement, parse_context, statement_attributes)
        await self._send()
        responses: list[Result | Err] = []
        for index, statement in enumerate(statements):
            may_stream = stream and index == len(statements) - 1
            responses.append(await self._receive_response(statement, parse_context, may_stream))
        return responses

    async def _prepare_missing(self, statements: Sequence[Statement], parse_context: str) -> Err | None:
        """Prepare the statements that are not prepared yet; return the error of the first failure, if any."""
        for statement in statements:
            key = StatementKey(statement.text, parse_context)
            if statement.prepared and self.prepared_statements.get(key) is None:
                error = await self._prepare(statement, key)
                if error is not None:
                    return error
        return None

    async def _prepare(self, statement: Statement, key: StatementKey) -> Err | None:
        self.session.prepare(statement.text)
        await self._send()
        event = await self.next_event()
        if isinstance(event, client.Failed):
            return event.err
        if not isinstance(event, client.StatementPrepared):
            raise ConnectionLostError("the server did not prepare a statement", sent=True)
        for evicted_id in self.prepared_statements.put(key, event.id):
            self.session.close_statement(evicted_id)
        if event.parameters == len(statement.values):
            return None
        self.prepared_statements.remove(key)
        self.session.close_statement(event.id)
        message = f"{event.parameters} placeholders, {len(statement.values)} values"
        return Err(WRONG_ARGUMENT_COUNT, GENERAL_SQLSTATE, message)

    def _queue_statement(
        self, statement: Statement, parse_context: str, attributes: Mapping[str, Value] | None
    ) -> None:
        if not statement.prepared:
            self.session.query(statement.text, attributes)
            return
        statement_id = self.prepared_statements.get(StatementKey(statement.text, parse_context))
        assert statement_id is not None
        self.session.execute(statement_id, statement.values, attributes)

    async def _send(self) -> None:
        self._check_open()
        try:
            await self._stream.send_all(self.session.data_to_send())
        except STREAM_ERRORS as error:
            raise ConnectionLostError(f"the connection broke while writing: {error}", sent=True) from error

    async def _receive_response(
        self, statement: Statement, parse_context: str, may_stream: bool
    ) -> Result | Err:
        response = await self._receive_results(statement.prepared, may_stream)
        if isinstance(response, Err) and response.code in REPREPARE_CODES:
            self.prepared_statements.remove(StatementKey(statement.text, parse_context))
        return response

    async def _receive_results(self, binary: bool, may_stream: bool) -> Result | Err:
        """Return the result of a statement; additional ones, as of a stored procedure, are attached to it."""
        first = await self._receive_result(binary, may_stream)
        if isinstance(first, Err):
            return first
        if first.remaining_rows is None and first.ok.more_results:
            additional = await self.receive_additional_results(binary)
            if isinstance(additional, Err):
                return additional
            first.additional_results = additional
        return first

    async def receive_additional_results(self, binary: bool) -> list[Result] | Err:
        """Return the results that follow one whose status announced more.

        Raises:
            ConnectionLostError: The connection broke.
            ResultTooLargeError: Their rows exceed `max_result_bytes`; they are not streamed.
        """
        results: list[Result] = []
        size = 0
        while not results or results[-1].ok.more_results:
            result = await self._receive_result(binary, may_stream=False)
            if isinstance(result, Err):
                return result
            size += sum(map(len, result.rows))
            if size > self._max_result_bytes:
                raise ResultTooLargeError(f"further results of more than {self._max_result_bytes} bytes")
            results.append(result)
        return results

    async def _receive_result(self, binary: bool, may_stream: bool) -> Result | Err:
        event = await self.next_event()
        match event:
            case client.Failed(err):
                return err
            case client.Done(ok):
                return Result(ok=ok)
            case client.ResultStarted(columns):
                return await self._receive_rows(Result(columns, binary=binary), may_stream)
            case _:
                raise unexpected_event(event)

    async def _receive_rows(self, result: Result, may_stream: bool) -> Result | Err:
        # A result that may be streamed is not buffered completely, which could exceed the response timeout.
        limit = min(self._max_result_bytes, STREAM_THRESHOLD_BYTES) if may_stream else self._max_result_bytes
        size = 0
        while True:
            event = await self.next_event()
            match event:
                case client.Row(payload):
                    result.rows.append(payload)
                    size += len(payload)
                    if size <= limit:
                        continue
                    if not may_stream:
                        raise ResultTooLargeError(f"a result of more than {self._max_result_bytes} bytes")
                    result.remaining_rows = ConnectionRowStream(self, result.binary)
                    return result
                case client.ResultEnded(ok):
                    result.ok = ok
                    return result
                case client.Failed(err):
                    return err
                case _:
                    raise unexpected_event(event)


def unexpected_event(event: client.Event) -> ConnectionLostError:
    """Return the error for a response that does not match any statement sent."""
    return ConnectionLostError(f"the server answered with {type(event).__name__}", sent=True)
