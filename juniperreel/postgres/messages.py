"""Messages: a type byte, a length that counts itself, and the rest (PostgreSQL docs, chapter "Message
Formats")."""

from __future__ import annotations

import struct

HEADER = struct.Struct("!cI")
LENGTH = struct.Struct("!I")
COUNT = struct.Struct("!H")
CODE = struct.Struct("!I")

PROTOCOL_3 = 196608
SSL_REQUEST = 80877103
GSS_REQUEST = 80877104
CANCEL_REQUEST = 80877102

READY = b"Z\x00\x00\x00\x05I"
EMPTY = b"I\x00\x00\x00\x04"


class ProtocolError(Exception):
    """The peer broke the protocol. `code` is the SQLSTATE it is told, where it can still be told."""

    def __init__(self, text: str, code: str = "08P01") -> None:
        super().__init__(text)
        self.code = code


class MessageReader:
    """Bytes in, whole messages out. Holds at most one message of `limit` bytes and what was fed with it."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._data = bytearray()

    def feed(self, data: bytes) -> None:
        self._data += data

    @property
    def held(self) -> int:
        return len(self._data)

    def next(self, known: bytes) -> tuple[bytes, bytes] | None:
        """The next message's type and payload, or None until more bytes come. Raises ProtocolError, for a
        type outside `known` or a length out of range, as soon as its header is here."""
        data = self._data
        if not data:
            return None
        kind = bytes(data[:1])
        if kind not in known:
            raise ProtocolError(f"a message of type {kind!r} is not understood")
        if len(data) < 5:
            return None
        (size,) = LENGTH.unpack_from(data, 1)
        if size < 4 or size > self.limit:
            # Danger: nothing is set aside for a length that was only announced.
            raise ProtocolError(f"a message of type {kind!r} with length {size}", "54000")
        if len(data) < 1 + size:
            return None
        payload = bytes(data[5 : 1 + size])
        del data[: 1 + size]
        return kind, payload

    def next_startup(self, limit: int) -> bytes | None:
        """The first message of a connection, which has no type: its payload."""
        data = self._data
        if len(data) < 4:
            return None
        (size,) = LENGTH.unpack_from(data)
        if size < 8 or size > limit:
            raise ProtocolError(f"a startup message with length {size}")
        if len(data) < size:
            return None
        payload = bytes(data[4:size])
        del data[:size]
        return payload


def message(kind: bytes, payload: bytes) -> bytes:
    return HEADER.pack(kind, len(payload) + 4) + payload


def fields(pairs: list[tuple[str, str]]) -> bytes:
    return b"".join(k.encode() + v.encode("utf-8", "replace") + b"\0" for k, v in pairs) + b"\0"


def error(severity: str, code: str, text: str, detail: str = "") -> bytes:
    """An ErrorResponse. NUL ends a field, so the text must have none."""
    pairs = [("S", severity), ("V", severity), ("C", code), ("M", text.replace("\0", "?"))]
    if detail:
        pairs.append(("D", detail))
    return message(b"E", fields(pairs))


def parameter(name: str, value: str) -> bytes:
    return message(b"S", name.encode() + b"\0" + value.encode() + b"\0")


def startup(user: str, database: str) -> bytes:
    body = b"user\0" + user.encode() + b"\0database\0" + database.encode() + b"\0\0"
    return LENGTH.pack(len(body) + 8) + CODE.pack(PROTOCOL_3) + body


def query(text: bytes) -> bytes:
    return b"Q" + LENGTH.pack(len(text) + 5) + text + b"\0"


def read_fields(payload: bytes) -> dict[str, str]:
    """Of an ErrorResponse or a NoticeResponse. Raises ProtocolError."""
    if not payload.endswith(b"\0\0") and payload != b"\0":
        raise ProtocolError("an error message does not end")
    found = {}
    for part in payload[:-1].split(b"\0"):
        if part:
            found[chr(part[0])] = part[1:].decode("utf-8", "replace")
    return found


def read_pair(payload: bytes) -> tuple[str, str]:
    """Of a ParameterStatus. Raises ProtocolError."""
    parts = payload.split(b"\0")
    if len(parts) != 3 or parts[2]:
        raise ProtocolError("a parameter is not a name and a value")
    return parts[0].decode("utf-8", "replace"), parts[1].decode("utf-8", "replace")
