"""Accepted connections passed between processes of one program, over a socket pair (SCM_RIGHTS, unix(7)).

The parent listens and hands on; a worker's `HandedNetwork` looks to the rest of the program like the network
it would have listened on itself. Datagrams, so that a message is whole or not there.
"""

from __future__ import annotations

import array
import socket
from collections.abc import Callable

import trio

from juniperreel.net.network import TcpListener, TcpNetwork

MESSAGE = 4096  # bytes of one message at most
QUEUE = 1024  # connections handed to a worker that has not yet begun on them
FD_BYTES = array.array("i").itemsize


def pair() -> tuple[socket.socket, socket.socket]:
    """The parent's end and the worker's, which is passed on by its descriptor."""
    ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    ours.setblocking(False)
    theirs.setblocking(False)
    return ours, theirs


class Handover:
    """One end: messages, with or without a connection."""

    def __init__(self, sock: socket.socket) -> None:
        self._raw = sock
        self._sock = trio.socket.from_stdlib_socket(sock)

    def hand(self, message: bytes, connection: trio.socket.SocketType | None = None) -> bool:
        """Without waiting; False where the other end takes no more, or is gone."""
        ancillary = []
        if connection is not None:
            ancillary = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [connection.fileno()]))]
        try:
            self._raw.sendmsg([message], ancillary)
        except OSError:
            return False
        return True

    async def receive(self) -> tuple[bytes, socket.socket | None]:
        """The next message; empty when the other end is gone."""
        try:
            data, ancillary, _, _ = await self._sock.recvmsg(MESSAGE, socket.CMSG_SPACE(FD_BYTES))
        except OSError:
            return b"", None
        for level, kind, payload in ancillary:
            if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS and len(payload) >= FD_BYTES:
                (number,) = array.array("i", payload[:FD_BYTES])
                return data, socket.socket(fileno=number)
        return data, None

    def close(self) -> None:
        self._sock.close()


class HandedListener:
    """Accepts what the parent hands over."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._put, self._take = trio.open_memory_channel[socket.socket](QUEUE)

    def put(self, connection: socket.socket) -> None:
        """Danger: more connections than a worker gets to are memory and descriptors; the rest are closed, and
        their clients come again."""
        try:
            self._put.send_nowait(connection)
        except (trio.WouldBlock, trio.ClosedResourceError):
            connection.close()

    @property
    def queued(self) -> int:
        return self._put.statistics().current_buffer_used

    async def accept(self) -> trio.abc.Stream:
        while True:
            try:
                connection = await self._take.receive()
            except trio.EndOfChannel:
                raise trio.ClosedResourceError from None
            try:
                connection.setblocking(False)
                return trio.SocketStream(trio.socket.from_stdlib_socket(connection))
            except OSError:
                connection.close()

    async def aclose(self) -> None:
        self._put.close()
        await trio.lowlevel.checkpoint()


class HandedNetwork(TcpNetwork):
    """A worker's network: connects itself, listens by way of its parent."""

    def __init__(self) -> None:
        self.listeners: dict[tuple[str, int], HandedListener] = {}

    async def listen(self, host: str, port: int) -> HandedListener:  # type: ignore[override]
        await trio.lowlevel.checkpoint()
        return self.listeners.setdefault((host, port), HandedListener(port))


async def hand_on(
    listener: TcpListener, name: bytes, choose: Callable[[], Handover | None], none_s: float = 0.05
) -> None:
    """Takes connections for ever and hands each to whom `choose` names; waits while it names nobody."""
    while True:
        connection = await listener.accept_socket()
        with connection:
            for _ in range(100):
                target = choose()
                if target is not None and target.hand(name, connection):
                    break
                await trio.sleep(none_s)
