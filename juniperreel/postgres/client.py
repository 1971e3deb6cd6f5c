"""The side that speaks to members: one connection's state machine. Bytes in, replies out.

States: welcome (the startup message is out), idle, busy (a query is out), over. A reply is whole before
any of it is handed on: what a member sent spoilt never reaches a client.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from juniperreel.postgres import messages as m
from juniperreel.postgres.messages import ProtocolError

REPLY_LIMIT = 65_536 + 4_096  # a value of 64 KiB and what stands around it
PARAMETERS = 64  # in one reply
KINDS = b"RSKZTDCENIAv"


class Phase(Enum):
    WELCOME = "welcome"
    IDLE = "idle"
    BUSY = "busy"
    OVER = "over"


@dataclass(slots=True)
class Reply:
    """What came back for one query. `rows`: RowDescription, DataRow and CommandComplete as they came, empty
    unless all three are there; `error`: fields of an ErrorResponse by their letter."""

    rows: bytes = b""
    value: bytes | None = None
    error: dict[str, str] | None = None
    parameters: dict[str, str] = field(default_factory=dict)


class ClientConnection:
    """One connection to a member. `hello` must be sent first."""

    def __init__(self, user: str, database: str) -> None:
        self.phase = Phase.WELCOME
        self.hello = m.startup(user, database)
        self._reader = m.MessageReader(REPLY_LIMIT)
        self._reply = Reply()
        self._described = self._row = b""
        self._complete = False

    def ask(self, text: bytes) -> bytes:
        """Bytes of a query, to be sent now."""
        if self.phase is not Phase.IDLE:
            raise RuntimeError(f"a query on a connection that is {self.phase.value}")
        self.phase = Phase.BUSY
        self._reply = Reply()
        self._described = self._row = b""
        self._complete = False
        return m.query(text)

    @property
    def clean(self) -> bool:
        """Whether nothing came beyond what was asked for."""
        return self.phase is Phase.IDLE and not self._reader.held

    @property
    def answering(self) -> bool:
        """Whether anything has come for the query that is out."""
        return bool(self._reader.held or self._described or self._reply.parameters or self._reply.error)

    @property
    def so_far(self) -> Reply:
        """The reply as far as it came: an error counts although the connection ended behind it."""
        return self._reply

    def feed(self, data: bytes) -> Reply | None:
        """The reply, once it is whole; bytes behind it are kept and `clean` tells of them. Raises
        ProtocolError; the connection is of no further use then. In WELCOME, the phase turning IDLE is all
        that is told."""
        self._reader.feed(data)
        while self.phase is Phase.WELCOME or self.phase is Phase.BUSY:
            found = self._reader.next(KINDS)
            if found is None:
                return None
            kind, payload = found
            if kind == b"S":
                self._parameter(payload)
            elif kind == b"N":
                m.read_fields(payload)
            elif kind == b"Z":
                if len(payload) != 1:
                    raise ProtocolError("a ReadyForQuery that is not one byte")
                if self.phase is Phase.WELCOME:
                    if self._reply.error is not None:
                        raise ProtocolError("a welcome with an error in it")
                    self.phase = Phase.IDLE
                    return None
                return self._finish()
            elif kind == b"E":
                if self._reply.error is None:
                    self._reply.error = m.read_fields(payload)
                if self.phase is Phase.WELCOME:
                    raise ProtocolError(f"turned away: {self._reply.error.get('C', '')}", "53300")
                if self._reply.error.get("S") == "FATAL":
                    self.phase = Phase.OVER
                    return self._reply
            elif self.phase is Phase.WELCOME:
                if kind == b"R":
                    if payload != b"\0\0\0\0":
                        raise ProtocolError("a member asks for a password", "28000")
                elif kind not in b"Kv":
                    raise ProtocolError(f"a message of type {kind!r} in a welcome")
            else:
                self._part(kind, payload)
        return None

    def _parameter(self, payload: bytes) -> None:
        name, value = m.read_pair(payload)
        if len(self._reply.parameters) >= PARAMETERS:
            raise ProtocolError("too many parameters in one reply")
        self._reply.parameters[name] = value

    def _part(self, kind: bytes, payload: bytes) -> None:
        """Of a result: T, then D, then C, each once."""
        if kind == b"T":
            if self._described or len(payload) < 2 or m.COUNT.unpack_from(payload)[0] != 1:
                raise ProtocolError("a description of other than one column")
            end = payload.find(b"\0", 2)
            if end < 0 or len(payload) != end + 19:
                raise ProtocolError("a description that does not fit its column")
            self._described = m.message(b"T", payload)
        elif kind == b"D":
            if not self._described or self._row or len(payload) < 6:
                raise ProtocolError("a row where none is due")
            count, size = m.COUNT.unpack_from(payload)[0], m.LENGTH.unpack_from(payload, 2)[0]
            if count != 1 or size != len(payload) - 6:
                raise ProtocolError("a row whose length does not fit")
            self._row = m.message(b"D", payload)
            self._reply.value = payload[6:]
        elif kind == b"C":
            if not self._row or self._complete or not payload.endswith(b"\0") or self._reply.error:
                raise ProtocolError("a completion where none is due")
            self._complete = True
            self._reply.rows = self._described + self._row + m.message(b"C", payload)
        else:
            raise ProtocolError(f"a message of type {kind!r} in a reply")

    def _finish(self) -> Reply:
        if self._reply.error is None and not self._complete:
            raise ProtocolError("a reply with neither a row nor an error")
        self.phase = Phase.IDLE
        return self._reply
