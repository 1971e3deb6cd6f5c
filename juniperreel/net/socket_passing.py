"""Passing of accepted connections from a parent to its workers, over a socket pair (SCM_RIGHTS, unix(7)).

The parent listens and passes connections on; a worker's `PassedSocketNetwork` implements `Network`, so the
rest of the worker is independent of this. The socket pair is SOCK_SEQPACKET, which preserves message
boundaries.
"""

from __future__ import annotations

import array
import socket
from collections.abc import Callable
from typing import NamedTuple

import trio

from juniperreel.net.network import TcpListener, TcpNetwork

MAX_MESSAGE_BYTES = 4096
LISTENER_QUEUE = 1024  # passed connections that a worker has not accepted yet
DESCRIPTOR_BYTES = array.array("i").itemsize
PASS_ATTEMPTS = 100
PASS_RETRY_S = 0.05


class SocketPair(NamedTuple):
    """Both ends of the channel between a parent and one worker."""

    parent: socket.socket
    worker: socket.socket  # inherited by the worker as a descriptor


class PassedMessage(NamedTuple):
    """One received message; `data` is empty if the other end is closed."""

    data: bytes
    connection: socket.socket | None


def create_socket_pair() -> SocketPair:
    """Create a connected, non-blocking socket pair."""
    parent, worker = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    parent.setblocking(False)
    worker.setblocking(False)
    return SocketPair(parent, worker)


class SocketPassing:
    """One end of the channel. A message may carry a connection."""

    def __init__(self, sock: socket.socket) -> None:
        """Take ownership of one end of a socket pair."""
        self._raw = sock
        self._sock = trio.socket.from_stdlib_socket(sock)

    def send(self, message: bytes, connection: trio.socket.SocketType | None = None) -> bool:
        """Send without blocking; return False if the buffer is full or the other end is closed."""
        ancillary = []
        if connection is not None:
            ancillary = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [connection.fileno()]))]
        try:
            self._raw.sendmsg([message], ancillary)
        except OSError:
            return False
        return True

    async def receive(self) -> PassedMessage:
        """Return the next message; its data is empty if the other end is closed."""
        try:
            data, ancillary, _, _ = await self._sock.recvmsg(
                MAX_MESSAGE_BYTES, socket.CMSG_SPACE(DESCRIPTOR_BYTES)
            )
        except OSError:
            return PassedMessage(b"", None)
        for level, kind, payload in ancillary:
            if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS and len(payload) >= DESCRIPTOR_BYTES:
                (descriptor,) = array.array("i", payload[:DESCRIPTOR_BYTES])
                return PassedMessage(data, socket.socket(fileno=descriptor))
        return PassedMessage(data, None)

    def close(self) -> None:
        """Close this end; the other end receives an empty message."""
        self._sock.close()


class PassedSocketListener:
    """Accepts the connections that the parent passes on."""

    def __init__(self, port: int) -> None:
        """`port` is the one on which the parent listens."""
        self.port = port
        self._sender, self._receiver = trio.open_memory_channel[socket.socket](LISTENER_QUEUE)

    def deliver(self, connection: socket.socket) -> None:
        """Queue a connection for `accept`.

        If the queue is full, the connection is closed and its client has to reconnect: an unbounded queue
        would hold memory and descriptors of connections that the worker never gets to serve.
        """
        try:
            self._sender.send_nowait(connection)
        except (trio.WouldBlock, trio.ClosedResourceError):
            connection.close()

    @property
    def queued(self) -> int:
        """Number of connections waiting for `accept`."""
        return self._sender.statistics().current_buffer_used

    async def accept(self) -> trio.abc.Stream:
        """Return the next connection. Raises trio.ClosedResourceError once the listener is closed."""
        while True:
            try:
                connection = await self._receiver.receive()
            except trio.EndOfChannel:
                raise trio.ClosedResourceError from None
            try:
                connection.setblocking(False)
                return trio.SocketStream(trio.socket.from_stdlib_socket(connection))
            except OSError:
                connection.close()

    async def aclose(self) -> None:
        """Stop queueing; connections already queued can still be accepted."""
        self._sender.close()
        await trio.lowlevel.checkpoint()


class PassedSocketNetwork:
    """A worker's network: connects directly, listens through its parent."""

    def __init__(self) -> None:
        """Create a network without listeners."""
        self.listeners: dict[tuple[str, int], PassedSocketListener] = {}
        self._tcp = TcpNetwork()

    async def listen(self, host: str, port: int) -> PassedSocketListener:
        """Return the listener for this address, creating it on first use."""
        await trio.lowlevel.checkpoint()
        return self.listeners.setdefault((host, port), PassedSocketListener(port))

    async def connect(self, host: str, port: int, timeout_us: int) -> trio.abc.Stream:
        """Connect within `timeout_us`. Raises ConnectRefusedError or ConnectTimedOutError."""
        return await self._tcp.connect(host, port, timeout_us)


async def pass_connections(
    listener: TcpListener,
    name: bytes,
    choose_target: Callable[[], SocketPassing | None],
    retry_s: float = PASS_RETRY_S,
) -> None:
    """Accept connections and pass each to the channel that `choose_target` returns.

    If it returns None or the channel is full, passing is retried every `retry_s`; after `PASS_ATTEMPTS`
    attempts the connection is closed. Raises trio.ClosedResourceError once the listener is closed.
    """
    while True:
        connection = await listener.accept_socket()
        with connection:
            for _ in range(PASS_ATTEMPTS):
                target = choose_target()
                if target is not None and target.send(name, connection):
                    break
                await trio.sleep(retry_s)
