"""Protocol state of one connection on the client. No I/O, no policy.

Turns commands into bytes to send, and received bytes into events.

    GREETING -> (TLS) -> AUTH -> READY -> CLOSED

Commands can be pipelined: servers process them in order, so that several commands cost only one round trip.
Each event belongs to the oldest command in flight, which ends with `Done`, `Failed`, `StatementPrepared` or
`ResultEnded`, unless more results follow.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from enum import Enum

from juniperreel.mysql.client_events import (
    ConnectionBroken,
    Done,
    Event,
    Failed,
    Ready,
    ResultEnded,
    ResultStarted,
    Row,
    StartTls,
    StatementPrepared,
)
from juniperreel.mysql.client_login import ClientLogin, LoginOptions
from juniperreel.mysql.columns import Column, decode_column
from juniperreel.mysql.constants import (
    EOF,
    ERR,
    LOCAL_INFILE,
    MAX_EOF_BYTES,
    OK,
    PARAMETER_COUNT_AVAILABLE,
    Capability,
    CommandCode,
    ServerStatus,
)
from juniperreel.mysql.packets import (
    MAX_PACKET_PAYLOAD,
    Cursor,
    PacketReader,
    ProtocolError,
    encode_length,
    encode_packets,
)
from juniperreel.mysql.parameters import encode_parameters, encode_query_attributes
from juniperreel.mysql.replies import Ok, decode_err, decode_ok
from juniperreel.mysql.values import Value

MAX_COLUMNS = 4096  # the server's limit for a table
ITERATIONS = 1  # the protocol's iteration count of an execution, which is always 1


class State(Enum):
    """The states of a connection; see the module's docstring."""

    GREETING = "greeting"
    TLS = "tls"
    AUTH = "auth"
    READY = "ready"
    CLOSED = "closed"


class CommandKind(Enum):
    """The form of the response to a command."""

    QUERY = "query"
    PREPARE = "prepare"


class Phase(Enum):
    """The type of the next packet of the oldest command's response."""

    FIRST = "first"
    COLUMNS = "columns"
    ROWS = "rows"
    PARAMETERS = "parameters"
    PREPARED_COLUMNS = "columns of a prepared statement"


class ClientSession:
    """The protocol state of one connection."""

    def __init__(
        self,
        user: str,
        password: bytes,
        database: str,
        max_packet: int,
        tls: bool = False,
        found_rows: bool = True,
    ) -> None:
        """`max_packet` is the maximum size of a response packet in bytes.

        With `found_rows`, the affected rows of an update are those it matched; otherwise those it changed.
        """
        self.state = State.GREETING
        self.in_transaction = False  # from the status flags of the last response
        self._login = ClientLogin(LoginOptions(user, password, database, max_packet, tls, found_rows))
        self._tls = tls
        self._reader = PacketReader(max_packet)
        self._out = bytearray()
        self._sequence = 0
        self._commands: deque[CommandKind] = deque()
        self._phase = Phase.FIRST
        self._remaining_definitions = 0
        self._columns: list[Column] = []
        self._prepared = StatementPrepared(0, 0)
        self._prepared_columns = 0

    @property
    def capabilities(self) -> int:
        """The negotiated capability flags."""
        return self._login.capabilities

    @property
    def connection_id(self) -> int:
        """The connection id that the server assigned; 0 before the greeting."""
        return self._login.connection_id

    @property
    def in_flight(self) -> int:
        """The number of commands whose responses are incomplete."""
        return len(self._commands)

    @property
    def closed(self) -> bool:
        """Whether the connection can no longer be used."""
        return self.state is State.CLOSED

    # Bytes.

    def data_to_send(self) -> bytes:
        """Remove and return the bytes to send."""
        data = bytes(self._out)
        self._out = bytearray()
        return data

    def receive(self, data: bytes | bytearray) -> list[Event]:
        """Process received bytes.

        Never raises: if the server breaks the protocol or rejects the login, ConnectionBroken is returned.
        """
        if self.closed:
            return []
        self._reader.feed(bytes(data))
        events: list[Event] = []
        try:
            while not self.closed:
                payload = self._reader.next_payload()
                if payload is None:
                    break
                events.extend(self._on_packet(payload))
        except ProtocolError as error:
            events.append(self._mark_broken(str(error)))
        return events

    def _mark_broken(self, reason: str, code: int = 0) -> ConnectionBroken:
        self.state = State.CLOSED
        return ConnectionBroken(reason, code)

    def _on_packet(self, payload: bytes) -> list[Event]:
        if self.state is State.READY:
            return self._on_response(payload)
        self._sequence = self._reader.sequence
        if is_error(payload):
            err = decode_err(payload)
            return [self._mark_broken(f"refused with {err.code}: {err.message}", err.code)]
        if self.state is State.GREETING:
            return self._on_greeting(Cursor(payload))
        if self.state is State.AUTH:
            return self._on_authentication(payload)
        raise ProtocolError("the server spoke out of turn")

    # Login.

    def _on_greeting(self, cursor: Cursor) -> list[Event]:
        self._login.on_greeting(cursor)
        if self._tls:
            self._send(self._login.ssl_request())
            self.state = State.TLS
            return [StartTls()]
        self._send_login()
        return []

    def on_tls_established(self) -> None:
        """Continue the login after the TLS handshake, in which the server's certificate was verified."""
        if self.state is not State.TLS:
            raise ValueError("TLS was not requested")
        self._login.on_tls_established()
        self._send_login()

    def _send_login(self) -> None:
        self._send(self._login.login())
        self.state = State.AUTH

    def _on_authentication(self, payload: bytes) -> list[Event]:
        if self._login.completes_login(payload):
            self.state = State.READY
            self._update_status(decode_ok(payload, self.capabilities))
            self._expect_response()
            return [Ready(self.connection_id, self._login.version)]
        reply = self._login.auth_reply(payload)
        if reply is not None:
            self._send(reply)
        return []

    def _send(self, payload: bytes) -> None:
        data, self._sequence = encode_packets(payload, self._sequence)
        self._out += data
        self._reader.sequence = self._sequence

    # Commands.

    def _send_command(self, kind: CommandKind | None, payload: bytes) -> None:
        """Send a command; `kind` is None if it has no response. Raises ValueError before the login."""
        if self.state is not State.READY:
            raise ValueError("not logged in")
        self._out += encode_packets(payload, 0).data
        if kind is not None:
            if not self._commands:
                self._expect_response()
            self._commands.append(kind)

    def query(self, text: bytes, attributes: Mapping[str, Value] | None = None) -> None:
        """Run a statement. The attributes are omitted if the server does not support them."""
        head = b""
        if self.capabilities & Capability.QUERY_ATTRIBUTES:
            head = encode_query_attributes(attributes or {})
        self._send_command(CommandKind.QUERY, bytes((CommandCode.QUERY,)) + head + text)

    def prepare(self, text: bytes) -> None:
        """Prepare a statement."""
        self._send_command(CommandKind.PREPARE, bytes((CommandCode.STMT_PREPARE,)) + text)

    def execute(
        self, statement_id: int, values: Sequence[Value], attributes: Mapping[str, Value] | None = None
    ) -> None:
        """Execute a prepared statement with one value for each of its parameters."""
        named = bool(self.capabilities & Capability.QUERY_ATTRIBUTES)
        extra = dict(attributes or {}) if named else {}
        parameters = [*values, *extra.values()]
        flags = PARAMETER_COUNT_AVAILABLE if named and parameters else 0
        payload = bytes((CommandCode.STMT_EXECUTE,)) + statement_id.to_bytes(4, "little") + bytes((flags,))
        payload += ITERATIONS.to_bytes(4, "little")
        if named and parameters:
            payload += encode_length(len(parameters))
        if parameters:
            names = [""] * len(values) + list(extra) if named else None
            payload += encode_parameters(parameters, names)
        self._send_command(CommandKind.QUERY, payload)

    def close_statement(self, statement_id: int) -> None:
        """Close a prepared statement."""
        payload = bytes((CommandCode.STMT_CLOSE,)) + statement_id.to_bytes(4, "little")
        self._send_command(None, payload)

    def reset_connection(self) -> None:
        """Reset the session: its transaction, variables, temporary tables and prepared statements."""
        self._send_command(CommandKind.QUERY, bytes((CommandCode.RESET_CONNECTION,)))

    def ping(self) -> None:
        """Check that the server responds."""
        self._send_command(CommandKind.QUERY, bytes((CommandCode.PING,)))

    def quit(self) -> None:
        """Tell the server that the connection will be closed."""
        self._send_command(None, bytes((CommandCode.QUIT,)))
        self.state = State.CLOSED

    # Responses.

    def _expect_response(self) -> None:
        self._reader.sequence = 1
        self._phase = Phase.FIRST

    def _end_command(self) -> None:
        self._commands.popleft()
        self._expect_response()

    def _update_status(self, ok: Ok) -> None:
        self.in_transaction = bool(ok.status & ServerStatus.IN_TRANSACTION)

    def _on_response(self, payload: bytes) -> list[Event]:
        if not self._commands:
            if is_error(payload):  # the reason why the server closes the connection
                err = decode_err(payload)
                return [self._mark_broken(f"ended with {err.code}: {err.message}", err.code)]
            raise ProtocolError("an answer to nothing")
        if is_error(payload) and self._phase is not Phase.COLUMNS:
            self._end_command()
            return [Failed(decode_err(payload))]
        match self._phase:
            case Phase.FIRST:
                return self._on_first_packet(payload)
            case Phase.COLUMNS:
                return self._on_column(payload)
            case Phase.ROWS:
                return self._on_row(payload)
            case Phase.PARAMETERS | Phase.PREPARED_COLUMNS:
                return self._on_prepared_definition()

    def _on_first_packet(self, payload: bytes) -> list[Event]:
        if not payload:
            raise ProtocolError("an empty answer")
        if self._commands[0] is CommandKind.PREPARE:
            return self._on_prepared(Cursor(payload))
        if payload[0] == OK:
            ok = decode_ok(payload, self.capabilities)
            self._update_status(ok)
            if not ok.more_results:
                self._end_command()
            return [Done(ok)]
        if payload[0] == LOCAL_INFILE:
            raise ProtocolError("the server asks for a file")
        if payload[0] == EOF:
            raise ProtocolError("an EOF first")
        cursor = Cursor(payload)
        columns = cursor.length()
        if cursor.remaining or not 0 < columns <= MAX_COLUMNS:
            raise ProtocolError(f"a result of {columns} columns")
        self._remaining_definitions = columns
        self._columns = []
        self._phase = Phase.COLUMNS
        return []

    @property
    def _sends_eof(self) -> bool:
        """Whether the server sends EOF packets after column definitions and rows."""
        return not self.capabilities & Capability.DEPRECATE_EOF

    def _on_column(self, payload: bytes) -> list[Event]:
        if self._remaining_definitions:
            self._columns.append(decode_column(payload))
            self._remaining_definitions -= 1
            if self._remaining_definitions or self._sends_eof:
                return []
        elif payload[:1] != bytes((EOF,)) or len(payload) >= MAX_EOF_BYTES:
            raise ProtocolError("definitions do not end")
        self._phase = Phase.ROWS
        return [ResultStarted(tuple(self._columns))]

    def _on_row(self, payload: bytes) -> list[Event]:
        limit = MAX_EOF_BYTES if self._sends_eof else MAX_PACKET_PAYLOAD
        if payload[:1] != bytes((EOF,)) or len(payload) >= limit:
            return [Row(payload)]
        ok = self._decode_end(payload)
        self._update_status(ok)
        if ok.more_results:
            self._phase = Phase.FIRST
        else:
            self._end_command()
        return [ResultEnded(ok)]

    def _decode_end(self, payload: bytes) -> Ok:
        if not self._sends_eof:
            return decode_ok(payload, self.capabilities)
        cursor = Cursor(payload[1:])
        warnings = cursor.integer(2)
        status = cursor.integer(2)
        return Ok(status=status, warnings=warnings)

    def _on_prepared(self, cursor: Cursor) -> list[Event]:
        if cursor.integer(1) != OK:
            raise ProtocolError("no answer to a prepare")
        statement_id = cursor.integer(4)
        self._prepared_columns = cursor.integer(2)
        parameters = cursor.integer(2)
        self._prepared = StatementPrepared(statement_id, parameters)
        self._remaining_definitions = parameters
        self._phase = Phase.PARAMETERS
        return [] if parameters else self._end_prepared_phase()

    def _on_prepared_definition(self) -> list[Event]:
        """Skip a definition of a prepared statement, as the result of each execution has its own."""
        if self._remaining_definitions:
            self._remaining_definitions -= 1
            if self._remaining_definitions or self._sends_eof:
                return []
        return self._end_prepared_phase()

    def _end_prepared_phase(self) -> list[Event]:
        if self._phase is Phase.PARAMETERS and self._prepared_columns:
            self._phase = Phase.PREPARED_COLUMNS
            self._remaining_definitions = self._prepared_columns
            return []
        self._end_command()
        return [self._prepared]


def is_error(payload: bytes) -> bool:
    """Whether a payload is an ERR packet."""
    return payload[:1] == bytes((ERR,))
