"""A minimal client for MySQL's protocol, for fake clients: login, single statements, text results.

Written from MySQL's public documentation, independently of the edge's implementation, so that each validates
the other.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from select import select
from typing import NamedTuple

import trio

from juniperreel.fakes.errors import FakesError
from juniperreel.net import Network

CAPABILITIES = 0x1 | 0x200 | 0x8000 | 0x80000  # long passwords, 4.1, secure connection, plugin auth
UTF8MB4 = 45
PLUGIN = b"mysql_native_password"
MAX_PACKET = 16 << 20
HEADER_BYTES = 4
READ_BYTES = 65536
CONNECT_TIMEOUT_US = 1_000_000
SHA1_BYTES = 20
COM_QUERY = b"\x03"
OK_HEADER = 0x00
NULL_HEADER = 0xFB
EOF_HEADER = 0xFE
ERROR_HEADER = 0xFF
MAX_EOF_BYTES = 9
NONCE_FIRST_BYTES = 8
NONCE_SECOND_BYTES = 12
CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)


class MysqlConnectionError(FakesError):
    """The connection failed. `sent` is true if a statement may have reached the server."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


@dataclass(frozen=True, slots=True)
class QueryError:
    """An ERR packet."""

    code: int
    message: str


@dataclass(frozen=True, slots=True)
class QueryResult:
    """The rows of a read, or the number of rows that a write changed."""

    rows: list[list[str | None]] = field(default_factory=list)
    affected: int = 0


class LengthEncodedInteger(NamedTuple):
    """A decoded integer, None for NULL, and the offset of the next byte."""

    value: int | None
    end: int


class MysqlClient:
    """One connection, opened on the first statement."""

    def __init__(self, network: Network, port: int, user: str, password: bytes) -> None:
        self.port = port
        self._network = network
        self._user = user
        self._password = password
        self._stream: trio.abc.Stream | None = None
        self._received = bytearray()
        self._sequence = 0

    async def close(self) -> None:
        """Close the connection; the next statement opens another."""
        stream = self._stream
        self._stream = None
        if stream is not None:
            await trio.aclose_forcefully(stream)

    async def query(self, text: str) -> QueryResult | QueryError:
        """Execute one statement.

        Raises MysqlConnectionError, or ConnectError if no server listens on the port. Cancellation closes the
        connection.
        """
        if self._stream is not None and is_readable(self._stream):
            await self.close()  # the server closed it while it was idle
        if self._stream is None:
            await self._login()
        try:
            self._sequence = 0
            await self._send(COM_QUERY + text.encode())
            return await self._receive_result()
        except BaseException as error:
            with trio.CancelScope(shield=True):
                await self.close()
            if isinstance(error, (*CONNECTION_ERRORS, IndexError)):
                raise MysqlConnectionError(f"connection lost: {error}", sent=True) from error
            raise

    async def _login(self) -> None:
        self._stream = await self._network.connect("127.0.0.1", self.port, CONNECT_TIMEOUT_US)
        self._received.clear()
        try:
            await self._authenticate()
        except BaseException as error:
            with trio.CancelScope(shield=True):
                await self.close()
            if isinstance(error, (*CONNECTION_ERRORS, IndexError, ValueError)):
                raise MysqlConnectionError(f"login failed: {error}", sent=False) from error
            raise

    async def _authenticate(self) -> None:
        greeting = await self._receive_packet()
        if greeting[0] == ERROR_HEADER:
            raise MysqlConnectionError(f"connection rejected: {greeting[3:]!r}", sent=False)
        await self._send(
            CAPABILITIES.to_bytes(4, "little")
            + MAX_PACKET.to_bytes(4, "little")
            + bytes((UTF8MB4,))
            + bytes(23)
            + self._user.encode()
            + b"\0"
            + bytes((SHA1_BYTES,))
            + self._scramble(_nonce(greeting))
            + PLUGIN
            + b"\0"
        )
        answer = await self._receive_packet()
        if answer[0] != OK_HEADER:
            raise MysqlConnectionError(f"authentication failed: {answer[:80]!r}", sent=False)

    def _scramble(self, nonce: bytes) -> bytes:
        """The authentication response of mysql_native_password."""
        once = hashlib.sha1(self._password, usedforsecurity=False).digest()
        twice = hashlib.sha1(once, usedforsecurity=False).digest()
        mask = hashlib.sha1(nonce + twice, usedforsecurity=False).digest()
        return bytes(a ^ b for a, b in zip(once, mask, strict=True))

    async def _send(self, payload: bytes) -> None:
        assert self._stream is not None
        assert len(payload) < MAX_PACKET
        header = len(payload).to_bytes(3, "little") + bytes((self._sequence,))
        self._sequence += 1
        await self._stream.send_all(header + payload)

    async def _receive_packet(self) -> bytes:
        assert self._stream is not None
        while True:
            if len(self._received) >= HEADER_BYTES:
                end = HEADER_BYTES + int.from_bytes(self._received[:3], "little")
                if len(self._received) >= end:
                    self._sequence = (self._received[3] + 1) % 256
                    payload = bytes(self._received[HEADER_BYTES:end])
                    del self._received[:end]
                    return payload
            data = await self._stream.receive_some(READ_BYTES)
            if not data:
                raise trio.BrokenResourceError("the server closed the connection")
            self._received += data

    async def _receive_result(self) -> QueryResult | QueryError:
        first = await self._receive_packet()
        if first[0] == ERROR_HEADER:
            return _decode_error(first)
        if first[0] == OK_HEADER:
            return QueryResult(affected=decode_length(first, 1).value or 0)
        column_count = first[0]
        for _ in range(column_count + 1):  # column definitions and the EOF packet
            await self._receive_packet()
        rows: list[list[str | None]] = []
        while True:
            packet = await self._receive_packet()
            if packet[0] == EOF_HEADER and len(packet) < MAX_EOF_BYTES:
                return QueryResult(rows)
            if packet[0] == ERROR_HEADER:
                return _decode_error(packet)
            rows.append(_decode_row(packet, column_count))


def _nonce(greeting: bytes) -> bytes:
    """The server's nonce, in two parts after the server version and the connection ID."""
    start = greeting.index(0, 1) + 5
    first = greeting[start : start + NONCE_FIRST_BYTES]
    start += NONCE_FIRST_BYTES + 1 + 2 + 1 + 2 + 2 + 1 + 10
    return first + greeting[start : start + NONCE_SECOND_BYTES]


def _decode_error(packet: bytes) -> QueryError:
    return QueryError(int.from_bytes(packet[1:3], "little"), packet[9:].decode("utf-8", "replace"))


def _decode_row(packet: bytes, column_count: int) -> list[str | None]:
    row: list[str | None] = []
    offset = 0
    for _ in range(column_count):
        size, offset = decode_length(packet, offset)
        if size is None:
            row.append(None)
        else:
            row.append(packet[offset : offset + size].decode())
            offset += size
    return row


def is_readable(stream: trio.abc.Stream) -> bool:
    """Whether an idle connection has data to read: the end of the stream, or an error before it."""
    return isinstance(stream, trio.SocketStream) and bool(select([stream.socket], [], [], 0)[0])


def decode_length(data: bytes, offset: int) -> LengthEncodedInteger:
    """Read a length-encoded integer."""
    first = data[offset]
    if first == NULL_HEADER:
        return LengthEncodedInteger(None, offset + 1)
    if first < NULL_HEADER:
        return LengthEncodedInteger(first, offset + 1)
    size = {0xFC: 2, 0xFD: 3, 0xFE: 8}[first]
    end = offset + 1 + size
    return LengthEncodedInteger(int.from_bytes(data[offset + 1 : end], "little"), end)
