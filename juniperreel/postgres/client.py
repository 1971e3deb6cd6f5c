"""The client side of a connection: sends queries and assembles replies.

States: startup (StartupMessage sent), idle, busy (query sent), closed. A reply is returned only when
complete, so malformed data from a server never reaches a client.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from juniperreel.postgres import messages, sqlstate
from juniperreel.postgres.messages import UINT16, UINT32, Message, ProtocolError

REPLY_LIMIT = 65_536 + 4_096  # bytes: a value of 64 KiB, and its framing
MAX_PARAMETERS = 64  # per reply
AUTHENTICATION = b"R"
BACKEND_KEY_DATA = b"K"
COMMAND_COMPLETE = b"C"
DATA_ROW = b"D"
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


class Phase(Enum):
    """The state of a connection."""

    STARTUP = "startup"
    IDLE = "idle"
    BUSY = "busy"
    CLOSED = "closed"


@dataclass(slots=True)
class Reply:
    """A server's reply to one query.

    `rows` holds RowDescription, DataRow and CommandComplete as received, or is empty unless all three were.
    `error` holds the fields of an ErrorResponse by field type, `parameters` the ParameterStatus values.
    """

    rows: bytes = b""
    value: bytes | None = None
    error: dict[str, str] | None = None
    parameters: dict[str, str] = field(default_factory=dict)


class ReplyBuilder:
    """Assembles a reply. A result is one row of one column: T, D and C in this order, each once."""

    __slots__ = ("_description", "_row", "reply")

    def __init__(self) -> None:
        self.reply = Reply()
        self._description = b""
        self._row = b""

    @property
    def started(self) -> bool:
        """Whether any part of the reply has been received."""
        return bool(self._description or self.reply.parameters or self.reply.error)

    @property
    def complete(self) -> bool:
        """Whether a whole result has been received."""
        return bool(self.reply.rows)

    def add_parameter(self, payload: bytes) -> None:
        """Add a ParameterStatus."""
        parameter = messages.parse_parameter_status(payload)
        if len(self.reply.parameters) >= MAX_PARAMETERS:
            raise ProtocolError("too many parameters in one reply")
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
        if not self._description or self._row or len(payload) < ROW_HEADER_SIZE:
            raise ProtocolError("unexpected or truncated DataRow")
        (columns,) = UINT16.unpack_from(payload)
        (size,) = UINT32.unpack_from(payload, COUNT_SIZE)
        if columns != 1 or size != len(payload) - ROW_HEADER_SIZE:
            raise ProtocolError("malformed DataRow: length does not match its value")
        self._row = messages.message(DATA_ROW, payload)
        self.reply.value = payload[ROW_HEADER_SIZE:]

    def _add_completion(self, payload: bytes) -> None:
        if not self._row or self.complete or not payload.endswith(b"\0") or self.reply.error:
            raise ProtocolError("unexpected or malformed CommandComplete")
        self.reply.rows = self._description + self._row + messages.message(COMMAND_COMPLETE, payload)


class ClientConnection:
    """The state machine of one connection to a server. `startup_message` must be sent first."""

    def __init__(self, user: str, database: str) -> None:
        self.phase = Phase.STARTUP
        self.startup_message = messages.startup(user, database)
        self._reader = messages.MessageReader(REPLY_LIMIT)
        self._builder = ReplyBuilder()

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

    @property
    def is_reusable(self) -> bool:
        """Whether the connection is idle and no bytes were received after the reply."""
        return self.phase is Phase.IDLE and not self._reader.buffered

    @property
    def response_started(self) -> bool:
        """Whether any part of the reply to the current query has been received."""
        return bool(self._reader.buffered) or self._builder.started

    @property
    def partial_reply(self) -> Reply:
        """The reply received so far. An error in it is valid even if the connection was closed after it."""
        return self._builder.reply

    def receive_data(self, data: bytes) -> Reply | None:
        """Append bytes from the server and return the reply once it is complete.

        Bytes after a reply stay buffered and make `is_reusable` false. During startup None is returned; the
        phase becomes IDLE when startup is complete.

        Raises:
            ProtocolError: the connection cannot be used any more.
        """
        self._reader.receive_data(data)
        while self.phase in (Phase.STARTUP, Phase.BUSY):
            message = self._reader.next_message(EXPECTED_KINDS)
            if message is None:
                return None
            if message.kind == PARAMETER_STATUS:
                self._builder.add_parameter(message.payload)
            elif message.kind == NOTICE_RESPONSE:
                messages.parse_error_fields(message.payload)  # validated and discarded
            elif self.phase is Phase.STARTUP:
                self._handle_startup(message)
            elif self._handle_reply(message):
                return self._take_reply()
        return None

    def _take_reply(self) -> Reply:
        """Return the reply without keeping it: the connection may stay idle for long."""
        reply = self._builder.reply
        self._builder = ReplyBuilder()
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

    def _handle_reply(self, message: Message) -> bool:
        """Add a message to the reply; return whether the reply is complete."""
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


def _check_ready_for_query(payload: bytes) -> None:
    if len(payload) != 1:
        raise ProtocolError("malformed ReadyForQuery: expected one byte")
