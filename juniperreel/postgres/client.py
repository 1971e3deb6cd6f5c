"""The client side of a connection: sends queries and assembles replies.

States: startup (StartupMessage sent), idle, busy (query sent), syncing (empty query sent), closed. A reply is
returned only when complete, so malformed data from a server never reaches a client.

Nothing in a reply names its query, and a faulty server may send more than one reply to a query, at any time.
So after each reply an empty query is sent, and the connection is idle again only once the response to it has
come with nothing before or after it. Whatever belongs to the earlier query arrives before that response.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from juniperreel.postgres import messages, sqlstate
from juniperreel.postgres.messages import UINT16, UINT32, Message, ProtocolError

REPLY_LIMIT = 65_536 + 4_096  # bytes: a value of 64 KiB, and its framing
MAX_PARAMETERS = 64  # per reply
MAX_PARAMETER_BYTES = 16_384  # all of a reply
AUTHENTICATION = b"R"
BACKEND_KEY_DATA = b"K"
COMMAND_COMPLETE = b"C"
DATA_ROW = b"D"
EMPTY_QUERY_RESPONSE = b"I"
ERROR_RESPONSE = b"E"
NEGOTIATE_PROTOCOL_VERSION = b"v"
NOTICE_RESPONSE = b"N"
PARAMETER_STATUS = b"S"
READY_FOR_QUERY = b"Z"
ROW_DESCRIPTION = b"T"
EXPECTED_KINDS = b"RSKZTDCENIAv"
AUTHENTICATION_OK = b"\0\0\0\0"
COLUMN_ATTRIBUTES_SIZE = 18  # bytes after a column's name in a RowDescription
COUNT_SIZE = UINT16.size
ROW_HEADER_SIZE = COUNT_SIZE + UINT32.size  # of a one-column DataRow: column count and value length
SYNC_QUERY = messages.query(b"")
SYNC_RESPONSE = messages.EMPTY_QUERY + messages.READY  # its usual form


class Phase(Enum):
    """The state of a connection."""

    STARTUP = "startup"
    IDLE = "idle"
    BUSY = "busy"
    SYNCING = "syncing"
    CLOSED = "closed"


@dataclass(slots=True)
class Reply:
    """A server's reply to one query.

    `rows` holds RowDescription, DataRow and CommandComplete as received, or is empty unless all three were.
    `error` holds the fields of an ErrorResponse by field type, `parameters` the ParameterStatus values.
    """

    rows: bytes = b""
    value_range: slice | None = None  # of the value in `rows`
    error: dict[str, str] | None = None
    parameters: dict[str, str] = field(default_factory=dict)

    @property
    def value(self) -> bytes | None:
        """A copy of the value of the result's row, or None if `rows` is empty."""
        return self.rows[self.value_range] if self.value_range is not None else None


class ReplyBuilder:
    """Assembles a reply. A result is one row of one column: T, D and C in this order, each once.

    Holds one copy of the row, which may be large, and of which many may be incomplete at a time.
    """

    __slots__ = ("_description", "_parameter_bytes", "_row", "_row_received", "reply")

    def __init__(self) -> None:
        self.reply = Reply()
        self._description = b""
        self._row = b""  # until the result is complete
        self._row_received = False
        self._parameter_bytes = 0

    @property
    def started(self) -> bool:
        """Whether any part of the reply has been received."""
        return bool(self._description or self.reply.parameters or self.reply.error)

    @property
    def complete(self) -> bool:
        """Whether a whole result has been received."""
        return bool(self.reply.rows)

    @property
    def size(self) -> int:
        """Number of bytes of the reply that are kept, without an error's."""
        return len(self._description) + len(self._row) + len(self.reply.rows) + self._parameter_bytes

    def add_parameter(self, payload: bytes) -> None:
        """Add a ParameterStatus."""
        self._parameter_bytes += len(payload)
        if len(self.reply.parameters) >= MAX_PARAMETERS or self._parameter_bytes > MAX_PARAMETER_BYTES:
            raise ProtocolError("too many parameters in one reply")
        parameter = messages.parse_parameter_status(payload)
        self.reply.parameters[parameter.name] = parameter.value

    def add_error(self, payload: bytes) -> dict[str, str]:
        """Add an ErrorResponse; return the fields of the first one in the reply."""
        if self.reply.error is None:
            self.reply.error = messages.parse_error_fields(payload)
        return self.reply.error

    def add_result(self, message: Message) -> None:
        """Add a RowDescription, DataRow or CommandComplete."""
        if message.kind == ROW_DESCRIPTION:
            self._add_description(message.payload)
        elif message.kind == DATA_ROW:
            self._add_row(message.payload)
        elif message.kind == COMMAND_COMPLETE:
            self._add_completion(message.payload)
        else:
            raise ProtocolError(f"unexpected message type {message.kind!r} in a reply")

    def _add_description(self, payload: bytes) -> None:
        if self._description or len(payload) < COUNT_SIZE or UINT16.unpack_from(payload)[0] != 1:
            raise ProtocolError("expected a single RowDescription with one column")
        name_end = payload.find(b"\0", COUNT_SIZE)
        if name_end < 0 or len(payload) != name_end + 1 + COLUMN_ATTRIBUTES_SIZE:
            raise ProtocolError("malformed RowDescription: length does not match its column")
        self._description = messages.message(ROW_DESCRIPTION, payload)

    def _add_row(self, payload: bytes) -> None:
        if not self._description or self._row_received or len(payload) < ROW_HEADER_SIZE:
            raise ProtocolError("unexpected or truncated DataRow")
        (columns,) = UINT16.unpack_from(payload)
        (size,) = UINT32.unpack_from(payload, COUNT_SIZE)
        if columns != 1 or size != len(payload) - ROW_HEADER_SIZE:
            raise ProtocolError("malformed DataRow: length does not match its value")
        self._row = messages.message(DATA_ROW, payload)
        self._row_received = True

    def _add_completion(self, payload: bytes) -> None:
        if not self._row_received or self.complete or not payload.endswith(b"\0") or self.reply.error:
            raise ProtocolError("unexpected or malformed CommandComplete")
        row_end = len(self._description) + len(self._row)
        value_start = len(self._description) + messages.HEADER_SIZE + ROW_HEADER_SIZE
        self.reply.value_range = slice(value_start, row_end)
        self.reply.rows = self._description + self._row + messages.message(COMMAND_COMPLETE, payload)
        self._row = b""


class ClientConnection:
    """The state machine of one connection to a server. `startup_message` must be sent first."""

    def __init__(self, user: str, database: str) -> None:
        self.phase = Phase.STARTUP
        self.startup_message = messages.startup(user, database)
        self._reader = messages.MessageReader(REPLY_LIMIT)
        self._builder = ReplyBuilder()
        self._last_error: dict[str, str] | None = None  # of the reply before the empty query
        self._sync_answered = False  # the response to the empty query lacks only its ReadyForQuery
        self._skips_ready_for_query = False  # of a repeated response to the empty query

    def send_query(self, text: bytes) -> bytes:
        """Start a query and return the bytes to send.

        Raises:
            RuntimeError: the connection is not idle.
        """
        if self.phase is not Phase.IDLE:
            raise RuntimeError(f"cannot send a query while the connection is {self.phase.value}")
        self.phase = Phase.BUSY
        self._builder = ReplyBuilder()
        return messages.query(text)

    def send_sync(self) -> bytes:
        """Start an empty query behind a reply, and return the bytes to send.

        Raises:
            RuntimeError: the connection is not idle.
        """
        if self.phase is not Phase.IDLE:
            raise RuntimeError(f"cannot send an empty query while the connection is {self.phase.value}")
        self.phase = Phase.SYNCING
        return SYNC_QUERY

    @property
    def is_reusable(self) -> bool:
        """Whether the connection is idle and no bytes were received after the reply."""
        return self.phase is Phase.IDLE and not self._reader.buffered

    @property
    def has_surplus(self) -> bool:
        """Whether bytes were received that belong to no query."""
        return self.phase is Phase.IDLE and self._reader.buffered > 0

    @property
    def response_started(self) -> bool:
        """Whether any part of the reply to the current query has been received."""
        return bool(self._reader.buffered) or self._builder.started

    @property
    def partial_reply(self) -> Reply:
        """The reply received so far. An error in it is valid even if the connection was closed after it."""
        return self._builder.reply

    def close(self) -> None:
        """Drop everything that was received; the connection is not used any more."""
        self.phase = Phase.CLOSED
        self._reader.clear()
        self._builder = ReplyBuilder()
        self._last_error = None

    @property
    def held(self) -> int:
        """Number of bytes of an incomplete reply that are kept in memory."""
        return self._reader.held + self._builder.size

    def receive_data(self, data: bytes) -> Reply | None:
        """Append bytes from the server and return the reply once it is complete.

        Bytes after a reply stay buffered and make `is_reusable` false. During startup None is returned; the
        phase becomes IDLE when startup is complete.

        Raises:
            ProtocolError: the connection cannot be used any more.
        """
        if self.phase is Phase.SYNCING and data == SYNC_RESPONSE and self._reader.buffered == 0:
            self._end_sync()
            return None
        self._reader.receive_data(data)
        while self.phase in (Phase.STARTUP, Phase.BUSY, Phase.SYNCING):
            message = self._reader.next_message(EXPECTED_KINDS)
            if message is None:
                return None
            if message.kind == PARAMETER_STATUS:
                self._builder.add_parameter(message.payload)
            elif message.kind == NOTICE_RESPONSE:
                messages.parse_error_fields(message.payload)  # validated and discarded
            elif self.phase is Phase.STARTUP:
                self._handle_startup(message)
            elif self.phase is Phase.SYNCING:
                self._handle_sync(message)
            elif self._handle_reply(message):
                return self._take_reply()
        return None

    def _take_reply(self) -> Reply:
        """Return the reply without keeping it: the connection may stay idle for long."""
        reply = self._builder.reply
        self._builder = ReplyBuilder()
        self._last_error = reply.error
        return reply

    def _handle_startup(self, message: Message) -> None:
        if message.kind == READY_FOR_QUERY:
            _check_ready_for_query(message.payload)
            if self._builder.reply.error is not None:
                raise ProtocolError("ReadyForQuery after an error during startup")
            self.phase = Phase.IDLE
        elif message.kind == ERROR_RESPONSE:
            error = self._builder.add_error(message.payload)
            raise ProtocolError(
                f"the server rejected the connection: {error.get('C', '')}", sqlstate.TOO_MANY_CONNECTIONS
            )
        elif message.kind == AUTHENTICATION:
            if message.payload != AUTHENTICATION_OK:
                raise ProtocolError(
                    "the server requires password authentication", sqlstate.INVALID_AUTHORIZATION
                )
        elif message.kind not in (BACKEND_KEY_DATA, NEGOTIATE_PROTOCOL_VERSION):
            raise ProtocolError(f"unexpected message type {message.kind!r} during startup")

    def _handle_sync(self, message: Message) -> None:
        """Handle a message behind a reply; only the response to the empty query may come.

        Servers that know no empty query answer it with a protocol violation. A repeated reply, an error or
        not, is neither of the two forms.
        """
        if message.kind == READY_FOR_QUERY and self._sync_answered:
            _check_ready_for_query(message.payload)
            self._end_sync()
        elif message.kind == EMPTY_QUERY_RESPONSE and not self._sync_answered:
            self._sync_answered = True
        elif message.kind == ERROR_RESPONSE and not self._sync_answered:
            error = messages.parse_error_fields(message.payload)
            is_fatal = error.get("S") == "FATAL"
            if is_fatal or error.get("C") != sqlstate.PROTOCOL_VIOLATION or error == self._last_error:
                raise ProtocolError("an error behind a reply")
            self._sync_answered = True
        else:
            raise ProtocolError(f"unexpected message type {message.kind!r} behind a reply")

    def _end_sync(self) -> None:
        self.phase = Phase.IDLE
        self._sync_answered = False
        self._last_error = None
        self._builder = ReplyBuilder()

    def _handle_reply(self, message: Message) -> bool:
        """Add a message to the reply; return whether the reply is complete."""
        if self._is_repeated_sync_response(message):
            return False
        if message.kind == READY_FOR_QUERY:
            _check_ready_for_query(message.payload)
            if self._builder.reply.error is None and not self._builder.complete:
                raise ProtocolError("ReadyForQuery before a complete result or an error")
            self.phase = Phase.IDLE
            return True
        if message.kind == ERROR_RESPONSE:
            error = self._builder.add_error(message.payload)
            if error.get("S") != "FATAL":
                return False
            self.phase = Phase.CLOSED
            return True
        self._builder.add_result(message)
        return False

    def _is_repeated_sync_response(self, message: Message) -> bool:
        """Return whether the message repeats the response to the empty query before this query.

        A query with a statement has no such response, so it can be passed over.
        """
        if self._skips_ready_for_query:
            if message.kind != READY_FOR_QUERY:
                raise ProtocolError("a response to an empty query without its end")
            self._skips_ready_for_query = False
            self._builder = ReplyBuilder()
            return True
        self._skips_ready_for_query = message.kind == EMPTY_QUERY_RESPONSE and not self._builder.started
        return self._skips_ready_for_query


def _check_ready_for_query(payload: bytes) -> None:
    if len(payload) != 1:
        raise ProtocolError("malformed ReadyForQuery: expected one byte")
