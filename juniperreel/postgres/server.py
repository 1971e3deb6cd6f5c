"""The side that clients speak to: one connection's state machine. Bytes in, commands out; answers are made
here.

States: startup, then ready. A query is taken only when the one before it has been answered, which the caller
sees to by asking for the next command only then.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from juniperreel.postgres import messages as m
from juniperreel.postgres.messages import ProtocolError

STARTUP_LIMIT = 10_000  # as PostgreSQL has it
QUERY_LIMIT = 2 * 65_536 + 4_096  # a value of 64 KiB in hexadecimal, and the statement around it
COMMANDS = b"QX"
EXTENDED = b"PBEDHSCFdcfp"  # commands of the protocol that are not spoken here

WELCOME = (
    m.message(b"R", m.CODE.pack(0))
    + m.parameter("server_version", "15.0")
    + m.parameter("server_encoding", "UTF8")
    + m.parameter("client_encoding", "UTF8")
    + m.parameter("DateStyle", "ISO, MDY")
    + m.parameter("integer_datetimes", "on")
    + m.parameter("standard_conforming_strings", "on")
    + m.message(b"K", m.CODE.pack(1) + m.CODE.pack(0))
    + m.READY
)


class Phase(Enum):
    STARTUP = "startup"
    READY = "ready"
    OVER = "over"


@dataclass(frozen=True, slots=True)
class Query:
    text: bytes


class ServerConnection:
    """One client's connection. `out` is what it must be sent."""

    def __init__(self) -> None:
        self.phase = Phase.STARTUP
        self.out = bytearray()
        self._reader = m.MessageReader(QUERY_LIMIT)

    def feed(self, data: bytes) -> None:
        self._reader.feed(data)

    @property
    def held(self) -> int:
        """Bytes that came and were not taken."""
        return self._reader.held

    def next(self) -> Query | None:
        """The next query, or None until more bytes come or when the client has said goodbye (phase OVER).
        Raises ProtocolError; the connection is of no further use then."""
        while self.phase is Phase.STARTUP:
            payload = self._reader.next_startup(STARTUP_LIMIT)
            if payload is None:
                return None
            self._start(payload)
        if self.phase is Phase.OVER:
            return None
        found = self._reader.next(COMMANDS + EXTENDED)
        if found is None:
            return None
        kind, payload = found
        if kind == b"X":
            self.phase = Phase.OVER
            return None
        if kind != b"Q":
            raise ProtocolError("only simple queries are spoken here", "0A000")
        if not payload.endswith(b"\0") or payload.find(b"\0") != len(payload) - 1:
            raise ProtocolError("a query does not end where its message does")
        return Query(payload[:-1])

    def _start(self, payload: bytes) -> None:
        (code,) = m.CODE.unpack_from(payload)
        if code in (m.SSL_REQUEST, m.GSS_REQUEST):
            if len(payload) != 4:
                raise ProtocolError("a request for encryption with a tail")
            self.out += b"N"
            return
        if code == m.CANCEL_REQUEST:
            self.phase = Phase.OVER  # keys are not given out, so there is nothing to cancel
            return
        if code >> 16 != 3:
            raise ProtocolError(f"protocol {code >> 16}.{code & 0xFFFF} is not spoken here", "0A000")
        pairs = payload[4:].split(b"\0")
        if len(pairs) < 4 or pairs[-2:] != [b"", b""] or len(pairs) % 2:
            raise ProtocolError("a startup message that is not names and values")
        names = pairs[:-2:2]
        if b"user" not in names:
            raise ProtocolError("a startup message without a user", "28000")
        if code & 0xFFFF:  # a newer minor version is offered 3.0
            extra = [n for n in names if n.startswith(b"_pq_.")]
            body = m.CODE.pack(0) + m.CODE.pack(len(extra)) + b"".join(n + b"\0" for n in extra)
            self.out += m.message(b"v", body)
        self.out += WELCOME
        self.phase = Phase.READY


# Answers.


def empty() -> bytes:
    return m.EMPTY + m.READY


def refused(text: str, wait_ms: int) -> bytes:
    """Nothing took effect that a repeat could double; `wait_ms` 0 gives no hint when to return."""
    return m.error("ERROR", "53300", text, str(wait_ms) if wait_ms else "") + m.READY


def failed(code: str, text: str) -> bytes:
    return m.error("ERROR", code, text) + m.READY


def fatal(code: str, text: str) -> bytes:
    """After it the connection ends."""
    return m.error("FATAL", code, text)
