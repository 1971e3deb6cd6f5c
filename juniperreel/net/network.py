"""Listening and connecting, behind an interface that a simulated network can stand in for.

A stream is trio's own `trio.abc.Stream`: `send_all`, `receive_some`, `aclose`; a broken one raises
`trio.BrokenResourceError`. Nothing here knows what the bytes mean.
"""

from __future__ import annotations

import errno
import fcntl
import socket
import termios
from array import array
from typing import Protocol

import trio

from juniperreel.net.accept_pause import AcceptPause
from juniperreel.net.clock import US

DESCRIPTOR_EXHAUSTION_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
LISTENER_CLOSED_ERRNOS = frozenset({errno.EBADF, errno.EINVAL})
BACKLOG = 1024
TCP_ESTABLISHED = 1  # of the kernel's TCP states


class ConnectError(Exception):
    """No connection was established; nothing was sent."""


class ConnectRefusedError(ConnectError):
    """The peer's host refused the connection: no process listens there."""


class ConnectTimedOutError(ConnectError):
    """No answer within the time allowed, or no route to the host."""


class Listener(Protocol):
    """A source of accepted connections on one port."""

    port: int

    async def accept(self) -> trio.abc.Stream:
        """Return the next connection. Raises trio.ClosedResourceError once the listener is closed."""
        ...

    async def aclose(self) -> None:
        """Stop listening."""
        ...


class Network(Protocol):
    """Listens and connects."""

    async def listen(self, host: str, port: int) -> Listener:
        """Listen on an address; port 0 lets the system choose. Raises OSError where it can't be had."""
        ...

    async def connect(self, host: str, port: int, timeout_us: int) -> trio.abc.Stream:
        """Connect within `timeout_us`. Raises ConnectRefusedError or ConnectTimedOutError."""
        ...


class TcpListener:
    """A listening TCP socket. Accepting goes on when descriptors were exhausted for a time."""

    def __init__(self, sock: trio.socket.SocketType) -> None:
        """Take over a socket that listens."""
        self._sock = sock
        self._pause = AcceptPause()
        self.port: int = sock.getsockname()[1]

    async def accept(self) -> trio.abc.Stream:
        """Return the next connection. Raises trio.ClosedResourceError once the listener is closed."""
        while True:
            sock = await self.accept_socket()
            try:
                return trio.SocketStream(sock)
            except OSError:
                sock.close()

    async def accept_socket(self) -> trio.socket.SocketType:
        """Return the next connection as a bare socket, for passing it to another process."""
        while True:
            try:
                sock, _ = await self._sock.accept()
            except OSError as error:
                if error.errno in DESCRIPTOR_EXHAUSTION_ERRNOS:
                    # The kernel keeps the connection pending: without a pause the loop would spin.
                    self._pause.lengthen()
                    await trio.sleep(self._pause.us / US)
                elif error.errno in LISTENER_CLOSED_ERRNOS:
                    raise trio.ClosedResourceError from error
                # Anything else is the failure of one connection that was never established.
            else:
                self._pause.reset()
                return sock

    def close(self) -> None:
        """Stop listening at once; tasks that wait in `accept` get trio.ClosedResourceError."""
        self._sock.close()

    async def aclose(self) -> None:
        """Stop listening, as `close` does."""
        self._sock.close()
        await trio.lowlevel.checkpoint()


class ReservedPort:
    """A port that the system assigns to no other socket, for a server that stops and returns to it.

    It is bound and not listened on here. Others can listen on it meanwhile; connections are refused while
    nobody does.
    """

    def __init__(self, host: str = "127.0.0.1") -> None:
        """Bind a free port. Raises OSError where none is available."""
        self._sock = socket.socket(address_family(host), socket.SOCK_STREAM)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sock.bind((host, 0))
        except BaseException:
            self._sock.close()
            raise
        self.port: int = self._sock.getsockname()[1]

    def close(self) -> None:
        """Give the port back to the system."""
        self._sock.close()


class TcpNetwork:
    """TCP, on numeric IPv4 and IPv6 addresses."""

    async def listen(self, host: str, port: int) -> TcpListener:
        """Listen on an address; port 0 lets the system choose. Raises OSError where it can't be had."""
        sock = trio.socket.socket(address_family(host), socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            await sock.bind((host, port))
            sock.listen(BACKLOG)
        except BaseException:
            sock.close()
            raise
        return TcpListener(sock)

    async def connect(self, host: str, port: int, timeout_us: int) -> trio.abc.Stream:
        """Connect within `timeout_us`. Raises ConnectRefusedError or ConnectTimedOutError."""
        try:
            with trio.fail_after(max(timeout_us, 0) / US):
                return await self._open_stream(host, port)
        except ConnectionRefusedError as error:
            raise ConnectRefusedError(f"{host}:{port} refuses connections") from error
        except (OSError, trio.TooSlowError) as error:
            raise ConnectTimedOutError(f"{host}:{port} does not answer: {error or 'time is up'}") from error

    @staticmethod
    async def _open_stream(host: str, port: int) -> trio.SocketStream:
        sock = trio.socket.socket(address_family(host), socket.SOCK_STREAM)
        try:
            await sock.connect((host, port))
            return trio.SocketStream(sock)
        except BaseException:
            sock.close()
            raise


def address_family(host: str) -> int:
    """Return the socket address family of a numeric address."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def hung_up(stream: trio.abc.Stream) -> bool:
    """Return whether the peer has ended its side, even where bytes before that end wait to be read."""
    if not isinstance(stream, trio.SocketStream):
        return False
    try:
        state: int = stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return True  # closed here already
    return state != TCP_ESTABLISHED


def has_unread_bytes(stream: trio.abc.Stream) -> bool:
    """Return whether the kernel holds bytes of the peer that nobody has received yet."""
    if not isinstance(stream, trio.SocketStream):
        return False
    count = array("i", [0])
    try:
        fcntl.ioctl(stream.socket.fileno(), termios.FIONREAD, count)
    except (OSError, ValueError):
        return False  # closed here already
    return count[0] > 0
