"""The server side of a connection: parses queries and encodes the responses to them.

States: startup, ready, closed. Queries are processed one at a time: the caller must not ask for the next
query before it has answered the previous one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from juniperreel.postgres import messages, sqlstate
from juniperreel.postgres.messages import UINT32, ProtocolError

STARTUP_LIMIT = 10_000  # bytes, as in PostgreSQL
QUERY_LIMIT = 2 * 65_536 + 4_096  # bytes: a value of 64 KiB in hexadecimal, and the rest of the statement
QUERY = b"Q"
TERMINATE = b"X"
UNSUPPORTED_KINDS = b"PBEDHSCFdcfp"  # extended query protocol, COPY and password authentication
MAJOR_VERSION = 3
PROTOCOL_OPTION_PREFIX = b"_pq_."
ENCRYPTION_REFUSED = b"N"

STARTUP_RESPONSE = (
    messages.message(b"R", UINT32.pack(0))  # AuthenticationOk
    + messages.parameter("server_version", "15.0")
    + messages.parameter("server_encoding", "UTF8")
    + messages.parameter("client_encoding", "UTF8")
    + messages.parameter("DateStyle", "ISO, MDY")
    + messages.parameter("integer_datetimes", "on")
    + messages.parameter("standard_conforming_strings", "on")
    + messages.message(b"K", UINT32.pack(1) + UINT32.pack(0))  # BackendKeyData
    + messages.READY
)


class Phase(Enum):
    """The state of a connection."""

    STARTUP = "startup"
    READY = "ready"
    CLOSED = "closed"  # terminated by the client


@dataclass(frozen=True, slots=True)
class Query:
    """A simple query, without its final NUL."""

    text: bytes
    is_discarded: bool = False  # the text was discarded while it was being received


class ServerConnection:
    """The state machine of a client connection. `outgoing` holds the bytes to send to the client."""

    def __init__(self) -> None:
        self.phase = Phase.STARTUP
        self.outgoing = bytearray()
        self._reader = messages.MessageReader(QUERY_LIMIT)

    def receive_data(self, data: bytes) -> None:
        """Append bytes from the client."""
        self._reader.receive_data(data)

    @property
    def buffered(self) -> int:
        """Number of bytes received but not yet consumed as messages."""
        return self._reader.buffered

    @property
    def held(self) -> int:
        """As `buffered`, without bytes of a discarded query."""
        return self._reader.held

    def close(self) -> None:
        """Drop everything that was received: the connection is closing, and no more queries are processed."""
        self.phase = Phase.CLOSED
        self._reader.clear()

    @property
    def drops_excess(self) -> bool:
        """Whether queries behind the buffered ones are counted and dropped."""
        return self._reader.drops_excess

    def drop_excess(self) -> None:
        """Keep the buffered queries; those that follow are returned as discarded, after them."""
        if self.phase is Phase.READY:
            self._reader.drop_excess(QUERY)

    def discard_incomplete_query(self) -> None:
        """Discard the query that is being received, which `next_query` has not returned yet."""
        if self.phase is Phase.READY:
            self._reader.discard_incomplete()

    def next_query(self) -> Query | None:
        """Return the next query, or None if more bytes are needed or the phase is CLOSED.

        Raises:
            ProtocolError: the connection cannot be used any more.
        """
        while self.phase is Phase.STARTUP:
            payload = self._reader.next_startup(STARTUP_LIMIT)
            if payload is None:
                return None
            self._handle_startup(payload)
        if self.phase is Phase.CLOSED:
            return None
        message = self._reader.next_message(QUERY + TERMINATE + UNSUPPORTED_KINDS)
        if message is None:
            return None
        if message.kind == TERMINATE:
            self.phase = Phase.CLOSED
            return None
        if message.kind != QUERY:
            raise ProtocolError("only simple queries are spoken here", sqlstate.FEATURE_NOT_SUPPORTED)
        payload = message.payload
        if message.is_discarded:
            return Query(payload, is_discarded=True)
        if not payload.endswith(b"\0") or payload.find(b"\0") != len(payload) - 1:
            raise ProtocolError("a query does not end where its message does")
        return Query(payload[:-1])

    def _handle_startup(self, payload: bytes) -> None:
        (code,) = UINT32.unpack_from(payload)
        if code in (messages.SSL_REQUEST, messages.GSS_REQUEST):
            if len(payload) != UINT32.size:
                raise ProtocolError("a request for encryption with a tail")
            self.outgoing += ENCRYPTION_REFUSED
        elif code == messages.CANCEL_REQUEST:
            # BackendKeyData holds no real key, so there is nothing to cancel.
            self.phase = Phase.CLOSED
        else:
            self._start_session(code, payload[UINT32.size :])

    def _start_session(self, version: int, parameters: bytes) -> None:
        major = version >> 16
        minor = version & 0xFFFF
        if major != MAJOR_VERSION:
            raise ProtocolError(
                f"protocol {major}.{minor} is not spoken here", sqlstate.FEATURE_NOT_SUPPORTED
            )
        names = _parameter_names(parameters)
        if b"user" not in names:
            raise ProtocolError("a startup message without a user", sqlstate.INVALID_AUTHORIZATION)
        if minor:
            self.outgoing += _negotiate_protocol_version(names)
        self.outgoing += STARTUP_RESPONSE
        self.phase = Phase.READY


def _parameter_names(parameters: bytes) -> list[bytes]:
    """Return the parameter names of a StartupMessage: NUL-terminated pairs, followed by one more NUL."""
    parts = parameters.split(b"\0")
    if len(parts) < 4 or parts[-2:] != [b"", b""] or len(parts) % 2:
        raise ProtocolError("a startup message that is not names and values")
    return parts[:-2:2]


def _negotiate_protocol_version(names: list[bytes]) -> bytes:
    """Encode a NegotiateProtocolVersion that offers 3.0 to a client with a newer minor version."""
    unknown_options = [name for name in names if name.startswith(PROTOCOL_OPTION_PREFIX)]
    listed = b"".join(name + b"\0" for name in unknown_options)
    return messages.message(b"v", UINT32.pack(0) + UINT32.pack(len(unknown_options)) + listed)


# Responses to a query.


def empty_query_response() -> bytes:
    """Return the response to an empty query."""
    return messages.EMPTY_QUERY + messages.READY


def rejected(text: str, retry_after_ms: int) -> bytes:
    """Return the response to a query that was not executed and can safely be retried.

    With `retry_after_ms` 0 the client gets no retry-after hint.
    """
    detail = str(retry_after_ms) if retry_after_ms else ""
    return messages.error("ERROR", sqlstate.TOO_MANY_CONNECTIONS, text, detail) + messages.READY


def failed(code: str, text: str) -> bytes:
    """Return an error response that leaves the connection open."""
    return messages.error("ERROR", code, text) + messages.READY


def fatal(code: str, text: str) -> bytes:
    """Return an error response after which the connection is closed."""
    return messages.error("FATAL", code, text)
