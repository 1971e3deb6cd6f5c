"""Encoding and decoding of OK and ERR packets, including session tracking."""

from __future__ import annotations

from dataclasses import dataclass

from juniperreel.mysql.constants import ERR, Capability, ServerStatus, SessionTrackType
from juniperreel.mysql.packets import Cursor, ProtocolError, encode_length, encode_string

MAX_WARNINGS = 0xFFFF
MAX_MESSAGE_BYTES = 512
SQLSTATE_BYTES = 5
UNKNOWN_SQLSTATE = "HY000"
ERR_HEADER_BYTES = 3  # marker and code


@dataclass(frozen=True, slots=True)
class Ok:
    """An OK packet, which may also end a result set."""

    affected: int = 0
    insert_id: int = 0
    status: int = 0
    warnings: int = 0
    info: bytes = b""
    tracked: tuple[tuple[int, bytes], ...] = ()  # session changes by SessionTrackType

    @property
    def more_results(self) -> bool:
        """Whether another result of the same command follows."""
        return bool(self.status & ServerStatus.MORE_RESULTS)

    @property
    def gtids(self) -> str:
        """The GTIDs of the committed transaction; empty if there are none."""
        for kind, data in self.tracked:
            if kind == SessionTrackType.GTIDS:
                cursor = Cursor(data)
                cursor.take(1)  # the encoding specification, of which only one exists
                return cursor.string().decode("ascii", "replace")
        return ""


@dataclass(frozen=True, slots=True)
class Err:
    """An ERR packet."""

    code: int
    sqlstate: str
    message: str


def gtid_track(gtids: str) -> tuple[int, bytes]:
    """Return a session change that carries GTIDs."""
    return SessionTrackType.GTIDS, b"\0" + encode_string(gtids.encode())


def encode_ok(first: int, ok: Ok, capabilities: int) -> bytes:
    """Return the packet's payload. `first` is OK, or EOF if it ends a result set."""
    tracks = bool(capabilities & Capability.SESSION_TRACK)
    status = ok.status | (ServerStatus.STATE_CHANGED if tracks and ok.tracked else 0)
    payload = bytes((first,)) + encode_length(ok.affected) + encode_length(ok.insert_id)
    payload += status.to_bytes(2, "little") + min(ok.warnings, MAX_WARNINGS).to_bytes(2, "little")
    if not tracks:
        return payload + ok.info
    if ok.info or ok.tracked:
        payload += encode_string(ok.info)
    if ok.tracked:
        changes = (bytes((kind,)) + encode_string(data) for kind, data in ok.tracked)
        payload += encode_string(b"".join(changes))
    return payload


def decode_ok(payload: bytes, capabilities: int) -> Ok:
    """Decode an OK packet, ignoring its first byte. Raises ProtocolError."""
    cursor = Cursor(payload)
    cursor.take(1)
    affected = cursor.length()
    insert_id = cursor.length()
    status = cursor.integer(2)
    warnings = cursor.integer(2)
    if not capabilities & Capability.SESSION_TRACK:
        return Ok(affected, insert_id, status, warnings, cursor.remainder())
    info = cursor.string() if cursor.remaining else b""
    tracked: list[tuple[int, bytes]] = []
    if status & ServerStatus.STATE_CHANGED and cursor.remaining:
        changes = Cursor(cursor.string())
        while changes.remaining:
            kind = changes.integer(1)
            tracked.append((kind, changes.string()))
    return Ok(affected, insert_id, status, warnings, info, tuple(tracked))


def encode_err(code: int, sqlstate: str, message: str) -> bytes:
    """Return the packet's payload; a message that is too long is truncated."""
    state = sqlstate.encode("ascii", "replace")[:SQLSTATE_BYTES].ljust(SQLSTATE_BYTES, b"0")
    text = message.encode("utf-8", "replace")[:MAX_MESSAGE_BYTES]
    return bytes((ERR,)) + code.to_bytes(2, "little") + b"#" + state + text


def decode_err(payload: bytes) -> Err:
    """Decode an ERR packet, which may have no SQLSTATE before the login. Raises ProtocolError."""
    if len(payload) < ERR_HEADER_BYTES or payload[0] != ERR:
        raise ProtocolError("no error packet")
    code = int.from_bytes(payload[1:ERR_HEADER_BYTES], "little")
    rest = payload[ERR_HEADER_BYTES:]
    sqlstate = UNKNOWN_SQLSTATE
    if rest[:1] == b"#" and len(rest) > SQLSTATE_BYTES:
        sqlstate = rest[1 : 1 + SQLSTATE_BYTES].decode("ascii", "replace")
        rest = rest[1 + SQLSTATE_BYTES :]
    return Err(code, sqlstate, rest.decode("utf-8", "replace"))
