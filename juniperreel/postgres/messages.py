"""Message framing and encoding (PostgreSQL documentation, "Message Formats").

A message is a type byte, a length that includes itself but not the type byte, and a payload. The first
message of a connection has no type byte.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

from juniperreel.postgres import sqlstate
from juniperreel.postgres.excess import ExcessMessages

HEADER = struct.Struct("!cI")
UINT16 = struct.Struct("!H")
UINT32 = struct.Struct("!I")
HEADER_SIZE = HEADER.size
LENGTH_SIZE = UINT32.size

# First field of a connection's first message: the protocol version, or a special request code.
PROTOCOL_3 = 196608
SSL_REQUEST = 80877103
GSS_REQUEST = 80877104
CANCEL_REQUEST = 80877102

READY = b"Z\x00\x00\x00\x05I"
EMPTY_QUERY = b"I\x00\x00\x00\x04"


class PostgresError(Exception):
    """Base class of this package's errors."""


class ProtocolError(PostgresError):
    """The peer violated the protocol; the connection cannot be used any more.

    `sqlstate` is the code to report to the peer, if it can still be sent an error.
    """

    def __init__(self, text: str, code: str = sqlstate.PROTOCOL_VIOLATION) -> None:
        super().__init__(text)
        self.sqlstate = code


class Message(NamedTuple):
    """A received message."""

    kind: bytes  # type byte
    payload: bytes
    is_discarded: bool = False  # the payload was discarded while it was being received


class ParameterStatus(NamedTuple):
    """A parameter reported by the server."""

    name: str
    value: str


class DiscardedMessage:
    """A message whose bytes are counted instead of kept."""

    __slots__ = ("_size", "kind", "received")

    def __init__(self, kind: bytes, received: int, size: int) -> None:
        """`received` of the message's `size` bytes have arrived."""
        self.kind = kind
        self.received = received
        self._size = size

    def receive_data(self, data: bytes) -> bytes:
        """Count the bytes that belong to the message; return those that follow it."""
        missing = self._size - self.received
        self.received += min(missing, len(data))
        return data[missing:]

    @property
    def is_complete(self) -> bool:
        """Whether the last byte has arrived."""
        return self.received == self._size


class MessageReader:
    """Splits a byte stream into messages.

    Invariant: at most one message of `limit` bytes is buffered, plus the bytes received together with it.
    """

    def __init__(self, limit: int) -> None:
        """`limit` is the maximum value of the length field, in bytes."""
        self.limit = limit
        self._data = bytearray()
        self._discarded: DiscardedMessage | None = None  # precedes `_data` in the stream
        self._excess: ExcessMessages | None = None  # follows `_data` in the stream

    def receive_data(self, data: bytes) -> None:
        """Append bytes from the peer."""
        if self._excess is not None:
            self._excess.receive_data(data)
            return
        if self._discarded is not None:
            data = self._discarded.receive_data(data)
        self._data += data

    def clear(self) -> None:
        """Drop everything that was received; no more messages will be asked for."""
        self._data = bytearray()
        self._discarded = None
        self._excess = None

    @property
    def buffered(self) -> int:
        """Number of bytes received but not yet returned as messages."""
        discarded = self._discarded.received if self._discarded is not None else 0
        excess = self._excess.byte_count if self._excess is not None else 0
        return self.held + discarded + excess

    @property
    def held(self) -> int:
        """Number of bytes kept in memory."""
        return len(self._data)

    def discard_incomplete(self) -> None:
        """Discard the message that is being received, including its bytes that arrive later.

        It is returned without its payload once it is complete. Has no effect before its header is complete;
        the caller has received None from `next_message` for it.
        """
        data = self._data
        if self._discarded is not None or len(data) < HEADER_SIZE:
            return
        (size,) = UINT32.unpack_from(data, 1)
        self._discarded = DiscardedMessage(bytes(data[:1]), len(data), 1 + size)
        self._data = bytearray()

    @property
    def drops_excess(self) -> bool:
        """Whether messages behind the kept ones are counted and dropped."""
        return self._excess is not None

    def drop_excess(self, kind: bytes) -> None:
        """Keep the buffered messages; count messages of this kind that follow them, and drop their payloads.

        They are returned without payload, after the buffered ones. Then messages are kept again.
        """
        if self._excess is not None or self._discarded is not None:
            return
        end = self._end_of_whole_messages()
        self._excess = ExcessMessages(kind, self.limit)
        self._excess.receive_data(bytes(self._data[end:]))
        del self._data[end:]

    def _end_of_whole_messages(self) -> int:
        """Return where the buffered messages that are complete and within the limit end."""
        data = self._data
        end = 0
        while len(data) - end >= HEADER_SIZE:
            (size,) = UINT32.unpack_from(data, end + 1)
            if not LENGTH_SIZE <= size <= self.limit or end + 1 + size > len(data):
                break
            end += 1 + size
        return end

    def _take_excess(self, excess: ExcessMessages) -> Message | None:
        """Return the next message behind the buffered ones; if there is none, keep messages again."""
        if excess.count:
            excess.take()
            return Message(excess.kind, b"", is_discarded=True)
        self._excess = None
        if excess.size:
            self._discarded = DiscardedMessage(excess.kind, excess.received, excess.size)
        if excess.unparsed:
            # Its payload was dropped: it ends the connection, whatever it said.
            (length,) = UINT32.unpack_from(excess.unparsed, 1)
            self._data = bytearray(excess.unparsed) + bytes(min(length, self.limit))
        else:
            self._data = excess.header
        return None

    def next_message(self, known_kinds: bytes) -> Message | None:
        """Return the next message, or None until more bytes are received.

        Raises:
            ProtocolError: the type is not in `known_kinds`, or the length is out of range. Raised as soon as
                the header has been received.
        """
        if self._discarded is not None:
            return self._take_discarded(self._discarded)
        if self._excess is not None and not self._data:
            message = self._take_excess(self._excess)
            if message is not None:
                return message
        data = self._data
        if not data:
            return None
        kind = bytes(data[:1])
        if kind not in known_kinds:
            raise ProtocolError(f"a message of type {kind!r} is not understood")
        if len(data) < HEADER_SIZE:
            return None
        (size,) = UINT32.unpack_from(data, 1)
        if size < LENGTH_SIZE or size > self.limit:
            # Rejected before the payload is buffered: otherwise a peer could exhaust memory with a header.
            raise ProtocolError(
                f"a message of type {kind!r} with length {size}", sqlstate.PROGRAM_LIMIT_EXCEEDED
            )
        end = 1 + size
        if len(data) < end:
            return None
        payload = bytes(data[HEADER_SIZE:end])
        del data[:end]
        return Message(kind, payload)

    def _take_discarded(self, discarded: DiscardedMessage) -> Message | None:
        if not discarded.is_complete:
            return None
        self._discarded = None
        return Message(discarded.kind, b"", is_discarded=True)

    def next_startup(self, limit: int) -> bytes | None:
        """Return the payload of a connection's first message, or None until more bytes are received.

        Raises:
            ProtocolError: the length is out of range.
        """
        data = self._data
        if len(data) < LENGTH_SIZE:
            return None
        (size,) = UINT32.unpack_from(data)
        if size < 2 * LENGTH_SIZE or size > limit:
            raise ProtocolError(f"a startup message with length {size}")
        if len(data) < size:
            return None
        payload = bytes(data[LENGTH_SIZE:size])
        del data[:size]
        return payload


# Encoding.


def message(kind: bytes, payload: bytes) -> bytes:
    """Encode a message."""
    return HEADER.pack(kind, len(payload) + LENGTH_SIZE) + payload


def error(severity: str, code: str, text: str, detail: str = "") -> bytes:
    """Encode an ErrorResponse. NUL terminates a field, so NULs in `text` are replaced."""
    fields = {"S": severity, "V": severity, "C": code, "M": text.replace("\0", "?")}
    if detail:
        fields["D"] = detail
    encoded = (letter.encode() + value.encode("utf-8", "replace") + b"\0" for letter, value in fields.items())
    return message(b"E", b"".join(encoded) + b"\0")


def parameter(name: str, value: str) -> bytes:
    """Encode a ParameterStatus."""
    return message(b"S", name.encode() + b"\0" + value.encode() + b"\0")


def startup(user: str, database: str) -> bytes:
    """Encode a StartupMessage for protocol 3.0."""
    parameters = b"user\0" + user.encode() + b"\0database\0" + database.encode() + b"\0\0"
    return UINT32.pack(len(parameters) + 2 * LENGTH_SIZE) + UINT32.pack(PROTOCOL_3) + parameters


def query(text: bytes) -> bytes:
    """Encode a simple Query."""
    return message(b"Q", text + b"\0")


# Parsing of payloads.


def parse_error_fields(payload: bytes) -> dict[str, str]:
    """Parse the fields of an ErrorResponse or NoticeResponse, keyed by field type.

    Raises:
        ProtocolError: the terminator is missing.
    """
    if not payload.endswith(b"\0\0") and payload != b"\0":
        raise ProtocolError("malformed ErrorResponse or NoticeResponse: missing terminator")
    return {
        chr(field[0]): field[1:].decode("utf-8", "replace") for field in payload[:-1].split(b"\0") if field
    }


def parse_parameter_status(payload: bytes) -> ParameterStatus:
    """Parse a ParameterStatus.

    Raises:
        ProtocolError: the payload is not a name and a value.
    """
    parts = payload.split(b"\0")
    if len(parts) != 3 or parts[2]:
        raise ProtocolError("malformed ParameterStatus: expected a name and a value")
    return ParameterStatus(parts[0].decode("utf-8", "replace"), parts[1].decode("utf-8", "replace"))
