"""A client of MySQL's protocol, as small as stand-in clients need: login, single statements, text results.

Written from MySQL's public documentation and apart from the edge's own side of it, so that the two prove each
other.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from select import select

import trio

from juniperreel.net import Network

CAPABILITIES = 0x1 | 0x200 | 0x8000 | 0x80000  # long passwords, 4.1, secure connection, plugin auth
UTF8MB4 = 45
PLUGIN = b"mysql_native_password"
MAX_PACKET = 16 << 20
BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError)


class Lost(Exception):
    """The connection broke. `sent` tells whether a statement may have reached the server."""

    def __init__(self, why: str, sent: bool) -> None:
        super().__init__(why)
        self.sent = sent


@dataclass(frozen=True, slots=True)
class Failure:
    """An ERR packet."""

    code: int
    words: str


@dataclass(frozen=True, slots=True)
class Rows:
    """A result; of a write only what it changed."""

    rows: list[list[str | None]] = field(default_factory=list)
    affected: int = 0


class MysqlClient:
    """One connection, opened by the first statement."""

    def __init__(self, network: Network, port: int, user: str, password: bytes) -> None:
        self.port, self._network, self._user, self._password = port, network, user, password
        self._stream: trio.abc.Stream | None = None
        self._data = bytearray()
        self._sequence = 0

    async def close(self) -> None:
        stream, self._stream = self._stream, None
        if stream is not None:
            await trio.aclose_forcefully(stream)

    async def query(self, text: str) -> Rows | Failure:
        """Raises Lost, or net's ConnectError where nobody listens. Cancelled, the connection is closed."""
        if self._stream is not None and readable(self._stream):
            await self.close()  # its server has ended it while nobody asked
        if self._stream is None:
            await self._login()
        try:
            self._sequence = 0
            await self._send(b"\x03" + text.encode())
            return await self._result()
        except BaseException as error:
            with trio.CancelScope(shield=True):
                await self.close()
            if isinstance(error, (*BROKEN, IndexError)):
                raise Lost(f"the connection broke: {error}", sent=True) from error
            raise

    async def _login(self) -> None:
        self._stream = await self._network.connect("127.0.0.1", self.port, 1_000_000)
        self._data.clear()
        try:
            greeting = await self._packet()
            if greeting[0] == 0xFF:
                raise Lost(f"refused: {greeting[3:]!r}", sent=False)
            at = greeting.index(0, 1) + 5
            nonce = greeting[at : at + 8]
            at += 8 + 1 + 2 + 1 + 2 + 2 + 1 + 10
            nonce += greeting[at : at + 12]
            await self._send(
                CAPABILITIES.to_bytes(4, "little")
                + MAX_PACKET.to_bytes(4, "little")
                + bytes((UTF8MB4,))
                + bytes(23)
                + self._user.encode()
                + b"\0"
                + bytes((20,))
                + self._proof(nonce)
                + PLUGIN
                + b"\0"
            )
            answer = await self._packet()
            if answer[0] != 0x00:
                raise Lost(f"not let in: {answer[:80]!r}", sent=False)
        except BaseException as error:
            with trio.CancelScope(shield=True):
                await self.close()
            if isinstance(
                error, (trio.BrokenResourceError, trio.ClosedResourceError, IndexError, ValueError)
            ):
                raise Lost(f"no login: {error}", sent=False) from error
            raise

    def _proof(self, nonce: bytes) -> bytes:
        once = hashlib.sha1(self._password, usedforsecurity=False).digest()
        twice = hashlib.sha1(once, usedforsecurity=False).digest()
        mask = hashlib.sha1(nonce + twice, usedforsecurity=False).digest()
        return bytes(a ^ b for a, b in zip(once, mask, strict=True))

    async def _send(self, payload: bytes) -> None:
        assert self._stream is not None and len(payload) < MAX_PACKET
        head = len(payload).to_bytes(3, "little") + bytes((self._sequence,))
        self._sequence += 1
        await self._stream.send_all(head + payload)

    async def _packet(self) -> bytes:
        assert self._stream is not None
        while True:
            if len(self._data) >= 4:
                size = int.from_bytes(self._data[:3], "little")
                if len(self._data) >= 4 + size:
                    self._sequence = (self._data[3] + 1) % 256
                    payload = bytes(self._data[4 : 4 + size])
                    del self._data[: 4 + size]
                    return payload
            more = await self._stream.receive_some(65536)
            if not more:
                raise trio.BrokenResourceError("the server closed the connection")
            self._data += more

    async def _result(self) -> Rows | Failure:
        first = await self._packet()
        if first[0] == 0xFF:
            return Failure(int.from_bytes(first[1:3], "little"), first[9:].decode("utf-8", "replace"))
        if first[0] == 0x00:
            return Rows(affected=lenenc(first, 1)[0] or 0)
        columns = first[0]
        for _ in range(columns + 1):  # definitions, and the packet that ends them
            await self._packet()
        rows: list[list[str | None]] = []
        while True:
            packet = await self._packet()
            if packet[0] == 0xFE and len(packet) < 9:
                return Rows(rows)
            if packet[0] == 0xFF:
                return Failure(int.from_bytes(packet[1:3], "little"), packet[9:].decode("utf-8", "replace"))
            row: list[str | None] = []
            at = 0
            for _ in range(columns):
                size, at = lenenc(packet, at)
                if size is None:
                    row.append(None)
                else:
                    row.append(packet[at : at + size].decode())
                    at += size
            rows.append(row)


def readable(stream: trio.abc.Stream) -> bool:
    """Something lies there, though nothing was asked: the end, or the reason for it."""
    return isinstance(stream, trio.SocketStream) and bool(select([stream.socket], [], [], 0)[0])


def lenenc(data: bytes, at: int) -> tuple[int | None, int]:
    """A length-encoded integer and where it ends; None is NULL."""
    first = data[at]
    if first == 0xFB:
        return None, at + 1
    if first < 0xFB:
        return first, at + 1
    size = {0xFC: 2, 0xFD: 3, 0xFE: 8}[first]
    return int.from_bytes(data[at + 1 : at + 1 + size], "little"), at + 1 + size
